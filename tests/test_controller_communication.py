"""Communication of controllers with each other, with agents and with the key-value store.

Messages and responses arrive late, out of order, repeatedly or never. A copy of a table could then lack changes, a
deleted key, an ended task or a returned machine could be restored, and a failed condition could refuse other changes of
the same batch. In large clusters, calls and bytes could exceed what the services allow.
"""

import json
import random
from datetime import timedelta
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.agents.owned_machine import HeartbeatId
from ramptide.agents.shard import Shard
from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.rate_limits import TokenBucket
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.change_log import ChangeLog, ReceivedSequence
from ramptide.cluster.messages import MESSAGE_VERSION
from ramptide.protocol.agents import Heartbeat, decode_heartbeat
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec, decode_job_spec
from ramptide.protocol.settings_file import KeyValueStoreLimits
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import Phase
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Request
from virtual import SECOND, Response, VirtualRuntime, World, job_spec, leader_of, started_world, submit_job

EVENTS = st.lists(
    st.tuples(st.sampled_from(["set", "drop", "send", "deliver", "late", "answer"]), st.integers(0, 9)), max_size=120
)


class LoggedTable:
    """A table at the sender, with its change log."""

    def __init__(self) -> None:
        self.change_log: ChangeLog[int] = ChangeLog()
        self.rows: dict[int, int] = {}
        self.sequence_number = 0

    def change(self, kind: str, key: int) -> None:
        self.sequence_number += 1
        self.rows.pop(key, None)
        if kind == "set":
            self.rows[key] = self.sequence_number
        self.change_log.record_change(key, self.sequence_number)


def apply_changes(copy: dict[int, int], changes: dict[int, int | None]) -> None:
    for key, value in changes.items():
        copy.pop(key, None)
        if value is not None:
            copy[key] = value


@settings(derandomize=True, max_examples=300, deadline=None)
@given(EVENTS)
def test_receiver_has_the_whole_table_when_it_applies_changes_since_what_it_acknowledged(
    events: list[tuple[str, int]],
) -> None:
    """The receiver's copy equals the sender's table as of the received sequence number.

    Messages are lost, late and repeated.
    """
    table = LoggedTable()
    rows_by_sequence_number: dict[int, dict[int, int]] = {0: {}}
    received, copy = ReceivedSequence(), dict[int, int]()
    acknowledged = 0
    sent: list[tuple[int, int, dict[int, int | None]]] = []
    for kind, number in events:
        if kind in ("set", "drop"):
            table.change(kind, number)
        elif kind == "send":
            table.sequence_number += 1
            sent.append(
                (
                    acknowledged,
                    table.sequence_number,
                    {key: table.rows.get(key) for key in table.change_log.since(acknowledged)},
                )
            )
        elif kind in ("deliver", "late") and sent:
            base, sequence_number, changes = sent[-1] if kind == "deliver" else sent[number % len(sent)]
            if received.accept(base, sequence_number):
                apply_changes(copy, changes)
        elif kind == "answer":
            acknowledged = received.sequence_number
            table.change_log.prune(acknowledged, table.rows)
        rows_by_sequence_number[table.sequence_number] = dict(table.rows)
        assert copy == rows_by_sequence_number[received.sequence_number]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(EVENTS, st.integers(1, 4))
def test_receiver_has_the_whole_table_after_the_last_part_of_a_split_message(
    events: list[tuple[str, int]], limit: int
) -> None:
    """Parts are lost, late and repeated like complete messages, and the table changes between them."""
    table = LoggedTable()
    received, copy = ReceivedSequence(), dict[int, int]()
    acknowledged = 0
    sent: list[tuple[int, int, bool, dict[int, int | None], dict[int, int]]] = []
    for kind, number in [*events, *[("send", 0), ("deliver", 0), ("answer", 0)] * 10]:
        if kind in ("set", "drop"):
            table.change(kind, number)
        elif kind == "send":
            table.sequence_number += 1
            split = table.change_log.split_after(acknowledged, limit)
            changes = {key: table.rows.get(key) for key in table.change_log.since(acknowledged, split)}
            assert len(changes) <= limit, "each change in this test has its own sequence number"
            sent.append((acknowledged, split or table.sequence_number, split is None, changes, dict(table.rows)))
        elif kind in ("deliver", "late") and sent:
            base, sequence_number, is_last, changes, rows = sent[-1] if kind == "deliver" else sent[number % len(sent)]
            if received.accept(base, sequence_number):
                apply_changes(copy, changes)
                assert copy == rows or not is_last
        elif kind == "answer":
            acknowledged = received.sequence_number
            table.change_log.prune(acknowledged, table.rows)
    assert copy == table.rows, "ten exchanges in order bring all missing parts"


