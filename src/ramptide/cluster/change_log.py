"""Incremental replication of a table: which keys changed at which sequence number, and how far a receiver has them."""

from collections.abc import Container, Hashable
from typing import Generic, TypeVar

__all__ = ["ChangeLog", "ReceivedSequence"]

Key = TypeVar("Key", bound=Hashable)


class ChangeLog(Generic[Key]):
    """Records the sequence number of each key's last change.

    Only keys are kept; values are read when a message is made, so a message is never older than its sequence number.
    """

    def __init__(self) -> None:
        #: In the order of the last change.
        self._last_change: dict[Key, int] = {}

    def mark(self, key: Key, sequence_number: int) -> None:
        """Record that a key was changed or removed at a sequence number, which is not below any recorded one."""
        self._last_change.pop(key, None)
        self._last_change[key] = sequence_number

    def since(self, base: int, up_to: int | None = None) -> list[Key]:
        """Return the keys that changed after `base`, latest first; with those that were removed and not pruned.

        `up_to`: without those whose last change came after this sequence number.
        """
        changed = []
        for key in reversed(self._last_change):
            sequence_number = self._last_change[key]
            if sequence_number <= base:
                break
            if up_to is None or sequence_number <= up_to:
                changed.append(key)
        return changed

    def split_after(self, base: int, limit: int) -> int | None:
        """Return the sequence number up to which about `limit` keys changed after `base`.

        None when no more keys than that changed.
        """
        changed = self.since(base)
        if len(changed) <= limit:
            return None
        return self._last_change[changed[-limit]]

    def prune(self, base: int, existing: Container[Key]) -> None:
        """Forget removed keys whose removal every receiver has acknowledged, `base` being the lowest number."""
        self._last_change = {
            key: sequence_number
            for key, sequence_number in self._last_change.items()
            if sequence_number > base or key in existing
        }


class ReceivedSequence:
    """How far one sender's table has been received.

    A message holds all that changed after its `base` up to its sequence number, so it can be taken when nothing up to
    `base` is missing here. An older message, or a copy, holds nothing new.
    """

    def __init__(self) -> None:
        #: The sequence number of the last message that was accepted.
        self.sequence_number = 0

    def accept(self, base: int, sequence_number: int) -> bool:
        """Count a message as received if it can be taken; return whether it can."""
        if sequence_number <= self.sequence_number or base > self.sequence_number:
            return False
        self.sequence_number = sequence_number
        return True
