"""Two troubles at once: each test brings one meeting about on the virtual clock, and takes its guard out."""

import json
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from ramptide.agents.shard import Shard
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.messages import PeerMessage
from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.cluster.peers import Peer, Peers
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.controller.controller import Controller
from ramptide.controller.reconciliation import Reconciliation
from ramptide.controller.replication import Replication
from ramptide.protocol.key_value_store import TRANSACTION_PATH
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import Handover
from ramptide.state.task_state import DesiredState
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.share_split import ShareSplit
from virtual import (
    Agent,
    Respond,
    S,
    Task,
    World,
    busy_world,
    cancel_job,
    end_faults,
    full_world,
    ignore_response,
    leader_of,
    longest_starvation,
    owner_of,
    restart_controller,
    run_with_checks,
    running_attempts,
    started_world,
    submit_job,
)

# The state service refuses the leader alone, another controller confirms cancellations, then all lack it.


def gap(world: World, teller: str, outage: float, restart: bool = False) -> None:
    """`restart`: the controller that confirmed is killed before it can tell anybody, and is back in a moment."""
    old = leader_of(world)
    world.store.refused_callers.add(old)
    world.run(0.5)
    cancel(world, "j-1", teller, outage, restart)
    run_with_checks(world, outage)
    world.store.refused_callers.clear()
    run_with_checks(world, 15)


def cancel(world: World, job_id: str, teller: str, outage: float, restart: bool) -> None:
    """The outage begins in the moment in which the user is told."""

    def told(status: int, body: bytes, _headers: object) -> None:
        assert status == 200
        assert b"withdrawn" in body
        world.cancelled_at[job_id] = world.now
        world.store.start_outage(outage)
        if restart:
            world.nodes[teller].kill()
            world.after(0.3 * S, world.nodes[teller].start)

    world.request(teller, lambda c: c.job_api.cancel(job_id, told))
    assert world.run_until(lambda: job_id in world.cancelled_at, 3)


def two_jobs(seed: int) -> World:
    """Two long jobs run; the second one is nobody's to cancel."""
    world = busy_world(seed, guessS=500.0, pieces=6, cores=2.0)
    world.define_job("j-2", pieces=6, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 30)
    return world


