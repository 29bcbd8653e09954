"""The client of the state service: reads, transactions, grants, and a watch that keeps a copy current."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import quote, urlencode

from ramptide import wire
from ramptide.context import JSON, Reply, Runtime
from ramptide.limits import Priority, RateLimiter, TokenBucket

log = logging.getLogger(__name__)

MAX_QUEUE_TIME = {
    Priority.LEASE: timedelta(seconds=4),
    Priority.COMMIT: timedelta(seconds=2),
    Priority.READ: timedelta(seconds=1.2),
    Priority.HOUSEKEEPING: timedelta(seconds=5),
}
CALL_TIMEOUT = timedelta(seconds=2)


@dataclass(slots=True)
class Transaction:
    """Conditions (key and the stamp it must have) and changes that go through together."""

    when: dict[str, int] = field(default_factory=dict)
    puts: list[tuple[str, Any, int | None]] = field(default_factory=list)
    drops: list[str] = field(default_factory=list)

    @property
    def size(self) -> int:
        return len(self.puts) + len(self.drops)


@dataclass(slots=True)
class TransactionResult:
    """What became of a transaction: `epoch` when it went through, `failed` when a condition did not hold;
    neither when nobody knows (`sent`) or it was not carried out (not `sent`; `full`: for want of a free rate)."""

    epoch: int | None = None
    failed: list[str] | None = None
    sent: bool = True
    full: bool = False


class Store:
    def __init__(self, runtime: Runtime, address: str, limits: wire.StateLimits, nodes: int) -> None:
        self.runtime = runtime
        self.address = address
        self.limits = limits
        calls, writes = limits.rps * 0.95, limits.write_rps * 0.95
        # The load is not the same on all: the leader writes more. One alone never takes more than half of all
        # changes, and what is refused for that was not carried out.
        self.writes = TokenBucket(writes / nodes, writes / nodes, writes / 2)
        self.rate_limiter = RateLimiter(runtime, TokenBucket(calls / nodes, calls / nodes, calls / 2), self.writes)

    def _call(
        self,
        priority: Priority,
        method: str,
        target: str,
        body: bytes,
        done: Callable[[Reply | None], None],
        writes: int = 0,
        timeout: timedelta = CALL_TIMEOUT,
        refuse: Callable[[], None] | None = None,
        sending: Callable[[], None] | None = None,
    ) -> None:
        def answered(reply: Reply | None) -> None:
            if reply is not None and reply.status == 429:
                self.rate_limiter.report_overload()
            done(reply)

        def go() -> None:
            if sending is not None:
                sending()
            self.runtime.call(self.address, method, target, body, JSON, timeout, answered)

        self.rate_limiter.submit(priority, writes, MAX_QUEUE_TIME[priority], go, refuse or (lambda: done(None)))

    def get(
        self, key: str, done: Callable[[wire.Row | None, bool], None], sending: Callable[[], None] | None = None
    ) -> None:
        """`done(row, known)`: the row, or None; known is False when it could not be read.

        `sending` is called when the request leaves: whoever asks after that needs another read.
        """

        def answered(reply: Reply | None) -> None:
            if reply is not None and reply.status == 404:
                done(None, True)
            elif reply is not None and reply.status == 200:
                row = _read(wire.decode_row, reply.body)
                done(row, row is not None)
            else:
                done(None, False)

        self._call(Priority.READ, "GET", f"{wire.KV}/{quote(key, safe='/')}", b"", answered, sending=sending)

    def list(self, prefix: str, done: Callable[[list[wire.Row] | None, int], None]) -> None:
        """All rows with a prefix, and the epoch of the first page (a watch from there misses nothing)."""
        rows: list[wire.Row] = []
        first: list[int] = []

        def page(since: str | None) -> None:
            query = {"prefix": prefix, "limit": "500"} | ({"since": since} if since else {})

            def answered(reply: Reply | None) -> None:
                found = _read(wire.decode_rows, reply.body) if reply is not None and reply.status == 200 else None
                if found is None:
                    done(None, 0)
                    return
                first.append(found.epoch)
                rows.extend(found.rows)
                if found.more and (not found.rows or found.rows[-1].path <= (since or "")):
                    log.error("broken answer of the state service: a page that leads nowhere")
                    done(None, 0)
                elif found.more:
                    page(found.rows[-1].path)
                else:
                    done(rows, first[0])

            self._call(Priority.LEASE, "GET", f"{wire.KV}?{urlencode(query)}", b"", answered)

        page(None)

    def commit(
        self, txn: Transaction, done: Callable[[TransactionResult], None], priority: Priority = Priority.COMMIT
    ) -> None:
        def answered(reply: Reply | None) -> None:
            if reply is None:
                done(TransactionResult())
            elif reply.status == 200:
                # Broken, it leaves both None: nobody knows.
                done(TransactionResult(epoch=_read(wire.decode_committed, reply.body)))
            elif reply.status == 409:
                done(TransactionResult(failed=_read(wire.decode_failed, reply.body)))
            else:
                if reply.status not in (429, 503):
                    log.error("transaction refused with %d: %r", reply.status, reply.body[:200])
                done(TransactionResult(sent=False, full=reply.status == 429))

        body = wire.encode_txn(txn.when, txn.puts, txn.drops)
        self._call(
            priority,
            "POST",
            wire.TXN,
            body,
            answered,
            writes=txn.size,
            refuse=lambda: done(TransactionResult(sent=False)),
        )

    def create_grant(self, life: timedelta, done: Callable[[int | None], None]) -> None:
        def answered(reply: Reply | None) -> None:
            done(_read(wire.decode_grant, reply.body) if reply is not None and reply.status == 200 else None)

        self._call(Priority.LEASE, "POST", wire.GRANTS, wire.encode_grant(life), answered)

    def renew_grant(self, grant: int, done: Callable[[bool | None], None]) -> None:
        """`done(alive)`: None when it is not known."""

        def answered(reply: Reply | None) -> None:
            status = reply.status if reply is not None else 0
            done(True if status == 200 else False if status == 404 else None)

        self._call(Priority.LEASE, "POST", f"{wire.GRANTS}/{grant}/touch", b"", answered, timeout=timedelta(seconds=1))

    def revoke_grant(self, grant: int) -> None:
        """Gives a grant up at once; should this not arrive, it runs out."""
        self._call(Priority.LEASE, "DELETE", f"{wire.GRANTS}/{grant}", b"", lambda reply: None)

    def changes(
        self,
        prefix: str,
        since: int,
        block: timedelta,
        done: Callable[[wire.Changes | None, bool], None],
        sending: Callable[[], None] | None = None,
    ) -> None:
        """`done(changes, gone)`: gone when `since` is too old and the keys must be read again.

        Without a `block` it is a read of all that has changed, and waits its turn among the reads.
        """
        query = urlencode({"prefix": prefix, "since": since, "blockMs": int(block / timedelta(milliseconds=1))})

        def answered(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                done(_read(wire.decode_changes, reply.body), False)
            else:
                done(None, reply is not None and reply.status == 410)

        priority = Priority.LEASE if block else Priority.READ
        timeout = block + timedelta(seconds=1)
        self._call(priority, "GET", f"{wire.CHANGES}?{query}", b"", answered, timeout=timeout, sending=sending)


def _read(decode: Callable[[bytes], Any], body: bytes) -> Any:
    try:
        return decode(body)
    except wire.MessageError as error:
        log.error("broken answer of the state service: %s", error)
        return None
