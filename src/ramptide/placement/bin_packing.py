"""What may run where, and which machine a task takes. Pure: rooms and jobs in, a choice out."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec

#: Amounts are sums and differences of fractions, so what fits exactly may seem to miss by a rounding error.
ROUNDING = 1e-6
#: A service opens another machine rather one on which so many of its replicas fit, as more are likely to follow.
REPLICAS_TO_OPEN_FOR = 4


class ReserveAccess(IntEnum):
    """Which of the room that is kept for services an array may use, by how long it has waited."""

    NONE = 0
    POOL = 1
    ALL = 2


@dataclass(slots=True)
class Room:
    """What is free on a machine, and what matters for choosing it.

    `heartbeat_held`: its agent waits for our reply, so a start leaves at once. `in_pool`: for services only.
    `service_cpus`: the CPUs that services hold; where there are some, arrays leave `service_reserve` (CPUs, memory)
    free for more of them.
    """

    host: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    ram_gb: float
    images: frozenset[str] = frozenset()
    idle: bool = False
    heartbeat_held: bool = False
    in_pool: bool = False
    service_cpus: float = 0.0
    service_reserve: tuple[float, float] = (0.0, 0.0)

    def fits(self, spec: JobSpec, reach: ReserveAccess = ReserveAccess.NONE) -> int:
        """Return how many tasks of the job this room takes."""
        cpus, ram = self.cpus, self.ram_gb
        if self.service_cpus and spec.kind != SERVICE and reach is not ReserveAccess.ALL:
            reserved_cpus, reserved_ram = self.service_reserve
            cpus, ram = cpus - reserved_cpus, ram - reserved_ram
        counts = [
            int((free + ROUNDING) / each)
            for free, each in ((cpus, spec.cpus), (self.gpus, spec.gpus), (ram, spec.ram_gb))
            if each > 0
        ]
        return max(0, min(counts)) if counts else spec.task_count

    def copy(self) -> "Room":
        """Copy the room for trials.

        Written out, as `dataclasses.replace` takes ten times as long and hundreds are made a step.
        """
        return Room(
            self.host, self.machine_type, self.zone, self.spot, self.cpus, self.gpus, self.ram_gb, self.images,
            self.idle, self.heartbeat_held, self.in_pool, self.service_cpus, self.service_reserve,
        )  # fmt: skip

    def take(self, spec: JobSpec, tasks: int = 1) -> None:
        """Take the room of some tasks of the job; a negative number gives it back."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.ram_gb -= spec.ram_gb * tasks


# The rules: what may run where.


