"""Whole controllers on a virtual clock, judged by the plain model of the rules."""

import json
from typing import Any

import pytest

from ramptide.agents.heartbeat_intake import HeartbeatIntake
from ramptide.agents.shard import Shard
from ramptide.agents.token_announcer import TokenAnnouncer
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.member_lease import LEASE_TIMEOUT
from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.cluster.peers import Peers
from ramptide.controller.authority import Authority
from ramptide.controller.reconciliation import Reconciliation
from ramptide.state.task_state import FINISHED_PHASE_NAMES
from virtual import (
    Agent,
    Respond,
    S,
    World,
    busy_world,
    cancel_job,
    check_indexes,
    end_faults,
    job_spec,
    leader_of,
    longest_starvation,
    owner_of,
    play,
    started_world,
    submit_job,
)


@pytest.mark.parametrize("seed", range(28))
def test_no_rule_is_broken_in_generated_histories(seed: int) -> None:
    world = play(seed)
    assert world.invariants.violations == []
    assert world.invariants.start_count > 0
    # Every accepted job stays known: any controller answers for it once the troubles are over.
    end_faults(world)
    waited, job_id = longest_starvation(world, 100)
    assert waited < 90 * S, f"{job_id} waits beside room"
    known = {key.split("/")[-1] for key in world.store.entries if key.startswith(("live/job/", "ended/"))}
    assert world.accepted_jobs <= known
    for job_id in known:
        for name in world.controller_names:
            answer = world.poll_job(job_id, name)
            assert answer is not None, (job_id, name)
            assert answer[0] == 200, (job_id, name, answer)
    assert world.invariants.violations == []


@pytest.mark.parametrize("seed", range(100, 108))
def test_the_indexes_agree_with_a_walk_of_everything(seed: int) -> None:
    world = play(seed, 40.0, look=check_indexes)
    assert world.invariants.start_count > 0


def cut_agent_and_crash(world: World) -> None:
    """A machine with a running task is cut off; then the owner of the machine crashes and comes back."""
    agent, _ = world.invariants.running_tasks()[0]
    for name in world.controller_names:
        world.cut_link(agent.host, name)
    for name in world.controller_names:
        world.nodes[name].kill()
    for name in world.controller_names:
        world.nodes[name].start()
    world.run(15)


def test_settled_guard_holds() -> None:
    world = busy_world()
    cut_agent_and_crash(world)
    assert world.invariants.violations == []


def test_without_the_settled_guard_a_task_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda self: {})
    world = busy_world()
    cut_agent_and_crash(world)
    assert any("ran_twice" in rule for rule in world.invariants.violations)


def cancel_behind_a_cut(world: World) -> None:
    """The owner of a machine loses all but its agents, and the job is cancelled elsewhere meanwhile.

    The cloud is down, so that the silent machines cannot be given back.
    """
    world.cloud.is_down = True
    agent, _ = world.invariants.running_tasks()[0]
    alone = owner_of(world, agent.host)
    world.isolate(alone, *world.agents)
    world.run(6)
    other = next(name for name in world.controller_names if name != alone)
    assert world.run_until(lambda: world.cancel_job("j-1", other), 10)
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()


def test_authority_guard_holds() -> None:
    world = busy_world(guessS=500.0)
    cancel_behind_a_cut(world)
    assert world.invariants.violations == []


def test_without_the_authority_guard_a_cancelled_task_runs_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Agents that are told the new token directly don't hear the cut-off owner any more, so that is taken out too."""
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, token, addresses: None)
    monkeypatch.setattr(Authority, "may_reply", lambda self: self._membership.is_serving)
    world = busy_world(guessS=500.0)
    cancel_behind_a_cut(world)
    assert any("ran_cancelled" in rule for rule in world.invariants.violations)


def test_an_agreed_outage_kills_no_work() -> None:
    """All lack the state service: leases are renewed for as long as all say so."""
    world = busy_world(guessS=60.0)
    before = {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}
    world.store.start_outage(40)
    world.run(39)
    assert {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()} == before


def test_a_job_survives_the_loss_of_all_controllers() -> None:
    world = busy_world(guessS=12.0)
    for name in world.controller_names:
        world.nodes[name].kill()
    world.run(2)
    for name in world.controller_names:
        world.nodes[name].start()
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    assert world.invariants.violations == []
    answer = world.poll_job("j-1", "c2")
    assert answer is not None
    assert answer[1]["status"] == "done"


