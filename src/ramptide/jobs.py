"""The jobs that are not over, and their homes: the controller that alone decides a job's starts."""

import heapq
import logging
from collections import Counter
from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any

from ramptide import wire
from ramptide.agents import OVER, Phase, Wish
from ramptide.allowances import Amounts
from ramptide.placement import Room, choose
from ramptide.records import WINDOW, JobRecord, Progress

log = logging.getLogger(__name__)

ZERO = timedelta(0)
BACKOFF_FIRST = timedelta(seconds=2)
BACKOFF_MOST = timedelta(seconds=60)
SHUN = timedelta(seconds=60)
REFUSED_PAUSE = timedelta(milliseconds=300)

EntryId = tuple[str, int, int]


class Job:
    """A job that is not over, as the state service has it."""

    __slots__ = ("ref", "run", "record", "stamp", "progress", "submitted")

    def __init__(self, ref: str, record: JobRecord, stamp: int) -> None:
        self.ref = ref
        self.run = record.run
        self.submitted = record.submitted
        self.update(record, stamp)

    def update(self, record: JobRecord, stamp: int) -> None:
        self.record = record
        self.stamp = stamp
        self.progress = Progress.decode(record.done)

    @property
    def due(self) -> datetime | None:
        return None if self.run.due_s is None else self.submitted + timedelta(seconds=self.run.due_s)


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
    failed_on: set[str] = field(default_factory=set)
    backoff: timedelta = ZERO
    hold: timedelta = ZERO
    waiting_since: timedelta | None = None

    @property
    def waiting(self) -> int:
        return self.job.run.pieces - self.done.count - len(self.placed)

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
        if self.cursor < min(self.job.run.pieces, self.done.low + WINDOW):
            return self.cursor
        return None


class Home:
    """The jobs whose starts we decide in one view, and every attempt of theirs that may be on a machine."""

    def __init__(self, member: str, first_attempt: int) -> None:
        self.member = member
        self.works: dict[str, Work] = {}
        self.attempts: dict[str, dict[EntryId, Attempt]] = {}
        self.limbo: dict[str, list[Attempt]] = {}
        self.seq = 0
        self._next_attempt = first_attempt
        self.touched = True

    # Which jobs are ours.

    def take_job(self, job: Job, now: timedelta) -> Work:
        work = self.works.get(job.ref)
        if work is None:
            work = Work(job, Progress(job.progress.low, job.progress.bits), now)
            self.works[job.ref] = work
            self.touched = True
        elif work.job.progress.count > work.done.count:
            work.done = Progress(job.progress.low, job.progress.bits)
        return work

    def leave_job(self, ref: str) -> None:
        """Another controller is the job's home now; the attempts are its affair."""
        if self.works.pop(ref, None) is None:
            return
        for entries in self.attempts.values():
            for key in [key for key in entries if key[0] == ref]:
                # Counted as ours until the new home says that it counts them, and lowers our allowance for it.
                self.limbo.setdefault(ref, []).append(entries.pop(key))
        self.touched = True

    def taken_over(self, ref: str) -> None:
        self.limbo.pop(ref, None)

    def job_over(self, ref: str, now: timedelta) -> None:
        """No task of it may be started any more; what may be on a machine still counts until it is gone."""
        work = self.works.pop(ref, None)
        if work is None:
            return
        for attempt in self.all_attempts():
            if attempt.run.ref == ref:
                self._wish(attempt, Wish.REAP if attempt.phase in OVER else Wish.STOP, ZERO)
        self.touched = True

    def all_attempts(self) -> Iterator[Attempt]:
        for entries in list(self.attempts.values()):
            yield from list(entries.values())

    # Starting and stopping.

    def start(self, work: Work, task: int, host: str, yard: str, now: timedelta) -> Attempt:
        self._next_attempt += 1
        attempt = Attempt(work.job.run, task, self._next_attempt, host, yard, Wish.RUN, self.seq + 1, now)
        self._hold(work, attempt)
        return attempt

    def _hold(self, work: Work, attempt: Attempt) -> None:
        self.attempts.setdefault(attempt.host, {})[attempt.key] = attempt
        work.placed[attempt.task] = attempt
        work.yards[attempt.yard] += 1
        self.touched = True

    def stop(self, attempt: Attempt, grace: timedelta) -> None:
        if attempt.wish is Wish.RUN:
            self._wish(attempt, Wish.STOP, grace)

    def _wish(self, attempt: Attempt, wish: Wish, grace: timedelta = ZERO) -> None:
        if attempt.wish is not wish:
            attempt.wish, attempt.grace, attempt.seq = wish, grace, self.seq + 1
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
        self.touched = True

    def _drop(self, attempt: Attempt) -> None:
        entries = self.attempts.get(attempt.host)
        if entries is not None:
            entries.pop(attempt.key, None)
            if not entries:
                del self.attempts[attempt.host]
        self._release(attempt)

    def host_gone(self, host: str) -> None:
        """The machine's return was answered: all on it is gone."""
        for attempt in list(self.attempts.get(host, {}).values()):
            attempt.phase = Phase.GONE
            self._drop(attempt)
        for attempts in self.limbo.values():
            attempts[:] = [attempt for attempt in attempts if attempt.host != host]

    # What owners show.

    def read(
        self,
        host: str,
        yard: str,
        ack: int,
        tasks: list[list[Any]],
        now: timedelta,
    ) -> None:
        """Takes the owner's list for a machine; `ack` is the last of our messages that the owner had processed."""
        shown: set[EntryId] = set()
        entries = self.attempts.get(host, {})
        for ref, task, number, phase, cause in tasks:
            key = (ref, task, number)
            shown.add(key)
            attempt = entries.get(key) or self._found(host, yard, key, Phase(phase), now)
            if attempt is not None:
                self._advance(attempt, Phase(phase), cause, now)
        for ref, attempts in list(self.limbo.items()):
            left = [a for a in attempts if a.host != host or a.key in shown or ack < a.seq]
            if left:
                self.limbo[ref] = left
            else:
                del self.limbo[ref]
        for attempt in list(self.attempts.get(host, {}).values()):
            if attempt.key in shown or ack < attempt.seq:
                continue
            if attempt.wish is Wish.RUN:
                # The owner did not know the machine when our wish came. A later message of ours may still
                # carry the wish, so it is taken back first; only its answer proves the attempt gone.
                self._wish(attempt, Wish.REAP)
            else:
                self._drop(attempt)

    def _found(self, host: str, yard: str, key: EntryId, phase: Phase, now: timedelta) -> Attempt | None:
        """An attempt of a job of ours that an earlier home started."""
        work = self.works.get(key[0])
        if work is None:
            return None
        attempt = Attempt(work.job.run, key[1], key[2], host, yard, Wish.RUN, self.seq + 1, now, phase)
        if phase not in OVER and (key[1] in work.done or key[1] in work.placed):
            self.attempts.setdefault(host, {})[key] = attempt
            self._wish(attempt, Wish.STOP)
        elif phase not in OVER:
            self._hold(work, attempt)
        else:
            self.attempts.setdefault(host, {})[key] = attempt
            attempt.phase = Phase.QUEUED
        return attempt

    def _advance(self, attempt: Attempt, phase: Phase, cause: str | None, now: timedelta) -> None:
        before, attempt.phase = attempt.phase, phase
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
        work.failed_on.clear()
        work.backoff = ZERO
        if work.job.run.shape == wire.BATCH and work.done.add(attempt.task):
            self.touched = True

    def _task_failed(self, work: Work, attempt: Attempt, now: timedelta) -> None:
        """A failure speaks against the machine, failures on several machines against the job."""
        work.shunned[attempt.host] = now + SHUN
        work.failed_on.add(attempt.host)
        log.info("%s/%d failed on %s", attempt.run.ref, attempt.task, attempt.host)
        if len(work.failed_on) > 1:
            work.backoff = min(max(work.backoff * 2, BACKOFF_FIRST), BACKOFF_MOST)
            work.hold = now + work.backoff
            work.shunned.clear()

    # What the others need to know.

    def wishes(self) -> dict[str, list[list[Any]]]:
        return {
            host: [
                [a.run.ref, a.task, a.number, a.wish.value, a.grace.total_seconds()] for a in entries.values()
            ]
            for host, entries in self.attempts.items()
        }

    def using(self) -> dict[str, Amounts]:
        """What each team's attempts hold: whatever may possibly be on a machine counts."""
        return _sum(self.all_attempts())

    def in_limbo(self) -> dict[str, dict[str, Amounts]]:
        """The same for each job that was handed over and that its new home does not count yet."""
        return {ref: _sum(attempts) for ref, attempts in self.limbo.items()}

    def held(self) -> dict[str, Amounts]:
        """Both together: what our allowance has to cover."""
        return _sum([*self.all_attempts(), *(a for attempts in self.limbo.values() for a in attempts)])


