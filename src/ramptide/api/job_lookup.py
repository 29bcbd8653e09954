"""Finds jobs for users: no answer is older than one that another controller gave."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ramptide.clients.key_value_store import KeyValueStore, ReadResult
from ramptide.protocol.jobs import JobStatus
from ramptide.protocol.key_value_store import KeyValue
from ramptide.state.jobs import Job
from ramptide.state.records import FINISHED_PREFIX, FinishedJobRecord, RecordError, from_value
from ramptide.state.watch_cache import WatchCache

__all__ = ["JobLookup", "LookupCallback", "LookupFailure"]

log = logging.getLogger(__name__)

#: Final states that are remembered, the latest.
MAX_FINISHED_KEPT = 5000


class LookupFailure(Enum):
    """Why a lookup found no job."""

    #: It was never accepted.
    NO_SUCH_JOB = auto()
    #: The key-value store could not be read.
    UNAVAILABLE = auto()


#: Gets a job that is not over, the record of one that is, or why there is none.
LookupCallback = Callable[[Job | FinishedJobRecord | LookupFailure], None]


@dataclass(slots=True)
class _PendingRead:
    """A read of a final state, with those who wait for it."""

    callbacks: list[LookupCallback]


class JobLookup:
    """Reports jobs from reads of the key-value store that began after the question.

    One read of the changes serves all who ask before it is sent, since the watch cache has the jobs that are not over.
    A final state never changes, so one that was read or committed here need not be read again.

    `on_cancelled` is told of each cancelled job that was read: whoever tells a user so tells the other controllers, as
    the one that wrote it may have ended since.
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
        """Remember a final state, so that it need not be read again."""
        self._finished[job_id] = record
        while len(self._finished) > MAX_FINISHED_KEPT:
            del self._finished[next(iter(self._finished))]

    def find(self, job_id: str, on_found: LookupCallback) -> None:
        """Report a job, or its final state."""
        if job_id in self._finished:
            on_found(self._finished[job_id])
            return

        def on_caught_up(is_fresh: bool) -> None:
            if not is_fresh:
                on_found(LookupFailure.UNAVAILABLE)
            elif job_id in self._jobs:
                on_found(self._jobs[job_id])
            else:
                # A job moves from live to finished in one transaction and never back, so one that was ever accepted
                # and is not live any more is found there.
                self._read_finished(job_id, on_found)

        self._watch_cache.catch_up(on_caught_up)

    def _read_finished(self, job_id: str, on_found: LookupCallback) -> None:
        """Read a final state; questions asked before the read is sent share it, later ones wait for the next."""
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
            found = self._take_result(job_id, result)
            for callback in read.callbacks:
                callback(found)

        self._store.get(FINISHED_PREFIX + job_id, on_result, on_send)

    def _take_result(self, job_id: str, result: ReadResult) -> FinishedJobRecord | LookupFailure:
        if not result.is_known:
            return LookupFailure.UNAVAILABLE
        if result.key_value is None:
            return LookupFailure.NO_SUCH_JOB
        return self._take_record(job_id, result.key_value)

    def _take_record(self, job_id: str, key_value: KeyValue) -> FinishedJobRecord | LookupFailure:
        try:
            record = from_value(key_value.value, FinishedJobRecord)
        except RecordError as error:
            log.error("broken finished-job record: key=%s error=%r", key_value.key, str(error))
            return LookupFailure.UNAVAILABLE
        self.remember_finished(job_id, record)
        if record.status == JobStatus.CANCELLED:
            self._on_cancelled(job_id)
        return record
