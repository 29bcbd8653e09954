"""The runtime of a real process, based on the event loop and the HTTP client."""

from collections.abc import Callable
from datetime import datetime, timedelta

from ramptide.transport.event_loop import EventLoop, Timer
from ramptide.transport.http.client import Client
from ramptide.transport.process_statistics import WorkKind
from ramptide.transport.runtime import Request, Response, ResponseCallback

__all__ = ["LoopRuntime"]


class LoopRuntime:
    """Implements `Runtime` with the time and timers of the event loop and the calls of the HTTP client."""

    def __init__(self, loop: EventLoop, client: Client) -> None:
        self._loop = loop
        self._client = client

    @property
    def now(self) -> timedelta:
        """The monotonic time; it does not advance during an event."""
        return self._loop.now

    def wall(self) -> datetime:
        """Return the wall-clock time, in UTC."""
        return self._loop.wall()

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Schedule a call."""
        return self._loop.after(delay, action)

    def call(self, request: Request, on_response: ResponseCallback) -> None:
        """Send a request; `on_response` gets the response, or None if the call failed or timed out."""

        def on_measured_response(response: Response | None) -> None:
            self._loop.statistics.measure(WorkKind.RESPONSES, lambda: on_response(response))

        self._client.call(request, on_measured_response)
