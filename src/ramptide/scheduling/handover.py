"""Handover of jobs that find no room on this controller's own machines to the leader, which may use all machines."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import msgspec

from ramptide.clients.transactions import Put, Transaction, TransactionOutcome, TransactionResult
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
from ramptide.state.amounts import TeamAmounts
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.records import JOB_PREFIX, Handover, to_value
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["JobHandover"]

RETRY_DELAY = timedelta(milliseconds=500)
EVENTS_BY_OUTCOME = {
    TransactionOutcome.APPLIED: SchedulingEvent.HANDED_OVER,
    TransactionOutcome.CONFLICT: SchedulingEvent.HANDOVER_CONFLICT,
    TransactionOutcome.RATE_LIMITED: SchedulingEvent.HANDOVER_REFUSED,
    TransactionOutcome.REFUSED: SchedulingEvent.HANDOVER_REFUSED,
    TransactionOutcome.UNKNOWN: SchedulingEvent.HANDOVER_UNANSWERED,
}


class HandoverState(Protocol):
    """The parts of the controller's state that handovers read."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    def require_view(self) -> View:
        """Return the current view; raise an error when there is none."""


class LimitWaits(Protocol):
    """The quota feature, which transfers quota shares to the controllers where jobs wait for them."""

    def is_waiting_for_limit(self, job_state: JobState, usage: TeamAmounts) -> bool:
        """Return whether a job is kept from starting by its team's quota share at this controller, and not by room."""


class JobHandover:
    """Hands jobs over to the leader, with a bounded number of writes in flight.

    Parameters
    ----------
    max_in_flight
        The highest number of handovers that are written at the same time.
    fresh_members
        Returns the members from which messages arrived recently.
    may_start_job
        Returns whether a job's tasks may be started here.
    quota
        The quota feature, or None where it is off.
    statistics
        Counts and logs what becomes of handovers.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: HandoverState,
        leadership: LeadershipInfo,
        watch_cache: WatchCache,
        commit_batcher: CommitBatcher,
        max_in_flight: int,
        fresh_members: Callable[[], set[str]],
        may_start_job: Callable[[JobState], bool],
        quota: LimitWaits | None,
        statistics: SchedulingStatistics,
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._leadership = leadership
        self._watch_cache = watch_cache
        self._commit_batcher = commit_batcher
        self._max_in_flight = max_in_flight
        self._fresh_members = fresh_members
        self._may_start_job = may_start_job
        self._quota = quota
        self._statistics = statistics
        self._errors = errors
        self._in_flight = 0

    def on_new_view(self) -> None:
        """Reset the count of handovers in flight, as the results of those of the previous view do not change it."""
        self._in_flight = 0

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Hand over to the leader the jobs that find no room on this controller's own machines."""
        view = self._state.require_view()
        if self._leadership.is_leading or view.leader not in self._fresh_members():
            return
        share_used = scheduler.usage_with_transfers() if self._quota is not None else {}
        for job_state in list(scheduler.jobs_with_pending_tasks.values()):
            if self._in_flight >= self._max_in_flight:
                return
            try:
                if self._is_due_for_handover(job_state, now) and not self._lacks_share(job_state, share_used):
                    self._hand_over_job(job_state, view, scheduler)
            except Exception:
                self._errors.record("handover", job_state.job.job_id)

    def _lacks_share(self, job_state: JobState, share_used: TeamAmounts) -> bool:
        """Return whether the job lacks only a share, which the quota feature transfers to where a job waits."""
        return self._quota is not None and self._quota.is_waiting_for_limit(job_state, share_used)

    def _is_due_for_handover(self, job_state: JobState, now: timedelta) -> bool:
        if job_state.waiting_since is None or now - job_state.waiting_since <= self._state.tuning.hand_over:
            return False
        return not job_state.is_frozen and job_state.retry_at <= now and self._may_start_job(job_state)

    def _hand_over_job(self, job_state: JobState, view: View, scheduler: JobScheduler) -> None:
        handover = Handover(view.number, self._state.member, scheduler.sequence_number + 1)
        record = msgspec.structs.replace(job_state.job.record, scheduler=view.leader, handover=handover)
        key = JOB_PREFIX + job_state.job.job_id
        transaction = Transaction(conditions={key: job_state.job.mod_revision}, puts=[Put(key, to_value(record))])
        job_state.is_frozen = True
        self._in_flight += 1
        self._commit(job_state, view, handover, transaction, may_be_applied=False)

    def _commit(
        self, job_state: JobState, view: View, handover: Handover, transaction: Transaction, may_be_applied: bool
    ) -> None:
        """Write the handover of a job, and repeat the write until its result is known.

        The new scheduler relies on no task of the job being started here after the handover. `may_be_applied`: an
        earlier write of this transaction had no answer, and may have been applied already, or may
        still be applied.
        """

        def on_result(result: TransactionResult) -> None:
            self._record_result(job_state, view, handover, result)
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
            if self._state.view is not view:
                return
            is_certain = not result.is_conflict and not result.is_unknown and not may_be_applied
            if result.is_applied or is_certain:
                self._unfreeze(job_state, view)
            elif not result.is_conflict:
                self._runtime.after(RETRY_DELAY, retry)
            else:
                # The record has changed, perhaps by an earlier write of this transaction. The watch cache must show the
                # change before a task of the job is started here.
                self._watch_cache.catch_up(lambda is_fresh: self._unfreeze(job_state, view) if is_fresh else retry())

        def retry() -> None:
            if self._state.view is view:
                self._commit(job_state, view, handover, transaction, may_be_applied=True)

        self._commit_batcher.add(transaction, on_result)

    def _record_result(self, job_state: JobState, view: View, handover: Handover, result: TransactionResult) -> None:
        now = self._runtime.now
        waited_s = (now - (job_state.waiting_since or now)).total_seconds()
        example = (
            f"{job_state.job.job_id} to {view.leader} after message {handover.sequence_number} of view {view.number} "
            f"waited {waited_s:.1f} s"
        )
        self._statistics.record(
            EVENTS_BY_OUTCOME[result.outcome],
            f"{example} at revision {result.commit_revision}" if result.is_applied else example,
        )

    def _unfreeze(self, job_state: JobState, view: View) -> None:
        if self._state.view is view:
            self._in_flight -= 1
            job_state.is_frozen = False
