"""How a process divides its file descriptors among those who call it and those whom it calls."""

import resource
from dataclasses import dataclass

from ramptide.protocol.settings_file import Cluster

__all__ = ["ConnectionLimits"]

#: File descriptors for standard streams, listeners, the selector and the like.
RESERVED_FILE_DESCRIPTORS = 24
#: Where neither the settings nor the operating system names a limit.
DEFAULT_FILE_LIMIT = 65_536
MIN_CONNECTIONS = 8
BASE_OUTBOUND_CONNECTIONS = 80
OUTBOUND_CONNECTIONS_PER_CONTROLLER = 4
PEER_CONNECTIONS_PER_CONTROLLER = 30
#: Neither outbound nor peer connections get more than one part in this many.
MIN_CONNECTION_SHARES = 5


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The most connections of each kind, so that neither clients nor peers can use up what the others need.

    Outbound calls and peers need a few for each controller, whatever the size of the fleet; all others are for
    agents and users, which a sole surviving controller has to serve alone.
    """

    clients: int
    peers: int
    outbound: int

    @classmethod
    def for_cluster(cls, cluster: Cluster) -> "ConnectionLimits":
        """Divide the file descriptors that the settings and the operating system grant this process."""
        total = max(_file_limit(cluster) - RESERVED_FILE_DESCRIPTORS, MIN_CONNECTIONS)
        share = total // MIN_CONNECTION_SHARES
        outbound = min(BASE_OUTBOUND_CONNECTIONS + OUTBOUND_CONNECTIONS_PER_CONTROLLER * cluster.controllers, share)
        peers = min(PEER_CONNECTIONS_PER_CONTROLLER * cluster.controllers, share)
        return cls(clients=total - outbound - peers, peers=peers, outbound=outbound)


def _file_limit(cluster: Cluster) -> int:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [cluster.process_limits.fd_limit, hard_limit if hard_limit != resource.RLIM_INFINITY else None]
    return min((limit for limit in limits if limit is not None), default=DEFAULT_FILE_LIMIT)
