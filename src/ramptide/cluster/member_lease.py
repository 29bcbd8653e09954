"""The lease of a member in the key-value store.

The keys of the member are deleted when the lease expires, and the leader then writes a view without the member.
"""

from collections.abc import Callable
from datetime import timedelta

from ramptide.clients.key_value_store import KeyValueStore, LeaseStatus

__all__ = ["LEASE_TIMEOUT", "STEP_INTERVAL", "MemberLease"]

LEASE_TIMEOUT = timedelta(seconds=4)
KEEP_ALIVE_INTERVAL = timedelta(seconds=0.9)
#: How often the lease and the membership are checked.
STEP_INTERVAL = timedelta(seconds=0.25)


class MemberLease:
    """Creates the lease, keeps it alive, and detects its end.

    Parameters
    ----------
    store
        The client of the key-value store.
    on_lost
        Called when the store reports that the lease no longer exists.
    """

    def __init__(self, store: KeyValueStore, on_lost: Callable[[], None]) -> None:
        self._store = store
        self._runtime = store.runtime
        self._on_lost = on_lost
        #: The id of the lease in the store; None without a lease.
        self.lease_id: int | None = None
        #: When the last request that found the lease alive was sent; the keys exist until `LEASE_TIMEOUT` after it.
        self.confirmed_at: timedelta | None = None
        #: When the last keep-alive was sent; moved back to have the next one sent earlier.
        self._kept_alive_at = timedelta(0)

    def create(self, on_done: Callable[[], None]) -> None:
        """Request a lease; `on_done` is called after the reply, whether or not it grants one."""
        sent_at = self._runtime.now

        def on_created(lease_id: int | None) -> None:
            self.lease_id = lease_id
            if lease_id is not None:
                self.confirmed_at = sent_at
            self._kept_alive_at = self._runtime.now
            on_done()

        self._store.create_lease(LEASE_TIMEOUT, on_created)

    def keep_alive_if_due(self) -> None:
        """Send a keep-alive if there is a lease and the last one is at least `KEEP_ALIVE_INTERVAL` ago."""
        if self.lease_id is not None and self._runtime.now - self._kept_alive_at >= KEEP_ALIVE_INTERVAL:
            self._keep_alive(self.lease_id)

    def check_soon(self) -> None:
        """Make the next `keep_alive_if_due` ask the store, as after a failed transaction the lease may have ended."""
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
        """Have the next keep-alive sent one step from now, as the state of the lease is unknown."""
        retry_at = self._runtime.now - KEEP_ALIVE_INTERVAL + STEP_INTERVAL
        self._kept_alive_at = min(self._kept_alive_at, retry_at)

    def forget(self) -> None:
        """Drop the lease id and the time of its last confirmation."""
        self.lease_id = self.confirmed_at = None
