"""The client of the state service: reads, transactions, grants, and a watch that keeps a copy current."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from ramptide.clients.rate_limits import CallPriority, RateLimiter, TokenBucket
from ramptide.protocol.key_value_store import (
    KEYS_PATH,
    LEASES_PATH,
    TRANSACTION_PATH,
    WATCH_PATH,
    EventBatch,
    KeyValue,
    decode_commit_revision,
    decode_events,
    decode_failed_keys,
    decode_key_value,
    decode_key_value_page,
    decode_lease_id,
    encode_lease_request,
    encode_transaction,
)
from ramptide.protocol.settings_file import KeyValueStoreLimits
from ramptide.protocol.types import MessageError
from ramptide.transport.runtime import JSON, Response, ResponseCallback, Runtime

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_QUEUE_TIME = {
    CallPriority.LEASE: timedelta(seconds=4),
    CallPriority.COMMIT: timedelta(seconds=2),
    CallPriority.READ: timedelta(seconds=1.2),
    CallPriority.HOUSEKEEPING: timedelta(seconds=5),
}
CALL_TIMEOUT = timedelta(seconds=2)
RENEWAL_TIMEOUT = timedelta(seconds=1)
#: How much longer than its block a watch waits for the answer.
WATCH_TIMEOUT_MARGIN = timedelta(seconds=1)
PAGE_SIZE = 500
#: The part of the service's limits that all controllers together use.
USED_PART_OF_LIMITS = 0.95
MAX_LOGGED_BODY_BYTES = 200


@dataclass(slots=True)
class Transaction:
    """Conditions and changes that are applied together or not at all.

    Attributes
    ----------
    when
        The modification revision that each of these keys must have; 0 for one that must not exist.
    puts
        Keys with their new value and the grant, if any, with which they expire.
    drops
        Keys to delete.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    puts: list[tuple[str, Any, int | None]] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)

    @property
    def size(self) -> int:
        """The number of changes."""
        return len(self.puts) + len(self.deletes)


@dataclass(slots=True)
class TransactionResult:
    """What became of a transaction; with neither `epoch` nor `failed` it is unknown or was not carried out.

    Attributes
    ----------
    epoch
        The revision at which it was applied.
    failed
        The keys whose conditions did not hold.
    sent
        False if it was certainly not carried out.
    full
        Whether it was rejected for the service's rate limit, or waited too long for our share of it.
    """

    revision: int | None = None
    failed_keys: list[str] | None = None
    may_be_applied: bool = True
    rate_limited: bool = False


