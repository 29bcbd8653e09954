"""What passes between controllers and to the state service: changes since a number, groups, crossing reads, copies."""

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
from ramptide.protocol.jobs import decode_job_spec
from ramptide.protocol.settings_file import KeyValueStoreLimits
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import Phase
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Request
from virtual import Response, S, VirtualRuntime, World, job_spec, leader_of, started_world, submit_job

EVENTS = st.lists(
    st.tuples(st.sampled_from(["set", "drop", "send", "deliver", "late", "answer"]), st.integers(0, 9)), max_size=120
)


class SenderTable:
    """A table with its change log, and the plain model of both: the whole table as it is now."""

    def __init__(self) -> None:
        self.ledger: ChangeLog[int] = ChangeLog()
        self.whole: dict[int, int] = {}
        self.seq = 0

    def change(self, kind: str, key: int) -> None:
        self.seq += 1
        self.whole.pop(key, None)
        if kind == "set":
            self.whole[key] = self.seq
        self.ledger.record_change(key, self.seq)


def take_changes(copy: dict[int, int], changes: dict[int, int | None]) -> None:
    for key, value in changes.items():
        copy.pop(key, None)
        if value is not None:
            copy[key] = value


@settings(derandomize=True, max_examples=300, deadline=None)
@given(EVENTS)
def test_changes_since_an_acknowledged_number_build_the_whole_table(events: list[tuple[str, int]]) -> None:
    """The plain model is a copy of the sender's whole table at each number; messages get lost, late and repeated."""
    table = SenderTable()
    whole: dict[int, dict[int, int]] = {0: {}}
    inbox, copy = ReceivedSequence(), dict[int, int]()
    taken = 0
    sent: list[tuple[int, int, dict[int, int | None]]] = []
    for kind, number in events:
        if kind in ("set", "drop"):
            table.change(kind, number)
        elif kind == "send":
            table.seq += 1
            sent.append((taken, table.seq, {key: table.whole.get(key) for key in table.ledger.since(taken)}))
        elif kind in ("deliver", "late") and sent:
            base, upto, changes = sent[-1] if kind == "deliver" else sent[number % len(sent)]
            if inbox.accept(base, upto):
                take_changes(copy, changes)
        elif kind == "answer":
            taken = inbox.sequence_number
            table.ledger.prune(taken, table.whole)
        whole[table.seq] = dict(table.whole)
        assert copy == whole[inbox.sequence_number]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(EVENTS, st.integers(1, 4))
def test_a_table_told_in_parts_is_whole_after_the_last_part(events: list[tuple[str, int]], limit: int) -> None:
    """Parts get lost, late and repeated like whole messages, and the table changes in between."""
    table = SenderTable()
    inbox, copy = ReceivedSequence(), dict[int, int]()
    taken = 0
    sent: list[tuple[int, int, bool, dict[int, int | None], dict[int, int]]] = []
    for kind, number in [*events, *[("send", 0), ("deliver", 0), ("answer", 0)] * 10]:
        if kind in ("set", "drop"):
            table.change(kind, number)
        elif kind == "send":
            table.seq += 1
            split = table.ledger.split_after(taken, limit)
            changes = {key: table.whole.get(key) for key in table.ledger.since(taken, split)}
            assert len(changes) <= limit, "each change here has a number of its own"
            sent.append((taken, split or table.seq, split is None, changes, dict(table.whole)))
        elif kind in ("deliver", "late") and sent:
            base, upto, last, changes, whole = sent[-1] if kind == "deliver" else sent[number % len(sent)]
            if inbox.accept(base, upto):
                take_changes(copy, changes)
                assert copy == whole or not last
        elif kind == "answer":
            taken = inbox.sequence_number
            table.ledger.prune(taken, table.whole)
    assert copy == table.whole, "no part holds up the next"


def test_a_message_after_a_gap_is_not_taken() -> None:
    inbox = ReceivedSequence()
    assert inbox.accept(0, 3)
    assert not inbox.accept(5, 6), "what changed from 3 to 5 is missing here"
    assert inbox.accept(3, 6)
    assert not inbox.accept(0, 4), "an older one says nothing new"


