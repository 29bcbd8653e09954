"""Reads the cloud's machine types at regular intervals."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from ramptide.clients.cloud import CloudClient
from ramptide.protocol.cloud import MachineType
from ramptide.transport.runtime import Runtime

__all__ = ["MachineTypeReader"]

READ_INTERVAL = timedelta(seconds=60)
RETRY_DELAY = timedelta(seconds=2)


class MachineTypeReader:
    """Reads the machine types and passes them to `on_read` in their stored form.

    The leader stores them for controllers that start while the cloud is unavailable.
    """

    def __init__(self, runtime: Runtime, cloud: CloudClient, on_read: Callable[[Any], None]) -> None:
        self._runtime = runtime
        self._cloud = cloud
        self._on_read = on_read

    def start(self) -> None:
        """Read the machine types now and after each interval, until the process ends."""

        def on_reply(machine_types: list[MachineType] | None) -> None:
            self._runtime.after(READ_INTERVAL if machine_types else RETRY_DELAY, self.start)
            if machine_types:
                self._on_read(msgspec.to_builtins(machine_types))

        self._cloud.list_machine_types(on_reply)
