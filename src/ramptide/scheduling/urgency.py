"""Which of the jobs that wait comes first. Pure."""

from collections.abc import Container
from datetime import UTC, datetime, timedelta
from enum import IntEnum
from typing import Any

from ramptide.protocol.jobs import PRIORITIES, SERVICE
from ramptide.state.jobs import Job

#: Sorts jobs without a deadline after all others.
NO_DEADLINE = datetime.max.replace(tzinfo=UTC)
#: Guesses are often too long by half; a job is given up as late only when even a run this much shorter would be.
SHORTEST_RUN_SHARE = 0.7


class DeadlineOutlook(IntEnum):
    """What a job that waits can still make, going by its owner's guess of a task's run time."""

    STARVED = 0
    IN_TIME = 1
    LATE = 2
    TOO_LATE = 3


def deadline_outlook(job: Job, idle: timedelta, now: datetime, patience: timedelta) -> DeadlineOutlook:
    """Return what a job can still make.

    Room goes first to what can still be in time: under pressure, what is lost already must not take others along.
    A job of which nothing was started for long goes before all with a few tasks, so that none waits for ever.
    """
    if job.spec.kind == SERVICE:
        return DeadlineOutlook.IN_TIME
    if idle > patience:
        return DeadlineOutlook.STARVED
    if job.deadline is None:
        return DeadlineOutlook.IN_TIME
    end = now + timedelta(seconds=job.spec.estimated_runtime_s * SHORTEST_RUN_SHARE)
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
    prompt: Container[str],
    patience: timedelta,
    begin_within: timedelta,
    within_guarantee: bool = False,
) -> tuple[Any, ...]:
    """Return the sort key of a job, the most urgent lowest.

    Jobs of which nothing was started for `begin_within` come first, whatever their priority, with one task each: a
    steady flow of more urgent work would keep them waiting for good. Then priority goes first, then what a team may run
    within its guarantee where that is told, then the classes that are to start promptly, then what can still be made,
    each by its deadline, then the order of submission.
    """
    spec = job.spec
    return (
        idle <= begin_within,
        -PRIORITIES.index(spec.priority),
        not within_guarantee,
        spec.job_class not in prompt,
        spec.kind != SERVICE,
        deadline_outlook(job, idle, now, patience),
        job.deadline or NO_DEADLINE,
        job.submitted_at,
        spec.job_id,
    )
