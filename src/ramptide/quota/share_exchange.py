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
from ramptide.quota.messages import VERSION, Demands, QuotaMessage, QuotaMessageError, decode
from ramptide.quota.share_waits import ShareWaits
from ramptide.quota.task_demands import difference, missing_share, waiting_demands, whole_tasks_within
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.victims import within_guarantee
from ramptide.state.amounts import NOTHING, Amounts, TeamAmounts, amounts_of, tasks_within
from ramptide.state.jobs import Job
from ramptide.team_limits.cluster_usage import ClusterUsage

__all__ = ["QuotaExchange"]

log = logging.getLogger(__name__)

AT_ONCE = timedelta(0)
#: So many jobs are sent that wait for room within a guarantee, each for so long: it may never find any.
MAX_CLAIMS_SENT = 8
CLAIM_TIMEOUT = timedelta(seconds=10)


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
        self._last_messages: dict[str, QuotaMessage] = {}
        self._waiting: Demands = {}
        self._short: Demands = {}
        self._claims: list[str] = []
        self._team_usage: TeamAmounts = {}

    def new_view(self, view: View | None) -> None:
        """Start with an empty ledger; `view` is None when we have no place in it."""
        self._view = view
        self._ledger = Ledger(self._members(), self._state.limits)
        self._book = AccountBook()
        self._changed = ChangeLog()
        self._last_messages = {}
        self._waiting, self._short = {}, {}
        self.waits.forget()

    # What the rest of the controller asks.

    def permits(self, shares: TeamAmounts) -> TeamAmounts:
        """Return what we may use of each limit, given the shares that the leader sent."""
        changed = {team: self._ledger.permit(team, shares[team]) for team in self._ledger.moved() if team in shares}
        return {**shares, **changed}

    def missing(self) -> list[str]:
        """Return the other members that have not sent a message of the feature in this view."""
        return [name for name in self._members() if name not in self._last_messages]

    @property
    def ready(self) -> bool:
        """Whether every member of the view takes part: else the leader could not count what was passed on."""
        return self._view is not None and not self.missing()

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return by how much transfers have moved each member's share, as the leader knows."""
        return self._book.offsets()

    def split_policy(self) -> FittingSplit | None:
        """Return the leader's split in whole tasks; None while some member does not send the sizes of its tasks."""
        if not self.ready:
            return None
        waiting = {name: message.waiting for name, message in self._last_messages.items()}
        return FittingSplit(waiting | {self._state.member: self._waiting})

    def within_guarantee(self, spec: JobSpec) -> bool:
        """Tell whether a task more of the job lies within its team's guarantee, over all controllers."""
        return within_guarantee(spec, self._team_usage, self._state.guarantees)

    def unclaimed(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the job may take although its team is beyond its guarantee.

        What would fit a job of another controller that waits within its guarantee is left to that, if its priority is
        no lower.
        """
        claimants = [job_id for message in self._last_messages.values() for job_id in message.claims]
        claiming_specs = [job.spec for job_id in claimants if (job := self._state.jobs.get(job_id))]
        claims = [
            claim
            for claim in claiming_specs
            if PRIORITIES.index(claim.priority) >= PRIORITIES.index(spec.priority) and claim.team != spec.team
        ]
        if not claims or self.within_guarantee(spec):
            return rooms
        return [room for room in rooms if not any(admits(claim, room) and room.fits(claim) for claim in claims)]

    def _claiming_jobs(self, scheduler: JobScheduler, now: timedelta) -> list[str]:
        """Return our jobs that wait within a guarantee; one that was not tried in this view yet is among them."""
        found = []
        for job_state in scheduler.with_pending_tasks.values():
            tried = job_state.waiting_since
            recent = tried is None or now - tried < CLAIM_TIMEOUT
            startable = recent and job_state.startable and job_state.retry_at <= now
            if startable and self.within_guarantee(job_state.job.spec):
                found.append(job_state.job.job_id)
                if len(found) >= MAX_CLAIMS_SENT:
                    break
        return found

    def waits_for_limit(self, job_state: JobState, usage: TeamAmounts) -> bool:
        """Tell whether it is the share of its team's limit, and not room, that keeps a job from starting."""
        spec = job_state.job.spec
        share = self._state.quota_shares.get(spec.team, NOTHING)
        return task_headroom(spec, usage.get(spec.team, NOTHING), share, self._state.limits) == 0

    # The round.

    def review(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Work out what waits and what we are short of, pass on what others are short of, and ask for ours."""
        held = scheduler.usage_with_transfers()
        teams = {job_state.job.spec.team for job_state in scheduler.with_pending_tasks.values()}
        self._team_usage = self._cluster_usage.usage_of(teams)
        self._waiting = waiting_demands(scheduler, self._state.limits, now)
        before, self._short = self._short, self._missing_share(held)
        self._claims = self._claiming_jobs(scheduler, now)
        self.waits.review(self._waiting_for_share(scheduler, held, now), now)
        if not self._state.reconciled or not self.ready:
            return
        for name in self._last_messages:
            self._give_to(name, held)
        if any(team not in before for team in self._short):
            for name in self._members():
                self._peers.send_within(self._peers.by_name[name], AT_ONCE)

    def _members(self) -> list[str]:
        return [name for name in self._view.members if name != self._state.member] if self._view is not None else []

    def _missing_share(self, held: TeamAmounts) -> Demands:
        """Return the waiting tasks that our share does not cover, by team."""
        missing = {team: missing_share(demands, self._available(team, held)) for team, demands in self._waiting.items()}
        return {team: demands for team, demands in missing.items() if demands}

    def _available(self, team: str, held: TeamAmounts) -> Amounts:
        """Return what of our share is not used."""
        return difference(self._state.quota_shares.get(team, NOTHING), held.get(team, NOTHING))

    def _waiting_for_share(self, scheduler: JobScheduler, held: TeamAmounts, now: timedelta) -> set[str]:
        """Return the jobs of which no task starts for want of share, although their team's limit has room for one."""
        found = set()
        for job_state in scheduler.with_pending_tasks.values():
            spec = job_state.job.spec
            if spec.team not in self._short or job_state.retry_at > now or not job_state.startable:
                continue
            room = difference(self._state.limits[spec.team], self._team_usage.get(spec.team, NOTHING))
            if tasks_within(room, amounts_of(spec)) and self.waits_for_limit(job_state, held):
                found.add(job_state.job.job_id)
        return found

    # Giving and taking.

    def _give_to(self, receiver: str, held: TeamAmounts) -> None:
        """Pass on what a member is short of and we neither use nor need, in sizes of its tasks."""
        for team, demands in self._last_messages[receiver].short.items():
            if team not in self._state.quota_shares or self._ledger.awaits(receiver, team):
                # Its message may be from before it took what is under way.
                continue
            spare = self._available(team, held)
            for own in self._waiting.get(team, ()):
                spare = difference(spare, own.size.times(own.count))
            given = whole_tasks_within(demands, spare, self._state.limits[team])
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
        """Return the message for another controller; None when it is not a member of our view."""
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
        """Take the message of another member; one that can't be taken is refused as a whole, counted and logged."""
        if message.quota is None:
            return
        try:
            quota_message = decode(message.quota)
            self._check_sender(quota_message, message)
            confirmed = self._ledger.confirm(quota_message.sender, quota_message.confirmed)
            taken = self._ledger.take(quota_message.sender, quota_message.transfers)
        except QuotaMessageError as error:
            self.counters["refused"] += 1
            log.error("quota message refused: member=%s error=%r", message.member, str(error))
            return
        self._last_messages[quota_message.sender] = quota_message
        self._book.take(quota_message.sender, quota_message.accounts)
        if confirmed or taken:
            scheduler.needs_round = True
        if taken:
            self.counters["taken"] += len(taken)
            self._balance_changed([row.team for row in taken])

    def _check_sender(self, quota_message: QuotaMessage, message: PeerMessage) -> None:
        view = self._view
        if view is None or quota_message.view != view.number:
            raise QuotaMessageError(f"it is of view {quota_message.view}")
        if (
            quota_message.sender != message.member
            or view.members.get(quota_message.sender) != quota_message.incarnation
        ):
            raise QuotaMessageError(
                f"{quota_message.sender} as {quota_message.incarnation} is no member of view {view.number}"
            )
        if quota_message.sender == self._state.member or quota_message.receiver != self._state.member:
            raise QuotaMessageError(f"it is of {quota_message.sender} for {quota_message.receiver}")

    # For operators.

    def in_transfer(self, team: str) -> Amounts:
        """Return what we have deducted for others and nobody counts yet."""
        return self._ledger.in_transfer(team)
