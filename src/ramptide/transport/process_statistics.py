"""Statistics of this process: its processor time by kind of work, and how late its timers are."""

import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

__all__ = ["WORST_DELAY_WINDOW", "ProcessStatistics", "WorkKind"]

NO_TIME = timedelta(0)
#: The reported worst delay covers the timers that were called within this window.
WORST_DELAY_WINDOW = timedelta(minutes=1)
#: The label of the processor time that the transport itself takes.
TRANSPORT_LABEL = "transport"


class WorkKind(Enum):
    """Kinds of work; the values are their labels in the metrics.

    The time of `SOCKETS` includes that of the transport itself and of the four kinds after it. An exception is a failed
    call that a timer reports: its `RESPONSES` time is part of that of `TIMERS`.
    """

    TIMERS = "timers"
    SOCKETS = "sockets"
    HEARTBEATS = "reports"
    USERS = "users"
    PEERS = "peers"
    RESPONSES = "responses"


#: The kinds of work that handlers do during socket events.
HANDLERS = (WorkKind.HEARTBEATS, WorkKind.USERS, WorkKind.PEERS, WorkKind.RESPONSES)


class _TimerDelay(NamedTuple):
    """The delay of a timer, and when the timer was called."""

    called_at: timedelta
    delay: timedelta


class ProcessStatistics:
    """Adds up processor time by kind of work, and records how late timers are.

    Attributes
    ----------
    timer_count
        The number of timers that were called.
    total_timer_delay
        The sum of the delays of these timers.
    """

    def __init__(self) -> None:
        self._processor_time = dict.fromkeys(WorkKind, NO_TIME)
        self.timer_count = 0
        self.total_timer_delay = NO_TIME
        #: The delays within the window that no later one reaches, the longest first.
        self._worst_delays: deque[_TimerDelay] = deque()

    def measure(self, work: WorkKind, action: Callable[[], None]) -> None:
        """Run the action and add the processor time that it takes to its kind of work."""
        started_at = time.process_time()
        try:
            action()
        finally:
            self._processor_time[work] += timedelta(seconds=time.process_time() - started_at)

    def processor_time_by_kind(self) -> dict[str, timedelta]:
        """Return the processor time by label: each kind of handler, the timers, and the transport itself."""
        spent = {work.value: self._processor_time[work] for work in (WorkKind.TIMERS, *HANDLERS)}
        handler_time = sum((self._processor_time[work] for work in HANDLERS), NO_TIME)
        return spent | {TRANSPORT_LABEL: max(self._processor_time[WorkKind.SOCKETS] - handler_time, NO_TIME)}

    def record_timer(self, now: timedelta, delay: timedelta) -> None:
        """Record a timer that is called `delay` after it was due."""
        self.timer_count += 1
        self.total_timer_delay += delay
        while self._worst_delays and self._worst_delays[-1].delay <= delay:
            self._worst_delays.pop()
        self._worst_delays.append(_TimerDelay(now, delay))
        self._drop_old_delays(now)

    def worst_delay(self, now: timedelta) -> timedelta:
        """Return the longest delay of a timer within the window that ends now."""
        self._drop_old_delays(now)
        return self._worst_delays[0].delay if self._worst_delays else NO_TIME

    def _drop_old_delays(self, now: timedelta) -> None:
        while self._worst_delays and now - self._worst_delays[0].called_at > WORST_DELAY_WINDOW:
            self._worst_delays.popleft()
