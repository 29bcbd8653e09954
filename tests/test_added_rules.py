"""Rules about jobs during and after faults: no accepted job is forgotten, starved, or left waiting beside free room.

The tests guard against these failures:

- After the faults of a generated history, some controller does not answer for an accepted job, or the job does not end.
- The largest job of a class, or a job of low rank, does not start during a steady flow of small or higher-ranked jobs.
- Slow links, late copies of heartbeats, lost responses, a controller cut off from the store and its peers, or quick
  restarts of processes make a cancelled task run on, or a task run twice or be lost.
"""

from datetime import timedelta

import pytest

from ramptide.config.tuning import Tuning
from virtual import (
    CLOUD,
    SECOND,
    SLOW_LINK_FAULTS,
    STORE,
    Fault,
    FaultContext,
    World,
    busy_world,
    cancel_job,
    end_faults,
    large_busy_world,
    leader_of,
    longest_starvation,
    play_history,
    restart_controller,
    run_with_checks,
    running_attempts,
    started_world,
    submit_job,
)

#: A job whose polls get no answer for `FORGOTTEN_AFTER` counts as forgotten; the tests allow a third of that.
FORGOTTEN_AFTER, MAX_UNANSWERED_TIME = 75 * SECOND, 25 * SECOND
#: How long a job may wait although there is room for it.
MAX_STARVATION_TIME = 90 * SECOND
MAX_START_DELAY_S = 240.0
#: Users try again each second for up to a minute.
SUBMISSION_RETRIES = 60


def longest_unanswered(world: World, seconds: int) -> tuple[timedelta, str]:
    """Poll each accepted job at each controller every second; return the longest time without an answer.

    The text in the result names the job and the controller.
    """
    answered: dict[tuple[str, str], timedelta] = {}
    started_at = world.now
    keys = [(job_id, name) for job_id in sorted(world.accepted_jobs) for name in world.controller_names]

    def send_poll(job_id: str, name: str) -> None:
        def on_response(status: int, _body: bytes, _headers: object) -> None:
            if status == 200:
                answered[job_id, name] = world.now
            elif status == 404:
                world.invariants.violations.append(f"forgotten {job_id} by {name}")

        world.request(name, lambda controller: controller.job_api.poll(job_id, on_response))

    longest = (timedelta(0), "")
    for _ in range(seconds):
        for job_id, name in keys:
            send_poll(job_id, name)
        world.run(1.0)
        world.invariants.check()
        longest = max(
            [longest, *((world.now - answered.get(key, started_at), f"{key[0]} at {key[1]}") for key in keys)]
        )
    return longest


def finish_all(world: World, seconds: float) -> list[str]:
    """Cancel all services; return the accepted jobs that have not finished `seconds` later."""
    for job_id in sorted(world.accepted_jobs - world.cancelled_at.keys()):
        if world.job_specs[job_id]["shape"] == "service":
            cancel_job(world, world.rng, job_id)

    def unfinished() -> list[str]:
        return [job_id for job_id in sorted(world.accepted_jobs) if f"ended/{job_id}" not in world.store.entries]

    world.run_until(lambda: not unfinished(), seconds)
    return unfinished()


def check_after_faults(world: World) -> None:
    """Check what must hold once the faults of a history are over."""
    assert world.invariants.violations == []
    end_faults(world)
    unanswered_time, where = longest_unanswered(world, 30)
    assert unanswered_time < MAX_UNANSWERED_TIME, f"no answer about {where}"
    waited, job_id = longest_starvation(world, 95)
    assert waited < MAX_STARVATION_TIME, f"{job_id} waits although there is room for it"
    assert finish_all(world, 150) == []
    assert world.invariants.violations == []


@pytest.mark.parametrize("seed", range(300, 316))
def test_every_accepted_job_is_known_and_ends_after_overlapping_faults(seed: int) -> None:
    check_after_faults(play_history(seed, overlapping=True))


@pytest.mark.parametrize("seed", range(330, 338))
def test_every_accepted_job_is_known_and_ends_after_single_faults(seed: int) -> None:
    check_after_faults(play_history(seed))


# The largest jobs of a class, and jobs of low rank, start during a steady flow of small jobs.


def schedule_flow_of_small_jobs(world: World, **fields: object) -> None:
    """Schedule small jobs of the same team as the job that is to start; together they need more room than there is."""
    seconds, per_second = int(MAX_START_DELAY_S) + 60, 3
    for number in range(seconds * per_second):
        job_id = f"j-{number + 100}"
        world.define_job(job_id, pieces=1, cores=2.0, guessS=8.0, **fields)
        at = number / per_second * SECOND
        world.after(at, lambda job_id=job_id: submit_job(world, world.rng, job_id))  # type: ignore[misc]


def start_delay_s(world: World, flow: dict[str, object], job: dict[str, object]) -> float:
    """Return how long after its submission the first task of a job starts during the flow; infinity if no task does."""
    schedule_flow_of_small_jobs(world, **flow)
    world.run(30)
    world.define_job("j-1", **job)
    submit_job(world, world.rng, "j-1")
    submitted_at = world.now
    if not world.run_until(lambda: world.invariants.starts_by_job["j-1"] > 0, MAX_START_DELAY_S + 20):
        return float("inf")
    return (world.now - submitted_at) / SECOND


