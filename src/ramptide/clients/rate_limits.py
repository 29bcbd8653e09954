"""Client-side rate limits, with priorities, for calls to the key-value store and the cloud."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from ramptide.transport.runtime import Runtime, TimerHandle

__all__ = ["CallPriority", "RateLimiter", "TokenBucket"]

NO_TIME = timedelta(0)
SECOND = timedelta(seconds=1)
#: While nothing is rejected a rate grows each second by this part of its initial value.
RATE_GROWTH_PER_SECOND = 0.2
#: Tokens; if fewer than these are missing, that is a rounding error.
TOKEN_EPSILON = 1e-9
MIN_TIMER_DELAY = timedelta(milliseconds=2)


class CallPriority(IntEnum):
    """The order in which waiting calls are sent; the lowest number goes first."""

    #: Without these calls the controller loses its place: leases, the watch, and the leader's few writes.
    LEASE = 0
    #: Writes for which a user waits.
    COMMIT = 1
    #: Reads for which a user waits.
    READ = 2
    #: What may come later.
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

    Attributes
    ----------
    rate
        Tokens per second at present.
    burst
        The most tokens the bucket holds, at least one.
    """

    def __init__(self, rate: float, burst: float, max_rate: float | None = None) -> None:
        self.rate = rate
        self._initial_rate = rate
        self._max_rate = max(max_rate or rate, rate)
        self.burst = max(burst, 1.0)
        self._tokens = self.burst
        self._refilled_at = NO_TIME

    def wait_time(self, now: timedelta, amount: float) -> timedelta:
        """Return the time until `amount` can be taken; an amount above the burst needs a full bucket."""
        self._refill(now)
        missing = min(amount, self.burst) - self._tokens
        return NO_TIME if missing <= TOKEN_EPSILON else SECOND * (missing / self.rate)

    def _refill(self, now: timedelta) -> None:
        elapsed_s = (now - self._refilled_at) / SECOND
        self._tokens = min(self.burst, self._tokens + self.rate * elapsed_s)
        self.rate = min(self._max_rate, self.rate + self._initial_rate * RATE_GROWTH_PER_SECOND * elapsed_s)
        self._refilled_at = now

    def refill_time(self, now: timedelta, amount: float) -> timedelta:
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
    """A call that waits for its turn; after `deadline` it is rejected."""

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
        writes_ahead = sum(call.writes for other in CallPriority if other <= priority for call in self._queues[other])
        return self._writes.refill_time(self._runtime.now, writes_ahead + 1)

    def _wait_time(self, call: _QueuedCall) -> timedelta:
        """Return the time until both buckets have the tokens for a call."""
        now = self._runtime.now
        wait_time = self._calls.wait_time(now, 1)
        if call.writes and self._writes is not None:
            wait_time = max(wait_time, self._writes.wait_time(now, call.writes))
        return wait_time

    def _send(self, call: _QueuedCall) -> None:
        self._calls.take(1)
        if self._writes is not None:
            self._writes.take(call.writes)
        call.send()

    def _send_ready(self) -> None:
        """Send what may be sent now, reject what waited too long, and come back for the rest."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_wait_time: timedelta | None = None
        is_write_waiting = False
        for queue in self._queues.values():
            while queue:
                call = queue[0]
                if call.deadline < self._runtime.now:
                    queue.popleft()
                    call.reject()
                    continue
                wait_time = self._wait_time(call)
                if wait_time > NO_TIME or (is_write_waiting and call.writes):
                    # Writes of a lower priority must not use up the tokens that a higher one waits for.
                    is_write_waiting = is_write_waiting or bool(call.writes)
                    next_wait_time = wait_time if next_wait_time is None else min(next_wait_time, wait_time)
                    break
                queue.popleft()
                self._send(call)
        if next_wait_time is not None:
            self._timer = self._runtime.after(max(next_wait_time, MIN_TIMER_DELAY), self._send_ready)
