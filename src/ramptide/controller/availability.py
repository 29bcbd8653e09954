"""Finds what this controller cannot reach at present, for the status, the health check and the log."""

import logging
from datetime import timedelta
from typing import Protocol

from ramptide.agents.lease_expiry import MISSED_HEARTBEAT_LIMIT
from ramptide.agents.shard import Shard
from ramptide.api.telemetry import StallDetector
from ramptide.cluster.membership import Membership
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.controller.authority import Authority
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["Availability", "PeerFreshness"]

log = logging.getLogger(__name__)

LOG_INTERVAL = timedelta(seconds=1)
#: A controller that has not replied for this long counts as unavailable.
PEER_TIMEOUT = timedelta(seconds=5)


class ShardSource(Protocol):
    """Provides the view that this controller acts in, and the machines that it owns there."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def shard(self) -> Shard | None:
        """The machines that this controller owns; None without a place in the view."""


class PeerFreshness:
    """Determines which members were heard recently."""

    def __init__(self, runtime: Runtime, member: str, peers: Peers, heartbeat_interval: timedelta) -> None:
        self._runtime = runtime
        self._member = member
        self._peers = peers
        self._max_silence = heartbeat_interval * MISSED_HEARTBEAT_LIMIT

    def fresh_members(self) -> set[str]:
        """Return the members that were heard recently, this controller included.

        What is known of the remaining members' machines is too old to be used.
        """
        now, fresh = self._runtime.now, {self._member}
        for name, peer in self._peers.by_name.items():
            if peer.last_message is not None and peer.heard_at is not None and now - peer.heard_at < self._max_silence:
                fresh.add(name)
        return fresh


class Availability:
    """Lists the dependencies that are unavailable to this controller, and logs each change of that list."""

    def __init__(
        self,
        runtime: Runtime,
        state: ShardSource,
        authority: Authority,
        membership: Membership,
        watch_cache: WatchCache,
        peers: Peers,
        stall_detector: StallDetector,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._authority = authority
        self._membership = membership
        self._watch_cache = watch_cache
        self._peers = peers
        self._stall_detector = stall_detector
        self._logged_dependencies: list[str] = []

    def start(self) -> None:
        """Start logging changes, which continues until the process ends."""
        self._runtime.after(LOG_INTERVAL, self._log_changes)

    def unavailable_dependencies(self) -> list[str]:
        """Return what this controller cannot reach or does not have at present, as text for operators."""
        unavailable = []
        if self._watch_cache.is_unavailable:
            unavailable.append("state service")
        if not self._has_place_in_view():
            unavailable.append("place in the view")
        unavailable += [f"controller {name}" for name in self._unavailable_peers()]
        if self._has_lost_all_machines():
            unavailable.append("all its machines")
        return unavailable

    def _has_place_in_view(self) -> bool:
        view = self._state.view
        has_newer_view = view is not None and self._peers.newest_view > view.number
        return self._membership.is_serving and not has_newer_view

    def _unavailable_peers(self) -> list[str]:
        now = self._runtime.now
        return [
            name
            for name, peer in self._peers.by_name.items()
            if peer.replied_at is None or now - peer.replied_at > PEER_TIMEOUT
        ]

    def _has_lost_all_machines(self) -> bool:
        shard = self._state.shard
        machines_up = [machine for machine in shard.machines.values() if machine.is_up] if shard is not None else []
        return (
            bool(machines_up)
            and self._authority.may_reply()
            and all(machine.has_missed_heartbeats for machine in machines_up)
        )

    def _log_changes(self) -> None:
        self._runtime.after(LOG_INTERVAL, self._log_changes)
        if self._stall_detector.has_stalled(self._runtime.now, LOG_INTERVAL):
            # The messages that other controllers sent during the stall are still to be read.
            return
        unavailable = self.unavailable_dependencies()
        if unavailable != self._logged_dependencies:
            self._logged_dependencies = unavailable
            log.info("dependencies changed: unavailable=%r", ", ".join(unavailable) or "none")
