"""Jobs that were submitted with a mistake, and fail wherever they run until they are cancelled, among good ones."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest

from ramptide.agents.failure_history import FAILED_JOBS_KEPT, record_outcome
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.autoscaling import faulty_machines
from ramptide.autoscaling.fleet_observation import FleetObservation
from ramptide.autoscaling.fleet_types import QUARANTINED
from ramptide.cluster.failure_attribution import FailureAttribution
from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.controller import Controller
from ramptide.scheduling.failing_jobs import FailingJobs
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.job_state import JobState
from ramptide.state.records import MachineRecord
from virtual import S, World, check_indexes, end_faults, leader_of, owner_of, play, started_world


def controllers(world: World) -> list[Controller]:
    return [node.controller for node in world.nodes.values() if node.controller is not None]


def work_of(world: World, job_id: str) -> JobState:
    """What the job's home keeps of it."""
    return next(
        c.state.scheduler.jobs[job_id]
        for c in controllers(world)
        if c.state.scheduler is not None and job_id in c.state.scheduler.jobs
    )


def submit_bad(world: World, count: int, after: float = 0.5, **fields: object) -> list[str]:
    job_ids = [f"j-9{number}" for number in range(count)]
    for number, job_id in enumerate(job_ids):
        world.failure_delays[job_id] = after
        world.define_job(job_id, **fields)
        assert world.submit_until_accepted(job_id, world.controller_names[number % len(world.controller_names)])
    return job_ids


def submit_good(world: World, count: int, **fields: object) -> list[str]:
    job_ids = [f"j-{number}" for number in range(count)]
    for number, job_id in enumerate(job_ids):
        world.define_job(job_id, **fields)
        assert world.submit_until_accepted(job_id, world.controller_names[number % len(world.controller_names)])
    return job_ids


def watch(world: World, seconds: int, check: Callable[[World], None] = check_indexes) -> set[str]:
    """The machines that are marked as sick from now on; the indexes are compared with a walk meanwhile."""
    found: set[str] = set()

    def look() -> None:
        check(world)
        for controller in controllers(world):
            found.update(
                host for host, record in controller.state.machines.items() if record.drain_reason == QUARANTINED
            )

    for half in range(seconds * 2):
        world.after(half * 0.5 * S, look)
    return found


def mixed(seed: int, after: float) -> tuple[World, set[str], set[str], list[str]]:
    """Good and bad jobs on good machines and two sick ones; what was drained, what is sick, the bad jobs."""
    world = started_world(seed, capacity=10)
    found = watch(world, 200)
    services = [f"j-7{number}" for number in range(4)]
    for job_id in services:
        world.define_job(job_id, shape="service", pieces=2, cores=1.0)
        assert world.submit_until_accepted(job_id, "c0")
    warm = [f"j-8{number}" for number in range(4)]
    for job_id in warm:
        world.define_job(job_id, pieces=4, cores=4.0, guessS=6.0)
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) >= 6, 30)
    bad = submit_bad(world, 4, after, pieces=3)
    world.run(5)
    sick = {host for host, agent in world.agents.items() if agent.alive and agent.fencing_token}
    sick = set(world.rng.sample(sorted(sick), 2))
    for host in sick:
        world.agents[host].is_faulty = True
    good = submit_good(world, 24, pieces=4, guessS=4.0)
    world.run(90)
    assert all(world.is_done(job_id) for job_id in good + warm)
    assert world.invariants.violations == []
    for job_id in bad:
        answer = world.poll_job(job_id, world.rng.choice(world.controller_names))
        assert answer is not None
        assert (answer[0], answer[1]["done"]) == (200, 0)
        assert world.cancel_job(job_id, world.rng.choice(world.controller_names))
    world.run(20)
    assert not {t.job_id for w in world.agents.values() for t in w.tasks.values()} & set(bad)
    return world, found, sick, bad


@pytest.mark.parametrize("after", [0.3, 4.0])
@pytest.mark.parametrize("seed", range(3))
def test_good_jobs_get_done_and_only_faulty_machines_are_drained(seed: int, after: float) -> None:
    world, found, sick, bad = mixed(seed, after)
    assert found
    assert found <= sick
    assert max(world.invariants.starts_by_job[job_id] for job_id in bad) <= 20