#: The fields of the small jobs: they have the same rank as the large jobs and, unlike those, a deadline.
URGENT_JOB_FIELDS: dict[str, object] = {"dueS": 120.0}
LARGE_JOBS: dict[str, dict[str, object]] = {
    "array": {"pieces": 60, "cores": 2.0, "guessS": 20.0},
    "whole machines": {"pieces": 12, "cores": 8.0, "guessS": 20.0},
    "one zone": {"pieces": 20, "cores": 8.0, "guessS": 20.0, "oneZone": True},
    "spread": {"pieces": 12, "cores": 8.0, "guessS": 20.0, "spread": True},
    "bound to a zone": {"pieces": 12, "cores": 6.0, "guessS": 20.0, "yard": "a"},
    "service": {"shape": "service", "pieces": 3, "cores": 8.0},
}


@pytest.mark.parametrize("large", LARGE_JOBS.values(), ids=LARGE_JOBS.keys())
def test_largest_job_starts_within_four_minutes_during_a_flow_of_small_jobs(large: dict[str, object]) -> None:
    world = started_world(11, capacity=5)
    assert start_delay_s(world, URGENT_JOB_FIELDS, large) < MAX_START_DELAY_S
    assert world.invariants.violations == []


LOW_RANK_JOB: dict[str, object] = {"rank": "low", "pieces": 40, "cores": 2.0, "guessS": 20.0}


@pytest.mark.parametrize(("rank", "shape"), [("normal", "batch"), ("production", "batch"), ("high", "service")])
def test_job_of_low_rank_starts_within_four_minutes_during_a_flow_of_higher_ranks(rank: str, shape: str) -> None:
    """`patience` reorders jobs of one rank only, so `begin_within` has to let a job of low rank start.

    Otherwise the job waits for as long as jobs of higher ranks arrive.
    """
    world = started_world(12, capacity=5)
    assert start_delay_s(world, {"rank": rank}, LOW_RANK_JOB | {"shape": shape}) < MAX_START_DELAY_S
    assert world.invariants.violations == []


def test_job_of_low_rank_does_not_start_without_begin_within() -> None:
    world = started_world(12, capacity=5)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(begin_within=1000 * SECOND)
    assert start_delay_s(world, {"rank": "normal"}, LOW_RANK_JOB) == float("inf")


def test_largest_job_does_not_start_without_patience_share_wait_and_begin_within() -> None:
    world = started_world(11, capacity=5)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(
            patience=1000 * SECOND, share_wait=1000 * SECOND, begin_within=1000 * SECOND
        )
    assert start_delay_s(world, URGENT_JOB_FIELDS, LARGE_JOBS["array"]) == float("inf")


# Links are slow, and deliver messages in order or in any order.


def slow_down_all_links(world: World, in_order: bool) -> None:
    """Delay the messages between the controllers and all hosts, except for machines that are rented later."""
    for name in world.controller_names:
        world.slow_down_links(name, [STORE, CLOUD, *sorted(world.agents)], in_order)
        world.slow_down_links(name, [other for other in world.controller_names if other != name], in_order)


def schedule_more_work_than_room(world: World) -> list[str]:
    """Schedule arrays of several ranks, deadlines and placements that together need more than the machines have."""
    placements: list[dict[str, object]] = [{}, {"oneZone": True}, {"spread": True}, {"yard": "a"}]
    job_ids = [f"j-{number}" for number in range(24)]
    for number, job_id in enumerate(job_ids):
        urgent = number % 3 == 0
        world.define_job(
            job_id,
            owner=("team", "few")[number % 2],
            rank=("normal", "high", "low")[number % 3],
            pieces=6,
            cores=2.0,
            guessS=(4.0, 15.0)[number % 2],
            dueS=45.0 if urgent else None,
            **placements[number % 4],
        )
        world.after(
            number * 1.5 * SECOND,
            lambda job_id=job_id: submit_job(world, world.rng, job_id, SUBMISSION_RETRIES),  # type: ignore[misc]
        )
    return job_ids


@pytest.mark.parametrize("in_order", [True, False], ids=["in order", "in any order"])
@pytest.mark.parametrize("seed", range(3))
def test_all_jobs_end_when_there_is_more_work_than_room_and_all_links_are_slow(seed: int, in_order: bool) -> None:
    world = started_world(seed, teams={"team": 0.0, "few": 16.0}, capacity=6)
    world.cloud.pool_capacity = 3
    job_ids = schedule_more_work_than_room(world)
    world.run(5)
    for _ in range(8):
        slow_down_all_links(world, in_order)
        run_with_checks(world, 5)
    world.restore_link_speed()
    end_faults(world)
    assert world.invariants.violations == []
    assert set(job_ids) <= world.accepted_jobs
    unanswered_time, where = longest_unanswered(world, 10)
    assert unanswered_time < MAX_UNANSWERED_TIME, f"no answer about {where}"
    waited, job_id = longest_starvation(world, 100)
    assert waited < MAX_STARVATION_TIME, f"{job_id} waits although there is room for it"
    assert finish_all(world, 300) == []
    assert world.invariants.violations == []


