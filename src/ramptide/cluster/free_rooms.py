"""The free room on the machines that take tasks, recomputed only for machines that have changed."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Protocol

from ramptide.cluster.observed_machine import ObservedMachine, active_job_ids
from ramptide.cluster.task_index import TaskIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room, empty_room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASE_NAMES, FINISHED_PHASES, Phase, TaskKey

__all__ = ["AttemptsLookup", "FreeRooms", "PlacedAttempt"]


class PlacedAttempt(Protocol):
    """The part of an attempt of the local scheduler that the computation of free room uses."""

    @property
    def spec(self) -> JobSpec:
        """The spec of the job, which contains the resources that the task needs."""

    @property
    def phase(self) -> Phase:
        """The phase of the attempt."""

    @property
    def key(self) -> TaskKey:
        """The job id, the task index and the attempt number."""


#: Returns the attempts that the local scheduler has on a machine.
AttemptsLookup = Callable[[str], Collection[PlacedAttempt]]


class FreeRooms:
    """The free room of each machine that takes tasks, as of the last `refresh`.

    Parameters
    ----------
    records
        The fleet record.
    machine_types
        The machine types of the cloud.
    machines
        The observed machines by name, which `MachineIndex` keeps up to date.
    tasks
        The tasks that the owners of machines report.
    attempts
        Returns the attempts of the local scheduler on a machine, which its owner may not report yet.
    is_quarantined
        Returns whether a machine takes no tasks because several jobs indicate that it is faulty.
    """

    def __init__(
        self,
        records: Mapping[str, MachineRecord],
        machine_types: Mapping[str, MachineType],
        machines: Mapping[str, ObservedMachine],
        tasks: TaskIndex,
        attempts: AttemptsLookup,
        is_quarantined: Callable[[str], bool],
    ) -> None:
        self._records = records
        self._machine_types = machine_types
        self._machines = machines
        self._tasks = tasks
        self._attempts = attempts
        self._is_quarantined = is_quarantined
        self.tuning = Tuning()
        self.by_host: dict[str, Room] = {}
        #: The idle machines that the leader keeps in reserve.
        self.idle_pool: list[str] = []
        #: Machines whose room is to be recomputed.
        self._stale_hosts: set[str] = set()
        #: Machines with tasks of unknown jobs, whose room is recomputed at each refresh until it is known.
        self._hosts_of_unknown_usage: set[str] = set()

    def on_new_view(self) -> None:
        """Have the rooms of all machines recomputed, as their reported tasks have been cleared for a new view."""
        self._hosts_of_unknown_usage.clear()
        self.invalidate_all()

    def invalidate(self, host: str) -> None:
        """Have the room of a machine recomputed, as something on which it depends has changed."""
        self._stale_hosts.add(host)

    def invalidate_many(self, hosts: Iterable[str]) -> None:
        """Have the rooms of some machines recomputed."""
        self._stale_hosts.update(hosts)

    def invalidate_all(self) -> None:
        """Have the rooms of all machines in the fleet record recomputed."""
        self._stale_hosts.update(self._records)

    def set_idle_pool(self, hosts: list[str]) -> None:
        """Set the idle machines that the leader keeps in reserve."""
        if hosts != self.idle_pool:
            self._stale_hosts.update(self.idle_pool, hosts)
            self.idle_pool = hosts

    def refresh(self, hosts: Collection[str] | None = None) -> None:
        """Recompute the rooms of machines that have changed, of all or only of `hosts`."""
        stale_hosts = self._stale_hosts | self._hosts_of_unknown_usage
        if hosts is not None:
            stale_hosts.intersection_update(hosts)
        self._stale_hosts -= stale_hosts
        self._hosts_of_unknown_usage -= stale_hosts
        for host in stale_hosts:
            room = self._compute_room(host)
            if room is None:
                self.by_host.pop(host, None)
            else:
                self.by_host[host] = room

    def of_hosts(self, hosts: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all when `hosts` is None."""
        if hosts is None:
            yield from self.by_host.values()
            return
        for host in hosts:
            room = self.by_host.get(host)
            if room is not None:
                yield room

    def _compute_room(self, host: str) -> Room | None:
        """Return the free room of a machine; None when it takes no tasks."""
        record, machine = self._records.get(host), self._machines.get(host)
        if record is None or machine is None:
            return None
        machine_type = self._machine_types.get(record.machine_type)
        if machine_type is None or not _is_in_use(record, machine) or self._is_quarantined(host):
            return None
        task_counts = self._tasks_holding_room(host, machine)
        if task_counts is None:
            self._hosts_of_unknown_usage.add(host)
            return None
        room = empty_room(machine_type, record.zone, record.spot, host)
        for spec, count in task_counts:
            room.allocate(spec, count)
        room.images = frozenset(machine.images)
        room.idle = not task_counts
        room.heartbeat_held = machine.heartbeat_held
        # Users wait for services, so the idle pool and a part of each machine that runs services are reserved for them.
        room.in_pool = not record.spot and host in self.idle_pool
        room.service_cpus = sum((spec.cpus * count for spec, count in task_counts if spec.kind == SERVICE), 0.0)
        service_share = self.tuning.service_share
        room.service_reserve = (machine_type.cpus * service_share, machine_type.ram_gb * service_share)
        return room

    def _tasks_holding_room(self, host: str, machine: ObservedMachine) -> list[tuple[JobSpec, int]] | None:
        """Return the specs of the jobs whose tasks hold room on a machine, each with a number of tasks.

        Return None when a task of an unknown job is reported there, as the room that it holds is unknown: the job
        finished before its tasks were reported, or this controller has not learned of it yet.
        """
        task_counts: list[tuple[JobSpec, int]] = []
        for job_id, count in Counter(active_job_ids(machine.tasks)).items():
            spec = self._tasks.spec_of(job_id)
            if spec is None:
                return None
            task_counts.append((spec, count))
        attempts = self._attempts(host)
        if attempts:
            reported_keys = {row[:3] for row in machine.tasks if row[3] not in FINISHED_PHASE_NAMES}
            task_counts += [
                (attempt.spec, 1)
                for attempt in attempts
                if attempt.phase not in FINISHED_PHASES and attempt.key not in reported_keys
            ]
        return task_counts


def _is_in_use(record: MachineRecord, machine: ObservedMachine) -> bool:
    """Return whether the fleet record and the owner's status allow tasks to be started on a machine."""
    return (
        record.registered
        and record.drain_reason is None
        and machine.is_reconciled
        and machine.is_up
        and not machine.is_draining
        and not machine.has_missed_heartbeats
        and machine.preempted_at is None
        and machine.unreachable_since is None
    )