def test_a_lost_machine_is_replaced_and_its_tasks_run_again() -> None:
    world = busy_world(guessS=10.0)
    agent, _ = world.invariants.running_tasks()[0]
    agent.die()
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    assert world.invariants.violations == []


def test_a_cut_off_leader_is_replaced_and_gives_way() -> None:
    world = busy_world(guessS=15.0)
    old = leader_of(world)
    world.isolate(old, *world.agents)
    world.run(25)
    assert leader_of_others(world, old) != old
    world.heal()
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    assert world.invariants.violations == []


def leader_of_others(world: World, old: str) -> str:
    views = [
        node.controller.state.view for name, node in world.nodes.items() if name != old and node.controller is not None
    ]
    return max((view for view in views if view is not None), key=lambda view: view.number).leader


def test_a_job_that_fails_everywhere_leaves_the_counts() -> None:
    world = started_world(5)
    world.define_job("j-1", pieces=2)
    assert world.submit_until_accepted("j-1", "c1")
    world.run(1)
    for _ in range(300):
        for agent in world.agents.values():
            agent.is_faulty = True
        world.run(0.1)
    assert len(world.agents) < 8
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    nodes = [node.controller for node in world.nodes.values() if node.controller is not None]
    schedulers = [one.state.scheduler for one in nodes if one.state.scheduler is not None]
    works = [job_state for scheduler in schedulers for job_state in scheduler.jobs.values()]
    assert any(job_state.backoff > 0 * S for job_state in works)


def test_idle_machines_are_returned_down_to_the_pool() -> None:
    world = busy_world(guessS=9.0)
    assert world.run_until(lambda: world.is_done("j-1"), 40)
    world.run(80)
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    assert sum(agent.alive for agent in world.agents.values()) == controller.state.tuning.pool_size


def test_services_of_a_machine_that_runs_few_move_together() -> None:
    """All stay up but for the moment of the move, and the machine goes back."""
    world = started_world(6, members=1)
    for number in range(8):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=2.0)
        assert world.submit_until_accepted(f"j-{number}", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 20)
    used: dict[str, list[str]] = {}
    for agent, task in world.invariants.running_tasks():
        used.setdefault(agent.host, []).append(task.job_id)
    assert len(used) == 2
    for job_ids in used.values():
        assert world.cancel_job(job_ids[0], "c0")
        assert world.cancel_job(job_ids[1], "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) == 1, 90)
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 4, 5)
    assert world.run_until(lambda: sum(agent.alive for agent in world.agents.values()) == 2, 30), "one for the pool"
    assert world.invariants.violations == []


def live_after_a_late_copy(with_conditions: bool) -> bool:
    """A job is accepted and cancelled; then a late copy of the transaction that accepted it arrives.

    True when the job is among the live ones again.
    """
    world = started_world(8)
    sent: list[dict[str, Any]] = []
    carry_out = world.store._transact

    def note(transaction: dict[str, Any], respond: Respond) -> None:
        sent.append(transaction)
        carry_out(transaction, respond)

    world.store._transact = note  # type: ignore[method-assign]
    world.define_job("j-2", pieces=3, guessS=60.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: world.cancel_job("j-2", "c2"), 10)
    copy = next(txn for txn in sent if any(change.get("put") == "live/job/j-2" for change in txn["then"]))
    carry_out(copy if with_conditions else copy | {"when": []}, lambda status, body: None)
    world.run(3)
    answers = [world.poll_job("j-2", name) for name in world.controller_names]
    assert [answer[1]["status"] for answer in answers if answer is not None] == ["withdrawn"] * 3
    return "live/job/j-2" in world.store.entries


def test_late_copies_of_transactions_do_nothing() -> None:
    assert not live_after_a_late_copy(with_conditions=True)


def test_without_conditions_a_late_copy_brings_a_cancelled_job_back() -> None:
    assert live_after_a_late_copy(with_conditions=False)


def test_requests_repeated_at_any_later_time_break_nothing() -> None:
    world = started_world(8)
    world.duplication_rate = 1.0
    world.define_job("j-1", pieces=3, guessS=4.0)
    assert world.submit_until_accepted("j-1", "c0")
    world.define_job("j-2", pieces=3, guessS=60.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: world.cancel_job("j-2", "c2"), 10)
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    world.run(25)
    for name in world.controller_names:
        answer = world.poll_job("j-2", name)
        assert answer is not None
        assert (answer[0], answer[1]["status"]) == (200, "withdrawn")
    assert world.invariants.violations == []


