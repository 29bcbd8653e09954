"""The leader's fleet: the two counts and their window, one rental per step, the idle pool, the cooldown.

Pure: `Fleet.step` is given what is known and says what to rent and what to return.
"""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum, auto
from typing import Any

from ramptide.placement import Room, empty_room, fill, needs
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.records import MachineRecord
from ramptide.settings import Tuning

log = logging.getLogger(__name__)

ZERO = timedelta(0)
REFUSED_FIRST = timedelta(seconds=5)
REFUSED_MOST = timedelta(seconds=40)
THIN = "thin"
SICK = "sick"
UNPROVEN = "unproven"
#: For a machine whose type the cloud does not name any more.
UNKNOWN_BOOT_TIME = timedelta(minutes=1)
#: Added to the longest boot time that is waited for.
BOOT_MARGIN = timedelta(seconds=20)
#: What speaks against a machine must hold so long: a job that runs elsewhere may yet fail there too.
SICK_AFTER = timedelta(seconds=10)

# A card is worth about a dozen cores, and a GB a fiftieth of one; only the order of magnitude matters.
GPU_WEIGHT, RAM_GB_WEIGHT = 12.0, 0.02

MachineKind = tuple[str, str, bool]


@dataclass(slots=True)
class Machine:
    """What the leader knows of a rented machine."""

    host: str
    record: MachineRecord
    machine_type: MachineType | None
    up: bool
    age: timedelta
    silent: timedelta
    notice: timedelta | None
    failing: int
    tasks: int
    room: Room | None
    drained: bool
    listed: str | None = None
    known: bool = True
    deaf: timedelta = ZERO
    #: How long a task of a job that is over may have been there with no report to show it gone.
    unproven: timedelta = ZERO
    holds_up: bool = False
    owner: str = ""
    #: Jobs that failed there with nothing done since, whosever fault it was.
    failed: int = 0
    #: What runs here, when that is services only.
    serving: list[JobSpec] = field(default_factory=list)


@dataclass(slots=True)
class Demand:
    """Tasks of one job that wait and that its team's limit lets run."""

    spec: JobSpec
    tasks: int
    waited: timedelta
    placed: Counter[str]
    #: Machines whose room does not count for it.
    avoids: frozenset[str] = frozenset()


class Trigger(Enum):
    """Whether so many tasks wait that machines are rented: no, not for long enough yet, or yes."""

    QUIET = auto()
    RISING = auto()
    HIGH = auto()


@dataclass(slots=True)
class Plan:
    """What one step decided.

    Machines of kind `rent` to rent (None: none) and their `count`, machines that are to leave with the reason, that
    stay after all, and that are returned to the cloud.
    """

    rent: MachineKind | None = None
    count: int = 0
    leave: dict[str, str] = field(default_factory=dict)
    stay: list[str] = field(default_factory=list)
    give_back: list[str] = field(default_factory=list)


