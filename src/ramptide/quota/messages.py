"""What controllers tell each other about team limits, carried as one field of their messages."""

from typing import Annotated, Any

import msgspec

from ramptide.state.amounts import NO_LIMIT, Amounts

#: Raised when the messages change so that another version would misread them.
VERSION = 1

Units = Annotated[int, msgspec.Meta(ge=0, lt=NO_LIMIT)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class QuotaMessageError(ValueError):
    """A message about team limits that is refused; the text says why, in one line."""


class TaskDemand(msgspec.Struct, array_like=True, frozen=True):
    """Waiting tasks of one size."""

    cpus: Units
    gpus: Units
    count: Number

    @property
    def size(self) -> Amounts:
        """What one of the tasks takes of the limit."""
        return Amounts(self.cpus, self.gpus)


Demands = dict[str, list[TaskDemand]]


class TransferRow(msgspec.Struct, array_like=True, frozen=True):
    """Share that the sender has deducted from its own for the receiver; its transfers are numbered from 1."""

    number: Number
    team: str
    cpus: Units
    gpus: Units

    @property
    def amounts(self) -> Amounts:
        """How much is passed on."""
        return Amounts(self.cpus, self.gpus)


class AccountRow(msgspec.Struct, array_like=True, frozen=True):
    """What the sender has given to and taken from another member of one team's limit, over the whole view."""

    member: str
    team: str
    given_cpus: Units
    given_gpus: Units
    taken_cpus: Units
    taken_gpus: Units

    @property
    def given(self) -> Amounts:
        """What was deducted for the other member."""
        return Amounts(self.given_cpus, self.given_gpus)

    @property
    def taken(self) -> Amounts:
        """What was taken from the other member."""
        return Amounts(self.taken_cpus, self.taken_gpus)


class QuotaMessage(msgspec.Struct, frozen=True):
    """What one member tells another.

    `confirmed`: the last of the receiver's transfers that the sender took. `short`: waiting tasks for which the
    sender's share is too small. `claims`: jobs whose next task lies within its team's guarantee and has no room yet.
    For the leader alone: all waiting tasks, and the accounts that changed.
    """

    version: int
    view: Number
    sender: str
    incarnation: str
    receiver: str
    confirmed: Number = 0
    transfers: list[TransferRow] = []
    short: Demands = {}
    claims: list[str] = []
    waiting: Demands = {}
    accounts: list[AccountRow] = []


def decode(value: Any) -> QuotaMessage:
    """Check a decoded value.

    Raises
    ------
    QuotaMessageError
        If it is no message of this version.
    """
    version = value.get("version") if isinstance(value, dict) else None
    if version != VERSION:
        raise QuotaMessageError(f"version {version!r} of the quota messages, we speak {VERSION}")
    try:
        return msgspec.convert(value, QuotaMessage)
    except msgspec.ValidationError as error:
        raise QuotaMessageError(str(error)) from error
