"""Which free rooms a job may use, without those on machines that are left out for it."""

from datetime import timedelta

from ramptide.placement.bin_packing import ReserveAccess, Room, usable_rooms
from ramptide.scheduling.job_state import JobState

__all__ = ["allowed_rooms"]


def allowed_rooms(
    job_state: JobState, rooms: list[Room], access: ReserveAccess, now: timedelta, is_leading: bool
) -> list[Room]:
    """Return the rooms that the job may use, without those on machines that are excluded for it.

    A failing job prefers machines on which it has not failed yet, in the whole fleet: it must not be confined to the
    machines of one owner, which may be faulty, so only the leader allows others. When no other room is left, a job that
    failed on few machines may return to each once its exclusion is over, as the machine may be well again. A job that
    failed on many machines may use any room, so that no machine is rented for it.
    """
    job_state.end_exclusions(now)
    excluded = job_state.excluded_until
    not_excluded = [room for room in rooms if room.host not in excluded] if excluded else rooms
    if not job_state.is_failing:
        return not_excluded
    without_failure = [room for room in not_excluded if room.host not in job_state.failed_on]
    if not is_leading or usable_rooms(job_state.job.spec, without_failure, job_state.placed_by_zone, access):
        return without_failure
    return rooms if job_state.has_failed_on_many else not_excluded
