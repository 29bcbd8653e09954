"""The attempts of a scheduler's jobs: every start that may be on a machine, and what it uses of its team's limit."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ramptide.protocol.jobs import JobSpec
from ramptide.state.amounts import Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskKey


@dataclass(slots=True)
class Attempt:
    """One start of a task that this scheduler decided on or adopted; kept until it is proven gone.

    `sequence_number` is that of the first message to the machine's owner that carries the present desired state.
    """

    spec: JobSpec
    task_index: int
    number: int
    host: str
    zone: str
    desired: DesiredState
    sequence_number: int
    created_at: timedelta
    phase: Phase = Phase.QUEUED
    grace: timedelta = NO_TIME
    is_counted: bool = False
    running_since: timedelta | None = None

    @property
    def key(self) -> TaskKey:
        """The job id, the task index and the number of the attempt."""
        return (self.spec.job_id, self.task_index, self.number)


class AttemptIndex:
    """Attempts by machine and by job, those that the machines' owners do not report, and what the teams use.

    `by_host` and `by_job` change only in `add` and `remove`, and `usage` changes only in `update_usage`.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, dict[TaskKey, Attempt]] = {}
        self.by_job: dict[str, dict[TaskKey, Attempt]] = {}
        #: Attempts that the machine's owner does not report: each either has not reached the owner yet or is gone.
        self.unreported: dict[TaskKey, Attempt] = {}
        #: The CPUs and GPUs that each team's attempts hold.
        self.usage: TeamAmounts = {}

    def of_job(self, job_id: str) -> list[Attempt]:
        """Return the attempts of a job as a new list, which does not change while attempts are added or removed."""
        return list(self.by_job.get(job_id, {}).values())

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, as one that the machine's owner does not report yet."""
        key = attempt.key
        self.by_host.setdefault(attempt.host, {})[key] = attempt
        self.by_job.setdefault(attempt.spec.job_id, {})[key] = attempt
        self.unreported[key] = attempt
        self.update_usage(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt from the indexes and from its team's usage."""
        key = attempt.key
        for index, name in ((self.by_host, attempt.host), (self.by_job, attempt.spec.job_id)):
            entries = index.get(name)
            if entries is not None and entries.pop(key, None) is not None and not entries:
                del index[name]
        self.unreported.pop(key, None)
        self.update_usage(attempt, is_gone=True)

    def update_usage(self, attempt: Attempt, is_gone: bool = False) -> None:
        """Count an attempt in its team's usage exactly while it may be on a machine."""
        should_count = not is_gone and attempt.phase not in FINISHED_PHASES
        if should_count is not attempt.is_counted:
            attempt.is_counted = should_count
            sign = 1 if should_count else -1
            add_amounts(self.usage, attempt.spec.team, amounts_of(attempt.spec).times(sign))


def sum_amounts(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    """Return the CPUs and GPUs of the attempts that may be on a machine, by team."""
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in FINISHED_PHASES:
            add_amounts(total, attempt.spec.team, amounts_of(attempt.spec))
    return total
