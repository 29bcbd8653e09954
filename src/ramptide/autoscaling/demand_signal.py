"""The two counts that machines are rented by, and the trigger that follows from them. Pure."""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide.autoscaling.fleet_types import Demand, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room, empty_room, fill, needs

__all__ = ["DemandSignal", "Trigger"]

log = logging.getLogger(__name__)

NO_TIME = timedelta(0)


class Trigger(Enum):
    """Whether so many tasks wait that machines are rented: no, not for long enough yet, or yes.

    LOW becomes RISING when a count is high, RISING becomes HIGH when one has stayed high through the window, and both
    become LOW when none is. The value stands in the status and in the log.
    """

    LOW = "quiet"
    RISING = "rising"
    HIGH = "high"


class DemandSignal:
    """Counts waiting tasks without room, and watches how long the counts stay high.

    `waiting` and `long_waiting` are the counts as of the last step.
    """

    def __init__(self) -> None:
        self.waiting = 0
        self.long_waiting = 0
        self.trigger = Trigger.LOW
        self._since = NO_TIME
        self._low_since = NO_TIME

    def has_been_low_for(self, span: timedelta, now: timedelta) -> bool:
        """Tell whether no count has been high for so long."""
        return self.trigger is Trigger.LOW and now - self._low_since >= span

    def count(self, demands: list[Demand], machines: list[FleetMachine], tuning: Tuning) -> list[Demand]:
        """Count the waiting tasks that fit neither free room nor booting machines, and those that wait long.

        Returns the demands with the tasks that are not covered.
        """
        rooms = _free_and_booting(machines)
        self.waiting = self.long_waiting = 0
        uncovered = []
        for group in _alike(demands):
            spec, avoided = group[0].spec, group[0].avoided_hosts
            open_rooms = [room for room in rooms if room.host not in avoided] if avoided else rooms
            # What will run on machines that boot counts for the zone rules, or all would be rented in one zone.
            placed = Counter(group[0].placed)
            covered = fill(spec, sum(demand.tasks for demand in group), open_rooms, placed)
            left = self._count_group(group, covered, tuning.long_wait)
            if left:
                self.waiting += left
                uncovered.append(replace(group[0], tasks=left, placed=placed))
        return uncovered

    def _count_group(self, group: list[Demand], covered: int, long_wait: timedelta) -> int:
        """Return how many tasks of the demands are not covered; those that wait long are counted."""
        left = 0
        for demand in group:
            taken = min(covered, demand.tasks)
            covered -= taken
            left += demand.tasks - taken
            if demand.waited > long_wait:
                self.long_waiting += demand.tasks - taken
        return left

    def update_trigger(self, now: timedelta, tuning: Tuning) -> None:
        """Bring the trigger in line with the counts."""
        is_high = self.waiting >= tuning.waiting_high or self.long_waiting >= tuning.long_waiting_high
        if not is_high:
            if self.trigger is not Trigger.LOW:
                self._become(Trigger.LOW, now)
                self._low_since = now
        elif self.trigger is Trigger.LOW:
            self._become(Trigger.RISING, now)
        if self.trigger is Trigger.RISING and now - self._since >= tuning.window:
            self._become(Trigger.HIGH, now)

    def _become(self, trigger: Trigger, now: timedelta) -> None:
        counts = (self.waiting, self.long_waiting)
        log.debug("trigger changed: trigger=%s waiting=%d long_waiting=%d", trigger.value, *counts)
        self.trigger = trigger
        self._since = now


def _free_and_booting(machines: list[FleetMachine]) -> list[Room]:
    """Return what is free, and what booting machines will have."""
    rooms = [machine.room for machine in machines if machine.room is not None]
    rooms += [
        empty_room(machine.machine_type, machine.record.zone, machine.record.spot, machine.host)
        for machine in machines
        if machine.is_booting and machine.machine_type is not None and not machine.is_draining
    ]
    return rooms


def _alike(demands: list[Demand]) -> Iterable[list[Demand]]:
    """Group demands that the same rooms can serve; jobs with zone rules are each a group of their own."""
    groups: dict[Any, list[Demand]] = {}
    for demand in demands:
        own = demand.spec.job_id if demand.spec.single_zone or demand.spec.spread_zones else None
        groups.setdefault((needs(demand.spec), own, demand.avoided_hosts), []).append(demand)
    return groups.values()
