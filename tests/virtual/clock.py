"""The virtual clock, which executes a queue of events, and the units in which tests write durations."""

import heapq
import itertools
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
#: The wall-clock time at which every virtual world begins.
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Executes events in the order of their times; events of the same time in the order of their scheduling."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Schedule an event; a negative delay counts as zero."""
        due_at = self.now + max(delay, timedelta(0))
        heapq.heappush(self._events, (due_at, next(self._sequence_numbers), action))

    def run(self, seconds: float) -> None:
        """Advance the clock by a duration and execute all events that are due by its end."""
        end = self.now + seconds * SECOND
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Advance the clock until the condition holds, by at most `seconds`; return whether it holds.

        The condition is checked ten times a second.
        """
        for _ in range(int(seconds * 10)):
            if condition():
                return True
            self.run(0.1)
        return condition()
