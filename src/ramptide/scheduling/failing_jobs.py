"""The jobs of a scheduler that fail wherever they run, and when their next start may be tried."""

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from ramptide.scheduling.attempts import Attempt
from ramptide.scheduling.job_state import JobState

__all__ = ["FailingJobs"]

log = logging.getLogger(__name__)

#: A job stays away so long from a machine on which a task of it failed.
EXCLUDED_AFTER_FAILURE = timedelta(seconds=60)


class FailingJobs:
    """Tells failures of jobs from failures of machines.

    Parameters
    ----------
    is_faulty
        Tells whether a machine is known as faulty: what fails there is not held against the job.
    """

    def __init__(self, is_faulty: Callable[[str], bool]) -> None:
        self._is_faulty = is_faulty
        self.by_id: dict[str, JobState] = {}

    def discard(self, job_id: str) -> None:
        """Drop a job that is not ours any more."""
        self.by_id.pop(job_id, None)

    def task_failed(self, job_state: JobState, attempt: Attempt, now: timedelta) -> None:
        """Hold a failure against the job, unless the machine is known as faulty."""
        log.info("task failed: task_id=%s/%d host=%s", attempt.spec.job_id, attempt.task_index, attempt.host)
        job_state.excluded_until[attempt.host] = now + EXCLUDED_AFTER_FAILURE
        if self._is_faulty(attempt.host):
            return
        job_state.failed_on.add(attempt.host)
        if attempt.running_since is not None:
            job_state.longest_failed_run = max(job_state.longest_failed_run, now - attempt.running_since)
        self.back_off(job_state, now)

    def back_off(self, job_state: JobState, now: timedelta) -> None:
        """Put off the next start of a job if it fails wherever it runs."""
        if job_state.failing:
            self.by_id[job_state.job.job_id] = job_state
            job_state.back_off(now)

    def clear(self, job_state: JobState) -> bool:
        """Forget a job's failures; return whether it was held back by them."""
        job_state.forget_failures()
        return self.by_id.pop(job_state.job.job_id, None) is not None

    def clear_recovered(self, now: timedelta) -> bool:
        """Forget the failures of jobs of which a task has run for well over what others took to fail.

        Returns whether there were any.
        """
        recovered = [job_state for job_state in self.by_id.values() if job_state.has_recovered(now)]
        for job_state in recovered:
            self.clear(job_state)
        return bool(recovered)

    def machine_faulty(self, host: str, jobs: Mapping[str, JobState]) -> bool:
        """Take back what failed on a machine: it was the machine's fault, not the jobs'.

        Returns whether a job is no longer held back.
        """
        cleared = False
        for job_state in jobs.values():
            if host in job_state.failed_on:
                job_state.failed_on.discard(host)
                if not job_state.failing and job_state.job.job_id in self.by_id:
                    cleared = self.clear(job_state) or cleared
        return cleared
