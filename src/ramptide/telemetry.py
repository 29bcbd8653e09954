"""Counts of what operators look for when something is wrong. Each event costs an addition."""

from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

VIEW_CHANGES_KEPT = 10

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
        """The reason in the words that the user reads."""
        return UNAVAILABLE_TEXTS[self]


UNAVAILABLE_TEXTS = {
    Unavailable.STATE_SERVICE: "the state service does not answer",
    Unavailable.OVERLOADED: "more is asked than the state service takes",
    Unavailable.MACHINE_TYPES: "the machine types are not known yet",
    Unavailable.VIEW: "the view is not known yet",
    Unavailable.BEING_ACCEPTED: "the job is being accepted",
}


class ViewChange(msgspec.Struct):
    """A change of membership. `settled_s`: how long it took until work went on; None when it has not or was
    overtaken by the next change."""

    view: int
    settled_s: float | None = None


class Telemetry:
    """What this process has counted since it started."""

    def __init__(self) -> None:
        self.view_changes = 0
        self.settled_changes = 0
        self.settling_total = timedelta(0)
        self.settling_last = timedelta(0)
        self.last_changes: deque[ViewChange] = deque(maxlen=VIEW_CHANGES_KEPT)
        self.answers: Counter[tuple[Route, int]] = Counter()
        self.unavailable: Counter[Unavailable] = Counter()

    def view_changed(self, number: int) -> None:
        """A new view holds."""
        self.view_changes += 1
        self.last_changes.append(ViewChange(number))

    def settled(self, spent: timedelta) -> None:
        """All machines are settled in the present view, `spent` after it was heard of."""
        self.settled_changes += 1
        self.settling_total += spent
        self.settling_last = spent
        if self.last_changes:
            self.last_changes[-1].settled_s = round(spent.total_seconds(), 3)

    def answered(self, route: Route, status: int) -> None:
        """A user got an answer."""
        self.answers[route, status] += 1

    def counting(self, route: Route, answer: Answer) -> Answer:
        """`answer`, counted when it is called."""

        def counted(status: int, body: bytes, headers: dict[str, str]) -> None:
            self.answered(route, status)
            answer(status, body, headers)

        return counted

    def answers_by_route(self) -> dict[str, dict[str, int]]:
        """How often users were answered with which status code."""
        found: dict[str, dict[str, int]] = {}
        for (route, status), count in sorted(self.answers.items(), key=lambda one: (one[0][0].value, one[0][1])):
            found.setdefault(route.value, {})[str(status)] = count
        return found
