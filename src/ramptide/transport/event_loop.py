"""The event loop for sockets and timers. No other module reads the monotonic clock."""

import contextlib
import functools
import heapq
import itertools
import logging
import selectors
import socket
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from ramptide.transport.process_statistics import ProcessStatistics, WorkKind

__all__ = ["EventLoop", "Timer"]

log = logging.getLogger(__name__)

NO_DELAY = timedelta(0)
#: Limits the deferrable events handled in a turn; the others are handled in later turns, after more urgent events.
MAX_DEFERRABLE_EVENTS_PER_TURN = 16


class Timer:
    """A call that is scheduled for a point in time."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Prevent the call; this has no effect once the call was made."""
        self.action = None


class _Watch(NamedTuple):
    """The callback for the events of a socket, and whether other events may be handled before it."""

    on_ready: Callable[[int], None]
    is_deferrable: bool


class _ScheduledTimer(NamedTuple):
    """A timer in the heap; `order` keeps timers of equal times in the order in which they were scheduled."""

    due_at: timedelta
    order: int
    timer: Timer


class EventLoop:
    """Calls callbacks on one thread when a socket is ready or a timer is due.

    Each turn handles deferrable sockets last, and only a few of them, so that leases and timers are served in time even
    when there is more input than the process can handle.

    Attributes
    ----------
    now
        The monotonic time at which the current event began. The clock is read for each event: on a slow processor a
        turn may take seconds, and what its last event renews or starts must not be based on an older time.
    """

    def __init__(self) -> None:
        self.statistics = ProcessStatistics()
        self._selector = selectors.DefaultSelector()
        self._timers: list[_ScheduledTimer] = []
        self._timer_order = itertools.count()
        self._is_running = False
        #: The file descriptors that were ready and not handled, the longest-waiting first.
        self._deferred: dict[int, None] = {}
        self._read_clock()

    def _read_clock(self) -> None:
        self.now = timedelta(seconds=time.monotonic())

    def wall(self) -> datetime:
        """Return the wall-clock time, in UTC."""
        return datetime.now(UTC)

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Schedule a call; calls with equal times keep the order in which they were scheduled."""
        timer = Timer(action)
        heapq.heappush(self._timers, _ScheduledTimer(self.now + max(delay, NO_DELAY), next(self._timer_order), timer))
        return timer

    def watch(
        self, sock: socket.socket, events: int, on_ready: Callable[[int], None], deferrable: bool = False
    ) -> None:
        """Call `on_ready` with the event mask of a socket; a second watch of the same socket replaces the first."""
        watch = _Watch(on_ready, deferrable)
        try:
            self._selector.modify(sock, events, watch)
        except KeyError:
            self._selector.register(sock, events, watch)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket; one that is not watched is ignored."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def stop(self) -> None:
        """Make `run` return after the current turn."""
        self._is_running = False

    def run(self) -> None:
        """Process events until `stop` is called."""
        self._is_running = True
        while self._is_running:
            self.run_turn()

    def run_turn(self) -> None:
        """Wait for sockets or the next timer, then process what is due, except for surplus deferrable events."""
        ready = self._selector.select(self._seconds_to_next_timer())
        self._read_clock()
        deferred: dict[int, Callable[[], None]] = {}
        for key, mask in ready:
            call = functools.partial(key.data.on_ready, mask)
            if key.data.is_deferrable:
                deferred[key.fd] = call
            else:
                self._run_guarded(WorkKind.SOCKETS, call)
        self._run_due_timers()
        self._run_deferred(deferred)

    def _seconds_to_next_timer(self) -> float | None:
        """Remove cancelled timers from the top of the heap; return how long to wait, or None without a timer."""
        while self._timers and self._timers[0].timer.action is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(0.0, (self._timers[0].due_at - timedelta(seconds=time.monotonic())).total_seconds())

    def _run_deferred(self, ready: dict[int, Callable[[], None]]) -> None:
        """Run some of the calls, given by file descriptor: first those that have waited since earlier turns."""
        waiting = [fd for fd in self._deferred if fd in ready]
        waiting += [fd for fd in ready if fd not in self._deferred]
        self._deferred = dict.fromkeys(waiting[MAX_DEFERRABLE_EVENTS_PER_TURN:])
        for fd in waiting[:MAX_DEFERRABLE_EVENTS_PER_TURN]:
            self._run_guarded(WorkKind.SOCKETS, ready[fd])

    def _run_due_timers(self) -> None:
        # Timers that become due meanwhile wait for the next turn: decision rounds that take longer than their interval
        # must not keep the sockets waiting.
        due_by = self.now
        while self._timers and self._timers[0].due_at <= due_by:
            due_at, _, timer = heapq.heappop(self._timers)
            action, timer.action = timer.action, None
            if action is not None:
                self._read_clock()
                self.statistics.record_timer(self.now, self.now - due_at)
                self._run_guarded(WorkKind.TIMERS, action)

    def _run_guarded(self, work: WorkKind, action: Callable[[], None]) -> None:
        self._read_clock()
        # An exception in one event must not end the process: safety rests on leases and conditions that other processes
        # check.
        try:
            self.statistics.measure(work, action)
        except Exception:
            log.exception("event failed")
