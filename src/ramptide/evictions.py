"""The tasks that the leader has stopped to make room for more urgent jobs."""

import heapq
import logging
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ramptide import wire
from ramptide.amounts import NOTHING, Amounts, add_amounts, amounts_of
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.placement import Room, admits, needs
from ramptide.preemption import RunningTask, may_claim, victims

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
    grace: float


class Evictor:
    """As leader, decides which tasks give way; as their scheduler, stops them."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.evictions: dict[tuple[str, int, int], Eviction] = {}
        self._preempted_at = ZERO

    def new_view(self) -> None:
        """Forget the preemptions under way in the previous view."""
        self.evictions.clear()

    def preempt(self, home: JobScheduler, now: timedelta) -> None:
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
            work
            for work in home.with_pending_tasks.values()
            if work.waiting_since is not None
            and now - work.waiting_since >= c.tuning.preempt_after
            and work.claims_room
            and c.ready(work)
        ]
        if not claims:
            return
        wall = c.context.wall()
        c.floor.refresh()
        rooms = {room.host: room.copy() for room in c.starter.rooms()}
        tasks: dict[str, list[RunningTask]] = {}
        using = c.knowledge.team_use()
        held = home.usage_with_transfers()
        hopeless: set[tuple[object, ...]] = set()
        for work in sorted(claims, key=lambda one: c.starter.urgency_of(one.job, one.idle_for(now, wall), wall)):
            run = work.job.run
            key = (needs(run), run.rank, run.team)
            if key in hopeless or not self._may_evict():
                continue
            promised = sum(one.claimant == run.ref for one in self.evictions.values())
            left = min(
                work.waiting - promised,
                c.starter.headroom(run, held.get(run.team, NOTHING), c.grants.get(run.team, NOTHING)),
            )
            if left > 0 and not self._claim(work, left, rooms, tasks, using, now):
                hopeless.add(key)

    def _may_evict(self) -> bool:
        """Tell whether another task may be told to give way now."""
        return len(self.evictions) < max(EVICTIONS_AT_ONCE, len(self._c.machines) // MACHINES_PER_EVICTION)

    def _claim(
        self,
        work: JobState,
        left: int,
        rooms: dict[str, Room],
        tasks: dict[str, list[RunningTask]],
        using: dict[str, Amounts],
        now: timedelta,
    ) -> bool:
        """Make room for `left` tasks of a job, where the least is lost first; return False when some found none."""
        run = work.job.run
        # Whether a task may be stopped depends on little of it, and on what the teams use until one is.
        known: dict[tuple[object, ...], bool] = {}

        def claimable(victim: wire.Run) -> bool:
            key = (victim.team, victim.rank, victim.cores, victim.cards)
            if key not in known:
                known[key] = may_claim(run, victim, using, self._c.guarantees)
            return known[key]

        heap = []
        for host, room in rooms.items():
            if not admits(run, room):
                continue
            if host not in tasks:
                tasks[host] = self._stoppable(host)
            found = victims(run, room, tasks[host], claimable, work.zones)
            if found is not None:
                heap.append((found[0], host))
        heapq.heapify(heap)
        while left > 0 and heap and self._may_evict():
            _, host = heapq.heappop(heap)
            # What went before may have changed who may be stopped, so it is looked at again.
            found = victims(run, rooms[host], tasks[host], claimable, work.zones)
            if found is None:
                continue
            self._stop_for(run, rooms[host], found[1], tasks[host], using, now)
            known.clear()
            left -= 1
            found = victims(run, rooms[host], tasks[host], claimable, work.zones)
            if found is not None:
                heapq.heappush(heap, (found[0], host))
        return left <= 0

    def _stop_for(
        self,
        run: wire.Run,
        room: Room,
        going: list[RunningTask],
        tasks: list[RunningTask],
        using: dict[str, Amounts],
        now: timedelta,
    ) -> None:
        for victim in going:
            log.debug("%s/%d gives way to %s on %s", victim.run.ref, victim.task, run.ref, room.host)
            grace = victim.run.mark_cost_s if victim.run.mark_every_s > 0 else 0.0
            self.evictions[victim.key] = Eviction(run.ref, now, grace)
            self.evict(*victim.key, timedelta(seconds=grace))
            tasks.remove(victim)
            room.take(victim.run, -1)
            add_amounts(using, victim.run.team, amounts_of(victim.run).times(-1))
        room.take(run)
        add_amounts(using, run.team, amounts_of(run))
        self._c.counters["preemptions"] += len(going)

    def evict(self, ref: str, task: int, number: int, grace: timedelta) -> None:
        """Stop an attempt of ours to make room, on the leader's request."""
        home = self._c.scheduler
        assert home is not None
        work = home.jobs.get(ref)
        attempt = work.placed.get(task) if work is not None else None
        if work is not None and attempt is not None and attempt.number == number:
            # The room is for another job: this one looks elsewhere for a while.
            work.excluded_until[attempt.host] = self._c.context.now + EVICTION_KEPT
            home.stop(attempt, grace)

    def _stoppable(self, name: str) -> list[RunningTask]:
        found = []
        for ref, task, number, phase, _cause in self._c.floor.hosts[name].tasks:
            job = self._c.jobs.get(ref)
            going = (ref, task, number) in self.evictions
            if job is not None and phase in (wire.FETCHING, wire.RUNNING) and not going:
                found.append(RunningTask(job.run, task, number))
        return found
