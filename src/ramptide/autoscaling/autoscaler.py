"""The autoscaler: one rental per step while demand stays high, a small idle pool, a cooldown for idle machines.

The module does no I/O besides logging: `Autoscaler.step` gets the leader's knowledge as arguments and returns what to
rent, drain and return. Each concern has a module of its own: `demand_signal`, `machine_choice`, `idle_pool`,
`faulty_machines` and `consolidation`.
"""

from collections.abc import Iterable
from datetime import timedelta

from ramptide.autoscaling.consolidation import ServiceConsolidation
from ramptide.autoscaling.demand_fitting import DemandFitting
from ramptide.autoscaling.demand_signal import DemandSignal, Trigger
from ramptide.autoscaling.faulty_machines import AgentDurations, FaultyMachines
from ramptide.autoscaling.fleet_types import IDLE, UNDERUTILIZED, Demand, FleetMachine, MachineKind, ScalingPlan
from ramptide.autoscaling.idle_pool import IdlePool
from ramptide.autoscaling.machine_choice import MachineChoice
from ramptide.config.tuning import Tuning
from ramptide.protocol.cloud import MachineType
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["Autoscaler"]


class Autoscaler:
    """Decides in steps which machines to rent, keep idle and return; `tuning` may be replaced between two steps."""

    def __init__(self, tuning: Tuning, durations: AgentDurations, errors: IsolatedErrors) -> None:
        self.tuning = tuning
        fitting = DemandFitting(errors)
        self._signal = DemandSignal(fitting)
        self._choice = MachineChoice(fitting)
        self._pool = IdlePool(fitting)
        self._faulty = FaultyMachines(durations)
        self._consolidation = ServiceConsolidation()

    # Values for the status and the metrics.

    @property
    def trigger(self) -> Trigger:
        """Whether enough tasks wait for machines to be rented."""
        return self._signal.trigger

    @property
    def waiting(self) -> int:
        """The number of waiting tasks without room, as of the last step."""
        return self._signal.waiting

    @property
    def long_waiting(self) -> int:
        """The number of waiting tasks without room that have waited for longer than `Tuning.long_wait`."""
        return self._signal.long_waiting

    @property
    def idle_pool(self) -> list[str]:
        """The hosts of the idle machines that are kept ready."""
        return self._pool.hosts

    # Results of requests and uses of images.

    def record_refusal(self, kind: MachineKind, now: timedelta) -> None:
        """Record that the cloud had no capacity for a kind: it is not tried for a while, longer after each refusal."""
        self._choice.record_refusal(kind, now)

    def record_rental(self, kind: MachineKind) -> None:
        """Record that machines of a kind were rented, which ends the pause after refusals."""
        self._choice.record_rental(kind)

    def record_image_use(self, image: str) -> None:
        """Count a use of an image: the idle pool prefers machines that have cached the images used most recently."""
        self._pool.record_image_use(image)

    # Decisions.

    def step(
        self,
        now: timedelta,
        demands: list[Demand],
        machines: list[FleetMachine],
        machine_types: Iterable[MachineType],
        is_state_complete: bool,
    ) -> ScalingPlan:
        """Return which machines to rent, drain, keep and return.

        `demands` are the waiting tasks, the most urgent first. While `is_state_complete` is false, as after a change of
        view, nothing is rented and no idle machine is drained.
        """
        plan = ScalingPlan()
        uncovered = self._signal.update_counts(demands, machines, self.tuning)
        self._signal.update_trigger(now, self.tuning)
        self._faulty.add_to_plan(plan, now, machines, self.tuning)
        self._pool.update(now, machines, self.tuning)
        self._consolidation.track_services(now, machines)
        if is_state_complete:
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
        """Plan rentals for waiting tasks while the trigger is high.

        While the trigger is low, one rental is planned if the idle pool is too small.
        """
        if self.trigger is Trigger.HIGH:
            plan.rent = self._choice.choose_cheapest(now, uncovered, machine_types, self.tuning)
            plan.count = self._choice.rental_count(plan.rent, uncovered, machine_types, self.tuning.step_most)
        elif self.trigger is Trigger.LOW and self._pool.is_short(machines):
            plan.rent, plan.count = self._choice.choose_for_pool(now, machine_types), 1

    def _scale_in(
        self, plan: ScalingPlan, now: timedelta, uncovered: list[Demand], machines: list[FleetMachine]
    ) -> None:
        """Plan to drain machines that were idle for the cooldown, once the trigger has been low for the cooldown too.

        While the trigger is not low, only idle machines that no waiting task can use are drained: a job that cannot be
        placed must not keep all idle machines rented.
        """
        was_low_for_cooldown = self._signal.has_been_low_for(self.tuning.cooldown, now)
        if was_low_for_cooldown or self.trigger is not Trigger.LOW:
            usable_by = None if was_low_for_cooldown else uncovered
            for host in self._pool.idle_for_long(now, machines, self.tuning, usable_by):
                plan.drain.setdefault(host, IDLE)
        if was_low_for_cooldown:
            host_to_empty = self._consolidation.choose_machine(now, machines, plan.drain, self.tuning)
            if host_to_empty is not None:
                plan.drain[host_to_empty] = UNDERUTILIZED
