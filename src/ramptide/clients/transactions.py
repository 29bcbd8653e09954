"""Compare-and-swap transactions of the key-value store, and their results."""

from dataclasses import dataclass, field
from enum import Enum, auto

from ramptide.protocol.key_value_store import Put, encode_transaction

__all__ = ["Put", "Transaction", "TransactionOutcome", "TransactionResult"]


@dataclass(slots=True)
class Transaction:
    """Operations that are applied together if all conditions hold, and not at all otherwise.

    Attributes
    ----------
    conditions
        The modification revision that each key must have, by key; 0 for a key that must not exist.
    puts
        Keys to write, with their values and the leases, if any, with which they expire.
    deletes
        Keys to delete.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)

    @property
    def size(self) -> int:
        """The number of operations."""
        return len(self.puts) + len(self.deletes)

    @property
    def changed_keys(self) -> set[str]:
        """The keys that the operations put or delete."""
        return {put.key for put in self.puts} | set(self.deletes)

    def add(self, other: "Transaction") -> None:
        """Add the conditions and operations of another transaction to this one."""
        self.conditions.update(other.conditions)
        self.puts += other.puts
        self.deletes += other.deletes

    def encode(self) -> bytes:
        """Return the body of the request."""
        return encode_transaction(self.conditions, self.puts, self.deletes)


class TransactionOutcome(Enum):
    """The outcome of a transaction."""

    #: All operations were applied.
    APPLIED = auto()
    #: Nothing was applied: a condition did not hold.
    CONFLICT = auto()
    #: Nothing was applied: the store's rate limit rejected the transaction, or it waited too long for this controller's
    #: share of that limit.
    RATE_LIMITED = auto()
    #: Nothing was applied: the store refused the transaction.
    REFUSED = auto()
    #: There was no valid response: the operations may have been applied, or may still be applied.
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The result of a transaction.

    Attributes
    ----------
    outcome
        The outcome; each property checks for one value.
    commit_revision
        The revision at which the transaction was applied; 0 if it was not.
    conflicting_keys
        The keys whose conditions did not hold, in the order of the response; empty for any other outcome.
    """

    outcome: TransactionOutcome
    commit_revision: int = 0
    conflicting_keys: tuple[str, ...] = ()

    @property
    def is_applied(self) -> bool:
        """Whether the transaction was applied, at `commit_revision`."""
        return self.outcome is TransactionOutcome.APPLIED

    @property
    def is_conflict(self) -> bool:
        """Whether the transaction was not applied because a condition did not hold."""
        return self.outcome is TransactionOutcome.CONFLICT

    @property
    def is_rate_limited(self) -> bool:
        """Whether the transaction was not applied because of the store's rate limit."""
        return self.outcome is TransactionOutcome.RATE_LIMITED

    @property
    def is_unknown(self) -> bool:
        """Whether it is not known if the transaction was, or still will be, applied."""
        return self.outcome is TransactionOutcome.UNKNOWN
