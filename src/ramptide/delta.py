"""Which items of a table changed at which number, so that only what is new since an acknowledged number is sent."""

from collections.abc import Container, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class ChangeLog(Generic[K]):
    """Holds keys only; values are read when a message is made, so a message is never older than its number."""

    def __init__(self) -> None:
        self._at: dict[K, int] = {}  # in order of the last change

    def mark(self, key: K, seq: int) -> None:
        self._at.pop(key, None)
        self._at[key] = seq

    def since(self, base: int) -> list[K]:
        """What changed after `base`; removed items are among them until they are pruned."""
        found = []
        for key in reversed(self._at):
            if self._at[key] <= base:
                break
            found.append(key)
        return found

    def prune(self, base: int, alive: Container[K]) -> None:
        """Forgets removed items of which every receiver has acknowledged a number from `base` on."""
        self._at = {key: at for key, at in self._at.items() if at > base or key in alive}


class ReceivedSequence:
    """How far one sender's table was taken. A message holds all that changed after its `base` up to its `seq`,
    so it may be taken when nothing up to `base` is missing here; an older one, or a copy, says nothing new."""

    def __init__(self) -> None:
        self.seq = 0

    def takes(self, base: int, seq: int) -> bool:
        if seq <= self.seq or base > self.seq:
            return False
        self.seq = seq
        return True
