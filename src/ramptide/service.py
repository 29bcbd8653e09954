"""A controller's process: its servers with their routes, its client and its event loop."""

import resource
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from ramptide.api.telemetry import Route
from ramptide.cluster.messages import PEER_MESSAGES_PATH
from ramptide.config.features import Features
from ramptide.controller.administration import build_admin_api
from ramptide.controller.controller import Controller
from ramptide.protocol.agents import HEARTBEAT_PATH
from ramptide.protocol.jobs import HEALTH_PATH, JOBS_PATH
from ramptide.protocol.settings_file import Cluster, Settings
from ramptide.protocol.types import encode_error, encode_json
from ramptide.transport.event_loop import EventLoop, Timer
from ramptide.transport.http.client import Client
from ramptide.transport.http.server import Exchange, Server
from ramptide.transport.process_statistics import WorkKind
from ramptide.transport.runtime import CBOR, JSON, Response, ResponseCallback

CLIENT_IDLE_TIMEOUT = timedelta(seconds=60)
PEER_IDLE_TIMEOUT = timedelta(seconds=60)
#: File descriptors for standard streams, listeners, the selector and the like.
RESERVED_FILE_DESCRIPTORS = 24
#: Where neither the settings nor the operating system names a limit.
DEFAULT_FILE_LIMIT = 65_536
MIN_CONNECTIONS = 8
BASE_OUTBOUND_CONNECTIONS = 80
OUTBOUND_CONNECTIONS_PER_NODE = 4
PEER_CONNECTIONS_PER_NODE = 30
#: Neither outbound nor peer connections get more than one part in this many.
MIN_CONNECTION_SHARES = 5
#: The whole state of a part of several hundred machines is well below this.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024
INCARNATION_BYTES = 6


class LoopRuntime:
    """The runtime of a real process: time and timers from the loop, calls through the client."""

    def __init__(self, loop: EventLoop, client: Client) -> None:
        self._loop = loop
        self._client = client

    @property
    def now(self) -> timedelta:
        """The monotonic time; it does not advance during an event."""
        return self._loop.now

    def wall(self) -> datetime:
        """Return the wall-clock time."""
        return self._loop.wall()

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Schedule a call."""
        return self._loop.after(delay, action)

    def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        content_type: str,
        timeout: timedelta,
        done: ResponseCallback,
    ) -> None:
        """Send a request; `done` gets the response, or None when none came in time."""

        def measured(reply: Response | None) -> None:
            self._loop.statistics.measure(WorkKind.RESPONSES, lambda: done(reply))

        self._client.call(address, method, target, body, content_type, timeout, measured)


@dataclass(frozen=True, slots=True)
class _ConnectionLimits:
    """How the file descriptors are divided, so that neither clients nor peers can use up what the others need.

    Outbound calls and peers need a few for each controller, whatever the size of the fleet; all others are for
    workers and users, which a sole surviving controller has to serve alone.
    """

    clients: int
    peers: int
    outbound: int

    @classmethod
    def for_cluster(cls, cluster: Cluster) -> "_ConnectionLimits":
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = [cluster.process_limits.fd_limit, hard_limit if hard_limit != resource.RLIM_INFINITY else None]
        file_limit = min((limit for limit in limits if limit is not None), default=DEFAULT_FILE_LIMIT)
        total = max(file_limit - RESERVED_FILE_DESCRIPTORS, MIN_CONNECTIONS)
        share = total // MIN_CONNECTION_SHARES
        outbound = min(BASE_OUTBOUND_CONNECTIONS + OUTBOUND_CONNECTIONS_PER_NODE * cluster.controllers, share)
        peer_connections = min(PEER_CONNECTIONS_PER_NODE * cluster.controllers, share)
        return cls(total - outbound - peer_connections, peer_connections, outbound)


class _AnswerCallback(Protocol):
    def __call__(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Answer the request with JSON."""


