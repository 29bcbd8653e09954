"""What is known of all machines, ours and the others', and what room they have: indexes kept up to date by events."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.cluster.machine_status import MachineStatus
from ramptide.config.settings import Tuning
from ramptide.placement.bin_packing import Room, empty_room
from ramptide.protocol.agents import TaskOutcome
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.scheduling.attempts import Attempt
from ramptide.scheduling.job_state import MAX_FAULTY_MACHINES
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASE_NAMES, FINISHED_PHASES, RUNNING_PHASE_NAME, TaskRow

ZERO = timedelta(0)
MISSED_HEARTBEATS, TOKEN_NOT_SEEN = "silent", "not told our token"


@dataclass(slots=True)
class ObservedMachine:
    """A machine's state as its owner reported it last."""

    is_reconciled: bool = False
    is_up: bool = False
    is_draining: bool = False
    missed_heartbeats: bool = False
    heard_at: timedelta = ZERO
    preempted_at: timedelta | None = None
    failed_jobs: list[str] = field(default_factory=list)
    consecutive_failures: int = 0
    unreachable_since: timedelta | None = None
    heartbeat_held: bool = False
    images: list[str] = field(default_factory=list)
    tasks: list[TaskRow] = field(default_factory=list)
    active_tasks: int = 0
    is_reported: bool = False
    all_tasks_known: bool = False
    #: Since when a task of a job that is over may be there without a report that shows it gone.
    unconfirmed_since: timedelta | None = None
    #: That is an assumption of a process that was not there before, rather than what it saw.
    is_assumed: bool = False

    def successor(self) -> "ObservedMachine":
        """Return the state to keep over a change of view: the images, and what has to be proven gone."""
        return ObservedMachine(images=self.images, unconfirmed_since=self.unconfirmed_since, is_assumed=self.is_assumed)

    @property
    def is_silent(self) -> bool:
        """Whether its owner reports it and has had no report from it for long.

        A task that was seen there by this controller need not be waited for anew under each owner.
        """
        return self.is_reported and (self.missed_heartbeats or not self.is_up and not self.is_assumed)


