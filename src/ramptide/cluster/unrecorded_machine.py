"""What a heartbeat tells of a machine that the fleet record lacks."""

from typing import NamedTuple

__all__ = ["UnrecordedMachine"]


class UnrecordedMachine(NamedTuple):
    """A machine that sends heartbeats and is not in the fleet record; `spot` as opposed to on demand.

    Sent between controllers as an array, by the order of the fields.
    """

    machine_type: str
    zone: str
    spot: bool
