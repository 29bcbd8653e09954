"""The tasks of finished jobs that a heartbeat shows, whatever fencing token its agent has seen.

A start needs proof that nobody else may start the task. A stop of a finished job's task needs none: the job stays
finished, so the stop is right at any time, from any controller, and on a machine on which the task has ended.
"""

from collections.abc import Iterator
from typing import Protocol

from ramptide.protocol.agents import Command, Heartbeat, TaskStatus, decode_task_reports, parse_task_id, stop_command
from ramptide.protocol.jobs import JobSpec
from ramptide.state.task_state import NO_TIME, TaskKey

__all__ = ["JobLookup", "stops_of_finished_jobs", "undecided_tasks"]


class JobLookup(Protocol):
    """The unfinished jobs, and which other jobs are known to be finished."""

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of an unfinished job; None for any other job."""

    def is_finished(self, job_id: str) -> bool:
        """Return whether a job that some agent was told to run is certainly finished."""

    def are_records_complete(self) -> bool:
        """Return whether the records of all jobs that earlier views accepted have been read."""


def stops_of_finished_jobs(heartbeat: Heartbeat, jobs: JobLookup) -> list[Command]:
    """Return the commands that stop the tasks of finished jobs that a heartbeat shows, without time to save.

    Raises
    ------
    MessageError
        If the tasks of the heartbeat cannot be read.
    """
    return [
        stop_command(job_id, task_index, attempt, NO_TIME)
        for job_id, task_index, attempt in _unfinished_tasks(heartbeat)
        if jobs.is_finished(job_id)
    ]


def undecided_tasks(heartbeat: Heartbeat, jobs: JobLookup) -> list[str]:
    """Return the tasks in a heartbeat whose jobs may be finished, or accepted since the records were read.

    Raises
    ------
    MessageError
        If the tasks of the heartbeat cannot be read.
    """
    if jobs.are_records_complete():
        return []
    return [
        f"{job_id}/{task_index}"
        for job_id, task_index, _ in _unfinished_tasks(heartbeat)
        if jobs.find_spec(job_id) is None and not jobs.is_finished(job_id)
    ]


def _unfinished_tasks(heartbeat: Heartbeat) -> Iterator[TaskKey]:
    for report in decode_task_reports(heartbeat.raw_tasks):
        if report.status != TaskStatus.ENDED:
            job_id, task_index = parse_task_id(report.task_id)
            yield job_id, task_index, report.attempt
