"""An index by job of the reported tasks: their machines, and how many of them run."""

from collections import Counter
from collections.abc import Iterator, Mapping

from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.protocol.jobs import JobSpec
from ramptide.state.jobs import Job
from ramptide.state.task_state import RUNNING_PHASE_NAME, TaskRow

__all__ = ["TaskIndex"]


class TaskIndex:
    """The tasks that the owners of machines report, by job.

    Parameters
    ----------
    machines
        The observed machines by name, which `MachineIndex` keeps up to date.
    jobs
        The unfinished jobs by id.
    """

    def __init__(self, machines: Mapping[str, ObservedMachine], jobs: Mapping[str, Job]) -> None:
        self._machines = machines
        self._jobs = jobs
        #: The number of running tasks of each job.
        self.running_tasks: Counter[str] = Counter()
        self._hosts_by_job: dict[str, set[str]] = {}
        #: The specs of finished jobs whose tasks are still reported, from which the room of these tasks is known.
        self._finished_specs: dict[str, JobSpec] = {}

    def clear(self) -> None:
        """Remove all entries when a new view begins."""
        self.running_tasks.clear()
        self._hosts_by_job.clear()
        self._finished_specs.clear()

    def replace_tasks(self, host: str, before: list[TaskRow], after: list[TaskRow]) -> set[str]:
        """Replace the tasks of a machine, and return the jobs of both lists."""
        jobs_before = {job_id for job_id, _, _, _, _ in before}
        jobs_after = {job_id for job_id, _, _, _, _ in after}
        self._count_running(before, after)
        for job_id in jobs_before - jobs_after:
            self._remove_host(job_id, host)
        for job_id in jobs_after - jobs_before:
            self._hosts_by_job.setdefault(job_id, set()).add(host)
        return jobs_before | jobs_after

    def _count_running(self, before: list[TaskRow], after: list[TaskRow]) -> None:
        for job_id, _, _, phase, _ in before:
            if phase == RUNNING_PHASE_NAME:
                self.running_tasks[job_id] -= 1
        for job_id, _, _, phase, _ in after:
            if phase == RUNNING_PHASE_NAME:
                self.running_tasks[job_id] += 1

    def _remove_host(self, job_id: str, host: str) -> None:
        """Remove a machine on which no task of the job is reported any more."""
        hosts = self._hosts_by_job.get(job_id, set())
        hosts.discard(host)
        if not hosts:
            self._hosts_by_job.pop(job_id, None)
            self._finished_specs.pop(job_id, None)
        if not self.running_tasks[job_id]:
            del self.running_tasks[job_id]

    def record_job_finished(self, job_id: str, spec: JobSpec) -> None:
        """Keep the spec of a finished job while any of its tasks is reported."""
        if job_id in self._hosts_by_job:
            self._finished_specs[job_id] = spec

    def spec_of(self, job_id: str) -> JobSpec | None:
        """Return the spec of a job; None if it finished before any task was reported, or is not known here yet."""
        job = self._jobs.get(job_id)
        return job.spec if job is not None else self._finished_specs.get(job_id)

    def hosts_of(self, job_id: str) -> set[str]:
        """Return the machines on which a task of the job is reported."""
        return self._hosts_by_job.get(job_id, set())

    def tasks_of(self, job_id: str) -> Iterator[tuple[str, TaskRow]]:
        """Return the reported tasks of the job, each with its machine."""
        return ((host, row) for host in self.hosts_of(job_id) for row in self._machines[host].tasks if row[0] == job_id)
