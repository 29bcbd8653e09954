"""The division of a process's file descriptors among clients, peers and outbound connections."""

import resource
from dataclasses import dataclass

from ramptide.protocol.settings_file import Cluster

__all__ = ["ConnectionLimits"]

#: File descriptors kept for the standard streams, the listeners, the selector and the like.
RESERVED_FILE_DESCRIPTORS = 24
#: The limit where neither the settings nor the operating system sets one.
DEFAULT_FILE_DESCRIPTOR_LIMIT = 65_536
MIN_CONNECTIONS = 8
BASE_OUTBOUND_CONNECTIONS = 80
OUTBOUND_CONNECTIONS_PER_CONTROLLER = 4
PEER_CONNECTIONS_PER_CONTROLLER = 30
#: Outbound and peer connections each get at most the total divided by this.
MAX_SHARE_DIVISOR = 5


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The maximum number of connections of each kind, so that no kind can use up those that another kind needs.

    Outbound calls and peers need a few connections for each controller, whatever the size of the fleet. The remaining
    ones are for agents and users, all of which a sole surviving controller has to serve.
    """

    clients: int
    peers: int
    outbound: int

    @classmethod
    def for_cluster(cls, cluster: Cluster) -> "ConnectionLimits":
        """Divide the file descriptors that the settings and the operating system allow this process."""
        total = max(_file_descriptor_limit(cluster) - RESERVED_FILE_DESCRIPTORS, MIN_CONNECTIONS)
        max_share = total // MAX_SHARE_DIVISOR
        outbound = min(BASE_OUTBOUND_CONNECTIONS + OUTBOUND_CONNECTIONS_PER_CONTROLLER * cluster.controllers, max_share)
        peers = min(PEER_CONNECTIONS_PER_CONTROLLER * cluster.controllers, max_share)
        return cls(clients=total - outbound - peers, peers=peers, outbound=outbound)


def _file_descriptor_limit(cluster: Cluster) -> int:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [cluster.process_limits.fd_limit, hard_limit if hard_limit != resource.RLIM_INFINITY else None]
    return min((limit for limit in limits if limit is not None), default=DEFAULT_FILE_DESCRIPTOR_LIMIT)
