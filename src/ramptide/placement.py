"""What may run where, and which machine a task takes. Pure: rooms and jobs in, a choice out."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ramptide import wire

#: Amounts are sums and differences of fractions, so what fits exactly may seem to miss by a rounding error.
ROUNDING = 1e-6
#: A service opens another machine rather one on which so many of its replicas fit, as more are likely to follow.
REPLICAS_TO_OPEN_FOR = 4


class Reach(IntEnum):
    """Which of the room that is kept for services an array may use, by how long it has waited."""

    NONE = 0
    POOL = 1
    ALL = 2


@dataclass(slots=True)
class Room:
    """What is free on a machine, and what matters for choosing it.

    `worker_waiting`: its worker waits for our answer, so a launch leaves at once. `in_pool`: for services only.
    `service_cores`: the cores that services hold; where there are some, arrays leave `service_reserve` (cores, memory)
    free for more of them.
    """

    host: str
    flavor: str
    zone: str
    spot: bool
    cores: float
    cards: float
    ram_gb: float
    images: frozenset[str] = frozenset()
    idle: bool = False
    worker_waiting: bool = False
    in_pool: bool = False
    service_cores: float = 0.0
    service_reserve: tuple[float, float] = (0.0, 0.0)

    def fits(self, run: wire.Run, reach: Reach = Reach.NONE) -> int:
        """Return how many tasks of the job this room takes."""
        cores, ram = self.cores, self.ram_gb
        if self.service_cores and run.shape != wire.SERVICE and reach is not Reach.ALL:
            reserved_cores, reserved_ram = self.service_reserve
            cores, ram = cores - reserved_cores, ram - reserved_ram
        counts = [
            int((free + ROUNDING) / each)
            for free, each in ((cores, run.cores), (self.cards, run.cards), (ram, run.ram_gb))
            if each > 0
        ]
        return max(0, min(counts)) if counts else run.pieces

    def copy(self) -> "Room":
        """Copy the room for trials.

        Written out, as `dataclasses.replace` takes ten times as long and hundreds are made a step.
        """
        return Room(
            self.host, self.flavor, self.zone, self.spot, self.cores, self.cards, self.ram_gb, self.images,
            self.idle, self.worker_waiting, self.in_pool, self.service_cores, self.service_reserve,
        )  # fmt: skip

    def take(self, run: wire.Run, tasks: int = 1) -> None:
        """Take the room of some tasks of the job; a negative number gives it back."""
        self.cores -= run.cores * tasks
        self.cards -= run.cards * tasks
        self.ram_gb -= run.ram_gb * tasks


# The rules: what may run where.


def may_use(run: wire.Run, flavor: str, zone: str, spot: bool) -> bool:
    """Tell whether the job allows this type, zone and kind of machine."""
    return (
        (run.rigs is None or flavor in run.rigs) and (run.yard is None or run.yard == zone) and (run.spot or not spot)
    )


def admits(run: wire.Run, room: Room, reach: Reach = Reach.NONE) -> bool:
    """Tell whether the job may use this machine, whatever room is left there."""
    closed = room.in_pool and run.shape != wire.SERVICE
    return may_use(run, room.flavor, room.zone, room.spot) and (
        not closed or reach is Reach.ALL or room.idle and reach is Reach.POOL
    )


def empty_room(flavor: wire.Flavor, zone: str, spot: bool, host: str = "") -> Room:
    """Return what a machine of the type has before anything runs there."""
    return Room(host, flavor.name, zone, spot, flavor.cores, flavor.cards, flavor.ram_gb)


def holds(run: wire.Run, flavor: wire.Flavor) -> bool:
    """Tell whether an empty machine of the type takes a task of the job."""
    return (
        run.cores <= flavor.cores + ROUNDING
        and run.cards <= flavor.cards + ROUNDING
        and run.ram_gb <= flavor.ram_gb + ROUNDING
    )


def can_ever_run(run: wire.Run, flavors: Iterable[wire.Flavor]) -> bool:
    """Tell whether some allowed type and zone takes a task, and the zone rules can be met."""
    zones: set[str] = set()
    for flavor in flavors:
        if holds(run, flavor):
            zones.update(zone for zone in flavor.yards if may_use(run, flavor.name, zone, False))
    if run.spread and run.pieces > 1:
        return len(zones) > 1 and not run.one_zone
    return bool(zones)


def zone_room(run: wire.Run, zone: str, placed: Mapping[str, int]) -> int:
    """Return how many more tasks the zone rules allow in a zone, given how many of the job are in each zone now."""
    if run.one_zone and any(count for other, count in placed.items() if other != zone):
        return 0
    if run.spread:
        return max(0, (run.pieces + 1) // 2 - placed.get(zone, 0))
    return run.pieces


def needs(run: wire.Run) -> tuple[Any, ...]:
    """Return what decides where a task may run: where one job of these needs finds no room, no other does."""
    return (
        run.shape, run.cores, run.cards, run.ram_gb, run.spot, run.yard, tuple(run.rigs) if run.rigs else None
    )  # fmt: skip


# The choice of a machine.


def usable(run: wire.Run, rooms: Iterable[Room], placed: Mapping[str, int], reach: Reach = Reach.NONE) -> list[Room]:
    """Return the rooms that may take a task of the job now."""
    found = [
        room
        for room in rooms
        if room.cores + ROUNDING >= run.cores
        and room.ram_gb + ROUNDING >= run.ram_gb
        and admits(run, room, reach)
        and room.fits(run, reach) > 0
        and zone_room(run, room.zone, placed)
    ]
    if run.one_zone and not any(placed.values()):
        return _in_largest_zone(run, found)
    return found


def _in_largest_zone(run: wire.Run, rooms: list[Room]) -> list[Room]:
    """Return the rooms of the zone where most tasks fit, as the first task decides the zone of all."""
    capacity: Counter[str] = Counter()
    for room in rooms:
        capacity[room.zone] += room.fits(run)
    if not capacity:
        return rooms
    best = min(capacity, key=lambda zone: (-min(capacity[zone], run.pieces), zone))
    return [room for room in rooms if room.zone == best]


def choose(run: wire.Run, rooms: Iterable[Room], placed: Mapping[str, int], reach: Reach = Reach.NONE) -> Room | None:
    """Return the machine for the next task of a job, or None when none has room."""
    return min(usable(run, rooms, placed, reach), key=lambda room: _preference(run, room), default=None)


def choose_many(
    run: wire.Run, rooms: Iterable[Room], placed: Mapping[str, int], tasks: int, reach: Reach = Reach.NONE
) -> Iterator[tuple[Room, int]]:
    """Yield machines for many tasks of an array, each with the number of tasks that it takes.

    Each is filled before the next: one walk of the rooms for all tasks.
    """
    by_zone = Counter(placed)
    for room in sorted(usable(run, rooms, placed, reach), key=lambda room: _preference(run, room)):
        count = min(room.fits(run, reach), tasks, zone_room(run, room.zone, by_zone))
        if count > 0:
            by_zone[room.zone] += count
            tasks -= count
            yield room, count
        if tasks <= 0:
            return


def _preference(run: wire.Run, room: Room) -> tuple[bool | float | str, ...]:
    """Return the sort key of a room, the best lowest. A busy machine goes before an idle one, so that machines empty.

    Services go together, on machines where their images are soon all cached and which empty one after the other when
    services end: there to one that holds the image, then one whose worker waits for our answer (see `workers`), then
    the one with most services, so that the others empty. Another machine is opened where several more will fit. Arrays
    keep off the machines whose workers wait, take spot ones where they may, and fill machines in one fixed order, so
    that the last ones empty.
    """
    missing = run.image not in room.images
    if run.shape == wire.SERVICE:
        opens = not room.service_cores
        small = opens and room.fits(run) < REPLICAS_TO_OPEN_FOR
        return (
            opens, small, missing, not room.worker_waiting, room.spot, room.idle, -room.service_cores, room.cores,
            room.host,
        )  # fmt: skip
    return (run.spot and not room.spot, room.worker_waiting and not room.idle, missing, room.idle, room.host)


def fill(run: wire.Run, tasks: int, rooms: Iterable[Room], placed: Counter[str], take: bool = True) -> int:
    """Return how many of `tasks` find room. For counting, not for starting.

    The rooms are taken from with `take`, and what finds room is added to `placed`, as the zone rules look at it.
    """
    found = 0
    for room in rooms:
        if found >= tasks:
            break
        if not admits(run, room):
            continue
        count = min(room.fits(run), tasks - found, zone_room(run, room.zone, placed))
        if count:
            if take:
                room.take(run, count)
            placed[room.zone] += count
            found += count
    return found
