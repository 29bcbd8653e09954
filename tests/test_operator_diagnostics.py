"""Controllers that lose connections or stall, and what the status, the metrics and the log show of faults.

The tests guard against these failures:

- A controller that was unreachable or stalled for over a minute acts on outdated state when it is back.
- A controller that is cut off from its agents alone keeps its machines until they are returned as silent, and their
  tasks are lost.
- The only controller left gives up its place in the view because of outdated messages of controllers that have failed.
- Operators see the same symptoms for different faults, or symptoms of a fault at controllers that are not affected.
- Answers, lost tasks, view changes or decisions are counted or logged twice, not at all, or before they are written.
"""

import json
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from ramptide.agents.lease_expiry import ExpiredLease
from ramptide.api.administration import METRICS_PATH, STATUS_PATH
from ramptide.api.telemetry import Telemetry
from ramptide.autoscaling.machine_decisions import MachineDecision, log_decisions, written_decisions
from ramptide.cluster.membership import Membership
from ramptide.controller.administration import build_admin_api
from ramptide.controller.controller import Controller
from ramptide.state.records import RENTAL_PREFIX
from ramptide.transport.process_statistics import ProcessStatistics
from virtual import (
    CLOUD,
    SECOND,
    STORE,
    Node,
    Respond,
    VirtualRuntime,
    World,
    busy_world,
    end_faults,
    ignore_response,
    job_spec,
    leader_of,
    longest_starvation,
    owner_of,
    started_world,
)


def controller_of(world: World, name: str) -> Controller:
    controller = world.nodes[name].controller
    assert controller is not None
    return controller


def get_admin_page(world: World, name: str, path: str) -> bytes:
    responses: list[bytes] = []

    def request_page(controller: Controller) -> None:
        build_admin_api(controller, ProcessStatistics()).handle(
            "GET", path, b"", lambda status, response, content_type: responses.append(response)
        )

    world.request(name, request_page)
    world.run(0.1)
    return responses[0]


def status_of(world: World, name: str) -> dict[str, Any]:
    content: dict[str, Any] = json.loads(get_admin_page(world, name, STATUS_PATH))
    return content