def test_answers_to_users_while_the_state_service_is_down() -> None:
    world = busy_world(guessS=60.0)
    world.store.start_outage(10)
    world.run(3)
    answer = world.poll_job("j-1", "c0")
    assert answer is not None
    assert answer[0] == 503
    unknown = world.poll_job("j-999", "c0")
    assert unknown is not None
    assert unknown[0] == 503
    world.run(12)
    answer = world.poll_job("j-1", "c0")
    assert answer is not None
    assert answer[1]["running"] == 6
    unknown = world.poll_job("j-999", "c0")
    assert unknown is not None
    assert unknown[0] == 404


def test_a_change_of_view_costs_no_healthy_machine() -> None:
    """Old machines have not reported in the new view yet; that is no reason to give them back."""
    world = busy_world(guessS=200.0)
    world.run(40)
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    world.nodes[leader_of(world)].kill()
    world.run(30)
    assert {agent.host for agent, _ in world.invariants.running_tasks()} == before


def test_a_service_of_higher_rank_takes_the_room_of_an_array() -> None:
    world = started_world(4, capacity=2)
    world.define_job("j-1", pieces=8, cores=2.0, guessS=300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 30)
    world.define_job("j-2", shape="service", rank="production", pieces=1, cores=4.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: any(t.job_id == "j-2" for _, t in world.invariants.running_tasks()), 10)
    assert sum(t.job_id == "j-1" for _, t in world.invariants.running_tasks()) == 6
    assert world.invariants.violations == []


def crash_in_an_outage(world: World, outage: float) -> list[set[tuple[str, int, int]]]:
    """Two controllers start anew while all lack the state service; what runs before and at each second from then on.

    What they confirmed before they ended nobody knows.
    """
    found = [{(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}]
    world.store.start_outage(outage)
    world.run(3)
    for name in ("c0", "c1"):
        world.nodes[name].kill()
        world.run(1)
        world.nodes[name].start()
    for _ in range(40):
        world.run(1)
        found.append({(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()})
    return found


def test_a_crash_during_a_short_outage_kills_no_work() -> None:
    found = crash_in_an_outage(busy_world(guessS=90.0), 8)
    assert all(running == found[0] for running in found)


def test_a_crash_during_a_long_outage_ends_work_in_time_for_what_was_confirmed_before_it() -> None:
    """The crash is 3 s into the outage, and what was confirmed just before it has `cancel_s`, 20 s, from then."""
    world = busy_world(guessS=90.0)
    found = crash_in_an_outage(world, 30)
    assert found[17] == set(), "gone in time"
    assert found[4] == found[0], "but not before it must"
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30), "it runs again afterwards"
    assert world.invariants.violations == []


def test_machines_that_boot_do_not_hold_up_a_new_view(monkeypatch: pytest.MonkeyPatch) -> None:
    world = busy_world(guessS=200.0)
    monkeypatch.setattr(Agent, "boot", lambda self: None)
    world.define_job("j-2", pieces=12, cores=4.0)
    assert world.submit_until_accepted("j-2", "c0")
    assert world.run_until(lambda: sum(not agent.fencing_token for agent in world.agents.values()) >= 3, 20)
    old = leader_of(world)
    world.nodes[old].kill()
    rest = [world.nodes[name] for name in world.controller_names if name != old]
    assert world.run_until(
        lambda: all(n.controller is not None and n.controller.state.view.leader != old for n in rest), 10
    )
    assert world.run_until(lambda: all(n.controller is not None and n.controller.state.reconciled for n in rest), 5)
    assert world.invariants.violations == []


def test_an_old_list_brings_back_no_returned_machine() -> None:
    """The cloud goes down right after a machine was returned; its last list still shows the machine."""
    world = busy_world(guessS=9.0)
    assert world.run_until(lambda: world.is_done("j-1"), 40)
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    assert world.run_until(lambda: controller.state.counters["returns"] > 0, 60)
    gone = next(host for host, agent in world.agents.items() if not agent.alive)
    row = {"ref": gone, "rig": "m", "yard": "a", "loaners": False, "status": "running"}
    world.cloud.listing[gone] = row  # the list lags
    world.run(5)
    world.cloud.is_down = True
    world.run(60)
    assert gone not in controller.state.machines


def make_unreachable(world: World) -> Agent:
    """The answers to one machine get lost while its reports arrive, and the cloud takes no returns."""
    agent, _ = world.invariants.running_tasks()[0]
    world.hosts_without_responses.add(agent.host)
    world.cloud.is_down = True
    return agent


def starts_while_unreachable(world: World) -> int:
    """How many launches went to a machine whose lease had run out because it hears nothing."""
    agent = make_unreachable(world)
    world.run(10)
    assert agent.agent_epoch > 1
    assert not agent.tasks
    world.define_job("j-2", pieces=24, cores=2.0, guessS=30.0)
    assert world.submit_until_accepted("j-2", "c0")
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.state.shard is not None
    machine, most = controller.state.shard.machines[agent.host], 0
    for _ in range(200):
        world.run(0.1)
        most = max(most, sum(entry.phase.value == "sent" for entry in machine.entries.values()))
    return most


def test_nothing_is_started_on_an_unreachable_machine() -> None:
    world = busy_world(members=1, guessS=60.0)
    assert starts_while_unreachable(world) == 0
    world.heal()
    world.cloud.is_down = False
    assert world.run_until(lambda: world.is_done("j-1") and world.is_done("j-2"), 200)
    assert world.invariants.violations == []


def test_without_that_guard_tasks_are_started_on_unreachable_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeartbeatIntake, "_mark_unreachable", lambda self, machine, now: None)
    assert starts_while_unreachable(busy_world(members=1, guessS=60.0)) > 0


