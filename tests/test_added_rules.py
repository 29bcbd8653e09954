"""Rules about what becomes of jobs after troubles: nobody's job is forgotten, starved or left beside room."""

from datetime import timedelta

import pytest

from ramptide.config.tuning import Tuning
from virtual import (
    CLOUD,
    SLOW_LINK_FAULTS,
    STORE,
    Fault,
    FaultContext,
    S,
    World,
    busy_world,
    cancel_job,
    end_faults,
    full_world,
    leader_of,
    longest_starvation,
    play,
    restart_controller,
    run_with_checks,
    running_attempts,
    started_world,
    submit_job,
)

#: A job about which no question is answered for so long is forgotten; "well before" is a third of it.
FORGOTTEN, WELL_BEFORE = 75 * S, 25 * S
BESIDE_ROOM = 90 * S
LARGEST_BEGIN = 240.0
#: Users try again each second for up to a minute.
USER_TRIES = 60


def longest_unanswered(world: World, seconds: int) -> tuple[timedelta, str]:
    """Each second every controller is asked for every accepted job: the longest that any was silent about any."""
    answered: dict[tuple[str, str], timedelta] = {}
    began = world.now
    asked = [(job_id, name) for job_id in sorted(world.accepted_jobs) for name in world.controller_names]

    def ask(job_id: str, name: str) -> None:
        def told(status: int, _body: bytes, _headers: object) -> None:
            if status == 200:
                answered[job_id, name] = world.now
            elif status == 404:
                world.invariants.violations.append(f"forgotten {job_id} by {name}")

        world.request(name, lambda controller: controller.job_api.poll(job_id, told))

    worst = (timedelta(0), "")
    for _ in range(seconds):
        for job_id, name in asked:
            ask(job_id, name)
        world.run(1.0)
        world.invariants.check()
        worst = max([worst, *((world.now - answered.get(one, began), f"{one[0]} at {one[1]}") for one in asked)])
    return worst


def finish_all(world: World, seconds: float) -> list[str]:
    """The users cancel their services; the accepted jobs that have not come to an end after that."""
    for job_id in sorted(world.accepted_jobs - world.cancelled_at.keys()):
        if world.job_specs[job_id]["shape"] == "service":
            cancel_job(world, world.rng, job_id)

    def left() -> list[str]:
        return [job_id for job_id in sorted(world.accepted_jobs) if f"ended/{job_id}" not in world.store.entries]

    world.run_until(lambda: not left(), seconds)
    return left()


def judge_after_troubles(world: World) -> None:
    """What must hold once the troubles of a history are over."""
    assert world.invariants.violations == []
    end_faults(world)
    silent, job = longest_unanswered(world, 30)
    assert silent < WELL_BEFORE, f"no answer about {job}"
    waited, job_id = longest_starvation(world, 95)
    assert waited < BESIDE_ROOM, f"{job_id} waits beside room"
    assert finish_all(world, 150) == []
    assert world.invariants.violations == []


@pytest.mark.parametrize("seed", range(300, 316))
def test_after_overlapping_troubles_every_accepted_job_is_known_and_ends(seed: int) -> None:
    judge_after_troubles(play(seed, overlapping=True))


@pytest.mark.parametrize("seed", range(330, 338))
def test_after_single_troubles_every_accepted_job_is_known_and_ends(seed: int) -> None:
    judge_after_troubles(play(seed))


# The largest jobs of a class under a steady flow of small ones.


def flow_of_small_jobs(world: World, **fields: object) -> None:
    """Small jobs of the same team and class as the one that is to begin, together more than there is room for."""
    seconds, per_second = int(LARGEST_BEGIN) + 60, 3
    for number in range(seconds * per_second):
        job_id = f"j-{number + 100}"
        world.define_job(job_id, pieces=1, cores=2.0, guessS=8.0, **fields)
        at = number / per_second * S
        world.after(at, lambda job_id=job_id: submit_job(world, world.rng, job_id))  # type: ignore[misc]


def job_begins(world: World, flow: dict[str, object], job: dict[str, object]) -> float:
    """How long after its acceptance the first task of a job starts, amid the flow; endless if it doesn't."""
    flow_of_small_jobs(world, **flow)
    world.run(30)
    world.define_job("j-1", **job)
    submit_job(world, world.rng, "j-1")
    began = world.now
    if not world.run_until(lambda: world.invariants.starts_by_job["j-1"] > 0, LARGEST_BEGIN + 20):
        return float("inf")
    return (world.now - began) / S


