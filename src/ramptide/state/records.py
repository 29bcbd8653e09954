"""The records of jobs, machines and rentals in the state service."""

import base64
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import msgspec

from ramptide.protocol.jobs import MAX_TASKS, JobSpec
from ramptide.protocol.types import Count, Timestamp

JOB_PREFIX = "live/job/"
FINISHED_PREFIX = "ended/"
RENTAL_PREFIX = "live/rental/"
MACHINE_TYPES_KEY = "live/flavors"
SETTINGS_KEY = "live/settings"
LIMIT_PREFIX = "live/quota/"

#: How far beyond the lowest task that is not done a task may start; it bounds the size of a job's record.
PROGRESS_WINDOW = 8192


class Progress:
    """The set of a job's done tasks: all below `low`, and those whose bit is set above it.

    No task at or past `low + PROGRESS_WINDOW` may start, so the encoded set fits into a value of the state service
    however many tasks the job has.
    """

    __slots__ = ("low", "bits", "count")

    def __init__(self, low: int = 0, bits: int = 0) -> None:
        self.low = low
        self.bits = bits
        self.count = low + bits.bit_count()

    def __contains__(self, task: int) -> bool:
        """Tell whether a task is done."""
        return task < self.low or bool(self.bits >> (task - self.low) & 1)

    def add(self, task: int) -> bool:
        """Add a task; return False if it was in the set already."""
        if task in self:
            return False
        self.bits |= 1 << (task - self.low)
        self.count += 1
        trailing_ones = (~self.bits & (self.bits + 1)).bit_length() - 1
        self.bits >>= trailing_ones
        self.low += trailing_ones
        return True

    def encode(self) -> list[Any]:
        """Return the set as a value of a record."""
        raw = self.bits.to_bytes((self.bits.bit_length() + 7) // 8, "little")
        return [self.low, base64.b64encode(raw).decode("ascii")]

    @classmethod
    def decode(cls, value: list[Any]) -> "Progress":
        """Return the set that `encode` made a value of.

        Raises
        ------
        msgspec.ValidationError, ValueError
            If the value cannot have been made by `encode`.
        """
        low, bits = msgspec.convert(value, tuple[Count, str])
        raw = base64.b64decode(bits, validate=True)
        if low > MAX_TASKS or len(raw) > PROGRESS_WINDOW // 8:
            raise ValueError("more done tasks than a job can have")
        return cls(low, int.from_bytes(raw, "little"))


class Handover(msgspec.Struct, array_like=True, frozen=True):
    """The last message of the controller that had a job before, when it changed hands within a view.

    The new one waits until every owner of machines has processed this message, and so reports all that the old one
    had asked for.
    """

    view: int
    member: str
    sequence_number: int


class JobRecord(
    msgspec.Struct,
    rename={
        "spec": "run",
        "scheduler": "home",
        "created_in_view": "born",
        "submitted_timestamp": "at",
        "progress": "done",
        "handover": "hand",
    },
):
    """A job that is not over."""

    spec: JobSpec
    scheduler: str
    created_in_view: int
    submitted_timestamp: Timestamp
    progress: list[Any]
    handover: Handover | None = None

    @property
    def submitted_at(self) -> datetime:
        """The wall-clock time of the submission."""
        return datetime.fromtimestamp(self.submitted_timestamp, UTC)


class FinishedJobRecord(msgspec.Struct, rename={"task_count": "pieces", "done_count": "done"}):
    """What remains of a job that is over."""

    status: str
    task_count: int
    done_count: int


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """A rented machine.

    Attributes
    ----------
    born
        The view that recorded the machine; no older view can have started anything on it.
    opened
        Whether the first report of its worker has been recorded. Nothing is started before, so a change of view need
        not wait for machines that boot.
    leaving
        Why the machine is to be returned, if it is.
    rental
        The name of its rental.
    """

    machine_type: str
    zone: str
    spot: bool
    created_in_view: int
    requested_timestamp: float
    drain_reason: str | None = None
    registered: bool = False
    rental_id: str = ""

    def is_unused_before(self, view: int) -> bool:
        """Tell whether no view before `view` can have started anything on the machine."""
        return self.created_in_view == view or not self.registered


class RentedMachine(msgspec.Struct, array_like=True, frozen=True):
    """The part of a machine's record that changes while it is rented."""

    registered: bool = False
    drain_reason: str | None = None


class RentalRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "machine_type": "flavor",
        "zone": "yard",
        "requested_timestamp": "at",
        "created_in_view": "born",
        "machines": "hosts",
    },
):
    """A rental, kept under its unique name.

    It is written without `machines` before the cloud is called, and with them once the cloud has answered. The machines
    of one rental share a record, so that hundreds of them need few changes.
    """

    machine_type: str
    zone: str
    spot: bool
    requested_timestamp: Timestamp
    count: int = 1
    created_in_view: int = 0
    machines: dict[str, RentedMachine] | None = None

    def machine_records(self, name: str) -> dict[str, MachineRecord]:
        """Return the records of the rental's machines; `name` is the rental's."""
        return {
            host: MachineRecord(
                machine_type=self.machine_type,
                zone=self.zone,
                spot=self.spot,
                created_in_view=self.created_in_view,
                requested_timestamp=self.requested_timestamp,
                drain_reason=record.drain_reason,
                registered=record.registered,
                rental_id=name,
            )
            for host, record in (self.machines or {}).items()
        }


def to_value(record: msgspec.Struct) -> Any:
    """Return a record as a value that the state service stores."""
    return msgspec.to_builtins(record)
