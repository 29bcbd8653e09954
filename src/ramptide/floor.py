"""What is known of all machines, ours and the others', and what room they have: indexes kept up to date by events."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.attempts import Attempt
from ramptide.job_state import MAX_FAULTY_MACHINES
from ramptide.jobs import Job
from ramptide.machine_status import MachineStatus
from ramptide.placement import Room, empty_room
from ramptide.protocol.agents import TaskOutcome
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.records import MachineRecord
from ramptide.settings import Tuning
from ramptide.task_state import FINISHED, FINISHED_NAMES, RUNNING_NAME, TaskRow

ZERO = timedelta(0)
SILENT, UNTOLD = "silent", "not told our token"


@dataclass(slots=True)
class Host:
    """A machine's state as its owner reported it last."""

    settled: bool = False
    up: bool = False
    leaving: bool = False
    quiet: bool = False
    heard: timedelta = ZERO
    notice: timedelta | None = None
    failed: list[str] = field(default_factory=list)
    failing: int = 0
    deaf_since: timedelta | None = None
    quick: bool = False
    images: list[str] = field(default_factory=list)
    tasks: list[TaskRow] = field(default_factory=list)
    busy: int = 0
    known: bool = False
    clear: bool = False
    #: Since when a task of a job that is over may be there without a report that shows it gone.
    unproven: timedelta | None = None
    #: That is an assumption of a process that was not there before, rather than what it saw.
    assumed: bool = False

    def successor(self) -> "Host":
        """Return the state to keep over a change of view: the images, and what has to be proven gone."""
        return Host(images=self.images, unproven=self.unproven, assumed=self.assumed)

    @property
    def unheard(self) -> bool:
        """Whether its owner reports it and has had no report from it for long.

        A task that was seen there by this controller need not be waited for anew under each owner.
        """
        return self.known and (self.quiet or not self.up and not self.assumed)


