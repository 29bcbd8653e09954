"""The two counts of waiting tasks that decide when machines are rented, and the trigger set from them."""

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide.autoscaling.demand_fitting import DemandFitting
from ramptide.autoscaling.fleet_types import Demand, FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room, empty_room, placement_needs

__all__ = ["DemandSignal", "Trigger"]

log = logging.getLogger(__name__)

NO_TIME = timedelta(0)


class Trigger(Enum):
    """Whether enough tasks wait for machines to be rented: no, not for long enough yet, or yes.

    LOW becomes RISING when a count is high, RISING becomes HIGH when a count has stayed high for `Tuning.window`, and
    both become LOW when no count is high. The values appear in the status and in the log.
    """

    LOW = "quiet"
    RISING = "rising"
    HIGH = "high"


class DemandSignal:
    """Counts waiting tasks without room, and tracks how long the counts stay high.

    `waiting` and `long_waiting` are the counts as of the last step.
    """

    def __init__(self, fitting: DemandFitting) -> None:
        self._fitting = fitting
        self.waiting = 0
        self.long_waiting = 0
        self.trigger = Trigger.LOW
        self._trigger_since = NO_TIME
        self._low_since = NO_TIME

    def has_been_low_for(self, span: timedelta, now: timedelta) -> bool:
        """Return whether the trigger has been low for at least `span`."""
        return self.trigger is Trigger.LOW and now - self._low_since >= span

    def update_counts(self, demands: list[Demand], machines: list[FleetMachine], tuning: Tuning) -> list[Demand]:
        """Count the waiting tasks that fit neither free room nor booting machines, and how many of them wait long.

        Returns the demands, reduced to the tasks that are not covered.
        """
        rooms = _free_and_booting(machines)
        self.waiting = self.long_waiting = 0
        uncovered = []
        for group in _group_alike(demands):
            spec, avoided = group[0].spec, group[0].avoided_hosts
            allowed_rooms = [room for room in rooms if room.host not in avoided] if avoided else rooms
            # Tasks assigned to booting machines count for the zone rules, or all machines would be rented in one zone.
            placed = Counter(group[0].placed)
            covered = self._fitting.fill(spec, sum(demand.task_count for demand in group), allowed_rooms, placed)
            uncovered_count = self._count_group(group, covered, tuning.long_wait)
            if uncovered_count:
                self.waiting += uncovered_count
                uncovered.append(replace(group[0], task_count=uncovered_count, placed=placed))
        return uncovered

    def _count_group(self, group: list[Demand], covered: int, long_wait: timedelta) -> int:
        """Return how many tasks of the demands are not covered, and add the long-waiting ones to `long_waiting`."""
        uncovered_count = 0
        for demand in group:
            covered_count = min(covered, demand.task_count)
            covered -= covered_count
            uncovered_count += demand.task_count - covered_count
            if demand.waited > long_wait:
                self.long_waiting += demand.task_count - covered_count
        return uncovered_count

    def update_trigger(self, now: timedelta, tuning: Tuning) -> None:
        """Set the trigger from the counts."""
        is_high = self.waiting >= tuning.waiting_high or self.long_waiting >= tuning.long_waiting_high
        if not is_high:
            if self.trigger is not Trigger.LOW:
                self._set_trigger(Trigger.LOW, now)
                self._low_since = now
        elif self.trigger is Trigger.LOW:
            self._set_trigger(Trigger.RISING, now)
        if self.trigger is Trigger.RISING and now - self._trigger_since >= tuning.window:
            self._set_trigger(Trigger.HIGH, now)

    def _set_trigger(self, trigger: Trigger, now: timedelta) -> None:
        counts = (self.waiting, self.long_waiting)
        log.debug("trigger changed: trigger=%s waiting=%d long_waiting=%d", trigger.value, *counts)
        self.trigger = trigger
        self._trigger_since = now


def _free_and_booting(machines: list[FleetMachine]) -> list[Room]:
    """Return the free room of machines, and the whole room of machines that still boot."""
    rooms = [machine.room for machine in machines if machine.room is not None]
    rooms += [
        empty_room(machine.machine_type, machine.record.zone, machine.record.spot, machine.host)
        for machine in machines
        if machine.is_booting and machine.machine_type is not None and not machine.is_draining
    ]
    return rooms


def _group_alike(demands: list[Demand]) -> Iterable[list[Demand]]:
    """Group demands that the same rooms can serve; each job with zone rules forms a group of its own."""
    groups: dict[Any, list[Demand]] = {}
    for demand in demands:
        separate_job = demand.spec.job_id if demand.spec.single_zone or demand.spec.spread_zones else None
        groups.setdefault((placement_needs(demand.spec), separate_job, demand.avoided_hosts), []).append(demand)
    return groups.values()
