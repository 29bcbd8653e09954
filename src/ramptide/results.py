"""Writing of results to the state service: completed jobs at once, the progress of others at intervals."""

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide.commits import CommitBatcher
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.limits import Priority
from ramptide.protocol.jobs import JobStatus
from ramptide.records import FINISHED_PREFIX, JOB_PREFIX, FinishedJobRecord, to_value
from ramptide.store import Transaction, TransactionResult

if TYPE_CHECKING:
    from ramptide.app import Controller

PROGRESS_INTERVAL = timedelta(seconds=4)
RETRY_DELAY = timedelta(milliseconds=500)
#: Small transactions, so that those on which users wait find tokens left.
MAX_PROGRESS_OPERATIONS = 3


class Results:
    """Records ended tasks; they stay on their machines until the state service has their results."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._progress = CommitBatcher(
            controller.store, controller.common, Priority.HOUSEKEEPING, MAX_PROGRESS_OPERATIONS
        )
        self._next_write: dict[str, timedelta] = {}
        self._in_flight: set[str] = set()

    def forget(self, job_id: str) -> None:
        """Drop what is kept of a job that is over."""
        self._next_write.pop(job_id, None)

    def flush(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Write the results of the home's jobs that are due."""
        if self._controller.mirror.lacking:
            return
        for job_id in list(scheduler.with_new_results):
            job_state = scheduler.jobs.get(job_id)
            if job_state is None or not job_state.has_unrecorded_results:
                scheduler.with_new_results.discard(job_id)
            elif not job_state.frozen and job_id not in self._in_flight:
                if job_state.complete and now >= self._next_write.get(job_id, now):
                    self._write_completion(job_state, now)
                elif not job_state.complete and now >= self._next_write.setdefault(job_id, now + PROGRESS_INTERVAL):
                    self._write_progress(job_state, now)

    def _write_completion(self, job_state: JobState, now: timedelta) -> None:
        job = job_state.job
        key, end = (
            JOB_PREFIX + job.job_id,
            FinishedJobRecord(JobStatus.SUCCEEDED, job.spec.task_count, job.spec.task_count),
        )
        transaction = Transaction(
            conditions={key: job.mod_revision},
            puts=[(FINISHED_PREFIX + job.job_id, to_value(end), None)],
            deletes=[key],
        )

        def done(result: TransactionResult) -> None:
            self._write_finished(job.job_id, result, transaction)
            if result.revision is not None:
                self._controller.desk.ended(job.job_id, end)

        self._write_started(job.job_id, now + RETRY_DELAY)
        self._controller.commits.add(transaction, done)

    def _write_progress(self, job_state: JobState, now: timedelta) -> None:
        job = job_state.job
        key = JOB_PREFIX + job.job_id
        record = msgspec.structs.replace(job.record, progress=job_state.done.encode())
        transaction = Transaction(conditions={key: job.mod_revision}, puts=[(key, to_value(record), None)])
        self._write_started(job.job_id, now + PROGRESS_INTERVAL)
        self._progress.add(transaction, lambda result: self._write_finished(job.job_id, result, transaction))

    def _write_started(self, job_id: str, next_write: timedelta) -> None:
        self._in_flight.add(job_id)
        self._next_write[job_id] = next_write

    def _write_finished(self, job_id: str, result: TransactionResult, transaction: Transaction) -> None:
        self._in_flight.discard(job_id)
        if result.revision is not None:
            self._controller.mirror.applied(result.revision, transaction.puts, transaction.deletes)