def test_a_cancellation_ends_in_time_on_a_machine_that_does_not_hear() -> None:
    world = busy_world(guessS=500.0)
    make_unreachable(world)
    assert world.run_until(lambda: world.cancel_job("j-1", "c1"), 10)
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()
    assert world.invariants.violations == []
    assert not world.invariants.running_tasks()


def test_a_member_that_is_unheard_for_long_loses_no_machines() -> None:
    """The controllers refuse each other's connections: that a machine's owner is not heard says nothing of it."""
    world = busy_world(guessS=200.0)
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    for one in world.controller_names:
        for other in world.controller_names:
            world.cut_link(one, other)
    world.run(40)
    assert {agent.host for agent, _ in world.invariants.running_tasks()} == before


def test_a_user_at_a_controller_that_lost_the_state_service_is_told_at_once() -> None:
    world = busy_world(guessS=60.0)
    world.isolate("c1", *world.agents)
    world.run(4)
    got: list[tuple[int, dict[str, str]]] = []
    body = json.dumps(job_spec("j-5")).encode()
    world.request(
        "c1", lambda c: c.job_api.submit(body, lambda status, response, headers: got.append((status, headers)))
    )
    world.request(
        "c1", lambda c: c.job_api.poll("j-1", lambda status, response, headers: got.append((status, headers)))
    )
    assert [(status, "Retry-After" in headers) for status, headers in got] == [(503, True)] * 2


def seconds_to_settle(world: World) -> float:
    """A controller leaves while users cancel one service after the other.

    So some task of a job that is over is always on its way out.
    """
    for number in range(60):
        world.define_job(f"j-{number + 10}", shape="service", pieces=1, cores=0.5)
        world.after(number * 0.05 * S, lambda job_id=f"j-{number + 10}": submit_job(world, world.rng, job_id))  # type: ignore[misc]
    world.run(25)
    for number in range(60):
        world.after(number * 0.3 * S, lambda job_id=f"j-{number + 10}": cancel_job(world, world.rng, job_id))  # type: ignore[misc]
    world.run(1)
    gone = next(name for name in world.controller_names if name != leader_of(world))
    world.nodes[gone].kill()
    rest = [node.controller for name, node in world.nodes.items() if name != gone and node.controller is not None]
    assert world.run_until(lambda: all(c.state.view is not None and gone not in c.state.view.members for c in rest), 10)
    began = world.now
    assert world.run_until(lambda: all(c.state.reconciled for c in rest), 30)
    assert world.invariants.violations == []
    return (world.now - began) / S


def test_a_view_settles_while_jobs_are_cancelled_all_the_time() -> None:
    assert seconds_to_settle(started_world(9, teams={"team": 300.0})) < 7, "over seeds 3 to 6 s; the lease is 8 s"


def test_without_the_memory_of_what_was_clear_it_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgetful(machine_index: MachineIndex, host: ObservedMachine) -> bool:
        return host.is_reconciled and all(
            row[0] in machine_index._jobs or row[3] in FINISHED_PHASE_NAMES for row in host.tasks
        )

    monkeypatch.setattr(MachineIndex, "check_all_tasks_known", forgetful)
    # Announced tokens settle the machines at once, in the short moments between two cancellations, too.
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, token, addresses: None)
    assert seconds_to_settle(started_world(9, teams={"team": 300.0})) > 8