#: As urgent as the large jobs, and with a deadline.
URGENT: dict[str, object] = {"dueS": 120.0}
LARGE: dict[str, dict[str, object]] = {
    "array": {"pieces": 60, "cores": 2.0, "guessS": 20.0},
    "whole machines": {"pieces": 12, "cores": 8.0, "guessS": 20.0},
    "one zone": {"pieces": 20, "cores": 8.0, "guessS": 20.0, "oneZone": True},
    "spread": {"pieces": 12, "cores": 8.0, "guessS": 20.0, "spread": True},
    "bound to a zone": {"pieces": 12, "cores": 6.0, "guessS": 20.0, "yard": "a"},
    "service": {"shape": "service", "pieces": 3, "cores": 8.0},
}


@pytest.mark.parametrize("large", LARGE.values(), ids=LARGE.keys())
def test_the_largest_job_begins_within_four_minutes_of_a_flow_of_small_ones(large: dict[str, object]) -> None:
    world = started_world(11, capacity=5)
    assert job_begins(world, URGENT, large) < LARGEST_BEGIN
    assert world.invariants.violations == []


LOW: dict[str, object] = {"rank": "low", "pieces": 40, "cores": 2.0, "guessS": 20.0}


@pytest.mark.parametrize(("rank", "shape"), [("normal", "batch"), ("production", "batch"), ("high", "service")])
def test_a_job_of_low_priority_begins_within_four_minutes_of_a_flow_of_higher_ones(rank: str, shape: str) -> None:
    """Patience alone reorders jobs of one rank: a job of low rank waited for as long as more urgent work came."""
    world = started_world(12, capacity=5)
    assert job_begins(world, {"rank": rank}, LOW | {"shape": shape}) < LARGEST_BEGIN
    assert world.invariants.violations == []


def test_when_rank_always_goes_first_a_job_of_low_rank_does_not_begin() -> None:
    world = started_world(12, capacity=5)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(begin_within=1000 * S)
    assert job_begins(world, {"rank": "normal"}, LOW) == float("inf")


def test_without_patience_the_flow_keeps_the_largest_job_waiting() -> None:
    world = started_world(11, capacity=5)
    for node in world.nodes.values():
        assert node.controller is not None
        node.controller.state.tuning = node.controller.machine_index.tuning = Tuning(
            patience=1000 * S, share_wait=1000 * S, begin_within=1000 * S
        )
    assert job_begins(world, URGENT, LARGE["array"]) == float("inf")


# Slow links.


def slow_everything(world: World, in_order: bool) -> None:
    """Between all hosts, those of machines yet to come excepted."""
    for name in world.controller_names:
        world.slow_down_links(name, [STORE, CLOUD, *sorted(world.agents)], in_order)
        world.slow_down_links(name, [other for other in world.controller_names if other != name], in_order)


def more_work_than_room(world: World) -> list[str]:
    """Urgent and not, of several ranks and bounds; arrays that together need more than the machines have."""
    bounds: list[dict[str, object]] = [{}, {"oneZone": True}, {"spread": True}, {"yard": "a"}]
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
            **bounds[number % 4],
        )
        world.after(number * 1.5 * S, lambda job_id=job_id: submit_job(world, world.rng, job_id, USER_TRIES))  # type: ignore[misc]
    return job_ids


@pytest.mark.parametrize("in_order", [True, False], ids=["in order", "in any order"])
@pytest.mark.parametrize("seed", range(3))
def test_more_work_than_room_urgent_and_not_over_slow_links(seed: int, in_order: bool) -> None:
    world = started_world(seed, teams={"team": 0.0, "few": 16.0}, capacity=6)
    world.cloud.pool_capacity = 3
    job_ids = more_work_than_room(world)
    world.run(5)
    for _ in range(8):
        slow_everything(world, in_order)
        run_with_checks(world, 5)
    world.restore_link_speed()
    end_faults(world)
    assert world.invariants.violations == []
    assert set(job_ids) <= world.accepted_jobs
    silent, job = longest_unanswered(world, 10)
    assert silent < WELL_BEFORE, f"no answer about {job}"
    waited, job_id = longest_starvation(world, 100)
    assert waited < BESIDE_ROOM, f"{job_id} waits beside room"
    assert finish_all(world, 300) == []
    assert world.invariants.violations == []


