"""A copy of the store's keys with a prefix, kept current by one watch, and the moment as of which it is current."""

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

#: How long the store holds a watch open when there is no event.
WATCH_BLOCK = timedelta(milliseconds=700)
#: The least time from one watch to the next: each counts against the request limit, so events are gathered.
WATCH_INTERVAL = timedelta(milliseconds=100)
MIN_WATCH_DELAY = timedelta(milliseconds=5)
RETRY_DELAY = timedelta(milliseconds=300)
#: Those who ask wait so long for others to share their read; users wait 2 s for an answer.
READ_BATCH_DELAY = timedelta(milliseconds=100)

#: Gets the key, its new value or None for a deletion, and the revision of the change.
ChangeCallback = Callable[[str, Any, int], None]


class CacheState(Enum):
    """Whether the copy follows the store; the values stand in the status.

    ============= =========================== =============
    state         event                       next state
    ============= =========================== =============
    `LOADING`     all keys were read          `CURRENT`
    `CURRENT`     a read or watch failed      `UNAVAILABLE`
    `UNAVAILABLE` a read or watch succeeded   `CURRENT`
    ============= =========================== =============

    `WatchCache._become_current` and `WatchCache._become_unavailable` make these changes; any other event leaves the
    state as it is.
    """

    #: The keys were not read yet.
    LOADING = "loading"
    #: The store answered the last request.
    CURRENT = "current"
    #: The store did not answer the last request; the copy is as it was.
    UNAVAILABLE = "lacking"


class WatchCache:
    """Reads the keys once, then watches them, and reports each change once, in order of revision for a key.

    Parameters
    ----------
    store
        The key-value store.
    prefix
        The prefix of the keys.
    on_change
        Called for each change. The values are not kept here.
    on_loaded
        Called each time all keys were read, after their changes were reported.

    Attributes
    ----------
    state
        Whether the copy follows the store.
    current_as_of
        When a request was sent whose answer showed all changes up to then: the copy is at least as new as that moment.
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
        #: Deletions that were applied ahead of `_revision`: an older event must not bring the key back.
        self._deleted_ahead: dict[str, int] = {}
        self._delete_log = DeleteLog()
        #: Those who wait for the next read.
        self._waiting_for_read: list[Callable[[bool], None]] = []
        self._is_reading = False
        self._is_read_scheduled = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the store did not answer the last request."""
        return self.state is not CacheState.CURRENT

    @property
    def revision(self) -> int:
        """The revision up to which the copy shows every change."""
        return self._revision

    def start(self) -> None:
        """Load the keys, then watch them."""
        self._load()

    def mod_revision(self, key: str) -> int:
        """Return the revision of a key's last change, or 0 when there is no such key."""
        return self._mod_revisions.get(key, 0)

    def deleted_since(self, revision: int) -> list[str] | None:
        """Return the keys that are known to have been deleted since a revision.

        None when this process does not know all of them, for instance because it started later: what an earlier process
        told its users before it ended is not known here.
        """
        return self._delete_log.since(revision)

    def apply_commit(self, transaction: Transaction, revision: int) -> None:
        """Apply a transaction of our own that succeeded at `revision`, ahead of the watch."""
        for put in transaction.puts:
            self._apply_change(put.key, put.value, revision)
        for key in transaction.deletes:
            self._apply_change(key, None, revision)

    # Changes of state.

    def _become_current(self, as_of: timedelta) -> None:
        if self.state is not CacheState.CURRENT:
            log.info("key-value store available")
        self.state = CacheState.CURRENT
        self.current_as_of = as_of

    def _become_unavailable(self) -> None:
        if self.state is CacheState.CURRENT:
            log.info("key-value store unavailable")
            self.state = CacheState.UNAVAILABLE

    # Load and watch.

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

        self._store.watch(self._prefix, self._revision, WATCH_BLOCK, on_result)

    # Reads on request.

    def catch_up(self, on_result: Callable[[bool], None]) -> None:
        """Bring the copy up to date with a read that begins after this call.

        Parameters
        ----------
        on_result
            Called with True once the copy shows all changes up to now, with False when the store cannot be read. All
            who ask before the read is sent share it.
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
        served: list[Callable[[bool], None]] = []
        sent_at = self._store.runtime.now

        def on_send() -> None:
            nonlocal sent_at
            sent_at = self._store.runtime.now
            served.extend(self._waiting_for_read)
            self._waiting_for_read.clear()

        def on_result(result: WatchResult) -> None:
            self._is_reading = False
            if not served:
                # The call was rejected before it left.
                on_send()
            if result.batch is not None:
                self._apply_events(result.batch, sent_at)
            for report in served:
                report(result.batch is not None)
            self._schedule_read()

        self._store.watch(self._prefix, self._revision, timedelta(0), on_result, on_send)

    # Changes of the copy.

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
                # Two answers cross: what the newer one has shown, a deletion above all, the older must not undo.
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
        """Apply and report a change unless it is an old one; `value` is None for a deletion."""
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
