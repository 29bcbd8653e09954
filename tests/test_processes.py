"""Real controller processes on loopback, among stand-ins for the services and the agents.

The test guards against faults that show only in whole processes: wrong statuses of answers, broken HTTP that ends a
process, and a job that is not finished after one process is killed and started again.
"""

import json
import socket
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest

from virtual import job_spec
from virtual.loopback import LoopbackWorld, free_port

#: The longest time that a job may wait beside room once the faults are over, in seconds.
MAX_WAIT_S = 90.0


def test_port_of_a_controller_that_is_down_is_not_taken_by_another_socket() -> None:
    address = ("127.0.0.1", free_port())
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(address)
    for _ in range(2):
        with socket.create_server(address), socket.create_connection(address, 5):
            pass


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


def test_job_that_failed_on_the_only_two_machines_runs_there_once_they_are_well(tmp_path: Path) -> None:
    """A job that had failed on exactly two machines waited without end when there were no others."""
    with closing(LoopbackWorld(tmp_path, capacity=2)) as world:
        for name in world.controller_names:
            world.start(name)
        submit(world, "j-1", shape="service", pieces=2, cores=5.0)
        assert world.serve_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) == 2, 30)
        for agent in world.agents.values():
            agent.is_faulty = True
        submit(world, "j-2", pieces=2, cores=1.0)
        failed_hosts: set[str] = set()

        def has_failed_on_both() -> bool:
            failed_hosts.update(
                agent.host
                for agent in world.agents.values()
                for task in agent.tasks.values()
                if task.job_id == "j-2" and task.cause == "error"
            )
            return len(failed_hosts) == 2

        assert world.serve_until(has_failed_on_both, 20)
        for agent in world.agents.values():
            agent.is_faulty = False

        def is_running() -> bool:
            return any(task.job_id == "j-2" for _, task in world.invariants.running_tasks())

        assert world.serve_until(is_running, MAX_WAIT_S)
        assert world.serve_until(lambda: world.is_done("j-2"), MAX_WAIT_S)
        assert world.invariants.violations == []


def submit(world: LoopbackWorld, job_id: str, **fields: object) -> None:
    """Submit a job until it is accepted."""
    world.job_specs[job_id] = job_spec(job_id, **fields)
    body = json.dumps(world.job_specs[job_id]).encode()
    assert world.serve_until(lambda: world.request_status("c0", "POST", "/v2/runs", body) in (200, 201), 20)
