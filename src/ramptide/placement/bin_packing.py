"""The rules of what may run where, and the choice of machines for tasks.

The functions are pure: they work on the rooms and jobs that they are given.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import MAX_TASKS, SERVICE, JobSpec

#: The tolerance when amounts are compared. They are sums and differences of fractions, so an exact fit may miss by a
#: rounding error.
ROUNDING_TOLERANCE = 1e-6
#: When a service needs a machine that runs no services yet, one that fits at least this number of its replicas is
#: preferred, as more are likely to follow.
MIN_FITTING_REPLICAS = 4


class ReserveAccess(IntEnum):
    """How much of the room that is reserved for services an array may use, which increases as the array waits."""

    #: None of it.
    NONE = 0
    #: The idle machines of the pool.
    POOL = 1
    #: The whole pool, and the reserve on machines that run services.
    ALL = 2


@dataclass(slots=True)
class Room:
    """The free room on a machine, and the properties by which the machine is chosen.

    `idle`: no task holds room on the machine. `heartbeat_held`: the agent waits for the reply to a heartbeat, so the
    command to start a task is sent at once. `in_pool`: the machine is in the idle pool, which is reserved for services.
    `service_cpus`: the CPUs that services hold. While services hold some, arrays leave `service_reserve` (CPUs and
    memory in GB) free for more of them.
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

    def count_fitting_tasks(self, spec: JobSpec, access: ReserveAccess = ReserveAccess.NONE) -> int:
        """Return how many tasks of the job fit into the room, `MAX_TASKS` at most."""
        cpus, ram = self.cpus, self.ram_gb
        if self.service_cpus and spec.kind != SERVICE and access is not ReserveAccess.ALL:
            reserved_cpus, reserved_ram = self.service_reserve
            cpus, ram = cpus - reserved_cpus, ram - reserved_ram
        fitting = MAX_TASKS
        for free, needed in ((cpus, spec.cpus), (self.gpus, spec.gpus), (ram, spec.ram_gb)):
            if needed > 0:
                usable = free + ROUNDING_TOLERANCE
                if usable < needed:
                    return 0
                # The quotient of a tiny amount may be infinite, so it is computed only where it is below the bound.
                if usable < needed * fitting:
                    fitting = int(usable / needed)
        return fitting

    def copy(self) -> "Room":
        """Return a copy of the room, for trials.

        The fields are written out because `dataclasses.replace` takes ten times as long, and each step makes hundreds
        of copies.
        """
        return Room(
            self.host, self.machine_type, self.zone, self.spot, self.cpus, self.gpus, self.ram_gb, self.images,
            self.idle, self.heartbeat_held, self.in_pool, self.service_cpus, self.service_reserve,
        )  # fmt: skip

    def allocate(self, spec: JobSpec, tasks: int = 1) -> None:
        """Allocate the room of `tasks` tasks of the job; a negative number releases it."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.ram_gb -= spec.ram_gb * tasks


# Rules of what may run where.


def may_use(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether the job allows this machine type, this zone, and spot or on-demand machines."""
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def admits(spec: JobSpec, room: Room, access: ReserveAccess = ReserveAccess.NONE) -> bool:
    """Return whether the job may use the machine, without regard to how much room is left there."""
    is_reserved = room.in_pool and spec.kind != SERVICE
    return may_use(spec, room.machine_type, room.zone, room.spot) and (
        not is_reserved or access is ReserveAccess.ALL or (room.idle and access is ReserveAccess.POOL)
    )


def empty_room(machine_type: MachineType, zone: str, spot: bool, host: str = "") -> Room:
    """Return the room of a machine of the type on which nothing runs."""
    return Room(host, machine_type.name, zone, spot, machine_type.cpus, machine_type.gpus, machine_type.ram_gb)


