"""The leader's decisions about machines, which are logged once their records are written."""

import logging
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ramptide.state.records import MachineRecord

__all__ = ["MachineDecision", "log_decisions", "written_decisions"]

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MachineDecision:
    """A decision of one step of the leader about one machine.

    `rental_id`: the rental whose record is to contain the machine. `drain_reason`: the drain reason in that record.
    """

    host: str
    machine_type: str
    zone: str
    rental_id: str
    drain_reason: str | None
    #: The drain reason or another outcome, as it is logged.
    outcome: str

    def is_shown_in(self, record: MachineRecord | None) -> bool:
        """Return whether the machine's record shows the decision."""
        return record is not None and record.rental_id == self.rental_id and record.drain_reason == self.drain_reason


def written_decisions(decisions: Iterable[MachineDecision], rental_ids: Collection[str]) -> list[MachineDecision]:
    """Return the decisions about machines of the given rentals."""
    return [decision for decision in decisions if decision.rental_id in rental_ids]


def log_decisions(decisions: Iterable[MachineDecision]) -> None:
    """Log one line for all machines of a type and zone with the same outcome, as there may be hundreds at once."""
    hosts_by_outcome: dict[tuple[str, str, str], list[str]] = {}
    for decision in decisions:
        hosts_by_outcome.setdefault((decision.machine_type, decision.zone, decision.outcome), []).append(decision.host)
    for (machine_type, zone, outcome), hosts in hosts_by_outcome.items():
        names = ", ".join(hosts)
        log.info("machines decided: hosts=%r machine_type=%s zone=%s outcome=%r", names, machine_type, zone, outcome)
