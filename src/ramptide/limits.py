"""Token buckets for calls to the state service and the cloud, with classes that go first."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from ramptide.context import Runtime, TimerHandle

NO_TIME = timedelta(0)
SECOND = timedelta(seconds=1)
#: A share rises by a fifth of itself a second.
RATE_GROWTH_PER_SECOND = 0.2


class Priority(IntEnum):
    """Who goes first when tokens are short."""

    LEASE = 0
    COMMIT = 1
    READ = 2
    HOUSEKEEPING = 3


class TokenBucket:
    """Tokens come at `rate` a second up to `burst`; an amount above the burst waits for a full bucket.

    With `most`, the rate is a share of what all callers have together: it rises from there while nothing is
    refused, as long as others leave their shares unused, and falls back at the first refusal.
    """

    def __init__(self, rate: float, burst: float, most: float | None = None) -> None:
        self.rate = rate
        self._share = rate
        self._most = max(most or rate, rate)
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._at = NO_TIME

    def wait(self, now: timedelta, amount: float) -> timedelta:
        """How long until `amount` can be taken."""
        self._refill(now)
        short = min(amount, self.burst) - self._level
        return NO_TIME if short <= 1e-9 else SECOND * (short / self.rate)

    def _refill(self, now: timedelta) -> None:
        passed = (now - self._at) / SECOND
        self._level = min(self.burst, self._level + self.rate * passed)
        self.rate = min(self._most, self.rate + self._share * RATE_GROWTH_PER_SECOND * passed)
        self._at = now

    def wait_unbounded(self, now: timedelta, amount: float) -> timedelta:
        """How long until `amount` has come in, even when it is more than the burst."""
        self._refill(now)
        return SECOND * (max(amount - self._level, 0.0) / self.rate)

    def take(self, amount: float) -> None:
        self._level -= amount

    def drain(self) -> None:
        """The service says that it had too much."""
        self._level = min(self._level, 0.0)
        self.rate = self._share


@dataclass(slots=True)
class _Waiting:
    until: timedelta
    writes: int
    go: Callable[[], None]
    refuse: Callable[[], None]


class RateLimiter:
    """Lets calls through as the buckets allow; what waits past its patience is refused."""

    def __init__(self, context: Runtime, calls: TokenBucket, writes: TokenBucket | None = None) -> None:
        self._context = context
        self._calls = calls
        self._writes = writes
        self._queues: dict[Priority, deque[_Waiting]] = {priority: deque() for priority in Priority}
        self._timer: TimerHandle | None = None

    def ask(
        self, priority: Priority, writes: int, patience: timedelta, go: Callable[[], None], refuse: Callable[[], None]
    ) -> None:
        self._queues[priority].append(_Waiting(self._context.now + patience, writes, go, refuse))
        self._drain()

    def overloaded(self) -> None:
        self._calls.drain()
        if self._writes is not None:
            self._writes.drain()

    def backlog(self, priority: Priority) -> timedelta:
        """How long a change that is asked for now would wait, by what waits already in its class and above."""
        if self._writes is None:
            return NO_TIME
        ahead = sum(item.writes for one in Priority if one <= priority for item in self._queues[one])
        return self._writes.wait_unbounded(self._context.now, ahead + 1)

    def _wait(self, item: _Waiting) -> timedelta:
        now = self._context.now
        wait = self._calls.wait(now, 1)
        if item.writes and self._writes is not None:
            wait = max(wait, self._writes.wait(now, item.writes))
        return wait

    def _drain(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        soonest: timedelta | None = None
        writes_short = False
        for queue in self._queues.values():
            while queue:
                item = queue[0]
                if item.until < self._context.now:
                    queue.popleft()
                    item.refuse()
                    continue
                wait = self._wait(item)
                if wait > NO_TIME or writes_short and item.writes:
                    # Changes of a lower class must not use up what a higher one saves for.
                    writes_short = writes_short or bool(item.writes)
                    soonest = wait if soonest is None else min(soonest, wait)
                    break
                queue.popleft()
                self._calls.take(1)
                if self._writes is not None:
                    self._writes.take(item.writes)
                item.go()
        if soonest is not None:
            self._timer = self._context.after(max(soonest, timedelta(milliseconds=2)), self._drain)