class KeyValueStore:
    """The state service as one controller sees it.

    Parameters
    ----------
    runtime
        The clock, timers and HTTP calls.
    address
        The `host:port` of the service.
    limits
        The service's limits, which all controllers share.
    nodes
        The number of controllers.
    """

    def __init__(self, runtime: Runtime, address: str, limits: KeyValueStoreLimits, nodes: int) -> None:
        self.runtime = runtime
        self.address = address
        self.limits = limits
        calls = limits.requests_per_second * USED_PART_OF_LIMITS
        writes = limits.writes_per_second * USED_PART_OF_LIMITS
        # The load differs: the leader writes more. A single controller never takes more than half of the whole rate,
        # and what is rejected for that was not carried out.
        self.writes = TokenBucket(writes / nodes, writes / nodes, writes / 2)
        self.rate_limiter = RateLimiter(runtime, TokenBucket(calls / nodes, calls / nodes, calls / 2), self.writes)

    def _call(
        self,
        priority: CallPriority,
        method: str,
        target: str,
        body: bytes,
        done: ResponseCallback,
        writes: int = 0,
        timeout: timedelta = CALL_TIMEOUT,
        reject: Callable[[], None] | None = None,
        sending: Callable[[], None] | None = None,
    ) -> None:
        def answered(reply: Response | None) -> None:
            if reply is not None and reply.status == HTTPStatus.TOO_MANY_REQUESTS:
                self.rate_limiter.report_overload()
            done(reply)

        def send() -> None:
            if sending is not None:
                sending()
            self.runtime.call(self.address, method, target, body, JSON, timeout, answered)

        self.rate_limiter.submit(priority, writes, MAX_QUEUE_TIME[priority], send, reject or (lambda: done(None)))

    def get(
        self, key: str, done: Callable[[KeyValue | None, bool], None], sending: Callable[[], None] | None = None
    ) -> None:
        """Read one key.

        Parameters
        ----------
        key
            The key.
        done
            Called with the row or None, and whether that is known; it is not when the read failed.
        sending
            Called when the request leaves: whoever asks after that needs another read.
        """

        def answered(reply: Response | None) -> None:
            if reply is not None and reply.status == HTTPStatus.NOT_FOUND:
                done(None, True)
                return
            row = _decode_success(decode_key_value, reply)
            done(row, row is not None)

        self._call(CallPriority.READ, "GET", f"{KEYS_PATH}/{quote(key, safe='/')}", b"", answered, sending=sending)

    def list(self, prefix: str, done: Callable[[list[KeyValue] | None, int], None]) -> None:
        """Read all keys with a prefix.

        Parameters
        ----------
        prefix
            The prefix.
        done
            Called with the rows, or None, and the epoch of the first page: a watch from there misses nothing.
        """
        rows: list[KeyValue] = []
        revisions: list[int] = []

        def request_page(after: str | None) -> None:
            query = {"prefix": prefix, "limit": str(PAGE_SIZE)} | ({"since": after} if after else {})

            def answered(reply: Response | None) -> None:
                page = _decode_success(decode_key_value_page, reply)
                if page is None:
                    done(None, 0)
                    return
                revisions.append(page.revision)
                rows.extend(page.key_values)
                if page.more and (not page.key_values or page.key_values[-1].key <= (after or "")):
                    log.error("broken answer of the state service: a page that leads nowhere")
                    done(None, 0)
                elif page.more:
                    request_page(page.key_values[-1].key)
                else:
                    done(rows, revisions[0])

            self._call(CallPriority.LEASE, "GET", f"{KEYS_PATH}?{urlencode(query)}", b"", answered)

        request_page(None)

    def commit(
        self,
        transaction: Transaction,
        done: Callable[[TransactionResult], None],
        priority: CallPriority = CallPriority.COMMIT,
    ) -> None:
        """Send a transaction and report its result."""

        def answered(reply: Response | None) -> None:
            done(_transaction_result(reply))

        body = encode_transaction(transaction.conditions, transaction.puts, transaction.deletes)
        self._call(
            priority,
            "POST",
            TRANSACTION_PATH,
            body,
            answered,
            writes=transaction.size,
            reject=lambda: done(TransactionResult(may_be_applied=False, rate_limited=True)),
        )

    def create_lease(self, life: timedelta, done: Callable[[int | None], None]) -> None:
        """Create a grant, which expires unless it is renewed within `life`, with the keys written under it."""

        def answered(reply: Response | None) -> None:
            done(_decode_success(decode_lease_id, reply))

        self._call(CallPriority.LEASE, "POST", LEASES_PATH, encode_lease_request(life), answered)

    def keep_lease_alive(self, lease_id: int, done: Callable[[bool | None], None]) -> None:
        """Renew a grant; `done` is told whether it is alive, or None when that is not known."""

        def answered(reply: Response | None) -> None:
            status = reply.status if reply is not None else 0
            done(True if status == HTTPStatus.OK else False if status == HTTPStatus.NOT_FOUND else None)

        self._call(
            CallPriority.LEASE, "POST", f"{LEASES_PATH}/{lease_id}/touch", b"", answered, timeout=RENEWAL_TIMEOUT
        )

    def revoke_lease(self, lease_id: int) -> None:
        """End a grant at once; if the request is lost, the grant expires."""
        self._call(CallPriority.LEASE, "DELETE", f"{LEASES_PATH}/{lease_id}", b"", lambda reply: None)

    def watch(
        self,
        prefix: str,
        since: int,
        block: timedelta,
        done: Callable[[EventBatch | None, bool], None],
        sending: Callable[[], None] | None = None,
    ) -> None:
        """Read the changes after an epoch.

        Parameters
        ----------
        prefix
            The prefix of the keys.
        since
            The epoch after which changes are wanted.
        block
            How long the service waits for a change when there is none. Without it this is a plain read of all that
            has changed, and waits its turn among the reads.
        done
            Called with the changes, or None, and whether `since` is too old and the keys must be read again.
        sending
            Called when the request leaves.
        """
        query = urlencode({"prefix": prefix, "since": since, "blockMs": int(block / timedelta(milliseconds=1))})

        def answered(reply: Response | None) -> None:
            gone = reply is not None and reply.status == HTTPStatus.GONE
            done(_decode_success(decode_events, reply), gone)

        priority = CallPriority.LEASE if block else CallPriority.READ
        timeout = block + WATCH_TIMEOUT_MARGIN
        self._call(priority, "GET", f"{WATCH_PATH}?{query}", b"", answered, timeout=timeout, sending=sending)


def _transaction_result(reply: Response | None) -> TransactionResult:
    if reply is None:
        return TransactionResult()
    if reply.status == HTTPStatus.OK:
        # A broken answer leaves `epoch` None: nobody knows.
        return TransactionResult(revision=_decode(decode_commit_revision, reply.body))
    if reply.status == HTTPStatus.CONFLICT:
        return TransactionResult(failed_keys=_decode(decode_failed_keys, reply.body))
    if reply.status not in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
        log.error("transaction refused with %d: %r", reply.status, reply.body[:MAX_LOGGED_BODY_BYTES])
    return TransactionResult(may_be_applied=False, rate_limited=reply.status == HTTPStatus.TOO_MANY_REQUESTS)


def _decode_success(decode: Callable[[bytes], T], reply: Response | None) -> T | None:
    """Return the decoded body of a successful response, or None."""
    return _decode(decode, reply.body) if reply is not None and reply.status == HTTPStatus.OK else None


def _decode(decode: Callable[[bytes], T], body: bytes) -> T | None:
    try:
        return decode(body)
    except MessageError as error:
        log.error("broken answer of the state service: %s", error)
        return None
