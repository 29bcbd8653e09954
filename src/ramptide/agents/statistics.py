"""What became of agents' heartbeats and of the stops of tasks: counters for the metrics, and bounded log lines.

A log line stands for all events of its kind since the previous one, so that their number does not grow with the fleet.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum

__all__ = ["AgentStatistics", "HeartbeatOutcome", "StopOutcome"]

log = logging.getLogger(__name__)

#: The shortest time between two lines about stops with the same outcome.
STOP_LOG_INTERVAL = timedelta(seconds=1)
#: The shortest time between two lines about refused heartbeats.
REFUSAL_LOG_INTERVAL = timedelta(seconds=4)
#: The number of tasks or machines that a line names.
MAX_EXAMPLES = 10


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
    """Counts what became of heartbeats and stops since the start of the process, and logs it.

    Attributes
    ----------
    heartbeats, stops
        The number of heartbeats, and of stops of tasks, by outcome.
    """

    def __init__(self) -> None:
        self.heartbeats: Counter[HeartbeatOutcome] = Counter()
        self.stops: Counter[StopOutcome] = Counter()
        self._stop_lines = {outcome: _PendingLine(STOP_LOG_INTERVAL) for outcome in StopOutcome}
        self._refusals = {
            outcome: _PendingLine(REFUSAL_LOG_INTERVAL)
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

    def write_log(self, view: int, now: timedelta) -> None:
        """Log the events since the previous lines, for each outcome at most once an interval.

        `view`: the number of the present view, whose token the answers carry.
        """
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


class _PendingLine:
    """The events of one kind that the next log line will stand for."""

    def __init__(self, interval: timedelta) -> None:
        self._interval = interval
        self._logged_at: timedelta | None = None
        self.count = 0
        self._examples: list[str] = []

    def add(self, example: str) -> None:
        self.count += 1
        if len(self._examples) < MAX_EXAMPLES:
            self._examples.append(example)

    def is_due(self, now: timedelta) -> bool:
        return self.count > 0 and (self._logged_at is None or now - self._logged_at >= self._interval)

    def restart(self, now: timedelta) -> None:
        self._logged_at, self.count = now, 0
        self._examples.clear()

    def examples(self) -> str:
        return ", ".join(self._examples)
