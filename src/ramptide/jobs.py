"""The jobs that are not over, and their homes: the controller that alone decides a job's starts."""

import heapq
import logging
from collections import Counter
from collections.abc import Callable, Collection, Container, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from enum import IntEnum
from typing import Any

from ramptide import wire
from ramptide.allowances import Amounts, add_amounts
from ramptide.records import PROGRESS_WINDOW, JobRecord, Progress
from ramptide.task_state import FINISHED, DesiredState, DesiredTaskRow, Phase, TaskKey, TaskRow

log = logging.getLogger(__name__)

NO_TIME = timedelta(0)
BACKOFF_FIRST = timedelta(seconds=2)
BACKOFF_MAX = timedelta(seconds=60)
EXCLUDED_AFTER_FAILURE = timedelta(seconds=60)
#: A task that runs for longer than others took to fail does well: twice as long, but at least the first; the second is
#: enough for a service, which never shows success otherwise.
RECOVERED_AFTER, SERVICE_RECOVERED_AFTER = timedelta(seconds=5), timedelta(seconds=60)
EXCLUDED_AFTER_REFUSAL = timedelta(milliseconds=300)
NO_DEADLINE = datetime.max.replace(tzinfo=UTC)
#: Guesses are often too long by half; a job is given up as late only when even a shorter run would be.
SHORTEST_RUN_SHARE = 0.7
#: A job that failed on more machines than this was most likely at fault itself, even if it runs later.
MAX_FAULTY_MACHINES = 3
PHASE_BY_NAME = {phase.value: phase for phase in Phase}


class Job:
    """A job that is not over, as the state service has it."""

    __slots__ = ("ref", "run", "record", "stamp", "progress", "submitted", "due")

    def __init__(self, ref: str, record: JobRecord, stamp: int) -> None:
        self.ref = ref
        self.run = record.run
        self.submitted = record.submitted
        self.due = None if self.run.due_s is None else self.submitted + timedelta(seconds=self.run.due_s)
        self.update(record, stamp)

    def update(self, record: JobRecord, stamp: int) -> None:
        # First what can fail, so that a broken record changes nothing.
        self.progress = Progress.decode(record.done)
        self.record = record
        self.stamp = stamp


@dataclass(slots=True)
class Attempt:
    """One start that we decided on, or found and took over; held until it is proven gone."""

    run: wire.Run
    task: int
    number: int
    host: str
    zone: str
    desired: DesiredState
    seq: int
    since: timedelta
    phase: Phase = Phase.QUEUED
    grace: timedelta = NO_TIME
    counted: bool = False
    running_since: timedelta | None = None

    @property
    def key(self) -> TaskKey:
        return (self.run.ref, self.task, self.number)


@dataclass(slots=True)
class JobState:
    """What the home keeps of a job in this view."""

    job: Job
    done: Progress
    since: timedelta
    placed: dict[int, Attempt] = field(default_factory=dict)
    zones: Counter[str] = field(default_factory=Counter)
    retry_tasks: list[int] = field(default_factory=list)
    next_new_task: int = 0
    frozen: bool = False
    excluded_until: dict[str, timedelta] = field(default_factory=dict)
    #: Machines on which it failed since a task of it did well, and the longest that a task ran before it failed.
    failed_on: set[str] = field(default_factory=set)
    longest_failed_run: timedelta = NO_TIME
    backoff: timedelta = NO_TIME
    retry_at: timedelta = NO_TIME
    probe: int | None = None
    waiting_since: timedelta | None = None
    #: Since when some of its tasks have found no room, though its team's limit lets them run.
    short_since: timedelta | None = None
    started_at: timedelta | None = None

    @property
    def waiting(self) -> int:
        return self.job.run.pieces - self.done.count - len(self.placed)

    @property
    def failing(self) -> bool:
        """It fails wherever it runs: mostly it was submitted with a mistake, and does so until it is cancelled."""
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
        """Others may be stopped for it: not for what is going to fail."""
        return not self.failing

    def idle_for(self, now: timedelta, wall: datetime) -> timedelta:
        """How long nothing of it was started. While it fails it is idle by our own choice."""
        if self.failing:
            return NO_TIME
        if self.started_at is None and not self.placed and not self.done.count:
            return wall - self.job.submitted
        return now - (self.started_at or self.since)

    @property
    def has_unrecorded_results(self) -> bool:
        return self.done.count != self.job.progress.count

    @property
    def complete(self) -> bool:
        return self.job.run.shape == wire.BATCH and self.done.count == self.job.run.pieces

    def next_task(self) -> int | None:
        """The next task that waits; it stays next until it is placed."""
        while self.retry_tasks:
            if self.retry_tasks[0] in self.done or self.retry_tasks[0] in self.placed:
                heapq.heappop(self.retry_tasks)
            else:
                return self.retry_tasks[0]
        while self.next_new_task < self.job.run.pieces and (
            self.next_new_task in self.done or self.next_new_task in self.placed
        ):
            self.next_new_task += 1
        if self.next_new_task < min(self.job.run.pieces, self.done.low + PROGRESS_WINDOW):
            return self.next_new_task
        return None


