"""Handover of jobs that find no room on our own machines to the leader, who may use all machines."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import msgspec

from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.state.amounts import TeamAmounts
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.records import JOB_PREFIX, Handover, to_value
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["JobHandover"]

log = logging.getLogger(__name__)

RETRY_DELAY = timedelta(milliseconds=500)


class HandoverState(Protocol):
    """What a handover reads of the controller's state."""

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
        """Return the current view; raises when there is none."""


class LimitWaits(Protocol):
    """The quota feature, which brings shares to where jobs wait."""

    def waits_for_limit(self, job_state: JobState, usage: TeamAmounts) -> bool:
        """Tell whether it is the share of its team's limit, and not room, that keeps a job from starting."""


class JobHandover:
    """Writes the handovers of jobs, a few at a time.

    Parameters
    ----------
    max_in_flight
        Handovers that are written at the same time.
    fresh_members
        Returns the members that were heard recently.
    may_start_job
        Tells whether a job's tasks may be started here.
    quota
        None where the quota feature is off.
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
        self._in_flight = 0

    def new_view(self) -> None:
        """Forget the handovers under way in the previous view."""
        self._in_flight = 0

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Hand jobs that find no room on our own machines over to the leader."""
        view = self._state.require_view()
        if self._leadership.is_leading or view.leader not in self._fresh_members():
            return
        share_used = scheduler.usage_with_transfers() if self._quota is not None else {}
        for job_state in list(scheduler.with_pending_tasks.values()):
            if self._in_flight >= self._max_in_flight:
                return
            if not self._finds_no_room(job_state, now):
                continue
            # Share comes to where a job waits, so one that waits for share only need not move.
            if self._quota is None or not self._quota.waits_for_limit(job_state, share_used):
                self._hand_over(job_state, view, scheduler)

    def _finds_no_room(self, job_state: JobState, now: timedelta) -> bool:
        if job_state.waiting_since is None or now - job_state.waiting_since <= self._state.tuning.hand_over:
            return False
        return not job_state.frozen and job_state.retry_at <= now and self._may_start_job(job_state)

    def _hand_over(self, job_state: JobState, view: View, scheduler: JobScheduler) -> None:
        job_state.frozen = True
        self._in_flight += 1
        handover = Handover(view.number, self._state.member, scheduler.sequence_number + 1)
        record = msgspec.structs.replace(job_state.job.record, scheduler=view.leader, handover=handover)
        key = JOB_PREFIX + job_state.job.job_id
        transaction = Transaction(conditions={key: job_state.job.mod_revision}, puts=[Put(key, to_value(record))])
        self._commit(job_state, view, transaction, may_be_applied=False)

    def _commit(self, job_state: JobState, view: View, transaction: Transaction, may_be_applied: bool) -> None:
        """Write the handover of a job.

        `may_be_applied`: a copy without an answer may have been applied, or may be yet. The new scheduler relies on
        nothing being started here after it, so the write is repeated until its result is known.
        """

        def on_result(result: TransactionResult) -> None:
            if result.is_applied:
                log.debug("job handed over: job_id=%s scheduler=%s", job_state.job.job_id, view.leader)
                self._watch_cache.apply_commit(transaction, result.commit_revision)
            if self._state.view is not view:
                return
            is_certain = not result.is_conflict and not result.is_unknown and not may_be_applied
            if result.is_applied or is_certain:
                self._unfreeze(job_state, view)
            elif not result.is_conflict:
                self._runtime.after(RETRY_DELAY, retry)
            else:
                # The record moved on, perhaps by the copy: our watch cache must show it before anything is started.
                self._watch_cache.catch_up(lambda is_fresh: self._unfreeze(job_state, view) if is_fresh else retry())

        def retry() -> None:
            if self._state.view is view:
                self._commit(job_state, view, transaction, may_be_applied=True)

        self._commit_batcher.add(transaction, on_result)

    def _unfreeze(self, job_state: JobState, view: View) -> None:
        if self._state.view is view:
            self._in_flight -= 1
            job_state.frozen = False
