"""What the leader decides by: waiting tasks of all schedulers, what teams use, what is known of each machine."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

from ramptide.amounts import NO_LIMIT, NOTHING, Amounts, add_amounts, amounts_of, use_from_wire
from ramptide.fleet import Demand, Machine
from ramptide.floor import SILENT, UNTOLD, Host
from ramptide.job_scheduler import JobScheduler
from ramptide.peers import WaitingJobRow
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.task_state import FINISHED_NAMES

if TYPE_CHECKING:
    from ramptide.app import Controller

ZERO = timedelta(0)
NO_LIMITS = Amounts(NO_LIMIT, NO_LIMIT)
#: So many silent machines are returned at once rather than that a new view waits for the end of their leases.
FEW, FEW_SHARE = 3, 0.05
#: The last ones may be fewer, as they may be healthy, and are waited for so many report intervals.
LAST_SHARE, LAST_REPORTS = 0.01, 2


class LeaderKnowledge:
    """Puts together what our scheduler and the other controllers' messages tell."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller

    def team_use(self) -> dict[str, Amounts]:
        """Return what the attempts of all schedulers hold, by team."""
        c = self._c
        assert c.scheduler is not None
        using = c.scheduler.usage()
        for message in c.peers.last_messages():
            for team, amounts in use_from_wire(message.usage).items():
                add_amounts(using, team, amounts)
        return using

    def use_of(self, teams: Iterable[str]) -> dict[str, Amounts]:
        """Return what the attempts of all schedulers hold, for some teams only."""
        c = self._c
        assert c.scheduler is not None
        using: dict[str, Amounts] = {}
        messages = c.peers.last_messages()
        for team in teams:
            using[team] = c.scheduler.index.usage.get(team, NOTHING)
            for message in messages:
                if team in message.usage:
                    add_amounts(using, team, use_from_wire({team: message.usage[team]})[team])
        return using

    def waiting_rows(self, scheduler: JobScheduler, now: timedelta) -> list[WaitingJobRow]:
        """Return a row for each of our jobs that has startable tasks."""
        return [
            (
                w.job.job_id,
                startable,
                (now - w.waiting_since).total_seconds() if w.waiting_since is not None else 0.0,
                sorted(w.avoids),
            )
            for w in scheduler.with_pending_tasks.values()
            if w.retry_at <= now and (startable := w.startable)
        ]

    def asking(self, scheduler: JobScheduler) -> dict[str, Amounts]:
        """Return what our waiting tasks would use of each team's limit."""
        asking: dict[str, Amounts] = {}
        for job_state in scheduler.with_pending_tasks.values():
            if job_state.retry_at <= self._c.context.now:
                spec = job_state.job.spec
                add_amounts(asking, spec.team, amounts_of(spec).times(job_state.startable))
        return asking

    def demands(self) -> list[Demand]:
        """Return the waiting tasks of all schedulers that their team's limit lets run now, most urgent first."""
        c = self._c
        scheduler = c.scheduler
        assert scheduler is not None
        now, wall = c.context.now, c.context.wall()
        using = self.team_use()
        rows: list[tuple[WaitingJobRow, Counter[str]]] = [
            (row, scheduler.jobs[row[0]].zones) for row in self.waiting_rows(scheduler, now)
        ]
        for message in c.peers.last_messages():
            # A job that was handed over to us may still be in its old home's last message.
            rows += [(row, Counter()) for row in message.waiting_jobs if row[0] not in scheduler.jobs]
        found = [(c.jobs[row[0]], row, placed) for row, placed in rows if row[0] in c.jobs]
        found.sort(key=lambda one: c.starter.urgency_of(one[0], timedelta(seconds=one[1][2]), wall))
        demands = []
        for job, row, placed in found:
            spec = job.spec
            most = c.limits.get(spec.team, NO_LIMITS)
            tasks = min(row[1], c.starter.headroom(spec, using.get(spec.team, NOTHING), most))
            if tasks > 0:
                add_amounts(using, spec.team, amounts_of(spec).times(tasks))
                demands.append(Demand(spec, tasks, timedelta(seconds=row[2]), Counter(placed), frozenset(row[3])))
        return demands

    def machines_known(self, listed: dict[str, str], missing: Iterable[str]) -> list[Machine]:
        """Return what is known of every machine in the fleet record.

        `listed`: the status of machines in the cloud's list. `missing`: machines that the list lacks.
        """
        c = self._c
        now, wall = c.context.now, c.context.wall().timestamp()
        c.floor.refresh()
        rooms = {room.host: room for room in c.starter.rooms()}
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
                    machine_type=c.machine_types.get(record.machine_type),
                    up=host.up,
                    age=timedelta(seconds=max(0.0, wall - record.requested_timestamp)),
                    # Only its owner can tell that it is silent: not to hear the owner says nothing of the machine.
                    silent=now - max(host.heard, c.view_at) if host.known and host.quiet else ZERO,
                    notice=None if host.notice is None else host.notice - now,
                    failing=c.floor.failing(name) if name in c.floor.hosts else 0,
                    failed=host.failing,
                    tasks=host.busy + (len(c.scheduler.attempts.get(name, ())) if c.scheduler is not None else 0),
                    room=room.copy() if room is not None else None,
                    drained=host.known and host.leaving and not host.busy,
                    listed=listed.get(name),
                    known=name not in gone,
                    holds_up=name in holding_up,
                    deaf=now - host.deaf_since if host.deaf_since is not None else ZERO,
                    unproven=c.floor.unproven(name, now),
                    owner=c.owner(name),
                    serving=self._serving(host) if room is not None and room.service_cpus else [],
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

    def _serving(self, host: Host) -> list[JobSpec]:
        """Return what runs there when that is services only, else nothing; tasks of finished jobs don't count."""
        jobs = (self._c.jobs.get(row[0]) for row in host.tasks if row[3] not in FINISHED_NAMES)
        found = [job.spec for job in jobs if job is not None]
        return found if all(spec.kind == SERVICE for spec in found) else []
