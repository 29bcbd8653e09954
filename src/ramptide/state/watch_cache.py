"""A local copy of the keys with a prefix, kept current by a watch, and the moment as of which it is current."""

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide.clients.key_value_store import KeyValueStore, Snapshot, WatchResult
from ramptide.clients.transactions import Transaction
from ramptide.protocol.key_value_store import EventBatch
from ramptide.state.delete_log import DeleteLog

__all__ = ["CacheState", "ChangeCallback", "WatchCache"]

log = logging.getLogger(__name__)

#: How long the store holds a watch open while there is no event.
WATCH_BLOCK_TIME = timedelta(milliseconds=700)
#: The minimum time between the starts of two watches. Events are collected meanwhile, as each watch counts against the
#: request limit.
WATCH_INTERVAL = timedelta(milliseconds=100)
MIN_WATCH_DELAY = timedelta(milliseconds=5)
RETRY_DELAY = timedelta(milliseconds=300)
#: How long requests for a read are collected before one read serves them all; users wait 2 s for a reply.
READ_BATCH_DELAY = timedelta(milliseconds=100)

#: Receives the key, its new value or None for a deletion, and the revision of the change.
ChangeCallback = Callable[[str, Any, int], None]


class CacheState(Enum):
    """Whether the copy follows the store; the status shows the values.

    ============= =============================== =============
    state         event                           next state
    ============= =============================== =============
    `LOADING`     all keys have been read         `CURRENT`
    `CURRENT`     a load or watch failed          `UNAVAILABLE`
    `UNAVAILABLE` a load, watch or read succeeded `CURRENT`
    ============= =============================== =============

    `WatchCache._become_current` and `WatchCache._become_unavailable` make these transitions. No other event changes the
    state.
    """

    #: The keys have not been read yet.
    LOADING = "loading"
    #: The store answered the last load or watch.
    CURRENT = "current"
    #: The store did not answer the last load or watch; the copy keeps its last content.
    UNAVAILABLE = "lacking"