class Floor:
    """Indexes of all machines' states.

    `rooms` holds what is free on machines that take tasks, as of the last `refresh`.
    """

    def __init__(
        self,
        machines: Mapping[str, MachineRecord],
        machine_types: Mapping[str, MachineType],
        jobs: Mapping[str, Job],
        attempts: Callable[[str], Collection[Attempt]],
    ) -> None:
        self._machines = machines
        self._machine_types = machine_types
        self._jobs = jobs
        self._attempts = attempts
        self.tuning = Tuning()
        self.hosts: dict[str, Host] = {}
        self.rooms: dict[str, Room] = {}
        self.running: Counter[str] = Counter()
        self.pool: list[str] = []
        self._where: dict[str, set[str]] = {}
        #: Jobs that are over and whose tasks are still shown: what they take is known.
        self._left: dict[str, JobSpec] = {}
        #: What machines ran in the views before, until a report in this one shows what they run now.
        self._ran: dict[str, set[str]] = {}
        #: The machines on which a job failed, as far as they still tell; and those jobs of which some task was done.
        self._failed: dict[str, set[str]] = {}
        self._passed: set[str] = set()
        self._stale: set[str] = set()
        self._unclear: set[str] = set()

    # Events.

    def touch(self, name: str) -> None:
        """Mark a machine's room to be computed again, as something that it depends on has changed."""
        self._stale.add(name)

    def touch_all(self) -> None:
        """Mark all machines' rooms to be computed again."""
        self._stale.update(self._machines)

    def add(self, name: str, unproven: timedelta | None) -> None:
        """Add a machine.

        `unproven`: for one that was in use before this process knew it, since when it may have tasks of finished jobs.
        """
        self.hosts.setdefault(name, Host(unproven=unproven, assumed=unproven is not None))
        self.touch(name)

    def remove(self, name: str) -> None:
        """Drop a machine that has left the fleet record, with everything that was known of it."""
        if name in self.hosts:
            self._list(name, [])
            self._fail(name, [], 0)
            del self.hosts[name]
        self._ran.pop(name, None)
        self.touch(name)

    def new_view(self) -> None:
        """Forget what runs where, which is rebuilt from the workers' reports.

        The images stay, and what has to be proven gone.
        """
        for name, host in self.hosts.items():
            running = {row[0] for row in host.tasks if row[3] not in FINISHED_NAMES}
            if running:
                self._ran.setdefault(name, set()).update(running)
        self.hosts = {name: host.successor() for name, host in self.hosts.items()}
        self.running.clear()
        self._where.clear()
        self._left.clear()
        self._failed.clear()
        self._passed.clear()
        self._unclear.clear()
        self.touch_all()

    def keep_pool(self, pool: list[str]) -> None:
        """Set the idle machines that the leader keeps as the pool."""
        if pool != self.pool:
            self._stale.update(self.pool, pool)
            self.pool = pool

    def show(self, name: str, row: MachineStatus | None, now: timedelta) -> None:
        """Take a machine's state from its owner; None when the owner has no such machine."""
        host = self.hosts.get(name)
        if host is None:
            return
        self.touch(name)
        if row is None:
            self._list(name, [])
            self._fail(name, [], 0)
            self.hosts[name] = host.successor()
            return
        host.known = True
        host.settled, host.up, host.leaving = row.settled, row.up, row.draining
        host.quiet = row.silent_s > 0
        host.heard = now - timedelta(seconds=row.silent_s)
        host.notice = None if row.preemption_notice_s is None else now + timedelta(seconds=row.preemption_notice_s)
        host.deaf_since = None if row.unreachable_s is None else now - timedelta(seconds=row.unreachable_s)
        host.quick, host.images = row.heartbeat_held, row.images
        self._fail(name, row.failed_jobs, row.consecutive_failures)
        self._list(name, row.tasks)
        self._prove(name, host, now)
        self.clear(host)

    def _list(self, name: str, tasks: list[TaskRow]) -> None:
        host = self.hosts[name]
        if tasks == host.tasks:
            return
        before, after = {row[0] for row in host.tasks}, {row[0] for row in tasks}
        self._count_running(host.tasks, tasks)
        for job_id in before - after:
            self._leave(job_id, name)
        for job_id in after - before:
            self._where.setdefault(job_id, set()).add(name)
        host.tasks = tasks
        host.busy = sum(row[3] not in FINISHED_NAMES for row in tasks)
        if not self._failed.keys().isdisjoint(before | after):
            self._judge_failed(before | after, tasks)

    def _count_running(self, before: list[TaskRow], after: list[TaskRow]) -> None:
        for row in before:
            if row[3] == RUNNING_NAME:
                self.running[row[0]] -= 1
        for row in after:
            if row[3] == RUNNING_NAME:
                self.running[row[0]] += 1

    def _leave(self, job_id: str, name: str) -> None:
        """The machine shows no task of the job any more."""
        where = self._where.get(job_id, set())
        where.discard(name)
        if not where:
            self._where.pop(job_id, None)
            self._left.pop(job_id, None)
        if not self.running[job_id]:
            del self.running[job_id]

    def _judge_failed(self, job_ids: set[str], tasks: list[TaskRow]) -> None:
        """Whose fault the failures of these jobs are may have changed with what the machine shows."""
        for job_id in self._failed.keys() & job_ids:
            self._stale.update(self._failed[job_id])
        for row in tasks:
            if row[4] == TaskOutcome.SUCCEEDED:
                self.passed(row[0])

    def _prove(self, name: str, host: Host, now: timedelta) -> None:
        """Note whether tasks of finished jobs may be on the machine.

        A machine that hangs may go on with what it had. So what its owner gives up after a lease may run again, but
        what a report does not show is gone.
        """
        if any(row[0] not in self._jobs and row[3] not in FINISHED_NAMES for row in host.tasks):
            host.unproven = host.unproven or now
        elif host.settled and host.up and not host.quiet:
            host.unproven = None
            host.assumed = False
            self._ran.pop(name, None)

    def unproven(self, name: str, now: timedelta) -> timedelta:
        """Return how long a task of a finished job may have been on a silent machine; zero when none can."""
        host = self.hosts.get(name)
        # Only its owner can tell that it is silent; the owner ends what it hears of itself.
        if host is None or host.unproven is None or not host.unheard:
            return ZERO
        return now - host.unproven

    def all_unproven(self, now: timedelta) -> dict[str, float]:
        """Return, by silent machine, for how many seconds a task of a finished job may have been there."""
        found = [name for name, host in self.hosts.items() if host.unproven is not None and host.quiet]
        return {name: self.unproven(name, now).total_seconds() for name in found}

    def recall(self, unproven: dict[str, float], now: timedelta) -> None:
        """Take from another controller what `all_unproven` returned there.

        A leader that has just started does not know this itself.
        """
        for name, age in unproven.items():
            since = now - timedelta(seconds=age)
            if self.unproven(name, now) < now - since and name in self.hosts and self.hosts[name].quiet:
                self.hosts[name].unproven = since

    def distrust(self, started: timedelta, since: timedelta) -> None:
        """Count what may have been on machines since before `started` as there since `since` at the latest."""
        for host in self.hosts.values():
            if host.unproven is not None and host.unproven <= started:
                host.unproven = min(host.unproven, since)

    def job_over(self, job_id: str, spec: JobSpec, now: timedelta) -> None:
        """Note that a job has left the live jobs, so that its tasks have to be proven gone."""
        if job_id in self._where:
            self._left[job_id] = spec
        for name in [*self._where.get(job_id, ()), *(name for name, ran in self._ran.items() if job_id in ran)]:
            host = self.hosts[name]
            host.unproven = host.unproven or now

    def _run(self, job_id: str) -> JobSpec | None:
        job = self._jobs.get(job_id)
        return job.spec if job is not None else self._left.get(job_id)

    def clear(self, host: Host) -> bool:
        """Tell whether all that runs there is counted by some scheduler.

        It is once, at some moment since the machine was settled, all its tasks were of jobs that we know, since their
        schedulers have counted them from then on. A task of a job that was over before has no scheduler. What is
        cancelled later stays counted by its scheduler until it is gone, so it does not matter here.
        """
        if not host.clear and host.settled:
            host.clear = all(row[0] in self._jobs or row[3] in FINISHED_NAMES for row in host.tasks)
        return host.clear

    # Whose fault a failure is.

    def _fail(self, name: str, failed: list[str], failing: int) -> None:
        host = self.hosts[name]
        before, after = set(host.failed), set(failed)
        host.failed, host.failing = failed, failing
        for job_id in before - after:
            self._stale.update(self._failed[job_id])
            self._failed[job_id].discard(name)
            if not self._failed[job_id]:
                del self._failed[job_id]
                self._passed.discard(job_id)
        for job_id in after - before:
            self._failed.setdefault(job_id, set()).add(name)
            self._stale.update(self._failed[job_id])
            job = self._jobs.get(job_id)
            if (
                job is not None
                and job.progress.count
                or any(row[4] == TaskOutcome.SUCCEEDED for _, row in self._shown(job_id))
            ):
                self.passed(job_id)

    def passed(self, job_id: str) -> None:
        """Note that a task of the job succeeded, so where the job failed the machine may be at fault."""
        if job_id in self._failed and job_id not in self._passed:
            self._passed.add(job_id)
            self._stale.update(self._failed[job_id])

    def failed_on(self, job_id: str) -> set[str]:
        """Return the machines on which the job failed; none when a task of it succeeded."""
        return set() if job_id in self._passed else set(self._failed.get(job_id, ()))

    def failing(self, name: str) -> int:
        """Return how many different jobs indicate that the machine is faulty.

        They failed there, nothing succeeded there since, and they do well elsewhere. A job that fails on every machine
        indicates nothing, also when it is over.
        """
        host = self.hosts[name]
        return sum(self._accuses(job_id, name) for job_id in host.failed[len(host.failed) - host.failing :])

    def _accuses(self, job_id: str, name: str) -> bool:
        if job_id in self._passed:
            return len(self._failed[job_id]) <= MAX_FAULTY_MACHINES
        return len(self._failed[job_id]) == 1 and any(
            row[3] == RUNNING_NAME and other != name for other, row in self._shown(job_id)
        )

    def _shown(self, job_id: str) -> Iterator[tuple[str, TaskRow]]:
        """Return the tasks of the job that machines' owners show, each with its machine."""
        hosts = self._where.get(job_id, ())
        return ((name, row) for name in hosts for row in self.hosts[name].tasks if row[0] == job_id)

    def failing_jobs(self) -> dict[str, int]:
        """Return the jobs that failed on several machines and succeeded on none, with the number of machines."""
        return {
            job_id: len(names)
            for job_id, names in self._failed.items()
            if len(names) > 1 and job_id not in self._passed
        }

    def silent(self) -> list[str]:
        """Return the machines that came up once and whose reports have stopped."""
        return [
            name
            for name, host in self.hosts.items()
            if host.known and host.quiet and (host.up or self._machines[name].registered)
        ]

    def out_of_use(self, name: str) -> str | None:
        """Return why the machine takes no tasks, in words for the operators; None when it does."""
        record, host = self._machines[name], self.hosts.get(name, Host())
        reasons = {
            record.drain_reason or "": record.drain_reason is not None,
            "booting": not record.registered and not host.up,
            "its owner is not heard": not host.known,
            "not settled": not host.settled,
            "silent": host.quiet,
            "deaf": host.deaf_since is not None,
            "about to be taken": host.notice is not None,
            "fails what others run": self.failing(name) >= self.tuning.sick_jobs if name in self.hosts else False,
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    def where(self, job_id: str) -> list[str]:
        """Return the machines whose owners show a task of the job."""
        return sorted(self._where.get(job_id, ()))

    # Room.

    def refresh(self, names: Collection[str] | None = None) -> None:
        """Compute again the room of the machines that have changed, of some or of all."""
        stale = self._stale | self._unclear
        if names is not None:
            stale.intersection_update(names)
        self._stale -= stale
        self._unclear -= stale
        for name in stale:
            room = self._room(name)
            if room is None:
                self.rooms.pop(name, None)
            else:
                self.rooms[name] = room

    def _room(self, name: str) -> Room | None:
        record, host = self._machines.get(name), self.hosts.get(name)
        if record is None or host is None or not record.registered or not host.settled or not host.up:
            return None
        machine_type = self._machine_types.get(record.machine_type)
        if machine_type is None or record.drain_reason is not None or host.leaving or host.notice is not None:
            return None
        if host.quiet or host.deaf_since is not None or self.failing(name) >= self.tuning.sick_jobs:
            return None
        here: Counter[str] = Counter(row[0] for row in host.tasks if row[3] not in FINISHED_NAMES)
        taken: list[tuple[JobSpec, int]] = []
        for job_id, count in here.items():
            spec = self._run(job_id)
            if spec is None:
                # A job that was over before, or that we have yet to hear of: nobody knows what it takes.
                self._unclear.add(name)
                return None
            taken.append((spec, count))
        attempts = self._attempts(name)
        if attempts:
            shown = {row[:3] for row in host.tasks if row[3] not in FINISHED_NAMES}
            taken += [(a.spec, 1) for a in attempts if a.phase not in FINISHED and a.key not in shown]
        room = empty_room(machine_type, record.zone, record.spot, name)
        for spec, count in taken:
            room.take(spec, count)
        room.images = frozenset(host.images)
        room.idle = not taken
        room.heartbeat_held = host.quick
        # Services are what people wait for: the pool is theirs, and part of the machines that run some.
        room.in_pool = not record.spot and name in self.pool
        room.service_cpus = sum((spec.cpus * count for spec, count in taken if spec.kind == SERVICE), 0.0)
        share = self.tuning.service_share
        room.service_reserve = (machine_type.cpus * share, machine_type.ram_gb * share)
        return room

    def free(self, names: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all."""
        if names is None:
            yield from self.rooms.values()
            return
        for name in names:
            room = self.rooms.get(name)
            if room is not None:
                yield room
