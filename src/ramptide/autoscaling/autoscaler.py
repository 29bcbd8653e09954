"""The leader's fleet: the two counts and their window, one rental per step, the idle pool, the cooldown.

Pure: `Fleet.step` is given what is known and says what to rent and what to return.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide.config.settings import Tuning
from ramptide.placement.bin_packing import Room, empty_room, fill, needs
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.state.records import MachineRecord

log = logging.getLogger(__name__)

ZERO = timedelta(0)
FIRST_REFUSAL_PAUSE = timedelta(seconds=5)
MAX_REFUSAL_PAUSE = timedelta(seconds=40)
UNDERUTILIZED = "thin"
QUARANTINED = "sick"
UNCONFIRMED = "unproven"
#: For a machine whose type the cloud does not name any more.
UNKNOWN_BOOT_TIME = timedelta(minutes=1)
#: Added to the longest boot time that is waited for.
BOOT_MARGIN = timedelta(seconds=20)
#: What speaks against a machine must hold so long: a job that runs elsewhere may yet fail there too.
QUARANTINE_AFTER = timedelta(seconds=10)

# A card is worth about a dozen cores, and a GB a fiftieth of one; only the order of magnitude matters.
GPU_WEIGHT, RAM_GB_WEIGHT = 12.0, 0.02

MachineKind = tuple[str, str, bool]


@dataclass(slots=True)
class FleetMachine:
    """What the leader knows of a rented machine."""

    host: str
    record: MachineRecord
    machine_type: MachineType | None
    is_up: bool
    age: timedelta
    silent_for: timedelta
    preempted_in: timedelta | None
    accusing_jobs: int
    tasks: int
    room: Room | None
    is_drained: bool
    cloud_status: str | None = None
    is_listed: bool = True
    unreachable_for: timedelta = ZERO
    #: How long a task of a job that is over may have been there with no report to show it gone.
    unconfirmed_for: timedelta = ZERO
    holds_up_view: bool = False
    owner: str = ""
    #: Jobs that failed there with nothing done since, whosever fault it was.
    consecutive_failures: int = 0
    #: What runs here, when that is services only.
    services: list[JobSpec] = field(default_factory=list)


@dataclass(slots=True)
class Demand:
    """Tasks of one job that wait and that its team's limit lets run."""

    spec: JobSpec
    tasks: int
    waited: timedelta
    placed: Counter[str]
    #: Machines whose room does not count for it.
    avoided_hosts: frozenset[str] = frozenset()


class Trigger(Enum):
    """Whether so many tasks wait that machines are rented: no, not for long enough yet, or yes.

    The value stands in the status and in the log.
    """

    LOW = "quiet"
    RISING = "rising"
    HIGH = "high"


@dataclass(slots=True)
class ScalingPlan:
    """What one step decided.

    Machines of kind `rent` to rent (None: none) and their `count`, machines that are to leave with the reason, that
    stay after all, and that are returned to the cloud.
    """

    rent: MachineKind | None = None
    count: int = 0
    drain: dict[str, str] = field(default_factory=dict)
    keep: list[str] = field(default_factory=list)
    return_now: list[str] = field(default_factory=list)


