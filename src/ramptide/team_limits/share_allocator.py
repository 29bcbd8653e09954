"""Allocates shares of team limits to members, so that controllers cannot exceed a limit together."""

from collections import deque
from collections.abc import Hashable, Mapping

from ramptide.state.amounts import NO_LIMIT, ZERO_AMOUNTS, Amounts, TeamAmounts
from ramptide.team_limits.split_policy import SplitPolicy

__all__ = ["Offsets", "ShareAllocator"]

#: The change of each member's share by transfers, by member and team.
Offsets = Mapping[str, TeamAmounts]


class ShareAllocator:
    """The leader's record of what each member may use of each team's limit.

    A share is raised only by what is certainly free: a member is assumed to hold the largest share that it may still
    act on (of the last one that it acknowledged and all sent since), or what it uses, if that is more. Where members
    transfer share to each other, `offsets` holds the difference between what each of them has and what it was sent.
    """

    def __init__(self, limits: Mapping[str, Amounts], members: list[str]) -> None:
        self._limits = dict(limits)
        self._sent: dict[str, deque[tuple[int, TeamAmounts]]] = {member: deque([(0, {})]) for member in members}
        #: The inputs of each team's last split, where it changed nothing: the same inputs need no new split.
        self._inputs_without_change: dict[str, Hashable] = {}

    def change_limits(self, limits: Mapping[str, Amounts]) -> None:
        """Split by these limits from now on; for teams without a limit, members keep the shares that they were sent."""
        self._limits = dict(limits)

    def last_sent(self, member: str) -> TeamAmounts:
        """Return the shares that the member was sent last, by team."""
        return self._sent[member][-1][1]

    def largest_share(self, member: str, team: str, offsets: Offsets) -> Amounts:
        """Return the largest share of a team that the member may still act on."""
        offset = offsets.get(member, {}).get(team, ZERO_AMOUNTS)
        shares = [sent.get(team, ZERO_AMOUNTS) for _, sent in self._sent[member]]
        return Amounts(
            max(share.cpus for share in shares) + offset.cpus,
            max(share.gpus for share in shares) + offset.gpus,
        )

    def record_acknowledgement(self, member: str, sequence_number: int) -> None:
        """Record that the member acts on the shares of message `sequence_number` and on no older ones."""
        sent = self._sent[member]
        while len(sent) > 1 and sent[1][0] <= sequence_number:
            sent.popleft()

    def divide(
        self,
        sequence_number: int,
        usage: Mapping[str, TeamAmounts],
        policy: SplitPolicy,
        remainder_member: str,
        offsets: Offsets | None = None,
    ) -> dict[str, TeamAmounts]:
        """Return new shares for all members, to be sent with message `sequence_number`.

        `usage` holds each member's amounts by team; `remainder_member` gets what the policy leaves of a limit.
        """
        offsets_by_member = offsets or {}
        shares: dict[str, TeamAmounts] = {member: dict(self.last_sent(member)) for member in self._sent}
        unacknowledged = tuple((len(sent), sent[0][0]) for sent in self._sent.values())
        for team, limit in self._limits.items():
            used = {member: usage.get(member, {}).get(team, ZERO_AMOUNTS) for member in self._sent}
            team_offsets = {member: offsets_by_member.get(member, {}).get(team, ZERO_AMOUNTS) for member in self._sent}
            inputs = (limit, tuple(used.values()), tuple(team_offsets.values()), unacknowledged, policy.basis(team))
            if self._inputs_without_change.get(team) == inputs:
                continue
            new_shares = self._divide_team(team, limit, used, policy, remainder_member, offsets_by_member)
            is_unchanged = True
            for member, share in new_shares.items():
                sent_share = _share_to_send(limit, share, team_offsets[member])
                is_unchanged = is_unchanged and shares[member].get(team) == sent_share
                shares[member][team] = sent_share
            if is_unchanged:
                self._inputs_without_change[team] = inputs
        for member, member_shares in shares.items():
            if member_shares != self.last_sent(member):
                self._sent[member].append((sequence_number, member_shares))
        return shares

    def _divide_team(
        self,
        team: str,
        limit: Amounts,
        used: Mapping[str, Amounts],
        policy: SplitPolicy,
        remainder_member: str,
        offsets: Offsets,
    ) -> dict[str, Amounts]:
        """Return the new share of each member in one team's limit, transfers included."""
        targets = _scale_to_limit(limit, policy.targets(team, limit, used))
        largest_shares = {member: self.largest_share(member, team, offsets) for member in self._sent}
        cpus, gpus = (
            _safe_shares(
                limit[resource],
                {member: target[resource] for member, target in targets.items()},
                {member: held[resource] for member, held in largest_shares.items()},
                {member: amounts[resource] for member, amounts in used.items()},
                remainder_member,
            )
            for resource in (0, 1)
        )
        return {member: Amounts(cpus[member], gpus[member]) for member in self._sent}


def _scale_to_limit(limit: Amounts, targets: Mapping[str, Amounts]) -> dict[str, Amounts]:
    """Return the targets, scaled down where their sum is above the limit, as usage can be after the limit fell."""
    total = Amounts(sum(target.cpus for target in targets.values()), sum(target.gpus for target in targets.values()))
    return {
        member: Amounts(
            _scale(target.cpus, limit.cpus, total.cpus),
            _scale(target.gpus, limit.gpus, total.gpus),
        )
        for member, target in targets.items()
    }


def _scale(target: int, limit: int, total: int) -> int:
    return target * limit // total if total > limit else target


def _share_to_send(limit: Amounts, share: Amounts, offset: Amounts) -> Amounts:
    """Return the share to send to a member that has `offset` more than it was sent, because of transfers."""
    return Amounts(
        NO_LIMIT if limit.cpus == NO_LIMIT else share.cpus - offset.cpus,
        NO_LIMIT if limit.gpus == NO_LIMIT else share.gpus - offset.gpus,
    )


def _safe_shares(
    limit: int,
    targets: Mapping[str, int],
    largest_shares: Mapping[str, int],
    used: Mapping[str, int],
    remainder_member: str,
) -> dict[str, int]:
    """Return new shares of one resource: lowered at once, but raised only by what no member can hold.

    Until a member has acknowledged a lower share, it may hold the largest one that it was sent, or what it uses. When
    the sum of these is above the limit, some of the figures are older than a transfer that the leader already knows:
    then no share is raised, not even to the usage that its member reported.
    """
    held = {member: max(largest_shares[member], used[member]) for member in targets}
    wanted = dict(targets)
    wanted[remainder_member] += max(0, limit - sum(wanted.values()))
    free = limit - sum(held.values())
    if free < 0:
        return {member: min(wanted[member], largest_shares[member]) for member in wanted}
    new_shares = {}
    for member in sorted(wanted, key=lambda name: (name == remainder_member, name)):
        raised = min(wanted[member], held[member] + free)
        free -= max(0, raised - held[member])
        new_shares[member] = raised
    return new_shares
