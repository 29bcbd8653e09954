"""About 4,000 machines: work, messages and bytes are counted, not seconds, and compared with a fleet of 500."""

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
from virtual import Agent, Entry, S, Task, World, leader_of, submit_job

SMALL, LARGE = 500, 4000
RENTED_TOGETHER = 50
TASKS_ON_EACH = 8
#: Far below what one message may have, and what a controller reads in a moment.
LONGEST_MESSAGE_BYTES = 192 * 1024


def fleet_world(
    machines: int, members: int = 3, teams: dict[str, float] | None = None, parts: Features | None = None
) -> World:
    """Controllers that all start at once, and find machines that run the tasks of one job each for fifty of them."""
    world = World(5, teams=teams, capacity=machines, members=members, parts=parts)
    world.store_limits |= {"rps": 300.0, "write_rps": 60.0, "value_kb": 4.0}
    for first in range(0, machines, RENTED_TOGETHER):
        job_id = f"j-{first}"
        world.define_job(job_id, pieces=RENTED_TOGETHER * TASKS_ON_EACH, cores=0.5, ramGb=1.0, guessS=5000.0)
        hosts = [f"vm-{number:06d}" for number in range(first, min(first + RENTED_TOGETHER, machines))]
        yard = "ab"[first // RENTED_TOGETHER % 2]
        record = {"flavor": "m", "yard": yard, "spot": False, "at": 0.0, "count": len(hosts), "born": 0}
        put(world, f"live/rental/r-{first}", record | {"hosts": {host: [True, None] for host in hosts}})
        run = decode_job_spec(json.dumps(world.job_specs[job_id]).encode())
        scheduler = world.controller_names[first // RENTED_TOGETHER % members]
        put(world, f"live/job/{job_id}", to_value(JobRecord(run, scheduler, 0, 0.0, Progress().encode())))
        for number, host in enumerate(hosts):
            add_machine(world, host, yard, _tasks(job_id, number))
    for node in world.nodes.values():
        node.start()
    return world


def _tasks(job_id: str, machine: int) -> list[Task]:
    first = machine * TASKS_ON_EACH
    return [Task(job_id, number, 1, "running") for number in range(first, first + TASKS_ON_EACH)]


def put(world: World, key: str, value: dict[str, Any]) -> None:
    world.store.revision += 1
    world.store.entries[key] = Entry(value, world.store.revision, None)


def add_machine(world: World, host: str, yard: str, tasks: list[Task]) -> None:
    agent = world.agents[host] = Agent(world, host, yard, False)
    agent.tasks = {(task.job_id, task.index, task.attempt): task for task in tasks}
    row = {"ref": host, "rig": "m", "yard": yard, "loaners": False, "status": "running"}
    world.cloud.listing[host] = row
    world.after(world.rng.random() * S, agent.boot)


def controllers(world: World) -> list[Controller]:
    return [node.controller for node in world.nodes.values() if node.controller is not None]


def settled(world: World) -> bool:
    return all(c.state.reconciled for c in controllers(world))


def python_calls(action: Callable[[], object]) -> int:
    """How many Python functions are called meanwhile."""
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
def large() -> World:
    """A fleet of 4,000 that has just settled after a start of everything."""
    world = fleet_world(LARGE)
    assert world.run_until(lambda: settled(world), 20)
    return world


@pytest.fixture(scope="module")
def small() -> World:
    world = fleet_world(SMALL)
    assert world.run_until(lambda: settled(world), 20)
    return world


def test_all_controllers_start_with_4000_machines_and_know_every_task(large: World) -> None:
    for c in controllers(large):
        assert len(c.state.machines) == LARGE
        assert c.state.shard is not None
        assert sum(c.machine_index.running_tasks.values()) == LARGE * TASKS_ON_EACH
    assert large.invariants.violations == []
    assert max(len(json.dumps(value)) for value, _, _ in large.store.entries.values()) < 4096


def calls_of_a_heartbeat(world: World, changed: bool) -> int:
    """What it takes to handle a report and the round after it, on a controller that does not lead."""
    world.run(1.0)
    c = next(c for c in controllers(world) if not c.membership.is_leading)
    assert c.state.shard is not None
    assert c.state.scheduler is not None
    agent = next(
        world.agents[host] for host in c.state.shard.machines if world.agents[host].fencing_token == c.state.shard.view
    )
    task = next(iter(agent.tasks.values()))
    if changed:
        task.status = "flushing"
    agent.sequence_number += 1
    body = agent.encode_status()
    scheduler, part, now = c.state.scheduler, c.state.shard, c.runtime.now
    c.decision_loop._run_round(scheduler, part, now, False)
    answers: list[int] = []

    def handle() -> None:
        c.heartbeats.receive_heartbeat(body, lambda status, _: answers.append(status))
        c.decision_loop._run_round(scheduler, part, now, False)

    calls = python_calls(handle)
    assert answers == [200]
    task.status = "running"
    return calls


@pytest.mark.parametrize("changed", [False, True])
def test_the_work_of_a_heartbeat_does_not_grow_with_the_fleet(large: World, small: World, changed: bool) -> None:
    assert calls_of_a_heartbeat(large, changed) < 1.5 * calls_of_a_heartbeat(small, changed)


def work_of_a_start(world: World, job_id: str) -> int:
    """What the leader's round takes that starts one task, beside jobs that find no room."""
    c = next(c for c in controllers(world) if c.membership.is_leading)
    scheduler, part = c.state.scheduler, c.state.shard
    assert scheduler is not None
    assert part is not None
    world.define_job(job_id, pieces=1, cores=2.0, guessS=5000.0)
    assert world.submit_until_accepted(job_id, leader_of(world))
    assert world.run_until(lambda: any(task.job_id == job_id for _, task in world.invariants.running_tasks()), 10)
    return python_calls(lambda: c.placement_round.run(scheduler, c.runtime.now))


def test_the_work_of_a_placement_round_with_nothing_to_place_does_not_grow(large: World, small: World) -> None:
    assert work_of_a_start(large, "j-900001") < 1.5 * work_of_a_start(small, "j-900001") + 50


def counted(monkeypatch: pytest.MonkeyPatch, kind: type, name: str) -> list[object]:
    """The calls of a method from now on."""
    calls: list[object] = []
    method = getattr(kind, name)

    def count(self: object, *arguments: object) -> object:
        calls.append(arguments)
        return method(self, *arguments)

    monkeypatch.setattr(kind, name, count)
    return calls


def test_jobs_that_are_larger_than_all_room_are_not_put_in_order_round_after_round(
    small: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(20):
        small.define_job(f"j-80000{number}", pieces=3, cores=6.0, guessS=5000.0)
        submit_job(small, small.rng, f"j-80000{number}")
    small.run(5)
    c = next(c for c in controllers(small) if c.membership.is_leading)
    assert c.state.scheduler is not None
    assert len(c.state.scheduler.jobs_with_pending_tasks) >= 20
    ordered = counted(monkeypatch, UrgencyOrder, "urgency_of")
    c.placement_round.run(c.state.scheduler, c.runtime.now)
    assert ordered == []
    waits = [c.state.scheduler.jobs[f"j-80000{number}"] for number in range(20)]
    assert all(job_state.waiting_since is not None and job_state.without_room_since is not None for job_state in waits)


def test_only_the_rooms_that_are_asked_for_are_worked_out(small: World, monkeypatch: pytest.MonkeyPatch) -> None:
    c = next(c for c in controllers(small) if not c.membership.is_leading)
    assert c.state.shard is not None
    c.machine_index.refresh()
    before = dict(c.machine_index.rooms)
    worked_out = counted(monkeypatch, FreeRooms, "_compute_room")
    c.machine_index.invalidate_all()
    c.machine_index.refresh(c.state.shard.machines)
    assert len(worked_out) == len(c.state.shard.machines) < SMALL / 2
    c.machine_index.refresh()
    assert len(worked_out) == SMALL
    assert c.machine_index.rooms == before


def test_a_controller_that_was_not_heard_tells_its_whole_table_in_parts(large: World) -> None:
    """Two that do not lead cannot reach each other while each machine of theirs changes."""
    world = large
    one, other = [c for c in controllers(world) if not c.membership.is_leading][:2]
    world.cut_link(one.state.member, other.state.member)
    world.run(1)
    assert one.state.shard is not None
    assert other.state.shard is not None
    for host in one.state.shard.machines:
        one.state.shard.mark_changed(host)
    world.run(1)
    world.longest_body = 0
    world.heal()
    told = len(one.state.shard.machines)
    base = other.peers.by_name[one.state.member].received_sequence.sequence_number
    world.run(2)
    assert other.peers.by_name[one.state.member].received_sequence.sequence_number > base
    assert one.peers.by_name[other.state.member].acknowledged > base
    assert told > LARGE / 4
    assert world.longest_body < LONGEST_MESSAGE_BYTES
    shown = {host: other.machine_index.machines[host].tasks for host in one.state.shard.machines}
    assert all(len(tasks) == TASKS_ON_EACH for tasks in shown.values())


def test_a_tenth_of_the_fleet_silent_at_once_and_a_leader_that_ends(large: World) -> None:
    """The announcements to the machines that hang do not hold up those to the others."""
    world = large
    hung = [agent for number, agent in enumerate(world.agents.values()) if number % 10 == 0]
    for agent in hung:
        agent.hang(60)
    world.run(4)
    world.longest_body = 0
    gone = leader_of(world)
    world.nodes[gone].freeze(60)
    left = [c for c in controllers(world) if c.state.member != gone]
    assert world.run_until(lambda: all(gone not in (c.state.view.members if c.state.view else {}) for c in left), 8)

    def told() -> bool:
        number = left[0].state.view.number if left[0].state.view is not None else 0
        return sum(agent.fencing_token == number for agent in healthy) > 0.99 * len(healthy)

    healthy = [agent for agent in world.agents.values() if agent not in hung]
    begun = world.now
    assert world.run_until(told, 9)
    assert world.now - begun < 1.5 * S, "a worker whose report the lost controller has waits 4 s before it asks another"
    assert world.run_until(lambda: all(c.state.reconciled for c in left), 14), "the lease is 8 s"
    assert world.longest_body < LONGEST_MESSAGE_BYTES
    assert world.invariants.violations == []
    alive = sum(agent.alive for agent in healthy)
    assert alive == len(healthy), "no machine that reports is given up"


def quota_calls(machines: int, teams: int) -> tuple[int, int]:
    """Python calls of a round and of a message of the quota part, while the jobs of three teams wait."""
    limits = {"team": 0.0} | {f"t-{number}": 8.0 for number in range(teams)}
    world = fleet_world(machines, teams=limits, parts=Features(QuotaFeature(True)))
    assert world.run_until(lambda: settled(world), 20)
    world.run(2)
    for number in range(3):
        world.define_job(f"j-9{number}", owner=f"t-{number}", pieces=20, cores=2.0, guessS=5000.0)
        assert world.submit_until_accepted(f"j-9{number}", world.controller_names[number])
    world.run(2)
    controller = next(
        c for c in controllers(world) if c.state.scheduler is not None and c.state.scheduler.jobs_with_pending_tasks
    )
    quota, scheduler = controller.quota, controller.state.scheduler
    assert quota is not None
    assert scheduler is not None
    assert quota.is_ready
    peer = next(iter(controller.peers.by_name.values()))
    round_calls = python_calls(lambda: quota.run_round(scheduler, controller.runtime.now))
    message_calls = python_calls(lambda: quota.message_for(peer))
    assert world.invariants.violations == []
    return round_calls, message_calls


def test_passing_share_on_takes_the_same_work_with_200_teams_and_4000_machines() -> None:
    small_round, small_message = quota_calls(SMALL, 20)
    large_round, large_message = quota_calls(LARGE, 200)
    assert 0 < large_round <= small_round * 1.5
    assert 0 < large_message <= small_message * 1.5
