"""The leader's record of the shares of team limits, so that no two controllers can overstep a limit together."""

from collections import deque
from collections.abc import Hashable, Mapping

from ramptide.state.amounts import NO_LIMIT, NOTHING, Amounts, TeamAmounts
from ramptide.team_limits.split_policy import SplitPolicy

__all__ = ["Offsets", "ShareAllocator"]

#: By how much transfers have moved each member's share, by member and team.
Offsets = Mapping[str, TeamAmounts]


class ShareAllocator:
    """The leader's record of what each member may use of each team's limit.

    A share is raised only by what is certainly free: a member counts with the largest share that it may still act on
    (all sent since the last one it acknowledged) or with what it uses, if that is more. Where members pass share to
    each other, `offsets` says by how much that has moved each of them away from the share that it was sent.
    """

    def __init__(self, limits: Mapping[str, Amounts], members: list[str]) -> None:
        self._limits = dict(limits)
        self._sent: dict[str, deque[tuple[int, TeamAmounts]]] = {member: deque([(0, {})]) for member in members}
        #: What the last split of a team rested on, where it changed nothing: the same again needs no work.
        self._settled: dict[str, Hashable] = {}

    def change_limits(self, limits: Mapping[str, Amounts]) -> None:
        """Split by these limits from now on; a team that is not named any more keeps the share that it was sent."""
        self._limits = dict(limits)

    def current(self, member: str) -> TeamAmounts:
        """Return the shares by team that the member was sent last."""
        return self._sent[member][-1][1]

    def most(self, member: str, team: str, offsets: Offsets) -> Amounts:
        """Return the largest share of a team that the member may still act on."""
        moved = offsets.get(member, {}).get(team, NOTHING)
        shares = [sent.get(team, NOTHING) for _, sent in self._sent[member]]
        return Amounts(
            max(share.cpus for share in shares) + moved.cpus,
            max(share.gpus for share in shares) + moved.gpus,
        )

    def acknowledged(self, member: str, sequence_number: int) -> None:
        """Note that the member acts on the shares of message `sequence_number` and on no older ones."""
        sent = self._sent[member]
        while len(sent) > 1 and sent[1][0] <= sequence_number:
            sent.popleft()

    def divide(
        self,
        sequence_number: int,
        usage: Mapping[str, TeamAmounts],
        policy: SplitPolicy,
        first: str,
        offsets: Offsets | None = None,
    ) -> dict[str, TeamAmounts]:
        """Return new shares for all members, to be sent with message `sequence_number`.

        `usage` holds each member's amounts by team; what the policy leaves of a limit goes to `first`.
        """
        moved = offsets or {}
        shares: dict[str, TeamAmounts] = {member: dict(self.current(member)) for member in self._sent}
        unacknowledged = tuple((len(sent), sent[0][0]) for sent in self._sent.values())
        for team, limit in self._limits.items():
            used = {member: usage.get(member, {}).get(team, NOTHING) for member in self._sent}
            shifts = {member: moved.get(member, {}).get(team, NOTHING) for member in self._sent}
            basis = (limit, tuple(used.values()), tuple(shifts.values()), unacknowledged, policy.basis(team))
            if self._settled.get(team) == basis:
                continue
            new_shares = self._divide_team(team, limit, used, policy, first, moved)
            unchanged = True
            for member, share in new_shares.items():
                sent_share = _share_to_send(limit, share, shifts[member])
                unchanged = unchanged and shares[member].get(team) == sent_share
                shares[member][team] = sent_share
            if unchanged:
                self._settled[team] = basis
        for member, new in shares.items():
            if new != self.current(member):
                self._sent[member].append((sequence_number, new))
        return shares

    def _divide_team(
        self,
        team: str,
        limit: Amounts,
        used: Mapping[str, Amounts],
        policy: SplitPolicy,
        first: str,
        offsets: Offsets,
    ) -> dict[str, Amounts]:
        """Return what each member may hold of one team's limit from now on."""
        targets = _within(limit, policy.targets(team, limit, used))
        most = {member: self.most(member, team, offsets) for member in self._sent}
        cpus, gpus = (
            _raise_safely(
                limit[side],
                {member: target[side] for member, target in targets.items()},
                {member: held[side] for member, held in most.items()},
                {member: amounts[side] for member, amounts in used.items()},
                first,
            )
            for side in (0, 1)
        )
        return {member: Amounts(cpus[member], gpus[member]) for member in self._sent}


def _within(limit: Amounts, targets: Mapping[str, Amounts]) -> dict[str, Amounts]:
    """Return the targets, lowered to the limit together where usage alone is above it, as after the limit fell."""
    total = Amounts(sum(target.cpus for target in targets.values()), sum(target.gpus for target in targets.values()))
    return {
        member: Amounts(
            _in_proportion(target.cpus, limit.cpus, total.cpus),
            _in_proportion(target.gpus, limit.gpus, total.gpus),
        )
        for member, target in targets.items()
    }


def _in_proportion(target: int, limit: int, total: int) -> int:
    return target * limit // total if total > limit else target


def _share_to_send(limit: Amounts, share: Amounts, shift: Amounts) -> Amounts:
    """Return the share to send to a member whose transfers have moved it away from what it was sent by `shift`."""
    return Amounts(
        NO_LIMIT if limit.cpus == NO_LIMIT else share.cpus - shift.cpus,
        NO_LIMIT if limit.gpus == NO_LIMIT else share.gpus - shift.gpus,
    )


def _raise_safely(
    limit: int, targets: Mapping[str, int], most: Mapping[str, int], used: Mapping[str, int], first: str
) -> dict[str, int]:
    """Return new shares of one resource: lowered at once, raised only by what nobody can hold.

    Until it has acknowledged a lower share, a member may hold the largest that it was sent, or what it uses. When that
    is more than the limit together, some of it is from before a transfer that we know of already: then no share is
    raised, not even to what its member was said to use.
    """
    held = {member: max(most[member], used[member]) for member in targets}
    wanted = dict(targets)
    wanted[first] += max(0, limit - sum(wanted.values()))
    free = limit - sum(held.values())
    if free < 0:
        return {member: min(wanted[member], most[member]) for member in wanted}
    new = {}
    for member in sorted(wanted, key=lambda name: (name == first, name)):
        raised = min(wanted[member], held[member] + free)
        free -= max(0, raised - held[member])
        new[member] = raised
    return new
