"""Preemption: the leader decides which running tasks are stopped for more urgent jobs; their schedulers stop them."""

import heapq
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from ramptide.cluster.machine_index import MachineIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import ReserveAccess, Room, admits, placement_needs
from ramptide.protocol.agents import TaskStatus
from ramptide.protocol.jobs import JobSpec
from ramptide.scheduling.allowed_rooms import allowed_rooms
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.scheduling.rooms import RoomFinder
from ramptide.scheduling.urgency_order import UrgencyOrder
from ramptide.scheduling.victims import RunningTask, VictimChoice, choose_victims, may_claim
from ramptide.state.amounts import ZERO_AMOUNTS, TeamAmounts, add_amounts, amounts_of
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import TaskKey
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["PendingPreemption", "Preemptor"]

log = logging.getLogger(__name__)

PREEMPTION_INTERVAL = timedelta(milliseconds=500)
#: How long a preemption counts as pending, and how long the preempted job is not started on that machine again.
PREEMPTION_TIMEOUT = timedelta(seconds=5)
#: The highest number of pending preemptions; a large fleet may have one for this number of machines if that is more.
MAX_PENDING_PREEMPTIONS, MACHINES_PER_PREEMPTION = 40, 50
PREEMPTIBLE_STATUSES = (TaskStatus.FETCHING, TaskStatus.RUNNING)


class PreemptionState(Protocol):
    """The parts of the controller's state that preemption reads, and the counters that it adds to."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not finished, by id."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def guarantees(self) -> TeamAmounts:
        """The guarantees of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """The part of each limit that this controller may use."""

    @property
    def reconciled(self) -> bool:
        """Whether all machines are reconciled: it is known what earlier views left on them."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""

    def require_scheduler(self) -> JobScheduler:
        """Return the scheduler of this controller's jobs; raise an error when this controller is not in the view."""


@dataclass(slots=True)
class PendingPreemption:
    """A preempted task: the job that it is stopped for, when that was decided, and the seconds to save a checkpoint."""

    claimant: str
    decided_at: timedelta
    grace_s: float


@dataclass(slots=True)
class _Claims:
    """The working state of one pass over the claiming jobs: copies, which change as tasks are preempted."""

    rooms: dict[str, Room]
    #: What each team uses over all controllers.
    used: TeamAmounts
    now: timedelta
    #: The preemptible tasks of each machine that was looked up so far.
    tasks: dict[str, list[RunningTask]] = field(default_factory=dict)
    #: What jobs claim for which no room could be made.
    unmet: set[tuple[object, ...]] = field(default_factory=set)


