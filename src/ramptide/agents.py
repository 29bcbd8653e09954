"""The machines of our part: their workers' reports, what each runs, and the commands in the replies.

The owner of a machine alone answers its worker's reports in a view. Commands go only in these
replies: a worker drops a late reply, and has one report in flight, so its next report shows for sure
whether the commands of the reply before were carried out.
"""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Annotated, Any, Literal, cast

import msgspec

from ramptide import wire
from ramptide.records import MachineRecord

log = logging.getLogger(__name__)

ZERO = timedelta(0)
DRIFT = 1.002
MARGIN = timedelta(seconds=1)
IMAGES_KEPT = 40
#: Jobs that a machine's row names as failed there: rows stay small however many jobs were submitted with a mistake.
FAILED_KEPT = 8
SILENT_REPORTS = 3
#: A worker waits 4 s for an answer and another before it reports again.
UNANSWERED = timedelta(seconds=4.5)
NOTICE_MOVED = timedelta(seconds=1)

EntryId = tuple[str, int, int]
# Typed closely, so that a broken message between controllers is refused as a whole before anything of it is taken.
PhaseName = Literal["queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone"]
WishName = Literal["run", "stop", "reap"]
TaskRow = tuple[str, wire.Count, wire.Count, PhaseName, str | None]
WishRow = tuple[str, wire.Count, wire.Count, WishName, wire.Amount]


