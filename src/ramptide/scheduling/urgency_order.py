"""The order of waiting jobs at this moment, by the operators' settings and what teams use of their guarantees."""

from datetime import datetime, timedelta
from typing import Any, Protocol

from ramptide.config.tuning import Tuning
from ramptide.protocol.jobs import JobSpec
from ramptide.scheduling.urgency import urgency
from ramptide.state.jobs import Job

__all__ = ["GuaranteeUsage", "UrgencyOrder"]


class OrderState(Protocol):
    """The settings that decide the order."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def prompt_classes(self) -> frozenset[str]:
        """Classes whose starts people wait for."""


class GuaranteeUsage(Protocol):
    """The quota feature, which knows what teams use over all controllers."""

    def within_guarantee(self, spec: JobSpec) -> bool:
        """Tell whether one more task of the job lies within its team's guarantee."""


class UrgencyOrder:
    """Sorts waiting jobs; `quota` is None where the quota feature is off."""

    def __init__(self, state: OrderState, quota: GuaranteeUsage | None) -> None:
        self._state = state
        self._quota = quota

    def urgency_of(self, job: Job, idle: timedelta, wall: datetime) -> tuple[Any, ...]:
        """Return the sort key of a job that has been idle for so long, the most urgent lowest."""
        tuning = self._state.tuning
        guarantees_first = self._quota is not None and bool(tuning.guarantees_first)
        guaranteed = guarantees_first and self._quota is not None and self._quota.within_guarantee(job.spec)
        prompt_classes = self._state.prompt_classes
        return urgency(job, idle, wall, prompt_classes, tuning.patience, tuning.begin_within, guaranteed)
