"""One member's account of the share of team limits that it passes on to others and takes from them. Pure.

The giver deducts a transfer before it is sent, and the receiver adds it when it arrives for the first time: in between
it counts for nobody. So lost, late and repeated messages, and pauses of either side, never let two members count the
same share. A ledger lives as long as a view; with the next one all shares are split anew: nothing is left to resolve.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ramptide.quota.messages import AccountRow, QuotaMessageError, TransferRow
from ramptide.state.amounts import NO_LIMIT, NOTHING, Amounts, TeamAmounts, add_amounts


class TransferState(Enum):
    """Where a transfer stands, as its giver knows."""

    #: Taken off the giver's share; no message has carried it yet.
    DEDUCTED = auto()
    #: At least one message carried it; whether one arrived is not known.
    SENT = auto()
    #: The receiver has confirmed that it counts it.
    TAKEN = auto()


class LedgerError(Exception):
    """A transfer of more than is spare, or of nothing."""


@dataclass(slots=True)
class Transfer:
    """Share on its way to another member."""

    number: int
    receiver: str
    team: str
    amounts: Amounts
    state: TransferState = TransferState.DEDUCTED

    def sent(self) -> None:
        """Note that a message carries it now."""
        if self.state is TransferState.DEDUCTED:
            self.state = TransferState.SENT

    def taken(self) -> None:
        """Note the receiver's confirmation."""
        self.state = TransferState.TAKEN

    def row(self) -> TransferRow:
        """Return its form in messages."""
        return TransferRow(self.number, self.team, self.amounts.cpus, self.amounts.gpus)


class _Account:
    """What has passed between this member and another one, in total; the sums only grow."""

    def __init__(self) -> None:
        self.given: TeamAmounts = {}
        self.taken: TeamAmounts = {}
        #: The numbers of the last transfers that we issued and that we took.
        self.issued = 0
        self.last_taken = 0
        self.unconfirmed: dict[int, Transfer] = {}


