"""What is free on the machines that take tasks, computed again only where something has changed."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Protocol

from ramptide.cluster.observed_machine import ObservedMachine, active_jobs
from ramptide.cluster.task_index import TaskIndex
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room, empty_room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASE_NAMES, FINISHED_PHASES, Phase, TaskKey

__all__ = ["AttemptsLookup", "FreeRooms", "PlacedAttempt"]


class PlacedAttempt(Protocol):
    """What matters here of an attempt of our own scheduler."""

    @property
    def spec(self) -> JobSpec:
        """The job, which says how much the task takes."""

    @property
    def phase(self) -> Phase:
        """Where the attempt is."""

    @property
    def key(self) -> TaskKey:
        """The job, the task and the number of the attempt."""


#: Returns the attempts that our own scheduler has on a machine.
AttemptsLookup = Callable[[str], Collection[PlacedAttempt]]


class FreeRooms:
    """The room of each machine that takes tasks, as of the last `refresh`.

    Parameters
    ----------
    records
        The fleet record.
    machine_types
        The machine types of the cloud.
    machines
        The observed machines by name, which their index keeps up to date.
    tasks
        The tasks that machines' owners show.
    attempts
        The attempts of our own scheduler, which owners may not show yet.
    is_quarantined
        Tells whether a machine takes no tasks as several jobs indicate that it is faulty.
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
        #: The idle machines that the leader keeps.
        self.idle_pool: list[str] = []
        self._stale: set[str] = set()
        #: Machines with tasks of which nobody knows what they take: looked at again each time.
        self._unknown_usage: set[str] = set()

    def new_view(self) -> None:
        """Have all rooms computed again, as what runs where is forgotten."""
        self._unknown_usage.clear()
        self.invalidate_all()

    def invalidate(self, host: str) -> None:
        """Have a machine's room computed again, as something that it depends on has changed."""
        self._stale.add(host)

    def invalidate_many(self, hosts: Iterable[str]) -> None:
        """Have the rooms of some machines computed again."""
        self._stale.update(hosts)

    def invalidate_all(self) -> None:
        """Have the rooms of all machines of the fleet record computed again."""
        self._stale.update(self._records)

    def set_idle_pool(self, hosts: list[str]) -> None:
        """Set the idle machines that the leader keeps."""
        if hosts != self.idle_pool:
            self._stale.update(self.idle_pool, hosts)
            self.idle_pool = hosts

    def refresh(self, hosts: Collection[str] | None = None) -> None:
        """Compute again the room of the machines that have changed, of some or of all."""
        stale = self._stale | self._unknown_usage
        if hosts is not None:
            stale.intersection_update(hosts)
        self._stale -= stale
        self._unknown_usage -= stale
        for host in stale:
            room = self._room(host)
            if room is None:
                self.by_host.pop(host, None)
            else:
                self.by_host[host] = room

    def of_hosts(self, hosts: Iterable[str] | None = None) -> Iterator[Room]:
        """Yield the rooms of some machines, or of all."""
        if hosts is None:
            yield from self.by_host.values()
            return
        for host in hosts:
            room = self.by_host.get(host)
            if room is not None:
                yield room

    def _room(self, host: str) -> Room | None:
        """Return what is free on a machine; None when it takes no tasks."""
        record, machine = self._records.get(host), self._machines.get(host)
        if record is None or machine is None:
            return None
        machine_type = self._machine_types.get(record.machine_type)
        if machine_type is None or not _is_in_use(record, machine) or self._is_quarantined(host):
            return None
        taken = self._taken(host, machine)
        if taken is None:
            self._unknown_usage.add(host)
            return None
        room = empty_room(machine_type, record.zone, record.spot, host)
        for spec, count in taken:
            room.take(spec, count)
        room.images = frozenset(machine.images)
        room.idle = not taken
        room.heartbeat_held = machine.heartbeat_held
        # Services are what people wait for: the pool is theirs, and part of the machines that run some.
        room.in_pool = not record.spot and host in self.idle_pool
        room.service_cpus = sum((spec.cpus * count for spec, count in taken if spec.kind == SERVICE), 0.0)
        share = self.tuning.service_share
        room.service_reserve = (machine_type.cpus * share, machine_type.ram_gb * share)
        return room

    def _taken(self, host: str, machine: ObservedMachine) -> list[tuple[JobSpec, int]] | None:
        """Return how many tasks of which jobs hold room on a machine.

        None when it shows a task of a job that was over before, or that we have yet to hear of: nobody knows what that
        takes.
        """
        taken: list[tuple[JobSpec, int]] = []
        for job_id, count in Counter(active_jobs(machine.tasks)).items():
            spec = self._tasks.spec_of(job_id)
            if spec is None:
                return None
            taken.append((spec, count))
        attempts = self._attempts(host)
        if attempts:
            shown = {row[:3] for row in machine.tasks if row[3] not in FINISHED_PHASE_NAMES}
            taken += [
                (attempt.spec, 1)
                for attempt in attempts
                if attempt.phase not in FINISHED_PHASES and attempt.key not in shown
            ]
        return taken


def _is_in_use(record: MachineRecord, machine: ObservedMachine) -> bool:
    """Tell whether tasks may be started on a machine, as far as its record and its owner tell."""
    return (
        record.registered
        and record.drain_reason is None
        and machine.is_reconciled
        and machine.is_up
        and not machine.is_draining
        and not machine.missed_heartbeats
        and machine.preempted_at is None
        and machine.unreachable_since is None
    )
