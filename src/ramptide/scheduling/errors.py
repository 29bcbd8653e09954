"""The errors of the scheduling of jobs."""

__all__ = ["SchedulingError", "TaskMayRunError"]


class SchedulingError(Exception):
    """The base class of all errors of this package."""


class TaskMayRunError(SchedulingError):
    """A task was to be started while an attempt of it may be on a machine."""

    def __init__(self, job_id: str, task_index: int, attempt: int, host: str) -> None:
        super().__init__(f"{job_id}/{task_index}: attempt {attempt} may be on {host}")