class DelayedStore:
    """A key-value store whose answers come when the test says."""

    def __init__(self) -> None:
        self.world = World(1)
        self.context = VirtualRuntime(self.world.nodes["c0"])
        self.calls: list[tuple[str, bytes, Any]] = []
        self.context.call = self.call  # type: ignore[method-assign]
        self.limits = KeyValueStoreLimits(
            requests_per_second=1000.0, writes_per_second=1000.0, max_value_kb=16.0, max_transaction_operations=12
        )
        self.store = KeyValueStore(self.context, "state", self.limits, 1)

    def call(self, request: Request, done: Any) -> None:
        self.calls.append((request.target, request.body, done))

    def answer(self, index: int, status: int, value: Any) -> None:
        _, _, done = self.calls[index]
        done(Response(status, json.dumps(value).encode()))


def test_an_answer_that_crosses_a_newer_one_brings_nothing_back() -> None:
    """A watch that was opened first answers last: the drop that a later read has shown stays."""
    state, seen = DelayedStore(), {}

    def on_change(key: str, value: Any, _mod_revision: int) -> None:
        seen[key] = value

    cache = WatchCache(state.store, "live/", on_change, lambda: None)
    cache.start()
    state.answer(0, 200, {"rows": [], "more": False, "epoch": 100})
    asked: list[bool] = []
    cache.catch_up(asked.append)
    state.world.run(0.2)
    assert len(state.calls) == 3, "the load, the watch and the read"
    put, drop = {"put": "live/x", "v": 1, "stamp": 105}, {"drop": "live/x", "stamp": 110}
    state.answer(2, 200, {"epoch": 110, "news": [put, drop]})
    assert asked == [True]
    assert seen == {"live/x": None}
    state.answer(1, 200, {"epoch": 107, "news": [put]})
    assert seen.get("live/x") is None


def test_polls_that_come_while_a_read_is_under_way_wait_for_the_next() -> None:
    state = DelayedStore()
    cache = WatchCache(state.store, "live/", lambda *change: None, lambda: None)
    cache.start()
    state.answer(0, 200, {"rows": [], "more": False, "epoch": 1})
    early: list[bool] = []
    late: list[bool] = []
    cache.catch_up(early.append)
    cache.catch_up(early.append)
    state.world.run(0.1)
    cache.catch_up(late.append)
    state.answer(2, 200, {"epoch": 1, "news": []})
    assert early == [True, True]
    assert late == []
    state.world.run(0.1)
    state.answer(3, 503, {})
    assert late == [False]


def test_only_the_change_at_fault_is_refused() -> None:
    state = DelayedStore()
    commits = CommitBatcher(state.store, lambda: {"live/view": 7})
    outcomes: dict[str, TransactionResult] = {}
    for name in ("a", "b", "c"):
        transaction = Transaction(conditions={name: 0}, puts=[Put(name, 1)])
        commits.add(transaction, lambda outcome, name=name: outcomes.update({name: outcome}))  # type: ignore[misc]
    state.world.run(0.1)
    assert len(state.calls) == 1
    assert len(json.loads(state.calls[0][1])["then"]) == 3
    state.answer(0, 409, {"failed": ["b"], "epoch": 5})
    assert list(outcomes) == ["b"]
    assert outcomes["b"].conflicting_keys == ("b",)
    state.world.run(0.1)
    state.answer(1, 200, {"epoch": 6})
    assert outcomes["a"].commit_revision == outcomes["c"].commit_revision == 6


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 3), st.integers(0, 9)), max_size=60))
def test_groups_keep_the_limits_and_the_order_of_a_key(changes: list[tuple[str, int, int]]) -> None:
    """Against a plain list of what was asked: each change goes out once, one key never twice in a group."""
    state = DelayedStore()
    commits = CommitBatcher(state.store, lambda: {"live/view": 7})
    done: list[int] = []
    for number, (key, ops, wait) in enumerate(changes):
        puts = [Put(f"{key}{n}", number) for n in range(ops)]
        commits.add(Transaction(conditions={key: 0}, puts=puts), lambda outcome, number=number: done.append(number))  # type: ignore[misc]
        state.world.run(wait * 0.01)
    answered = 0
    while len(done) < len(changes):
        state.world.run(0.1)
        assert answered < len(state.calls) <= answered + 2
        for _, body, _ in state.calls[answered:]:
            sent = json.loads(body)
            paths = [one["put"] for one in sent["then"]]
            assert len(paths) <= 12
            assert len(set(paths)) == len(paths)
            assert len(sent["when"]) <= 48
        answered += 1
        state.answer(answered - 1, 200, {"epoch": 10 + answered})
    assert sorted(done) == list(range(len(changes)))
    for key in "abcdefgh":
        order = [number for number in done if changes[number][0] == key]
        assert order == sorted(order)


