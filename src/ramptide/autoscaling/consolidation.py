"""The choice of machines with few services to empty, one by one, when other machines have room. No I/O."""

import math
from collections import Counter
from datetime import timedelta

from ramptide.autoscaling.fleet_types import UNDERUTILIZED, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import fill_rooms

__all__ = ["ServiceConsolidation"]

NO_TIME = timedelta(0)


class ServiceConsolidation:
    """Chooses one machine at a time to empty.

    Services end one by one and leave machines that run a few each and never become idle. A machine is emptied if its
    services fit on machines of the same owner whose services hold as many CPUs or more. Machines with a high price for
    the CPUs that their services hold are emptied first. A replica is down while it moves, so a machine is not emptied
    if its services use more than `Tuning.thin_share` of its CPUs, or if a service was started there less than
    `Tuning.started` ago.
    """

    def __init__(self) -> None:
        #: The ids of the jobs whose services run on each machine, and since when no id was added.
        self._unchanged_since: dict[str, tuple[set[str], timedelta]] = {}
        self._last_chosen_at = NO_TIME

    def track_services(self, now: timedelta, machines: list[FleetMachine]) -> None:
        """Record, for each machine that runs only services, since when no job was added there."""
        previous, self._unchanged_since = self._unchanged_since, {}
        for machine in machines:
            if machine.services:
                job_ids = {spec.job_id for spec in machine.services}
                job_ids_before, since = previous.get(machine.host, (set(), now))
                self._unchanged_since[machine.host] = (job_ids, since if job_ids <= job_ids_before else now)

    def choose_machine(
        self, now: timedelta, machines: list[FleetMachine], draining: dict[str, str], tuning: Tuning
    ) -> str | None:
        """Return a machine to empty, at most one every `Tuning.gather`, or None.

        `draining`: the machines that the current step drains already, with the reasons.
        """
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
    """Return the sort key of a machine, lowest for the highest price per CPU that its services hold."""
    # Services that hold no CPUs may be there while another one that has just been started is not reported yet.
    price_per_cpu = machine.price / machine.service_cpus if machine.service_cpus else math.inf
    return -price_per_cpu, machine.host


def _fits_elsewhere(machine: FleetMachine, serving: list[FleetMachine]) -> bool:
    """Return whether all services of a machine fit on other machines of its owner.

    Only machines whose services hold as many CPUs or more are considered.
    """
    rooms = [
        other.room.copy()
        for other in serving
        if other is not machine
        and other.room is not None
        and other.owner == machine.owner
        and other.service_cpus >= machine.service_cpus
    ]
    return all(fill_rooms(spec, 1, rooms, Counter()) for spec in machine.services)
