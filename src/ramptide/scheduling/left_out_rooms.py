"""Why a waiting job uses none of the free rooms into which its tasks fit, for the log."""

import logging
from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import ReserveAccess, Room, usable_rooms
from ramptide.scheduling.job_state import JobState

__all__ = ["LeftOutRooms", "count_left_out_rooms", "log_left_out_rooms"]

log = logging.getLogger(__name__)

#: How long a job waits, and how long it waits on, before the log tells which free rooms are left out for it.
LEFT_OUT_ROOMS_INTERVAL = timedelta(seconds=30)


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


def log_left_out_rooms(job_state: JobState, rooms: list[Room], access: ReserveAccess, now: timedelta) -> None:
    """Log from time to time why a job of which no task was started for long does not use the rooms that fit it."""
    waiting_since = job_state.waiting_since
    if waiting_since is None:
        return
    if now - max(waiting_since, job_state.left_out_rooms_checked_at) < LEFT_OUT_ROOMS_INTERVAL:
        return
    job_state.left_out_rooms_checked_at = now
    left_out = count_left_out_rooms(job_state, rooms, access, now)
    if left_out is not None:
        log.info(
            "job waits beside room: job_id=%s waited_s=%.0f excluded=%d failed=%d reserved=%d claimed=%d",
            job_state.job.job_id,
            (now - waiting_since).total_seconds(),
            *left_out,
        )
