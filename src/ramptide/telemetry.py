"""Counts of what operators look for when something is wrong. Each event costs an addition."""

from collections import deque
from datetime import timedelta

import msgspec

VIEW_CHANGES_KEPT = 10


class ViewChange(msgspec.Struct):
    """A change of membership. `settled_s`: how long it took until work went on; None when it has not or was
    overtaken by the next change."""

    view: int
    settled_s: float | None = None


class Telemetry:
    """What this process has counted since it started."""

    def __init__(self) -> None:
        self.view_changes = 0
        self.settled_changes = 0
        self.settling_total = timedelta(0)
        self.settling_last = timedelta(0)
        self.last_changes: deque[ViewChange] = deque(maxlen=VIEW_CHANGES_KEPT)

    def view_changed(self, number: int) -> None:
        """A new view holds."""
        self.view_changes += 1
        self.last_changes.append(ViewChange(number))

    def settled(self, spent: timedelta) -> None:
        """All machines are settled in the present view, `spent` after it was heard of."""
        self.settled_changes += 1
        self.settling_total += spent
        self.settling_last = spent
        if self.last_changes:
            self.last_changes[-1].settled_s = round(spent.total_seconds(), 3)
