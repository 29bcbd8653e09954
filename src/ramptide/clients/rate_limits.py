"""Client-side rate limits, with priorities, for calls to the state service and the cloud."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from ramptide.transport.runtime import Runtime, TimerHandle

NO_TIME = timedelta(0)
SECOND = timedelta(seconds=1)
#: While nothing is rejected a rate grows each second by this part of its initial value.
RATE_GROWTH_PER_SECOND = 0.2
#: A smaller lack of tokens is a rounding error.
TOKEN_EPSILON = 1e-9
MIN_TIMER_DELAY = timedelta(milliseconds=2)


class CallPriority(IntEnum):
    """The order in which waiting calls are sent; the lowest number goes first."""

    LEASE = 0
    COMMIT = 1
    READ = 2
    HOUSEKEEPING = 3


class TokenBucket:
    """A token bucket whose rate may grow beyond its initial value.

    The service's limit applies to all controllers together, so each starts with its share. With `max_rate`, a
    controller uses more than its share as long as nothing is rejected, that is, while others leave theirs unused;
    at the first rejection it falls back to its share.

    Parameters
    ----------
    rate
        Tokens per second at the start.
    burst
        The most tokens the bucket holds.
    max_rate
        Tokens per second up to which the rate grows.
    """

    def __init__(self, rate: float, burst: float, max_rate: float | None = None) -> None:
        self.rate = rate
        self._initial_rate = rate
        self._max_rate = max(max_rate or rate, rate)
        self.burst = max(burst, 1.0)
        self._tokens = self.burst
        self._refilled_at = NO_TIME

    def wait(self, now: timedelta, amount: float) -> timedelta:
        """Return the time until `amount` can be taken; an amount above the burst needs a full bucket."""
        self._refill(now)
        lacking = min(amount, self.burst) - self._tokens
        return NO_TIME if lacking <= TOKEN_EPSILON else SECOND * (lacking / self.rate)

    def _refill(self, now: timedelta) -> None:
        passed = (now - self._refilled_at) / SECOND
        self._tokens = min(self.burst, self._tokens + self.rate * passed)
        self.rate = min(self._max_rate, self.rate + self._initial_rate * RATE_GROWTH_PER_SECOND * passed)
        self._refilled_at = now

    def wait_unbounded(self, now: timedelta, amount: float) -> timedelta:
        """Return the time until `amount` tokens have come in, even if they are more than the burst."""
        self._refill(now)
        return SECOND * (max(amount - self._tokens, 0.0) / self.rate)

    def take(self, amount: float) -> None:
        """Remove tokens; the level may become negative."""
        self._tokens -= amount

    def drain(self) -> None:
        """Empty the bucket and return to the initial rate, after the service rejected a call."""
        self._tokens = min(self._tokens, 0.0)
        self.rate = self._initial_rate


@dataclass(slots=True)
class _QueuedCall:
    deadline: timedelta
    writes: int
    send: Callable[[], None]
    reject: Callable[[], None]


class RateLimiter:
    """Queues calls and sends them, by priority, as the token buckets allow.

    Parameters
    ----------
    runtime
        The clock and timers.
    calls
        The bucket from which every call takes one token.
    writes
        The bucket from which a call takes one token for each key that it changes.
    """

    def __init__(self, runtime: Runtime, calls: TokenBucket, writes: TokenBucket | None = None) -> None:
        self._runtime = runtime
        self._calls = calls
        self._writes = writes
        self._queues: dict[CallPriority, deque[_QueuedCall]] = {priority: deque() for priority in CallPriority}
        self._timer: TimerHandle | None = None

    def submit(
        self,
        priority: CallPriority,
        writes: int,
        max_wait: timedelta,
        send: Callable[[], None],
        reject: Callable[[], None],
    ) -> None:
        """Queue a call: `send` runs when its turn comes, `reject` if that is not within `max_wait`."""
        self._queues[priority].append(_QueuedCall(self._runtime.now + max_wait, writes, send, reject))
        self._send_ready()

    def report_overload(self) -> None:
        """Slow down, after the service rejected a call for its rate."""
        self._calls.drain()
        if self._writes is not None:
            self._writes.drain()

    def write_delay(self, priority: CallPriority) -> timedelta:
        """Return how long a single write submitted now would wait behind those of its priority and above."""
        if self._writes is None:
            return NO_TIME
        ahead = sum(call.writes for other in CallPriority if other <= priority for call in self._queues[other])
        return self._writes.wait_unbounded(self._runtime.now, ahead + 1)

    def _wait(self, call: _QueuedCall) -> timedelta:
        now = self._runtime.now
        wait = self._calls.wait(now, 1)
        if call.writes and self._writes is not None:
            wait = max(wait, self._writes.wait(now, call.writes))
        return wait

    def _send_ready(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_wait: timedelta | None = None
        writes_short = False
        for queue in self._queues.values():
            while queue:
                call = queue[0]
                if call.deadline < self._runtime.now:
                    queue.popleft()
                    call.reject()
                    continue
                wait = self._wait(call)
                if wait > NO_TIME or writes_short and call.writes:
                    # Writes of a lower priority must not use up the tokens that a higher one waits for.
                    writes_short = writes_short or bool(call.writes)
                    next_wait = wait if next_wait is None else min(next_wait, wait)
                    break
                queue.popleft()
                self._calls.take(1)
                if self._writes is not None:
                    self._writes.take(call.writes)
                call.send()
        if next_wait is not None:
            self._timer = self._runtime.after(max(next_wait, MIN_TIMER_DELAY), self._send_ready)
