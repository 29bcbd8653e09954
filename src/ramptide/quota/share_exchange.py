"""Passes spare share of team limits on to members that are short of it, beside the leader's split."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Protocol

from ramptide.cluster.change_log import ChangeLog
from ramptide.cluster.messages import PeerMessage
from ramptide.cluster.peers import Peer, Peers
from ramptide.cluster.view import View
from ramptide.placement.bin_packing import Room, admits
from ramptide.protocol.jobs import PRIORITIES, JobSpec
from ramptide.quota.fitting import FittingSplit
from ramptide.quota.ledger import AccountBook, Ledger
from ramptide.quota.messages import VERSION, Demands, QuotaMessage, QuotaMessageError, TaskDemand, decode
from ramptide.quota.share_waits import ShareWaits
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.victims import within_guarantee
from ramptide.state.amounts import NO_LIMIT, NOTHING, Amounts, TeamAmounts, amounts_of, tasks_within
from ramptide.state.jobs import Job
from ramptide.team_limits.cluster_usage import ClusterUsage

__all__ = ["QuotaExchange"]

log = logging.getLogger(__name__)

AT_ONCE = timedelta(0)
#: So many sizes of waiting tasks of a team are told, the most numerous first; others are told once those run.
SIZES_TOLD = 8
#: So many jobs are told that wait for room within a guarantee, each for so long: it may never find any.
CLAIMS_TOLD = 8
CLAIM_FOR = timedelta(seconds=10)


class ExchangeState(Protocol):
    """What the exchange reads of the controller's state."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not over."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def guarantees(self) -> TeamAmounts:
        """The guarantees of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """What we may use of each limit."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that we schedule; raises without a place in the view."""


class ProcessIdentity(Protocol):
    """The incarnation of this process."""

    @property
    def incarnation(self) -> str:
        """The name under which this process is a member of views."""


