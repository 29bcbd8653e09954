"""One controller: it ties the parts together. Events come in, calls go out through the context."""

import logging
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Any

import cbor2
import msgspec

from ramptide import wire
from ramptide.agents import DRIFT, OVER, Agent, Part, Phase
from ramptide.allowances import NO_LIMIT, NOTHING, Allowances, limited, limits_of
from ramptide.cloud import Cloud
from ramptide.context import Context
from ramptide.desk import Desk
from ramptide.fleet import Demand, Machine
from ramptide.jobs import Home, Job, Work, place, urgency
from ramptide.leader import Leader
from ramptide.membership import VIEW, Membership, View, owner_of
from ramptide.mirror import Mirror
from ramptide.peers import Answer, Peer, Peers, Sync
from ramptide.placement import Room, fill
from ramptide.preemption import OnMachine, choose_victims, may_claim
from ramptide.records import (
    ENDED,
    FLAVORS,
    HIRE,
    JOB,
    MACHINE,
    SETTINGS,
    EndRecord,
    Handover,
    HireRecord,
    JobRecord,
    MachineRecord,
    to_value,
)
from ramptide.settings import Tuning
from ramptide.store import Outcome, Store, Txn

log = logging.getLogger(__name__)

ZERO = timedelta(0)
ROUND = timedelta(milliseconds=50)
QUIET_ROUND = timedelta(milliseconds=300)
PROOF_FOR_STARTS = timedelta(seconds=2.5)
ANSWER_MARGIN = timedelta(seconds=2)
FLUSH_EVERY = timedelta(seconds=1)
WITHDRAWN_KEPT = timedelta(seconds=60)
FLAVORS_EVERY = timedelta(seconds=60)
MANY = 10**9
PREEMPT_EVERY = timedelta(milliseconds=500)
EVICTION_KEPT = timedelta(seconds=5)
EVICTIONS_AT_ONCE = 40

BeatAnswer = Callable[[int, bytes], None]


@dataclass(slots=True)
class Host:
    """What we know of a machine on the floor, ours or another's."""

    settled: bool = False
    up: bool = False
    leaving: bool = False
    heard: timedelta = ZERO
    notice: timedelta | None = None
    failing: int = 0
    quick: bool = False
    images: list[str] = field(default_factory=list)
    tasks: list[list[Any]] = field(default_factory=list)
    known: bool = False

    def busy(self) -> bool:
        return any(Phase(row[3]) not in OVER for row in self.tasks)


@dataclass(slots=True)
class Held:
    """A report whose answer waits a moment for a launch."""

    answer: BeatAnswer
    until: timedelta


@dataclass(slots=True)
class Eviction:
    """A task that was told to give way to a job."""

    claimant: str
    at: timedelta
    grace: float


def _add(total: dict[str, tuple[float, float]], team: str, cores: float, cards: float) -> None:
    before = total.get(team, NOTHING)
    total[team] = (before[0] + cores, before[1] + cards)


