"""Malformed input from users, agents, controllers, the key-value store, the cloud and settings files.

It is refused as the protocol specifies. The tests guard against three failures: invalid input is accepted, refused
input has changed the state by the time it is refused, or an exception leaves a handler and ends the process. Such input
comes from faulty clients, from messages that are truncated or altered on their way, and from mistakes in files.
"""

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
    SECOND,
    SETTINGS_FILE,
    STORE,
    Cloud,
    KeyValueStore,
    Respond,
    World,
    busy_world,
    job_spec,
    owner_of,
    restart_controller,
    started_world,
)

NULLABLE_FIELDS = {"rigs", "yard", "dueS"}
UNEXPECTED_VALUES: list[Any] = [
    None, True, -1, 1.5, -0.5, "", "x", " ", "a\nb", [], [1], {}, {"x": 1}, [[]], 2**64, -(2**70), 10**300, 1e300,
]  # fmt: skip
NUMBER_FIELDS = ("cores", "cards", "ramGb", "imageGb", "guessS", "markEveryS", "markCostS", "dueS")
DEEP_JSON = b"[" * 50_000 + b"]" * 50_000


def submit(world: World, controller_name: str, body: bytes, seconds: float = 3.0) -> list[tuple[int, dict[str, Any]]]:
    """Submit a job description to a controller; return the status and the decoded body of each answer."""
    received: list[tuple[int, dict[str, Any]]] = []
    world.request(
        controller_name,
        lambda controller: controller.job_api.submit(
            body, lambda status, response, headers: received.append((status, json.loads(response)))
        ),
    )
    world.run(seconds)
    return received


def accepted_job_ids(world: World) -> set[str]:
    """Return the ids of all jobs that were ever accepted."""
    return {key.split("/")[-1] for key in world.store.entries if key.startswith(("live/job/", "ended/"))}


# The next tests send malformed or impossible submissions, repeated ones, and cancellations.


def malformed_submissions() -> Iterator[tuple[str, bytes]]:
    spec = job_spec("j-1", rigs=None, yard=None, dueS=None)
    yield from submissions_with_missing_or_mistyped_fields(spec)
    yield from submissions_with_malformed_numbers(spec)
    yield from submissions_with_disallowed_values(spec)
    yield from submissions_with_malformed_bodies(spec)


