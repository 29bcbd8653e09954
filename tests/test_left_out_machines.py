"""Machines that are left out for a job: what ends the wait of a job beside room that it does not use.

A machine is left out for a job for a while after the machine failed a task of the job, refused one, or gave one up for
another job. The rule: once the faults are over, no job is left waiting for 90 s while a machine that fits has room.
"""

import itertools
import logging
from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from ramptide.autoscaling import machine_choice
from ramptide.autoscaling.machine_choice import MAX_REFUSAL_PAUSE
from ramptide.controller.controller import Controller
from ramptide.placement.bin_packing import ReserveAccess, Room
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.left_out_rooms import LeftOutRooms, count_left_out_rooms
from virtual import SECOND, Agent, Task, World, leader_of, owner_of, started_world

JOB = "j-100"
#: The longest time that a job may wait beside room once the faults are over, in seconds.
MAX_WAIT_S = 90.0
#: The time in which the leader repeats its step, and in which a task starts on a machine that is up, in seconds.
LEADER_STEP_S, START_S = 1.0, 5.0
#: For how long the machines fail or refuse all tasks, in seconds.
FAULT_S = 10.0


def controller_of(world: World, name: str) -> Controller:
    controller = world.nodes[name].controller
    assert controller is not None
    return controller


def world_of_serving_machines(machine_count: int, is_owner_leading: bool | None = None) -> World:
    """Return a world with a replica on each of a few machines, and without capacity for another machine.

    Each machine has 3 CPUs of free room, of which 2 are reserved for services. `is_owner_leading`: whether the leader
    owns all machines, or one other controller does; None for machines of any owner.
    """
    world = started_world(3, capacity=machine_count)
    if is_owner_leading is not None:
        assert not world.agents
        set_owner_of_machines(world, scheduler_name(world, is_owner_leading))
    world.define_job("j-1", shape="service", pieces=machine_count, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in running(world, "j-1")}) == machine_count, 30)
    return world


def set_owner_of_machines(world: World, owner: str) -> None:
    """Let the names of all machines that are rented from now on be such that one controller owns the machines."""
    state = controller_of(world, leader_of(world)).state
    world.cloud._host_numbers = (  # type: ignore[assignment]
        number for number in itertools.count() if state.owner_of(f"vm-{number:06d}") == owner
    )


def change_tuning(world: World, **settings: object) -> None:
    """Change operators' settings on all controllers."""
    for name in world.controller_names:
        controller = controller_of(world, name)
        tuning = replace(controller.state.tuning, **settings)  # type: ignore[arg-type]
        controller.state.tuning = controller.machine_index.tuning = tuning
        controller.machine_index.invalidate_all()


def running(world: World, job_id: str) -> list[tuple[Agent, Task]]:
    """Return the running tasks of a job, each with its machine."""
    return [(agent, task) for agent, task in world.invariants.running_tasks() if task.job_id == job_id]


def submit_to_scheduler(world: World, scheduler: str, job_id: str = JOB, **fields: object) -> None:
    """Submit a job that is scheduled by the given controller."""
    world.define_job(job_id, **({"pieces": 6, "cores": 1.0, "guessS": 5.0} | fields))
    for name in world.controller_names:
        controller_of(world, name).job_api._choose_scheduler = lambda spec: scheduler
    assert world.submit_until_accepted(job_id, scheduler)


def scheduler_name(world: World, is_leading: bool) -> str:
    """Return the leader, or a controller that does not lead."""
    leader = leader_of(world)
    return leader if is_leading else next(name for name in world.controller_names if name != leader)


def failed_hosts(world: World, job_id: str = JOB) -> set[str]:
    """Return the machines of which the owners report that the job failed there."""
    return controller_of(world, leader_of(world)).machine_index.hosts_failed_on(job_id)


def finishes_without_long_wait(world: World, job_id: str = JOB) -> bool:
    """Return whether a job finishes, and a task of it runs again within `MAX_WAIT_S` whenever none runs."""
    while not world.is_done(job_id):
        if not world.run_until(lambda: bool(running(world, job_id)) or world.is_done(job_id), MAX_WAIT_S):
            return False
        world.run_until(lambda: not running(world, job_id), MAX_WAIT_S)
    return not world.invariants.violations


def world_after_failures(machine_count: int, is_leading: bool) -> World:
    """Return a world in which a job has failed on all machines that there are, which are well again."""
    world = world_of_serving_machines(machine_count, is_owner_leading=is_leading)
    for agent in world.agents.values():
        agent.is_faulty = True
    submit_to_scheduler(world, scheduler_name(world, is_leading))
    assert world.run_until(lambda: len(failed_hosts(world)) == machine_count, FAULT_S)
    world.run(FAULT_S)
    for agent in world.agents.values():
        agent.is_faulty = False
    return world


