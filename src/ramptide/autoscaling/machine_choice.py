"""Which kind of machine to rent, and how many. Pure."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from ramptide.autoscaling.fleet_types import Demand, MachineKind
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import empty_room, fill
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec

__all__ = ["MachineChoice"]

NO_TIME = timedelta(0)
FIRST_REFUSAL_PAUSE = timedelta(seconds=5)
MAX_REFUSAL_PAUSE = timedelta(seconds=40)
# A GPU is worth about a dozen CPUs, and a GB a fiftieth of one; only the order of magnitude matters.
GPU_WEIGHT, RAM_GB_WEIGHT = 12.0, 0.02


class _RefusalPause(NamedTuple):
    """A kind that the cloud had no capacity for: when it may be tried again, and how long the pause is."""

    until: timedelta
    length: timedelta


class _Offer(NamedTuple):
    """A kind that may be rented now, with its price per hour."""

    machine_type: MachineType
    zone: str
    spot: bool
    price: float

    @property
    def kind(self) -> MachineKind:
        return MachineKind(self.machine_type.name, self.zone, self.spot)


class MachineChoice:
    """Chooses among the kinds that the cloud did not refuse lately."""

    def __init__(self) -> None:
        self._refusals: dict[MachineKind, _RefusalPause] = {}

    def note_refusal(self, kind: MachineKind, now: timedelta) -> None:
        """Note that there was no capacity: the kind is not tried for a while, longer after each refusal."""
        before = self._refusals[kind].length if kind in self._refusals else FIRST_REFUSAL_PAUSE / 2
        pause = min(before * 2, MAX_REFUSAL_PAUSE)
        self._refusals[kind] = _RefusalPause(now + pause, pause)

    def note_rental(self, kind: MachineKind) -> None:
        """Note that machines of the kind could be rented, which ends the pause after refusals."""
        self._refusals.pop(kind, None)

    def _offers(self, now: timedelta, machine_types: Iterable[MachineType]) -> Iterator[_Offer]:
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot, price in ((True, machine_type.spot_price), (False, machine_type.price)):
                    refusal = self._refusals.get(MachineKind(machine_type.name, zone, spot))
                    if refusal is None or refusal.until <= now:
                        yield _Offer(machine_type, zone, spot, price)

    def cheapest(
        self, now: timedelta, uncovered: list[Demand], machine_types: Iterable[MachineType], tuning: Tuning
    ) -> MachineKind | None:
        """Return the kind with the lowest price for the work that it would take, its boot included."""
        best: tuple[float, MachineKind] | None = None
        for offer in self._offers(now, machine_types):
            work = _work_taken(offer, uncovered)
            if work <= 0:
                continue
            boot = timedelta(seconds=offer.machine_type.boot_s)
            cost = offer.price * ((boot + tuning.horizon) / tuning.horizon) / work
            if best is None or cost < best[0]:
                best = (cost, offer.kind)
        return best[1] if best is not None else None

    def for_pool(self, now: timedelta, machine_types: Iterable[MachineType]) -> MachineKind | None:
        """Return the cheapest kind that is not spot, for the idle pool; None when none can be had."""
        offers = [(offer.price, offer.kind) for offer in self._offers(now, machine_types) if not offer.spot]
        return min(offers)[1] if offers else None

    @staticmethod
    def rental_count(
        kind: MachineKind | None, uncovered: list[Demand], machine_types: Iterable[MachineType], max_count: int
    ) -> int:
        """Return how many machines of the kind to rent in this step.

        One is the rule; while the waiting tasks would fill more, as they do with hundreds of machines, a step rents
        several, up to `max_count`.
        """
        if kind is None:
            return 0
        machine_type = next((one for one in machine_types if one.name == kind.machine_type), None)
        if machine_type is None:
            return 0
        # What earlier machines of the step would take counts for the zone rules of the later ones.
        left = [replace(demand, placed=Counter(demand.placed)) for demand in uncovered]
        for count in range(max_count):
            room = empty_room(machine_type, kind.zone, kind.spot)
            taken = 0
            for demand in left:
                found = fill(demand.spec, demand.tasks, [room], demand.placed)
                demand.tasks -= found
                taken += found
            if not taken:
                return count
        return max_count


def _work_taken(offer: _Offer, uncovered: list[Demand]) -> float:
    """Return how much of the waiting work a machine of the kind would take."""
    room = empty_room(offer.machine_type, offer.zone, offer.spot)
    work = 0.0
    for demand in uncovered:
        work += fill(demand.spec, demand.tasks, [room], Counter(demand.placed)) * _weight(demand.spec)
    return work


def _weight(spec: JobSpec) -> float:
    """Return a task's weight when the prices of kinds are compared: its CPUs, GPUs and memory as CPUs."""
    return spec.cpus + spec.gpus * GPU_WEIGHT + spec.ram_gb * RAM_GB_WEIGHT
