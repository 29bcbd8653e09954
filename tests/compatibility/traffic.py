"""Scenarios in the virtual world, and a recorder of the bytes that controllers send in them.

`python3 -m compatibility.traffic SCENARIO` prints the traffic of a scenario. Each line is a JSON list: the sender, the
receiver, the request or the status of the response, and the body, as text or, for CBOR, in hexadecimal digits.
"""

import json
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from compatibility import codecs
from ramptide.transport.runtime import Request
from virtual import STORE, Agent, VirtualRuntime, World, leader_of, started_world

CBOR_CONTENT_TYPE = "application/cbor"
STATUS_SAMPLE_INTERVAL_S = 0.5
#: The paths of tables in the status whose keys are names of machines, jobs or teams.
TABLE_PATHS = {"/machines", "/jobs", "/teams", "/quota/teams", "/failing_jobs"}


class Recorder:
    """Records what controllers send, each distinct message once.

    Attributes
    ----------
    lines
        The recorded messages, in the order in which they were first sent.
    status_strings
        The strings that any controller's status has had, by their path in the status.
    """

    def __init__(self, writes_only: bool) -> None:
        # Whether only transactions on the key-value store, rentals and returns are recorded.
        self._writes_only = writes_only
        self.lines: list[list[str]] = []
        self.status_strings: dict[str, set[str]] = {}
        self._recorded: set[tuple[str, ...]] = set()

    def add(self, *line: str) -> None:
        """Record a line that was not recorded before; where only writes are recorded, all other lines are ignored."""
        is_included = not self._writes_only or line[2].startswith(("POST /txn", "POST /rentals"))
        if is_included and line not in self._recorded:
            self._recorded.add(line)
            self.lines.append(list(line))

    def sample_status(self, world: World) -> None:
        """Add the strings in the current status of each controller."""
        for name in world.controller_names:
            for path, value in strings_in(json.loads(admin_response(world, name, "/admin/status") or "{}")):
                self.status_strings.setdefault(path, set()).add(value)

    def start(self, stack: ExitStack) -> None:
        """Record until the stack is closed."""
        original_call, original_send = VirtualRuntime.call, World.send

        def recorded_call(runtime: Any, request: Request, on_response: Any) -> None:
            content_type = request.content_type
            body = _to_text(request.body, content_type == CBOR_CONTENT_TYPE)
            self.add(runtime.node.name, request.address, f"{request.method} {request.target} {content_type}", body)
            original_call(runtime, request, on_response)

        def recorded_send(world: World, source: str, target: str, request: Callable[[Any], None], *rest: Any):  # type: ignore[no-untyped-def]
            def recorded_request(respond: Callable[[int, Any], None]) -> None:
                def recorded_respond(status: int, body: Any) -> None:
                    if isinstance(body, bytes):
                        self.add(target, source, f"answer {status}", _to_text(body, source in world.controller_names))
                    respond(status, body)

                request(recorded_respond)

            return original_send(
                world, source, target, recorded_request if target in world.controller_names else request, *rest
            )

        original_run = World.run

        def sampled_run(world: World, seconds: float) -> None:
            """Run the world in steps, and sample the status after each of them."""
            for _ in range(int(seconds / STATUS_SAMPLE_INTERVAL_S)):
                original_run(world, STATUS_SAMPLE_INTERVAL_S)
                self.sample_status(world)
            original_run(world, seconds % STATUS_SAMPLE_INTERVAL_S)

        stack.enter_context(patch.object(World, "run", sampled_run))
        stack.enter_context(patch.object(VirtualRuntime, "call", recorded_call))
        stack.enter_context(patch.object(World, "send", recorded_send))


def admin_response(world: World, name: str, path: str) -> str:
    """Return a controller's response to an operator, or an empty string if the controller is dead or stalled."""
    bodies: list[str] = []
    world.nodes[name].request(
        lambda controller: codecs.call_admin_api(
            controller, "GET", path, lambda status, body, content_type: _add_body(bodies, body)
        )
    )
    return bodies[0] if bodies else ""


def _add_body(bodies: list[str], body: bytes) -> None:
    bodies.append(body.decode())