def test_a_share_rises_while_nothing_is_refused_and_falls_back_at_once() -> None:
    bucket = TokenBucket(10.0, 10.0, 25.0)
    bucket.wait_time(20 * S, 1)
    assert bucket.rate == 25.0
    bucket.drain()
    assert bucket.rate == 10.0
    assert bucket.wait_time(20 * S, 1) > timedelta(0)


def a_part() -> Shard:
    run = decode_job_spec(json.dumps(job_spec("j-1", cores=1.0, pieces=100)).encode())
    part = Shard(5, 8 * S, 1 * S, lambda job_id: run if job_id == "j-1" else None)
    record = MachineRecord("m", "a", False, 1, 0.0, None, True, "r")
    part.add_machine("vm-1", record, MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a"]), timedelta(0), [])
    return part


def new_heartbeat(tenure: int, tally: int, baton: int, *tasks: int) -> Heartbeat:
    pieces = [{"piece": f"j-1/{task}", "try": task, "status": "running"} for task in tasks]
    machine = {"host": "vm-1", "rig": "m", "yard": "a", "loaners": False}
    message = machine | {"tenure": tenure, "tally": tally, "baton": baton, "pieces": pieces}
    return decode_heartbeat(json.dumps(message).encode())


def test_late_copies_of_heartbeats_change_nothing() -> None:
    """Within a tenure, over tenures, from before the view, and after the lease has certainly run out."""
    part, plain = a_part(), dict[tuple[int, int], Heartbeat]()
    machine = part.machines["vm-1"]
    assert part.heartbeats.apply(new_heartbeat(1, 1, 4, 1, 2), 0 * S)
    assert not machine.is_reconciled, "it may be from before the token was seen"
    assert not machine.entries
    rng, now = random.Random(4), 0 * S
    for tally in range(2, 40):
        now += 1 * S
        tenure = 1 + tally // 10
        report = new_heartbeat(tenure, tally, 5, *rng.sample(range(8), 3))
        assert part.heartbeats.apply(report, now)
        machine.last_reply_at = now
        shown = {key: entry.phase for key, entry in machine.entries.items()}
        heard, answered = machine.last_heartbeat_at, machine.last_reply_at
        plain[tenure, tally] = report
        for copy in rng.sample(sorted(plain), min(3, len(plain))):
            assert not part.heartbeats.apply(plain[copy], now + 0.3 * S)
        assert shown == {key: entry.phase for key, entry in machine.entries.items()}
        assert (machine.last_heartbeat_at, machine.last_reply_at) == (heard, answered), (
            "they extend no lease in our reckoning"
        )
    assert machine.is_reconciled
    part.leases.expire(now + 9.2 * S, 0 * S)
    assert all(entry.phase is Phase.GONE for entry in machine.entries.values())
    assert not part.heartbeats.apply(new_heartbeat(4, 99, 5, 1, 2, 3), now + 10 * S), (
        "a late one of the tenure that ended revives nothing"
    )
    assert part.heartbeats.apply(new_heartbeat(5, 100, 5), now + 11 * S)


def test_without_the_later_epoch_a_late_heartbeat_revives_what_is_gone() -> None:
    part = a_part()
    machine = part.machines["vm-1"]
    assert part.heartbeats.apply(new_heartbeat(1, 1, 5, 1), 0 * S)
    machine.last_reply_at = 0 * S
    part.leases.expire(10 * S, 0 * S)
    machine.last_heartbeat_id = HeartbeatId(1, 1)
    assert part.heartbeats.apply(new_heartbeat(1, 2, 5, 1), 11 * S)
    assert any(entry.phase is Phase.RUNNING for entry in machine.entries.values())


def test_a_late_heartbeat_of_a_returned_machine_brings_nothing_back() -> None:
    part = a_part()
    assert part.heartbeats.apply(new_heartbeat(1, 1, 5), 0 * S)
    part.remove_machine("vm-1")
    assert part.heartbeats.apply(new_heartbeat(1, 1, 4), 20 * S)
    assert not part.unrecorded_machines(), "from before this view"
    assert part.heartbeats.apply(new_heartbeat(1, 2, 5), 21 * S)
    assert part.unrecorded_machines(), "the leader knows what it returned"
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
    assert world.run_until(lambda: "vm-2" in controller.state.machines, 10), "one that nobody returned is taken over"


def test_what_is_no_message_of_ours_is_refused_and_asked_for_again(caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(5)
    controller = world.nodes["c0"].controller
    assert controller is not None
    take = controller.peer_messages.receive
    assert take(b"") is None
    assert take(b"\xff" * 99) is None
    assert take(cbor2.dumps([1])) is None
    old = {"member": "c1", "inc": "c1-1", "view": 1, "seq": 10**6, "lacks": False}
    assert take(cbor2.dumps(old)) is None
    assert "c1 sent a message in version 0, expected" in caplog.text
    assert take(cbor2.dumps(old | {"wire": MESSAGE_VERSION - 1})) is None
    assert f"c1 sent a message in version {MESSAGE_VERSION - 1}, expected" in caplog.text
    whole = cbor2.dumps(
        old
        | {"wire": MESSAGE_VERSION, "base": 10**6, "view": controller.state.view.number if controller.state.view else 0}
    )
    assert take(whole[: len(whole) // 2]) is None
    answer = take(whole)
    assert answer is not None
    assert cbor2.loads(answer)["have"] < 10**6, "it says from where it needs the changes"
    world.run(2)
    assert all(node.controller is not None and node.controller.state.reconciled for node in world.nodes.values())


def large_world(
    seed: int, capacity: int, boots: tuple[float, float], services: int, arrays: list[dict[str, Any]]
) -> World:
    """Five controllers and many machines; services and then arrays are submitted, fifty a second."""
    world = World(seed, members=5, capacity=capacity)
    world.store_limits |= {"rps": 200.0, "write_rps": 50.0, "value_kb": 4.0}
    world.cloud.boot_seconds = boots
    for node in world.nodes.values():
        node.start()
    world.run(5)
    for number in range(services):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=1.0, rank="high")
    for number, fields in enumerate(arrays, services):
        world.define_job(f"j-{number}", **fields)
    rng = random.Random(seed)
    for number, job_id in enumerate(world.job_specs):
        world.after(number * 0.02 * S, lambda job_id=job_id: submit_job(world, rng, job_id))  # type: ignore[misc]
    return world


def test_work_at_a_grown_size() -> None:
    """Several hundred machines, five controllers, some thousand tasks: calls and bytes are counted, not time."""
    arrays = [{"pieces": pieces, "cores": 1.0, "guessS": 8.0} for pieces in [100] * 29 + [700]]
    world = large_world(7, 300, (4.0, 12.0), 150, arrays)
    world.run(20)
    assert len(world.agents) > 150, "the fleet grows in time"
    world.run(25)
    world.call_counts.clear()
    world.sent_bytes.clear()
    world.run(20)
    assert world.invariants.violations == []
    assert world.invariants.start_count > 3000
    assert sum(world.is_done(f"j-{number}") for number in range(150, 180)) == 30
    seconds = 20
    state = sum(count for call, count in world.call_counts.items() if not call.startswith("POST sync"))
    assert state / seconds < 200
    assert world.call_counts["POST rentals"] <= 28
    assert world.call_counts["POST sync"] / seconds < 100
    assert sum(world.sent_bytes[name] for name in world.controller_names) / seconds < 200_000


def test_a_thousand_machines_and_one_survivor_of_five() -> None:
    """Nine hundred machines for some thousand tasks; then four of five controllers are gone for good."""
    world = large_world(11, 1000, (2.0, 6.0), 100, [{"pieces": 150, "cores": 2.0, "guessS": 12.0}] * 22)
    world.run(14)
    up = sum(agent.alive for agent in world.agents.values())
    assert up > 700, "the fleet grows in time"
    values = [len(json.dumps(value)) for value, _, _ in world.store.entries.values()]
    assert max(values) < 4096, "every record fits a value"

    gone = [name for name in world.controller_names if name != "c3"]
    for name in gone:
        world.nodes[name].kill()
    survivor = world.nodes["c3"].controller
    assert survivor is not None
    assert world.run_until(lambda: survivor.state.view is not None and list(survivor.state.view.members) == ["c3"], 10)
    assert world.run_until(lambda: survivor.state.reconciled, 12), "the lease is 8 s"
    assert survivor.state.shard is not None
    assert len(survivor.state.shard.machines) > 700
    world.call_counts.clear()
    world.run(6)
    assert sum(world.is_done(f"j-{number}") for number in range(100, 122)) > 0
    assert sum(task.job_id == "j-1" for _, task in world.invariants.running_tasks()) == 1
    state = sum(
        count for call, count in world.call_counts.items() if not call.startswith(("POST sync", "POST rentals"))
    )
    assert state / 6 < 100, "half of the state service's limit at most"
    assert world.invariants.violations == []
