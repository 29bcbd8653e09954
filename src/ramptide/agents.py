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

NO_TIME = timedelta(0)
CLOCK_DRIFT = 1.002
LEASE_MARGIN = timedelta(seconds=1)
CACHED_IMAGES_KEPT = 40
#: Jobs that a machine's row names as failed there: rows stay small however many jobs were submitted with a mistake.
FAILED_JOBS_KEPT = 8
MISSED_REPORTS = 3
#: A worker waits 4 s for an answer and another before it reports again.
ANSWER_MISSED_AFTER = timedelta(seconds=4.5)
NOTICE_CHANGE_LEAST = timedelta(seconds=1)

TaskKey = tuple[str, int, int]
# Typed closely, so that a broken message between controllers is refused as a whole before anything of it is taken.
PhaseName = Literal["queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone"]
DesiredStateName = Literal["run", "stop", "reap"]
TaskRow = tuple[str, wire.Count, wire.Count, PhaseName, str | None]
DesiredTaskRow = tuple[str, wire.Count, wire.Count, DesiredStateName, wire.Amount]


class MachineStatus(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its owner tells the others; the times are as of the message.

    `failed_jobs`: the last different jobs that failed there, the latest last; the last `consecutive_failures` of them
    with no success there since.
    """

    settled: bool
    up: bool
    leaving: bool
    silent: wire.Seconds
    notice: wire.Seconds | None
    failed_jobs: Annotated[list[str], msgspec.Meta(max_length=FAILED_JOBS_KEPT)]
    consecutive_failures: wire.Count
    unreachable: wire.Seconds | None
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
FINISHED = frozenset({Phase.ENDED, Phase.REFUSED, Phase.GONE})
FINISHED_NAMES = frozenset(phase.value for phase in FINISHED)
#: The worker has shown the attempt.
REPORTED = frozenset({Phase.FETCHING, Phase.RUNNING, Phase.FLUSHING, Phase.ENDED})


class DesiredState(Enum):
    """What the home of the job asks for."""

    RUN = "run"
    STOP = "stop"
    REAP = "reap"


@dataclass(slots=True)
class TaskEntry:
    """One attempt of a task on a machine."""

    ref: str
    task: int
    attempt: int
    phase: Phase
    run: wire.Run | None
    desired: DesiredState | None = None
    home: str | None = None
    grace: timedelta = NO_TIME
    cause: str | None = None
    kill_sent_at: timedelta | None = None


@dataclass(slots=True)
class OwnedMachine:
    """A machine of our part in this view."""

    host: str
    record: MachineRecord
    flavor: wire.Flavor | None
    settled: bool
    #: Nobody else has answered it after this moment; not `bounded`: nobody in this view.
    since: timedelta
    bounded: bool = False
    entries: dict[TaskKey, TaskEntry] = field(default_factory=dict)
    last_report_id: tuple[int, int] = (0, 0)
    unreachable_since: timedelta | None = None
    silent: bool = False
    raw_tasks: bytes | None = None
    last_report: timedelta | None = None
    last_answer: timedelta | None = None
    reclaimed_at: timedelta | None = None
    images: dict[str, None] = field(default_factory=dict)
    up: bool = False
    has_current_token: bool = False
    failed_jobs: list[str] = field(default_factory=list)
    consecutive_failures: int = 0

    @property
    def unreachable(self) -> bool:
        """Its reports come, but our answers do not reach it."""
        return self.unreachable_since is not None

    def free(self) -> tuple[float, float, float]:
        """Cores, cards and memory that no attempt holds; nothing while an unknown job's task is here."""
        if self.flavor is None:
            return 0.0, 0.0, 0.0
        cores, cards, ram = self.flavor.cores, self.flavor.cards, self.flavor.ram_gb
        for entry in self.entries.values():
            if entry.phase in FINISHED:
                continue
            if entry.run is None:
                return 0.0, 0.0, 0.0
            cores -= entry.run.cores
            cards -= entry.run.cards
            ram -= entry.run.ram_gb
        return cores, cards, ram

    def runs_only_services(self) -> bool:
        """Nothing runs here that ends by itself, so reports bring no news that anyone waits for."""
        return all(
            entry.run is not None and entry.run.shape == wire.SERVICE and entry.phase is not Phase.ENDED
            for entry in self.entries.values()
        )

    def record_image_use(self, image: str) -> None:
        """The most recently used images, as the worker caches them."""
        self.images.pop(image, None)
        self.images[image] = None
        while len(self.images) > CACHED_IMAGES_KEPT:
            self.images.pop(next(iter(self.images)))


class Shard:
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
        self._silent_after = report_every * MISSED_REPORTS
        self._job = job
        self.machines: dict[str, OwnedMachine] = {}
        self.acks: dict[str, int] = {}
        self.unrecorded: dict[str, wire.Beat] = {}
        #: Machines of which the others do not know the present state yet.
        self.changed_hosts: set[str] = set()
        #: Machines for whose workers there may be something new to say.
        self.hosts_with_commands: set[str] = set()
        self._hosts: dict[str, set[str]] = {}

    def mark_changed(self, host: str) -> None:
        """One function for each change that others have to see: the machine's row is sent anew."""
        self.changed_hosts.add(host)

    def take_changed(self) -> set[str]:
        changed, self.changed_hosts = self.changed_hosts, set()
        return changed

    def _add(self, agent: OwnedMachine, entry: TaskEntry) -> None:
        agent.entries[(entry.ref, entry.task, entry.attempt)] = entry
        self._hosts.setdefault(entry.ref, set()).add(agent.host)

    # The fleet record.

    def add_machine(
        self,
        host: str,
        record: MachineRecord,
        flavor: wire.Flavor | None,
        now: timedelta,
        images: list[str],
        until: timedelta | None = None,
    ) -> None:
        """`until`: the last moment at which anybody may have answered it, where we know from the view before."""
        agent = self.machines.get(host)
        if agent is None:
            # Nobody starts on a machine that is not recorded as opened, so this one may be empty for sure.
            agent = OwnedMachine(host, record, flavor, record.untouched(self.number), now if until is None else until)
            agent.bounded = until is not None
            agent.images = dict.fromkeys(images)
            self.machines[host] = agent
            self.unrecorded.pop(host, None)
        agent.record = record
        agent.flavor = flavor or agent.flavor
        self.mark_changed(host)

    def last_possible_answers(self, others_end: timedelta | None) -> dict[str, timedelta]:
        """The last moment at which anybody may have answered each machine, for the owner in the next view. When that
        is us again, only we could answer in between, so a machine that has been silent over several views need not
        be counted anew in each."""
        found = {}
        for host, agent in self.machines.items():
            last = max(agent.last_answer or agent.since, agent.since)
            if agent.settled or agent.bounded:
                found[host] = last
            elif others_end is not None:
                found[host] = max(last, others_end)
        return found

    def remove_machine(self, host: str) -> None:
        """The machine left the fleet record: its return was answered, so it and all on it are gone."""
        if self.machines.pop(host, None) is not None:
            self.mark_changed(host)

    # Reports.

    def take_report(self, beat: wire.Beat, now: timedelta) -> bool:
        """Takes a report; False when it is an old one, which changes nothing."""
        agent = self.machines.get(beat.host)
        if agent is None:
            # A late copy of what a machine said before it was returned bears an older token.
            if beat.baton >= self.number:
                self.unrecorded[beat.host] = beat
            return True
        order = (beat.tenure, beat.tally)
        if order <= agent.last_report_id:
            return False
        current = beat.baton >= self.number
        pieces = None
        raw = bytes(beat.pieces)
        if raw != agent.raw_tasks or any(entry.phase is Phase.SENT for entry in agent.entries.values()):
            pieces = {}
            for piece in wire.decode_pieces(raw):
                ref, task = wire.split_piece(piece.piece)
                run = self._job(ref)
                if run is not None and task >= run.pieces:
                    raise wire.MessageError(f"piece: {piece.piece!r} is not of the job")
                pieces[(ref, task, piece.attempt)] = piece
        self._track_arrival(agent, beat, now)
        if current and not (agent.settled and agent.has_current_token):
            # Settled: this report was made after the worker saw our token, so no reply of an older
            # view can be carried out any more. Reports with an older token may be stale.
            agent.settled = agent.has_current_token = True
            self.mark_changed(agent.host)
        elif not current and agent.has_current_token:
            agent.has_current_token = False
            self.mark_changed(agent.host)
        if current and pieces is not None:
            agent.raw_tasks = raw
            self._reconcile(agent, pieces)
        return True

    def _track_arrival(self, agent: OwnedMachine, beat: wire.Beat, now: timedelta) -> None:
        if agent.last_report is not None:
            # A worker whose report was not answered goes to another controller with the next: a gap in the tally,
            # or a new tenure, says that our last answer did not reach it.
            follows = beat.tenure == agent.last_report_id[0] and beat.tally == agent.last_report_id[1] + 1
            if not follows:
                self._mark_unreachable(agent, now)
            elif agent.unreachable_since is not None and now - agent.last_report < ANSWER_MISSED_AFTER:
                self._mark_reachable(agent)
        agent.last_report_id = (beat.tenure, beat.tally)
        agent.last_report = now
        if not agent.up or agent.silent:
            agent.up, agent.silent = True, False
            self.mark_changed(agent.host)
        reclaimed_at = None if beat.notice_s is None else now + timedelta(seconds=max(beat.notice_s, 0.0))
        moved = reclaimed_at is not agent.reclaimed_at and (
            reclaimed_at is None
            or agent.reclaimed_at is None
            or abs(reclaimed_at - agent.reclaimed_at) > NOTICE_CHANGE_LEAST
        )
        if moved:
            agent.reclaimed_at = reclaimed_at
            self.mark_changed(agent.host)

    def _mark_unreachable(self, agent: OwnedMachine, now: timedelta) -> None:
        """Nothing is started there any more. What was not sent yet is refused, so that its home looks elsewhere;
        what may be there runs again only when a report or the machine's return proves it gone."""
        if agent.unreachable_since is None:
            log.debug("%s does not hear our answers", agent.host)
            agent.unreachable_since = now
        for entry in agent.entries.values():
            if entry.phase is Phase.QUEUED:
                entry.phase = Phase.REFUSED
        self.mark_changed(agent.host)

    def _mark_reachable(self, agent: OwnedMachine) -> None:
        log.debug("%s hears our answers again", agent.host)
        agent.unreachable_since = None
        self.mark_changed(agent.host)

    def _reconcile(self, agent: OwnedMachine, pieces: dict[TaskKey, wire.Piece]) -> None:
        for key, piece in pieces.items():
            entry = agent.entries.get(key)
            if entry is None:
                entry = TaskEntry(key[0], key[1], key[2], Phase.QUEUED, self._job(key[0]))
                self._add(agent, entry)
            self._update_entry(agent, entry, piece)
        for key, entry in list(agent.entries.items()):
            if key not in pieces:
                self._handle_absent(agent, key, entry)
        self.mark_changed(agent.host)

    def _update_entry(self, agent: OwnedMachine, entry: TaskEntry, piece: wire.Piece) -> None:
        try:
            phase = Phase(piece.status)
        except ValueError:
            phase = Phase.RUNNING
        if phase not in REPORTED:
            phase = Phase.RUNNING
        if entry.phase is not phase:
            log.debug("%s/%d try %d on %s: %s", entry.ref, entry.task, entry.attempt, agent.host, phase.value)
        if phase is Phase.ENDED and entry.phase is not Phase.ENDED:
            self._record_outcome(agent, entry.ref, piece.cause)
        entry.phase = phase
        entry.cause = piece.cause
        if entry.run is not None and phase is not Phase.ENDED:
            agent.record_image_use(entry.run.image)

    @staticmethod
    def _record_outcome(agent: OwnedMachine, ref: str, cause: str | None) -> None:
        """Which jobs failed here, and how many of them with no success since; `Floor.failing` judges by that."""
        if cause == wire.DONE:
            agent.consecutive_failures = 0
        elif (
            cause == wire.ERROR and ref not in agent.failed_jobs[len(agent.failed_jobs) - agent.consecutive_failures :]
        ):
            agent.failed_jobs = [*(one for one in agent.failed_jobs if one != ref), ref][-FAILED_JOBS_KEPT:]
            agent.consecutive_failures = min(agent.consecutive_failures + 1, FAILED_JOBS_KEPT)

    def _handle_absent(self, agent: OwnedMachine, key: TaskKey, entry: TaskEntry) -> None:
        """A newer report lacks the attempt, so it is not on the machine."""
        if entry.desired is DesiredState.RUN and entry.phase is Phase.SENT:
            entry.phase = Phase.REFUSED if agent.unreachable else Phase.QUEUED
        elif entry.phase is Phase.SENT or entry.phase in REPORTED:
            entry.phase = Phase.GONE
        if entry.phase in FINISHED and entry.desired in (None, DesiredState.REAP):
            del agent.entries[key]

    # Desired states from the jobs' schedulers.

    def apply_desired(
        self,
        home: str,
        seq: int,
        changes: Mapping[str, list[DesiredTaskRow] | None],
        allowed: Callable[[OwnedMachine], bool],
    ) -> None:
        """Takes what changed of a scheduler's desired states, each machine's list in full; older copies do nothing."""
        if seq <= self.acks.get(home, 0):
            return
        self.acks[home] = seq
        for host, rows in changes.items():
            agent = self.machines.get(host)
            if agent is None:
                continue
            for ref, task, attempt, name, grace in rows or ():
                self._apply_desired_state(
                    agent, home, (ref, task, attempt), DesiredState(name), timedelta(seconds=grace), allowed
                )
            self.hosts_with_commands.add(host)
            self.mark_changed(host)

    def _apply_desired_state(
        self,
        agent: OwnedMachine,
        home: str,
        key: TaskKey,
        desired: DesiredState,
        grace: timedelta,
        allowed: Callable[[OwnedMachine], bool],
    ) -> None:
        entry = agent.entries.get(key)
        if entry is None:
            if desired is not DesiredState.RUN:
                return
            run = self._job(key[0])
            entry = TaskEntry(key[0], key[1], key[2], Phase.QUEUED, run, home=home)
            if run is None or agent.unreachable or not allowed(agent) or not self._has_room(agent, run):
                entry.phase = Phase.REFUSED
            self._add(agent, entry)
        if entry.desired is DesiredState.REAP or entry.desired is DesiredState.STOP and desired is DesiredState.RUN:
            return
        entry.desired, entry.home, entry.grace = desired, home, grace
        if desired is not DesiredState.RUN and entry.phase is Phase.QUEUED:
            entry.phase = Phase.GONE
        if desired is DesiredState.REAP and entry.phase in (Phase.REFUSED, Phase.GONE):
            del agent.entries[key]

    @staticmethod
    def _has_room(agent: OwnedMachine, run: wire.Run) -> bool:
        cores, cards, ram = agent.free()
        return run.cores <= cores + 1e-6 and run.cards <= cards + 1e-6 and run.ram_gb <= ram + 1e-6

    def job_over(self, ref: str) -> None:
        """The job is no longer live: its tasks stop, whoever asked for them."""
        for host in self._hosts.pop(ref, ()):
            agent = self.machines.get(host)
            for key, entry in list(agent.entries.items()) if agent is not None else ():
                if agent is not None and entry.ref == ref:
                    self._end(agent, key, entry)
            self.hosts_with_commands.add(host)
            self.mark_changed(host)

    def _end(self, agent: OwnedMachine, key: TaskKey, entry: TaskEntry) -> None:
        entry.desired, entry.grace = DesiredState.REAP, NO_TIME
        if entry.phase in (Phase.QUEUED, Phase.REFUSED, Phase.GONE):
            del agent.entries[key]

    # Replies.

    def take_commands(self, host: str, now: timedelta, may_start: bool) -> list[dict[str, Any]]:
        """The commands for the reply to a report just taken."""
        agent = self.machines.get(host)
        if agent is None or not agent.has_current_token:
            return []
        orders: list[dict[str, Any]] = []
        launches: list[dict[str, Any]] = []
        for key, entry in list(agent.entries.items()):
            ref, task, attempt = key
            if entry.home is None and entry.desired is None and self._job(ref) is None:
                # Found on the machine, and its job is over: nobody else would clear it away.
                self._end(agent, key, entry)
            if entry.desired is DesiredState.RUN and entry.phase is Phase.QUEUED and may_start:
                launches.append(wire.launch(ref, task, attempt))
                entry.phase = Phase.SENT
            elif entry.desired is DesiredState.REAP and entry.phase is Phase.ENDED:
                orders.append(wire.reap(ref, task, attempt))
            elif entry.desired in (DesiredState.STOP, DesiredState.REAP) and entry.phase not in FINISHED:
                self._kill(orders, entry, now)
        if launches:
            self.mark_changed(host)
        return orders + launches

    @staticmethod
    def _kill(orders: list[dict[str, Any]], entry: TaskEntry, now: timedelta) -> None:
        # A kill is repeated until the report shows the end; a saving task is left to save for its grace.
        if entry.kill_sent_at is None:
            entry.kill_sent_at = now
        grace = max(entry.kill_sent_at + entry.grace - now, NO_TIME)
        if entry.phase is Phase.FLUSHING and grace > NO_TIME:
            return
        orders.append(wire.kill(entry.ref, entry.task, entry.attempt, grace))

    def has_commands(self, host: str) -> bool:
        """There is something to tell this machine's worker."""
        agent = self.machines.get(host)
        if agent is None or not agent.has_current_token:
            return False
        return any(
            entry.phase is Phase.QUEUED
            and entry.desired is DesiredState.RUN
            or entry.desired is DesiredState.REAP
            and entry.phase is Phase.ENDED
            or entry.desired in (DesiredState.STOP, DesiredState.REAP)
            and entry.phase not in FINISHED
            and entry.kill_sent_at is None
            for entry in agent.entries.values()
        )

    # Machines that fell silent.

    def expire(self, now: timedelta, others_end: timedelta | None) -> None:
        """Gives up what is on silent machines once their leases have certainly run out.

        Only a report that was answered renews a lease, counted from when it was sent, so from before
        the answer. In this view only we answer; members of earlier views may have answered until
        `others_end` (None: not known yet).
        """
        for agent in self.machines.values():
            if not agent.silent and now - (agent.last_report or agent.since) > self._silent_after:
                agent.silent = True
                self.mark_changed(agent.host)
            # `since` may lie ahead: who was left out may answer for a moment yet, and our own answer may not arrive.
            last = max(agent.last_answer or agent.since, agent.since)
            if not agent.settled and not agent.bounded:
                if others_end is None:
                    continue
                last = max(last, others_end)
            if now - last > self._lease * CLOCK_DRIFT + LEASE_MARGIN:
                self._expire_lease(agent)

    def _expire_lease(self, agent: OwnedMachine) -> None:
        if not agent.settled:
            agent.settled = True
            log.info("%s has been silent past its lease: settled as empty", agent.host)
            self.mark_changed(agent.host)
        if agent.last_report is not None and agent.raw_tasks is not None:
            # Its next true report is of a later tenure; a late one or a copy of this tenure revives nothing.
            agent.last_report_id = (agent.last_report_id[0] + 1, 0)
            agent.raw_tasks = None
        lost = [entry for entry in agent.entries.values() if entry.phase in REPORTED or entry.phase is Phase.SENT]
        if lost:
            log.info("%s has been silent past its lease: %d tasks are given up", agent.host, len(lost))
        for key, entry in list(agent.entries.items()):
            if entry.phase in REPORTED or entry.phase in (Phase.SENT, Phase.QUEUED):
                entry.phase = Phase.GONE
                self.mark_changed(agent.host)
                if entry.desired in (None, DesiredState.REAP):
                    del agent.entries[key]

    # What we tell the others.

    def status(self, host: str, now: timedelta) -> MachineStatus | None:
        """The machine's state in the form that is sent to the other controllers; None when we have none."""
        agent = self.machines.get(host)
        if agent is None:
            return None
        return MachineStatus(
            settled=agent.settled,
            up=agent.up,
            leaving=agent.record.leaving is not None,
            silent=(now - (agent.last_report or agent.since)).total_seconds() if agent.silent else 0.0,
            notice=None if agent.reclaimed_at is None else (agent.reclaimed_at - now).total_seconds(),
            failed_jobs=agent.failed_jobs,
            consecutive_failures=agent.consecutive_failures,
            unreachable=None if agent.unreachable_since is None else (now - agent.unreachable_since).total_seconds(),
            quick=agent.has_current_token and agent.runs_only_services(),
            images=list(agent.images),
            tasks=[(e.ref, e.task, e.attempt, cast(PhaseName, e.phase.value), e.cause) for e in agent.entries.values()],
        )

    def waiting_schedulers(self, host: str) -> set[str]:
        """The controllers that wait for news of what they started there."""
        agent = self.machines.get(host)
        return {e.home for e in agent.entries.values() if e.home is not None} if agent is not None else set()

    def unrecorded_machines(self) -> dict[str, tuple[str, str, bool]]:
        return {beat.host: (beat.rig, beat.yard, beat.spot) for beat in self.unrecorded.values()}
