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
from ramptide.agents import OVER, EntryId, Phase, TaskRow, Wish, WishRow
from ramptide.allowances import Amounts, add_amounts
from ramptide.records import PROGRESS_WINDOW, JobRecord, Progress

log = logging.getLogger(__name__)

ZERO = timedelta(0)
BACKOFF_FIRST = timedelta(seconds=2)
BACKOFF_MOST = timedelta(seconds=60)
SHUN = timedelta(seconds=60)
#: A task that runs for longer than others took to fail does well: twice as long, but at least the first; the second is
#: enough for a service, which never shows success otherwise.
STEADY, SERVES = timedelta(seconds=5), timedelta(seconds=60)
REFUSED_PAUSE = timedelta(milliseconds=300)
FAR = datetime.max.replace(tzinfo=UTC)
#: Guesses are often too long by half; a job is given up as late only when even a shorter run would be.
HOPEFUL = 0.7
#: A job that failed on more machines than this was most likely at fault itself, even if it runs later.
FAULTY_TOGETHER = 3
PHASES = {phase.value: phase for phase in Phase}


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
    yard: str
    wish: Wish
    seq: int
    since: timedelta
    phase: Phase = Phase.QUEUED
    grace: timedelta = ZERO
    counted: bool = False
    ran_from: timedelta | None = None

    @property
    def key(self) -> EntryId:
        return (self.run.ref, self.task, self.number)


@dataclass(slots=True)
class Work:
    """What the home keeps of a job in this view."""

    job: Job
    done: Progress
    since: timedelta
    placed: dict[int, Attempt] = field(default_factory=dict)
    yards: Counter[str] = field(default_factory=Counter)
    again: list[int] = field(default_factory=list)
    cursor: int = 0
    frozen: bool = False
    shunned: dict[str, timedelta] = field(default_factory=dict)
    #: Machines on which it failed since a task of it did well, and the longest that a task ran before it failed.
    failed_on: set[str] = field(default_factory=set)
    lasted: timedelta = ZERO
    backoff: timedelta = ZERO
    hold: timedelta = ZERO
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
        return self.failed_on if len(self.failed_on) < FAULTY_TOGETHER else set()

    @property
    def claims_room(self) -> bool:
        """Others may be stopped for it: not for what is going to fail."""
        return not self.failing

    def idle_for(self, now: timedelta, wall: datetime) -> timedelta:
        """How long nothing of it was started. While it fails it is idle by our own choice."""
        if self.failing:
            return ZERO
        if self.started_at is None and not self.placed and not self.done.count:
            return wall - self.job.submitted
        return now - (self.started_at or self.since)

    @property
    def dirty(self) -> bool:
        return self.done.count != self.job.progress.count

    @property
    def complete(self) -> bool:
        return self.job.run.shape == wire.BATCH and self.done.count == self.job.run.pieces

    def next_task(self) -> int | None:
        """The next task that waits; it stays next until it is placed."""
        while self.again:
            if self.again[0] in self.done or self.again[0] in self.placed:
                heapq.heappop(self.again)
            else:
                return self.again[0]
        while self.cursor < self.job.run.pieces and (self.cursor in self.done or self.cursor in self.placed):
            self.cursor += 1
        if self.cursor < min(self.job.run.pieces, self.done.low + PROGRESS_WINDOW):
            return self.cursor
        return None


