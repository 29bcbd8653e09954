"""Numbered membership views: their members, their leader, and which member owns a machine.

The functions have no side effects.
"""

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
        The number of the view, one more than that of the previous view; the fencing token of commands to agents.
    leader
        The member that wrote the view.
    members
        The incarnation of each member, by name.
    unfenced
        The incarnations, by name, of members of earlier views that are not proven to have ended. Until their authority
        has expired they may still renew tasks' leases under an older token.
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
    """Return the view after `previous`, whose members are all registered members."""
    if previous is None:
        return View(1, leader, dict(registered), {})
    unfenced = dict(previous.unfenced) | previous.members
    # The registration of a new incarnation proves that the member's old one has ended.
    unfenced = {name: incarnation for name, incarnation in unfenced.items() if name not in registered}
    return View(previous.number + 1, leader, dict(registered), unfenced)


def owner_of(host: str, members: Iterable[str]) -> str:
    """Return the member that owns a machine, by rendezvous hashing: the one with the highest hash for the machine.

    Few machines change their owner when members join or leave.
    """
    return max(members, key=lambda member: hashlib.blake2b(f"{member} {host}".encode(), digest_size=8).digest())
