"""Passes spare share of team limits to members that need more than the leader's split gives them."""

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
from ramptide.quota.messages import VERSION, Demands, QuotaMessage, QuotaMessageError, decode_quota_message
from ramptide.quota.share_waits import ShareWaits
from ramptide.quota.task_demands import subtract, uncovered_demands, waiting_demands, whole_tasks_within
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.victims import is_within_guarantee
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, TeamAmounts, amounts_of, tasks_within
from ramptide.state.jobs import Job
from ramptide.team_limits.cluster_usage import ClusterUsage

__all__ = ["QuotaExchange"]

log = logging.getLogger(__name__)

AT_ONCE = timedelta(0)
#: Limits the jobs that are sent as claims, which wait for room within a guarantee.
MAX_CLAIMS_SENT = 8
#: A claim is sent for no longer than this after its job began to wait, as the job may never find room.
CLAIM_TIMEOUT = timedelta(seconds=10)


class ExchangeState(Protocol):
    """The part of the controller's state that the exchange reads."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that have not ended."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def guarantees(self) -> TeamAmounts:
        """The guarantees of the teams that have one."""

    @property
    def quota_shares(self) -> TeamAmounts:
        """The share of each limit that this controller may use."""

    @property
    def reconciled(self) -> bool:
        """Whether the tasks that earlier views left on machines are known for all machines."""

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that this controller schedules; raises while it is not a member of the view."""


class ProcessIdentity(Protocol):
    """The incarnation of this process."""

    @property
    def incarnation(self) -> str:
        """The name under which this process is a member of views."""