def others(world: World) -> list[str]:
    return [name for name in world.controller_names if name != leader_of(world)]


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_cancellation_confirmed_elsewhere_ends_in_time_in_an_outage_and_nothing_else_does(seed: int) -> None:
    world = two_jobs(seed)
    before = running_attempts(world, "j-2")
    gap(world, others(world)[seed % 2], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert running_attempts(world, "j-2") == before


@pytest.mark.parametrize("seed", range(1, 5))
def test_it_ends_in_time_too_when_the_controller_that_confirmed_it_starts_anew(seed: int) -> None:
    world = two_jobs(seed)
    gap(world, others(world)[seed % 2], 40, restart=True)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()


def test_without_the_memory_of_what_a_peer_may_have_confirmed_it_runs_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that started in the outage agrees that it lacks the state service, and knows of nothing."""
    monkeypatch.setattr(WatchCache, "deleted_since", lambda mirror, epoch: [])
    world = two_jobs(1)
    gap(world, others(world)[1], 40, restart=True)
    assert any("ran_cancelled" in rule for rule in world.invariants.violations)


def unheard_pushes(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is cancelled is not told at once, as when those messages are lost."""
    monkeypatch.setattr(
        "ramptide.controller.cancellations.RecentCancellations.announce", lambda cancellations, job_id: None
    )


def test_the_agreement_itself_carries_what_was_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    unheard_pushes(monkeypatch)
    world = two_jobs(2)
    before = running_attempts(world, "j-2")
    gap(world, others(world)[0], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert running_attempts(world, "j-2") == before


def test_when_it_carries_nothing_a_cancelled_task_runs_on(monkeypatch: pytest.MonkeyPatch) -> None:
    unheard_pushes(monkeypatch)
    monkeypatch.setattr(WatchCache, "deleted_since", lambda mirror, epoch: [])
    world = two_jobs(2)
    gap(world, others(world)[0], 40)
    assert any("ran_cancelled" in rule for rule in world.invariants.violations)


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_slow_state_service_before_and_after_changes_nothing_of_that(seed: int) -> None:
    world = two_jobs(seed)
    world.max_store_delay_s = 1.0
    world.run(3)
    gap(world, others(world)[seed % 2], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    for name in world.controller_names:
        answer = world.poll_job("j-1", name) or world.poll_job("j-1", name)
        assert answer is None or answer[0] == 503 or answer[1]["status"] == "withdrawn"


def test_refused_singly_then_all_twice_in_a_row_with_restarts_in_between() -> None:
    world = two_jobs(3)
    teller, third = others(world)
    gap(world, teller, 30)
    for name in (teller, third):
        world.nodes[name].kill()
        world.run(0.2)
        world.nodes[name].start()
        world.run(4)
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 30)
    world.define_job("j-1", pieces=6, cores=2.0, guessS=500.0)
    world.define_job("j-3", pieces=6, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-3", third)
    assert world.run_until(lambda: len(running_attempts(world, "j-3")) == 6, 30)
    world.store.refused_callers.add(leader_of(world))
    world.run(1)
    teller = others(world)[0]
    cancel(world, "j-3", teller, 30, restart=True)
    run_with_checks(world, 30)
    world.store.refused_callers.clear()
    run_with_checks(world, 10)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-3") == set()
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 40), "what nobody cancelled runs again"


def test_a_job_that_peers_say_is_over_does_not_come_back_by_a_late_answer() -> None:
    """The watch of a controller that was refused shows an older record of the job first, its end only later."""
    world = two_jobs(4)
    name = leader_of(world)
    controller = world.nodes[name].controller
    assert controller is not None
    record, stamp = controller.state.jobs["j-1"].record, controller.state.jobs["j-1"].mod_revision
    controller.assignments.drop_finished(["j-1"])
    assert "j-1" not in controller.state.jobs
    controller.store_events.on_change("live/job/j-1", msgspec.to_builtins(record), stamp + 1)
    assert "j-1" not in controller.state.jobs
    controller.store_events.on_change("live/job/j-1", None, stamp + 2)
    assert not controller.assignments._finished_elsewhere


# A machine hangs for longer than a cancellation has, and goes on with what it had.


def hung_and_cancelled(world: World, *troubles: str, machines: int = 1) -> list[Agent]:
    """Machines with tasks of a cancelled job hang, in the troubles named; past its lease nothing there can run."""
    hung = list({agent.host: agent for agent, _ in world.invariants.running_tasks()}.values())[:machines]
    for agent in hung:
        agent.hang(45)
    assert world.run_until(lambda: world.cancel_job("j-1", others(world)[0]), 10)
    world.run(3)
    if "outage" in troubles:
        world.store.start_outage(40)
    if "owner" in troubles:
        restart_controller(world, owner_of(world, agent.host))
    if "leader" in troubles:
        restart_controller(world, leader_of(world))
    if "elections" in troubles:
        for number in range(2):
            world.after(number * 7 * S, lambda: restart_controller(world, leader_of(world)))
    run_with_checks(world, 50)
    return hung


@pytest.mark.parametrize("trouble", ["none", "outage", "owner", "leader", "elections"])
def test_a_machine_that_hangs_with_a_cancelled_task_is_returned_in_time(trouble: str) -> None:
    world = busy_world(guessS=500.0)
    hung = hung_and_cancelled(world, trouble)
    assert world.invariants.violations == []
    assert not hung[0].alive


def test_many_that_hang_while_leaders_change_are_returned_in_time() -> None:
    world = full_world()
    hung = hung_and_cancelled(world, "elections", machines=6)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


def test_without_that_return_the_cancelled_task_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.controller.timings.CONFIRM_TIMEOUT_RATIO", 10.0)
    world = busy_world(guessS=500.0)
    hung_and_cancelled(world)
    assert any("ran_cancelled" in rule for rule in world.invariants.violations)


def test_without_the_memory_of_the_view_before_it_goes_on_when_views_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner's list of the present view is empty: nothing was heard from the machine in it."""

    def forgetful(machine_index: MachineIndex) -> None:
        machine_index.machines.update(
            {name: ObservedMachine(images=host.images) for name, host in machine_index.machines.items()}
        )
        machine_index._tasks.clear()
        machine_index._free_rooms.on_new_view()

    monkeypatch.setattr(MachineIndex, "on_new_view", forgetful)
    world = full_world()
    hung_and_cancelled(world, "elections", machines=6)
    assert any("ran_cancelled" in rule for rule in world.invariants.violations)


def test_machines_that_hang_with_nothing_cancelled_are_kept() -> None:
    world = busy_world(guessS=500.0)
    agent, _ = world.invariants.running_tasks()[0]
    agent.hang(18)
    run_with_checks(world, 30)
    assert agent.alive
    assert world.invariants.violations == []


# Room that is kept for services.


def array_beside_services() -> World:
    """All machines that there are run services, and leave a quarter free for more of them."""
    world = started_world(8, capacity=2)
    for number in range(2):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=6.0)
        assert world.submit_until_accepted(f"j-{number}", "c0")
        assert world.run_until(lambda: len(world.invariants.running_tasks()) == number + 1, 30)  # noqa: B023
    world.define_job("j-5", pieces=4, cores=2.0, guessS=5.0)
    assert world.submit_until_accepted("j-5", "c1")
    return world


def test_no_job_is_left_waiting_beside_room_that_is_kept_for_services() -> None:
    world = array_beside_services()
    assert longest_starvation(world, 100)[0] < 90 * S
    assert world.run_until(lambda: world.is_done("j-5"), 300)


def test_when_that_room_is_kept_for_ever_it_waits() -> None:
    world = array_beside_services()
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(
            share_wait=1000 * S, patience=1000 * S
        )
    assert longest_starvation(world, 100)[0] >= 90 * S


# A handover whose transaction is not answered.


def swallow_a_handover(world: World, late: float | None) -> None:
    """The first one is never carried out, or `late` seconds after it was sent."""
    handle = world.store.handle
    swallowed: list[bytes] = []

    def handled(caller: str, method: str, target: str, body: bytes, respond: Respond) -> None:
        if target == TRANSACTION_PATH and b'"hand":[' in body and not swallowed:
            swallowed.append(body)
            if late is not None:
                world.after(late * S, lambda: handle(caller, method, target, body, ignore_response))
        else:
            handle(caller, method, target, body, respond)

    world.store.handle = handled  # type: ignore[method-assign]


def job_for_another_part(world: World) -> None:
    """A job whose scheduler is not the leader, and for which its scheduler's own part has no room."""
    world.define_job("j-1", pieces=30, cores=4.0, guessS=6.0)
    assert world.submit_until_accepted("j-1", others(world)[0])
    scheduler = others(world)[0]
    entry = world.store.entries["live/job/j-1"]
    world.store.put("live/job/j-1", entry.value | {"home": scheduler}, entry.lease_id)


@pytest.mark.parametrize("late", [None, 4.0])
def test_a_handover_that_is_not_answered_leaves_no_job_behind(late: float | None) -> None:
    world = started_world(3)
    swallow_a_handover(world, late)
    job_for_another_part(world)
    assert world.run_until(lambda: world.is_done("j-1"), 100)
    assert world.invariants.violations == []


def test_when_nobody_asks_again_the_job_stays_where_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.scheduling.handover.RETRY_DELAY", 1000 * S)
    world = started_world(3)
    swallow_a_handover(world, None)
    job_for_another_part(world)
    assert not world.run_until(lambda: world.is_done("j-1"), 100)


# A job is handed over while the former scheduler's messages are slow.


def handed_over_at_the_limit(world: World) -> None:
    """A team is at its limit with one job, and another of it waits at the same scheduler.

    The first goes to the leader, who hears nothing new of the former scheduler for a moment.
    """
    new, old = leader_of(world), others(world)[0]
    former, lead = world.nodes[old].controller, world.nodes[new].controller
    assert former is not None
    assert lead is not None
    assert former.state.view is not None
    assert former.state.scheduler is not None
    for controller in (former, lead):
        controller.handover.run = lambda scheduler, now: None  # type: ignore[method-assign]
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.job_api._choose_scheduler = lambda run: old
    for job_id in ("j-1", "j-2"):
        world.define_job(job_id, owner="few", pieces=3, cores=4.0, guessS=300.0)
        assert world.submit_until_accepted(job_id, old)
    assert world.run_until(lambda: len(running_attempts(world, "j-1") | running_attempts(world, "j-2")) == 3, 40)
    job_id = "j-1" if running_attempts(world, "j-1") else "j-2"
    send = former.peers.send
    former.peers.send = lambda peer, sync, every=S: peer.name != new and send(peer, sync, every)  # type: ignore[assignment, method-assign]
    world.run(0.5)
    message = lead.peers.last_message(old)
    assert message is not None
    job = former.state.jobs[job_id]
    hand = Handover(former.state.view.number, old, message.sequence_number)
    record = msgspec.structs.replace(job.record, scheduler=new, handover=hand)
    world.store.put(f"live/job/{job_id}", msgspec.to_builtins(record))
    run_with_checks(world, 2)
    former.peers.send = send  # type: ignore[method-assign]
    run_with_checks(world, 5)


def few_world() -> World:
    world = started_world(3, teams={"team": 0.0, "few": 12.0})
    world.define_job("j-9", pieces=12, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-9", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 12, 40)
    return world


def test_a_job_counts_as_taken_over_only_when_its_former_scheduler_has_released_it() -> None:
    world = few_world()
    handed_over_at_the_limit(world)
    assert world.invariants.violations == []


def test_when_it_counts_before_its_team_uses_its_limit_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def taken(split: ShareSplit, scheduler: JobScheduler, _view: View) -> list[str]:
        return [
            w.job.job_id
            for w in scheduler.jobs.values()
            if w.job.record.handover is not None and split._may_start_job(w)
        ]

    monkeypatch.setattr(ShareSplit, "_find_counted_handovers", taken)
    world = few_world()
    handed_over_at_the_limit(world)
    assert any("quota" in rule for rule in world.invariants.violations)


def unsent_desired_tasks(world: World) -> list[str]:
    """Messages that say that the sender's own wishes are processed and do not show what came of them."""
    found: list[str] = []
    for node in world.nodes.values():
        controller = node.controller
        assert controller is not None
        told: dict[tuple[str, str], set[tuple[str, int, int]]] = {}

        def send(  # type: ignore[no-untyped-def]
            peer: Peer, sync: PeerMessage, every: timedelta = S, c: Controller = controller, told=told
        ) -> None:
            for host, row in sync.machine_status.items():
                told[peer.name, host] = {task[:3] for task in row.tasks} if row is not None else set()
            for host, machine in c.state.shard.machines.items() if c.state.shard is not None and sync.view else ():
                ours = {
                    key
                    for key, one in machine.entries.items()
                    if one.requested_by == c.state.member and one.desired is DesiredState.RUN
                }
                if ours - told.get((peer.name, host), set()):
                    found.append(f"{sync.member} to {peer.name}: {host}")
            Peers.send(c.peers, peer, sync, every)

        controller.peers.send = send  # type: ignore[method-assign]
    for number in range(6):
        world.define_job(f"j-{number}", pieces=6, guessS=3.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    world.run(20)
    return found


def test_what_is_said_to_be_processed_is_shown_with_it() -> None:
    assert unsent_desired_tasks(started_world(5)) == []


def test_without_that_a_new_scheduler_would_miss_a_start(monkeypatch: pytest.MonkeyPatch) -> None:
    mark = Replication.record_changes

    def late(syncing: Replication, scheduler: JobScheduler, part: Shard, changed: set[str]) -> None:
        mark(syncing, scheduler, part, changed)
        for host in {
            one for one, at in syncing._status_changes._last_change.items() if at == scheduler.sequence_number
        } - changed:
            del syncing._status_changes._last_change[host]

    monkeypatch.setattr(Replication, "record_changes", late)
    assert unsent_desired_tasks(started_world(5))


# Changes of leader in the middle of other troubles.


def away(world: World, seconds: float) -> None:
    """All controllers end, and are back after longer than a lease; machines go on reporting to nobody."""
    for name in world.controller_names:
        world.nodes[name].kill()
    run_with_checks(world, seconds)
    for name in world.controller_names:
        world.nodes[name].start()


def test_all_controllers_are_away_for_longer_than_a_lease() -> None:
    world = two_jobs(1)
    assert world.cancel_job("j-1", "c0")
    away(world, 12)
    run_with_checks(world, 30)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert len(running_attempts(world, "j-2")) == 6


def ten_leaders(world: World) -> None:
    """One leader after the other ends within two minutes, half of the time in an outage; each is back in a moment."""
    for number in range(10):
        old = leader_of(world)
        if number % 4 == 3:
            world.store.start_outage(6)
        world.nodes[old].kill()
        world.after((0.3 if number % 2 else 2.5) * S, world.nodes[old].start)
        run_with_checks(world, 12)


def many_jobs(world: World) -> list[str]:
    """Of two teams, one of them at its limit; long and short, bound to a zone or not."""
    kinds: list[dict[str, Any]] = [
        {},
        {"owner": "few"},
        {"oneZone": True},
        {"spread": True},
        {"yard": "a", "owner": "few"},
    ]
    job_ids = [f"j-{number}" for number in range(20)]
    for number, job_id in enumerate(job_ids):
        world.define_job(job_id, pieces=3, cores=2.0, guessS=(4.0, 15.0, 30.0)[number % 3], **kinds[number % 5])
        world.after(number * 5 * S, lambda job_id=job_id: submit_job(world, world.rng, job_id))  # type: ignore[misc]
    return job_ids


@pytest.mark.parametrize("seed", range(4))
def test_ten_leaders_in_two_minutes_starve_nobody(seed: int) -> None:
    world = started_world(seed, teams={"team": 0.0, "few": 8.0})
    job_ids = many_jobs(world)
    world.run(5)
    ten_leaders(world)
    end_faults(world)
    assert longest_starvation(world, 60)[0] < 60 * S
    assert world.invariants.violations == []
    # One whose controller ended while it was asked may not have been accepted, and its user asks no more here.
    assert len(world.accepted_jobs) >= len(job_ids) - 3
    assert world.run_until(lambda: all(world.is_done(job_id) for job_id in world.accepted_jobs), 60)


def unreachable_then_led_anew(world: World, how: str) -> None:
    """Machines with long tasks are cut off, or hear no answers, when the leader ends. Nothing can be returned."""
    world.cloud.is_down = True
    hosts = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[:4]
    for host in hosts:
        if how == "deaf":
            world.hosts_without_responses.add(host)
        else:
            for name in world.controller_names:
                world.cut_link(host, name)
    restart_controller(world, leader_of(world))
    run_with_checks(world, 25)
    world.heal()
    world.cloud.is_down = False
    run_with_checks(world, 40)


@pytest.mark.parametrize("how", ["deaf", "cut"])
def test_machines_that_the_new_leader_cannot_reach_run_nothing_twice(how: str) -> None:
    world = full_world()
    unreachable_then_led_anew(world, how)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 16


@pytest.mark.parametrize("how", ["deaf", "cut"])
def test_when_a_view_waits_for_no_machine_they_run_twice(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda reconciliation: {})
    world = full_world()
    unreachable_then_led_anew(world, how)
    assert any("ran_twice" in rule for rule in world.invariants.violations)


def limit_and_cancellation(world: World) -> None:
    """A team is at its limit when the leader ends, half of its machines can't be asked, and one job is cancelled."""
    for job_id in ("j-1", "j-2", "j-3"):
        world.define_job(job_id, owner="few", pieces=6, cores=2.0, guessS=300.0)
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 12, 40)
    world.cloud.is_down = True
    for host in sorted({agent.host for agent, _ in world.invariants.running_tasks()})[::2]:
        for name in world.controller_names:
            world.cut_link(host, name)
    restart_controller(world, leader_of(world))
    running = next(job_id for job_id in ("j-1", "j-2", "j-3") if running_attempts(world, job_id))
    world.after(3 * S, lambda: cancel_job(world, world.rng, running))
    run_with_checks(world, 25)
    world.heal()
    world.cloud.is_down = False
    run_with_checks(world, 40)


def test_a_limit_holds_while_machines_cannot_be_asked_and_a_job_is_cancelled() -> None:
    world = started_world(2, teams={"team": 0.0, "few": 24.0})
    limit_and_cancellation(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 12


def test_without_waiting_for_them_the_limit_is_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda reconciliation: {})
    world = started_world(2, teams={"team": 0.0, "few": 24.0})
    limit_and_cancellation(world)
    assert any("quota" in rule or "ran_twice" in rule for rule in world.invariants.violations)


@pytest.mark.parametrize("fields", [{"oneZone": True}, {"spread": True}, {"yard": "a"}], ids=str)
def test_jobs_bound_to_zones_lose_machines_and_go_on_where_they_may(fields: dict[str, object]) -> None:
    world = started_world(6)
    world.define_job("j-1", pieces=10, cores=4.0, guessS=40.0, **fields)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running_attempts(world, "j-1")) >= 8, 40)
    for number in range(3):
        world.invariants.running_tasks()[0][0].die()
        if number == 1:
            restart_controller(world, leader_of(world))
        run_with_checks(world, 8)
    run_with_checks(world, 20)
    assert world.run_until(lambda: world.is_done("j-1"), 150)
    assert world.invariants.violations == []