class MachineIndex:
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
        self._records = machines
        self._machine_types = machine_types
        self._jobs = jobs
        self._attempts = attempts
        self.tuning = Tuning()
        self.machines: dict[str, ObservedMachine] = {}
        self.rooms: dict[str, Room] = {}
        self.running_tasks: Counter[str] = Counter()
        self.idle_pool: list[str] = []
        self._hosts_by_job: dict[str, set[str]] = {}
        #: Jobs that are over and whose tasks are still shown: what they take is known.
        self._finished_specs: dict[str, JobSpec] = {}
        #: What machines ran in the views before, until a report in this one shows what they run now.
        self._jobs_before_view: dict[str, set[str]] = {}
        #: The machines on which a job failed, as far as they still tell; and those jobs of which some task was done.
        self._hosts_by_failed_job: dict[str, set[str]] = {}
        self._succeeded_jobs: set[str] = set()
        self._stale_rooms: set[str] = set()
        self._unknown_usage: set[str] = set()

    # Events.

    def invalidate(self, name: str) -> None:
        """Mark a machine's room to be computed again, as something that it depends on has changed."""
        self._stale_rooms.add(name)

    def invalidate_all(self) -> None:
        """Mark all machines' rooms to be computed again."""
        self._stale_rooms.update(self._records)

    def add(self, name: str, unproven: timedelta | None) -> None:
        """Add a machine.

        `unproven`: for one that was in use before this process knew it, since when it may have tasks of finished jobs.
        """
        self.machines.setdefault(name, ObservedMachine(unconfirmed_since=unproven, is_assumed=unproven is not None))
        self.invalidate(name)

    def remove(self, name: str) -> None:
        """Drop a machine that has left the fleet record, with everything that was known of it."""
        if name in self.machines:
            self._update_tasks(name, [])
            self._update_failures(name, [], 0)
            del self.machines[name]
        self._jobs_before_view.pop(name, None)
        self.invalidate(name)

    def new_view(self) -> None:
        """Forget what runs where, which is rebuilt from the workers' reports.

        The images stay, and what has to be proven gone.
        """
        for name, host in self.machines.items():
            running = {row[0] for row in host.tasks if row[3] not in FINISHED_PHASE_NAMES}
            if running:
                self._jobs_before_view.setdefault(name, set()).update(running)
        self.machines = {name: host.successor() for name, host in self.machines.items()}
        self.running_tasks.clear()
        self._hosts_by_job.clear()
        self._finished_specs.clear()
        self._hosts_by_failed_job.clear()
        self._succeeded_jobs.clear()
        self._unknown_usage.clear()
        self.invalidate_all()

    def set_idle_pool(self, pool: list[str]) -> None:
        """Set the idle machines that the leader keeps as the pool."""
        if pool != self.idle_pool:
            self._stale_rooms.update(self.idle_pool, pool)
            self.idle_pool = pool

    def update(self, name: str, row: MachineStatus | None, now: timedelta) -> None:
        """Take a machine's state from its owner; None when the owner has no such machine."""
        host = self.machines.get(name)
        if host is None:
            return
        self.invalidate(name)
        if row is None:
            self._update_tasks(name, [])
            self._update_failures(name, [], 0)
            self.machines[name] = host.successor()
            return
        host.is_reported = True
        host.is_reconciled, host.is_up, host.is_draining = row.is_reconciled, row.is_up, row.is_draining
        host.missed_heartbeats = row.silent_s > 0
        host.heard_at = now - timedelta(seconds=row.silent_s)
        host.preempted_at = (
            None if row.preemption_notice_s is None else now + timedelta(seconds=row.preemption_notice_s)
        )
        host.unreachable_since = None if row.unreachable_s is None else now - timedelta(seconds=row.unreachable_s)
        host.heartbeat_held, host.images = row.heartbeat_held, row.images
        self._update_failures(name, row.failed_jobs, row.consecutive_failures)
        self._update_tasks(name, row.tasks)
        self._update_unconfirmed(name, host, now)
        self.check_all_tasks_known(host)

    def _update_tasks(self, name: str, tasks: list[TaskRow]) -> None:
        host = self.machines[name]
        if tasks == host.tasks:
            return
        before, after = {row[0] for row in host.tasks}, {row[0] for row in tasks}
        self._count_running(host.tasks, tasks)
        for job_id in before - after:
            self._remove_job_from(job_id, name)
        for job_id in after - before:
            self._hosts_by_job.setdefault(job_id, set()).add(name)
        host.tasks = tasks
        host.active_tasks = sum(row[3] not in FINISHED_PHASE_NAMES for row in tasks)
        if not self._hosts_by_failed_job.keys().isdisjoint(before | after):
            self._reassess_failures(before | after, tasks)

    def _count_running(self, before: list[TaskRow], after: list[TaskRow]) -> None:
        for row in before:
            if row[3] == RUNNING_PHASE_NAME:
                self.running_tasks[row[0]] -= 1
        for row in after:
            if row[3] == RUNNING_PHASE_NAME:
                self.running_tasks[row[0]] += 1

    def _remove_job_from(self, job_id: str, name: str) -> None:
        """The machine shows no task of the job any more."""
        where = self._hosts_by_job.get(job_id, set())
        where.discard(name)
        if not where:
            self._hosts_by_job.pop(job_id, None)
            self._finished_specs.pop(job_id, None)
        if not self.running_tasks[job_id]:
            del self.running_tasks[job_id]

    def _reassess_failures(self, job_ids: set[str], tasks: list[TaskRow]) -> None:
        """Whose fault the failures of these jobs are may have changed with what the machine shows."""
        for job_id in self._hosts_by_failed_job.keys() & job_ids:
            self._stale_rooms.update(self._hosts_by_failed_job[job_id])
        for row in tasks:
            if row[4] == TaskOutcome.SUCCEEDED:
                self.job_succeeded(row[0])

    def _update_unconfirmed(self, name: str, host: ObservedMachine, now: timedelta) -> None:
        """Note whether tasks of finished jobs may be on the machine.

        A machine that hangs may go on with what it had. So what its owner gives up after a lease may run again, but
        what a report does not show is gone.
        """
        if any(row[0] not in self._jobs and row[3] not in FINISHED_PHASE_NAMES for row in host.tasks):
            host.unconfirmed_since = host.unconfirmed_since or now
        elif host.is_reconciled and host.is_up and not host.missed_heartbeats:
            host.unconfirmed_since = None
            host.is_assumed = False
            self._jobs_before_view.pop(name, None)

    def unconfirmed_for(self, name: str, now: timedelta) -> timedelta:
        """Return how long a task of a finished job may have been on a silent machine; zero when none can."""
        host = self.machines.get(name)
        # Only its owner can tell that it is silent; the owner ends what it hears of itself.
        if host is None or host.unconfirmed_since is None or not host.is_silent:
            return ZERO
        return now - host.unconfirmed_since

    def all_unconfirmed(self, now: timedelta) -> dict[str, float]:
        """Return, by silent machine, for how many seconds a task of a finished job may have been there."""
        found = [
            name
            for name, host in self.machines.items()
            if host.unconfirmed_since is not None and host.missed_heartbeats
        ]
        return {name: self.unconfirmed_for(name, now).total_seconds() for name in found}

    def take_unconfirmed(self, unproven: dict[str, float], now: timedelta) -> None:
        """Take from another controller what `all_unproven` returned there.

        A leader that has just started does not know this itself.
        """
        for name, age in unproven.items():
            since = now - timedelta(seconds=age)
            if (
                self.unconfirmed_for(name, now) < now - since
                and name in self.machines
                and self.machines[name].missed_heartbeats
            ):
                self.machines[name].unconfirmed_since = since

    def backdate_unconfirmed(self, started: timedelta, since: timedelta) -> None:
        """Count what may have been on machines since before `started` as there since `since` at the latest."""
        for host in self.machines.values():
            if host.unconfirmed_since is not None and host.unconfirmed_since <= started:
                host.unconfirmed_since = min(host.unconfirmed_since, since)

    def job_finished(self, job_id: str, spec: JobSpec, now: timedelta) -> None:
        """Note that a job has left the live jobs, so that its tasks have to be proven gone."""
        if job_id in self._hosts_by_job:
            self._finished_specs[job_id] = spec
        for name in [
            *self._hosts_by_job.get(job_id, ()),
            *(name for name, ran in self._jobs_before_view.items() if job_id in ran),
        ]:
            host = self.machines[name]
            host.unconfirmed_since = host.unconfirmed_since or now

    def _spec_of(self, job_id: str) -> JobSpec | None:
        job = self._jobs.get(job_id)
        return job.spec if job is not None else self._finished_specs.get(job_id)

    def check_all_tasks_known(self, host: ObservedMachine) -> bool:
        """Tell whether all that runs there is counted by some scheduler.

        It is once, at some moment since the machine was settled, all its tasks were of jobs that we know, since their
        schedulers have counted them from then on. A task of a job that was over before has no scheduler. What is
        cancelled later stays counted by its scheduler until it is gone, so it does not matter here.
        """
        if not host.all_tasks_known and host.is_reconciled:
            host.all_tasks_known = all(row[0] in self._jobs or row[3] in FINISHED_PHASE_NAMES for row in host.tasks)
        return host.all_tasks_known

    # Whose fault a failure is.

    def _update_failures(self, name: str, failed: list[str], failing: int) -> None:
        host = self.machines[name]
        before, after = set(host.failed_jobs), set(failed)
        host.failed_jobs, host.consecutive_failures = failed, failing
        for job_id in before - after:
            self._stale_rooms.update(self._hosts_by_failed_job[job_id])
            self._hosts_by_failed_job[job_id].discard(name)
            if not self._hosts_by_failed_job[job_id]:
                del self._hosts_by_failed_job[job_id]
                self._succeeded_jobs.discard(job_id)
        for job_id in after - before:
            self._hosts_by_failed_job.setdefault(job_id, set()).add(name)
            self._stale_rooms.update(self._hosts_by_failed_job[job_id])
            job = self._jobs.get(job_id)
            if (
                job is not None
                and job.progress.count
                or any(row[4] == TaskOutcome.SUCCEEDED for _, row in self._tasks_of(job_id))
            ):
                self.job_succeeded(job_id)

    def job_succeeded(self, job_id: str) -> None:
        """Note that a task of the job succeeded, so where the job failed the machine may be at fault."""
        if job_id in self._hosts_by_failed_job and job_id not in self._succeeded_jobs:
            self._succeeded_jobs.add(job_id)
            self._stale_rooms.update(self._hosts_by_failed_job[job_id])

    def hosts_failed_on(self, job_id: str) -> set[str]:
        """Return the machines on which the job failed; none when a task of it succeeded."""
        return set() if job_id in self._succeeded_jobs else set(self._hosts_by_failed_job.get(job_id, ()))

    def count_accusing_jobs(self, name: str) -> int:
        """Return how many different jobs indicate that the machine is faulty.

        They failed there, nothing succeeded there since, and they do well elsewhere. A job that fails on every machine
        indicates nothing, also when it is over.
        """
        host = self.machines[name]
        return sum(
            self._accuses(job_id, name)
            for job_id in host.failed_jobs[len(host.failed_jobs) - host.consecutive_failures :]
        )

    def _accuses(self, job_id: str, name: str) -> bool:
        if job_id in self._succeeded_jobs:
            return len(self._hosts_by_failed_job[job_id]) <= MAX_FAULTY_MACHINES
        return len(self._hosts_by_failed_job[job_id]) == 1 and any(
            row[3] == RUNNING_PHASE_NAME and other != name for other, row in self._tasks_of(job_id)
        )

    def _tasks_of(self, job_id: str) -> Iterator[tuple[str, TaskRow]]:
        """Return the tasks of the job that machines' owners show, each with its machine."""
        hosts = self._hosts_by_job.get(job_id, ())
        return ((name, row) for name in hosts for row in self.machines[name].tasks if row[0] == job_id)

    def failing_jobs(self) -> dict[str, int]:
        """Return the jobs that failed on several machines and succeeded on none, with the number of machines."""
        return {
            job_id: len(names)
            for job_id, names in self._hosts_by_failed_job.items()
            if len(names) > 1 and job_id not in self._succeeded_jobs
        }

    def silent_hosts(self) -> list[str]:
        """Return the machines that came up once and whose reports have stopped."""
        return [
            name
            for name, host in self.machines.items()
            if host.is_reported and host.missed_heartbeats and (host.is_up or self._records[name].registered)
        ]

    def out_of_use_reason(self, name: str) -> str | None:
        """Return why the machine takes no tasks, in words for the operators; None when it does."""
        record, host = self._records[name], self.machines.get(name, ObservedMachine())
        reasons = {
            record.drain_reason or "": record.drain_reason is not None,
            "booting": not record.registered and not host.is_up,
            "its owner is not heard": not host.is_reported,
            "not settled": not host.is_reconciled,
            "silent": host.missed_heartbeats,
            "deaf": host.unreachable_since is not None,
            "about to be taken": host.preempted_at is not None,
            "fails what others run": self.count_accusing_jobs(name) >= self.tuning.sick_jobs
            if name in self.machines
            else False,
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    def hosts_of_job(self, job_id: str) -> list[str]:
        """Return the machines whose owners show a task of the job."""
        return sorted(self._hosts_by_job.get(job_id, ()))

    # Room.

    def refresh(self, names: Collection[str] | None = None) -> None:
        """Compute again the room of the machines that have changed, of some or of all."""
        stale = self._stale_rooms | self._unknown_usage
        if names is not None:
            stale.intersection_update(names)
        self._stale_rooms -= stale
        self._unknown_usage -= stale
        for name in stale:
            room = self._room(name)
            if room is None:
                self.rooms.pop(name, None)
            else:
                self.rooms[name] = room

    def _room(self, name: str) -> Room | None:
        record, host = self._records.get(name), self.machines.get(name)
        if record is None or host is None or not record.registered or not host.is_reconciled or not host.is_up:
            return None
        machine_type = self._machine_types.get(record.machine_type)
        if machine_type is None or record.drain_reason is not None or host.is_draining or host.preempted_at is not None:
            return None
        if (
            host.missed_heartbeats
            or host.unreachable_since is not None
            or self.count_accusing_jobs(name) >= self.tuning.sick_jobs
        ):
            return None
        here: Counter[str] = Counter(row[0] for row in host.tasks if row[3] not in FINISHED_PHASE_NAMES)
        taken: list[tuple[JobSpec, int]] = []
        for job_id, count in here.items():
            spec = self._spec_of(job_id)
            if spec is None:
                # A job that was over before, or that we have yet to hear of: nobody knows what it takes.
                self._unknown_usage.add(name)
                return None
            taken.append((spec, count))
        attempts = self._attempts(name)
        if attempts:
            shown = {row[:3] for row in host.tasks if row[3] not in FINISHED_PHASE_NAMES}
            taken += [(a.spec, 1) for a in attempts if a.phase not in FINISHED_PHASES and a.key not in shown]
        room = empty_room(machine_type, record.zone, record.spot, name)
        for spec, count in taken:
            room.take(spec, count)
        room.images = frozenset(host.images)
        room.idle = not taken
        room.heartbeat_held = host.heartbeat_held
        # Services are what people wait for: the pool is theirs, and part of the machines that run some.
        room.in_pool = not record.spot and name in self.idle_pool
        room.service_cpus = sum((spec.cpus * count for spec, count in taken if spec.kind == SERVICE), 0.0)
        share = self.tuning.service_share
        room.service_reserve = (machine_type.cpus * share, machine_type.ram_gb * share)
        return room

    def free_rooms(self, names: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all."""
        if names is None:
            yield from self.rooms.values()
            return
        for name in names:
            room = self.rooms.get(name)
            if room is not None:
                yield room
