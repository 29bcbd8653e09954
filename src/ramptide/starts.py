"""Placement of waiting tasks, preemption, handover of jobs to the leader, and the demand that the leader counts."""

import heapq
import logging
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from ramptide import wire
from ramptide.allowances import NO_LIMIT, NOTHING, Amounts, add_amounts, limited, limits_of
from ramptide.fleet import Demand, Machine
from ramptide.floor import SILENT, UNTOLD, Host
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.jobs import Job
from ramptide.membership import View
from ramptide.peers import WaitingRow
from ramptide.placement import ROUNDING, Reach, Room, admits, choose, choose_many, fill, needs, usable
from ramptide.preemption import RunningTask, may_claim, victims
from ramptide.records import JOB_PREFIX, Handover, to_value
from ramptide.store import Transaction, TransactionResult
from ramptide.task_state import FINISHED_NAMES
from ramptide.urgency import Chance, chance, urgency

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)
MANY = 10**9
PREEMPT_EVERY = timedelta(milliseconds=500)
EVICTION_KEPT = timedelta(seconds=5)
#: Tasks that are told to give way and are not gone yet: so many, or one for so many machines on a large fleet.
EVICTIONS_AT_ONCE, MACHINES_PER_EVICTION = 40, 50
#: So many silent machines are returned at once rather than that a new view waits for the end of their leases.
FEW, FEW_SHARE = 3, 0.05
#: The last ones may be fewer, as they may be healthy, and are waited for so many report intervals.
LAST_SHARE, LAST_REPORTS = 0.01, 2
HAND_OVER_AGAIN = timedelta(milliseconds=500)
#: What a job that waited out its patience gets ahead of the others.
SLICE = 0.1


@dataclass(slots=True)
class Eviction:
    """A task that was told to give way to a job."""

    claimant: str
    at: timedelta
    grace: float