def may_use(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Tell whether the job allows this type, zone and kind of machine."""
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def admits(spec: JobSpec, room: Room, reach: ReserveAccess = ReserveAccess.NONE) -> bool:
    """Tell whether the job may use this machine, whatever room is left there."""
    closed = room.in_pool and spec.kind != SERVICE
    return may_use(spec, room.machine_type, room.zone, room.spot) and (
        not closed or reach is ReserveAccess.ALL or (room.idle and reach is ReserveAccess.POOL)
    )


def empty_room(machine_type: MachineType, zone: str, spot: bool, host: str = "") -> Room:
    """Return what a machine of the type has before anything runs there."""
    return Room(host, machine_type.name, zone, spot, machine_type.cpus, machine_type.gpus, machine_type.ram_gb)


def holds(spec: JobSpec, machine_type: MachineType) -> bool:
    """Tell whether an empty machine of the type takes a task of the job."""
    return (
        spec.cpus <= machine_type.cpus + ROUNDING
        and spec.gpus <= machine_type.gpus + ROUNDING
        and spec.ram_gb <= machine_type.ram_gb + ROUNDING
    )


def can_ever_run(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Tell whether some allowed type and zone takes a task, and the zone rules can be met."""
    zones: set[str] = set()
    for machine_type in machine_types:
        if holds(spec, machine_type):
            zones.update(zone for zone in machine_type.zones if may_use(spec, machine_type.name, zone, False))
    if spec.spread_zones and spec.task_count > 1:
        return len(zones) > 1 and not spec.single_zone
    return bool(zones)


def zone_room(spec: JobSpec, zone: str, placed: Mapping[str, int]) -> int:
    """Return how many more tasks the zone rules allow in a zone, given how many of the job are in each zone now."""
    if spec.single_zone and any(count for other, count in placed.items() if other != zone):
        return 0
    if spec.spread_zones:
        return max(0, (spec.task_count + 1) // 2 - placed.get(zone, 0))
    return spec.task_count


def needs(spec: JobSpec) -> tuple[Any, ...]:
    """Return what decides where a task may run: where one job of these needs finds no room, no other does."""
    machine_types = tuple(spec.machine_types) if spec.machine_types else None
    return (spec.kind, spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.zone, machine_types)


# The choice of a machine.


def usable(
    spec: JobSpec, rooms: Iterable[Room], placed: Mapping[str, int], reach: ReserveAccess = ReserveAccess.NONE
) -> list[Room]:
    """Return the rooms that may take a task of the job now."""
    found = [
        room
        for room in rooms
        if room.cpus + ROUNDING >= spec.cpus
        and room.ram_gb + ROUNDING >= spec.ram_gb
        and admits(spec, room, reach)
        and room.fits(spec, reach) > 0
        and zone_room(spec, room.zone, placed)
    ]
    if spec.single_zone and not any(placed.values()):
        return _in_largest_zone(spec, found)
    return found


def _in_largest_zone(spec: JobSpec, rooms: list[Room]) -> list[Room]:
    """Return the rooms of the zone where most tasks fit, as the first task decides the zone of all."""
    capacity: Counter[str] = Counter()
    for room in rooms:
        capacity[room.zone] += room.fits(spec)
    if not capacity:
        return rooms
    best = min(capacity, key=lambda zone: (-min(capacity[zone], spec.task_count), zone))
    return [room for room in rooms if room.zone == best]


def choose(
    spec: JobSpec, rooms: Iterable[Room], placed: Mapping[str, int], reach: ReserveAccess = ReserveAccess.NONE
) -> Room | None:
    """Return the machine for the next task of a job, or None when none has room."""
    return min(usable(spec, rooms, placed, reach), key=lambda room: _preference(spec, room), default=None)


def choose_many(
    spec: JobSpec,
    rooms: Iterable[Room],
    placed: Mapping[str, int],
    tasks: int,
    reach: ReserveAccess = ReserveAccess.NONE,
) -> Iterator[tuple[Room, int]]:
    """Yield machines for many tasks of an array, each with the number of tasks that it takes.

    Each is filled before the next: one walk of the rooms for all tasks.
    """
    by_zone = Counter(placed)
    for room in sorted(usable(spec, rooms, placed, reach), key=lambda room: _preference(spec, room)):
        count = min(room.fits(spec, reach), tasks, zone_room(spec, room.zone, by_zone))
        if count > 0:
            by_zone[room.zone] += count
            tasks -= count
            yield room, count
        if tasks <= 0:
            return


def _preference(spec: JobSpec, room: Room) -> tuple[bool | float | str, ...]:
    """Return the sort key of a room, the best lowest. A busy machine goes before an idle one, so that machines empty.

    Services go together, on machines where their images are soon all cached and which empty one after the other when
    services end: there to one that holds the image, then one whose agent waits for our reply (`heartbeat_held`), then
    the one with most services, so that the others empty. Another machine is opened where several more will fit. Arrays
    keep off the machines whose agents wait, take spot ones where they may, and fill machines in one fixed order, so
    that the last ones empty.
    """
    missing = spec.image not in room.images
    if spec.kind == SERVICE:
        opens = not room.service_cpus
        small = opens and room.fits(spec) < REPLICAS_TO_OPEN_FOR
        return (
            opens, small, missing, not room.heartbeat_held, room.spot, room.idle, -room.service_cpus, room.cpus,
            room.host,
        )  # fmt: skip
    return (spec.spot and not room.spot, room.heartbeat_held and not room.idle, missing, room.idle, room.host)


def fill(spec: JobSpec, tasks: int, rooms: Iterable[Room], placed: Counter[str], take: bool = True) -> int:
    """Return how many of `tasks` find room. For counting, not for starting.

    The rooms are taken from with `take`, and what finds room is added to `placed`, as the zone rules look at it.
    """
    found = 0
    for room in rooms:
        if found >= tasks:
            break
        if not admits(spec, room):
            continue
        count = min(room.fits(spec), tasks - found, zone_room(spec, room.zone, placed))
        if count:
            if take:
                room.take(spec, count)
            placed[room.zone] += count
            found += count
    return found
