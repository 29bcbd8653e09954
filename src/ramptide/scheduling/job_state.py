"""What a scheduler keeps of one job: its tasks that wait or are placed, and how it has failed."""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from ramptide.cluster.failure_attribution import MAX_FAULTY_MACHINES
from ramptide.protocol.jobs import BATCH, SERVICE
from ramptide.scheduling.attempts import Attempt
from ramptide.state.jobs import Job
from ramptide.state.records import PROGRESS_WINDOW, Progress
from ramptide.state.task_state import NO_TIME, Phase

BACKOFF_FIRST = timedelta(seconds=2)
BACKOFF_MAX = timedelta(seconds=60)
#: A task that runs for longer than others took to fail has recovered: twice as long, but at least so long.
RECOVERED_AFTER = timedelta(seconds=5)
#: Running so long is enough for a service, which never shows success otherwise.
SERVICE_RECOVERED_AFTER = timedelta(seconds=60)


@dataclass(slots=True)
class JobState:
    """What the scheduler keeps of a job in this view."""

    job: Job
    done: Progress
    since: timedelta
    #: The attempts of its tasks that may be on a machine, and how many there are in each zone.
    placed: dict[int, Attempt] = field(default_factory=dict)
    zones: Counter[str] = field(default_factory=Counter)
    #: A heap of the tasks to be started again; all from `next_new_task` on were never started in this view.
    retry_tasks: list[int] = field(default_factory=list)
    next_new_task: int = 0
    #: Nothing is started while its handover to another controller is being written.
    frozen: bool = False
    #: Machines on which nothing of it is started until the moment given.
    excluded_until: dict[str, timedelta] = field(default_factory=dict)
    #: Machines on which it failed since a task of it did well, and the longest that a task ran before it failed.
    failed_on: set[str] = field(default_factory=set)
    longest_failed_run: timedelta = NO_TIME
    backoff: timedelta = NO_TIME
    retry_at: timedelta = NO_TIME
    #: The task that was started last to see whether the job still fails.
    probe: int | None = None
    waiting_since: timedelta | None = None
    #: Since when some of its tasks have found no room, though its team's limit lets them run.
    without_room_since: timedelta | None = None
    started_at: timedelta | None = None

    @property
    def waiting(self) -> int:
        """How many tasks are neither done nor placed."""
        return self.job.spec.task_count - self.done.count - len(self.placed)

    @property
    def failing(self) -> bool:
        """Whether it fails wherever it runs.

        Mostly it was submitted with a mistake, and does so until it is cancelled.
        """
        return len(self.failed_on) > 1

    @property
    def startable(self) -> int:
        """How many tasks may be started and counted as waiting: while it fails, one as a probe."""
        if not self.failing:
            return self.waiting
        return 0 if self.probe in self.placed else min(self.waiting, 1)

    @property
    def avoids(self) -> set[str]:
        """Machines whose room is none for it, so that another is rented: while they may all be faulty."""
        return self.failed_on if len(self.failed_on) < MAX_FAULTY_MACHINES else set()

    @property
    def claims_room(self) -> bool:
        """Whether others may be stopped for it: not for what is going to fail."""
        return not self.failing

    @property
    def has_unrecorded_results(self) -> bool:
        """Whether the state service lacks some of its results."""
        return self.done.count != self.job.progress.count

    @property
    def complete(self) -> bool:
        """Whether all its tasks are done."""
        return self.job.spec.kind == BATCH and self.done.count == self.job.spec.task_count

    def idle_for(self, now: timedelta, wall: datetime) -> timedelta:
        """Return how long nothing of it was started. While it fails it is idle by our own choice."""
        if self.failing:
            return NO_TIME
        if self.started_at is None and not self.placed and not self.done.count:
            return wall - self.job.submitted_at
        return now - (self.started_at or self.since)

    def note_wait(self, now: timedelta, waits: bool, without_room: bool) -> None:
        """Note since when it waits, and since when tasks of it find no room though its team's limit lets them run."""
        self.waiting_since = (self.waiting_since or now) if waits else None
        self.without_room_since = (self.without_room_since or now) if without_room else None

    def next_task(self) -> int | None:
        """Return the next task that waits; it stays next until it is placed."""
        while self.retry_tasks:
            if self._is_done_or_placed(self.retry_tasks[0]):
                heapq.heappop(self.retry_tasks)
            else:
                return self.retry_tasks[0]
        task_count = self.job.spec.task_count
        while self.next_new_task < task_count and self._is_done_or_placed(self.next_new_task):
            self.next_new_task += 1
        if self.next_new_task < min(task_count, self.done.low + PROGRESS_WINDOW):
            return self.next_new_task
        return None

    def _is_done_or_placed(self, task_index: int) -> bool:
        return task_index in self.done or task_index in self.placed

    def back_off(self, now: timedelta) -> None:
        """Put off the next start: what fails together counts once, the next probe that fails doubles the pause."""
        self.waiting_since = None
        if self.retry_at <= now:
            self.backoff = min(max(self.backoff * 2, BACKOFF_FIRST), BACKOFF_MAX)
            self.retry_at = now + self.backoff

    def forget_failures(self) -> None:
        """Start its tasks without a pause again."""
        self.failed_on.clear()
        self.backoff = self.retry_at = NO_TIME

    def has_recovered(self, now: timedelta) -> bool:
        """Tell whether a task has run for well over what others took to fail."""
        least = max(self.longest_failed_run * 2, RECOVERED_AFTER)
        if self.job.spec.kind == SERVICE:
            least = min(least, SERVICE_RECOVERED_AFTER)
        return any(
            attempt.phase is Phase.RUNNING and attempt.running_since is not None and now - attempt.running_since > least
            for attempt in self.placed.values()
        )
