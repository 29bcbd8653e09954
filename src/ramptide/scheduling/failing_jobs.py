"""The jobs of a scheduler that fail wherever they run, and the back-off of their starts."""

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from ramptide.scheduling.attempts import Attempt
from ramptide.scheduling.job_state import JobState

__all__ = ["FailingJobs"]

log = logging.getLogger(__name__)

#: How long a job is not started on a machine after one of its tasks failed there.
EXCLUDED_AFTER_FAILURE = timedelta(seconds=60)


class FailingJobs:
    """Attributes failures of tasks to jobs or to faulty machines, and backs off the starts of failing jobs.

    Parameters
    ----------
    is_faulty
        Returns whether a machine is known to be faulty; failures there do not count against the job.
    """

    def __init__(self, is_faulty: Callable[[str], bool]) -> None:
        self._is_faulty = is_faulty
        self.by_id: dict[str, JobState] = {}

    def discard(self, job_id: str) -> None:
        """Remove a job that this controller no longer schedules."""
        self.by_id.pop(job_id, None)

    def record_failure(self, job_state: JobState, attempt: Attempt, now: timedelta) -> None:
        """Count a failure against the job, unless the machine is known to be faulty."""
        log.info("task failed: task_id=%s/%d host=%s", attempt.spec.job_id, attempt.task_index, attempt.host)
        job_state.exclude(attempt.host, now + EXCLUDED_AFTER_FAILURE)
        if self._is_faulty(attempt.host):
            return
        job_state.failed_on.add(attempt.host)
        if attempt.running_since is not None:
            job_state.longest_failed_run = max(job_state.longest_failed_run, now - attempt.running_since)
        self.back_off(job_state, now)

    def add_adopted(self, job_state: JobState, now: timedelta) -> None:
        """Hold back a job that failed on several machines under its previous scheduler, as after a failure here."""
        if not job_state.is_failing:
            return
        for host in job_state.avoided_hosts:
            job_state.exclude(host, now + EXCLUDED_AFTER_FAILURE)
        self.back_off(job_state, now)

    def back_off(self, job_state: JobState, now: timedelta) -> None:
        """Delay the next start of a job if it fails wherever it runs."""
        if job_state.is_failing:
            self.by_id[job_state.job.job_id] = job_state
            job_state.back_off(now)

    def clear_failures(self, job_state: JobState) -> bool:
        """Clear a job's failures; return whether its starts were backed off because of them."""
        job_state.clear_failures()
        return self.by_id.pop(job_state.job.job_id, None) is not None

    def clear_recovered(self, now: timedelta) -> bool:
        """Clear the failures of jobs of which a task has run for well over the time that other tasks took to fail.

        Returns whether there were such jobs.
        """
        recovered = [job_state for job_state in self.by_id.values() if job_state.has_recovered(now)]
        for job_state in recovered:
            self.clear_failures(job_state)
        return bool(recovered)

    def discard_failures_on(self, host: str, jobs: Mapping[str, JobState]) -> bool:
        """Discard the jobs' failures on a machine that has turned out to be faulty.

        Returns whether the starts of some job are no longer backed off.
        """
        cleared = False
        for job_state in jobs.values():
            if host in job_state.failed_on:
                job_state.failed_on.discard(host)
                if not job_state.is_failing and job_state.job.job_id in self.by_id:
                    cleared = self.clear_failures(job_state) or cleared
        return cleared
