"""A copy of the live keys of the state service, kept current by one watch, with the moment it was last proven."""

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.protocol.key_value_store import EventBatch, KeyValue

log = logging.getLogger(__name__)

WATCH_BLOCK = timedelta(milliseconds=700)
WATCH_INTERVAL = timedelta(milliseconds=100)
RETRY_DELAY = timedelta(milliseconds=300)
#: Those who ask wait so long for others to share their read; users wait 2 s for an answer.
READ_BATCH_DELAY = timedelta(milliseconds=100)
#: So many drops are kept for controllers that lack the state service: what ends in well over any outage of one of them.
DELETES_KEPT = 5000

Changed = Callable[[str, Any, int], None]


class CacheState(Enum):
    """Whether the copy was not loaded yet, is current, or the store does not answer. The value stands in the status."""

    LOADING = "loading"
    CURRENT = "current"
    UNAVAILABLE = "lacking"


class WatchCache:
    """Reports each change once, in order of revision for a key; the value is None for a deletion.

    `proof` is the moment a request was sent whose answer showed all changes up to then: the copy
    is at least as new as that moment.
    """

    def __init__(self, store: KeyValueStore, prefix: str, changed: Changed, loaded: Callable[[], None]) -> None:
        self._store = store
        self._prefix = prefix
        self._on_change = changed
        self._on_loaded = loaded
        self._mod_revisions: dict[str, int] = {}
        self._deleted: dict[str, int] = {}
        #: The last drops in the order in which we heard of them; all after `_drops_from` are here, None before a load.
        self._recent_deletes: dict[str, int] = {}
        self._recent_deletes_since: int | None = None
        self._revision = 0
        self.state = CacheState.LOADING
        self.current_as_of: timedelta | None = None
        self._waiting_reads: list[Callable[[bool], None]] = []
        self._reading = False
        self._planned = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the state service did not answer the last request."""
        return self.state is not CacheState.CURRENT

    def start(self) -> None:
        """Load the keys, then watch them."""
        self._load()

    def mod_revision(self, key: str) -> int:
        """Return the revision of a key's last change, or 0 when there is no such key."""
        return self._mod_revisions.get(key, 0)

    @property
    def revision(self) -> int:
        """The revision up to which the copy shows every change."""
        return self._revision

    def deleted_since(self, revision: int) -> list[str] | None:
        """Return the keys that are known to have been deleted since a revision.

        None when this process does not know all of them, for instance because it started later: what an earlier process
        told its users before it ended is not known here.
        """
        if self._recent_deletes_since is None or revision < self._recent_deletes_since:
            return None
        return [key for key, mod_revision in self._recent_deletes.items() if mod_revision > revision]

    def _remember_delete(self, key: str, mod_revision: int) -> None:
        self._recent_deletes.pop(key, None)
        self._recent_deletes[key] = mod_revision
        while len(self._recent_deletes) > DELETES_KEPT and self._recent_deletes_since is not None:
            self._recent_deletes_since = max(
                self._recent_deletes_since, self._recent_deletes.pop(next(iter(self._recent_deletes)))
            )

    def catch_up(self, done: Callable[[bool], None]) -> None:
        """Call `done(True)` once the copy shows a state read begun after this call; False when it can't be read.

        All who ask before the read is sent share it.
        """
        if self.is_unavailable:
            done(False)
            return
        self._waiting_reads.append(done)
        self._plan_read()

    def _plan_read(self) -> None:
        if self._waiting_reads and not self._reading and not self._planned:
            self._planned = True
            self._store.runtime.after(READ_BATCH_DELAY, self._read_on)

    def _read_on(self) -> None:
        self._planned = False
        self._reading = True
        asked: list[Callable[[bool], None]] = []
        sent = self._store.runtime.now

        def sending() -> None:
            nonlocal sent
            sent = self._store.runtime.now
            asked.extend(self._waiting_reads)
            self._waiting_reads.clear()

        def done(changes: EventBatch | None, gone: bool) -> None:
            self._reading = False
            if not asked:
                # The call was refused before it left.
                sending()
            if changes is not None:
                self._apply(changes, sent)
            for one in asked:
                one(changes is not None)
            self._plan_read()

        self._store.watch(self._prefix, self._revision, timedelta(0), done, sending)

    def _apply(self, changes: EventBatch, sent: timedelta) -> None:
        for change in changes.events:
            if change.mod_revision <= self._revision:
                # Two answers cross: what the newer one has shown, a drop above all, the older must not undo.
                continue
            if change.put_key is not None:
                self._take(change.put_key, change.value, change.mod_revision)
            elif change.deleted_key is not None:
                self._take(change.deleted_key, None, change.mod_revision)
        self._revision = max(self._revision, changes.revision)
        if self._deleted:
            self._deleted = {key: deleted for key, deleted in self._deleted.items() if deleted > self._revision}
        self._become_current(max(sent, self.current_as_of or sent))

    def apply_own(self, revision: int, puts: list[tuple[str, Any, int | None]], drops: list[str]) -> None:
        """Apply a transaction of our own that succeeded, ahead of the watch."""
        for key, value, _grant in puts:
            self._take(key, value, revision)
        for key in drops:
            self._take(key, None, revision)

    def _take(self, key: str, value: Any, mod_revision: int) -> None:
        if not key.startswith(self._prefix):
            return
        if mod_revision <= self._mod_revisions.get(key, 0) or mod_revision <= self._deleted.get(key, 0):
            return
        if value is None:
            self._deleted[key] = mod_revision
            self._remember_delete(key, mod_revision)
            if self._mod_revisions.pop(key, None) is None:
                return
        else:
            self._mod_revisions[key] = mod_revision
        self._on_change(key, value, mod_revision)

    def _become_current(self, sent: timedelta) -> None:
        if self.state is not CacheState.CURRENT:
            log.info("the state service answers")
        self.state = CacheState.CURRENT
        self.current_as_of = sent

    def _become_unavailable(self) -> None:
        if self.state is CacheState.CURRENT:
            log.info("the state service does not answer")
            self.state = CacheState.UNAVAILABLE

    def _load(self) -> None:
        sent = self._store.runtime.now

        def done(rows: list[KeyValue] | None, revision: int) -> None:
            if rows is None:
                self._become_unavailable()
                self._store.runtime.after(RETRY_DELAY, self._load)
                return
            listed = {row.key for row in rows}
            self._revision = self._recent_deletes_since = revision
            self._recent_deletes.clear()
            for key in [key for key in self._mod_revisions if key not in listed]:
                self._take(key, None, revision)
            for row in sorted(rows, key=lambda row: row.mod_revision):
                self._take(row.key, row.value, row.mod_revision)
            self._become_current(sent)
            self._on_loaded()
            self._watch()

        self._store.list(self._prefix, done)

    def _watch(self) -> None:
        context = self._store.runtime
        sent = context.now

        def done(changes: EventBatch | None, gone: bool) -> None:
            if changes is None:
                self._become_unavailable()
                context.after(RETRY_DELAY, self._load if gone else self._watch)
                return
            self._apply(changes, sent)
            # A pause gathers what changes meanwhile: each opened watch counts against the request limit.
            spent = context.now - sent
            context.after(max(WATCH_INTERVAL - spent, timedelta(milliseconds=5)), self._watch)

        self._store.watch(self._prefix, self._revision, WATCH_BLOCK, done)
