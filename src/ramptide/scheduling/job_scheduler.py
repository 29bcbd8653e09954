"""The jobs whose tasks only this controller may start, and the attempts of these tasks."""

import heapq
from collections.abc import Callable, Collection
from datetime import timedelta

from ramptide.protocol.agents import REFUSAL_CAUSES, TaskOutcome
from ramptide.protocol.jobs import BATCH
from ramptide.scheduling.attempts import Attempt, AttemptIndex
from ramptide.scheduling.attempts_in_transfer import AttemptsInTransfer
from ramptide.scheduling.errors import TaskMayRunError
from ramptide.scheduling.failing_jobs import FailingJobs
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
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

#: How long a job is not started on a machine that refused a task of it; the reason for a refusal may pass at once.
EXCLUDED_AFTER_REFUSAL = timedelta(milliseconds=300)


class JobScheduler:
    """The jobs that this controller schedules in one view, and every attempt of their tasks that may be on a machine.

    Parameters
    ----------
    member
        The name of this controller.
    attempt_number_base
        The first attempt gets the number after this one.
    is_faulty
        Returns whether a machine is known to be faulty.
    statistics
        Counts and logs what becomes of attempts.
    """

    def __init__(
        self,
        member: str,
        attempt_number_base: int,
        is_faulty: Callable[[str], bool] = lambda _host: False,
        statistics: SchedulingStatistics | None = None,
    ) -> None:
        self.member = member
        self.jobs: dict[str, JobState] = {}
        self._in_transfer = AttemptsInTransfer()
        #: The sequence number of this controller's last message to the other controllers.
        self.sequence_number = 0
        #: Whether something changed that the next decision round has to take into account.
        self.needs_round = True
        #: Machines whose desired tasks changed since they were last collected for messages to their owners.
        self.changed_hosts: set[str] = set()
        #: Jobs with results that are not in the key-value store yet.
        self.jobs_with_new_results: set[str] = set()
        #: Jobs with tasks that are neither done nor placed.
        self.jobs_with_pending_tasks: dict[str, JobState] = {}
        self.failing_jobs = FailingJobs(is_faulty)
        self._last_attempt_number = attempt_number_base
        self.attempt_index = AttemptIndex()
        #: The attempts on each machine: the same mapping as in the index.
        self.attempts_by_host = self.attempt_index.by_host
        self._statistics = statistics or SchedulingStatistics()

    def _add_attempt(self, attempt: Attempt) -> None:
        self.attempt_index.add(attempt)
        self.changed_hosts.add(attempt.host)
        self.needs_round = True

    def _remove_attempt(self, attempt: Attempt) -> None:
        self.attempt_index.remove(attempt)
        self.changed_hosts.add(attempt.host)
        self.needs_round = True

    def _update_pending(self, job_state: JobState) -> None:
        if job_state.waiting > 0 and job_state.job.job_id in self.jobs:
            self.jobs_with_pending_tasks[job_state.job.job_id] = job_state
        else:
            self.jobs_with_pending_tasks.pop(job_state.job.job_id, None)

    # Assignment of jobs.

    def adopt_job(self, job: Job, now: timedelta, failed_on: Collection[str] = ()) -> JobState:
        """Add a job to those that this controller schedules, or apply the changed record of one of them.

        `failed_on`: the machines on which the job failed under its previous scheduler, if there was one.
        """
        job_state = self.jobs.get(job.job_id)
        if job_state is None:
            job_state = JobState(job, job.progress.copy(), now, failed_on=set(failed_on))
            self.jobs[job.job_id] = job_state
            self.failing_jobs.add_adopted(job_state, now)
            self.needs_round = True
        else:
            job_state.done.update(job.progress)
        self._update_pending(job_state)
        return job_state

    def release_job(self, job_id: str) -> None:
        """Remove a job that has another scheduler now, which decides about the job's attempts from now on."""
        job_state = self.jobs.pop(job_id, None)
        if job_state is None:
            return
        self._update_pending(job_state)
        self.failing_jobs.discard(job_id)
        for attempt in self.attempt_index.of_job(job_id):
            # These attempts count here until the new scheduler confirms that it counts them, in the message that also
            # lowers this controller's quota share accordingly.
            self._remove_attempt(attempt)
            self._in_transfer.add(attempt)
        self.needs_round = True

    def confirm_transfer(self, job_id: str) -> None:
        """Stop counting the attempts of a job that was handed over, as its new scheduler counts them now."""
        self._in_transfer.remove_job(job_id)

    def finish_job(self, job_id: str) -> None:
        """Remove a finished job, and stop its attempts, which count until they are gone from their machines."""
        job_state = self.jobs.pop(job_id, None)
        if job_state is None:
            return
        self._update_pending(job_state)
        self.failing_jobs.discard(job_id)
        self.jobs_with_new_results.discard(job_id)
        for attempt in self.attempt_index.of_job(job_id):
            self._set_desired(attempt, DesiredState.REAP if attempt.phase in FINISHED_PHASES else DesiredState.STOP)
        self.needs_round = True

    def reap_recorded_results(self, job_id: str) -> None:
        """Have agents reap the job's attempts whose results the key-value store has now."""
        job_state = self.jobs.get(job_id)
        for attempt in self.attempt_index.of_job(job_id):
            if attempt.phase is Phase.ENDED and job_state is not None and attempt.task_index in job_state.job.progress:
                self._set_desired(attempt, DesiredState.REAP)

    # Starting and stopping of tasks.

    def start(self, job_state: JobState, task_index: int, host: str, zone: str, now: timedelta) -> Attempt:
        """Start a task on a machine.

        This is the only place where a start is decided.

        Raises
        ------
        TaskMayRunError
            If an attempt of the task may be on a machine; nothing is started then.
        """
        possible = self.attempt_index.possible_attempt(job_state.job.job_id, task_index)
        if possible is not None:
            raise TaskMayRunError(job_state.job.job_id, task_index, possible.number, possible.host)
        self._last_attempt_number += 1
        job_state.last_started_at = now
        if job_state.is_failing:
            job_state.probe = task_index
        spec = job_state.job.spec
        attempt = Attempt(
            spec, task_index, self._last_attempt_number, host, zone, DesiredState.RUN, self.sequence_number + 1, now
        )
        self._add_attempt(attempt)
        self._place_attempt(job_state, attempt)
        self._statistics.record_attempt(SchedulingEvent.START, attempt)
        return attempt

    def _place_attempt(self, job_state: JobState, attempt: Attempt) -> None:
        """Let an attempt count as that of its task, which is not started while the attempt may be on a machine."""
        job_state.placed[attempt.task_index] = attempt
        job_state.placed_by_zone[attempt.zone] += 1
        self._update_pending(job_state)

    def stop(self, attempt: Attempt, grace: timedelta) -> None:
        """Request that an attempt be stopped, with a grace period in which it may save its work."""
        if attempt.desired is DesiredState.RUN:
            self._set_desired(attempt, DesiredState.STOP, grace)

    def _set_desired(self, attempt: Attempt, desired: DesiredState, grace: timedelta = NO_TIME) -> None:
        if attempt.desired is not desired:
            attempt.desired, attempt.grace, attempt.sequence_number = desired, grace, self.sequence_number + 1
            self.changed_hosts.add(attempt.host)
            self.needs_round = True

    def _requeue_task(self, attempt: Attempt) -> None:
        """Make the task of an attempt that has ended or is proven gone startable again, unless the task is done.

        While another attempt of the task may be on a machine, that one counts instead, also one that is being stopped.
        """
        job_state = self.jobs.get(attempt.spec.job_id)
        if job_state is None or job_state.placed.get(attempt.task_index) is not attempt:
            return
        del job_state.placed[attempt.task_index]
        job_state.placed_by_zone[attempt.zone] -= 1
        if attempt.task_index not in job_state.done:
            other = self.attempt_index.possible_attempt(attempt.spec.job_id, attempt.task_index)
            if other is not None:
                self._place_attempt(job_state, other)
            else:
                heapq.heappush(job_state.retry_tasks, attempt.task_index)
        self._update_pending(job_state)
        self.needs_round = True

    def _discard_attempt(self, attempt: Attempt) -> None:
        self._remove_attempt(attempt)
        self._requeue_task(attempt)

    def remove_machine(self, host: str) -> None:
        """Remove a machine whose return the cloud has answered, with all attempts on it, which are gone."""
        for attempt in list(self.attempts_by_host.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._discard_attempt(attempt)
        self._in_transfer.remove_machine(host)

    # Status from the owners of machines.

    def apply_status(self, host: str, zone: str, tasks: list[TaskRow], now: timedelta) -> None:
        """Apply the owner's list of the tasks on a machine."""
        reported: set[TaskKey] = set()
        entries = self.attempts_by_host.get(host, {})
        for job_id, task_index, number, phase_name, cause in tasks:
            key = (job_id, task_index, number)
            attempt = entries.get(key)
            if attempt is None and (job_id not in self.jobs or task_index >= self.jobs[job_id].job.spec.task_count):
                continue
            reported.add(key)
            phase = PHASE_BY_NAME[phase_name]
            if attempt is None:
                attempt = self._adopt_attempt(host, zone, key, phase, now)
            self.attempt_index.unreported.pop(key, None)
            if attempt.phase is not phase or phase in FINISHED_PHASES:
                self._change_phase(attempt, phase, cause, now)
        for key, attempt in self.attempts_by_host.get(host, {}).items():
            if key not in reported:
                self.attempt_index.unreported[key] = attempt

    def apply_acknowledgement(
        self, acknowledged_number: int, confirmed_tasks: Callable[[str], list[TaskRow] | None]
    ) -> None:
        """Apply an owner's acknowledgement of the messages of this controller up to `acknowledged_number`.

        An attempt that the owner does not report, although it has processed the desired state, is not on the machine.
        `confirmed_tasks` returns the owner's list of the tasks on a machine, or None while that list proves nothing.
        """
        for attempt in list(self.attempt_index.unreported.values()):
            if acknowledged_number < attempt.sequence_number or confirmed_tasks(attempt.host) is None:
                continue
            if attempt.desired is DesiredState.RUN:
                # The owner did not know the machine when the desired state arrived. A later message of this controller
                # may still carry that state, so it is withdrawn first. Only the owner's acknowledgement of the
                # withdrawal proves that the attempt is gone.
                self._set_desired(attempt, DesiredState.REAP)
            else:
                if attempt.phase not in FINISHED_PHASES:
                    self._statistics.record_attempt(SchedulingEvent.NOT_REPORTED, attempt)
                self._discard_attempt(attempt)
        self._in_transfer.prune(acknowledged_number, confirmed_tasks)

    def _adopt_attempt(self, host: str, zone: str, key: TaskKey, phase: Phase, now: timedelta) -> Attempt:
        """Add an attempt that the previous scheduler of one of this controller's jobs started."""
        job_id, task_index, number = key
        job_state = self.jobs[job_id]
        attempt = Attempt(
            job_state.job.spec, task_index, number, host, zone, DesiredState.RUN, self.sequence_number + 1, now, phase
        )
        attempt.running_since = now if phase is Phase.RUNNING else None
        if phase not in FINISHED_PHASES and (task_index in job_state.done or task_index in job_state.placed):
            self._add_attempt(attempt)
            self._set_desired(attempt, DesiredState.STOP)
            self._statistics.record_attempt(SchedulingEvent.ADOPTED_TO_STOP, attempt)
        elif phase not in FINISHED_PHASES:
            self._add_attempt(attempt)
            self._place_attempt(job_state, attempt)
            self._statistics.record_attempt(SchedulingEvent.ADOPTED, attempt)
        else:
            self._add_attempt(attempt)
            attempt.phase = Phase.QUEUED
        return attempt

    def _change_phase(self, attempt: Attempt, phase: Phase, cause: str | None, now: timedelta) -> None:
        previous_phase, attempt.phase = attempt.phase, phase
        self.attempt_index.update_usage(attempt)
        if phase is Phase.RUNNING:
            attempt.running_since = now
        if phase not in FINISHED_PHASES:
            return
        job_state = self.jobs.get(attempt.spec.job_id)
        if previous_phase not in FINISHED_PHASES and job_state is not None:
            self._apply_outcome(job_state, attempt, cause, now)
        # A successful attempt is reaped only once its result is in the key-value store. Until then the agent keeps the
        # result.
        if (
            phase is not Phase.ENDED
            or cause != TaskOutcome.SUCCEEDED
            or job_state is None
            or attempt.task_index in job_state.job.progress
        ):
            self._set_desired(attempt, DesiredState.REAP)
        self._requeue_task(attempt)

    # Outcomes of attempts.

    def _apply_outcome(self, job_state: JobState, attempt: Attempt, cause: str | None, now: timedelta) -> None:
        if attempt.phase is Phase.ENDED and cause == TaskOutcome.SUCCEEDED:
            self._record_success(job_state, attempt)
        elif attempt.phase is Phase.ENDED and cause == TaskOutcome.FAILED:
            self.failing_jobs.record_failure(job_state, attempt, now)
        elif attempt.phase is Phase.REFUSED or (attempt.phase is Phase.ENDED and cause in REFUSAL_CAUSES):
            self._statistics.record_attempt(SchedulingEvent.REFUSED, attempt)
            job_state.exclude(attempt.host, now + EXCLUDED_AFTER_REFUSAL)
        elif attempt.phase is Phase.GONE:
            self._statistics.record_attempt(SchedulingEvent.GONE, attempt)

    def _record_success(self, job_state: JobState, attempt: Attempt) -> None:
        job_state.longest_failed_run = NO_TIME
        self._clear_failures(job_state)
        if job_state.job.spec.kind == BATCH and job_state.done.add(attempt.task_index):
            self.jobs_with_new_results.add(attempt.spec.job_id)
            self._update_pending(job_state)
            self.needs_round = True

    def _clear_failures(self, job_state: JobState) -> None:
        if self.failing_jobs.clear_failures(job_state):
            self.needs_round = True

    def clear_recovered(self, now: timedelta) -> None:
        """Clear the failures of jobs of which a task has run for well over the time that other tasks took to fail."""
        if self.failing_jobs.clear_recovered(now):
            self.needs_round = True

    def discard_failures_on(self, host: str) -> None:
        """Discard the jobs' failures on a machine that has turned out to be faulty."""
        if self.failing_jobs.discard_failures_on(host, self.jobs):
            self.needs_round = True

    # Reports to the other controllers.

    def desired_tasks(self, host: str) -> list[DesiredTaskRow] | None:
        """Return the desired states of all attempts on a machine; None when there are none."""
        entries = self.attempts_by_host.get(host)
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
        """Return the CPUs and GPUs that each team's attempts hold; every attempt that may be on a machine counts."""
        return dict(self.attempt_index.usage)

    def amounts_in_transfer(self) -> dict[str, dict[str, Amounts]]:
        """Return the amounts by team of each job that was handed over and that its new scheduler does not count yet."""
        return self._in_transfer.amounts_by_job()

    def usage_with_transfers(self) -> dict[str, Amounts]:
        """Return the usage together with the amounts in transfer, which this controller's quota share has to cover."""
        total = self.usage()
        for amounts_by_team in self.amounts_in_transfer().values():
            for team, amounts in amounts_by_team.items():
                add_amounts(total, team, amounts)
        return total