def metrics_of(world: World, name: str) -> dict[tuple[str, ...], float]:
    """Return the samples by name (without the prefix) and label values, which are in the order of the label names."""
    families = text_string_to_metric_families(get_admin_page(world, name, METRICS_PATH).decode())
    return {
        (sample.name.removeprefix("ramptide_"), *(value for _, value in sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def cut_from_all(world: World, name: str) -> None:
    world.isolate(name)


def cut_from_store(world: World, name: str) -> None:
    world.cut_link(name, STORE)


def refused_by_store(world: World, name: str) -> None:
    world.store.refused_callers.add(name)


def cut_from_agents(world: World, name: str) -> None:
    for host in world.agents:
        world.cut_link(name, host)


def cut_from_peers(world: World, name: str) -> None:
    for other in world.controller_names:
        if other != name:
            world.cut_link(name, other)


def cut_from_store_and_peers(world: World, name: str) -> None:
    world.isolate(name, CLOUD, *world.agents)


def stall(world: World, name: str) -> None:
    world.nodes[name].freeze(70)


SILENCING_FAULTS = [
    cut_from_all,
    cut_from_store,
    refused_by_store,
    cut_from_agents,
    cut_from_store_and_peers,
    stall,
]


@pytest.mark.parametrize("is_leader", [True, False])
@pytest.mark.parametrize("fault", SILENCING_FAULTS)
def test_controller_does_not_act_on_outdated_state_when_back_after_a_minute(
    fault: Callable[[World, str], None], is_leader: bool
) -> None:
    """Meanwhile the others run the jobs and cancel one; requests held on cut links arrive when the links are healed."""
    world = busy_world(guessS=300.0, pieces=6, cores=2.0)
    world.holds_requests_on_cut_links = True
    name = (
        leader_of(world) if is_leader else next(other for other in world.controller_names if other != leader_of(world))
    )
    others = [other for other in world.controller_names if other != name]
    world.define_job("j-2", pieces=10, cores=2.0, guessS=20.0)
    assert world.submit_until_accepted("j-2", name)
    fault(world, name)
    for second in range(70):
        world.run(1)
        world.invariants.check()
        if second == 3:
            assert world.cancel_job("j-1", others[0]) or fault is not cut_from_agents
        if second == 10 and "j-1" not in world.cancelled_at:
            assert world.cancel_job("j-1", others[0])
        if second == 12:
            world.define_job("j-3", pieces=4, cores=2.0, guessS=10.0)
            assert world.submit_until_accepted("j-3", others[1])
    assert world.is_done("j-2"), "the other controllers finish the job"
    assert world.is_done("j-3"), "the other controllers finish the job"
    end_faults(world)
    assert longest_starvation(world, 20)[0] < 15 * SECOND
    assert world.invariants.violations == []
    assert not any(task.job_id == "j-1" for _, task in world.invariants.running_tasks())
    assert all(
        controller_of(world, other).state.reconciled
        and controller_of(world, other).availability.unavailable_dependencies() == []
        for other in world.controller_names
    )


def tasks_kept_when_cut_from_agents(seed: int) -> int:
    """Cut a controller off from all agents for 70 s; return how many of 24 tasks on twelve machines keep running."""
    world = started_world(seed, capacity=15)
    world.define_job("j-1", pieces=24, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 24, 40)
    world.run(3)
    owners = [owner_of(world, agent.host) for agent, _ in world.invariants.running_tasks()]
    name = max(world.controller_names, key=owners.count)
    before = {(task.job_id, task.index, task.attempt) for _, task in world.invariants.running_tasks()}
    cut_from_agents(world, name)
    for _ in range(700):
        world.run(0.1)
        world.invariants.check()
    assert controller_of(world, name).membership._lost_lease_count <= 1, (
        "the controller does not apply for a place again before agents answer"
    )
    world.heal()
    world.run(20)
    assert world.invariants.violations == []
    assert all(
        controller_of(world, other).availability.unavailable_dependencies() == [] for other in world.controller_names
    ), "all controllers have their places in the view again"
    return len(before & {(task.job_id, task.index, task.attempt) for _, task in world.invariants.running_tasks()})


@pytest.mark.parametrize("seed", range(3))
def test_no_task_is_lost_when_a_controller_is_cut_off_from_its_agents(seed: int) -> None:
    assert tasks_kept_when_cut_from_agents(seed) == 24


def test_tasks_are_lost_without_the_step_down_of_a_controller_cut_off_from_its_agents(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "step_down", lambda membership: None)
    assert tasks_kept_when_cut_from_agents(1) < 20


def test_all_controllers_keep_their_places_when_none_reaches_any_agent() -> None:
    world = busy_world(guessS=500.0)
    for name in world.controller_names:
        cut_from_agents(world, name)
    world.run(20)
    assert all(controller_of(world, name).membership.is_serving for name in world.controller_names)


def test_controller_keeps_its_place_after_a_short_stall() -> None:
    world = busy_world(guessS=500.0)
    for name in world.controller_names:
        world.nodes[name].freeze(2.9)
        world.run(8)
        assert controller_of(world, name).membership._lost_lease_count == 0


#: A fault, the unavailable dependencies that c2 shows when it is affected, and those that c0 and c1 show.
UNAVAILABLE_BY_FAULT = [
    (cut_from_store, ["state service", "place in the view"], []),
    (refused_by_store, ["state service", "place in the view"], []),
    (cut_from_agents, ["place in the view"], []),
    (cut_from_peers, ["controller c0", "controller c1"], ["controller c2"]),
    (cut_from_all, ["state service", "controller c0", "controller c1"], ["controller c2"]),
]


@pytest.mark.parametrize(("fault", "at_affected", "at_others"), UNAVAILABLE_BY_FAULT)
def test_unavailable_dependencies_distinguish_the_faults(
    fault: Callable[[World, str], None],
    at_affected: list[str],
    at_others: list[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = busy_world(guessS=300.0)
    world.cloud.is_down = True
    caplog.set_level(logging.INFO)
    assert all(status_of(world, name)["lacks"] == [] for name in world.controller_names)
    fault(world, "c2")
    world.run(7)
    assert status_of(world, "c2")["lacks"] == at_affected
    assert all(status_of(world, name)["lacks"] == at_others for name in ("c0", "c1"))
    assert f"dependencies changed: unavailable='{', '.join(at_affected)}'" in caplog.text
    world.cloud.is_down = False
    end_faults(world)
    assert all(status_of(world, name)["lacks"] == [] for name in world.controller_names)
    assert "dependencies changed: unavailable='none'" in caplog.text


def test_all_controllers_show_the_state_service_as_unavailable_in_an_outage() -> None:
    world = busy_world(guessS=300.0)
    world.store.start_outage(10)
    world.run(5)
    assert all(status_of(world, name)["lacks"] == ["state service"] for name in world.controller_names)


def test_status_shows_jobs_that_fail_everywhere_and_machines_out_of_use() -> None:
    world = busy_world(guessS=300.0, cores=2.0)
    world.failure_delays["j-9"] = 0.3
    world.define_job("j-9", pieces=8, cores=1.0)
    assert world.submit_until_accepted("j-9", "c0")
    world.cloud.is_down = True
    agent = world.invariants.running_tasks()[0][0]
    agent.hang(30)
    world.run(8)
    content = status_of(world, leader_of(world))
    failing_jobs, machines = content["failing_jobs"], content["machines"]
    assert isinstance(failing_jobs, dict)
    assert list(failing_jobs) == ["j-9"]
    assert failing_jobs["j-9"] > 1
    assert isinstance(machines, dict)
    assert machines[agent.host]["out_of_use"] == "silent"
    assert sum(row["out_of_use"] is not None for row in machines.values()) == 1


def test_status_and_metrics_show_how_many_cpus_wait_for_the_limit_of_each_team() -> None:
    world = started_world(5, teams={"team": 0.0, "few": 8.0})
    world.define_job("j-1", owner="few", pieces=10, cores=2.0, guessS=300.0)
    world.define_job("j-2", owner="team", pieces=2, cores=2.0, guessS=300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.submit_until_accepted("j-2", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 40)
    world.run(4)
    teams_by_member = {name: status_of(world, name)["teams"] for name in world.controller_names}
    assert all(set(teams) == {"team", "few"} for teams in teams_by_member.values())
    few_rows = [teams["few"]["cores"] for teams in teams_by_member.values()]
    assert all(row["limit"] == 8.0 and row["used"] == 8.0 for row in few_rows)
    assert sum(row["share"] for row in few_rows) == sum(row["share_used"] for row in few_rows) == 8.0
    assert sum(row["waiting_for_limit"] for row in few_rows) == 12.0
    assert all(row["share_used"] <= row["share"] + 1e-6 for row in few_rows)
    unlimited = teams_by_member["c0"]["team"]["cores"]
    assert unlimited["limit"] is None
    assert unlimited["share"] is None
    assert unlimited["used"] == 4.0
    assert sum(teams["team"]["cores"]["waiting_for_limit"] for teams in teams_by_member.values()) == 0.0
    samples = metrics_of(world, "c0")
    assert samples["team_limit", "cores", "few"] == samples["team_used", "cores", "few"] == 8.0
    assert ("team_limit", "cores", "team") not in samples
    assert ("team_limit", "gpus", "few") not in samples
    waiting = [metrics_of(world, name)["team_waiting_for_limit", "cores", "few"] for name in world.controller_names]
    assert sum(waiting) == 12.0


def test_nothing_is_shown_as_waiting_for_a_limit_when_only_machines_are_missing() -> None:
    world = started_world(5, teams={"few": 100.0}, capacity=1)
    world.define_job("j-1", owner="few", pieces=10, cores=2.0, guessS=300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 4, 40)
    world.run(4)
    assert all(
        status_of(world, name)["teams"]["few"]["cores"]["waiting_for_limit"] == 0.0 for name in world.controller_names
    )


def test_view_changes_are_counted_and_timed() -> None:
    world = busy_world(guessS=300.0)
    name = leader_of(world)
    other = next(candidate for candidate in world.controller_names if candidate != name)
    before = status_of(world, name)["view_changes"]
    world.nodes[other].kill()
    world.run(6)
    after = status_of(world, name)["view_changes"]
    assert after["count"] == before["count"] + 1
    duration_s = after["last"][-1]["settled_s"]
    assert after["last"][-1]["view"] == status_of(world, name)["view"]["number"]
    assert 0 < duration_s < 6
    samples = metrics_of(world, name)
    assert samples["view_changes_total",] == after["count"]
    assert samples["last_settling_seconds",] == pytest.approx(duration_s, abs=0.001)
    assert samples["settling_seconds_total",] >= samples["last_settling_seconds",]


def test_view_change_has_no_duration_while_a_machine_is_not_reconciled() -> None:
    world = busy_world(guessS=300.0)
    name = leader_of(world)
    other = next(candidate for candidate in world.controller_names if candidate != name)
    world.cloud.is_down = True
    world.invariants.running_tasks()[0][0].hang(60)
    world.nodes[other].kill()
    world.run(6)
    assert status_of(world, name)["view_changes"]["last"][-1]["settled_s"] is None


def answer_counts(controller: Controller) -> tuple[dict[tuple[str, int], int], dict[str, int]]:
    """Return the numbers of answers by route and status, and of answers with status 503 by reason."""
    telemetry = controller.telemetry
    answers = {(route.value, code): count for (route, code), count in telemetry.answers.items()}
    return answers, {reason.value: count for reason, count in telemetry.unavailable.items()}


def test_answers_to_users_are_counted_by_route_and_status() -> None:
    world = started_world(6)
    world.define_job("j-1", guessS=300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.submit_until_accepted("j-1", "c0")
    world.request("c0", lambda controller: controller.job_api.submit(b"{}", lambda *_response: None))
    for job_id in ("j-1", "j-77", "nonsense"):
        world.poll_job(job_id, "c0")
        world.cancel_job(job_id, "c0")
    assert answer_counts(controller_of(world, "c0")) == (
        {
            ("submit", 201): 1, ("submit", 200): 1, ("submit", 400): 1, ("poll", 200): 1, ("poll", 404): 2,
            ("cancel", 200): 1, ("cancel", 404): 2,
        },
        {},
    )  # fmt: skip
    samples = metrics_of(world, "c0")
    assert samples["answers_total", "cancel", "404"] == 2
    assert samples["unavailable_total", "overloaded"] == 0
    assert status_of(world, "c0")["answers"]["poll"] == {"200": 1, "404": 2}


def test_answers_with_status_503_are_counted_by_reason() -> None:
    world = World(6)
    body = json.dumps(job_spec("j-5")).encode()

    def submit(name: str) -> None:
        world.request(name, lambda controller: controller.job_api.submit(body, lambda *_response: None))

    world.cloud.is_down = True
    world.nodes["c0"].start()
    submit("c0")
    while controller_of(world, "c0").watch_cache.is_unavailable:
        world.run(0.001)
    submit("c0")
    assert answer_counts(controller_of(world, "c0"))[1] == {"state_service": 1, "view": 1}
    for name in ("c1", "c2"):
        world.nodes[name].start()
    world.run(8)
    submit("c1")
    assert answer_counts(controller_of(world, "c1")) == ({("submit", 503): 1}, {"machine_types": 1})
    world.cloud.is_down = False
    world.run(8)
    controller_of(world, "c1").commit_batcher.expected_delay = lambda: 9 * SECOND  # type: ignore[method-assign]
    submit("c1")
    assert answer_counts(controller_of(world, "c1"))[1] == {"machine_types": 1, "overloaded": 1}
    world.store.is_down = True
    world.run(4)
    submit("c1")
    world.cancel_job("j-6", "c1")
    world.request("c1", lambda controller: controller.job_api.poll("j-6", lambda *_response: None))
    world.run(4)
    answers, reasons = answer_counts(controller_of(world, "c1"))
    assert reasons == {"machine_types": 1, "overloaded": 1, "state_service": 3}
    assert answers == {("submit", 503): 3, ("cancel", 503): 1, ("poll", 503): 1}
    assert status_of(world, "c1")["unavailable"]["state_service"] == 3


def test_cancellation_counts_as_one_answer_when_its_transaction_is_retried() -> None:
    world = busy_world(guessS=300.0)
    controller = controller_of(world, "c0")
    job = controller.state.jobs["j-1"]
    revision, job.mod_revision = job.mod_revision, job.mod_revision - 1
    world.request("c0", lambda controller: controller.job_api.cancel("j-1", lambda *_response: None))
    job.mod_revision = revision
    world.run(3)
    assert {key: count for key, count in answer_counts(controller)[0].items() if key[0] == "cancel"} == {
        ("cancel", 200): 1
    }


def world_with_lost_tasks(machine_count: int, caplog: pytest.LogCaptureFixture) -> World:
    """Return a world in which `machine_count` machines of the leader, with two tasks each, have hung past their leases.

    The view was reconciled before.
    """
    world = started_world(2, capacity=24)
    world.cloud.boot_seconds = (1.0, 1.5)
    caplog.set_level(logging.INFO)
    world.define_job("j-1", pieces=40, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 40, 60)
    world.run(2)
    world.cloud.is_down = True
    name = leader_of(world)
    owned_agents = [agent for agent, _ in world.invariants.running_tasks() if owner_of(world, agent.host) == name]
    hanging = list(dict.fromkeys(agent.host for agent in owned_agents))[:machine_count]
    assert len(hanging) == machine_count
    for host in hanging:
        world.agents[host].hang(60)
    assert controller_of(world, name).state.reconciled
    world.run(5)
    assert sorted(status_of(world, name)["silent_machines"]) == sorted(hanging)
    assert all(
        metrics_of(world, controller_name)["machines_silent",] == machine_count
        for controller_name in world.controller_names
    )
    assert metrics_of(world, name)["tasks_lost_total",] == 0
    world.run(10)
    assert metrics_of(world, name)["tasks_lost_total",] == 2 * machine_count
    assert metrics_of(world, name)["leases_ended_total",] == machine_count
    return world


@pytest.mark.parametrize("machine_count", [1, 4])
def test_tasks_lost_with_expired_leases_are_counted_and_logged_once(
    machine_count: int, caplog: pytest.LogCaptureFixture
) -> None:
    world = world_with_lost_tasks(machine_count, caplog)
    lines = [record.getMessage() for record in caplog.records if "leases expired:" in record.getMessage()]
    assert sum(int(line.split("tasks_lost=")[1].split()[0]) for line in lines) == 2 * machine_count
    world.run(55)
    assert sum(metrics_of(world, name)["tasks_lost_total",] for name in world.controller_names) == 2 * machine_count, (
        "each lost task is counted once"
    )
    assert sum(metrics_of(world, name)["machines_silent",] for name in world.controller_names) == 0, (
        "the machines send heartbeats again"
    )


def test_many_leases_that_expire_together_are_logged_in_one_line(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    telemetry = Telemetry()
    telemetry.record_expired_leases([ExpiredLease(f"vm-{n}", 3, n < 5) for n in range(300)], is_confirmed=True)
    assert len(caplog.records) == 1
    line = caplog.records[0].getMessage()
    assert "tasks_lost=900 reconciled=5" in line
    assert "vm-9 and 290 more'" in line


def test_tasks_are_not_counted_as_lost_by_a_controller_that_was_removed_from_the_view() -> None:
    """The agents continue under other controllers; the removed one receives no heartbeats until past their leases."""
    world = busy_world(guessS=500.0)
    name = max(
        world.controller_names,
        key=[owner_of(world, agent.host) for agent, _ in world.invariants.running_tasks()].count,
    )
    before = {(task.job_id, task.index, task.attempt) for _, task in world.invariants.running_tasks()}
    world.isolate(name)
    world.run(20)
    world.heal()
    world.run(10)
    assert before == {(task.job_id, task.index, task.attempt) for _, task in world.invariants.running_tasks()}
    assert all(
        controller_of(world, controller_name).telemetry.tasks_lost == 0 for controller_name in world.controller_names
    )


def refuse_rentals(world: World) -> Callable[[], None]:
    """Have the store refuse changes of rentals, as if others had changed them; return a function that ends this."""
    transact = world.store._transact

    def refuse(transaction: dict[str, Any], respond: Respond) -> None:
        paths = [condition["path"] for condition in transaction["when"] if condition["path"].startswith(RENTAL_PREFIX)]
        if paths:
            respond(409, {"failed": paths, "epoch": world.store.revision})
        else:
            transact(transaction, respond)

    def end() -> None:
        world.store._transact = transact  # type: ignore[method-assign]

    world.store._transact = refuse  # type: ignore[method-assign]
    return end


def test_machine_decision_is_logged_once_and_only_after_its_write(caplog: pytest.LogCaptureFixture) -> None:
    world = busy_world(guessS=500.0)
    world.cloud.is_down = True
    hosts = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[:3]
    for host in hosts:
        world.agents[host].hang(200)
    end_refusals = refuse_rentals(world)
    caplog.set_level(logging.INFO)
    world.run(35)

    def logged_decisions() -> list[str]:
        return [record.getMessage() for record in caplog.records if record.getMessage().endswith("outcome='silent'")]

    assert logged_decisions() == []
    end_refusals()
    world.run(20)
    assert all(
        controller_of(world, name).state.machines[host].drain_reason == "silent"
        for name in world.controller_names
        for host in hosts
    )
    assert sorted(host for line in logged_decisions() for host in line.split("'")[1].split(", ")) == hosts


def test_machine_decision_is_logged_once_when_the_response_to_its_write_is_lost(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = busy_world(guessS=500.0)
    world.cloud.is_down = True
    host = world.invariants.running_tasks()[0][0].host
    world.agents[host].hang(200)
    transact = world.store._transact
    dropped_at: list[float] = []

    def drop_response(transaction: dict[str, Any], respond: Respond) -> None:
        has_decision = any(
            change.get("put", "").startswith(RENTAL_PREFIX) and '"silent"' in json.dumps(change)
            for change in transaction["then"]
        )
        if has_decision:
            dropped_at.append(world.now / SECOND)
        transact(transaction, ignore_response if has_decision else respond)

    world.store._transact = drop_response  # type: ignore[method-assign]
    caplog.set_level(logging.INFO)
    world.run(45)
    logged_decisions = [
        record.getMessage() for record in caplog.records if record.getMessage().endswith("outcome='silent'")
    ]
    assert len(dropped_at) == 1, "a decision that was committed is not written again"
    zone = world.agents[host].zone
    assert logged_decisions == [f"machines decided: hosts='{host}' machine_type=m zone={zone} outcome='silent'"]


def test_written_decisions_leave_out_those_whose_records_did_not_fit_into_the_transaction() -> None:
    decisions = [MachineDecision(f"vm-{n}", "m", "a", f"r-{n}", "silent", "silent") for n in range(4)]
    assert written_decisions(decisions, {"r-1", "r-3"}) == [decisions[1], decisions[3]]


def test_decisions_are_logged_in_one_line_for_each_type_zone_and_outcome(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log_decisions(MachineDecision(f"vm-{n}", "m", "ab"[n % 2], "r-1", "silent", "silent") for n in range(5))
    assert [record.getMessage() for record in caplog.records] == [
        "machines decided: hosts='vm-0, vm-2, vm-4' machine_type=m zone=a outcome='silent'",
        "machines decided: hosts='vm-1, vm-3' machine_type=m zone=b outcome='silent'",
    ]


class ControllerLog(logging.Handler):
    """Records what each controller logs, and when."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.INFO)
        self.lines: list[tuple[str, timedelta, str]] = []
        self._world = world
        self._active_controller = ""
        for node in world.nodes.values():
            self._track_active_controller(node)

    def _track_active_controller(self, node: Node) -> None:
        original_dispatch = node.dispatch

        def dispatch(runtime: VirtualRuntime, action: Callable[[], None], deferrable: bool = False) -> None:
            def run_as_node() -> None:
                self._active_controller = node.name
                action()

            original_dispatch(runtime, run_as_node, deferrable)

        node.dispatch = dispatch  # type: ignore[method-assign]

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append((self._active_controller, self._world.now, record.getMessage()))

    def lines_of(self, name: str, since: timedelta) -> list[str]:
        return [line for controller_name, at, line in self.lines if controller_name == name and at >= since]


@contextmanager
def controller_log(world: World) -> Iterator[ControllerLog]:
    handler, logger = ControllerLog(world), logging.getLogger("ramptide")
    level_before = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level_before)


@pytest.mark.parametrize("is_leader", [True, False])
def test_stalled_controller_logs_the_stall_and_no_outdated_decision(is_leader: bool) -> None:
    """A machine of the controller is silent before the stall, so a decision about it is due when the stall ends."""
    world = busy_world(guessS=500.0)
    name = leader_of(world) if is_leader else owner_of(world, world.invariants.running_tasks()[0][0].host)
    if not is_leader and name == leader_of(world):
        name = next(candidate for candidate in world.controller_names if candidate != name)
    world.cloud.is_down = True
    for agent in world.agents.values():
        if owner_of(world, agent.host) == name:
            agent.hang(60)
            break
    world.run(22)
    with controller_log(world) as log:
        world.nodes[name].freeze(20)
        stall_end = world.now + 20 * SECOND
        world.run(20.5)
        first_lines = log.lines_of(name, stall_end)
        world.run(20)
    assert [line for line in log.lines_of(name, stall_end) if "stalled" in line] == [
        "controller stalled: stalled_s=19.9"
    ]
    assert first_lines[0] == "controller stalled: stalled_s=19.9"
    assert not [line for line in first_lines if "vm-" in line or "dependencies changed" in line], first_lines
    assert not [
        controller_name for controller_name, _, line in log.lines if "stalled" in line and controller_name != name
    ]
    samples = metrics_of(world, name)
    assert samples["standstills_total",] == 1
    assert samples["standstill_seconds_total",] == pytest.approx(20, abs=0.2)


def test_pause_counts_as_a_stall_only_when_longer_than_the_threshold() -> None:
    world = busy_world(guessS=500.0)
    with controller_log(world) as log:
        world.nodes["c0"].freeze(1.9)
        world.run(5)
        world.nodes["c0"].freeze(2.4)
        world.run(5)
    lines = [line for line in log.lines_of("c0", timedelta(0)) if "stalled" in line]
    possible_lines = ("controller stalled: stalled_s=2.3", "controller stalled: stalled_s=2.4")
    assert len(lines) == 1
    assert lines[0] in possible_lines


def test_every_metric_is_explained_in_the_operations_manual() -> None:
    world = busy_world(guessS=300.0)
    world.poll_job("j-1", "c0")
    manual = (Path(__file__).parent.parent / "docs" / "operations.md").read_text()
    section = manual[manual.index("## Metrics") :]
    exported = {name for name, *_ in metrics_of(world, "c0") if not name.endswith("_created")}
    assert len(exported) > 30
    assert {name for name in exported if f"`{name}`" not in section} == set()


#: A fault of one controller, and a metric and a log line that show it at this controller alone.
SYMPTOMS_BY_FAULT: list[tuple[Callable[[World, str], None], str, str]] = [
    (cut_from_store, "state_service_lacking", "key-value store unavailable"),
    (cut_from_agents, "lacks", "stepping down: cause=no_heartbeats"),
    (stall, "standstills_total", "controller stalled"),
]


@pytest.mark.parametrize(("fault", "metric", "line"), SYMPTOMS_BY_FAULT)
def test_symptoms_named_in_the_manual_show_only_at_the_affected_controller(
    fault: Callable[[World, str], None], metric: str, line: str
) -> None:
    world = busy_world(guessS=300.0)
    world.cloud.is_down = True
    others = ("c0", "c1")
    world.run(1)
    before = metrics_of(world, "c0")["view_changes_total",]
    with controller_log(world) as log:
        fault(world, "c2")
        world.run(10)
        assert metrics_of(world, "c0")["view_changes_total",] == before + 1
        world.run(65 if fault is stall else 0)
        assert metrics_of(world, "c2")[metric,] > 0
        assert [metrics_of(world, name)[metric,] for name in others] == [0, 0]
        start = timedelta(0)
        assert any(line in logged_line for logged_line in log.lines_of("c2", start))
        assert not any(line in logged_line for name in others for logged_line in log.lines_of(name, start))


def test_cut_between_two_controllers_shows_only_at_these_two() -> None:
    world = busy_world(guessS=300.0)
    world.cloud.is_down = True
    world.cut_link("c1", "c2")
    world.run(8)
    lacks = {name: status_of(world, name)["lacks"] for name in world.controller_names}
    assert lacks == {"c0": [], "c1": ["controller c2"], "c2": ["controller c1"]}


def test_submissions_that_wait_too_long_for_their_write_are_answered_as_overload_and_not_as_an_outage() -> None:
    """At the start of a busy day, more is submitted than the key-value store accepts.

    If these submissions were counted as refused in an outage, operators would look for one. The expected delay of a
    write is short when the submissions arrive, as it can be while other controllers have much to write, too.
    """
    world = World(5)
    world.store_limits = world.store_limits | {"write_rps": 6.0}
    for node in world.nodes.values():
        node.start()
    world.run(4)
    controller_of(world, "c0").commit_batcher.expected_delay = lambda: 0 * SECOND  # type: ignore[method-assign]
    answers: list[int] = []
    for number in range(60):
        world.define_job(f"j-{number}", pieces=1)
        body = json.dumps(world.job_specs[f"j-{number}"]).encode()
        world.request(
            "c0",
            lambda controller, body=body: controller.job_api.submit(  # type: ignore[misc]
                body, lambda status, *_: answers.append(status)
            ),
        )
    world.run(8)
    reasons = controller_of(world, "c0").telemetry.unavailable
    assert len(answers) == 60
    assert set(answers) == {201, 503}
    assert {reason.value for reason, count in reasons.items() if count} == {"overloaded"}
    assert sum(reasons.values()) == answers.count(503)


def world_with_one_controller_left(seed: int) -> tuple[World, Controller]:
    """Return a world in which two controllers were killed, and the third controller, whose machines all hang.

    The third controller knows the machines of the killed ones only from the last messages of these.
    """
    world = started_world(seed, capacity=15)
    world.define_job("j-1", pieces=24, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 24, 40)
    world.run(3)
    remaining = controller_of(world, next(name for name in world.controller_names if name != leader_of(world)))
    assert remaining.state.shard is not None
    assert len(remaining.state.shard.machines) > 2
    for host in remaining.state.shard.machines:
        world.agents[host].hang(25)
    for name in world.controller_names:
        if name != remaining.state.member:
            world.nodes[name].kill()
    return world, remaining


@pytest.mark.parametrize("seed", range(3))
def test_only_controller_left_keeps_its_place_when_all_its_machines_are_silent(seed: int) -> None:
    """The last messages of the killed controllers show that they received heartbeats.

    If such outdated messages counted, the controller left would give up its place for up to 3 minutes.
    """
    world, remaining = world_with_one_controller_left(seed)
    assert world.run_until(lambda: remaining.membership.is_leading, 12)
    for _ in range(60):
        world.run(0.5)
        assert remaining.membership.is_leading
    assert world.invariants.violations == []


@pytest.mark.parametrize("seed", range(3))
def test_controller_that_stepped_down_takes_its_place_again_when_no_leader_is_left(seed: int) -> None:
    world = started_world(seed, capacity=15)
    world.define_job("j-1", pieces=24, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 24, 40)
    name = leader_of(world)
    cut_from_agents(world, name)
    assert world.run_until(lambda: controller_of(world, name).membership.has_stepped_down, 15)
    for other in world.controller_names:
        if other != name:
            world.nodes[other].kill()
    assert world.run_until(lambda: controller_of(world, name).membership.is_leading, 15)
    world.heal()
    world.run(30)
    assert controller_of(world, name).membership.is_leading
    assert controller_of(world, name).state.reconciled
    assert world.invariants.violations == []
