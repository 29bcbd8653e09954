"""One controller: it ties the parts together. Events come in, calls go out through the context."""

import logging
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from ramptide.amounts import Grants, guarantee_of, team_limits
from ramptide.announcements import TokenAnnouncer
from ramptide.cloud import Cloud
from ramptide.commits import CommitBatcher
from ramptide.context import JSON, Reply, Runtime
from ramptide.demand import LeaderKnowledge
from ramptide.desk import Desk
from ramptide.evictions import Evictor
from ramptide.fleet import SICK
from ramptide.floor import SILENT, UNTOLD, Floor
from ramptide.handover import JobHandover
from ramptide.job_scheduler import JobScheduler
from ramptide.job_state import JobState
from ramptide.jobs import Job
from ramptide.leader import Leader
from ramptide.lease_expiry import CLOCK_DRIFT, MISSED_REPORTS
from ramptide.machine_status import MachineStatus
from ramptide.membership import LEASE_TIMEOUT, VIEW, Membership, View, owner_of
from ramptide.mirror import Mirror
from ramptide.parts import Parts
from ramptide.peers import Peers
from ramptide.protocol.agents import INSPECT_PATH
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.settings_file import Settings
from ramptide.records import (
    JOB_PREFIX,
    LIMIT_PREFIX,
    MACHINE_TYPES_KEY,
    RENTAL_PREFIX,
    SETTINGS_KEY,
    JobRecord,
    MachineRecord,
    RentalRecord,
)
from ramptide.results import Results
from ramptide.settings import Tuning
from ramptide.shard import Shard
from ramptide.starts import Starter
from ramptide.store import Store
from ramptide.syncing import Syncing
from ramptide.telemetry import Telemetry
from ramptide.workers import Reports

if TYPE_CHECKING:
    from ramptide.quota.exchange import QuotaExchange

log = logging.getLogger(__name__)

ZERO = timedelta(0)
ROUND, IDLE_ROUND = timedelta(milliseconds=50), timedelta(milliseconds=100)
QUIET_ROUND = timedelta(milliseconds=300)
PROOF_FOR_STARTS = timedelta(seconds=2.5)
ANSWER_MARGIN = timedelta(seconds=2)
#: Long enough for a restart of a controller that has to agree, short enough for a new view, which waits for it.
ANSWER_MOST = timedelta(seconds=6)
#: Share of `cancel_s` after which a machine that can't be proven free of a cancelled task is returned. What is left has
#: to suffice for a leader that starts anew just before: its place, three missed reports, and the return.
PROVE_WITHIN = 0.5
MACHINE_TYPES_INTERVAL = timedelta(seconds=60)
MACHINE_TYPES_RETRY_DELAY = timedelta(seconds=2)
OWNERS_KEPT = 20_000
UNSETTLED_LONG = timedelta(seconds=4)
PEER_SILENT = timedelta(seconds=5)
#: So many machines, all silent for so long, tell of our own link. We leave our place to others then, until so many
#: workers in a row have answered, or for the time given at most, as those that we know may all be gone.
UNHEARD_LEAST, UNHEARD_FOR = 3, timedelta(seconds=0.8)
PROBE_EVERY, ANSWERS, REST_MOST = timedelta(seconds=1), 3, timedelta(minutes=3)
#: The others elect a leader within a moment of our leaving; when none leads after so many probes, there are no others.
PROBES_WITHOUT_LEADER = 2
TELL_EVERY = timedelta(seconds=1)


