"""Team limits across whole controllers on the virtual clock.

Members that start tasks of a team at the same time, or that pass share to each other, could together exceed the team's
limit: when a transfer of share is lost, repeated or late, or when a process or a service fails during a transfer. Other
tests guard against invalid quota messages, controllers without the quota feature or of an older version, too many or
too few preemptions for a guarantee, and wrong figures for operators.
"""

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
from virtual import SECOND, Agent, Task, World, leader_of, running_attempts, started_world

QUOTA_ENABLED = Features(QuotaFeature(True))
TIGHT_LIMIT_CPUS = 12.0
#: The CPU limits of the teams.
TEAMS = {"tight": TIGHT_LIMIT_CPUS, "other": 10.0, "third": 9.0, "fourth": 7.0}
#: Each of these seeds leads to many transfers of share.
SEEDS = [1, 3, 6]


def overloaded_world(
    seed: int, job_count: int = 60, seconds: float = 30.0, teams: dict[str, float] | None = None
) -> World:
    """Return a world whose teams submit more tasks than their limits allow, at all controllers, within `seconds`.

    The machines have room for all these tasks.
    """
    world = started_world(seed, teams=teams or TEAMS, capacity=12, features=QUOTA_ENABLED)
    rng = random.Random(seed)
    team_names = list(world.teams)
    for index in range(job_count):
        cores = rng.choice([1.0, 2.0, 3.0, 0.7])
        task_count = rng.randint(1, 6)
        world.define_job(
            f"j-{index}", owner=rng.choice(team_names), pieces=task_count, cores=cores, guessS=rng.choice([1.0, 3.0])
        )
        world.after(rng.uniform(0, seconds) * SECOND, lambda job_id=f"j-{index}": submit_repeatedly(world, rng, job_id))  # type: ignore[misc]
    return world


def submit_repeatedly(world: World, rng: random.Random, job_id: str) -> None:
    """Submit a job to a random controller every 2 s until one has accepted it."""
    if job_id in world.accepted_jobs:
        return
    body = json.dumps(world.job_specs[job_id]).encode()

    def on_response(status: int, *_: Any) -> None:
        if status in (200, 201):
            world.accepted_jobs.add(job_id)

    world.request(rng.choice(world.controller_names), lambda controller: controller.job_api.submit(body, on_response))
    world.after(2 * SECOND, lambda: submit_repeatedly(world, rng, job_id))


def assert_all_jobs_finish(world: World, seconds: float = 90.0) -> None:
    """Check that each job ends as done or is cancelled, and that no invariant was violated at any moment."""

    def is_over(job_id: str) -> bool:
        return world.is_done(job_id) or job_id in world.cancel_requested

    assert world.run_until(lambda: all(map(is_over, world.job_specs)), seconds), [
        job_id for job_id in world.job_specs if not is_over(job_id)
    ]
    assert world.invariants.violations == []


def sum_of_counters(world: World, counter: str) -> int:
    return sum(
        node.controller.quota.counters[counter]
        for node in world.nodes.values()
        if node.controller is not None and node.controller.quota is not None
    )


# The functions below inject faults when a member issues a transfer, before any message carries it.

TransferFault = Callable[[World, str], None]


def freeze_sender(seconds: float) -> TransferFault:
    return lambda world, name: world.nodes[name].freeze(seconds)


def freeze_isolated_sender(seconds: float) -> TransferFault:
    """The sender has deducted the share, but sends nothing until it is resumed."""

    def inject(world: World, name: str) -> None:
        world.isolate(name)
        world.nodes[name].freeze(seconds)
        world.after(seconds * SECOND, world.heal)

    return inject


def restart_isolated_sender(world: World, name: str) -> None:
    """The sender ends before any message has left it, and a new process starts under its name."""
    world.isolate(name)
    world.nodes[name].kill()
    world.after(0.3 * SECOND, world.heal)
    world.after(0.3 * SECOND, world.nodes[name].start)


def restart_other_member(world: World, name: str) -> None:
    other = next(member for member in world.controller_names if member != name)
    world.nodes[other].kill()
    world.after(0.3 * SECOND, world.nodes[other].start)


def restart_leader(world: World, _name: str) -> None:
    """The leader ends, so that another member leads and splits the limits anew.

    The ended process is started again 4 s later.
    """
    leader = leader_of(world)
    world.nodes[leader].kill()
    world.after(4 * SECOND, world.nodes[leader].start)


