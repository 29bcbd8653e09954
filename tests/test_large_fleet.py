"""A fleet of 4,000 machines, compared with one of 500.

The tests guard against work for each heartbeat, round or message that grows with the fleet or the number of teams, and
against messages that are too long. They count Python calls and bytes instead of seconds, so that results do not depend
on the processor.
"""

import json
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from ramptide.cluster.free_rooms import FreeRooms
from ramptide.config.features import Features, QuotaFeature
from ramptide.controller.controller import Controller
from ramptide.protocol.jobs import decode_job_spec
from ramptide.scheduling.urgency_order import UrgencyOrder
from ramptide.state.records import JobRecord, Progress, to_value
from virtual import SECOND, Agent, Entry, Task, World, leader_of, submit_job

SMALL_FLEET_MACHINES, LARGE_FLEET_MACHINES = 500, 4000
MACHINES_PER_RENTAL = 50
TASKS_PER_MACHINE = 8
#: Far below the largest body that a controller accepts from another one, and decoded within a short time.
MAX_MESSAGE_BYTES = 192 * 1024


def fleet_world(
    machine_count: int, members: int = 3, teams: dict[str, float] | None = None, features: Features | None = None
) -> World:
    """Return a world whose controllers all start at once and find machines that run tasks already.

    Each rental of fifty machines runs the tasks of one job.
    """
    world = World(5, teams=teams, capacity=machine_count, members=members, features=features)
    world.store_limits |= {"rps": 300.0, "write_rps": 60.0, "value_kb": 4.0}
    for first_index in range(0, machine_count, MACHINES_PER_RENTAL):
        job_id = f"j-{first_index}"
        world.define_job(job_id, pieces=MACHINES_PER_RENTAL * TASKS_PER_MACHINE, cores=0.5, ramGb=1.0, guessS=5000.0)
        hosts = [
            f"vm-{index:06d}" for index in range(first_index, min(first_index + MACHINES_PER_RENTAL, machine_count))
        ]
        zone = "ab"[first_index // MACHINES_PER_RENTAL % 2]
        record = {"flavor": "m", "yard": zone, "spot": False, "at": 0.0, "count": len(hosts), "born": 0}
        put_record(world, f"live/rental/r-{first_index}", record | {"hosts": {host: [True, None] for host in hosts}})
        spec = decode_job_spec(json.dumps(world.job_specs[job_id]).encode())
        scheduler = world.controller_names[first_index // MACHINES_PER_RENTAL % members]
        put_record(world, f"live/job/{job_id}", to_value(JobRecord(spec, scheduler, 0, 0.0, Progress().encode())))
        for index, host in enumerate(hosts):
            add_machine(world, host, zone, _running_tasks(job_id, index))
    for node in world.nodes.values():
        node.start()
    return world


def _running_tasks(job_id: str, machine_index: int) -> list[Task]:
    first_task = machine_index * TASKS_PER_MACHINE
    return [Task(job_id, number, 1, "running") for number in range(first_task, first_task + TASKS_PER_MACHINE)]


def put_record(world: World, key: str, value: dict[str, Any]) -> None:
    world.store.revision += 1
    world.store.entries[key] = Entry(value, world.store.revision, None)


def add_machine(world: World, host: str, zone: str, tasks: list[Task]) -> None:
    agent = world.agents[host] = Agent(world, host, zone, False)
    agent.tasks = {(task.job_id, task.index, task.attempt): task for task in tasks}
    listed_machine = {"ref": host, "rig": "m", "yard": zone, "loaners": False, "status": "running"}
    world.cloud.listing[host] = listed_machine
    world.after(world.rng.random() * SECOND, agent.boot)


def running_controllers(world: World) -> list[Controller]:
    return [node.controller for node in world.nodes.values() if node.controller is not None]


def all_are_reconciled(world: World) -> bool:
    return all(controller.state.reconciled for controller in running_controllers(world))


def count_python_calls(action: Callable[[], object]) -> int:
    """Return how many Python functions are called while the action runs."""
    calls = Counter[str]()

    def count(_frame: object, event: str, _argument: object) -> None:
        calls[event] += 1

    assert sys.getprofile() is None

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls["call"]


@pytest.fixture(scope="module")
def large_world() -> World:
    """Return a world of 4,000 machines that are all reconciled after the start of all controllers."""
    world = fleet_world(LARGE_FLEET_MACHINES)
    assert world.run_until(lambda: all_are_reconciled(world), 20)
    return world


@pytest.fixture(scope="module")
def small_world() -> World:
    world = fleet_world(SMALL_FLEET_MACHINES)
    assert world.run_until(lambda: all_are_reconciled(world), 20)
    return world


def test_all_controllers_start_with_4000_machines_and_know_every_task(large_world: World) -> None:
    for controller in running_controllers(large_world):
        assert len(controller.state.machines) == LARGE_FLEET_MACHINES
        assert controller.state.shard is not None
        assert sum(controller.machine_index.running_tasks.values()) == LARGE_FLEET_MACHINES * TASKS_PER_MACHINE
    assert large_world.invariants.violations == []
    assert max(len(json.dumps(value)) for value, _, _ in large_world.store.entries.values()) < 4096


def calls_to_handle_a_heartbeat(world: World, changed: bool) -> int:
    """Return the calls for a heartbeat and the decision round after it, on a controller that does not lead."""
    world.run(1.0)
    controller = next(controller for controller in running_controllers(world) if not controller.membership.is_leading)
    assert controller.state.shard is not None
    assert controller.state.scheduler is not None
    agent = next(
        world.agents[host]
        for host in controller.state.shard.machines
        if world.agents[host].fencing_token == controller.state.shard.view
    )
    task = next(iter(agent.tasks.values()))
    if changed:
        task.status = "flushing"
    agent.sequence_number += 1
    body = agent.encode_status()
    scheduler, shard, now = controller.state.scheduler, controller.state.shard, controller.runtime.now
    controller.decision_loop._run_round(scheduler, shard, now, False)
    statuses: list[int] = []

    def handle() -> None:
        controller.heartbeats.receive_heartbeat(body, lambda status, _: statuses.append(status))
        controller.decision_loop._run_round(scheduler, shard, now, False)

    call_count = count_python_calls(handle)
    assert statuses == [200]
    task.status = "running"
    return call_count


@pytest.mark.parametrize("changed", [False, True])
def test_the_work_of_a_heartbeat_does_not_grow_with_the_fleet(
    large_world: World, small_world: World, changed: bool
) -> None:
    assert calls_to_handle_a_heartbeat(large_world, changed) < 1.5 * calls_to_handle_a_heartbeat(small_world, changed)


def calls_of_a_round_with_nothing_to_place(world: World, job_id: str) -> int:
    """Return the calls of a placement round of the leader after its only waiting task was started."""
    controller = next(controller for controller in running_controllers(world) if controller.membership.is_leading)
    scheduler, shard = controller.state.scheduler, controller.state.shard
    assert scheduler is not None
    assert shard is not None
    world.define_job(job_id, pieces=1, cores=2.0, guessS=5000.0)
    assert world.submit_until_accepted(job_id, leader_of(world))
    assert world.run_until(lambda: any(task.job_id == job_id for _, task in world.invariants.running_tasks()), 10)
    return count_python_calls(lambda: controller.placement_round.run(scheduler, controller.runtime.now))


def test_the_work_of_a_placement_round_with_nothing_to_place_does_not_grow_with_the_fleet(
    large_world: World, small_world: World
) -> None:
    assert (
        calls_of_a_round_with_nothing_to_place(large_world, "j-900001")
        < 1.5 * calls_of_a_round_with_nothing_to_place(small_world, "j-900001") + 50
    )


def record_calls(monkeypatch: pytest.MonkeyPatch, cls: type, name: str) -> list[object]:
    """Return a list to which the arguments of each later call of a method are added."""
    calls: list[object] = []
    method = getattr(cls, name)

    def record(self: object, *arguments: object) -> object:
        calls.append(arguments)
        return method(self, *arguments)

    monkeypatch.setattr(cls, name, record)
    return calls


def test_jobs_without_room_are_not_sorted_again_in_the_next_placement_round(
    small_world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(20):
        small_world.define_job(f"j-80000{number}", pieces=3, cores=6.0, guessS=5000.0)
        submit_job(small_world, small_world.rng, f"j-80000{number}")
    small_world.run(5)
    controller = next(controller for controller in running_controllers(small_world) if controller.membership.is_leading)
    assert controller.state.scheduler is not None
    assert len(controller.state.scheduler.jobs_with_pending_tasks) >= 20
    urgency_calls = record_calls(monkeypatch, UrgencyOrder, "urgency_of")
    controller.placement_round.run(controller.state.scheduler, controller.runtime.now)
    assert urgency_calls == []
    job_states = [controller.state.scheduler.jobs[f"j-80000{number}"] for number in range(20)]
    assert all(
        job_state.waiting_since is not None and job_state.without_room_since is not None for job_state in job_states
    )


def test_only_the_requested_rooms_are_recomputed(small_world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    controller = next(
        controller for controller in running_controllers(small_world) if not controller.membership.is_leading
    )
    assert controller.state.shard is not None
    controller.machine_index.refresh()
    rooms_before = dict(controller.machine_index.rooms)
    room_computations = record_calls(monkeypatch, FreeRooms, "_compute_room")
    controller.machine_index.invalidate_all()
    controller.machine_index.refresh(controller.state.shard.machines)
    assert len(room_computations) == len(controller.state.shard.machines) < SMALL_FLEET_MACHINES / 2
    controller.machine_index.refresh()
    assert len(room_computations) == SMALL_FLEET_MACHINES
    assert controller.machine_index.rooms == rooms_before


def test_all_machine_statuses_are_sent_in_parts_after_a_cut_link_heals(large_world: World) -> None:
    """Two controllers that do not lead cannot reach each other while all machines of one of them change."""
    world = large_world
    sender, receiver = [
        controller for controller in running_controllers(world) if not controller.membership.is_leading
    ][:2]
    world.cut_link(sender.state.member, receiver.state.member)
    world.run(1)
    assert sender.state.shard is not None
    assert receiver.state.shard is not None
    for host in sender.state.shard.machines:
        sender.state.shard.mark_changed(host)
    world.run(1)
    world.longest_body_bytes = 0
    world.heal()
    owned_machine_count = len(sender.state.shard.machines)
    sequence_before = receiver.peers.by_name[sender.state.member].received_sequence.sequence_number
    world.run(2)
    assert receiver.peers.by_name[sender.state.member].received_sequence.sequence_number > sequence_before
    assert sender.peers.by_name[receiver.state.member].acknowledged > sequence_before
    assert owned_machine_count > LARGE_FLEET_MACHINES / 4
    assert world.longest_body_bytes < MAX_MESSAGE_BYTES
    received_tasks = {host: receiver.machine_index.machines[host].tasks for host in sender.state.shard.machines}
    assert all(len(tasks) == TASKS_PER_MACHINE for tasks in received_tasks.values())


def test_agents_learn_the_token_soon_when_the_leader_freezes_and_a_tenth_of_the_fleet_hangs(large_world: World) -> None:
    """Announcements of the fencing token to agents that hang must not delay those to the others."""
    world = large_world
    hanging_agents = [agent for number, agent in enumerate(world.agents.values()) if number % 10 == 0]
    for agent in hanging_agents:
        agent.hang(60)
    world.run(4)
    world.longest_body_bytes = 0
    frozen_leader = leader_of(world)
    world.nodes[frozen_leader].freeze(60)
    remaining_controllers = [
        controller for controller in running_controllers(world) if controller.state.member != frozen_leader
    ]
    assert world.run_until(
        lambda: all(
            frozen_leader not in (controller.state.view.members if controller.state.view else {})
            for controller in remaining_controllers
        ),
        8,
    )

    def most_agents_have_the_token() -> bool:
        announced_token = (
            remaining_controllers[0].state.view.number if remaining_controllers[0].state.view is not None else 0
        )
        return sum(agent.fencing_token == announced_token for agent in healthy_agents) > 0.99 * len(healthy_agents)

    healthy_agents = [agent for agent in world.agents.values() if agent not in hanging_agents]
    started_at = world.now
    assert world.run_until(most_agents_have_the_token, 9)
    assert world.now - started_at < 1.5 * SECOND, (
        "an agent waits 4 s for a reply of the frozen leader before it tries another controller"
    )
    assert world.run_until(lambda: all(controller.state.reconciled for controller in remaining_controllers), 14), (
        "the lease is 8 s"
    )
    assert world.longest_body_bytes < MAX_MESSAGE_BYTES
    assert world.invariants.violations == []
    alive_count = sum(agent.alive for agent in healthy_agents)
    assert alive_count == len(healthy_agents), "no machine that sends heartbeats is returned"


def calls_of_the_quota_feature(machine_count: int, team_count: int) -> tuple[int, int]:
    """Return the Python calls of a round and of a message of the quota feature, which transfers team limit shares.

    Meanwhile jobs of three teams wait.
    """
    limits = {"team": 0.0} | {f"t-{index}": 8.0 for index in range(team_count)}
    world = fleet_world(machine_count, teams=limits, features=Features(QuotaFeature(True)))
    assert world.run_until(lambda: all_are_reconciled(world), 20)
    world.run(2)
    for index in range(3):
        world.define_job(f"j-9{index}", owner=f"t-{index}", pieces=20, cores=2.0, guessS=5000.0)
        assert world.submit_until_accepted(f"j-9{index}", world.controller_names[index])
    world.run(2)
    controller = next(
        candidate
        for candidate in running_controllers(world)
        if candidate.state.scheduler is not None and candidate.state.scheduler.jobs_with_pending_tasks
    )
    quota, scheduler = controller.quota, controller.state.scheduler
    assert quota is not None
    assert scheduler is not None
    assert quota.is_ready
    peer = next(iter(controller.peers.by_name.values()))
    round_calls = count_python_calls(lambda: quota.run_round(scheduler, controller.runtime.now))
    message_calls = count_python_calls(lambda: quota.message_for(peer))
    assert world.invariants.violations == []
    return round_calls, message_calls


def test_the_work_of_the_quota_feature_does_not_grow_with_teams_and_machines() -> None:
    small_round, small_message = calls_of_the_quota_feature(SMALL_FLEET_MACHINES, 20)
    large_round, large_message = calls_of_the_quota_feature(LARGE_FLEET_MACHINES, 200)
    assert 0 < large_round <= small_round * 1.5
    assert 0 < large_message <= small_message * 1.5
