"""Whole controllers in the virtual world, checked against the invariants of the protocol.

The tests guard against these failures, several of them also with one guard taken away, to show that it is needed:

- Generated histories of faults violate an invariant, leave an accepted job unknown or starved, or let an index differ
  from what it is derived from.
- A task runs twice, a cancelled task runs on, or tasks are lost when controllers or machines crash, hang or stall, when
  links are cut, or when the key-value store or the cloud has an outage.
- Late copies of requests bring a cancelled job back, or an outdated list of the cloud brings a returned machine back.
- A new view waits longer than necessary until all machines are reconciled.
"""

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
    SECOND,
    Agent,
    Respond,
    World,
    busy_world,
    cancel_job,
    check_indexes,
    end_faults,
    job_spec,
    leader_of,
    longest_starvation,
    owner_of,
    play_history,
    started_world,
    submit_job,
)


@pytest.mark.parametrize("seed", range(28))
def test_generated_histories_violate_no_invariant(seed: int) -> None:
    world = play_history(seed)
    assert world.invariants.violations == []
    assert world.invariants.start_count > 0
    # Every accepted job stays known: once the faults are over, any controller answers for it.
    end_faults(world)
    waited, job_id = longest_starvation(world, 100)
    assert waited < 90 * SECOND, f"{job_id} waits although there is room for it"
    known = {key.split("/")[-1] for key in world.store.entries if key.startswith(("live/job/", "ended/"))}
    assert world.accepted_jobs <= known
    for job_id in known:
        for name in world.controller_names:
            answer = world.poll_job(job_id, name)
            assert answer is not None, (job_id, name)
            assert answer[0] == 200, (job_id, name, answer)
    assert world.invariants.violations == []


@pytest.mark.parametrize("seed", range(100, 108))
def test_indexes_agree_with_a_full_recomputation(seed: int) -> None:
    world = play_history(seed, 40.0, periodic_check=check_indexes)
    assert world.invariants.start_count > 0


def restart_all_with_a_machine_cut_off(world: World) -> None:
    """Cut a machine with a running task off from all controllers, and restart all controllers."""
    agent, _ = world.invariants.running_tasks()[0]
    for name in world.controller_names:
        world.cut_link(agent.host, name)
    for name in world.controller_names:
        world.nodes[name].kill()
    for name in world.controller_names:
        world.nodes[name].start()
    world.run(15)


def test_no_task_runs_twice_when_controllers_restart_while_a_machine_is_cut_off() -> None:
    world = busy_world()
    restart_all_with_a_machine_cut_off(world)
    assert world.invariants.violations == []


def test_task_runs_twice_without_the_wait_for_unreconciled_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda reconciliation: {})
    world = busy_world()
    restart_all_with_a_machine_cut_off(world)
    assert any("ran_twice" in violation for violation in world.invariants.violations)


def cancel_while_the_owner_is_isolated(world: World) -> None:
    """Cut the owner of a machine off from all but its agents, and cancel the job at another controller meanwhile.

    The cloud is down, so that machines that are silent for the others cannot be returned.
    """
    world.cloud.is_down = True
    agent, _ = world.invariants.running_tasks()[0]
    owner = owner_of(world, agent.host)
    world.isolate(owner, *world.agents)
    world.run(6)
    other = next(name for name in world.controller_names if name != owner)
    assert world.run_until(lambda: world.cancel_job("j-1", other), 10)
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()


def test_cancelled_task_ends_in_time_when_its_owner_is_left_with_its_agents_alone() -> None:
    world = busy_world(guessS=500.0)
    cancel_while_the_owner_is_isolated(world)
    assert world.invariants.violations == []


