"""Real controller processes on loopback, among stand-ins for the services and the agents.

The test guards against faults that show only in whole processes: wrong statuses of answers, broken HTTP that ends a
process, and a job that is not finished after one process is killed and started again.
"""

import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from virtual import job_spec
from virtual.loopback import LoopbackWorld


@pytest.fixture
def world(tmp_path: Path) -> Iterator[LoopbackWorld]:
    world = LoopbackWorld(tmp_path)
    for name in world.controller_names:
        world.start(name)
    yield world
    world.close()


def test_three_processes_answer_requests_and_finish_a_job_when_one_is_killed(world: LoopbackWorld) -> None:
    for name in world.controller_names:
        assert world.serve_until(lambda name=name: world.request_status(name, "GET", "/healthz") == 200, 20)  # type: ignore[misc]
    world.job_specs["j-1"] = job_spec("j-1", pieces=3, guessS=6.0)
    body = json.dumps(world.job_specs["j-1"]).encode()
    assert world.serve_until(lambda: world.request_status("c0", "POST", "/v2/runs", body) in (200, 201), 10)
    assert world.serve_until(lambda: world.request_status("c1", "POST", "/v2/runs", body) == 200, 10)

    assert world.request_status("c0", "GET", "/v2/runs/j-404") == 404
    assert world.request_status("c0", "DELETE", "/v2/runs/j-1") == 405
    assert world.request_status("c0", "GET", "/v2/runs/j-1/nowhere") == 404
    assert world.request_status("c0", "GET", "/nowhere") == 404
    metrics = world.metrics("c0")
    for route, status in (("poll", 404), ("other", 405), ("other", 404)):
        assert f'ramptide_answers_total{{route="{route}",status="{status}"}} 1.0' in metrics
    assert world.request_status("c0", "POST", "/v2/runs", b"x" * 70_000) == 413
    for broken_request in (
        b"POST /v2/runs HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"nonsense\r\n\r\n",
    ):
        assert world.send_raw("c0", broken_request).startswith(b"HTTP/1.1 400 ")
    request_head = b"POST /v2/runs HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    with socket.create_connection(("127.0.0.1", world.ports["c0"][0]), 5) as sock:
        sock.sendall(request_head)
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"{}")
        assert sock.recv(100).startswith(b"HTTP/1.1 400 ")

    assert world.serve_until(lambda: len(world.invariants.running_tasks()) == 3, 20)
    world.kill("c1")
    world.start("c1")
    assert world.serve_until(lambda: world.is_done("j-1"), 40)
    reply = world.send_request("c1", "GET", "/v2/runs/j-1")
    assert reply is not None
    assert json.loads(reply.body)["status"] == "done"
    assert world.invariants.violations == []
    assert all(process.poll() is None for process in world.processes.values())
