"""Incremental replication of a table.

The sender records the sequence number at which each key changed. The receiver records the sequence number up to which
it has the changes.
"""

from collections.abc import Container, Hashable
from typing import Generic, TypeVar

__all__ = ["ChangeLog", "ReceivedSequence"]

Key = TypeVar("Key", bound=Hashable)


class ChangeLog(Generic[Key]):
    """Records the sequence number of each key's last change.

    Only keys are kept. The sender reads the values when it builds a message, so that the values in a message are never
    older than its sequence number.
    """

    def __init__(self) -> None:
        #: The sequence number of each key's last change, in the order of these changes.
        self._last_change: dict[Key, int] = {}

    def record_change(self, key: Key, sequence_number: int) -> None:
        """Record that a key was changed or removed at a sequence number, which must not be below any recorded one."""
        self._last_change.pop(key, None)
        self._last_change[key] = sequence_number

    def since(self, base: int, up_to: int | None = None) -> list[Key]:
        """Return the keys that changed after `base`, latest first, including removed keys that are not pruned yet.

        Keys whose last change came after the sequence number `up_to` are left out, if it is given.
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

        Return None when at most `limit` keys changed.
        """
        changed = self.since(base)
        if len(changed) <= limit:
            return None
        return self._last_change[changed[-limit]]

    def prune(self, base: int, existing: Container[Key]) -> None:
        """Delete the entries of keys that were removed at or before `base`, which every receiver has acknowledged."""
        self._last_change = {
            key: sequence_number
            for key, sequence_number in self._last_change.items()
            if sequence_number > base or key in existing
        }


class ReceivedSequence:
    """The sequence number up to which the receiver has the table of one sender.

    A message holds all changes after its `base` up to its sequence number. The receiver can therefore apply it when it
    has all changes up to `base`. An older message, or a copy of one, holds nothing new.
    """

    def __init__(self) -> None:
        #: The sequence number of the last accepted message.
        self.sequence_number = 0

    def accept(self, base: int, sequence_number: int) -> bool:
        """Return whether a message can be applied; if so, record its sequence number as received."""
        if sequence_number <= self.sequence_number or base > self.sequence_number:
            return False
        self.sequence_number = sequence_number
        return True
