"""The attempts of a scheduler's jobs: every start that may be on a machine, and what it counts against its team."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ramptide.protocol.jobs import JobSpec
from ramptide.state.amounts import Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskKey


@dataclass(slots=True)
class Attempt:
    """One start that we decided on, or found and took over; held until it is proven gone.

    `sequence_number`: the number of the message to the owner that first tells of its present desired state.
    """

    spec: JobSpec
    task_index: int
    number: int
    host: str
    zone: str
    desired: DesiredState
    sequence_number: int
    since: timedelta
    phase: Phase = Phase.QUEUED
    grace: timedelta = NO_TIME
    counted: bool = False
    running_since: timedelta | None = None

    @property
    def key(self) -> TaskKey:
        """The job, the task and the number of the attempt."""
        return (self.spec.job_id, self.task_index, self.number)


class AttemptIndex:
    """Attempts by machine and by job, those that their owners do not show, and what the teams use.

    One function adds an attempt, one removes it, one counts it.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, dict[TaskKey, Attempt]] = {}
        self.by_job: dict[str, dict[TaskKey, Attempt]] = {}
        #: Attempts that their owners do not show; each is either on its way there or gone.
        self.unshown: dict[TaskKey, Attempt] = {}
        #: What each team's attempts hold.
        self.usage: TeamAmounts = {}

    def of_job(self, job_id: str) -> list[Attempt]:
        """Return the attempts of a job, as a list that stays while they are added and removed."""
        return list(self.by_job.get(job_id, {}).values())

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, which its machine's owner is taken not to show yet."""
        key = attempt.key
        self.by_host.setdefault(attempt.host, {})[key] = attempt
        self.by_job.setdefault(attempt.spec.job_id, {})[key] = attempt
        self.unshown[key] = attempt
        self.count(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt."""
        key = attempt.key
        for index, name in ((self.by_host, attempt.host), (self.by_job, attempt.spec.job_id)):
            entries = index.get(name)
            if entries is not None and entries.pop(key, None) is not None and not entries:
                del index[name]
        self.unshown.pop(key, None)
        self.count(attempt, gone=True)

    def count(self, attempt: Attempt, gone: bool = False) -> None:
        """Count an attempt against its team while it may possibly be on a machine, and no longer."""
        counts = not gone and attempt.phase not in FINISHED_PHASES
        if counts is not attempt.counted:
            attempt.counted = counts
            sign = 1 if counts else -1
            add_amounts(self.usage, attempt.spec.team, amounts_of(attempt.spec).times(sign))


def sum_amounts(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    """Return what the attempts that may be on a machine hold, by team."""
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in FINISHED_PHASES:
            add_amounts(total, attempt.spec.team, amounts_of(attempt.spec))
    return total
