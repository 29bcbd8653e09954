"""Bad input of every kind: it is refused as the protocol says, changes nothing, and no exception leaves a handler."""

import copy
import json
import random
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ramptide.agents.shard import Shard
from ramptide.cluster import peers
from ramptide.cluster.messages import PeerMessage
from ramptide.config.settings import SettingsError, load
from ramptide.config.tuning import Tuning
from ramptide.controller.peer_messages import PeerMessageHandler
from ramptide.protocol.agents import decode_heartbeat, decode_task_reports
from ramptide.protocol.key_value_store import KEYS_PATH
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import Progress, RecordError
from virtual import (
    CLOUD,
    SETTINGS_FILE,
    STORE,
    Cloud,
    KeyValueStore,
    Respond,
    S,
    World,
    busy_world,
    job_spec,
    owner_of,
    started_world,
)

NULLABLE = {"rigs", "yard", "dueS"}
JUNK: list[Any] = [
    None, True, -1, 1.5, -0.5, "", "x", " ", "a\nb", [], [1], {}, {"x": 1}, [[]], 2**64, -(2**70), 10**300, 1e300,
]  # fmt: skip
NUMBERS = ("cores", "cards", "ramGb", "imageGb", "guessS", "markEveryS", "markCostS", "dueS")
DEEP = b"[" * 50_000 + b"]" * 50_000


def answers(world: World, node: str, body: bytes, seconds: float = 3.0) -> list[tuple[int, dict[str, Any]]]:
    got: list[tuple[int, dict[str, Any]]] = []
    world.request(
        node,
        lambda c: c.job_api.submit(body, lambda status, response, headers: got.append((status, json.loads(response)))),
    )
    world.run(seconds)
    return got


def known(world: World) -> set[str]:
    """The jobs that anybody has ever accepted."""
    return {key.split("/")[-1] for key in world.store.entries if key.startswith(("live/job/", "ended/"))}


# Submissions.


def malformed() -> Iterator[tuple[str, bytes]]:
    spec = job_spec("j-1", rigs=None, yard=None, dueS=None)
    yield from missing_or_of_another_type(spec)
    yield from malformed_numbers(spec)
    yield from malformed_values(spec)
    yield from malformed_bodies(spec)


