"""The interface between controllers and their environment; tests implement it with a virtual clock and network."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

__all__ = ["CBOR", "JSON", "Response", "ResponseCallback", "Runtime", "TimerHandle"]

JSON = "application/json"
CBOR = "application/cbor"


class Response(Protocol):
    """The parts of an HTTP response that callers read."""

    status: int
    body: bytes


class TimerHandle(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Prevent the call; without effect once it was made."""


#: Gets the response, or None when there was none.
ResponseCallback = Callable[[Response | None], None]


class Runtime(Protocol):
    """Clock, timers and HTTP calls."""

    @property
    def now(self) -> timedelta:
        """The monotonic time; it does not advance during an event."""

    def wall(self) -> datetime:
        """Return the wall-clock time, in UTC."""

    def after(self, delay: timedelta, action: Callable[[], None]) -> TimerHandle:
        """Schedule a call; equal times keep the order in which they were scheduled."""

    def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        content_type: str,
        timeout: timedelta,
        done: ResponseCallback,
    ) -> None:
        """Send a request; `done` gets the response, or None when none came in time."""
