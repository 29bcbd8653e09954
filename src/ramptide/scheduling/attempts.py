"""The attempts of a scheduler's jobs: every start that may be on a machine, and what it uses of its team's limit."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

from ramptide.protocol.jobs import JobSpec
from ramptide.state.amounts import Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskKey

IndexKey = TypeVar("IndexKey", bound=Hashable)


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
    """Attempts by machine, job and task, those that the machines' owners do not report, and what the teams use.

    `by_host`, `by_job` and `by_task` change only in `add` and `remove`, and `usage` changes only in `update_usage`.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, dict[TaskKey, Attempt]] = {}
        self.by_job: dict[str, dict[TaskKey, Attempt]] = {}
        #: By job id and task index. A task has several attempts while all but one of them are being stopped or reaped.
        self.by_task: dict[tuple[str, int], dict[TaskKey, Attempt]] = {}
        #: Attempts that the machine's owner does not report: each either has not reached the owner yet or is gone.
        self.unreported: dict[TaskKey, Attempt] = {}
        #: The CPUs and GPUs that each team's attempts hold.
        self.usage: TeamAmounts = {}

    def of_job(self, job_id: str) -> list[Attempt]:
        """Return the attempts of a job as a new list, which does not change while attempts are added or removed."""
        return list(self.by_job.get(job_id, {}).values())

    def possible_attempt(self, job_id: str, task_index: int) -> Attempt | None:
        """Return an attempt of the task that may be on a machine, rather one that is to run; None without any."""
        attempts = self.by_task.get((job_id, task_index), {}).values()
        possible = [attempt for attempt in attempts if attempt.phase not in FINISHED_PHASES]
        return min(possible, key=lambda attempt: attempt.desired is not DesiredState.RUN, default=None)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, as one that the machine's owner does not report yet."""
        key = attempt.key
        self.by_host.setdefault(attempt.host, {})[key] = attempt
        self.by_job.setdefault(attempt.spec.job_id, {})[key] = attempt
        self.by_task.setdefault(key[:2], {})[key] = attempt
        self.unreported[key] = attempt
        self.update_usage(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt from the indexes and from its team's usage."""
        key = attempt.key
        _remove_from(self.by_host, attempt.host, key)
        _remove_from(self.by_job, attempt.spec.job_id, key)
        _remove_from(self.by_task, key[:2], key)
        self.unreported.pop(key, None)
        self.update_usage(attempt, is_gone=True)

    def update_usage(self, attempt: Attempt, is_gone: bool = False) -> None:
        """Count an attempt in its team's usage exactly while it may be on a machine."""
        should_count = not is_gone and attempt.phase not in FINISHED_PHASES
        if should_count is not attempt.is_counted:
            attempt.is_counted = should_count
            sign = 1 if should_count else -1
            add_amounts(self.usage, attempt.spec.team, amounts_of(attempt.spec).times(sign))


def _remove_from(index: dict[IndexKey, dict[TaskKey, Attempt]], index_key: IndexKey, key: TaskKey) -> None:
    """Remove an attempt from one index, and the entry of the index if it was the last one there."""
    entries = index.get(index_key)
    if entries is not None and entries.pop(key, None) is not None and not entries:
        del index[index_key]


def sum_amounts(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    """Return the CPUs and GPUs of the attempts that may be on a machine, by team."""
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in FINISHED_PHASES:
            add_amounts(total, attempt.spec.team, amounts_of(attempt.spec))
    return total
