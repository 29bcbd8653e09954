"""The leader's split of the team limits: when it is worked out anew, from what, and what is sent with it."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Protocol

from ramptide.cluster.messages import PeerMessage
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.own_demand import own_demand
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.state.amounts import NO_LIMIT, Amounts, TeamAmounts, add_amounts, usage_from_wire
from ramptide.team_limits.share_allocator import ShareAllocator
from ramptide.team_limits.split_policy import ProportionalSplit, SplitPolicy

__all__ = ["ShareSplit"]

#: The split is worked out anew so often at most.
SPLIT_INTERVAL = timedelta(milliseconds=150)
AT_ONCE = timedelta(0)


class SplitState(Protocol):
    """What the split reads of the controller's state."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""


class ShareTransfers(Protocol):
    """The quota feature, which knows what members have passed on to each other and what sizes of tasks wait."""

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return by how much transfers have moved each member's share."""

    def split_policy(self) -> SplitPolicy | None:
        """Return how to split; None while some member does not send the sizes of its tasks."""


class ShareSplit:
    """Splits the limits among the members of a view, as its leader.

    Parameters
    ----------
    may_start_job
        Tells whether a job's tasks may be started here.
    on_own_share
        Gets this controller's own shares after each split.
    quota
        None where the quota feature is off.
    """

    def __init__(
        self,
        state: SplitState,
        leadership: LeadershipInfo,
        peers: Peers,
        may_start_job: Callable[[JobState], bool],
        on_own_share: Callable[[TeamAmounts], None],
        quota: ShareTransfers | None,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._peers = peers
        self._may_start_job = may_start_job
        self._on_own_share = on_own_share
        self._quota = quota
        self._allocator: ShareAllocator | None = None
        # The last split, and the jobs that it takes as taken over by us: always sent together.
        self._shares: dict[str, TeamAmounts] = {}
        self.handovers_taken: list[str] = []
        self._split_at = timedelta(0)

    def new_view(self, view: View | None) -> None:
        """Start anew; `view` is None when we have no place in it."""
        self._shares, self.handovers_taken = {}, []
        self._allocator = ShareAllocator(self._state.limits, sorted(view.members)) if view is not None else None

    def share_of(self, member: str) -> TeamAmounts | None:
        """Return what the last split gives a member; None before the first one."""
        return self._shares.get(member)

    def acknowledged(self, member: str, sequence_number: int) -> None:
        """Note that a member acts on the shares of our message `sequence_number`."""
        if self._allocator is not None and sequence_number:
            self._allocator.acknowledged(member, sequence_number)

    def limits_changed(self) -> None:
        """Split by the controller's limits as they are now."""
        if self._allocator is not None:
            self._allocator.change_limits(self._state.limits)

    def within(self, team: str, limit: Amounts) -> bool:
        """Tell whether the shares that members may still act on are together within a limit."""
        if self._allocator is None or not self._shares:
            return False
        offsets = self._quota.offsets() if self._quota is not None else {}
        held = [self._allocator.most(member, team, offsets) for member in self._shares]
        return all(
            most == NO_LIMIT or sum(amounts[side] for amounts in held) <= most for side, most in enumerate(limit)
        )

    def update(self, scheduler: JobScheduler, view: View, now: timedelta) -> None:
        """As leader, split the limits anew; controllers whose share changes hear at once."""
        if not self._leadership.is_leading or now - self._split_at < SPLIT_INTERVAL:
            return
        self._split_at = now
        self.handovers_taken = self._taken_over(scheduler, view)
        before, self._shares = self._shares, self._divide(scheduler, view, now)
        for name, new in self._shares.items():
            if name in self._peers.by_name and new != before.get(name):
                self._peers.send_within(self._peers.by_name[name], AT_ONCE)

    def _taken_over(self, scheduler: JobScheduler, view: View) -> list[str]:
        """Return jobs that were handed over to us and whose tasks we count now.

        Only those that their former scheduler's last message shows as handed over: in an older message it counts them
        among its own, and the share sent with this would cover them twice.
        """
        found = []
        for job_state in scheduler.jobs.values():
            handover = job_state.job.record.handover
            if handover is not None and handover.view == view.number:
                message = self._peers.last_message(handover.member)
                job_id = job_state.job.job_id
                if message is not None and job_id in message.usage_in_transfer and self._may_start_job(job_state):
                    found.append(job_id)
        return found

    def _divide(self, scheduler: JobScheduler, view: View, now: timedelta) -> dict[str, TeamAmounts]:
        """Return the split; empty until every member has all information."""
        others = self._messages(view)
        if others is None or self._allocator is None:
            return {}
        usage = {self._state.member: scheduler.usage()} | {
            message.member: self._usage_of(message) for message in others
        }
        offsets = self._quota.offsets() if self._quota is not None else None
        # Sent with the messages from the next one on: none that bears its number has left yet.
        shares = self._allocator.divide(
            scheduler.sequence_number + 1, usage, self._policy(scheduler, others, now), self._state.member, offsets
        )
        self._allocator.acknowledged(self._state.member, scheduler.sequence_number + 1)
        self._on_own_share(shares[self._state.member])
        return shares

    def _messages(self, view: View) -> list[PeerMessage] | None:
        """Return the last message of each other member; None while one of them, or we, lacks information."""
        if not self._state.reconciled:
            return None
        found = []
        for member in view.members:
            if member == self._state.member:
                continue
            message = self._peers.last_message(member)
            if message is None or not message.reconciled:
                return None
            found.append(message)
        return found

    def _usage_of(self, message: PeerMessage) -> TeamAmounts:
        """Return what a member uses, with what it handed over and nobody else counts yet."""
        usage = usage_from_wire(message.usage)
        for job_id, held in message.usage_in_transfer.items():
            for team, amounts in usage_from_wire(held).items() if job_id not in self.handovers_taken else ():
                add_amounts(usage, team, amounts)
        return usage

    def _policy(self, scheduler: JobScheduler, others: list[PeerMessage], now: timedelta) -> SplitPolicy:
        policy = self._quota.split_policy() if self._quota is not None else None
        if policy is not None:
            return policy
        demand = {self._state.member: own_demand(scheduler, now)}
        return ProportionalSplit(demand | {message.member: usage_from_wire(message.demand) for message in others})
