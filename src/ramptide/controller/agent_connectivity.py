"""Whether this controller is cut off from the agents alone, and what it does about it.

It would keep its machines until their leases end, and the fleet would return them as silent. So it steps down when all
of its machines are silent while other controllers hear theirs; when nobody hears any, the fault is not in its network
link. Then it probes agents one by one and applies for a place again when they answer.
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

#: The cause of stepping down, in the log.
NO_HEARTBEATS = "no_heartbeats"
#: So many machines, all silent for so long, tell of our own link.
MIN_UNREACHED_MACHINES = 3
UNREACHED_TIMEOUT = timedelta(seconds=0.8)
PROBE_INTERVAL = timedelta(seconds=1)
#: So many agents in a row must answer before we apply for a place again.
REQUIRED_PROBE_REPLIES = 3
#: We apply again after so long at the most, as the machines that we know may all be gone.
MAX_PROBE_TIME = timedelta(minutes=3)
#: The others elect a leader within a moment of our leaving; when none leads after so many probes, there are no others.
MAX_PROBES_WITHOUT_LEADER = 2


class ConnectivityState(Protocol):
    """The machines of the fleet record, and who owns them."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def agent_addresses(self) -> dict[str, str]:
        """Where agents can be called, by machine."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class AgentConnectivity:
    """Steps down when all agents of ours are silent, and probes agents until they answer again."""

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

    def check(self, shard: Shard) -> None:
        """Give up our place in the view when we are cut off from the agents alone."""
        now = self._runtime.now
        used = [machine for machine in shard.machines.values() if machine.record.registered]
        if len(used) < MIN_UNREACHED_MACHINES or not all(machine.missed_heartbeats for machine in used):
            self._unreached_since = None
            return
        # After a stall of our own all look silent until what came in meanwhile is read.
        self._unreached_since = self._unreached_since or now
        is_long = now - self._unreached_since >= UNREACHED_TIMEOUT
        if is_long and self._others_hear_agents(self._unreached_since):
            log.info("stepping down: cause=%s machines=%d", NO_HEARTBEATS, len(used))
            self._unreached_since = None
            self._membership.step_down()
            self._probe(since=now, probes=0, replies=0)

    def _others_hear_agents(self, since: timedelta) -> bool:
        """Tell whether a member that we have heard since then hears some of its agents.

        What one told before says nothing: it may be gone, and the last one that is left must not give up its place.
        """
        peers = self._peers.by_name.items()
        heard = {name for name, peer in peers if peer.heard_at is not None and peer.heard_at > since}
        return any(
            observed.is_reported and observed.is_up and not observed.missed_heartbeats
            for host, observed in self._machine_index.machines.items()
            if self._state.owner_of(host) in heard
        )

    def _probe(self, since: timedelta, probes: int, replies: int) -> None:
        """Wait until agents answer again, by asking one known agent after the other for its state."""
        addresses = self._state.agent_addresses
        known = [addresses[host] for host in self._state.machines if host in addresses]
        if not known or self._may_apply_again(since, probes, replies):
            log.info("applying for a place again: probes=%d replies=%d", probes, replies)
            self._membership.resume()
            return

        def on_reply(response: Response | None) -> None:
            answered = response is not None and response.status == HTTPStatus.OK
            in_a_row = replies + 1 if answered else 0
            self._runtime.after(PROBE_INTERVAL, lambda: self._probe(since, probes + 1, in_a_row))

        address = known[probes % len(known)]
        self._runtime.call(Request(address, "GET", INSPECT_PATH, PROBE_INTERVAL), on_reply)

    def _may_apply_again(self, since: timedelta, probes: int, replies: int) -> bool:
        nobody_leads = probes >= MAX_PROBES_WITHOUT_LEADER and self._membership.is_leaderless
        is_long = self._runtime.now - since >= MAX_PROBE_TIME
        return nobody_leads or replies >= REQUIRED_PROBE_REPLIES or is_long