def test_message_after_a_gap_is_not_accepted() -> None:
    received = ReceivedSequence()
    assert received.accept(0, 3)
    assert not received.accept(5, 6), "the receiver lacks the changes from 3 to 5"
    assert received.accept(3, 6)
    assert not received.accept(0, 4), "an older message contains nothing new"


class DelayedStore:
    """A client of a key-value store, which responds when the test says so."""

    def __init__(self) -> None:
        self.world = World(1)
        self.runtime = VirtualRuntime(self.world.nodes["c0"])
        self.calls: list[tuple[str, bytes, Any]] = []
        self.runtime.call = self.call  # type: ignore[method-assign]
        self.limits = KeyValueStoreLimits(
            requests_per_second=1000.0, writes_per_second=1000.0, max_value_kb=16.0, max_transaction_operations=12
        )
        self.client = KeyValueStore(self.runtime, "state", self.limits, 1)

    def call(self, request: Request, on_response: Any) -> None:
        self.calls.append((request.target, request.body, on_response))

    def respond(self, index: int, status: int, value: Any) -> None:
        _, _, on_response = self.calls[index]
        on_response(Response(status, json.dumps(value).encode()))


def test_older_watch_response_does_not_restore_a_deleted_key() -> None:
    """The watch was sent before the read and is answered after it; the deletion that the read returned stays."""
    store, values = DelayedStore(), {}

    def on_change(key: str, value: Any, _mod_revision: int) -> None:
        values[key] = value

    cache = WatchCache(store.client, "live/", on_change, lambda: None)
    cache.start()
    store.respond(0, 200, {"rows": [], "more": False, "epoch": 100})
    results: list[bool] = []
    cache.catch_up(results.append)
    store.world.run(0.2)
    assert len(store.calls) == 3, "the calls are the load, the watch and the read"
    put, deletion = {"put": "live/x", "v": 1, "stamp": 105}, {"drop": "live/x", "stamp": 110}
    store.respond(2, 200, {"epoch": 110, "news": [put, deletion]})
    assert results == [True]
    assert values == {"live/x": None}
    store.respond(1, 200, {"epoch": 107, "news": [put]})
    assert values.get("live/x") is None


def test_catch_up_during_a_read_waits_for_the_next_read() -> None:
    store = DelayedStore()
    cache = WatchCache(store.client, "live/", lambda *change: None, lambda: None)
    cache.start()
    store.respond(0, 200, {"rows": [], "more": False, "epoch": 1})
    early_results: list[bool] = []
    late_results: list[bool] = []
    cache.catch_up(early_results.append)
    cache.catch_up(early_results.append)
    store.world.run(0.1)
    cache.catch_up(late_results.append)
    store.respond(2, 200, {"epoch": 1, "news": []})
    assert early_results == [True, True]
    assert late_results == []
    store.world.run(0.1)
    store.respond(3, 503, {})
    assert late_results == [False]


