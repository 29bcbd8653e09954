"""Team limits across whole controllers on the virtual clock: racing starts and transfers, and what may go wrong."""

import json
import os
import random
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import cbor2
import msgspec
import pytest

from ramptide.config.features import Features, QuotaFeature
from ramptide.controller.administration import build_admin_api
from ramptide.controller.controller import Controller
from ramptide.quota.ledger import AccountBook, Ledger
from ramptide.quota.messages import TransferRow
from ramptide.quota.share_exchange import QuotaExchange
from ramptide.quota.share_waits import ShareWaits
from ramptide.state.amounts import UNITS_PER_WHOLE, Amounts, add_amounts
from virtual import Agent, S, Task, World, leader_of, running_attempts, started_world

ON = Features(QuotaFeature(True))
LIMIT = 12.0
TEAMS = {"tight": LIMIT, "other": 10.0, "third": 9.0, "fourth": 7.0}
#: Of these many transfers come about.
SEEDS = [1, 3, 6]


def flood(seed: int, jobs: int = 60, seconds: float = 30.0, teams: dict[str, float] | None = None) -> World:
    """Teams ask for more than their limits at all controllers at once; there is room enough for all."""
    world = started_world(seed, teams=teams or TEAMS, capacity=12, parts=ON)
    rng = random.Random(seed)
    limited = list(world.teams)
    for number in range(jobs):
        cores = rng.choice([1.0, 2.0, 3.0, 0.7])
        pieces = rng.randint(1, 6)
        world.define_job(
            f"j-{number}", owner=rng.choice(limited), pieces=pieces, cores=cores, guessS=rng.choice([1.0, 3.0])
        )
        world.after(rng.uniform(0, seconds) * S, lambda job_id=f"j-{number}": send(world, rng, job_id))  # type: ignore[misc]
    return world


def send(world: World, rng: random.Random, job_id: str) -> None:
    """Asks one controller after another until one accepts."""
    if job_id in world.accepted_jobs:
        return
    body = json.dumps(world.job_specs[job_id]).encode()

    def answered(status: int, *_: Any) -> None:
        if status in (200, 201):
            world.accepted_jobs.add(job_id)

    world.request(rng.choice(world.controller_names), lambda controller: controller.job_api.submit(body, answered))
    world.after(2 * S, lambda: send(world, rng, job_id))


def finish(world: World, seconds: float = 90.0) -> None:
    """All jobs are done in the end, and no rule was broken at any moment."""

    def over(job_id: str) -> bool:
        return world.is_done(job_id) or job_id in world.cancel_requested

    assert world.run_until(lambda: all(map(over, world.job_specs)), seconds), [
        job_id for job_id in world.job_specs if not over(job_id)
    ]
    assert world.invariants.violations == []


def counted(world: World, what: str) -> int:
    return sum(
        node.controller.quota.counters[what]
        for node in world.nodes.values()
        if node.controller is not None and node.controller.quota is not None
    )


# Troubles while share is passed on. Each is brought about in the moment in which a member gives some.

Trouble = Callable[[World, str], None]


def frozen(seconds: float) -> Trouble:
    return lambda world, name: world.nodes[name].freeze(seconds)


def paused_between(seconds: float) -> Trouble:
    """The share is deducted, and nothing leaves the giver until it goes on."""

    def begin(world: World, name: str) -> None:
        world.isolate(name)
        world.nodes[name].freeze(seconds)
        world.after(seconds * S, world.heal)

    return begin


def restarted(world: World, name: str) -> None:
    """It ends before anything has left it, and is back under the same name."""
    world.isolate(name)
    world.nodes[name].kill()
    world.after(0.3 * S, world.heal)
    world.after(0.3 * S, world.nodes[name].start)


def receiver_restarted(world: World, name: str) -> None:
    other = next(one for one in world.controller_names if one != name)
    world.nodes[other].kill()
    world.after(0.3 * S, world.nodes[other].start)


