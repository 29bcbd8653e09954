"""The settings that operators change at run time, with their bounds and defaults."""

import math
from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any

from ramptide.config.settings import SettingsError

__all__ = ["BOUNDS", "Bound", "Tuning"]


@dataclass(frozen=True, slots=True)
class Bound:
    """The lowest and the highest value of a setting, and its description."""

    low: float
    high: float
    description: str


BOUNDS: dict[str, Bound] = {
    "step": Bound(0.2, 600, "seconds between two steps of the leader"),
    "step_most": Bound(1, 50, "machines that a step rents at most, when the counts ask for so many"),
    "window": Bound(0, 3600, "seconds that a count must stay high before machines are rented"),
    "waiting_high": Bound(1, 1e6, "waiting tasks without room that count as high"),
    "long_wait": Bound(0, 3600, "seconds after which a waiting task is long-waiting"),
    "long_waiting_high": Bound(1, 1e6, "long-waiting tasks that count as high"),
    "cooldown": Bound(0, 3600, "quiet seconds after which an idle machine is returned"),
    "gather": Bound(0, 3600, "seconds between two machines that are emptied because they run few services"),
    "thin_share": Bound(0, 1, "part of a machine up to which its services are few, and may be moved to another"),
    "started": Bound(0, 3600, "seconds that a service is left where it was started, however few run there"),
    "pool_size": Bound(0, 100_000, "idle machines kept ready at least"),
    "service_share": Bound(0, 1, "part of a machine that runs services which arrays leave free for more of them"),
    "share_wait": Bound(0, 3600, "seconds without a start until a tenth of an array may use room kept for services"),
    "pool_share": Bound(0, 1, "idle machines kept ready for each machine that is up"),
    "horizon": Bound(1, 86400, "seconds of work over which a machine's boot is paid off"),
    "boot_factor": Bound(1, 100, "times the usual boot time after which a machine that is not up is returned"),
    "silent_leases": Bound(1.1, 100, "leases of silence after which a machine is returned"),
    "sick_jobs": Bound(1, 100, "different jobs failing in a row that make a machine sick"),
    "patience": Bound(1, 86400, "seconds without a start after which a tenth of a job goes before others of its rank"),
    "begin_within": Bound(1, 86400, "seconds without a start after which one task of a job goes before all ranks"),
    "hand_over": Bound(0, 600, "seconds that a task waits in a part before its job goes to the leader"),
    "list_every": Bound(1, 600, "seconds between two readings of the cloud's list"),
    "preempt_after": Bound(0, 600, "seconds without room after which a job claims room that others must give up"),
    "guarantees_first": Bound(0, 1, "1: work within a guarantee goes first in its rank, where the quota part is on"),
    "hold": Bound(0, 3, "seconds that a report may wait for a launch before it is answered"),
}


@dataclass(frozen=True, slots=True)
class Tuning:
    """The operators' settings, stored in the key-value store and changed through the administration API."""

    step: timedelta = timedelta(seconds=0.5)
    step_most: int = 50
    window: timedelta = timedelta(seconds=0.5)
    waiting_high: int = 1
    long_wait: timedelta = timedelta(seconds=10)
    long_waiting_high: int = 1
    cooldown: timedelta = timedelta(seconds=20)
    gather: timedelta = timedelta(seconds=10)
    thin_share: float = 0.5
    started: timedelta = timedelta(seconds=40)
    pool_size: int = 1
    pool_share: float = 0.02
    service_share: float = 0.25
    share_wait: timedelta = timedelta(seconds=80)
    horizon: timedelta = timedelta(seconds=90)
    boot_factor: float = 3.0
    silent_leases: float = 3.0
    sick_jobs: int = 2
    patience: timedelta = timedelta(seconds=120)
    begin_within: timedelta = timedelta(seconds=180)
    hand_over: timedelta = timedelta(seconds=1)
    list_every: timedelta = timedelta(seconds=4)
    preempt_after: timedelta = timedelta(seconds=2)
    guarantees_first: int = 1
    hold: timedelta = timedelta(seconds=1.5)

    def to_value(self) -> dict[str, float | int]:
        """Return all settings as numbers; times are in seconds."""
        return {name: _to_number(value) for name, value in self._values().items()}

    def with_changes(self, changes: Any) -> "Tuning":
        """Return a copy with some settings replaced.

        Raises
        ------
        SettingsError
            If `changes` is not an object of known settings with values in their bounds.
        """
        if not isinstance(changes, dict):
            raise SettingsError("settings: not an object")
        values = self._values()
        for name, value in changes.items():
            if name not in values:
                raise SettingsError(f"{name}: no such setting")
            values[name] = _checked_value(name, value, values[name])
        return Tuning(**values)

    @classmethod
    def from_value(cls, value: Any) -> "Tuning":
        """Return the stored settings; those that this version does not know or accept keep their defaults."""
        tuning = cls()
        for name, number in (value if isinstance(value, dict) else {}).items():
            try:
                tuning = tuning.with_changes({name: number})
            except SettingsError:
                continue
        return tuning

    def _values(self) -> dict[str, Any]:
        return {field.name: getattr(self, field.name) for field in fields(self)}


def _to_number(value: Any) -> float | int:
    return value.total_seconds() if isinstance(value, timedelta) else value


def _checked_value(name: str, value: Any, current: Any) -> Any:
    """Return a new value in the type of the current one.

    Raises
    ------
    SettingsError
        If it is not a number, not within its bounds, or not a whole number where one is needed.
    """
    is_infinite = isinstance(value, float) and not math.isfinite(value)
    if isinstance(value, bool) or not isinstance(value, int | float) or is_infinite:
        raise SettingsError(f"{name}: not a number")
    bound = BOUNDS[name]
    if not bound.low <= value <= bound.high:
        raise SettingsError(f"{name}: not between {bound.low:g} and {bound.high:g}")
    if isinstance(current, timedelta):
        return timedelta(seconds=value)
    if not isinstance(current, int):
        return float(value)
    if value != int(value):
        raise SettingsError(f"{name}: not a whole number")
    return int(value)
