"""Records the shares of team limits that members pass to each other. This module does no I/O.

The sender deducts a transfer before a message carries it, and the receiver adds it when it arrives for the first time:
in between, no member counts it. So lost, late and repeated messages, and pauses of either side, never let two members
count the same share. A ledger exists for one view; the next view splits all limits anew, so that no transfer of the
earlier view has to be resolved.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ramptide.quota.messages import AccountRow, QuotaMessageError, TransferRow
from ramptide.state.amounts import NO_LIMIT, ZERO_AMOUNTS, Amounts, TeamAmounts, add_amounts


class TransferState(Enum):
    """The state of a transfer, as far as its sender knows."""

    #: The sender's share is reduced; no message has carried the transfer yet.
    DEDUCTED = auto()
    #: At least one message carried the transfer; whether one arrived is not known.
    SENT = auto()
    #: The receiver has confirmed that it counts the transfer.
    TAKEN = auto()


class LedgerError(Exception):
    """Raised for a transfer of negative or only zero amounts, or of more than the spare share."""


@dataclass(slots=True)
class Transfer:
    """Share that is passed to another member."""

    number: int
    receiver: str
    team: str
    amounts: Amounts
    state: TransferState = TransferState.DEDUCTED

    def mark_sent(self) -> None:
        """Record that a message carries the transfer now."""
        if self.state is TransferState.DEDUCTED:
            self.state = TransferState.SENT

    def mark_confirmed(self) -> None:
        """Record the receiver's confirmation."""
        self.state = TransferState.TAKEN

    def to_row(self) -> TransferRow:
        """Return the transfer in its message form."""
        return TransferRow(self.number, self.team, self.amounts.cpus, self.amounts.gpus)


class _Account:
    """The totals of share passed between this member and another one; they only grow."""

    def __init__(self) -> None:
        self.given: TeamAmounts = {}
        self.taken: TeamAmounts = {}
        #: The number of the last transfer that this member issued.
        self.last_issued = 0
        #: The number of the last transfer that this member received.
        self.last_received = 0
        self.unconfirmed: dict[int, Transfer] = {}


