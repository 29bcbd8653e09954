"""The placement round: which of the waiting tasks of our jobs start where."""

import logging
import math
from collections import Counter
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from ramptide import wire
from ramptide.amounts import NOTHING, Amounts, add_amounts, amounts_of, tasks_within
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.jobs import Job
from ramptide.placement import ROUNDING, Reach, Room, choose, choose_many, fill, needs, usable
from ramptide.urgency import Chance, chance, urgency

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)
MANY = 10**9
#: What a job that waited out its patience gets ahead of the others.
SLICE = 0.1


class Starter:
    """Starts waiting tasks, and stops those on machines that are drained."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller

    # Room.

    def rooms(self, ours_only: bool = False) -> list[Room]:
        """Return what is free on machines that take tasks now, and whose owners were heard recently."""
        c = self._c
        if ours_only:
            return list(c.floor.free(c.shard.machines)) if c.shard is not None else []
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
        c.floor.refresh(c.shard.machines if ours_only and c.shard is not None else None)
        least = min(work.job.run.cores for work in works)
        rooms = [room for room in self.rooms(ours_only) if room.cores + ROUNDING >= least]
        wall = c.context.wall()
        using = home.usage_with_transfers()
        works = self._that_may_fit(works, rooms, using, now)
        works.sort(key=lambda work: self.urgency_of(work.job, work.idle_for(now, wall), wall))
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
        # Whether the limit lets a task run, by what decides that: many jobs are alike.
        allowed: dict[tuple[str, float, float], bool] = {}
        for work in works:
            run = work.job.run
            if rooms and run.cores <= cores and run.ram_gb <= ram_gb:
                found.append(work)
                continue
            key = (run.team, run.cores, run.cards)
            if key not in allowed:
                most = self._c.grants.get(run.team, NOTHING)
                allowed[key] = self.headroom(run, using.get(run.team, NOTHING), most) > 0
            work.note_wait(now, True, allowed[key])
        return found

    def urgency_of(self, job: Job, idle: timedelta, wall: datetime) -> tuple[Any, ...]:
        """Return the sort key of a job that has been idle for so long, the most urgent lowest."""
        tuning = self._c.tuning
        quota = self._c.quota
        guaranteed = quota is not None and bool(tuning.guarantees_first) and quota.within_guarantee(job.run)
        return urgency(job, idle, wall, self._c.prompt, tuning.patience, tuning.begin_within, guaranteed)

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
        # Room within a guarantee is about to be taken from running tasks: an idle machine costs less.
        quota = self._c.quota
        claims = quota is not None and waited >= self._c.tuning.preempt_after and quota.within_guarantee(work.job.run)
        return Reach.POOL if work.failing or claims or waited > self._c.tuning.long_wait else Reach.NONE

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
        if self._c.quota is not None:
            rooms = self._c.quota.unclaimed(run, rooms)
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
            add_amounts(using, run.team, amounts_of(run).times(started))
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
        if run.team not in self._c.limits:
            return MANY
        tasks = tasks_within(Amounts(most[0] - using[0], most[1] - using[1]), amounts_of(run))
        return MANY if tasks is None else tasks

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
