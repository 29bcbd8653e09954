"""The return of machines to the cloud, whose response proves that they and everything on them are gone."""

import logging
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from ramptide.clients.cloud import MAX_RETURNS_PER_CALL, CloudClient
from ramptide.state.records import MachineRecord
from ramptide.transport.runtime import Runtime

__all__ = ["MachineReturns"]

log = logging.getLogger(__name__)

#: How long returned machines are remembered: late messages that show them arrive within this time, and the cloud does
#: not reuse names.
RETURNED_RETENTION = timedelta(hours=1)


class ReturnState(Protocol):
    """The fleet record, and the counters that returns increment."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""


class MachineReturns:
    """Returns machines to the cloud, and remembers which are gone.

    `gone`: machines that are certainly gone and are still in the fleet record.
    """

    def __init__(self, runtime: Runtime, state: ReturnState, cloud: CloudClient) -> None:
        self._runtime = runtime
        self._state = state
        self._cloud = cloud
        self._in_flight: set[str] = set()
        self.gone: set[str] = set()
        #: When each machine was returned, in the order of the returns.
        self._returned_at: dict[str, timedelta] = {}

    def forget(self, host: str) -> None:
        """Drop a machine that has left the fleet record from `gone` and from the returns in flight."""
        self.gone.discard(host)
        self._in_flight.discard(host)

    def was_returned(self, host: str) -> bool:
        """Return whether a machine was returned, so that late heartbeats and old lists that show it prove nothing."""
        return host in self._returned_at

    def return_machines(self, wanted: Iterable[str]) -> None:
        """Return machines to the cloud, up to the limit of one call; leave out those in flight and those gone."""
        hosts = [host for host in wanted if host not in self._in_flight and host not in self.gone]
        hosts = hosts[:MAX_RETURNS_PER_CALL]
        if not hosts:
            return
        self._in_flight.update(hosts)

        def on_returned(is_done: bool) -> None:
            self._in_flight.difference_update(hosts)
            if is_done:
                log.info("machines returned: hosts=%r", ", ".join(hosts))
                self.gone.update(host for host in hosts if host in self._state.machines)
                self._record_returned(hosts)
                self._state.counters["returns"] += len(hosts)

        self._cloud.return_machines(hosts, on_returned)

    def _record_returned(self, hosts: list[str]) -> None:
        now = self._runtime.now
        self._returned_at |= dict.fromkeys(hosts, now)
        while now - self._returned_at[oldest := next(iter(self._returned_at))] > RETURNED_RETENTION:
            del self._returned_at[oldest]
