"""Grouping of independent changes into few transactions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ramptide.clients.key_value_store import MAX_QUEUE_TIME, KeyValueStore, Transaction, TransactionResult
from ramptide.clients.rate_limits import CallPriority
from ramptide.protocol.key_value_store import encode_transaction

MAX_TRANSACTION_BYTES = 56 * 1024
MAX_CONCURRENT_TRANSACTIONS = 2
#: The service takes this many conditions for each change that it takes.
CONDITIONS_PER_OPERATION = 4
BATCH_DELAY = timedelta(milliseconds=20)


@dataclass(slots=True)
class _PendingChange:
    """One change with its own conditions."""

    transaction: Transaction
    encoded_size: int
    deadline: timedelta
    done: Callable[[TransactionResult], None]

    @property
    def keys(self) -> set[str]:
        return _changed_keys(self.transaction)


class CommitBatcher:
    """Groups changes into transactions without making them depend on each other.

    Each change keeps its own conditions: when one of them fails, that change alone is refused and the others are
    sent again. The conditions that all have in common, such as the view, are added when a group is sent.

    Parameters
    ----------
    store
        The state service.
    common_conditions
        Returns the conditions that are added to each transaction.
    priority
        The priority of the transactions.
    max_operations
        The most changes of keys in a transaction, if lower than what the service takes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        common_conditions: Callable[[], dict[str, int]],
        priority: CallPriority = CallPriority.COMMIT,
        max_operations: int | None = None,
    ) -> None:
        self._store = store
        self._max_operations = min(
            max_operations or store.limits.max_transaction_operations, store.limits.max_transaction_operations
        )
        self._common_conditions = common_conditions
        self._priority = priority
        self._waiting: deque[_PendingChange] = deque()
        self._keys_in_flight: set[str] = set()
        self._in_flight = 0
        self._send_scheduled = False

    def add(self, transaction: Transaction, done: Callable[[TransactionResult], None]) -> None:
        """Queue a change and report its result."""
        encoded_size = len(encode_transaction(transaction.conditions, transaction.puts, transaction.deletes))
        deadline = self._store.runtime.now + MAX_QUEUE_TIME[self._priority]
        self._waiting.append(_PendingChange(transaction, encoded_size, deadline, done))
        self._schedule_send()

    def delay(self) -> timedelta:
        """Return how long a change that is added now would wait for its turn."""
        waiting = sum(change.transaction.size for change in self._waiting)
        own_delay = timedelta(seconds=waiting / self._store.writes.rate)
        return self._store.rate_limiter.write_delay(self._priority) + own_delay

    def _schedule_send(self) -> None:
        if not self._send_scheduled and self._waiting and self._in_flight < MAX_CONCURRENT_TRANSACTIONS:
            self._send_scheduled = True
            self._store.runtime.after(BATCH_DELAY, self._send)

    def _send(self) -> None:
        self._send_scheduled = False
        common = self._common_conditions()
        group = self._take_group(len(common))
        if group:
            self._commit(group, common)
            self._schedule_send()

    def _take_group(self, conditions: int) -> list[_PendingChange]:
        """Remove the changes for one transaction from the queue; it has `conditions` already."""
        group: list[_PendingChange] = []
        left: deque[_PendingChange] = deque()
        operations, size, keys = 0, 0, set(self._keys_in_flight)
        max_conditions = self._store.limits.max_transaction_operations * CONDITIONS_PER_OPERATION
        while self._waiting:
            change = self._waiting.popleft()
            changed_keys = change.keys
            fits = (
                operations + change.transaction.size <= self._max_operations
                and conditions + len(change.transaction.conditions) <= max_conditions
                and size + change.encoded_size <= MAX_TRANSACTION_BYTES
            )
            if group and not fits or keys & changed_keys:
                # Changes of the same key are sent one after the other: the first breaks the second's conditions.
                left.append(change)
                keys |= changed_keys
                continue
            group.append(change)
            keys |= changed_keys
            operations += change.transaction.size
            conditions += len(change.transaction.conditions)
            size += change.encoded_size
        self._waiting = left
        return group

    def _commit(self, group: list[_PendingChange], common: dict[str, int]) -> None:
        whole = Transaction(conditions=dict(common))
        for change in group:
            whole.conditions.update(change.transaction.conditions)
            whole.puts += change.transaction.puts
            whole.deletes += change.transaction.deletes
        keys = _changed_keys(whole)
        self._keys_in_flight |= keys
        self._in_flight += 1

        def done(result: TransactionResult) -> None:
            self._in_flight -= 1
            self._keys_in_flight -= keys
            self._settle(group, common, result)
            self._schedule_send()

        self._store.commit(whole, done, self._priority)

    def _settle(self, group: list[_PendingChange], common: dict[str, int], result: TransactionResult) -> None:
        """Report the result to the changes that it concerns, and queue the others again."""
        failed = set(result.failed_keys or ())
        retried = []
        now = self._store.runtime.now
        for change in group:
            if result.rate_limited and now < change.deadline:
                retried.append(change)
            elif not failed or failed & (change.transaction.conditions.keys() | common.keys()):
                change.done(result)
            else:
                retried.append(change)
        self._waiting.extendleft(reversed(retried))


def _changed_keys(transaction: Transaction) -> set[str]:
    return {key for key, _, _ in transaction.puts} | set(transaction.deletes)
