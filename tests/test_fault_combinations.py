"""Combinations of faults, each brought about in the virtual world.

The tests guard against these failures, most of them also with one guard taken away, to show that it is needed:

- A cancelled task runs on for longer than `cancel_s`, or an uncancelled one is stopped: the key-value store refuses the
  leader alone, another controller confirms the cancellation, and then the store refuses all controllers in an outage.
- A cancelled task runs on for longer than `cancel_s` on a machine that hangs while controllers restart.
- An array waits forever while room that is reserved for services is free.
- A job stays without room at its scheduler after the transaction of its handover got no response.
- A team exceeds its limit when a job is handed over while messages of its former scheduler are delayed.
- Tasks run twice, are lost or starve when the leader changes during other faults.
- Users are told two different final statuses of one job.
"""

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
    SECOND,
    Agent,
    Respond,
    Task,
    World,
    busy_world,
    cancel_job,
    end_faults,
    ignore_response,
    large_busy_world,
    leader_of,
    longest_starvation,
    owner_of,
    restart_controller,
    run_with_checks,
    running_attempts,
    started_world,
    submit_job,
)

# The key-value store refuses the leader alone, another controller confirms a cancellation, then an outage begins.


def cancel_between_refusal_and_outage(world: World, confirming: str, outage_s: float, restart: bool = False) -> None:
    """Cancel j-1 at controller `confirming` while the store refuses the leader; an outage begins at the confirmation.

    With `restart`, the confirming controller is killed before it can inform any other controller, and is started again
    0.3 s later.
    """
    leader = leader_of(world)
    world.store.refused_callers.add(leader)
    world.run(0.5)
    cancel_at_start_of_outage(world, "j-1", confirming, outage_s, restart)
    run_with_checks(world, outage_s)
    world.store.refused_callers.clear()
    run_with_checks(world, 15)


def cancel_at_start_of_outage(world: World, job_id: str, confirming: str, outage_s: float, restart: bool) -> None:
    """Cancel a job; the outage of the key-value store begins at the moment at which the user gets the confirmation."""

    def on_confirmed(status: int, body: bytes, _headers: object) -> None:
        assert status == 200
        assert b"withdrawn" in body
        world.cancelled_at[job_id] = world.now
        world.store.start_outage(outage_s)
        if restart:
            world.nodes[confirming].kill()
            world.after(0.3 * SECOND, world.nodes[confirming].start)

    world.request(confirming, lambda controller: controller.job_api.cancel(job_id, on_confirmed))
    assert world.run_until(lambda: job_id in world.cancelled_at, 3)


def world_with_two_jobs(seed: int) -> World:
    """Return a world in which two long jobs run: j-1, which tests cancel, and j-2, which no test cancels."""
    world = busy_world(seed, guessS=500.0, pieces=6, cores=2.0)
    world.define_job("j-2", pieces=6, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-2", "c1")
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 30)
    return world


def followers(world: World) -> list[str]:
    """Return the controllers that do not lead."""
    return [name for name in world.controller_names if name != leader_of(world)]


