"""The tasks that the leader has stopped to make room for more urgent jobs."""

import heapq
import logging
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ramptide.amounts import NOTHING, Amounts, add_amounts, amounts_of
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.placement import Room, admits, needs
from ramptide.preemption import RunningTask, may_claim, victims
from ramptide.protocol.agents import TaskStatus
from ramptide.protocol.jobs import JobSpec

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)
PREEMPT_EVERY = timedelta(milliseconds=500)
EVICTION_KEPT = timedelta(seconds=5)
#: Tasks that are told to give way and are not gone yet: so many, or one for so many machines on a large fleet.
EVICTIONS_AT_ONCE, MACHINES_PER_EVICTION = 40, 50


@dataclass(slots=True)
class Eviction:
    """A task that was told to give way to a job."""

    claimant: str
    at: timedelta
    grace_s: float


class Evictor:
    """As leader, decides which tasks give way; as their scheduler, stops them."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.evictions: dict[tuple[str, int, int], Eviction] = {}
        self._preempted_at = ZERO

    def new_view(self) -> None:
        """Forget the preemptions under way in the previous view."""
        self.evictions.clear()

    def preempt(self, scheduler: JobScheduler, now: timedelta) -> None:
        """As leader, make room for jobs that may claim it: by rank, or within their team's guarantee.

        Only jobs that found no room for `preempt_after` claim any, most urgent first; the schedulers of the tasks to be
        stopped are told to stop them.
        """
        c = self._c
        if self.evictions:
            self.evictions = {key: one for key, one in self.evictions.items() if now - one.at < EVICTION_KEPT}
        if not c.membership.leading or not c.latched or now - self._preempted_at < PREEMPT_EVERY:
            return
        if not self._may_evict():
            return
        self._preempted_at = now
        claims = [
            job_state
            for job_state in scheduler.with_pending_tasks.values()
            if job_state.waiting_since is not None
            and now - job_state.waiting_since >= c.tuning.preempt_after
            and job_state.claims_room
            and c.ready(job_state)
        ]
        if not claims:
            return
        wall = c.context.wall()
        c.floor.refresh()
        rooms = {room.host: room.copy() for room in c.starter.rooms()}
        tasks: dict[str, list[RunningTask]] = {}
        using = c.knowledge.team_use()
        held = scheduler.usage_with_transfers()
        hopeless: set[tuple[object, ...]] = set()
        for job_state in sorted(claims, key=lambda one: c.starter.urgency_of(one.job, one.idle_for(now, wall), wall)):
            spec = job_state.job.spec
            key = (needs(spec), spec.priority, spec.team)
            if key in hopeless or not self._may_evict():
                continue
            promised = sum(one.claimant == spec.job_id for one in self.evictions.values())
            left = min(
                job_state.waiting - promised,
                c.starter.headroom(spec, held.get(spec.team, NOTHING), c.grants.get(spec.team, NOTHING)),
            )
            if left > 0 and not self._claim(job_state, left, rooms, tasks, using, now):
                hopeless.add(key)

    def _may_evict(self) -> bool:
        """Tell whether another task may be told to give way now."""
        return len(self.evictions) < max(EVICTIONS_AT_ONCE, len(self._c.machines) // MACHINES_PER_EVICTION)

    def _claim(
        self,
        job_state: JobState,
        left: int,
        rooms: dict[str, Room],
        tasks: dict[str, list[RunningTask]],
        using: dict[str, Amounts],
        now: timedelta,
    ) -> bool:
        """Make room for `left` tasks of a job, where the least is lost first; return False when some found none."""
        spec = job_state.job.spec
        # Whether a task may be stopped depends on little of it, and on what the teams use until one is.
        known: dict[tuple[object, ...], bool] = {}

        def claimable(victim: JobSpec) -> bool:
            key = (victim.team, victim.priority, victim.cpus, victim.gpus)
            if key not in known:
                known[key] = may_claim(spec, victim, using, self._c.guarantees)
            return known[key]

        heap = []
        for host, room in rooms.items():
            if not admits(spec, room):
                continue
            if host not in tasks:
                tasks[host] = self._stoppable(host)
            found = victims(spec, room, tasks[host], claimable, job_state.zones)
            if found is not None:
                heap.append((found[0], host))
        heapq.heapify(heap)
        while left > 0 and heap and self._may_evict():
            _, host = heapq.heappop(heap)
            # What went before may have changed who may be stopped, so it is looked at again.
            found = victims(spec, rooms[host], tasks[host], claimable, job_state.zones)
            if found is None:
                continue
            self._stop_for(spec, rooms[host], found[1], tasks[host], using, now)
            known.clear()
            left -= 1
            found = victims(spec, rooms[host], tasks[host], claimable, job_state.zones)
            if found is not None:
                heapq.heappush(heap, (found[0], host))
        return left <= 0

    def _stop_for(
        self,
        spec: JobSpec,
        room: Room,
        going: list[RunningTask],
        tasks: list[RunningTask],
        using: dict[str, Amounts],
        now: timedelta,
    ) -> None:
        for victim in going:
            log.debug("%s/%d gives way to %s on %s", victim.spec.job_id, victim.task_index, spec.job_id, room.host)
            grace = victim.spec.checkpoint_cost_s if victim.spec.checkpoint_interval_s > 0 else 0.0
            self.evictions[victim.key] = Eviction(spec.job_id, now, grace)
            self.evict(*victim.key, timedelta(seconds=grace))
            tasks.remove(victim)
            room.take(victim.spec, -1)
            add_amounts(using, victim.spec.team, amounts_of(victim.spec).times(-1))
        room.take(spec)
        add_amounts(using, spec.team, amounts_of(spec))
        self._c.counters["preemptions"] += len(going)

    def evict(self, job_id: str, task: int, number: int, grace: timedelta) -> None:
        """Stop an attempt of ours to make room, on the leader's request."""
        scheduler = self._c.scheduler
        assert scheduler is not None
        job_state = scheduler.jobs.get(job_id)
        attempt = job_state.placed.get(task) if job_state is not None else None
        if job_state is not None and attempt is not None and attempt.number == number:
            # The room is for another job: this one looks elsewhere for a while.
            job_state.excluded_until[attempt.host] = self._c.context.now + EVICTION_KEPT
            scheduler.stop(attempt, grace)

    def _stoppable(self, name: str) -> list[RunningTask]:
        found = []
        for job_id, task, number, phase, _cause in self._c.floor.hosts[name].tasks:
            job = self._c.jobs.get(job_id)
            going = (job_id, task, number) in self.evictions
            if job is not None and phase in (TaskStatus.FETCHING, TaskStatus.RUNNING) and not going:
                found.append(RunningTask(job.spec, task, number))
        return found