def test_cancelled_task_runs_on_without_the_authority_check_of_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Agents that know the new fencing token ignore the former owner, so the token is not announced to them either."""
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, token, addresses: None)
    monkeypatch.setattr(Authority, "may_reply", lambda authority: authority._membership.is_serving)
    world = busy_world(guessS=500.0)
    cancel_while_the_owner_is_isolated(world)
    assert any("ran_cancelled" in violation for violation in world.invariants.violations)


def test_no_task_is_lost_when_all_controllers_agree_on_a_store_outage() -> None:
    """Leases are renewed for as long as all controllers reply that they do not reach the key-value store either."""
    world = busy_world(guessS=60.0)
    before = {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}
    world.store.start_outage(40)
    world.run(39)
    assert {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()} == before


def test_job_finishes_when_all_controllers_were_restarted() -> None:
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


def test_job_finishes_when_one_of_its_machines_died() -> None:
    world = busy_world(guessS=10.0)
    agent, _ = world.invariants.running_tasks()[0]
    agent.terminate()
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    assert world.invariants.violations == []


def test_isolated_leader_is_replaced_and_the_job_finishes_when_the_links_are_healed() -> None:
    world = busy_world(guessS=15.0)
    old_leader = leader_of(world)
    world.isolate(old_leader, *world.agents)
    world.run(25)
    assert leader_of_others(world, old_leader) != old_leader
    world.heal()
    assert world.run_until(lambda: world.is_done("j-1"), 60)
    assert world.invariants.violations == []


def leader_of_others(world: World, excluded: str) -> str:
    """Return the leader of the newest view that controllers other than `excluded` know."""
    views = [
        node.controller.state.view
        for name, node in world.nodes.items()
        if name != excluded and node.controller is not None
    ]
    return max((view for view in views if view is not None), key=lambda view: view.number).leader


def test_job_that_fails_everywhere_backs_off_and_causes_few_rentals() -> None:
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
    controllers = [node.controller for node in world.nodes.values() if node.controller is not None]
    schedulers = [
        running_controller.state.scheduler
        for running_controller in controllers
        if running_controller.state.scheduler is not None
    ]
    job_states = [job_state for scheduler in schedulers for job_state in scheduler.jobs.values()]
    assert any(job_state.backoff > 0 * SECOND for job_state in job_states)


def test_idle_machines_are_returned_except_for_the_pool() -> None:
    world = busy_world(guessS=9.0)
    assert world.run_until(lambda: world.is_done("j-1"), 40)
    world.run(80)
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    assert sum(agent.alive for agent in world.agents.values()) == controller.state.tuning.pool_size


def test_services_move_together_when_their_machines_run_few_of_them() -> None:
    """All services run again within 5 s after the move, and the machine that was emptied is returned."""
    world = started_world(6, members=1)
    for number in range(8):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=2.0)
        assert world.submit_until_accepted(f"j-{number}", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 20)
    job_ids_by_host: dict[str, list[str]] = {}
    for agent, task in world.invariants.running_tasks():
        job_ids_by_host.setdefault(agent.host, []).append(task.job_id)
    assert len(job_ids_by_host) == 2
    for job_ids in job_ids_by_host.values():
        assert world.cancel_job(job_ids[0], "c0")
        assert world.cancel_job(job_ids[1], "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) == 1, 90)
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 4, 5)
    assert world.run_until(lambda: sum(agent.alive for agent in world.agents.values()) == 2, 30), (
        "one runs the services and one is in the pool"
    )
    assert world.invariants.violations == []


def is_live_after_late_copy(with_conditions: bool) -> bool:
    """Return whether a cancelled job has a live record again after a late copy of the transaction that accepted it.

    Without `with_conditions`, the copy has no conditions.
    """
    world = started_world(8)
    sent: list[dict[str, Any]] = []
    transact = world.store._transact

    def record_and_transact(transaction: dict[str, Any], respond: Respond) -> None:
        sent.append(transaction)
        transact(transaction, respond)

    world.store._transact = record_and_transact  # type: ignore[method-assign]
    world.define_job("j-2", pieces=3, guessS=60.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: world.cancel_job("j-2", "c2"), 10)
    copy = next(
        transaction
        for transaction in sent
        if any(change.get("put") == "live/job/j-2" for change in transaction["then"])
    )
    transact(copy if with_conditions else copy | {"when": []}, lambda status, body: None)
    world.run(3)
    answers = [world.poll_job("j-2", name) for name in world.controller_names]
    assert [answer[1]["status"] for answer in answers if answer is not None] == ["withdrawn"] * 3
    return "live/job/j-2" in world.store.entries


def test_late_copy_of_a_transaction_does_not_bring_a_cancelled_job_back() -> None:
    assert not is_live_after_late_copy(with_conditions=True)


def test_late_copy_brings_a_cancelled_job_back_without_the_conditions_of_transactions() -> None:
    assert is_live_after_late_copy(with_conditions=False)


def test_no_invariant_is_violated_when_every_request_is_repeated_later() -> None:
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


def test_polls_are_answered_503_while_the_store_is_down_and_correctly_afterwards() -> None:
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


def test_healthy_machines_are_kept_when_the_view_changes() -> None:
    """A machine must not count as silent because its first heartbeat in the new view is still to come."""
    world = busy_world(guessS=200.0)
    world.run(40)
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    world.nodes[leader_of(world)].kill()
    world.run(30)
    assert {agent.host for agent, _ in world.invariants.running_tasks()} == before


def test_service_of_higher_rank_preempts_tasks_of_an_array_when_there_is_no_room() -> None:
    world = started_world(4, capacity=2)
    world.define_job("j-1", pieces=8, cores=2.0, guessS=300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 30)
    world.define_job("j-2", shape="service", rank="production", pieces=1, cores=4.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: any(t.job_id == "j-2" for _, t in world.invariants.running_tasks()), 10)
    assert sum(t.job_id == "j-1" for _, t in world.invariants.running_tasks()) == 6
    assert world.invariants.violations == []


def restart_two_controllers_in_an_outage(world: World, outage_s: float) -> list[set[tuple[str, int, int]]]:
    """Restart two controllers in an outage of the key-value store; no process knows what the killed ones confirmed.

    Return the running attempts before the outage, and after each of the 40 seconds that follow the restarts.
    """
    running_by_second = [{(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}]
    world.store.start_outage(outage_s)
    world.run(3)
    for name in ("c0", "c1"):
        world.nodes[name].kill()
        world.run(1)
        world.nodes[name].start()
    for _ in range(40):
        world.run(1)
        running_by_second.append({(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()})
    return running_by_second


def test_no_task_is_lost_when_controllers_restart_in_a_short_outage() -> None:
    running_by_second = restart_two_controllers_in_an_outage(busy_world(guessS=90.0), 8)
    assert all(running == running_by_second[0] for running in running_by_second)


def test_tasks_end_within_the_cancellation_timeout_when_controllers_restart_in_a_long_outage() -> None:
    """A cancellation may be confirmed just before the first controller is killed, 3 s into the outage.

    `cancel_s` is 20 s. The restarts are over 5 s into the outage, from which the attempts are recorded each second.
    """
    world = busy_world(guessS=90.0)
    running_by_second = restart_two_controllers_in_an_outage(world, 30)
    assert running_by_second[17] == set(), "all tasks ended in time"
    assert running_by_second[4] == running_by_second[0], "no task ends earlier than necessary"
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30), (
        "the job runs again after the outage"
    )
    assert world.invariants.violations == []


def test_new_view_does_not_wait_for_machines_that_have_not_booted(monkeypatch: pytest.MonkeyPatch) -> None:
    world = busy_world(guessS=200.0)
    monkeypatch.setattr(Agent, "boot", lambda _agent: None)
    world.define_job("j-2", pieces=12, cores=4.0)
    assert world.submit_until_accepted("j-2", "c0")
    assert world.run_until(lambda: sum(not agent.fencing_token for agent in world.agents.values()) >= 3, 20)
    old_leader = leader_of(world)
    world.nodes[old_leader].kill()
    others = [world.nodes[name] for name in world.controller_names if name != old_leader]
    assert world.run_until(
        lambda: all(node.controller is not None and node.controller.state.view.leader != old_leader for node in others),
        10,
    )
    assert world.run_until(
        lambda: all(node.controller is not None and node.controller.state.reconciled for node in others), 5
    )
    assert world.invariants.violations == []


def test_returned_machine_stays_removed_when_an_outdated_list_of_the_cloud_shows_it() -> None:
    """The cloud goes down after the machine was returned, and the last list that it gave still contains the machine."""
    world = busy_world(guessS=9.0)
    assert world.run_until(lambda: world.is_done("j-1"), 40)
    controller = world.nodes[leader_of(world)].controller
    assert controller is not None
    assert world.run_until(lambda: controller.state.counters["returns"] > 0, 60)
    returned_host = next(host for host, agent in world.agents.items() if not agent.alive)
    row = {"ref": returned_host, "rig": "m", "yard": "a", "loaners": False, "status": "running"}
    world.cloud.listing[returned_host] = row  # The list of the cloud lags behind the returns.
    world.run(5)
    world.cloud.is_down = True
    world.run(60)
    assert returned_host not in controller.state.machines


def make_machine_unreachable(world: World) -> Agent:
    """Drop the responses to one machine, whose heartbeats arrive, and have the cloud refuse all returns."""
    agent, _ = world.invariants.running_tasks()[0]
    world.hosts_without_responses.add(agent.host)
    world.cloud.is_down = True
    return agent


def starts_sent_while_unreachable(world: World) -> int:
    """Return the most attempts in phase `sent` at any time on a machine whose lease expired for lack of responses."""
    agent = make_machine_unreachable(world)
    world.run(10)
    assert agent.agent_epoch > 1
    assert not agent.tasks
    world.define_job("j-2", pieces=24, cores=2.0, guessS=30.0)
    assert world.submit_until_accepted("j-2", "c0")
    controller = world.nodes["c0"].controller
    assert controller is not None
    assert controller.state.shard is not None
    machine, most_starts = controller.state.shard.machines[agent.host], 0
    for _ in range(200):
        world.run(0.1)
        most_starts = max(most_starts, sum(entry.phase.value == "sent" for entry in machine.entries.values()))
    return most_starts


def test_no_task_is_started_on_an_unreachable_machine() -> None:
    world = busy_world(members=1, guessS=60.0)
    assert starts_sent_while_unreachable(world) == 0
    world.heal()
    world.cloud.is_down = False
    assert world.run_until(lambda: world.is_done("j-1") and world.is_done("j-2"), 200)
    assert world.invariants.violations == []


def test_tasks_are_started_on_a_machine_that_is_not_marked_unreachable(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeartbeatIntake, "_mark_unreachable", lambda intake, machine, now: None)
    assert starts_sent_while_unreachable(busy_world(members=1, guessS=60.0)) > 0


def test_cancelled_tasks_end_in_time_on_a_machine_that_gets_no_responses() -> None:
    world = busy_world(guessS=500.0)
    make_machine_unreachable(world)
    assert world.run_until(lambda: world.cancel_job("j-1", "c1"), 10)
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()
    assert world.invariants.violations == []
    assert not world.invariants.running_tasks()


def test_no_machine_is_returned_when_controllers_do_not_reach_each_other() -> None:
    """Missing messages of a machine's owner do not show that the machine is silent."""
    world = busy_world(guessS=200.0)
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    for name in world.controller_names:
        for other in world.controller_names:
            world.cut_link(name, other)
    world.run(40)
    assert {agent.host for agent, _ in world.invariants.running_tasks()} == before


