"""The interface between controllers and their environment, which tests implement with a virtual clock and network."""

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

    `address`: the `host:port` of the service. `target`: the path, with the query if there is one. `timeout`: how long
    to wait for the whole response. `content_type`: the content type of the body.
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
        """Prevent the call; this has no effect once the call was made."""


#: A callback that gets the response, or None if the call failed or timed out.
ResponseCallback = Callable[[Response | None], None]


class Runtime(Protocol):
    """The clocks, timers and HTTP calls that controllers use."""

    @property
    def now(self) -> timedelta:
        """The monotonic time; it does not advance during an event."""

    def wall(self) -> datetime:
        """Return the wall-clock time, in UTC."""

    def after(self, delay: timedelta, action: Callable[[], None]) -> TimerHandle:
        """Schedule a call; calls with equal times keep the order in which they were scheduled."""

    def call(self, request: Request, on_response: ResponseCallback) -> None:
        """Send a request; `on_response` gets the response, or None if the call failed or timed out."""