class Controller:
    """One member of the service: it owns the parts, routes events to them and runs the decision rounds."""

    def __init__(self, context: Runtime, settings: Settings, incarnation: str, parts: Parts | None = None) -> None:
        self.context = context
        self.settings = settings
        cluster = settings.cluster
        self.member = settings.member
        self.lease = timedelta(seconds=cluster.agents.lease_s)
        self.report_every = timedelta(seconds=cluster.agents.heartbeat_interval_s)
        # A member without proof of its view may renew leases only so long that they end in time for any
        # cancellation that others may have promised since; and not for long, since others wait for its end.
        in_time = timedelta(seconds=cluster.agents.cancel_timeout_s) - self.lease * CLOCK_DRIFT - ANSWER_MARGIN
        self.answer_for = min(in_time, ANSWER_MOST)
        self.cancel_within = timedelta(seconds=cluster.agents.cancel_timeout_s)
        self.prove_within = self.cancel_within * PROVE_WITHIN
        self.teams = {team.name: team for team in cluster.teams}
        #: The limits of the teams that have one.
        self.limits = team_limits(cluster.teams)
        self.guarantees = {team.name: guarantee_of(team) for team in cluster.teams if team.cpus or team.gpus}
        # Classes whose starts people wait for, as the platform's objectives say.
        self.prompt = {one.job_class for one in cluster.objectives if one.kind == "wait" and one.job_class is not None}
        self.tuning = Tuning()
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, MachineRecord] = {}
        self.rentals: dict[str, RentalRecord] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.counters: Counter[str] = Counter()
        self.telemetry = Telemetry()

        self.shard: Shard | None = None
        self.scheduler: JobScheduler | None = None
        self.view: View | None = None
        self.view_at = ZERO
        self.latched = False
        #: What this controller may use of each limit: what the leader granted, changed by what members passed on.
        self.grants: Grants = {}
        self._granted: Grants = {}
        self.quota: QuotaExchange | None = None
        self.others_heard: dict[str, timedelta] = {}
        self._lingering_since: dict[tuple[str, str], timedelta] = {}
        self._answerable: dict[str, timedelta] = {}
        self._owners: dict[str, str] = {}
        #: Jobs that are over by the others' word, and that our copy of the state service still shows.
        self._called_off: set[str] = set()
        self._last_round = ZERO
        self._told_unsettled = ZERO
        self._told_lacks: list[str] = []
        self._started_at = context.now
        #: Processes that were members before this one started and still are: they remember what was cancelled before.
        self._witnesses: dict[str, str] | None = None
        self._unheard_since: timedelta | None = None
        #: Where workers that reported to us can be asked for their state.
        self.addresses: dict[str, str] = {}

        self.floor = Floor(
            self.machines,
            self.machine_types,
            self.jobs,
            lambda host: self.scheduler.attempts.get(host, {}).values() if self.scheduler is not None else (),
        )
        self.store = Store(context, settings.services.key_value_store, cluster.key_value_store, cluster.controllers)
        self.cloud = Cloud(context, settings.services.cloud, cluster.cloud, cluster.controllers)
        self.mirror = Mirror(self.store, "live/", self._on_change, self._on_loaded)
        self.membership = Membership(
            self.store, self.mirror, self.member, incarnation, cluster.controllers, self._on_view
        )
        self.commits = CommitBatcher(self.store, self.common)
        self.starter = Starter(self)
        self.evictor = Evictor(self)
        self.handover = JobHandover(self)
        self.knowledge = LeaderKnowledge(self)
        self.syncing = Syncing(self)
        self.peers = Peers(
            context,
            {s.member: s.address for s in settings.peers},
            self.syncing.belongs,
            self.syncing.on_sync,
            self.call_off,
        )
        self.reports = Reports(self)
        self.announcer = TokenAnnouncer(context, self.reports.take_direct)
        self.results = Results(self)
        self.desk = Desk(
            self.store,
            self.mirror,
            self.membership,
            self.commits,
            self.jobs,
            self.machine_types,
            self.teams,
            self.starter.home_for,
            lambda job_id: self.floor.running[job_id],
            self.syncing.cancelled,
            self.telemetry,
        )
        self.leader = Leader(self)
        if parts is not None:
            self._add_parts(parts)

    def _add_parts(self, parts: Parts) -> None:
        """Set up the parts that are switched on; what is off is not even imported."""
        if parts.quota.enabled:
            from ramptide.quota.exchange import QuotaExchange

            self.quota = QuotaExchange(self)

    def start(self) -> None:
        """Start to follow the state service, apply for membership and begin the rounds."""
        log.info("%s starts as %s", self.member, self.membership.incarnation)
        self.mirror.start()
        self.membership.start()
        self._fetch_machine_types()
        self.context.after(TELL_EVERY, self._tell_lacks)
        self._tick()

    # Authority.

    def _proof(self, kept: bool = False) -> timedelta | None:
        """Return the time of the last proof that our view is the current one, or None without any.

        The proof is an answer of the state service, or the answers of all other members that they cannot reach it
        either, so that nobody can have written a newer view.

        `kept`: return instead the last time such that, until `LIFE` later, nobody can have removed us from the view,
        because our grant was alive then. While nobody reaches the state service it is not known whether our grant is
        alive, only that we have not been removed yet.
        """
        proof = self.mirror.proof
        agreed = self.peers.unavailable_agreed_since() if kept or self.mirror.lacking else None
        if kept:
            held = self.membership.kept
            proof = min(proof, held) if proof is not None and held is not None else None
            agreed = agreed - LEASE_TIMEOUT if agreed is not None else None
        known = [one for one in (proof, agreed) if one is not None]
        return max(known) if known else None

    def _proven_within(self, span: timedelta, kept: bool = False) -> bool:
        proof = self._proof(kept)
        return proof is not None and self.context.now - proof < span

    def may_renew(self) -> bool:
        """Tell whether we may still renew leases of workers.

        Others rely on this ending `answer_for` after our grant was last found alive (`others_end`).
        """
        return self._proven_within(self.answer_for, kept=True)

    def common(self) -> dict[str, int]:
        """Return the conditions that every transaction of this controller has, as revisions by key."""
        return {VIEW: self.membership.view_revision}

    def may_start(self) -> bool:
        """Tell whether tasks may be started: we may answer workers, and our view was proven recently."""
        return self.may_answer() and self._proven_within(PROOF_FOR_STARTS)

    def may_answer(self) -> bool:
        """Tell whether we may answer workers: we serve in the newest view known, and may renew leases."""
        if not self.membership.serving or not self.may_renew():
            return False
        # Another controller acts in a newer view. Its workers must find their new owners, not us.
        return self.view is not None and self.peers.newest_view <= self.view.number

    def healthy(self) -> bool:
        """Tell whether requests can be accepted.

        An unreachable state service counts as a fault only when other controllers reach it.
        """
        if self.mirror.proof is None:
            return False
        if self.mirror.lacking:
            agreement = self.peers.unavailable_agreed_since()
            alone = agreement is None or self.context.now - agreement > timedelta(seconds=3)
            return not alone or self.context.now - self.mirror.proof < timedelta(seconds=4)
        return True

    # What an operator sees of us.

    def lacks(self) -> list[str]:
        """Return what this controller cannot reach or does not have now, in words for the operators."""
        now, found = self.context.now, []
        if self.mirror.lacking:
            found.append("state service")
        left_out = self.view is not None and self.peers.newest_view > self.view.number
        if not self.membership.serving or left_out:
            found.append("place in the view")
        for name, peer in self.peers.all.items():
            if peer.answered_at is None or now - peer.answered_at > PEER_SILENT:
                found.append(f"controller {name}")
        up = [machine for machine in self.shard.machines.values() if machine.up] if self.shard is not None else []
        if up and self.may_answer() and all(machine.silent for machine in up):
            found.append("all its machines")
        return found

    def _tell_lacks(self) -> None:
        self.context.after(TELL_EVERY, self._tell_lacks)
        if self.telemetry.round_clock.stood_still(self.context.now, TELL_EVERY):
            # What the others said meanwhile is still to be read.
            return
        lacks = self.lacks()
        if lacks != self._told_lacks:
            self._told_lacks = lacks
            log.info("we lack: %s", ", ".join(lacks) or "nothing")

    # Changes of the state service.

    def _on_change(self, key: str, value: Any, mod_revision: int) -> None:
        if key.startswith(JOB_PREFIX):
            self._on_job(key[len(JOB_PREFIX) :], value, mod_revision)
        elif key.startswith(RENTAL_PREFIX):
            self._on_rental(key[len(RENTAL_PREFIX) :], value)
        elif key.startswith(LIMIT_PREFIX):
            if self.quota is not None:
                self.quota.limits.on_change(key, value)
        elif key == MACHINE_TYPES_KEY:
            self._take_machine_types(value)
        elif key == SETTINGS_KEY:
            self.tuning = self.floor.tuning = Tuning.from_value(value)
            self.floor.touch_all()
            log.info("settings changed")
        else:
            self.membership.on_change(key, value, mod_revision)

    def _on_loaded(self) -> None:
        log.info("loaded: %d jobs, %d machines", len(self.jobs), len(self.machines))

    def _on_job(self, job_id: str, value: Any, mod_revision: int) -> None:
        if value is None:
            self._called_off.discard(job_id)
            self.job_over(job_id)
            return
        if job_id in self._called_off:
            # An answer from before its end comes late: it must not come back for a moment.
            return
        known = self.jobs.get(job_id)
        try:
            record = msgspec.convert(value, JobRecord)
            job = known or Job(job_id, record, mod_revision)
            job.update(record, mod_revision)
        except (msgspec.ValidationError, ValueError) as error:
            log.error("broken record of %s: %s", job_id, error)
            return
        if known is None:
            self.jobs[job_id] = job
            self.leader.fleet.used(job.spec.image)
        if job.progress.count:
            self.floor.passed(job_id)
        self._assign(job)

    def call_off(self, job_ids: list[str]) -> None:
        """Drop jobs that another controller knows to be over and that our copy of the state service still shows.

        Their users may have been told so already.
        """
        known = [job_id for job_id in job_ids if job_id in self.jobs]
        self._called_off.update(known)
        for job_id in known:
            self.job_over(job_id)

    def job_over(self, job_id: str) -> None:
        """Drop a job that has left the live state; one that is not known is ignored."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        self.floor.job_over(job_id, job.spec, self.context.now)
        self.results.forget(job_id)
        if self.scheduler is not None:
            self.scheduler.job_over(job_id)
        if self.shard is not None:
            self.shard.job_over(job_id)

    def _home_of(self, job: Job) -> str | None:
        if self.view is None:
            return None
        return job.record.scheduler if job.record.scheduler in self.view.members else self.view.leader

    def _assign(self, job: Job) -> None:
        if self.scheduler is None:
            return
        if self._home_of(job) == self.member:
            known = job.job_id in self.scheduler.jobs
            self.scheduler.take_job(job, self.context.now, self.floor.failed_on(job.job_id))
            if known:
                self.scheduler.results_recorded(job.job_id)
            else:
                # The others' lists that we have may be from before we became its home, yet satisfy all that a
                # handover waits for: what they show of the job is taken over before anything is started.
                self._read_again(self.scheduler, job.job_id)
        else:
            self.scheduler.release_job(job.job_id)

    def _read_again(self, scheduler: JobScheduler, job_id: str) -> None:
        for name in self.floor.where(job_id):
            self._read_host(scheduler, name)

    def _read_host(self, scheduler: JobScheduler, name: str) -> None:
        host, record = self.floor.hosts.get(name), self.machines.get(name)
        if host is not None and record is not None and host.known and host.settled:
            scheduler.apply_status(name, record.zone, host.tasks, self.context.now)

    def read_row(self, name: str, row: MachineStatus | None) -> None:
        """Take a machine's state from its owner's message; None when the owner has no such machine."""
        self.floor.show(name, row, self.context.now)
        if row is not None and row.address is not None and name in self.machines:
            self.addresses[name] = row.address
        if self.scheduler is not None and row is not None:
            self._read_host(self.scheduler, name)

    def _on_rental(self, name: str, value: Any) -> None:
        try:
            record = None if value is None else msgspec.convert(value, RentalRecord)
        except msgspec.ValidationError as error:
            log.error("broken record of rental %s: %s", name, error)
            return
        before = self.rentals.pop(name, None)
        if record is not None:
            self.rentals[name] = record
        old = before.machine_records(name) if before is not None else {}
        new = record.machine_records(name) if record is not None else {}
        for host in old.keys() - new.keys():
            self._machine_gone(host)
        for host, machine in new.items():
            if machine != old.get(host):
                self.machines[host] = machine
                self.leader.recorded(host)
                self.floor.add(host, self._unproven_since() if machine.registered else None)
                self._own(host, machine)
                if self.scheduler is not None and self._faulty(host):
                    self.scheduler.machine_faulty(host)

    def _unproven_since(self) -> timedelta:
        """Return since when a task of a finished job may be on a machine that was in use before this process started.

        What was cancelled before may be due soon, so a silent machine is given the time of one lease, and none when no
        process is left that knows what was cancelled.
        """
        alone = self._witnesses is not None and not self._witnesses
        before = self.prove_within if alone else max(self.prove_within - self.lease * CLOCK_DRIFT, ZERO)
        return self.context.now - before

    def _faulty(self, host: str) -> bool:
        record = self.machines.get(host)
        return record is not None and record.drain_reason == SICK

    def _machine_gone(self, host: str) -> None:
        self.machines.pop(host, None)
        self.addresses.pop(host, None)
        self.floor.remove(host)
        self.leader.forget(host)
        if self.scheduler is not None:
            self.scheduler.remove_machine(host)
        if self.shard is not None:
            self.shard.remove_machine(host)
        self.reports.forget(host)

    def _own(self, host: str, record: MachineRecord) -> None:
        if self.shard is not None and self.view is not None and self.owner(host) == self.member:
            images = self.floor.hosts[host].images if host in self.floor.hosts else []
            until = self._answerable.get(host)
            self.shard.add_machine(
                host, record, self.machine_types.get(record.machine_type), self.context.now, images, until
            )

    def owner(self, host: str) -> str:
        """Return the member that owns the machine in the current view."""
        assert self.view is not None
        owner = self._owners.get(host)
        if owner is None:
            if len(self._owners) >= OWNERS_KEPT:
                self._owners.clear()
            owner = self._owners[host] = owner_of(host, self.view.members)
        return owner

    def take_grants(self, grants: Grants) -> None:
        """Act on the leader's split from now on."""
        self._granted = grants
        self.refresh_shares()

    def refresh_shares(self) -> None:
        """Work out again what we may use, after a new split or a transfer."""
        self.grants = self.quota.permits(self._granted) if self.quota is not None else self._granted

    def fresh_members(self) -> set[str]:
        """Return the members that were heard recently, this one included.

        What is known of the remaining members' machines is too old to be used.
        """
        now, silent, fresh = self.context.now, self.report_every * MISSED_REPORTS, {self.member}
        for name, peer in self.peers.all.items():
            if peer.last_message is not None and peer.heard_at is not None and now - peer.heard_at < silent:
                fresh.add(name)
        return fresh

    def _take_machine_types(self, value: Any) -> None:
        try:
            machine_types = msgspec.convert(value, list[MachineType])
        except msgspec.ValidationError as error:
            log.error("broken machine types: %s", error)
            return
        self.machine_types.clear()
        self.machine_types.update({machine_type.name: machine_type for machine_type in machine_types})
        self.floor.touch_all()
        for host, record in self.machines.items():
            self._own(host, record)

    def _fetch_machine_types(self) -> None:
        """Read the machine types from the cloud; the leader stores them for controllers that start without it."""

        def done(machine_types: list[MachineType] | None) -> None:
            delay = MACHINE_TYPES_INTERVAL if machine_types else MACHINE_TYPES_RETRY_DELAY
            self.context.after(delay, self._fetch_machine_types)
            if machine_types:
                self._take_machine_types(msgspec.to_builtins(machine_types))
                self.leader.machine_types_read = True

        self.cloud.list_machine_types(done)

    def _find_spec(self, job_id: str) -> JobSpec | None:
        job = self.jobs.get(job_id)
        return job.spec if job is not None else None

    # Views.

    def _on_view(self) -> None:
        """Take a new view: what runs where is rebuilt from the workers' reports."""
        view = self.membership.view
        assert view is not None
        if self.view is None or view.number != self.view.number:
            self.telemetry.view_changed(view.number)
        # What we know of the view just before still holds; of one further back it need not.
        follows = self.view is not None and view.number == self.view.number + 1
        self._answerable = (
            self.shard.last_possible_answers(self.others_end()) if follows and self.shard is not None else {}
        )
        known = self._lingering_since if follows else {}
        self._lingering_since = {one: known.get(one, self.context.now) for one in view.lingering.items()}
        self.view = view
        self.view_at = self.context.now
        self.latched = False
        self.grants, self._granted = {}, {}
        self.others_heard.clear()
        self._owners.clear()
        self.peers.new_view()
        self.leader.new_view()
        self.evictor.new_view()
        self.handover.new_view()
        silent = set(self.floor.silent())
        self.floor.new_view()
        mine = view.members.get(self.member) == self.membership.incarnation
        self.syncing.new_view(view if mine else None)
        if self.quota is not None:
            self.quota.new_view(view if mine else None)
        self._count_witnesses(view)
        if not mine:
            self.shard = self.scheduler = None
            self.announcer.stop()
            self.reports.new_view()
            return
        index = sorted(view.members).index(self.member)
        self.shard = Shard(view.number, self.lease, self.report_every, self._find_spec)
        # Attempts are numbered so that no two controllers and no two views ever use the same number.
        self.scheduler = JobScheduler(self.member, (view.number * 64 + index) << 24, self._faulty)
        for name, record in self.machines.items():
            self._own(name, record)
        self._answerable = {}
        for job in self.jobs.values():
            self._assign(job)
        self.reports.new_view()
        self._announce_token(self.shard, silent)

    def _announce_token(self, shard: Shard, silent: set[str]) -> None:
        """Tell the workers of our machines the token of the view, as far as we know where they are.

        Those that were silent before come last: each may take the whole time limit, and with hundreds of them the
        others would wait for as many seconds.
        """
        unsettled = [host for host, machine in shard.machines.items() if not machine.settled]
        unsettled.sort(key=lambda host: host in silent)
        addresses = {host: self.addresses[host] for host in unsettled if host in self.addresses}
        self.announcer.announce(shard.view, addresses)

    def _count_witnesses(self, view: View) -> None:
        """Keep count of the processes left that know what was cancelled before this one started.

        When none is left, a silent machine may still run a task whose cancellation is due at any moment, so it is
        returned as soon as it is known to be silent.
        """
        known = view.members if self._witnesses is None else self._witnesses
        self._witnesses = {
            name: incarnation
            for name, incarnation in known.items()
            if view.members.get(name) == incarnation and name != self.member
        }
        recent = self.context.now - self._started_at < self.cancel_within
        if known and recent and not self._witnesses:
            self.floor.distrust(self._started_at, self.context.now - self.prove_within)

    def others_end(self) -> timedelta | None:
        """Return the time after which no member of an earlier view can have answered a report.

        None while some member of this view has not been heard. A member that was left out had lost its grant by then,
        so it was last found alive `LIFE` before.
        """
        assert self.view is not None
        authority = self.answer_for - LEASE_TIMEOUT / CLOCK_DRIFT
        ends = [self.view_at]
        for member, incarnation in self.view.lingering.items():
            proof = self.peers.no_replies_after(member, incarnation, self.view.number)
            ends.append(proof if proof is not None else self._lingering_since[(member, incarnation)] + authority)
        for member in self.view.members:
            if member == self.member:
                continue
            if member not in self.others_heard:
                return None
            ends.append(self.others_heard[member])
        return max(ends)

    # The round: what is decided from all that came in.

    def _plan_tick(self, delay: timedelta) -> None:
        self.telemetry.round_clock.plan(self.context.now + delay)
        self.context.after(delay, self._tick)

    def _tick(self) -> None:
        now = self.context.now
        self.telemetry.round_clock.begin(now)
        if self.scheduler is None or self.shard is None or self.view is None:
            self._plan_tick(IDLE_ROUND)
            self.syncing.send_outside()
            return
        slow = now - self._last_round >= QUIET_ROUND
        news = self.scheduler.needs_round or bool(self.shard.changed_hosts)
        self._plan_tick(ROUND if news else IDLE_ROUND)
        self.reports.answer_held(now)
        if slow or news:
            self._round(self.scheduler, self.shard, now, slow)
        self.syncing.send(self.scheduler, self.shard, now)

    def _round(self, scheduler: JobScheduler, shard: Shard, now: timedelta, slow: bool) -> None:
        """Process what changed; what changes only with time is processed in slow rounds."""
        scheduler.needs_round = False
        if slow:
            self._last_round = now
            ended = shard.leases.expire(now, self.others_end())
            self.telemetry.take_ended_leases(ended, confirmed=self.may_answer())
            self._mind_workers(shard, now)
            self.starter.clear_machines(scheduler)
        changed = shard.take_changed()
        for host in changed:
            self.read_row(host, shard.status(host, now))
        self.syncing.acknowledge(scheduler, self.member, shard.acks.get(self.member, 0))
        if not self.latched:
            self._settle(shard, now)
        if self.may_start():
            self.starter.place(scheduler, now)
            self.evictor.preempt(scheduler, now)
            self.handover.hand_over(scheduler, now)
        if self.quota is not None:
            self.quota.review(scheduler, now)
        self.syncing.mark(scheduler, shard, changed)
        self.reports.answer_held(now)
        self.results.flush(scheduler, now)

    def _mind_workers(self, shard: Shard, now: timedelta) -> None:
        """Give up our place in the view when we are cut off from the workers alone.

        We would keep our machines until their leases end, and the fleet would return them as silent. So we step down
        when all of ours are silent while other controllers hear theirs; when nobody hears any, the fault is not in our
        network link.
        """
        used = [machine for machine in shard.machines.values() if machine.record.registered]
        if len(used) < UNHEARD_LEAST or not all(machine.silent for machine in used):
            self._unheard_since = None
            return
        # After a standstill of our own all look silent until what came in meanwhile is read.
        self._unheard_since = self._unheard_since or now
        if now - self._unheard_since >= UNHEARD_FOR and self._others_hear_workers(self._unheard_since):
            log.info("no worker of %d reaches us: we give up our place", len(used))
            self._unheard_since = None
            self.membership.step_down()
            self._rest(now, 0, 0)

    def _others_hear_workers(self, since: timedelta) -> bool:
        """Tell whether a member that we have heard since then hears some of its workers.

        What one told before says nothing: it may be gone, and the last one that is left must not give up its place.
        """
        heard = {name for name, peer in self.peers.all.items() if peer.heard_at is not None and peer.heard_at > since}
        others = (host for name, host in self.floor.hosts.items() if self.owner(name) in heard)
        return any(host.known and host.up and not host.quiet for host in others)

    def _rest(self, since: timedelta, probes: int, answers: int) -> None:
        """Wait until workers answer again, by asking one known worker after the other for its state."""
        known = [self.addresses[host] for host in self.machines if host in self.addresses]
        nobody_leads = probes >= PROBES_WITHOUT_LEADER and self.membership.leaderless
        if not known or nobody_leads or answers >= ANSWERS or self.context.now - since >= REST_MOST:
            log.info("we stand for a place again")
            self.membership.resting = False
            return

        def done(reply: Reply | None) -> None:
            heard = answers + 1 if reply is not None and reply.status == 200 else 0
            self.context.after(PROBE_EVERY, lambda: self._rest(since, probes + 1, heard))

        address = known[probes % len(known)]
        self.context.call(address, "GET", INSPECT_PATH, b"", JSON, PROBE_EVERY, done)

    def unsettled(self) -> dict[str, str]:
        """Return the machines whose state in this view is not known yet, each with the reason.

        An earlier view may have started tasks there, and their owners have not shown them clear yet.
        """
        assert self.view is not None
        found = {}
        for name, record in self.machines.items():
            if record.is_unused_before(self.view.number):
                continue
            host = self.floor.hosts.get(name)
            if host is None or not host.known:
                found[name] = f"not heard of from {self.owner(name)}"
            elif not host.settled:
                found[name] = SILENT if host.quiet else UNTOLD
            elif not self.floor.clear(host):
                found[name] = "runs a task of a job that was over"
        return found

    def _settle(self, shard: Shard, now: timedelta) -> None:
        left = self.unsettled()
        spent = (now - self.view_at).total_seconds()
        if not left:
            self.latched = True
            self.telemetry.settled(now - self.view_at)
            log.info("all machines are settled in view %d after %.1f s", shard.view, spent)
            self.peers.send_all_soon()
        elif now - max(self.view_at, self._told_unsettled) > UNSETTLED_LONG:
            self._told_unsettled = now
            some = ", ".join(f"{name} ({why})" for name, why in list(left.items())[:3])
            log.info("view %d waits for %d machines after %.1f s: %s", shard.view, len(left), spent, some)

    def ready(self, job_state: JobState) -> bool:
        """Tell whether the job's tasks may be started: none can be on a machine without our knowledge."""
        assert self.view is not None and self.shard is not None
        record = job_state.job.record
        if not self.latched and (record.created_in_view != self.view.number or record.spec.team in self.limits):
            return False
        handover = record.handover
        if handover is None or handover.view != self.view.number or handover.member == self.member:
            return True
        for member in self.view.members:
            if member == self.member:
                ack = self.shard.acks.get(handover.member, 0)
            else:
                message = self.peers.last_message(member)
                ack = (
                    0
                    if message is None
                    else message.sequence_number
                    if member == handover.member
                    else message.acknowledged.get(handover.member, 0)
                )
            if ack < handover.sequence_number:
                return False
        return True