class HostRow(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its owner tells the others; the times are as of the message. `failed`: the last different jobs that
    failed there, the latest last; the last `failing` of them with no success there since."""

    settled: bool
    up: bool
    leaving: bool
    silent: wire.Seconds
    notice: wire.Seconds | None
    failed: Annotated[list[str], msgspec.Meta(max_length=FAILED_KEPT)]
    failing: wire.Count
    deaf: wire.Seconds | None
    quick: bool
    images: list[str]
    tasks: list[TaskRow]


class Phase(Enum):
    """Where one attempt of a task is, as its machine's owner knows."""

    # Members are single objects; Enum's own hash, of the name, shows in profiles.
    __hash__ = object.__hash__

    QUEUED = "queued"
    SENT = "sent"
    FETCHING = wire.FETCHING
    RUNNING = wire.RUNNING
    FLUSHING = wire.FLUSHING
    ENDED = wire.ENDED
    REFUSED = "refused"
    GONE = "gone"


#: The attempt holds no room and is certainly not on the machine.
OVER = frozenset({Phase.ENDED, Phase.REFUSED, Phase.GONE})
OVER_NAMES = frozenset(phase.value for phase in OVER)
#: The worker has shown the attempt.
SHOWN = frozenset({Phase.FETCHING, Phase.RUNNING, Phase.FLUSHING, Phase.ENDED})


class Wish(Enum):
    """What the home of the job asks for."""

    RUN = "run"
    STOP = "stop"
    REAP = "reap"


@dataclass(slots=True)
class Entry:
    """One attempt of a task on a machine."""

    ref: str
    task: int
    attempt: int
    phase: Phase
    run: wire.Run | None
    wish: Wish | None = None
    home: str | None = None
    grace: timedelta = ZERO
    cause: str | None = None
    told: timedelta | None = None


@dataclass(slots=True)
class Agent:
    """A machine of our part in this view."""

    host: str
    record: MachineRecord
    flavor: wire.Flavor | None
    settled: bool
    #: Nobody else has answered it after this moment; not `bounded`: nobody in this view.
    since: timedelta
    bounded: bool = False
    entries: dict[EntryId, Entry] = field(default_factory=dict)
    order: tuple[int, int] = (0, 0)
    deaf_since: timedelta | None = None
    quiet: bool = False
    pieces: bytes | None = None
    heard: timedelta | None = None
    answered: timedelta | None = None
    taken_at: timedelta | None = None
    images: dict[str, None] = field(default_factory=dict)
    up: bool = False
    current: bool = False
    failed: list[str] = field(default_factory=list)
    failing: int = 0

    @property
    def deaf(self) -> bool:
        """Its reports come, but our answers do not reach it."""
        return self.deaf_since is not None

    def free(self) -> tuple[float, float, float]:
        """Cores, cards and memory that no attempt holds; nothing while an unknown job's task is here."""
        if self.flavor is None:
            return 0.0, 0.0, 0.0
        cores, cards, ram = self.flavor.cores, self.flavor.cards, self.flavor.ram_gb
        for entry in self.entries.values():
            if entry.phase in OVER:
                continue
            if entry.run is None:
                return 0.0, 0.0, 0.0
            cores -= entry.run.cores
            cards -= entry.run.cards
            ram -= entry.run.ram_gb
        return cores, cards, ram

    def serves_only(self) -> bool:
        """Nothing runs here that ends by itself, so reports bring no news that anyone waits for."""
        return all(
            entry.run is not None and entry.run.shape == wire.SERVICE and entry.phase is not Phase.ENDED
            for entry in self.entries.values()
        )

    def use(self, image: str) -> None:
        """The most recently used images, as the worker caches them."""
        self.images.pop(image, None)
        self.images[image] = None
        while len(self.images) > IMAGES_KEPT:
            self.images.pop(next(iter(self.images)))


class Part:
    """All machines that we own in one view."""

    def __init__(
        self,
        number: int,
        lease: timedelta,
        report_every: timedelta,
        job: Callable[[str], wire.Run | None],
    ) -> None:
        self.number = number
        self._lease = lease
        self._silent = report_every * SILENT_REPORTS
        self._job = job
        self.agents: dict[str, Agent] = {}
        self.acks: dict[str, int] = {}
        self.strangers: dict[str, wire.Beat] = {}
        #: Machines of which the others do not know the present state yet.
        self.dirty: set[str] = set()
        #: Machines for whose workers there may be something new to say.
        self.news: set[str] = set()
        self._hosts: dict[str, set[str]] = {}

    def changed(self, host: str) -> None:
        """One function for each change that others have to see: the machine's row is sent anew."""
        self.dirty.add(host)

    def take_dirty(self) -> set[str]:
        dirty, self.dirty = self.dirty, set()
        return dirty

    def _add(self, agent: Agent, entry: Entry) -> None:
        agent.entries[(entry.ref, entry.task, entry.attempt)] = entry
        self._hosts.setdefault(entry.ref, set()).add(agent.host)

    # The fleet record.

    def own(
        self,
        host: str,
        record: MachineRecord,
        flavor: wire.Flavor | None,
        now: timedelta,
        images: list[str],
        until: timedelta | None = None,
    ) -> None:
        """`until`: the last moment at which anybody may have answered it, where we know from the view before."""
        agent = self.agents.get(host)
        if agent is None:
            # Nobody starts on a machine that is not recorded as opened, so this one may be empty for sure.
            agent = Agent(host, record, flavor, record.untouched(self.number), now if until is None else until)
            agent.bounded = until is not None
            agent.images = dict.fromkeys(images)
            self.agents[host] = agent
            self.strangers.pop(host, None)
        agent.record = record
        agent.flavor = flavor or agent.flavor
        self.changed(host)

    def answerable(self, others_end: timedelta | None) -> dict[str, timedelta]:
        """The last moment at which anybody may have answered each machine, for the owner in the next view. When that
        is us again, only we could answer in between, so a machine that has been silent over several views need not
        be counted anew in each."""
        found = {}
        for host, agent in self.agents.items():
            last = max(agent.answered or agent.since, agent.since)
            if agent.settled or agent.bounded:
                found[host] = last
            elif others_end is not None:
                found[host] = max(last, others_end)
        return found

    def disown(self, host: str) -> None:
        """The machine left the fleet record: its return was answered, so it and all on it are gone."""
        if self.agents.pop(host, None) is not None:
            self.changed(host)

    # Reports.

    def report(self, beat: wire.Beat, now: timedelta) -> bool:
        """Takes a report; False when it is an old one, which changes nothing."""
        agent = self.agents.get(beat.host)
        if agent is None:
            # A late copy of what a machine said before it was returned bears an older token.
            if beat.baton >= self.number:
                self.strangers[beat.host] = beat
            return True
        order = (beat.tenure, beat.tally)
        if order <= agent.order:
            return False
        current = beat.baton >= self.number
        pieces = None
        raw = bytes(beat.pieces)
        if raw != agent.pieces or any(entry.phase is Phase.SENT for entry in agent.entries.values()):
            pieces = {}
            for piece in wire.decode_pieces(raw):
                ref, task = wire.split_piece(piece.piece)
                run = self._job(ref)
                if run is not None and task >= run.pieces:
                    raise wire.MessageError(f"piece: {piece.piece!r} is not of the job")
                pieces[(ref, task, piece.attempt)] = piece
        self._hear(agent, beat, now)
        if current and not (agent.settled and agent.current):
            # Settled: this report was made after the worker saw our token, so no reply of an older
            # view can be carried out any more. Reports with an older token may be stale.
            agent.settled = agent.current = True
            self.changed(agent.host)
        elif not current and agent.current:
            agent.current = False
            self.changed(agent.host)
        if current and pieces is not None:
            agent.pieces = raw
            self._compare(agent, pieces)
        return True

    def _hear(self, agent: Agent, beat: wire.Beat, now: timedelta) -> None:
        if agent.heard is not None:
            # A worker whose report was not answered goes to another controller with the next: a gap in the tally,
            # or a new tenure, says that our last answer did not reach it.
            follows = beat.tenure == agent.order[0] and beat.tally == agent.order[1] + 1
            if not follows:
                self._become_deaf(agent, now)
            elif agent.deaf_since is not None and now - agent.heard < UNANSWERED:
                self._become_hearing(agent)
        agent.order = (beat.tenure, beat.tally)
        agent.heard = now
        if not agent.up or agent.quiet:
            agent.up, agent.quiet = True, False
            self.changed(agent.host)
        taken_at = None if beat.notice_s is None else now + timedelta(seconds=max(beat.notice_s, 0.0))
        moved = taken_at is not agent.taken_at and (
            taken_at is None or agent.taken_at is None or abs(taken_at - agent.taken_at) > NOTICE_MOVED
        )
        if moved:
            agent.taken_at = taken_at
            self.changed(agent.host)

    def _become_deaf(self, agent: Agent, now: timedelta) -> None:
        """Nothing is started there any more. What was not sent yet is refused, so that its home looks elsewhere;
        what may be there runs again only when a report or the machine's return proves it gone."""
        if agent.deaf_since is None:
            log.debug("%s does not hear our answers", agent.host)
            agent.deaf_since = now
        for entry in agent.entries.values():
            if entry.phase is Phase.QUEUED:
                entry.phase = Phase.REFUSED
        self.changed(agent.host)

    def _become_hearing(self, agent: Agent) -> None:
        log.debug("%s hears our answers again", agent.host)
        agent.deaf_since = None
        self.changed(agent.host)

    def _compare(self, agent: Agent, pieces: dict[EntryId, wire.Piece]) -> None:
        for key, piece in pieces.items():
            entry = agent.entries.get(key)
            if entry is None:
                entry = Entry(key[0], key[1], key[2], Phase.QUEUED, self._job(key[0]))
                self._add(agent, entry)
            self._show(agent, entry, piece)
        for key, entry in list(agent.entries.items()):
            if key not in pieces:
                self._miss(agent, key, entry)
        self.changed(agent.host)

    def _show(self, agent: Agent, entry: Entry, piece: wire.Piece) -> None:
        try:
            phase = Phase(piece.status)
        except ValueError:
            phase = Phase.RUNNING
        if phase not in SHOWN:
            phase = Phase.RUNNING
        if entry.phase is not phase:
            log.debug("%s/%d try %d on %s: %s", entry.ref, entry.task, entry.attempt, agent.host, phase.value)
        if phase is Phase.ENDED and entry.phase is not Phase.ENDED:
            self._judge(agent, entry.ref, piece.cause)
        entry.phase = phase
        entry.cause = piece.cause
        if entry.run is not None and phase is not Phase.ENDED:
            agent.use(entry.run.image)

    @staticmethod
    def _judge(agent: Agent, ref: str, cause: str | None) -> None:
        """Which jobs failed here, and how many of them with no success since; `Floor.failing` judges by that."""
        if cause == wire.DONE:
            agent.failing = 0
        elif cause == wire.ERROR and ref not in agent.failed[len(agent.failed) - agent.failing :]:
            agent.failed = [*(one for one in agent.failed if one != ref), ref][-FAILED_KEPT:]
            agent.failing = min(agent.failing + 1, FAILED_KEPT)

    def _miss(self, agent: Agent, key: EntryId, entry: Entry) -> None:
        """A newer report lacks the attempt, so it is not on the machine."""
        if entry.wish is Wish.RUN and entry.phase is Phase.SENT:
            entry.phase = Phase.REFUSED if agent.deaf else Phase.QUEUED
        elif entry.phase is Phase.SENT or entry.phase in SHOWN:
            entry.phase = Phase.GONE
        if entry.phase in OVER and entry.wish in (None, Wish.REAP):
            del agent.entries[key]

    # Wishes of the jobs' homes.

    def wish(
        self, home: str, seq: int, wishes: Mapping[str, list[WishRow] | None], allowed: Callable[[Agent], bool]
    ) -> None:
        """Takes what changed of a home's wishes, each machine's list in full; an older copy changes nothing."""
        if seq <= self.acks.get(home, 0):
            return
        self.acks[home] = seq
        for host, rows in wishes.items():
            agent = self.agents.get(host)
            if agent is None:
                continue
            for ref, task, attempt, wish, grace in rows or ():
                self._take_wish(agent, home, (ref, task, attempt), Wish(wish), timedelta(seconds=grace), allowed)
            self.news.add(host)
            self.changed(host)

    def _take_wish(
        self,
        agent: Agent,
        home: str,
        key: EntryId,
        wish: Wish,
        grace: timedelta,
        allowed: Callable[[Agent], bool],
    ) -> None:
        entry = agent.entries.get(key)
        if entry is None:
            if wish is not Wish.RUN:
                return
            run = self._job(key[0])
            entry = Entry(key[0], key[1], key[2], Phase.QUEUED, run, home=home)
            if run is None or agent.deaf or not allowed(agent) or not self._has_room(agent, run):
                entry.phase = Phase.REFUSED
            self._add(agent, entry)
        if entry.wish is Wish.REAP or entry.wish is Wish.STOP and wish is Wish.RUN:
            return
        entry.wish, entry.home, entry.grace = wish, home, grace
        if wish is not Wish.RUN and entry.phase is Phase.QUEUED:
            entry.phase = Phase.GONE
        if wish is Wish.REAP and entry.phase in (Phase.REFUSED, Phase.GONE):
            del agent.entries[key]

    @staticmethod
    def _has_room(agent: Agent, run: wire.Run) -> bool:
        cores, cards, ram = agent.free()
        return run.cores <= cores + 1e-6 and run.cards <= cards + 1e-6 and run.ram_gb <= ram + 1e-6

    def job_over(self, ref: str) -> None:
        """The job is no longer live: its tasks stop, whoever asked for them."""
        for host in self._hosts.pop(ref, ()):
            agent = self.agents.get(host)
            for key, entry in list(agent.entries.items()) if agent is not None else ():
                if agent is not None and entry.ref == ref:
                    self._end(agent, key, entry)
            self.news.add(host)
            self.changed(host)

    def _end(self, agent: Agent, key: EntryId, entry: Entry) -> None:
        entry.wish, entry.grace = Wish.REAP, ZERO
        if entry.phase in (Phase.QUEUED, Phase.REFUSED, Phase.GONE):
            del agent.entries[key]

    # Replies.

    def orders(self, host: str, now: timedelta, may_start: bool) -> list[dict[str, Any]]:
        """The commands for the reply to a report just taken."""
        agent = self.agents.get(host)
        if agent is None or not agent.current:
            return []
        orders: list[dict[str, Any]] = []
        launches: list[dict[str, Any]] = []
        for key, entry in list(agent.entries.items()):
            ref, task, attempt = key
            if entry.home is None and entry.wish is None and self._job(ref) is None:
                # Found on the machine, and its job is over: nobody else would clear it away.
                self._end(agent, key, entry)
            if entry.wish is Wish.RUN and entry.phase is Phase.QUEUED and may_start:
                launches.append(wire.launch(ref, task, attempt))
                entry.phase = Phase.SENT
            elif entry.wish is Wish.REAP and entry.phase is Phase.ENDED:
                orders.append(wire.reap(ref, task, attempt))
            elif entry.wish in (Wish.STOP, Wish.REAP) and entry.phase not in OVER:
                self._kill(orders, entry, now)
        if launches:
            self.changed(host)
        return orders + launches

    @staticmethod
    def _kill(orders: list[dict[str, Any]], entry: Entry, now: timedelta) -> None:
        # A kill is repeated until the report shows the end; a saving task is left to save for its grace.
        if entry.told is None:
            entry.told = now
        grace = max(entry.told + entry.grace - now, ZERO)
        if entry.phase is Phase.FLUSHING and grace > ZERO:
            return
        orders.append(wire.kill(entry.ref, entry.task, entry.attempt, grace))

    def pending(self, host: str) -> bool:
        """There is something to tell this machine's worker."""
        agent = self.agents.get(host)
        if agent is None or not agent.current:
            return False
        return any(
            entry.phase is Phase.QUEUED
            and entry.wish is Wish.RUN
            or entry.wish is Wish.REAP
            and entry.phase is Phase.ENDED
            or entry.wish in (Wish.STOP, Wish.REAP)
            and entry.phase not in OVER
            and entry.told is None
            for entry in agent.entries.values()
        )

    # Machines that fell silent.

    def expire(self, now: timedelta, others_end: timedelta | None) -> None:
        """Gives up what is on silent machines once their leases have certainly run out.

        Only a report that was answered renews a lease, counted from when it was sent, so from before
        the answer. In this view only we answer; members of earlier views may have answered until
        `others_end` (None: not known yet).
        """
        for agent in self.agents.values():
            if not agent.quiet and now - (agent.heard or agent.since) > self._silent:
                agent.quiet = True
                self.changed(agent.host)
            # `since` may lie ahead: who was left out may answer for a moment yet, and our own answer may not arrive.
            last = max(agent.answered or agent.since, agent.since)
            if not agent.settled and not agent.bounded:
                if others_end is None:
                    continue
                last = max(last, others_end)
            if now - last > self._lease * DRIFT + MARGIN:
                self._give_up(agent)

    def _give_up(self, agent: Agent) -> None:
        if not agent.settled:
            agent.settled = True
            log.info("%s has been silent past its lease: settled as empty", agent.host)
            self.changed(agent.host)
        if agent.heard is not None and agent.pieces is not None:
            # Its next true report is of a later tenure; a late one or a copy of this tenure revives nothing.
            agent.order = (agent.order[0] + 1, 0)
            agent.pieces = None
        lost = [entry for entry in agent.entries.values() if entry.phase in SHOWN or entry.phase is Phase.SENT]
        if lost:
            log.info("%s has been silent past its lease: %d tasks are given up", agent.host, len(lost))
        for key, entry in list(agent.entries.items()):
            if entry.phase in SHOWN or entry.phase in (Phase.SENT, Phase.QUEUED):
                entry.phase = Phase.GONE
                self.changed(agent.host)
                if entry.wish in (None, Wish.REAP):
                    del agent.entries[key]

    # What we tell the others.

    def row(self, host: str, now: timedelta) -> HostRow | None:
        """The machine's state in the form that is sent to the other controllers; None when we have none."""
        agent = self.agents.get(host)
        if agent is None:
            return None
        return HostRow(
            settled=agent.settled,
            up=agent.up,
            leaving=agent.record.leaving is not None,
            silent=(now - (agent.heard or agent.since)).total_seconds() if agent.quiet else 0.0,
            notice=None if agent.taken_at is None else (agent.taken_at - now).total_seconds(),
            failed=agent.failed,
            failing=agent.failing,
            deaf=None if agent.deaf_since is None else (now - agent.deaf_since).total_seconds(),
            quick=agent.current and agent.serves_only(),
            images=list(agent.images),
            tasks=[(e.ref, e.task, e.attempt, cast(PhaseName, e.phase.value), e.cause) for e in agent.entries.values()],
        )

    def homes(self, host: str) -> set[str]:
        """The controllers that wait for news of what they started there."""
        agent = self.agents.get(host)
        return {e.home for e in agent.entries.values() if e.home is not None} if agent is not None else set()

    def strangers_known(self) -> dict[str, tuple[str, str, bool]]:
        return {beat.host: (beat.rig, beat.yard, beat.spot) for beat in self.strangers.values()}
