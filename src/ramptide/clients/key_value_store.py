"""The client of the key-value store: reads, compare-and-swap transactions, leases and watches."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from http import HTTPStatus
from urllib.parse import quote, urlencode

from ramptide.clients.rate_limits import CallPriority, RateLimiter, TokenBucket
from ramptide.clients.service_client import PagedRequest, ServiceCall, ServiceClient
from ramptide.clients.transactions import Transaction, TransactionOutcome, TransactionResult
from ramptide.protocol.key_value_store import (
    KEYS_PATH,
    LEASES_PATH,
    TRANSACTION_PATH,
    WATCH_PATH,
    EventBatch,
    KeyValue,
    KeyValuePage,
    decode_commit_revision,
    decode_events,
    decode_failed_keys,
    decode_key_value,
    decode_key_value_page,
    decode_lease_id,
    encode_lease_request,
)
from ramptide.protocol.settings_file import KeyValueStoreLimits
from ramptide.transport.runtime import Response, Runtime

__all__ = ["MAX_QUEUE_TIME", "KeyValueStore", "LeaseStatus", "ReadResult", "Snapshot", "WatchResult"]

log = logging.getLogger(__name__)

#: How long a call of each priority may wait for the rate limit before it is rejected.
MAX_QUEUE_TIME = {
    CallPriority.LEASE: timedelta(seconds=4),
    CallPriority.COMMIT: timedelta(seconds=2),
    CallPriority.READ: timedelta(seconds=1.2),
    CallPriority.HOUSEKEEPING: timedelta(seconds=5),
}
CALL_TIMEOUT = timedelta(seconds=2)
KEEP_ALIVE_TIMEOUT = timedelta(seconds=1)
#: The timeout of a watch is longer by this than the time for which the store waits for an event.
WATCH_TIMEOUT_MARGIN = timedelta(seconds=1)
#: The most keys in one page of a list.
PAGE_SIZE = 500
#: The part of the store's rate limits that all controllers together use.
USED_RATIO_OF_LIMITS = 0.95
MAX_LOGGED_BODY_BYTES = 200
#: The name of the store in log lines.
SERVICE_NAME = "the state service"


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The result of reading one key.

    Attributes
    ----------
    is_known
        Whether a valid response showed the state of the key.
    key_value
        The key with its value; None if the key does not exist, or if `is_known` is false.
    """

    is_known: bool
    key_value: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys with a prefix.

    Attributes
    ----------
    revision
        The revision of the first page: a watch from this revision misses no change.
    key_values
        The keys with their values.
    """

    revision: int
    key_values: list[KeyValue]


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The result of a watch.

    Attributes
    ----------
    batch
        The events; None if there was no successful response.
    is_compacted
        Whether the store no longer has all events since the requested revision, so that the keys must be read again.
    """

    batch: EventBatch | None
    is_compacted: bool


class LeaseStatus(Enum):
    """The status of a lease as of a keep-alive."""

    ALIVE = auto()
    EXPIRED = auto()
    #: There was no response, or one that shows neither of the two.
    UNKNOWN = auto()


