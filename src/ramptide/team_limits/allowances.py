"""Team limits, split among the controllers so that no two of them can overstep one together."""

from collections import deque
from collections.abc import Hashable, Mapping
from typing import Protocol

from ramptide.state.amounts import NO_LIMIT, NOTHING, Amounts, TeamAmounts

Offsets = Mapping[str, TeamAmounts]


class SplitPolicy(Protocol):
    """Decides how much of a team's limit each member should have."""

    def targets(self, team: str, limit: Amounts, using: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return what each member should have, given what each uses; together no more than the limit or the use."""

    def basis(self, team: str) -> Hashable:
        """Return all that the targets of a team rest on beside its limit and use."""


class ProportionalSplit:
    """Gives each member what it uses, and of the rest as large a part as it has of all that waits."""

    def __init__(self, waiting: Mapping[str, TeamAmounts]) -> None:
        self._waiting = waiting

    def targets(self, team: str, limit: Amounts, using: Mapping[str, Amounts]) -> dict[str, Amounts]:
        """Return the targets by member, each resource for itself."""
        sides = [self._side(team, side, limit[side], using) for side in (0, 1)]
        return {member: Amounts(sides[0][member], sides[1][member]) for member in using}

    def basis(self, team: str) -> Hashable:
        """Return what waits of the team, by member."""
        return tuple((member, waiting[team]) for member, waiting in self._waiting.items() if team in waiting)

    def _side(self, team: str, side: int, limit: int, using: Mapping[str, Amounts]) -> dict[str, int]:
        spare = max(0, limit - sum(used[side] for used in using.values()))
        waiting = {member: self._waiting.get(member, {}).get(team, NOTHING)[side] for member in using}
        wanted = sum(waiting.values())
        shard = min(spare, wanted)
        return {
            member: used[side] + (waiting[member] * shard // wanted if wanted > 0 else 0)
            for member, used in using.items()
        }


class ShareAllocator:
    """The leader's record of what each member may use of each team's limit.

    A grant is raised only by what is certainly free: a member counts with the largest grant that it may still act on
    (all sent since the last one it acknowledged) or with what it uses, if that is more. Where members pass share to
    each other, `offsets` says by how much that has moved each of them away from its grant.
    """

    def __init__(self, limits: Mapping[str, Amounts], members: list[str]) -> None:
        self._limits = dict(limits)
        self._sent: dict[str, deque[tuple[int, TeamAmounts]]] = {member: deque([(0, {})]) for member in members}
        #: What the last split of a team rested on, where it changed nothing: the same again needs no work.
        self._settled: dict[str, Hashable] = {}

    def change_limits(self, limits: Mapping[str, Amounts]) -> None:
        """Split by these limits from now on; a team that is not named any more keeps what it was granted last."""
        self._limits = dict(limits)

    def current(self, member: str) -> TeamAmounts:
        """Return the grants by team that the member was sent last."""
        return self._sent[member][-1][1]

    def most(self, member: str, team: str, offsets: Offsets) -> Amounts:
        """Return the largest share of a team that the member may still act on."""
        moved = offsets.get(member, {}).get(team, NOTHING)
        grants = [grants.get(team, NOTHING) for _, grants in self._sent[member]]
        return Amounts(max(one[0] for one in grants) + moved[0], max(one[1] for one in grants) + moved[1])

    def acknowledged(self, member: str, seq: int) -> None:
        """Note that the member acts on the grants of message `seq` and on no older ones."""
        sent = self._sent[member]
        while len(sent) > 1 and sent[1][0] <= seq:
            sent.popleft()

    def divide(
        self,
        seq: int,
        using: Mapping[str, TeamAmounts],
        policy: SplitPolicy,
        first: str,
        offsets: Offsets | None = None,
    ) -> dict[str, TeamAmounts]:
        """Return new grants for all members, to be sent with message `seq`.

        `using` holds each member's amounts by team; what the policy leaves of a limit goes to `first`.
        """
        moved = offsets or {}
        grants: dict[str, TeamAmounts] = {member: dict(self.current(member)) for member in self._sent}
        sent = tuple((len(grants), grants[0][0]) for grants in self._sent.values())
        for team, limit in self._limits.items():
            used = {member: using.get(member, {}).get(team, NOTHING) for member in self._sent}
            shifts = tuple(moved.get(member, {}).get(team, NOTHING) for member in self._sent)
            basis = (limit, tuple(used.values()), shifts, sent, policy.basis(team))
            if self._settled.get(team) == basis:
                continue
            targets = _within(limit, policy.targets(team, limit, used))
            most = {member: self.most(member, team, moved) for member in self._sent}
            sides = [
                _raise_safely(
                    limit[side],
                    {member: one[side] for member, one in targets.items()},
                    {member: one[side] for member, one in most.items()},
                    {member: one[side] for member, one in used.items()},
                    first,
                )
                for side in (0, 1)
            ]
            new_grants = {
                member: Amounts(
                    _grant(limit[0], sides[0][member], shift[0]), _grant(limit[1], sides[1][member], shift[1])
                )
                for member, shift in zip(self._sent, shifts, strict=True)
            }
            if all(grants[member].get(team) == one for member, one in new_grants.items()):
                self._settled[team] = basis
            for member, one in new_grants.items():
                grants[member][team] = one
        for member, new in grants.items():
            if new != self.current(member):
                self._sent[member].append((seq, new))
        return grants


def _within(limit: Amounts, targets: Mapping[str, Amounts]) -> dict[str, Amounts]:
    """Return the targets, lowered to the limit together where the use alone is above it, as after the limit fell."""
    total = Amounts(sum(one.cpus for one in targets.values()), sum(one.gpus for one in targets.values()))
    return {
        member: Amounts(
            *(
                one * most // whole if whole > most else one
                for one, most, whole in zip(target, limit, total, strict=True)
            )
        )
        for member, target in targets.items()
    }


def _grant(limit: int, share: int, shift: int) -> int:
    """Return the grant that amounts to a share, for a member whose transfers have moved it away by `shift`."""
    return NO_LIMIT if limit == NO_LIMIT else share - shift


def _raise_safely(
    limit: int, targets: Mapping[str, int], most: Mapping[str, int], used: Mapping[str, int], first: str
) -> dict[str, int]:
    """Return new shares of one resource: lowered at once, raised only by what nobody can hold.

    Until it has acknowledged a lower share, a member may hold the most that it was granted, or what it uses. When that
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
