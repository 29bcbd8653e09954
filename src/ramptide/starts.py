"""The placement round: which of the waiting tasks of our jobs start where."""

import logging
import math
from collections import Counter
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from ramptide.amounts import NOTHING, Amounts, add_amounts, amounts_of, tasks_within
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.jobs import Job
from ramptide.placement import ROUNDING, Reach, Room, choose, choose_many, fill, needs, usable
from ramptide.protocol.jobs import SERVICE, JobSpec
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

    def home_for(self, spec: JobSpec) -> str:
        """Return the member whose machines have most room for the job, or the leader when it fits on none alone."""
        c = self._c
        assert c.view is not None
        c.floor.refresh()
        parts: dict[str, list[Room]] = {}
        for room in self.rooms():
            if room.cpus + ROUNDING >= spec.cpus:
                parts.setdefault(c.owner(room.host), []).append(room)
        free = {member: sum(room.cpus for room in rooms) for member, rooms in parts.items()}
        for member in sorted(free, key=lambda name: (-free[name], name)):
            if fill(spec, spec.task_count, parts[member], Counter(), take=False) == spec.task_count:
                return member
        return c.view.leader

    # Starts.

    def place(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Start what finds room, the most urgent jobs first.

        Where one job of some needs found no room, no other of the same needs is tried in this round.
        """
        c = self._c
        scheduler.clear_recovered(now)
        job_states = [
            w
            for w in scheduler.with_pending_tasks.values()
            if not w.frozen and w.retry_at <= now and w.startable and c.ready(w)
        ]
        if not job_states:
            return
        ours_only = not c.membership.leading
        c.floor.refresh(c.shard.machines if ours_only and c.shard is not None else None)
        least = min(job_state.job.spec.cpus for job_state in job_states)
        rooms = [room for room in self.rooms(ours_only) if room.cpus + ROUNDING >= least]
        wall = c.context.wall()
        using = scheduler.usage_with_transfers()
        job_states = self._that_may_fit(job_states, rooms, using, now)
        job_states.sort(key=lambda job_state: self.urgency_of(job_state.job, job_state.idle_for(now, wall), wall))
        hopeless: set[tuple[object, ...]] = set()
        for job_state in job_states:
            reach = self._reach(job_state, now, wall)
            key = (needs(job_state.job.spec), reach)
            left = key in hopeless
            if not left:
                most = self._most_at_once(job_state, reach, job_state.idle_for(now, wall))
                left = self._place_work(scheduler, job_state, rooms, using, reach, most, now)
                if (
                    left
                    and not job_state.excluded_until
                    and not job_state.job.spec.single_zone
                    and not job_state.job.spec.spread_zones
                ):
                    hopeless.add(key)
            job_state.note_wait(now, job_state.startable > 0, left)

    def _that_may_fit(
        self, job_states: list[JobState], rooms: list[Room], using: dict[str, Amounts], now: timedelta
    ) -> list[JobState]:
        """Return the jobs of which a task is no larger than all rooms, and note of the others that they wait.

        On a full fleet that spares the order, and the walk of the rooms, for all but a few jobs.
        """
        cpus = max((room.cpus for room in rooms), default=0.0) + ROUNDING
        ram_gb = max((room.ram_gb for room in rooms), default=0.0) + ROUNDING
        found = []
        # Whether the limit lets a task run, by what decides that: many jobs are alike.
        allowed: dict[tuple[str, float, float], bool] = {}
        for job_state in job_states:
            spec = job_state.job.spec
            if rooms and spec.cpus <= cpus and spec.ram_gb <= ram_gb:
                found.append(job_state)
                continue
            key = (spec.team, spec.cpus, spec.gpus)
            if key not in allowed:
                most = self._c.grants.get(spec.team, NOTHING)
                allowed[key] = self.headroom(spec, using.get(spec.team, NOTHING), most) > 0
            job_state.note_wait(now, True, allowed[key])
        return found

    def urgency_of(self, job: Job, idle: timedelta, wall: datetime) -> tuple[Any, ...]:
        """Return the sort key of a job that has been idle for so long, the most urgent lowest."""
        tuning = self._c.tuning
        quota = self._c.quota
        guaranteed = quota is not None and bool(tuning.guarantees_first) and quota.within_guarantee(job.spec)
        return urgency(job, idle, wall, self._c.prompt, tuning.patience, tuning.begin_within, guaranteed)

    def _reach(self, job_state: JobState, now: timedelta, wall: datetime) -> Reach:
        """Return which of the room kept for services the job may use.

        With no capacity to be rented an idle pool helps nobody. The room on the services' own machines is given up
        last, but no job is left waiting for long beside room that nobody uses.
        """
        idle = job_state.idle_for(now, wall)
        short = now - job_state.without_room_since if job_state.without_room_since is not None else ZERO
        starved = chance(job_state.job, idle, wall, self._c.tuning.patience) is Chance.STARVED
        if starved or min(idle, short) > self._c.tuning.share_wait:
            return Reach.ALL
        waited = now - job_state.waiting_since if job_state.waiting_since is not None else ZERO
        # Room within a guarantee is about to be taken from running tasks: an idle machine costs less.
        quota = self._c.quota
        may_preempt = quota is not None and waited >= self._c.tuning.preempt_after
        claims = may_preempt and quota is not None and quota.within_guarantee(job_state.job.spec)
        return Reach.POOL if job_state.failing or claims or waited > self._c.tuning.long_wait else Reach.NONE

    def _place_work(
        self,
        scheduler: JobScheduler,
        job_state: JobState,
        rooms: list[Room],
        using: dict[str, Amounts],
        reach: Reach,
        most: int,
        now: timedelta,
    ) -> bool:
        """Start up to `most` tasks of one job; return True when fewer than it may start found room."""
        spec = job_state.job.spec
        rooms = self._open_to(job_state, rooms, reach, now)
        if self._c.quota is not None:
            rooms = self._c.quota.unclaimed(spec, rooms)
        headroom = self.headroom(spec, using.get(spec.team, NOTHING), self._c.grants.get(spec.team, NOTHING))
        allowed = min(headroom, job_state.startable, most)
        before, short = job_state.waiting, False
        if spec.kind == SERVICE:
            while allowed > 0 and job_state.next_task() is not None:
                room = choose(spec, rooms, job_state.zones, reach)
                if room is None:
                    short = True
                    break
                self._start(scheduler, job_state, room, now)
                allowed -= 1
        else:
            for room, count in choose_many(spec, rooms, job_state.zones, allowed, reach) if allowed > 0 else ():
                for _ in range(count):
                    if job_state.next_task() is None:
                        break
                    self._start(scheduler, job_state, room, now)
            short = before - job_state.waiting < allowed
        started = before - job_state.waiting
        if started:
            add_amounts(using, spec.team, amounts_of(spec).times(started))
            self._c.counters["starts"] += started
        return short

    def _most_at_once(self, job_state: JobState, reach: Reach, idle: timedelta) -> int:
        """Return how many tasks may go ahead of others, for a job that has waited out its patience or is to begin."""
        if idle > self._c.tuning.begin_within:
            return 1
        if reach is Reach.ALL and job_state.job.spec.kind != SERVICE:
            return math.ceil(job_state.job.spec.task_count * SLICE)
        return MANY

    def _open_to(self, job_state: JobState, rooms: list[Room], reach: Reach, now: timedelta) -> list[Room]:
        """Return the rooms without those that the job avoids.

        A job that fails goes where it has not failed yet, in the whole fleet: it must not be confined to one owner's
        machines that are at fault. When it failed on many, and no such room is left, any will do, so that none is
        rented for it.
        """
        if job_state.excluded_until:
            job_state.excluded_until = {host: until for host, until in job_state.excluded_until.items() if until > now}
        excluded = job_state.excluded_until
        others = [room for room in rooms if room.host not in excluded] if excluded else rooms
        if not job_state.failing:
            return others
        fresh = [room for room in others if room.host not in job_state.failed_on]
        picky = job_state.avoids or not self._c.membership.leading
        return fresh if picky or usable(job_state.job.spec, fresh, job_state.zones, reach) else rooms

    def _start(self, scheduler: JobScheduler, job_state: JobState, room: Room, now: timedelta) -> None:
        task = job_state.next_task()
        assert task is not None
        scheduler.start(job_state, task, room.host, room.zone, now)
        room.take(job_state.job.spec)
        if job_state.job.spec.kind == SERVICE:
            room.service_cpus += job_state.job.spec.cpus
        room.idle = room.in_pool = False
        self._c.floor.touch(room.host)

    def headroom(self, spec: JobSpec, using: Amounts, most: Amounts) -> int:
        """Return how many more tasks of the job its team may run within `most`, given what it uses."""
        if spec.team not in self._c.limits:
            return MANY
        tasks = tasks_within(Amounts(most[0] - using[0], most[1] - using[1]), amounts_of(spec))
        return MANY if tasks is None else tasks

    def clear_machines(self, scheduler: JobScheduler) -> None:
        """Stop tasks on machines that are drained or about to be reclaimed."""
        c = self._c
        for name in list(scheduler.attempts):
            record, host = c.machines.get(name), c.floor.hosts.get(name)
            draining = record is not None and record.drain_reason not in (None, "idle")
            notice = host.notice if host is not None else None
            if not draining and notice is None:
                continue
            for attempt in list(scheduler.attempts[name].values()):
                saves = attempt.spec.checkpoint_interval_s > 0
                # A task that cannot save may still finish before the machine goes.
                if draining or saves or attempt.spec.kind == SERVICE:
                    scheduler.stop(attempt, timedelta(seconds=attempt.spec.checkpoint_cost_s if saves else 0))
