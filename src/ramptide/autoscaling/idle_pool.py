"""The choice of idle machines to keep ready, and of machines that were idle for long enough to drain. No I/O."""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

from ramptide.autoscaling.demand_fitting import DemandFitting
from ramptide.autoscaling.fleet_types import Demand, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import empty_room

__all__ = ["IdlePool"]

#: The number of counted image uses above which all counts are halved.
MAX_IMAGE_USES = 400


class IdlePool:
    """Keeps a few idle machines ready that have cached the images used most recently.

    `hosts` are the machines that are kept, as of the last step; `wanted_size` is the number of machines to keep.
    """

    def __init__(self, fitting: DemandFitting) -> None:
        self._fitting = fitting
        self.hosts: list[str] = []
        self.wanted_size = 0
        self._image_uses: Counter[str] = Counter()
        self._idle_since: dict[str, timedelta] = {}

    def record_image_use(self, image: str) -> None:
        """Count a use of an image; the weight of old uses decreases as new ones are counted."""
        self._image_uses[image] += 1
        if sum(self._image_uses.values()) > MAX_IMAGE_USES:
            self._image_uses = Counter({name: count // 2 for name, count in self._image_uses.items() if count > 1})

    def update(self, now: timedelta, machines: list[FleetMachine], tuning: Tuning) -> None:
        """Choose the idle machines to keep, and record since when each machine is idle."""
        idle = {machine.host: machine for machine in machines if _is_idle(machine)}
        non_spot = {host for host, machine in idle.items() if not machine.record.spot}
        self._idle_since = {host: self._idle_since.get(host, now) for host in idle}
        up_count = sum(machine.is_up and not machine.is_draining for machine in machines)
        self.wanted_size = max(tuning.pool_size, round(up_count * tuning.pool_share))
        self.hosts = sorted(non_spot, key=lambda host: self._preference(idle[host], tuning))[: self.wanted_size]

    def _preference(self, machine: FleetMachine, tuning: Tuning) -> tuple[bool, int, float, str]:
        """Return the sort key of an idle machine, lowest for the best one to keep."""
        image_uses = sum(self._image_uses[image] for image in machine.room.images) if machine.room is not None else 0
        # The failures may be the jobs' fault, but a machine with few failures is the better one to keep.
        has_many_failures = machine.consecutive_failures >= tuning.sick_jobs
        return (has_many_failures, -image_uses, machine.price, machine.host)

    def is_short(self, machines: list[FleetMachine]) -> bool:
        """Return whether the pool has too few machines, with booting non-spot machines counted in."""
        booting = sum(not machine.is_up and not machine.record.spot and not machine.is_draining for machine in machines)
        return len(self.hosts) + booting < self.wanted_size

    def idle_for_long(
        self, now: timedelta, machines: list[FleetMachine], tuning: Tuning, usable_by: list[Demand] | None
    ) -> Iterator[str]:
        """Yield the machines outside the pool that have been idle for the cooldown.

        Machines that one of the demands in `usable_by` could use are left out; with None, no machine is left out.
        """
        for machine in machines:
            since = self._idle_since.get(machine.host)
            if since is None or machine.host in self.hosts or now - since < tuning.cooldown:
                continue
            if usable_by is None or not self._is_usable(machine, usable_by):
                yield machine.host

    def _is_usable(self, machine: FleetMachine, demands: list[Demand]) -> bool:
        """Return whether a waiting task would fit on the empty machine, even if its room is reserved for services."""
        machine_type, record = machine.machine_type, machine.record
        if machine_type is None:
            return False
        return any(
            machine.host not in demand.avoided_hosts
            and self._fitting.fill(
                demand.spec,
                1,
                [empty_room(machine_type, record.zone, record.spot, machine.host)],
                Counter(demand.placed),
            )
            for demand in demands
        )


def _is_idle(machine: FleetMachine) -> bool:
    return machine.is_up and not machine.task_count and machine.room is not None and not machine.is_draining
