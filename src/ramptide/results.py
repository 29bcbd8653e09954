"""Writing of results to the state service: completed jobs at once, the progress of others at intervals."""

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide import wire
from ramptide.commits import CommitBatcher
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.limits import Priority
from ramptide.records import ENDED_PREFIX, JOB_PREFIX, EndRecord, to_value
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

    def forget(self, ref: str) -> None:
        """Drop what is kept of a job that is over."""
        self._next_write.pop(ref, None)

    def flush(self, home: JobScheduler, now: timedelta) -> None:
        """Write the results of the home's jobs that are due."""
        if self._controller.mirror.lacking:
            return
        for ref in list(home.with_new_results):
            work = home.jobs.get(ref)
            if work is None or not work.has_unrecorded_results:
                home.with_new_results.discard(ref)
            elif not work.frozen and ref not in self._in_flight:
                if work.complete and now >= self._next_write.get(ref, now):
                    self._write_completion(work, now)
                elif not work.complete and now >= self._next_write.setdefault(ref, now + PROGRESS_INTERVAL):
                    self._write_progress(work, now)

    def _write_completion(self, work: JobState, now: timedelta) -> None:
        job = work.job
        key, end = JOB_PREFIX + job.ref, EndRecord(wire.DONE, job.run.pieces, job.run.pieces)
        txn = Transaction(when={key: job.stamp}, puts=[(ENDED_PREFIX + job.ref, to_value(end), None)], drops=[key])

        def done(result: TransactionResult) -> None:
            self._write_finished(job.ref, result, txn)
            if result.epoch is not None:
                self._controller.desk.ended(job.ref, end)

        self._write_started(job.ref, now + RETRY_DELAY)
        self._controller.commits.add(txn, done)

    def _write_progress(self, work: JobState, now: timedelta) -> None:
        job = work.job
        key = JOB_PREFIX + job.ref
        record = msgspec.structs.replace(job.record, done=work.done.encode())
        txn = Transaction(when={key: job.stamp}, puts=[(key, to_value(record), None)])
        self._write_started(job.ref, now + PROGRESS_INTERVAL)
        self._progress.add(txn, lambda result: self._write_finished(job.ref, result, txn))

    def _write_started(self, ref: str, next_write: timedelta) -> None:
        self._in_flight.add(ref)
        self._next_write[ref] = next_write

    def _write_finished(self, ref: str, result: TransactionResult, txn: Transaction) -> None:
        self._in_flight.discard(ref)
        if result.epoch is not None:
            self._controller.mirror.applied(result.epoch, txn.puts, txn.drops)
