"""The records of jobs, machines and rentals in the key-value store.

Older and newer controllers share the format of the records. `rename=` maps each field to its name in the stored form.
"""

import base64
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, TypeVar

import msgspec

from ramptide.protocol.jobs import MAX_TASKS, JobSpec
from ramptide.protocol.types import Count, Timestamp

__all__ = [
    "FINISHED_PREFIX",
    "JOB_PREFIX",
    "LIMIT_PREFIX",
    "MACHINE_TYPES_KEY",
    "PROGRESS_WINDOW_TASKS",
    "RENTAL_PREFIX",
    "SETTINGS_KEY",
    "FinishedJobRecord",
    "Handover",
    "JobRecord",
    "MachineRecord",
    "Progress",
    "RecordError",
    "RentalRecord",
    "RentedMachine",
    "from_value",
    "to_value",
]

Record = TypeVar("Record", bound=msgspec.Struct)

JOB_PREFIX = "live/job/"
FINISHED_PREFIX = "ended/"
RENTAL_PREFIX = "live/rental/"
MACHINE_TYPES_KEY = "live/flavors"
SETTINGS_KEY = "live/settings"
LIMIT_PREFIX = "live/quota/"

#: Only tasks less than this many beyond the lowest task that is not completed may start, and only their results are
#: newly recorded, which bounds the size of a job's record.
PROGRESS_WINDOW_TASKS = 8192


class RecordError(ValueError):
    """A stored value is not a record of the expected kind; the text of the error names the field."""


