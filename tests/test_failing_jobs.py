"""Failing jobs, which were submitted with a mistake and fail on every machine until they are cancelled.

Their failures look like those of a faulty machine, and the other way round: healthy machines could be quarantined, or a
healthy job on faulty machines could be held back. A failing job could also start its tasks again and again, and so rent
machines, write to the key-value store, preempt other tasks, or hold up other jobs of a team at its limit.
"""

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
from ramptide.scheduling.own_demand import own_demand
from ramptide.state.amounts import ZERO_AMOUNTS
from ramptide.state.records import MachineRecord
from virtual import SECOND, World, check_indexes, end_faults, leader_of, owner_of, play_history, started_world


def live_controllers(world: World) -> list[Controller]:
    return [node.controller for node in world.nodes.values() if node.controller is not None]


def job_state_of(world: World, job_id: str) -> JobState:
    """Return the state of a job at its scheduler."""
    return next(
        controller.state.scheduler.jobs[job_id]
        for controller in live_controllers(world)
        if controller.state.scheduler is not None and job_id in controller.state.scheduler.jobs
    )


def submit_failing_jobs(world: World, count: int, failure_delay_s: float = 0.5, **fields: object) -> list[str]:
    job_ids = [f"j-9{index}" for index in range(count)]
    for index, job_id in enumerate(job_ids):
        world.failure_delays[job_id] = failure_delay_s
        world.define_job(job_id, **fields)
        assert world.submit_until_accepted(job_id, world.controller_names[index % len(world.controller_names)])
    return job_ids


def submit_healthy_jobs(world: World, count: int, **fields: object) -> list[str]:
    job_ids = [f"j-{index}" for index in range(count)]
    for index, job_id in enumerate(job_ids):
        world.define_job(job_id, **fields)
        assert world.submit_until_accepted(job_id, world.controller_names[index % len(world.controller_names)])
    return job_ids


def watch_quarantined_machines(world: World, seconds: int, check: Callable[[World], None] = check_indexes) -> set[str]:
    """Return a set to which each machine is added that is quarantined from now on; `check` is called meanwhile, too."""
    quarantined: set[str] = set()

    def sample() -> None:
        check(world)
        for controller in live_controllers(world):
            quarantined.update(
                host for host, record in controller.state.machines.items() if record.drain_reason == QUARANTINED
            )

    for half_second in range(seconds * 2):
        world.after(half_second * 0.5 * SECOND, sample)
    return quarantined


def run_healthy_and_failing_jobs(seed: int, failure_delay_s: float) -> tuple[World, set[str], set[str], list[str]]:
    """Run healthy and failing jobs on healthy machines and two faulty ones.

    Return the world, the quarantined machines, the faulty machines and the failing jobs.
    """
    world = started_world(seed, capacity=10)
    quarantined = watch_quarantined_machines(world, 200)
    service_ids = [f"j-7{number}" for number in range(4)]
    for job_id in service_ids:
        world.define_job(job_id, shape="service", pieces=2, cores=1.0)
        assert world.submit_until_accepted(job_id, "c0")
    first_job_ids = [f"j-8{number}" for number in range(4)]
    for job_id in first_job_ids:
        world.define_job(job_id, pieces=4, cores=4.0, guessS=6.0)
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) >= 6, 30)
    failing_ids = submit_failing_jobs(world, 4, failure_delay_s, pieces=3)
    world.run(5)
    connected_hosts = {host for host, agent in world.agents.items() if agent.alive and agent.fencing_token}
    faulty_hosts = set(world.rng.sample(sorted(connected_hosts), 2))
    for host in faulty_hosts:
        world.agents[host].is_faulty = True
    healthy_ids = submit_healthy_jobs(world, 24, pieces=4, guessS=4.0)
    world.run(90)
    assert all(world.is_done(job_id) for job_id in healthy_ids + first_job_ids)
    assert world.invariants.violations == []
    for job_id in failing_ids:
        answer = world.poll_job(job_id, world.rng.choice(world.controller_names))
        assert answer is not None
        assert (answer[0], answer[1]["done"]) == (200, 0)
        assert world.cancel_job(job_id, world.rng.choice(world.controller_names))
    world.run(20)
    assert not {task.job_id for agent in world.agents.values() for task in agent.tasks.values()} & set(failing_ids)
    return world, quarantined, faulty_hosts, failing_ids


