"""The interface of observers, which record everything that the controllers of a world send."""

from datetime import timedelta
from typing import Protocol


class Observer(Protocol):
    """Is notified of everything that controllers send, in the order of sending."""

    def on_request(
        self,
        now: timedelta,
        sender: str,
        address: str,
        method: str,
        target: str,
        content_type: str,
        body: bytes,
        timeout: timedelta,
    ) -> None:
        """Record a request to another host."""

    def on_response(self, now: timedelta, sender: str, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Record a response to a user, an agent or a peer."""