class Autoscaler:
    """Decides in steps which machines to rent, to keep idle and to return."""

    def __init__(self, tuning: Tuning, report: timedelta, lease: timedelta, prove: timedelta) -> None:
        self.tuning = tuning
        self._report = report
        self._lease = lease
        self._prove = prove
        self.trigger = Trigger.LOW
        self._since = ZERO
        self._low_since = ZERO
        self._idle_since: dict[str, timedelta] = {}
        self._accused_since: dict[str, timedelta] = {}
        self._services_since: dict[str, tuple[set[str], timedelta]] = {}
        self._consolidated_at = ZERO
        self._refusal_pauses: dict[MachineKind, tuple[timedelta, timedelta]] = {}
        self._image_uses: Counter[str] = Counter()
        self.waiting = 0
        self.long_waiting = 0
        self.idle_pool: list[str] = []
        self.idle_pool_size = 0

    # Signals.

    def note_refusal(self, kind: MachineKind, now: timedelta) -> None:
        """Note that there was no capacity: the kind is not tried for a while, longer after each refusal."""
        pause = min(self._refusal_pauses.get(kind, (ZERO, FIRST_REFUSAL_PAUSE / 2))[1] * 2, MAX_REFUSAL_PAUSE)
        self._refusal_pauses[kind] = (now + pause, pause)

    def note_rental(self, kind: MachineKind) -> None:
        """Note that machines of the kind could be rented, which ends the pause after refusals."""
        self._refusal_pauses.pop(kind, None)

    def note_image_use(self, image: str) -> None:
        """Count a use of an image; old uses lose weight as new ones come."""
        self._image_uses[image] += 1
        if sum(self._image_uses.values()) > 400:
            self._image_uses = Counter({name: count // 2 for name, count in self._image_uses.items() if count > 1})

    def _count(self, demands: list[Demand], machines: list[FleetMachine]) -> list[Demand]:
        """Count the waiting tasks that fit neither free room nor booting machines, and those that wait long.

        Returns the demands with the tasks that are not covered.
        """
        rooms = [m.room for m in machines if m.room is not None]
        rooms += [
            empty_room(m.machine_type, m.record.zone, m.record.spot, m.host)
            for m in machines
            if not (m.is_up and m.record.registered) and m.machine_type is not None and m.record.drain_reason is None
        ]
        self.waiting = self.long_waiting = 0
        uncovered = []
        for alike in _alike(demands):
            spec, avoids = alike[0].spec, alike[0].avoided_hosts
            open_to = [room for room in rooms if room.host not in avoids] if avoids else rooms
            # What will run on machines that boot counts for the zone rules, or all would be rented in one zone.
            placed = Counter(alike[0].placed)
            found = fill(spec, sum(demand.tasks for demand in alike), open_to, placed)
            left = 0
            for demand in alike:
                covered = min(found, demand.tasks)
                found -= covered
                left += demand.tasks - covered
                if demand.waited > self.tuning.long_wait:
                    self.long_waiting += demand.tasks - covered
            if left:
                self.waiting += left
                uncovered.append(replace(alike[0], tasks=left, placed=placed))
        return uncovered

    def _update_trigger(self, now: timedelta) -> None:
        high = self.waiting >= self.tuning.waiting_high or self.long_waiting >= self.tuning.long_waiting_high
        if not high:
            if self.trigger is not Trigger.LOW:
                self._become(Trigger.LOW, now)
                self._low_since = now
        elif self.trigger is Trigger.LOW:
            self._become(Trigger.RISING, now)
        if self.trigger is Trigger.RISING and now - self._since >= self.tuning.window:
            self._become(Trigger.HIGH, now)

    def _become(self, trigger: Trigger, now: timedelta) -> None:
        counts = (self.waiting, self.long_waiting)
        log.debug("trigger changed: trigger=%s waiting=%d long_waiting=%d", trigger.value, *counts)
        self.trigger = trigger
        self._since = now

    # Decisions.

    def step(
        self,
        now: timedelta,
        demands: list[Demand],
        machines: list[FleetMachine],
        machine_types: Iterable[MachineType],
        rebuilt: bool,
    ) -> ScalingPlan:
        """Decide what to rent and what to return.

        `demands` are the waiting tasks, the most urgent first. Until `rebuilt`, after a change of view, nothing is
        rented and no idle machine is returned.
        """
        plan = ScalingPlan()
        uncovered = self._count(demands, machines)
        self._update_trigger(now)
        self._drain_faulty(now, machines, plan)
        self._choose_idle_pool(now, machines)
        self._note_serving(now, machines)
        if rebuilt:
            if self.trigger is Trigger.HIGH:
                plan.rent = self._cheapest(now, uncovered, machine_types)
                plan.count = self._rental_count(plan.rent, uncovered, machine_types)
            elif self.trigger is Trigger.LOW and self._is_pool_short(machines):
                plan.rent, plan.count = self._pool_kind(now, machine_types), 1
            self._cool_down(now, machines, uncovered, plan)
            self._consolidate_services(now, machines, plan)
        return plan

    def _drain_faulty(self, now: timedelta, machines: list[FleetMachine], plan: ScalingPlan) -> None:
        """Let machines leave that never boot, are silent, fail their tasks or are about to be reclaimed."""
        failing = [machine.host for machine in machines if machine.accusing_jobs >= self.tuning.sick_jobs]
        self._accused_since = {host: self._accused_since.get(host, now) for host in failing}
        for machine in machines:
            leaving = machine.record.drain_reason
            reason = self._drain_reason(now, machine)
            if reason is not None and leaving in (None, "idle"):
                plan.drain[machine.host] = reason
                if reason == UNCONFIRMED:
                    # The cancellation is due: its return does not wait until the record is written.
                    plan.return_now.append(machine.host)
            elif leaving is not None:
                self._return_drained(machine, leaving, plan)

    def _drain_reason(self, now: timedelta, machine: FleetMachine) -> str | None:
        if machine.preempted_in is not None and machine.preempted_in < self._report / 2:
            return "taken"
        if machine.cloud_status == "failed" or not machine.is_listed:
            return "gone"
        if now - self._accused_since.get(machine.host, now) >= QUARANTINE_AFTER:
            return QUARANTINED
        if machine.holds_up_view:
            # Few are silent, and a new view waits for nothing else: the answer to their return settles them.
            return "silent"
        if machine.unconfirmed_for > self._prove:
            # It may only hang, and go on with a task whose cancellation is due: its return proves that gone.
            return UNCONFIRMED
        if machine.silent_for > self._lease * self.tuning.silent_leases:
            return self._silence_reason(machine)
        return "deaf" if machine.unreachable_for > self._lease * self.tuning.silent_leases else None

    def _silence_reason(self, machine: FleetMachine) -> str | None:
        """Silence counts from the start of the view at the earliest, as workers need a moment to find their owners."""
        boot = timedelta(seconds=machine.machine_type.boot_s) if machine.machine_type is not None else UNKNOWN_BOOT_TIME
        if machine.is_up or (machine.cloud_status == "running" and machine.age > boot):
            return "silent"
        return "never up" if machine.age > boot * self.tuning.boot_factor + BOOT_MARGIN else None

    def _return_drained(self, machine: FleetMachine, leaving: str, plan: ScalingPlan) -> None:
        dead = leaving in ("gone", "silent", "deaf", "never up", "taken", UNCONFIRMED)
        overdue = machine.unconfirmed_for > self._prove or machine.silent_for > self._lease * self.tuning.silent_leases
        if dead or machine.is_drained or overdue:
            plan.return_now.append(machine.host)
        elif leaving == "idle" and machine.tasks:
            plan.keep.append(machine.host)

    def _choose_idle_pool(self, now: timedelta, machines: list[FleetMachine]) -> None:
        """Choose the idle machines to keep: those that hold the images used most recently."""
        idle = {
            m.host: m
            for m in machines
            if m.is_up and not m.tasks and m.room is not None and m.record.drain_reason is None
        }
        ordinary = {host for host, machine in idle.items() if not machine.record.spot}
        self._idle_since = {host: self._idle_since.get(host, now) for host in idle}

        def worth(host: str) -> tuple[bool, int, float, str]:
            machine = idle[host]
            assert machine.room is not None
            images = sum(self._image_uses[image] for image in machine.room.images)
            price = machine.machine_type.price if machine.machine_type is not None else 0.0
            # Where all fails it may be the jobs' fault, but a machine that is not in doubt is the better one to keep.
            return (machine.consecutive_failures >= self.tuning.sick_jobs, -images, price, host)

        up = sum(m.is_up and m.record.drain_reason is None for m in machines)
        self.idle_pool_size = max(self.tuning.pool_size, round(up * self.tuning.pool_share))
        self.idle_pool = sorted(ordinary, key=worth)[: self.idle_pool_size]

    def _is_pool_short(self, machines: list[FleetMachine]) -> bool:
        booting = sum(not m.is_up and not m.record.spot and m.record.drain_reason is None for m in machines)
        return len(self.idle_pool) + booting < self.idle_pool_size

    def _cool_down(
        self, now: timedelta, machines: list[FleetMachine], uncovered: list[Demand], plan: ScalingPlan
    ) -> None:
        """Let machines leave that were idle for the cooldown, once the trigger has been quiet for as long.

        While it is not quiet, only those leave that no waiting task can use: a job that cannot be placed must not keep
        all others rented.
        """
        quiet = self.trigger is Trigger.LOW and now - self._low_since >= self.tuning.cooldown
        if self.trigger is Trigger.LOW and not quiet:
            return
        for machine in machines:
            since = self._idle_since.get(machine.host)
            if since is None or machine.host in self.idle_pool or now - since < self.tuning.cooldown:
                continue
            if machine.host not in plan.drain and (quiet or not _useful(machine, uncovered)):
                plan.drain[machine.host] = "idle"

    def _note_serving(self, now: timedelta, machines: list[FleetMachine]) -> None:
        """Note since when nothing new was started on the machines that run services only."""
        known, self._services_since = self._services_since, {}
        for machine in machines:
            if machine.services:
                job_ids = {spec.job_id for spec in machine.services}
                before, since = known.get(machine.host, (set(), now))
                self._services_since[machine.host] = (job_ids, since if job_ids <= before else now)

    def _consolidate_services(self, now: timedelta, machines: list[FleetMachine], plan: ScalingPlan) -> None:
        """Empty and return one machine that runs few services, at most every `gather`, while the trigger is quiet.

        Services end one by one and leave machines that run a few each and never become idle. Their services find room
        on machines of the same owner that run more of them, which are emptied last. A replica is down while it moves,
        so a machine is left alone when services use more than `thin_share` of it, or when something was just started
        there.
        """
        quiet = self.trigger is Trigger.LOW and now - self._low_since >= self.tuning.cooldown
        if not quiet or now - self._consolidated_at < self.tuning.gather:
            return
        if any(machine.record.drain_reason == UNDERUTILIZED for machine in machines):
            return
        serving = [m for m in machines if m.services and m.room is not None and m.host not in plan.drain]

        def thin(machine: FleetMachine) -> bool:
            most = machine.machine_type.cpus * self.tuning.thin_share if machine.machine_type is not None else 0.0
            still = now - self._services_since[machine.host][1] >= self.tuning.started
            return sum(spec.cpus for spec in machine.services) <= most and still

        def worth(machine: FleetMachine) -> tuple[float, str]:
            rate = machine.machine_type.price if machine.machine_type is not None else 0.0
            return -rate / sum(spec.cpus for spec in machine.services), machine.host

        for machine in sorted(filter(thin, serving), key=worth):
            cpus = sum(spec.cpus for spec in machine.services)
            rooms = [
                other.room.copy()
                for other in serving
                if other is not machine
                and other.room is not None
                and other.owner == machine.owner
                and sum(spec.cpus for spec in other.services) >= cpus
            ]
            if all(fill(spec, 1, rooms, Counter()) for spec in machine.services):
                self._consolidated_at = now
                plan.drain[machine.host] = UNDERUTILIZED
                return

    def _kinds(
        self, now: timedelta, machine_types: Iterable[MachineType]
    ) -> Iterable[tuple[MachineType, str, bool, float]]:
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot, price in ((True, machine_type.spot_price), (False, machine_type.price)):
                    if self._refusal_pauses.get((machine_type.name, zone, spot), (ZERO, ZERO))[0] <= now:
                        yield machine_type, zone, spot, price

    def _cheapest(
        self, now: timedelta, uncovered: list[Demand], machine_types: Iterable[MachineType]
    ) -> MachineKind | None:
        """Return the kind with the lowest price for the work that it would take, its boot included."""
        best: tuple[float, MachineKind] | None = None
        for machine_type, zone, spot, price in self._kinds(now, machine_types):
            room = empty_room(machine_type, zone, spot)
            boot = timedelta(seconds=machine_type.boot_s)
            work = 0.0
            for demand in uncovered:
                work += fill(demand.spec, demand.tasks, [room], Counter(demand.placed)) * self._weight(demand.spec)
            if work <= 0:
                continue
            cost = price * ((boot + self.tuning.horizon) / self.tuning.horizon) / work
            if best is None or cost < best[0]:
                best = (cost, (machine_type.name, zone, spot))
        return best[1] if best is not None else None

    def _rental_count(
        self, kind: MachineKind | None, uncovered: list[Demand], machine_types: Iterable[MachineType]
    ) -> int:
        """Return how many machines of the kind to rent in this step.

        One is the rule; while the waiting tasks would fill more, as they do with hundreds of machines, a step rents
        several, up to `step_most`.
        """
        machine_type = next((one for one in machine_types if kind is not None and one.name == kind[0]), None)
        if kind is None or machine_type is None:
            return 0
        # What earlier machines of the step would take counts for the zone rules of the later ones.
        left = [replace(demand, placed=Counter(demand.placed)) for demand in uncovered]
        for count in range(self.tuning.step_most):
            room = empty_room(machine_type, kind[1], kind[2])
            taken = 0
            for demand in left:
                found = fill(demand.spec, demand.tasks, [room], demand.placed)
                demand.tasks -= found
                taken += found
            if not taken:
                return count
        return self.tuning.step_most

    @staticmethod
    def _weight(spec: JobSpec) -> float:
        """Return a task's weight when the prices of kinds are compared: its CPUs, GPUs and memory as CPUs."""
        return spec.cpus + spec.gpus * GPU_WEIGHT + spec.ram_gb * RAM_GB_WEIGHT

    def _pool_kind(self, now: timedelta, machine_types: Iterable[MachineType]) -> MachineKind | None:
        """Return the cheapest kind that is not spot, for the idle pool; None when none can be had."""
        kinds = [
            (price, (machine_type.name, zone, spot))
            for machine_type, zone, spot, price in self._kinds(now, machine_types)
            if not spot
        ]
        return min(kinds)[1] if kinds else None


def _useful(machine: FleetMachine, demands: list[Demand]) -> bool:
    """Tell whether a waiting task could run on the machine, were its room not kept for others."""
    if machine.machine_type is None:
        return False
    record = machine.record
    return any(
        machine.host not in demand.avoided_hosts
        and fill(
            demand.spec,
            1,
            [empty_room(machine.machine_type, record.zone, record.spot, machine.host)],
            Counter(demand.placed),
        )
        for demand in demands
    )


def _alike(demands: list[Demand]) -> Iterable[list[Demand]]:
    """Group demands that the same rooms can serve; jobs with zone rules are each a group of their own."""
    groups: dict[Any, list[Demand]] = {}
    for demand in demands:
        own = demand.spec.job_id if demand.spec.single_zone or demand.spec.spread_zones else None
        groups.setdefault((needs(demand.spec), own, demand.avoided_hosts), []).append(demand)
    return groups.values()
