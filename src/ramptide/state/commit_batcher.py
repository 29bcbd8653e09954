"""Batching of independent changes into a few transactions."""

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
#: The store's maximum number of conditions, as a multiple of its maximum number of operations.
CONDITIONS_PER_OPERATION = 4
#: How long changes are collected before a batch is sent.
BATCH_DELAY = timedelta(milliseconds=20)


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change with its own conditions; if the rate limit rejects it before `deadline`, it is sent again."""

    transaction: Transaction
    encoded_size: int
    deadline: timedelta
    on_result: Callable[[TransactionResult], None]


class _Batch:
    """The changes of one transaction, and the transaction itself.

    Parameters
    ----------
    common_conditions
        The conditions that all changes have in common.
    max_operations, max_conditions
        The maximum numbers of operations and conditions in the transaction.
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
        """Return whether the change fits; the first one always does, so that no change waits forever."""
        return not self.changes or (
            self.transaction.size + change.transaction.size <= self._max_operations
            and self._condition_count + len(change.transaction.conditions) <= self._max_conditions
            and self._encoded_size + change.encoded_size <= MAX_TRANSACTION_BYTES
        )

    def add(self, change: _PendingChange) -> None:
        """Add a change to the batch and to its transaction."""
        self.changes.append(change)
        self.transaction.add(change.transaction)
        self._condition_count += len(change.transaction.conditions)
        self._encoded_size += change.encoded_size


class CommitBatcher:
    """Groups changes into transactions without making them depend on each other.

    Each change keeps its own conditions. When one of them fails, only the changes with that condition are refused, and
    the others are sent again. The conditions that all changes have in common, such as the view, are added when a batch
    is built.

    Parameters
    ----------
    store
        The key-value store.
    common_conditions
        Returns the conditions that are added to each transaction.
    priority
        The priority of the transactions.
    max_operations
        The maximum number of operations in a transaction, if lower than the store's limit.
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
        self._queue: deque[_PendingChange] = deque()
        self._keys_in_flight: set[str] = set()
        self._transactions_in_flight = 0
        self._is_send_scheduled = False

    def add(self, transaction: Transaction, on_result: Callable[[TransactionResult], None]) -> None:
        """Queue a change; `on_result` is called with its result."""
        encoded_size = len(transaction.encode())
        deadline = self._store.runtime.now + MAX_QUEUE_TIME[self._priority]
        self._queue.append(_PendingChange(transaction, encoded_size, deadline, on_result))
        self._schedule_send()

    def expected_delay(self) -> timedelta:
        """Return how long a change that is added now is expected to wait before it is sent."""
        queued_writes = sum(change.transaction.size for change in self._queue)
        queue_delay = timedelta(seconds=queued_writes / self._store.write_rate)
        return self._store.write_delay(self._priority) + queue_delay

    def _schedule_send(self) -> None:
        may_send = self._transactions_in_flight < MAX_CONCURRENT_TRANSACTIONS
        if not self._is_send_scheduled and self._queue and may_send:
            self._is_send_scheduled = True
            self._store.runtime.after(BATCH_DELAY, self._send)

    def _send(self) -> None:
        self._is_send_scheduled = False
        batch = self._dequeue_batch()
        if batch.changes:
            self._commit(batch)
            self._schedule_send()

    def _dequeue_batch(self) -> _Batch:
        """Remove the changes for the next transaction from the queue, and return them as a batch."""
        batch = _Batch(self._common_conditions(), self._max_operations, self._max_conditions)
        remaining: deque[_PendingChange] = deque()
        # Changes of the same key are sent one after the other, as the first invalidates the conditions of the second.
        blocked_keys = set(self._keys_in_flight)
        while self._queue:
            change = self._queue.popleft()
            changed_keys = change.transaction.changed_keys
            if batch.has_room_for(change) and not blocked_keys & changed_keys:
                batch.add(change)
            else:
                remaining.append(change)
            # The keys of a change that stays in the queue are blocked too, so that no later change overtakes it.
            blocked_keys |= changed_keys
        self._queue = remaining
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
        """Report the result to the changes that it concerns, and put the rest back at the head of the queue."""
        conflicting_keys = set(result.conflicting_keys)
        changes_to_retry = []
        now = self._store.runtime.now
        for change in batch.changes:
            if result.is_rate_limited and now < change.deadline:
                changes_to_retry.append(change)
            elif not conflicting_keys or conflicting_keys & (
                change.transaction.conditions.keys() | batch.common_conditions.keys()
            ):
                change.on_result(result)
            else:
                changes_to_retry.append(change)
        self._queue.extendleft(reversed(changes_to_retry))