def submissions_with_missing_or_mistyped_fields(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    value: Any
    for name in sorted(spec.keys() - NULLABLE_FIELDS):
        yield f"{name} is missing", json.dumps({key: value for key, value in spec.items() if key != name}).encode()
        yield f"{name} is null", json.dumps(spec | {name: None}).encode()
    for name in spec:
        for value in ({}, [[]], [1]):
            yield f"{name} is {value}", json.dumps(spec | {name: value}).encode()


def submissions_with_malformed_numbers(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    value: Any
    for name in NUMBER_FIELDS:
        for value in (True, "4", -1, -0.001, 1e300, 10**400):
            yield f"{name} is {str(value)[:9]}", json.dumps(spec | {name: value}).encode()
        for literal in ("NaN", "Infinity", "-Infinity", "1e999", "+1", "01", "0x1"):
            spec_json = json.dumps({key: value for key, value in spec.items() if key != name})
            yield f"{name} is {literal}", f'{spec_json[:-1]}, "{name}": {literal}}}'.encode()
    for value in (0, -1, 100_001, 1.5, True, "4", 2**64, 10**400):
        yield f"pieces is {str(value)[:9]}", json.dumps(spec | {"pieces": value}).encode()


def submissions_with_disallowed_values(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
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


def submissions_with_malformed_bodies(spec: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    valid_body = json.dumps(spec).encode()
    yield from ((f"the first {count} bytes", valid_body[:count]) for count in (0, 1, 20, len(valid_body) - 1))
    for body in (
        b"null",
        b"[]",
        b"7",
        b'"j-1"',
        valid_body + b"}",
        valid_body + valid_body,
        b"\xff" + valid_body,
        b"\x00",
        DEEP_JSON,
    ):
        yield str(body[:12]), body
    yield "deep nesting in a field", valid_body[:-1] + b', "rigs": ' + DEEP_JSON + b"}"
    yield "deep nesting in an unknown field", valid_body[:-1] + b', "else": ' + DEEP_JSON + b"}"


def test_malformed_submissions_get_400_and_are_never_accepted() -> None:
    world = started_world(3)
    for number, (description, body) in enumerate(malformed_submissions()):
        received = submit(world, world.controller_names[number % 3], body, 0.0)
        assert [status for status, _ in received] == [400], description
        assert received[0][1]["error"], description
    world.run(3)
    assert accepted_job_ids(world) == set()


def test_submission_is_accepted_with_null_omitted_and_unknown_fields() -> None:
    world = started_world(3)
    assert submit(world, "c0", json.dumps(job_spec("j-1", rigs=None, yard=None, dueS=None)).encode())[0][0] == 201
    assert submit(world, "c1", json.dumps(job_spec("j-2", cores=2, else_={"deep": [1]})).encode())[0][0] == 201
    assert accepted_job_ids(world) == {"j-1", "j-2"}


IMPOSSIBLE_REQUIREMENTS: list[dict[str, Any]] = [
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


@pytest.mark.parametrize("changes", IMPOSSIBLE_REQUIREMENTS, ids=str)
def test_submission_gets_422_when_the_job_can_never_run(changes: dict[str, Any]) -> None:
    world = started_world(3, teams={"team": 0.0, "tight": 4.0})
    for controller_name in world.controller_names:
        received = submit(world, controller_name, json.dumps(job_spec("j-1") | changes).encode())
        assert [status for status, _ in received] == [422]
        assert received[0][1]["error"]
    assert accepted_job_ids(world) == set()


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
def test_submission_is_accepted_when_the_job_can_run(changes: dict[str, Any]) -> None:
    world = started_world(3, teams={"team": 0.0, "tight": 4.0})
    assert submit(world, "c1", json.dumps(job_spec("j-1") | changes).encode())[0][0] == 201


def test_submission_gets_422_when_tasks_must_spread_and_only_one_zone_exists() -> None:
    world = started_world(3)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.store_events.apply_machine_types([{"name": "m", "cores": 8, "ramGb": 32, "yards": ["a"]}])
    assert submit(world, "c0", json.dumps(job_spec("j-1", spread=True)).encode())[0][0] == 422


@pytest.mark.parametrize("cloud_down", [False, True])
def test_invalid_submissions_are_never_accepted_while_controllers_start(cloud_down: bool) -> None:
    """Requests arrive from the start on: an impossible job gets 503 until the controller can judge it, then 422."""
    world = World(7, teams={"team": 0.0, "tight": 4.0})
    world.cloud.is_down = cloud_down
    statuses_by_expected: dict[int, list[int]] = {400: [], 422: []}
    bodies = [(400, json.dumps(job_spec("j-1", rigs=[])).encode())]
    bodies += [(422, json.dumps(job_spec("j-1") | changes).encode()) for changes in IMPOSSIBLE_REQUIREMENTS]
    for node in world.nodes.values():
        node.start()
    for round_number in range(120):
        expected, body = bodies[round_number % len(bodies)]
        for controller_name in world.controller_names:
            world.request(
                controller_name,
                lambda controller, expected=expected, body=body: controller.job_api.submit(  # type: ignore[misc]
                    body, lambda status, *rest: statuses_by_expected[expected].append(status)
                ),
            )
        world.run(0.05)
    world.run(3)
    assert set(statuses_by_expected[400]) == {400}
    assert set(statuses_by_expected[422]) == ({503} if cloud_down else {503, 422})
    assert accepted_job_ids(world) == set()


def test_well_formed_submissions_get_503_while_the_key_value_store_is_unavailable() -> None:
    world = started_world(3)
    world.store.start_outage(90)
    world.run(4)
    for changes in [{}, *IMPOSSIBLE_REQUIREMENTS]:
        assert submit(world, "c0", json.dumps(job_spec("j-1") | changes).encode())[0][0] == 503
    assert submit(world, "c0", b"{}")[0][0] == 400


def test_repeated_submission_gets_200_with_the_job_state_and_changes_nothing() -> None:
    world = busy_world(guessS=60.0)
    world.run(3)
    record_before = copy.deepcopy(world.store.entries["live/job/j-1"][0]["run"])
    for controller_name in world.controller_names:
        assert submit(world, controller_name, json.dumps(world.job_specs["j-1"]).encode()) == [
            (200, {"ref": "j-1", "status": "running", "done": 0, "running": 6})
        ]
    # The protocol has no other answer to an id that was accepted before: the first description stays in force.
    changed_description = submit(world, "c1", json.dumps(world.job_specs["j-1"] | {"pieces": 2, "cores": 1.0}).encode())
    assert changed_description[0][0] == 200
    assert world.store.entries["live/job/j-1"][0]["run"] == record_before
    assert submit(world, "c1", json.dumps(world.job_specs["j-1"] | {"owner": "nobody"}).encode())[0][0] == 200
    assert submit(world, "c1", json.dumps(world.job_specs["j-1"] | {"pieces": "2"}).encode())[0][0] == 400
    assert world.cancel_job("j-1", "c2")
    assert submit(world, "c0", json.dumps(world.job_specs["j-1"]).encode())[0] == (
        200, {"ref": "j-1", "status": "withdrawn", "done": 0, "running": 0}
    )  # fmt: skip


def cancel(world: World, job_id: str, controller_name: str) -> tuple[int, dict[str, Any]]:
    """Cancel a job at a controller; return the status and the decoded body of the answer."""
    received: list[tuple[int, dict[str, Any]]] = []
    world.request(
        controller_name,
        lambda controller: controller.job_api.cancel(
            job_id, lambda status, body, headers: received.append((status, json.loads(body)))
        ),
    )
    world.run(3)
    (answer,) = received
    return answer


def test_cancellation_of_a_done_job_gets_200_and_unknown_job_ids_get_404() -> None:
    world = started_world(4)
    world.define_job("j-1", pieces=2, guessS=2.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    for controller_name in world.controller_names:
        assert cancel(world, "j-1", controller_name) == (200, {"ref": "j-1", "status": "done"})
        for job_id in ("j-999", "j-", "", "x", "j-1%2f", "j-" + "9" * 300, "j-1\n", "../j-1", "\u0661"):
            assert cancel(world, job_id, controller_name)[0] == 404
            polled = world.poll_job(job_id, controller_name)
            assert polled is not None, job_id
            assert polled[0] == 404, job_id
    assert cancel(world, "j-1", "c1")[1]["status"] == "done"
    assert accepted_job_ids(world) == {"j-1"}


# The next tests send broken messages. Mutations produce values of a wrong type or form, as no receiver can detect a
# well-formed message whose content is false.


def mutate(rng: random.Random, value: Any) -> Any:
    """Return a copy in which one value, at some depth, is missing or replaced by an unexpected one."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        rest = {name: item for name, item in value.items() if name != key}
        return rest if rng.random() < 0.2 else rest | {key: mutate(rng, value[key])}
    if isinstance(value, list) and value and rng.random() < 0.8:
        position = rng.randrange(len(value))
        return [mutate(rng, item) if index == position else item for index, item in enumerate(value)]
    return rng.choice(UNEXPECTED_VALUES)


def break_message(rng: random.Random, value: Any, encode: Callable[[Any], bytes]) -> bytes:
    body = encode(value)
    corruption = rng.randrange(5)
    if corruption == 0:
        return body[: rng.randrange(len(body))]
    if corruption == 1:
        position = rng.randrange(len(body))
        return body[:position] + bytes([rng.randrange(256)]) + body[position + 1 :]
    return encode(mutate(rng, value))


def encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


def machine_state(shard: Shard, host: str) -> Any:
    machine = shard.machines[host]
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
    """A refused heartbeat leaves the machine's state unchanged; one that is still well-formed may be applied."""
    world = busy_world(guessS=500.0)
    agent, task = world.invariants.running_tasks()[0]
    owner = owner_of(world, agent.host)
    controller = world.nodes[owner].controller
    assert controller is not None
    assert controller.state.shard is not None
    rng = random.Random(seed)
    heartbeat = {
        "host": agent.host, "addr": "h:1", "rig": "m", "yard": agent.zone, "loaners": False,
        "tenure": agent.agent_epoch, "tally": agent.sequence_number + 1, "baton": agent.fencing_token,
        "warningS": None,
        "pieces": [{"piece": f"{task.job_id}/{task.index}", "try": task.attempt, "status": "running", "cause": None}],
    }  # fmt: skip
    refused_count = 0
    for _ in range(1500):
        body, before = break_message(rng, heartbeat, encode_json), machine_state(controller.state.shard, agent.host)
        statuses: list[int] = []
        controller.heartbeats.receive_heartbeat(
            body,
            lambda status, response, statuses=statuses: statuses.append(status),  # type: ignore[misc]
        )
        if statuses and statuses[0] != 200:
            refused_count += 1
            assert statuses[0] in (400, 421, 503), body
            assert machine_state(controller.state.shard, agent.host) == before, body
        else:
            # A heartbeat that was not refused is well-formed, although some bytes of a name or number may have changed.
            decode_task_reports(decode_heartbeat(body).raw_tasks)
        world.run(0.01)
    assert refused_count > 1000
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
def test_heartbeat_is_refused_and_changes_nothing_when_a_field_is_invalid(changes: dict[str, Any]) -> None:
    world = busy_world(guessS=500.0)
    agent, _ = world.invariants.running_tasks()[0]
    controller = world.nodes[owner_of(world, agent.host)].controller
    assert controller is not None
    assert controller.state.shard is not None
    before = machine_state(controller.state.shard, agent.host)
    heartbeat = {"host": agent.host, "rig": "m", "yard": agent.zone, "loaners": False, "tenure": agent.agent_epoch,
            "tally": agent.sequence_number + 1, "baton": agent.fencing_token, "pieces": []}  # fmt: skip
    statuses: list[int] = []
    body = encode_json(heartbeat | changes)
    controller.heartbeats.receive_heartbeat(body, lambda status, response: statuses.append(status))
    assert statuses == [400]
    assert machine_state(controller.state.shard, agent.host) == before
    deeply_nested = encode_json(heartbeat).replace(b'"pieces": []', b'"pieces": ' + DEEP_JSON)
    controller.heartbeats.receive_heartbeat(deeply_nested, lambda status, response: statuses.append(status))
    assert statuses == [400, 400]
    assert machine_state(controller.state.shard, agent.host) == before


def test_heartbeat_is_refused_when_its_host_name_cannot_be_part_of_a_key() -> None:
    """The leader adopts unrecorded machines under their reported names; a refused key must not stop the leader."""
    world = started_world(3)
    for host in ("vm 1", "vm-\n", "v" * 190, "\u00e9" * 60):
        heartbeat = {"host": host, "rig": "m", "yard": "a", "loaners": False, "tenure": 1, "tally": 1, "baton": 9,
                "pieces": []}  # fmt: skip
        for controller_name in world.controller_names:
            statuses: list[int] = []
            world.request(
                controller_name,
                lambda controller, statuses=statuses, heartbeat=heartbeat: (  # type: ignore[misc]
                    controller.heartbeats.receive_heartbeat(
                        encode_json(heartbeat), lambda status, response: statuses.append(status)
                    )
                ),
            )
            assert statuses == [400]
    world.run(5)
    assert all(len(key.encode()) <= 200 and not set(key) & set(" \n") for key in world.store.entries)


def record_peer_messages(world: World, seconds: float) -> list[tuple[str, bytes]]:
    """Let the world run; return the messages that controllers send each other meanwhile, each with its receiver."""
    sent_messages: list[tuple[str, bytes]] = []
    original_encode = peers.encode_message

    with pytest.MonkeyPatch.context() as patch:

        def record_and_encode(message: PeerMessage) -> bytes:
            body = original_encode(message)
            sent_messages.extend((receiver, body) for receiver in world.controller_names if receiver != message.member)
            return body

        patch.setattr(peers, "encode_message", record_and_encode)
        world.run(seconds)
    return sent_messages


@pytest.mark.parametrize("seed", range(3))
def test_broken_peer_messages_change_nothing(seed: int) -> None:
    world = busy_world(guessS=500.0)
    world.define_job("j-2", pieces=20, cores=1.0, guessS=3.0)
    assert world.submit_until_accepted("j-2", "c0")
    rng = random.Random(seed)
    sent_messages = record_peer_messages(world, 4)
    refused_count = accepted_count = 0
    assert sent_messages
    for _ in range(1500):
        receiver, body = rng.choice(sent_messages)
        message = cbor2.loads(body) | {"base": 0, "seq": 10**6 + accepted_count}
        controller = world.nodes[receiver].controller
        assert controller is not None
        assert controller.state.scheduler is not None
        before = (
            dict(controller.state.scheduler.jobs),
            sorted(controller.state.scheduler.changed_hosts),
            controller.peers.newest_view,
        )
        if controller.peer_messages.receive(break_message(rng, message, cbor2.dumps)) is None:
            refused_count += 1
            assert (
                dict(controller.state.scheduler.jobs),
                sorted(controller.state.scheduler.changed_hosts),
                controller.peers.newest_view,
            ) == before
        else:
            accepted_count += 1
    assert refused_count > 700
    assert accepted_count > 50
    for body in (
        b"\x81" * 60_000,
        DEEP_JSON,
        b"\x9b\x7f" + b"\xff" * 7,
        b"\x5b\x7f" + b"\xff" * 7,
        b"\xd9\x01\x02\x81\x80",
    ):
        assert world.nodes["c0"].controller is not None
        assert world.nodes["c0"].controller.peer_messages.receive(body) is None
    world.run(10)


@pytest.mark.parametrize("seed", range(3))
def test_no_change_is_lost_when_peer_replies_are_broken(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    world = started_world(seed)
    rng, original_receive = random.Random(seed), PeerMessageHandler.receive
    corruption_rate = [0.4]

    def receive_and_break_reply(handler: PeerMessageHandler, body: bytes) -> bytes | None:
        reply = original_receive(handler, body)
        if reply is None or rng.random() >= corruption_rate[0]:
            return reply
        return (
            reply[: rng.randrange(len(reply))]
            if rng.random() < 0.5
            else cbor2.dumps(
                cbor2.loads(reply)
                | {rng.choice(["have", "view", "newest", "lacks"]): rng.choice([None, "x", -1, -(2**70)])}
            )
        )

    monkeypatch.setattr(PeerMessageHandler, "receive", receive_and_break_reply)
    for number in range(6):
        world.define_job(f"j-{number}", pieces=8, guessS=4.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    world.run(20)
    corruption_rate[0] = 0.0
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
def test_peer_message_is_refused_only_when_a_known_field_is_invalid(changes: dict[str, Any]) -> None:
    world = busy_world(guessS=500.0)
    receiver, body = record_peer_messages(world, 3)[-1]
    controller = world.nodes[receiver].controller
    assert controller is not None
    message = cbor2.loads(body) | {"base": 0, "seq": 10**6}
    assert controller.peer_messages.receive(cbor2.dumps(message | changes)) is None
    assert controller.peer_messages.receive(cbor2.dumps(message | {"unheard_of": [changes]})) is not None


class FaultyService:
    """Corrupts the responses of a service at a given rate."""

    def __init__(self, service: KeyValueStore | Cloud, corruption_rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.corruption_rate = corruption_rate
        self.broken_count = 0
        handle_unbroken: Callable[..., None] = service.handle

        def handle(*request: Any) -> None:
            respond = request[-1]

            def respond_with_faults(status: int, body: Any) -> None:
                if self.rng.random() < self.corruption_rate:
                    self.broken_count += 1
                    corruption = self.rng.randrange(8)
                    value = json.loads(json.dumps(body))
                    respond(
                        status,
                        DEEP_JSON if corruption == 0 else b"" if corruption == 1 else break_response(self.rng, value),
                    )
                else:
                    respond(status, body)

            handle_unbroken(*request[:-1], respond_with_faults)

        service.handle = handle  # type: ignore[method-assign, assignment]


def break_response(rng: random.Random, value: Any) -> bytes:
    """Return the encoded response, truncated or with a top-level field missing or of a wrong type."""
    body = encode_json(value)
    if not isinstance(value, dict) or not value or rng.random() < 0.3:
        return body[: rng.randrange(max(len(body) - 1, 1))]
    key = rng.choice(sorted(value))
    rest = {name: item for name, item in value.items() if name != key}
    return encode_json(rest if rng.random() < 0.3 else rest | {key: rng.choice([None, "x", -1, {}, [1], [{}], 1.5])})


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("service", [STORE, CLOUD])
def test_broken_service_responses_end_no_process_and_violate_no_invariant(service: str, seed: int) -> None:
    world = started_world(seed)
    faulty_service = (
        FaultyService(world.store, 0.2, seed) if service == STORE else FaultyService(world.cloud, 0.5, seed)
    )
    for number in range(6):
        world.define_job(f"j-{number}", pieces=4, guessS=4.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3], tries=60)
    for _ in range(60):
        world.run(0.5)
        world.invariants.check()
    faulty_service.corruption_rate = 0.0
    assert faulty_service.broken_count > 5
    assert world.run_until(lambda: all(world.is_done(f"j-{number}") for number in range(6)), 90)
    assert world.invariants.violations == []


#: For example, a put without a value must not be taken for the deletion of the job.
BROKEN_WATCH_RESPONSES = [
    b'{"epoch":9,"news":[{"put":"live/job/j-1","stamp":9999}]}',
    b'{"epoch":9,"news":[{"put":"live/job/j-1","v":null,"stamp":9999}]}',
    b'{"epoch":9,"news":[{"put":"live/job/j-1","drop":"live/job/j-1","v":1,"stamp":9999}]}',
    b'{"epoch":9,"news":[{"stamp":9999}]}',
    b'{"epoch":-1,"news":[]}',
]


@pytest.mark.parametrize("body", BROKEN_WATCH_RESPONSES, ids=str)
def test_job_is_kept_when_watch_responses_are_broken(body: bytes) -> None:
    world = busy_world(guessS=60.0)
    original_watch = world.store._watch
    answered_revisions: list[int] = []

    def watch(prefix: str, since: int, deadline: timedelta, respond: Respond) -> None:
        if len(answered_revisions) < 3:
            answered_revisions.append(since)
            respond(200, body)
        else:
            original_watch(prefix, since, deadline, respond)

    world.store._watch = watch  # type: ignore[method-assign]
    world.run(3)
    assert len(answered_revisions) == 3
    for node in world.nodes.values():
        assert node.controller is not None
        assert "j-1" in node.controller.state.jobs
    assert len(world.invariants.running_tasks()) == 6


def test_list_is_given_up_when_its_pages_do_not_advance() -> None:
    world = World(5)
    page = {"rows": [{"path": "live/x", "v": 1, "stamp": 1}], "more": True, "epoch": 1}
    original_handle = world.store.handle
    listed_targets: list[str] = []

    def handle(caller: str, method: str, target: str, body: bytes, respond: Respond) -> None:
        if target.startswith(KEYS_PATH + "?") and world.now < 3 * SECOND:
            listed_targets.append(target)
            respond(200, page if len(listed_targets) % 2 else page | {"rows": []})
        else:
            original_handle(caller, method, target, body, respond)

    world.store.handle = handle  # type: ignore[method-assign]
    for node in world.nodes.values():
        node.start()
    world.run(3)
    assert 3 <= len(listed_targets) < 100
    assert all(
        node.controller is not None and node.controller.watch_cache.is_unavailable for node in world.nodes.values()
    )
    world.run(12)
    assert all(node.controller is not None and node.controller.state.reconciled for node in world.nodes.values())


BROKEN_RECORDS: list[Any] = [
    *UNEXPECTED_VALUES,
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


@pytest.mark.parametrize("key", ["live/job/j-1", "live/rental/r", "live/flavors", "live/settings", "live/nothing"])
def test_broken_records_in_the_key_value_store_end_no_process(key: str) -> None:
    world = busy_world(guessS=60.0)
    for record in BROKEN_RECORDS:
        if record is not None:
            world.store.put(key, record)
            world.run(0.5)
    world.run(3)
    for node in world.nodes.values():
        assert node.controller is not None
        assert node.controller.state.jobs["j-1"].spec.task_count == 6
    assert len(world.invariants.running_tasks()) == 6
    assert world.invariants.violations == []


@pytest.mark.parametrize("record", BROKEN_RECORDS[1:], ids=range(1, len(BROKEN_RECORDS)))
def test_job_is_not_called_unknown_when_its_record_cannot_be_read(record: Any) -> None:
    """Guards against the answer 404 about an accepted job at a controller that started with an unreadable record."""
    world = busy_world(guessS=60.0)
    world.store.put("live/job/j-1", record)
    for name in world.controller_names:
        restart_controller(world, name, 0.1)
    world.run(12)
    readable = [node.controller is not None and "j-1" in node.controller.state.jobs for node in world.nodes.values()]
    expected_status = 200 if all(readable) else 503
    assert {poll[0] for name in world.controller_names if (poll := world.poll_job("j-1", name))} == {expected_status}
    if expected_status == 503:
        assert not world.cancel_job("j-1", "c0")
        assert not world.submit_until_accepted("j-1", "c0", tries=2)
    world.define_job("j-2", pieces=1, cores=1.0, guessS=1.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: world.is_done("j-2"), 60)


@pytest.mark.parametrize("value", [[], [0], [0, 1], ["0", ""], [0, "A"], [-1, ""], [True, ""], None, {}])
def test_progress_is_refused_when_its_record_is_broken(value: Any) -> None:
    with pytest.raises(RecordError):
        Progress.decode(value)


def test_reported_task_is_ignored_when_its_index_is_beyond_the_job() -> None:
    world = busy_world(guessS=60.0)
    controller = next(
        candidate
        for node in world.nodes.values()
        if (candidate := node.controller) is not None
        and candidate.state.scheduler
        and "j-1" in candidate.state.scheduler.jobs
    )
    scheduler: JobScheduler = controller.state.scheduler  # type: ignore[assignment]
    host = world.invariants.running_tasks()[0][0].host
    task_rows = list(controller.machine_index.machines[host].tasks)
    scheduler.apply_status(host, "a", [*task_rows, ("j-1", 99_999, 7, "ended", "done")], world.now)
    assert scheduler.jobs["j-1"].done.count == 0
    assert 99_999 not in scheduler.jobs["j-1"].placed


# The next tests use invalid values in the operators' settings and in the settings file.


@pytest.mark.parametrize("value", [True, "1", None, [], {}, float("nan"), float("inf"), -1, 0, 10**400, -(10**400)])
def test_setting_is_refused_when_its_value_is_out_of_bounds(value: Any) -> None:
    with pytest.raises(SettingsError, match=r"^window|^step"):
        Tuning().with_changes({"step": value})
    assert Tuning.from_value({"step": value, "window": 3.0}).window == 3 * SECOND


def test_settings_file_is_accepted_with_any_teams_zones_objectives_and_unknown_fields(tmp_path: Path) -> None:
    cluster = SETTINGS_FILE["cluster"] | {
        "zones": ["never", "heard", "of"], "teams": [{"name": "new \u00e9", "cpus_max": 5, "colour": "red"}],
        "objectives": [{"kind": "unheard-of", "weight": [1]}, {"kind": "wait"}], "more": {"fields": [None]},
    }  # fmt: skip
    path = tmp_path / "s.json"
    path.write_text(json.dumps(SETTINGS_FILE | {"cluster": cluster}))
    assert load(path).cluster.teams[0].cpus_max == 5.0


def key_paths(value: Any, prefix: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    if prefix:
        yield prefix
    if isinstance(value, dict):
        for key, child in value.items():
            yield from key_paths(child, (*prefix, key))


@hypothesis_settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.sampled_from(list(key_paths(SETTINGS_FILE))),
    st.sampled_from([*UNEXPECTED_VALUES, "a:b\n:1", "h:99999", "h:-1", float("nan"), ...]),
)
def test_settings_error_is_one_short_line_with_the_path_when_a_field_is_invalid(
    tmp_path_factory: pytest.TempPathFactory, key_path: tuple[str, ...], value: Any
) -> None:
    document = copy.deepcopy(SETTINGS_FILE)
    parent = document
    for key in key_path[:-1]:
        parent = parent[key]
    if value is ...:
        del parent[key_path[-1]]
    else:
        parent[key_path[-1]] = value
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_text(json.dumps(document))
    error_text = load_error(path)
    if error_text is not None:
        assert "\n" not in error_text
        assert error_text.startswith(str(path))
        assert len(error_text) < 400


def load_error(path: Path) -> str | None:
    """Return the error with which a settings file is refused; None when it is accepted."""
    try:
        load(path)
    except SettingsError as error:
        return str(error)
    return None


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", DEEP_JSON, b'{"member": "' + b"x" * 10])
def test_settings_error_is_one_line_when_the_file_is_not_a_settings_object(tmp_path: Path, body: bytes) -> None:
    path = tmp_path / "s.json"
    path.write_bytes(body)
    with pytest.raises(SettingsError) as error:
        load(path)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("cluster", "field"),
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
def test_settings_error_names_the_field_when_a_value_is_invalid_or_contradictory(
    tmp_path: Path, cluster: dict[str, Any], field: str
) -> None:
    path = tmp_path / "s.json"
    path.write_text(json.dumps(SETTINGS_FILE | {"cluster": SETTINGS_FILE["cluster"] | cluster}))
    with pytest.raises(SettingsError, match=field) as error:
        load(path)
    assert "\n" not in str(error.value)
