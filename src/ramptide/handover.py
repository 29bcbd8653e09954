"""The handover of jobs that find no room on our own machines to the leader, who may use all machines."""

import logging
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.membership import View
from ramptide.records import JOB_PREFIX, Handover, to_value
from ramptide.store import Transaction, TransactionResult

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

HAND_OVER_AGAIN = timedelta(milliseconds=500)


class JobHandover:
    """Writes the handovers of jobs, a few at a time."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        #: Handovers that are being written.
        self._moving = 0

    def new_view(self) -> None:
        """Forget the handovers under way in the previous view."""
        self._moving = 0

    def hand_over(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Hand jobs that find no room on our own machines over to the leader, who may use all machines."""
        c = self._c
        view = c.view
        assert view is not None
        if c.membership.leading or view.leader not in c.fresh_members():
            return
        held = scheduler.usage_with_transfers() if c.quota is not None else {}
        for job_state in list(scheduler.with_pending_tasks.values()):
            if self._moving >= c.store.limits.max_transaction_operations:
                return
            waited = job_state.waiting_since is not None and now - job_state.waiting_since > c.tuning.hand_over
            if not waited or job_state.frozen or job_state.retry_at > now or not c.ready(job_state):
                continue
            # Share comes to where a job waits, so one that waits for share only need not move.
            if c.quota is None or not c.quota.waits_for_limit(job_state, held):
                self._hand_over_job(job_state, view, scheduler)

    def _hand_over_job(self, job_state: JobState, view: View, scheduler: JobScheduler) -> None:
        job_state.frozen = True
        self._moving += 1
        handover = Handover(view.number, self._c.member, scheduler.seq + 1)
        record = msgspec.structs.replace(job_state.job.record, scheduler=view.leader, handover=handover)
        key = JOB_PREFIX + job_state.job.job_id
        transaction = Transaction(conditions={key: job_state.job.mod_revision}, puts=[(key, to_value(record), None)])
        self._commit_handover(job_state, view, transaction, unsure=False)

    def _commit_handover(self, job_state: JobState, view: View, transaction: Transaction, unsure: bool) -> None:
        """Write the handover of a job.

        `unsure`: a copy without an answer may have been applied, or may be yet. The new scheduler relies on nothing
        being started here after it, so the write is repeated until its result is known.
        """
        c = self._c

        def done(outcome: TransactionResult) -> None:
            if outcome.revision is not None:
                log.debug("%s goes to %s", job_state.job.job_id, view.leader)
                c.mirror.applied(outcome.revision, transaction.puts, transaction.deletes)
            if c.view is not view:
                return
            if outcome.revision is not None or outcome.failed_keys is None and not outcome.sent and not unsure:
                self._thaw(job_state, view)
            elif outcome.failed_keys is None:
                c.context.after(HAND_OVER_AGAIN, again)
            else:
                # The record moved on, perhaps by the copy: our own must show it before anything is started.
                c.mirror.catch_up(lambda fresh: self._thaw(job_state, view) if fresh else again())

        def again() -> None:
            if c.view is view:
                self._commit_handover(job_state, view, transaction, unsure=True)

        c.commits.add(transaction, done)

    def _thaw(self, job_state: JobState, view: View) -> None:
        if self._c.view is view:
            self._moving -= 1
            job_state.frozen = False
