"""What this process spends its processor time on, and how late its timers are."""

import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

__all__ = ["WORST_DELAY_KEPT", "ProcessStatistics", "WorkKind"]

NO_TIME = timedelta(0)
#: The worst delay is shown for so long.
WORST_DELAY_KEPT = timedelta(minutes=1)
#: The label of what the transport itself takes.
TRANSPORT_LABEL = "transport"


class WorkKind(Enum):
    """Kinds of work. Socket events hold the four after them, and what the transport itself takes.

    The values are the labels in the metrics.
    """

    TIMERS = "timers"
    SOCKETS = "sockets"
    HEARTBEATS = "reports"
    USERS = "users"
    PEERS = "peers"
    RESPONSES = "responses"


#: The kinds that are part of the work on socket events.
HANDLERS = (WorkKind.HEARTBEATS, WorkKind.USERS, WorkKind.PEERS, WorkKind.RESPONSES)


class _TimerDelay(NamedTuple):
    """How late a timer was called, and when."""

    called_at: timedelta
    delay: timedelta


class ProcessStatistics:
    """Counts processor time by kind of work, and how late timers are.

    Attributes
    ----------
    timers
        How many timers were called.
    delays
        The sum of their delays.
    """

    def __init__(self) -> None:
        self._spent = dict.fromkeys(WorkKind, NO_TIME)
        self.timers = 0
        self.delays = NO_TIME
        #: Delays of the last minute that no later one exceeds; the longest first.
        self._worst: deque[_TimerDelay] = deque()

    def measure(self, work: WorkKind, action: Callable[[], None]) -> None:
        """Run the action and count the processor time that it takes."""
        began = time.process_time()
        try:
            action()
        finally:
            self._spent[work] += timedelta(seconds=time.process_time() - began)

    def by_kind(self) -> dict[str, timedelta]:
        """Return the processor time by the label of its kind; what the transport takes beside handlers is one more."""
        spent = {work.value: self._spent[work] for work in (WorkKind.TIMERS, *HANDLERS)}
        handled = sum((self._spent[work] for work in HANDLERS), NO_TIME)
        return spent | {TRANSPORT_LABEL: max(self._spent[WorkKind.SOCKETS] - handled, NO_TIME)}

    def timer_ran(self, now: timedelta, delay: timedelta) -> None:
        """Count a timer that is called `delay` after it was due."""
        self.timers += 1
        self.delays += delay
        while self._worst and self._worst[-1].delay <= delay:
            self._worst.pop()
        self._worst.append(_TimerDelay(now, delay))
        self._drop_old(now)

    def worst_delay(self, now: timedelta) -> timedelta:
        """Return the longest delay of a timer in the last minute."""
        self._drop_old(now)
        return self._worst[0].delay if self._worst else NO_TIME

    def _drop_old(self, now: timedelta) -> None:
        while self._worst and now - self._worst[0].called_at > WORST_DELAY_KEPT:
            self._worst.popleft()
