"""The placement round, which decides which waiting tasks of this controller's jobs start on which machines."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from ramptide.cluster.machine_index import MachineIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import (
    ROUNDING_TOLERANCE,
    ReserveAccess,
    Room,
    choose_room,
    choose_rooms,
    placement_needs,
)
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.scheduling.allowed_rooms import allowed_rooms
from ramptide.scheduling.headroom import UNLIMITED, task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.left_out_rooms import log_left_out_rooms
from ramptide.scheduling.reserve_access import reserve_access
from ramptide.scheduling.rooms import RoomFinder
from ramptide.scheduling.urgency_order import GuaranteeUsage, UrgencyOrder
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["PlacementRound"]

#: The part of an array's tasks that may start in one round when the array has waited so long that it may use all room.
STARVED_TASKS_RATIO = 0.1


class PlacementState(Protocol):
    """The parts of the controller's state that a placement round reads, and the counters that it adds to."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """The part of each limit that this controller may use."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""


class LeadershipInfo(Protocol):
    """The part of the membership that tells whether this controller leads the view."""

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads the current view."""


class RoomClaims(GuaranteeUsage, Protocol):
    """The quota feature, which knows what room other controllers claim for jobs within a guarantee."""

    def unclaimed_rooms(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the job may use although its team is beyond its guarantee."""


@dataclass(slots=True)
class _Round:
    """The inputs and the running state of one round."""

    scheduler: JobScheduler
    rooms: list[Room]
    #: What each team uses of this controller's quota shares, including the tasks that this round starts.
    used: dict[str, Amounts]
    now: timedelta
    wall: datetime
    #: What jobs that found no room need, with their access to reserved room.
    unplaceable: set[tuple[object, ...]] = field(default_factory=set)


