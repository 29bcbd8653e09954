"""Machines that run few services are emptied one by one when others have room for these. Pure."""

from collections import Counter
from datetime import timedelta

from ramptide.autoscaling.fleet_types import UNDERUTILIZED, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import fill

__all__ = ["ServiceConsolidation"]

NO_TIME = timedelta(0)


class ServiceConsolidation:
    """Chooses one machine to empty at a time.

    Services end one by one and leave machines that run a few each and never become idle. Their services find room on
    machines of the same owner that run more of them, which are emptied last. A replica is down while it moves, so a
    machine is left alone when services use more than `thin_share` of it, or when something was just started there.
    """

    def __init__(self) -> None:
        #: What each machine serves, and since when nothing new was started there.
        self._unchanged_since: dict[str, tuple[set[str], timedelta]] = {}
        self._last_chosen_at = NO_TIME

    def note_services(self, now: timedelta, machines: list[FleetMachine]) -> None:
        """Note since when nothing new was started on the machines that run services only."""
        known, self._unchanged_since = self._unchanged_since, {}
        for machine in machines:
            if machine.services:
                job_ids = {spec.job_id for spec in machine.services}
                before, since = known.get(machine.host, (set(), now))
                self._unchanged_since[machine.host] = (job_ids, since if job_ids <= before else now)

    def choose(
        self, now: timedelta, machines: list[FleetMachine], draining: dict[str, str], tuning: Tuning
    ) -> str | None:
        """Return a machine to empty, at most one every `gather`; `draining`: what the step drains already."""
        if now - self._last_chosen_at < tuning.gather:
            return None
        if any(machine.record.drain_reason == UNDERUTILIZED for machine in machines):
            return None
        serving = [
            machine
            for machine in machines
            if machine.services and machine.room is not None and machine.host not in draining
        ]
        candidates = [machine for machine in serving if self._is_underutilized(machine, now, tuning)]
        for machine in sorted(candidates, key=_cost_of_keeping):
            if _fits_elsewhere(machine, serving):
                self._last_chosen_at = now
                return machine.host
        return None

    def _is_underutilized(self, machine: FleetMachine, now: timedelta, tuning: Tuning) -> bool:
        max_cpus = machine.machine_type.cpus * tuning.thin_share if machine.machine_type is not None else 0.0
        _, unchanged_since = self._unchanged_since[machine.host]
        return machine.service_cpus <= max_cpus and now - unchanged_since >= tuning.started


def _cost_of_keeping(machine: FleetMachine) -> tuple[float, str]:
    """Return the sort key of a machine, the most expensive for what it serves lowest."""
    return -machine.price / machine.service_cpus, machine.host


def _fits_elsewhere(machine: FleetMachine, serving: list[FleetMachine]) -> bool:
    """Tell whether all its services find room on machines of the same owner that run no fewer."""
    rooms = [
        other.room.copy()
        for other in serving
        if other is not machine
        and other.room is not None
        and other.owner == machine.owner
        and other.service_cpus >= machine.service_cpus
    ]
    return all(fill(spec, 1, rooms, Counter()) for spec in machine.services)
