"""The machines of our part: their workers' reports, what each runs, and the commands in the replies.

The owner of a machine alone answers its worker's reports in a view. Commands go only in these
replies: a worker drops a late reply, and has one report in flight, so its next report shows for sure
whether the commands of the reply before were carried out.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide import wire
from ramptide.records import MachineRecord

log = logging.getLogger(__name__)

ZERO = timedelta(0)
DRIFT = 1.002
MARGIN = timedelta(seconds=1)
IMAGES_KEPT = 40

EntryId = tuple[str, int, int]


class Phase(Enum):
    """Where one attempt of a task is, as its machine's owner knows."""

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
    since: timedelta
    entries: dict[EntryId, Entry] = field(default_factory=dict)
    order: tuple[int, int] = (0, 0)
    heard: timedelta | None = None
    answered: timedelta | None = None
    taken_at: timedelta | None = None
    images: dict[str, None] = field(default_factory=dict)
    up: bool = False
    current: bool = False
    failing: set[str] = field(default_factory=set)

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
        job: Callable[[str], wire.Run | None],
    ) -> None:
        self.number = number
        self._lease = lease
        self._job = job
        self.agents: dict[str, Agent] = {}
        self.acks: dict[str, int] = {}
        self.strangers: dict[str, wire.Beat] = {}
        self.version = 0

    def changed(self) -> None:
        self.version += 1

    # The fleet record.

    def own(
        self, host: str, record: MachineRecord, flavor: wire.Flavor | None, now: timedelta, images: list[str]
    ) -> None:
        agent = self.agents.get(host)
        if agent is None:
            # Nobody starts on a machine that is not recorded as opened, so this one may be empty for sure.
            agent = Agent(host, record, flavor, settled=record.untouched(self.number), since=now)
            agent.images = dict.fromkeys(images)
            self.agents[host] = agent
            self.strangers.pop(host, None)
        agent.record = record
        agent.flavor = flavor or agent.flavor
        self.changed()

    def disown(self, host: str) -> None:
        """The machine left the fleet record: its return was answered, so it and all on it are gone."""
        if self.agents.pop(host, None) is not None:
            self.changed()

    # Reports.

    def report(self, beat: wire.Beat, now: timedelta) -> bool:
        """Takes a report; False when it is an old one, which changes nothing."""
        agent = self.agents.get(beat.host)
        if agent is None:
            self.strangers[beat.host] = beat
            return True
        order = (beat.tenure, beat.tally)
        if order <= agent.order:
            return False
        pieces = {}
        for piece in beat.pieces:
            ref, task = wire.split_piece(piece.piece)
            pieces[(ref, task, piece.attempt)] = piece
        agent.order = order
        agent.heard = now
        agent.up = True
        agent.taken_at = None if beat.notice_s is None else now + timedelta(seconds=max(beat.notice_s, 0.0))
        agent.current = beat.baton >= self.number
        if agent.current:
            # Settled: this report was made after the worker saw our token, so no reply of an older
            # view can be carried out any more. Reports with an older token may be stale.
            agent.settled = True
            self._compare(agent, pieces)
        self.changed()
        return True

    def _compare(self, agent: Agent, pieces: dict[EntryId, wire.Piece]) -> None:
        for key, piece in pieces.items():
            entry = agent.entries.get(key)
            if entry is None:
                entry = Entry(key[0], key[1], key[2], Phase.QUEUED, self._job(key[0]))
                agent.entries[key] = entry
            self._show(agent, entry, piece)
        for key, entry in list(agent.entries.items()):
            if key not in pieces:
                self._miss(agent, key, entry)

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
        """Different jobs that fail here with no success between them speak against the machine."""
        if cause == wire.ERROR:
            agent.failing.add(ref)
        elif cause == wire.DONE:
            agent.failing.clear()

    def _miss(self, agent: Agent, key: EntryId, entry: Entry) -> None:
        """A newer report lacks the attempt, so it is not on the machine."""
        if entry.wish is Wish.RUN and entry.phase is Phase.SENT:
            entry.phase = Phase.QUEUED
        elif entry.phase is Phase.SENT or entry.phase in SHOWN:
            entry.phase = Phase.GONE
        if entry.phase in OVER and entry.wish in (None, Wish.REAP):
            del agent.entries[key]

    # Wishes of the jobs' homes.

    def wish(
        self, home: str, seq: int, wishes: dict[str, list[list[Any]]], allowed: Callable[[Agent], bool]
    ) -> None:
        """Takes a home's full list; an older copy of it changes nothing."""
        if seq <= self.acks.get(home, 0):
            return
        self.acks[home] = seq
        for host, rows in wishes.items():
            agent = self.agents.get(host)
            if agent is None:
                continue
            for ref, task, attempt, wish, grace in rows:
                self._take_wish(agent, home, (ref, task, attempt), Wish(wish), timedelta(seconds=grace), allowed)
        self.changed()

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
            if run is None or not allowed(agent) or not self._has_room(agent, run):
                entry.phase = Phase.REFUSED
            agent.entries[key] = entry
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
        for agent in self.agents.values():
            for key, entry in list(agent.entries.items()):
                if entry.ref == ref:
                    self._end(agent, key, entry)
        self.changed()

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
        if launches or orders:
            self.changed()
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
            entry.phase is Phase.QUEUED and entry.wish is Wish.RUN
            or entry.wish is Wish.REAP and entry.phase is Phase.ENDED
            or entry.wish in (Wish.STOP, Wish.REAP) and entry.phase not in OVER and entry.told is None
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
            last = agent.answered or agent.since
            if not agent.settled:
                if others_end is None:
                    continue
                last = max(last, others_end)
            if now - last <= self._lease * DRIFT + MARGIN:
                continue
            if not agent.settled:
                agent.settled = True
                log.info("%s has been silent past its lease: settled as empty", agent.host)
                self.changed()
            for key, entry in list(agent.entries.items()):
                if entry.phase in SHOWN or entry.phase in (Phase.SENT, Phase.QUEUED):
                    entry.phase = Phase.GONE
                    self.changed()
                    if entry.wish in (None, Wish.REAP):
                        del agent.entries[key]

    # What we tell the others.

    def status(self, now: timedelta) -> dict[str, Any]:
        """Each machine's state in the form that is sent to the other controllers."""
        return {host: self._status(agent, now) for host, agent in self.agents.items()}

    @staticmethod
    def _status(agent: Agent, now: timedelta) -> dict[str, Any]:
        silent = now - (agent.heard or agent.since)
        return {
            "settled": agent.settled,
            "up": agent.up,
            "leaving": agent.record.leaving is not None,
            "silent": silent.total_seconds(),
            "notice": None if agent.taken_at is None else (agent.taken_at - now).total_seconds(),
            "failing": len(agent.failing),
            "quick": agent.current and agent.serves_only(),
            "images": list(agent.images),
            "tasks": [
                [e.ref, e.task, e.attempt, e.phase.value, e.cause] for e in agent.entries.values()
            ],
        }
