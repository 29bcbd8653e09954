"""Assembly of a controller's process: event loop, HTTP client, controller and servers."""

import secrets
from datetime import timedelta

from ramptide.config.features import Features
from ramptide.controller.administration import build_admin_api
from ramptide.controller.controller import Controller
from ramptide.protocol.settings_file import Settings
from ramptide.service.client_routes import ClientRoutes
from ramptide.service.connection_limits import ConnectionLimits
from ramptide.service.peer_routes import PeerRoutes
from ramptide.transport.event_loop import EventLoop
from ramptide.transport.http.client import Client
from ramptide.transport.http.server import Server
from ramptide.transport.loop_runtime import LoopRuntime

__all__ = ["Service"]

CLIENT_IDLE_TIMEOUT = timedelta(seconds=60)
PEER_IDLE_TIMEOUT = timedelta(seconds=60)
#: The encoded state of a whole shard of several hundred machines is well below this.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
INCARNATION_BYTES = 6


class Service:
    """One controller with its servers for clients (users and agents) and for peers (controllers and operators).

    Parameters
    ----------
    settings
        The settings of this controller and of its cluster.
    features
        The enabled features; None for the defaults.

    Raises
    ------
    OSError
        If the process cannot listen on one of the addresses.
    """

    def __init__(self, settings: Settings, features: Features | None = None) -> None:
        self.loop = EventLoop()
        statistics = self.loop.statistics
        limits = ConnectionLimits.for_cluster(settings.cluster)
        runtime = LoopRuntime(self.loop, Client(self.loop, limits.outbound))
        self.controller = Controller(runtime, settings, secrets.token_hex(INCARNATION_BYTES), features)
        controller = self.controller
        admin = build_admin_api(controller, statistics)
        client_routes = ClientRoutes(
            controller.job_api,
            controller.heartbeats,
            controller.health,
            controller.telemetry,
            controller.state.counters,
            statistics,
        )
        self.client_server = Server(
            self.loop,
            settings.client_address,
            client_routes.handle,
            limits.clients,
            CLIENT_IDLE_TIMEOUT,
            deferrable=True,
        )
        self.peer_server = Server(
            self.loop,
            settings.peer_address,
            PeerRoutes(controller.peer_messages, admin, statistics).handle,
            limits.peers,
            PEER_IDLE_TIMEOUT,
            MAX_PEER_BODY_BYTES,
        )

    def run(self) -> None:
        """Start the controller and serve requests until the process ends."""
        self.controller.start()
        self.loop.run()