class Starter:
    """Starts waiting tasks, stops tasks in favour of others, and hands jobs over to the leader."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.evictions: dict[tuple[str, int, int], Eviction] = {}
        self._preempted_at = ZERO
        self._moving = 0

    def new_view(self) -> None:
        """Forget the preemptions and handovers under way in the previous view."""
        self.evictions.clear()
        self._moving = 0

    # Room.

    def rooms(self, ours_only: bool = False) -> list[Room]:
        """Return what is free on machines that take tasks now, and whose owners were heard recently."""
        c = self._c
        if ours_only:
            return list(c.floor.free(c.part.machines)) if c.part is not None else []
        fresh = c.fresh_members()
        if c.view is not None and len(fresh) >= len(c.view.members):
            return list(c.floor.free())
        return [room for room in c.floor.free() if c.owner(room.host) in fresh]

    def home_for(self, run: wire.Run) -> str:
        """Return the member whose machines have most room for the job, or the leader when it fits on none alone."""
        c = self._c
        assert c.view is not None
        c.floor.refresh()
        parts: dict[str, list[Room]] = {}
        for room in self.rooms():
            if room.cores + ROUNDING >= run.cores:
                parts.setdefault(c.owner(room.host), []).append(room)
        free = {member: sum(room.cores for room in rooms) for member, rooms in parts.items()}
        for member in sorted(free, key=lambda name: (-free[name], name)):
            if fill(run, run.pieces, parts[member], Counter(), take=False) == run.pieces:
                return member
        return c.view.leader

    # Starts.

    def place(self, home: JobScheduler, now: timedelta) -> None:
        """Start what finds room, the most urgent jobs first.

        Where one job of some needs found no room, no other of the same needs is tried in this round.
        """
        c = self._c
        home.clear_recovered(now)
        works = [
            w
            for w in home.with_pending_tasks.values()
            if not w.frozen and w.retry_at <= now and w.startable and c.ready(w)
        ]
        if not works:
            return
        ours_only = not c.membership.leading
        c.floor.refresh(c.part.machines if ours_only and c.part is not None else None)
        least = min(work.job.run.cores for work in works)
        rooms = [room for room in self.rooms(ours_only) if room.cores + ROUNDING >= least]
        wall = c.context.wall()
        using = home.usage_with_transfers()
        works = self._that_may_fit(works, rooms, using, now)
        works.sort(key=lambda work: self._urgency(work.job, work.idle_for(now, wall), wall))
        hopeless: set[tuple[object, ...]] = set()
        for work in works:
            reach = self._reach(work, now, wall)
            key = (needs(work.job.run), reach)
            left = key in hopeless
            if not left:
                most = self._most_at_once(work, reach, work.idle_for(now, wall))
                left = self._place_work(home, work, rooms, using, reach, most, now)
                if left and not work.excluded_until and not work.job.run.one_zone and not work.job.run.spread:
                    hopeless.add(key)
            work.note_wait(now, work.startable > 0, left)

    def _that_may_fit(
        self, works: list[JobState], rooms: list[Room], using: dict[str, Amounts], now: timedelta
    ) -> list[JobState]:
        """Return the jobs of which a task is no larger than all rooms, and note of the others that they wait.

        On a full fleet that spares the order, and the walk of the rooms, for all but a few jobs.
        """
        cores = max((room.cores for room in rooms), default=0.0) + ROUNDING
        ram_gb = max((room.ram_gb for room in rooms), default=0.0) + ROUNDING
        found = []
        for work in works:
            run = work.job.run
            if rooms and run.cores <= cores and run.ram_gb <= ram_gb:
                found.append(work)
            else:
                most = self._c.grants.get(run.team, NOTHING)
                work.note_wait(now, True, self.headroom(run, using.get(run.team, NOTHING), most) > 0)
        return found

    def _urgency(self, job: Job, idle: timedelta, wall: datetime) -> tuple[Any, ...]:
        tuning = self._c.tuning
        return urgency(job, idle, wall, self._c.prompt, tuning.patience, tuning.begin_within)

    def _reach(self, work: JobState, now: timedelta, wall: datetime) -> Reach:
        """Return which of the room kept for services the job may use.

        With no capacity to be rented an idle pool helps nobody. The room on the services' own machines is given up
        last, but no job is left waiting for long beside room that nobody uses.
        """
        idle = work.idle_for(now, wall)
        short = now - work.without_room_since if work.without_room_since is not None else ZERO
        starved = chance(work.job, idle, wall, self._c.tuning.patience) is Chance.STARVED
        if starved or min(idle, short) > self._c.tuning.share_wait:
            return Reach.ALL
        waited = now - work.waiting_since if work.waiting_since is not None else ZERO
        return Reach.POOL if work.failing or waited > self._c.tuning.long_wait else Reach.NONE

    def _place_work(
        self,
        home: JobScheduler,
        work: JobState,
        rooms: list[Room],
        using: dict[str, Amounts],
        reach: Reach,
        most: int,
        now: timedelta,
    ) -> bool:
        """Start up to `most` tasks of one job; return True when fewer than it may start found room."""
        run = work.job.run
        rooms = self._open_to(work, rooms, reach, now)
        headroom = self.headroom(run, using.get(run.team, NOTHING), self._c.grants.get(run.team, NOTHING))
        allowed = min(headroom, work.startable, most)
        before, short = work.waiting, False
        if run.shape == wire.SERVICE:
            while allowed > 0 and work.next_task() is not None:
                room = choose(run, rooms, work.zones, reach)
                if room is None:
                    short = True
                    break
                self._start(home, work, room, now)
                allowed -= 1
        else:
            for room, count in choose_many(run, rooms, work.zones, allowed, reach) if allowed > 0 else ():
                for _ in range(count):
                    if work.next_task() is None:
                        break
                    self._start(home, work, room, now)
            short = before - work.waiting < allowed
        started = before - work.waiting
        if started:
            add_amounts(using, run.team, run.cores * started, run.cards * started)
            self._c.counters["starts"] += started
        return short

    def _most_at_once(self, work: JobState, reach: Reach, idle: timedelta) -> int:
        """Return how many tasks may go ahead of others, for a job that has waited out its patience or is to begin."""
        if idle > self._c.tuning.begin_within:
            return 1
        if reach is Reach.ALL and work.job.run.shape != wire.SERVICE:
            return math.ceil(work.job.run.pieces * SLICE)
        return MANY

    def _open_to(self, work: JobState, rooms: list[Room], reach: Reach, now: timedelta) -> list[Room]:
        """Return the rooms without those that the job avoids.

        A job that fails goes where it has not failed yet, in the whole fleet: it must not be confined to one owner's
        machines that are at fault. When it failed on many, and no such room is left, any will do, so that none is
        rented for it.
        """
        if work.excluded_until:
            work.excluded_until = {host: until for host, until in work.excluded_until.items() if until > now}
        others = [room for room in rooms if room.host not in work.excluded_until] if work.excluded_until else rooms
        if not work.failing:
            return others
        fresh = [room for room in others if room.host not in work.failed_on]
        picky = work.avoids or not self._c.membership.leading
        return fresh if picky or usable(work.job.run, fresh, work.zones, reach) else rooms

    def _start(self, home: JobScheduler, work: JobState, room: Room, now: timedelta) -> None:
        task = work.next_task()
        assert task is not None
        home.start(work, task, room.host, room.zone, now)
        room.take(work.job.run)
        if work.job.run.shape == wire.SERVICE:
            room.service_cores += work.job.run.cores
        room.idle = room.in_pool = False
        self._c.floor.touch(room.host)

    def headroom(self, run: wire.Run, using: Amounts, most: Amounts) -> int:
        """Return how many more tasks of the job its team may run within `most`, given what it uses."""
        if not limited(self._c.teams.get(run.team)):
            return MANY
        counts = [
            math.floor((limit - used + 1e-6) / each)
            for limit, used, each in ((most[0], using[0], run.cores), (most[1], using[1], run.cards))
            if each > 0 and limit != NO_LIMIT
        ]
        return max(0, min(counts)) if counts else MANY

    def clear_machines(self, home: JobScheduler) -> None:
        """Stop tasks on machines that are drained or about to be reclaimed."""
        c = self._c
        for name in list(home.attempts):
            record, host = c.machines.get(name), c.floor.hosts.get(name)
            draining = record is not None and record.leaving not in (None, "idle")
            notice = host.notice if host is not None else None
            if not draining and notice is None:
                continue
            for attempt in list(home.attempts[name].values()):
                saves = attempt.run.mark_every_s > 0
                # A task that cannot save may still finish before the machine goes.
                if draining or saves or attempt.run.shape == wire.SERVICE:
                    home.stop(attempt, timedelta(seconds=attempt.run.mark_cost_s if saves else 0))

    # Who gives way.

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
        rooms = {room.host: room.copy() for room in self.rooms()}
        tasks: dict[str, list[RunningTask]] = {}
        using = self.team_use()
        held = home.usage_with_transfers()
        hopeless: set[tuple[object, ...]] = set()
        for work in sorted(claims, key=lambda one: self._urgency(one.job, one.idle_for(now, wall), wall)):
            run = work.job.run
            key = (needs(run), run.rank, run.team)
            if key in hopeless or not self._may_evict():
                continue
            promised = sum(one.claimant == run.ref for one in self.evictions.values())
            left = min(
                work.waiting - promised,
                self.headroom(run, held.get(run.team, NOTHING), c.grants.get(run.team, NOTHING)),
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
            add_amounts(using, victim.run.team, -victim.run.cores, -victim.run.cards)
        room.take(run)
        add_amounts(using, run.team, run.cores, run.cards)
        self._c.counters["preemptions"] += len(going)

    def evict(self, ref: str, task: int, number: int, grace: timedelta) -> None:
        """Stop an attempt of ours to make room, on the leader's request."""
        home = self._c.home
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

    def team_use(self) -> dict[str, Amounts]:
        """Return what the attempts of all schedulers hold, by team."""
        c = self._c
        assert c.home is not None
        using = c.home.usage()
        for said in c.peers.messages():
            for team, (cores, cards) in said.using.items():
                add_amounts(using, team, cores, cards)
        return using

    # What goes to the leader.

    def hand_over(self, home: JobScheduler, now: timedelta) -> None:
        """Hand jobs that find no room on our own machines over to the leader, who may use all machines."""
        c = self._c
        view = c.view
        assert view is not None
        if c.membership.leading or view.leader not in c.fresh_members():
            return
        for work in list(home.with_pending_tasks.values()):
            if self._moving >= c.store.limits.txn_ops:
                return
            waited = work.waiting_since is not None and now - work.waiting_since > c.tuning.hand_over
            if waited and not work.frozen and work.retry_at <= now and c.ready(work):
                self._hand_over_job(work, view, home)

    def _hand_over_job(self, work: JobState, view: View, home: JobScheduler) -> None:
        work.frozen = True
        self._moving += 1
        record = msgspec.structs.replace(
            work.job.record, home=view.leader, hand=Handover(view.number, self._c.member, home.seq + 1)
        )
        key = JOB_PREFIX + work.job.ref
        txn = Transaction(when={key: work.job.stamp}, puts=[(key, to_value(record), None)])
        self._commit_handover(work, view, txn, unsure=False)

    def _commit_handover(self, work: JobState, view: View, txn: Transaction, unsure: bool) -> None:
        """Write the handover of a job.

        `unsure`: a copy without an answer may have been applied, or may be yet. The new scheduler relies on nothing
        being started here after it, so the write is repeated until its result is known.
        """
        c = self._c

        def done(outcome: TransactionResult) -> None:
            if outcome.epoch is not None:
                log.debug("%s goes to %s", work.job.ref, view.leader)
                c.mirror.applied(outcome.epoch, txn.puts, txn.drops)
            if c.view is not view:
                return
            if outcome.epoch is not None or outcome.failed is None and not outcome.sent and not unsure:
                self._thaw(work, view)
            elif outcome.failed is None:
                c.context.after(HAND_OVER_AGAIN, again)
            else:
                # The record moved on, perhaps by the copy: our own must show it before anything is started.
                c.mirror.catch_up(lambda fresh: self._thaw(work, view) if fresh else again())

        def again() -> None:
            if c.view is view:
                self._commit_handover(work, view, txn, unsure=True)

        c.commits.add(txn, done)

    def _thaw(self, work: JobState, view: View) -> None:
        if self._c.view is view:
            self._moving -= 1
            work.frozen = False

    # What the leader counts.

    def waiting_rows(self, home: JobScheduler, now: timedelta) -> list[WaitingRow]:
        """Return a row for each of our jobs that has startable tasks."""
        return [
            (
                w.job.ref,
                startable,
                (now - w.waiting_since).total_seconds() if w.waiting_since is not None else 0.0,
                sorted(w.avoids),
            )
            for w in home.with_pending_tasks.values()
            if w.retry_at <= now and (startable := w.startable)
        ]

    def asking(self, home: JobScheduler) -> dict[str, Amounts]:
        """Return what our waiting tasks would use of each team's limit."""
        asking: dict[str, Amounts] = {}
        for work in home.with_pending_tasks.values():
            if work.retry_at <= self._c.context.now:
                run, tasks = work.job.run, work.startable
                add_amounts(asking, run.team, run.cores * tasks, run.cards * tasks)
        return asking

    def demands(self) -> list[Demand]:
        """Return the waiting tasks of all schedulers that their team's limit lets run now, most urgent first."""
        c = self._c
        home = c.home
        assert home is not None
        now, wall = c.context.now, c.context.wall()
        using = self.team_use()
        rows: list[tuple[WaitingRow, Counter[str]]] = [
            (row, home.jobs[row[0]].zones) for row in self.waiting_rows(home, now)
        ]
        for said in c.peers.messages():
            # A job that was handed over to us may still be in its old home's last message.
            rows += [(row, Counter()) for row in said.waiting if row[0] not in home.jobs]
        found = [(c.jobs[row[0]], row, placed) for row, placed in rows if row[0] in c.jobs]
        found.sort(key=lambda one: self._urgency(one[0], timedelta(seconds=one[1][2]), wall))
        demands = []
        for job, row, placed in found:
            run = job.run
            owner = c.teams.get(run.team)
            most = limits_of(owner) if owner is not None else NOTHING
            tasks = min(row[1], self.headroom(run, using.get(run.team, NOTHING), most))
            if tasks > 0:
                add_amounts(using, run.team, run.cores * tasks, run.cards * tasks)
                demands.append(Demand(run, tasks, timedelta(seconds=row[2]), Counter(placed), frozenset(row[3])))
        return demands

    def machines_known(self, listed: dict[str, str], missing: Iterable[str]) -> list[Machine]:
        """Return what is known of every machine in the fleet record.

        `listed`: the status of machines in the cloud's list. `missing`: machines that the list lacks.
        """
        c = self._c
        now, wall = c.context.now, c.context.wall().timestamp()
        c.floor.refresh()
        rooms = {room.host: room for room in self.rooms()}
        gone = set(missing)
        holding_up = self._holding_up(now)
        machines = []
        for name, record in c.machines.items():
            host = c.floor.hosts.get(name) or Host()
            room = rooms.get(name)
            machines.append(
                Machine(
                    host=name,
                    record=record,
                    flavor=c.flavors.get(record.flavor),
                    up=host.up,
                    age=timedelta(seconds=max(0.0, wall - record.at)),
                    # Only its owner can tell that it is silent: not to hear the owner says nothing of the machine.
                    silent=now - max(host.heard, c.view_at) if host.known and host.quiet else ZERO,
                    notice=None if host.notice is None else host.notice - now,
                    failing=c.floor.failing(name) if name in c.floor.hosts else 0,
                    failed=host.failing,
                    tasks=host.busy + (len(c.home.attempts.get(name, ())) if c.home is not None else 0),
                    room=room.copy() if room is not None else None,
                    drained=host.known and host.leaving and not host.busy,
                    listed=listed.get(name),
                    known=name not in gone,
                    holds_up=name in holding_up,
                    deaf=now - host.deaf_since if host.deaf_since is not None else ZERO,
                    unproven=c.floor.unproven(name, now),
                    owner=c.owner(name),
                    serving=self._serving(host) if room is not None and room.service_cores else [],
                )
            )
        return machines

    def _holding_up(self, now: timedelta) -> set[str]:
        """Return the few machines that a new view waits for and that are returned rather than waited for.

        These are silent ones, or the very last that did not report in time. On a large fleet some machine has nearly
        always just failed.
        """
        c = self._c
        left = {} if c.latched else c.unsettled()
        silent = {name for name, why in left.items() if why == SILENT}
        found = silent if len(silent) <= max(FEW, len(c.machines) * FEW_SHARE) else set()
        end = c.others_end() if left and len(left) <= max(FEW, len(c.machines) * LAST_SHARE) else None
        if end is not None and now - end > c.report_every * LAST_REPORTS:
            # Nobody else answers them any more, so they would have found their owners.
            found |= {name for name, why in left.items() if why == UNTOLD}
        return found

    def _serving(self, host: Host) -> list[wire.Run]:
        """Return what runs there when that is services only, else nothing; tasks of finished jobs don't count."""
        jobs = (self._c.jobs.get(row[0]) for row in host.tasks if row[3] not in FINISHED_NAMES)
        found = [job.run for job in jobs if job is not None]
        return found if all(run.shape == wire.SERVICE for run in found) else []