def blamed(after: float = 0.5, cancel: bool = False, check: Callable[[World], None] = check_indexes) -> set[str]:
    """Healthy machines that run services, so that nothing is ever done there, and get bad jobs; those called sick."""
    world = started_world(3, capacity=6)
    world.define_job("j-1", shape="service", pieces=6, cores=3.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    found = watch(world, 100, check)
    bad = submit_bad(world, 3, after, pieces=2)
    world.run(20)
    for job_id in bad if cancel else ():
        assert world.cancel_job(job_id, "c1")
    world.run(60)
    assert world.invariants.violations == []
    return found


@pytest.mark.parametrize("after", [0.5, 6.0])
def test_bad_jobs_speak_against_no_machine(after: float) -> None:
    assert blamed(after=after) == set()
    assert blamed(after=after, cancel=True) == set(), "nor when they are over"


def test_without_the_index_of_failures_they_do(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FailureAttribution, "_indicates_fault", lambda self, job_id, name: True)
    assert blamed()


def test_when_jobs_that_are_over_count_they_do(monkeypatch: pytest.MonkeyPatch) -> None:
    indicates_fault = FailureAttribution._indicates_fault
    monkeypatch.setattr(
        FailureAttribution,
        "_indicates_fault",
        lambda self, job_id, name: job_id not in self._jobs or indicates_fault(self, job_id, name),
    )
    assert blamed(cancel=True, check=lambda world: None)


def probed_elsewhere(after: float) -> set[str]:
    """Two bad jobs fail on one machine first; the next tasks of both run elsewhere for a while before they fail."""
    world = started_world(4, capacity=6, members=1)
    world.define_job("j-1", shape="service", pieces=2, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 2, 30)
    found = watch(world, 60)
    submit_bad(world, 2, after, pieces=1, cores=1.0)
    world.run(50)
    return found


def test_a_verdict_waits_for_what_still_runs_elsewhere() -> None:
    assert probed_elsewhere(5.0) == set()


def test_a_verdict_at_once_takes_a_healthy_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(faulty_machines, "QUARANTINE_AFTER", 0.1 * S)
    assert probed_elsewhere(5.0)


def test_a_faulty_machine_is_drained_and_its_jobs_run_elsewhere() -> None:
    world = started_world(2, members=1)
    for number in range(3):
        world.define_job(f"j-{number}", pieces=2, cores=1.0, guessS=60.0)
    assert world.submit_until_accepted("j-0", "c0")
    assert world.run_until(lambda: bool(world.invariants.running_tasks()), 20)
    sick = world.invariants.running_tasks()[0][0]
    sick.is_faulty = True
    found = watch(world, 60)
    for number in (1, 2):
        assert world.submit_until_accepted(f"j-{number}", "c0")
    assert world.run_until(lambda: not sick.alive, 40)
    assert found == {sick.host}
    assert world.run_until(lambda: all(world.is_done(f"j-{number}") for number in range(3)), 120)
    assert world.invariants.violations == []


def test_a_good_job_whose_scheduler_has_only_faulty_machines_runs_on_others() -> None:
    """It failed on both before anything speaks against them; its probes must not stay with them."""
    world = started_world(3, capacity=9)
    world.define_job("j-1", shape="service", pieces=9, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 9, 30)
    parts = Counter(owner_of(world, host) for host in world.agents)
    scheduler = max((name for name in world.controller_names if name != leader_of(world)), key=lambda name: parts[name])
    for host, agent in world.agents.items():
        agent.is_faulty = owner_of(world, host) == scheduler
    world.define_job("j-2", pieces=2, cores=1.0)
    record = json.dumps(world.job_specs["j-2"]).encode()
    for controller in controllers(world):
        controller.job_api._choose_scheduler = lambda run: scheduler
    world.request("c0", lambda c: c.job_api.submit(record, lambda status, *rest: None))
    assert sum(agent.is_faulty for agent in world.agents.values()) >= 2
    assert world.run_until(lambda: world.is_done("j-2"), 60)


def done_though_the_first_are_faulty(count: int, seconds: float) -> bool:
    """The first machines that are rented are all sick, so that nothing shows that the jobs are good."""
    world = started_world(2, members=1)
    create_agent = world.cloud._create_agent
    sick: list[str] = []

    def rented(zone: str, spot: bool) -> str:
        host = create_agent(zone, spot)
        if len(sick) < count:
            sick.append(host)
            world.agents[host].is_faulty = True
        return host

    world.cloud._create_agent = rented  # type: ignore[method-assign]
    job_ids = submit_good(world, 4, pieces=1, cores=1.0, guessS=3.0)
    done = world.run_until(lambda: all(world.is_done(job_id) for job_id in job_ids), seconds)
    assert len(sick) == count
    assert world.invariants.violations == []
    return done


@pytest.mark.parametrize(("count", "seconds"), [(4, 120), (6, 240)])
def test_jobs_get_done_though_all_machines_are_faulty_at_first(count: int, seconds: float) -> None:
    assert done_though_the_first_are_faulty(count, seconds)


def test_when_faulty_machines_stay_in_the_pool_they_do_not(monkeypatch: pytest.MonkeyPatch) -> None:
    known = FleetObservation.machines
    monkeypatch.setattr(
        FleetObservation,
        "machines",
        lambda self, *found: [replace(one, consecutive_failures=0) for one in known(self, *found)],
    )
    assert not done_though_the_first_are_faulty(6, 400)


def done_off_the_only_machine(world: World) -> bool:
    """The only machine, which runs a service and has room for more, is sick."""
    (controller,) = controllers(world)
    controller.state.tuning = controller.machine_index.tuning = replace(
        controller.state.tuning, pool_size=0, pool_share=0.0
    )
    world.define_job("j-1", shape="service", pieces=1, cores=4.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: bool(world.invariants.running_tasks()), 30)
    world.run(60)
    (sick,) = [agent for agent in world.agents.values() if agent.alive]
    sick.is_faulty = True
    world.define_job("j-2", pieces=1, cores=1.0, guessS=3.0)
    assert world.submit_until_accepted("j-2", "c0")
    done = world.run_until(lambda: world.is_done("j-2"), 150)
    assert world.invariants.violations == []
    assert sick.alive
    return done


def test_a_job_that_failed_on_the_only_machine_gets_another() -> None:
    assert done_off_the_only_machine(started_world(2, members=1))


def test_when_that_machine_counts_as_room_it_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "avoided_hosts", property(lambda self: set()))
    assert not done_off_the_only_machine(started_world(2, members=1))