class PlacementRound:
    """Starts waiting tasks of this controller's jobs where they find room.

    Parameters
    ----------
    may_start_job
        Returns whether a job's tasks may be started, which is so when none can be on a machine without this
        controller's knowledge.
    quota
        The quota feature, or None where it is off.
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
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._leadership = leadership
        self._machine_index = machine_index
        self._room_finder = room_finder
        self._urgency_order = urgency_order
        self._may_start_job = may_start_job
        self._quota = quota
        self._errors = errors

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Start the tasks that find room, those of the most urgent jobs first.

        When a job finds no room, no other job with the same needs is tried in this round.
        """
        scheduler.clear_recovered(now)
        job_states = self._startable_jobs(scheduler, now)
        if not job_states:
            return
        own_only = not self._leadership.is_leading
        self._room_finder.refresh(own_only)
        min_cpus = min(job_state.job.spec.cpus for job_state in job_states)
        rooms = [room for room in self._room_finder.free_rooms(own_only) if room.cpus + ROUNDING_TOLERANCE >= min_cpus]
        wall = self._runtime.wall()
        placement = _Round(scheduler, rooms, scheduler.usage_with_transfers(), now, wall)
        job_states = self._filter_by_size(job_states, placement)
        urgency_of = self._urgency_order.urgency_of
        job_states.sort(key=lambda job_state: urgency_of(job_state.job, job_state.idle_for(now, wall), wall))
        for job_state in job_states:
            try:
                self._try_job(job_state, placement)
            except Exception:
                self._errors.record("placement", job_state.job.job_id)
                # Some of its tasks may have been started.
                placement.used = scheduler.usage_with_transfers()

    def _try_job(self, job_state: JobState, placement: _Round) -> None:
        """Start the tasks of one job that find room, unless an earlier job of equal needs has found none."""
        is_within_guarantee = self._quota.is_within_guarantee if self._quota is not None else None
        access = reserve_access(job_state, placement.now, placement.wall, self._state.tuning, is_within_guarantee)
        key = (placement_needs(job_state.job.spec), access)
        is_short = key in placement.unplaceable or self._place_job(job_state, access, placement)
        if is_short and _is_representative(job_state):
            placement.unplaceable.add(key)
        job_state.update_waiting(placement.now, job_state.startable > 0, is_short)

    def _startable_jobs(self, scheduler: JobScheduler, now: timedelta) -> list[JobState]:
        return [
            job_state
            for job_state in scheduler.jobs_with_pending_tasks.values()
            if not job_state.is_frozen
            and job_state.retry_at <= now
            and job_state.startable
            and self._may_start_job(job_state)
        ]

    def _filter_by_size(self, job_states: list[JobState], placement: _Round) -> list[JobState]:
        """Return the jobs whose tasks need no more CPUs and memory than the largest rooms have.

        The other jobs are recorded as waiting. On a full fleet this saves the sorting, and the search through the
        rooms, for all but a few jobs.
        """
        rooms = placement.rooms
        max_cpus = max((room.cpus for room in rooms), default=0.0) + ROUNDING_TOLERANCE
        max_ram_gb = max((room.ram_gb for room in rooms), default=0.0) + ROUNDING_TOLERANCE
        fitting = []
        # Whether the team limit lets a task run, cached by the values that decide it, as many jobs are alike.
        is_allowed: dict[tuple[str, float, float], bool] = {}
        for job_state in job_states:
            spec = job_state.job.spec
            if rooms and spec.cpus <= max_cpus and spec.ram_gb <= max_ram_gb:
                fitting.append(job_state)
                continue
            key = (spec.team, spec.cpus, spec.gpus)
            if key not in is_allowed:
                is_allowed[key] = self._headroom(spec, placement.used) > 0
            job_state.update_waiting(placement.now, True, is_allowed[key])
        return fitting

    def _headroom(self, spec: JobSpec, used: dict[str, Amounts]) -> int:
        share = self._state.quota_shares.get(spec.team, ZERO_AMOUNTS)
        return task_headroom(spec, used.get(spec.team, ZERO_AMOUNTS), share, self._state.limits)

    def _place_job(self, job_state: JobState, access: ReserveAccess, placement: _Round) -> bool:
        """Start tasks of one job; return whether fewer tasks found room than may be started."""
        spec = job_state.job.spec
        max_starts = self._max_starts(job_state, access, job_state.idle_for(placement.now, placement.wall))
        rooms = allowed_rooms(job_state, placement.rooms, access, placement.now, self._leadership.is_leading)
        if self._quota is not None:
            rooms = self._quota.unclaimed_rooms(spec, rooms)
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
        if is_short and not started:
            log_left_out_rooms(job_state, placement.rooms, access, placement.now)
        return is_short

    def _start_replicas(
        self, job_state: JobState, rooms: list[Room], access: ReserveAccess, allowed: int, placement: _Round
    ) -> bool:
        """Start replicas of a service, choosing the machine for each; return whether one found no room."""
        while allowed > 0 and job_state.next_task() is not None:
            room = choose_room(job_state.job.spec, rooms, job_state.placed_by_zone, access)
            if room is None:
                return True
            self._start(job_state, room, placement)
            allowed -= 1
        return False

    def _start_array(
        self, job_state: JobState, rooms: list[Room], access: ReserveAccess, allowed: int, placement: _Round
    ) -> None:
        """Start tasks of a job array, in one pass over the rooms for all of them."""
        if allowed <= 0:
            return
        for room, count in choose_rooms(job_state.job.spec, rooms, job_state.placed_by_zone, allowed, access):
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
        room.allocate(spec)
        if spec.kind == SERVICE:
            room.service_cpus += spec.cpus
        room.idle = room.in_pool = False
        self._machine_index.invalidate(room.host)

    def _max_starts(self, job_state: JobState, access: ReserveAccess, idle: timedelta) -> int:
        """Return how many tasks of the job may be started in this round.

        The number is bounded for jobs that go ahead of others because no task of them was started for long: one task
        after `begin_within`, and `STARVED_TASKS_RATIO` of an array with access to all reserved room.
        """
        if idle > self._state.tuning.begin_within:
            return 1
        if access is ReserveAccess.ALL and job_state.job.spec.kind != SERVICE:
            return math.ceil(job_state.job.spec.task_count * STARVED_TASKS_RATIO)
        return UNLIMITED


def _is_representative(job_state: JobState) -> bool:
    """Return whether every job of equal needs finds room exactly when this job does."""
    spec = job_state.job.spec
    is_restricted = bool(job_state.excluded_until) or job_state.is_failing
    return not is_restricted and not spec.single_zone and not spec.spread_zones