def test_only_the_change_with_a_failed_condition_is_refused() -> None:
    store = DelayedStore()
    batcher = CommitBatcher(store.client, lambda: {"live/view": 7})
    results: dict[str, TransactionResult] = {}
    for name in ("a", "b", "c"):
        transaction = Transaction(conditions={name: 0}, puts=[Put(name, 1)])
        batcher.add(transaction, lambda result, name=name: results.update({name: result}))  # type: ignore[misc]
    store.world.run(0.1)
    assert len(store.calls) == 1
    assert len(json.loads(store.calls[0][1])["then"]) == 3
    store.respond(0, 409, {"failed": ["b"], "epoch": 5})
    assert list(results) == ["b"]
    assert results["b"].conflicting_keys == ("b",)
    store.world.run(0.1)
    store.respond(1, 200, {"epoch": 6})
    assert results["a"].commit_revision == results["c"].commit_revision == 6


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 3), st.integers(0, 9)), max_size=60))
def test_batches_keep_the_limits_of_the_store_and_the_order_of_each_key(changes: list[tuple[str, int, int]]) -> None:
    """Each change is answered exactly once, and no key is changed twice in one batch."""
    store = DelayedStore()
    batcher = CommitBatcher(store.client, lambda: {"live/view": 7})
    done: list[int] = []
    for number, (key, operation_count, wait_hundredths) in enumerate(changes):
        puts = [Put(f"{key}{index}", number) for index in range(operation_count)]
        batcher.add(Transaction(conditions={key: 0}, puts=puts), lambda result, number=number: done.append(number))  # type: ignore[misc]
        store.world.run(wait_hundredths * 0.01)
    answered = 0
    while len(done) < len(changes):
        store.world.run(0.1)
        assert answered < len(store.calls) <= answered + 2
        for _, body, _ in store.calls[answered:]:
            sent = json.loads(body)
            keys = [operation["put"] for operation in sent["then"]]
            assert len(keys) <= 12
            assert len(set(keys)) == len(keys)
            assert len(sent["when"]) <= 48
        answered += 1
        store.respond(answered - 1, 200, {"epoch": 10 + answered})
    assert sorted(done) == list(range(len(changes)))
    for key in "abcdefgh":
        order = [number for number in done if changes[number][0] == key]
        assert order == sorted(order)


def test_rate_grows_until_a_call_is_rejected_and_then_returns_to_its_initial_value() -> None:
    bucket = TokenBucket(10.0, 10.0, 25.0)
    bucket.wait_time(20 * SECOND, 1)
    assert bucket.rate == 25.0
    bucket.drain()
    assert bucket.rate == 10.0
    assert bucket.wait_time(20 * SECOND, 1) > timedelta(0)


class KnownJobs(dict[str, JobSpec]):
    """The specifications of all unfinished jobs; every other job is finished."""

    def find_spec(self, job_id: str) -> JobSpec | None:
        return self.get(job_id)

    def is_finished(self, job_id: str) -> bool:
        return job_id not in self

    def are_records_complete(self) -> bool:
        return True