class WatchCache:
    """Reads the keys once, then watches them, and reports each change once, in the order of revisions for each key.

    Parameters
    ----------
    store
        The key-value store.
    prefix
        The prefix of the keys.
    on_change
        Called for each change. The values are not kept in the cache.
    on_loaded
        Called each time all keys have been read, after their changes have been reported.

    Attributes
    ----------
    state
        Whether the copy follows the store.
    current_as_of
        When the request was sent whose answer last confirmed the copy, which contains all changes up to that moment.
        None before the first load.
    """

    def __init__(
        self, store: KeyValueStore, prefix: str, on_change: ChangeCallback, on_loaded: Callable[[], None]
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_loaded = on_loaded
        self.state = CacheState.LOADING
        self.current_as_of: timedelta | None = None
        self._revision = 0
        self._mod_revisions: dict[str, int] = {}
        #: The revisions of deletions that were applied ahead of `_revision`, so that no older event restores the key.
        self._deleted_ahead: dict[str, int] = {}
        self._delete_log = DeleteLog()
        #: The callbacks that wait for the next read.
        self._waiting_for_read: list[Callable[[bool], None]] = []
        self._is_reading = False
        self._is_read_scheduled = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the keys have not been read yet, or the store did not answer the last load or watch."""
        return self.state is not CacheState.CURRENT

    @property
    def revision(self) -> int:
        """The revision up to which the copy contains every change."""
        return self._revision

    def start(self) -> None:
        """Load the keys, then watch them."""
        self._load()

    def mod_revision(self, key: str) -> int:
        """Return the revision of a key's last change, or 0 when there is no such key."""
        return self._mod_revisions.get(key, 0)

    def was_deleted(self, key: str) -> bool:
        """Return whether one of the latest deletions that the copy contains is that of a key."""
        return key in self._delete_log and key not in self._mod_revisions

    def deleted_since(self, revision: int) -> list[str] | None:
        """Return the keys that were deleted since a revision.

        Return None when this process does not know all of them, for instance because it started later: it does not know
        what an earlier process confirmed to its users.
        """
        return self._delete_log.since(revision)

    def apply_commit(self, transaction: Transaction, revision: int) -> None:
        """Apply a transaction of this controller that succeeded at `revision`, ahead of the watch."""
        for put in transaction.puts:
            self._apply_change(put.key, put.value, revision)
        for key in transaction.deletes:
            self._apply_change(key, None, revision)

    # State transitions

    def _become_current(self, as_of: timedelta) -> None:
        if self.state is not CacheState.CURRENT:
            log.info("key-value store available")
        self.state = CacheState.CURRENT
        self.current_as_of = as_of

    def _become_unavailable(self) -> None:
        if self.state is CacheState.CURRENT:
            log.info("key-value store unavailable")
            self.state = CacheState.UNAVAILABLE

    # Loading and watching

    def _load(self) -> None:
        sent_at = self._store.runtime.now

        def on_snapshot(snapshot: Snapshot | None) -> None:
            if snapshot is None:
                self._become_unavailable()
                self._store.runtime.after(RETRY_DELAY, self._load)
                return
            self._apply_snapshot(snapshot)
            self._become_current(sent_at)
            self._on_loaded()
            self._watch()

        self._store.list_keys(self._prefix, on_snapshot)

    def _watch(self) -> None:
        runtime = self._store.runtime
        sent_at = runtime.now

        def on_result(result: WatchResult) -> None:
            if result.batch is None:
                self._become_unavailable()
                runtime.after(RETRY_DELAY, self._load if result.is_compacted else self._watch)
                return
            self._apply_events(result.batch, sent_at)
            elapsed = runtime.now - sent_at
            runtime.after(max(WATCH_INTERVAL - elapsed, MIN_WATCH_DELAY), self._watch)

        self._store.watch(self._prefix, self._revision, WATCH_BLOCK_TIME, on_result)

    # Reads on request

    def catch_up(self, on_result: Callable[[bool], None]) -> None:
        """Bring the copy up to date with a read that begins after this call.

        Parameters
        ----------
        on_result
            Called with True once the copy contains all changes up to this call, and with False when the store cannot be
            read. All calls before the read is sent share it.
        """
        if self.is_unavailable:
            on_result(False)
            return
        self._waiting_for_read.append(on_result)
        self._schedule_read()

    def _schedule_read(self) -> None:
        if self._waiting_for_read and not self._is_reading and not self._is_read_scheduled:
            self._is_read_scheduled = True
            self._store.runtime.after(READ_BATCH_DELAY, self._read)

    def _read(self) -> None:
        self._is_read_scheduled = False
        self._is_reading = True
        served_callbacks: list[Callable[[bool], None]] = []
        sent_at = self._store.runtime.now

        def on_send() -> None:
            nonlocal sent_at
            sent_at = self._store.runtime.now
            served_callbacks.extend(self._waiting_for_read)
            self._waiting_for_read.clear()

        def on_result(result: WatchResult) -> None:
            self._is_reading = False
            if not served_callbacks:
                # The request was rejected before it was sent.
                on_send()
            if result.batch is not None:
                self._apply_events(result.batch, sent_at)
            for callback in served_callbacks:
                callback(result.batch is not None)
            self._schedule_read()

        self._store.watch(self._prefix, self._revision, timedelta(0), on_result, on_send)

    # Changes of the copy

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._revision = snapshot.revision
        self._delete_log.restart(snapshot.revision)
        listed_keys = {key_value.key for key_value in snapshot.key_values}
        for key in [key for key in self._mod_revisions if key not in listed_keys]:
            self._apply_change(key, None, snapshot.revision)
        for key_value in sorted(snapshot.key_values, key=lambda key_value: key_value.mod_revision):
            self._apply_change(key_value.key, key_value.value, key_value.mod_revision)

    def _apply_events(self, batch: EventBatch, sent_at: timedelta) -> None:
        for event in batch.events:
            if event.mod_revision <= self._revision:
                # Two answers may arrive out of order: the older one must not undo changes of the newer one, in
                # particular a deletion.
                continue
            if event.put_key is not None:
                self._apply_change(event.put_key, event.value, event.mod_revision)
            elif event.deleted_key is not None:
                self._apply_change(event.deleted_key, None, event.mod_revision)
        self._revision = max(self._revision, batch.revision)
        if self._deleted_ahead:
            self._deleted_ahead = {
                key: mod_revision for key, mod_revision in self._deleted_ahead.items() if mod_revision > self._revision
            }
        self._become_current(max(sent_at, self.current_as_of or sent_at))

    def _apply_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Apply and report a change unless it or a newer one has been applied; `value` is None for a deletion."""
        if not key.startswith(self._prefix):
            return
        if mod_revision <= self._mod_revisions.get(key, 0) or mod_revision <= self._deleted_ahead.get(key, 0):
            return
        if value is None:
            self._deleted_ahead[key] = mod_revision
            self._delete_log.add(key, mod_revision)
            if self._mod_revisions.pop(key, None) is None:
                return
        else:
            self._mod_revisions[key] = mod_revision
        self._on_change(key, value, mod_revision)
