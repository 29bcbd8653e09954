"""The placement round: which of the waiting tasks of our jobs start where."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from ramptide.cluster.machine_index import MachineIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import ROUNDING, ReserveAccess, Room, choose, choose_many, needs, usable
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.scheduling.headroom import UNLIMITED, task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.rooms import RoomFinder
from ramptide.scheduling.urgency import DeadlineOutlook, deadline_outlook
from ramptide.scheduling.urgency_order import GuaranteeUsage, UrgencyOrder
from ramptide.state.amounts import NOTHING, Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.transport.runtime import Runtime

__all__ = ["PlacementRound"]

NO_TIME = timedelta(0)
#: The share of its tasks with which a job that waited out its patience gets ahead of the others.
STARVED_SHARE = 0.1


class PlacementState(Protocol):
    """What a placement round reads of the controller's state, and the counters that it adds to."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """What we may use of each limit."""

    @property
    def counters(self) -> Counter[str]:
        """Counts for the metrics."""


class LeadershipInfo(Protocol):
    """Whether this controller leads the view."""

    @property
    def is_leading(self) -> bool:
        """Whether we lead the current view."""


class RoomClaims(GuaranteeUsage, Protocol):
    """The quota feature, which knows what other controllers claim for work within a guarantee."""

    def unclaimed(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the job may take although its team is beyond its guarantee."""


@dataclass(slots=True)
class _Round:
    """What one round works with."""

    scheduler: JobScheduler
    rooms: list[Room]
    #: What the teams use of our shares, with what this round starts.
    used: dict[str, Amounts]
    now: timedelta
    wall: datetime


class PlacementRound:
    """Starts waiting tasks of our jobs where they find room.

    Parameters
    ----------
    may_start_job
        Tells whether a job's tasks may be started: none can be on a machine without our knowledge.
    quota
        None where the quota feature is off.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: PlacementState,
        leadership: LeadershipInfo,
        machine_index: MachineIndex,
        room_finder: RoomFinder,
        urgency_order: UrgencyOrder,
        may_start_job: Callable[[JobState], bool],
        quota: RoomClaims | None,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._leadership = leadership
        self._machine_index = machine_index
        self._room_finder = room_finder
        self._urgency_order = urgency_order
        self._may_start_job = may_start_job
        self._quota = quota

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Start what finds room, the most urgent jobs first.

        Where one job of some needs found no room, no other of the same needs is tried in this round.
        """
        scheduler.clear_recovered(now)
        job_states = self._startable(scheduler, now)
        if not job_states:
            return
        own_only = not self._leadership.is_leading
        self._room_finder.refresh(own_only)
        least_cpus = min(job_state.job.spec.cpus for job_state in job_states)
        rooms = [room for room in self._room_finder.rooms(own_only) if room.cpus + ROUNDING >= least_cpus]
        wall = self._runtime.wall()
        placement = _Round(scheduler, rooms, scheduler.usage_with_transfers(), now, wall)
        job_states = self._filter_by_size(job_states, placement)
        urgency_of = self._urgency_order.urgency_of
        job_states.sort(key=lambda job_state: urgency_of(job_state.job, job_state.idle_for(now, wall), wall))
        hopeless: set[tuple[object, ...]] = set()
        for job_state in job_states:
            access = self._reserve_access(job_state, now, wall)
            key = (needs(job_state.job.spec), access)
            is_short = key in hopeless or self._place_job(job_state, access, placement)
            if is_short and _is_typical(job_state):
                hopeless.add(key)
            job_state.note_wait(now, job_state.startable > 0, is_short)

    def _startable(self, scheduler: JobScheduler, now: timedelta) -> list[JobState]:
        return [
            job_state
            for job_state in scheduler.with_pending_tasks.values()
            if not job_state.frozen
            and job_state.retry_at <= now
            and job_state.startable
            and self._may_start_job(job_state)
        ]

    def _filter_by_size(self, job_states: list[JobState], placement: _Round) -> list[JobState]:
        """Return the jobs of which a task is no larger than all rooms, and note of the others that they wait.

        On a full fleet that spares the order, and the walk of the rooms, for all but a few jobs.
        """
        rooms = placement.rooms
        max_cpus = max((room.cpus for room in rooms), default=0.0) + ROUNDING
        max_ram_gb = max((room.ram_gb for room in rooms), default=0.0) + ROUNDING
        found = []
        # Whether the limit lets a task run, by what decides that: many jobs are alike.
        allowed: dict[tuple[str, float, float], bool] = {}
        for job_state in job_states:
            spec = job_state.job.spec
            if rooms and spec.cpus <= max_cpus and spec.ram_gb <= max_ram_gb:
                found.append(job_state)
                continue
            key = (spec.team, spec.cpus, spec.gpus)
            if key not in allowed:
                allowed[key] = self._headroom(spec, placement.used) > 0
            job_state.note_wait(placement.now, True, allowed[key])
        return found

    def _headroom(self, spec: JobSpec, used: dict[str, Amounts]) -> int:
        share = self._state.quota_shares.get(spec.team, NOTHING)
        return task_headroom(spec, used.get(spec.team, NOTHING), share, self._state.limits)

    def _reserve_access(self, job_state: JobState, now: timedelta, wall: datetime) -> ReserveAccess:
        """Return which of the room kept for services the job may use.

        With no capacity to be rented an idle pool helps nobody. The room on the services' own machines is given up
        last, but no job is left waiting for long beside room that nobody uses.
        """
        tuning = self._state.tuning
        idle = job_state.idle_for(now, wall)
        short = now - job_state.without_room_since if job_state.without_room_since is not None else NO_TIME
        is_starved = deadline_outlook(job_state.job, idle, wall, tuning.patience) is DeadlineOutlook.STARVED
        if is_starved or min(idle, short) > tuning.share_wait:
            return ReserveAccess.ALL
        waited = now - job_state.waiting_since if job_state.waiting_since is not None else NO_TIME
        if job_state.failing or waited > tuning.long_wait or self._may_claim(job_state, waited):
            return ReserveAccess.POOL
        return ReserveAccess.NONE

    def _may_claim(self, job_state: JobState, waited: timedelta) -> bool:
        """Tell whether room within a guarantee is about to be taken from running tasks: an idle machine costs less."""
        if self._quota is None or waited < self._state.tuning.preempt_after:
            return False
        return self._quota.within_guarantee(job_state.job.spec)

    def _place_job(self, job_state: JobState, access: ReserveAccess, placement: _Round) -> bool:
        """Start tasks of one job; return True when fewer than it may start found room."""
        spec = job_state.job.spec
        max_starts = self._max_starts(job_state, access, job_state.idle_for(placement.now, placement.wall))
        rooms = self._allowed_rooms(job_state, access, placement)
        if self._quota is not None:
            rooms = self._quota.unclaimed(spec, rooms)
        allowed = min(self._headroom(spec, placement.used), job_state.startable, max_starts)
        waiting_before = job_state.waiting
        if spec.kind == SERVICE:
            is_short = self._start_replicas(job_state, rooms, access, allowed, placement)
        else:
            self._start_array(job_state, rooms, access, allowed, placement)
            is_short = waiting_before - job_state.waiting < allowed
        started = waiting_before - job_state.waiting
        if started:
            add_amounts(placement.used, spec.team, amounts_of(spec).times(started))
            self._state.counters["starts"] += started
        return is_short

    def _start_replicas(
        self, job_state: JobState, rooms: list[Room], access: ReserveAccess, allowed: int, placement: _Round
    ) -> bool:
        """Start replicas of a service, a choice of machine for each; return True when one found no room."""
        while allowed > 0 and job_state.next_task() is not None:
            room = choose(job_state.job.spec, rooms, job_state.zones, access)
            if room is None:
                return True
            self._start(job_state, room, placement)
            allowed -= 1
        return False

    def _start_array(
        self, job_state: JobState, rooms: list[Room], access: ReserveAccess, allowed: int, placement: _Round
    ) -> None:
        """Start tasks of a job array: one walk of the rooms for all of them."""
        if allowed <= 0:
            return
        for room, count in choose_many(job_state.job.spec, rooms, job_state.zones, allowed, access):
            for _ in range(count):
                if job_state.next_task() is None:
                    break
                self._start(job_state, room, placement)

    def _start(self, job_state: JobState, room: Room, placement: _Round) -> None:
        task_index = job_state.next_task()
        if task_index is None:
            return
        spec = job_state.job.spec
        placement.scheduler.start(job_state, task_index, room.host, room.zone, placement.now)
        room.take(spec)
        if spec.kind == SERVICE:
            room.service_cpus += spec.cpus
        room.idle = room.in_pool = False
        self._machine_index.invalidate(room.host)

    def _max_starts(self, job_state: JobState, access: ReserveAccess, idle: timedelta) -> int:
        """Return how many tasks may go ahead of others, for a job that has waited out its patience or is to begin."""
        if idle > self._state.tuning.begin_within:
            return 1
        if access is ReserveAccess.ALL and job_state.job.spec.kind != SERVICE:
            return math.ceil(job_state.job.spec.task_count * STARVED_SHARE)
        return UNLIMITED

    def _allowed_rooms(self, job_state: JobState, access: ReserveAccess, placement: _Round) -> list[Room]:
        """Return the rooms without those that the job avoids.

        A job that fails goes where it has not failed yet, in the whole fleet: it must not be confined to one owner's
        machines that are at fault. When it failed on many, and no such room is left, any will do, so that none is
        rented for it.
        """
        rooms, now = placement.rooms, placement.now
        if job_state.excluded_until:
            job_state.excluded_until = {host: until for host, until in job_state.excluded_until.items() if until > now}
        excluded = job_state.excluded_until
        others = [room for room in rooms if room.host not in excluded] if excluded else rooms
        if not job_state.failing:
            return others
        without_failure = [room for room in others if room.host not in job_state.failed_on]
        must_avoid = job_state.avoids or not self._leadership.is_leading
        if must_avoid or usable(job_state.job.spec, without_failure, job_state.zones, access):
            return without_failure
        return rooms


def _is_typical(job_state: JobState) -> bool:
    """Tell whether another job of the same needs would find room where this one does, and none where it does not."""
    spec = job_state.job.spec
    return not job_state.excluded_until and not spec.single_zone and not spec.spread_zones
