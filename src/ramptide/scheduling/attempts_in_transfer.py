"""Attempts of jobs that were handed over: they count here until the new scheduler confirms that it counts them."""

from collections.abc import Callable

from ramptide.scheduling.attempts import Attempt, sum_amounts
from ramptide.state.amounts import Amounts
from ramptide.state.task_state import TaskRow

__all__ = ["AttemptsInTransfer"]


class AttemptsInTransfer:
    """The attempts of each job that was handed over and whose new scheduler does not count them yet."""

    def __init__(self) -> None:
        self._by_job: dict[str, list[Attempt]] = {}

    def add(self, attempt: Attempt) -> None:
        """Add an attempt of a job that has another scheduler now, so that it still counts here."""
        self._by_job.setdefault(attempt.spec.job_id, []).append(attempt)

    def remove_job(self, job_id: str) -> None:
        """Remove the attempts of a job, which its new scheduler counts from now on."""
        self._by_job.pop(job_id, None)

    def remove_machine(self, host: str) -> None:
        """Remove the attempts on a machine that was returned."""
        for attempts in self._by_job.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

    def prune(self, acknowledged_number: int, confirmed_tasks: Callable[[str], list[TaskRow] | None]) -> None:
        """Remove the attempts that an owner does not list although it has processed the desired states for them.

        The owner has processed the messages of this controller up to `acknowledged_number`. `confirmed_tasks` returns
        the owner's list of the tasks on a machine, or None while that list proves nothing.
        """
        if not self._by_job:
            # This is the usual case, and the method is called for each message of each owner.
            return

        def is_possibly_on_machine(attempt: Attempt) -> bool:
            tasks = confirmed_tasks(attempt.host)
            return (
                tasks is None
                or acknowledged_number < attempt.sequence_number
                or any(row[:3] == attempt.key for row in tasks)
            )

        remaining = {job_id: [*filter(is_possibly_on_machine, attempts)] for job_id, attempts in self._by_job.items()}
        self._by_job = {job_id: attempts for job_id, attempts in remaining.items() if attempts}

    def amounts_by_job(self) -> dict[str, dict[str, Amounts]]:
        """Return the CPUs and GPUs of the attempts of each job, by team."""
        return {job_id: sum_amounts(attempts) for job_id, attempts in self._by_job.items()}