@pytest.mark.parametrize("failure_delay_s", [0.3, 4.0])
@pytest.mark.parametrize("seed", range(3))
def test_healthy_jobs_finish_and_only_faulty_machines_are_quarantined(seed: int, failure_delay_s: float) -> None:
    world, quarantined, faulty_hosts, failing_ids = run_healthy_and_failing_jobs(seed, failure_delay_s)
    assert quarantined
    assert quarantined <= faulty_hosts
    assert max(world.invariants.starts_by_job[job_id] for job_id in failing_ids) <= 20


def machines_quarantined_by_failing_jobs(
    failure_delay_s: float = 0.5, cancel: bool = False, check: Callable[[World], None] = check_indexes
) -> set[str]:
    """Return which healthy machines are quarantined when failing jobs come to them.

    The machines run services, so that no task ever succeeds there.
    """
    world = started_world(3, capacity=6)
    world.define_job("j-1", shape="service", pieces=6, cores=3.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    quarantined = watch_quarantined_machines(world, 100, check)
    failing_ids = submit_failing_jobs(world, 3, failure_delay_s, pieces=2)
    world.run(20)
    for job_id in failing_ids if cancel else ():
        assert world.cancel_job(job_id, "c1")
    world.run(60)
    assert world.invariants.violations == []
    return quarantined


@pytest.mark.parametrize("failure_delay_s", [0.5, 6.0])
def test_no_machine_is_quarantined_because_of_failing_jobs(failure_delay_s: float) -> None:
    assert machines_quarantined_by_failing_jobs(failure_delay_s=failure_delay_s) == set()
    assert machines_quarantined_by_failing_jobs(failure_delay_s=failure_delay_s, cancel=True) == set(), (
        "also not after the failing jobs are cancelled"
    )


def test_failing_jobs_get_machines_quarantined_without_the_failure_attribution(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FailureAttribution, "_indicates_fault", lambda self, job_id, name: True)
    assert machines_quarantined_by_failing_jobs()


def test_cancelled_failing_jobs_get_machines_quarantined_when_every_finished_job_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each finished job then indicates a fault of the machines on which it failed."""
    indicates_fault = FailureAttribution._indicates_fault
    monkeypatch.setattr(
        FailureAttribution,
        "_indicates_fault",
        lambda self, job_id, name: job_id not in self._jobs or indicates_fault(self, job_id, name),
    )
    assert machines_quarantined_by_failing_jobs(cancel=True, check=lambda world: None)


def machines_quarantined_while_jobs_run_elsewhere(failure_delay_s: float) -> set[str]:
    """Return which machines are quarantined when two jobs fail on one machine and then run elsewhere.

    The jobs run there for `failure_delay_s` before they fail as well.
    """
    world = started_world(4, capacity=6, members=1)
    world.define_job("j-1", shape="service", pieces=2, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 2, 30)
    quarantined = watch_quarantined_machines(world, 60)
    submit_failing_jobs(world, 2, failure_delay_s, pieces=1, cores=1.0)
    world.run(50)
    return quarantined


def test_healthy_machine_is_not_quarantined_while_its_failed_jobs_run_elsewhere() -> None:
    assert machines_quarantined_while_jobs_run_elsewhere(5.0) == set()


def test_healthy_machine_is_quarantined_without_the_quarantine_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(faulty_machines, "QUARANTINE_AFTER", 0.1 * SECOND)
    assert machines_quarantined_while_jobs_run_elsewhere(5.0)


def test_faulty_machine_is_quarantined_and_its_jobs_run_elsewhere() -> None:
    world = started_world(2, members=1)
    for index in range(3):
        world.define_job(f"j-{index}", pieces=2, cores=1.0, guessS=60.0)
    assert world.submit_until_accepted("j-0", "c0")
    assert world.run_until(lambda: bool(world.invariants.running_tasks()), 20)
    faulty_agent = world.invariants.running_tasks()[0][0]
    faulty_agent.is_faulty = True
    quarantined = watch_quarantined_machines(world, 60)
    for index in (1, 2):
        assert world.submit_until_accepted(f"j-{index}", "c0")
    assert world.run_until(lambda: not faulty_agent.alive, 40)
    assert quarantined == {faulty_agent.host}
    assert world.run_until(lambda: all(world.is_done(f"j-{index}") for index in range(3)), 120)
    assert world.invariants.violations == []


def test_healthy_job_runs_on_other_machines_when_its_scheduler_owns_only_faulty_ones() -> None:
    """The job fails on its scheduler's machines before they count as faulty; its probes must go to other machines."""
    world = started_world(3, capacity=9)
    world.define_job("j-1", shape="service", pieces=9, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 9, 30)
    machine_counts = Counter(owner_of(world, host) for host in world.agents)
    scheduler = max(
        (name for name in world.controller_names if name != leader_of(world)), key=lambda name: machine_counts[name]
    )
    for host, agent in world.agents.items():
        agent.is_faulty = owner_of(world, host) == scheduler
    world.define_job("j-2", pieces=2, cores=1.0)
    body = json.dumps(world.job_specs["j-2"]).encode()
    for controller in live_controllers(world):
        controller.job_api._choose_scheduler = lambda spec: scheduler
    world.request("c0", lambda controller: controller.job_api.submit(body, lambda status, *_: None))
    assert sum(agent.is_faulty for agent in world.agents.values()) >= 2
    assert world.run_until(lambda: world.is_done("j-2"), 60)


def jobs_finish_when_first_machines_are_faulty(faulty_count: int, seconds: float) -> bool:
    """Return whether healthy jobs finish in time.

    All machines that are rented first are faulty, so that no success shows that the jobs are healthy.
    """
    world = started_world(2, members=1)
    create_agent = world.cloud._create_agent
    faulty_hosts: list[str] = []

    def create_faulty_agent(zone: str, spot: bool) -> str:
        host = create_agent(zone, spot)
        if len(faulty_hosts) < faulty_count:
            faulty_hosts.append(host)
            world.agents[host].is_faulty = True
        return host

    world.cloud._create_agent = create_faulty_agent  # type: ignore[method-assign]
    job_ids = submit_healthy_jobs(world, 4, pieces=1, cores=1.0, guessS=3.0)
    are_all_done = world.run_until(lambda: all(world.is_done(job_id) for job_id in job_ids), seconds)
    assert len(faulty_hosts) == faulty_count
    assert world.invariants.violations == []
    return are_all_done


@pytest.mark.parametrize(("faulty_count", "seconds"), [(4, 120), (6, 240)])
def test_healthy_jobs_finish_when_all_machines_are_faulty_at_first(faulty_count: int, seconds: float) -> None:
    assert jobs_finish_when_first_machines_are_faulty(faulty_count, seconds)


def test_healthy_jobs_do_not_finish_without_the_counts_of_consecutive_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    """The faulty machines then stay in the pool of idle machines."""
    observed_machines = FleetObservation.machines
    monkeypatch.setattr(
        FleetObservation,
        "machines",
        lambda self, *arguments: [
            replace(machine, consecutive_failures=0) for machine in observed_machines(self, *arguments)
        ],
    )
    assert not jobs_finish_when_first_machines_are_faulty(6, 400)


def job_finishes_on_another_machine(world: World) -> bool:
    """Return whether a job finishes when the only machine, which runs a service and has room for more, is faulty."""
    (controller,) = live_controllers(world)
    controller.state.tuning = controller.machine_index.tuning = replace(
        controller.state.tuning, pool_size=0, pool_share=0.0
    )
    world.define_job("j-1", shape="service", pieces=1, cores=4.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: bool(world.invariants.running_tasks()), 30)
    world.run(60)
    (faulty_agent,) = [agent for agent in world.agents.values() if agent.alive]
    faulty_agent.is_faulty = True
    world.define_job("j-2", pieces=1, cores=1.0, guessS=3.0)
    assert world.submit_until_accepted("j-2", "c0")
    is_done = world.run_until(lambda: world.is_done("j-2"), 150)
    assert world.invariants.violations == []
    assert faulty_agent.alive
    return is_done


def test_job_that_failed_on_the_only_machine_finishes_on_another() -> None:
    assert job_finishes_on_another_machine(started_world(2, members=1))


def test_job_that_failed_on_the_only_machine_does_not_finish_without_avoided_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The room of the machine then counts for the job, so that no other machine is rented for it."""
    monkeypatch.setattr(JobState, "avoided_hosts", property(lambda self: set()))
    assert not job_finishes_on_another_machine(started_world(2, members=1))


@pytest.mark.parametrize("seed", range(300, 308))
def test_no_invariant_is_violated_in_generated_histories_with_failing_jobs(seed: int) -> None:
    def set_failures_and_check_indexes(world: World) -> None:
        world.failure_delays |= {"j-0": 0.4, "j-1": 3.0, "j-2": 8.0}
        check_indexes(world)

    world = play_history(seed, periodic_check=set_failures_and_check_indexes)
    assert world.invariants.violations == []
    assert any(world.invariants.starts_by_job[job_id] for job_id in world.failure_delays)
    end_faults(world)
    for job_id in world.failure_delays:
        answers = {name: world.poll_job(job_id, name) for name in world.controller_names}
        is_known = f"live/job/{job_id}" in world.store.entries or f"ended/{job_id}" in world.store.entries
        assert all(answer is not None and answer[0] == (200 if is_known else 404) for answer in answers.values()), (
            answers
        )
    assert world.invariants.violations == []


# The tests below concern how often failing jobs are started, and what they take from other jobs.


def count_starts_of_failing_job(**fields: object) -> int:
    """Return how many task starts a failing job gets in three minutes, and check that none follows its cancellation."""
    world = started_world(5, capacity=6)
    (job_id,) = submit_failing_jobs(world, 1, 0.3, **({"pieces": 8, "cores": 1.0} | fields))
    world.run(180)
    answer = world.poll_job(job_id, "c2")
    assert answer is not None
    assert (answer[0], answer[1]["status"]) == (200, "pending")
    assert world.cancel_job(job_id, "c0")
    starts_before = world.invariants.starts_by_job[job_id]
    world.run(70)
    assert world.invariants.starts_by_job[job_id] == starts_before
    assert world.invariants.violations == []
    return starts_before


@pytest.mark.parametrize("shape", ["batch", "service"])
def test_failing_job_starts_few_tasks(shape: str) -> None:
    assert count_starts_of_failing_job(shape=shape) <= 30


def test_failing_job_starts_many_tasks_without_the_limit_to_one_probe(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "startable", property(lambda self: self.waiting))
    assert count_starts_of_failing_job() > 50


def test_failing_job_starts_many_probes_without_the_back_off(monkeypatch: pytest.MonkeyPatch) -> None:
    back_off = FailingJobs.back_off

    def back_off_without_delay(failing_jobs: FailingJobs, job_state: JobState, now: timedelta) -> None:
        back_off(failing_jobs, job_state, now)
        job_state.retry_at = 0 * SECOND
        job_state.excluded_until.clear()

    monkeypatch.setattr(FailingJobs, "back_off", back_off_without_delay)
    assert count_starts_of_failing_job() > 50


def test_failing_jobs_finish_once_their_tasks_no_longer_fail() -> None:
    world = started_world(5, capacity=6)
    quarantined = watch_quarantined_machines(world, 300)
    job_ids = submit_failing_jobs(world, 2, 0.3, pieces=8, cores=1.0)
    world.run(60)
    world.failure_delays.clear()
    assert world.run_until(lambda: all(world.is_done(job_id) for job_id in job_ids), 150)
    world.run(30)
    assert world.invariants.violations == []
    assert quarantined == set()


def all_tasks_run_again(world: World) -> bool:
    """Return whether all tasks of a job run again soon after those on two machines failed; the others keep running."""
    world.define_job("j-1", pieces=6, cores=4.0, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    failed_hosts = sorted({agent.host for agent, _ in world.invariants.running_tasks()})[:2]
    for agent, task in world.invariants.running_tasks():
        if agent.host in failed_hosts:
            agent._finish(task, "error")
    job_state = job_state_of(world, "j-1")
    assert world.run_until(lambda: bool(job_state.is_failing), 10), "a job counts as failing from two machines on"
    return world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 12)


def test_job_is_not_held_back_while_some_of_its_tasks_keep_running() -> None:
    assert all_tasks_run_again(started_world(3))


def test_job_with_running_tasks_is_held_back_without_the_check_for_recovered_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job then waits until one of its tasks is done."""
    monkeypatch.setattr(JobScheduler, "clear_recovered", lambda self, now: None)
    assert not all_tasks_run_again(started_world(3))


def is_job_failing_after_quarantine(world: World) -> bool:
    """Return whether a job counts as failing after it fails on a machine that is then quarantined, and on another."""
    world.define_job("j-1", pieces=4, cores=4.0, guessS=60.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len({agent.host for agent, _ in world.invariants.running_tasks()}) >= 2, 30)
    task_by_host = {agent.host: (agent, task) for agent, task in world.invariants.running_tasks()}
    (first_agent, first_task), (second_agent, second_task) = list(task_by_host.values())[:2]
    first_agent._finish(first_task, "error")
    job_state = job_state_of(world, "j-1")
    assert world.run_until(lambda: bool(job_state.failed_on), 10)
    for controller in live_controllers(world):
        controller.state.machines[first_agent.host] = replace(
            controller.state.machines[first_agent.host], drain_reason=QUARANTINED
        )
        if controller.state.scheduler is not None:
            controller.state.scheduler.discard_failures_on(first_agent.host)
    second_agent._finish(second_task, "error")
    world.run(3)
    return job_state.is_failing


def test_failures_on_a_quarantined_machine_do_not_count_against_the_job() -> None:
    assert not is_job_failing_after_quarantine(started_world(3))


def test_failures_on_a_quarantined_machine_count_against_the_job_without_discarding_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(JobScheduler, "discard_failures_on", lambda self, host: None)
    assert is_job_failing_after_quarantine(started_world(3))


def count_rentals_and_writes_of_failing_jobs() -> tuple[int, int]:
    """Return how many machines are rented, and transactions sent, for two large failing jobs in two minutes.

    The first 40 s are not counted.
    """
    world = started_world(6, capacity=40)
    submit_failing_jobs(world, 2, 0.3, pieces=60, cores=4.0)
    world.run(40)
    machines_before, transactions_before = len(world.agents), world.request_counts["POST txn"]
    world.run(120)
    return len(world.agents) - machines_before, world.request_counts["POST txn"] - transactions_before


def test_failing_jobs_rent_few_machines_and_write_little() -> None:
    machines, transactions = count_rentals_and_writes_of_failing_jobs()
    assert machines <= 4
    assert transactions <= 30


def test_failing_jobs_rent_many_machines_without_the_limit_to_one_probe(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobState, "startable", property(lambda self: self.waiting))
    assert count_rentals_and_writes_of_failing_jobs()[0] > 10


def count_preemptions_for_failing_job() -> int:
    """Return how many tasks are preempted for a failing job of the highest priority, after its first 30 s."""
    world = started_world(4, capacity=2)
    world.define_job("j-1", pieces=8, cores=2.0, rank="low", guessS=400.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 8, 30)
    submit_failing_jobs(world, 1, 0.3, pieces=2, cores=4.0, rank="production")
    world.run(30)
    preemptions_before = sum(controller.state.counters["preemptions"] for controller in live_controllers(world))
    world.run(120)
    return sum(controller.state.counters["preemptions"] for controller in live_controllers(world)) - preemptions_before


def test_failing_job_preempts_no_task() -> None:
    assert count_preemptions_for_failing_job() == 0


def test_failing_job_preempts_tasks_without_the_check_whether_it_may_claim_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(JobState, "may_claim_room", property(lambda self: True))
    assert count_preemptions_for_failing_job() > 0


def other_jobs_finish() -> bool:
    """Return whether the healthy jobs of two teams at their limits finish.

    One of the teams has a large failing job as well.
    """
    world = started_world(7, teams={"one": 12.0, "two": 8.0}, capacity=8)
    submit_failing_jobs(world, 1, 0.3, owner="one", pieces=100, cores=2.0, rank="high")
    world.run(20)
    for index in range(6):
        world.define_job(f"j-{index}", owner="one" if index % 2 else "two", pieces=6, cores=2.0, guessS=3.0)
        assert world.submit_until_accepted(f"j-{index}", world.controller_names[index % 3])
    are_all_done = world.run_until(lambda: all(world.is_done(f"j-{index}") for index in range(6)), 40)
    assert world.invariants.violations == []
    return are_all_done


def test_failing_job_does_not_hold_up_teams_at_their_limits() -> None:
    assert other_jobs_finish()


def test_failing_job_holds_up_teams_at_their_limits_when_it_does_not_count_as_failing_and_no_machine_is_excluded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job then takes the room and its team's share again and again."""
    monkeypatch.setattr(JobState, "is_failing", property(lambda self: False))
    monkeypatch.setattr(JobState, "exclude", lambda self, host, until: None)
    assert not other_jobs_finish()


def share_asked_for_by_failing_job() -> float:
    """Return how many CPUs of its team's limit a failing job of many tasks of 2 CPUs asks for at most in a minute."""
    world = started_world(7, teams={"one": 12.0}, capacity=8)
    (job_id,) = submit_failing_jobs(world, 1, 0.3, owner="one", pieces=100, cores=2.0, rank="high")
    world.run(20)
    asked = []
    for _ in range(60):
        world.run(1)
        for controller in live_controllers(world):
            scheduler = controller.state.require_scheduler()
            if job_id in scheduler.jobs:
                asked.append(own_demand(scheduler, world.now).get("one", ZERO_AMOUNTS).cpus)
    return max(asked)


def test_failing_job_asks_for_the_share_of_one_task_at_most() -> None:
    assert share_asked_for_by_failing_job() <= 2.0


def test_failing_job_asks_for_the_share_of_all_its_tasks_when_it_does_not_count_as_failing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(JobState, "is_failing", property(lambda self: False))
    assert share_asked_for_by_failing_job() > 100.0


def test_failing_job_does_not_count_as_long_waiting() -> None:
    world = started_world(5, capacity=6)
    (job_id,) = submit_failing_jobs(world, 1, 0.3, pieces=8)
    world.run(30)
    job_state, controller = job_state_of(world, job_id), live_controllers(world)[0]
    later = world.now + 500 * SECOND
    assert job_state.is_failing
    assert job_state.idle_for(later, controller.runtime.wall() + 500 * SECOND) == 0 * SECOND
    job_state.failed_on.clear()
    assert job_state.idle_for(later, controller.runtime.wall() + 500 * SECOND) > controller.state.tuning.patience


def count_starts_after_scheduler_change(world: World) -> int:
    """Return how many tasks of a failing job start within 10 s after another controller became its scheduler."""
    world.define_job("j-1", shape="service", pieces=4, cores=5.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 4, 30)
    (job_id,) = submit_failing_jobs(world, 1, 0.3, pieces=8, cores=0.5)
    world.run(40)
    job_state = job_state_of(world, job_id)
    next_scheduler = next(name for name in world.controller_names if name != job_state.job.record.scheduler)
    starts_before, record = (
        world.invariants.starts_by_job[job_id],
        msgspec.structs.replace(job_state.job.record, scheduler=next_scheduler),
    )
    world.store.put(f"live/job/{job_id}", msgspec.to_builtins(record))
    world.run(10)
    assert job_state_of(world, job_id) is not job_state
    return world.invariants.starts_by_job[job_id] - starts_before


def test_next_scheduler_of_a_failing_job_knows_where_it_failed() -> None:
    assert count_starts_after_scheduler_change(started_world(4, capacity=6)) <= 3


def test_next_scheduler_starts_all_tasks_of_a_failing_job_without_hosts_failed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MachineIndex, "hosts_failed_on", lambda self, job_id: set())
    assert count_starts_after_scheduler_change(started_world(4, capacity=6)) > 6