class Ledger:
    """The transfers of one member in one view."""

    def __init__(self, members: Iterable[str], limits: Mapping[str, Amounts]) -> None:
        self._accounts = {member: _Account() for member in members}
        self._limits = limits
        self._balance: TeamAmounts = {}

    def balance(self, team: str) -> Amounts:
        """Return the difference that transfers make between this member's share of a team and the leader's grant."""
        return self._balance.get(team, ZERO_AMOUNTS)

    def teams_with_transfers(self) -> Iterable[str]:
        """Return the teams of which this member has passed on or received share."""
        return self._balance.keys()

    def permitted_share(self, team: str, granted: Amounts) -> Amounts:
        """Return the share of a team's limit that this member may use, given the leader's grant.

        It is below zero when the leader has since withdrawn share that this member had passed on.
        """
        balance = self._balance.get(team)
        if balance is None:
            return granted
        return Amounts(
            *(amount if amount == NO_LIMIT else amount + shift for amount, shift in zip(granted, balance, strict=True))
        )

    def in_transfer(self, team: str) -> Amounts:
        """Return the share of a team that this member has deducted and no receiver has confirmed."""
        total: TeamAmounts = {}
        for account in self._accounts.values():
            for transfer in account.unconfirmed.values():
                add_amounts(total, transfer.team, transfer.amounts)
        return total.get(team, ZERO_AMOUNTS)

    def has_unconfirmed(self, receiver: str, team: str) -> bool:
        """Return whether a transfer of the team's share to this receiver is not confirmed yet."""
        return any(transfer.team == team for transfer in self._accounts[receiver].unconfirmed.values())

    def issue_transfer(self, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Transfer:
        """Deduct share for another member and return the transfer.

        Raises
        ------
        LedgerError
            If the amounts are negative, zero, or more than the spare share.
        """
        if min(amounts) < 0 or not any(amounts):
            raise LedgerError(f"a transfer must not have negative or only zero amounts: {amounts} of {team}")
        if amounts[0] > spare[0] or amounts[1] > spare[1]:
            raise LedgerError(f"{amounts} of {team} is more than the spare share {spare}")
        account = self._accounts[receiver]
        account.last_issued += 1
        transfer = Transfer(account.last_issued, receiver, team, amounts)
        add_amounts(self._balance, team, amounts.times(-1))
        add_amounts(account.given, team, amounts)
        account.unconfirmed[transfer.number] = transfer
        return transfer

    def rows_to_send(self, receiver: str) -> list[TransferRow]:
        """Return all unconfirmed transfers to a member for a message that leaves now, and mark them as sent."""
        transfers = self._accounts[receiver].unconfirmed.values()
        for transfer in transfers:
            transfer.mark_sent()
        return [transfer.to_row() for transfer in transfers]

    def confirm(self, receiver: str, number: int) -> list[Transfer]:
        """Record that a receiver counts all transfers up to a number; return those that it had not confirmed before.

        Raises
        ------
        QuotaMessageError
            If no transfer with this number was issued.
        """
        account = self._accounts[receiver]
        if number > account.last_issued:
            raise QuotaMessageError(f"transfer {number} is confirmed, but the last one issued is {account.last_issued}")
        confirmed = [transfer for transfer in account.unconfirmed.values() if transfer.number <= number]
        for transfer in confirmed:
            transfer.mark_confirmed()
            del account.unconfirmed[transfer.number]
        return confirmed

    def receive_transfers(self, sender: str, rows: Iterable[TransferRow]) -> list[TransferRow]:
        """Add the transfers that have not arrived before, and return them; all are checked before any is added.

        Raises
        ------
        QuotaMessageError
            If one of them cannot be a transfer of this view; no transfer is added then.
        """
        account = self._accounts[sender]
        new: list[TransferRow] = []
        for row in sorted(rows, key=lambda row: row.number):
            if row.number <= account.last_received:
                continue
            if row.number != account.last_received + len(new) + 1:
                raise QuotaMessageError(
                    f"received transfer {row.number} directly after transfer {account.last_received + len(new)}"
                )
            self._check_transfer(row)
            new.append(row)
        for row in new:
            account.last_received = row.number
            add_amounts(account.taken, row.team, row.amounts)
            add_amounts(self._balance, row.team, row.amounts)
        return new

    def _check_transfer(self, row: TransferRow) -> None:
        limit = self._limits.get(row.team)
        if limit is None:
            raise QuotaMessageError(f"transfer {row.number} names team {row.team!r}, which has no limit")
        for amount, maximum in zip(row.amounts, limit, strict=True):
            if amount > maximum or (maximum == NO_LIMIT and amount):
                raise QuotaMessageError(
                    f"transfer {row.number} of {row.amounts} is more than the limit of {row.team!r}"
                )
        if not any(row.amounts):
            raise QuotaMessageError(f"transfer {row.number} of team {row.team!r} is empty")

    def last_received(self, sender: str) -> int:
        """Return the number of the last transfer that was received from a member."""
        return self._accounts[sender].last_received

    def account_rows(self, teams: Iterable[str]) -> list[AccountRow]:
        """Return the totals that this member has passed to and received from each other member, for these teams."""
        return [
            AccountRow(
                member,
                team,
                *account.given.get(team, ZERO_AMOUNTS),
                *account.taken.get(team, ZERO_AMOUNTS),
            )
            for team in teams
            for member, account in self._accounts.items()
            if team in account.given or team in account.taken
        ]


class AccountBook:
    """The accounts of all members, as far as the leader knows them.

    A message may be older than one that arrived before it, so the larger of two totals counts.
    """

    def __init__(self) -> None:
        #: The totals passed on, by sender, receiver and team.
        self._passed_on: dict[tuple[str, str, str], Amounts] = {}
        self._offsets: dict[str, TeamAmounts] = {}

    def apply_account(self, member: str, rows: Iterable[AccountRow]) -> None:
        """Apply the totals that a member reports."""
        for row in rows:
            self._raise_total((member, row.member, row.team), row.given)
            self._raise_total((row.member, member, row.team), row.taken)

    def _raise_total(self, key: tuple[str, str, str], amounts: Amounts) -> None:
        before = self._passed_on.get(key, ZERO_AMOUNTS)
        after = Amounts(max(before[0], amounts[0]), max(before[1], amounts[1]))
        more = Amounts(after[0] - before[0], after[1] - before[1])
        if not any(more):
            return
        self._passed_on[key] = after
        sender, receiver, team = key
        add_amounts(self._offsets.setdefault(sender, {}), team, more.times(-1))
        add_amounts(self._offsets.setdefault(receiver, {}), team, more)

    def offsets(self) -> Mapping[str, TeamAmounts]:
        """Return how much transfers have changed each member's share; one on its way counts for its receiver."""
        return self._offsets
