"""What is told of all that controllers send, to record or to compare it."""

from datetime import timedelta
from typing import Protocol


class Observer(Protocol):
    """Told of all that controllers send, in the order in which they send it."""

    def called(
        self,
        now: timedelta,
        sender: str,
        address: str,
        method: str,
        target: str,
        kind: str,
        body: bytes,
        timeout: timedelta,
    ) -> None:
        """Take a call to another host; `kind` is the content type of its body."""

    def answered(self, now: timedelta, sender: str, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Take a response to a user, an agent or a peer."""
