"""The index of all machines, whichever member owns them, updated by events.

`MachineIndex` is the entry point. Everything derived from the status of machines has a module of its own: `task_index`,
`failure_attribution`, `unconfirmed_terminations` and `free_rooms`.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from datetime import timedelta

from ramptide.cluster.failure_attribution import FailureAttribution
from ramptide.cluster.free_rooms import AttemptsLookup, FreeRooms
from ramptide.cluster.machine_status import MachineStatus
from ramptide.cluster.observed_machine import ObservedMachine, active_job_ids
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

#: Reasons shown to operators why a machine is not reconciled.
MISSED_HEARTBEATS = "silent"
TOKEN_NOT_SEEN = "not told our token"


class MachineIndex:
    """The observed machines, and the indexes derived from their status.

    Parameters
    ----------
    records
        The fleet record.
    machine_types
        The machine types of the cloud.
    jobs
        The unfinished jobs by id.
    attempts
        Returns the attempts of the local scheduler on a machine, which its owner may not report yet.
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
        """The operators' settings; the caller must invalidate all rooms after a change."""
        return self._free_rooms.tuning

    @tuning.setter
    def tuning(self, tuning: Tuning) -> None:
        self._free_rooms.tuning = tuning

    @property
    def rooms(self) -> Mapping[str, Room]:
        """The free room of each machine that takes tasks, as of the last `refresh`."""
        return self._free_rooms.by_host

    @property
    def running_tasks(self) -> Counter[str]:
        """The number of running tasks of each job."""
        return self._tasks.running_tasks

    @property
    def idle_pool(self) -> list[str]:
        """The idle machines that the leader keeps in reserve."""
        return self._free_rooms.idle_pool

    # Updates

    def add(self, host: str, unconfirmed_since: timedelta | None) -> None:
        """Add a machine of the fleet record.

        Parameters
        ----------
        unconfirmed_since
            For a machine that was in use before this process knew it, since when tasks of finished jobs are assumed to
            be possible there; otherwise None.
        """
        is_assumed = unconfirmed_since is not None
        self.machines.setdefault(
            host, ObservedMachine(unconfirmed_since=unconfirmed_since, is_unconfirmed_since_assumed=is_assumed)
        )
        self.invalidate(host)

    def remove(self, host: str) -> None:
        """Remove a machine that has left the fleet record, with everything derived from its status."""
        machine = self.machines.get(host)
        if machine is not None:
            self._replace_tasks(host, machine, [])
            self._replace_failures(host, machine, [], 0)
            del self.machines[host]
        self._terminations.remove(host)
        self.invalidate(host)

    def on_new_view(self) -> None:
        """Clear the status of all machines, which is rebuilt from heartbeats in the new view.

        The images and the unconfirmed terminations are kept.
        """
        self._terminations.on_new_view()
        for host, machine in self.machines.items():
            self.machines[host] = machine.without_status()
        self._tasks.clear()
        self._failures.clear()
        self._free_rooms.on_new_view()

    def apply_status(self, host: str, status: MachineStatus | None, now: timedelta) -> None:
        """Apply the status of a machine from its owner; None when the owner has no such machine."""
        machine = self.machines.get(host)
        if machine is None:
            return
        self.invalidate(host)
        if status is None:
            self._replace_tasks(host, machine, [])
            self._replace_failures(host, machine, [], 0)
            self.machines[host] = machine.without_status()
            return
        machine.apply_status(status, now)
        self._replace_failures(host, machine, status.failed_jobs, status.consecutive_failures)
        self._replace_tasks(host, machine, status.tasks)
        self._terminations.apply_status(host, machine, now)
        self.check_all_tasks_known(machine)

    def _replace_tasks(self, host: str, machine: ObservedMachine, tasks: list[TaskRow]) -> None:
        if tasks == machine.tasks:
            return
        job_ids = self._tasks.replace_tasks(host, machine.tasks, tasks)
        machine.set_tasks(tasks)
        self._failures.apply_task_change(job_ids, tasks)

    def _replace_failures(
        self, host: str, machine: ObservedMachine, failed_jobs: list[str], consecutive_failures: int
    ) -> None:
        before = machine.failed_jobs
        machine.failed_jobs, machine.consecutive_failures = failed_jobs, consecutive_failures
        self._failures.replace_failed_jobs(host, before, failed_jobs)

    def record_job_finished(self, job_id: str, spec: JobSpec, now: timedelta) -> None:
        """Record that a job has left the live jobs, so that the end of its tasks has yet to be confirmed."""
        self._tasks.record_job_finished(job_id, spec)
        self._terminations.record_job_finished(job_id, self._tasks.hosts_of(job_id), now)

    def record_job_success(self, job_id: str) -> None:
        """Record that a task of the job succeeded, so the failures of the job may be the fault of the machines."""
        self._failures.record_job_success(job_id)

    def set_idle_pool(self, hosts: list[str]) -> None:
        """Set the idle machines that the leader keeps in reserve."""
        self._free_rooms.set_idle_pool(hosts)

    # Reported status

    def hosts_of_job(self, job_id: str) -> list[str]:
        """Return the machines on which a task of the job is reported, sorted by name."""
        return sorted(self._tasks.hosts_of(job_id))

    def check_all_tasks_known(self, machine: ObservedMachine) -> bool:
        """Return whether every task that runs on a machine is counted by some scheduler; keep a positive result.

        The result is positive once all tasks of the reconciled machine belong to unfinished jobs, as the schedulers of
        these jobs count the tasks from then on. A task of a job that had finished before has no scheduler. A job that
        is cancelled afterwards does not matter, as its scheduler counts its tasks until they are gone.
        """
        if not machine.all_tasks_known and machine.is_reconciled:
            machine.all_tasks_known = all(job_id in self._jobs for job_id in active_job_ids(machine.tasks))
        return machine.all_tasks_known

    def silent_hosts(self) -> list[str]:
        """Return the machines that have come up and whose heartbeats have stopped."""
        return [
            host
            for host, machine in self.machines.items()
            if machine.is_reported
            and machine.has_missed_heartbeats
            and (machine.is_up or self._records[host].registered)
        ]

    def out_of_use_reason(self, host: str) -> str | None:
        """Return why the machine takes no tasks, as a text for operators; None when it takes tasks."""
        record, machine = self._records[host], self.machines.get(host, ObservedMachine())
        # The drain reasons of silent and of unreachable machines are keys below as well, and a later entry replaces an
        # earlier one with the same key. So these reasons hold only as far as the owner's latest status confirms them.
        reasons = {
            record.drain_reason or "": record.drain_reason is not None,
            "booting": not record.registered and not machine.is_up,
            "its owner is not heard": not machine.is_reported,
            "not settled": not machine.is_reconciled,
            MISSED_HEARTBEATS: machine.has_missed_heartbeats,
            "deaf": machine.unreachable_since is not None,
            "about to be taken": machine.preempted_at is not None,
            "fails what others run": host in self.machines and self._is_quarantined(host),
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    # Failures

    def hosts_failed_on(self, job_id: str) -> set[str]:
        """Return the machines on which the job failed; an empty set when a task of it succeeded."""
        return self._failures.hosts_failed_on(job_id)

    def failing_jobs(self) -> dict[str, int]:
        """Return the jobs that failed on several machines and succeeded on none, each with the number of machines."""
        return self._failures.failing_jobs()

    def count_jobs_indicating_fault(self, host: str) -> int:
        """Return how many different jobs indicate that the machine is faulty; see `FailureAttribution`."""
        return self._failures.count_jobs_indicating_fault(host)

    def _is_quarantined(self, host: str) -> bool:
        return self.count_jobs_indicating_fault(host) >= self.tuning.sick_jobs

    # Unconfirmed terminations

    def unconfirmed_duration(self, host: str, now: timedelta) -> timedelta:
        """Return for how long a silent machine may have run a task of a finished job; zero when it cannot have."""
        return self._terminations.duration(host, now)

    def unconfirmed_seconds_by_machine(self, now: timedelta) -> dict[str, float]:
        """Return for how many seconds each silent machine may have run a task of a finished job."""
        return self._terminations.seconds_by_silent_machine(now)

    def merge_unconfirmed_seconds(self, seconds_by_machine: Mapping[str, float], now: timedelta) -> None:
        """Adopt the durations of `unconfirmed_seconds_by_machine` on another controller, where they are longer."""
        self._terminations.merge(seconds_by_machine, now)

    def backdate_unconfirmed(self, started: timedelta, since: timedelta) -> None:
        """Limit `unconfirmed_since` to at most `since` on each machine on which it is not after `started`."""
        self._terminations.backdate(started, since)

    # Free room

    def invalidate(self, host: str) -> None:
        """Have the room of a machine recomputed, as something on which it depends has changed."""
        self._free_rooms.invalidate(host)

    def invalidate_all(self) -> None:
        """Have the rooms of all machines in the fleet record recomputed."""
        self._free_rooms.invalidate_all()

    def refresh(self, hosts: Collection[str] | None = None) -> None:
        """Recompute the rooms of machines that have changed, of all or only of `hosts`."""
        self._free_rooms.refresh(hosts)

    def free_rooms(self, hosts: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all when `hosts` is None."""
        return self._free_rooms.of_hosts(hosts)