def _sum(attempts: Iterable[Attempt]) -> dict[str, Amounts]:
    total: dict[str, Amounts] = {}
    for attempt in attempts:
        if attempt.phase not in OVER:
            cores, cards = total.get(attempt.run.team, (0.0, 0.0))
            total[attempt.run.team] = (cores + attempt.run.cores, cards + attempt.run.cards)
    return total


def urgency(job: Job, now: datetime, prompt: Container[str]) -> tuple[Any, ...]:
    """Sort key: rank, then the classes that are to start promptly, then who can still make a deadline by that
    deadline, then the order of submission."""
    run = job.run
    due = job.due
    late = due is not None and due < now
    far = datetime.max.replace(tzinfo=UTC)
    return (
        -wire.RANKS.index(run.rank),
        run.job_class not in prompt,
        run.shape != wire.SERVICE,
        late,
        due if due is not None and not late else far,
        job.submitted,
        run.ref,
    )


def place(
    home: Home,
    works: Iterable[Work],
    rooms: list[Room],
    allowance: Callable[[wire.Run], int],
    now: timedelta,
    long_wait: timedelta,
) -> int:
    """Starts what finds room, in the order given; returns how many.

    What has waited for long takes any room: with no capacity to be had, an idle pool helps nobody.
    """
    started = 0
    for work in works:
        if work.frozen or work.hold > now:
            continue
        if work.shunned:
            work.shunned = {host: until for host, until in work.shunned.items() if until > now}
        usable = [room for room in rooms if room.host not in work.shunned] if work.shunned else rooms
        left = allowance(work.job.run)
        any_room = work.waiting_since is not None and now - work.waiting_since > long_wait
        while left > 0 and (task := work.next_task()) is not None:
            room = choose(work.job.run, usable, work.yards, any_room)
            if room is None:
                break
            home.start(work, task, room.host, room.yard, now)
            room.take(work.job.run)
            room.idle = False
            started += 1
            left -= 1
    return started