@pytest.mark.parametrize("seed", range(1, 5))
def test_only_cancelled_tasks_end_when_a_store_outage_follows_the_confirmation(seed: int) -> None:
    world = world_with_two_jobs(seed)
    before = running_attempts(world, "j-2")
    cancel_between_refusal_and_outage(world, followers(world)[seed % 2], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert running_attempts(world, "j-2") == before


@pytest.mark.parametrize("seed", range(1, 5))
def test_cancelled_tasks_end_in_time_when_the_confirming_controller_restarts_during_the_outage(seed: int) -> None:
    world = world_with_two_jobs(seed)
    cancel_between_refusal_and_outage(world, followers(world)[seed % 2], 40, restart=True)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()


def test_cancelled_task_runs_on_without_the_check_for_unknown_deletions(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that started in the outage does not know what its predecessor confirmed.

    Without the check, it still takes part in the agreement that the key-value store is unavailable, which lets the
    others renew leases.
    """
    monkeypatch.setattr(WatchCache, "deleted_since", lambda cache, revision: [])
    world = world_with_two_jobs(1)
    cancel_between_refusal_and_outage(world, followers(world)[1], 40, restart=True)
    assert any("ran_cancelled" in violation for violation in world.invariants.violations)


def disable_announcements(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent the immediate announcement of confirmed cancellations, as if the announcing messages were lost."""
    monkeypatch.setattr(
        "ramptide.controller.cancellations.RecentCancellations.announce", lambda cancellations, job_id: None
    )


def test_cancelled_tasks_end_in_time_when_only_replies_in_the_outage_report_the_cancellation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    disable_announcements(monkeypatch)
    world = world_with_two_jobs(2)
    before = running_attempts(world, "j-2")
    cancel_between_refusal_and_outage(world, followers(world)[0], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert running_attempts(world, "j-2") == before


def test_cancelled_task_runs_on_without_deletions_in_the_replies_of_the_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    disable_announcements(monkeypatch)
    monkeypatch.setattr(WatchCache, "deleted_since", lambda cache, revision: [])
    world = world_with_two_jobs(2)
    cancel_between_refusal_and_outage(world, followers(world)[0], 40)
    assert any("ran_cancelled" in violation for violation in world.invariants.violations)


@pytest.mark.parametrize("seed", range(1, 4))
def test_cancelled_tasks_end_in_time_when_the_store_is_slow_before_and_after_the_outage(seed: int) -> None:
    world = world_with_two_jobs(seed)
    world.max_store_delay_s = 1.0
    world.run(3)
    cancel_between_refusal_and_outage(world, followers(world)[seed % 2], 40)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    for name in world.controller_names:
        answer = world.poll_job("j-1", name) or world.poll_job("j-1", name)
        assert answer is None or answer[0] == 503 or answer[1]["status"] == "withdrawn"


def test_only_cancelled_tasks_end_when_refusal_and_outage_occur_twice_with_restarts_in_between() -> None:
    world = world_with_two_jobs(3)
    confirming, other = followers(world)
    cancel_between_refusal_and_outage(world, confirming, 30)
    for name in (confirming, other):
        world.nodes[name].kill()
        world.run(0.2)
        world.nodes[name].start()
        world.run(4)
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 30)
    world.define_job("j-1", pieces=6, cores=2.0, guessS=500.0)
    world.define_job("j-3", pieces=6, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted("j-3", other)
    assert world.run_until(lambda: len(running_attempts(world, "j-3")) == 6, 30)
    world.store.refused_callers.add(leader_of(world))
    world.run(1)
    confirming = followers(world)[0]
    cancel_at_start_of_outage(world, "j-3", confirming, 30, restart=True)
    run_with_checks(world, 30)
    world.store.refused_callers.clear()
    run_with_checks(world, 10)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-3") == set()
    assert world.run_until(lambda: len(running_attempts(world, "j-2")) == 6, 40), (
        "the job that nobody cancelled runs again"
    )


def test_job_reported_finished_by_a_peer_stays_dropped_when_its_record_arrives_late() -> None:
    """The watch of a controller that the store refused shows earlier changes of a job first, and its deletion last."""
    world = world_with_two_jobs(4)
    leader = leader_of(world)
    controller = world.nodes[leader].controller
    assert controller is not None
    record, revision = controller.state.jobs["j-1"].record, controller.state.jobs["j-1"].mod_revision
    controller.assignments.drop_finished(["j-1"])
    assert "j-1" not in controller.state.jobs
    controller.store_events.on_change("live/job/j-1", msgspec.to_builtins(record), revision + 1)
    assert "j-1" not in controller.state.jobs
    controller.store_events.on_change("live/job/j-1", None, revision + 2)
    assert not controller.assignments._finished_elsewhere


# A machine hangs for longer than a cancellation may take, with a cancelled task on it.


def cancel_job_on_hung_machines(world: World, *faults: str, machine_count: int = 1) -> list[Agent]:
    """Hang `machine_count` machines with tasks of j-1, cancel the job, inject the faults, and return the machines.

    Past its lease, a machine that hangs ends all tasks as soon as it continues; the invariants still count a cancelled
    task there as running until the machine is returned.
    """
    hung = list({agent.host: agent for agent, _ in world.invariants.running_tasks()}.values())[:machine_count]
    for agent in hung:
        agent.hang(45)
    assert world.run_until(lambda: world.cancel_job("j-1", followers(world)[0]), 10)
    world.run(3)
    if "outage" in faults:
        world.store.start_outage(40)
    if "owner" in faults:
        restart_controller(world, owner_of(world, agent.host))
    if "leader" in faults:
        restart_controller(world, leader_of(world))
    if "elections" in faults:
        for number in range(2):
            world.after(number * 7 * SECOND, lambda: restart_controller(world, leader_of(world)))
    run_with_checks(world, 50)
    return hung


@pytest.mark.parametrize("fault", ["none", "outage", "owner", "leader", "elections"])
def test_machine_that_hangs_with_a_cancelled_task_is_returned_in_time(fault: str) -> None:
    world = busy_world(guessS=500.0)
    hung = cancel_job_on_hung_machines(world, fault)
    assert world.invariants.violations == []
    assert not hung[0].alive


def test_many_hanging_machines_are_returned_in_time_when_the_leader_changes_twice() -> None:
    world = large_busy_world()
    hung = cancel_job_on_hung_machines(world, "elections", machine_count=6)
    assert world.invariants.violations == []
    assert not any(agent.alive for agent in hung)


def test_cancelled_task_runs_on_without_the_timely_return_of_silent_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.controller.timings.CONFIRM_TIMEOUT_RATIO", 10.0)
    world = busy_world(guessS=500.0)
    cancel_job_on_hung_machines(world)
    assert any("ran_cancelled" in violation for violation in world.invariants.violations)


def test_cancelled_task_runs_on_without_unconfirmed_terminations_kept_across_views(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a new view, the owner of a hanging machine reports no tasks there, as no heartbeat has arrived since."""

    def forget_terminations(machine_index: MachineIndex) -> None:
        machine_index.machines.update(
            {name: ObservedMachine(images=machine.images) for name, machine in machine_index.machines.items()}
        )
        machine_index._tasks.clear()
        machine_index._free_rooms.on_new_view()

    monkeypatch.setattr(MachineIndex, "on_new_view", forget_terminations)
    world = large_busy_world()
    cancel_job_on_hung_machines(world, "elections", machine_count=6)
    assert any("ran_cancelled" in violation for violation in world.invariants.violations)


def test_hanging_machine_is_kept_when_no_job_was_cancelled() -> None:
    world = busy_world(guessS=500.0)
    agent, _ = world.invariants.running_tasks()[0]
    agent.hang(18)
    run_with_checks(world, 30)
    assert agent.alive
    assert world.invariants.violations == []


# An array waits while the only free room is reserved for services.


def world_with_array_beside_services() -> World:
    """Return a world in which an array waits beside services: each machine keeps its free quarter for more services."""
    world = started_world(8, capacity=2)
    for number in range(2):
        world.define_job(f"j-{number}", shape="service", pieces=1, cores=6.0)
        assert world.submit_until_accepted(f"j-{number}", "c0")
        assert world.run_until(lambda: len(world.invariants.running_tasks()) == number + 1, 30)  # noqa: B023
    world.define_job("j-5", pieces=4, cores=2.0, guessS=5.0)
    assert world.submit_until_accepted("j-5", "c1")
    return world


def test_array_starts_in_time_when_only_room_reserved_for_services_is_free() -> None:
    world = world_with_array_beside_services()
    assert longest_starvation(world, 100)[0] < 90 * SECOND
    assert world.run_until(lambda: world.is_done("j-5"), 300)


def test_array_starves_without_share_wait_and_patience() -> None:
    world = world_with_array_beside_services()
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(
            share_wait=1000 * SECOND, patience=1000 * SECOND
        )
    assert longest_starvation(world, 100)[0] >= 90 * SECOND


# The transaction of a handover gets no response.


def drop_first_handover(world: World, delay_s: float | None) -> None:
    """Give the first handover no response; it is executed `delay_s` seconds late, or never if that is None."""
    handle = world.store.handle
    dropped: list[bytes] = []

    def handle_or_drop(caller: str, method: str, target: str, body: bytes, respond: Respond) -> None:
        if target == TRANSACTION_PATH and b'"hand":[' in body and not dropped:
            dropped.append(body)
            if delay_s is not None:
                world.after(delay_s * SECOND, lambda: handle(caller, method, target, body, ignore_response))
        else:
            handle(caller, method, target, body, respond)

    world.store.handle = handle_or_drop  # type: ignore[method-assign]


def submit_job_without_room_at_its_scheduler(world: World) -> None:
    """Submit a job that a follower schedules, whose own machines have too little room for it."""
    world.define_job("j-1", pieces=30, cores=4.0, guessS=6.0)
    assert world.submit_until_accepted("j-1", followers(world)[0])
    scheduler = followers(world)[0]
    entry = world.store.entries["live/job/j-1"]
    world.store.put("live/job/j-1", entry.value | {"home": scheduler}, entry.lease_id)


@pytest.mark.parametrize("delay_s", [None, 4.0])
def test_job_finishes_when_its_handover_gets_no_response(delay_s: float | None) -> None:
    world = started_world(3)
    drop_first_handover(world, delay_s)
    submit_job_without_room_at_its_scheduler(world)
    assert world.run_until(lambda: world.is_done("j-1"), 100)
    assert world.invariants.violations == []


def test_job_stays_unfinished_without_the_retry_of_its_handover(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ramptide.scheduling.handover.RETRY_DELAY", 1000 * SECOND)
    world = started_world(3)
    drop_first_handover(world, None)
    submit_job_without_room_at_its_scheduler(world)
    assert not world.run_until(lambda: world.is_done("j-1"), 100)


# A job is handed over while messages of its former scheduler are delayed.


def hand_over_job_at_team_limit(world: World) -> None:
    """Hand a job over to the leader, while another job of its team waits for the limit at the former scheduler.

    For 2.5 s, the leader receives no new message from the former scheduler.
    """
    new_name, former_name = leader_of(world), followers(world)[0]
    former_scheduler, new_scheduler = world.nodes[former_name].controller, world.nodes[new_name].controller
    assert former_scheduler is not None
    assert new_scheduler is not None
    assert former_scheduler.state.view is not None
    assert former_scheduler.state.scheduler is not None
    for controller in (former_scheduler, new_scheduler):
        controller.handover.run = lambda scheduler, now: None  # type: ignore[method-assign]
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.job_api._choose_scheduler = lambda run: former_name
    for job_id in ("j-1", "j-2"):
        world.define_job(job_id, owner="few", pieces=3, cores=4.0, guessS=300.0)
        assert world.submit_until_accepted(job_id, former_name)
    assert world.run_until(lambda: len(running_attempts(world, "j-1") | running_attempts(world, "j-2")) == 3, 40)
    job_id = "j-1" if running_attempts(world, "j-1") else "j-2"
    send = former_scheduler.peers.send
    former_scheduler.peers.send = lambda peer, update, interval=SECOND: (  # type: ignore[assignment, method-assign]
        peer.name != new_name and send(peer, update, interval)
    )
    world.run(0.5)
    message = new_scheduler.peers.last_message(former_name)
    assert message is not None
    job = former_scheduler.state.jobs[job_id]
    handover_record = Handover(former_scheduler.state.view.number, former_name, message.sequence_number)
    record = msgspec.structs.replace(job.record, scheduler=new_name, handover=handover_record)
    world.store.put(f"live/job/{job_id}", msgspec.to_builtins(record))
    run_with_checks(world, 2)
    former_scheduler.peers.send = send  # type: ignore[method-assign]
    run_with_checks(world, 5)


def world_with_limited_team() -> World:
    """Return a world with a team limited to 12 CPUs, in which a job of another team runs."""
    world = started_world(3, teams={"team": 0.0, "few": 12.0})
    world.define_job("j-9", pieces=12, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-9", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 12, 40)
    return world


def test_team_limit_holds_when_a_job_is_handed_over_during_message_delays() -> None:
    world = world_with_limited_team()
    hand_over_job_at_team_limit(world)
    assert world.invariants.violations == []


def test_team_limit_is_exceeded_without_the_wait_for_the_former_schedulers_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def find_startable_handovers(split: ShareSplit, scheduler: JobScheduler, _view: View) -> list[str]:
        return [
            job_state.job.job_id
            for job_state in scheduler.jobs.values()
            if job_state.job.record.handover is not None and split._may_start_job(job_state)
        ]

    monkeypatch.setattr(ShareSplit, "_find_counted_handovers", find_startable_handovers)
    world = world_with_limited_team()
    hand_over_job_at_team_limit(world)
    assert any("quota" in violation for violation in world.invariants.violations)


def messages_without_own_attempts(world: World) -> list[str]:
    """Return the messages that do not show some attempt that the sender has started on its own machines.

    Each message acknowledges the sender's own desired tasks, so it must also show the effect of these tasks.
    """
    incomplete: list[str] = []
    for node in world.nodes.values():
        controller = node.controller
        assert controller is not None
        reported: dict[tuple[str, str], set[tuple[str, int, int]]] = {}

        def send(  # type: ignore[no-untyped-def]
            peer: Peer,
            message: PeerMessage,
            interval: timedelta = SECOND,
            sender: Controller = controller,
            reported=reported,
        ) -> None:
            for host, status in message.machine_status.items():
                reported[peer.name, host] = {task[:3] for task in status.tasks} if status is not None else set()
            for host, machine in (
                sender.state.shard.machines.items() if sender.state.shard is not None and message.view else ()
            ):
                own_attempts = {
                    key
                    for key, entry in machine.entries.items()
                    if entry.requested_by == sender.state.member and entry.desired is DesiredState.RUN
                }
                if own_attempts - reported.get((peer.name, host), set()):
                    incomplete.append(f"{message.member} to {peer.name}: {host}")
            Peers.send(sender.peers, peer, message, interval)

        controller.peers.send = send  # type: ignore[method-assign]
    for number in range(6):
        world.define_job(f"j-{number}", pieces=6, guessS=3.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    world.run(20)
    return incomplete


def test_messages_show_the_effect_of_the_desired_tasks_that_they_acknowledge() -> None:
    assert messages_without_own_attempts(started_world(5)) == []


def test_messages_miss_acknowledged_starts_without_the_recorded_status_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that takes over a job relies on these messages, and would not know of the missing starts."""
    original_method = Replication.record_changes

    def record_without_own_desired_tasks(
        replication: Replication, scheduler: JobScheduler, shard: Shard, changed: set[str]
    ) -> None:
        original_method(replication, scheduler, shard, changed)
        for host in {
            name
            for name, changed_at in replication._status_changes._last_change.items()
            if changed_at == scheduler.sequence_number
        } - changed:
            del replication._status_changes._last_change[host]

    monkeypatch.setattr(Replication, "record_changes", record_without_own_desired_tasks)
    assert messages_without_own_attempts(started_world(5))


# The leader changes during other faults.


def restart_all_controllers(world: World, seconds: float) -> None:
    """Kill all controllers and start them again `seconds` later; no controller responds to heartbeats meanwhile."""
    for name in world.controller_names:
        world.nodes[name].kill()
    run_with_checks(world, seconds)
    for name in world.controller_names:
        world.nodes[name].start()


def test_only_the_uncancelled_job_runs_again_when_all_controllers_were_down_past_a_lease() -> None:
    world = world_with_two_jobs(1)
    assert world.cancel_job("j-1", "c0")
    restart_all_controllers(world, 12)
    run_with_checks(world, 30)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()
    assert len(running_attempts(world, "j-2")) == 6


def kill_ten_leaders(world: World) -> None:
    """Kill ten leaders within two minutes, two of them in an outage of 6 s; each starts again 0.3 s or 2.5 s later."""
    for number in range(10):
        leader = leader_of(world)
        if number % 4 == 3:
            world.store.start_outage(6)
        world.nodes[leader].kill()
        world.after((0.3 if number % 2 else 2.5) * SECOND, world.nodes[leader].start)
        run_with_checks(world, 12)


def schedule_jobs_of_two_teams(world: World) -> list[str]:
    """Schedule long and short jobs, with and without zone constraints, of two teams, one of which has a limit."""
    variants: list[dict[str, Any]] = [
        {},
        {"owner": "few"},
        {"oneZone": True},
        {"spread": True},
        {"yard": "a", "owner": "few"},
    ]
    job_ids = [f"j-{number}" for number in range(20)]
    for number, job_id in enumerate(job_ids):
        world.define_job(job_id, pieces=3, cores=2.0, guessS=(4.0, 15.0, 30.0)[number % 3], **variants[number % 5])
        world.after(number * 5 * SECOND, lambda job_id=job_id: submit_job(world, world.rng, job_id))  # type: ignore[misc]
    return job_ids


@pytest.mark.parametrize("seed", range(4))
def test_no_job_starves_when_ten_leaders_fail_within_two_minutes(seed: int) -> None:
    world = started_world(seed, teams={"team": 0.0, "few": 8.0})
    job_ids = schedule_jobs_of_two_teams(world)
    world.run(5)
    kill_ten_leaders(world)
    end_faults(world)
    assert longest_starvation(world, 60)[0] < 60 * SECOND
    assert world.invariants.violations == []
    # A job may stay unaccepted if its controller was killed during the submission: its user gets no answer, and does
    # not retry.
    assert len(world.accepted_jobs) >= len(job_ids) - 3
    assert world.run_until(lambda: all(world.is_done(job_id) for job_id in world.accepted_jobs), 60)


def restart_leader_with_unreachable_machines(world: World, fault: str) -> None:
    """Cut off four machines with long tasks, or drop the responses to their heartbeats, and restart the leader.

    The cloud is down, so that no machine can be returned.
    """
    world.cloud.is_down = True
    hosts = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[:4]
    for host in hosts:
        if fault == "deaf":
            world.hosts_without_responses.add(host)
        else:
            for name in world.controller_names:
                world.cut_link(host, name)
    restart_controller(world, leader_of(world))
    run_with_checks(world, 25)
    world.heal()
    world.cloud.is_down = False
    run_with_checks(world, 40)


@pytest.mark.parametrize("fault", ["deaf", "cut"])
def test_no_task_runs_twice_when_the_new_leader_cannot_reach_machines(fault: str) -> None:
    world = large_busy_world()
    restart_leader_with_unreachable_machines(world, fault)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 16


@pytest.mark.parametrize("fault", ["deaf", "cut"])
def test_tasks_run_twice_without_the_wait_for_unreconciled_machines(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda reconciliation: {})
    world = large_busy_world()
    restart_leader_with_unreachable_machines(world, fault)
    assert any("ran_twice" in violation for violation in world.invariants.violations)


def cancel_job_of_limited_team_with_unreachable_machines(world: World) -> None:
    """Restart the leader and cancel a job while its team is at the limit and half of the machines are cut off."""
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
    world.after(3 * SECOND, lambda: cancel_job(world, world.rng, running))
    run_with_checks(world, 25)
    world.heal()
    world.cloud.is_down = False
    run_with_checks(world, 40)


def test_team_limit_holds_when_a_job_is_cancelled_while_machines_are_unreachable() -> None:
    world = started_world(2, teams={"team": 0.0, "few": 24.0})
    cancel_job_of_limited_team_with_unreachable_machines(world)
    assert world.invariants.violations == []
    assert len(world.invariants.running_tasks()) == 12


def test_limit_is_exceeded_or_a_task_runs_twice_without_the_wait_for_unreconciled_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Reconciliation, "unreconciled_machines", lambda reconciliation: {})
    world = started_world(2, teams={"team": 0.0, "few": 24.0})
    cancel_job_of_limited_team_with_unreachable_machines(world)
    assert any("quota" in violation or "ran_twice" in violation for violation in world.invariants.violations)


@pytest.mark.parametrize("fields", [{"oneZone": True}, {"spread": True}, {"yard": "a"}], ids=str)
def test_zone_constrained_job_finishes_in_its_allowed_zones_when_machines_are_lost(fields: dict[str, object]) -> None:
    world = started_world(6)
    world.define_job("j-1", pieces=10, cores=4.0, guessS=40.0, **fields)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running_attempts(world, "j-1")) >= 8, 40)
    for number in range(3):
        world.invariants.running_tasks()[0][0].terminate()
        if number == 1:
            restart_controller(world, leader_of(world))
        run_with_checks(world, 8)
    run_with_checks(world, 20)
    assert world.run_until(lambda: world.is_done("j-1"), 150)
    assert world.invariants.violations == []


def test_all_results_are_counted_when_tasks_end_before_between_and_after_leader_changes() -> None:
    """Tasks run for 2 s, 14 s and 30 s; the leader is restarted after 10 s, and the next leader after 20 s."""
    world = started_world(5)
    for job_id in ("j-1", "j-2"):
        world.define_job(job_id, pieces=3, cores=2.0, guessS=2.0)
        assert world.submit_until_accepted(job_id, "c1")
    durations = iter([2.0, 14.0, 30.0] * 4)
    run_task = Agent._run

    def run_with_next_duration(agent: Agent, task: Task, spec: dict[str, object]) -> None:
        run_task(agent, task, spec | {"guessS": next(durations, 5.0)})

    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(Agent, "_run", run_with_next_duration)
        for _ in range(2):
            run_with_checks(world, 10)
            restart_controller(world, leader_of(world))
        assert world.run_until(lambda: world.is_done("j-1") and world.is_done("j-2"), 90)
    assert world.invariants.violations == []


# A job is cancelled, polled and submitted again when its last task ends.


def final_statuses(world: World, delay_s: float) -> set[str]:
    """Return the final statuses of j-1 that users are told.

    `delay_s` seconds after the last task of the job has succeeded, the job is cancelled, polled and submitted again,
    each at a different controller. Later the job is polled at all controllers.
    """
    body = json.dumps(world.job_specs["j-1"]).encode()
    statuses: list[str] = []

    def record_final_status(status: int, body: bytes, _headers: object) -> None:
        if status == 200 and json.loads(body)["status"] in ("done", "withdrawn"):
            statuses.append(json.loads(body)["status"])

    def send_requests() -> None:
        world.request("c0", lambda controller: controller.job_api.cancel("j-1", record_final_status))
        world.request("c1", lambda controller: controller.job_api.poll("j-1", record_final_status))
        world.request("c2", lambda controller: controller.job_api.submit(body, record_final_status))

    world.invariants.on_job_done = lambda job_id: world.after(delay_s * SECOND, send_requests)
    assert world.run_until(lambda: len(world.invariants.succeeded_tasks) == 2, 40)
    run_with_checks(world, 8)
    for name in world.controller_names:
        answer = world.poll_job("j-1", name)
        assert answer is not None
        assert answer[0] == 200
        statuses.append(answer[1]["status"])
    return set(statuses)


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.2, 0.5, 0.8, 1.1, 1.5])
def test_users_are_told_one_final_status_when_requests_arrive_as_a_job_ends(delay_s: float) -> None:
    world = started_world(7)
    world.define_job("j-1", pieces=2, guessS=3.0)
    assert world.submit_until_accepted("j-1", "c0")
    statuses = final_statuses(world, delay_s)
    assert statuses in ({"done"}, {"withdrawn"})
    if "done" in statuses:
        assert world.is_done("j-1")
    assert world.invariants.violations == []