def strings_in(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield all strings in a status with their paths, in which the keys of tables are replaced by `*`.

    The version is left out.
    """
    if isinstance(value, dict):
        for name, field in value.items():
            yield from strings_in(field, f"{path}/{'*' if path in TABLE_PATHS else name}")
    elif isinstance(value, list):
        for item in value:
            yield from strings_in(item, path)
    elif isinstance(value, str) and not path.startswith("/version"):
        yield path, value


def final_admin_responses(world: World) -> Iterator[list[str]]:
    """Yield the final status, quota report and metrics of each controller, without the metrics of its process."""
    for name in world.controller_names:
        for path in ("/admin/status", "/admin/quota", "/metrics"):
            body = admin_response(world, name, path)
            lines = [line for line in body.splitlines() if "ramptide_process_" not in line]
            yield [name, "operator", f"answer {path}", "\n".join(lines)]


def _to_text(body: bytes, is_binary: bool) -> str:
    return body.hex() if is_binary else body.decode()


def job_lifecycles() -> World:
    """Batch jobs and services are accepted, run, finish and are cancelled; a small team limit makes tasks wait."""
    world = started_world(7, teams={"team": 0.0, "tight": 6.0}, capacity=8)
    world.define_job("j-1", pieces=3, guessS=3.0)
    world.define_job("j-2", shape="service", pieces=2, loaners=True, rank="high", markEveryS=5.0, markCostS=1.0)
    world.define_job("j-3", owner="tight", pieces=5, oneZone=True, rigs=["m"], yard="b", dueS=60.0)
    for name, job_id in zip(world.controller_names, ("j-1", "j-2", "j-3"), strict=True):
        assert world.submit_until_accepted(job_id, name)
    world.run(8)
    assert world.cancel_job("j-2", "c1")
    world.run(8)
    for name in world.controller_names:
        assert world.poll_job("j-1", name) == (200, {"ref": "j-1", "status": "done", "done": 3, "running": 0})
        assert world.poll_job("j-404", name) == (404, {"error": "no such job"})
    return world


def failures_and_preemption() -> World:
    """Controllers, machines and the key-value store fail, and jobs of high priority preempt one of low priority.

    The cloud no longer lists a machine, a machine hangs, the leader is killed, a job fails on every machine, and the
    key-value store has an outage.
    """
    world = started_world(11, capacity=3)
    world.define_job("j-10", shape="service", pieces=10, cores=2.0, rank="low", markEveryS=5.0, markCostS=1.0)
    assert world.submit_until_accepted("j-10", "c0")
    world.run(14)
    world.define_job("j-11", pieces=2, cores=4.0, rank="production", guessS=4.0)
    world.define_job("j-12", pieces=1, cores=1.0, rank="production", guessS=4.0)
    assert world.submit_until_accepted("j-11", "c1")
    assert world.submit_until_accepted("j-12", "c2")
    world.run(4)
    world.cloud.listing.pop(min(world.cloud.listing), None)
    world.agents[min(world.agents)].hang(6)
    world.run(4)
    world.nodes[leader_of(world)].kill()
    world.run(10)
    world.failure_delays["j-13"] = 0.5
    world.define_job("j-13", pieces=1, cores=1.0, rank="production")
    world.submit_until_accepted("j-13", next(name for name, node in world.nodes.items() if node.controller is not None))
    world.store.start_outage(6)
    world.run(10)
    return world


def network_partitions() -> World:
    """The network is partitioned twice, and a job is cancelled while the key-value store refuses a follower.

    In the first partition a follower reaches only the other controllers and the key-value store; in the second one the
    leader loses all agents.
    """
    world = started_world(13, capacity=6)
    world.define_job("j-40", shape="service", pieces=8, cores=2.0)
    world.define_job("j-41", pieces=6, cores=2.0, guessS=30.0, loaners=True)
    assert world.submit_until_accepted("j-40", "c0")
    assert world.submit_until_accepted("j-41", "c1")
    world.run(10)
    follower = next(name for name in world.controller_names if name != leader_of(world))
    world.isolate(follower, STORE, *world.controller_names)
    world.run(8)
    world.heal()
    world.run(4)
    world.store.refused_callers.add(follower)
    world.cancel_job("j-41", leader_of(world))
    world.run(6)
    world.store.refused_callers.clear()
    world.run(6)
    leader = leader_of(world)
    for host in world.agents:
        world.cut_link(leader, host)
    world.run(10)
    world.heal()
    world.run(3)
    return world


def machine_faults() -> World:
    """Machines are drained as quarantined, gone, silent, unreachable, preempted, never up or underutilized.

    The tasks of the quarantined machine all fail, the cloud reports that the gone one has failed, the unreachable one
    sends heartbeats but gets no responses, and the preempted one announces its preemption.
    """
    world = started_world(17, capacity=12)
    world.cloud.boot_seconds = (1.0, 2.0)
    world.define_job("j-50", shape="service", pieces=14, cores=1.0)
    world.define_job("j-51", shape="service", pieces=16, cores=3.0)
    assert world.submit_until_accepted("j-51", "c0")
    assert world.submit_until_accepted("j-50", "c0")
    world.run(10)
    faulty, failed, silent, unreachable, preempted = sorted(
        host for host, agent in world.agents.items() if agent.booted
    )[:5]
    world.agents[faulty].is_faulty = True
    for task in world.agents[faulty].tasks.values():
        task.status, task.cause = "ended", "error"
    world.agents[failed].terminate()
    world.cloud.listing[failed]["status"] = "failed"
    world.agents[silent].terminate()
    world.hosts_without_responses.add(unreachable)
    encode_status = Agent.encode_status

    def encode_status_with_notice(agent: Agent) -> bytes:
        status = json.loads(encode_status(agent))
        return json.dumps(status | ({"warningS": 0.3} if agent.host == preempted else {})).encode()

    world.cloud.boot_seconds = (500.0, 600.0)
    world.failure_delays["j-52"] = 0.3
    world.define_job("j-52", pieces=2, cores=0.5, rank="production")
    with patch.object(Agent, "encode_status", encode_status_with_notice):
        assert world.submit_until_accepted("j-52", "c2")
        for _ in range(40):
            for host, row in world.cloud.listing.items():
                row["status"] = "running" if world.agents[host].booted or host == failed else "booting"
            world.run(1)
        assert world.cancel_job("j-51", "c1")
        world.run(50)
    return world


def partial_peer_messages() -> World:
    """A peer message holds the statuses of at most two machines, so more of them take several partial messages."""
    with codecs.machines_per_message(2):
        world = started_world(5, capacity=10)
        world.define_job("j-20", pieces=30, cores=2.0, guessS=4.0)
        assert world.submit_until_accepted("j-20", "c0")
        world.run(6)
        world.nodes["c2"].kill()
        world.nodes["c2"].start()
        world.run(5)
    return world


def jobs_under_team_limits() -> World:
    """Jobs of two teams run under limits, with the quota feature on; no share of a limit is transferred."""
    features = codecs.features_from_value({"quota": {"enabled": True}})
    world = World(3, teams={"team": 16.0, "tight": 6.0}, capacity=6, features=features)
    world.guarantees["team"] = 4.0
    for node in world.nodes.values():
        node.start()
    world.run(6)
    world.define_job("j-30", pieces=12, guessS=3.0)
    world.define_job("j-31", owner="tight", pieces=5, guessS=3.0)
    world.define_job("j-32", owner="tight", shape="service", pieces=2)
    for name, job_id in zip(world.controller_names, ("j-30", "j-31", "j-32"), strict=True):
        assert world.submit_until_accepted(job_id, name)
    world.run(8)
    return world


#: The scenarios by the names of their frozen files.
SCENARIOS: dict[str, Callable[[], World]] = {
    "plain_day": job_lifecycles,
    "rough_day": failures_and_preemption,
    "cut_day": network_partitions,
    "worn_day": machine_faults,
    "many_machines": partial_peer_messages,
    "quota_day": jobs_under_team_limits,
}

#: Long scenarios, of which only transactions on the key-value store, rentals and returns are recorded.
WRITES_ONLY_SCENARIOS = {"worn_day"}


def run_scenario(scenario: str) -> tuple[World, Recorder]:
    """Run a scenario, and return its world and the traffic, which ends with the final state of each controller."""
    recorder = Recorder(writes_only=scenario in WRITES_ONLY_SCENARIOS)
    with ExitStack() as stack:
        recorder.start(stack)
        world = SCENARIOS[scenario]()
    recorder.lines += final_admin_responses(world)
    status_strings = {path: sorted(values) for path, values in sorted(recorder.status_strings.items())}
    recorder.lines.append(["all", "operator", "words in the status", json.dumps(status_strings)])
    return world, recorder


if __name__ == "__main__":
    for line in run_scenario(sys.argv[1])[1].lines:
        print(json.dumps(line))
