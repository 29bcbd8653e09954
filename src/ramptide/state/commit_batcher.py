"""Grouping of independent changes into few transactions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ramptide.clients.key_value_store import MAX_QUEUE_TIME, KeyValueStore
from ramptide.clients.rate_limits import CallPriority
from ramptide.clients.transactions import Transaction, TransactionResult

__all__ = ["CommitBatcher"]

MAX_TRANSACTION_BYTES = 56 * 1024
MAX_CONCURRENT_TRANSACTIONS = 2
#: The store takes this many conditions for each operation that it takes.
CONDITIONS_PER_OPERATION = 4
#: How long a change waits for others to share its transaction.
BATCH_DELAY = timedelta(milliseconds=20)


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """One change with its own conditions; until `deadline` it is sent again if the rate limit rejects it."""

    transaction: Transaction
    encoded_size: int
    deadline: timedelta
    on_result: Callable[[TransactionResult], None]


class _Batch:
    """The changes that go into one transaction, and that transaction.

    Parameters
    ----------
    common_conditions
        The conditions that all changes have in common.
    max_operations, max_conditions
        What the transaction may hold.
    """

    def __init__(self, common_conditions: dict[str, int], max_operations: int, max_conditions: int) -> None:
        self.common_conditions = common_conditions
        self.changes: list[_PendingChange] = []
        self.transaction = Transaction(conditions=dict(common_conditions))
        self._max_operations = max_operations
        self._max_conditions = max_conditions
        self._condition_count = len(common_conditions)
        self._encoded_size = 0

    def has_room_for(self, change: _PendingChange) -> bool:
        """Tell whether the change fits; the first one always does, so that none waits for ever."""
        return not self.changes or (
            self.transaction.size + change.transaction.size <= self._max_operations
            and self._condition_count + len(change.transaction.conditions) <= self._max_conditions
            and self._encoded_size + change.encoded_size <= MAX_TRANSACTION_BYTES
        )

    def add(self, change: _PendingChange) -> None:
        """Add a change."""
        self.changes.append(change)
        self.transaction.add(change.transaction)
        self._condition_count += len(change.transaction.conditions)
        self._encoded_size += change.encoded_size


class CommitBatcher:
    """Groups changes into transactions without making them depend on each other.

    Each change keeps its own conditions: when one of them fails, that change alone is refused and the others are
    sent again. The conditions that all have in common, such as the view, are added when a batch is sent.

    Parameters
    ----------
    store
        The key-value store.
    common_conditions
        Returns the conditions that are added to each transaction.
    priority
        The priority of the transactions.
    max_operations
        The most operations in a transaction, if lower than what the store takes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        common_conditions: Callable[[], dict[str, int]],
        priority: CallPriority = CallPriority.COMMIT,
        max_operations: int | None = None,
    ) -> None:
        self._store = store
        store_limit = store.limits.max_transaction_operations
        self._max_operations = min(max_operations or store_limit, store_limit)
        self._max_conditions = store_limit * CONDITIONS_PER_OPERATION
        self._common_conditions = common_conditions
        self._priority = priority
        self._waiting: deque[_PendingChange] = deque()
        self._keys_in_flight: set[str] = set()
        self._transactions_in_flight = 0
        self._is_send_scheduled = False

    def add(self, transaction: Transaction, on_result: Callable[[TransactionResult], None]) -> None:
        """Queue a change and report its result."""
        encoded_size = len(transaction.encode())
        deadline = self._store.runtime.now + MAX_QUEUE_TIME[self._priority]
        self._waiting.append(_PendingChange(transaction, encoded_size, deadline, on_result))
        self._schedule_send()

    def delay(self) -> timedelta:
        """Return how long a change that is added now would wait for its turn."""
        waiting_writes = sum(change.transaction.size for change in self._waiting)
        own_delay = timedelta(seconds=waiting_writes / self._store.write_rate)
        return self._store.write_delay(self._priority) + own_delay

    def _schedule_send(self) -> None:
        may_send = self._transactions_in_flight < MAX_CONCURRENT_TRANSACTIONS
        if not self._is_send_scheduled and self._waiting and may_send:
            self._is_send_scheduled = True
            self._store.runtime.after(BATCH_DELAY, self._send)

    def _send(self) -> None:
        self._is_send_scheduled = False
        batch = self._take_batch()
        if batch.changes:
            self._commit(batch)
            self._schedule_send()

    def _take_batch(self) -> _Batch:
        """Remove the changes for one transaction from the queue."""
        batch = _Batch(self._common_conditions(), self._max_operations, self._max_conditions)
        remaining: deque[_PendingChange] = deque()
        # Changes of the same key are sent one after the other: the first breaks the second's conditions.
        taken_keys = set(self._keys_in_flight)
        while self._waiting:
            change = self._waiting.popleft()
            changed_keys = change.transaction.changed_keys
            if batch.has_room_for(change) and not taken_keys & changed_keys:
                batch.add(change)
            else:
                remaining.append(change)
            # Also those of a change that stays, so that no later one of the same key overtakes it.
            taken_keys |= changed_keys
        self._waiting = remaining
        return batch

    def _commit(self, batch: _Batch) -> None:
        changed_keys = batch.transaction.changed_keys
        self._keys_in_flight |= changed_keys
        self._transactions_in_flight += 1

        def on_result(result: TransactionResult) -> None:
            self._transactions_in_flight -= 1
            self._keys_in_flight -= changed_keys
            self._dispatch_result(batch, result)
            self._schedule_send()

        self._store.commit(batch.transaction, on_result, self._priority)

    def _dispatch_result(self, batch: _Batch, result: TransactionResult) -> None:
        """Report the result to the changes that it concerns, and queue the others again."""
        conflicting_keys = set(result.conflicting_keys)
        retried = []
        now = self._store.runtime.now
        for change in batch.changes:
            if result.is_rate_limited and now < change.deadline:
                retried.append(change)
            elif not conflicting_keys or conflicting_keys & (
                change.transaction.conditions.keys() | batch.common_conditions.keys()
            ):
                change.on_result(result)
            else:
                retried.append(change)
        self._waiting.extendleft(reversed(retried))
