"""The jobs whose starts this controller alone decides, and the attempts of their tasks."""

import heapq
import logging
from collections.abc import Callable, Collection
from datetime import timedelta

from ramptide.protocol.agents import REFUSAL_CAUSES, TaskOutcome
from ramptide.protocol.jobs import BATCH
from ramptide.scheduling.attempts import Attempt, AttemptIndex, sum_amounts
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

log = logging.getLogger(__name__)

#: A job stays away so long from a machine on which a task of it failed.
EXCLUDED_AFTER_FAILURE = timedelta(seconds=60)
#: A job stays away so long from a machine that refused a task of it, as the refusal may pass at once.
EXCLUDED_AFTER_REFUSAL = timedelta(milliseconds=300)


class JobScheduler:
    """The jobs whose starts we decide in one view, and every attempt of theirs that may be on a machine."""

    def __init__(self, member: str, first_attempt: int, faulty: Callable[[str], bool] = lambda _host: False) -> None:
        self.member = member
        self._faulty = faulty
        self.jobs: dict[str, JobState] = {}
        #: Attempts of jobs that were handed over, until the new home counts them.
        self.in_transfer: dict[str, list[Attempt]] = {}
        #: The number of our last message to the other controllers.
        self.sequence_number = 0
        #: Something changed that the next round of decisions has to see.
        self.needs_round = True
        #: Machines of which we desire something else than before.
        self.changed_hosts: set[str] = set()
        #: Jobs with results that are not written to the state service.
        self.with_new_results: set[str] = set()
        #: Jobs of which some task is neither done nor placed.
        self.with_pending_tasks: dict[str, JobState] = {}
        #: Jobs that fail wherever they run.
        self.failing: dict[str, JobState] = {}
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

    def _update_pending(self, state: JobState) -> None:
        if state.waiting > 0 and state.job.job_id in self.jobs:
            self.with_pending_tasks[state.job.job_id] = state
        else:
            self.with_pending_tasks.pop(state.job.job_id, None)

    # Which jobs are ours.

    def take_job(self, job: Job, now: timedelta, failed_on: Collection[str] = ()) -> JobState:
        """Take a job, or its changed record.

        `failed_on`: where it failed under its former home, should there be one.
        """
        state = self.jobs.get(job.job_id)
        if state is None:
            state = JobState(job, job.progress.copy(), now, failed_on=set(failed_on))
            self.jobs[job.job_id] = state
            self._back_off(state, now)
            self.needs_round = True
        elif state.job.progress.count > state.done.count:
            state.done = job.progress.copy()
        self._update_pending(state)
        return state

    def release_job(self, job_id: str) -> None:
        """Let go of a job that has another home now, which decides about the attempts from then on."""
        state = self.jobs.pop(job_id, None)
        if state is None:
            return
        self._update_pending(state)
        self.failing.pop(job_id, None)
        for attempt in self.index.of_job(job_id):
            # Counted as ours until the new home says that it counts them, and lowers our allowance for it.
            self._remove(attempt)
            self.in_transfer.setdefault(job_id, []).append(attempt)
        self.needs_round = True

    def transfer_confirmed(self, job_id: str) -> None:
        """Stop counting the attempts of a job that was handed over, as its new home counts them."""
        self.in_transfer.pop(job_id, None)

    def job_finished(self, job_id: str) -> None:
        """Start no task of the job any more; what may be on a machine still counts until it is gone."""
        state = self.jobs.pop(job_id, None)
        if state is None:
            return
        self._update_pending(state)
        self.failing.pop(job_id, None)
        self.with_new_results.discard(job_id)
        for attempt in self.index.of_job(job_id):
            self._set_desired(attempt, DesiredState.REAP if attempt.phase in FINISHED_PHASES else DesiredState.STOP)
        self.needs_round = True

    def results_recorded(self, job_id: str) -> None:
        """Let workers forget the results of the job that the state service has now."""
        state = self.jobs.get(job_id)
        for attempt in self.index.of_job(job_id):
            if attempt.phase is Phase.ENDED and state is not None and attempt.task_index in state.job.progress:
                self._set_desired(attempt, DesiredState.REAP)

    # Starting and stopping.

    def start(self, state: JobState, task: int, host: str, zone: str, now: timedelta) -> Attempt:
        """Start a task on a machine."""
        self._next_attempt += 1
        state.started_at = now
        if state.failing:
            state.probe = task
        spec = state.job.spec
        attempt = Attempt(spec, task, self._next_attempt, host, zone, DesiredState.RUN, self.sequence_number + 1, now)
        self._place(state, attempt)
        return attempt

    def _place(self, state: JobState, attempt: Attempt) -> None:
        self._add(attempt)
        state.placed[attempt.task_index] = attempt
        state.zones[attempt.zone] += 1
        self._update_pending(state)

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
        state = self.jobs.get(attempt.spec.job_id)
        if state is None or state.placed.get(attempt.task_index) is not attempt:
            return
        del state.placed[attempt.task_index]
        state.zones[attempt.zone] -= 1
        if attempt.task_index not in state.done:
            heapq.heappush(state.retry_tasks, attempt.task_index)
        self._update_pending(state)
        self.needs_round = True

    def _discard(self, attempt: Attempt) -> None:
        self._remove(attempt)
        self._free_task(attempt)

    def remove_machine(self, host: str) -> None:
        """Drop a machine whose return was answered: all on it is gone."""
        for attempt in list(self.attempts.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._discard(attempt)
        for attempts in self.in_transfer.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

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

    def acknowledged(self, ack: int, answered: Callable[[str], list[TaskRow] | None]) -> None:
        """Note that an owner has processed our messages up to `ack`: what it does not show is not there.

        `answered` gives its list for a machine, None while that proves nothing.
        """
        for attempt in list(self.index.unshown.values()):
            if ack < attempt.sequence_number or answered(attempt.host) is None:
                continue
            if attempt.desired is DesiredState.RUN:
                # The owner did not know the machine when our desired state came. A later message of ours may still
                # carry it, so it is taken back first; only its answer proves the attempt gone.
                self._set_desired(attempt, DesiredState.REAP)
            else:
                self._discard(attempt)
        if self.in_transfer:
            self._prune_transfers(ack, answered)

    def _prune_transfers(self, ack: int, answered: Callable[[str], list[TaskRow] | None]) -> None:
        for job_id, attempts in list(self.in_transfer.items()):
            left = []
            for attempt in attempts:
                tasks = answered(attempt.host)
                gone = (
                    tasks is not None
                    and ack >= attempt.sequence_number
                    and all(row[:3] != attempt.key for row in tasks)
                )
                if not gone:
                    left.append(attempt)
            if left:
                self.in_transfer[job_id] = left
            else:
                del self.in_transfer[job_id]

    def _adopt(self, host: str, zone: str, key: TaskKey, phase: Phase, now: timedelta) -> Attempt:
        """Take over an attempt of a job of ours that an earlier home started."""
        job_id, task, number = key
        state = self.jobs[job_id]
        attempt = Attempt(
            state.job.spec, task, number, host, zone, DesiredState.RUN, self.sequence_number + 1, now, phase
        )
        attempt.running_since = now if phase is Phase.RUNNING else None
        if phase not in FINISHED_PHASES and (task in state.done or task in state.placed):
            self._add(attempt)
            self._set_desired(attempt, DesiredState.STOP)
        elif phase not in FINISHED_PHASES:
            self._place(state, attempt)
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
        state = self.jobs.get(attempt.spec.job_id)
        if before not in FINISHED_PHASES and state is not None:
            self._take_outcome(state, attempt, cause, now)
        # Reaped only once its result is in the state service: until then the worker keeps it for us.
        if (
            phase is not Phase.ENDED
            or cause != TaskOutcome.SUCCEEDED
            or state is None
            or attempt.task_index in state.job.progress
        ):
            self._set_desired(attempt, DesiredState.REAP)
        self._free_task(attempt)

    # How tasks end.

    def _take_outcome(self, state: JobState, attempt: Attempt, cause: str | None, now: timedelta) -> None:
        if attempt.phase is Phase.ENDED and cause == TaskOutcome.SUCCEEDED:
            self._task_done(state, attempt)
        elif attempt.phase is Phase.ENDED and cause == TaskOutcome.FAILED:
            self._task_failed(state, attempt, now)
        elif attempt.phase is Phase.REFUSED or (attempt.phase is Phase.ENDED and cause in REFUSAL_CAUSES):
            state.excluded_until[attempt.host] = now + EXCLUDED_AFTER_REFUSAL

    def _task_done(self, state: JobState, attempt: Attempt) -> None:
        state.longest_failed_run = NO_TIME
        self._clear_failures(state)
        if state.job.spec.kind == BATCH and state.done.add(attempt.task_index):
            self.with_new_results.add(attempt.spec.job_id)
            self._update_pending(state)
            self.needs_round = True

    def _task_failed(self, state: JobState, attempt: Attempt, now: timedelta) -> None:
        """Hold the failure against the job, unless the machine is known as faulty."""
        log.info("task failed: task_id=%s/%d host=%s", attempt.spec.job_id, attempt.task_index, attempt.host)
        state.excluded_until[attempt.host] = now + EXCLUDED_AFTER_FAILURE
        if self._faulty(attempt.host):
            return
        state.failed_on.add(attempt.host)
        if attempt.running_since is not None:
            state.longest_failed_run = max(state.longest_failed_run, now - attempt.running_since)
        self._back_off(state, now)

    def _back_off(self, state: JobState, now: timedelta) -> None:
        if state.failing:
            self.failing[state.job.job_id] = state
            state.back_off(now)

    def _clear_failures(self, state: JobState) -> None:
        state.forget_failures()
        if self.failing.pop(state.job.job_id, None) is not None:
            self.needs_round = True

    def clear_recovered(self, now: timedelta) -> None:
        """Forget the failures of jobs of which a task has run for well over what others took to fail."""
        for state in list(self.failing.values()):
            if state.has_recovered(now):
                self._clear_failures(state)

    def machine_faulty(self, host: str) -> None:
        """Take back what failed on a machine: it was the machine's fault, not the jobs'."""
        for state in self.jobs.values():
            if host in state.failed_on:
                state.failed_on.discard(host)
                if not state.failing and state.job.job_id in self.failing:
                    self._clear_failures(state)

    # What the others need to know.

    def desired_tasks(self, host: str) -> list[DesiredTaskRow] | None:
        """Return all that we desire of a machine; None when that is nothing."""
        entries = self.attempts.get(host)
        if entries is None:
            return None
        return [
            (a.spec.job_id, a.task_index, a.number, a.desired.label, a.grace.total_seconds()) for a in entries.values()
        ]

    def usage(self) -> dict[str, Amounts]:
        """Return what each team's attempts hold: whatever may possibly be on a machine counts."""
        return dict(self.index.usage)

    def amounts_in_transfer(self) -> dict[str, dict[str, Amounts]]:
        """Return the same for each job that was handed over and that its new home does not count yet."""
        return {job_id: sum_amounts(attempts) for job_id, attempts in self.in_transfer.items()}

    def usage_with_transfers(self) -> dict[str, Amounts]:
        """Return both together: what our allowance has to cover."""
        total = self.usage()
        for attempts in self.in_transfer.values():
            for team, amounts in sum_amounts(attempts).items():
                add_amounts(total, team, amounts)
        return total