@pytest.mark.parametrize("slow_links", SLOW_LINK_FAULTS.values(), ids=SLOW_LINK_FAULTS.keys())
@pytest.mark.parametrize("seed", range(2))
def test_a_slow_link_for_a_minute_breaks_no_rule_and_cancellations_end_in_time(slow_links: Fault, seed: int) -> None:
    world = busy_world(seed + 20, guessS=500.0)
    slow_links(FaultContext(world, world.rng, 60 * S, leader_of(world), []))
    run_with_checks(world, 5)
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, 55)
    world.restore_link_speed()
    end_faults(world)
    assert "j-1" in world.cancelled_at
    assert running_attempts(world, "j-1") == set()
    assert world.invariants.violations == []


def order_of_arrival(in_order: bool) -> list[int]:
    """The numbers of fifty messages, sent one every 50 ms over a slow link, as they arrive."""
    world = World(1)
    world.slow_down_links("c0", ["c1"], in_order)
    heard: list[int] = []
    for number in range(50):
        world.send("c0", "c1", lambda answer, number=number: heard.append(number), 9 * S, lambda reply: None)  # type: ignore[misc]
        world.run(0.05)
    world.run(3)
    return heard


def test_a_slow_link_in_order_never_lets_a_message_overtake() -> None:
    assert order_of_arrival(in_order=True) == list(range(50))


def test_a_slow_link_without_order_lets_messages_overtake() -> None:
    heard = order_of_arrival(in_order=False)
    assert sorted(heard) == list(range(50)) != heard


# Late copies, answers that do not arrive, a controller left with its agents, processes that are back at once.


@pytest.mark.parametrize("seed", range(4))
def test_copies_of_all_heartbeats_up_to_five_leases_late_break_nothing(seed: int) -> None:
    """Leaders change meanwhile, so old reports reach new owners, too."""
    world = busy_world(seed + 40, guessS=25.0)
    world.late_heartbeat_rate = 1.0
    for number in range(3):
        world.define_job(f"j-{number + 2}", pieces=5, cores=2.0, guessS=6.0)
        submit_job(world, world.rng, f"j-{number + 2}")
        run_with_checks(world, 8)
        restart_controller(world, leader_of(world))
    run_with_checks(world, 20)
    end_faults(world)
    judge_after_troubles(world)


@pytest.mark.parametrize("seed", range(3))
def test_machines_that_hear_no_answer_across_a_change_of_leader_run_nothing_twice(seed: int) -> None:
    """Their reports arrive all the time, at one controller after the other."""
    world = full_world()
    busy = sorted({agent.host for agent, _ in world.invariants.running_tasks()})
    world.hosts_without_responses.update(world.rng.sample(busy, 4))
    run_with_checks(world, 3 + seed)
    restart_controller(world, leader_of(world))
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, 30)
    assert world.invariants.violations == []
    assert running_attempts(world, "j-1") == set()


def alone_with_agents(world: World, name: str) -> None:
    for other in (STORE, *(each for each in world.controller_names if each != name)):
        world.cut_link(name, other)


@pytest.mark.parametrize("lead", [True, False])
@pytest.mark.parametrize("away", [5, 15, 40])
def test_a_controller_that_loses_the_state_service_and_its_peers_ends_what_others_cancel(lead: bool, away: int) -> None:
    """Agents and users still reach it, and the cloud does."""
    world = busy_world(guessS=500.0)
    name = leader_of(world) if lead else next(each for each in world.controller_names if each != leader_of(world))
    alone_with_agents(world, name)
    run_with_checks(world, 1)
    cancel_job(world, world.rng, "j-1")
    run_with_checks(world, away)
    world.heal()
    run_with_checks(world, 25)
    assert "j-1" in world.cancelled_at
    assert running_attempts(world, "j-1") == set()
    judge_after_troubles(world)


@pytest.mark.parametrize("away", [0.1, 0.2, 0.35, 0.5])
@pytest.mark.parametrize("wait", [0.0, 1.0, 2.5, 4.0])
def test_processes_back_within_a_fraction_of_a_second_in_an_election_lose_nothing(away: float, wait: float) -> None:
    """The leader goes for good; those that run for its place are killed and back while the members change."""
    world = full_world()
    before = running_attempts(world, "j-1")
    gone = leader_of(world)
    world.nodes[gone].kill()
    run_with_checks(world, wait)
    for name in world.controller_names:
        if name != gone:
            world.nodes[name].kill()
            world.after(away * S, world.nodes[name].start)
            run_with_checks(world, 0.7)
    run_with_checks(world, 12)
    assert len(before & running_attempts(world, "j-1")) == len(before), "no task was lost"
    world.nodes[gone].start()
    run_with_checks(world, 15)
    assert len(running_attempts(world, "j-1")) == 16
    assert world.invariants.violations == []
