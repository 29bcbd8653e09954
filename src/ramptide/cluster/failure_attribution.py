"""Attribution of failures to a machine or to a job, by where jobs failed and where they run or succeeded."""

from collections.abc import Callable, Iterable, Mapping

from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.cluster.task_index import TaskIndex
from ramptide.protocol.agents import TaskOutcome
from ramptide.state.jobs import Job
from ramptide.state.task_state import RUNNING_PHASE_NAME, TaskRow

__all__ = ["MAX_FAULTY_MACHINES", "FailureAttribution"]

#: A job that failed on more machines than this is most likely at fault itself, even if a task of it succeeds later.
MAX_FAULTY_MACHINES = 3


class FailureAttribution:
    """An index of the failed jobs that the owners of machines still report.

    Parameters
    ----------
    machines
        The observed machines by name, which `MachineIndex` keeps up to date.
    jobs
        The unfinished jobs by id.
    tasks
        The tasks that the owners of machines report.
    on_change
        Called with the machines for which the attribution may have changed.
    """

    def __init__(
        self,
        machines: Mapping[str, ObservedMachine],
        jobs: Mapping[str, Job],
        tasks: TaskIndex,
        on_change: Callable[[Iterable[str]], None],
    ) -> None:
        self._machines = machines
        self._jobs = jobs
        self._tasks = tasks
        self._on_change = on_change
        self._hosts_by_failed_job: dict[str, set[str]] = {}
        #: The failed jobs of which at least one task succeeded.
        self._succeeded_jobs: set[str] = set()

    def clear(self) -> None:
        """Remove all entries when a new view begins."""
        self._hosts_by_failed_job.clear()
        self._succeeded_jobs.clear()

    def replace_failed_jobs(self, host: str, jobs_before: Iterable[str], jobs_after: Iterable[str]) -> None:
        """Replace the set of jobs that failed on a machine."""
        before, after = set(jobs_before), set(jobs_after)
        for job_id in before - after:
            self._remove(host, job_id)
        for job_id in after - before:
            self._add(host, job_id)

    def _remove(self, host: str, job_id: str) -> None:
        hosts = self._hosts_by_failed_job[job_id]
        self._on_change(hosts)
        hosts.discard(host)
        if not hosts:
            del self._hosts_by_failed_job[job_id]
            self._succeeded_jobs.discard(job_id)

    def _add(self, host: str, job_id: str) -> None:
        hosts = self._hosts_by_failed_job.setdefault(job_id, set())
        hosts.add(host)
        self._on_change(hosts)
        job = self._jobs.get(job_id)
        has_recorded_success = job is not None and job.progress.count > 0
        if has_recorded_success or any(_has_succeeded(row) for _, row in self._tasks.tasks_of(job_id)):
            self.record_job_success(job_id)

    def apply_task_change(self, job_ids: set[str], tasks: list[TaskRow]) -> None:
        """Update the attribution after the reported tasks of a machine have changed.

        Parameters
        ----------
        job_ids
            The jobs of the tasks that are reported now or were reported before.
        tasks
            The tasks that are reported now.
        """
        if self._hosts_by_failed_job.keys().isdisjoint(job_ids):
            return
        for job_id in self._hosts_by_failed_job.keys() & job_ids:
            self._on_change(self._hosts_by_failed_job[job_id])
        for row in tasks:
            if _has_succeeded(row):
                self.record_job_success(row[0])

    def record_job_success(self, job_id: str) -> None:
        """Record that a task of the job succeeded, so the failures of the job may be the fault of the machines."""
        if job_id in self._hosts_by_failed_job and job_id not in self._succeeded_jobs:
            self._succeeded_jobs.add(job_id)
            self._on_change(self._hosts_by_failed_job[job_id])

    def hosts_failed_on(self, job_id: str) -> set[str]:
        """Return the machines on which the job failed; an empty set when a task of it succeeded."""
        return set() if job_id in self._succeeded_jobs else set(self._hosts_by_failed_job.get(job_id, ()))

    def failing_jobs(self) -> dict[str, int]:
        """Return the jobs that failed on several machines and succeeded on none, each with the number of machines."""
        return {
            job_id: len(hosts)
            for job_id, hosts in self._hosts_by_failed_job.items()
            if len(hosts) > 1 and job_id not in self._succeeded_jobs
        }

    def count_jobs_indicating_fault(self, host: str) -> int:
        """Return how many different jobs indicate that the machine is faulty.

        Such a job failed on the machine, where no task has succeeded since. Either a task of it succeeded and it failed
        on at most `MAX_FAULTY_MACHINES` machines, or it failed on this machine only and runs on another one. A job that
        fails on every machine indicates no fault, whether or not it has finished.
        """
        return sum(self._indicates_fault(job_id, host) for job_id in self._machines[host].recently_failed_jobs)

    def _indicates_fault(self, job_id: str, host: str) -> bool:
        if job_id in self._succeeded_jobs:
            return len(self._hosts_by_failed_job[job_id]) <= MAX_FAULTY_MACHINES
        return len(self._hosts_by_failed_job[job_id]) == 1 and self._runs_elsewhere(job_id, host)

    def _runs_elsewhere(self, job_id: str, host: str) -> bool:
        return any(row[3] == RUNNING_PHASE_NAME and other != host for other, row in self._tasks.tasks_of(job_id))


def _has_succeeded(row: TaskRow) -> bool:
    *_, outcome = row
    return outcome == TaskOutcome.SUCCEEDED
