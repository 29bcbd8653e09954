"""The evaluation of agents' heartbeats: whether one is new, whether replies arrive, and what runs on the machine."""

import logging
from collections.abc import Mapping
from datetime import timedelta

from ramptide.agents.attempt_phases import AttemptEvent, advance, apply_reported_phase, is_forgettable
from ramptide.agents.failure_history import record_outcome
from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import HeartbeatId, OwnedMachine
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

__all__ = ["HeartbeatIntake"]

log = logging.getLogger(__name__)

#: A longer gap between two heartbeats means that the reply was missed: an agent waits 4 s for a reply and another
#: heartbeat interval before it sends the next heartbeat.
REPLY_MISSED_AFTER = timedelta(seconds=4.5)
#: The moment of a preemption is calculated from each heartbeat, so it always varies a little.
PREEMPTION_TIME_TOLERANCE = timedelta(seconds=1)


class HeartbeatIntake:
    """Applies heartbeats to the machines in a table."""

    def __init__(self, table: MachineTable) -> None:
        self._table = table
        self._view = table.view
        self._find_spec = table.find_spec
        self._mark_changed = table.mark_changed

    def apply(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Apply a heartbeat and return whether it is new; an old one changes nothing.

        Raises
        ------
        MessageError
            If the heartbeat names a task that its job does not have. Nothing of it is applied then.
        """
        machine = self._table.machines.get(heartbeat.host)
        has_current_token = heartbeat.fencing_token >= self._view
        if machine is None:
            self._decode_tasks(bytes(heartbeat.raw_tasks))
            # An older fencing token marks a late copy of a heartbeat that the machine sent before it was returned.
            if has_current_token:
                self._table.unrecorded[heartbeat.host] = heartbeat
            return True
        heartbeat_id = HeartbeatId.of(heartbeat)
        if heartbeat_id <= machine.last_heartbeat_id:
            return False
        reports = None
        raw_tasks = bytes(heartbeat.raw_tasks)
        # Tasks that are the same as in the previous heartbeat matter only if a start was sent in between.
        if raw_tasks != machine.raw_tasks or any(entry.phase is Phase.SENT for entry in machine.entries.values()):
            reports = self._decode_tasks(raw_tasks)
        self._track_replies(machine, heartbeat_id, now)
        self._record_arrival(machine, heartbeat, heartbeat_id, now)
        if has_current_token is not machine.has_current_token or (has_current_token and not machine.is_reconciled):
            self._record_token(machine, has_current_token)
        if has_current_token and reports is not None:
            machine.raw_tasks = raw_tasks
            self._reconcile(machine, reports)
        return True

    def _decode_tasks(self, raw_tasks: bytes) -> dict[TaskKey, TaskReport]:
        reports = {}
        for report in decode_task_reports(raw_tasks):
            job_id, task_index = parse_task_id(report.task_id)
            spec = self._find_spec(job_id)
            if spec is not None and task_index >= spec.task_count:
                raise MessageError(f"piece: {report.task_id!r} is not of the job")
            reports[(job_id, task_index, report.attempt)] = report
        return reports

    def _record_token(self, machine: OwnedMachine, has_current_token: bool) -> None:
        """Record whether the agent created the heartbeat after it saw the fencing token of this view.

        If so, the machine is reconciled: no reply of an earlier view can be carried out any more. A heartbeat with an
        older token may be out of date.
        """
        machine.has_current_token = has_current_token
        if has_current_token:
            machine.is_reconciled = True
        self._mark_changed(machine.host)

    # Reachability of the agent by replies.

    def _track_replies(self, machine: OwnedMachine, heartbeat_id: HeartbeatId, now: timedelta) -> None:
        """Determine from the heartbeat's id whether the last reply of this controller reached the agent.

        An agent whose heartbeat got no reply sends the next one to another controller, so a gap in the sequence
        numbers, or a new epoch, shows that the last reply from here did not reach it.
        """
        if machine.last_heartbeat_at is None:
            return
        if not heartbeat_id.directly_follows(machine.last_heartbeat_id):
            self._mark_unreachable(machine, now)
        elif machine.is_unreachable and now - machine.last_heartbeat_at < REPLY_MISSED_AFTER:
            self._mark_reachable(machine)

    def _mark_unreachable(self, machine: OwnedMachine, now: timedelta) -> None:
        """Mark the agent as unreachable by replies, so that no more tasks are started on the machine.

        Attempts whose start was not sent yet are refused, so that their schedulers choose another machine. A task that
        may be on the machine runs again only when a heartbeat, an expired lease or the machine's return proves it gone.
        """
        if machine.unreachable_since is None:
            log.debug("machine unreachable: host=%s", machine.host)
            machine.unreachable_since = now
        for entry in machine.entries.values():
            advance(entry, AttemptEvent.AGENT_UNREACHABLE)
        self._mark_changed(machine.host)

    def _mark_reachable(self, machine: OwnedMachine) -> None:
        log.debug("machine reachable again: host=%s", machine.host)
        machine.unreachable_since = None
        self._mark_changed(machine.host)

    # State of the machine.

    def _record_arrival(
        self, machine: OwnedMachine, heartbeat: Heartbeat, heartbeat_id: HeartbeatId, now: timedelta
    ) -> None:
        machine.last_heartbeat_id = heartbeat_id
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address or machine.address
        if not machine.is_up or machine.has_missed_heartbeats:
            machine.is_up, machine.has_missed_heartbeats = True, False
            self._mark_changed(machine.host)
        notice_s = heartbeat.preemption_notice_s
        preempted_at = None if notice_s is None else now + timedelta(seconds=max(notice_s, 0.0))
        if _has_preemption_changed(machine.preempted_at, preempted_at):
            machine.preempted_at = preempted_at
            self._mark_changed(machine.host)

    # Tasks on the machine.

    def _reconcile(self, machine: OwnedMachine, reports: Mapping[TaskKey, TaskReport]) -> None:
        """Update the machine's entries from the tasks that the heartbeat reports."""
        for key, report in reports.items():
            entry = machine.entries.get(key)
            if entry is None:
                job_id, task_index, attempt = key
                entry = TaskEntry(job_id, task_index, attempt, Phase.QUEUED, self._find_spec(job_id))
                self._table.add_entry(machine, entry)
            self._update_entry(machine, entry, report)
        for key, entry in list(machine.entries.items()):
            if key not in reports:
                self._handle_absent(machine, key, entry)
        self._mark_changed(machine.host)

    def _update_entry(self, machine: OwnedMachine, entry: TaskEntry, report: TaskReport) -> None:
        phase = _reported_phase(report)
        if entry.phase is not phase:
            log.debug(
                "task phase changed: task_id=%s/%d attempt=%d host=%s phase=%s",
                entry.job_id,
                entry.task_index,
                entry.attempt,
                machine.host,
                phase.label,
            )
        if phase is Phase.ENDED and entry.phase is not Phase.ENDED:
            record_outcome(machine, entry.job_id, report.cause)
        apply_reported_phase(entry, phase, report.cause)
        if entry.spec is not None and phase is not Phase.ENDED:
            machine.record_image_use(entry.spec.image)

    def _handle_absent(self, machine: OwnedMachine, key: TaskKey, entry: TaskEntry) -> None:
        """Update the entry of an attempt that is not on the machine, as a newer heartbeat does not report it."""
        if entry.desired is DesiredState.RUN and entry.phase is Phase.SENT:
            event = AttemptEvent.START_LOST_UNREACHABLE if machine.is_unreachable else AttemptEvent.START_LOST
            advance(entry, event)
        else:
            advance(entry, AttemptEvent.ABSENT)
        if entry.phase in FINISHED_PHASES and is_forgettable(entry):
            del machine.entries[key]


def _reported_phase(report: TaskReport) -> Phase:
    """Return the phase of a reported task; a task with an unknown status counts as running."""
    phase = PHASE_BY_NAME.get(report.status, Phase.RUNNING)
    return phase if phase in REPORTED_PHASES else Phase.RUNNING


def _has_preemption_changed(before: timedelta | None, after: timedelta | None) -> bool:
    """Return whether the preemption notice appeared, was withdrawn, or moved by more than the tolerance."""
    if before is None or after is None:
        return before is not after
    return abs(after - before) > PREEMPTION_TIME_TOLERANCE