class Preemptor:
    """Decides as the leader which tasks are preempted, and stops preempted tasks as their scheduler.

    `pending` holds the pending preemptions, which the leader repeats to the schedulers of the tasks. `team_usage`
    returns what each team uses over all controllers.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: PreemptionState,
        leadership: LeadershipInfo,
        machine_index: MachineIndex,
        room_finder: RoomFinder,
        urgency_order: UrgencyOrder,
        team_usage: Callable[[], TeamAmounts],
        may_start_job: Callable[[JobState], bool],
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._leadership = leadership
        self._machine_index = machine_index
        self._room_finder = room_finder
        self._urgency_order = urgency_order
        self._team_usage = team_usage
        self._may_start_job = may_start_job
        self._errors = errors
        self.pending: dict[TaskKey, PendingPreemption] = {}
        self._last_run = timedelta(0)

    def on_new_view(self) -> None:
        """Discard the pending preemptions of the previous view."""
        self.pending.clear()

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Make room for jobs that may claim it, by priority or within their team's guarantee.

        Only the leader makes room, and only for jobs that have waited for `preempt_after`, the most urgent first. The
        schedulers of the preempted tasks are told to stop them.
        """
        if self.pending:
            self.pending = {
                key: preemption
                for key, preemption in self.pending.items()
                if now - preemption.decided_at < PREEMPTION_TIMEOUT
            }
        if not self._is_due(now):
            return
        self._last_run = now
        claimants = self._claimants(scheduler, now)
        if not claimants:
            return
        wall = self._runtime.wall()
        self._room_finder.refresh()
        rooms = {room.host: room.copy() for room in self._room_finder.free_rooms()}
        claims = _Claims(rooms, self._team_usage(), now)
        share_used = scheduler.usage_with_transfers()
        urgency_of = self._urgency_order.urgency_of
        for job_state in sorted(
            claimants, key=lambda claimant: urgency_of(claimant.job, claimant.idle_for(now, wall), wall)
        ):
            try:
                self._process_claim(job_state, share_used, claims)
            except Exception:
                self._errors.record("preemption", job_state.job.job_id)

    def _process_claim(self, job_state: JobState, share_used: TeamAmounts, claims: _Claims) -> None:
        """Make room for one job, unless there was none for an earlier one with the same claim."""
        spec = job_state.job.spec
        key = (placement_needs(spec), spec.priority, spec.team)
        if key in claims.unmet or not self._may_preempt():
            return
        wanted = self._wanted_tasks(job_state, share_used)
        has_room = wanted <= 0 or self._make_room(job_state, wanted, claims)
        if not has_room and not job_state.excluded_until:
            claims.unmet.add(key)

    def _is_due(self, now: timedelta) -> bool:
        may_decide = self._leadership.is_leading and self._state.reconciled
        return may_decide and now - self._last_run >= PREEMPTION_INTERVAL and self._may_preempt()

    def _may_preempt(self) -> bool:
        """Return whether another task may be preempted now."""
        limit_by_fleet_size = len(self._state.machines) // MACHINES_PER_PREEMPTION
        return len(self.pending) < max(MAX_PENDING_PREEMPTIONS, limit_by_fleet_size)

    def _claimants(self, scheduler: JobScheduler, now: timedelta) -> list[JobState]:
        preempt_after = self._state.tuning.preempt_after
        return [
            job_state
            for job_state in scheduler.jobs_with_pending_tasks.values()
            if job_state.waiting_since is not None
            and now - job_state.waiting_since >= preempt_after
            and job_state.may_claim_room
            and self._may_start_job(job_state)
        ]

    def _wanted_tasks(self, job_state: JobState, share_used: TeamAmounts) -> int:
        """Return for how many tasks of the job room is still to be made, beyond the pending preemptions for it."""
        spec = job_state.job.spec
        promised = sum(preemption.claimant == spec.job_id for preemption in self.pending.values())
        used = share_used.get(spec.team, ZERO_AMOUNTS)
        share = self._state.quota_shares.get(spec.team, ZERO_AMOUNTS)
        return min(job_state.waiting - promised, task_headroom(spec, used, share, self._state.limits))

    def _make_room(self, job_state: JobState, wanted: int, claims: _Claims) -> bool:
        """Make room for tasks of a job, where it costs least first; return whether there is room for all of them."""
        spec = job_state.job.spec
        # Whether a task may be stopped, cached by the values that decide it. A preemption changes what the teams use,
        # and so clears the cache.
        claimable_by_key: dict[tuple[object, ...], bool] = {}

        def is_claimable(victim: JobSpec) -> bool:
            key = (victim.team, victim.priority, victim.cpus, victim.gpus)
            if key not in claimable_by_key:
                claimable_by_key[key] = may_claim(spec, victim, claims.used, self._state.guarantees)
            return claimable_by_key[key]

        def cheapest_victims(host: str) -> VictimChoice | None:
            return choose_victims(spec, claims.rooms[host], claims.tasks[host], is_claimable, job_state.placed_by_zone)

        heap = []
        for host in self._admitting_hosts(job_state, claims):
            choice = cheapest_victims(host)
            if choice is not None:
                heap.append((choice.cost, host))
        heapq.heapify(heap)
        while wanted > 0 and heap and self._may_preempt():
            _, host = heapq.heappop(heap)
            # Earlier preemptions of this pass may have changed which tasks may be stopped, so the choice is made again.
            choice = cheapest_victims(host)
            if choice is None:
                continue
            self._preempt(spec, host, choice.tasks, claims)
            claimable_by_key.clear()
            wanted -= 1
            choice = cheapest_victims(host)
            if choice is not None:
                heapq.heappush(heap, (choice.cost, host))
        return wanted <= 0

    def _admitting_hosts(self, job_state: JobState, claims: _Claims) -> Iterator[str]:
        """Yield the machines on which the job may be started, after their preemptible tasks were looked up."""
        rooms = [*claims.rooms.values()]
        # Only a failing job has rooms that depend on its access, and such a job claims no room.
        for room in allowed_rooms(job_state, rooms, ReserveAccess.NONE, claims.now, is_leading=True):
            if admits(job_state.job.spec, room):
                if room.host not in claims.tasks:
                    claims.tasks[room.host] = self._preemptible_tasks(room.host)
                yield room.host

    def _preempt(self, claimant: JobSpec, host: str, preempted: list[RunningTask], claims: _Claims) -> None:
        """Preempt tasks on a machine for one task of the claimant."""
        room, tasks = claims.rooms[host], claims.tasks[host]
        for victim in preempted:
            spec = victim.spec
            task_id = f"{spec.job_id}/{victim.task_index}"
            log.debug("task preempted: task_id=%s claimant=%s host=%s", task_id, claimant.job_id, host)
            grace_s = spec.checkpoint_cost_s if spec.checkpoint_interval_s > 0 else 0.0
            self.pending[victim.key] = PendingPreemption(claimant.job_id, claims.now, grace_s)
            self.stop_task(victim.key, timedelta(seconds=grace_s))
            tasks.remove(victim)
            room.allocate(spec, -1)
            add_amounts(claims.used, spec.team, amounts_of(spec).times(-1))
        room.allocate(claimant)
        add_amounts(claims.used, claimant.team, amounts_of(claimant))
        self._state.counters["preemptions"] += len(preempted)

    def stop_task(self, key: TaskKey, grace: timedelta) -> None:
        """Stop an attempt to make room, on the leader's request; ignore one that this controller does not schedule.

        Raises
        ------
        NoPlaceInViewError
            If this controller is not in the view, and so schedules no jobs.
        """
        scheduler = self._state.require_scheduler()
        job_id, task_index, number = key
        job_state = scheduler.jobs.get(job_id)
        attempt = job_state.placed.get(task_index) if job_state is not None else None
        if job_state is not None and attempt is not None and attempt.number == number:
            # The room is for another job, so this job is not started on the machine for a while.
            job_state.exclude(attempt.host, self._runtime.now + PREEMPTION_TIMEOUT)
            scheduler.stop(attempt, grace)

    def _preemptible_tasks(self, host: str) -> list[RunningTask]:
        """Return the tasks that run on a machine or fetch their image there, and have no pending preemption."""
        preemptible = []
        for job_id, task_index, number, phase, _cause in self._machine_index.machines[host].tasks:
            job = self._state.jobs.get(job_id)
            is_pending = (job_id, task_index, number) in self.pending
            if job is not None and phase in PREEMPTIBLE_STATUSES and not is_pending:
                preemptible.append(RunningTask(job.spec, task_index, number))
        return preemptible
