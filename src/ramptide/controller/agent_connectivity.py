"""Detects that this controller is cut off from the agents only, and gives up its place in the view meanwhile.

Such a controller would keep its machines until their leases end, and the fleet would return them as silent. So it steps
down when all of its machines are silent while other controllers receive heartbeats from theirs; when no controller
receives any, the fault is not in this controller's network link. After stepping down, this controller probes agents one
by one and applies for a place again when they answer.
"""

import logging
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

from ramptide.agents.shard import Shard
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.cluster.peers import Peers
from ramptide.protocol.agents import INSPECT_PATH
from ramptide.state.records import MachineRecord
from ramptide.transport.runtime import Request, Response, Runtime

__all__ = ["AgentConnectivity"]

log = logging.getLogger(__name__)

#: The cause of stepping down, as logged.
NO_HEARTBEATS = "no_heartbeats"
#: With at least this many machines, all silent for `UNREACHED_TIMEOUT`, this controller's network link is suspected.
MIN_UNREACHED_MACHINES = 3
UNREACHED_TIMEOUT = timedelta(seconds=0.8)
PROBE_INTERVAL = timedelta(seconds=1)
#: The number of agents that must answer in a row before this controller applies for a place again.
REQUIRED_PROBE_REPLIES = 3
#: The controller applies again after this time at the latest, as the machines that it knows may all be gone.
MAX_PROBE_TIME = timedelta(minutes=3)
#: The other controllers elect a leader soon after this controller steps down; when there is no leader after this many
#: probes, this controller is the only one.
MAX_PROBES_WITHOUT_LEADER = 2


class ConnectivityState(Protocol):
    """The machines of the fleet record, and who owns them."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def agent_addresses(self) -> dict[str, str]:
        """The addresses of the agents, by machine."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class AgentConnectivity:
    """Steps down when all agents of the owned machines are silent, and probes agents until they answer again."""

    def __init__(
        self,
        runtime: Runtime,
        state: ConnectivityState,
        membership: Membership,
        peers: Peers,
        machine_index: MachineIndex,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._peers = peers
        self._machine_index = machine_index
        self._unreached_since: timedelta | None = None

    def step_down_if_cut_off(self, shard: Shard) -> None:
        """Give up the place in the view when this controller is cut off from the agents only."""
        now = self._runtime.now
        registered_machines = [machine for machine in shard.machines.values() if machine.record.registered]
        if len(registered_machines) < MIN_UNREACHED_MACHINES or not all(
            machine.has_missed_heartbeats for machine in registered_machines
        ):
            self._unreached_since = None
            return
        # After a stall of this controller, all machines look silent until the heartbeats that came in meanwhile are
        # read.
        self._unreached_since = self._unreached_since or now
        has_timed_out = now - self._unreached_since >= UNREACHED_TIMEOUT
        if has_timed_out and self._can_peers_reach_agents(self._unreached_since):
            log.info("stepping down: cause=%s machines=%d", NO_HEARTBEATS, len(registered_machines))
            self._unreached_since = None
            self._membership.step_down()
            self._probe(since=now, probes=0, replies=0)

    def _can_peers_reach_agents(self, since: timedelta) -> bool:
        """Return whether a member that was heard after `since` receives heartbeats from some of its agents.

        Older messages do not count: their sender may be gone, and the last remaining controller must not give up its
        place.
        """
        peers = self._peers.by_name.items()
        heard_members = {name for name, peer in peers if peer.heard_at is not None and peer.heard_at > since}
        return any(
            observed.is_reported and observed.is_up and not observed.has_missed_heartbeats
            for host, observed in self._machine_index.machines.items()
            if self._state.owner_of(host) in heard_members
        )

    def _probe(self, since: timedelta, probes: int, replies: int) -> None:
        """Ask one known agent after another for its state, and apply for a place again once agents answer."""
        addresses = self._state.agent_addresses
        known_addresses = [addresses[host] for host in self._state.machines if host in addresses]
        if not known_addresses or self._may_apply_again(since, probes, replies):
            log.info("applying for a place again: probes=%d replies=%d", probes, replies)
            self._membership.resume()
            return

        def on_reply(response: Response | None) -> None:
            answered = response is not None and response.status == HTTPStatus.OK
            replies_in_a_row = replies + 1 if answered else 0
            self._runtime.after(PROBE_INTERVAL, lambda: self._probe(since, probes + 1, replies_in_a_row))

        address = known_addresses[probes % len(known_addresses)]
        self._runtime.call(Request(address, "GET", INSPECT_PATH, PROBE_INTERVAL), on_reply)

    def _may_apply_again(self, since: timedelta, probes: int, replies: int) -> bool:
        has_no_leader = probes >= MAX_PROBES_WITHOUT_LEADER and self._membership.is_leaderless
        has_timed_out = self._runtime.now - since >= MAX_PROBE_TIME
        return has_no_leader or replies >= REQUIRED_PROBE_REPLIES or has_timed_out
