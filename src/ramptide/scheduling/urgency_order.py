"""The current order of waiting jobs, by the operators' settings and the teams' use of their guarantees."""

from datetime import datetime, timedelta
from typing import Any, Protocol

from ramptide.config.tuning import Tuning
from ramptide.protocol.jobs import JobSpec
from ramptide.scheduling.urgency import urgency
from ramptide.state.jobs import Job

__all__ = ["GuaranteeUsage", "UrgencyOrder"]


class OrderState(Protocol):
    """The settings on which the order depends."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def prompt_classes(self) -> frozenset[str]:
        """The job classes that are to start promptly, as people wait for them."""


class GuaranteeUsage(Protocol):
    """The quota feature, which knows what each team uses over all controllers."""

    def is_within_guarantee(self, spec: JobSpec) -> bool:
        """Return whether one more task of the job keeps its team within its guarantee."""


class UrgencyOrder:
    """Sorts waiting jobs; `quota` is None where the quota feature is off."""

    def __init__(self, state: OrderState, quota: GuaranteeUsage | None) -> None:
        self._state = state
        self._quota = quota

    def urgency_of(self, job: Job, idle: timedelta, wall: datetime) -> tuple[Any, ...]:
        """Return the sort key of a job that has been idle for the given time, the most urgent lowest."""
        tuning = self._state.tuning
        guarantees_first = self._quota is not None and bool(tuning.guarantees_first)
        guaranteed = guarantees_first and self._quota is not None and self._quota.is_within_guarantee(job.spec)
        prompt_classes = self._state.prompt_classes
        return urgency(job, idle, wall, prompt_classes, tuning.patience, tuning.begin_within, guaranteed)
