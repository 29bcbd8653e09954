"""Why a waiting job uses none of the free rooms into which its tasks fit, for the log. The functions are pure."""

from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import ReserveAccess, Room, usable_rooms
from ramptide.scheduling.job_state import JobState

__all__ = ["LeftOutRooms", "count_left_out_rooms"]


class LeftOutRooms(NamedTuple):
    """How many rooms fit a task of a job but are left out for the job, by reason."""

    #: The machine failed, refused or was to give up a task of the job a short time ago.
    excluded: int = 0
    #: The job counts as failing, and failed on the machine.
    failed: int = 0
    #: The room is reserved for services.
    reserved: int = 0
    #: None of these: other jobs claim the room.
    claimed: int = 0


def count_left_out_rooms(
    job_state: JobState, rooms: list[Room], access: ReserveAccess, now: timedelta
) -> LeftOutRooms | None:
    """Return why the rooms that fit a task of the job are left out; None when no room fits one."""
    spec, placed_by_zone = job_state.job.spec, job_state.placed_by_zone
    fitting = usable_rooms(spec, rooms, placed_by_zone, ReserveAccess.ALL)
    if not fitting:
        return None
    excluded = {host for host, until in job_state.excluded_until.items() if until > now}
    failed = (job_state.failed_on if job_state.is_failing else set()) - excluded
    admitted = {room.host for room in usable_rooms(spec, fitting, placed_by_zone, access)}
    hosts = [room.host for room in fitting]
    unmarked = [host for host in hosts if host not in excluded and host not in failed]
    reserved_count = sum(host not in admitted for host in unmarked)
    return LeftOutRooms(
        excluded=sum(host in excluded for host in hosts),
        failed=sum(host in failed for host in hosts),
        reserved=reserved_count,
        claimed=len(unmarked) - reserved_count,
    )