def missing_or_of_another_type(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    value: Any
    for name in sorted(spec.keys() - NULLABLE):
        yield f"{name} is missing", json.dumps({key: value for key, value in spec.items() if key != name}).encode()
        yield f"{name} is null", json.dumps(spec | {name: None}).encode()
    for name in spec:
        for value in ({}, [[]], [1]):
            yield f"{name} is {value}", json.dumps(spec | {name: value}).encode()


def malformed_numbers(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    value: Any
    for name in NUMBERS:
        for value in (True, "4", -1, -0.001, 1e300, 10**400):
            yield f"{name} is {str(value)[:9]}", json.dumps(spec | {name: value}).encode()
        for literal in ("NaN", "Infinity", "-Infinity", "1e999", "+1", "01", "0x1"):
            text = json.dumps({key: value for key, value in spec.items() if key != name})
            yield f"{name} is {literal}", f'{text[:-1]}, "{name}": {literal}}}'.encode()
    for value in (0, -1, 100_001, 1.5, True, "4", 2**64, 10**400):
        yield f"pieces is {str(value)[:9]}", json.dumps(spec | {"pieces": value}).encode()


def malformed_values(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    value: Any
    changes: dict[str, Any]
    for name in ("oneZone", "spread", "loaners"):
        for value in (0, 1, "true"):
            yield f"{name} is {value!r}", json.dumps(spec | {name: value}).encode()
    for name in ("jobclass", "owner", "bundle", "shape", "rank", "ref", "yard"):
        for value in ("", 7, True):
            yield f"{name} is {value!r}", json.dumps(spec | {name: value}).encode()
    for changes in (
        {"ref": "j-"}, {"ref": "j-1 "}, {"ref": "j-1\n"}, {"ref": "x-1"}, {"ref": "J-1"}, {"ref": "j-1/2"},
        {"ref": "j-" + "1" * 40}, {"ref": "j-\u0661"}, {"shape": "gang"}, {"shape": "Batch"}, {"rank": "urgent"},
        {"rank": "HIGH"}, {"rigs": []}, {"rigs": "m"}, {"rigs": [""]}, {"rigs": [None]}, {"rigs": ["m", 1]},
    ):  # fmt: skip
        yield str(changes), json.dumps(spec | changes).encode()


def malformed_bodies(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    whole = json.dumps(spec).encode()
    yield from ((f"the first {count} bytes", whole[:count]) for count in (0, 1, 20, len(whole) - 1))
    for body in (b"null", b"[]", b"7", b'"j-1"', whole + b"}", whole + whole, b"\xff" + whole, b"\x00", DEEP):
        yield str(body[:12]), body
    yield "deep nesting in a field", whole[:-1] + b', "rigs": ' + DEEP + b"}"
    yield "deep nesting in an unknown field", whole[:-1] + b', "else": ' + DEEP + b"}"


def test_malformed_submissions_get_400_and_are_never_accepted() -> None:
    world = started_world(3)
    for number, (what, body) in enumerate(malformed()):
        got = answers(world, world.controller_names[number % 3], body, 0.0)
        assert [status for status, _ in got] == [400], what
        assert got[0][1]["error"], what
    world.run(3)
    assert known(world) == set()


def test_fields_that_may_be_null_may_be_omitted_and_others_are_ignored() -> None:
    world = started_world(3)
    assert answers(world, "c0", json.dumps(job_spec("j-1", rigs=None, yard=None, dueS=None)).encode())[0][0] == 201
    assert answers(world, "c1", json.dumps(job_spec("j-2", cores=2, else_={"deep": [1]})).encode())[0][0] == 201
    assert known(world) == {"j-1", "j-2"}


NEVER: list[dict[str, Any]] = [
    {"owner": "nobody"},
    {"rigs": ["no-such-rig"]},
    {"yard": "no-such-yard"},
    {"cores": 8.5},
    {"ramGb": 33.0},
    {"cards": 1.0},
    {"cores": 1e9},
    {"spread": True, "oneZone": True},
    {"spread": True, "yard": "a"},
    {"owner": "tight", "cores": 5.0},
    {"owner": "tight", "shape": "service", "pieces": 3, "cores": 2.0},
]


@pytest.mark.parametrize("changes", NEVER, ids=str)
def test_what_can_never_run_gets_422(changes: dict[str, Any]) -> None:
    world = started_world(3, teams={"team": 0.0, "tight": 4.0})
    for name in world.controller_names:
        got = answers(world, name, json.dumps(job_spec("j-1") | changes).encode())
        assert [status for status, _ in got] == [422]
        assert got[0][1]["error"]
    assert known(world) == set()


@pytest.mark.parametrize(
    "changes",
    [
        {"owner": "tight", "pieces": 50, "cores": 4.0},
        {"owner": "tight", "shape": "service", "pieces": 2},
        {"rigs": ["no-such-rig", "m"]},
        {"spread": True},
        {"spread": True, "yard": "a", "pieces": 1},
        {"cores": 8.0, "ramGb": 32.0},
        {"jobclass": "never heard of"},
    ],
    ids=str,
)
def test_what_may_run_is_accepted(changes: dict[str, Any]) -> None:
    world = started_world(3, teams={"team": 0.0, "tight": 4.0})
    assert answers(world, "c1", json.dumps(job_spec("j-1") | changes).encode())[0][0] == 201


def test_spread_with_a_single_zone_gets_422() -> None:
    world = started_world(3)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.store_events.apply_machine_types([{"name": "m", "cores": 8, "ramGb": 32, "yards": ["a"]}])
    assert answers(world, "c0", json.dumps(job_spec("j-1", spread=True)).encode())[0][0] == 422


@pytest.mark.parametrize("cloud_down", [False, True])
def test_none_is_accepted_whatever_a_controller_has_loaded_so_far(cloud_down: bool) -> None:
    """Asked from the first moment on: 503 until the controller can tell, and then what the page says."""
    world = World(7, teams={"team": 0.0, "tight": 4.0})
    world.cloud.is_down = cloud_down
    got: dict[int, list[int]] = {400: [], 422: []}
    bodies = [(400, json.dumps(job_spec("j-1", rigs=[])).encode())]
    bodies += [(422, json.dumps(job_spec("j-1") | changes).encode()) for changes in NEVER]
    for node in world.nodes.values():
        node.start()
    for moment in range(120):
        right, body = bodies[moment % len(bodies)]
        for name in world.controller_names:
            world.request(name, lambda c, right=right, body=body: c.job_api.submit(  # type: ignore[misc]
                body, lambda status, *rest: got[right].append(status)))  # fmt: skip
        world.run(0.05)
    world.run(3)
    assert set(got[400]) == {400}
    assert set(got[422]) == ({503} if cloud_down else {503, 422})
    assert known(world) == set()


def test_503_while_the_state_service_is_lacking() -> None:
    world = started_world(3)
    world.store.start_outage(90)
    world.run(4)
    for changes in [{}, *NEVER]:
        assert answers(world, "c0", json.dumps(job_spec("j-1") | changes).encode())[0][0] == 503
    assert answers(world, "c0", b"{}")[0][0] == 400


def test_a_repeat_gets_200_and_the_state_and_changes_nothing() -> None:
    world = busy_world(guessS=60.0)
    world.run(3)
    before = copy.deepcopy(world.store.entries["live/job/j-1"][0]["run"])
    for name in world.controller_names:
        assert answers(world, name, json.dumps(world.job_specs["j-1"]).encode()) == [
            (200, {"ref": "j-1", "status": "running", "done": 0, "running": 6})
        ]
    # The page knows no other answer to a ref that was accepted: what was accepted first stays.
    other = answers(world, "c1", json.dumps(world.job_specs["j-1"] | {"pieces": 2, "cores": 1.0}).encode())
    assert other[0][0] == 200
    assert world.store.entries["live/job/j-1"][0]["run"] == before
    assert answers(world, "c1", json.dumps(world.job_specs["j-1"] | {"owner": "nobody"}).encode())[0][0] == 200
    assert answers(world, "c1", json.dumps(world.job_specs["j-1"] | {"pieces": "2"}).encode())[0][0] == 400
    assert world.cancel_job("j-1", "c2")
    assert answers(world, "c0", json.dumps(world.job_specs["j-1"]).encode())[0] == (
        200, {"ref": "j-1", "status": "withdrawn", "done": 0, "running": 0}
    )  # fmt: skip


def cancelled(world: World, job_id: str, node: str) -> tuple[int, dict[str, Any]]:
    got: list[tuple[int, dict[str, Any]]] = []
    world.request(
        node, lambda c: c.job_api.cancel(job_id, lambda status, body, headers: got.append((status, json.loads(body))))
    )
    world.run(3)
    (answer,) = got
    return answer


def test_cancels_and_polls_of_what_is_done_or_unknown() -> None:
    world = started_world(4)
    world.define_job("j-1", pieces=2, guessS=2.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    for name in world.controller_names:
        assert cancelled(world, "j-1", name) == (200, {"ref": "j-1", "status": "done"})
        for job_id in ("j-999", "j-", "", "x", "j-1%2f", "j-" + "9" * 300, "j-1\n", "../j-1", "\u0661"):
            assert cancelled(world, job_id, name)[0] == 404
            polled = world.poll_job(job_id, name)
            assert polled is not None, job_id
            assert polled[0] == 404, job_id
    assert cancelled(world, "j-1", "c1")[1]["status"] == "done"
    assert known(world) == {"j-1"}


# Broken messages. What is mutated stays of the wrong type or form: a well-formed lie can't be told from the truth.


def mutated(rng: random.Random, value: Any) -> Any:
    """A copy in which something, somewhere inside, is missing or of the wrong kind."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        rest = {name: one for name, one in value.items() if name != key}
        return rest if rng.random() < 0.2 else rest | {key: mutated(rng, value[key])}
    if isinstance(value, list) and value and rng.random() < 0.8:
        place = rng.randrange(len(value))
        return [mutated(rng, one) if n == place else one for n, one in enumerate(value)]
    return rng.choice(JUNK)


def broken(rng: random.Random, value: Any, encode: Callable[[Any], bytes]) -> bytes:
    body = encode(value)
    kind = rng.randrange(5)
    if kind == 0:
        return body[: rng.randrange(len(body))]
    if kind == 1:
        place = rng.randrange(len(body))
        return body[:place] + bytes([rng.randrange(256)]) + body[place + 1 :]
    return encode(mutated(rng, value))


def to_json(value: Any) -> bytes:
    return json.dumps(value).encode()


def shown(part: Shard, host: str) -> Any:
    machine = part.machines[host]
    entries = [(key, entry.phase, entry.cause) for key, entry in sorted(machine.entries.items())]
    return (
        machine.last_heartbeat_id,
        machine.last_heartbeat_at,
        machine.preempted_at,
        entries,
        machine.failed_jobs,
        machine.consecutive_failures,
        machine.unreachable_since,
    )


@pytest.mark.parametrize("seed", range(3))
def test_broken_heartbeats_change_nothing(seed: int) -> None:
    """A report that is not taken leaves all as it was; one that is well-formed in spite of it all may be taken."""
    world = busy_world(guessS=500.0)
    agent, task = world.invariants.running_tasks()[0]
    name = owner_of(world, agent.host)
    controller = world.nodes[name].controller
    assert controller is not None
    assert controller.state.shard is not None
    rng = random.Random(seed)
    heartbeat = {
        "host": agent.host, "addr": "h:1", "rig": "m", "yard": agent.zone, "loaners": False,
        "tenure": agent.agent_epoch, "tally": agent.sequence_number + 1, "baton": agent.fencing_token,
        "warningS": None,
        "pieces": [{"piece": f"{task.job_id}/{task.index}", "try": task.attempt, "status": "running", "cause": None}],
    }  # fmt: skip
    refused = 0
    for _ in range(1500):
        body, before = broken(rng, heartbeat, to_json), shown(controller.state.shard, agent.host)
        got: list[int] = []
        controller.heartbeats.receive_heartbeat(body, lambda status, response, got=got: got.append(status))  # type: ignore[misc]
        if got and got[0] != 200:
            refused += 1
            assert got[0] in (400, 421, 503), body
            assert shown(controller.state.shard, agent.host) == before, body
        else:
            # Taken, so it is well-formed: a few bytes of a name or a number may have changed.
            decode_task_reports(decode_heartbeat(body).raw_tasks)
        world.run(0.01)
    assert refused > 1000
    world.run(20)


@pytest.mark.parametrize(
    "changes",
    [
        {"warningS": 1e300}, {"warningS": "soon"}, {"tally": 2**64}, {"tally": -1}, {"tenure": 2**70}, {"baton": -1},
        {"host": "a b"}, {"host": "x" * 300}, {"host": "v\u00e9"}, {"pieces": None}, {"pieces": {}}, {"pieces": [1]},
        {"pieces": [{"piece": "j-1", "try": 1, "status": "running"}]},
        {"pieces": [{"piece": "j-1/6", "try": 1, "status": "ended", "cause": "done"}]},
        {"pieces": [{"piece": "j-1/" + "9" * 150, "try": 1, "status": "ended", "cause": "done"}]},
        {"pieces": [{"piece": "j-1/-1", "try": 1, "status": "running"}]},
        {"pieces": [{"piece": "j-1/0", "try": -1, "status": "running"}]},
        {"pieces": [{"piece": "j-1/0", "try": 2**64, "status": "running"}]},
    ],
    ids=lambda changes: str(changes)[:70],
)  # fmt: skip
def test_heartbeats_that_no_agent_sends_are_refused(changes: dict[str, Any]) -> None:
    world = busy_world(guessS=500.0)
    agent, _ = world.invariants.running_tasks()[0]
    controller = world.nodes[owner_of(world, agent.host)].controller
    assert controller is not None
    assert controller.state.shard is not None
    before = shown(controller.state.shard, agent.host)
    heartbeat = {"host": agent.host, "rig": "m", "yard": agent.zone, "loaners": False, "tenure": agent.agent_epoch,
            "tally": agent.sequence_number + 1, "baton": agent.fencing_token, "pieces": []}  # fmt: skip
    got: list[int] = []
    body = to_json(heartbeat | changes)
    controller.heartbeats.receive_heartbeat(body, lambda status, response: got.append(status))
    assert got == [400]
    assert shown(controller.state.shard, agent.host) == before
    deep = to_json(heartbeat).replace(b'"pieces": []', b'"pieces": ' + DEEP)
    controller.heartbeats.receive_heartbeat(deep, lambda status, response: got.append(status))
    assert got == [400, 400]
    assert shown(controller.state.shard, agent.host) == before


def test_a_machine_with_a_strange_name_stops_no_leader() -> None:
    """What reports and is not recorded is taken over under its name: the state service takes no such key."""
    world = started_world(3)
    for host in ("vm 1", "vm-\n", "v" * 190, "\u00e9" * 60):
        heartbeat = {"host": host, "rig": "m", "yard": "a", "loaners": False, "tenure": 1, "tally": 1, "baton": 9,
                "pieces": []}  # fmt: skip
        for name in world.controller_names:
            got: list[int] = []
            world.request(name, lambda c, got=got, heartbeat=heartbeat: c.heartbeats.receive_heartbeat(  # type: ignore[misc]
                to_json(heartbeat), lambda status, response: got.append(status)))  # fmt: skip
            assert got == [400]
    world.run(5)
    assert all(len(key.encode()) <= 200 and not set(key) & set(" \n") for key in world.store.entries)


def messages(world: World, seconds: float) -> list[tuple[str, bytes]]:
    """What the controllers send each other: the receiver and the message."""
    found: list[tuple[str, bytes]] = []
    send = peers.encode_message

    with pytest.MonkeyPatch.context() as patch:

        def noted(sync: PeerMessage) -> bytes:
            body = send(sync)
            found.extend((name, body) for name in world.controller_names if name != sync.member)
            return body

        patch.setattr(peers, "encode_message", noted)
        world.run(seconds)
    return found


@pytest.mark.parametrize("seed", range(3))
def test_broken_messages_of_controllers_change_nothing(seed: int) -> None:
    world = busy_world(guessS=500.0)
    world.define_job("j-2", pieces=20, cores=1.0, guessS=3.0)
    assert world.submit_until_accepted("j-2", "c0")
    rng = random.Random(seed)
    sent_messages = messages(world, 4)
    refused = taken = 0
    assert sent_messages
    for _ in range(1500):
        name, body = rng.choice(sent_messages)
        value = cbor2.loads(body) | {"base": 0, "seq": 10**6 + taken}
        controller = world.nodes[name].controller
        assert controller is not None
        assert controller.state.scheduler is not None
        before = (
            dict(controller.state.scheduler.jobs),
            sorted(controller.state.scheduler.changed_hosts),
            controller.peers.newest_view,
        )
        if controller.peer_messages.receive(broken(rng, value, cbor2.dumps)) is None:
            refused += 1
            assert (
                dict(controller.state.scheduler.jobs),
                sorted(controller.state.scheduler.changed_hosts),
                controller.peers.newest_view,
            ) == before
        else:
            taken += 1
    assert refused > 700
    assert taken > 50
    for body in (b"\x81" * 60_000, DEEP, b"\x9b\x7f" + b"\xff" * 7, b"\x5b\x7f" + b"\xff" * 7, b"\xd9\x01\x02\x81\x80"):
        assert world.nodes["c0"].controller is not None
        assert world.nodes["c0"].controller.peer_messages.receive(body) is None
    world.run(10)


@pytest.mark.parametrize("seed", range(3))
def test_broken_answers_of_controllers_lose_no_change(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    world = started_world(seed)
    rng, take = random.Random(seed), PeerMessageHandler.receive
    rate = [0.4]

    def flawed(handler: PeerMessageHandler, body: bytes) -> bytes | None:
        reply = take(handler, body)
        if reply is None or rng.random() >= rate[0]:
            return reply
        return (
            reply[: rng.randrange(len(reply))]
            if rng.random() < 0.5
            else cbor2.dumps(
                cbor2.loads(reply)
                | {rng.choice(["have", "view", "newest", "lacks"]): rng.choice([None, "x", -1, -(2**70)])}
            )
        )

    monkeypatch.setattr(PeerMessageHandler, "receive", flawed)
    for number in range(6):
        world.define_job(f"j-{number}", pieces=8, guessS=4.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    world.run(20)
    rate[0] = 0.0
    assert world.run_until(lambda: all(world.is_done(f"j-{number}") for number in range(6)), 90)
    assert world.invariants.violations == []


@pytest.mark.parametrize(
    "changes",
    [
        {"wishes": {"vm-000000": [("j-1", 0, 1, "rerun", 0.0)]}},
        {"wishes": {"vm-000000": [("j-1", -1, 1, "run", 0.0)]}},
        {"wishes": {"vm-000000": [("j-1", 0, 1, "stop", float("inf"))]}},
        {"wishes": {"vm-000000": [("j-1", 0, 1, "stop", float("nan"))]}},
        {"status": {"vm-000000": [True, True, False, 1e300, None, [], 0, None, False, [], []]}},
        {"status": {"vm-000000": [True, True, False, 0.0, float("inf"), [], 0, None, False, [], []]}},
        {"status": {"vm-000000": [True, True, False, 0.0, None, [], 0, None, False, [], [("j-1", 0, 1, "so", None)]]}},
        {"status": {"vm-000000": [True, True, False, 0.0, None, [], -1, None, False, [], []]}},
        {"status": {"vm-000000": [True, True]}},
        {"waiting": [("j-1", -1, 0.0, [])]},
        {"evict": [("j-1", 0, 1, float("nan"))]},
        {"using": {"team": (float("nan"), 0.0)}},
        {"grants": {"team": (float("-inf"), 0.0)}},
        {"seq": -1},
        {"view": -1},
    ],
    ids=lambda changes: str(changes)[:80],
)
def test_messages_that_no_controller_sends_are_refused_as_a_whole(changes: dict[str, Any]) -> None:
    world = busy_world(guessS=500.0)
    name, body = messages(world, 3)[-1]
    controller = world.nodes[name].controller
    assert controller is not None
    value = cbor2.loads(body) | {"base": 0, "seq": 10**6}
    assert controller.peer_messages.receive(cbor2.dumps(value | changes)) is None
    assert controller.peer_messages.receive(cbor2.dumps(value | {"unheard_of": [changes]})) is not None


class Flawed:
    """A service of which some answers are broken on their way."""

    def __init__(self, service: KeyValueStore | Cloud, rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.broken = 0
        carry_out: Callable[..., None] = service.handle

        def handle(*request: Any) -> None:
            answer = request[-1]

            def flawed(status: int, body: Any) -> None:
                if self.rng.random() < self.rate:
                    self.broken += 1
                    kind = self.rng.randrange(8)
                    value = json.loads(json.dumps(body))
                    answer(status, DEEP if kind == 0 else b"" if kind == 1 else broken_answer(self.rng, value))
                else:
                    answer(status, body)

            carry_out(*request[:-1], flawed)

        service.handle = handle  # type: ignore[method-assign, assignment]


def broken_answer(rng: random.Random, value: Any) -> bytes:
    """Truncated, or with a field at the top missing or of the wrong type."""
    body = to_json(value)
    if not isinstance(value, dict) or not value or rng.random() < 0.3:
        return body[: rng.randrange(max(len(body) - 1, 1))]
    key = rng.choice(sorted(value))
    rest = {name: one for name, one in value.items() if name != key}
    return to_json(rest if rng.random() < 0.3 else rest | {key: rng.choice([None, "x", -1, {}, [1], [{}], 1.5])})


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("service", [STORE, CLOUD])
def test_broken_answers_end_no_process_and_break_no_rule(service: str, seed: int) -> None:
    world = started_world(seed)
    flawed = Flawed(world.store, 0.2, seed) if service == STORE else Flawed(world.cloud, 0.5, seed)
    for number in range(6):
        world.define_job(f"j-{number}", pieces=4, guessS=4.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3], tries=60)
    for _ in range(60):
        world.run(0.5)
        world.invariants.check()
    flawed.rate = 0.0
    assert flawed.broken > 5
    assert world.run_until(lambda: all(world.is_done(f"j-{number}") for number in range(6)), 90)
    assert world.invariants.violations == []


BROKEN_ANSWERS = [
    b'{"epoch":9,"news":[{"put":"live/job/j-1","stamp":9999}]}',
    b'{"epoch":9,"news":[{"put":"live/job/j-1","v":null,"stamp":9999}]}',
    b'{"epoch":9,"news":[{"put":"live/job/j-1","drop":"live/job/j-1","v":1,"stamp":9999}]}',
    b'{"epoch":9,"news":[{"stamp":9999}]}',
    b'{"epoch":-1,"news":[]}',
]


@pytest.mark.parametrize("body", BROKEN_ANSWERS, ids=str)
def test_a_put_without_a_value_drops_no_job(body: bytes) -> None:
    world = busy_world(guessS=60.0)
    carry_out = world.store._watch
    sent: list[int] = []

    def watch(prefix: str, since: int, deadline: timedelta, respond: Respond) -> None:
        if len(sent) < 3:
            sent.append(since)
            respond(200, body)
        else:
            carry_out(prefix, since, deadline, respond)

    world.store._watch = watch  # type: ignore[method-assign]
    world.run(3)
    assert len(sent) == 3
    for node in world.nodes.values():
        assert node.controller is not None
        assert "j-1" in node.controller.state.jobs
    assert len(world.invariants.running_tasks()) == 6


def test_a_page_that_leads_nowhere_is_not_read_for_ever() -> None:
    world = World(5)
    pages = {"rows": [{"path": "live/x", "v": 1, "stamp": 1}], "more": True, "epoch": 1}
    carry_out = world.store.handle
    asked: list[str] = []

    def handle(caller: str, method: str, target: str, body: bytes, respond: Respond) -> None:
        if target.startswith(KEYS_PATH + "?") and world.now < 3 * S:
            asked.append(target)
            respond(200, pages if len(asked) % 2 else pages | {"rows": []})
        else:
            carry_out(caller, method, target, body, respond)

    world.store.handle = handle  # type: ignore[method-assign]
    for node in world.nodes.values():
        node.start()
    world.run(3)
    assert 3 <= len(asked) < 100
    assert all(
        node.controller is not None and node.controller.watch_cache.is_unavailable for node in world.nodes.values()
    )
    world.run(12)
    assert all(node.controller is not None and node.controller.state.reconciled for node in world.nodes.values())


RECORDS: list[Any] = [
    *JUNK,
    {"run": job_spec("j-1")},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 0.0, "done": []},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 0.0, "done": [-1, ""]},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 0.0, "done": [0, "*"]},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 0.0, "done": [10**9, ""]},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 0.0, "done": [0, "A" * 4000]},
    {"run": job_spec("j-1"), "home": "c0", "born": 1, "at": 1e300, "done": [0, ""]},
    {"run": job_spec("j-1", rank="urgent"), "home": "c0", "born": 1, "at": 0.0, "done": [0, ""]},
    {"flavor": "m", "yard": "a", "spot": False, "at": -1e300, "hosts": {}},
    {"flavor": "m", "yard": "a", "spot": False, "at": 1.0, "hosts": {"vm-1": [1, 2, 3]}},
]


@pytest.mark.parametrize("path", ["live/job/j-1", "live/rental/r", "live/flavors", "live/settings", "live/nothing"])
def test_broken_values_of_the_state_service_end_no_process(path: str) -> None:
    world = busy_world(guessS=60.0)
    for record in RECORDS:
        if record is not None:
            world.store.put(path, record)
            world.run(0.5)
    world.run(3)
    for node in world.nodes.values():
        assert node.controller is not None
        assert node.controller.state.jobs["j-1"].spec.task_count == 6
    assert len(world.invariants.running_tasks()) == 6
    assert world.invariants.violations == []


@pytest.mark.parametrize("value", [[], [0], [0, 1], ["0", ""], [0, "A"], [-1, ""], [True, ""], None, {}])
def test_a_broken_done_set_is_no_done_set(value: Any) -> None:
    with pytest.raises(RecordError):
        Progress.decode(value)


def test_a_task_that_the_job_does_not_have_is_not_counted() -> None:
    world = busy_world(guessS=60.0)
    controller = next(
        c
        for node in world.nodes.values()
        if (c := node.controller) is not None and c.state.scheduler and "j-1" in c.state.scheduler.jobs
    )
    scheduler: JobScheduler = controller.state.scheduler  # type: ignore[assignment]
    host = world.invariants.running_tasks()[0][0].host
    rows = list(controller.machine_index.machines[host].tasks)
    scheduler.apply_status(host, "a", [*rows, ("j-1", 99_999, 7, "ended", "done")], world.now)
    assert scheduler.jobs["j-1"].done.count == 0
    assert 99_999 not in scheduler.jobs["j-1"].placed


# The operators' settings and the settings file.


@pytest.mark.parametrize("value", [True, "1", None, [], {}, float("nan"), float("inf"), -1, 0, 10**400, -(10**400)])
def test_no_setting_is_changed_to_what_is_out_of_bounds(value: Any) -> None:
    with pytest.raises(SettingsError, match=r"^window|^step"):
        Tuning().with_changes({"step": value})
    assert Tuning.from_value({"step": value, "window": 3.0}).window == 3 * S


def test_teams_zones_objectives_and_fields_of_any_kind_are_taken(tmp_path: Path) -> None:
    cluster = SETTINGS_FILE["cluster"] | {
        "zones": ["never", "heard", "of"], "teams": [{"name": "new \u00e9", "cpus_max": 5, "colour": "red"}],
        "objectives": [{"kind": "unheard-of", "weight": [1]}, {"kind": "wait"}], "more": {"fields": [None]},
    }  # fmt: skip
    path = tmp_path / "s.json"
    path.write_text(json.dumps(SETTINGS_FILE | {"cluster": cluster}))
    assert load(path).cluster.teams[0].cpus_max == 5.0


def paths(value: Any, here: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    if here:
        yield here
    if isinstance(value, dict):
        for key, one in value.items():
            yield from paths(one, (*here, key))


@hypothesis_settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.sampled_from(list(paths(SETTINGS_FILE))),
    st.sampled_from([*JUNK, "a:b\n:1", "h:99999", "h:-1", float("nan"), ...]),
)
def test_a_settings_file_that_cannot_hold_is_named_in_one_line(
    tmp_path_factory: pytest.TempPathFactory, place: tuple[str, ...], value: Any
) -> None:
    whole = copy.deepcopy(SETTINGS_FILE)
    inner = whole
    for key in place[:-1]:
        inner = inner[key]
    if value is ...:
        del inner[place[-1]]
    else:
        inner[place[-1]] = value
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_text(json.dumps(whole))
    refusal = refusal_of(path)
    if refusal is not None:
        assert "\n" not in refusal
        assert refusal.startswith(str(path))
        assert len(refusal) < 400


def refusal_of(path: Path) -> str | None:
    """Return why a settings file is refused; None where it is taken."""
    try:
        load(path)
    except SettingsError as error:
        return str(error)
    return None


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", DEEP, b'{"member": "' + b"x" * 10])
def test_what_is_no_settings_file_is_named_in_one_line(tmp_path: Path, body: bytes) -> None:
    path = tmp_path / "s.json"
    path.write_bytes(body)
    with pytest.raises(SettingsError) as error:
        load(path)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("cluster", "named"),
    [
        ({"teams": [{"name": "a"}, {"name": "a"}]}, "teams"),
        ({"teams": [{"name": "a", "cpus_max": -1}]}, "cpus_max"),
        ({"workers": {"report_s": 9.0, "lease_s": 5.0, "cancel_s": 20.0}}, "lease_s"),
        ({"quota": {"fd_limit": 3}}, "fd_limit"),
        ({"quota": {"cpu": 0}}, "cpu"),
        ({"quota": {"cpu": "half"}}, "cpu"),
        ({"quota": {"ram_mb": -5.0}}, "ram_mb"),
        ({"quota": 7}, "quota"),
        ({"state": {"rps": 0, "write_rps": 5.0, "value_kb": 4.0, "txn_ops": 12}}, "rps"),
    ],
)
def test_settings_that_contradict_themselves_are_named(tmp_path: Path, cluster: dict[str, Any], named: str) -> None:
    path = tmp_path / "s.json"
    path.write_text(json.dumps(SETTINGS_FILE | {"cluster": SETTINGS_FILE["cluster"] | cluster}))
    with pytest.raises(SettingsError, match=named) as error:
        load(path)
    assert "\n" not in str(error.value)