class Home:
    """The jobs whose starts we decide in one view, and every attempt of theirs that may be on a machine."""

    def __init__(self, member: str, first_attempt: int, faulty: Callable[[str], bool] = lambda host: False) -> None:
        self.member = member
        self._faulty = faulty
        self.works: dict[str, Work] = {}
        self.attempts: dict[str, dict[EntryId, Attempt]] = {}
        self.limbo: dict[str, list[Attempt]] = {}
        self.seq = 0
        self.touched = True
        #: Machines of which we wish something else than before, and jobs with results that are not written.
        self.wished: set[str] = set()
        self.results: set[str] = set()
        #: Jobs of which some task is neither done nor placed.
        self.hungry: dict[str, Work] = {}
        #: Jobs that fail wherever they run.
        self.failing: dict[str, Work] = {}
        #: Attempts that their owners do not show; each is either on its way there or gone.
        self.unshown: dict[EntryId, Attempt] = {}
        self._next_attempt = first_attempt
        self._by_ref: dict[str, dict[EntryId, Attempt]] = {}
        self._using: dict[str, Amounts] = {}

    # The indexes: one function adds an attempt, one removes it, one counts it.

    def _add(self, attempt: Attempt) -> None:
        self.attempts.setdefault(attempt.host, {})[attempt.key] = attempt
        self._by_ref.setdefault(attempt.run.ref, {})[attempt.key] = attempt
        self.unshown[attempt.key] = attempt
        self.wished.add(attempt.host)
        self._count(attempt)
        self.touched = True

    def _remove(self, attempt: Attempt) -> None:
        for index, name in ((self.attempts, attempt.host), (self._by_ref, attempt.run.ref)):
            entries = index.get(name)
            if entries is not None and entries.pop(attempt.key, None) is not None and not entries:
                del index[name]
        self.unshown.pop(attempt.key, None)
        self.wished.add(attempt.host)
        self._count(attempt, gone=True)
        self.touched = True

    def _count(self, attempt: Attempt, gone: bool = False) -> None:
        """Whatever may possibly be on a machine counts against its team."""
        counts = not gone and attempt.phase not in OVER
        if counts is not attempt.counted:
            attempt.counted = counts
            sign = 1 if counts else -1
            add_amounts(self._using, attempt.run.team, attempt.run.cores * sign, attempt.run.cards * sign)

    def _weigh(self, work: Work) -> None:
        if work.waiting > 0 and work.job.ref in self.works:
            self.hungry[work.job.ref] = work
        else:
            self.hungry.pop(work.job.ref, None)

    # Which jobs are ours.

    def take_job(self, job: Job, now: timedelta, failed_on: Collection[str] = ()) -> Work:
        """`failed_on`: where it failed under its former home, should there be one."""
        work = self.works.get(job.ref)
        if work is None:
            work = Work(job, Progress(job.progress.low, job.progress.bits), now, failed_on=set(failed_on))
            self.works[job.ref] = work
            self._back_off(work, now)
            self.touched = True
        elif work.job.progress.count > work.done.count:
            work.done = Progress(job.progress.low, job.progress.bits)
        self._weigh(work)
        return work

    def leave_job(self, ref: str) -> None:
        """Another controller is the job's home now; the attempts are its affair."""
        work = self.works.pop(ref, None)
        if work is None:
            return
        self._weigh(work)
        self.failing.pop(ref, None)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            # Counted as ours until the new home says that it counts them, and lowers our allowance for it.
            self._remove(attempt)
            self.limbo.setdefault(ref, []).append(attempt)
        self.touched = True

    def taken_over(self, ref: str) -> None:
        self.limbo.pop(ref, None)

    def job_over(self, ref: str) -> None:
        """No task of it may be started any more; what may be on a machine still counts until it is gone."""
        work = self.works.pop(ref, None)
        if work is None:
            return
        self._weigh(work)
        self.failing.pop(ref, None)
        self.results.discard(ref)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            self._wish(attempt, Wish.REAP if attempt.phase in OVER else Wish.STOP, ZERO)
        self.touched = True

    def recorded(self, ref: str) -> None:
        """The state service has more of the job's results: the workers need not keep those any more."""
        work = self.works.get(ref)
        for attempt in list(self._by_ref.get(ref, {}).values()):
            if attempt.phase is Phase.ENDED and work is not None and attempt.task in work.job.progress:
                self._wish(attempt, Wish.REAP)

    # Starting and stopping.

    def start(self, work: Work, task: int, host: str, yard: str, now: timedelta) -> Attempt:
        self._next_attempt += 1
        work.started_at = now
        if work.failing:
            work.probe = task
        attempt = Attempt(work.job.run, task, self._next_attempt, host, yard, Wish.RUN, self.seq + 1, now)
        self._hold(work, attempt)
        return attempt

    def _hold(self, work: Work, attempt: Attempt) -> None:
        self._add(attempt)
        work.placed[attempt.task] = attempt
        work.yards[attempt.yard] += 1
        self._weigh(work)

    def stop(self, attempt: Attempt, grace: timedelta) -> None:
        if attempt.wish is Wish.RUN:
            self._wish(attempt, Wish.STOP, grace)

    def _wish(self, attempt: Attempt, wish: Wish, grace: timedelta = ZERO) -> None:
        if attempt.wish is not wish:
            attempt.wish, attempt.grace, attempt.seq = wish, grace, self.seq + 1
            self.wished.add(attempt.host)
            self.touched = True

    def _release(self, attempt: Attempt) -> None:
        """The attempt is proven gone: its task may be started again."""
        work = self.works.get(attempt.run.ref)
        if work is None or work.placed.get(attempt.task) is not attempt:
            return
        del work.placed[attempt.task]
        work.yards[attempt.yard] -= 1
        if attempt.task not in work.done:
            heapq.heappush(work.again, attempt.task)
        self._weigh(work)
        self.touched = True

    def _drop(self, attempt: Attempt) -> None:
        self._remove(attempt)
        self._release(attempt)

    def host_gone(self, host: str) -> None:
        """The machine's return was answered: all on it is gone."""
        for attempt in list(self.attempts.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._drop(attempt)
        for attempts in self.limbo.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

    # What owners show.

    def read(self, host: str, yard: str, tasks: list[TaskRow], now: timedelta) -> None:
        """Takes the owner's list for a machine."""
        shown: set[EntryId] = set()
        entries = self.attempts.get(host, {})
        for ref, task, number, name, cause in tasks:
            key = (ref, task, number)
            attempt = entries.get(key)
            if attempt is None and (ref not in self.works or task >= self.works[ref].job.run.pieces):
                continue
            shown.add(key)
            phase = PHASES[name]
            if attempt is None:
                attempt = self._found(host, yard, key, phase, now)
            self.unshown.pop(key, None)
            if attempt.phase is not phase or phase in OVER:
                self._advance(attempt, phase, cause, now)
        for key, attempt in self.attempts.get(host, {}).items():
            if key not in shown:
                self.unshown[key] = attempt

    def acknowledged(self, ack: int, answered: Callable[[str], list[TaskRow] | None]) -> None:
        """An owner has processed our messages up to `ack`: what it does not show is not there. `answered` gives
        its list for a machine, None while that proves nothing."""
        for attempt in list(self.unshown.values()):
            if ack < attempt.seq or answered(attempt.host) is None:
                continue
            if attempt.wish is Wish.RUN:
                # The owner did not know the machine when our wish came. A later message of ours may still
                # carry the wish, so it is taken back first; only its answer proves the attempt gone.
                self._wish(attempt, Wish.REAP)
            else:
                self._drop(attempt)
        for ref, attempts in list(self.limbo.items()):
            left = []
            for attempt in attempts:
                tasks = answered(attempt.host)
                gone = tasks is not None and ack >= attempt.seq and all(row[:3] != attempt.key for row in tasks)
                if not gone:
                    left.append(attempt)
            if left:
                self.limbo[ref] = left
            else:
                del self.limbo[ref]

    def _found(self, host: str, yard: str, key: EntryId, phase: Phase, now: timedelta) -> Attempt:
        """An attempt of a job of ours that an earlier home started."""
        work = self.works[key[0]]
        attempt = Attempt(work.job.run, key[1], key[2], host, yard, Wish.RUN, self.seq + 1, now, phase)
        attempt.ran_from = now if phase is Phase.RUNNING else None
        if phase not in OVER and (key[1] in work.done or key[1] in work.placed):
            self._add(attempt)
            self._wish(attempt, Wish.STOP)
        elif phase not in OVER:
            self._hold(work, attempt)
        else:
            self._add(attempt)
            attempt.phase = Phase.QUEUED
        return attempt

    def _advance(self, attempt: Attempt, phase: Phase, cause: str | None, now: timedelta) -> None:
        before, attempt.phase = attempt.phase, phase
        self._count(attempt)
        if phase is Phase.RUNNING:
            attempt.ran_from = now
        if phase not in OVER:
            return
        work = self.works.get(attempt.run.ref)
        if before not in OVER and work is not None:
            if phase is Phase.ENDED and cause == wire.DONE:
                self._task_done(work, attempt)
            elif phase is Phase.ENDED and cause == wire.ERROR:
                self._task_failed(work, attempt, now)
            elif phase is Phase.REFUSED or phase is Phase.ENDED and cause in wire.REFUSED:
                work.shunned[attempt.host] = now + REFUSED_PAUSE
        # Reaped only once its result is in the state service: until then the worker keeps it for us.
        if phase is not Phase.ENDED or cause != wire.DONE or work is None or attempt.task in work.job.progress:
            self._wish(attempt, Wish.REAP)
        self._release(attempt)

    def _task_done(self, work: Work, attempt: Attempt) -> None:
        work.lasted = ZERO
        self._does_well(work)
        if work.job.run.shape == wire.BATCH and work.done.add(attempt.task):
            self.results.add(attempt.run.ref)
            self._weigh(work)
            self.touched = True

    def _task_failed(self, work: Work, attempt: Attempt, now: timedelta) -> None:
        """Failures on several machines speak against the job, unless the machines are known as faulty."""
        log.info("%s/%d failed on %s", attempt.run.ref, attempt.task, attempt.host)
        work.shunned[attempt.host] = now + SHUN
        if self._faulty(attempt.host):
            return
        work.failed_on.add(attempt.host)
        if attempt.ran_from is not None:
            work.lasted = max(work.lasted, now - attempt.ran_from)
        self._back_off(work, now)

    def _back_off(self, work: Work, now: timedelta) -> None:
        """What fails together counts once; the next probe that fails doubles the pause."""
        if not work.failing:
            return
        self.failing[work.job.ref] = work
        work.waiting_since = None
        if work.hold <= now:
            work.backoff = min(max(work.backoff * 2, BACKOFF_FIRST), BACKOFF_MOST)
            work.hold = now + work.backoff

    def _does_well(self, work: Work) -> None:
        work.failed_on.clear()
        work.backoff = work.hold = ZERO
        if self.failing.pop(work.job.ref, None) is not None:
            self.touched = True

    def spare_survivors(self, now: timedelta) -> None:
        """Jobs of which a task has run for well over what others took to fail do not fail everywhere."""
        for work in list(self.failing.values()):
            least = max(work.lasted * 2, STEADY)
            if work.job.run.shape == wire.SERVICE:
                least = min(least, SERVES)
            if any(
                one.phase is Phase.RUNNING and one.ran_from is not None and now - one.ran_from > least
                for one in work.placed.values()
            ):
                self._does_well(work)

    def machine_faulty(self, host: str) -> None:
        """The failures there were the machine's fault, not the jobs'."""
        for work in self.works.values():
            if host in work.failed_on:
                work.failed_on.discard(host)
                if not work.failing and work.job.ref in self.failing:
                    self._does_well(work)

    # What the others need to know.

    def wishes(self, host: str) -> list[WishRow] | None:
        """All that we wish of a machine; None when that is nothing."""
        entries = self.attempts.get(host)
        if entries is None:
            return None
        return [(a.run.ref, a.task, a.number, a.wish.value, a.grace.total_seconds()) for a in entries.values()]

    def using(self) -> dict[str, Amounts]:
        """What each team's attempts hold: whatever may possibly be on a machine counts."""
        return dict(self._using)

    def in_limbo(self) -> dict[str, dict[str, Amounts]]:
        """The same for each job that was handed over and that its new home does not count yet."""
        return {ref: sum_amounts(attempts) for ref, attempts in self.limbo.items()}

    def held(self) -> dict[str, Amounts]:
        """Both together: what our allowance has to cover."""
        total = self.using()
        for attempts in self.limbo.values():
            for team, (cores, cards) in sum_amounts(attempts).items():
                add_amounts(total, team, cores, cards)
        return total


def sum_amounts(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in OVER:
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
    end = now + timedelta(seconds=job.run.guess_s * HOPEFUL)
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
        job.due or FAR,
        job.submitted,
        run.ref,
    )