def new_shard() -> Shard:
    spec = decode_job_spec(json.dumps(job_spec("j-1", cores=1.0, pieces=100)).encode())
    shard = Shard(5, AttemptNumbers(5, ["c0"]), 8 * SECOND, 1 * SECOND, KnownJobs({"j-1": spec}))
    record = MachineRecord("m", "a", False, 1, 0.0, None, True, "r")
    shard.add_machine("vm-1", record, MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a"]), timedelta(0), [])
    return shard


def new_heartbeat(agent_epoch: int, sequence_number: int, fencing_token: int, *tasks: int) -> Heartbeat:
    task_reports = [{"piece": f"j-1/{task}", "try": task, "status": "running"} for task in tasks]
    machine = {"host": "vm-1", "rig": "m", "yard": "a", "loaners": False}
    message = machine | {
        "tenure": agent_epoch,
        "tally": sequence_number,
        "baton": fencing_token,
        "pieces": task_reports,
    }
    return decode_heartbeat(json.dumps(message).encode())


def test_late_copies_of_heartbeats_change_nothing() -> None:
    """The copies are of the same or an earlier agent epoch, from before the view, or arrive after the lease expired."""
    shard, applied = new_shard(), dict[tuple[int, int], Heartbeat]()
    machine = shard.machines["vm-1"]
    assert shard.heartbeats.apply(new_heartbeat(1, 1, 4, 1, 2), 0 * SECOND)
    assert not machine.is_reconciled, "the agent may have created the heartbeat before it saw the token"
    assert not machine.entries
    rng, now = random.Random(4), 0 * SECOND
    for sequence_number in range(2, 40):
        now += 1 * SECOND
        agent_epoch = 1 + sequence_number // 10
        heartbeat = new_heartbeat(agent_epoch, sequence_number, 5, *rng.sample(range(8), 3))
        assert shard.heartbeats.apply(heartbeat, now)
        machine.last_reply_at = now
        phases_before = {key: entry.phase for key, entry in machine.entries.items()}
        heartbeat_at, reply_at = machine.last_heartbeat_at, machine.last_reply_at
        applied[agent_epoch, sequence_number] = heartbeat
        for heartbeat_id in rng.sample(sorted(applied), min(3, len(applied))):
            assert not shard.heartbeats.apply(applied[heartbeat_id], now + 0.3 * SECOND)
        assert phases_before == {key: entry.phase for key, entry in machine.entries.items()}
        assert (machine.last_heartbeat_at, machine.last_reply_at) == (heartbeat_at, reply_at), (
            "late copies do not extend the lease"
        )
    assert machine.is_reconciled
    shard.leases.expire(now + 9.2 * SECOND, 0 * SECOND)
    assert all(entry.phase is Phase.GONE for entry in machine.entries.values())
    assert not shard.heartbeats.apply(new_heartbeat(4, 99, 5, 1, 2, 3), now + 10 * SECOND), (
        "a late heartbeat of the ended agent epoch revives no task"
    )
    assert shard.heartbeats.apply(new_heartbeat(5, 100, 5), now + 11 * SECOND)


def test_late_heartbeat_revives_a_gone_task_without_the_epoch_raised_at_expiry() -> None:
    shard = new_shard()
    machine = shard.machines["vm-1"]
    assert shard.heartbeats.apply(new_heartbeat(1, 1, 5, 1), 0 * SECOND)
    machine.last_reply_at = 0 * SECOND
    shard.leases.expire(10 * SECOND, 0 * SECOND)
    machine.last_heartbeat_id = HeartbeatId(1, 1)
    assert shard.heartbeats.apply(new_heartbeat(1, 2, 5, 1), 11 * SECOND)
    assert any(entry.phase is Phase.RUNNING for entry in machine.entries.values())


def test_late_heartbeat_of_a_returned_machine_does_not_restore_it() -> None:
    shard = new_shard()
    assert shard.heartbeats.apply(new_heartbeat(1, 1, 5), 0 * SECOND)
    shard.remove_machine("vm-1")
    assert shard.heartbeats.apply(new_heartbeat(1, 1, 4), 20 * SECOND)
    assert not shard.unrecorded_machines(), "a heartbeat from before this view records no machine"
    assert shard.heartbeats.apply(new_heartbeat(1, 2, 5), 21 * SECOND)
    assert shard.unrecorded_machines(), "the leader knows which machines it returned and decides"
    world = started_world(5)
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    assert controller.state.shard is not None
    controller.fleet_manager._returns._returned_at["vm-1"] = controller.runtime.now
    controller.state.shard.unrecorded["vm-1"] = new_heartbeat(1, 2, 99)
    world.run(30)
    assert "vm-1" not in controller.state.machines
    controller.state.shard.unrecorded["vm-2"] = new_heartbeat(1, 2, 99)
    controller.state.shard.unrecorded["vm-2"].host = "vm-2"
    assert world.run_until(lambda: "vm-2" in controller.state.machines, 10), (
        "a machine that was not returned is added to the fleet"
    )


def test_malformed_peer_message_is_refused_and_one_after_a_gap_is_not_applied(caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(5)
    controller = world.nodes["c0"].controller
    assert controller is not None
    receive = controller.peer_messages.receive
    assert receive(b"") is None
    assert receive(b"\xff" * 99) is None
    assert receive(cbor2.dumps([1])) is None
    message_fields = {"member": "c1", "inc": "c1-1", "view": 1, "seq": 10**6, "lacks": False}
    assert receive(cbor2.dumps(message_fields)) is None
    assert "c1 sent a message in version 0, expected" in caplog.text
    assert receive(cbor2.dumps(message_fields | {"wire": MESSAGE_VERSION - 1})) is None
    assert f"c1 sent a message in version {MESSAGE_VERSION - 1}, expected" in caplog.text
    encoded_message = cbor2.dumps(
        message_fields
        | {"wire": MESSAGE_VERSION, "base": 10**6, "view": controller.state.view.number if controller.state.view else 0}
    )
    assert receive(encoded_message[: len(encoded_message) // 2]) is None
    reply = receive(encoded_message)
    assert reply is not None
    assert cbor2.loads(reply)["have"] < 10**6, "the reply says which changes the receiver has"
    world.run(2)
    assert all(node.controller is not None and node.controller.state.reconciled for node in world.nodes.values())


def large_world(
    seed: int,
    capacity: int,
    boot_seconds: tuple[float, float],
    service_count: int,
    batch_job_fields: list[dict[str, Any]],
) -> World:
    """Return a world of five controllers in which services, then batch jobs are submitted, fifty per second."""
    world = World(seed, members=5, capacity=capacity)
    world.store_limits |= {"rps": 200.0, "write_rps": 50.0, "value_kb": 4.0}
    world.cloud.boot_seconds = boot_seconds
    for node in world.nodes.values():
        node.start()
    world.run(5)
    for number in range(service_count):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=1.0, rank="high")
    for number, fields in enumerate(batch_job_fields, service_count):
        world.define_job(f"j-{number}", **fields)
    rng = random.Random(seed)
    for number, job_id in enumerate(world.job_specs):
        world.after(number * 0.02 * SECOND, lambda job_id=job_id: submit_job(world, rng, job_id))  # type: ignore[misc]
    return world


def test_calls_and_bytes_stay_within_bounds_with_hundreds_of_machines() -> None:
    """Five controllers run thousands of tasks on up to 300 machines; calls and bytes are counted, not run times."""
    batch_job_fields = [{"pieces": task_count, "cores": 1.0, "guessS": 8.0} for task_count in [100] * 29 + [700]]
    world = large_world(7, 300, (4.0, 12.0), 150, batch_job_fields)
    world.run(20)
    assert len(world.agents) > 150, "the fleet grows in time"
    world.run(25)
    world.request_counts.clear()
    world.sent_bytes.clear()
    world.run(20)
    assert world.invariants.violations == []
    assert world.invariants.start_count > 3000
    assert sum(world.is_done(f"j-{number}") for number in range(150, 180)) == 30
    seconds = 20
    service_calls = sum(count for call, count in world.request_counts.items() if not call.startswith("POST sync"))
    assert service_calls / seconds < 200
    assert world.request_counts["POST rentals"] <= 28
    assert world.request_counts["POST sync"] / seconds < 100
    assert sum(world.sent_bytes[name] for name in world.controller_names) / seconds < 200_000


def test_last_of_five_controllers_takes_over_hundreds_of_machines() -> None:
    """Thousands of tasks run on more than 700 of at most 1000 machines.

    Then four of five controllers end and do not come back.
    """
    world = large_world(11, 1000, (2.0, 6.0), 100, [{"pieces": 150, "cores": 2.0, "guessS": 12.0}] * 22)
    world.run(14)
    up_count = sum(agent.alive for agent in world.agents.values())
    assert up_count > 700, "the fleet grows in time"
    value_lengths = [len(json.dumps(value)) for value, _, _ in world.store.entries.values()]
    assert max(value_lengths) < 4096, "every record is within the size limit of a value"

    killed = [name for name in world.controller_names if name != "c3"]
    for name in killed:
        world.nodes[name].kill()
    survivor = world.nodes["c3"].controller
    assert survivor is not None
    assert world.run_until(lambda: survivor.state.view is not None and list(survivor.state.view.members) == ["c3"], 10)
    assert world.run_until(lambda: survivor.state.reconciled, 12), "the lease is 8 s"
    assert survivor.state.shard is not None
    assert len(survivor.state.shard.machines) > 700
    world.request_counts.clear()
    world.run(6)
    assert sum(world.is_done(f"j-{number}") for number in range(100, 122)) > 0
    assert sum(task.job_id == "j-1" for _, task in world.invariants.running_tasks()) == 1
    service_calls = sum(
        count for call, count in world.request_counts.items() if not call.startswith(("POST sync", "POST rentals"))
    )
    assert service_calls / 6 < 100, "at most half of the key-value store's limit"
    assert world.invariants.violations == []