def test_one_silent_machine_does_not_hold_up_a_view_for_its_lease() -> None:
    """It is returned, and the answer proves it gone; a machine that is only slow to find its owner is not."""
    world = busy_world(guessS=200.0)
    lost, _ = world.invariants.running_tasks()[0]
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    lost.die()
    gone = next(name for name in world.controller_names if name != leader_of(world))
    world.nodes[gone].kill()
    rest = [node.controller for name, node in world.nodes.items() if name != gone and node.controller is not None]
    assert world.run_until(lambda: all(c.state.view is not None and gone not in c.state.view.members for c in rest), 10)
    assert world.run_until(lambda: all(c.state.reconciled for c in rest), 4.5), (
        "the lease is 8 s, and silence shows after 3 s"
    )
    world.run(20)
    assert before - {lost.host} <= {agent.host for agent, _ in world.invariants.running_tasks()}
    assert world.invariants.violations == []


def seconds_to_settle_over_views(world: World) -> float:
    """A machine dies while nothing can be returned; then another controller is replaced again and again."""
    world.cloud.is_down = True
    lost, _ = world.invariants.running_tasks()[0]
    lost.die()
    other = next(name for name in world.controller_names if name not in (owner_of(world, lost.host), leader_of(world)))
    began, controller = world.now, world.nodes[owner_of(world, lost.host)].controller
    assert controller is not None
    for _ in range(3):
        world.nodes[other].kill()
        world.run(0.5)
        world.nodes[other].start()
        world.run(2)
    assert controller.state.view is not None
    assert not controller.state.reconciled
    assert world.run_until(lambda: controller.state.reconciled, 30)
    assert world.invariants.violations == []
    return (world.now - began) / S


def test_a_machine_that_keeps_its_owner_is_not_counted_anew_in_each_view() -> None:
    assert seconds_to_settle_over_views(busy_world(guessS=200.0)) < 13, "the lease is 8 s"


def test_without_that_knowledge_each_view_waits_a_whole_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Shard, "last_possible_replies", lambda self, others_end: {})
    assert seconds_to_settle_over_views(busy_world(guessS=200.0)) > 13