class Ledger:
    """The transfers of one member in one view."""

    def __init__(self, members: Iterable[str], limits: Mapping[str, Amounts]) -> None:
        self._accounts = {member: _Account() for member in members}
        self._limits = limits
        self._balance: TeamAmounts = {}

    def balance(self, team: str) -> Amounts:
        """Return by how much transfers have moved our share of a team away from the leader's grant."""
        return self._balance.get(team, NOTHING)

    def moved(self) -> Iterable[str]:
        """Return the teams of which some share was passed on or taken."""
        return self._balance.keys()

    def permit(self, team: str, granted: Amounts) -> Amounts:
        """Return what we may use of a team's limit; below zero when we gave on what the leader took back since."""
        moved = self._balance.get(team)
        if moved is None:
            return granted
        return Amounts(*(one if one == NO_LIMIT else one + shift for one, shift in zip(granted, moved, strict=True)))

    def in_transfer(self, team: str) -> Amounts:
        """Return what we have deducted and nobody has confirmed."""
        total: TeamAmounts = {}
        for account in self._accounts.values():
            for transfer in account.unconfirmed.values():
                add_amounts(total, transfer.team, transfer.amounts)
        return total.get(team, NOTHING)

    def awaits(self, receiver: str, team: str) -> bool:
        """Tell whether a transfer of the team to this member is not confirmed yet."""
        return any(one.team == team for one in self._accounts[receiver].unconfirmed.values())

    # Giving.

    def give(self, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Transfer:
        """Deduct share for another member.

        Raises
        ------
        LedgerError
            If that is nothing, or more than is spare.
        """
        if min(amounts) < 0 or not any(amounts):
            raise LedgerError(f"{amounts} of {team} is nothing to give")
        if amounts[0] > spare[0] or amounts[1] > spare[1]:
            raise LedgerError(f"{amounts} of {team} is more than the spare {spare}")
        account = self._accounts[receiver]
        account.issued += 1
        transfer = Transfer(account.issued, receiver, team, amounts)
        add_amounts(self._balance, team, amounts.times(-1))
        add_amounts(account.given, team, amounts)
        account.unconfirmed[transfer.number] = transfer
        return transfer

    def offered(self, receiver: str) -> list[TransferRow]:
        """Return all unconfirmed transfers to a member for a message that leaves now."""
        transfers = self._accounts[receiver].unconfirmed.values()
        for transfer in transfers:
            transfer.sent()
        return [transfer.row() for transfer in transfers]

    def confirm(self, receiver: str, number: int) -> list[Transfer]:
        """Note that a member has taken our transfers up to a number; return those that it had not confirmed before.

        Raises
        ------
        QuotaMessageError
            If there is no transfer of this number.
        """
        account = self._accounts[receiver]
        if number > account.issued:
            raise QuotaMessageError(f"transfer {number} confirmed of {account.issued} issued")
        found = [transfer for transfer in account.unconfirmed.values() if transfer.number <= number]
        for transfer in found:
            transfer.taken()
            del account.unconfirmed[transfer.number]
        return found

    # Taking.

    def take(self, giver: str, rows: Iterable[TransferRow]) -> list[TransferRow]:
        """Add the transfers that have not arrived before, and return them. All are checked before any is added.

        Raises
        ------
        QuotaMessageError
            If one of them can't be a transfer of this view; nothing is added then.
        """
        account = self._accounts[giver]
        new: list[TransferRow] = []
        for row in sorted(rows, key=lambda one: one.number):
            if row.number <= account.last_taken:
                continue
            if row.number != account.last_taken + len(new) + 1:
                raise QuotaMessageError(f"transfer {row.number} comes after {account.last_taken + len(new)}")
            self._check(row)
            new.append(row)
        for row in new:
            account.last_taken = row.number
            add_amounts(account.taken, row.team, row.amounts)
            add_amounts(self._balance, row.team, row.amounts)
        return new

    def _check(self, row: TransferRow) -> None:
        limit = self._limits.get(row.team)
        if limit is None:
            raise QuotaMessageError(f"transfer {row.number} is of team {row.team!r}, which has no limit")
        for amount, most in zip(row.amounts, limit, strict=True):
            if amount > most or (most == NO_LIMIT and amount):
                raise QuotaMessageError(
                    f"transfer {row.number} of {row.amounts} is more than the limit of {row.team!r}"
                )
        if not any(row.amounts):
            raise QuotaMessageError(f"transfer {row.number} of {row.team!r} is empty")

    def last_taken(self, giver: str) -> int:
        """Return the number of the last transfer that we took from a member."""
        return self._accounts[giver].last_taken

    # What the leader needs to know.

    def account_rows(self, teams: Iterable[str]) -> list[AccountRow]:
        """Return what has passed between us and every other member of these teams' limits."""
        return [
            AccountRow(
                member,
                team,
                *account.given.get(team, NOTHING),
                *account.taken.get(team, NOTHING),
            )
            for team in teams
            for member, account in self._accounts.items()
            if team in account.given or team in account.taken
        ]


class AccountBook:
    """The leader's knowledge of all members' accounts. One message may be older than another: the larger sum counts."""

    def __init__(self) -> None:
        #: By giver, receiver and team.
        self._passed: dict[tuple[str, str, str], Amounts] = {}
        self._offsets: dict[str, TeamAmounts] = {}

    def take(self, member: str, rows: Iterable[AccountRow]) -> None:
        """Take a member's account."""
        for row in rows:
            self._raise((member, row.member, row.team), row.given)
            self._raise((row.member, member, row.team), row.taken)

    def _raise(self, key: tuple[str, str, str], amounts: Amounts) -> None:
        before = self._passed.get(key, NOTHING)
        after = Amounts(max(before[0], amounts[0]), max(before[1], amounts[1]))
        more = Amounts(after[0] - before[0], after[1] - before[1])
        if not any(more):
            return
        self._passed[key] = after
        giver, receiver, team = key
        add_amounts(self._offsets.setdefault(giver, {}), team, more.times(-1))
        add_amounts(self._offsets.setdefault(receiver, {}), team, more)

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return by how much transfers have moved each member's share; what is on its way counts for its receiver."""
        return self._offsets