class Fleet:
    """Decides in steps which machines to rent, to keep idle and to return."""

    def __init__(self, tuning: Tuning, report: timedelta, lease: timedelta, prove: timedelta) -> None:
        self.tuning = tuning
        self._report = report
        self._lease = lease
        self._prove = prove
        self.trigger = Trigger.QUIET
        self._since = ZERO
        self._quiet_since = ZERO
        self._idle_since: dict[str, timedelta] = {}
        self._failing_since: dict[str, timedelta] = {}
        self._serving_since: dict[str, tuple[set[str], timedelta]] = {}
        self._gathered_at = ZERO
        self._refused: dict[MachineKind, tuple[timedelta, timedelta]] = {}
        self._popular: Counter[str] = Counter()
        self.waiting = 0
        self.long_waiting = 0
        self.pool: list[str] = []
        self.pool_wanted = 0

    # Signals.

    def refused(self, kind: MachineKind, now: timedelta) -> None:
        """Note that there was no capacity: the kind is not tried for a while, longer after each refusal."""
        pause = min(self._refused.get(kind, (ZERO, REFUSED_FIRST / 2))[1] * 2, REFUSED_MOST)
        self._refused[kind] = (now + pause, pause)

    def rented(self, kind: MachineKind) -> None:
        """Note that machines of the kind could be rented, which ends the pause after refusals."""
        self._refused.pop(kind, None)

    def used(self, image: str) -> None:
        """Count a use of an image; old uses lose weight as new ones come."""
        self._popular[image] += 1
        if sum(self._popular.values()) > 400:
            self._popular = Counter({name: count // 2 for name, count in self._popular.items() if count > 1})

    def _count(self, demands: list[Demand], machines: list[Machine]) -> list[Demand]:
        """Count the waiting tasks that fit neither free room nor booting machines, and those that wait long.

        Returns the demands with the tasks that are not covered.
        """
        rooms = [m.room for m in machines if m.room is not None]
        rooms += [
            empty_room(m.machine_type, m.record.zone, m.record.spot, m.host)
            for m in machines
            if not (m.up and m.record.registered) and m.machine_type is not None and m.record.drain_reason is None
        ]
        self.waiting = self.long_waiting = 0
        uncovered = []
        for alike in _alike(demands):
            spec, avoids = alike[0].spec, alike[0].avoids
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

    def _watch(self, now: timedelta) -> None:
        high = self.waiting >= self.tuning.waiting_high or self.long_waiting >= self.tuning.long_waiting_high
        if not high:
            if self.trigger is not Trigger.QUIET:
                self._become(Trigger.QUIET, now)
                self._quiet_since = now
        elif self.trigger is Trigger.QUIET:
            self._become(Trigger.RISING, now)
        if self.trigger is Trigger.RISING and now - self._since >= self.tuning.window:
            self._become(Trigger.HIGH, now)

    def _become(self, trigger: Trigger, now: timedelta) -> None:
        log.debug("trigger %s: %d wait, %d for long", trigger.name.lower(), self.waiting, self.long_waiting)
        self.trigger = trigger
        self._since = now

    # Decisions.

    def step(
        self,
        now: timedelta,
        demands: list[Demand],
        machines: list[Machine],
        machine_types: Iterable[MachineType],
        rebuilt: bool,
    ) -> Plan:
        """Decide what to rent and what to return.

        `demands` are the waiting tasks, the most urgent first. Until `rebuilt`, after a change of view, nothing is
        rented and no idle machine is returned.
        """
        plan = Plan()
        uncovered = self._count(demands, machines)
        self._watch(now)
        self._mind(now, machines, plan)
        self._keep_pool(now, machines)
        self._note_serving(now, machines)
        if rebuilt:
            if self.trigger is Trigger.HIGH:
                plan.rent = self._cheapest(now, uncovered, machine_types)
                plan.count = self._how_many(plan.rent, uncovered, machine_types)
            elif self.trigger is Trigger.QUIET and self._pool_short(machines):
                plan.rent, plan.count = self._pool_kind(now, machine_types), 1
            self._cool_down(now, machines, uncovered, plan)
            self._gather(now, machines, plan)
        return plan

    def _mind(self, now: timedelta, machines: list[Machine], plan: Plan) -> None:
        """Let machines leave that never boot, are silent, fail their tasks or are about to be reclaimed."""
        failing = [machine.host for machine in machines if machine.failing >= self.tuning.sick_jobs]
        self._failing_since = {host: self._failing_since.get(host, now) for host in failing}
        for machine in machines:
            leaving = machine.record.drain_reason
            reason = self._reason_to_leave(now, machine)
            if reason is not None and leaving in (None, "idle"):
                plan.leave[machine.host] = reason
                if reason == UNPROVEN:
                    # The cancellation is due: its return does not wait until the record is written.
                    plan.give_back.append(machine.host)
            elif leaving is not None:
                self._see_off(machine, leaving, plan)

    def _reason_to_leave(self, now: timedelta, machine: Machine) -> str | None:
        if machine.notice is not None and machine.notice < self._report / 2:
            return "taken"
        if machine.listed == "failed" or not machine.known:
            return "gone"
        if now - self._failing_since.get(machine.host, now) >= SICK_AFTER:
            return SICK
        if machine.holds_up:
            # Few are silent, and a new view waits for nothing else: the answer to their return settles them.
            return "silent"
        if machine.unproven > self._prove:
            # It may only hang, and go on with a task whose cancellation is due: its return proves that gone.
            return UNPROVEN
        if machine.silent > self._lease * self.tuning.silent_leases:
            return self._reason_of_silence(machine)
        return "deaf" if machine.deaf > self._lease * self.tuning.silent_leases else None

    def _reason_of_silence(self, machine: Machine) -> str | None:
        """Silence counts from the start of the view at the earliest, as workers need a moment to find their owners."""
        boot = timedelta(seconds=machine.machine_type.boot_s) if machine.machine_type is not None else UNKNOWN_BOOT_TIME
        if machine.up or machine.listed == "running" and machine.age > boot:
            return "silent"
        return "never up" if machine.age > boot * self.tuning.boot_factor + BOOT_MARGIN else None

    def _see_off(self, machine: Machine, leaving: str, plan: Plan) -> None:
        dead = leaving in ("gone", "silent", "deaf", "never up", "taken", UNPROVEN)
        overdue = machine.unproven > self._prove or machine.silent > self._lease * self.tuning.silent_leases
        if dead or machine.drained or overdue:
            plan.give_back.append(machine.host)
        elif leaving == "idle" and machine.tasks:
            plan.stay.append(machine.host)

    def _keep_pool(self, now: timedelta, machines: list[Machine]) -> None:
        """Choose the idle machines to keep: those that hold the images used most recently."""
        idle = {
            m.host: m for m in machines if m.up and not m.tasks and m.room is not None and m.record.drain_reason is None
        }
        ordinary = {host for host, machine in idle.items() if not machine.record.spot}
        self._idle_since = {host: self._idle_since.get(host, now) for host in idle}

        def worth(host: str) -> tuple[bool, int, float, str]:
            machine = idle[host]
            assert machine.room is not None
            images = sum(self._popular[image] for image in machine.room.images)
            price = machine.machine_type.price if machine.machine_type is not None else 0.0
            # Where all fails it may be the jobs' fault, but a machine that is not in doubt is the better one to keep.
            return (machine.failed >= self.tuning.sick_jobs, -images, price, host)

        up = sum(m.up and m.record.drain_reason is None for m in machines)
        self.pool_wanted = max(self.tuning.pool_size, round(up * self.tuning.pool_share))
        self.pool = sorted(ordinary, key=worth)[: self.pool_wanted]

    def _pool_short(self, machines: list[Machine]) -> bool:
        booting = sum(not m.up and not m.record.spot and m.record.drain_reason is None for m in machines)
        return len(self.pool) + booting < self.pool_wanted

    def _cool_down(self, now: timedelta, machines: list[Machine], uncovered: list[Demand], plan: Plan) -> None:
        """Let machines leave that were idle for the cooldown, once the trigger has been quiet for as long.

        While it is not quiet, only those leave that no waiting task can use: a job that cannot be placed must not keep
        all others rented.
        """
        quiet = self.trigger is Trigger.QUIET and now - self._quiet_since >= self.tuning.cooldown
        if self.trigger is Trigger.QUIET and not quiet:
            return
        for machine in machines:
            since = self._idle_since.get(machine.host)
            if since is None or machine.host in self.pool or now - since < self.tuning.cooldown:
                continue
            if machine.host not in plan.leave and (quiet or not _useful(machine, uncovered)):
                plan.leave[machine.host] = "idle"

    def _note_serving(self, now: timedelta, machines: list[Machine]) -> None:
        """Note since when nothing new was started on the machines that run services only."""
        known, self._serving_since = self._serving_since, {}
        for machine in machines:
            if machine.serving:
                job_ids = {spec.job_id for spec in machine.serving}
                before, since = known.get(machine.host, (set(), now))
                self._serving_since[machine.host] = (job_ids, since if job_ids <= before else now)

    def _gather(self, now: timedelta, machines: list[Machine], plan: Plan) -> None:
        """Empty and return one machine that runs few services, at most every `gather`, while the trigger is quiet.

        Services end one by one and leave machines that run a few each and never become idle. Their services find room
        on machines of the same owner that run more of them, which are emptied last. A replica is down while it moves,
        so a machine is left alone when services use more than `thin_share` of it, or when something was just started
        there.
        """
        quiet = self.trigger is Trigger.QUIET and now - self._quiet_since >= self.tuning.cooldown
        if not quiet or now - self._gathered_at < self.tuning.gather:
            return
        if any(machine.record.drain_reason == THIN for machine in machines):
            return
        serving = [m for m in machines if m.serving and m.room is not None and m.host not in plan.leave]

        def thin(machine: Machine) -> bool:
            most = machine.machine_type.cpus * self.tuning.thin_share if machine.machine_type is not None else 0.0
            still = now - self._serving_since[machine.host][1] >= self.tuning.started
            return sum(spec.cpus for spec in machine.serving) <= most and still

        def worth(machine: Machine) -> tuple[float, str]:
            rate = machine.machine_type.price if machine.machine_type is not None else 0.0
            return -rate / sum(spec.cpus for spec in machine.serving), machine.host

        for machine in sorted(filter(thin, serving), key=worth):
            cpus = sum(spec.cpus for spec in machine.serving)
            rooms = [
                other.room.copy()
                for other in serving
                if other is not machine
                and other.room is not None
                and other.owner == machine.owner
                and sum(spec.cpus for spec in other.serving) >= cpus
            ]
            if all(fill(spec, 1, rooms, Counter()) for spec in machine.serving):
                self._gathered_at = now
                plan.leave[machine.host] = THIN
                return

    def _kinds(
        self, now: timedelta, machine_types: Iterable[MachineType]
    ) -> Iterable[tuple[MachineType, str, bool, float]]:
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot, price in ((True, machine_type.spot_price), (False, machine_type.price)):
                    if self._refused.get((machine_type.name, zone, spot), (ZERO, ZERO))[0] <= now:
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

    def _how_many(self, kind: MachineKind | None, uncovered: list[Demand], machine_types: Iterable[MachineType]) -> int:
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


def _useful(machine: Machine, demands: list[Demand]) -> bool:
    """Tell whether a waiting task could run on the machine, were its room not kept for others."""
    if machine.machine_type is None:
        return False
    record = machine.record
    return any(
        machine.host not in demand.avoids
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
        groups.setdefault((needs(demand.spec), own, demand.avoids), []).append(demand)
    return groups.values()