# The log tells why a job waits beside room.


def job_state_with_rooms() -> tuple[JobState, list[Room]]:
    """Return a failing job, and rooms that fit it: one excluded, one where it failed, one reserved, one free."""
    world = started_world(1, members=1)
    submit_to_scheduler(world, "c0", cores=2.0)
    job_state = controller_of(world, "c0").state.require_scheduler().jobs[JOB]
    job_state.exclude("vm-1", 60 * SECOND)
    job_state.failed_on = {"vm-1", "vm-2"}
    rooms = [Room(f"vm-{number}", "m", "a", False, 2.0, 0.0, 32.0) for number in (1, 2, 3, 4)]
    rooms[2].service_cpus, rooms[2].service_reserve = 6.0, (2.0, 8.0)
    return job_state, rooms


def test_left_out_rooms_are_counted_by_reason() -> None:
    job_state, rooms = job_state_with_rooms()
    assert count_left_out_rooms(job_state, rooms, ReserveAccess.POOL, 10 * SECOND) == LeftOutRooms(1, 1, 1, 1)
    assert count_left_out_rooms(job_state, rooms, ReserveAccess.ALL, 70 * SECOND) == LeftOutRooms(0, 2, 0, 2)
    for room in rooms:
        room.cpus = 1.0
    assert count_left_out_rooms(job_state, rooms, ReserveAccess.ALL, 10 * SECOND) is None


def test_log_tells_on_which_machines_a_job_failed_and_why_it_waits(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        world = world_after_failures(2, is_leading=True)
        world.run(40)
    hosts = ", ".join(sorted(world.agents))
    assert f"job backed off: job_id=j-100 backoff_s=2 failed_on='{hosts}'" in caplog.text
    assert "job waits beside room: job_id=j-100 waited_s=30 excluded=2 failed=0 reserved=0 claimed=0" in caplog.text


# After failures: the machines take all tasks again, and there are no others.


@pytest.mark.parametrize("is_leading", [True, False], ids=["leader", "other"])
@pytest.mark.parametrize("machine_count", [1, 2, 3, 5])
def test_job_that_failed_on_all_machines_runs_there_once_they_are_well(machine_count: int, is_leading: bool) -> None:
    """A job that had failed on exactly two machines waited for a third one without end."""
    assert finishes_without_long_wait(world_after_failures(machine_count, is_leading))


def world_with_half_of_the_machines_filled() -> tuple[World, set[str]]:
    """Return a world with room for four machines, and the two machines that services fill."""
    world = started_world(1, capacity=4)
    assert world.run_until(lambda: len(world.agents) == 1, 30)
    world.define_job("j-1", shape="service", pieces=4, cores=4.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running(world, "j-1")) == 4, 30)
    full_hosts = {agent.host for agent, _ in running(world, "j-1")}
    assert len(full_hosts) == 2
    return world, full_hosts


def set_faulty_except(world: World, healthy_hosts: set[str]) -> Callable[[], None]:
    """Let all other machines fail all tasks, also those that are rented later; return a function that ends this."""
    create_agent = world.cloud._create_agent

    def create_faulty_agent(zone: str, spot: bool) -> str:
        host = create_agent(zone, spot)
        world.agents[host].is_faulty = True
        return host

    def end() -> None:
        world.cloud._create_agent = create_agent  # type: ignore[method-assign]
        for agent in world.agents.values():
            agent.is_faulty = False

    world.cloud._create_agent = create_faulty_agent  # type: ignore[method-assign]
    for host, agent in world.agents.items():
        agent.is_faulty = host not in healthy_hosts
    return end


def test_job_that_failed_on_two_machines_runs_on_the_one_that_is_left_idle() -> None:
    """The idle machine is in the idle pool, where the job was kept from it even after its exclusion had ended."""
    world, full_hosts = world_with_half_of_the_machines_filled()
    end_faults = set_faulty_except(world, full_hosts)
    submit_to_scheduler(world, leader_of(world), cores=2.0)
    assert world.run_until(lambda: len(failed_hosts(world)) == 2, 2 * FAULT_S)
    end_faults()
    world.define_job("j-2", shape="service", pieces=2, cores=4.0)
    assert world.submit_until_accepted("j-2", "c0")
    assert finishes_without_long_wait(world)