@pytest.mark.parametrize("seed", range(300, 308))
def test_no_rule_is_broken_in_generated_histories_with_bad_jobs(seed: int) -> None:
    def look(world: World) -> None:
        world.failure_delays |= {"j-0": 0.4, "j-1": 3.0, "j-2": 8.0}
        check_indexes(world)

    world = play(seed, look=look)
    assert world.invariants.violations == []
    assert any(world.invariants.starts_by_job[job_id] for job_id in world.failure_delays)
    end_faults(world)
    for job_id in world.failure_delays:
        answers = {name: world.poll_job(job_id, name) for name in world.controller_names}
        live = f"live/job/{job_id}" in world.store.entries or f"ended/{job_id}" in world.store.entries
        assert all(answer is not None and answer[0] == (200 if live else 404) for answer in answers.values()), answers
    assert world.invariants.violations == []


# The pace of a job that fails everywhere, and what it takes from others.


def starts_of_a_bad_job(**fields: object) -> int:
    world = started_world(5, capacity=6)
    (job_id,) = submit_bad(world, 1, 0.3, **({"pieces": 8, "cores": 1.0} | fields))
    world.run(180)
    answer = world.poll_job(job_id, "c2")
    assert answer is not None
    assert (answer[0], answer[1]["status"]) == (200, "pending")
    assert world.cancel_job(job_id, "c0")
    before = world.invariants.starts_by_job[job_id]
    world.run(70)
    assert world.invariants.starts_by_job[job_id] == before
    assert world.invariants.violations == []
    return before


@pytest.mark.parametrize("shape", ["batch", "service"])
def test_a_bad_job_starts_few_tasks(shape: str) -> None:
    assert starts_of_a_bad_job(shape=shape) <= 30