def test_users_are_answered_503_at_once_by_a_controller_cut_off_from_the_store() -> None:
    world = busy_world(guessS=60.0)
    world.isolate("c1", *world.agents)
    world.run(4)
    answers: list[tuple[int, dict[str, str]]] = []
    body = json.dumps(job_spec("j-5")).encode()
    world.request(
        "c1",
        lambda controller: controller.job_api.submit(
            body, lambda status, response, headers: answers.append((status, headers))
        ),
    )
    world.request(
        "c1",
        lambda controller: controller.job_api.poll(
            "j-1", lambda status, response, headers: answers.append((status, headers))
        ),
    )
    assert [(status, "Retry-After" in headers) for status, headers in answers] == [(503, True)] * 2


def reconciliation_seconds_during_cancellations(world: World) -> float:
    """Kill a controller while users cancel one service after the other; return how long the reconciliation takes.

    At any moment, a task of a job that was just cancelled is still on some machine.
    """
    for number in range(60):
        world.define_job(f"j-{number + 10}", shape="service", pieces=1, cores=0.5)
        world.after(number * 0.05 * SECOND, lambda job_id=f"j-{number + 10}": submit_job(world, world.rng, job_id))  # type: ignore[misc]
    world.run(25)
    for number in range(60):
        world.after(number * 0.3 * SECOND, lambda job_id=f"j-{number + 10}": cancel_job(world, world.rng, job_id))  # type: ignore[misc]
    world.run(1)
    killed = next(name for name in world.controller_names if name != leader_of(world))
    world.nodes[killed].kill()
    others = [node.controller for name, node in world.nodes.items() if name != killed and node.controller is not None]
    assert world.run_until(
        lambda: all(other.state.view is not None and killed not in other.state.view.members for other in others), 10
    )
    started_at = world.now
    assert world.run_until(lambda: all(other.state.reconciled for other in others), 30)
    assert world.invariants.violations == []
    return (world.now - started_at) / SECOND


