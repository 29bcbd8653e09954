"""The autoscaler: one rental per step while the counts stay high, a small idle pool, a cooldown for idle machines.

Pure: `Autoscaler.step` is given what is known and says what to rent, drain and return. Each of its concerns has a
module of its own: `demand_signal`, `machine_choice`, `idle_pool`, `faulty_machines` and `consolidation`.
"""

from collections.abc import Iterable
from datetime import timedelta

from ramptide.autoscaling.consolidation import ServiceConsolidation
from ramptide.autoscaling.demand_signal import DemandSignal, Trigger
from ramptide.autoscaling.faulty_machines import AgentDurations, FaultyMachines
from ramptide.autoscaling.fleet_types import IDLE, UNDERUTILIZED, Demand, FleetMachine, MachineKind, ScalingPlan
from ramptide.autoscaling.idle_pool import IdlePool
from ramptide.autoscaling.machine_choice import MachineChoice
from ramptide.config.tuning import Tuning
from ramptide.protocol.cloud import MachineType

__all__ = ["Autoscaler"]


class Autoscaler:
    """Decides in steps which machines to rent, to keep idle and to return; `tuning` may be replaced between steps."""

    def __init__(self, tuning: Tuning, durations: AgentDurations) -> None:
        self.tuning = tuning
        self._signal = DemandSignal()
        self._choice = MachineChoice()
        self._pool = IdlePool()
        self._faulty = FaultyMachines(durations)
        self._consolidation = ServiceConsolidation()

    # What operators see.

    @property
    def trigger(self) -> Trigger:
        """Whether so many tasks wait that machines are rented."""
        return self._signal.trigger

    @property
    def waiting(self) -> int:
        """The waiting tasks without room, as of the last step."""
        return self._signal.waiting

    @property
    def long_waiting(self) -> int:
        """Those of them that have waited for long."""
        return self._signal.long_waiting

    @property
    def idle_pool(self) -> list[str]:
        """The idle machines that are kept ready."""
        return self._pool.hosts

    # Signals.

    def note_refusal(self, kind: MachineKind, now: timedelta) -> None:
        """Note that there was no capacity: the kind is not tried for a while, longer after each refusal."""
        self._choice.note_refusal(kind, now)

    def note_rental(self, kind: MachineKind) -> None:
        """Note that machines of the kind could be rented, which ends the pause after refusals."""
        self._choice.note_rental(kind)

    def note_image_use(self, image: str) -> None:
        """Count a use of an image: the pool keeps machines that hold the images used most recently."""
        self._pool.note_image_use(image)

    # Decisions.

    def step(
        self,
        now: timedelta,
        demands: list[Demand],
        machines: list[FleetMachine],
        machine_types: Iterable[MachineType],
        is_rebuilt: bool,
    ) -> ScalingPlan:
        """Decide what to rent and what to return.

        `demands` are the waiting tasks, the most urgent first. Until `is_rebuilt`, after a change of view, nothing is
        rented and no idle machine is returned.
        """
        plan = ScalingPlan()
        uncovered = self._signal.count(demands, machines, self.tuning)
        self._signal.update_trigger(now, self.tuning)
        self._faulty.add_to(plan, now, machines, self.tuning)
        self._pool.choose(now, machines, self.tuning)
        self._consolidation.note_services(now, machines)
        if is_rebuilt:
            self._scale_out(plan, now, uncovered, machines, machine_types)
            self._scale_in(plan, now, uncovered, machines)
        return plan

    def _scale_out(
        self,
        plan: ScalingPlan,
        now: timedelta,
        uncovered: list[Demand],
        machines: list[FleetMachine],
        machine_types: Iterable[MachineType],
    ) -> None:
        """Rent for waiting tasks while the trigger is high, or one machine for the pool while it is low."""
        if self.trigger is Trigger.HIGH:
            plan.rent = self._choice.cheapest(now, uncovered, machine_types, self.tuning)
            plan.count = self._choice.rental_count(plan.rent, uncovered, machine_types, self.tuning.step_most)
        elif self.trigger is Trigger.LOW and self._pool.is_short(machines):
            plan.rent, plan.count = self._choice.for_pool(now, machine_types), 1

    def _scale_in(
        self, plan: ScalingPlan, now: timedelta, uncovered: list[Demand], machines: list[FleetMachine]
    ) -> None:
        """Drain machines that were idle for the cooldown, once the trigger has been low for as long.

        While it is not low, only those drain that no waiting task can use: a job that cannot be placed must not keep
        all others rented.
        """
        is_calm = self._signal.has_been_low_for(self.tuning.cooldown, now)
        if is_calm or self.trigger is not Trigger.LOW:
            usable_by = None if is_calm else uncovered
            for host in self._pool.idle_for_long(now, machines, self.tuning, usable_by):
                plan.drain.setdefault(host, IDLE)
        if is_calm:
            host_to_empty = self._consolidation.choose(now, machines, plan.drain, self.tuning)
            if host_to_empty is not None:
                plan.drain[host_to_empty] = UNDERUTILIZED
