"""The event loop: sockets through `selectors`, and timers. The only module that reads the monotonic clock."""

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

log = logging.getLogger(__name__)

NO_DELAY = timedelta(0)


class Timer:
    """A call scheduled for a point in time."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Prevent the call; without effect once it was made."""
        self.action = None


class Loop:
    """Calls back when a socket is ready or a timer is due, on one thread.

    Attributes
    ----------
    now
        The monotonic time at which the current turn's events were collected.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._order = itertools.count()
        self._running = False
        self.now = timedelta(seconds=time.monotonic())

    def wall(self) -> datetime:
        """Return the wall-clock time."""
        return datetime.now(UTC)

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Schedule a call; equal times keep the order in which they were scheduled."""
        timer = Timer(action)
        heapq.heappush(self._timers, (self.now + max(delay, NO_DELAY), next(self._order), timer))
        return timer

    def watch(self, sock: socket.socket, events: int, ready: Callable[[int], None]) -> None:
        """Call `ready` with the event mask; a second call for the same socket replaces the first."""
        try:
            self._selector.modify(sock, events, ready)
        except KeyError:
            self._selector.register(sock, events, ready)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket; one that is not watched is ignored."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def stop(self) -> None:
        """Let `run` return after the current turn."""
        self._running = False

    def run(self) -> None:
        """Process events until `stop` is called."""
        self._running = True
        while self._running:
            self.turn()

    def turn(self) -> None:
        """Wait for sockets or the next timer, then process everything that is due."""
        while self._timers and self._timers[0][2].action is None:
            heapq.heappop(self._timers)
        wait_s: float | None = None
        if self._timers:
            wait_s = max(0.0, (self._timers[0][0] - timedelta(seconds=time.monotonic())).total_seconds())
        ready = self._selector.select(wait_s)
        self.now = timedelta(seconds=time.monotonic())
        for key, mask in ready:
            self._run_guarded(functools.partial(key.data, mask))
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            action, timer.action = timer.action, None
            if action is not None:
                self._run_guarded(action)

    def _run_guarded(self, action: Callable[[], None]) -> None:
        # One failing event must not end the process: safety rests on the leases and conditions that others check.
        try:
            action()
        except Exception:
            log.exception("an event failed")
