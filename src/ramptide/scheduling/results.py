"""Writes results to the key-value store: completed jobs at once, the progress of other jobs at intervals."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.rate_limits import CallPriority
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.protocol.jobs import JobStatus
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.records import FINISHED_PREFIX, JOB_PREFIX, FinishedJobRecord, to_value
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["ResultWriter"]

PROGRESS_INTERVAL = timedelta(seconds=4)
RETRY_DELAY = timedelta(milliseconds=500)
#: The number of operations in one transaction of progress: small, so that rate-limit tokens are left for the
#: transactions on which users wait.
MAX_PROGRESS_OPERATIONS = 3


class ResultWriter:
    """Records the results of tasks that succeeded, which agents keep until the key-value store has them.

    Parameters
    ----------
    commit_batcher
        Commits the completions of jobs, on which users wait.
    common_conditions
        Returns the conditions that are part of every transaction of this controller.
    on_finished
        Called with each job whose completion was committed, and its final record.
    """

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        commit_batcher: CommitBatcher,
        common_conditions: Callable[[], dict[str, int]],
        on_finished: Callable[[str, FinishedJobRecord], None],
        errors: IsolatedErrors,
    ) -> None:
        self._watch_cache = watch_cache
        self._completions = commit_batcher
        self._progress = CommitBatcher(store, common_conditions, CallPriority.HOUSEKEEPING, MAX_PROGRESS_OPERATIONS)
        self._on_finished = on_finished
        self._errors = errors
        self._next_write: dict[str, timedelta] = {}
        self._in_flight: set[str] = set()

    def forget_job(self, job_id: str) -> None:
        """Discard the state that is kept of a finished job."""
        self._next_write.pop(job_id, None)

    def flush(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Write the results of those of the scheduler's jobs whose write is due."""
        if self._watch_cache.is_unavailable:
            return
        for job_id in list(scheduler.jobs_with_new_results):
            job_state = scheduler.jobs.get(job_id)
            if job_state is None or not job_state.has_unrecorded_results:
                scheduler.jobs_with_new_results.discard(job_id)
            elif not job_state.is_frozen and job_id not in self._in_flight:
                try:
                    self._write_if_due(job_state, now)
                except Exception:
                    self._errors.record("results", job_id)

    def _write_if_due(self, job_state: JobState, now: timedelta) -> None:
        job_id = job_state.job.job_id
        if job_state.is_complete and now >= self._next_write.get(job_id, now):
            self._write_completion(job_state, now)
        elif not job_state.is_complete and now >= self._next_write.setdefault(job_id, now + PROGRESS_INTERVAL):
            self._write_progress(job_state, now)

    def _write_completion(self, job_state: JobState, now: timedelta) -> None:
        job = job_state.job
        key = JOB_PREFIX + job.job_id
        finished = FinishedJobRecord(JobStatus.SUCCEEDED, job.spec.task_count, job.spec.task_count)
        transaction = Transaction(
            conditions={key: job.mod_revision},
            puts=[Put(FINISHED_PREFIX + job.job_id, to_value(finished))],
            deletes=[key],
        )

        def on_result(result: TransactionResult) -> None:
            self._record_write_result(job.job_id, result, transaction)
            if result.is_applied:
                self._on_finished(job.job_id, finished)

        self._record_write_started(job.job_id, now + RETRY_DELAY)
        self._completions.add(transaction, on_result)

    def _write_progress(self, job_state: JobState, now: timedelta) -> None:
        job = job_state.job
        progress = job_state.done.recordable(job.progress)
        if progress.count == job.progress.count:
            # All new results lie beyond the window of the record, and wait for those of earlier tasks.
            self._next_write[job.job_id] = now + PROGRESS_INTERVAL
            return
        key = JOB_PREFIX + job.job_id
        record = msgspec.structs.replace(job.record, progress=progress.encode())
        transaction = Transaction(conditions={key: job.mod_revision}, puts=[Put(key, to_value(record))])
        self._record_write_started(job.job_id, now + PROGRESS_INTERVAL)
        self._progress.add(transaction, lambda result: self._record_write_result(job.job_id, result, transaction))

    def _record_write_started(self, job_id: str, next_write: timedelta) -> None:
        self._in_flight.add(job_id)
        self._next_write[job_id] = next_write

    def _record_write_result(self, job_id: str, result: TransactionResult, transaction: Transaction) -> None:
        self._in_flight.discard(job_id)
        if result.is_applied:
            self._watch_cache.apply_commit(transaction, result.commit_revision)
