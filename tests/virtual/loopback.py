"""Real controller processes on the loopback interface, with simulated external services in the process of the test.

The simulated machines record what actually ran. The world starts, freezes, resumes and kills the processes, which are
all its own children.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from ramptide.protocol.agents import COMMANDS_PATH, HEARTBEAT_PATH
from ramptide.protocol.jobs import HEALTH_PATH
from ramptide.transport.event_loop import EventLoop
from ramptide.transport.http.client import Client
from ramptide.transport.http.messages import Message
from ramptide.transport.http.server import Exchange, Server
from ramptide.transport.runtime import Request, Response
from virtual.agent import HEARTBEAT_TIMEOUT
from virtual.network import CLOUD, STORE, Respond, encode_body
from virtual.node import Node
from virtual.settings import cluster_settings
from virtual.world import World

ROOT = Path(__file__).resolve().parent.parent.parent
MAX_CONNECTIONS = 100
CONNECTION_TIMEOUT = timedelta(hours=1)
REQUEST_TIMEOUT = timedelta(seconds=5)
FD_LIMIT = 200


#: The sockets that keep the ports reserved until the process of the tests ends.
_reservations: list[socket.socket] = []


def free_port() -> int:
    """Return a free TCP port that only a server which listens on it can use from now on.

    While no server listens, as when a controller is down, no outgoing connection gets the port.
    """
    sock = socket.socket()
    # A server that reuses addresses may listen on a port that another such socket is bound to without listening.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reservations.append(sock)
    return int(sock.getsockname()[1])


def free_address() -> str:
    """Return a loopback address with a free port that is reserved for a server."""
    return f"127.0.0.1:{free_port()}"


class RemoteNode(Node):
    """A controller in a process of its own, which receives heartbeats over a socket."""

    def __init__(self, world: "LoopbackWorld", name: str) -> None:
        super().__init__(world, name)
        self._address = world.client_address(name)
        self._client = world.client

    def deliver_heartbeat(self, body: bytes, respond: Respond) -> None:
        """Send a heartbeat to the process and pass the response on; 503 if there is none."""

        def on_response(response: Response | None) -> None:
            if response is None:
                respond(503, b"{}")
            else:
                respond(response.status, response.body)

        self._client.call(Request(self._address, "POST", HEARTBEAT_PATH, HEARTBEAT_TIMEOUT, body), on_response)


class LoopbackWorld(World):
    """A world in real time: the simulated services are reached over sockets, and each controller is a process."""

    def __init__(
        self, folder: Path, teams: dict[str, float] | None = None, capacity: int = 12, features_file: Path | None = None
    ) -> None:
        self.loop = EventLoop()
        super().__init__(1, teams=teams, capacity=capacity)
        self.folder = folder
        self.log_level = "info"
        #: The features file of controllers that are started from now on; None for no file.
        self.features_file = features_file
        self.client = Client(self.loop, MAX_CONNECTIONS)
        #: By controller, the port for users and agents, and the port for peers and operators.
        self.ports = {name: (free_port(), free_port()) for name in self.controller_names}
        self.service_addresses = {STORE: free_address(), CLOUD: free_address()}
        self._serve(self.service_addresses[STORE], self._handle_store_request)
        self._serve(self.service_addresses[CLOUD], self._handle_cloud_request)
        self.agent_addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.controller_names:
            self.nodes[name] = RemoteNode(self, name)

    # The clock.

    @property
    def now(self) -> timedelta:
        """The monotonic time of the event loop."""
        return self.loop.now

    @now.setter
    def now(self, value: timedelta) -> None:
        """Ignore the time that the virtual clock sets."""

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Schedule an event on the event loop."""
        self.loop.after(delay, action)

    def serve_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Run the event loop until the condition holds, for at most `seconds`; return whether it holds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not condition():
            self.loop.after(timedelta(milliseconds=50), lambda: None)
            self.loop.run_turn()
        return condition()

    # The simulated services.

    def _serve(self, address: str, handle: Callable[[Message, Respond], None]) -> None:
        def on_exchange(exchange: Exchange) -> None:
            handle(exchange.request, lambda status, body: exchange.respond(status, encode_body(body)))

        Server(self.loop, address, on_exchange, MAX_CONNECTIONS, CONNECTION_TIMEOUT)

    def _handle_store_request(self, request: Message, respond: Respond) -> None:
        self.store.handle("", request.method, request.target, request.body, respond)

    def _handle_cloud_request(self, request: Message, respond: Respond) -> None:
        self.cloud.handle(request.method, request.target, request.body, respond)

    def command_address(self, host: str) -> str:
        """Return the address for direct commands to an agent; each agent listens on a port of its own."""
        if host not in self.agent_addresses:
            self.agent_addresses[host] = address = free_address()
            self._serve(address, self._agent_handler(host))
        return self.agent_addresses[host]

    def _agent_handler(self, host: str) -> Callable[[Message, Respond], None]:
        def handle(request: Message, respond: Respond) -> None:
            if request.target == COMMANDS_PATH:
                self.agents[host].handle_commands(json.loads(request.body), respond)
            else:
                self.agents[host].inspect(respond)

        return handle

    # The controller processes.

    def client_address(self, name: str) -> str:
        """Return the address of a controller for users and agents."""
        return f"127.0.0.1:{self.ports[name][0]}"

    def peer_address(self, name: str) -> str:
        """Return the address of a controller for peers and operators."""
        return f"127.0.0.1:{self.ports[name][1]}"

    def start(self, name: str) -> None:
        """Start the process of a controller."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        features = ["--parts", str(self.features_file)] if self.features_file is not None else []
        command = [sys.executable, str(ROOT / "run.py"), *features, "--config", str(path)]
        self.processes[name] = subprocess.Popen(command, env=self._environment() | {"LOG_LEVEL": self.log_level})

    def _settings(self, name: str) -> dict[str, Any]:
        peers = [other for other in self.controller_names if other != name]
        return {
            "member": name, "area": "a", "client_listen": self.client_address(name),
            "peer_bind": self.peer_address(name), "outside": self.service_addresses,
            "siblings": [{"member": other, "area": "a", "addr": self.peer_address(other)} for other in peers],
            "cluster": cluster_settings(self, FD_LIMIT),
        }  # fmt: skip

    @staticmethod
    def _environment() -> dict[str, str]:
        return os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}

    def freeze(self, name: str) -> None:
        """Suspend the process until it is resumed; its clocks continue to run."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill the process and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        """Kill all processes that this world has started."""
        for name in self.processes:
            self.kill(name)

    # Requests to controllers.

    def run_admin_command(self, name: str, *arguments: str) -> tuple[int, str]:
        """Run an `admin` command of the command line; return its exit status and output."""
        command = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), "admin", "--address", self.peer_address(name), *arguments],
            env=self._environment(),
            stdout=subprocess.PIPE,
            text=True,
        )
        self.serve_until(lambda: command.poll() is not None, 30)
        return command.returncode, command.communicate()[0]

    def is_healthy(self, name: str) -> bool:
        """Return whether the controller reports that it is healthy."""
        return self.request_status(name, "GET", HEALTH_PATH) == 200

    def send_request(self, name: str, method: str, path: str, body: bytes = b"") -> Response | None:
        """Send a user's request to a controller; return the response, or None if there was none in time."""
        return self._call(self.client_address(name), method, path, body)

    def request_status(self, name: str, method: str, path: str, body: bytes = b"") -> int:
        """Send a user's request to a controller; return the status of the response, or 0 if there was none in time."""
        response = self.send_request(name, method, path, body)
        return 0 if response is None else response.status

    def metrics(self, name: str) -> str:
        """Return the metrics of a controller in the text format."""
        response = self._call(self.peer_address(name), "GET", "/metrics", b"")
        assert response is not None
        assert response.status == 200
        return response.body.decode()

    def _call(self, address: str, method: str, path: str, body: bytes) -> Response | None:
        responses: list[Response | None] = []
        self.client.call(Request(address, method, path, REQUEST_TIMEOUT, body), responses.append)
        self.serve_until(lambda: bool(responses), 6)
        return responses[0]

    def send_raw(self, name: str, data: bytes) -> bytes:
        """Send bytes to a controller; return everything that it sends until it closes the connection."""
        with socket.create_connection(("127.0.0.1", self.ports[name][0]), 5) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            received = b""
            while (chunk := sock.recv(4096)) != b"":
                received += chunk
            return received