def test_next_scheduler_of_a_job_does_not_return_to_the_two_machines_at_once() -> None:
    """The machines may still be faulty, so the leader first waits for another machine as the former scheduler would."""
    world = world_of_serving_machines(2)
    for agent in world.agents.values():
        agent.is_faulty = True
    leader = controller_of(world, leader_of(world))
    submit_to_scheduler(world, leader.state.member)
    assert world.run_until(lambda: len(failed_hosts(world)) == 2, FAULT_S)
    former_state = leader.state.require_scheduler().jobs[JOB]
    record = msgspec.structs.replace(former_state.job.record, scheduler=scheduler_name(world, is_leading=False))
    world.store.put(f"live/job/{JOB}", msgspec.to_builtins(record))
    assert world.run_until(lambda: JOB not in leader.state.require_scheduler().jobs, FAULT_S)
    assert world.run_until(lambda: JOB in leader.state.require_scheduler().jobs, FAULT_S), "it is handed over"
    starts_before = world.invariants.starts_by_job[JOB]
    world.run(30)
    assert world.invariants.starts_by_job[JOB] == starts_before


# Room that is reserved for services is left for a failing job as well.


@pytest.mark.parametrize("is_leading", [True, False], ids=["leader", "other"])
@pytest.mark.parametrize("machine_count", [1, 2, 3])
def test_job_that_failed_on_all_machines_runs_when_only_reserved_room_is_left(
    machine_count: int, is_leading: bool
) -> None:
    """A failing job counted as never waiting, so room that is reserved for services was never opened to it."""
    world = world_after_failures(machine_count, is_leading)
    change_tuning(world, service_share=0.5)
    assert finishes_without_long_wait(world)


# A job for which machines are left out does not speak for other jobs.


def test_failing_job_does_not_keep_other_jobs_of_equal_needs_from_the_machines_where_it_failed() -> None:
    """A failing job without room was taken to show that no job of equal needs has room, which then were not tried."""
    world = world_of_serving_machines(9)
    change_tuning(world, hand_over=600 * SECOND)
    leader = leader_of(world)
    own_hosts = {name: [host for host in world.agents if owner_of(world, host) == name] for name in world.nodes}
    scheduler = max((name for name in own_hosts if name != leader), key=lambda name: len(own_hosts[name]))
    machine_count = len(own_hosts[scheduler])
    assert machine_count > 1
    for host in own_hosts[scheduler]:
        world.agents[host].is_faulty = True
    submit_to_scheduler(world, scheduler, pieces=machine_count)
    assert world.run_until(lambda: len(failed_hosts(world)) == machine_count, FAULT_S)
    for agent in world.agents.values():
        agent.is_faulty = False
    submit_to_scheduler(world, scheduler, "j-2", pieces=machine_count, guessS=65.0)
    submit_to_scheduler(world, scheduler, "j-3", pieces=1)
    assert world.run_until(lambda: world.is_done("j-2"), 90)
    assert not world.is_done("j-3"), "it has waited for room"
    assert world.run_until(lambda: bool(running(world, "j-3")), 5)


# Room is made for a job only where the job may be started.


def test_no_task_is_preempted_on_a_machine_where_the_claiming_job_has_just_failed() -> None:
    """Room was made there, though the job was not started on the machine, and it waited for room elsewhere."""
    world = started_world(4, capacity=2)
    world.define_job("j-1", pieces=8, cores=2.0, rank="low", guessS=400.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running(world, "j-1")) == 8, 30)
    world.agents["vm-000000"].is_faulty = True
    submit_to_scheduler(world, leader_of(world), pieces=1, cores=4.0, rank="production")
    assert world.run_until(lambda: failed_hosts(world) == {"vm-000000"}, FAULT_S)
    preemptions = controller_of(world, leader_of(world)).state.counters
    preemptions_before = preemptions["preemptions"]
    assert world.run_until(lambda: world.is_done(JOB), 30)
    assert preemptions["preemptions"] - preemptions_before == 2, "two tasks made room on the other machine"


def test_room_is_made_for_a_job_although_a_job_of_equal_needs_may_not_use_the_machine() -> None:
    """The other job, which has just failed on the only machine, does not show that no room can be made."""
    world = started_world(4, capacity=1)
    world.define_job("j-1", pieces=4, cores=2.0, rank="low", guessS=400.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running(world, "j-1")) == 4, 30)
    (agent,) = world.agents.values()
    agent.is_faulty = True
    submit_to_scheduler(world, leader_of(world), pieces=1, cores=4.0, rank="production")
    assert world.run_until(lambda: failed_hosts(world) == {agent.host}, FAULT_S)
    agent.is_faulty = False
    assert world.run_until(lambda: len(running(world, "j-1")) == 4, 20), "the room is taken again"
    submit_to_scheduler(world, leader_of(world), "j-2", pieces=1, cores=4.0, rank="production")
    assert world.run_until(lambda: world.is_done("j-2"), 30)


