"""The durable records: jobs, machines and rentals, and how they are written in the state service."""

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

PROGRESS_WINDOW = 8192


class Progress:
    """The set of done tasks, compact: all below `low`, and a bitmap of what is done above it.

    No task at or past `low + PROGRESS_WINDOW` may start, so the record keeps within the size of a value
    however many tasks the job has.
    """

    __slots__ = ("low", "bits", "count")

    def __init__(self, low: int = 0, bits: int = 0) -> None:
        self.low = low
        self.bits = bits
        self.count = low + bits.bit_count()

    def __contains__(self, task: int) -> bool:
        return task < self.low or bool(self.bits >> (task - self.low) & 1)

    def add(self, task: int) -> bool:
        if task in self:
            return False
        self.bits |= 1 << (task - self.low)
        self.count += 1
        ones = (~self.bits & (self.bits + 1)).bit_length() - 1
        self.bits >>= ones
        self.low += ones
        return True

    def encode(self) -> list[Any]:
        raw = self.bits.to_bytes((self.bits.bit_length() + 7) // 8, "little")
        return [self.low, base64.b64encode(raw).decode("ascii")]

    @classmethod
    def decode(cls, value: list[Any]) -> "Progress":
        """ValidationError or ValueError when it is not what `encode` makes."""
        low, bits = msgspec.convert(value, tuple[wire.Count, str])
        raw = base64.b64decode(bits, validate=True)
        if low > wire.MAX_PIECES or len(raw) > PROGRESS_WINDOW // 8:
            raise ValueError("more done tasks than a job can have")
        return cls(low, int.from_bytes(raw, "little"))


class Handover(msgspec.Struct, array_like=True, frozen=True):
    """A job changed its home inside a view: the new home waits until every owner has processed this message
    of the old one, and so shows all that the old home had asked for."""

    view: int
    member: str
    seq: int


class JobRecord(msgspec.Struct):
    """The one record of a job that is not over."""

    run: wire.Run
    home: str
    born: int
    at: wire.Moment
    done: list[Any]
    hand: Handover | None = None

    @property
    def submitted(self) -> datetime:
        return datetime.fromtimestamp(self.at, UTC)


class EndRecord(msgspec.Struct):
    """What is kept of a job for good."""

    status: str
    pieces: int
    done: int


@dataclass(frozen=True, slots=True)
class MachineRecord:
    """A rented machine, as its rental's record has it. `born` is the view that recorded it: none older can have
    started anything on it.

    `opened` once its worker has reported: before this is recorded nobody starts anything there, so a
    change of view need not wait for machines that boot.
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
        """No earlier view can have started anything on it."""
        return self.born == view or not self.opened


class HostRecord(msgspec.Struct, array_like=True, frozen=True):
    """What changes of a machine while it is rented."""

    opened: bool = False
    leaving: str | None = None


class RentalRecord(msgspec.Struct, frozen=True):
    """A rental under its unique name: written without `hosts` before the cloud is asked, with them once it has
    answered. The machines of one rental share a record, so that hundreds of them cost few changes."""

    flavor: str
    yard: str
    spot: bool
    at: wire.Moment
    count: int = 1
    born: int = 0
    hosts: dict[str, HostRecord] | None = None

    def machines(self, name: str) -> dict[str, MachineRecord]:
        return {
            host: MachineRecord(self.flavor, self.yard, self.spot, self.born, self.at, one.leaving, one.opened, name)
            for host, one in (self.hosts or {}).items()
        }


def to_value(record: msgspec.Struct) -> Any:
    return msgspec.to_builtins(record)
