"""The records of jobs, machines and rentals in the state service."""

import base64
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import msgspec

from ramptide import wire

JOB_PREFIX = "live/job/"
ENDED_PREFIX = "ended/"
RENTAL_PREFIX = "live/rental/"
FLAVORS_KEY = "live/flavors"
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
        low, bits = msgspec.convert(value, tuple[wire.Count, str])
        raw = base64.b64decode(bits, validate=True)
        if low > wire.MAX_PIECES or len(raw) > PROGRESS_WINDOW // 8:
            raise ValueError("more done tasks than a job can have")
        return cls(low, int.from_bytes(raw, "little"))


class Handover(msgspec.Struct, array_like=True, frozen=True):
    """The last message of the controller that had a job before, when it changed hands within a view.

    The new one waits until every owner of machines has processed this message, and so reports all that the old one
    had asked for.
    """

    view: int
    member: str
    seq: int


class JobRecord(msgspec.Struct):
    """A job that is not over."""

    run: wire.Run
    home: str
    born: int
    at: wire.Moment
    done: list[Any]
    hand: Handover | None = None

    @property
    def submitted(self) -> datetime:
        """The wall-clock time of the submission."""
        return datetime.fromtimestamp(self.at, UTC)


class EndRecord(msgspec.Struct):
    """What remains of a job that is over."""

    status: str
    pieces: int
    done: int


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

    flavor: str
    yard: str
    spot: bool
    born: int
    at: float
    leaving: str | None = None
    opened: bool = False
    rental: str = ""

    def untouched(self, view: int) -> bool:
        """Tell whether no view before `view` can have started anything on the machine."""
        return self.born == view or not self.opened


class HostRecord(msgspec.Struct, array_like=True, frozen=True):
    """The part of a machine's record that changes while it is rented."""

    opened: bool = False
    leaving: str | None = None


class RentalRecord(msgspec.Struct, frozen=True):
    """A rental, kept under its unique name.

    It is written without `hosts` before the cloud is called, and with them once the cloud has answered. The machines
    of one rental share a record, so that hundreds of them need few changes.
    """

    flavor: str
    yard: str
    spot: bool
    at: wire.Moment
    count: int = 1
    born: int = 0
    hosts: dict[str, HostRecord] | None = None

    def machines(self, name: str) -> dict[str, MachineRecord]:
        """Return the records of the rental's machines; `name` is the rental's."""
        return {
            host: MachineRecord(
                flavor=self.flavor,
                yard=self.yard,
                spot=self.spot,
                born=self.born,
                at=self.at,
                leaving=record.leaving,
                opened=record.opened,
                rental=name,
            )
            for host, record in (self.hosts or {}).items()
        }


def to_value(record: msgspec.Struct) -> Any:
    """Return a record as a value that the state service stores."""
    return msgspec.to_builtins(record)
