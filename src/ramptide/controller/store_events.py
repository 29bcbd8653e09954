"""Applies the key-value store's changes of jobs, rentals, machine types, settings and membership."""

import logging
from functools import partial
from typing import Any, Protocol

import msgspec

from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.autoscaling.fleet_manager import FleetManager
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.config.tuning import Tuning
from ramptide.controller.assignments import Assignments
from ramptide.controller.fencing import SurvivingPeers
from ramptide.controller.state import ControllerState
from ramptide.protocol.cloud import MachineType
from ramptide.state.jobs import Job
from ramptide.state.records import (
    JOB_PREFIX,
    LIMIT_PREFIX,
    MACHINE_TYPES_KEY,
    RENTAL_PREFIX,
    SETTINGS_KEY,
    JobRecord,
    MachineRecord,
    RentalRecord,
)
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["StoreEvents"]

log = logging.getLogger(__name__)


class LimitRecords(Protocol):
    """The operators' records of team limits, where the quota feature is on."""

    def on_change(self, key: str, value: Any) -> None:
        """Apply a changed record; None when it was deleted."""


class StoreEvents:
    """Updates the controller's state with each change that the watch cache shows."""

    def __init__(
        self,
        state: ControllerState,
        membership: Membership,
        machine_index: MachineIndex,
        assignments: Assignments,
        surviving_peers: SurvivingPeers,
        fleet_manager: FleetManager,
        heartbeats: HeartbeatHandler,
        limit_records: LimitRecords | None,
        errors: IsolatedErrors,
    ) -> None:
        self._state = state
        self._membership = membership
        self._machine_index = machine_index
        self._assignments = assignments
        self._surviving_peers = surviving_peers
        self._fleet_manager = fleet_manager
        self._heartbeats = heartbeats
        self._limit_records = limit_records
        self._errors = errors

    def on_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Apply a change of one key; `value` is None for a deletion.

        An error in the record of a job or a machine is recorded, as the watch has to go on for all others. An error in
        any other record ends the watch, and with it the authority of this controller: a view must not be applied by
        half.
        """
        if key.startswith(JOB_PREFIX):
            self._on_job(key.removeprefix(JOB_PREFIX), value, mod_revision)
        elif key.startswith(RENTAL_PREFIX):
            self._on_rental(key.removeprefix(RENTAL_PREFIX), value)
        elif key.startswith(LIMIT_PREFIX):
            if self._limit_records is not None:
                self._limit_records.on_change(key, value)
        elif key == MACHINE_TYPES_KEY:
            self.apply_machine_types(value)
        elif key == SETTINGS_KEY:
            self._on_settings(value)
        else:
            self._membership.on_change(key, value, mod_revision)

    def on_loaded(self, revision: int) -> None:
        """Log how many records the first read of all keys has shown, and up to which revision it is complete."""
        log.info(
            "records loaded: jobs=%d machines=%d revision=%d",
            len(self._state.jobs),
            len(self._state.machines),
            revision,
        )

    def _on_settings(self, value: Any) -> None:
        self._state.tuning = self._machine_index.tuning = Tuning.from_value(value)
        self._machine_index.invalidate_all()
        log.info("settings changed")

    def _on_job(self, job_id: str, value: Any, mod_revision: int) -> None:
        if value is None:
            self._assignments.on_job_deleted(job_id)
            return
        if self._assignments.is_finished_elsewhere(job_id):
            # The store's reply is late and dates from before the job's end: the finished job must not be added again.
            return
        known = self._state.jobs.get(job_id)
        try:
            record = msgspec.convert(value, JobRecord)
            job = known or Job(job_id, record, mod_revision)
            job.update(record, mod_revision)
        except (msgspec.ValidationError, ValueError) as error:
            log.error("broken job record: job_id=%s error=%r", job_id, str(error))
            return
        if known is None:
            self._state.jobs[job_id] = job
        try:
            self._apply_job(job, is_new=known is None)
        except Exception:
            self._errors.record("job record", job_id)
            # The record may name another scheduler, which starts the job's tasks from now on.
            self._assignments.suspend(job_id)

    def _apply_job(self, job: Job, is_new: bool) -> None:
        if is_new:
            self._fleet_manager.autoscaler.record_image_use(job.spec.image)
        if job.progress.count:
            self._machine_index.record_job_success(job.job_id)
        self._assignments.assign(job)

    def _on_rental(self, rental_id: str, value: Any) -> None:
        try:
            record = None if value is None else msgspec.convert(value, RentalRecord)
        except msgspec.ValidationError as error:
            log.error("broken rental record: rental_id=%s error=%r", rental_id, str(error))
            return
        previous = self._state.rentals.pop(rental_id, None)
        if record is not None:
            self._state.rentals[rental_id] = record
        old_machines = previous.machine_records(rental_id) if previous is not None else {}
        new_machines = record.machine_records(rental_id) if record is not None else {}
        for host in old_machines.keys() - new_machines.keys():
            self._errors.run("machine record", host, partial(self._remove_machine, host))
        for host, machine in new_machines.items():
            if machine != old_machines.get(host):
                self._errors.run("machine record", host, partial(self._apply_machine_record, host, machine))

    def _apply_machine_record(self, host: str, record: MachineRecord) -> None:
        self._state.machines[host] = record
        self._fleet_manager.track_machine(host)
        unconfirmed_since = self._surviving_peers.unconfirmed_since() if record.registered else None
        self._machine_index.add(host, unconfirmed_since)
        self._assignments.add_owned_machine(host, record)
        if self._state.scheduler is not None and self._state.is_quarantined(host):
            self._state.scheduler.discard_failures_on(host)

    def _remove_machine(self, host: str) -> None:
        self._state.machines.pop(host, None)
        self._state.agent_addresses.pop(host, None)
        self._machine_index.remove(host)
        self._fleet_manager.forget(host)
        if self._state.scheduler is not None:
            self._state.scheduler.remove_machine(host)
        if self._state.shard is not None:
            self._state.shard.remove_machine(host)
        self._heartbeats.reject_held_heartbeat(host)

    def apply_machine_types(self, value: Any) -> None:
        """Apply machine types that the leader stored or this controller read from the cloud, in their stored form."""
        try:
            machine_types = msgspec.convert(value, list[MachineType])
        except msgspec.ValidationError as error:
            log.error("broken machine types: error=%r", str(error))
            return
        self._state.machine_types.clear()
        self._state.machine_types.update({machine_type.name: machine_type for machine_type in machine_types})
        self._machine_index.invalidate_all()
        for host, record in self._state.machines.items():
            self._assignments.add_owned_machine(host, record)
