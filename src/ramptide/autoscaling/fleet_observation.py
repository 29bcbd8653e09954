"""The leader's knowledge of each machine in the fleet record, collected for a step of the autoscaler."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Protocol

from ramptide.agents.shard import Shard
from ramptide.autoscaling.fleet_types import FleetMachine
from ramptide.cluster.machine_index import MISSED_HEARTBEATS, TOKEN_NOT_SEEN, MachineIndex
from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.cluster.peers import Peers
from ramptide.placement.bin_packing import Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.rooms import RoomFinder
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASE_NAMES
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["FleetObservation"]

NO_TIME = timedelta(0)
#: Up to this number of silent machines, or this part of the fleet if that is more, are returned at once, so that a new
#: view does not wait for the end of their leases.
MAX_RETURNED_SILENT, MAX_RETURNED_SILENT_RATIO = 3, 0.05
#: Machines that have not seen the view's fencing token may be healthy, so fewer of them are returned: only when all
#: unreconciled machines together are at most this part of the fleet, or `MAX_RETURNED_SILENT` if that is more. They are
#: waited for during this number of heartbeat intervals after earlier views were fenced.
MAX_RETURNED_UNSEEN_RATIO, MAX_UNSEEN_HEARTBEATS = 0.01, 2


class ObservationState(Protocol):
    """The state of the controller from which the knowledge of machines is collected."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not finished, by id."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The cloud's machine types."""

    @property
    def view_since(self) -> timedelta:
        """When this controller adopted the view."""

    @property
    def reconciled(self) -> bool:
        """Whether all machines are reconciled: it is known what earlier views left on them."""

    @property
    def shard(self) -> Shard | None:
        """The machines that this controller owns; None while this controller is not in the view."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The scheduler of this controller's jobs; None while this controller is not in the view."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class FleetObservation:
    """Describes every machine of the fleet record as of now.

    Parameters
    ----------
    unreconciled_machines
        Returns the machines that are not reconciled in this view yet, each with the reason.
    others_fenced_at
        Returns the time from which no member of an earlier view can reply to agents; None while that time is not known.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: ObservationState,
        peers: Peers,
        machine_index: MachineIndex,
        room_finder: RoomFinder,
        unreconciled_machines: Callable[[], dict[str, str]],
        others_fenced_at: Callable[[], timedelta | None],
        heartbeat_interval: timedelta,
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._peers = peers
        self._machine_index = machine_index
        self._room_finder = room_finder
        self._unreconciled_machines = unreconciled_machines
        self._others_fenced_at = others_fenced_at
        self._heartbeat_interval = heartbeat_interval
        self._errors = errors

    def machines(self, cloud_statuses: Mapping[str, str], missing: Iterable[str]) -> list[FleetMachine]:
        """Return a description of every machine in the fleet record, except for one whose description fails.

        `cloud_statuses`: the status of each machine in the cloud's list. `missing`: machines that the list lacks.
        """
        now, wall_s = self._runtime.now, self._runtime.wall().timestamp()
        self._room_finder.refresh()
        rooms = {room.host: room for room in self._room_finder.free_rooms()}
        unlisted = set(missing)
        blocking = self._machines_blocking_reconciliation(now)
        found = []
        for host, record in self._state.machines.items():
            age = timedelta(seconds=max(0.0, wall_s - record.requested_timestamp))
            try:
                machine = self._describe(host, record, rooms.get(host), age)
            except Exception:
                self._errors.record("machine", host)
                continue
            machine.cloud_status = cloud_statuses.get(host)
            machine.is_listed = host not in unlisted
            machine.blocks_reconciliation = host in blocking
            found.append(machine)
        return found

    def _describe(self, host: str, record: MachineRecord, room: Room | None, age: timedelta) -> FleetMachine:
        now = self._runtime.now
        observed = self._machine_index.machines.get(host) or ObservedMachine()
        is_indexed = host in self._machine_index.machines
        # Only messages of its owner prove that a machine is silent: a silent owner says nothing about the machine.
        is_silent = observed.is_reported and observed.has_missed_heartbeats
        unreachable_since, preempted_at = observed.unreachable_since, observed.preempted_at
        return FleetMachine(
            host=host,
            record=record,
            machine_type=self._state.machine_types.get(record.machine_type),
            is_up=observed.is_up,
            age=age,
            silent_for=now - max(observed.heard_at, self._state.view_since) if is_silent else NO_TIME,
            preempted_in=None if preempted_at is None else preempted_at - now,
            fault_indicating_job_count=self._machine_index.count_jobs_indicating_fault(host) if is_indexed else 0,
            consecutive_failures=observed.consecutive_failures,
            task_count=observed.active_tasks + self._own_attempts(host),
            room=room.copy() if room is not None else None,
            is_drained=observed.is_reported and observed.is_draining and not observed.active_tasks,
            unreachable_for=now - unreachable_since if unreachable_since is not None else NO_TIME,
            unconfirmed_for=self._machine_index.unconfirmed_duration(host, now),
            owner=self._state.owner_of(host),
            services=self._services(observed) if room is not None and room.service_cpus else [],
        )

    def _own_attempts(self, host: str) -> int:
        scheduler = self._state.scheduler
        return len(scheduler.attempts_by_host.get(host, ())) if scheduler is not None else 0

    def _machines_blocking_reconciliation(self, now: timedelta) -> set[str]:
        """Return the machines that a new view would wait for and that are returned instead, as they are few.

        These are silent machines, and the last ones whose agents have not seen the fencing token in time. On a large
        fleet a new view would nearly always wait, as some machine has nearly always just failed.
        """
        unreconciled = {} if self._state.reconciled else self._unreconciled_machines()
        fleet_size = len(self._state.machines)
        silent = {host for host, reason in unreconciled.items() if reason == MISSED_HEARTBEATS}
        found = silent if len(silent) <= max(MAX_RETURNED_SILENT, fleet_size * MAX_RETURNED_SILENT_RATIO) else set()
        are_few = bool(unreconciled) and len(unreconciled) <= max(
            MAX_RETURNED_SILENT, fleet_size * MAX_RETURNED_UNSEEN_RATIO
        )
        fenced_at = self._others_fenced_at() if are_few else None
        if fenced_at is not None and now - fenced_at > self._heartbeat_interval * MAX_UNSEEN_HEARTBEATS:
            # No other controller replies to agents any more, so a healthy machine would have found its owner.
            found |= {host for host, reason in unreconciled.items() if reason == TOKEN_NOT_SEEN}
        return found

    def _services(self, observed: ObservedMachine) -> list[JobSpec]:
        """Return the specifications of the services on a machine, or nothing if other tasks run there as well.

        Tasks of finished jobs do not count.
        """
        jobs = (self._state.jobs.get(row[0]) for row in observed.tasks if row[3] not in FINISHED_PHASE_NAMES)
        found = [job.spec for job in jobs if job is not None]
        return found if all(spec.kind == SERVICE for spec in found) else []

    def unrecorded_machines(self) -> dict[str, tuple[str, str, bool]]:
        """Return the type, the zone and whether it is spot of each machine in no record that sends heartbeats."""
        shard = self._state.shard
        found = shard.unrecorded_machines() if shard is not None else {}
        for message in self._peers.last_messages():
            found |= message.unrecorded_machines
        return {host: kind for host, kind in found.items() if host not in self._state.machines}