def test_view_is_reconciled_in_time_while_jobs_are_cancelled_all_the_time() -> None:
    assert reconciliation_seconds_during_cancellations(started_world(9, teams={"team": 300.0})) < 7, (
        "it takes 3 to 6 s, depending on the seed; the lease is 8 s"
    )


def test_view_waits_past_a_lease_during_cancellations_without_the_kept_result_of_known_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def check_without_kept_result(machine_index: MachineIndex, machine: ObservedMachine) -> bool:
        return machine.is_reconciled and all(
            row[0] in machine_index._jobs or row[3] in FINISHED_PHASE_NAMES for row in machine.tasks
        )

    monkeypatch.setattr(MachineIndex, "check_all_tasks_known", check_without_kept_result)
    # Announced tokens would let all machines be reconciled in the short moments between two cancellations.
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, token, addresses: None)
    assert reconciliation_seconds_during_cancellations(started_world(9, teams={"team": 300.0})) > 8


def test_view_does_not_wait_for_the_lease_of_one_silent_machine() -> None:
    """The confirmed return proves the silent machine gone; a machine that is just slow to find its owner is kept."""
    world = busy_world(guessS=200.0)
    lost, _ = world.invariants.running_tasks()[0]
    before = {agent.host for agent, _ in world.invariants.running_tasks()}
    lost.terminate()
    killed = next(name for name in world.controller_names if name != leader_of(world))
    world.nodes[killed].kill()
    others = [node.controller for name, node in world.nodes.items() if name != killed and node.controller is not None]
    assert world.run_until(
        lambda: all(other.state.view is not None and killed not in other.state.view.members for other in others), 10
    )
    assert world.run_until(lambda: all(other.state.reconciled for other in others), 4.5), (
        "the lease is 8 s, and a machine counts as silent after 3 s"
    )
    world.run(20)
    assert before - {lost.host} <= {agent.host for agent, _ in world.invariants.running_tasks()}
    assert world.invariants.violations == []


