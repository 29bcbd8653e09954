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
#: A rate grows each second by this part of its initial value while no call is rejected.
RATE_GROWTH_RATIO_PER_S = 0.2
#: Fewer missing tokens than this are a rounding error.
EPSILON_TOKENS = 1e-9
MIN_TIMER_DELAY = timedelta(milliseconds=2)


class CallPriority(IntEnum):
    """The order in which waiting calls are sent; the lowest number goes first."""

    #: Calls without which the controller loses its membership: leases, the watch, and the leader's few writes.
    LEASE = 0
    #: Writes for which a user waits.
    COMMIT = 1
    #: Reads for which a user waits.
    READ = 2
    #: Calls that may be delayed.
    HOUSEKEEPING = 3


class TokenBucket:
    """A token bucket whose rate may grow beyond its initial value.

    The service's limit applies to all controllers together, so each of them starts with its share. With `max_rate`, a
    controller uses more than its share as long as no call is rejected, that is, while others leave theirs unused; at
    the first rejection it returns to its share.

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
        """Return the time until `amount` tokens can be consumed; an amount above the burst needs a full bucket."""
        self._refill(now)
        missing = min(amount, self.burst) - self._tokens
        return NO_TIME if missing <= EPSILON_TOKENS else SECOND * (missing / self.rate)

    def _refill(self, now: timedelta) -> None:
        elapsed_s = (now - self._refilled_at) / SECOND
        self._tokens = min(self.burst, self._tokens + self.rate * elapsed_s)
        self.rate = min(self._max_rate, self.rate + self._initial_rate * RATE_GROWTH_RATIO_PER_S * elapsed_s)
        self._refilled_at = now

    def refill_time(self, now: timedelta, amount: float) -> timedelta:
        """Return the time until the bucket would hold `amount` tokens, even if that is more than the burst."""
        self._refill(now)
        return SECOND * (max(amount - self._tokens, 0.0) / self.rate)

    def consume(self, amount: float) -> None:
        """Remove tokens; their number may become negative."""
        self._tokens -= amount

    def drain(self) -> None:
        """Empty the bucket and return to the initial rate, after the service rejected a call."""
        self._tokens = min(self._tokens, 0.0)
        self.rate = self._initial_rate


@dataclass(slots=True)
class _QueuedCall:
    """A call that waits for tokens; after `deadline` it is rejected."""

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
    call_bucket
        The bucket from which every call consumes one token.
    write_bucket
        The bucket from which a call consumes one token for each key that it changes; None if the service does not limit
        writes.
    """

    def __init__(self, runtime: Runtime, call_bucket: TokenBucket, write_bucket: TokenBucket | None = None) -> None:
        self._runtime = runtime
        self._call_bucket = call_bucket
        self._write_bucket = write_bucket
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
        """Queue a call: `send` is called once tokens are available, or `reject` if they are not within `max_wait`."""
        self._queues[priority].append(_QueuedCall(self._runtime.now + max_wait, writes, send, reject))
        self._send_ready()

    def report_overload(self) -> None:
        """Reduce the rates after the service rejected a call because of its rate limit."""
        self._call_bucket.drain()
        if self._write_bucket is not None:
            self._write_bucket.drain()

    def write_delay(self, priority: CallPriority) -> timedelta:
        """Return how long a single write submitted now would wait behind those of its priority or a higher one."""
        if self._write_bucket is None:
            return NO_TIME
        writes_ahead = sum(call.writes for level in CallPriority if level <= priority for call in self._queues[level])
        return self._write_bucket.refill_time(self._runtime.now, writes_ahead + 1)

    def _wait_time(self, call: _QueuedCall) -> timedelta:
        """Return the time until both buckets have enough tokens for a call."""
        now = self._runtime.now
        wait_time = self._call_bucket.wait_time(now, 1)
        if call.writes and self._write_bucket is not None:
            wait_time = max(wait_time, self._write_bucket.wait_time(now, call.writes))
        return wait_time

    def _send(self, call: _QueuedCall) -> None:
        self._call_bucket.consume(1)
        if self._write_bucket is not None:
            self._write_bucket.consume(call.writes)
        call.send()

    def _send_ready(self) -> None:
        """Send the calls that may be sent now, reject those that waited too long, and set a timer for the others."""
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
                    # Writes of lower priority must not consume the tokens that a write of higher priority waits for.
                    is_write_waiting = is_write_waiting or bool(call.writes)
                    next_wait_time = wait_time if next_wait_time is None else min(next_wait_time, wait_time)
                    break
                queue.popleft()
                self._send(call)
        if next_wait_time is not None:
            self._timer = self._runtime.after(max(next_wait_time, MIN_TIMER_DELAY), self._send_ready)
