"""Short histories in the virtual world, and every byte that controllers send in them.

Run as a program with the name of a scenario it prints the traffic, a JSON list on each line: sender, receiver, what was
called or answered, and the body, as text or in hexadecimal digits where it is CBOR.
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

CBOR = "application/cbor"
STEP = 0.5
#: Tables in the status whose keys are names.
NAMED = {"/machines", "/jobs", "/teams", "/quota/teams", "/failing_jobs"}


class Recorder:
    """Keeps what controllers send, each message once; if `brief` only what the state service and the cloud get."""

    def __init__(self, brief: bool) -> None:
        self._brief = brief
        self.lines: list[list[str]] = []
        self.words: dict[str, set[str]] = {}
        self._known: set[tuple[str, ...]] = set()

    def keep(self, *line: str) -> None:
        wanted = not self._brief or line[2].startswith(("POST /txn", "POST /rentals"))
        if wanted and line not in self._known:
            self._known.add(line)
            self.lines.append(list(line))

    def look(self, world: World) -> None:
        """Note the words that the status of any controller has now."""
        for name in world.controller_names:
            for path, value in words(json.loads(operator_answer(world, name, "/admin/status") or "{}")):
                self.words.setdefault(path, set()).add(value)

    def listen(self, stack: ExitStack) -> None:
        """Record until the stack is closed."""
        call, send = VirtualRuntime.call, World.send

        def recorded_call(context: Any, request: Request, on_response: Any) -> None:
            kind = request.content_type
            text = _text(request.body, kind == CBOR)
            self.keep(context.node.name, request.address, f"{request.method} {request.target} {kind}", text)
            call(context, request, on_response)

        def recorded_send(world: World, source: str, target: str, request: Callable[[Any], None], *rest: Any):  # type: ignore[no-untyped-def]
            def recorded_request(answer: Callable[[int, Any], None]) -> None:
                def recorded_answer(status: int, body: Any) -> None:
                    if isinstance(body, bytes):
                        self.keep(target, source, f"answer {status}", _text(body, source in world.controller_names))
                    answer(status, body)

                request(recorded_answer)

            return send(world, source, target, recorded_request if target in world.controller_names else request, *rest)

        run = World.run

        def sampled_run(world: World, seconds: float) -> None:
            """In steps, after each of which the status is looked at."""
            for _ in range(int(seconds / STEP)):
                run(world, STEP)
                self.look(world)
            run(world, seconds % STEP)

        stack.enter_context(patch.object(World, "run", sampled_run))
        stack.enter_context(patch.object(VirtualRuntime, "call", recorded_call))
        stack.enter_context(patch.object(World, "send", recorded_send))


def operator_answer(world: World, name: str, path: str) -> str:
    """What a controller answers to an operator; nothing when it is dead or stands still."""
    got: list[str] = []
    world.nodes[name].request(
        lambda c: codecs.operator_call(c, "GET", path, lambda status, body, kind: _answered(got, body))
    )
    return got[0] if got else ""


def _answered(got: list[str], body: bytes) -> None:
    got.append(body.decode())


def words(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """All words in a status; names of machines, jobs and controllers are left out."""
    if isinstance(value, dict):
        for name, one in value.items():
            yield from words(one, f"{path}/{'*' if path in NAMED else name}")
    elif isinstance(value, list):
        for one in value:
            yield from words(one, path)
    elif isinstance(value, str) and not path.startswith("/version"):
        yield path, value


def last_answers(world: World) -> Iterator[list[str]]:
    """The status and the metrics of each controller in the end, without what differs from process to process."""
    for name in world.controller_names:
        for path in ("/admin/status", "/admin/quota", "/metrics"):
            told = operator_answer(world, name, path)
            kept = [line for line in told.splitlines() if "ramptide_process_" not in line]
            yield [name, "operator", f"answer {path}", "\n".join(kept)]


def _text(body: bytes, binary: bool) -> str:
    return body.hex() if binary else body.decode()


def plain_day() -> World:
    """Jobs of each kind are accepted, run, finish and are cancelled; a small limit makes work wait."""
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


def rough_day() -> World:
    """A controller ends, the state service is out for a while, a machine hangs, and important work needs room."""
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


def cut_day() -> World:
    """A controller loses its agents, an agent its controllers; users cancel while the state service is out for one."""
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
    lonely = leader_of(world)
    for host in world.agents:
        world.cut_link(lonely, host)
    world.run(10)
    world.heal()
    world.run(3)
    return world


def worn_day() -> World:
    """Machines that fail all tasks, never come up, fall silent, hear nothing, are taken back or have little to do."""
    world = started_world(17, capacity=12)
    world.cloud.boot_seconds = (1.0, 2.0)
    world.define_job("j-50", shape="service", pieces=14, cores=1.0)
    world.define_job("j-51", shape="service", pieces=16, cores=3.0)
    assert world.submit_until_accepted("j-51", "c0")
    assert world.submit_until_accepted("j-50", "c0")
    world.run(10)
    sick, failed, silent, deaf, taken = sorted(host for host, agent in world.agents.items() if agent.booted)[:5]
    world.agents[sick].is_faulty = True
    for task in world.agents[sick].tasks.values():
        task.status, task.cause = "ended", "error"
    world.agents[failed].die()
    world.cloud.listing[failed]["status"] = "failed"
    world.agents[silent].die()
    world.hosts_without_responses.add(deaf)
    encode_status = Agent.encode_status

    def with_notice(agent: Agent) -> bytes:
        told = json.loads(encode_status(agent))
        return json.dumps(told | ({"warningS": 0.3} if agent.host == taken else {})).encode()

    world.cloud.boot_seconds = (500.0, 600.0)
    world.failure_delays["j-52"] = 0.3
    world.define_job("j-52", pieces=2, cores=0.5, rank="production")
    with patch.object(Agent, "encode_status", with_notice):
        assert world.submit_until_accepted("j-52", "c2")
        for _ in range(40):
            for host, row in world.cloud.listing.items():
                row["status"] = "running" if world.agents[host].booted or host == failed else "booting"
            world.run(1)
        assert world.cancel_job("j-51", "c1")
        world.run(50)
    return world


def many_machines() -> World:
    """Messages that take no more than two machines, so that the tables come in parts."""
    with codecs.small_messages(2):
        world = started_world(5, capacity=10)
        world.define_job("j-20", pieces=30, cores=2.0, guessS=4.0)
        assert world.submit_until_accepted("j-20", "c0")
        world.run(6)
        world.nodes["c2"].kill()
        world.nodes["c2"].start()
        world.run(5)
    return world


def quota_day() -> World:
    """With team limits across controllers."""
    parts = codecs.features({"quota": {"enabled": True}})
    world = World(3, teams={"team": 16.0, "tight": 6.0}, capacity=6, parts=parts)
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


SCENARIOS: dict[str, Callable[[], World]] = {
    "plain_day": plain_day,
    "rough_day": rough_day,
    "cut_day": cut_day,
    "worn_day": worn_day,
    "many_machines": many_machines,
    "quota_day": quota_day,
}

#: Scenarios of which only what the state service and the cloud get is kept.
LONG = {"worn_day"}


def record(scenario: str) -> tuple[World, Recorder]:
    recorder = Recorder(brief=scenario in LONG)
    with ExitStack() as stack:
        recorder.listen(stack)
        world = SCENARIOS[scenario]()
    recorder.lines += last_answers(world)
    found = {path: sorted(values) for path, values in sorted(recorder.words.items())}
    recorder.lines.append(["all", "operator", "words in the status", json.dumps(found)])
    return world, recorder


if __name__ == "__main__":
    for one in record(sys.argv[1])[1].lines:
        print(json.dumps(one))
