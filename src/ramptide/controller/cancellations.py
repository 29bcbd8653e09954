"""Recently confirmed cancellations, which are sent to the other controllers directly."""

from collections import deque
from datetime import timedelta

from ramptide.cluster.peers import Peers
from ramptide.transport.runtime import Runtime

__all__ = ["RecentCancellations"]

#: Longer than any outage of the key-value store during which the other controllers have to learn of cancellations.
RETENTION_TIME = timedelta(seconds=60)


class RecentCancellations:
    """Keeps the jobs whose cancellation was confirmed to a user, in case the key-value store fails afterwards."""

    def __init__(self, runtime: Runtime, peers: Peers) -> None:
        self._runtime = runtime
        self._peers = peers
        self._cancelled: deque[tuple[timedelta, str]] = deque()

    def announce(self, job_id: str) -> None:
        """Record a confirmed cancellation and send it to the other controllers soon."""
        self._cancelled.append((self._runtime.now, job_id))
        self._peers.send_all_soon()

    def prune(self) -> None:
        """Forget the cancellations that were confirmed longer ago than `RETENTION_TIME`."""
        now = self._runtime.now
        while self._cancelled and now - self._cancelled[0][0] > RETENTION_TIME:
            self._cancelled.popleft()

    def job_ids(self) -> list[str]:
        """Return the cancelled jobs, in the order of their confirmations."""
        return [job_id for _, job_id in self._cancelled]
