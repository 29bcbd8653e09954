"""The choice of the kind of machine to rent, and of the number of machines. No I/O."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from ramptide.autoscaling.demand_fitting import DemandFitting
from ramptide.autoscaling.fleet_types import Demand, MachineKind
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import empty_room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec

__all__ = ["MachineChoice"]

NO_TIME = timedelta(0)
FIRST_REFUSAL_PAUSE = timedelta(seconds=5)
MAX_REFUSAL_PAUSE = timedelta(seconds=40)
# The number of CPUs that one GPU and one GB of memory count as; only the order of magnitude matters.
GPU_WEIGHT_CPUS, RAM_GB_WEIGHT_CPUS = 12.0, 0.02
#: The least weight of a task: one that takes nothing needs a machine as well.
MIN_WEIGHT_CPUS = 1e-6


class _RefusalPause(NamedTuple):
    """The pause after a refusal of a kind: when the kind may be tried again, and the length of the pause."""

    until: timedelta
    length: timedelta


class _Offer(NamedTuple):
    """A kind of machine that may be rented now, with its price per hour."""

    machine_type: MachineType
    zone: str
    spot: bool
    price: float

    @property
    def kind(self) -> MachineKind:
        return MachineKind(self.machine_type.name, self.zone, self.spot)


class MachineChoice:
    """Chooses among the kinds of machines that are not paused after a refusal."""

    def __init__(self, fitting: DemandFitting) -> None:
        self._fitting = fitting
        self._refusals: dict[MachineKind, _RefusalPause] = {}

    def record_refusal(self, kind: MachineKind, now: timedelta) -> None:
        """Record that the cloud had no capacity for a kind: it is not tried for a while, longer after each refusal."""
        previous_length = self._refusals[kind].length if kind in self._refusals else FIRST_REFUSAL_PAUSE / 2
        pause = min(previous_length * 2, MAX_REFUSAL_PAUSE)
        self._refusals[kind] = _RefusalPause(now + pause, pause)

    def record_rental(self, kind: MachineKind) -> None:
        """Record that machines of a kind were rented, which ends the pause after refusals."""
        self._refusals.pop(kind, None)

    def _offers(self, now: timedelta, machine_types: Iterable[MachineType]) -> Iterator[_Offer]:
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot, price in ((True, machine_type.spot_price), (False, machine_type.price)):
                    refusal = self._refusals.get(MachineKind(machine_type.name, zone, spot))
                    if refusal is None or refusal.until <= now:
                        yield _Offer(machine_type, zone, spot, price)

    def choose_cheapest(
        self, now: timedelta, uncovered: list[Demand], machine_types: Iterable[MachineType], tuning: Tuning
    ) -> MachineKind | None:
        """Return the kind with the lowest price for the waiting work that it would run, its boot time included."""
        best: tuple[float, MachineKind] | None = None
        for offer in self._offers(now, machine_types):
            work = self._fitting_work(offer, uncovered)
            if work <= 0:
                continue
            boot = timedelta(seconds=offer.machine_type.boot_s)
            cost = offer.price * ((boot + tuning.horizon) / tuning.horizon) / work
            if best is None or cost < best[0]:
                best = (cost, offer.kind)
        return best[1] if best is not None else None

    def choose_for_pool(self, now: timedelta, machine_types: Iterable[MachineType]) -> MachineKind | None:
        """Return the cheapest kind that is not spot, for the idle pool; None if no such kind may be rented now."""
        offers = [(offer.price, offer.kind) for offer in self._offers(now, machine_types) if not offer.spot]
        return min(offers)[1] if offers else None

    def rental_count(
        self, kind: MachineKind | None, uncovered: list[Demand], machine_types: Iterable[MachineType], max_count: int
    ) -> int:
        """Return how many machines of the kind to rent in this step.

        It is the number of machines to which waiting tasks would be assigned, up to `max_count`: where hundreds of
        machines are needed, a step rents several.
        """
        if kind is None:
            return 0
        machine_type = next((candidate for candidate in machine_types if candidate.name == kind.machine_type), None)
        if machine_type is None:
            return 0
        # Tasks assigned to earlier machines of the step count for the zone rules when a later machine is filled.
        remaining = [replace(demand, placed=Counter(demand.placed)) for demand in uncovered]
        for count in range(max_count):
            room = empty_room(machine_type, kind.zone, kind.spot)
            assigned_count = 0
            for demand in remaining:
                fitting_count = self._fitting.fill(demand.spec, demand.task_count, [room], demand.placed)
                demand.task_count -= fitting_count
                assigned_count += fitting_count
            if not assigned_count:
                return count
        return max_count

    def _fitting_work(self, offer: _Offer, uncovered: list[Demand]) -> float:
        """Return the weighted amount of waiting work that would fit on one machine of the kind."""
        room = empty_room(offer.machine_type, offer.zone, offer.spot)
        work = 0.0
        for demand in uncovered:
            fitting_count = self._fitting.fill(demand.spec, demand.task_count, [room], Counter(demand.placed))
            work += fitting_count * _weight(demand.spec)
        return work


def _weight(spec: JobSpec) -> float:
    """Return the weight of a task for the comparison of prices: its CPUs, with GPUs and memory converted to CPUs."""
    weight = spec.cpus + spec.gpus * GPU_WEIGHT_CPUS + spec.ram_gb * RAM_GB_WEIGHT_CPUS
    return max(weight, MIN_WEIGHT_CPUS)
