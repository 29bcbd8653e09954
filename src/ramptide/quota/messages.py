"""The messages about team limits that controllers exchange, as one field of their peer messages."""

from typing import Annotated, Any

import msgspec

from ramptide.state.amounts import NO_LIMIT, Amounts

#: The version is increased when the messages change in a way that another version would misread.
VERSION = 1

Units = Annotated[int, msgspec.Meta(ge=0, lt=NO_LIMIT)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class QuotaMessageError(ValueError):
    """Raised for a message about team limits that is refused; the text gives the reason in one line."""


class TaskDemand(msgspec.Struct, array_like=True, frozen=True):
    """Waiting tasks of one size."""

    cpus: Units
    gpus: Units
    count: Number

    @property
    def size(self) -> Amounts:
        """The amounts that one of the tasks uses of the limit."""
        return Amounts(self.cpus, self.gpus)


Demands = dict[str, list[TaskDemand]]


class TransferRow(msgspec.Struct, array_like=True, frozen=True):
    """Share that the sender has deducted for the receiver; transfers to one receiver are numbered from 1."""

    number: Number
    team: str
    cpus: Units
    gpus: Units

    @property
    def amounts(self) -> Amounts:
        """The amounts that are passed on."""
        return Amounts(self.cpus, self.gpus)


class AccountRow(msgspec.Struct, array_like=True, frozen=True):
    """The totals that the sender has passed to and received from another member in this view, for one team."""

    member: str
    team: str
    given_cpus: Units
    given_gpus: Units
    taken_cpus: Units
    taken_gpus: Units

    @property
    def given(self) -> Amounts:
        """The total that was deducted for the other member."""
        return Amounts(self.given_cpus, self.given_gpus)

    @property
    def taken(self) -> Amounts:
        """The total that was received from the other member."""
        return Amounts(self.taken_cpus, self.taken_gpus)


class QuotaMessage(msgspec.Struct, frozen=True):
    """A message from one member to another.

    `confirmed`: the number of the last of the receiver's transfers that the sender has received. `short`: waiting tasks
    that the sender's share does not cover. `claims`: jobs whose next task lies within its team's guarantee and has no
    room yet. `waiting` and `accounts` are sent to the leader only: all waiting tasks, and the accounts that changed.
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


def decode_quota_message(value: Any) -> QuotaMessage:
    """Convert a decoded value to a message, and check it.

    Raises
    ------
    QuotaMessageError
        If the value is not a message of this version.
    """
    version = value.get("version") if isinstance(value, dict) else None
    if version != VERSION:
        raise QuotaMessageError(f"version {version!r} of the quota messages, we speak {VERSION}")
    try:
        return msgspec.convert(value, QuotaMessage)
    except msgspec.ValidationError as error:
        raise QuotaMessageError(str(error)) from error
