"""The numbered views: who is a member, who leads, and which member owns a machine. Pure."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ramptide.cluster.errors import MalformedViewError

__all__ = ["View", "decode_view", "encode_view", "next_view", "owner_of"]


class View(msgspec.Struct, frozen=True, rename={"unfenced": "lingering"}):
    """A numbered set of members.

    Attributes
    ----------
    number
        One more than that of the view before. It is the fencing token of the commands to agents.
    leader
        The member that wrote the view.
    members
        The incarnation of each member.
    unfenced
        The incarnations of members of earlier views of which nobody has proof that they ended: until their authority
        has run out they may still renew tasks' leases under an older token.
    """

    number: int
    leader: str
    members: dict[str, str]
    unfenced: dict[str, str] = {}


def encode_view(view: View) -> Any:
    """Return the value of the view's record."""
    return msgspec.to_builtins(view)


def decode_view(value: Any) -> View:
    """Decode the value of the view's record.

    Raises
    ------
    MalformedViewError
        If a field is missing or has another type.
    """
    try:
        return msgspec.convert(value, View)
    except msgspec.ValidationError as error:
        raise MalformedViewError(str(error)) from error


def next_view(previous: View | None, leader: str, registered: Mapping[str, str]) -> View:
    """Return the view that follows, with the incarnations of all registered members."""
    if previous is None:
        return View(1, leader, dict(registered), {})
    unfenced = dict(previous.unfenced) | previous.members
    # A member that is registered with a new incarnation has proven the end of its old one.
    unfenced = {name: incarnation for name, incarnation in unfenced.items() if name not in registered}
    return View(previous.number + 1, leader, dict(registered), unfenced)


def owner_of(host: str, members: Iterable[str]) -> str:
    """Return the member that owns a machine: the one with the highest hash for it.

    When members change, few machines change their owner.
    """
    return max(members, key=lambda member: hashlib.blake2b(f"{member} {host}".encode(), digest_size=8).digest())