def test_a_controller_left_with_its_agents_alone_lets_them_go_soon() -> None:
    """It may renew their leases, but the others, which may start nothing meanwhile, wait for its end."""
    world = World(3)
    world.cancel_s = 60.0
    for node in world.nodes.values():
        node.start()
    world.run(5)
    world.define_job("j-1", pieces=6, cores=4.0, guessS=200.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    before = {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}
    cut_off = next(name for name in world.controller_names if name != leader_of(world))
    world.isolate(cut_off, *world.agents)
    rest = [node.controller for name, node in world.nodes.items() if name != cut_off and node.controller is not None]
    assert world.run_until(
        lambda: all(c.state.view is not None and cut_off not in c.state.view.members for c in rest), 10
    )
    assert world.run_until(lambda: all(c.state.reconciled for c in rest), 12)
    assert {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()} == before
    assert world.invariants.violations == []


def test_a_member_whose_lease_expired_is_another_one_from_then_on() -> None:
    """The others count its authority from `LIFE` before they left it out, so it must not act on under a new grant."""
    world = busy_world(guessS=200.0)
    name = next(name for name in world.controller_names if name != leader_of(world))
    controller = world.nodes[name].controller
    assert controller is not None
    before = controller.membership.incarnation
    world.store.refused_callers.add(name)
    world.run(5)
    world.store.refused_callers.clear()
    assert world.run_until(lambda: controller.membership.incarnation != before, 5)
    assert not controller.authority.may_reply(), "the old view is over for it"
    assert world.run_until(lambda: controller.state.reconciled and controller.authority.may_reply(), 15)
    assert controller.state.view is not None
    assert controller.state.view.members[name] == controller.membership.incarnation
    assert world.invariants.violations == []


def busy_part(world: World) -> tuple[str, list[str]]:
    """A controller with tasks on its machines, and all these machines."""
    busy = {agent.host for agent, _ in world.invariants.running_tasks()}
    name = next(name for name in world.controller_names if any(owner_of(world, host) == name for host in busy))
    return name, [host for host, agent in world.agents.items() if agent.alive and owner_of(world, host) == name]


def cut_off_a_zone(world: World) -> None:
    """A controller and half of the machines hear only each other for well over a lease; then held packets arrive."""
    world.cloud.is_down = world.holds_requests_on_cut_links = True
    world.isolate_with(*busy_part(world))
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()
    world.heal()
    world.run(15)


def test_tasks_of_a_zone_that_is_cut_off_run_again_only_when_they_are_gone() -> None:
    world = busy_world(guessS=500.0)
    before = sum(agent.alive for agent in world.agents.values())
    cut_off_a_zone(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6, "all run again"
    assert sum(agent.alive for agent in world.agents.values()) >= before, "its machines are of use again"


def test_when_the_controller_in_there_renews_without_proof_they_run_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Authority, "may_renew", lambda self: True)
    world = busy_world(guessS=500.0)
    cut_off_a_zone(world)
    assert any("ran_twice" in rule for rule in world.invariants.violations)


def hang_half(world: World, seconds: float) -> list[Agent]:
    hung = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[::2]
    for host in hung:
        world.agents[host].hang(seconds)
    for _ in range(int(seconds * 10) + 100):
        world.run(0.1)
        world.invariants.check()
    return [world.agents[host] for host in hung]


def test_machines_that_hang_past_their_lease_come_back_empty_and_are_used_again() -> None:
    world = busy_world(guessS=500.0)
    hung = hang_half(world, 12)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6
    assert all(agent.alive and agent.agent_epoch == 2 for agent in hung)
    world.define_job("j-2", pieces=40, cores=1.0, guessS=30.0)
    assert world.submit_until_accepted("j-2", "c0")
    assert world.run_until(lambda: any(agent.tasks for agent in hung), 20)
    assert world.invariants.violations == []


def test_given_up_before_their_leases_end_their_tasks_run_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    world = busy_world(guessS=500.0)
    for node in world.nodes.values():
        assert node.controller is not None
        assert node.controller.state.shard is not None
        monkeypatch.setattr(node.controller.state.shard.leases, "_lease_duration", 2 * S)
    hang_half(world, 12)
    assert any("ran_twice" in rule for rule in world.invariants.violations)


def test_a_controller_that_stood_still_starts_nothing_by_what_it_knew() -> None:
    """Others took over meanwhile; timers, reports and messages of 12 s are due at once when it goes on."""
    world = busy_world(guessS=15.0)
    frozen = leader_of(world)
    world.define_job("j-2", pieces=12, cores=2.0, guessS=10.0)
    world.request(
        frozen, lambda c: c.job_api.submit(json.dumps(world.job_specs["j-2"]).encode(), lambda *_response: None)
    )
    world.nodes[frozen].freeze(12)
    world.run(11.9)
    controller = world.nodes[frozen].controller
    assert controller is not None
    assert leader_of_others(world, frozen) != frozen
    starts = controller.state.counters["starts"]
    world.run(0.2)
    assert controller.state.counters["starts"] == starts
    assert not controller.authority.may_start()
    assert world.run_until(
        lambda: world.is_done("j-1") and (not world.submit_until_accepted("j-2", "c0") or world.is_done("j-2")), 90
    )
    assert world.invariants.violations == []


def refuse_all_then_serve_two(world: World) -> None:
    """Each controller is refused by itself, so grants run out although all agree that they lack the state service.

    Two are served again and leave out the third, which is cut off with its agents by then.
    """
    world.cloud.is_down = True
    third, machines = busy_part(world)
    world.store.refused_callers.update(world.controller_names)
    world.run(4)
    world.isolate_with(third, machines)
    world.run(0.05)
    world.store.refused_callers.intersection_update({third})
    for _ in range(300):
        world.run(0.1)
        world.invariants.check()


def test_no_authority_outlives_a_lease_that_expired_while_all_were_refused() -> None:
    world = busy_world(guessS=500.0)
    refuse_all_then_serve_two(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6, "all run, those of the third elsewhere"


def test_when_agreement_counts_like_a_living_lease_tasks_run_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    agreement = Peers.store_unavailable_agreed_at
    later = lambda peers: at + LEASE_TIMEOUT if (at := agreement(peers)) is not None else None  # noqa: E731
    monkeypatch.setattr(Peers, "store_unavailable_agreed_at", later)
    world = busy_world(guessS=500.0)
    refuse_all_then_serve_two(world)
    assert any("ran_twice" in rule for rule in world.invariants.violations)
