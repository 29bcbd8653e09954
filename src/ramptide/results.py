"""What was done, written to the state service: jobs that are complete at once, the progress of others now and then."""

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide import wire
from ramptide.commits import CommitBatcher
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.limits import Priority
from ramptide.records import ENDED, JOB, EndRecord, to_value
from ramptide.store import Transaction, TransactionResult

if TYPE_CHECKING:
    from ramptide.app import Controller

PROGRESS_INTERVAL = timedelta(seconds=4)
RETRY_DELAY = timedelta(milliseconds=500)
#: Few at a time, so that what people wait for finds tokens left.
MAX_PROGRESS_OPERATIONS = 3


class Results:
    """Ended tasks stay on their machines until the state service has their results."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self._progress = CommitBatcher(
            controller.store, controller.common, Priority.HOUSEKEEPING, MAX_PROGRESS_OPERATIONS
        )
        self._next: dict[str, timedelta] = {}
        self._flying: set[str] = set()

    def forget(self, ref: str) -> None:
        self._next.pop(ref, None)

    def flush(self, home: JobScheduler, now: timedelta) -> None:
        if self._c.mirror.lacking:
            return
        for ref in list(home.with_new_results):
            work = home.jobs.get(ref)
            if work is None or not work.has_unrecorded_results:
                home.with_new_results.discard(ref)
            elif not work.frozen and ref not in self._flying:
                if work.complete and now >= self._next.get(ref, now):
                    self._finish(work, now)
                elif not work.complete and now >= self._next.setdefault(ref, now + PROGRESS_INTERVAL):
                    self._record(work, now)

    def _finish(self, work: JobState, now: timedelta) -> None:
        job = work.job
        key, end = JOB + job.ref, EndRecord(wire.DONE, job.run.pieces, job.run.pieces)
        txn = Transaction(when={key: job.stamp}, puts=[(ENDED + job.ref, to_value(end), None)], drops=[key])

        def done(outcome: TransactionResult) -> None:
            self._landed(job.ref, outcome, txn)
            if outcome.epoch is not None:
                self._c.desk.ended(job.ref, end)

        self._fly(job.ref, now + RETRY_DELAY)
        self._c.commits.add(txn, done)

    def _record(self, work: JobState, now: timedelta) -> None:
        job = work.job
        key = JOB + job.ref
        record = msgspec.structs.replace(job.record, done=work.done.encode())
        txn = Transaction(when={key: job.stamp}, puts=[(key, to_value(record), None)])
        self._fly(job.ref, now + PROGRESS_INTERVAL)
        self._progress.add(txn, lambda outcome: self._landed(job.ref, outcome, txn))

    def _fly(self, ref: str, again: timedelta) -> None:
        self._flying.add(ref)
        self._next[ref] = again

    def _landed(self, ref: str, outcome: TransactionResult, txn: Transaction) -> None:
        self._flying.discard(ref)
        if outcome.epoch is not None:
            self._c.mirror.applied(outcome.epoch, txn.puts, txn.drops)
