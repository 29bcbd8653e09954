"""Counters and recent events that operators look at when something is wrong. Counting an event costs one addition."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum

import msgspec

from ramptide.agents.lease_expiry import ExpiredLease

log = logging.getLogger(__name__)

MAX_VIEW_CHANGES_KEPT = 10
MAX_HOSTS_LOGGED = 10
#: A controller has stalled when its decision round begins later than planned by more than this.
STALL_THRESHOLD = timedelta(seconds=2)

Answer = Callable[[int, bytes, dict[str, str]], None]


class Route(Enum):
    """The kind of a user's request."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    #: An unknown path below that of the jobs, or a method that the path does not allow.
    OTHER = "other"


class Unavailable(Enum):
    """The reason for an answer with status 503. The value is the label in the metrics."""

    STATE_SERVICE = "state_service"
    OVERLOADED = "overloaded"
    MACHINE_TYPES = "machine_types"
    VIEW = "view"
    BEING_ACCEPTED = "being_accepted"

    @property
    def text(self) -> str:
        """The error text for the user."""
        return UNAVAILABLE_TEXTS[self]


UNAVAILABLE_TEXTS = {
    Unavailable.STATE_SERVICE: "the state service does not answer",
    Unavailable.OVERLOADED: "more is asked than the state service takes",
    Unavailable.MACHINE_TYPES: "the machine types are not known yet",
    Unavailable.VIEW: "the view is not known yet",
    Unavailable.BEING_ACCEPTED: "the job is being accepted",
}


class ViewChange(msgspec.Struct):
    """A change of the view.

    `settled_s` is the time in seconds until all machines were reconciled. It is None while they are not, and if the
    next view change came first.
    """

    view: int
    settled_s: float | None = None


class StallDetector:
    """Detects stalls of the controller, in which its process was stopped or got no processor time."""

    def __init__(self) -> None:
        self.stalls = 0
        self.total_time = timedelta(0)
        self.last_time = timedelta(0)
        self._due: timedelta | None = None
        self._stall_ended_at: timedelta | None = None

    def set_next_round(self, due: timedelta) -> None:
        """Set when the next round is due."""
        self._due = due

    def record_round_start(self, now: timedelta) -> None:
        """Record that a round begins, and count a stall if it is late."""
        if not self._is_late(now):
            return
        assert self._due is not None
        self._stall_ended_at, self.last_time = now, now - self._due
        self.stalls += 1
        self.total_time += self.last_time
        log.info("controller stalled: stalled_s=%.1f", self.last_time.total_seconds())

    def has_stalled(self, now: timedelta, within: timedelta) -> bool:
        """Return whether a stall ended less than `within` ago, or ends at this moment.

        In that case the messages that arrived during the stall may not have been read yet.
        """
        return self._is_late(now) or (self._stall_ended_at is not None and now - self._stall_ended_at < within)

    def _is_late(self, now: timedelta) -> bool:
        return self._due is not None and now - self._due > STALL_THRESHOLD


class Telemetry:
    """The counters and recent events of this process since it started."""

    def __init__(self) -> None:
        self.view_changes = 0
        self.reconciled_changes = 0
        self.reconciliation_total = timedelta(0)
        self.reconciliation_last = timedelta(0)
        self.last_changes: deque[ViewChange] = deque(maxlen=MAX_VIEW_CHANGES_KEPT)
        self.answers: Counter[tuple[Route, int]] = Counter()
        self.unavailable: Counter[Unavailable] = Counter()
        self.stall_detector = StallDetector()
        self.tasks_lost = 0
        self.leases_expired = 0
        self._unconfirmed: list[ExpiredLease] = []

    def record_view_change(self, number: int) -> None:
        """Count a new view."""
        self.view_changes += 1
        self._unconfirmed.clear()
        self.last_changes.append(ViewChange(number))

    def record_reconciliation(self, duration: timedelta) -> None:
        """Record that all machines are reconciled in the current view, `duration` after its adoption."""
        self.reconciled_changes += 1
        self.reconciliation_total += duration
        self.reconciliation_last = duration
        if self.last_changes:
            self.last_changes[-1].settled_s = round(duration.total_seconds(), 3)

    def record_answer(self, route: Route, status: int) -> None:
        """Count an answer to a user."""
        self.answers[route, status] += 1

    def count_answers(self, route: Route, answer: Answer) -> Answer:
        """Return a callback that counts an answer and passes it on to `answer`."""

        def count_and_answer(status: int, body: bytes, headers: dict[str, str]) -> None:
            self.record_answer(route, status)
            answer(status, body, headers)

        return count_and_answer

    def answers_by_route(self) -> dict[str, dict[str, int]]:
        """Return the number of answers to users with each status code, by route."""
        counts: dict[str, dict[str, int]] = {}
        for (route, status), count in sorted(self.answers.items(), key=lambda item: (item[0][0].value, item[0][1])):
            counts.setdefault(route.value, {})[str(status)] = count
        return counts

    def record_expired_leases(self, expired: Sequence[ExpiredLease], is_confirmed: bool) -> None:
        """Count and log leases that expired.

        Without `is_confirmed` this controller may have been removed from the view, while the machines continue under
        another controller. These leases are then kept until a later call confirms them, and dropped when the view
        changes.
        """
        self._unconfirmed += expired
        if not is_confirmed or not self._unconfirmed:
            return
        expired, self._unconfirmed = self._unconfirmed, []
        self.leases_expired += len(expired)
        self.tasks_lost += sum(lease.lost_tasks for lease in expired)
        _log_expired_leases(expired)


def _log_expired_leases(expired: Sequence[ExpiredLease]) -> None:
    """Log one line for all expired leases of a round, as many machines may become silent together."""
    log.info(
        "leases expired: hosts=%r tasks_lost=%d reconciled=%d",
        _format_hosts([lease.host for lease in expired]),
        sum(lease.lost_tasks for lease in expired),
        sum(lease.is_newly_reconciled for lease in expired),
    )


def _format_hosts(hosts: Sequence[str]) -> str:
    more = len(hosts) - MAX_HOSTS_LOGGED
    return ", ".join(hosts[:MAX_HOSTS_LOGGED]) + (f" and {more} more" if more > 0 else "")
