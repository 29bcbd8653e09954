"""Compare-and-swap transactions of the key-value store, and what became of them."""

from dataclasses import dataclass, field
from enum import Enum, auto

from ramptide.protocol.key_value_store import Put, encode_transaction

__all__ = ["Put", "Transaction", "TransactionOutcome", "TransactionResult"]


@dataclass(slots=True)
class Transaction:
    """Conditions and operations that are applied together or not at all.

    Attributes
    ----------
    conditions
        The modification revision that each of these keys must have; 0 for a key that must not exist.
    puts
        Keys with their new value and the lease, if any, with which they expire.
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
    """What became of a transaction."""

    #: All operations were applied.
    APPLIED = auto()
    #: Nothing was applied: a condition did not hold.
    CONFLICT = auto()
    #: Nothing was applied: the store's rate limit rejected it, or it waited too long for our share of that limit.
    RATE_LIMITED = auto()
    #: Nothing was applied: the store refused it.
    REFUSED = auto()
    #: No answer that could be read: it may have been applied, or may be yet.
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """What became of a transaction.

    Attributes
    ----------
    outcome
        Which of the possible results it is; the properties ask for each.
    commit_revision
        The revision at which it was applied; 0 unless it was.
    conflicting_keys
        The keys whose conditions did not hold, in the order of the answer; empty unless that was the cause.
    """

    outcome: TransactionOutcome
    commit_revision: int = 0
    conflicting_keys: tuple[str, ...] = ()

    @property
    def is_applied(self) -> bool:
        """Whether it was applied, at `commit_revision`."""
        return self.outcome is TransactionOutcome.APPLIED

    @property
    def is_conflict(self) -> bool:
        """Whether it was not applied because a condition did not hold."""
        return self.outcome is TransactionOutcome.CONFLICT

    @property
    def is_rate_limited(self) -> bool:
        """Whether it was not applied because of the store's rate limit."""
        return self.outcome is TransactionOutcome.RATE_LIMITED

    @property
    def is_unknown(self) -> bool:
        """Whether nobody knows if it was, or will be, applied."""
        return self.outcome is TransactionOutcome.UNKNOWN
