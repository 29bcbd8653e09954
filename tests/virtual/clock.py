"""The virtual clock: a queue of events, and the units in which tests write durations."""

import heapq
import itertools
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

S = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
#: The wall-clock time at which every virtual world begins.
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Runs events in order of time, and in order of scheduling when they are due at the same moment."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Schedule an event."""
        due_at = self.now + max(delay, timedelta(0))
        heapq.heappush(self._events, (due_at, next(self._sequence_numbers), action))

    def run(self, seconds: float) -> None:
        """Let the time pass, with all events that are due."""
        end = self.now + seconds * S
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Let the time pass until the condition holds, for so long at most; return whether it holds."""
        for _ in range(int(seconds * 10)):
            if condition():
                return True
            self.run(0.1)
        return condition()