# After refusals.


@pytest.mark.parametrize("is_leading", [True, False], ids=["leader", "other"])
@pytest.mark.parametrize("machine_count", [1, 2, 3, 5])
def test_job_that_all_machines_refused_runs_there_once_they_take_tasks(
    monkeypatch: pytest.MonkeyPatch, machine_count: int, is_leading: bool
) -> None:
    """A refusal leaves a machine out only for a moment, however many machines refuse and however often."""
    world = world_of_serving_machines(machine_count, is_owner_leading=is_leading)
    refused_hosts: set[str] = set()

    def refuse(agent: Agent, task: Task) -> None:
        refused_hosts.add(agent.host)
        agent.tasks[task.key] = task
        agent._end(task, "no_room")

    with monkeypatch.context() as patch:
        patch.setattr(Agent, "_fetch", refuse)
        submit_to_scheduler(world, scheduler_name(world, is_leading))
        assert world.run_until(lambda: len(refused_hosts) == machine_count, FAULT_S)
        world.run(FAULT_S)
    assert finishes_without_long_wait(world)


# After preemption.


@pytest.mark.parametrize("is_leading", [True, False], ids=["leader", "other"])
@pytest.mark.parametrize("machine_count", [1, 2, 3])
def test_job_that_was_preempted_on_all_machines_runs_there_once_they_have_room(
    machine_count: int, is_leading: bool
) -> None:
    """The machines are left out for some seconds after the preemption, also for a job that waits for much longer."""
    world = started_world(3, capacity=machine_count)
    set_owner_of_machines(world, scheduler_name(world, is_leading))
    world.define_job("j-1", shape="service", pieces=machine_count, cores=8.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(running(world, "j-1")) == machine_count, 30)
    submit_to_scheduler(
        world, scheduler_name(world, is_leading), pieces=machine_count, cores=8.0, rank="low", guessS=60.0
    )
    assert world.cancel_job("j-1", "c0")
    assert world.run_until(lambda: len(running(world, JOB)) == machine_count, 30)
    submit_to_scheduler(world, leader_of(world), "j-2", pieces=machine_count, cores=8.0, rank="production", guessS=20.0)
    assert world.run_until(lambda: len(running(world, "j-2")) == machine_count, 30)
    assert not running(world, JOB)
    assert world.run_until(lambda: world.is_done("j-2"), 30)
    assert finishes_without_long_wait(world)


# After quarantine.


def test_jobs_run_on_other_machines_after_all_machines_were_quarantined() -> None:
    """Quarantined machines take no tasks and are returned, so that others can be rented."""
    world = started_world(3, capacity=2)
    for job_id in ("j-1", "j-2"):
        world.define_job(job_id, pieces=24, cores=2.0, guessS=4.0)
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: len(world.invariants.succeeded_tasks) > 8, 60)
    faulty_agents = [agent for agent in world.agents.values() if agent.alive]
    assert len(faulty_agents) == 2
    for agent in faulty_agents:
        agent.is_faulty = True
    assert world.run_until(lambda: not any(agent.alive for agent in faulty_agents), 90), "they are returned"
    assert finishes_without_long_wait(world, "j-1")
    assert finishes_without_long_wait(world, "j-2")


@pytest.mark.parametrize("refused_s", [5.0, 60.0, 180.0])
def test_waiting_job_gets_a_machine_within_the_longest_pause_after_the_clouds_refusals(refused_s: float) -> None:
    world = started_world(3, capacity=0)
    world.define_job(JOB, pieces=1, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted(JOB, "c0")
    world.run(refused_s)
    assert not world.agents
    world.cloud.capacity = 1
    boot_s = max(world.cloud.boot_seconds)
    assert world.run_until(lambda: bool(world.agents), MAX_REFUSAL_PAUSE / SECOND + 2 * LEADER_STEP_S)
    assert world.run_until(lambda: bool(running(world, JOB)), boot_s + START_S)


def test_waiting_job_waits_longer_for_a_machine_with_a_longer_pause_after_the_clouds_refusals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(machine_choice, "MAX_REFUSAL_PAUSE", MAX_REFUSAL_PAUSE * 4)
    world = started_world(3, capacity=0)
    world.define_job(JOB, pieces=1, cores=2.0, guessS=500.0)
    assert world.submit_until_accepted(JOB, "c0")
    world.run(180)
    world.cloud.capacity = 1
    assert not world.run_until(lambda: bool(world.agents), MAX_REFUSAL_PAUSE / SECOND + 2 * LEADER_STEP_S)
