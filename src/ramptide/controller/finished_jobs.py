"""Which jobs are certainly finished, so that their tasks may be stopped wherever an agent shows them."""

from collections.abc import Callable
from typing import Protocol

from ramptide.cluster.membership import Membership
from ramptide.protocol.jobs import JobSpec
from ramptide.state.records import JOB_PREFIX
from ramptide.state.watch_cache import WatchCache

__all__ = ["FinishedJobs"]


class JobSource(Protocol):
    """The jobs that the records show."""

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of an unfinished job; None for any other job."""


class FinishedJobs:
    """Tells finished jobs from those that the local copy of the records does not contain yet.

    A job's record is written before any of its tasks is started, on the condition that the view is the current one. So
    a copy that contains the record of the present view contains the jobs of all earlier views. The leader, which knows
    its own view at once, and a controller that reads the records in several pages may have an older copy for a moment.

    Parameters
    ----------
    is_reported_finished
        Whether another controller reported a job as finished while the local copy still contains the job.
    """

    def __init__(
        self,
        state: JobSource,
        membership: Membership,
        watch_cache: WatchCache,
        is_reported_finished: Callable[[str], bool],
    ) -> None:
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._is_reported_finished = is_reported_finished

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of an unfinished job; None for any other job."""
        return self._state.find_spec(job_id)

    def is_finished(self, job_id: str) -> bool:
        """Return whether a job, one of whose tasks is on a machine, is certainly finished.

        A job whose record cannot be read is not: its key is in the copy.
        """
        if self._state.find_spec(job_id) is not None:
            return False
        key = JOB_PREFIX + job_id
        if self._is_reported_finished(job_id) or self._watch_cache.was_deleted(key):
            return True
        return self.are_records_complete() and self._watch_cache.mod_revision(key) == 0

    def are_records_complete(self) -> bool:
        """Return whether the local copy contains all changes up to the record of the present view."""
        return self._watch_cache.revision >= self._membership.view_revision
