"""What a step of the autoscaler is given, and what it returns."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.state.records import MachineRecord

__all__ = [
    "DEAD_REASONS",
    "GONE",
    "IDLE",
    "NEVER_UP",
    "PREEMPTED",
    "QUARANTINED",
    "SILENT",
    "UNCONFIRMED",
    "UNDERUTILIZED",
    "UNREACHABLE",
    "Demand",
    "FleetMachine",
    "MachineKind",
    "ScalingPlan",
]

NO_TIME = timedelta(0)

# Why machines drain, as the fleet record, the status and the log say.
GONE = "gone"
IDLE = "idle"
NEVER_UP = "never up"
PREEMPTED = "taken"
QUARANTINED = "sick"
SILENT = "silent"
UNCONFIRMED = "unproven"
UNDERUTILIZED = "thin"
UNREACHABLE = "deaf"
#: Nothing that runs there is waited for.
DEAD_REASONS = frozenset({GONE, SILENT, UNREACHABLE, NEVER_UP, PREEMPTED, UNCONFIRMED})


class MachineKind(NamedTuple):
    """What can be rented: a machine type in a zone, as a spot instance or not."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class FleetMachine:
    """What the leader knows of a rented machine.

    Attributes
    ----------
    age
        How long ago it was requested.
    silent_for, unreachable_for
        For how long its owner has heard nothing of it, or our replies have not reached it; zero if that is not so.
    preempted_in
        The time until the cloud takes it back; None without a notice.
    accusing_jobs
        Jobs that failed there and do well elsewhere.
    consecutive_failures
        Jobs that failed there with nothing done since, whosever fault it was.
    unconfirmed_for
        How long a task of a job that is over may have been there with no heartbeat to show it gone.
    room
        What is free there; None if it takes no tasks.
    is_drained
        Whether it drains and runs nothing any more.
    cloud_status
        The status in the cloud's list; None if that does not show it.
    is_listed
        False if the cloud's list proves it gone.
    holds_up_view
        Whether a new view waits for it and is better off without it.
    services
        What runs there, when that is services only.
    """

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
    unreachable_for: timedelta = NO_TIME
    unconfirmed_for: timedelta = NO_TIME
    holds_up_view: bool = False
    owner: str = ""
    consecutive_failures: int = 0
    services: list[JobSpec] = field(default_factory=list)

    @property
    def is_draining(self) -> bool:
        """Whether the fleet record has a drain reason."""
        return self.record.drain_reason is not None

    @property
    def is_booting(self) -> bool:
        """Whether it was rented and nothing can have been started on it yet."""
        return not (self.is_up and self.record.registered)

    @property
    def price(self) -> float:
        """The price of its type per hour; 0 for a type that the cloud does not name any more."""
        return self.machine_type.price if self.machine_type is not None else 0.0

    @property
    def service_cpus(self) -> float:
        """The CPUs that its services hold."""
        return sum(spec.cpus for spec in self.services)


@dataclass(slots=True)
class Demand:
    """Tasks of one job that wait and that its team's limit lets run.

    `placed`: how many tasks of the job run in each zone. `avoided_hosts`: machines whose room does not count for it.
    """

    spec: JobSpec
    tasks: int
    waited: timedelta
    placed: Counter[str]
    avoided_hosts: frozenset[str] = frozenset()


@dataclass(slots=True)
class ScalingPlan:
    """What one step decided.

    Attributes
    ----------
    rent, count
        The kind of machines to rent, None for none, and how many.
    drain
        Machines to drain, each with the reason.
    keep
        Machines that drained as idle and stay after all.
    return_now
        Machines to return to the cloud.
    """

    rent: MachineKind | None = None
    count: int = 0
    drain: dict[str, str] = field(default_factory=dict)
    keep: list[str] = field(default_factory=list)
    return_now: list[str] = field(default_factory=list)
