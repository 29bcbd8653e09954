"""What the cores may ask of the world. The real one stands on the loop; tests bring a virtual one."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

JSON = "application/json"
CBOR = "application/cbor"


class Reply(Protocol):
    """What is read of a response."""

    status: int
    body: bytes


class TimerHandle(Protocol):
    def cancel(self) -> None: ...


ResponseCallback = Callable[[Reply | None], None]


class Runtime(Protocol):
    """Time and calls. `now` is steady time and stands still during an event."""

    @property
    def now(self) -> timedelta: ...

    def wall(self) -> datetime: ...

    def after(self, delay: timedelta, action: Callable[[], None]) -> TimerHandle: ...

    def call(
        self, address: str, method: str, target: str, body: bytes, kind: str, timeout: timedelta, done: ResponseCallback
    ) -> None: ...
