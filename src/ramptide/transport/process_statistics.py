"""What this process spends its processor time on, and how late its timers are."""

import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

NO_TIME = timedelta(0)
#: The worst delay is told of so long.
WORST_DELAY_KEPT = timedelta(minutes=1)


class WorkKind(Enum):
    """Kinds of work. Socket events hold the four after them, and what the transport itself takes."""

    TIMERS = "timers"
    SOCKETS = "sockets"
    REPORTS = "reports"
    USERS = "users"
    PEERS = "peers"
    RESPONSES = "responses"


#: The kinds that are part of the work on socket events.
HANDLERS = (WorkKind.REPORTS, WorkKind.USERS, WorkKind.PEERS, WorkKind.RESPONSES)


class ProcessStatistics:
    """Counts processor time by kind of work, and how late timers are."""

    def __init__(self) -> None:
        self._spent = dict.fromkeys(WorkKind, NO_TIME)
        self.timers = 0
        self.delays = NO_TIME
        #: Delays of the last minute that no later one exceeds, with their moments; the longest first.
        self._worst: deque[tuple[timedelta, timedelta]] = deque()

    def measure(self, work: WorkKind, action: Callable[[], None]) -> None:
        """Run the action and count the processor time that it takes."""
        begun = time.process_time()
        try:
            action()
        finally:
            self._spent[work] += timedelta(seconds=time.process_time() - begun)

    def by_kind(self) -> dict[str, timedelta]:
        """Return the processor time by kind; what the transport takes beside the handlers is one more."""
        found = {work.value: self._spent[work] for work in (WorkKind.TIMERS, *HANDLERS)}
        handled = sum((self._spent[work] for work in HANDLERS), NO_TIME)
        return found | {"transport": max(self._spent[WorkKind.SOCKETS] - handled, NO_TIME)}

    def timer_ran(self, now: timedelta, delay: timedelta) -> None:
        """Count a timer that is called `delay` after it was due."""
        self.timers += 1
        self.delays += delay
        while self._worst and self._worst[-1][1] <= delay:
            self._worst.pop()
        self._worst.append((now, delay))
        self._forget(now)

    def worst_delay(self, now: timedelta) -> timedelta:
        """Return the longest delay of a timer in the last minute."""
        self._forget(now)
        return self._worst[0][1] if self._worst else NO_TIME

    def _forget(self, now: timedelta) -> None:
        while self._worst and now - self._worst[0][0] > WORST_DELAY_KEPT:
            self._worst.popleft()
