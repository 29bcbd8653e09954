"""Changes that do not depend on each other, grouped into few transactions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ramptide import wire
from ramptide.limits import Priority
from ramptide.store import MAX_QUEUE_TIME, Store, Transaction, TransactionResult

MAX_TRANSACTION_BYTES = 56 * 1024
MAX_CONCURRENT_TRANSACTIONS = 2
BATCH_DELAY = timedelta(milliseconds=20)


@dataclass(slots=True)
class _Change:
    """One of them, with the conditions that are its own."""

    txn: Transaction
    size: int
    until: timedelta
    done: Callable[[TransactionResult], None]


class CommitBatcher:
    """Each change keeps its own conditions: when one of them fails, that change alone is refused and the others
    go on. What is common to all (the view) is added when a group leaves."""

    def __init__(
        self,
        store: Store,
        common: Callable[[], dict[str, int]],
        priority: Priority = Priority.COMMIT,
        most: int | None = None,
    ) -> None:
        self._store = store
        self._most = min(most or store.limits.txn_ops, store.limits.txn_ops)
        self._common = common
        self._priority = priority
        self._waiting: deque[_Change] = deque()
        self._keys: set[str] = set()
        self._flying = 0
        self._planned = False

    def add(self, txn: Transaction, done: Callable[[TransactionResult], None]) -> None:
        size = len(wire.encode_txn(txn.when, txn.puts, txn.drops))
        self._waiting.append(_Change(txn, size, self._store.runtime.now + MAX_QUEUE_TIME[self._priority], done))
        self._plan()

    def delay(self) -> timedelta:
        """How long a change that is added now would wait for its turn."""
        behind = sum(change.txn.size for change in self._waiting)
        return self._store.rate_limiter.write_delay(self._priority) + timedelta(
            seconds=behind / self._store.writes.rate
        )

    def _plan(self) -> None:
        if not self._planned and self._waiting and self._flying < MAX_CONCURRENT_TRANSACTIONS:
            self._planned = True
            self._store.runtime.after(BATCH_DELAY, self._send)

    def _send(self) -> None:
        self._planned = False
        common = self._common()
        group: list[_Change] = []
        left: deque[_Change] = deque()
        ops, conditions, size, keys = 0, len(common), 0, set(self._keys)
        limit = self._most
        while self._waiting:
            change = self._waiting.popleft()
            touched = {path for path, _, _ in change.txn.puts} | set(change.txn.drops)
            fits = (
                ops + change.txn.size <= limit
                and conditions + len(change.txn.when) <= self._store.limits.txn_ops * 4
                and size + change.size <= MAX_TRANSACTION_BYTES
            )
            if group and not fits or keys & touched:
                # Two changes of one key go one after the other: the second has conditions the first would break.
                left.append(change)
                keys |= touched
                continue
            group.append(change)
            keys |= touched
            ops, conditions, size = ops + change.txn.size, conditions + len(change.txn.when), size + change.size
        self._waiting = left
        if group:
            self._commit(group, common)
            self._plan()

    def _commit(self, group: list[_Change], common: dict[str, int]) -> None:
        whole = Transaction(when=dict(common))
        for change in group:
            whole.when.update(change.txn.when)
            whole.puts += change.txn.puts
            whole.drops += change.txn.drops
        keys = {path for path, _, _ in whole.puts} | set(whole.drops)
        self._keys |= keys
        self._flying += 1

        def done(outcome: TransactionResult) -> None:
            self._flying -= 1
            self._keys -= keys
            failed = set(outcome.failed or ())
            again = []
            now = self._store.runtime.now
            for change in group:
                if outcome.full and now < change.until:
                    again.append(change)
                elif not failed or failed & (change.txn.when.keys() | common.keys()):
                    change.done(outcome)
                else:
                    again.append(change)
            self._waiting.extendleft(reversed(again))
            self._plan()

        self._store.commit(whole, done, self._priority)
