"""The state of one job at its scheduler: its waiting and placed tasks, and its failures."""

import heapq
import logging
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from ramptide.cluster.failure_attribution import MAX_FAULTY_MACHINES
from ramptide.protocol.jobs import BATCH, SERVICE
from ramptide.scheduling.attempts import Attempt
from ramptide.state.jobs import Job
from ramptide.state.records import PROGRESS_WINDOW_TASKS, Handover, Progress
from ramptide.state.task_state import NO_TIME, Phase

log = logging.getLogger(__name__)

BACKOFF_FIRST = timedelta(seconds=2)
BACKOFF_MAX = timedelta(seconds=60)
#: A job has recovered when a task has run for longer than this, and for more than twice the longest failed run.
RECOVERED_AFTER = timedelta(seconds=5)
#: A service has recovered at the latest when a replica has run for longer than this, as no replica ends in success.
SERVICE_RECOVERED_AFTER = timedelta(seconds=60)


@dataclass(slots=True)
class JobState:
    """The state that the scheduler keeps of a job in the current view."""

    job: Job
    done: Progress
    scheduled_since: timedelta
    #: The attempts that may be on a machine, by task index.
    placed: dict[int, Attempt] = field(default_factory=dict)
    #: The number of these attempts in each zone.
    placed_by_zone: Counter[str] = field(default_factory=Counter)
    #: A heap of the tasks to be started again. Tasks from `next_new_task` on were never started in this view.
    retry_tasks: list[int] = field(default_factory=list)
    next_new_task: int = 0
    #: Whether a handover of the job to another controller is being written; no task is started meanwhile.
    is_frozen: bool = False
    #: The handover to this controller whose last message all owners of machines were found to have processed.
    proven_handover: Handover | None = None
    #: Machines on which no task of the job is started, each with the time at which that ends.
    excluded_until: dict[str, timedelta] = field(default_factory=dict)
    #: Machines on which the job failed since its failures were last cleared.
    failed_on: set[str] = field(default_factory=set)
    #: The longest time that a task ran before it failed, since a task last succeeded.
    longest_failed_run: timedelta = NO_TIME
    backoff: timedelta = NO_TIME
    retry_at: timedelta = NO_TIME
    #: The task that was last started to find out whether the job still fails.
    probe: int | None = None
    waiting_since: timedelta | None = None
    #: Since when some of its tasks have found no room although its team's limit lets them run.
    without_room_since: timedelta | None = None
    last_started_at: timedelta | None = None
    #: When it was last determined why the job leaves out rooms that fit it.
    left_out_rooms_checked_at: timedelta = NO_TIME

    @property
    def waiting(self) -> int:
        """The number of tasks that are neither done nor placed."""
        return self.job.spec.task_count - self.done.count - len(self.placed)

    @property
    def is_failing(self) -> bool:
        """Whether the job has failed on several machines.

        Such a job was most likely submitted with a mistake, and fails until it is cancelled.
        """
        return len(self.failed_on) > 1

    @property
    def has_failed_on_many(self) -> bool:
        """Whether the job has failed on so many machines that it is most likely at fault itself."""
        return len(self.failed_on) >= MAX_FAULTY_MACHINES

    @property
    def startable(self) -> int:
        """The number of tasks that may be started and count as waiting: while the job fails at most one, as a probe."""
        if not self.is_failing:
            return self.waiting
        return 0 if self.probe in self.placed else min(self.waiting, 1)

    @property
    def avoided_hosts(self) -> set[str]:
        """The machines whose room does not count for the job, so that another machine is rented for it.

        These are the machines on which it failed, while they are so few that they may all be faulty.
        """
        return set() if self.has_failed_on_many else self.failed_on

    @property
    def may_claim_room(self) -> bool:
        """Whether other tasks may be stopped to make room for the job: not while it fails, as it would fail again."""
        return not self.is_failing

    @property
    def has_unrecorded_results(self) -> bool:
        """Whether the key-value store lacks some of its results."""
        return self.done.count != self.job.progress.count

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of a batch job are done; never true of a service."""
        return self.job.spec.kind == BATCH and self.done.count == self.job.spec.task_count

    def idle_for(self, now: timedelta, wall: datetime) -> timedelta:
        """Return for how long no task of the job was started, by which the job goes ahead of others.

        While the job fails this is zero, as its starts are then held back on purpose.
        """
        return NO_TIME if self.is_failing else self.time_since_start(now, wall)

    def time_since_start(self, now: timedelta, wall: datetime) -> timedelta:
        """Return for how long no task of the job was started, also while the job fails."""
        if self.last_started_at is None and not self.placed and not self.done.count:
            return wall - self.job.submitted_at
        return now - (self.last_started_at or self.scheduled_since)

    def update_waiting(self, now: timedelta, is_waiting: bool, is_without_room: bool) -> None:
        """Set since when tasks of the job wait, and since when some find no room although the team limit lets them run.

        Each of the two times is kept while its condition stays true, and cleared when it is false.
        """
        self.waiting_since = (self.waiting_since or now) if is_waiting else None
        self.without_room_since = (self.without_room_since or now) if is_without_room else None

    def next_task(self) -> int | None:
        """Return the next waiting task, or None when no task may be started.

        The result stays the same until that task is placed or done.
        """
        while self.retry_tasks:
            if self._is_done_or_placed(self.retry_tasks[0]):
                heapq.heappop(self.retry_tasks)
            else:
                return self.retry_tasks[0]
        task_count = self.job.spec.task_count
        while self.next_new_task < task_count and self._is_done_or_placed(self.next_new_task):
            self.next_new_task += 1
        if self.next_new_task < min(task_count, self.done.low + PROGRESS_WINDOW_TASKS):
            return self.next_new_task
        return None

    def _is_done_or_placed(self, task_index: int) -> bool:
        return task_index in self.done or task_index in self.placed

    def back_off(self, now: timedelta) -> None:
        """Delay the next start. Failures during a delay count once; a probe that fails after it doubles the delay."""
        self.waiting_since = None
        if self.retry_at <= now:
            self.backoff = min(max(self.backoff * 2, BACKOFF_FIRST), BACKOFF_MAX)
            self.retry_at = now + self.backoff
            log.info(
                "job backed off: job_id=%s backoff_s=%.0f failed_on=%r",
                self.job.job_id,
                self.backoff.total_seconds(),
                ", ".join(sorted(self.failed_on)),
            )

    def clear_failures(self) -> None:
        """Clear the machines on which the job failed, and let its tasks start without delay again."""
        self.failed_on.clear()
        self.backoff = self.retry_at = NO_TIME

    def exclude(self, host: str, until: timedelta) -> None:
        """Start no task of the job on a machine until some time."""
        self.excluded_until[host] = until

    def end_exclusions(self, now: timedelta) -> None:
        """Remove the exclusions of machines whose time is over."""
        if self.excluded_until:
            self.excluded_until = {host: until for host, until in self.excluded_until.items() if until > now}

    def has_recovered(self, now: timedelta) -> bool:
        """Return whether a task has run for well over the time that other tasks took to fail."""
        min_run_time = max(self.longest_failed_run * 2, RECOVERED_AFTER)
        if self.job.spec.kind == SERVICE:
            min_run_time = min(min_run_time, SERVICE_RECOVERED_AFTER)
        return any(
            attempt.phase is Phase.RUNNING
            and attempt.running_since is not None
            and now - attempt.running_since > min_run_time
            for attempt in self.placed.values()
        )
