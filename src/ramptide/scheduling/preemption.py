"""Preemption: the leader decides which running tasks give way to more urgent jobs; their schedulers stop them."""

import heapq
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from ramptide.cluster.machine_index import MachineIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room, admits, needs
from ramptide.protocol.agents import TaskStatus
from ramptide.protocol.jobs import JobSpec
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.scheduling.rooms import RoomFinder
from ramptide.scheduling.urgency_order import UrgencyOrder
from ramptide.scheduling.victims import RunningTask, may_claim, victims
from ramptide.state.amounts import NOTHING, TeamAmounts, add_amounts, amounts_of
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import TaskKey
from ramptide.transport.runtime import Runtime

__all__ = ["PendingPreemption", "Preemptor"]

log = logging.getLogger(__name__)

PREEMPTION_INTERVAL = timedelta(milliseconds=500)
#: A preemption counts as under way for so long, and the preempted job looks for room elsewhere as long.
PREEMPTION_TIMEOUT = timedelta(seconds=5)
#: Preemptions under way: so many at the most, or one for so many machines on a large fleet.
MAX_PENDING_PREEMPTIONS, MACHINES_PER_PREEMPTION = 40, 50
PREEMPTIBLE_STATUSES = (TaskStatus.FETCHING, TaskStatus.RUNNING)


class PreemptionState(Protocol):
    """What preemption reads of the controller's state, and the counters that it adds to."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not over."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def guarantees(self) -> TeamAmounts:
        """The guarantees of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """What we may use of each limit."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""

    @property
    def counters(self) -> Counter[str]:
        """Counts for the metrics."""

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that we schedule; raises without a place in the view."""


@dataclass(slots=True)
class PendingPreemption:
    """A task that was told to give way to a job, with the seconds that it gets to save a checkpoint."""

    claimant: str
    at: timedelta
    grace_s: float


@dataclass(slots=True)
class _Claims:
    """What one pass over the claiming jobs works with: copies, changed as tasks are told to give way."""

    rooms: dict[str, Room]
    #: What teams use over all controllers.
    used: TeamAmounts
    now: timedelta
    #: Tasks that may be stopped, by machine, as far as they were looked up.
    tasks: dict[str, list[RunningTask]] = field(default_factory=dict)