def test_without_probes_all_its_tasks_start_every_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "startable", property(lambda self: self.waiting))
    assert starts_of_a_bad_job() > 50


def test_without_the_pause_probes_follow_each_other(monkeypatch: pytest.MonkeyPatch) -> None:
    back_off = FailingJobs.back_off

    def at_once(failing_jobs: FailingJobs, job_state: JobState, now: timedelta) -> None:
        back_off(failing_jobs, job_state, now)
        job_state.retry_at = 0 * S
        job_state.excluded_until.clear()

    monkeypatch.setattr(FailingJobs, "back_off", at_once)
    assert starts_of_a_bad_job() > 50


def test_a_bad_job_that_stops_failing_runs_to_the_end() -> None:
    world = started_world(5, capacity=6)
    found = watch(world, 300)
    job_ids = submit_bad(world, 2, 0.3, pieces=8, cores=1.0)
    world.run(60)
    world.failure_delays.clear()
    assert world.run_until(lambda: all(world.is_done(job_id) for job_id in job_ids), 150)
    world.run(30)
    assert world.invariants.violations == []
    assert found == set()


def all_run_again(world: World) -> bool:
    """Tasks of a job fail on two machines, while its others run on."""
    world.define_job("j-1", pieces=6, cores=4.0, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    two = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[:2]
    for agent, task in world.invariants.running_tasks():
        if agent.host in two:
            agent._finish(task, "error")
    job_state = work_of(world, "j-1")
    assert world.run_until(lambda: bool(job_state.is_failing), 10), (
        "two machines are the least that speaks against a job"
    )
    return world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 12)


def test_a_job_of_which_tasks_run_on_is_not_held_back() -> None:
    assert all_run_again(started_world(3))


def test_without_that_it_waits_for_one_to_be_done(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobScheduler, "clear_recovered", lambda self, now: None)
    assert not all_run_again(started_world(3))


def blamed_for_machines(world: World) -> bool:
    """A job fails on a machine that is already known as sick, and on another."""
    world.define_job("j-1", pieces=4, cores=4.0, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) >= 2, 30)
    tasks = {agent.host: (agent, task) for agent, task in world.invariants.running_tasks()}
    (one, first), (other, second) = list(tasks.values())[:2]
    one._finish(first, "error")
    job_state = work_of(world, "j-1")
    assert world.run_until(lambda: bool(job_state.failed_on), 10)
    for controller in controllers(world):
        controller.state.machines[one.host] = replace(controller.state.machines[one.host], drain_reason=QUARANTINED)
        if controller.state.scheduler is not None:
            controller.state.scheduler.discard_failures_on(one.host)
    other._finish(second, "error")
    world.run(3)
    return job_state.is_failing


def test_a_job_is_not_blamed_for_a_faulty_machine() -> None:
    assert not blamed_for_machines(started_world(3))


def test_without_that_it_is(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobScheduler, "discard_failures_on", lambda self, host: None)
    assert blamed_for_machines(started_world(3))


def rented_for_bad_jobs() -> tuple[int, int]:
    """How many machines and changes of the state service two large bad jobs cost in two minutes after the first."""
    world = started_world(6, capacity=40)
    submit_bad(world, 2, 0.3, pieces=60, cores=4.0)
    world.run(40)
    machines, changes = len(world.agents), world.call_counts["POST txn"]
    world.run(120)
    return len(world.agents) - machines, world.call_counts["POST txn"] - changes


def test_bad_jobs_rent_and_write_little() -> None:
    machines, changes = rented_for_bad_jobs()
    assert machines <= 4
    assert changes <= 30


def test_when_they_count_in_full_they_rent_many(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "startable", property(lambda self: self.waiting))
    assert rented_for_bad_jobs()[0] > 10


def preemptions_for_a_bad_job() -> int:
    world = started_world(4, capacity=2)
    world.define_job("j-1", pieces=8, cores=2.0, rank="low", guessS=400.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 30)
    submit_bad(world, 1, 0.3, pieces=2, cores=4.0, rank="production")
    world.run(30)
    before = sum(controller.state.counters["preemptions"] for controller in controllers(world))
    world.run(120)
    return sum(controller.state.counters["preemptions"] for controller in controllers(world)) - before


