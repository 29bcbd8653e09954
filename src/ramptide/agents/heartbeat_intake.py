"""The agents' heartbeats: whether they are new, whether our replies arrive, and what runs on the machine."""

import logging
from collections.abc import Mapping
from datetime import timedelta

from ramptide.agents.attempt_phases import AttemptEvent, advance, is_forgettable, show_reported_phase
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

#: An agent waits 4 s for a reply and another interval before it sends the next heartbeat.
REPLY_MISSED_AFTER = timedelta(seconds=4.5)
#: The moment at which the cloud takes a machine is worked out anew from each heartbeat, so it always moves a little.
PREEMPTION_TIME_TOLERANCE = timedelta(seconds=1)


class HeartbeatIntake:
    """Takes the heartbeats of the machines in a table."""

    def __init__(self, table: MachineTable) -> None:
        self._table = table
        self._view = table.view
        self._find_spec = table.find_spec
        self._mark_changed = table.mark_changed

    def take(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Take a heartbeat; return whether it is new. An old one changes nothing.

        Raises
        ------
        MessageError
            If it names a task that its job does not have. Nothing of it is taken then.
        """
        machine = self._table.machines.get(heartbeat.host)
        has_current_token = heartbeat.fencing_token >= self._view
        if machine is None:
            # A late copy of what a machine said before it was returned bears an older fencing token.
            if has_current_token:
                self._table.unrecorded[heartbeat.host] = heartbeat
            return True
        heartbeat_id = HeartbeatId.of(heartbeat)
        if heartbeat_id <= machine.last_heartbeat_id:
            return False
        reports = None
        raw_tasks = bytes(heartbeat.raw_tasks)
        # A heartbeat that repeats the one before is news only where a start was sent meanwhile.
        if raw_tasks != machine.raw_tasks or any(entry.phase is Phase.SENT for entry in machine.entries.values()):
            reports = self._decode_tasks(raw_tasks)
        self._track_replies(machine, heartbeat_id, now)
        self._note_arrival(machine, heartbeat, heartbeat_id, now)
        if has_current_token is not machine.has_current_token or (has_current_token and not machine.is_reconciled):
            self._note_token(machine, has_current_token)
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

    def _note_token(self, machine: OwnedMachine, has_current_token: bool) -> None:
        """Note whether the heartbeat was made after the agent saw our fencing token.

        If so the machine is reconciled: no reply of an older view can be carried out any more. Heartbeats with an older
        token may be stale.
        """
        machine.has_current_token = has_current_token
        if has_current_token:
            machine.is_reconciled = True
        self._mark_changed(machine.host)

    # Whether our replies arrive.

    def _track_replies(self, machine: OwnedMachine, heartbeat_id: HeartbeatId, now: timedelta) -> None:
        """Conclude from the heartbeat's id whether our last reply reached the agent.

        An agent whose heartbeat got no reply sends the next to another controller, so a gap in the sequence numbers,
        or a new epoch, says that our last reply did not reach it.
        """
        if machine.last_heartbeat_at is None:
            return
        if not heartbeat_id.directly_follows(machine.last_heartbeat_id):
            self._mark_unreachable(machine, now)
        elif machine.is_unreachable and now - machine.last_heartbeat_at < REPLY_MISSED_AFTER:
            self._mark_reachable(machine)

    def _mark_unreachable(self, machine: OwnedMachine, now: timedelta) -> None:
        """Start nothing there any more.

        What was not sent yet is refused, so that its scheduler looks elsewhere; what may be there runs again only when
        a heartbeat or the machine's return proves it gone.
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

    # What the agent tells of the machine.

    def _note_arrival(
        self, machine: OwnedMachine, heartbeat: Heartbeat, heartbeat_id: HeartbeatId, now: timedelta
    ) -> None:
        machine.last_heartbeat_id = heartbeat_id
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address or machine.address
        if not machine.is_up or machine.missed_heartbeats:
            machine.is_up, machine.missed_heartbeats = True, False
            self._mark_changed(machine.host)
        notice_s = heartbeat.preemption_notice_s
        preempted_at = None if notice_s is None else now + timedelta(seconds=max(notice_s, 0.0))
        if _has_moved(machine.preempted_at, preempted_at):
            machine.preempted_at = preempted_at
            self._mark_changed(machine.host)

    # What runs there.

    def _reconcile(self, machine: OwnedMachine, reports: Mapping[TaskKey, TaskReport]) -> None:
        """Bring the machine's entries in line with what the heartbeat shows."""
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
        show_reported_phase(entry, phase, report.cause)
        if entry.spec is not None and phase is not Phase.ENDED:
            machine.record_image_use(entry.spec.image)

    def _handle_absent(self, machine: OwnedMachine, key: TaskKey, entry: TaskEntry) -> None:
        """Take note that a newer heartbeat lacks the attempt, so it is not on the machine."""
        if entry.desired is DesiredState.RUN and entry.phase is Phase.SENT:
            lost = AttemptEvent.START_LOST_UNREACHABLE if machine.is_unreachable else AttemptEvent.START_LOST
            advance(entry, lost)
        else:
            advance(entry, AttemptEvent.ABSENT)
        if entry.phase in FINISHED_PHASES and is_forgettable(entry):
            del machine.entries[key]


def _reported_phase(report: TaskReport) -> Phase:
    """Return the phase of a reported task; one with a status that we do not know counts as running."""
    phase = PHASE_BY_NAME.get(report.status, Phase.RUNNING)
    return phase if phase in REPORTED_PHASES else Phase.RUNNING


def _has_moved(before: timedelta | None, after: timedelta | None) -> bool:
    """Tell whether the announced moment of preemption came, went or moved by more than the tolerance."""
    if before is None or after is None:
        return before is not after
    return abs(after - before) > PREEMPTION_TIME_TOLERANCE
