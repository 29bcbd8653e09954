"""The urgency of waiting jobs, which decides their order. The functions are pure."""

from collections.abc import Container
from datetime import UTC, datetime, timedelta
from enum import IntEnum
from typing import Any

from ramptide.protocol.jobs import PRIORITIES, SERVICE
from ramptide.state.jobs import Job

#: Sorts jobs without a deadline after all others.
NO_DEADLINE = datetime.max.replace(tzinfo=UTC)
#: Estimated run times are often too long by half. A job counts as late only when it would be late even with a run time
#: of this part of the estimate.
SHORTEST_RUN_RATIO = 0.7


class DeadlineOutlook(IntEnum):
    """Whether a waiting job can still meet its deadline, by its owner's estimate of a task's run time."""

    #: No task was started for longer than `patience`.
    STARVED = 0
    #: The job can end by its deadline, has none, or is a service.
    IN_TIME = 1
    #: The job can end after its deadline by at most half of the time from its submission to the deadline.
    LATE = 2
    #: The job can only end even later after its deadline.
    TOO_LATE = 3


def deadline_outlook(job: Job, idle: timedelta, now: datetime, patience: timedelta) -> DeadlineOutlook:
    """Return the outlook of a job that has been idle for the given time.

    Room goes first to jobs that can still be in time, so that under load a job that is already late does not make
    others late. A job of which no task was started for longer than `patience` goes before all others with a few tasks,
    so that no job waits for ever.
    """
    if job.spec.kind == SERVICE:
        return DeadlineOutlook.IN_TIME
    if idle > patience:
        return DeadlineOutlook.STARVED
    if job.deadline is None:
        return DeadlineOutlook.IN_TIME
    end = now + timedelta(seconds=job.spec.estimated_runtime_s * SHORTEST_RUN_RATIO)
    if end <= job.deadline:
        return DeadlineOutlook.IN_TIME
    return (
        DeadlineOutlook.LATE
        if end <= job.deadline + (job.deadline - job.submitted_at) / 2
        else DeadlineOutlook.TOO_LATE
    )


def urgency(
    job: Job,
    idle: timedelta,
    now: datetime,
    prompt_classes: Container[str],
    patience: timedelta,
    begin_within: timedelta,
    is_within_guarantee: bool = False,
) -> tuple[Any, ...]:
    """Return the sort key of a job, the most urgent lowest.

    Jobs of which no task was started for `begin_within` come first, whatever their priority, with one task each: a
    steady flow of more urgent work would otherwise keep them waiting for ever. The other criteria follow in this order:
    the priority, whether the team is within its guarantee where that is told, the classes that are to start promptly,
    services before arrays, the deadline outlook, the deadline, the time of submission, and the job id.
    """
    spec = job.spec
    return (
        idle <= begin_within,
        -PRIORITIES.index(spec.priority),
        not is_within_guarantee,
        spec.job_class not in prompt_classes,
        spec.kind != SERVICE,
        deadline_outlook(job, idle, now, patience),
        job.deadline or NO_DEADLINE,
        job.submitted_at,
        spec.job_id,
    )