def test_a_bad_job_claims_no_room() -> None:
    assert preemptions_for_a_bad_job() == 0


def test_without_that_guard_it_claims_again_and_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "may_claim_room", property(lambda self: True))
    assert preemptions_for_a_bad_job() > 0


def others_done() -> bool:
    """A team at its limit has a large bad job and good ones, another team at its limit only good ones."""
    world = started_world(7, teams={"one": 12.0, "two": 8.0}, capacity=8)
    submit_bad(world, 1, 0.3, owner="one", pieces=100, cores=2.0, rank="high")
    world.run(20)
    for number in range(6):
        world.define_job(f"j-{number}", owner="one" if number % 2 else "two", pieces=6, cores=2.0, guessS=3.0)
        assert world.submit_until_accepted(f"j-{number}", world.controller_names[number % 3])
    done = world.run_until(lambda: all(world.is_done(f"j-{number}") for number in range(6)), 40)
    assert world.invariants.violations == []
    return done


def test_teams_at_their_limits_are_not_held_up() -> None:
    assert others_done()


def test_when_a_bad_job_asks_for_all_its_tasks_they_are(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "is_failing", property(lambda self: False))
    assert not others_done()


def test_a_bad_job_has_no_share_of_those_that_waited_long() -> None:
    world = started_world(5, capacity=6)
    (job_id,) = submit_bad(world, 1, 0.3, pieces=8)
    world.run(30)
    job_state, controller = work_of(world, job_id), controllers(world)[0]
    later = world.now + 500 * S
    assert job_state.is_failing
    assert job_state.idle_for(later, controller.runtime.wall() + 500 * S) == 0 * S
    job_state.failed_on.clear()
    assert job_state.idle_for(later, controller.runtime.wall() + 500 * S) > controller.state.tuning.patience


def handed_over(world: World) -> int:
    """A bad job gets another home; how many of its tasks start within 10 s."""
    world.define_job("j-1", shape="service", pieces=4, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 4, 30)
    (job_id,) = submit_bad(world, 1, 0.3, pieces=8, cores=0.5)
    world.run(40)
    job_state = work_of(world, job_id)
    other = next(name for name in world.controller_names if name != job_state.job.record.scheduler)
    before, record = (
        world.invariants.starts_by_job[job_id],
        msgspec.structs.replace(job_state.job.record, scheduler=other),
    )
    world.store.put(f"live/job/{job_id}", msgspec.to_builtins(record))
    world.run(10)
    assert work_of(world, job_id) is not job_state
    return world.invariants.starts_by_job[job_id] - before


def test_its_next_scheduler_knows_where_a_job_failed() -> None:
    assert handed_over(started_world(4, capacity=6)) <= 3


def test_without_that_all_its_tasks_start_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MachineIndex, "hosts_failed_on", lambda self, job_id: set())
    assert handed_over(started_world(4, capacity=6)) > 6


def test_rows_stay_small_however_many_bad_jobs_there_are() -> None:
    world = started_world(5, capacity=2)
    submit_bad(world, 12, 0.3, pieces=1, cores=0.5)
    world.run(20)
    hosts = [host for controller in controllers(world) for host in controller.machine_index.machines.values()]
    assert max(len(host.failed_jobs) for host in hosts) == FAILED_JOBS_KEPT
    check_indexes(world)


def test_what_a_machine_tells_of_failures() -> None:
    machine = OwnedMachine("vm-1", MachineRecord("m", "a", False, 1, 0.0), None, True, 0 * S)
    for job_id in ("j-1", "j-2", "j-1"):
        record_outcome(machine, job_id, "error")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-1", "j-2"], 2)
    record_outcome(machine, "j-3", "done")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-1", "j-2"], 0)
    record_outcome(machine, "j-1", "error")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-2", "j-1"], 1)
    for number in range(20):
        record_outcome(machine, f"j-{number + 10}", "error")
    assert (len(machine.failed_jobs), machine.consecutive_failures, machine.failed_jobs[-1]) == (
        FAILED_JOBS_KEPT,
        FAILED_JOBS_KEPT,
        "j-29",
    )
