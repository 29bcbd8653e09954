"""Cancellations that were confirmed lately, which the other controllers are told directly."""

from collections import deque
from datetime import timedelta

from ramptide.cluster.peers import Peers
from ramptide.transport.runtime import Runtime

__all__ = ["RecentCancellations"]

#: Longer than any outage of the key-value store that the other controllers have to learn of them in.
KEPT_FOR = timedelta(seconds=60)


class RecentCancellations:
    """Keeps the jobs whose cancellation a user was told of, in case the key-value store fails now."""

    def __init__(self, runtime: Runtime, peers: Peers) -> None:
        self._runtime = runtime
        self._peers = peers
        self._cancelled: deque[tuple[timedelta, str]] = deque()

    def announce(self, job_id: str) -> None:
        """Tell the other controllers of a confirmed cancellation."""
        self._cancelled.append((self._runtime.now, job_id))
        self._peers.send_all_soon()

    def prune(self) -> None:
        """Forget what was confirmed long ago."""
        now = self._runtime.now
        while self._cancelled and now - self._cancelled[0][0] > KEPT_FOR:
            self._cancelled.popleft()

    def job_ids(self) -> list[str]:
        """Return the jobs, in the order of their confirmations."""
        return [job_id for _, job_id in self._cancelled]
