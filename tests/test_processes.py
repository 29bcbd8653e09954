"""Real processes on loopback against the stand-ins: answers, broken HTTP, a kill, a restart."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from world import Reply, World, job

from ramptide.context import JSON
from ramptide.http.client import Client
from ramptide.http.server import Exchange, Server
from ramptide.loop import Loop

ROOT = Path(__file__).resolve().parent.parent
HOUR = timedelta(hours=1)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class LoopWorld(World):
    """The stand-ins in real time, reached over sockets; the controllers are processes of their own."""

    def __init__(self, folder: Path) -> None:
        self.loop = Loop()
        super().__init__(1)
        self.folder = folder
        self.client = Client(self.loop, 100)
        self.ports = {name: (free_port(), free_port()) for name in self.names}
        self.outside = {"state": f"127.0.0.1:{free_port()}", "cloud": f"127.0.0.1:{free_port()}"}
        for name, address in self.outside.items():
            Server(self.loop, address, self.serve(name), 100, HOUR)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.names:
            reached = SimpleNamespace(reports=SimpleNamespace(beat=self.beat_to(name)))
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
                "nodes": 3, "zones": ["a", "b"], "objectives": [], "teams": [{"name": "team"}],
                "workers": {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 20.0},
                "state": {"rps": 300.0, "write_rps": 150.0, "value_kb": 16.0, "txn_ops": 12},
                "cloud": {"rps": 20.0, "list_lag_s": 2.0}, "quota": {"cpu": 1.0, "ram_mb": 200.0, "fd_limit": 200},
            },
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = os.environ | {"LOG_LEVEL": "info", "PYTHONPATH": os.pathsep.join(sys.path)}
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(ROOT / "run.py"), "--config", str(path)], env=environment
        )

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


@pytest.fixture
def world(tmp_path: Path) -> Iterator[LoopWorld]:
    world = LoopWorld(tmp_path)
    for name in world.names:
        world.start(name)
    yield world
    for process in world.processes.values():
        process.kill()
        process.wait()


def test_three_processes_serve_and_survive_a_kill(world: LoopWorld) -> None:
    for name in world.names:
        assert world.until(lambda name=name: world.status(name, "GET", "/healthz") == 200, 20)  # type: ignore[misc]
    world.jobs["j-1"] = job("j-1", pieces=3, guessS=6.0)
    body = json.dumps(world.jobs["j-1"]).encode()
    assert world.until(lambda: world.status("c0", "POST", "/v2/runs", body) in (200, 201), 10)
    assert world.until(lambda: world.status("c1", "POST", "/v2/runs", body) == 200, 10)

    assert world.status("c0", "GET", "/v2/runs/j-404") == 404
    assert world.status("c0", "DELETE", "/v2/runs/j-1") == 405
    assert world.status("c0", "GET", "/v2/runs/j-1/nowhere") == 404
    assert world.status("c0", "GET", "/nowhere") == 404
    told = world.metrics("c0")
    for route, status in (("poll", 404), ("other", 405), ("other", 404)):
        assert f'ramptide_answers_total{{route="{route}",status="{status}"}} 1.0' in told
    assert world.status("c0", "POST", "/v2/runs", b"x" * 70_000) == 413
    for broken in (
        b"POST /v2/runs HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"nonsense\r\n\r\n",
    ):
        assert world.raw("c0", broken).startswith(b"HTTP/1.1 400 ")
    waits = b"POST /v2/runs HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    with socket.create_connection(("127.0.0.1", world.ports["c0"][0]), 5) as sock:
        sock.sendall(waits)
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"{}")
        assert sock.recv(100).startswith(b"HTTP/1.1 400 ")

    assert world.until(lambda: len(world.rules.on_machines()) == 3, 20)
    world.processes["c1"].send_signal(signal.SIGKILL)
    world.processes["c1"].wait()
    world.start("c1")
    assert world.until(lambda: world.done("j-1"), 40)
    reply = world.http("c1", "GET", "/v2/runs/j-1")
    assert reply is not None and json.loads(reply.body)["status"] == "done"
    assert world.rules.broken == []
    assert all(process.poll() is None for process in world.processes.values())