def disconnect_from_peers(world: World, name: str) -> None:
    for other in world.controller_names:
        if other != name:
            world.cut_link(name, other)
    world.after(10 * SECOND, world.heal)


def disconnect_from_store(world: World, name: str) -> None:
    world.store.refused_callers.add(name)
    world.after(10 * SECOND, lambda: world.store.refused_callers.discard(name))


def lose_and_duplicate_messages(world: World, _name: str) -> None:
    world.loss_rate, world.duplication_rate = 0.2, 0.2
    world.after(15 * SECOND, lambda: setattr(world, "loss_rate", 0.0))


def stop_store_after_cancellations(world: World, name: str) -> None:
    """The key-value store is down for longer than `cancel_s`, right after the cancellation of three running jobs.

    The teams of these jobs submit more than their limits allow.
    """

    def cancel(job_id: str) -> None:
        def on_response(status: int, _body: bytes, _headers: object) -> None:
            if status == 200:
                world.cancelled_at.setdefault(job_id, world.now)

        world.request(name, lambda controller: controller.job_api.cancel(job_id, on_response))

    running_job_ids = sorted({task.job_id for _, task in world.invariants.running_tasks()})[:3]
    for job_id in running_job_ids:
        world.cancel_requested.add(job_id)
        cancel(job_id)
    world.after(0.3 * SECOND, lambda: world.store.start_outage(world.cancel_timeout_s + 5))


def hang_machines(world: World, _name: str) -> None:
    for agent in list(world.agents.values())[:2]:
        agent.hang(12.0)


TRANSFER_FAULTS: dict[str, TransferFault] = {
    "frozen for a moment": freeze_sender(1.0),
    "frozen past its lease": freeze_sender(6.0),
    "frozen past its workers' leases": freeze_sender(14.0),
    "paused between deduction and sending": freeze_isolated_sender(1.5),
    "paused between, past a new view": freeze_isolated_sender(8.0),
    "restarted": restart_isolated_sender,
    "receiver restarted": restart_other_member,
    "leader ends": restart_leader,
    "cut from its peers": disconnect_from_peers,
    "cut from the state service": disconnect_from_store,
    "messages lost and doubled": lose_and_duplicate_messages,
    "state service down": stop_store_after_cancellations,
    "machines hang": hang_machines,
}


def inject_at_transfer(
    world: World, monkeypatch: pytest.MonkeyPatch, inject_fault: TransferFault, transfer_number: int
) -> list[str]:
    """Inject a fault when the transfer of this number is issued; the returned list then contains the sender's name."""
    issue_transfer, senders, issued_count = Ledger.issue_transfer, [], [0]

    def issue_and_inject(self: Ledger, *arguments: Any) -> Any:
        transfer = issue_transfer(self, *arguments)
        issued_count[0] += 1
        if issued_count[0] == transfer_number:
            name = next(
                name
                for name, node in world.nodes.items()
                if node.controller is not None and node.controller.quota is not None
                and node.controller.quota._ledger is self
            )  # fmt: skip
            senders.append(name)
            inject_fault(world, name)
        return transfer

    monkeypatch.setattr(Ledger, "issue_transfer", issue_and_inject)
    return senders


