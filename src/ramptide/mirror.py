"""A copy of the live keys of the state service, kept current by one watch, with the moment it was last proven."""

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto
from typing import Any

from ramptide.protocol.key_value_store import EventBatch, KeyValue
from ramptide.store import Store

log = logging.getLogger(__name__)

BLOCK = timedelta(milliseconds=700)
PAUSE = timedelta(milliseconds=100)
RETRY = timedelta(milliseconds=300)
#: Those who ask wait so long for others to share their read; users wait 2 s for an answer.
GATHER = timedelta(milliseconds=100)
#: So many drops are kept for controllers that lack the state service: what ends in well over any outage of one of them.
DROPS_KEPT = 5000

Changed = Callable[[str, Any, int], None]


class State(Enum):
    """Whether the copy was not loaded yet, is current, or the state service does not answer."""

    LOADING = auto()
    CURRENT = auto()
    LACKING = auto()


class Mirror:
    """Reports each change once, in order of revision for a key: `changed(key, value, mod_revision)`, value None for a deletion.

    `proof` is the moment a request was sent whose answer showed all changes up to then: the copy
    is at least as new as that moment.
    """

    def __init__(self, store: Store, prefix: str, changed: Changed, loaded: Callable[[], None]) -> None:
        self._store = store
        self._prefix = prefix
        self._changed = changed
        self._loaded = loaded
        self._mod_revisions: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        #: The last drops in the order in which we heard of them; all after `_drops_from` are here, None before a load.
        self._drops: dict[str, int] = {}
        self._drops_from: int | None = None
        self._revision = 0
        self.state = State.LOADING
        self.proof: timedelta | None = None
        self._asking: list[Callable[[bool], None]] = []
        self._reading = False
        self._planned = False

    @property
    def lacking(self) -> bool:
        """Whether the state service did not answer the last request."""
        return self.state is not State.CURRENT

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

    def dropped_since(self, revision: int) -> list[str] | None:
        """Return the keys that are known to have been deleted since a revision.

        None when this process does not know all of them, for instance because it started later: what an earlier process
        told its users before it ended is not known here.
        """
        if self._drops_from is None or revision < self._drops_from:
            return None
        return [key for key, mod_revision in self._drops.items() if mod_revision > revision]

    def _keep_drop(self, key: str, mod_revision: int) -> None:
        self._drops.pop(key, None)
        self._drops[key] = mod_revision
        while len(self._drops) > DROPS_KEPT and self._drops_from is not None:
            self._drops_from = max(self._drops_from, self._drops.pop(next(iter(self._drops))))

    def catch_up(self, done: Callable[[bool], None]) -> None:
        """Call `done(True)` once the copy shows a state read begun after this call; False when it can't be read.

        All who ask before the read is sent share it.
        """
        if self.lacking:
            done(False)
            return
        self._asking.append(done)
        self._plan_read()

    def _plan_read(self) -> None:
        if self._asking and not self._reading and not self._planned:
            self._planned = True
            self._store.runtime.after(GATHER, self._read_on)

    def _read_on(self) -> None:
        self._planned = False
        self._reading = True
        asked: list[Callable[[bool], None]] = []
        sent = self._store.runtime.now

        def sending() -> None:
            nonlocal sent
            sent = self._store.runtime.now
            asked.extend(self._asking)
            self._asking.clear()

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
        if self._dropped:
            self._dropped = {key: deleted for key, deleted in self._dropped.items() if deleted > self._revision}
        self._become_current(max(sent, self.proof or sent))

    def applied(self, revision: int, puts: list[tuple[str, Any, int | None]], drops: list[str]) -> None:
        """Apply a transaction of our own that succeeded, ahead of the watch."""
        for key, value, _grant in puts:
            self._take(key, value, revision)
        for key in drops:
            self._take(key, None, revision)

    def _take(self, key: str, value: Any, mod_revision: int) -> None:
        if not key.startswith(self._prefix):
            return
        if mod_revision <= self._mod_revisions.get(key, 0) or mod_revision <= self._dropped.get(key, 0):
            return
        if value is None:
            self._dropped[key] = mod_revision
            self._keep_drop(key, mod_revision)
            if self._mod_revisions.pop(key, None) is None:
                return
        else:
            self._mod_revisions[key] = mod_revision
        self._changed(key, value, mod_revision)

    def _become_current(self, sent: timedelta) -> None:
        if self.state is not State.CURRENT:
            log.info("the state service answers")
        self.state = State.CURRENT
        self.proof = sent

    def _become_lacking(self) -> None:
        if self.state is State.CURRENT:
            log.info("the state service does not answer")
            self.state = State.LACKING

    def _load(self) -> None:
        sent = self._store.runtime.now

        def done(rows: list[KeyValue] | None, revision: int) -> None:
            if rows is None:
                self._become_lacking()
                self._store.runtime.after(RETRY, self._load)
                return
            listed = {row.key for row in rows}
            self._revision = self._drops_from = revision
            self._drops.clear()
            for key in [key for key in self._mod_revisions if key not in listed]:
                self._take(key, None, revision)
            for row in sorted(rows, key=lambda row: row.mod_revision):
                self._take(row.key, row.value, row.mod_revision)
            self._become_current(sent)
            self._loaded()
            self._watch()

        self._store.list(self._prefix, done)

    def _watch(self) -> None:
        context = self._store.runtime
        sent = context.now

        def done(changes: EventBatch | None, gone: bool) -> None:
            if changes is None:
                self._become_lacking()
                context.after(RETRY, self._load if gone else self._watch)
                return
            self._apply(changes, sent)
            # A pause gathers what changes meanwhile: each opened watch counts against the request limit.
            spent = context.now - sent
            context.after(max(PAUSE - spent, timedelta(milliseconds=5)), self._watch)

        self._store.watch(self._prefix, self._revision, BLOCK, done)