def fits_empty_machine(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether a task of the job fits on an empty machine of the type."""
    return (
        spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        and spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        and spec.ram_gb <= machine_type.ram_gb + ROUNDING_TOLERANCE
    )


def can_ever_run(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Return whether a task fits on some allowed machine type and zone, and the zone rules can be met."""
    zones: set[str] = set()
    for machine_type in machine_types:
        if fits_empty_machine(spec, machine_type):
            zones.update(zone for zone in machine_type.zones if may_use(spec, machine_type.name, zone, False))
    if spec.spread_zones and spec.task_count > 1:
        return len(zones) > 1 and not spec.single_zone
    return bool(zones)


def zone_headroom(spec: JobSpec, zone: str, placed_by_zone: Mapping[str, int]) -> int:
    """Return how many more tasks of the job its zone rules allow in a zone, given those placed in each zone now."""
    if spec.single_zone and any(count for other, count in placed_by_zone.items() if other != zone):
        return 0
    if spec.spread_zones:
        return max(0, (spec.task_count + 1) // 2 - placed_by_zone.get(zone, 0))
    return spec.task_count


def placement_needs(spec: JobSpec) -> tuple[Any, ...]:
    """Return the properties that decide where a task may run: when a job finds no room, no job of equal needs does."""
    machine_types = tuple(spec.machine_types) if spec.machine_types else None
    return (spec.kind, spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.zone, machine_types)


# Choice of machines.


def usable_rooms(
    spec: JobSpec, rooms: Iterable[Room], placed_by_zone: Mapping[str, int], access: ReserveAccess = ReserveAccess.NONE
) -> list[Room]:
    """Return the rooms into which a task of the job fits now, and which it may use."""
    usable = [
        room
        for room in rooms
        if room.cpus + ROUNDING_TOLERANCE >= spec.cpus
        and room.ram_gb + ROUNDING_TOLERANCE >= spec.ram_gb
        and admits(spec, room, access)
        and room.count_fitting_tasks(spec, access) > 0
        and zone_headroom(spec, room.zone, placed_by_zone)
    ]
    if spec.single_zone and not any(placed_by_zone.values()):
        return _in_largest_zone(spec, usable)
    return usable


def _in_largest_zone(spec: JobSpec, rooms: list[Room]) -> list[Room]:
    """Return the rooms of the zone where most tasks fit, as the first task decides the zone of all tasks of the job."""
    capacity: Counter[str] = Counter()
    for room in rooms:
        capacity[room.zone] += room.count_fitting_tasks(spec)
    if not capacity:
        return rooms
    best = min(capacity, key=lambda zone: (-min(capacity[zone], spec.task_count), zone))
    return [room for room in rooms if room.zone == best]


def choose_room(
    spec: JobSpec, rooms: Iterable[Room], placed_by_zone: Mapping[str, int], access: ReserveAccess = ReserveAccess.NONE
) -> Room | None:
    """Return the room for the next task of a job, or None when the task fits nowhere."""
    return min(
        usable_rooms(spec, rooms, placed_by_zone, access), key=lambda room: _preference(spec, room), default=None
    )


def choose_rooms(
    spec: JobSpec,
    rooms: Iterable[Room],
    placed_by_zone: Mapping[str, int],
    tasks: int,
    access: ReserveAccess = ReserveAccess.NONE,
) -> Iterator[tuple[Room, int]]:
    """Yield rooms for many tasks of an array, each with the number of tasks that are to start there.

    Each room is filled before the next, so that one pass over the rooms serves all tasks.
    """
    by_zone = Counter(placed_by_zone)
    for room in sorted(usable_rooms(spec, rooms, placed_by_zone, access), key=lambda room: _preference(spec, room)):
        count = min(room.count_fitting_tasks(spec, access), tasks, zone_headroom(spec, room.zone, by_zone))
        if count > 0:
            by_zone[room.zone] += count
            tasks -= count
            yield room, count
        if tasks <= 0:
            return


def _preference(spec: JobSpec, room: Room) -> tuple[bool | float | str, ...]:
    """Return the sort key of a room for a task of the job, the best room lowest.

    Busy machines are preferred to idle ones, so that machines become idle and can be returned.

    Services share machines, on which their images are soon all cached, and which become empty one after the other when
    services end. Among these a machine that has the image is preferred, then one with a held heartbeat, then an
    on-demand machine, then the one whose services hold the most CPUs, so that the other machines become empty. When a
    service needs another machine, one that fits several more replicas is preferred.

    Arrays prefer spot machines where the job allows them, avoid busy machines with a held heartbeat, prefer machines
    that have the image, and fill machines in a fixed order, so that the last ones become empty.
    """
    lacks_image = spec.image not in room.images
    if spec.kind == SERVICE:
        is_first_service = not room.service_cpus
        is_small = is_first_service and room.count_fitting_tasks(spec) < MIN_FITTING_REPLICAS
        return (
            is_first_service, is_small, lacks_image, not room.heartbeat_held, room.spot, room.idle, -room.service_cpus,
            room.cpus, room.host,
        )  # fmt: skip
    return (spec.spot and not room.spot, room.heartbeat_held and not room.idle, lacks_image, room.idle, room.host)


def fill_rooms(
    spec: JobSpec, tasks: int, rooms: Iterable[Room], placed_by_zone: Counter[str], allocate: bool = True
) -> int:
    """Return how many of `tasks` tasks of the job find room. The result is an estimate; no task is started.

    With `allocate` the room of these tasks is allocated. The tasks are added to `placed_by_zone`, as the zone rules
    depend on it.
    """
    fitting = 0
    for room in rooms:
        if fitting >= tasks:
            break
        if not admits(spec, room):
            continue
        count = min(room.count_fitting_tasks(spec), tasks - fitting, zone_headroom(spec, room.zone, placed_by_zone))
        if count:
            if allocate:
                room.allocate(spec, count)
            placed_by_zone[room.zone] += count
            fitting += count
    return fitting
