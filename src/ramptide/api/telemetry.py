"""Counts of what operators look for when something is wrong. Each event costs an addition."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum

import msgspec

from ramptide.agents.lease_expiry import ExpiredLease

log = logging.getLogger(__name__)

VIEW_CHANGES_KEPT = 10
HOSTS_NAMED = 10
#: A controller whose round comes so much later than planned has stalled.
STALL_THRESHOLD = timedelta(seconds=2)

Answer = Callable[[int, bytes, dict[str, str]], None]


class Route(Enum):
    """What a user asks for."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    #: A path below that of the jobs that is none, or a method that it does not take.
    OTHER = "other"


class Unavailable(Enum):
    """Why a user is answered 503. The value is the label in the metrics."""

    STATE_SERVICE = "state_service"
    OVERLOADED = "overloaded"
    MACHINE_TYPES = "machine_types"
    VIEW = "view"
    BEING_ACCEPTED = "being_accepted"

    @property
    def text(self) -> str:
        """The reason in words for the user."""
        return UNAVAILABLE_TEXTS[self]


UNAVAILABLE_TEXTS = {
    Unavailable.STATE_SERVICE: "the state service does not answer",
    Unavailable.OVERLOADED: "more is asked than the state service takes",
    Unavailable.MACHINE_TYPES: "the machine types are not known yet",
    Unavailable.VIEW: "the view is not known yet",
    Unavailable.BEING_ACCEPTED: "the job is being accepted",
}


class ViewChange(msgspec.Struct):
    """A change of membership.

    `settled_s`: how many seconds it took until all machines were reconciled; None when they are not yet, or when the
    next change came first.
    """

    view: int
    settled_s: float | None = None


class StallDetector:
    """Detects pauses of the controller, when its process was stopped or had no processor while time went on."""

    def __init__(self) -> None:
        self.stalls = 0
        self.total = timedelta(0)
        self.last = timedelta(0)
        self._due: timedelta | None = None
        self._over_at: timedelta | None = None

    def plan(self, due: timedelta) -> None:
        """Note when the next round is due."""
        self._due = due

    def begin(self, now: timedelta) -> None:
        """Note that a round begins, and count a pause if it is late."""
        if not self._late(now):
            return
        assert self._due is not None
        self._over_at, self.last = now, now - self._due
        self.stalls += 1
        self.total += self.last
        log.info("controller stalled: stalled_s=%.1f", self.last.total_seconds())

    def has_stalled(self, now: timedelta, within: timedelta) -> bool:
        """Tell whether a pause ended less than `within` ago, or ends just now.

        What arrived during it has not been read yet.
        """
        return self._late(now) or (self._over_at is not None and now - self._over_at < within)

    def _late(self, now: timedelta) -> bool:
        return self._due is not None and now - self._due > STALL_THRESHOLD


class Telemetry:
    """What this process has counted since it started."""

    def __init__(self) -> None:
        self.view_changes = 0
        self.reconciled_changes = 0
        self.reconciliation_total = timedelta(0)
        self.reconciliation_last = timedelta(0)
        self.last_changes: deque[ViewChange] = deque(maxlen=VIEW_CHANGES_KEPT)
        self.answers: Counter[tuple[Route, int]] = Counter()
        self.unavailable: Counter[Unavailable] = Counter()
        self.stall_detector = StallDetector()
        self.tasks_lost = 0
        self.leases_expired = 0
        self._unconfirmed: list[ExpiredLease] = []

    def view_changed(self, number: int) -> None:
        """Count a new view."""
        self.view_changes += 1
        self._unconfirmed.clear()
        self.last_changes.append(ViewChange(number))

    def reconciled(self, spent: timedelta) -> None:
        """Note that all machines are reconciled in the present view, `spent` after it was heard of."""
        self.reconciled_changes += 1
        self.reconciliation_total += spent
        self.reconciliation_last = spent
        if self.last_changes:
            self.last_changes[-1].settled_s = round(spent.total_seconds(), 3)

    def answered(self, route: Route, status: int) -> None:
        """Count an answer to a user."""
        self.answers[route, status] += 1

    def counting(self, route: Route, answer: Answer) -> Answer:
        """Return a function that counts the answer and passes it on."""

        def counted(status: int, body: bytes, headers: dict[str, str]) -> None:
            self.answered(route, status)
            answer(status, body, headers)

        return counted

    def answers_by_route(self) -> dict[str, dict[str, int]]:
        """Return how often users were answered with each status code, by route."""
        found: dict[str, dict[str, int]] = {}
        for (route, status), count in sorted(self.answers.items(), key=lambda one: (one[0][0].value, one[0][1])):
            found.setdefault(route.value, {})[str(status)] = count
        return found

    def take_expired_leases(self, expired: Sequence[ExpiredLease], confirmed: bool) -> None:
        """Count and log leases that expired.

        Not `confirmed`: we may have been left out of the view, while the machines go on under another controller. So
        these are kept until a later call confirms them, and dropped when the view changes.
        """
        self._unconfirmed += expired
        if not confirmed or not self._unconfirmed:
            return
        expired, self._unconfirmed = self._unconfirmed, []
        self.leases_expired += len(expired)
        self.tasks_lost += sum(lease.lost_tasks for lease in expired)
        _log_expired_leases(expired)


def _log_expired_leases(expired: Sequence[ExpiredLease]) -> None:
    """Log one line for all leases of a round, as many machines may become silent together."""
    log.info(
        "leases expired: hosts=%r tasks_lost=%d reconciled=%d",
        _named([lease.host for lease in expired]),
        sum(lease.lost_tasks for lease in expired),
        sum(lease.reconciled for lease in expired),
    )


def _named(hosts: Sequence[str]) -> str:
    more = len(hosts) - HOSTS_NAMED
    return ", ".join(hosts[:HOSTS_NAMED]) + (f" and {more} more" if more > 0 else "")
