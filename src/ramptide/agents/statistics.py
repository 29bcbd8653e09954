"""What became of agents' heartbeats and of starts and stops of tasks: counters for metrics, and bounded log lines."""

import logging
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum

from ramptide.transport.pending_line import PendingLine

__all__ = ["AgentStatistics", "HeartbeatOutcome", "StopOutcome"]

log = logging.getLogger(__name__)

#: The shortest time between two lines about stops with the same outcome, and between two lines about starts.
TASK_LOG_INTERVAL = timedelta(seconds=1)
#: The shortest time between two lines about refused heartbeats.
REFUSAL_LOG_INTERVAL = timedelta(seconds=4)


class HeartbeatOutcome(Enum):
    """How a heartbeat was answered; the value is the label in the metrics and the log."""

    ACCEPTED = "accepted"
    #: This controller does not own the machine.
    REDIRECTED = "redirected"
    #: The records of the key-value store have not been read yet.
    NO_RECORDS = "no_records"
    #: This controller has no place in the view, or may not renew leases.
    NO_AUTHORITY = "no_authority"
    #: The agent has seen the token of a newer view.
    NEWER_TOKEN = "newer_token"
    #: The tasks' jobs may be finished, and the records that would show it have not been read yet.
    RECORDS_BEHIND = "records_behind"
    #: A newer heartbeat of the machine was received before.
    OUT_OF_DATE = "out_of_date"
    INVALID = "invalid"


class StopOutcome(Enum):
    """What became of the stop of a task; the value is the label in the metrics and the log."""

    SENT_IN_REPLY = "sent_in_reply"
    #: As SENT_IN_REPLY, to a heartbeat of an agent that had not seen the token of the view.
    SENT_WITH_TOKEN = "sent_with_token"
    SENT_DIRECTLY = "sent_directly"
    #: The job may be finished, and the records that would show it have not been read yet.
    HELD_RECORDS_BEHIND = "held_records_behind"


class AgentStatistics:
    """Counts what became of heartbeats, starts and stops since the start of the process, and logs it.

    Attributes
    ----------
    heartbeats, stops
        The number of heartbeats, and of stops of tasks, by outcome.
    starts
        The number of start commands that were sent.
    """

    def __init__(self) -> None:
        self.heartbeats: Counter[HeartbeatOutcome] = Counter()
        self.stops: Counter[StopOutcome] = Counter()
        self.starts = 0
        self._start_line = PendingLine(TASK_LOG_INTERVAL)
        self._stop_lines = {outcome: PendingLine(TASK_LOG_INTERVAL) for outcome in StopOutcome}
        self._refusals = {
            outcome: PendingLine(REFUSAL_LOG_INTERVAL)
            for outcome in HeartbeatOutcome
            if outcome is not HeartbeatOutcome.ACCEPTED
        }

    def record_heartbeat(self, outcome: HeartbeatOutcome, host: str) -> None:
        """Count a heartbeat; one that was not accepted is logged with the next lines."""
        self.heartbeats[outcome] += 1
        if outcome is not HeartbeatOutcome.ACCEPTED:
            self._refusals[outcome].add(host)

    def record_stops(self, outcome: StopOutcome, host: str, task_ids: Iterable[str]) -> None:
        """Count stops of tasks on one machine, which are logged with the next lines."""
        line = self._stop_lines[outcome]
        for task_id in task_ids:
            self.stops[outcome] += 1
            line.add(f"{task_id} on {host}")

    def record_start(self, host: str, task_id: str, attempt: int, requested_by: str | None) -> None:
        """Count a start command in a reply; `requested_by`: the controller whose scheduler asked for it last."""
        self.starts += 1
        self._start_line.add(f"{task_id} attempt {attempt} on {host} for {requested_by}")

    def write_log(self, view: int, now: timedelta) -> None:
        """Log the events since the previous lines, for each outcome at most once an interval.

        `view`: the number of the present view, whose token the answers carry.
        """
        if self._start_line.is_due(now):
            line = self._start_line
            log.info("task starts: view=%d tasks=%d examples=%r", view, line.count, line.examples())
            line.restart(now)
        for stop, line in self._stop_lines.items():
            if line.is_due(now):
                log.info(
                    "task stops: outcome=%s view=%d tasks=%d examples=%r", stop.value, view, line.count, line.examples()
                )
                line.restart(now)
        for refusal, line in self._refusals.items():
            if line.is_due(now):
                log.info(
                    "heartbeats refused: outcome=%s view=%d heartbeats=%d examples=%r",
                    refusal.value,
                    view,
                    line.count,
                    line.examples(),
                )
                line.restart(now)