class JobScheduler:
    """The jobs whose starts we decide in one view, and every attempt of theirs that may be on a machine."""

    def __init__(self, member: str, first_attempt: int, faulty: Callable[[str], bool] = lambda host: False) -> None:
        self.member = member
        self._faulty = faulty
        self.jobs: dict[str, JobState] = {}
        self.attempts: dict[str, dict[TaskKey, Attempt]] = {}
        self.in_transfer: dict[str, list[Attempt]] = {}
        self.seq = 0
        self.touched = True
        #: Machines of which we wish something else than before, and jobs with results that are not written.
        self.changed_hosts: set[str] = set()
        self.results: set[str] = set()
        #: Jobs of which some task is neither done nor placed.
        self.with_pending_tasks: dict[str, JobState] = {}
        #: Jobs that fail wherever they run.
        self.failing: dict[str, JobState] = {}
        #: Attempts that their owners do not show; each is either on its way there or gone.
        self.unshown: dict[TaskKey, Attempt] = {}
        self._next_attempt = first_attempt
        self._by_ref: dict[str, dict[TaskKey, Attempt]] = {}
        self._using: dict[str, Amounts] = {}

    # The indexes: one function adds an attempt, one removes it, one counts it.

    def _index(self, attempt: Attempt) -> None:
        self.attempts.setdefault(attempt.host, {})[attempt.key] = attempt
        self._by_ref.setdefault(attempt.run.ref, {})[attempt.key] = attempt
        self.unshown[attempt.key] = attempt
        self.changed_hosts.add(attempt.host)
        self._count(attempt)
        self.touched = True

    def _unindex(self, attempt: Attempt) -> None:
        for index, name in ((self.attempts, attempt.host), (self._by_ref, attempt.run.ref)):
            entries = index.get(name)
            if entries is not None and entries.pop(attempt.key, None) is not None and not entries:
                del index[name]
        self.unshown.pop(attempt.key, None)
        self.changed_hosts.add(attempt.host)
        self._count(attempt, gone=True)
        self.touched = True

    def _count(self, attempt: Attempt, gone: bool = False) -> None:
        """Whatever may possibly be on a machine counts against its team."""
        counts = not gone and attempt.phase not in FINISHED
        if counts is not attempt.counted:
            attempt.counted = counts
            sign = 1 if counts else -1
            add_amounts(self._using, attempt.run.team, attempt.run.cores * sign, attempt.run.cards * sign)

    def _index_pending(self, work: JobState) -> None:
        if work.waiting > 0 and work.job.ref in self.jobs:
            self.with_pending_tasks[work.job.ref] = work
        else:
            self.with_pending_tasks.pop(work.job.ref, None)

    # Which jobs are ours.

    def take_job(self, job: Job, now: timedelta, failed_on: Collection[str] = ()) -> JobState:
        """`failed_on`: where it failed under its former home, should there be one."""
        work = self.jobs.get(job.ref)
        if work is None:
            work = JobState(job, Progress(job.progress.low, job.progress.bits), now, failed_on=set(failed_on))
            self.jobs[job.ref] = work
            self._back_off(work, now)
            self.touched = True
        elif work.job.progress.count > work.done.count:
            work.done = Progress(job.progress.low, job.progress.bits)
        self._index_pending(work)
        return work

    def release_job(self, ref: str) -> None:
        """Another controller is the job's home now; the attempts are its affair."""
        work = self.jobs.pop(ref, None)
        if work is None:
            return
        self._index_pending(work)
        self.failing.pop(ref, None)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            # Counted as ours until the new home says that it counts them, and lowers our allowance for it.
            self._unindex(attempt)
            self.in_transfer.setdefault(ref, []).append(attempt)
        self.touched = True

    def transfer_confirmed(self, ref: str) -> None:
        self.in_transfer.pop(ref, None)

    def job_over(self, ref: str) -> None:
        """No task of it may be started any more; what may be on a machine still counts until it is gone."""
        work = self.jobs.pop(ref, None)
        if work is None:
            return
        self._index_pending(work)
        self.failing.pop(ref, None)
        self.results.discard(ref)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            self._set_desired(attempt, DesiredState.REAP if attempt.phase in FINISHED else DesiredState.STOP, NO_TIME)
        self.touched = True

    def results_recorded(self, ref: str) -> None:
        """The state service has more of the job's results: the workers need not keep those any more."""
        work = self.jobs.get(ref)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            if attempt.phase is Phase.ENDED and work is not None and attempt.task in work.job.progress:
                self._set_desired(attempt, DesiredState.REAP)

    # Starting and stopping.

    def start(self, work: JobState, task: int, host: str, zone: str, now: timedelta) -> Attempt:
        self._next_attempt += 1
        work.started_at = now
        if work.failing:
            work.probe = task
        attempt = Attempt(work.job.run, task, self._next_attempt, host, zone, DesiredState.RUN, self.seq + 1, now)
        self._place(work, attempt)
        return attempt

    def _place(self, work: JobState, attempt: Attempt) -> None:
        self._index(attempt)
        work.placed[attempt.task] = attempt
        work.zones[attempt.zone] += 1
        self._index_pending(work)

    def stop(self, attempt: Attempt, grace: timedelta) -> None:
        if attempt.desired is DesiredState.RUN:
            self._set_desired(attempt, DesiredState.STOP, grace)

    def _set_desired(self, attempt: Attempt, desired: DesiredState, grace: timedelta = NO_TIME) -> None:
        if attempt.desired is not desired:
            attempt.desired, attempt.grace, attempt.seq = desired, grace, self.seq + 1
            self.changed_hosts.add(attempt.host)
            self.touched = True

    def _free_task(self, attempt: Attempt) -> None:
        """The attempt is proven gone: its task may be started again."""
        work = self.jobs.get(attempt.run.ref)
        if work is None or work.placed.get(attempt.task) is not attempt:
            return
        del work.placed[attempt.task]
        work.zones[attempt.zone] -= 1
        if attempt.task not in work.done:
            heapq.heappush(work.retry_tasks, attempt.task)
        self._index_pending(work)
        self.touched = True

    def _discard(self, attempt: Attempt) -> None:
        self._unindex(attempt)
        self._free_task(attempt)

    def remove_machine(self, host: str) -> None:
        """The machine's return was answered: all on it is gone."""
        for attempt in list(self.attempts.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._discard(attempt)
        for attempts in self.in_transfer.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

    # What owners show.

    def apply_status(self, host: str, zone: str, tasks: list[TaskRow], now: timedelta) -> None:
        """Takes the owner's list for a machine."""
        shown: set[TaskKey] = set()
        entries = self.attempts.get(host, {})
        for ref, task, number, name, cause in tasks:
            key = (ref, task, number)
            attempt = entries.get(key)
            if attempt is None and (ref not in self.jobs or task >= self.jobs[ref].job.run.pieces):
                continue
            shown.add(key)
            phase = PHASE_BY_NAME[name]
            if attempt is None:
                attempt = self._adopt(host, zone, key, phase, now)
            self.unshown.pop(key, None)
            if attempt.phase is not phase or phase in FINISHED:
                self._change_phase(attempt, phase, cause, now)
        for key, attempt in self.attempts.get(host, {}).items():
            if key not in shown:
                self.unshown[key] = attempt

    def acknowledged(self, ack: int, answered: Callable[[str], list[TaskRow] | None]) -> None:
        """An owner has processed our messages up to `ack`: what it does not show is not there. `answered` gives
        its list for a machine, None while that proves nothing."""
        for attempt in list(self.unshown.values()):
            if ack < attempt.seq or answered(attempt.host) is None:
                continue
            if attempt.desired is DesiredState.RUN:
                # The owner did not know the machine when our wish came. A later message of ours may still
                # carry the wish, so it is taken back first; only its answer proves the attempt gone.
                self._set_desired(attempt, DesiredState.REAP)
            else:
                self._discard(attempt)
        for ref, attempts in list(self.in_transfer.items()):
            left = []
            for attempt in attempts:
                tasks = answered(attempt.host)
                gone = tasks is not None and ack >= attempt.seq and all(row[:3] != attempt.key for row in tasks)
                if not gone:
                    left.append(attempt)
            if left:
                self.in_transfer[ref] = left
            else:
                del self.in_transfer[ref]

    def _adopt(self, host: str, zone: str, key: TaskKey, phase: Phase, now: timedelta) -> Attempt:
        """An attempt of a job of ours that an earlier home started."""
        work = self.jobs[key[0]]
        attempt = Attempt(work.job.run, key[1], key[2], host, zone, DesiredState.RUN, self.seq + 1, now, phase)
        attempt.running_since = now if phase is Phase.RUNNING else None
        if phase not in FINISHED and (key[1] in work.done or key[1] in work.placed):
            self._index(attempt)
            self._set_desired(attempt, DesiredState.STOP)
        elif phase not in FINISHED:
            self._place(work, attempt)
        else:
            self._index(attempt)
            attempt.phase = Phase.QUEUED
        return attempt

    def _change_phase(self, attempt: Attempt, phase: Phase, cause: str | None, now: timedelta) -> None:
        before, attempt.phase = attempt.phase, phase
        self._count(attempt)
        if phase is Phase.RUNNING:
            attempt.running_since = now
        if phase not in FINISHED:
            return
        work = self.jobs.get(attempt.run.ref)
        if before not in FINISHED and work is not None:
            if phase is Phase.ENDED and cause == wire.DONE:
                self._task_done(work, attempt)
            elif phase is Phase.ENDED and cause == wire.ERROR:
                self._task_failed(work, attempt, now)
            elif phase is Phase.REFUSED or phase is Phase.ENDED and cause in wire.REFUSED:
                work.excluded_until[attempt.host] = now + EXCLUDED_AFTER_REFUSAL
        # Reaped only once its result is in the state service: until then the worker keeps it for us.
        if phase is not Phase.ENDED or cause != wire.DONE or work is None or attempt.task in work.job.progress:
            self._set_desired(attempt, DesiredState.REAP)
        self._free_task(attempt)

    def _task_done(self, work: JobState, attempt: Attempt) -> None:
        work.longest_failed_run = NO_TIME
        self._clear_failures(work)
        if work.job.run.shape == wire.BATCH and work.done.add(attempt.task):
            self.results.add(attempt.run.ref)
            self._index_pending(work)
            self.touched = True

    def _task_failed(self, work: JobState, attempt: Attempt, now: timedelta) -> None:
        """Failures on several machines speak against the job, unless the machines are known as faulty."""
        log.info("%s/%d failed on %s", attempt.run.ref, attempt.task, attempt.host)
        work.excluded_until[attempt.host] = now + EXCLUDED_AFTER_FAILURE
        if self._faulty(attempt.host):
            return
        work.failed_on.add(attempt.host)
        if attempt.running_since is not None:
            work.longest_failed_run = max(work.longest_failed_run, now - attempt.running_since)
        self._back_off(work, now)

    def _back_off(self, work: JobState, now: timedelta) -> None:
        """What fails together counts once; the next probe that fails doubles the pause."""
        if not work.failing:
            return
        self.failing[work.job.ref] = work
        work.waiting_since = None
        if work.retry_at <= now:
            work.backoff = min(max(work.backoff * 2, BACKOFF_FIRST), BACKOFF_MAX)
            work.retry_at = now + work.backoff

    def _clear_failures(self, work: JobState) -> None:
        work.failed_on.clear()
        work.backoff = work.retry_at = NO_TIME
        if self.failing.pop(work.job.ref, None) is not None:
            self.touched = True

    def clear_recovered(self, now: timedelta) -> None:
        """Jobs of which a task has run for well over what others took to fail do not fail everywhere."""
        for work in list(self.failing.values()):
            least = max(work.longest_failed_run * 2, RECOVERED_AFTER)
            if work.job.run.shape == wire.SERVICE:
                least = min(least, SERVICE_RECOVERED_AFTER)
            if any(
                one.phase is Phase.RUNNING and one.running_since is not None and now - one.running_since > least
                for one in work.placed.values()
            ):
                self._clear_failures(work)

    def machine_faulty(self, host: str) -> None:
        """The failures there were the machine's fault, not the jobs'."""
        for work in self.jobs.values():
            if host in work.failed_on:
                work.failed_on.discard(host)
                if not work.failing and work.job.ref in self.failing:
                    self._clear_failures(work)

    # What the others need to know.

    def desired_tasks(self, host: str) -> list[DesiredTaskRow] | None:
        """All that we wish of a machine; None when that is nothing."""
        entries = self.attempts.get(host)
        if entries is None:
            return None
        return [(a.run.ref, a.task, a.number, a.desired.value, a.grace.total_seconds()) for a in entries.values()]

    def using(self) -> dict[str, Amounts]:
        """What each team's attempts hold: whatever may possibly be on a machine counts."""
        return dict(self._using)

    def amounts_in_transfer(self) -> dict[str, dict[str, Amounts]]:
        """The same for each job that was handed over and that its new home does not count yet."""
        return {ref: sum_amounts(attempts) for ref, attempts in self.in_transfer.items()}

    def held(self) -> dict[str, Amounts]:
        """Both together: what our allowance has to cover."""
        total = self.using()
        for attempts in self.in_transfer.values():
            for team, (cores, cards) in sum_amounts(attempts).items():
                add_amounts(total, team, cores, cards)
        return total


def sum_amounts(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in FINISHED:
            add_amounts(total, attempt.run.team, attempt.run.cores, attempt.run.cards)
    return total


class Chance(IntEnum):
    """What a job that waits can still make, going by its owner's guess of a task's run time."""

    STARVED = 0
    IN_TIME = 1
    LATE = 2
    TOO_LATE = 3


def chance(job: Job, idle: timedelta, now: datetime, patience: timedelta) -> Chance:
    """Room goes first to what can still be in time: under pressure, what is lost already must not take others along.
    A job of which nothing was started for long goes before all with a few tasks, so that none waits for ever."""
    if job.run.shape == wire.SERVICE:
        return Chance.IN_TIME
    if idle > patience:
        return Chance.STARVED
    if job.due is None:
        return Chance.IN_TIME
    end = now + timedelta(seconds=job.run.guess_s * SHORTEST_RUN_SHARE)
    if end <= job.due:
        return Chance.IN_TIME
    return Chance.LATE if end <= job.due + (job.due - job.submitted) / 2 else Chance.TOO_LATE


def urgency(job: Job, idle: timedelta, now: datetime, prompt: Container[str], patience: timedelta) -> tuple[Any, ...]:
    """Sort key: rank, then the classes that are to start promptly, then by what can still be made, each by its
    deadline, then the order of submission."""
    run = job.run
    return (
        -wire.RANKS.index(run.rank),
        run.job_class not in prompt,
        run.shape != wire.SERVICE,
        chance(job, idle, now, patience),
        job.due or NO_DEADLINE,
        job.submitted,
        run.ref,
    )
