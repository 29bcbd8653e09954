"""The changes of the fleet record that a step of the leader comes to. Pure."""

from collections.abc import Iterable, Mapping

import msgspec

from ramptide.autoscaling.fleet_types import ScalingPlan
from ramptide.autoscaling.machine_decisions import MachineDecision
from ramptide.state.records import MachineRecord, RentalRecord, RentedMachine

__all__ = ["FleetEdits"]

#: How decisions that are no drain reasons are logged.
KEPT = "stays after all"
ADOPTED = "was not expected, taken over"


class FleetEdits:
    """Collects new versions of rental records, and the decisions that they show.

    `records`: by rental, None for one to delete.
    """

    def __init__(self, rentals: Mapping[str, RentalRecord], machines: Mapping[str, MachineRecord]) -> None:
        self._rentals = rentals
        self._machines = machines
        self.records: dict[str, RentalRecord | None] = {}
        self.decisions: list[MachineDecision] = []

    def add_rented(self, rental_id: str, rental: RentalRecord, hosts: Iterable[str], view: int) -> None:
        """Record the machines of a rental that the cloud has answered; one without new machines is deleted."""
        new = {host: RentedMachine() for host in hosts if host not in self._machines}
        record = msgspec.structs.replace(rental, created_in_view=view, machines=new)
        self.records[rental_id] = record if new else None

    def delete(self, rental_ids: Iterable[str]) -> None:
        """Delete the records of rentals that came to nothing."""
        self.records |= dict.fromkeys(rental_ids)

    def add(self, rental_id: str, rental: RentalRecord) -> None:
        """Record a rental that is to be requested."""
        self.records[rental_id] = rental

    def adopt(self, host: str, rental: RentalRecord) -> None:
        """Record a machine that nobody recorded, as delayed requests create them; it is used like any other."""
        rental_id = f"adopted-{host}"
        decision = MachineDecision(host, rental.machine_type, rental.zone, rental_id, None, ADOPTED)
        self.decisions.append(decision)
        self.records[rental_id] = msgspec.structs.replace(rental, machines={host: RentedMachine()})

    def change_machines(self, up: Iterable[str], plan: ScalingPlan, gone: Iterable[str]) -> None:
        """Record machines that came up, drain, stay after all, or are gone."""
        changes: dict[str, RentedMachine | None] = {}
        for host in up:
            changes[host] = RentedMachine(True, self._machines[host].drain_reason)
        moves: dict[str, str | None] = dict(plan.drain) | dict.fromkeys(plan.keep)
        for host, reason in moves.items():
            present = self._machines.get(host)
            if present is not None:
                changes[host] = RentedMachine(present.registered or host in changes, reason)
                self._decide(host, present, reason)
        changes |= dict.fromkeys(host for host in gone if host in self._machines)
        for host, change in changes.items():
            self._change_machine(host, change)

    def _decide(self, host: str, record: MachineRecord, reason: str | None) -> None:
        outcome = reason or KEPT
        kind = (record.machine_type, record.zone, record.rental_id)
        self.decisions.append(MachineDecision(host, *kind, reason, outcome))

    def _change_machine(self, host: str, change: RentedMachine | None) -> None:
        rental_id = self._machines[host].rental_id
        rental = self.records.get(rental_id, self._rentals.get(rental_id))
        if rental is None or rental.machines is None:
            return
        machines = dict(rental.machines)
        if change is None:
            machines.pop(host, None)
        else:
            machines[host] = change
        self.records[rental_id] = msgspec.structs.replace(rental, machines=machines) if machines else None
