"""The interface between controllers and their environment; tests implement it with a virtual clock and network."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

__all__ = ["CBOR", "JSON", "Request", "Response", "ResponseCallback", "Runtime", "TimerHandle"]

JSON = "application/json"
CBOR = "application/cbor"


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request to another service.

    `address`: its `host:port`. `target`: the path, with the query if there is one. `timeout`: how long to wait for the
    whole response. `content_type`: that of the body.
    """

    address: str
    method: str
    target: str
    timeout: timedelta
    body: bytes = b""
    content_type: str = JSON


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

    def call(self, request: Request, on_response: ResponseCallback) -> None:
        """Send a request; `on_response` gets the response, or None when none came in time."""