def reconciliation_seconds_over_views(world: World) -> float:
    """Let a machine die, then change the view repeatedly; return the time from its death to the reconciliation.

    The cloud is down, so that the machine cannot be returned. A controller that is neither its owner nor the leader is
    restarted three times.
    """
    world.cloud.is_down = True
    lost, _ = world.invariants.running_tasks()[0]
    lost.terminate()
    other = next(name for name in world.controller_names if name not in (owner_of(world, lost.host), leader_of(world)))
    started_at, controller = world.now, world.nodes[owner_of(world, lost.host)].controller
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
    return (world.now - started_at) / SECOND


def test_silence_of_a_machine_is_counted_across_views_when_it_keeps_its_owner() -> None:
    assert reconciliation_seconds_over_views(busy_world(guessS=200.0)) < 13, "the lease is 8 s"


def test_each_view_waits_a_whole_lease_without_the_last_possible_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Shard, "last_possible_replies", lambda shard, others_fenced_at: {})
    assert reconciliation_seconds_over_views(busy_world(guessS=200.0)) > 13


def test_machines_of_a_controller_left_with_its_agents_alone_are_taken_over_soon() -> None:
    """While that controller may renew the leases of its agents, the others wait, and may start nothing."""
    world = World(3)
    world.cancel_timeout_s = 60.0
    for node in world.nodes.values():
        node.start()
    world.run(5)
    world.define_job("j-1", pieces=6, cores=4.0, guessS=200.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    before = {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()}
    cut_off = next(name for name in world.controller_names if name != leader_of(world))
    world.isolate(cut_off, *world.agents)
    others = [node.controller for name, node in world.nodes.items() if name != cut_off and node.controller is not None]
    assert world.run_until(
        lambda: all(other.state.view is not None and cut_off not in other.state.view.members for other in others), 10
    )
    assert world.run_until(lambda: all(other.state.reconciled for other in others), 12)
    assert {(t.job_id, t.index, t.attempt) for _, t in world.invariants.running_tasks()} == before
    assert world.invariants.violations == []


def test_member_gets_a_new_incarnation_when_its_lease_expired() -> None:
    """The others count the authority of a removed member from `LEASE_TIMEOUT` before the removal.

    So the member must not act on in the old view under a new lease.
    """
    world = busy_world(guessS=200.0)
    name = next(name for name in world.controller_names if name != leader_of(world))
    controller = world.nodes[name].controller
    assert controller is not None
    before = controller.membership.incarnation
    world.store.refused_callers.add(name)
    world.run(5)
    world.store.refused_callers.clear()
    assert world.run_until(lambda: controller.membership.incarnation != before, 5)
    assert not controller.authority.may_reply(), "the member may not act in the old view any more"
    assert world.run_until(lambda: controller.state.reconciled and controller.authority.may_reply(), 15)
    assert controller.state.view is not None
    assert controller.state.view.members[name] == controller.membership.incarnation
    assert world.invariants.violations == []


def busy_shard(world: World) -> tuple[str, list[str]]:
    """Return a controller with tasks on its machines, and all these machines."""
    busy = {agent.host for agent, _ in world.invariants.running_tasks()}
    name = next(name for name in world.controller_names if any(owner_of(world, host) == name for host in busy))
    return name, [host for host, agent in world.agents.items() if agent.alive and owner_of(world, host) == name]


def cut_off_controller_with_its_machines(world: World) -> None:
    """Let a controller and its machines reach only each other, as if their zone were cut off, for well over a lease.

    The requests that are held at the cut links arrive afterwards.
    """
    world.cloud.is_down = world.holds_requests_on_cut_links = True
    world.isolate_with(*busy_shard(world))
    for _ in range(250):
        world.run(0.1)
        world.invariants.check()
    world.heal()
    world.run(15)


def test_no_task_runs_twice_when_a_controller_and_its_machines_are_cut_off() -> None:
    world = busy_world(guessS=500.0)
    before = sum(agent.alive for agent in world.agents.values())
    cut_off_controller_with_its_machines(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6, "all tasks run again"
    assert sum(agent.alive for agent in world.agents.values()) >= before, (
        "the machines that were cut off are used again"
    )


def test_tasks_of_a_cut_off_controller_run_twice_without_the_proof_for_renewals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Authority, "may_renew", lambda authority: True)
    world = busy_world(guessS=500.0)
    cut_off_controller_with_its_machines(world)
    assert any("ran_twice" in violation for violation in world.invariants.violations)


def hang_half_of_the_machines(world: World, seconds: float) -> list[Agent]:
    """Hang every other machine with tasks for some seconds, check the invariants until 10 s after, and return them."""
    hung = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[::2]
    for host in hung:
        world.agents[host].hang(seconds)
    for _ in range(int(seconds * 10) + 100):
        world.run(0.1)
        world.invariants.check()
    return [world.agents[host] for host in hung]


def test_machines_that_hung_past_their_leases_come_back_empty_and_are_used_again() -> None:
    world = busy_world(guessS=500.0)
    hung = hang_half_of_the_machines(world, 12)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6
    assert all(agent.alive and agent.agent_epoch == 2 for agent in hung)
    world.define_job("j-2", pieces=40, cores=1.0, guessS=30.0)
    assert world.submit_until_accepted("j-2", "c0")
    assert world.run_until(lambda: any(agent.tasks for agent in hung), 20)
    assert world.invariants.violations == []


def test_tasks_run_twice_without_the_wait_for_the_end_of_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    world = busy_world(guessS=500.0)
    for node in world.nodes.values():
        assert node.controller is not None
        assert node.controller.state.shard is not None
        monkeypatch.setattr(node.controller.state.shard.leases, "_lease_duration", 2 * SECOND)
    hang_half_of_the_machines(world, 12)
    assert any("ran_twice" in violation for violation in world.invariants.violations)


def test_stalled_controller_starts_no_task_by_outdated_state_when_it_continues() -> None:
    """Others took over during the stall; when it continues, all timers, heartbeats and messages of 12 s are due."""
    world = busy_world(guessS=15.0)
    frozen = leader_of(world)
    world.define_job("j-2", pieces=12, cores=2.0, guessS=10.0)
    world.request(
        frozen,
        lambda controller: controller.job_api.submit(
            json.dumps(world.job_specs["j-2"]).encode(), lambda *_response: None
        ),
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


def refuse_all_controllers_then_serve_two(world: World) -> None:
    """Have the store refuse all controllers and then only one, which is cut off with its agents by then.

    All controllers agree on an outage, but the store only refuses requests and goes on expiring leases. The two
    controllers that are served again remove the third from the view.
    """
    world.cloud.is_down = True
    third, machines = busy_shard(world)
    world.store.refused_callers.update(world.controller_names)
    world.run(4)
    world.isolate_with(third, machines)
    world.run(0.05)
    world.store.refused_callers.intersection_update({third})
    for _ in range(300):
        world.run(0.1)
        world.invariants.check()


def test_no_task_runs_twice_when_a_member_lease_expires_while_all_controllers_are_refused() -> None:
    world = busy_world(guessS=500.0)
    refuse_all_controllers_then_serve_two(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 6, "all tasks run, those of the third controller on other machines"


def test_tasks_run_twice_without_the_deduction_of_the_lease_timeout_from_the_agreement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = Peers.store_unavailable_agreed_at
    without_deduction = lambda peers: agreed_at + LEASE_TIMEOUT if (agreed_at := original(peers)) is not None else None  # noqa: E731
    monkeypatch.setattr(Peers, "store_unavailable_agreed_at", without_deduction)
    world = busy_world(guessS=500.0)
    refuse_all_controllers_then_serve_two(world)
    assert any("ran_twice" in violation for violation in world.invariants.violations)