def leader_ends(world: World, _name: str) -> None:
    """The leader changes in the middle of a split."""
    old = leader_of(world)
    world.nodes[old].kill()
    world.after(4 * S, world.nodes[old].start)


def cut_from_peers(world: World, name: str) -> None:
    for other in world.controller_names:
        if other != name:
            world.cut_link(name, other)
    world.after(10 * S, world.heal)


def cut_from_state(world: World, name: str) -> None:
    world.store.refused_callers.add(name)
    world.after(10 * S, lambda: world.store.refused_callers.discard(name))


def messages_lost_and_doubled(world: World, _name: str) -> None:
    world.loss_rate, world.duplication_rate = 0.2, 0.2
    world.after(15 * S, lambda: setattr(world, "loss_rate", 0.0))


def state_service_down(world: World, name: str) -> None:
    """For longer than `cancel_s`, and jobs of teams at their limits are called off in the moment before."""

    def cancel(job_id: str) -> None:
        def on_response(status: int, _body: bytes, _headers: object) -> None:
            if status == 200:
                world.cancelled_at.setdefault(job_id, world.now)

        world.request(name, lambda controller: controller.job_api.cancel(job_id, on_response))

    running = sorted({task.job_id for _, task in world.invariants.running_tasks()})[:3]
    for job_id in running:
        world.cancel_requested.add(job_id)
        cancel(job_id)
    world.after(0.3 * S, lambda: world.store.start_outage(world.cancel_s + 5))


def machine_hangs(world: World, _name: str) -> None:
    for agent in list(world.agents.values())[:2]:
        agent.hang(12.0)


TROUBLES: dict[str, Trouble] = {
    "frozen for a moment": frozen(1.0),
    "frozen past its lease": frozen(6.0),
    "frozen past its workers' leases": frozen(14.0),
    "paused between deduction and sending": paused_between(1.5),
    "paused between, past a new view": paused_between(8.0),
    "restarted": restarted,
    "receiver restarted": receiver_restarted,
    "leader ends": leader_ends,
    "cut from its peers": cut_from_peers,
    "cut from the state service": cut_from_state,
    "messages lost and doubled": messages_lost_and_doubled,
    "state service down": state_service_down,
    "machines hang": machine_hangs,
}


def begin_at_transfer(world: World, monkeypatch: pytest.MonkeyPatch, trouble: Trouble, number: int) -> list[str]:
    """The trouble begins with the transfer of this number; returned is the giver's name once it has."""
    give, begun, count = Ledger.issue_transfer, [], [0]

    def giving(self: Ledger, *rest: Any) -> Any:
        transfer = give(self, *rest)
        count[0] += 1
        if count[0] == number:
            name = next(
                name
                for name, node in world.nodes.items()
                if node.controller is not None and node.controller.quota is not None
                and node.controller.quota._ledger is self
            )  # fmt: skip
            begun.append(name)
            trouble(world, name)
        return transfer

    monkeypatch.setattr(Ledger, "issue_transfer", giving)
    return begun


