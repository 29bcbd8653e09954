"""The shell around a controller: listeners, routes and the real context."""

import resource
import secrets
from collections.abc import Callable
from datetime import datetime, timedelta

from ramptide import peers, wire
from ramptide.admin import Admin
from ramptide.app import Controller
from ramptide.context import CBOR, JSON, ResponseCallback
from ramptide.desk import error
from ramptide.http.client import Client
from ramptide.http.server import Exchange, Server
from ramptide.loop import Loop, Timer
from ramptide.telemetry import Route

CLIENT_IDLE_TIMEOUT = timedelta(seconds=60)
PEER_IDLE_TIMEOUT = timedelta(seconds=60)
RESERVED_FILE_DESCRIPTORS = 24
BASE_OUTBOUND_CONNECTIONS, OUTBOUND_CONNECTIONS_PER_NODE, PEER_CONNECTIONS_PER_NODE = 80, 4, 30
#: The whole state of a part of several hundred machines is well below this.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024


class LoopRuntime:
    """The real world: time from the loop, calls through the client."""

    def __init__(self, loop: Loop, client: Client) -> None:
        self._loop = loop
        self._client = client

    @property
    def now(self) -> timedelta:
        return self._loop.now

    def wall(self) -> datetime:
        return self._loop.wall()

    def after(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        return self._loop.after(delay, action)

    def call(
        self, address: str, method: str, target: str, body: bytes, kind: str, timeout: timedelta, done: ResponseCallback
    ) -> None:
        self._client.call(address, method, target, body, kind, timeout, done)


class Service:
    def __init__(self, settings: wire.Settings) -> None:
        self.loop = Loop()
        # Sockets are shared out so that neither users nor peers can use up what the others need. Our own calls and the
        # peers need a few for each controller, whatever the fleet's size; a sole survivor takes all workers and users.
        limit = settings.cluster.quota.fd_limit
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY:
            limit = min(limit, hard)
        room = max(limit - RESERVED_FILE_DESCRIPTORS, 8)
        calls = min(BASE_OUTBOUND_CONNECTIONS + OUTBOUND_CONNECTIONS_PER_NODE * settings.cluster.nodes, room // 5)
        between = min(PEER_CONNECTIONS_PER_NODE * settings.cluster.nodes, room // 5)
        client = Client(self.loop, calls)
        context = LoopRuntime(self.loop, client)
        self.controller = Controller(context, settings, secrets.token_hex(6))
        self.admin = Admin(self.controller)
        self.users = Server(self.loop, settings.listen, self._users, room - calls - between, CLIENT_IDLE_TIMEOUT)
        self.peers = Server(
            self.loop, settings.peer_listen, self._peers, between, PEER_IDLE_TIMEOUT, MAX_PEER_BODY_BYTES
        )

    def run(self) -> None:
        self.controller.start()
        self.loop.run()

    def _users(self, exchange: Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        c = self.controller

        def answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            exchange.respond(status, body, JSON, headers or {})

        if path == wire.BEAT:
            if request.method != "POST":
                self._not_allowed(exchange, "POST")
                return
            c.counters["reports"] += 1
            c.reports.beat(request.body, answer)
        elif path == wire.HEALTH:
            if request.method not in ("GET", "HEAD"):
                self._not_allowed(exchange, "GET, HEAD")
                return
            healthy = c.healthy()
            answer(200 if healthy else 503, wire.encode({"healthy": healthy, "lacks": c.lacks()}))
        elif path == wire.RUNS or path.startswith(wire.RUNS + "/"):
            c.counters["requests"] += 1
            self._runs(exchange, path[len(wire.RUNS) + 1 :], answer)
        else:
            answer(404, error("no such path"))

    def _runs(self, exchange: Exchange, rest: str, answer: Callable[..., None]) -> None:
        request, desk = exchange.request, self.controller.desk
        parts = rest.split("/") if rest else []

        def refuse(allowed: str) -> None:
            self.controller.telemetry.answered(Route.OTHER, 405)
            self._not_allowed(exchange, allowed)

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
            answer(404, error("no such path"))

    @staticmethod
    def _not_allowed(exchange: Exchange, allowed: str) -> None:
        exchange.respond(405, error("method not allowed"), JSON, {"Allow": allowed})

    def _peers(self, exchange: Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        if path == peers.PATH:
            if request.method != "POST":
                self._not_allowed(exchange, "POST")
                return
            body = self.controller.syncing.take(request.body)
            if body is None:
                exchange.respond(400, error("not a message of a controller"))
            else:
                exchange.respond(200, body, CBOR)
        elif not self.admin.handle(request.method, path, request.body, exchange.respond):
            exchange.respond(404, error("no such path"))
