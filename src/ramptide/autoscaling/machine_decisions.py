"""Decisions about machines, logged once their records are written."""

import logging
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ramptide.state.records import MachineRecord

__all__ = ["MachineDecision", "log_decisions", "written"]

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MachineDecision:
    """What a step of the leader decided about a machine.

    `rental_id`: the rental whose record is to contain it. `drain_reason`: the reason that the record is to give.
    """

    host: str
    machine_type: str
    zone: str
    rental_id: str
    drain_reason: str | None
    #: Why it drains, or what else becomes of it.
    outcome: str

    def shown_by(self, record: MachineRecord | None) -> bool:
        """Tell whether the machine's record shows the decision."""
        return record is not None and record.rental_id == self.rental_id and record.drain_reason == self.drain_reason


def written(decisions: Iterable[MachineDecision], rentals: Collection[str]) -> list[MachineDecision]:
    """Return the decisions whose records are among `rentals`."""
    return [decision for decision in decisions if decision.rental_id in rentals]


def log_decisions(decisions: Iterable[MachineDecision]) -> None:
    """Log one line for all machines of a kind that have the same outcome, as there may be hundreds at once."""
    together: dict[tuple[str, str, str], list[str]] = {}
    for decision in decisions:
        together.setdefault((decision.machine_type, decision.zone, decision.outcome), []).append(decision.host)
    for (machine_type, zone, outcome), hosts in together.items():
        names = ", ".join(hosts)
        log.info("machines decided: hosts=%r machine_type=%s zone=%s outcome=%r", names, machine_type, zone, outcome)
