"""Incremental messages: which items of a table changed at which sequence number, and what a receiver has taken."""

from collections.abc import Container, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ChangeLog(Generic[Key]):
    """Records the sequence number of each key's last change.

    Only keys are kept; values are read when a message is made, so a message is never older than its number.
    """

    def __init__(self) -> None:
        #: In the order of the last change.
        self._last_change: dict[Key, int] = {}

    def mark(self, key: Key, seq: int) -> None:
        """Record that a key changed, or was removed, at `seq`, which is not below any recorded number."""
        self._last_change.pop(key, None)
        self._last_change[key] = seq

    def since(self, base: int, up_to: int | None = None) -> list[Key]:
        """Return the keys that changed after `base`, latest first; with those of items removed and not pruned.

        `up_to`: without those whose last change came after this number.
        """
        changed = []
        for key in reversed(self._last_change):
            number = self._last_change[key]
            if number <= base:
                break
            if up_to is None or number <= up_to:
                changed.append(key)
        return changed

    def split_after(self, base: int, limit: int) -> int | None:
        """Return the number up to which about `limit` keys changed after `base`; None when no more than that did."""
        changed = self.since(base)
        if len(changed) <= limit:
            return None
        return self._last_change[changed[-limit]]

    def prune(self, base: int, alive: Container[Key]) -> None:
        """Forget removed items whose removal every receiver has acknowledged, `base` being the lowest number."""
        self._last_change = {key: seq for key, seq in self._last_change.items() if seq > base or key in alive}


class ReceivedSequence:
    """How far one sender's table has been taken.

    A message holds all that changed after its `base` up to its `seq`, so it can be taken when nothing up to `base`
    is missing here. An older message, or a copy, holds nothing new.
    """

    def __init__(self) -> None:
        self.seq = 0

    def takes(self, base: int, seq: int) -> bool:
        """Tell whether a message can be taken, and if so count it as taken."""
        if seq <= self.seq or base > self.seq:
            return False
        self.seq = seq
        return True
