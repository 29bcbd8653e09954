"""The jobs whose starts this controller alone decides, and the attempts of their tasks."""

import heapq
from collections.abc import Callable, Collection
from datetime import timedelta

from ramptide.protocol.agents import REFUSAL_CAUSES, TaskOutcome
from ramptide.protocol.jobs import BATCH
from ramptide.scheduling.attempts import Attempt, AttemptIndex
from ramptide.scheduling.attempts_in_transfer import AttemptsInTransfer
from ramptide.scheduling.failing_jobs import FailingJobs
from ramptide.scheduling.job_state import JobState
from ramptide.state.amounts import Amounts, add_amounts
from ramptide.state.jobs import Job
from ramptide.state.task_state import (
    FINISHED_PHASES,
    NO_TIME,
    PHASE_BY_NAME,
    DesiredState,
    DesiredTaskRow,
    Phase,
    TaskKey,
    TaskRow,
)

__all__ = ["JobScheduler"]

#: A job stays away so long from a machine that refused a task of it, as the refusal may pass at once.
EXCLUDED_AFTER_REFUSAL = timedelta(milliseconds=300)


class JobScheduler:
    """The jobs whose starts we decide in one view, and every attempt of theirs that may be on a machine.

    Parameters
    ----------
    member
        The name of this controller.
    first_attempt
        Attempts are numbered from the one after this.
    is_faulty
        Tells whether a machine is known as faulty.
    """

    def __init__(self, member: str, first_attempt: int, is_faulty: Callable[[str], bool] = lambda _host: False) -> None:
        self.member = member
        self.jobs: dict[str, JobState] = {}
        self._in_transfer = AttemptsInTransfer()
        #: The number of our last message to the other controllers.
        self.sequence_number = 0
        #: Something changed that the next round of decisions has to see.
        self.needs_round = True
        #: Machines of which we desire something else than before.
        self.changed_hosts: set[str] = set()
        #: Jobs with results that are not written to the key-value store.
        self.with_new_results: set[str] = set()
        #: Jobs of which some task is neither done nor placed.
        self.with_pending_tasks: dict[str, JobState] = {}
        self.failing_jobs = FailingJobs(is_faulty)
        self._next_attempt = first_attempt
        self.index = AttemptIndex()
        #: The index's own view of the attempts on each machine.
        self.attempts = self.index.by_host

    def _add(self, attempt: Attempt) -> None:
        self.index.add(attempt)
        self.changed_hosts.add(attempt.host)
        self.needs_round = True

    def _remove(self, attempt: Attempt) -> None:
        self.index.remove(attempt)
        self.changed_hosts.add(attempt.host)
        self.needs_round = True

    def _update_pending(self, job_state: JobState) -> None:
        if job_state.waiting > 0 and job_state.job.job_id in self.jobs:
            self.with_pending_tasks[job_state.job.job_id] = job_state
        else:
            self.with_pending_tasks.pop(job_state.job.job_id, None)

    # Which jobs are ours.

    def take_job(self, job: Job, now: timedelta, failed_on: Collection[str] = ()) -> JobState:
        """Take a job, or its changed record.

        `failed_on`: where it failed under its former scheduler, should there be one.
        """
        job_state = self.jobs.get(job.job_id)
        if job_state is None:
            job_state = JobState(job, job.progress.copy(), now, failed_on=set(failed_on))
            self.jobs[job.job_id] = job_state
            self.failing_jobs.back_off(job_state, now)
            self.needs_round = True
        elif job_state.job.progress.count > job_state.done.count:
            job_state.done = job.progress.copy()
        self._update_pending(job_state)
        return job_state

    def release_job(self, job_id: str) -> None:
        """Let go of a job that has another scheduler now, which decides about the attempts from then on."""
        job_state = self.jobs.pop(job_id, None)
        if job_state is None:
            return
        self._update_pending(job_state)
        self.failing_jobs.discard(job_id)
        for attempt in self.index.of_job(job_id):
            # Counted as ours until the new scheduler says that it counts them, and lowers our quota share for it.
            self._remove(attempt)
            self._in_transfer.add(attempt)
        self.needs_round = True

    def transfer_confirmed(self, job_id: str) -> None:
        """Stop counting the attempts of a job that was handed over, as its new scheduler counts them."""
        self._in_transfer.confirm(job_id)

    def job_finished(self, job_id: str) -> None:
        """Start no task of the job any more; what may be on a machine still counts until it is gone."""
        job_state = self.jobs.pop(job_id, None)
        if job_state is None:
            return
        self._update_pending(job_state)
        self.failing_jobs.discard(job_id)
        self.with_new_results.discard(job_id)
        for attempt in self.index.of_job(job_id):
            self._set_desired(attempt, DesiredState.REAP if attempt.phase in FINISHED_PHASES else DesiredState.STOP)
        self.needs_round = True

    def results_recorded(self, job_id: str) -> None:
        """Let agents forget the results of the job that the key-value store has now."""
        job_state = self.jobs.get(job_id)
        for attempt in self.index.of_job(job_id):
            if attempt.phase is Phase.ENDED and job_state is not None and attempt.task_index in job_state.job.progress:
                self._set_desired(attempt, DesiredState.REAP)

    # Starting and stopping.

    def start(self, job_state: JobState, task: int, host: str, zone: str, now: timedelta) -> Attempt:
        """Start a task on a machine."""
        self._next_attempt += 1
        job_state.started_at = now
        if job_state.failing:
            job_state.probe = task
        spec = job_state.job.spec
        attempt = Attempt(spec, task, self._next_attempt, host, zone, DesiredState.RUN, self.sequence_number + 1, now)
        self._place(job_state, attempt)
        return attempt

    def _place(self, job_state: JobState, attempt: Attempt) -> None:
        self._add(attempt)
        job_state.placed[attempt.task_index] = attempt
        job_state.zones[attempt.zone] += 1
        self._update_pending(job_state)

    def stop(self, attempt: Attempt, grace: timedelta) -> None:
        """Have an attempt stopped; it may save its work for as long as the grace."""
        if attempt.desired is DesiredState.RUN:
            self._set_desired(attempt, DesiredState.STOP, grace)

    def _set_desired(self, attempt: Attempt, desired: DesiredState, grace: timedelta = NO_TIME) -> None:
        if attempt.desired is not desired:
            attempt.desired, attempt.grace, attempt.sequence_number = desired, grace, self.sequence_number + 1
            self.changed_hosts.add(attempt.host)
            self.needs_round = True

    def _free_task(self, attempt: Attempt) -> None:
        """Let the task of an attempt that is proven gone be started again."""
        job_state = self.jobs.get(attempt.spec.job_id)
        if job_state is None or job_state.placed.get(attempt.task_index) is not attempt:
            return
        del job_state.placed[attempt.task_index]
        job_state.zones[attempt.zone] -= 1
        if attempt.task_index not in job_state.done:
            heapq.heappush(job_state.retry_tasks, attempt.task_index)
        self._update_pending(job_state)
        self.needs_round = True

    def _discard(self, attempt: Attempt) -> None:
        self._remove(attempt)
        self._free_task(attempt)

    def remove_machine(self, host: str) -> None:
        """Drop a machine whose return was answered: all on it is gone."""
        for attempt in list(self.attempts.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._discard(attempt)
        self._in_transfer.remove_machine(host)

    # What owners show.

    def apply_status(self, host: str, zone: str, tasks: list[TaskRow], now: timedelta) -> None:
        """Take the owner's list of the tasks on a machine."""
        shown: set[TaskKey] = set()
        entries = self.attempts.get(host, {})
        for job_id, task, number, name, cause in tasks:
            key = (job_id, task, number)
            attempt = entries.get(key)
            if attempt is None and (job_id not in self.jobs or task >= self.jobs[job_id].job.spec.task_count):
                continue
            shown.add(key)
            phase = PHASE_BY_NAME[name]
            if attempt is None:
                attempt = self._adopt(host, zone, key, phase, now)
            self.index.unshown.pop(key, None)
            if attempt.phase is not phase or phase in FINISHED_PHASES:
                self._change_phase(attempt, phase, cause, now)
        for key, attempt in self.attempts.get(host, {}).items():
            if key not in shown:
                self.index.unshown[key] = attempt

    def acknowledged(self, ack: int, confirmed_tasks: Callable[[str], list[TaskRow] | None]) -> None:
        """Note that an owner has processed our messages up to `ack`: what it does not show is not there.

        `confirmed_tasks` returns its list for a machine, None while that proves nothing.
        """
        for attempt in list(self.index.unshown.values()):
            if ack < attempt.sequence_number or confirmed_tasks(attempt.host) is None:
                continue
            if attempt.desired is DesiredState.RUN:
                # The owner did not know the machine when our desired state came. A later message of ours may still
                # carry it, so it is taken back first; only its answer proves the attempt gone.
                self._set_desired(attempt, DesiredState.REAP)
            else:
                self._discard(attempt)
        self._in_transfer.prune(ack, confirmed_tasks)

    def _adopt(self, host: str, zone: str, key: TaskKey, phase: Phase, now: timedelta) -> Attempt:
        """Take over an attempt of a job of ours that an earlier scheduler started."""
        job_id, task, number = key
        job_state = self.jobs[job_id]
        attempt = Attempt(
            job_state.job.spec, task, number, host, zone, DesiredState.RUN, self.sequence_number + 1, now, phase
        )
        attempt.running_since = now if phase is Phase.RUNNING else None
        if phase not in FINISHED_PHASES and (task in job_state.done or task in job_state.placed):
            self._add(attempt)
            self._set_desired(attempt, DesiredState.STOP)
        elif phase not in FINISHED_PHASES:
            self._place(job_state, attempt)
        else:
            self._add(attempt)
            attempt.phase = Phase.QUEUED
        return attempt

    def _change_phase(self, attempt: Attempt, phase: Phase, cause: str | None, now: timedelta) -> None:
        before, attempt.phase = attempt.phase, phase
        self.index.count(attempt)
        if phase is Phase.RUNNING:
            attempt.running_since = now
        if phase not in FINISHED_PHASES:
            return
        job_state = self.jobs.get(attempt.spec.job_id)
        if before not in FINISHED_PHASES and job_state is not None:
            self._take_outcome(job_state, attempt, cause, now)
        # Reaped only once its result is in the key-value store: until then the agent keeps it for us.
        if (
            phase is not Phase.ENDED
            or cause != TaskOutcome.SUCCEEDED
            or job_state is None
            or attempt.task_index in job_state.job.progress
        ):
            self._set_desired(attempt, DesiredState.REAP)
        self._free_task(attempt)

    # How tasks end.

    def _take_outcome(self, job_state: JobState, attempt: Attempt, cause: str | None, now: timedelta) -> None:
        if attempt.phase is Phase.ENDED and cause == TaskOutcome.SUCCEEDED:
            self._task_done(job_state, attempt)
        elif attempt.phase is Phase.ENDED and cause == TaskOutcome.FAILED:
            self.failing_jobs.task_failed(job_state, attempt, now)
        elif attempt.phase is Phase.REFUSED or (attempt.phase is Phase.ENDED and cause in REFUSAL_CAUSES):
            job_state.excluded_until[attempt.host] = now + EXCLUDED_AFTER_REFUSAL

    def _task_done(self, job_state: JobState, attempt: Attempt) -> None:
        job_state.longest_failed_run = NO_TIME
        self._clear_failures(job_state)
        if job_state.job.spec.kind == BATCH and job_state.done.add(attempt.task_index):
            self.with_new_results.add(attempt.spec.job_id)
            self._update_pending(job_state)
            self.needs_round = True

    def _clear_failures(self, job_state: JobState) -> None:
        if self.failing_jobs.clear(job_state):
            self.needs_round = True

    def clear_recovered(self, now: timedelta) -> None:
        """Forget the failures of jobs of which a task has run for well over what others took to fail."""
        if self.failing_jobs.clear_recovered(now):
            self.needs_round = True

    def machine_faulty(self, host: str) -> None:
        """Take back what failed on a machine: it was the machine's fault, not the jobs'."""
        if self.failing_jobs.machine_faulty(host, self.jobs):
            self.needs_round = True

    # What the others need to know.

    def desired_tasks(self, host: str) -> list[DesiredTaskRow] | None:
        """Return all that we desire of a machine; None when that is nothing."""
        entries = self.attempts.get(host)
        if entries is None:
            return None
        return [
            (
                attempt.spec.job_id,
                attempt.task_index,
                attempt.number,
                attempt.desired.label,
                attempt.grace.total_seconds(),
            )
            for attempt in entries.values()
        ]

    def usage(self) -> dict[str, Amounts]:
        """Return what each team's attempts hold: whatever may possibly be on a machine counts."""
        return dict(self.index.usage)

    def amounts_in_transfer(self) -> dict[str, dict[str, Amounts]]:
        """Return the same for each job that was handed over and that its new scheduler does not count yet."""
        return self._in_transfer.amounts_by_job()

    def usage_with_transfers(self) -> dict[str, Amounts]:
        """Return both together: what our quota share has to cover."""
        total = self.usage()
        for held in self.amounts_in_transfer().values():
            for team, amounts in held.items():
                add_amounts(total, team, amounts)
        return total