@pytest.mark.parametrize("seed", SEEDS[:2])
@pytest.mark.parametrize("fault", list(TRANSFER_FAULTS))
def test_no_limit_is_exceeded_when_a_fault_occurs_during_a_transfer(
    fault: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = overloaded_world(seed)
    senders = inject_at_transfer(world, monkeypatch, TRANSFER_FAULTS[fault], 2 + seed)
    world.run(60)
    assert senders, "no share was passed on"
    assert_all_jobs_finish(world)


def test_shares_of_a_team_add_up_to_its_limit_when_it_overloads_all_controllers() -> None:
    world = overloaded_world(4, job_count=30, teams={"tight": TIGHT_LIMIT_CPUS})
    assert_all_jobs_finish(world, 180)
    world.run(3)
    assert sum_of_counters(world, "given") > 5
    assert sum_of_counters(world, "refused") == 0
    quotas = [node.controller.quota for node in world.nodes.values() if node.controller is not None]
    assert any(quota is not None and quota.waits.count for quota in quotas)
    # No share is lost in transfers: together the members hold the whole limit again.
    total_held = Amounts(0, 0)
    for node in world.nodes.values():
        assert node.controller is not None
        share = node.controller.state.quota_shares["tight"]
        total_held = Amounts(total_held.cpus + share.cpus, total_held.gpus)
    assert total_held.cpus == TIGHT_LIMIT_CPUS * UNITS_PER_WHOLE


# The next three tests each take one guard away, to show that the limits depend on it.


def is_any_limit_exceeded() -> bool:
    """Return whether a team limit is exceeded in the world of some seed."""
    for seed in SEEDS:
        world = overloaded_world(seed)
        world.run(60)
        if any("quota" in violation for violation in world.invariants.violations):
            return True
    return False


def test_limit_is_exceeded_without_the_deduction_at_the_sender(monkeypatch: pytest.MonkeyPatch) -> None:
    issue_transfer = Ledger.issue_transfer

    def issue_without_deduction(self: Ledger, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Any:
        transfer = issue_transfer(self, receiver, team, amounts, spare)
        add_amounts(self._balance, team, amounts)
        return transfer

    monkeypatch.setattr(Ledger, "issue_transfer", issue_without_deduction)
    assert is_any_limit_exceeded()


def test_limit_is_exceeded_without_the_check_of_transfer_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the check, a transfer that arrives twice counts twice."""

    def receive_without_number_check(self: Ledger, sender: str, rows: list[TransferRow]) -> list[TransferRow]:
        for row in rows:
            add_amounts(self._balance, row.team, row.amounts)
            self._accounts[sender].last_received = row.number
        return list(rows)

    monkeypatch.setattr(Ledger, "receive_transfers", receive_without_number_check)
    assert is_any_limit_exceeded()


def test_limit_is_exceeded_without_the_leaders_account_book(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AccountBook, "apply_account", lambda self, member, rows: None)
    assert is_any_limit_exceeded()


# A task that is larger than the share of any member needs transfers of share.


def test_task_larger_than_any_share_runs_when_other_members_pass_share() -> None:
    world = started_world(3, teams={"tight": TIGHT_LIMIT_CPUS}, capacity=12, features=QUOTA_ENABLED)
    for index, name in enumerate(world.controller_names):
        world.define_job(f"j-{index}", owner="tight", pieces=4, cores=1.0, guessS=4.0 + index)
        assert world.submit_until_accepted(f"j-{index}", name)
    world.define_job("j-9", owner="tight", pieces=1, cores=7.0, guessS=1.0)
    assert world.submit_until_accepted("j-9", "c1")
    assert_all_jobs_finish(world, 40)


# No member of the current view can have sent the quota messages of the next two tests.


def received_peer_message(world: World, name: str) -> Any:
    """Return the last message that a controller has received from another member."""
    controller = world.nodes[name].controller
    assert controller is not None
    return next(peer.last_message for peer in controller.peers.by_name.values() if peer.last_message is not None)


@pytest.mark.parametrize(
    "changes",
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
def test_invalid_quota_message_changes_no_share(changes: dict[str, Any], caplog: pytest.LogCaptureFixture) -> None:
    world = started_world(1, teams=TEAMS, features=QUOTA_ENABLED)
    world.run(3)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.quota is not None
    assert controller.state.scheduler is not None
    peer_message = received_peer_message(world, "c0")
    valid_fields = changed_quota_message(world, {})
    shares_before = dict(controller.state.quota_shares)
    caplog.clear()
    controller.quota.apply_message(
        msgspec.structs.replace(peer_message, quota=valid_fields | changes), controller.state.scheduler
    )
    assert controller.state.quota_shares == shares_before
    assert controller.quota.counters["refused"] == 1
    assert len([record for record in caplog.records if "refused" in record.message]) == 1
    valid_transfer = [1, "tight", UNITS_PER_WHOLE, 0]
    controller.quota.apply_message(
        msgspec.structs.replace(peer_message, quota=valid_fields | {"transfers": [valid_transfer]}),
        controller.state.scheduler,
    )
    assert controller.state.quota_shares["tight"].cpus == shares_before["tight"].cpus + UNITS_PER_WHOLE


def test_transfer_of_another_view_counts_only_without_the_sender_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """A message that arrives late may belong to another view; its transfers must not change the current shares."""
    other_view_fields = {"view": 99, "transfers": [[1, "tight", UNITS_PER_WHOLE, 0]]}
    for checks_sender, expected_gain in ((True, 0), (False, UNITS_PER_WHOLE)):
        if not checks_sender:
            monkeypatch.setattr(QuotaExchange, "_check_sender", lambda self, quota_message, message: None)
        world = started_world(1, teams=TEAMS, features=QUOTA_ENABLED)
        world.run(3)
        controller = world.nodes["c0"].controller
        assert controller is not None
        assert controller.quota is not None
        assert controller.state.scheduler is not None
        share_before = controller.state.quota_shares["tight"].cpus
        controller.quota.apply_message(
            msgspec.structs.replace(
                received_peer_message(world, "c0"), quota=changed_quota_message(world, other_view_fields)
            ),
            controller.state.scheduler,
        )
        assert controller.state.quota_shares["tight"].cpus - share_before == expected_gain


def changed_quota_message(world: World, changes: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of the last quota message that c0 has received, with some of them changed."""
    fields: dict[str, Any] = msgspec.to_builtins(received_peer_message(world, "c0").quota)
    return fields | changes


# In the next three tests, the quota feature is off at some or all controllers, or some run an older version.


def test_no_share_is_passed_and_no_limit_exceeded_while_quota_is_off_on_one_member() -> None:
    world = started_world(4, teams=TEAMS, features=QUOTA_ENABLED)
    world.features = None
    world.nodes["c1"].kill()
    world.nodes["c1"].start()
    rng = random.Random(4)
    for index in range(30):
        world.define_job(f"j-{index}", owner="tight", pieces=3, cores=2.0, guessS=1.0)
        world.after(rng.uniform(0, 10) * SECOND, lambda job_id=f"j-{index}": submit_repeatedly(world, rng, job_id))  # type: ignore[misc]
    world.run(20)
    assert sum_of_counters(world, "given") == 0
    # The feature is switched on at one controller after the other, while jobs run.
    world.features = QUOTA_ENABLED
    for name in world.controller_names:
        world.nodes[name].kill()
        world.run(0.3)
        world.nodes[name].start()
        world.run(5)
    assert_all_jobs_finish(world)


def test_peer_message_without_quota_is_accepted_and_older_fields_are_still_sent() -> None:
    """A controller of an older version sends no quota message, and needs the fields that it knows."""
    world = started_world(1, teams=TEAMS, features=QUOTA_ENABLED)
    world.run(3)
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.quota is not None
    assert controller.state.scheduler is not None
    peer_message = received_peer_message(world, "c0")
    controller.quota.apply_message(msgspec.structs.replace(peer_message, quota=None), controller.state.scheduler)
    assert controller.quota.counters["refused"] == 0
    fields = cbor2.loads(cbor2.dumps(msgspec.to_builtins(peer_message)))
    assert {"member", "view", "seq", "wire"} <= fields.keys()
    assert fields["wire"] == 5


def test_quota_is_neither_imported_nor_sent_when_it_is_off() -> None:
    program = (
        "import sys, ramptide.service, ramptide.api.metrics, ramptide.api.administration;"
        "print([name for name in sys.modules if 'quota' in name or 'hdrh' in name or 'highspy' in name])"
    )
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    completed = subprocess.run(
        [sys.executable, "-c", program], env=environment, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "[]\n"
    world = started_world(1, teams=TEAMS)
    assert all(node.controller is not None and node.controller.quota is None for node in world.nodes.values())
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert all(message.quota is None for message in controller.peers.last_messages())


# In the next two tests, jobs within their teams' guarantees need the room of jobs beyond them.


@pytest.mark.parametrize("guarantees_first", [1, 0])
def test_job_within_guarantee_finishes_first_only_when_guarantees_first_is_set(guarantees_first: int) -> None:
    """Both jobs wait for room; the job beyond its team's guarantee has waited for longer, and has a deadline."""
    world = World(6, teams={"rich": 40.0, "poor": 40.0}, capacity=3, features=QUOTA_ENABLED)
    world.guarantees = {"rich": 2.0, "poor": 12.0}
    for node in world.nodes.values():
        node.start()
    world.run(6)
    world.define_job("j-1", owner="rich", pieces=60, cores=2.0, guessS=2.0, dueS=200.0)
    assert world.submit_until_accepted("j-1", "c0")
    world.run(15)
    for node in world.nodes.values():
        assert node.controller is not None
        # No preemption happens within the test, so that the order of the jobs alone decides.
        node.controller.state.tuning = node.controller.state.tuning.with_changes(
            {"guarantees_first": guarantees_first, "preempt_after": 600}
        )
    world.define_job("j-2", owner="poor", pieces=6, cores=2.0, guessS=2.0)
    assert world.submit_until_accepted("j-2", "c1")
    world.run_until(lambda: world.is_done("j-2") or world.is_done("j-1"), 60)
    assert world.is_done("j-1") is not bool(guarantees_first)
    assert world.invariants.violations == []


@pytest.mark.parametrize("is_leader_restarted", [False, True])
def test_job_within_guarantee_preempts_only_as_many_tasks_as_it_needs(
    is_leader_restarted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Four tasks within a guarantee need the room of four tasks beyond one.

    No more are preempted, also when another member becomes leader meanwhile.
    """
    world = World(6, teams={"rich": 40.0, "poor": 40.0}, capacity=3, features=QUOTA_ENABLED)
    world.guarantees = {"rich": 2.0, "poor": 8.0}
    for node in world.nodes.values():
        node.start()
    world.run(6)
    world.define_job("j-1", owner="rich", pieces=12, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 12, 30)
    job_ids_of_stopped_tasks: list[str] = []
    end_task = Agent._end

    def record_and_end(task: Task, cause: str) -> None:
        if cause == "halted":
            job_ids_of_stopped_tasks.append(task.job_id)
        end_task(task, cause)

    monkeypatch.setattr(Agent, "_end", staticmethod(record_and_end))
    world.define_job("j-2", owner="poor", pieces=4, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-2", "c1")
    if is_leader_restarted:
        assert world.run_until(lambda: bool(job_ids_of_stopped_tasks), 20)
        restart_leader(world, "c0")
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 4, 40)
    world.run(10)
    assert job_ids_of_stopped_tasks == ["j-1"] * 4
    assert world.invariants.violations == []


# The tests below concern the status and metrics for operators, and the measurement of waits for share.


def fetch_admin_body(controller: Controller, path: str) -> bytes:
    bodies: list[bytes] = []
    build_admin_api(controller).handle("GET", path, b"", lambda status, body, kind: bodies.append(body))
    return bodies[0]


def test_status_and_metrics_show_shares_transfers_and_waits() -> None:
    world = overloaded_world(3)
    world.run(20)
    name = leader_of(world)
    controller = world.nodes[name].controller
    assert controller is not None
    assert controller.quota is not None
    quota_status = json.loads(fetch_admin_body(controller, "/admin/status"))["quota"]
    assert quota_status["members_without"] == []
    assert quota_status["transfers"]["given"] == controller.quota.counters["given"]
    share = quota_status["teams"]["tight"]["cores"]
    assert share["held"] * UNITS_PER_WHOLE == controller.state.quota_shares["tight"].cpus
    assert share["borrowed"] > 0
    assert set(share) == {"held", "used", "borrowed", "in_transfer"}
    assert quota_status["teams"]["tight"]["pending"] is False
    metrics = fetch_admin_body(controller, "/metrics").decode()
    for sample in (
        'ramptide_quota_held{resource="cores",team="tight"}',
        'ramptide_quota_in_transfer{resource="cores",team="tight"} 0.0',
        'ramptide_quota_transfers_total{outcome="refused"} 0.0',
        "ramptide_quota_share_wait_seconds_total",
    ):
        assert sample in metrics


def test_wait_for_share_is_measured_from_its_start_to_its_end() -> None:
    waits = ShareWaits()
    waits.update({"j-1", "j-2"}, 1 * SECOND)
    waits.update({"j-2"}, 1.5 * SECOND)
    assert waits.count == 1
    assert waits.percentiles()[50.0] == pytest.approx(0.5, rel=0.02)
    waits.update(set(), 4 * SECOND)
    assert waits.count == 2
    assert waits.total == 3.5 * SECOND
    assert waits.percentiles()[99.0] == pytest.approx(3, rel=0.02)
    waits.update({"j-3"}, 5 * SECOND)
    waits.discard_current()
    waits.update(set(), 9000 * SECOND)
    assert waits.count == 2