@pytest.mark.parametrize("seed", SEEDS[:2])
@pytest.mark.parametrize("trouble", list(TROUBLES))
def test_no_limit_is_passed_whatever_meets_a_transfer(trouble: str, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    world = flood(seed)
    begun = begin_at_transfer(world, monkeypatch, TROUBLES[trouble], 2 + seed)
    world.run(60)
    assert begun, "no share was passed on"
    finish(world)


def test_a_team_that_floods_all_controllers_gets_its_limit_and_no_more() -> None:
    world = flood(4, jobs=30, teams={"tight": LIMIT})
    finish(world, 180)
    world.run(3)
    assert counted(world, "given") > 5
    assert counted(world, "refused") == 0
    quotas = [node.controller.quota for node in world.nodes.values() if node.controller is not None]
    assert any(quota is not None and quota.waits.count for quota in quotas)
    # What was passed on is all accounted for: together the members hold the limit again.
    held = Amounts(0, 0)
    for node in world.nodes.values():
        assert node.controller is not None
        share = node.controller.state.quota_shares["tight"]
        held = Amounts(held.cpus + share.cpus, held.gpus)
    assert held.cpus == LIMIT * UNITS_PER_WHOLE


# What happens without the guards.


def broken_without_a_guard() -> bool:
    for seed in SEEDS:
        world = flood(seed)
        world.run(60)
        if any("quota" in rule for rule in world.invariants.violations):
            return True
    return False


def test_without_deducting_first_a_limit_is_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    give = Ledger.issue_transfer

    def careless(self: Ledger, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Any:
        transfer = give(self, receiver, team, amounts, spare)
        add_amounts(self._balance, team, amounts)
        return transfer

    monkeypatch.setattr(Ledger, "issue_transfer", careless)
    assert broken_without_a_guard()


def test_without_numbers_a_repeated_transfer_counts_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgetful(self: Ledger, giver: str, rows: list[TransferRow]) -> list[TransferRow]:
        for row in rows:
            add_amounts(self._balance, row.team, row.amounts)
            self._accounts[giver].last_received = row.number
        return list(rows)

    monkeypatch.setattr(Ledger, "receive_transfers", forgetful)
    assert broken_without_a_guard()


def test_without_the_leaders_account_book_a_limit_is_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AccountBook, "apply_account", lambda self, member, rows: None)
    assert broken_without_a_guard()


# A task that is larger than any single share.


def test_share_comes_together_for_a_task_that_is_larger_than_any_share() -> None:
    world = started_world(3, teams={"tight": LIMIT}, capacity=12, parts=ON)
    for number, name in enumerate(world.controller_names):
        world.define_job(f"j-{number}", owner="tight", pieces=4, cores=1.0, guessS=4.0 + number)
        assert world.submit_until_accepted(f"j-{number}", name)
    world.define_job("j-9", owner="tight", pieces=1, cores=7.0, guessS=1.0)
    assert world.submit_until_accepted("j-9", "c1")
    finish(world, 40)


# Messages that can't be.


def sync_of(world: World, name: str) -> Any:
    """A message of another member to this one, as it was last taken."""
    controller = world.nodes[name].controller
    assert controller is not None
    return next(peer.last_message for peer in controller.peers.by_name.values() if peer.last_message is not None)


@pytest.mark.parametrize(
    "change",
    [
        {"view": 99},
        {"incarnation": "another"},
        {"sender": "c9"},
        {"receiver": "c9"},
        {"version": 7},
        {"transfers": [[1, "nobody", UNITS_PER_WHOLE, 0]]},
        {"transfers": [[1, "tight", -UNITS_PER_WHOLE, 0]]},
        {"transfers": [[1, "tight", 10**15, 0]]},
        {"transfers": [[5, "tight", UNITS_PER_WHOLE, 0]]},
        {"transfers": [[1, "tight", UNITS_PER_WHOLE, 0], [2, "tight", 0, 0]]},
        {"transfers": "all"},
        {"confirmed": 12},
    ],
    ids=str,
)
def test_transfers_that_cannot_be_change_nothing(change: dict[str, Any], caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(1, teams=TEAMS, parts=ON)
    world.run(3)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.quota is not None
    assert controller.state.scheduler is not None
    sync = sync_of(world, "c0")
    good = late_message(world, {})
    before = dict(controller.state.quota_shares)
    caplog.clear()
    controller.quota.apply_message(msgspec.structs.replace(sync, quota=good | change), controller.state.scheduler)
    assert controller.state.quota_shares == before
    assert controller.quota.counters["refused"] == 1
    assert len([one for one in caplog.records if "refused" in one.message]) == 1
    row = [1, "tight", UNITS_PER_WHOLE, 0]
    controller.quota.apply_message(
        msgspec.structs.replace(sync, quota=good | {"transfers": [row]}), controller.state.scheduler
    )
    assert controller.state.quota_shares["tight"].cpus == before["tight"].cpus + UNITS_PER_WHOLE


def test_without_the_check_of_the_view_a_late_transfer_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    late = {"view": 99, "transfers": [[1, "tight", UNITS_PER_WHOLE, 0]]}
    for guarded, gained in ((True, 0), (False, UNITS_PER_WHOLE)):
        if not guarded:
            monkeypatch.setattr(QuotaExchange, "_check_sender", lambda self, quota_message, message: None)
        world = started_world(1, teams=TEAMS, parts=ON)
        world.run(3)
        controller = world.nodes["c0"].controller
        assert controller is not None
        assert controller.quota is not None
        assert controller.state.scheduler is not None
        before = controller.state.quota_shares["tight"].cpus
        controller.quota.apply_message(
            msgspec.structs.replace(sync_of(world, "c0"), quota=late_message(world, late)), controller.state.scheduler
        )
        assert controller.state.quota_shares["tight"].cpus - before == gained


def late_message(world: World, change: dict[str, Any]) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.to_builtins(sync_of(world, "c0").quota)
    return value | change


# Beside controllers on which the part is off, or that are of an older build.


def test_off_and_on_side_by_side_pass_no_limit_and_give_nothing() -> None:
    world = started_world(4, teams=TEAMS, parts=ON)
    world.parts = None
    world.nodes["c1"].kill()
    world.nodes["c1"].start()
    rng = random.Random(4)
    for number in range(30):
        world.define_job(f"j-{number}", owner="tight", pieces=3, cores=2.0, guessS=1.0)
        world.after(rng.uniform(0, 10) * S, lambda job_id=f"j-{number}": send(world, rng, job_id))  # type: ignore[misc]
    world.run(20)
    assert counted(world, "given") == 0
    # One after the other is switched on, while the work goes on.
    world.parts = ON
    for name in world.controller_names:
        world.nodes[name].kill()
        world.run(0.3)
        world.nodes[name].start()
        world.run(5)
    finish(world)


def test_messages_of_an_older_build_are_taken_and_those_to_it_hold_what_it_knows() -> None:
    world = started_world(1, teams=TEAMS, parts=ON)
    world.run(3)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.quota is not None
    assert controller.state.scheduler is not None
    sync = sync_of(world, "c0")
    controller.quota.apply_message(msgspec.structs.replace(sync, quota=None), controller.state.scheduler)
    assert controller.quota.counters["refused"] == 0
    body = cbor2.loads(cbor2.dumps(msgspec.to_builtins(sync)))
    assert {"member", "view", "seq", "wire"} <= body.keys()
    assert body["wire"] == 5


def test_off_the_feature_is_not_imported_and_nothing_of_it_is_sent() -> None:
    program = (
        "import sys, ramptide.service, ramptide.api.metrics, ramptide.api.administration;"
        "print([name for name in sys.modules if 'quota' in name or 'hdrh' in name or 'highspy' in name])"
    )
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    run = subprocess.run([sys.executable, "-c", program], env=environment, capture_output=True, text=True, check=True)
    assert run.stdout == "[]\n"
    world = started_world(1, teams=TEAMS)
    assert all(node.controller is not None and node.controller.quota is None for node in world.nodes.values())
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert all(message.quota is None for message in controller.peers.last_messages())


# Guarantees.


@pytest.mark.parametrize("first", [1, 0])
def test_a_team_below_its_guarantee_goes_before_one_above_its_own(first: int) -> None:
    """Both wait for room, the borrowed work for longer and with a deadline; the setting decides."""
    world = World(6, teams={"rich": 40.0, "poor": 40.0}, capacity=3, parts=ON)
    world.guarantees = {"rich": 2.0, "poor": 12.0}
    for node in world.nodes.values():
        node.start()
    world.run(6)
    world.define_job("j-1", owner="rich", pieces=60, cores=2.0, guessS=2.0, dueS=200.0)
    assert world.submit_until_accepted("j-1", "c0")
    world.run(15)
    for node in world.nodes.values():
        assert node.controller is not None
        # Without preemption, so that the order alone decides.
        node.controller.state.tuning = node.controller.state.tuning.with_changes(
            {"guarantees_first": first, "preempt_after": 600}
        )
    world.define_job("j-2", owner="poor", pieces=6, cores=2.0, guessS=2.0)
    assert world.submit_until_accepted("j-2", "c1")
    world.run_until(lambda: world.is_done("j-2") or world.is_done("j-1"), 60)
    assert world.is_done("j-1") is not bool(first)
    assert world.invariants.violations == []


@pytest.mark.parametrize("leader_ends_too", [False, True])
def test_borrowed_room_is_called_back_once(leader_ends_too: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Four tasks within a guarantee need the room of four borrowed ones, also when another leader takes over."""
    world = World(6, teams={"rich": 40.0, "poor": 40.0}, capacity=3, parts=ON)
    world.guarantees = {"rich": 2.0, "poor": 8.0}
    for node in world.nodes.values():
        node.start()
    world.run(6)
    world.define_job("j-1", owner="rich", pieces=12, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 12, 30)
    stopped: list[str] = []
    end = Agent._end

    def ending(task: Task, cause: str) -> None:
        if cause == "halted":
            stopped.append(task.job_id)
        end(task, cause)

    monkeypatch.setattr(Agent, "_end", staticmethod(ending))
    world.define_job("j-2", owner="poor", pieces=4, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-2", "c1")
    if leader_ends_too:
        assert world.run_until(lambda: bool(stopped), 20)
        leader_ends(world, "c0")
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 4, 40)
    world.run(10)
    assert stopped == ["j-1"] * 4
    assert world.invariants.violations == []


# What operators see.


def body_of(controller: Controller, path: str) -> bytes:
    bodies: list[bytes] = []
    build_admin_api(controller).handle("GET", path, b"", lambda status, body, kind: bodies.append(body))
    return bodies[0]


def test_shares_transfers_and_waits_are_in_status_and_metrics() -> None:
    world = flood(3)
    world.run(20)
    name = leader_of(world)
    controller = world.nodes[name].controller
    assert controller is not None
    assert controller.quota is not None
    told = json.loads(body_of(controller, "/admin/status"))["quota"]
    assert told["members_without"] == []
    assert told["transfers"]["given"] == controller.quota.counters["given"]
    share = told["teams"]["tight"]["cores"]
    assert share["held"] * UNITS_PER_WHOLE == controller.state.quota_shares["tight"].cpus
    assert share["borrowed"] > 0
    assert set(share) == {"held", "used", "borrowed", "in_transfer"}
    assert told["teams"]["tight"]["pending"] is False
    metrics = body_of(controller, "/metrics").decode()
    for text in (
        'ramptide_quota_held{resource="cores",team="tight"}',
        'ramptide_quota_in_transfer{resource="cores",team="tight"} 0.0',
        'ramptide_quota_transfers_total{outcome="refused"} 0.0',
        "ramptide_quota_share_wait_seconds_total",
    ):
        assert text in metrics


def test_waits_for_share_are_measured_from_begin_to_end() -> None:
    waits = ShareWaits()
    waits.update({"j-1", "j-2"}, 1 * S)
    waits.update({"j-2"}, 1.5 * S)
    assert waits.count == 1
    assert waits.percentiles()[50.0] == pytest.approx(0.5, rel=0.02)
    waits.update(set(), 4 * S)
    assert waits.count == 2
    assert waits.total == 3.5 * S
    assert waits.percentiles()[99.0] == pytest.approx(3, rel=0.02)
    waits.update({"j-3"}, 5 * S)
    waits.discard_current()
    waits.update(set(), 9000 * S)
    assert waits.count == 2
