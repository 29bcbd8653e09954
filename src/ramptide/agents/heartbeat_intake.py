"""The workers' reports: whether they are new, whether our answers arrive, and what runs on the machine."""

import logging
from datetime import timedelta

from ramptide.agents.failure_history import record_outcome
from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.protocol.agents import Heartbeat, TaskReport, decode_task_reports, parse_task_id
from ramptide.protocol.types import MessageError
from ramptide.state.task_state import (
    FINISHED_PHASES,
    PHASE_BY_NAME,
    REPORTED_PHASES,
    DesiredState,
    Phase,
    TaskEntry,
    TaskKey,
)

log = logging.getLogger(__name__)

#: A worker waits 4 s for an answer and another before it reports again.
REPLY_MISSED_AFTER = timedelta(seconds=4.5)
#: The moment at which the cloud takes a machine is reckoned anew from each report, so it always moves a little.
PREEMPTION_TIME_TOLERANCE = timedelta(seconds=1)


class HeartbeatIntake:
    """Takes the reports of the machines in a table."""

    def __init__(self, table: MachineTable) -> None:
        self._table = table
        self._view = table.view
        self._find_run = table.find_spec
        self._mark_changed = table.mark_changed

    def take(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Take a report; return False when it is an old one, which changes nothing.

        Raises `MessageError` when it names a task that its job does not have.
        """
        machine = self._table.machines.get(heartbeat.host)
        current = heartbeat.fencing_token >= self._view
        if machine is None:
            # A late copy of what a machine said before it was returned bears an older token.
            if current:
                self._table.unrecorded[heartbeat.host] = heartbeat
            return True
        if (heartbeat.agent_epoch, heartbeat.sequence_number) <= machine.last_heartbeat_id:
            return False
        tasks = None
        raw = bytes(heartbeat.raw_tasks)
        if raw != machine.raw_tasks or any(entry.phase is Phase.SENT for entry in machine.entries.values()):
            tasks = self._decode_tasks(raw)
        self._track_arrival(machine, heartbeat, now)
        if current is not machine.has_current_token or current and not machine.is_reconciled:
            self._note_token(machine, current)
        if current and tasks is not None:
            machine.raw_tasks = raw
            self._reconcile(machine, tasks)
        return True

    def _decode_tasks(self, raw: bytes) -> dict[TaskKey, TaskReport]:
        tasks = {}
        for report in decode_task_reports(raw):
            job_id, task = parse_task_id(report.task_id)
            spec = self._find_run(job_id)
            if spec is not None and task >= spec.task_count:
                raise MessageError(f"piece: {report.task_id!r} is not of the job")
            tasks[(job_id, task, report.attempt)] = report
        return tasks

    def _note_token(self, machine: OwnedMachine, current: bool) -> None:
        """Note whether the report was made after the worker saw our token.

        If so the machine is settled: no reply of an older view can be carried out any more. Reports with an older
        token may be stale.
        """
        machine.has_current_token = current
        if current:
            machine.is_reconciled = True
        self._mark_changed(machine.host)

    # Whether our answers arrive.

    def _track_arrival(self, machine: OwnedMachine, heartbeat: Heartbeat, now: timedelta) -> None:
        if machine.last_heartbeat_at is not None:
            # A worker whose report was not answered goes to another controller with the next: a gap in the sequence
            # numbers, or a new epoch, says that our last answer did not reach it.
            agent_epoch, sequence_number = machine.last_heartbeat_id
            if heartbeat.agent_epoch != agent_epoch or heartbeat.sequence_number != sequence_number + 1:
                self._mark_unreachable(machine, now)
            elif machine.unreachable_since is not None and now - machine.last_heartbeat_at < REPLY_MISSED_AFTER:
                self._mark_reachable(machine)
        machine.last_heartbeat_id = (heartbeat.agent_epoch, heartbeat.sequence_number)
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address or machine.address
        if not machine.is_up or machine.missed_heartbeats:
            machine.is_up, machine.missed_heartbeats = True, False
            self._mark_changed(machine.host)
        notice_s = heartbeat.preemption_notice_s
        reclaimed_at = None if notice_s is None else now + timedelta(seconds=max(notice_s, 0.0))
        moved = reclaimed_at is not machine.preempted_at and (
            reclaimed_at is None
            or machine.preempted_at is None
            or abs(reclaimed_at - machine.preempted_at) > PREEMPTION_TIME_TOLERANCE
        )
        if moved:
            machine.preempted_at = reclaimed_at
            self._mark_changed(machine.host)

    def _mark_unreachable(self, machine: OwnedMachine, now: timedelta) -> None:
        """Start nothing there any more.

        What was not sent yet is refused, so that its scheduler looks elsewhere; what may be there runs again only when
        a report or the machine's return proves it gone.
        """
        if machine.unreachable_since is None:
            log.debug("%s does not hear our answers", machine.host)
            machine.unreachable_since = now
        for entry in machine.entries.values():
            if entry.phase is Phase.QUEUED:
                entry.phase = Phase.REFUSED
        self._mark_changed(machine.host)

    def _mark_reachable(self, machine: OwnedMachine) -> None:
        log.debug("%s hears our answers again", machine.host)
        machine.unreachable_since = None
        self._mark_changed(machine.host)

    # What runs there.

    def _reconcile(self, machine: OwnedMachine, tasks: dict[TaskKey, TaskReport]) -> None:
        """Bring the machine's entries in line with what the report shows."""
        for key, report in tasks.items():
            entry = machine.entries.get(key)
            if entry is None:
                entry = TaskEntry(key[0], key[1], key[2], Phase.QUEUED, self._find_run(key[0]))
                self._table.add_entry(machine, entry)
            self._update_entry(machine, entry, report)
        for key, entry in list(machine.entries.items()):
            if key not in tasks:
                self._handle_absent(machine, key, entry)
        self._mark_changed(machine.host)

    def _update_entry(self, machine: OwnedMachine, entry: TaskEntry, report: TaskReport) -> None:
        phase = PHASE_BY_NAME.get(report.status, Phase.RUNNING)
        if phase not in REPORTED_PHASES:
            phase = Phase.RUNNING
        if entry.phase is not phase:
            log.debug(
                "%s/%d try %d on %s: %s", entry.job_id, entry.task_index, entry.attempt, machine.host, phase.label
            )
        if phase is Phase.ENDED and entry.phase is not Phase.ENDED:
            record_outcome(machine, entry.job_id, report.cause)
        entry.phase = phase
        entry.cause = report.cause
        if entry.spec is not None and phase is not Phase.ENDED:
            machine.record_image_use(entry.spec.image)

    def _handle_absent(self, machine: OwnedMachine, key: TaskKey, entry: TaskEntry) -> None:
        """Take note that a newer report lacks the attempt, so it is not on the machine."""
        if entry.desired is DesiredState.RUN and entry.phase is Phase.SENT:
            entry.phase = Phase.REFUSED if machine.is_unreachable else Phase.QUEUED
        elif entry.phase is Phase.SENT or entry.phase in REPORTED_PHASES:
            entry.phase = Phase.GONE
        if entry.phase in FINISHED_PHASES and entry.desired in (None, DesiredState.REAP):
            del machine.entries[key]
