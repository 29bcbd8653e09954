"""The event loop: sockets through `selectors`, and timers. The only reader of the steady clock."""

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
    """A call planned for a moment; `cancel` before then undoes it."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class Loop:
    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._order = itertools.count()
        self._running = False
        self.now = timedelta(seconds=time.monotonic())

    def wall(self) -> datetime:
        return datetime.now(UTC)

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        timer = Timer(action)
        heapq.heappush(self._timers, (self.now + max(delay, NO_DELAY), next(self._order), timer))
        return timer

    def watch(self, sock: socket.socket, events: int, ready: Callable[[int], None]) -> None:
        """Calls `ready` with the event mask; a second call for the same socket replaces the first."""
        try:
            self._selector.modify(sock, events, ready)
        except KeyError:
            self._selector.register(sock, events, ready)

    def unwatch(self, sock: socket.socket) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def stop(self) -> None:
        self._running = False

    def run(self) -> None:
        self._running = True
        while self._running:
            self.turn()

    def turn(self) -> None:
        """One wait for sockets or the next timer, and all that became due."""
        while self._timers and self._timers[0][2].action is None:
            heapq.heappop(self._timers)
        wait: float | None = None
        if self._timers:
            wait = max(0.0, (self._timers[0][0] - timedelta(seconds=time.monotonic())).total_seconds())
        ready = self._selector.select(wait)
        self.now = timedelta(seconds=time.monotonic())
        for key, mask in ready:
            self._guarded(functools.partial(key.data, mask))
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            action, timer.action = timer.action, None
            if action is not None:
                self._guarded(action)

    def _guarded(self, action: Callable[[], None]) -> None:
        # One bad event must not end the process: the rules are kept by the others' proofs, not by luck here.
        try:
            action()
        except Exception:
            log.exception("an event failed")
