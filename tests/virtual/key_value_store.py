"""A simulation of the consensus-backed key-value store, with transactions, leases and watches."""

import itertools
import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from ramptide.protocol.key_value_store import KEYS_PATH, LEASES_PATH, TRANSACTION_PATH, WATCH_PATH
from virtual.clock import MILLISECOND, SECOND
from virtual.network import Respond

if TYPE_CHECKING:
    from virtual.world import World

#: How often a watch without changes to report checks again.
WATCH_POLL_INTERVAL = 20 * MILLISECOND
DEFAULT_PAGE_SIZE_KEYS = 1000


class Entry(NamedTuple):
    """The value of a key, the revision of its last change, and the lease with which it expires, if any."""

    value: Any
    mod_revision: int
    lease_id: int | None


class Lease(NamedTuple):
    """A lease; the keys that were put with it are deleted when it expires."""

    expires_at: timedelta
    duration: timedelta


class Put(NamedTuple):
    """An operation of a transaction that gives a key a new value."""

    key: str
    value: Any
    lease_id: int | None


class KeyValueStore:
    """Implements the protocol of the store; each transaction is applied at once and as a whole."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, Lease] = {}
        #: All changes, in the form in which watches report them.
        self.events: list[dict[str, Any]] = []
        self.is_down = False
        #: The controllers whose requests are refused while those of other controllers are served.
        self.refused_callers: set[str] = set()
        self._lease_ids = itertools.count(1)

    def start_outage(self, seconds: float) -> None:
        """Refuse all requests for a while; all leases are renewed when the outage ends."""
        self.is_down = True

        def end() -> None:
            self.is_down = False
            self.leases = {lease_id: self._lease_from_now(lease.duration) for lease_id, lease in self.leases.items()}

        self.world.after(seconds * SECOND, end)

    def put(self, key: str, value: Any, lease_id: int | None = None) -> None:
        """Write a key directly, without a request and without conditions."""
        self._commit([Put(key, value, lease_id)], [])

    def handle(self, caller: str, method: str, target: str, body: bytes, respond: Respond) -> None:
        """Handle a request; `caller` is the name of the controller that sent it."""
        self._expire_leases()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        is_refused = self.is_down or caller in self.refused_callers
        if is_refused:
            respond(503, {})
        elif parts.path == WATCH_PATH:
            deadline = self.world.now + int(query["blockMs"]) * MILLISECOND
            self._watch(query["prefix"], int(query["since"]), deadline, respond)
        elif parts.path == KEYS_PATH:
            self._list_keys(query, respond)
        elif parts.path.startswith(KEYS_PATH + "/"):
            self._get_key(unquote(parts.path[len(KEYS_PATH) + 1 :]), respond)
        elif parts.path == TRANSACTION_PATH:
            self._transact(json.loads(body), respond)
        elif parts.path == LEASES_PATH:
            self._grant_lease(json.loads(body)["lifeMs"] * MILLISECOND, respond)
        else:
            self._change_lease(method, int(parts.path.split("/")[2]), respond)

    # Keys.

    def _list_keys(self, query: dict[str, str], respond: Respond) -> None:
        rows = [
            _encode_entry(key, entry)
            for key, entry in sorted(self.entries.items())
            if key.startswith(query["prefix"]) and key > query.get("since", "")
        ]
        limit = int(query.get("limit", DEFAULT_PAGE_SIZE_KEYS))
        respond(200, {"rows": rows[:limit], "more": len(rows) > limit, "epoch": self.revision})

    def _get_key(self, key: str, respond: Respond) -> None:
        entry = self.entries.get(key)
        if entry is None:
            respond(404, {"epoch": self.revision})
        else:
            respond(200, _encode_entry(key, entry))

    def _transact(self, transaction: dict[str, Any], respond: Respond) -> None:
        failed = [
            condition["path"]
            for condition in transaction["when"]
            if self._mod_revision(condition["path"]) != condition["stamp"]
        ]
        if failed:
            respond(409, {"failed": failed, "epoch": self.revision})
            return
        operations = transaction["then"]
        puts = [
            Put(operation["put"], operation["v"], operation.get("tenancy"))
            for operation in operations
            if "put" in operation
        ]
        if any(put.lease_id is not None and put.lease_id not in self.leases for put in puts):
            respond(400, {"error": "no such lease"})
            return
        self._commit(puts, [operation["drop"] for operation in operations if "drop" in operation])
        respond(200, {"epoch": self.revision})

    def _mod_revision(self, key: str) -> int:
        entry = self.entries.get(key)
        return 0 if entry is None else entry.mod_revision

    def _commit(self, puts: list[Put], deletes: list[str]) -> None:
        self.revision += 1
        for key, value, lease_id in puts:
            self.entries[key] = Entry(value, self.revision, lease_id)
            self.events.append({"put": key, "v": value, "stamp": self.revision})
        for key in deletes:
            if self.entries.pop(key, None) is not None:
                self.events.append({"drop": key, "stamp": self.revision})

    def _watch(self, prefix: str, since: int, deadline: timedelta, respond: Respond) -> None:
        self._expire_leases()
        events = [event for event in self.events if event["stamp"] > since and _key_of_event(event).startswith(prefix)]
        if (events or self.world.now >= deadline) and not self.is_down:
            respond(200, {"epoch": self.revision, "news": events})
        else:
            self.world.after(WATCH_POLL_INTERVAL, lambda: self._watch(prefix, since, deadline, respond))

    # Leases.

    def _lease_from_now(self, duration: timedelta) -> Lease:
        return Lease(self.world.now + duration, duration)

    def _grant_lease(self, duration: timedelta, respond: Respond) -> None:
        lease_id = next(self._lease_ids)
        self.leases[lease_id] = self._lease_from_now(duration)
        respond(200, {"tenancy": lease_id})

    def _change_lease(self, method: str, lease_id: int, respond: Respond) -> None:
        """Renew a lease, or revoke it with the method DELETE."""
        if method == "DELETE" and lease_id in self.leases:
            self.leases[lease_id] = Lease(self.world.now - SECOND, SECOND)
            self._expire_leases()
        if lease_id not in self.leases:
            respond(404, {})
            return
        self.leases[lease_id] = self._lease_from_now(self.leases[lease_id].duration)
        respond(200, {"tenancy": lease_id})

    def _expire_leases(self) -> None:
        if self.is_down:
            return
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at < self.world.now:
                del self.leases[lease_id]
                keys = [key for key, entry in self.entries.items() if entry.lease_id == lease_id]
                if keys:
                    self._commit([], keys)


def _encode_entry(key: str, entry: Entry) -> dict[str, Any]:
    return {"path": key, "v": entry.value, "stamp": entry.mod_revision}


def _key_of_event(event: dict[str, Any]) -> str:
    return str(event.get("put", event.get("drop", "")))
