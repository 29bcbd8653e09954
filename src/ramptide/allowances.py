"""Team limits, split among the controllers so that no two of them can overstep one together."""

from collections import deque
from collections.abc import Mapping

from ramptide import wire

Amounts = tuple[float, float]
Grants = dict[str, Amounts]
NOTHING: Amounts = (0.0, 0.0)
NO_LIMIT = float("inf")


def add_amounts(total: Grants, team: str, cores: float, cards: float) -> None:
    """Add amounts of cores and cards (GPUs) to a team's entry in `total`, which is changed in place."""
    before = total.get(team, NOTHING)
    total[team] = (before[0] + cores, before[1] + cards)


def limits_of(team: wire.Team) -> Amounts:
    """Return the team's limits on cores and cards, each `NO_LIMIT` where the settings give none."""
    return (team.cpus_max or NO_LIMIT, team.gpus_max or NO_LIMIT)


def limited(team: wire.Team | None) -> bool:
    """Tell whether the team has a limit on cores or cards; an unknown team (None) has none."""
    return team is not None and bool(team.cpus_max or team.gpus_max)


class Allowances:
    """The leader's record of what each member may use of each team's limit.

    A grant is raised only by what is certainly free: a member counts with the largest grant that it may still act on
    (all sent since the last one it acknowledged) or with what it uses, if that is more.
    """

    def __init__(self, teams: Mapping[str, wire.Team], members: list[str]) -> None:
        self._limits = {name: limits_of(team) for name, team in teams.items() if limited(team)}
        self._sent: dict[str, deque[tuple[int, Grants]]] = {member: deque([(0, {})]) for member in members}

    def current(self, member: str) -> Grants:
        """Return the grants by team that the member was sent last."""
        return self._sent[member][-1][1]

    def acknowledged(self, member: str, seq: int) -> None:
        """Note that the member acts on the grants of message `seq` and on no older ones."""
        sent = self._sent[member]
        while len(sent) > 1 and sent[1][0] <= seq:
            sent.popleft()

    def divide(
        self, seq: int, using: Mapping[str, Grants], waiting: Mapping[str, Grants], first: str
    ) -> dict[str, Grants]:
        """Return new grants for all members, to be sent with message `seq`.

        `using` and `waiting` hold each member's amounts by team; what is left of a limit goes to `first`.
        """
        grants: dict[str, Grants] = {member: dict(self.current(member)) for member in self._sent}
        for team, limit in self._limits.items():
            sides = [
                self._side(
                    limit[side],
                    {m: using.get(m, {}).get(team, NOTHING)[side] for m in self._sent},
                    {m: waiting.get(m, {}).get(team, NOTHING)[side] for m in self._sent},
                    {m: self.current(m).get(team, NOTHING)[side] for m in self._sent},
                    {m: max(g.get(team, NOTHING)[side] for _, g in self._sent[m]) for m in self._sent},
                    first,
                )
                for side in (0, 1)
            ]
            for member in self._sent:
                grants[member][team] = (sides[0][member], sides[1][member])
        for member, new in grants.items():
            if new != self.current(member):
                self._sent[member].append((seq, new))
        return grants

    @staticmethod
    def _side(
        limit: float,
        using: dict[str, float],
        waiting: dict[str, float],
        now: dict[str, float],
        most: dict[str, float],
        first: str,
    ) -> dict[str, float]:
        if limit == NO_LIMIT:
            return dict.fromkeys(using, NO_LIMIT)
        spare = max(0.0, limit - sum(using.values()))
        wanted = sum(waiting.values())
        share = min(1.0, spare / wanted) if wanted > 0 else 0.0
        target = {member: using[member] + waiting[member] * share for member in using}
        target[first] += max(0.0, limit - sum(target.values()))
        free = limit - sum(max(most[member], using[member]) for member in using)
        new = {}
        for member in sorted(using, key=lambda name: (name == first, name)):
            raised = min(target[member], max(most[member], using[member]) + max(free, 0.0))
            free -= max(0.0, raised - max(most[member], using[member]))
            new[member] = raised
        return new
