"""The requests to rent machines: each is recorded first, then sent to the cloud with its recorded id."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.autoscaling.fleet_types import MachineKind
from ramptide.clients.cloud import CloudClient, RentResult
from ramptide.state.records import RentalRecord
from ramptide.transport.runtime import Runtime

__all__ = ["RentalRequests"]

log = logging.getLogger(__name__)


class RentalState(Protocol):
    """The recorded rentals, and the counters that rentals increment."""

    @property
    def rentals(self) -> dict[str, RentalRecord]:
        """The fleet record, by rental."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""


class RentalRequests:
    """Sends the recorded requests, also those of former leaders, and keeps the results until they are recorded.

    `on_shortage` is called when the cloud had fewer machines than requested: the next best kind may be tried at once.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: RentalState,
        cloud: CloudClient,
        autoscaler: Autoscaler,
        on_shortage: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._cloud = cloud
        self._autoscaler = autoscaler
        self._on_shortage = on_shortage
        self._in_flight: set[str] = set()
        #: The machines of requests that the cloud has answered, by rental, until they are recorded.
        self.rented: dict[str, list[str]] = {}
        #: Rentals that the cloud refused, until their records are deleted.
        self.refused: set[str] = set()

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether a request has no response yet."""
        return bool(self._in_flight)

    def rented_hosts(self) -> set[str]:
        """Return the hosts of the machines that were rented and are not recorded yet."""
        return {host for hosts in self.rented.values() for host in hosts}

    def keep_only(self, rentals: dict[str, RentalRecord]) -> None:
        """Drop the results of all other rentals than these, as the dropped results are recorded already."""
        self.rented = {rental_id: hosts for rental_id, hosts in self.rented.items() if rental_id in rentals}
        self.refused &= rentals.keys()

    def send_recorded(self) -> None:
        """Send the recorded requests that have no response yet; repeating one with the same id rents nothing twice."""
        for rental_id, rental in self._state.rentals.items():
            is_sent = rental_id in self._in_flight or rental_id in self.rented or rental_id in self.refused
            if rental.machines is None and not is_sent:
                self._send(rental_id, rental)

    def _send(self, rental_id: str, rental: RentalRecord) -> None:
        self._in_flight.add(rental_id)

        def on_result(result: RentResult) -> None:
            self._in_flight.discard(rental_id)
            if result.hosts is not None:
                self._record_rented(rental_id, rental, result.hosts)
            elif result.is_refused:
                self._record_refusal(rental_id, rental)

        kind = MachineKind(rental.machine_type, rental.zone, rental.spot)
        self._cloud.rent(rental_id, *kind, rental.count, on_result)

    def _record_rented(self, rental_id: str, rental: RentalRecord, hosts: list[str]) -> None:
        kind = MachineKind(rental.machine_type, rental.zone, rental.spot)
        log.info("machines rented: hosts=%r machine_type=%s zone=%s spot=%s", ", ".join(hosts), *kind)
        self.rented[rental_id] = hosts
        self._autoscaler.record_rental(kind)
        self._state.counters["rentals"] += len(hosts)
        if len(hosts) < rental.count:
            # The cloud has no more of this kind, so the next best kind is tried.
            self._autoscaler.record_refusal(kind, self._runtime.now)
            self._on_shortage()

    def _record_refusal(self, rental_id: str, rental: RentalRecord) -> None:
        kind = MachineKind(rental.machine_type, rental.zone, rental.spot)
        log.info("no capacity: machine_type=%s zone=%s spot=%s", *kind)
        self.refused.add(rental_id)
        self._autoscaler.record_refusal(kind, self._runtime.now)
        self._on_shortage()
