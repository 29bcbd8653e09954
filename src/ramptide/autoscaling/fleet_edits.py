"""The changes to the fleet record that one step of the leader makes. No I/O."""

from collections.abc import Iterable, Mapping

import msgspec

from ramptide.autoscaling.fleet_types import ScalingPlan
from ramptide.autoscaling.machine_decisions import MachineDecision
from ramptide.state.records import MachineRecord, RentalRecord, RentedMachine

__all__ = ["FleetEdits"]

#: The outcomes that are logged for decisions without a drain reason.
KEPT = "stays after all"
ADOPTED = "was not expected, taken over"


class FleetEdits:
    """Collects new versions of rental records, and the decisions that the records contain.

    `records`: the new versions by rental id; None for a record to delete.
    """

    def __init__(self, rentals: Mapping[str, RentalRecord], machines: Mapping[str, MachineRecord]) -> None:
        self._rentals = rentals
        self._machines = machines
        self.records: dict[str, RentalRecord | None] = {}
        self.decisions: list[MachineDecision] = []

    def add_rented(self, rental_id: str, rental: RentalRecord, hosts: Iterable[str], view: int) -> None:
        """Record the machines of a rental that the cloud has answered; delete the record if none of them is new."""
        new = {host: RentedMachine() for host in hosts if host not in self._machines}
        record = msgspec.structs.replace(rental, created_in_view=view, machines=new)
        self.records[rental_id] = record if new else None

    def delete(self, rental_ids: Iterable[str]) -> None:
        """Delete the records of rentals that were refused."""
        self.records |= dict.fromkeys(rental_ids)

    def add(self, rental_id: str, rental: RentalRecord) -> None:
        """Record a rental that is to be requested."""
        self.records[rental_id] = rental

    def adopt(self, host: str, rental: RentalRecord) -> None:
        """Record a machine that is in no record, as delayed requests may create; it is used like any other machine."""
        rental_id = f"adopted-{host}"
        decision = MachineDecision(host, rental.machine_type, rental.zone, rental_id, None, ADOPTED)
        self.decisions.append(decision)
        self.records[rental_id] = msgspec.structs.replace(rental, machines={host: RentedMachine()})

    def change_machines(self, up: Iterable[str], plan: ScalingPlan, gone: Iterable[str]) -> None:
        """Record machines that have come up, are drained, are kept after all, or are gone."""
        changes: dict[str, RentedMachine | None] = {}
        for host in up:
            changes[host] = RentedMachine(True, self._machines[host].drain_reason)
        drain_changes: dict[str, str | None] = dict(plan.drain) | dict.fromkeys(plan.keep)
        for host, reason in drain_changes.items():
            current = self._machines.get(host)
            if current is not None:
                changes[host] = RentedMachine(current.registered or host in changes, reason)
                self._add_decision(host, current, reason)
        changes |= dict.fromkeys(host for host in gone if host in self._machines)
        for host, change in changes.items():
            self._change_machine(host, change)

    def _add_decision(self, host: str, record: MachineRecord, reason: str | None) -> None:
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
