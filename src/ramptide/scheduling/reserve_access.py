"""How much of the room that is reserved for services a job array may use, by how long it has waited. Pure functions."""

from collections.abc import Callable
from datetime import datetime, timedelta

from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import ReserveAccess
from ramptide.protocol.jobs import JobSpec
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.urgency import DeadlineOutlook, deadline_outlook
from ramptide.state.task_state import NO_TIME

__all__ = ["reserve_access"]


def reserve_access(
    job_state: JobState,
    now: timedelta,
    wall: datetime,
    tuning: Tuning,
    is_within_guarantee: Callable[[JobSpec], bool] | None,
) -> ReserveAccess:
    """Return how much of the room that is reserved for services the job may use.

    After a long wait the job may use the idle machines of the pool: when the cloud has no capacity to rent, a pool that
    stays idle has no benefit. The reserve on machines that run services is used last, but a job does not wait for long
    while room is unused.

    A job within its team's guarantee, for which running tasks may soon be preempted, may use an idle machine of the
    pool instead, which costs less than a preemption. `is_within_guarantee` is None where the quota feature is off.
    """
    idle = job_state.idle_for(now, wall)
    is_starved = deadline_outlook(job_state.job, idle, wall, tuning.patience) is DeadlineOutlook.STARVED
    if is_starved or _time_without_room(job_state, now, wall) > tuning.share_wait:
        return ReserveAccess.ALL
    waited = now - job_state.waiting_since if job_state.waiting_since is not None else NO_TIME
    if job_state.is_failing or waited > tuning.long_wait:
        return ReserveAccess.POOL
    if is_within_guarantee is None or waited < tuning.preempt_after:
        return ReserveAccess.NONE
    return ReserveAccess.POOL if is_within_guarantee(job_state.job.spec) else ReserveAccess.NONE


def _time_without_room(job_state: JobState, now: timedelta, wall: datetime) -> timedelta:
    """Return for how long no task of a job was started although its team's limit lets one run.

    For a failing job the pauses between its probes count as well: they end before the job finds that it has no room,
    and would add to the wait.
    """
    if job_state.without_room_since is None:
        return NO_TIME
    unstarted = job_state.time_since_start(now, wall)
    return unstarted if job_state.is_failing else min(unstarted, now - job_state.without_room_since)