def test_machine_status_names_few_failed_jobs_when_many_jobs_fail() -> None:
    world = started_world(5, capacity=2)
    submit_failing_jobs(world, 12, 0.3, pieces=1, cores=0.5)
    world.run(20)
    machines = [
        machine for controller in live_controllers(world) for machine in controller.machine_index.machines.values()
    ]
    assert max(len(machine.failed_jobs) for machine in machines) == FAILED_JOBS_KEPT
    check_indexes(world)


def test_machine_keeps_its_last_failed_jobs_and_counts_those_since_a_success() -> None:
    machine = OwnedMachine("vm-1", MachineRecord("m", "a", False, 1, 0.0), None, True, 0 * SECOND)
    for job_id in ("j-1", "j-2", "j-1"):
        record_outcome(machine, job_id, "error")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-1", "j-2"], 2)
    record_outcome(machine, "j-3", "done")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-1", "j-2"], 0)
    record_outcome(machine, "j-1", "error")
    assert (machine.failed_jobs, machine.consecutive_failures) == (["j-2", "j-1"], 1)
    for index in range(20):
        record_outcome(machine, f"j-{index + 10}", "error")
    assert (len(machine.failed_jobs), machine.consecutive_failures, machine.failed_jobs[-1]) == (
        FAILED_JOBS_KEPT,
        FAILED_JOBS_KEPT,
        "j-29",
    )