class Progress:
    """The set of a job's completed tasks: all tasks below `low`, and those from `low` on whose bit is set.

    No task at or past `low + PROGRESS_WINDOW_TASKS` may start, but tasks further ahead may be completed all the same:
    the previous scheduler may have started them when `low` was greater, and results before them may have been lost.
    Hence `recordable` bounds what is written, so that the encoded set fits into a value of the key-value store however
    many tasks the job has. `decode` reads each set that a job can have, as records of earlier versions may be wider.

    Attributes
    ----------
    low
        The lowest task index that is not in the set.
    bits
        A bit mask in which bit n stands for the task `low + n`.
    count
        The number of tasks in the set.
    """

    __slots__ = ("bits", "count", "low")

    def __init__(self, low: int = 0, bits: int = 0) -> None:
        self.low = low
        self.bits = bits
        self.count = low + bits.bit_count()

    def __contains__(self, task_index: int) -> bool:
        """Return whether a task is completed."""
        return task_index < self.low or bool(self.bits >> (task_index - self.low) & 1)

    def copy(self) -> "Progress":
        """Return an independent copy of the set."""
        return Progress(self.low, self.bits)

    def add(self, task_index: int) -> bool:
        """Add a task, and return whether it was not in the set before."""
        if task_index in self:
            return False
        self.bits |= 1 << (task_index - self.low)
        self.count += 1
        self._raise_low()
        return True

    def update(self, other: "Progress") -> None:
        """Add all tasks of another set."""
        low = max(self.low, other.low)
        self.bits = (self.bits >> (low - self.low)) | (other.bits >> (low - other.low))
        self.low = low
        self.count = low + self.bits.bit_count()
        self._raise_low()

    def _raise_low(self) -> None:
        """Raise `low` past the tasks from it on that are in the set."""
        trailing_ones = (~self.bits & (self.bits + 1)).bit_length() - 1
        self.bits >>= trailing_ones
        self.low += trailing_ones

    def recordable(self, recorded: "Progress") -> "Progress":
        """Return the part of the set that may be recorded now: what is recorded already, and the tasks in the window.

        What is left out is recorded once the tasks before it are completed; the agents keep these results until then.
        """
        window = (1 << PROGRESS_WINDOW_TASKS) - 1
        part = Progress(self.low, self.bits & window)
        part.update(recorded)
        return part

    def encode(self) -> list[Any]:
        """Return the set in the form in which records store it."""
        raw = self.bits.to_bytes((self.bits.bit_length() + 7) // 8, "little")
        return [self.low, base64.b64encode(raw).decode("ascii")]

    @classmethod
    def decode(cls, value: list[Any]) -> "Progress":
        """Return the set from the form that `encode` returns.

        Raises
        ------
        RecordError
            If the value is not of the form that `encode` returns, or names tasks that no job can have.
        """
        try:
            low, encoded_bits = msgspec.convert(value, tuple[Count, str])
            raw = base64.b64decode(encoded_bits, validate=True)
        except (msgspec.ValidationError, ValueError) as error:
            raise RecordError(str(error)) from error
        bits = int.from_bytes(raw, "little")
        if low + bits.bit_length() > MAX_TASKS:
            raise RecordError("more done tasks than a job can have")
        return cls(low, bits)


class Handover(msgspec.Struct, array_like=True, frozen=True):
    """The last message of a job's former scheduler, after the scheduler of the job has changed within a view.

    The new scheduler waits until every owner of machines has processed this message, so that the owners report all
    tasks for which the former scheduler had asked.

    Attributes
    ----------
    view
        The number of the view.
    member
        The former scheduler.
    sequence_number
        The sequence number of that message to the other controllers.
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
    """The record of an unfinished job.

    Attributes
    ----------
    spec
        The job's description.
    scheduler
        The member that places the job's tasks.
    created_in_view
        The number of the view in which the job was submitted.
    submitted_timestamp
        The time of the submission, in seconds since the Unix epoch.
    progress
        The completed tasks, as `Progress.encode` returns them.
    handover
        The last message of the former scheduler, if the scheduler has changed within a view; otherwise None.
    """

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
    """The record of a finished job: its final status, its number of tasks, and how many of them were completed."""

    status: str
    task_count: int
    done_count: int


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """The record of a rented machine.

    Attributes
    ----------
    machine_type, zone, spot
        The name of its machine type, its zone, and whether it is a spot instance.
    created_in_view
        The number of the view that recorded the machine; no earlier view can have started a task on it.
    requested_timestamp
        When it was requested from the cloud, in seconds since the Unix epoch.
    drain_reason
        Why the machine is being drained before it is returned to the cloud; None if it is not.
    registered
        Whether the first heartbeat of its agent has been recorded. No task is started before that, so that a change of
        view need not wait for machines that are booting.
    rental_id
        The id of its rental.
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
        """Return whether no view before `view` can have started a task on the machine."""
        return self.created_in_view == view or not self.registered


class RentedMachine(msgspec.Struct, array_like=True, frozen=True):
    """The part of a machine's record that changes while the machine is rented."""

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
    """The record of a rental, whose key ends in the unique id of the rental.

    The record is written without `machines` before the cloud is called, and with them after the cloud has answered. The
    machines of a rental share one record, so that hundreds of machines need only a few changes.

    Attributes
    ----------
    machine_type, zone, spot, count
        What was requested from the cloud.
    requested_timestamp
        When it was requested, in seconds since the Unix epoch.
    created_in_view
        The number of the view that recorded the machines; 0 before they are recorded.
    machines
        The rented machines by host; None before the cloud has answered.
    """

    machine_type: str
    zone: str
    spot: bool
    requested_timestamp: Timestamp
    count: int = 1
    created_in_view: int = 0
    machines: dict[str, RentedMachine] | None = None

    def machine_records(self, rental_id: str) -> dict[str, MachineRecord]:
        """Return the records of the rental's machines by host; `rental_id` is the id of the rental."""
        return {
            host: MachineRecord(
                machine_type=self.machine_type,
                zone=self.zone,
                spot=self.spot,
                created_in_view=self.created_in_view,
                requested_timestamp=self.requested_timestamp,
                drain_reason=machine.drain_reason,
                registered=machine.registered,
                rental_id=rental_id,
            )
            for host, machine in (self.machines or {}).items()
        }


def to_value(record: msgspec.Struct) -> Any:
    """Return the value of the key-value store that stores a record."""
    return msgspec.to_builtins(record)


def from_value(value: Any, kind: type[Record]) -> Record:
    """Return the record from a value of the key-value store.

    Raises
    ------
    RecordError
        If the value is not a record of that kind.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error
