"""Looks up jobs for users. No result is older than what another controller has told a user before the request."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ramptide.clients.key_value_store import KeyValueStore, ReadResult
from ramptide.protocol.jobs import JobStatus
from ramptide.protocol.key_value_store import KeyValue
from ramptide.state.jobs import Job
from ramptide.state.records import FINISHED_PREFIX, JOB_PREFIX, FinishedJobRecord, RecordError, from_value
from ramptide.state.watch_cache import WatchCache

__all__ = ["JobLookup", "LookupCallback", "LookupFailure"]

log = logging.getLogger(__name__)

#: The highest number of final states that are kept in memory; the oldest are dropped first.
MAX_FINISHED_KEPT = 5000


class LookupFailure(Enum):
    """Why a lookup found no job."""

    #: The job was never accepted.
    NO_SUCH_JOB = auto()
    #: The key-value store, or the job's record in it, could not be read.
    UNAVAILABLE = auto()


#: Called with a job that is not finished, the final record of a finished one, or the reason why no job was found.
LookupCallback = Callable[[Job | FinishedJobRecord | LookupFailure], None]


@dataclass(slots=True)
class _PendingRead:
    """A read of a final state, with the callbacks that wait for its result."""

    callbacks: list[LookupCallback]


class JobLookup:
    """Looks up jobs by reads of the key-value store that begin after the request.

    The watch cache has the jobs that are not finished, so one read of the changes serves all lookups that come before
    the read is sent. A final state never changes, so one that was read or committed here need not be read again.

    `on_cancelled` is called with each cancelled job that was read. A controller that tells a user of a cancellation
    also tells the other controllers, as the controller that committed the cancellation may have ended since.
    """

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        jobs: Mapping[str, Job],
        on_cancelled: Callable[[str], None],
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._jobs = jobs
        self._on_cancelled = on_cancelled
        self._finished: dict[str, FinishedJobRecord] = {}
        self._pending_reads: dict[str, _PendingRead] = {}

    def remember_finished(self, job_id: str, record: FinishedJobRecord) -> None:
        """Keep a final state in memory, so that it need not be read again."""
        self._finished[job_id] = record
        while len(self._finished) > MAX_FINISHED_KEPT:
            del self._finished[next(iter(self._finished))]

    def find(self, job_id: str, on_found: LookupCallback) -> None:
        """Look up a job, and call `on_found` with the job or its final state."""
        if job_id in self._finished:
            on_found(self._finished[job_id])
            return

        def on_caught_up(is_fresh: bool) -> None:
            if not is_fresh:
                on_found(LookupFailure.UNAVAILABLE)
            elif job_id in self._jobs:
                on_found(self._jobs[job_id])
            else:
                # One transaction moves a job from the live to the finished jobs, and none moves it back. So a job that
                # was accepted and is no longer live is found among the finished jobs.
                self._read_finished(job_id, on_found)

        self._watch_cache.catch_up(on_caught_up)

    def _read_finished(self, job_id: str, on_found: LookupCallback) -> None:
        """Read a final state. Lookups that come before the read is sent share it; a later one starts another read."""
        pending = self._pending_reads.get(job_id)
        if pending is not None:
            pending.callbacks.append(on_found)
            return
        read = self._pending_reads[job_id] = _PendingRead([on_found])

        def on_send() -> None:
            del self._pending_reads[job_id]

        def on_result(result: ReadResult) -> None:
            if self._pending_reads.get(job_id) is read:
                del self._pending_reads[job_id]
            found = self._apply_result(job_id, result)
            for callback in read.callbacks:
                callback(found)

        self._store.get(FINISHED_PREFIX + job_id, on_result, on_send)

    def _apply_result(self, job_id: str, result: ReadResult) -> Job | FinishedJobRecord | LookupFailure:
        if not result.is_known:
            return LookupFailure.UNAVAILABLE
        if result.key_value is not None:
            return self._apply_record(job_id, result.key_value)
        if not self._watch_cache.mod_revision(JOB_PREFIX + job_id):
            return LookupFailure.NO_SUCH_JOB
        # The job was accepted since the read of the live jobs, or its record cannot be read.
        return self._jobs.get(job_id, LookupFailure.UNAVAILABLE)

    def _apply_record(self, job_id: str, key_value: KeyValue) -> FinishedJobRecord | LookupFailure:
        try:
            record = from_value(key_value.value, FinishedJobRecord)
        except RecordError as error:
            log.error("broken finished-job record: key=%s error=%r", key_value.key, str(error))
            return LookupFailure.UNAVAILABLE
        self.remember_finished(job_id, record)
        if record.status == JobStatus.CANCELLED:
            self._on_cancelled(job_id)
        return record
