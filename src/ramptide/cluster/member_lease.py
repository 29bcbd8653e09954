"""The lease that a member's keys in the key-value store hang on: without it the others leave the member out."""

from collections.abc import Callable
from datetime import timedelta

from ramptide.clients.key_value_store import KeyValueStore, LeaseStatus

__all__ = ["LEASE_TIMEOUT", "STEP_INTERVAL", "MemberLease"]

LEASE_TIMEOUT = timedelta(seconds=4)
KEEP_ALIVE_INTERVAL = timedelta(seconds=0.9)
#: How often the lease and the membership are looked at.
STEP_INTERVAL = timedelta(seconds=0.25)


class MemberLease:
    """Creates the lease, keeps it alive, and notices its end.

    Parameters
    ----------
    store
        The client of the key-value store.
    on_lost
        Called when the store says that the lease does not exist any more.
    """

    def __init__(self, store: KeyValueStore, on_lost: Callable[[], None]) -> None:
        self._store = store
        self._runtime = store.runtime
        self._on_lost = on_lost
        #: The lease's number in the store; None without a lease.
        self.lease_id: int | None = None
        #: When the last request was sent that found the lease alive: until `LEASE_TIMEOUT` after it the keys exist.
        self.confirmed_at: timedelta | None = None
        self._kept_alive_at = timedelta(0)

    def create(self, done: Callable[[], None]) -> None:
        """Request a lease; `done` is called after the reply, whether there is a lease then or not."""
        sent_at = self._runtime.now

        def on_created(lease_id: int | None) -> None:
            self.lease_id = lease_id
            if lease_id is not None:
                self.confirmed_at = sent_at
            self._kept_alive_at = self._runtime.now
            done()

        self._store.create_lease(LEASE_TIMEOUT, on_created)

    def keep_alive_if_due(self) -> None:
        """Keep the lease alive when the last request for that is long ago."""
        if self.lease_id is not None and self._runtime.now - self._kept_alive_at >= KEEP_ALIVE_INTERVAL:
            self._keep_alive(self.lease_id)

    def check_soon(self) -> None:
        """Have the next `keep_alive_if_due` ask the store, as a failed transaction may mean that the lease ended."""
        self._kept_alive_at = min(self._kept_alive_at, self._runtime.now - KEEP_ALIVE_INTERVAL)

    def _keep_alive(self, lease_id: int) -> None:
        sent_at = self._kept_alive_at = self._runtime.now

        def on_status(status: LeaseStatus) -> None:
            if status is LeaseStatus.UNKNOWN:
                self._retry_soon()
            elif self.lease_id != lease_id:
                return
            elif status is LeaseStatus.ALIVE:
                self.confirmed_at = sent_at
            else:
                self._on_lost()

        self._store.keep_lease_alive(lease_id, on_status)

    def _retry_soon(self) -> None:
        """Nobody knows whether the lease is alive: ask again after one more step."""
        retry_at = self._runtime.now - KEEP_ALIVE_INTERVAL + STEP_INTERVAL
        self._kept_alive_at = min(self._kept_alive_at, retry_at)

    def forget(self) -> None:
        """Continue without a lease."""
        self.lease_id = self.confirmed_at = None