def test_tasks_that_end_far_apart_across_changes_of_leader_are_all_counted() -> None:
    """The first task of each job ends before the leader does, the last one after its successor has ended, too."""
    world = started_world(5)
    for job_id in ("j-1", "j-2"):
        world.define_job(job_id, pieces=3, cores=2.0, guessS=2.0)
        assert world.submit_until_accepted(job_id, "c1")
    ends = iter([2.0, 14.0, 30.0] * 4)
    begin = Agent._run

    def start(agent: Agent, task: Task, spec: dict[str, object]) -> None:
        begin(agent, task, spec | {"guessS": next(ends, 5.0)})

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Agent, "_run", start)
        for _ in range(2):
            run_with_checks(world, 10)
            restart_controller(world, leader_of(world))
        assert world.run_until(lambda: world.is_done("j-1") and world.is_done("j-2"), 90)
    assert world.invariants.violations == []


# The end of a job's last task meets its cancellation, questions and a repeated submission.


def at_the_end(world: World, offset: float) -> set[str]:
    """Asked around the moment of the end, at different controllers; then all are asked for what became of it."""
    body = json.dumps(world.job_specs["j-1"]).encode()
    statuses: list[str] = []

    def hear(status: int, body: bytes, _headers: object) -> None:
        if status == 200 and json.loads(body)["status"] in ("done", "withdrawn"):
            statuses.append(json.loads(body)["status"])

    def ask() -> None:
        world.request("c0", lambda c: c.job_api.cancel("j-1", hear))
        world.request("c1", lambda c: c.job_api.poll("j-1", hear))
        world.request("c2", lambda c: c.job_api.submit(body, hear))

    world.invariants.on_job_done = lambda job_id: world.after(offset * S, ask)
    assert world.run_until(lambda: len(world.invariants.finished_tasks) == 2, 40)
    run_with_checks(world, 8)
    for name in world.controller_names:
        answer = world.poll_job("j-1", name)
        assert answer is not None
        assert answer[0] == 200
        statuses.append(answer[1]["status"])
    return set(statuses)


@pytest.mark.parametrize("offset", [0.0, 0.05, 0.2, 0.5, 0.8, 1.1, 1.5])
def test_nobody_hears_two_ends_of_one_job(offset: float) -> None:
    world = started_world(7)
    world.define_job("j-1", pieces=2, guessS=3.0)
    assert world.submit_until_accepted("j-1", "c0")
    ends = at_the_end(world, offset)
    assert ends in ({"done"}, {"withdrawn"})
    if "done" in ends:
        assert world.is_done("j-1")
    assert world.invariants.violations == []