class Preemptor:
    """As leader, decides which tasks give way; as their scheduler, stops them.

    `pending`: the preemptions under way, which the leader repeats to the schedulers of the tasks. `team_usage` returns
    what teams use over all controllers.
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
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._leadership = leadership
        self._machine_index = machine_index
        self._room_finder = room_finder
        self._urgency_order = urgency_order
        self._team_usage = team_usage
        self._may_start_job = may_start_job
        self.pending: dict[TaskKey, PendingPreemption] = {}
        self._last_run = timedelta(0)

    def new_view(self) -> None:
        """Forget the preemptions under way in the previous view."""
        self.pending.clear()

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """As leader, make room for jobs that may claim it: by priority, or within their team's guarantee.

        Only jobs that found no room for `preempt_after` claim any, most urgent first; the schedulers of the tasks to be
        stopped are told to stop them.
        """
        if self.pending:
            self.pending = {key: one for key, one in self.pending.items() if now - one.at < PREEMPTION_TIMEOUT}
        if not self._is_due(now):
            return
        self._last_run = now
        claimants = self._claimants(scheduler, now)
        if not claimants:
            return
        wall = self._runtime.wall()
        self._room_finder.refresh()
        rooms = {room.host: room.copy() for room in self._room_finder.rooms()}
        claims = _Claims(rooms, self._team_usage(), now)
        share_used = scheduler.usage_with_transfers()
        urgency_of = self._urgency_order.urgency_of
        hopeless: set[tuple[object, ...]] = set()
        for job_state in sorted(claimants, key=lambda one: urgency_of(one.job, one.idle_for(now, wall), wall)):
            spec = job_state.job.spec
            key = (needs(spec), spec.priority, spec.team)
            if key in hopeless or not self._may_preempt():
                continue
            wanted = self._wanted_tasks(job_state, share_used)
            if wanted > 0 and not self._make_room(job_state, wanted, claims):
                hopeless.add(key)

    def _is_due(self, now: timedelta) -> bool:
        may_decide = self._leadership.is_leading and self._state.reconciled
        return may_decide and now - self._last_run >= PREEMPTION_INTERVAL and self._may_preempt()

    def _may_preempt(self) -> bool:
        """Tell whether another task may be told to give way now."""
        large_fleet = len(self._state.machines) // MACHINES_PER_PREEMPTION
        return len(self.pending) < max(MAX_PENDING_PREEMPTIONS, large_fleet)

    def _claimants(self, scheduler: JobScheduler, now: timedelta) -> list[JobState]:
        preempt_after = self._state.tuning.preempt_after
        return [
            job_state
            for job_state in scheduler.with_pending_tasks.values()
            if job_state.waiting_since is not None
            and now - job_state.waiting_since >= preempt_after
            and job_state.claims_room
            and self._may_start_job(job_state)
        ]

    def _wanted_tasks(self, job_state: JobState, share_used: TeamAmounts) -> int:
        """Return for how many tasks of the job room is to be made, beside what others were told to give way for."""
        spec = job_state.job.spec
        promised = sum(one.claimant == spec.job_id for one in self.pending.values())
        used = share_used.get(spec.team, NOTHING)
        share = self._state.quota_shares.get(spec.team, NOTHING)
        return min(job_state.waiting - promised, task_headroom(spec, used, share, self._state.limits))

    def _make_room(self, job_state: JobState, wanted: int, claims: _Claims) -> bool:
        """Make room for tasks of a job, where the least is lost first; return False when some found none."""
        spec = job_state.job.spec
        # Whether a task may be stopped depends on little of it, and on what the teams use until one is.
        known: dict[tuple[object, ...], bool] = {}

        def is_claimable(victim: JobSpec) -> bool:
            key = (victim.team, victim.priority, victim.cpus, victim.gpus)
            if key not in known:
                known[key] = may_claim(spec, victim, claims.used, self._state.guarantees)
            return known[key]

        def cheapest_victims(host: str) -> tuple[float, list[RunningTask]] | None:
            return victims(spec, claims.rooms[host], claims.tasks[host], is_claimable, job_state.zones)

        heap = []
        for host in self._admitting_hosts(spec, claims):
            found = cheapest_victims(host)
            if found is not None:
                heap.append((found[0], host))
        heapq.heapify(heap)
        while wanted > 0 and heap and self._may_preempt():
            _, host = heapq.heappop(heap)
            # What went before may have changed who may be stopped, so it is looked at again.
            found = cheapest_victims(host)
            if found is None:
                continue
            self._preempt(spec, host, found[1], claims)
            known.clear()
            wanted -= 1
            found = cheapest_victims(host)
            if found is not None:
                heapq.heappush(heap, (found[0], host))
        return wanted <= 0

    def _admitting_hosts(self, spec: JobSpec, claims: _Claims) -> Iterator[str]:
        """Yield the machines that the job may use, and look up what runs there."""
        for host, room in claims.rooms.items():
            if admits(spec, room):
                if host not in claims.tasks:
                    claims.tasks[host] = self._preemptible_tasks(host)
                yield host

    def _preempt(self, claimant: JobSpec, host: str, preempted: list[RunningTask], claims: _Claims) -> None:
        """Tell tasks on a machine to give way to a task of the claimant."""
        room, tasks = claims.rooms[host], claims.tasks[host]
        for victim in preempted:
            spec = victim.spec
            task_id = f"{spec.job_id}/{victim.task_index}"
            log.debug("task preempted: task_id=%s claimant=%s host=%s", task_id, claimant.job_id, host)
            grace_s = spec.checkpoint_cost_s if spec.checkpoint_interval_s > 0 else 0.0
            self.pending[victim.key] = PendingPreemption(claimant.job_id, claims.now, grace_s)
            self.stop_task(victim.key, timedelta(seconds=grace_s))
            tasks.remove(victim)
            room.take(spec, -1)
            add_amounts(claims.used, spec.team, amounts_of(spec).times(-1))
        room.take(claimant)
        add_amounts(claims.used, claimant.team, amounts_of(claimant))
        self._state.counters["preemptions"] += len(preempted)

    def stop_task(self, key: TaskKey, grace: timedelta) -> None:
        """Stop an attempt of ours to make room, on the leader's request; one that is not ours is ignored.

        Raises
        ------
        NoPlaceInViewError
            If we schedule no jobs.
        """
        scheduler = self._state.require_scheduler()
        job_id, task_index, number = key
        job_state = scheduler.jobs.get(job_id)
        attempt = job_state.placed.get(task_index) if job_state is not None else None
        if job_state is not None and attempt is not None and attempt.number == number:
            # The room is for another job: this one looks elsewhere for a while.
            job_state.excluded_until[attempt.host] = self._runtime.now + PREEMPTION_TIMEOUT
            scheduler.stop(attempt, grace)

    def _preemptible_tasks(self, host: str) -> list[RunningTask]:
        """Return the tasks that hold room on a machine and were not told to give way yet."""
        found = []
        for job_id, task_index, number, phase, _cause in self._machine_index.machines[host].tasks:
            job = self._state.jobs.get(job_id)
            is_pending = (job_id, task_index, number) in self.pending
            if job is not None and phase in PREEMPTIBLE_STATUSES and not is_pending:
                found.append(RunningTask(job.spec, task_index, number))
        return found
