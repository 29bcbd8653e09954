"""Attempts of jobs that were handed over, which count here until the new scheduler says that it counts them."""

from collections.abc import Callable

from ramptide.scheduling.attempts import Attempt, sum_amounts
from ramptide.state.amounts import Amounts
from ramptide.state.task_state import TaskRow

__all__ = ["AttemptsInTransfer"]


class AttemptsInTransfer:
    """The attempts of each job in transfer."""

    def __init__(self) -> None:
        self._by_job: dict[str, list[Attempt]] = {}

    def add(self, attempt: Attempt) -> None:
        """Count an attempt of a job that has another scheduler now."""
        self._by_job.setdefault(attempt.spec.job_id, []).append(attempt)

    def confirm(self, job_id: str) -> None:
        """Stop counting the attempts of a job, as its new scheduler counts them."""
        self._by_job.pop(job_id, None)

    def remove_machine(self, host: str) -> None:
        """Drop the attempts on a machine that was returned."""
        for attempts in self._by_job.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

    def prune(self, ack: int, confirmed_tasks: Callable[[str], list[TaskRow] | None]) -> None:
        """Drop the attempts that an owner's list lacks although it has processed our messages up to `ack`.

        `confirmed_tasks` returns its list for a machine, None while that proves nothing.
        """
        if not self._by_job:
            # By far the most calls: this runs for each message of each owner.
            return

        def may_be_there(attempt: Attempt) -> bool:
            tasks = confirmed_tasks(attempt.host)
            return tasks is None or ack < attempt.sequence_number or any(row[:3] == attempt.key for row in tasks)

        left = {job_id: [*filter(may_be_there, attempts)] for job_id, attempts in self._by_job.items()}
        self._by_job = {job_id: attempts for job_id, attempts in left.items() if attempts}

    def amounts_by_job(self) -> dict[str, dict[str, Amounts]]:
        """Return what the attempts of each job hold, by team."""
        return {job_id: sum_amounts(attempts) for job_id, attempts in self._by_job.items()}