class Controller:
    def __init__(self, context: Context, settings: wire.Settings, incarnation: str) -> None:
        self.context = context
        self.settings = settings
        cluster = settings.cluster
        self.member = settings.member
        self.lease = timedelta(seconds=cluster.workers.lease_s)
        self.report_every = timedelta(seconds=cluster.workers.report_s)
        # A member without proof of its view may renew leases only so long that they end in time for any
        # cancellation that others may have promised since.
        self.answer_for = timedelta(seconds=cluster.workers.cancel_s) - self.lease * DRIFT - ANSWER_MARGIN
        self.teams = {team.name: team for team in cluster.teams}
        self.guarantees = {team.name: (team.cpus, team.gpus) for team in cluster.teams if team.cpus or team.gpus}
        # Classes whose starts people wait for, as the platform's objectives say.
        self.prompt = {one.job_class for one in cluster.objectives if one.kind == "wait" and one.job_class is not None}
        self.tuning = Tuning()
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, MachineRecord] = {}
        self.hires: dict[str, HireRecord] = {}
        self.flavors: dict[str, wire.Flavor] = {}
        self.floor: dict[str, Host] = {}
        self.counters: Counter[str] = Counter()

        self.store = Store(context, settings.outside.state, cluster.state, cluster.nodes)
        self.cloud = Cloud(context, settings.outside.cloud, cluster.cloud, cluster.nodes)
        self.mirror = Mirror(self.store, "live/", self._on_change, self._on_loaded)
        self.membership = Membership(
            self.store, self.mirror, self.member, incarnation, cluster.nodes, self._on_view
        )
        self.peers = Peers(context, {s.member: s.addr for s in settings.siblings}, self._on_sync)
        self.desk = Desk(
            self.store,
            self.mirror,
            self.membership,
            self.jobs,
            self.flavors,
            self.teams,
            self._home_for,
            self._running,
            self._on_withdrawn,
        )
        self.leader = Leader(self)

        self.part: Part | None = None
        self.home: Home | None = None
        self.allowances: Allowances | None = None
        self.view: View | None = None
        self.view_at = ZERO
        self.latched = False
        self.grants: dict[str, tuple[float, float]] = {}
        self.grants_ack = 0
        self.pool: list[str] = []
        self._others_heard: dict[str, timedelta] = {}
        self._held: dict[str, Held] = {}
        self._flushing = False
        self._flushed_at: dict[str, timedelta] = {}
        self._withdrawn: deque[tuple[timedelta, str]] = deque()
        self._running_counts: Counter[str] = Counter()
        self._last_round = ZERO
        self._last_sync = ZERO
        self._part_version = -1
        self._evictions: dict[tuple[str, int, int], Eviction] = {}
        self._preempted_at = ZERO

    def start(self) -> None:
        log.info("%s starts as %s", self.member, self.membership.incarnation)
        self.mirror.start()
        self.membership.start()
        self._fetch_flavors()
        self._tick()

    # Authority.

    def _proof(self) -> timedelta | None:
        """The moment of the last proof that our view is the present one: the state service's word, or all
        the other members' word that they lack it as we do, so that nobody can have moved the view on."""
        proofs = [self.mirror.proof]
        if self.mirror.lacking:
            proofs.append(self.peers.agreement())
        known = [proof for proof in proofs if proof is not None]
        return max(known) if known else None

    def may_start(self) -> bool:
        proof = self._proof()
        return self.may_answer() and proof is not None and self.context.now - proof < PROOF_FOR_STARTS

    def may_answer(self) -> bool:
        proof = self._proof()
        if not self.membership.serving or proof is None or self.context.now - proof >= self.answer_for:
            return False
        # Another controller acts in a newer view. Its workers must find their new owners, not us.
        return self.view is not None and self.peers.newest <= self.view.number

    def healthy(self) -> bool:
        """We can take requests. Lacking the state service counts only when others have it."""
        if self.mirror.proof is None:
            return False
        if self.mirror.lacking:
            agreement = self.peers.agreement()
            alone = agreement is None or self.context.now - agreement > timedelta(seconds=3)
            return not alone or self.context.now - self.mirror.proof < timedelta(seconds=4)
        return True

    # Changes of the state service.

    def _on_change(self, path: str, value: Any, stamp: int) -> None:
        if path.startswith(JOB):
            self._on_job(path[len(JOB) :], value, stamp)
        elif path.startswith(MACHINE):
            self._on_machine(path[len(MACHINE) :], value)
        elif path.startswith(HIRE):
            self._keep(self.hires, path[len(HIRE) :], value, HireRecord)
        elif path == FLAVORS:
            self._take_flavors(value)
        elif path == SETTINGS:
            self.tuning = Tuning.from_value(value)
            log.info("settings changed")
        else:
            self.membership.on_change(path, value, stamp)

    @staticmethod
    def _keep(records: dict[str, Any], name: str, value: Any, kind: type[msgspec.Struct]) -> Any:
        if value is None:
            return records.pop(name, None)
        try:
            records[name] = msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            log.error("broken record %s: %s", name, error)
        return records.get(name)

    def _on_loaded(self) -> None:
        log.info("loaded: %d jobs, %d machines", len(self.jobs), len(self.machines))

    def _on_job(self, ref: str, value: Any, stamp: int) -> None:
        if value is None:
            self._job_over(ref)
            return
        try:
            record = msgspec.convert(value, JobRecord)
        except msgspec.ValidationError as error:
            log.error("broken record of %s: %s", ref, error)
            return
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref, record, stamp)
            self.leader.fleet.used(job.run.image)
        else:
            job.update(record, stamp)
        self._assign(job)

    def _job_over(self, ref: str) -> None:
        if self.jobs.pop(ref, None) is None:
            return
        self._flushed_at.pop(ref, None)
        if self.home is not None:
            self.home.job_over(ref, self.context.now)
        if self.part is not None:
            self.part.job_over(ref)

    def _home_of(self, job: Job) -> str | None:
        if self.view is None:
            return None
        return job.record.home if job.record.home in self.view.members else self.view.leader

    def _assign(self, job: Job) -> None:
        if self.home is None:
            return
        if self._home_of(job) == self.member:
            known = job.ref in self.home.works
            self.home.take_job(job, self.context.now)
            if not known:
                # The others' lists that we have may be from before we became its home, yet satisfy all that a
                # handover waits for: what they show of the job is taken over before anything is started.
                self._read_again()
        else:
            self.home.leave_job(job.ref)

    def _read_again(self) -> None:
        for member in self.peers.all:
            said = self.peers.said(member)
            if said is not None:
                self._read_floor(member, said.status, said.acks.get(self.member, 0))

    def _on_machine(self, host: str, value: Any) -> None:
        record = self._keep(self.machines, host, value, MachineRecord)
        if value is None:
            self.floor.pop(host, None)
            self.leader.forget(host)
            if self.home is not None:
                self.home.host_gone(host)
            if self.part is not None:
                self.part.disown(host)
            held = self._held.pop(host, None)
            if held is not None:
                held.answer(503, b"")
        elif record is not None:
            self.floor.setdefault(host, Host())
            self._own(host, record)

    def _own(self, host: str, record: MachineRecord) -> None:
        if self.part is not None and self.view is not None and self._owner(host) == self.member:
            images = self.floor[host].images if host in self.floor else []
            self.part.own(host, record, self.flavors.get(record.flavor), self.context.now, images)

    def _owner(self, host: str) -> str:
        assert self.view is not None
        return owner_of(host, self.view.members)

    def _take_flavors(self, value: Any) -> None:
        try:
            flavors = msgspec.convert(value, list[wire.Flavor])
        except msgspec.ValidationError as error:
            log.error("broken machine types: %s", error)
            return
        self.flavors.clear()
        self.flavors.update({flavor.name: flavor for flavor in flavors})
        for host, record in self.machines.items():
            self._own(host, record)

    def _fetch_flavors(self) -> None:
        """Machine types come from the cloud; the leader keeps them for controllers that start without it."""

        def done(flavors: list[wire.Flavor] | None) -> None:
            self.context.after(FLAVORS_EVERY if flavors else timedelta(seconds=2), self._fetch_flavors)
            if flavors:
                self._take_flavors(msgspec.to_builtins(flavors))
                self.leader.flavors_read = True

        self.cloud.flavors(done)

    # Views.

    def _on_view(self) -> None:
        """A new view: all that was known of who runs what is rebuilt from the workers' reports."""
        view = self.membership.view
        assert view is not None
        self.view = view
        self.view_at = self.context.now
        self.latched = False
        self.grants, self.grants_ack = {}, 0
        self._others_heard.clear()
        self._evictions.clear()
        self.peers.new_view()
        self.leader.new_view()
        for held in self._held.values():
            held.answer(503, b"")
        self._held.clear()
        for host in self.floor.values():
            host.settled = host.known = host.up = False
            host.tasks = []
        mine = view.members.get(self.member) == self.membership.incarnation
        if not mine:
            self.part = self.home = self.allowances = None
            return
        index = sorted(view.members).index(self.member)
        self.part = Part(view.number, self.lease, lambda ref: job.run if (job := self.jobs.get(ref)) else None)
        # Attempts are numbered so that no two controllers and no two views ever use the same number.
        self.home = Home(self.member, (view.number * 64 + index) << 24)
        self.allowances = Allowances(self.teams, sorted(view.members))
        self._part_version = -1
        for name, record in self.machines.items():
            self._own(name, record)
        for job in self.jobs.values():
            self._assign(job)

    def _others_end(self) -> timedelta | None:
        """The moment after which no member of an earlier view can have answered a report."""
        assert self.view is not None
        ends = [self.view_at]
        for member, inc in self.view.lingering.items():
            proof = self.peers.ended(member, inc, self.view.number)
            ends.append(proof if proof is not None else self.view_at + self.answer_for)
        for member in self.view.members:
            if member == self.member:
                continue
            if member not in self._others_heard:
                return None
            ends.append(self._others_heard[member])
        return max(ends)

    # Users.

    def _home_for(self, run: wire.Run) -> str:
        """The part with most room, or the leader when the job is too large for any."""
        assert self.view is not None
        best, most = self.view.leader, 0.0
        parts: dict[str, list[Room]] = {}
        for room in self._rooms(self.machines):
            parts.setdefault(self._owner(room.host), []).append(room)
        for member, rooms in sorted(parts.items()):
            free = sum(room.cores for room in rooms)
            if free > most and fill(run, run.pieces, rooms, {}) == run.pieces:
                best, most = member, free
        return best

    def _running(self, ref: str) -> int:
        return self._running_counts[ref]

    def _on_withdrawn(self, ref: str) -> None:
        """We promised that the job is cancelled: told to the others directly, should the state service fail now."""
        self._withdrawn.append((self.context.now, ref))

    # Workers.

    def beat(self, body: bytes, answer: BeatAnswer) -> None:
        try:
            beat = wire.decode_beat(body)
        except wire.BadMessage as error:
            answer(400, wire.encode({"error": str(error)}))
            return
        view = self.view
        if view is None or self.mirror.proof is None:
            answer(503, b"{}")
            return
        owner = self._owner(beat.host)
        if owner != self.member and self._stands_in(owner, beat):
            answer(200, wire.encode_beat_answer(view.number, []))
            return
        if owner != self.member:
            fresh = self._proof()
            if fresh is None or self.context.now - fresh > self.answer_for:
                answer(503, b"{}")
            else:
                answer(421, wire.encode_foreman(owner))
            return
        if self.part is None or not self.may_answer() or beat.baton > view.number:
            answer(503, b"{}")
            return
        try:
            fresh_report = self.part.report(beat, self.context.now)
        except wire.BadMessage as error:
            answer(400, wire.encode({"error": str(error)}))
            return
        if not fresh_report:
            answer(503, b"{}")
            return
        held = self._held.pop(beat.host, None)
        if held is not None:
            held.answer(503, b"")
        agent = self.part.agents.get(beat.host)
        if agent is not None and self._worth_holding(agent):
            self._held[beat.host] = Held(answer, self.context.now + self.tuning.hold)
            return
        self._reply(beat.host, answer)

    def _stands_in(self, owner: str, beat: wire.Beat) -> bool:
        """While all lack the state service, no view can replace an owner whose process ended. Its workers
        keep their leases then, but get no orders. Not one that runs a task of a job that is over: a
        cancellation was promised, and nobody could tell it to stop."""
        assert self.view is not None
        if not self.mirror.lacking or not self.may_answer() or beat.baton > self.view.number:
            return False
        dead = self.peers.replaced(owner, self.view.members[owner])
        try:
            return dead and all(wire.split_piece(piece.piece)[0] in self.jobs for piece in beat.pieces)
        except wire.BadMessage:
            return False

    def _worth_holding(self, agent: Agent) -> bool:
        """The answer may wait for a launch where no news is expected: no array's task is there to end."""
        return (
            self.tuning.hold > ZERO
            and agent.current
            and agent.record.leaving is None
            and agent.taken_at is None
            and agent.serves_only()
        )

    def _reply(self, host: str, answer: BeatAnswer) -> None:
        if self.part is None or self.view is None or not self.may_answer():
            answer(503, b"{}")
            return
        agent = self.part.agents.get(host)
        orders = self.part.orders(host, self.context.now, self.may_start())
        if agent is not None:
            agent.answered = self.context.now
        answer(200, wire.encode_beat_answer(self.view.number, orders))

    def _answer_held(self) -> None:
        for host, held in list(self._held.items()):
            if held.until <= self.context.now or self.part is not None and self.part.pending(host):
                del self._held[host]
                self._reply(host, held.answer)

    # Other controllers.

    def sync(self, body: bytes) -> bytes | None:
        """A message of another controller and our answer to it; None when it is broken."""
        number = self.view.number if self.view is not None and self.part is not None else 0
        if not self.peers.take(body, number):
            return None
        answer = Answer(self.membership.incarnation, number, self.mirror.lacking, max(number, self.peers.newest))
        return cbor2.dumps(msgspec.to_builtins(answer))

    def _on_sync(self, sync: Sync, peer: Peer) -> None:
        home, part = self.home, self.part
        if home is None or part is None or self.view is None:
            return
        now = self.context.now
        if sync.inc != self.view.members.get(sync.member):
            return
        self._others_heard.setdefault(sync.member, now)
        for ref in sync.withdrawn:
            self._job_over(ref)
        part.wish(sync.member, sync.seq, sync.wishes, self._takes_tasks)
        if sync.member == self.view.leader:
            self.pool = sync.pool
            if sync.grants is not None:
                # Both at once: the new grants leave out what the leader took over.
                self.grants, self.grants_ack = sync.grants, sync.seq
                for ref in sync.took:
                    home.taken_over(ref)
            for ref, task, number, grace in sync.evict:
                self._evict(ref, task, number, timedelta(seconds=grace))
        self._read_floor(sync.member, sync.status, sync.acks.get(self.member, 0))
        if self.allowances is not None and sync.grants_ack:
            self.allowances.acknowledged(sync.member, sync.grants_ack)
        home.touched = True

    def _evict(self, ref: str, task: int, number: int, grace: timedelta) -> None:
        assert self.home is not None
        work = self.home.works.get(ref)
        attempt = work.placed.get(task) if work is not None else None
        if work is not None and attempt is not None and attempt.number == number:
            # The room is for another job: this one looks elsewhere for a while.
            work.shunned[attempt.host] = self.context.now + EVICTION_KEPT
            self.home.stop(attempt, grace)

    def _takes_tasks(self, agent: Agent) -> bool:
        record = agent.record
        return (
            agent.settled
            and record.opened
            and record.leaving is None
            and agent.taken_at is None
            and self.may_start()
        )

    def _read_floor(self, owner: str, status: dict[str, Any], ack: int) -> None:
        assert self.home is not None
        now = self.context.now
        for name, told in status.items():
            record = self.machines.get(name)
            if record is None or self._owner(name) != owner:
                continue
            host = self.floor.setdefault(name, Host())
            host.known = True
            host.settled, host.up, host.leaving = told["settled"], told["up"], told["leaving"]
            host.heard = now - timedelta(seconds=told["silent"])
            host.notice = None if told["notice"] is None else now + timedelta(seconds=told["notice"])
            host.quick = told["quick"]
            host.failing, host.images, host.tasks = told["failing"], told["images"], told["tasks"]
            if host.settled:
                self.home.read(name, record.yard, ack, host.tasks, now)
        for name in list(self.home.attempts):
            if name not in status and self._owner(name) == owner:
                self.home.read(name, "", ack, [], now)

    # The round: what is decided from all that came in.

    def _tick(self) -> None:
        self.context.after(ROUND, self._tick)
        now = self.context.now
        if self.home is None or self.part is None or self.view is None:
            if now - self._last_sync >= QUIET_ROUND:
                self._last_sync = now
                self._send_outside()
            return
        self._answer_held()
        touched = self.home.touched or self.part.version != self._part_version
        if not touched and now - self._last_round < QUIET_ROUND:
            return
        self._last_round = now
        self._round(now)

    def _round(self, now: timedelta) -> None:
        home, part = self.home, self.part
        assert home is not None and part is not None
        home.touched = False
        part.expire(now, self._others_end())
        self._read_floor(self.member, part.status(now), part.acks.get(self.member, 0))
        self._count_running()
        if not self.latched and self._all_settled():
            self.latched = True
            spent = (now - self.view_at).total_seconds()
            log.info("all machines are settled in view %d after %.1f s", part.number, spent)
        self._clear_machines(now)
        if self.may_start():
            self._place(now)
            self._preempt(now)
            self._hand_over(now)
        self._sync_out(now)
        self._part_version = part.version
        self._answer_held()
        self._flush(now)

    def _count_running(self) -> None:
        counts: Counter[str] = Counter()
        for host in self.floor.values():
            for row in host.tasks:
                if row[3] == wire.RUNNING:
                    counts[row[0]] += 1
        self._running_counts = counts

    def _all_settled(self) -> bool:
        """Every machine that an earlier view may have started on has been shown by its owner, and no task
        of a job that is over is left there (its team is unknown, so it could not be counted)."""
        assert self.view is not None
        for name, record in self.machines.items():
            if record.untouched(self.view.number):
                continue
            host = self.floor.get(name)
            if host is None or not host.known or not host.settled:
                return False
            if any(row[0] not in self.jobs and Phase(row[3]) not in OVER for row in host.tasks):
                return False
        return True

    def _ready(self, work: Work) -> bool:
        """The job's tasks may be started: nothing of it can be on a machine without our knowing."""
        assert self.view is not None and self.part is not None
        record = work.job.record
        if not self.latched and (
            record.born != self.view.number or limited(self.teams.get(record.run.team))
        ):
            return False
        hand = record.hand
        if hand is None or hand.view != self.view.number or hand.member == self.member:
            return True
        for member in self.view.members:
            if member == self.member:
                ack = self.part.acks.get(hand.member, 0)
            else:
                said = self.peers.said(member)
                ack = 0 if said is None else said.seq if member == hand.member else said.acks.get(hand.member, 0)
            if ack < hand.seq:
                return False
        return True

    def _clear_machines(self, now: timedelta) -> None:
        """Tasks leave machines that are drained or about to be taken."""
        assert self.home is not None
        for name in list(self.home.attempts):
            record, host = self.machines.get(name), self.floor.get(name)
            draining = record is not None and record.leaving not in (None, "idle")
            notice = host.notice if host is not None else None
            if not draining and notice is None:
                continue
            for attempt in list(self.home.attempts[name].values()):
                saves = attempt.run.mark_every_s > 0
                # A task that cannot save may still finish before the machine goes.
                if draining or saves or attempt.run.shape == wire.SERVICE:
                    self.home.stop(attempt, timedelta(seconds=attempt.run.mark_cost_s if saves else 0))

    def _rooms(self, names: Iterable[str]) -> Iterator[Room]:
        """What is free on machines that take tasks now."""
        now = self.context.now
        silent = self.report_every * 3
        for name in names:
            record, host = self.machines.get(name), self.floor.get(name)
            if record is None or host is None or not record.opened or not host.settled or not host.up:
                continue
            flavor = self.flavors.get(record.flavor)
            if flavor is None or record.leaving is not None or host.leaving or host.notice is not None:
                continue
            if host.failing >= self.tuning.sick_jobs or now - host.heard > silent:
                continue
            room = self._room(name, record, host, flavor)
            if room is not None:
                yield room

    def _room(self, name: str, record: MachineRecord, host: Host, flavor: wire.Flavor) -> Room | None:
        size = (flavor.cores, flavor.cards, flavor.ram_gb)
        room = Room(name, record.flavor, record.yard, record.spot, *size, frozenset(host.images))
        shown = set()
        for row in host.tasks:
            if Phase(row[3]) in OVER:
                continue
            job = self.jobs.get(row[0])
            if job is None:
                return None
            room.take(job.run)
            shown.add((row[0], row[1], row[2]))
        busy = bool(shown)
        if self.home is not None:
            for key, attempt in self.home.attempts.get(name, {}).items():
                if key not in shown and attempt.phase not in OVER:
                    room.take(attempt.run)
                    busy = True
        room.idle = not busy
        room.quick = host.quick
        # Services are what people wait for: the pool and the machines that run only services are theirs.
        room.kept = not record.spot and (name in self.pool or busy and host.quick)
        return room

    def _place(self, now: timedelta) -> None:
        home, view = self.home, self.view
        assert home is not None and view is not None
        leads = self.membership.leading
        wall = self.context.wall()
        works = [w for w in home.works.values() if w.waiting > 0 and not w.frozen and w.hold <= now and self._ready(w)]
        if not works:
            return
        works.sort(key=lambda work: urgency(work.job, wall, self.prompt))
        rooms = [room for room in self._rooms(self.machines) if leads or self._owner(room.host) == self.member]
        using = home.held()

        def allowance(run: wire.Run) -> int:
            return self._headroom(run, using.get(run.team, NOTHING), self.grants.get(run.team, NOTHING))

        for work in works:
            before = len(work.placed)
            place(home, [work], rooms, allowance, now, self.tuning.long_wait)
            count = len(work.placed) - before
            if count:
                run = work.job.run
                _add(using, run.team, run.cores * count, run.cards * count)
                self.counters["starts"] += count
            if work.waiting == 0:
                work.waiting_since = None
            elif work.waiting_since is None:
                work.waiting_since = now

    def _preempt(self, now: timedelta) -> None:
        """The leader makes room for jobs that may claim it: by rank, or within their team's guarantee.

        Only jobs that found no room for `preempt_after` claim any, most urgent first; the homes of the
        tasks that give way are told to stop them.
        """
        home = self.home
        assert home is not None
        self._evictions = {key: one for key, one in self._evictions.items() if now - one.at < EVICTION_KEPT}
        if not self.membership.leading or not self.latched or now - self._preempted_at < PREEMPT_EVERY:
            return
        self._preempted_at = now
        claims = [
            work
            for work in home.works.values()
            if work.waiting_since is not None
            and work.waiting > 0
            and now - work.waiting_since >= self.tuning.preempt_after
            and work.hold <= now
            and self._ready(work)
        ]
        if not claims:
            return
        wall = self.context.wall()
        rooms = list(self._rooms(self.machines))
        tasks = {room.host: self._stoppable(room.host) for room in rooms}
        using = self._team_use()
        for work in sorted(claims, key=lambda one: urgency(one.job, wall, self.prompt)):
            run = work.job.run
            promised = sum(one.claimant == run.ref for one in self._evictions.values())
            left = min(
                work.waiting - promised,
                self._headroom(run, home.held().get(run.team, NOTHING), self.grants.get(run.team, NOTHING)),
            )
            while left > 0 and len(self._evictions) < EVICTIONS_AT_ONCE:
                claimable = partial(may_claim, run, using=using, guarantees=self.guarantees)
                found = choose_victims(run, rooms, tasks, claimable, work.yards)
                if found is None:
                    break
                self._stop_for(run, found[0], found[1], tasks, using, now)
                left -= 1

    def _stop_for(
        self,
        run: wire.Run,
        room: Room,
        going: list[OnMachine],
        tasks: dict[str, list[OnMachine]],
        using: dict[str, tuple[float, float]],
        now: timedelta,
    ) -> None:
        for victim in going:
            log.debug("%s/%d gives way to %s on %s", victim.run.ref, victim.task, run.ref, room.host)
            grace = victim.run.mark_cost_s if victim.run.mark_every_s > 0 else 0.0
            self._evictions[victim.key] = Eviction(run.ref, now, grace)
            self._evict(*victim.key, timedelta(seconds=grace))
            tasks[room.host].remove(victim)
            room.take(victim.run, -1)
            _add(using, victim.run.team, -victim.run.cores, -victim.run.cards)
        room.take(run)
        _add(using, run.team, run.cores, run.cards)
        self.counters["preemptions"] += len(going)

    def _stoppable(self, name: str) -> list[OnMachine]:
        found = []
        for ref, task, number, phase, _cause in self.floor[name].tasks:
            job = self.jobs.get(ref)
            going = (ref, task, number) in self._evictions
            if job is not None and phase in (wire.FETCHING, wire.RUNNING) and not going:
                found.append(OnMachine(job.run, task, number))
        return found

    def _team_use(self) -> dict[str, tuple[float, float]]:
        """What all homes' attempts hold, by team."""
        assert self.home is not None and self.view is not None
        using = self.home.using()
        for member in self.view.members:
            said = self.peers.said(member)
            for team, (cores, cards) in said.using.items() if said is not None else ():
                _add(using, team, cores, cards)
        return using

    def _headroom(self, run: wire.Run, using: tuple[float, float], most: tuple[float, float]) -> int:
        """How many more tasks the team may run within `most`."""
        if not limited(self.teams.get(run.team)):
            return MANY
        counts = [
            math.floor((limit - used + 1e-6) / each)
            for limit, used, each in ((most[0], using[0], run.cores), (most[1], using[1], run.cards))
            if each > 0 and limit != NO_LIMIT
        ]
        return max(0, min(counts)) if counts else MANY

    def _hand_over(self, now: timedelta) -> None:
        """A job whose part has no room for it any more goes to the leader, who may use all the others'."""
        home, view = self.home, self.view
        assert home is not None and view is not None
        if self.membership.leading or self._flushing:
            return
        for work in home.works.values():
            waited = work.waiting_since is not None and now - work.waiting_since > self.tuning.hand_over
            if waited and not work.frozen and work.hold <= now and self._ready(work):
                self._hand_over_job(work, view, home)
                return

    def _hand_over_job(self, work: Work, view: View, home: Home) -> None:
        work.frozen = True
        record = msgspec.structs.replace(
            work.job.record, home=view.leader, hand=Handover(view.number, self.member, home.seq + 1)
        )
        key = JOB + work.job.ref
        txn = Txn(when={VIEW: self.membership.view_stamp, key: work.job.stamp}, puts=[(key, to_value(record), None)])

        def done(outcome: Outcome) -> None:
            if outcome.epoch is not None:
                log.debug("%s goes to %s", work.job.ref, view.leader)
                self.mirror.applied(outcome.epoch, txn.puts, txn.drops)
            elif outcome.failed is not None or not outcome.sent:
                work.frozen = False
            # Otherwise nobody knows: it stays frozen until the watch or the next view tells.

        self.store.txn(txn, done)

    # Messages to the others.

    def _waiting_of(self, work: Work, now: timedelta) -> tuple[str, int, float]:
        waited = (now - work.waiting_since).total_seconds() if work.waiting_since is not None else 0.0
        return (work.job.ref, work.waiting, waited)

    def asking(self) -> dict[str, tuple[float, float]]:
        """What our waiting tasks would use of each team's limit."""
        assert self.home is not None
        asking: dict[str, tuple[float, float]] = {}
        for work in self.home.works.values():
            if work.waiting > 0 and work.hold <= self.context.now:
                run = work.job.run
                _add(asking, run.team, run.cores * work.waiting, run.cards * work.waiting)
        return asking

    def _sync_out(self, now: timedelta) -> None:
        home, part, view = self.home, self.part, self.view
        assert home is not None and part is not None and view is not None
        home.seq += 1
        wishes = home.wishes()
        by_owner: dict[str, dict[str, list[list[Any]]]] = {}
        for host, rows in wishes.items():
            by_owner.setdefault(self._owner(host), {})[host] = rows
        part.wish(self.member, home.seq, by_owner.get(self.member, {}), self._takes_tasks)
        took = [
            work.job.ref
            for work in home.works.values()
            if work.job.record.hand is not None and work.job.record.hand.view == view.number and self._ready(work)
        ]
        grants = self._divide(home, took)
        while self._withdrawn and now - self._withdrawn[0][0] > WITHDRAWN_KEPT:
            self._withdrawn.popleft()
        base = Sync(
            member=self.member,
            inc=self.membership.incarnation,
            view=view.number,
            seq=home.seq,
            lacks=self.mirror.lacking,
            latched=self.latched,
            acks=part.acks,
            status=part.status(now),
            using=home.using(),
            limbo=home.in_limbo(),
            asking=self.asking(),
            waiting=[
                self._waiting_of(work, now)
                for work in home.works.values()
                if work.waiting > 0 and work.hold <= now and not self.membership.leading
            ],
            grants_ack=self.grants_ack,
            took=took,
            pool=self.pool,
            evict=[(*key, one.grace) for key, one in self._evictions.items()] if self.membership.leading else [],
            withdrawn=[ref for _, ref in self._withdrawn],
            strangers={beat.host: (beat.rig, beat.yard, beat.spot) for beat in part.strangers.values()},
        )
        for peer in self.peers.all.values():
            # Those outside the view hear of it too, so that they stop to act under an older one.
            wishes = by_owner.get(peer.name, {})
            self.peers.send(peer, msgspec.structs.replace(base, wishes=wishes, grants=grants.get(peer.name)))
        self._last_sync = now

    def _send_outside(self) -> None:
        """Without a place in a view there is nothing to tell but that we are there."""
        for peer in self.peers.all.values():
            self.peers.send(peer, Sync(self.member, self.membership.incarnation, 0, 0, self.mirror.lacking))

    def _divide(self, home: Home, took: list[str]) -> dict[str, dict[str, tuple[float, float]]]:
        """The leader's split of the team limits, once every member knows all that it has to count."""
        view = self.view
        assert view is not None and self.allowances is not None
        if not self.membership.leading or not self.latched:
            return {}
        using, asking = {self.member: home.using()}, {self.member: self.asking()}
        for member in view.members:
            if member == self.member:
                continue
            said = self.peers.said(member)
            if said is None or not said.latched:
                return {}
            using[member], asking[member] = dict(said.using), said.asking
            for ref, amounts in said.limbo.items():
                for team, (cores, cards) in amounts.items() if ref not in took else ():
                    _add(using[member], team, cores, cards)
        grants = self.allowances.divide(home.seq, using, asking, self.member)
        self.allowances.acknowledged(self.member, home.seq)
        self.grants = grants[self.member]
        return grants

    # Results.

    def _flush(self, now: timedelta) -> None:
        """Writes what was done in batches; a job that is complete moves to the ended ones."""
        home = self.home
        if home is None or self._flushing or self.mirror.lacking:
            return
        txn = Txn(when={VIEW: self.membership.view_stamp})
        for work in home.works.values():
            job = work.job
            if not work.dirty or work.frozen or txn.size + 2 > self.store.limits.txn_ops:
                continue
            if not work.complete and now - self._flushed_at.get(job.ref, -FLUSH_EVERY) < FLUSH_EVERY:
                continue
            key = JOB + job.ref
            txn.when[key] = job.stamp
            self._flushed_at[job.ref] = now
            if work.complete:
                txn.puts.append((ENDED + job.ref, to_value(EndRecord(wire.DONE, job.run.pieces, job.run.pieces)), None))
                txn.drops.append(key)
            else:
                record = msgspec.structs.replace(job.record, done=work.done.encode())
                txn.puts.append((key, to_value(record), None))
        if not txn.size:
            return
        self._flushing = True

        def done(outcome: Outcome) -> None:
            self._flushing = False
            if outcome.epoch is not None:
                self.mirror.applied(outcome.epoch, txn.puts, txn.drops)
                if self.home is not None:
                    self.home.touched = True

        self.store.txn(txn, done)

    # For the leader.

    def machines_known(self, listed: dict[str, str], missing: set[str]) -> list[Machine]:
        now, wall = self.context.now, self.context.wall().timestamp()
        rooms = {room.host: room for room in self._rooms(self.machines)}
        machines = []
        for name, record in self.machines.items():
            host = self.floor.get(name) or Host()
            machines.append(
                Machine(
                    host=name,
                    record=record,
                    flavor=self.flavors.get(record.flavor),
                    up=host.up,
                    age=timedelta(seconds=max(0.0, wall - record.at)),
                    silent=now - max(host.heard, self.view_at) if host.known else ZERO,
                    notice=None if host.notice is None else host.notice - now,
                    failing=host.failing,
                    tasks=sum(Phase(row[3]) not in OVER for row in host.tasks)
                    + (len(self.home.attempts.get(name, {})) if self.home is not None else 0),
                    room=rooms.get(name),
                    drained=host.known and host.leaving and not host.busy(),
                    listed=listed.get(name),
                    known=name not in missing,
                )
            )
        return machines

    def demands(self) -> list[Demand]:
        """Waiting tasks of all homes that their team's limit lets run now, the most urgent first."""
        assert self.home is not None and self.view is not None
        now, wall = self.context.now, self.context.wall()
        using = self._team_use()
        rows = [
            (self._waiting_of(work, now), work.yards)
            for work in self.home.works.values()
            if work.waiting > 0 and work.hold <= now
        ]
        for member in self.view.members:
            said = self.peers.said(member)
            if said is not None:
                rows += [(row, Counter()) for row in said.waiting]
        found = [(self.jobs[row[0]], row, placed) for row, placed in rows if row[0] in self.jobs]
        found.sort(key=lambda one: urgency(one[0], wall, self.prompt))
        demands = []
        for job, row, placed in found:
            run = job.run
            owner = self.teams.get(run.team)
            most = limits_of(owner) if owner is not None else NOTHING
            tasks = min(row[1], self._headroom(run, using.get(run.team, NOTHING), most))
            if tasks > 0:
                _add(using, run.team, run.cores * tasks, run.cards * tasks)
                demands.append(Demand(run, tasks, timedelta(seconds=row[2]), Counter(placed)))
        return demands

    def strangers(self) -> dict[str, tuple[str, str, bool]]:
        """Machines that report and that the fleet record lacks."""
        found: dict[str, tuple[str, str, bool]] = {}
        if self.part is not None:
            found |= {beat.host: (beat.rig, beat.yard, beat.spot) for beat in self.part.strangers.values()}
        for member in self.view.members if self.view is not None else {}:
            said = self.peers.said(member)
            if said is not None:
                found |= said.strangers
        return {host: kind for host, kind in found.items() if host not in self.machines}
