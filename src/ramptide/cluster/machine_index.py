"""What is known of all machines, our own and the others', kept up to date by events.

Start here; each thing that is derived from the machines' status has a module of its own: `task_index`,
`failure_attribution`, `unconfirmed_terminations` and `free_rooms`.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from datetime import timedelta

from ramptide.cluster.failure_attribution import FailureAttribution
from ramptide.cluster.free_rooms import AttemptsLookup, FreeRooms
from ramptide.cluster.machine_status import MachineStatus
from ramptide.cluster.observed_machine import ObservedMachine, active_jobs
from ramptide.cluster.task_index import TaskIndex
from ramptide.cluster.unconfirmed_terminations import UnconfirmedTerminations
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import TaskRow

__all__ = ["MISSED_HEARTBEATS", "TOKEN_NOT_SEEN", "MachineIndex"]

#: Why a machine is not reconciled, in words for the operators.
MISSED_HEARTBEATS = "silent"
TOKEN_NOT_SEEN = "not told our token"


class MachineIndex:
    """The observed machines, and what follows from their status.

    Parameters
    ----------
    records
        The fleet record.
    machine_types
        The machine types of the cloud.
    jobs
        The jobs that are not over.
    attempts
        Returns the attempts of our own scheduler on a machine, which its owner may not show yet.
    """

    def __init__(
        self,
        records: Mapping[str, MachineRecord],
        machine_types: Mapping[str, MachineType],
        jobs: Mapping[str, Job],
        attempts: AttemptsLookup,
    ) -> None:
        self._records = records
        self._jobs = jobs
        self.machines: dict[str, ObservedMachine] = {}
        self._tasks = TaskIndex(self.machines, jobs)
        self._terminations = UnconfirmedTerminations(self.machines, jobs)
        self._free_rooms = FreeRooms(records, machine_types, self.machines, self._tasks, attempts, self._is_quarantined)
        self._failures = FailureAttribution(self.machines, jobs, self._tasks, self._free_rooms.invalidate_many)

    @property
    def tuning(self) -> Tuning:
        """The operators' settings; after a change all rooms are to be invalidated."""
        return self._free_rooms.tuning

    @tuning.setter
    def tuning(self, tuning: Tuning) -> None:
        self._free_rooms.tuning = tuning

    @property
    def rooms(self) -> Mapping[str, Room]:
        """What is free on each machine that takes tasks, as of the last `refresh`."""
        return self._free_rooms.by_host

    @property
    def running_tasks(self) -> Counter[str]:
        """How many tasks of each job run."""
        return self._tasks.running_tasks

    @property
    def idle_pool(self) -> list[str]:
        """The idle machines that the leader keeps."""
        return self._free_rooms.idle_pool

    # Events.

    def add(self, name: str, unconfirmed_since: timedelta | None) -> None:
        """Add a machine of the fleet record.

        `unconfirmed_since`: for one that was in use before this process knew it, since when it may have tasks of
        finished jobs.
        """
        is_assumed = unconfirmed_since is not None
        self.machines.setdefault(name, ObservedMachine(unconfirmed_since=unconfirmed_since, is_assumed=is_assumed))
        self.invalidate(name)

    def remove(self, name: str) -> None:
        """Drop a machine that has left the fleet record, with everything that was known of it."""
        machine = self.machines.get(name)
        if machine is not None:
            self._replace_tasks(name, machine, [])
            self._replace_failures(name, machine, [], 0)
            del self.machines[name]
        self._terminations.remove(name)
        self.invalidate(name)

    def new_view(self) -> None:
        """Forget what runs where, which is rebuilt from heartbeats.

        The images stay, and which terminations are unconfirmed.
        """
        self._terminations.new_view()
        for name, machine in self.machines.items():
            self.machines[name] = machine.successor()
        self._tasks.clear()
        self._failures.clear()
        self._free_rooms.new_view()

    def update(self, name: str, status: MachineStatus | None, now: timedelta) -> None:
        """Take a machine's status from its owner; None when the owner has no such machine."""
        machine = self.machines.get(name)
        if machine is None:
            return
        self.invalidate(name)
        if status is None:
            self._replace_tasks(name, machine, [])
            self._replace_failures(name, machine, [], 0)
            self.machines[name] = machine.successor()
            return
        machine.apply(status, now)
        self._replace_failures(name, machine, status.failed_jobs, status.consecutive_failures)
        self._replace_tasks(name, machine, status.tasks)
        self._terminations.status_changed(name, machine, now)
        self.check_all_tasks_known(machine)

    def _replace_tasks(self, name: str, machine: ObservedMachine, tasks: list[TaskRow]) -> None:
        if tasks == machine.tasks:
            return
        job_ids = self._tasks.replace(name, machine.tasks, tasks)
        machine.set_tasks(tasks)
        self._failures.tasks_changed(job_ids, tasks)

    def _replace_failures(
        self, name: str, machine: ObservedMachine, failed_jobs: list[str], consecutive_failures: int
    ) -> None:
        before = machine.failed_jobs
        machine.failed_jobs, machine.consecutive_failures = failed_jobs, consecutive_failures
        self._failures.replace(name, before, failed_jobs)

    def job_finished(self, job_id: str, spec: JobSpec, now: timedelta) -> None:
        """Note that a job has left the live jobs, so that the end of its tasks has to be confirmed."""
        self._tasks.job_finished(job_id, spec)
        self._terminations.job_finished(job_id, self._tasks.hosts_of(job_id), now)

    def job_succeeded(self, job_id: str) -> None:
        """Note that a task of the job succeeded, so where the job failed the machine may be at fault."""
        self._failures.job_succeeded(job_id)

    def set_idle_pool(self, hosts: list[str]) -> None:
        """Set the idle machines that the leader keeps."""
        self._free_rooms.set_idle_pool(hosts)

    # What the owners show.

    def hosts_of_job(self, job_id: str) -> list[str]:
        """Return the machines whose owners show a task of the job."""
        return sorted(self._tasks.hosts_of(job_id))

    def check_all_tasks_known(self, machine: ObservedMachine) -> bool:
        """Tell whether all that runs there is counted by some scheduler.

        It is once, at some moment since the machine was reconciled, all its tasks were of jobs that we know, since
        their schedulers have counted them from then on. A task of a job that was over before has no scheduler. What is
        cancelled later stays counted by its scheduler until it is gone, so it does not matter here.
        """
        if not machine.all_tasks_known and machine.is_reconciled:
            machine.all_tasks_known = all(job_id in self._jobs for job_id in active_jobs(machine.tasks))
        return machine.all_tasks_known

    def silent_hosts(self) -> list[str]:
        """Return the machines that came up once and whose heartbeats have stopped."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.is_reported and machine.missed_heartbeats and (machine.is_up or self._records[name].registered)
        ]

    def out_of_use_reason(self, name: str) -> str | None:
        """Return why the machine takes no tasks, in words for the operators; None when it does."""
        record, machine = self._records[name], self.machines.get(name, ObservedMachine())
        # A machine may be drained as silent or unreachable: then its owner's latest status decides.
        reasons = {
            record.drain_reason or "": record.drain_reason is not None,
            "booting": not record.registered and not machine.is_up,
            "its owner is not heard": not machine.is_reported,
            "not settled": not machine.is_reconciled,
            MISSED_HEARTBEATS: machine.missed_heartbeats,
            "deaf": machine.unreachable_since is not None,
            "about to be taken": machine.preempted_at is not None,
            "fails what others run": name in self.machines and self._is_quarantined(name),
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    # Failures.

    def hosts_failed_on(self, job_id: str) -> set[str]:
        """Return the machines on which the job failed; none when a task of it succeeded."""
        return self._failures.hosts_failed_on(job_id)

    def failing_jobs(self) -> dict[str, int]:
        """Return the jobs that failed on several machines and succeeded on none, with the number of machines."""
        return self._failures.failing_jobs()

    def count_accusing_jobs(self, name: str) -> int:
        """Return how many different jobs indicate that the machine is faulty, see `FailureAttribution`."""
        return self._failures.count_accusing_jobs(name)

    def _is_quarantined(self, name: str) -> bool:
        return self.count_accusing_jobs(name) >= self.tuning.sick_jobs

    # Unconfirmed terminations.

    def unconfirmed_for(self, name: str, now: timedelta) -> timedelta:
        """Return how long a task of a finished job may have been on a silent machine; zero when none can."""
        return self._terminations.duration(name, now)

    def all_unconfirmed(self, now: timedelta) -> dict[str, float]:
        """Return, by silent machine, for how many seconds a task of a finished job may have been there."""
        return self._terminations.by_silent_machine(now)

    def take_unconfirmed(self, seconds_by_machine: Mapping[str, float], now: timedelta) -> None:
        """Take from another controller what `all_unconfirmed` returned there, where that is longer."""
        self._terminations.merge(seconds_by_machine, now)

    def backdate_unconfirmed(self, started: timedelta, since: timedelta) -> None:
        """Count what may have been on machines since before `started` as there since `since` at the latest."""
        self._terminations.backdate(started, since)

    # Room.

    def invalidate(self, name: str) -> None:
        """Have a machine's room computed again, as something that it depends on has changed."""
        self._free_rooms.invalidate(name)

    def invalidate_all(self) -> None:
        """Have the rooms of all machines of the fleet record computed again."""
        self._free_rooms.invalidate_all()

    def refresh(self, names: Collection[str] | None = None) -> None:
        """Compute again the room of the machines that have changed, of some or of all."""
        self._free_rooms.refresh(names)

    def free_rooms(self, names: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all."""
        return self._free_rooms.of_hosts(names)