class KeyValueStore:
    """Calls the API of the key-value store for one controller.

    Parameters
    ----------
    runtime
        The clock, timers and HTTP calls.
    address
        The `host:port` of the store.
    limits
        The store's limits, which all controllers share.
    controller_count
        The number of controllers.

    Attributes
    ----------
    runtime
        As given; callers schedule their retries with it.
    limits
        As given; callers keep their transactions within them.
    """

    def __init__(self, runtime: Runtime, address: str, limits: KeyValueStoreLimits, controller_count: int) -> None:
        self.runtime = runtime
        self.limits = limits
        call_rate = limits.requests_per_second * USED_RATIO_OF_LIMITS
        write_rate = limits.writes_per_second * USED_RATIO_OF_LIMITS
        # The rates may grow, as the load of the controllers differs: the leader writes more. One of several controllers
        # never uses more than half of the whole rate. A call that is rejected for its rate was not carried out.
        self._write_bucket = TokenBucket(write_rate / controller_count, write_rate / controller_count, write_rate / 2)
        call_bucket = TokenBucket(call_rate / controller_count, call_rate / controller_count, call_rate / 2)
        self._rate_limiter = RateLimiter(runtime, call_bucket, self._write_bucket)
        self._client = ServiceClient(runtime, address, SERVICE_NAME, self._rate_limiter, MAX_QUEUE_TIME, CALL_TIMEOUT)

    @property
    def write_rate(self) -> float:
        """The number of writes per second that this controller may send at present."""
        return self._write_bucket.rate

    def write_delay(self, priority: CallPriority) -> timedelta:
        """Return how long a single write that is submitted now would wait for the rate limit."""
        return self._rate_limiter.write_delay(priority)

    def get(self, key: str, on_result: Callable[[ReadResult], None], on_send: Callable[[], None] | None = None) -> None:
        """Read one key.

        Parameters
        ----------
        key
            The key.
        on_result
            Called with the result.
        on_send
            Called when the request is sent: whoever asks for the key after that needs another read.
        """

        def on_response(response: Response | None) -> None:
            if response is not None and response.status == HTTPStatus.NOT_FOUND:
                on_result(ReadResult(is_known=True))
                return
            key_value = self._client.decode_success(decode_key_value, response)
            on_result(ReadResult(key_value is not None, key_value))

        request = ServiceCall(CallPriority.READ, "GET", f"{KEYS_PATH}/{quote(key, safe='/')}")
        self._client.call(request, on_response, on_send)

    def list_keys(self, prefix: str, on_snapshot: Callable[[Snapshot | None], None]) -> None:
        """Read all keys with a prefix; `on_snapshot` gets None if a page of the list could not be read."""

        def on_pages(pages: list[KeyValuePage] | None) -> None:
            if pages is None:
                on_snapshot(None)
                return
            key_values = [key_value for page in pages for key_value in page.key_values]
            on_snapshot(Snapshot(pages[0].revision, key_values))

        request = PagedRequest(CallPriority.LEASE, KEYS_PATH, {"prefix": prefix}, PAGE_SIZE)
        self._client.read_pages(request, decode_key_value_page, _last_key, on_pages)

    def commit(
        self,
        transaction: Transaction,
        on_result: Callable[[TransactionResult], None],
        priority: CallPriority = CallPriority.COMMIT,
    ) -> None:
        """Send a transaction and report its result."""

        def on_response(response: Response | None) -> None:
            on_result(self._transaction_result(response))

        def on_reject() -> None:
            on_result(TransactionResult(TransactionOutcome.RATE_LIMITED))

        request = ServiceCall(priority, "POST", TRANSACTION_PATH, transaction.encode(), writes=transaction.size)
        self._client.call(request, on_response, on_reject=on_reject)

    def _transaction_result(self, response: Response | None) -> TransactionResult:
        """Return the result of a transaction from its response; an invalid body leaves the outcome unknown."""
        if response is None:
            return TransactionResult(TransactionOutcome.UNKNOWN)
        if response.status == HTTPStatus.OK:
            revision = self._client.decode_body(decode_commit_revision, response.body)
            if revision is None:
                return TransactionResult(TransactionOutcome.UNKNOWN)
            return TransactionResult(TransactionOutcome.APPLIED, commit_revision=revision)
        if response.status == HTTPStatus.CONFLICT:
            failed_keys = self._client.decode_body(decode_failed_keys, response.body)
            if failed_keys is None:
                return TransactionResult(TransactionOutcome.UNKNOWN)
            return TransactionResult(TransactionOutcome.CONFLICT, conflicting_keys=tuple(failed_keys))
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            return TransactionResult(TransactionOutcome.RATE_LIMITED)
        if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
            body = response.body[:MAX_LOGGED_BODY_BYTES]
            log.error("transaction refused: status=%d body=%r", response.status, body)
        return TransactionResult(TransactionOutcome.REFUSED)

    def create_lease(self, lifetime: timedelta, on_lease: Callable[[int | None], None]) -> None:
        """Create a lease.

        It expires, with the keys written under it, unless it is kept alive within each `lifetime`.

        Parameters
        ----------
        lifetime
            How long the lease is valid after its creation and after each keep-alive.
        on_lease
            Called with the id of the lease, or None if the call failed; a lease that was created all the same expires
            unused.
        """

        def on_response(response: Response | None) -> None:
            on_lease(self._client.decode_success(decode_lease_id, response))

        self._client.call(
            ServiceCall(CallPriority.LEASE, "POST", LEASES_PATH, encode_lease_request(lifetime)), on_response
        )

    def keep_lease_alive(self, lease_id: int, on_status: Callable[[LeaseStatus], None]) -> None:
        """Extend a lease by its lifetime, and report whether it was alive."""

        def on_response(response: Response | None) -> None:
            if response is not None and response.status == HTTPStatus.OK:
                on_status(LeaseStatus.ALIVE)
            elif response is not None and response.status == HTTPStatus.NOT_FOUND:
                on_status(LeaseStatus.EXPIRED)
            else:
                on_status(LeaseStatus.UNKNOWN)

        target = f"{LEASES_PATH}/{lease_id}/touch"
        self._client.call(ServiceCall(CallPriority.LEASE, "POST", target, timeout=KEEP_ALIVE_TIMEOUT), on_response)

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease at once; if the request is lost, the lease expires."""
        request = ServiceCall(CallPriority.LEASE, "DELETE", f"{LEASES_PATH}/{lease_id}")
        self._client.call(request, _ignore_response)

    def watch(
        self,
        prefix: str,
        since: int,
        block: timedelta,
        on_result: Callable[[WatchResult], None],
        on_send: Callable[[], None] | None = None,
    ) -> None:
        """Read the events after a revision.

        Parameters
        ----------
        prefix
            The prefix of the keys.
        since
            The revision after which events are wanted.
        block
            How long the store waits for an event if there is none. A call with zero is a plain read of the changes, and
            has the priority of reads.
        on_result
            Called with the result.
        on_send
            Called when the request is sent.
        """
        query = urlencode({"prefix": prefix, "since": since, "blockMs": int(block / timedelta(milliseconds=1))})

        def on_response(response: Response | None) -> None:
            is_compacted = response is not None and response.status == HTTPStatus.GONE
            on_result(WatchResult(self._client.decode_success(decode_events, response), is_compacted))

        priority = CallPriority.LEASE if block else CallPriority.READ
        request = ServiceCall(priority, "GET", f"{WATCH_PATH}?{query}", timeout=block + WATCH_TIMEOUT_MARGIN)
        self._client.call(request, on_response, on_send)


def _last_key(page: KeyValuePage) -> str | None:
    return page.key_values[-1].key if page.key_values else None


def _ignore_response(_response: Response | None) -> None:
    """Ignore the response to a request whose result no caller needs."""
