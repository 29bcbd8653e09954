"""The idle machines that are kept ready, and those that are idle for long enough to go. Pure."""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

from ramptide.autoscaling.fleet_types import Demand, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import empty_room, fill

__all__ = ["IdlePool"]

#: Uses of images that are remembered before all lose half of their weight.
MAX_IMAGE_USES = 400


class IdlePool:
    """Keeps a few idle machines that hold the images used most recently.

    `hosts`: the machines that are kept, as of the last step; `wanted_size`: how many should be.
    """

    def __init__(self) -> None:
        self.hosts: list[str] = []
        self.wanted_size = 0
        self._image_uses: Counter[str] = Counter()
        self._idle_since: dict[str, timedelta] = {}

    def note_image_use(self, image: str) -> None:
        """Count a use of an image; old uses lose weight as new ones come."""
        self._image_uses[image] += 1
        if sum(self._image_uses.values()) > MAX_IMAGE_USES:
            self._image_uses = Counter({name: count // 2 for name, count in self._image_uses.items() if count > 1})

    def choose(self, now: timedelta, machines: list[FleetMachine], tuning: Tuning) -> None:
        """Choose the idle machines to keep, and note since when each machine is idle."""
        idle = {machine.host: machine for machine in machines if _is_idle(machine)}
        ordinary = {host for host, machine in idle.items() if not machine.record.spot}
        self._idle_since = {host: self._idle_since.get(host, now) for host in idle}
        up = sum(machine.is_up and not machine.is_draining for machine in machines)
        self.wanted_size = max(tuning.pool_size, round(up * tuning.pool_share))
        self.hosts = sorted(ordinary, key=lambda host: self._preference(idle[host], tuning))[: self.wanted_size]

    def _preference(self, machine: FleetMachine, tuning: Tuning) -> tuple[bool, int, float, str]:
        """Return the sort key of an idle machine, the best to keep lowest."""
        images = sum(self._image_uses[image] for image in machine.room.images) if machine.room is not None else 0
        # Where all fails it may be the jobs' fault, but a machine that is not in doubt is the better one to keep.
        is_in_doubt = machine.consecutive_failures >= tuning.sick_jobs
        return (is_in_doubt, -images, machine.price, machine.host)

    def is_short(self, machines: list[FleetMachine]) -> bool:
        """Tell whether the pool lacks machines, those that boot included."""
        booting = sum(not machine.is_up and not machine.record.spot and not machine.is_draining for machine in machines)
        return len(self.hosts) + booting < self.wanted_size

    def idle_for_long(
        self, now: timedelta, machines: list[FleetMachine], tuning: Tuning, usable_by: list[Demand] | None
    ) -> Iterator[str]:
        """Yield the machines beyond the pool that were idle for the cooldown.

        `usable_by`: without those that one of these demands could use; None to yield all.
        """
        for machine in machines:
            since = self._idle_since.get(machine.host)
            if since is None or machine.host in self.hosts or now - since < tuning.cooldown:
                continue
            if usable_by is None or not _is_usable(machine, usable_by):
                yield machine.host


def _is_idle(machine: FleetMachine) -> bool:
    return machine.is_up and not machine.tasks and machine.room is not None and not machine.is_draining


def _is_usable(machine: FleetMachine, demands: list[Demand]) -> bool:
    """Tell whether a waiting task could run on the machine, were its room not kept for others."""
    machine_type, record = machine.machine_type, machine.record
    if machine_type is None:
        return False
    return any(
        machine.host not in demand.avoided_hosts
        and fill(
            demand.spec,
            1,
            [empty_room(machine_type, record.zone, record.spot, machine.host)],
            Counter(demand.placed),
        )
        for demand in demands
    )