class QuotaExchange:
    """The quota feature of one controller: its ledger, what it is short of, and what it gives.

    Parameters
    ----------
    cluster_usage
        What teams use over all controllers.
    on_balance_changed
        Called when what we may use has changed by a transfer.
    """

    def __init__(
        self,
        state: ExchangeState,
        identity: ProcessIdentity,
        peers: Peers,
        cluster_usage: ClusterUsage,
        on_balance_changed: Callable[[], None],
    ) -> None:
        self._state = state
        self._identity = identity
        self._peers = peers
        self._cluster_usage = cluster_usage
        self._on_balance_changed = on_balance_changed
        self.waits = ShareWaits()
        self.counters: Counter[str] = Counter()
        self._view: View | None = None
        self._ledger = Ledger((), {})
        self._book = AccountBook()
        #: Teams whose account changed, for messages to the leader.
        self._changed: ChangeLog[str] = ChangeLog()
        #: The last message of each other member of this view.
        self._said: dict[str, QuotaMessage] = {}
        self._waiting: Demands = {}
        self._short: Demands = {}
        self._claims: list[str] = []
        self._team_use: TeamAmounts = {}

    def new_view(self, view: View | None) -> None:
        """Start with an empty ledger; `view` is None when we have no place in it."""
        self._view = view
        self._ledger = Ledger(self._members(), self._state.limits)
        self._book = AccountBook()
        self._changed = ChangeLog()
        self._said = {}
        self._waiting, self._short = {}, {}
        self.waits.forget()

    # What the rest of the controller asks.

    def permits(self, granted: TeamAmounts) -> TeamAmounts:
        """Return what we may use of each limit, given what the leader grants."""
        changed = {team: self._ledger.permit(team, granted[team]) for team in self._ledger.moved() if team in granted}
        return {**granted, **changed}

    def missing(self) -> list[str]:
        """Return the other members that have not said in this view that this part is on there."""
        return [name for name in self._members() if name not in self._said]

    @property
    def ready(self) -> bool:
        """Whether every member of the view takes part: else the leader could not count what was passed on."""
        return self._view is not None and not self.missing()

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return by how much transfers have moved each member's share, as the leader knows."""
        return self._book.offsets()

    def split_policy(self) -> FittingSplit | None:
        """Return the leader's split in whole tasks; None while some member does not tell the sizes of its tasks."""
        if not self.ready:
            return None
        waiting = {name: message.waiting for name, message in self._said.items()}
        return FittingSplit(waiting | {self._state.member: self._waiting})

    def within_guarantee(self, spec: JobSpec) -> bool:
        """Tell whether a task more of the job lies within its team's guarantee, over all controllers."""
        return within_guarantee(spec, self._team_use, self._state.guarantees)

    def unclaimed(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the job may take although its team is beyond its guarantee.

        What would fit a job of another controller that waits within its guarantee, of no lower rank, is left to that.
        """
        claimants = [job_id for message in self._said.values() for job_id in message.claims]
        jobs = [job.spec for job_id in claimants if (job := self._state.jobs.get(job_id))]
        claims = [
            one
            for one in jobs
            if PRIORITIES.index(one.priority) >= PRIORITIES.index(spec.priority) and one.team != spec.team
        ]
        if not claims or self.within_guarantee(spec):
            return rooms
        return [room for room in rooms if not any(admits(one, room) and room.fits(one) for one in claims)]

    def _claiming(self, scheduler: JobScheduler, now: timedelta) -> list[str]:
        """Return our jobs that wait within a guarantee; one that was not tried in this view yet is among them."""
        found = []
        for job_state in scheduler.with_pending_tasks.values():
            tried = job_state.waiting_since
            recent = tried is None or now - tried < CLAIM_FOR
            startable = recent and job_state.startable and job_state.retry_at <= now
            if startable and self.within_guarantee(job_state.job.spec):
                found.append(job_state.job.job_id)
                if len(found) >= CLAIMS_TOLD:
                    break
        return found

    def waits_for_limit(self, job_state: JobState, using: TeamAmounts) -> bool:
        """Tell whether it is the share of its team's limit, and not room, that keeps a job from starting."""
        spec = job_state.job.spec
        share = self._state.quota_shares.get(spec.team, NOTHING)
        return task_headroom(spec, using.get(spec.team, NOTHING), share, self._state.limits) == 0

    # The round.

    def review(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Work out what waits and what we are short of, pass on what others are short of, and ask for ours."""
        held = scheduler.usage_with_transfers()
        teams = {job_state.job.spec.team for job_state in scheduler.with_pending_tasks.values()}
        self._team_use = self._cluster_usage.usage_of(teams)
        self._waiting = self._demands(scheduler, now)
        before, self._short = self._short, self._shortfall(held)
        self._claims = self._claiming(scheduler, now)
        self.waits.review(self._waiting_for_share(scheduler, held, now), now)
        if not self._state.reconciled or not self.ready:
            return
        for name in self._said:
            self._give_to(name, held)
        if any(team not in before for team in self._short):
            for name in self._members():
                self._peers.send_within(self._peers.by_name[name], AT_ONCE)

    def _members(self) -> list[str]:
        return [name for name in self._view.members if name != self._state.member] if self._view is not None else []

    def _demands(self, scheduler: JobScheduler, now: timedelta) -> Demands:
        """Return our waiting tasks of teams with a limit, by size, no more of each than the limit allows at all."""
        counts: dict[str, Counter[Amounts]] = {}
        for job_state in scheduler.with_pending_tasks.values():
            spec = job_state.job.spec
            if spec.team in self._state.limits and job_state.retry_at <= now and not job_state.frozen:
                counts.setdefault(spec.team, Counter())[amounts_of(spec)] += job_state.startable
        return {team: found for team, sizes in counts.items() if (found := self._told(team, sizes))}

    def _told(self, team: str, sizes: Counter[Amounts]) -> list[TaskDemand]:
        found = []
        for size, count in sizes.most_common(SIZES_TOLD):
            fits = tasks_within(self._state.limits[team], size)
            tasks = count if fits is None else min(count, fits)
            if tasks > 0:
                found.append(TaskDemand(size.cpus, size.gpus, tasks))
        return found

    def _shortfall(self, held: TeamAmounts) -> Demands:
        """Return the waiting tasks that our share does not cover."""
        short: Demands = {}
        for team, demands in self._waiting.items():
            left = self._left(team, held)
            for demand in demands:
                fits = tasks_within(left, demand.size)
                covered = demand.count if fits is None else min(fits, demand.count)
                left = _less(left, demand.size.times(covered))
                if covered < demand.count:
                    short.setdefault(team, []).append(
                        TaskDemand(demand.cpus, demand.gpus, demand.count - covered),
                    )
        return short

    def _left(self, team: str, held: TeamAmounts) -> Amounts:
        """Return what of our share is not used."""
        return _less(self._state.quota_shares.get(team, NOTHING), held.get(team, NOTHING))

    def _waiting_for_share(self, scheduler: JobScheduler, held: TeamAmounts, now: timedelta) -> set[str]:
        """Return the jobs of which no task starts for want of share, although their team's limit has room for one."""
        found = set()
        for job_state in scheduler.with_pending_tasks.values():
            spec = job_state.job.spec
            if spec.team not in self._short or job_state.retry_at > now or not job_state.startable:
                continue
            room = _less(self._state.limits[spec.team], self._team_use.get(spec.team, NOTHING))
            if tasks_within(room, amounts_of(spec)) and self.waits_for_limit(job_state, held):
                found.add(job_state.job.job_id)
        return found

    # Giving and taking.

    def _give_to(self, receiver: str, held: TeamAmounts) -> None:
        """Pass on what a member is short of and we neither use nor need, in sizes of its tasks."""
        for team, demands in self._said[receiver].short.items():
            if team not in self._state.quota_shares or self._ledger.awaits(receiver, team):
                # What it said may be from before it took what is under way.
                continue
            spare = self._left(team, held)
            for own in self._waiting.get(team, ()):
                spare = _less(spare, own.size.times(own.count))
            given = _whole_tasks(demands, spare, self._state.limits[team])
            if any(given):
                self._ledger.give(receiver, team, given, spare)
                self.counters["given"] += 1
                self._balance_changed([team])
                self._peers.send_within(self._peers.by_name[receiver], AT_ONCE)

    def _balance_changed(self, teams: list[str]) -> None:
        scheduler = self._state.require_scheduler()
        for team in teams:
            self._changed.mark(team, scheduler.sequence_number + 1)
        self._book.take(self._state.member, self._ledger.account_rows(teams))
        self._on_balance_changed()

    def message_for(self, peer: Peer) -> QuotaMessage | None:
        """Return what to tell another controller; None when it is not a member of our view."""
        view = self._view
        if view is None or peer.name not in view.members:
            return None
        leads = peer.name == view.leader
        return QuotaMessage(
            version=VERSION,
            view=view.number,
            sender=self._state.member,
            incarnation=self._identity.incarnation,
            receiver=peer.name,
            confirmed=self._ledger.last_taken(peer.name),
            transfers=self._ledger.offered(peer.name),
            short=self._short,
            claims=self._claims,
            waiting=self._waiting if leads else {},
            accounts=self._ledger.account_rows(self._changed.since(peer.acknowledged)) if leads else [],
        )

    def take(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        """Take what another member tells; what can't be taken is refused as a whole, counted and logged."""
        if message.quota is None:
            return
        try:
            told = decode(message.quota)
            self._check_sender(told, message)
            confirmed = self._ledger.confirm(told.sender, told.confirmed)
            taken = self._ledger.take(told.sender, told.transfers)
        except QuotaMessageError as error:
            self.counters["refused"] += 1
            log.error("quota message refused: member=%s error=%r", message.member, str(error))
            return
        self._said[told.sender] = told
        self._book.take(told.sender, told.accounts)
        if confirmed or taken:
            scheduler.needs_round = True
        if taken:
            self.counters["taken"] += len(taken)
            self._balance_changed([row.team for row in taken])

    def _check_sender(self, told: QuotaMessage, message: PeerMessage) -> None:
        view = self._view
        if view is None or told.view != view.number:
            raise QuotaMessageError(f"it is of view {told.view}")
        if told.sender != message.member or view.members.get(told.sender) != told.incarnation:
            raise QuotaMessageError(f"{told.sender} as {told.incarnation} is no member of view {view.number}")
        if told.sender == self._state.member or told.receiver != self._state.member:
            raise QuotaMessageError(f"it is of {told.sender} for {told.receiver}")

    # For operators.

    def in_transfer(self, team: str) -> Amounts:
        """Return what we have deducted for others and nobody counts yet."""
        return self._ledger.in_transfer(team)


def _less(amounts: Amounts, taken: Amounts) -> Amounts:
    return Amounts(amounts.cpus - taken.cpus, amounts.gpus - taken.gpus)


def _whole_tasks(demands: list[TaskDemand], spare: Amounts, limit: Amounts) -> Amounts:
    """Return what the tasks take that find share in what is spare."""
    given = NOTHING
    for demand in demands:
        fits = tasks_within(_less(spare, given), demand.size)
        more = demand.size.times(min(fits or 0, demand.count))
        given = Amounts(given.cpus + more.cpus, given.gpus + more.gpus)
    return Amounts(*(0 if most == NO_LIMIT else one for one, most in zip(given, limit, strict=True)))
