"""Several real controllers on loopback against stand-ins, whose own records judge what really ran.

The harness serves every test that needs real processes: it starts, freezes, resumes and kills its own children.
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
from types import SimpleNamespace
from typing import Any

from world import Reply, World

from ramptide.context import JSON
from ramptide.http.client import Client
from ramptide.http.server import Exchange, Server
from ramptide.loop import Loop
from ramptide.protocol.agents import COMMANDS_PATH

ROOT = Path(__file__).resolve().parent.parent
HOUR = timedelta(hours=1)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class LoopWorld(World):
    """The stand-ins in real time, reached over sockets; the controllers are processes of their own."""

    def __init__(
        self, folder: Path, teams: dict[str, float] | None = None, capacity: int = 12, parts: Path | None = None
    ) -> None:
        self.loop = Loop()
        super().__init__(1, teams=teams, capacity=capacity)
        self.folder = folder
        self.log_level = "info"
        #: The file that switches parts on at controllers that start from now on.
        self.parts_file = parts
        self.client = Client(self.loop, 100)
        self.ports = {name: (free_port(), free_port()) for name in self.names}
        self.outside = {"state": f"127.0.0.1:{free_port()}", "cloud": f"127.0.0.1:{free_port()}"}
        for name, address in self.outside.items():
            Server(self.loop, address, self.serve(name), 100, HOUR)
        self.worker_addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.names:
            reached = SimpleNamespace(reports=SimpleNamespace(receive_heartbeat=self.beat_to(name)))
            self.nodes[name] = SimpleNamespace(ask=lambda call, dead, to=reached: call(to))  # type: ignore[assignment]

    @property
    def now(self) -> timedelta:
        return self.loop.now

    @now.setter
    def now(self, value: timedelta) -> None:
        pass

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.loop.after(delay, action)

    def serve(self, name: str) -> Callable[[Exchange], None]:
        def handler(exchange: Exchange) -> None:
            request = exchange.request

            def answer(status: int, body: Any) -> None:
                exchange.respond(status, json.dumps(body).encode())

            if name == "state":
                self.state.handle("", request.method, request.target, request.body, answer)
            else:
                self.cloud.handle(request.method, request.target, request.body, answer)

        return handler

    def address_of(self, host: str) -> str:
        """Each worker listens on a port of its own."""
        if host not in self.worker_addresses:
            self.worker_addresses[host] = address = f"127.0.0.1:{free_port()}"
            Server(self.loop, address, self.serve_worker(host), 100, HOUR)
        return self.worker_addresses[host]

    def serve_worker(self, host: str) -> Callable[[Exchange], None]:
        def handler(exchange: Exchange) -> None:
            def answer(status: int, body: Any) -> None:
                raw = body if isinstance(body, bytes) else json.dumps(body).encode()
                exchange.respond(status, raw)

            if exchange.request.target == COMMANDS_PATH:
                self.workers[host].take_orders(json.loads(exchange.request.body), answer)
            else:
                self.workers[host].inspect(answer)

        return handler

    def users(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name][0]}"

    def beat_to(self, name: str) -> Callable[[bytes, Callable[[int, Any], None]], None]:
        def beat(body: bytes, answer: Callable[[int, Any], None]) -> None:
            def done(reply: Any) -> None:
                answer(503 if reply is None else reply.status, b"{}" if reply is None else reply.body)

            self.client.call(self.users(name), "POST", "/agent/beat", body, JSON, timedelta(seconds=4), done)

        return beat

    def start(self, name: str) -> None:
        settings = {
            "member": name, "area": "a", "client_listen": self.users(name),
            "peer_bind": f"127.0.0.1:{self.ports[name][1]}", "outside": self.outside,
            "siblings": [
                {"member": other, "area": "a", "addr": f"127.0.0.1:{self.ports[other][1]}"}
                for other in self.names if other != name
            ],
            "cluster": {
                "nodes": 3, "zones": ["a", "b"], "objectives": [],
                "teams": [{"name": team, "cpus_max": most} for team, most in self.teams.items()],
                "workers": {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 20.0},
                "state": self.limits,
                "cloud": {"rps": 20.0, "list_lag_s": 2.0}, "quota": {"cpu": 1.0, "ram_mb": 200.0, "fd_limit": 200},
            },
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = os.environ | {"LOG_LEVEL": self.log_level, "PYTHONPATH": os.pathsep.join(sys.path)}
        parts = ["--parts", str(self.parts_file)] if self.parts_file is not None else []
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), *parts, "--config", str(path)], env=environment
        )

    def freeze(self, name: str) -> None:
        """The process stands still until it is resumed; its clocks run on."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        """Ends the processes, which are all of this world's own."""
        for name in self.processes:
            self.kill(name)

    def operator(self, name: str, *arguments: str) -> tuple[int, str]:
        """Runs a command of the administration API; returns its exit status and output."""
        address = f"127.0.0.1:{self.ports[name][1]}"
        command = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), "admin", "--address", address, *arguments],
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.until(lambda: command.poll() is not None, 30)
        return command.returncode, command.communicate()[0]

    def healthy(self, name: str) -> bool:
        return self.status(name, "GET", "/healthz") == 200

    def until(self, condition: Callable[[], bool], seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end and not condition():
            self.loop.after(timedelta(milliseconds=50), lambda: None)
            self.loop.turn()
        return condition()

    def http(self, name: str, method: str, path: str, body: bytes = b"") -> Reply | None:
        got: list[Reply | None] = []
        self.client.call(self.users(name), method, path, body, JSON, timedelta(seconds=5), got.append)
        self.until(lambda: bool(got), 6)
        return got[0]

    def metrics(self, name: str) -> str:
        got: list[Reply | None] = []
        address = f"127.0.0.1:{self.ports[name][1]}"
        self.client.call(address, "GET", "/metrics", b"", JSON, timedelta(seconds=5), got.append)
        self.until(lambda: bool(got), 6)
        assert got[0] is not None and got[0].status == 200
        return got[0].body.decode()

    def status(self, name: str, method: str, path: str, body: bytes = b"") -> int:
        reply = self.http(name, method, path, body)
        return 0 if reply is None else reply.status

    def raw(self, name: str, data: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", self.ports[name][0]), 5) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            received = b""
            while (part := sock.recv(4096)) != b"":
                received += part
            return received