@pytest.mark.parametrize("slow_links", SLOW_LINK_FAULTS.values(), ids=SLOW_LINK_FAULTS.keys())
@pytest.mark.parametrize("seed", range(2))
def test_cancelled_job_ends_in_time_when_links_are_slow_for_a_minute(slow_links: Fault, seed: int) -> None:
    world = busy_world(seed + 20, guessS=500.0)
    slow_links(FaultContext(world, world.rng, 60 * SECOND, leader_of(world), []))
    run_with_checks(world, 5)
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, 55)
    world.restore_link_speed()
    end_faults(world)
    assert "j-1" in world.cancelled_at
    assert running_attempts(world, "j-1") == set()
    assert world.invariants.violations == []


def order_of_arrival(in_order: bool) -> list[int]:
    """Return the numbers of fifty messages in the order of arrival; one is sent every 50 ms over a slow link."""
    world = World(1)
    world.slow_down_links("c0", ["c1"], in_order)
    received: list[int] = []
    for number in range(50):
        world.send("c0", "c1", lambda answer, number=number: received.append(number), 9 * SECOND, lambda reply: None)  # type: ignore[misc]
        world.run(0.05)
    world.run(3)
    return received


def test_slow_link_in_order_keeps_the_order_of_messages() -> None:
    assert order_of_arrival(in_order=True) == list(range(50))


def test_slow_link_without_order_reorders_messages() -> None:
    received = order_of_arrival(in_order=False)
    assert sorted(received) == list(range(50)) != received


# Copies of heartbeats are late, responses are lost, a controller is cut off, or processes restart quickly.


@pytest.mark.parametrize("seed", range(4))
def test_no_invariant_is_violated_when_copies_of_all_heartbeats_arrive_up_to_five_leases_late(seed: int) -> None:
    """Leaders change meanwhile, so that old heartbeats also reach new owners."""
    world = busy_world(seed + 40, guessS=25.0)
    world.late_heartbeat_rate = 1.0
    for number in range(3):
        world.define_job(f"j-{number + 2}", pieces=5, cores=2.0, guessS=6.0)
        submit_job(world, world.rng, f"j-{number + 2}")
        run_with_checks(world, 8)
        restart_controller(world, leader_of(world))
    run_with_checks(world, 20)
    end_faults(world)
    check_after_faults(world)


@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_twice_when_machines_get_no_responses_while_the_leader_changes(seed: int) -> None:
    """The heartbeats of these machines arrive all the time, at one controller after the other."""
    world = large_busy_world()
    busy_hosts = sorted({agent.host for agent, _ in world.invariants.running_tasks()})
    world.hosts_without_responses.update(world.rng.sample(busy_hosts, 4))
    run_with_checks(world, 3 + seed)
    restart_controller(world, leader_of(world))
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, 30)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()


def cut_from_store_and_peers(world: World, name: str) -> None:
    for other in (STORE, *(peer for peer in world.controller_names if peer != name)):
        world.cut_link(name, other)


@pytest.mark.parametrize("is_leader", [True, False])
@pytest.mark.parametrize("cut_s", [5, 15, 40])
def test_cancelled_tasks_end_in_time_at_a_controller_cut_off_from_the_store_and_its_peers(
    is_leader: bool, cut_s: int
) -> None:
    """The controller still reaches its agents and the cloud, and users reach it."""
    world = busy_world(guessS=500.0)
    name = (
        leader_of(world) if is_leader else next(other for other in world.controller_names if other != leader_of(world))
    )
    cut_from_store_and_peers(world, name)
    run_with_checks(world, 1)
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, cut_s)
    world.heal()
    run_with_checks(world, 25)
    assert "j-1" in world.cancelled_at
    assert running_attempts(world, "j-1") == set()
    check_after_faults(world)


@pytest.mark.parametrize("down_s", [0.1, 0.2, 0.35, 0.5])
@pytest.mark.parametrize("wait_s", [0.0, 1.0, 2.5, 4.0])
def test_no_task_is_lost_when_processes_restart_within_half_a_second_in_an_election(
    down_s: float, wait_s: float
) -> None:
    """The leader is killed; the others, which run for leader, are killed and restarted while the view changes."""
    world = large_busy_world()
    before = running_attempts(world, "j-1")
    old_leader = leader_of(world)
    world.nodes[old_leader].kill()
    run_with_checks(world, wait_s)
    for name in world.controller_names:
        if name != old_leader:
            world.nodes[name].kill()
            world.after(down_s * SECOND, world.nodes[name].start)
            run_with_checks(world, 0.7)
    run_with_checks(world, 12)
    assert len(before & running_attempts(world, "j-1")) == len(before), "no task was lost"
    world.nodes[old_leader].start()
    run_with_checks(world, 15)
    assert len(running_attempts(world, "j-1")) == 16
    assert world.invariants.violations == []
