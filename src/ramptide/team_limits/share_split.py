"""Recomputes the leader's split of the team limits at intervals, and sends it to the members."""

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

#: The minimum time between two splits.
SPLIT_INTERVAL = timedelta(milliseconds=150)
AT_ONCE = timedelta(0)


class SplitState(Protocol):
    """The fields of the controller's state that the split reads."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def reconciled(self) -> bool:
        """Whether all tasks that earlier views may have left on machines are known."""


class ShareTransfers(Protocol):
    """The quota feature, which knows the transfers between members and the sizes of waiting tasks."""

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return the change of each member's share by transfers."""

    def split_policy(self) -> SplitPolicy | None:
        """Return the policy of the split; None while some member does not send the sizes of its tasks."""


class ShareSplit:
    """Splits the limits among the members of a view, as its leader.

    Parameters
    ----------
    may_start_job
        Returns whether a job's tasks may be started by this controller.
    on_own_share
        Called with this controller's own shares after each split.
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
        # The last split, and the jobs that it counts as handed over to this controller: always sent together.
        self._shares: dict[str, TeamAmounts] = {}
        self.handovers_taken: list[str] = []
        self._split_at = timedelta(0)

    def on_new_view(self, view: View | None) -> None:
        """Reset the split for a new view; `view` is None when this controller has no place in it."""
        self._shares, self.handovers_taken = {}, []
        self._allocator = ShareAllocator(self._state.limits, sorted(view.members)) if view is not None else None

    def share_of(self, member: str) -> TeamAmounts | None:
        """Return the shares of a member in the last split; None before the first one."""
        return self._shares.get(member)

    def record_acknowledgement(self, member: str, sequence_number: int) -> None:
        """Record that a member acts on the shares of this controller's message `sequence_number`."""
        if self._allocator is not None and sequence_number:
            self._allocator.record_acknowledgement(member, sequence_number)

    def apply_limits(self) -> None:
        """Split by the current limits of the controller's state from now on."""
        if self._allocator is not None:
            self._allocator.change_limits(self._state.limits)

    def is_within(self, team: str, limit: Amounts) -> bool:
        """Return whether the sum of the shares that members may still act on is within a limit."""
        if self._allocator is None or not self._shares:
            return False
        offsets = self._quota.offsets() if self._quota is not None else {}
        held_shares = [self._allocator.largest_share(member, team, offsets) for member in self._shares]
        return all(
            resource_limit == NO_LIMIT or sum(share[resource] for share in held_shares) <= resource_limit
            for resource, resource_limit in enumerate(limit)
        )

    def update(self, scheduler: JobScheduler, view: View, now: timedelta) -> None:
        """As leader, split the limits anew, and schedule messages at once to the controllers whose shares change."""
        if not self._leadership.is_leading or now - self._split_at < SPLIT_INTERVAL:
            return
        self._split_at = now
        self.handovers_taken = self._find_counted_handovers(scheduler, view)
        previous, self._shares = self._shares, self._divide(scheduler, view, now)
        for name, shares in self._shares.items():
            if name in self._peers.by_name and shares != previous.get(name):
                self._peers.send_within(self._peers.by_name[name], AT_ONCE)

    def _find_counted_handovers(self, scheduler: JobScheduler, view: View) -> list[str]:
        """Return the jobs that were handed over to this controller and whose usage it counts now.

        Only jobs that the last message of their former scheduler shows as handed over are included: in an older message
        the former scheduler counts them as its own, and the shares sent with this list would cover them twice.
        """
        job_ids = []
        for job_state in scheduler.jobs.values():
            handover = job_state.job.record.handover
            if handover is not None and handover.view == view.number:
                message = self._peers.last_message(handover.member)
                job_id = job_state.job.job_id
                if message is not None and job_id in message.usage_in_transfer and self._may_start_job(job_state):
                    job_ids.append(job_id)
        return job_ids

    def _divide(self, scheduler: JobScheduler, view: View, now: timedelta) -> dict[str, TeamAmounts]:
        """Return the split; empty until every member is reconciled."""
        others = self._reconciled_messages(view)
        if others is None or self._allocator is None:
            return {}
        usage = {self._state.member: scheduler.usage()} | {
            message.member: self._usage_of(message) for message in others
        }
        offsets = self._quota.offsets() if self._quota is not None else None
        # The shares are sent from the next message on: no message with its sequence number has been sent yet.
        shares = self._allocator.divide(
            scheduler.sequence_number + 1, usage, self._policy(scheduler, others, now), self._state.member, offsets
        )
        self._allocator.record_acknowledgement(self._state.member, scheduler.sequence_number + 1)
        self._on_own_share(shares[self._state.member])
        return shares

    def _reconciled_messages(self, view: View) -> list[PeerMessage] | None:
        """Return the last message of each other member; None until all members, this one included, are reconciled."""
        if not self._state.reconciled:
            return None
        messages = []
        for member in view.members:
            if member == self._state.member:
                continue
            message = self._peers.last_message(member)
            if message is None or not message.reconciled:
                return None
            messages.append(message)
        return messages

    def _usage_of(self, message: PeerMessage) -> TeamAmounts:
        """Return what a member uses, with the usage of the jobs that it handed over and no other member counts yet."""
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
