"""The interface of the key-value store: reads, compare-and-swap transactions, leases and watches."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from msgspec import Struct

from ramptide.protocol.types import Count, decode_message, encode_json

__all__ = [
    "KEYS_PATH",
    "LEASES_PATH",
    "TRANSACTION_PATH",
    "WATCH_PATH",
    "Event",
    "EventBatch",
    "KeyValue",
    "KeyValuePage",
    "Put",
    "decode_commit_revision",
    "decode_events",
    "decode_failed_keys",
    "decode_key_value",
    "decode_key_value_page",
    "decode_lease_id",
    "encode_lease_request",
    "encode_transaction",
]

KEYS_PATH = "/kv"
TRANSACTION_PATH = "/txn"
LEASES_PATH = "/grants"
WATCH_PATH = "/changes"


class KeyValue(Struct, rename={"key": "path", "value": "v", "mod_revision": "stamp"}):
    """A key with its value and the revision of its last change.

    Controllers never write null, so that a missing value cannot be mistaken for a deleted key.
    """

    key: str
    value: Any
    mod_revision: Count

    def __post_init__(self) -> None:
        """Check that there is a value."""
        if self.value is None:
            raise ValueError("a key without a value")


class KeyValuePage(Struct, rename={"key_values": "rows", "revision": "epoch"}):
    """A page of keys with their values, as of a revision; `more`: whether another page follows."""

    key_values: list[KeyValue]
    revision: Count
    more: bool


class Event(Struct, rename={"mod_revision": "stamp", "put_key": "put", "deleted_key": "drop", "value": "v"}):
    """A change of one key: a put with its value, or a deletion."""

    mod_revision: Count
    put_key: str | None = None
    deleted_key: str | None = None
    value: Any = None

    def __post_init__(self) -> None:
        """Check that the event is either a put with a value or a deletion."""
        is_put, is_deletion = self.put_key is not None, self.deleted_key is not None
        if is_put is is_deletion or is_put is (self.value is None):
            raise ValueError("neither a put with a value nor a drop")


class EventBatch(Struct, rename={"revision": "epoch", "events": "news"}):
    """All changes of the watched keys up to a revision."""

    revision: Count
    events: list[Event]


class _Commit(Struct, rename={"revision": "epoch"}):
    revision: Count


class _Conflict(Struct, rename={"failed_keys": "failed"}):
    failed_keys: list[str]


class _LeaseReply(Struct, rename={"lease_id": "tenancy"}):
    lease_id: Count


class _LeaseRequest(Struct, rename={"lifetime_ms": "lifeMs"}):
    lifetime_ms: int


class _Condition(Struct, rename={"key": "path", "mod_revision": "stamp"}):
    key: str
    mod_revision: int


class Put(Struct, omit_defaults=True, rename={"key": "put", "value": "v", "lease_id": "tenancy"}):
    """An operation that gives a key a new value; with `lease_id`, the key expires with that lease."""

    key: str
    value: Any
    lease_id: int | None = None


class _Delete(Struct, rename={"key": "drop"}):
    key: str


class _TransactionRequest(Struct, rename={"conditions": "when", "operations": "then"}):
    conditions: list[_Condition]
    operations: list[Put | _Delete]


def decode_key_value(body: bytes) -> KeyValue:
    """Decode a key with its value.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, KeyValue)


def decode_key_value_page(body: bytes) -> KeyValuePage:
    """Decode a page of keys with their values.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, KeyValuePage)


def decode_events(body: bytes) -> EventBatch:
    """Decode the events that a watch reports.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, EventBatch)


def decode_commit_revision(body: bytes) -> int:
    """Decode the revision at which a transaction was applied.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, _Commit).revision


def decode_failed_keys(body: bytes) -> list[str]:
    """Decode the keys whose conditions did not hold, from the response to a transaction with a conflict.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, _Conflict).failed_keys


def decode_lease_id(body: bytes) -> int:
    """Decode the id of a new lease.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, _LeaseReply).lease_id


def encode_lease_request(lifetime: timedelta) -> bytes:
    """Encode a request to create a lease."""
    return encode_json(_LeaseRequest(int(lifetime / timedelta(milliseconds=1))))


def encode_transaction(conditions: Mapping[str, int], puts: Iterable[Put], deletes: Iterable[str]) -> bytes:
    """Encode a compare-and-swap transaction.

    Parameters
    ----------
    conditions
        The modification revision that each key must have, by key; 0 for a key that must not exist.
    puts
        Keys with their new value and, for a key that expires with a lease, the id of the lease.
    deletes
        The keys to delete.
    """
    operations: list[Put | _Delete] = [*puts, *(_Delete(key) for key in deletes)]
    return encode_json(
        _TransactionRequest([_Condition(key, revision) for key, revision in conditions.items()], operations)
    )