class Service:
    """One controller with its servers for clients (users and workers) and for peers (controllers and operators)."""

    def __init__(self, settings: Settings, parts: Features | None = None) -> None:
        self.loop = EventLoop()
        limits = _ConnectionLimits.for_cluster(settings.cluster)
        runtime = LoopRuntime(self.loop, Client(self.loop, limits.outbound))
        self.controller = Controller(runtime, settings, secrets.token_hex(INCARNATION_BYTES), parts)
        self._measure = self.loop.statistics.measure
        self.admin = build_admin_api(self.controller, self.loop.statistics)
        self.client_server = Server(
            self.loop,
            settings.client_address,
            self._handle_client,
            limits.clients,
            CLIENT_IDLE_TIMEOUT,
            deferrable=True,
        )
        self.peer_server = Server(
            self.loop, settings.peer_address, self._handle_peer, limits.peers, PEER_IDLE_TIMEOUT, MAX_PEER_BODY_BYTES
        )

    def run(self) -> None:
        """Start the controller and serve requests until the process ends."""
        self.controller.start()
        self.loop.run()

    def _handle_client(self, exchange: Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        controller = self.controller

        def answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            exchange.respond(status, body, JSON, headers or {})

        if path == HEARTBEAT_PATH:
            if request.method != "POST":
                _refuse_method(exchange, "POST")
                return
            # Leases hang on the workers' reports, so users' requests come after them.
            exchange.prefer()
            controller.state.counters["reports"] += 1
            self._measure(WorkKind.REPORTS, lambda: controller.heartbeats.receive_heartbeat(request.body, answer))
        elif path == HEALTH_PATH:
            if request.method not in ("GET", "HEAD"):
                _refuse_method(exchange, "GET, HEAD")
                return
            exchange.prefer()
            healthy = controller.authority.is_healthy()
            answer(
                200 if healthy else 503,
                encode_json({"healthy": healthy, "lacks": controller.availability.unavailable_dependencies()}),
            )
        elif path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
            controller.state.counters["requests"] += 1
            subpath = path[len(JOBS_PATH) + 1 :]
            self._measure(WorkKind.USERS, lambda: self._handle_job_request(exchange, subpath, answer))
        else:
            answer(404, encode_error("no such path"))

    def _handle_job_request(self, exchange: Exchange, subpath: str, answer: _AnswerCallback) -> None:
        request, desk = exchange.request, self.controller.job_api
        parts = subpath.split("/") if subpath else []

        def refuse(allowed: str) -> None:
            self.controller.telemetry.answered(Route.OTHER, 405)
            _refuse_method(exchange, allowed)

        if not parts:
            if request.method != "POST":
                refuse("POST")
            else:
                desk.submit(request.body, answer)
        elif len(parts) == 1:
            if request.method != "GET":
                refuse("GET")
            else:
                desk.poll(parts[0], answer)
        elif len(parts) == 2 and parts[1] == "cancel":
            if request.method != "POST":
                refuse("POST")
            else:
                desk.cancel(parts[0], answer)
        else:
            self.controller.telemetry.answered(Route.OTHER, 404)
            answer(404, encode_error("no such path"))

    def _handle_peer(self, exchange: Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        if path == PEER_MESSAGES_PATH:
            if request.method != "POST":
                _refuse_method(exchange, "POST")
                return
            self._measure(WorkKind.PEERS, lambda: self._handle_sync(exchange))
        elif not self.admin.handle(request.method, path, request.body, exchange.respond):
            exchange.respond(404, encode_error("no such path"))

    def _handle_sync(self, exchange: Exchange) -> None:
        body = self.controller.peer_messages.receive(exchange.request.body)
        if body is None:
            exchange.respond(400, encode_error("not a message of a controller"))
        else:
            exchange.respond(200, body, CBOR)


def _refuse_method(exchange: Exchange, allowed: str) -> None:
    exchange.respond(405, encode_error("method not allowed"), JSON, {"Allow": allowed})