class QuotaExchange:
    """The quota feature of one controller: its ledger, the share that it needs, and the share that it passes on.

    Parameters
    ----------
    cluster_usage
        The amounts that teams use over all controllers.
    on_balance_changed
        Called when a transfer has changed the share that this controller may use.
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
        self._account_book = AccountBook()
        #: Teams whose account changed, for the messages to the leader.
        self._changed_accounts: ChangeLog[str] = ChangeLog()
        #: The last quota message of each other member in this view.
        self._last_messages: dict[str, QuotaMessage] = {}
        self._waiting: Demands = {}
        self._uncovered: Demands = {}
        self._claims: list[str] = []
        self._team_usage: TeamAmounts = {}

    def on_new_view(self, view: View | None) -> None:
        """Start a view with an empty ledger; `view` is None when this controller is not a member of it."""
        self._view = view
        self._ledger = Ledger(self._other_members(), self._state.limits)
        self._account_book = AccountBook()
        self._changed_accounts = ChangeLog()
        self._last_messages = {}
        self._waiting, self._uncovered = {}, {}
        self.waits.discard_current()

    def permitted_shares(self, shares: TeamAmounts) -> TeamAmounts:
        """Return the share of each limit that this controller may use, given the shares that the leader sent."""
        changed = {
            team: self._ledger.permitted_share(team, shares[team])
            for team in self._ledger.teams_with_transfers()
            if team in shares
        }
        return {**shares, **changed}

    def members_without_feature(self) -> list[str]:
        """Return the other members that have sent no quota message in this view."""
        return [name for name in self._other_members() if name not in self._last_messages]

    @property
    def is_ready(self) -> bool:
        """Whether every member of the view takes part; otherwise the leader could not count transfers."""
        return self._view is not None and not self.members_without_feature()

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return how much transfers have changed each member's share, as far as the leader knows."""
        return self._account_book.offsets()

    def split_policy(self) -> FittingSplit | None:
        """Return the split in whole tasks; None while some member does not send the sizes of its waiting tasks."""
        if not self.is_ready:
            return None
        waiting = {name: message.waiting for name, message in self._last_messages.items()}
        return FittingSplit(waiting | {self._state.member: self._waiting})

    def is_within_guarantee(self, spec: JobSpec) -> bool:
        """Return whether one more task of the job keeps its team within its guarantee, over all controllers."""
        return is_within_guarantee(spec, self._team_usage, self._state.guarantees)

    def unclaimed_rooms(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the job may use beside the claims of other controllers.

        A job beyond its team's guarantee leaves out each room that fits a claiming job of another team whose priority
        is no lower: those jobs wait at other controllers within their teams' guarantees.
        """
        claiming_job_ids = [job_id for message in self._last_messages.values() for job_id in message.claims]
        claiming_specs = [job.spec for job_id in claiming_job_ids if (job := self._state.jobs.get(job_id))]
        claims = [
            claim
            for claim in claiming_specs
            if PRIORITIES.index(claim.priority) >= PRIORITIES.index(spec.priority) and claim.team != spec.team
        ]
        if not claims or self.is_within_guarantee(spec):
            return rooms
        return [
            room
            for room in rooms
            if not any(admits(claim, room) and room.count_fitting_tasks(claim) for claim in claims)
        ]

    def _claiming_jobs(self, scheduler: JobScheduler, now: timedelta) -> list[str]:
        """Return the scheduler's jobs that wait within a guarantee, with those that were not tried in this view yet."""
        job_ids = []
        for job_state in scheduler.jobs_with_pending_tasks.values():
            wait_started_at = job_state.waiting_since
            is_recent = wait_started_at is None or now - wait_started_at < CLAIM_TIMEOUT
            is_startable = is_recent and job_state.startable and job_state.retry_at <= now
            if is_startable and self.is_within_guarantee(job_state.job.spec):
                job_ids.append(job_state.job.job_id)
                if len(job_ids) >= MAX_CLAIMS_SENT:
                    break
        return job_ids

    def is_waiting_for_limit(self, job_state: JobState, usage: TeamAmounts) -> bool:
        """Return whether share, not room, keeps a job from starting: the share of its team's limit covers no task."""
        spec = job_state.job.spec
        share = self._state.quota_shares.get(spec.team, ZERO_AMOUNTS)
        return task_headroom(spec, usage.get(spec.team, ZERO_AMOUNTS), share, self._state.limits) == 0

    def run_round(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Update the waiting tasks and what the local share does not cover; pass on spare share and ask for more."""
        usage = scheduler.usage_with_transfers()
        teams = {job_state.job.spec.team for job_state in scheduler.jobs_with_pending_tasks.values()}
        self._team_usage = self._cluster_usage.usage_of(teams)
        self._waiting = waiting_demands(scheduler, self._state.limits, now)
        uncovered_before, self._uncovered = self._uncovered, self._find_uncovered(usage)
        self._claims = self._claiming_jobs(scheduler, now)
        self.waits.update(self._jobs_waiting_for_share(scheduler, usage, now), now)
        if not self._state.reconciled or not self.is_ready:
            return
        for name in self._last_messages:
            self._pass_share_to(name, usage)
        if any(team not in uncovered_before for team in self._uncovered):
            for name in self._other_members():
                self._peers.send_within(self._peers.by_name[name], AT_ONCE)

    def _other_members(self) -> list[str]:
        return [name for name in self._view.members if name != self._state.member] if self._view is not None else []

    def _find_uncovered(self, usage: TeamAmounts) -> Demands:
        """Return the waiting tasks that this controller's share does not cover, by team."""
        uncovered = {
            team: uncovered_demands(demands, self._unused_share(team, usage)) for team, demands in self._waiting.items()
        }
        return {team: demands for team, demands in uncovered.items() if demands}

    def _unused_share(self, team: str, usage: TeamAmounts) -> Amounts:
        """Return the unused part of this controller's share."""
        return subtract(self._state.quota_shares.get(team, ZERO_AMOUNTS), usage.get(team, ZERO_AMOUNTS))

    def _jobs_waiting_for_share(self, scheduler: JobScheduler, usage: TeamAmounts, now: timedelta) -> set[str]:
        """Return the jobs whose tasks wait only for share, as their team's limit has room for one of them."""
        job_ids = set()
        for job_state in scheduler.jobs_with_pending_tasks.values():
            spec = job_state.job.spec
            if spec.team not in self._uncovered or job_state.retry_at > now or not job_state.startable:
                continue
            room = subtract(self._state.limits[spec.team], self._team_usage.get(spec.team, ZERO_AMOUNTS))
            if tasks_within(room, amounts_of(spec)) and self.is_waiting_for_limit(job_state, usage):
                job_ids.add(job_state.job.job_id)
        return job_ids

    def _pass_share_to(self, receiver: str, usage: TeamAmounts) -> None:
        """Pass share that this controller neither uses nor needs to a member, for whole tasks that lack share there."""
        for team, demands in self._last_messages[receiver].short.items():
            if team not in self._state.quota_shares or self._ledger.has_unconfirmed(receiver, team):
                # The receiver's message may be older than its receipt of the unconfirmed transfer.
                continue
            spare = self._unused_share(team, usage)
            for own in self._waiting.get(team, ()):
                spare = subtract(spare, own.size.times(own.count))
            amounts = whole_tasks_within(demands, spare, self._state.limits[team])
            if any(amounts):
                self._ledger.issue_transfer(receiver, team, amounts, spare)
                self.counters["given"] += 1
                self._record_balance_change([team])
                self._peers.send_within(self._peers.by_name[receiver], AT_ONCE)

    def _record_balance_change(self, teams: list[str]) -> None:
        """Record that transfers of these teams were sent or received, for the leader and the local share."""
        scheduler = self._state.require_scheduler()
        for team in teams:
            self._changed_accounts.record_change(team, scheduler.sequence_number + 1)
        self._account_book.apply_account(self._state.member, self._ledger.account_rows(teams))
        self._on_balance_changed()

    def message_for(self, peer: Peer) -> QuotaMessage | None:
        """Return the quota message for another controller; None when it is not a member of the local view."""
        view = self._view
        if view is None or peer.name not in view.members:
            return None
        is_leader = peer.name == view.leader
        return QuotaMessage(
            version=VERSION,
            view=view.number,
            sender=self._state.member,
            incarnation=self._identity.incarnation,
            receiver=peer.name,
            confirmed=self._ledger.last_received(peer.name),
            transfers=self._ledger.rows_to_send(peer.name),
            short=self._uncovered,
            claims=self._claims,
            waiting=self._waiting if is_leader else {},
            accounts=self._ledger.account_rows(self._changed_accounts.since(peer.acknowledged)) if is_leader else [],
        )

    def apply_message(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        """Apply the quota message of another member; an invalid one is refused as a whole, counted and logged."""
        if message.quota is None:
            return
        try:
            quota_message = decode_quota_message(message.quota)
            self._check_sender(quota_message, message)
            confirmed = self._ledger.confirm(quota_message.sender, quota_message.confirmed)
            received = self._ledger.receive_transfers(quota_message.sender, quota_message.transfers)
        except QuotaMessageError as error:
            self.counters["refused"] += 1
            log.error("quota message refused: member=%s error=%r", message.member, str(error))
            return
        self._last_messages[quota_message.sender] = quota_message
        self._account_book.apply_account(quota_message.sender, quota_message.accounts)
        if confirmed or received:
            scheduler.needs_round = True
        if received:
            self.counters["taken"] += len(received)
            self._record_balance_change([row.team for row in received])

    def _check_sender(self, quota_message: QuotaMessage, message: PeerMessage) -> None:
        view = self._view
        if view is None or quota_message.view != view.number:
            raise QuotaMessageError(f"the message belongs to view {quota_message.view}, not to the current view")
        if (
            quota_message.sender != message.member
            or view.members.get(quota_message.sender) != quota_message.incarnation
        ):
            raise QuotaMessageError(
                f"{quota_message.sender} as {quota_message.incarnation} is not a member of view {view.number}"
            )
        if quota_message.sender == self._state.member or quota_message.receiver != self._state.member:
            raise QuotaMessageError(
                f"sender {quota_message.sender} and receiver {quota_message.receiver} do not match the local member"
            )

    def in_transfer(self, team: str) -> Amounts:
        """Return the share of a team that this controller has passed on and no receiver has confirmed."""
        return self._ledger.in_transfer(team)
