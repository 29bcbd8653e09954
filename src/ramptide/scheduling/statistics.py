"""What schedulers do with jobs and attempts: counters for the metrics, and bounded log lines.

The lines tell which scheduler decided on a start, when a job changed hands, and on which messages its new scheduler
relies.
"""

import logging
from collections import Counter
from datetime import timedelta
from enum import Enum

from ramptide.scheduling.attempts import Attempt
from ramptide.transport.pending_line import PendingLine

__all__ = ["SchedulingEvent", "SchedulingStatistics"]

log = logging.getLogger(__name__)

#: The shortest time between two lines about events of one kind.
LOG_INTERVAL = timedelta(seconds=1)


class SchedulingEvent(Enum):
    """An event of a scheduler; the value is the label in the metrics and the log."""

    #: This controller schedules a job that was not handed over in this view.
    ASSIGNED = "assigned"
    #: This controller's handover of a job was committed.
    HANDED_OVER = "handed_over"
    #: This controller's handover of a job certainly had no effect.
    HANDOVER_REFUSED = "handover_refused"
    #: A condition of this controller's handover did not hold.
    HANDOVER_CONFLICT = "handover_conflict"
    #: This controller's handover got no answer, and is written again.
    HANDOVER_UNANSWERED = "handover_unanswered"
    #: The record of a job that another controller handed over names this controller.
    TAKEN_OVER = "taken_over"
    #: All owners of machines have processed the last message of a job's former scheduler.
    HANDOVER_PROVEN = "handover_proven"
    #: The start of a task was decided.
    START = "start"
    #: An owner of machines reports an attempt that a former scheduler of the job started.
    ADOPTED = "adopted"
    #: As ADOPTED, for a task that has another attempt already or is done: this one is stopped.
    ADOPTED_TO_STOP = "adopted_to_stop"
    #: An owner of machines refused the start.
    REFUSED = "refused"
    #: The attempt is certainly no longer on its machine, and has no result.
    GONE = "gone"
    #: The owner of the machine has processed the withdrawal of the attempt and does not report it; its end was not
    #: reported before.
    NOT_REPORTED = "not_reported"


class SchedulingStatistics:
    """Counts the events of this controller's scheduler since the start of the process, and logs them.

    Attributes
    ----------
    events
        The number of events of each kind.
    """

    def __init__(self) -> None:
        self.events: Counter[SchedulingEvent] = Counter()
        self._lines = {event: PendingLine(LOG_INTERVAL) for event in SchedulingEvent}

    def record(self, event: SchedulingEvent, example: str) -> None:
        """Count an event, which is logged with the next line of its kind."""
        self.events[event] += 1
        self._lines[event].add(example)

    def record_attempt(self, event: SchedulingEvent, attempt: Attempt) -> None:
        """Count an event of an attempt."""
        task_id = f"{attempt.spec.job_id}/{attempt.task_index}"
        self.record(event, f"{task_id} attempt {attempt.number} on {attempt.host}")

    def write_log(self, view: int, now: timedelta) -> None:
        """Log the events since the previous lines, for each kind at most once an interval.

        `view`: the number of the present view.
        """
        for event, line in self._lines.items():
            if line.is_due(now):
                log.info(
                    "scheduling: event=%s view=%d count=%d examples=%r", event.value, view, line.count, line.examples()
                )
                line.restart(now)
