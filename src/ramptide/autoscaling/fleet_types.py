"""The types of the arguments and of the result of a step of the autoscaler."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.state.records import MachineRecord

__all__ = [
    "GONE",
    "IDLE",
    "IMMEDIATE_RETURN_REASONS",
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

# Reasons for draining a machine, as they stand in the fleet record, the status and the log.
GONE = "gone"
IDLE = "idle"
NEVER_UP = "never up"
PREEMPTED = "taken"
QUARANTINED = "sick"
SILENT = "silent"
UNCONFIRMED = "unproven"
UNDERUTILIZED = "thin"
UNREACHABLE = "deaf"
#: Reasons for which a machine is returned without waiting for its tasks.
IMMEDIATE_RETURN_REASONS = frozenset({GONE, SILENT, UNREACHABLE, NEVER_UP, PREEMPTED, UNCONFIRMED})


class MachineKind(NamedTuple):
    """A kind of machine that can be rented: a machine type in a zone, as a spot instance or not."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class FleetMachine:
    """The leader's knowledge of a rented machine.

    Attributes
    ----------
    age
        How long ago it was requested.
    silent_for, unreachable_for
        For how long its owner has received no heartbeat from it, or its owner's replies have not reached it; else zero.
    preempted_in
        The time until the cloud preempts it; None without a preemption notice.
    fault_indicating_job_count
        The number of jobs that failed there and succeed or run elsewhere.
    task_count
        The number of its active tasks in its owner's report, plus the attempts there of the leader's own scheduler.
    consecutive_failures
        The number of different jobs that failed there with no success since, whether the machine or the jobs are at
        fault.
    unconfirmed_for
        How long a task of a finished job may have been there without a heartbeat that shows it gone.
    room
        Its free room; None if it accepts no tasks.
    is_drained
        Whether it is draining and runs nothing any more.
    cloud_status
        Its status in the cloud's list; None if the list does not show it.
    is_listed
        False if the cloud's list proves it gone.
    blocks_reconciliation
        Whether a new view waits for it to be reconciled, and it is to be returned instead.
    services
        The specifications of the services there; empty if other tasks run there as well.
    """

    host: str
    record: MachineRecord
    machine_type: MachineType | None
    is_up: bool
    age: timedelta
    silent_for: timedelta
    preempted_in: timedelta | None
    fault_indicating_job_count: int
    task_count: int
    room: Room | None
    is_drained: bool
    cloud_status: str | None = None
    is_listed: bool = True
    unreachable_for: timedelta = NO_TIME
    unconfirmed_for: timedelta = NO_TIME
    blocks_reconciliation: bool = False
    owner: str = ""
    consecutive_failures: int = 0
    services: list[JobSpec] = field(default_factory=list)

    @property
    def is_draining(self) -> bool:
        """Whether the fleet record has a drain reason."""
        return self.record.drain_reason is not None

    @property
    def is_booting(self) -> bool:
        """Whether the machine was rented and no task can have been started on it yet."""
        return not (self.is_up and self.record.registered)

    @property
    def price(self) -> float:
        """The price of its type per hour; 0 for a type that the cloud no longer lists."""
        return self.machine_type.price if self.machine_type is not None else 0.0

    @property
    def service_cpus(self) -> float:
        """The number of CPUs that its services hold."""
        return sum(spec.cpus for spec in self.services)


@dataclass(slots=True)
class Demand:
    """Waiting tasks of one job that its team's limit lets run.

    Attributes
    ----------
    task_count
        The number of these tasks.
    waited
        How long they have waited.
    placed
        The number of the job's tasks in each zone.
    avoided_hosts
        Machines whose room does not count for the job.
    """

    spec: JobSpec
    task_count: int
    waited: timedelta
    placed: Counter[str]
    avoided_hosts: frozenset[str] = frozenset()


@dataclass(slots=True)
class ScalingPlan:
    """The decisions of one step.

    Attributes
    ----------
    rent, count
        The kind of machine to rent, or None, and the number of machines.
    drain
        Machines to drain, each with the reason.
    keep
        Machines that were draining as idle and are kept after all.
    return_now
        Machines to return to the cloud.
    """

    rent: MachineKind | None = None
    count: int = 0
    drain: dict[str, str] = field(default_factory=dict)
    keep: list[str] = field(default_factory=list)
    return_now: list[str] = field(default_factory=list)
