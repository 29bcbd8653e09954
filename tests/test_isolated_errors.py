"""Errors that are brought about in the work for one job, machine or record: the work for all others goes on.

The tests guard against an exception of one job that ends each step of the leader, each placement round, each write of
results or the watch of the records, and so stops the service for everybody while its processes seem healthy.
"""

import contextlib
import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import pytest

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.agents.statistics import AgentStatistics
from ramptide.autoscaling import demand_fitting
from ramptide.autoscaling.fleet_observation import FleetObservation
from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.assignments import Assignments
from ramptide.controller.passed_time import PassedTime
from ramptide.placement.bin_packing import fill_rooms
from ramptide.scheduling import placement_round, preemption
from ramptide.scheduling.handover import JobHandover
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.placement_round import PlacementRound
from ramptide.scheduling.results import ResultWriter
from ramptide.scheduling.rooms import RoomFinder
from ramptide.transport.isolated_errors import ERROR_COUNTER, LOG_INTERVAL, MAX_REMEMBERED, IsolatedErrors
from virtual import (
    OTHER_ARRAYS,
    World,
    check_other_jobs_are_served,
    leader_of,
    run_with_checks,
    started_world,
    submit_other_jobs,
)

BAD = "j-1"
#: No job is left waiting for longer while a machine that fits has room.
MAX_WAITING_TIME_S = 90


class BroughtAboutError(Exception):
    """Raised in place of the work for the bad job."""


def fail_for(subject_of: Callable[..., Any], function: Callable[..., Any], bad: object = BAD) -> Callable[..., Any]:
    """Return the function, made to fail for the bad subject; `subject_of` gets the arguments of a call."""

    def call(*arguments: Any, **keywords: Any) -> Any:
        if subject_of(*arguments, **keywords) == bad:
            raise BroughtAboutError
        return function(*arguments, **keywords)

    return call


def receive_unless_raising(receive: Callable[..., None]) -> Callable[..., None]:
    """Return the handling of a request as the event loop does it, where an error ends that request alone."""

    def call(*arguments: Any) -> None:
        with contextlib.suppress(BroughtAboutError):
            receive(*arguments)

    return call


def choose_schedulers(monkeypatch: pytest.MonkeyPatch, choose: Callable[[str], str]) -> None:
    """Have controllers that are started from now on choose the scheduler of a new job by its id."""
    monkeypatch.setattr(RoomFinder, "choose_scheduler", lambda _self, spec: choose(spec.job_id))


def error_counts(world: World) -> Counter[str]:
    return Counter(
        {
            name: node.controller.state.counters[ERROR_COUNTER]
            for name, node in world.nodes.items()
            if node.controller is not None
        }
    )


def check_others_run_beside_the_bad_job(world: World, **fields: Any) -> None:
    """Submit the bad job first, then a service and arrays of others, and check that these are served."""
    world.expects_errors = True
    world.define_job(BAD, **({"pieces": 3, "cores": 1.0, "guessS": 2.0} | fields))
    assert world.submit_until_accepted(BAD, "c0")
    submit_other_jobs(world, "c1")
    check_other_jobs_are_served(world, MAX_WAITING_TIME_S)
    assert sum(error_counts(world).values())


def check_bad_job_is_known(world: World) -> None:
    """Check that the bad job has the state of an accepted job everywhere, and can be cancelled."""
    assert {poll[0] for name in world.controller_names if (poll := world.poll_job(BAD, name))} == {200}
    assert world.cancel_job(BAD, "c2")
    run_with_checks(world, world.cancel_timeout_s + 5)
    assert world.invariants.violations == []


def test_others_run_when_the_demand_of_one_job_cannot_be_evaluated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job that ends the leader's step, so that no machine is rented."""
    fails = fail_for(lambda spec, *_: spec.job_id, fill_rooms)
    monkeypatch.setattr(demand_fitting, "fill_rooms", fails)
    world = started_world()
    check_others_run_beside_the_bad_job(world)


@pytest.mark.parametrize("kind", ["batch", "service"])
def test_others_run_when_no_room_can_be_chosen_for_one_job(monkeypatch: pytest.MonkeyPatch, kind: str) -> None:
    """Guards against one job that ends each placement round."""
    for name in ("choose_room", "choose_rooms"):
        fails = fail_for(lambda spec, *_: spec.job_id, getattr(placement_round, name))
        monkeypatch.setattr(placement_round, name, fails)
    world = started_world()
    check_others_run_beside_the_bad_job(world, shape=kind)
    check_bad_job_is_known(world)


def test_team_stays_within_its_limit_when_placement_fails_after_some_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against tasks that a failed placement has started and that do not count for the limit."""
    original = PlacementRound._start_array

    def start_and_fail(self: PlacementRound, job_state: Any, *arguments: Any) -> None:
        original(self, job_state, *arguments)
        raise BroughtAboutError

    monkeypatch.setattr(PlacementRound, "_start_array", start_and_fail)
    world = started_world(teams={"team": 4.0})
    world.expects_errors = True
    for job_id in OTHER_ARRAYS:
        world.define_job(job_id, pieces=6, cores=1.0)
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: all(world.is_done(job_id) for job_id in OTHER_ARRAYS), 240)
    assert world.invariants.violations == []
    assert sum(error_counts(world).values())


def test_others_run_when_the_whole_placement_fails_at_one_controller(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a part of the round that keeps results from being written and heartbeats from being answered."""
    bad_member = "c0"
    choose_schedulers(monkeypatch, lambda job_id: bad_member if job_id == BAD else "c1")
    world = started_world()
    fails = fail_for(lambda _self, scheduler, _now: scheduler.member, PlacementRound.run, bad_member)
    monkeypatch.setattr(PlacementRound, "run", fails)
    check_others_run_beside_the_bad_job(world)
    check_bad_job_is_known(world)


@pytest.mark.parametrize(
    ("part", "method"),
    [(DirectStops, "send_waiting"), (AgentStatistics, "write_log")],
)
def test_rounds_go_on_when_what_comes_before_them_fails(
    monkeypatch: pytest.MonkeyPatch, part: type, method: str
) -> None:
    """Guards against a reply, a stop or a log line that keeps each round of a controller from being run."""

    def fails(*_arguments: Any) -> None:
        raise BroughtAboutError

    monkeypatch.setattr(part, method, fails)
    world = World(1)
    world.expects_errors = True
    for node in world.nodes.values():
        node.start()
    world.run(10)
    check_others_run_beside_the_bad_job(world)
    check_bad_job_is_known(world)


@pytest.mark.parametrize("failing", range(6))
def test_each_step_of_the_passing_of_time_runs_when_another_one_fails(failing: int) -> None:
    """Guards against an error in one step, such as the expiry of leases, that keeps a controller from stepping down."""
    done: list[int] = []

    def step(number: int) -> Callable[..., Any]:
        def run(*_arguments: Any) -> list[Any]:
            if number == failing:
                raise BroughtAboutError
            done.append(number)
            return []

        return run

    counters = Counter[str]()
    passed_time = PassedTime(
        cast(Any, SimpleNamespace(machines={}, member="c0")),
        cast(Any, SimpleNamespace(may_reply=lambda: True, log_change=step(3))),
        cast(Any, SimpleNamespace(others_fenced_at=lambda: None)),
        cast(Any, SimpleNamespace(machines={})),
        cast(Any, SimpleNamespace(step_down_if_cut_off=step(1))),
        cast(Any, SimpleNamespace(record_expired_leases=lambda _expired, is_confirmed: None)),
        cast(Any, SimpleNamespace(write_log=step(4))),
        cast(Any, SimpleNamespace(write_log=step(5))),
        IsolatedErrors(SimpleNamespace(now=timedelta(0)), counters),
    )
    passed_time._stop_on_draining_machines = step(2)  # type: ignore[method-assign]
    shard = SimpleNamespace(view=1, leases=SimpleNamespace(expire=step(0)))
    passed_time.process(cast(Any, SimpleNamespace()), cast(Any, shard), timedelta(0))
    assert done == [number for number in range(6) if number != failing]
    assert counters == {ERROR_COUNTER: 1}


def test_others_run_when_one_held_heartbeat_cannot_be_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one machine that keeps each round of its owner from being run."""
    world = started_world()
    world.expects_errors = True
    assert world.run_until(lambda: any(agent.booted for agent in world.agents.values()), 30)
    bad_host = next(host for host, agent in world.agents.items() if agent.booted)
    fails = fail_for(lambda _self, heartbeat, *_: heartbeat.host, HeartbeatHandler._reply, bad_host)
    monkeypatch.setattr(HeartbeatHandler, "_reply", fails)
    monkeypatch.setattr(
        HeartbeatHandler, "receive_heartbeat", receive_unless_raising(HeartbeatHandler.receive_heartbeat)
    )
    check_others_run_beside_the_bad_job(world)


def test_others_are_preempted_for_when_one_claim_cannot_be_processed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one waiting job that ends preemption for all."""
    fails = fail_for(lambda spec, *_: spec.job_id, preemption.choose_victims)
    monkeypatch.setattr(preemption, "choose_victims", fails)
    world = started_world(capacity=2)
    world.expects_errors = True
    world.define_job("j-8", rank="low", pieces=16, cores=1.0, guessS=900.0)
    assert world.submit_until_accepted("j-8", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 16, 60)
    world.define_job(BAD, rank="production", pieces=1, cores=2.0)
    world.define_job("j-9", rank="high", pieces=1, cores=1.0)
    for job_id in (BAD, "j-9"):
        assert world.submit_until_accepted(job_id, "c0")
    assert world.run_until(lambda: world.is_done("j-9"), MAX_WAITING_TIME_S)
    assert sum(error_counts(world).values())
    assert world.invariants.violations == []


def test_others_are_recorded_when_the_results_of_one_job_cannot_be_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job that keeps the results of all others from being written."""
    fails = fail_for(lambda _self, job_state, _now: job_state.job.job_id, ResultWriter._write_completion)
    monkeypatch.setattr(ResultWriter, "_write_completion", fails)
    world = started_world()
    check_others_run_beside_the_bad_job(world)
    check_bad_job_is_known(world)


def test_others_are_handed_over_when_one_job_cannot_be(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one waiting job that keeps all others at a scheduler without room."""
    fails = fail_for(lambda _self, job_state, _now: job_state.job.job_id, JobHandover._is_due_for_handover)
    monkeypatch.setattr(JobHandover, "_is_due_for_handover", fails)
    schedulers = ["c0"]
    choose_schedulers(monkeypatch, lambda _job_id: schedulers[0])
    world = started_world()
    schedulers[0] = next(name for name in world.controller_names if name != leader_of(world))
    check_others_run_beside_the_bad_job(world, cores=8.0)


def test_others_run_when_one_machine_cannot_be_described(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one machine that ends the leader's step."""
    world = started_world()
    assert world.run_until(lambda: len(world.agents) > 0, 30)
    bad_host = next(iter(world.agents))
    fails = fail_for(lambda _self, host, *_: host, FleetObservation._describe, bad_host)
    monkeypatch.setattr(FleetObservation, "_describe", fails)
    check_others_run_beside_the_bad_job(world)


def test_others_run_when_the_status_of_one_machine_cannot_be_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one machine that ends each round of its owner, and takes the changes of all others with it."""
    world = started_world()
    assert world.run_until(lambda: any(agent.booted for agent in world.agents.values()), 30)
    bad_host = next(host for host, agent in world.agents.items() if agent.booted)
    apply_status = Assignments.apply_machine_status

    def fails(self: Assignments, host: str, status: Any) -> None:
        if host == bad_host and self._state.owner_of(host) == self._state.member:
            raise BroughtAboutError
        apply_status(self, host, status)

    monkeypatch.setattr(Assignments, "apply_machine_status", fails)
    check_others_run_beside_the_bad_job(world)


def test_watch_goes_on_and_nothing_starts_when_the_record_of_one_job_cannot_be_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one record that ends the watch, and against starts by a scheduler that has missed a handover."""
    fails = fail_for(lambda _self, job: job.job_id, Assignments.assign)
    monkeypatch.setattr(Assignments, "assign", fails)
    world = started_world()
    check_others_run_beside_the_bad_job(world)
    assert world.invariants.starts_by_job[BAD] == 0
    check_bad_job_is_known(world)


def test_job_is_suspended_when_a_change_of_its_record_cannot_be_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two schedulers of one job: its former one has to stop when it cannot read who the new one is."""
    world = started_world(capacity=1)
    world.expects_errors = True
    world.define_job("j-8", pieces=8, cores=1.0, guessS=20.0)
    world.define_job(BAD, pieces=4, cores=2.0, guessS=5.0)
    for job_id in ("j-8", BAD):
        assert world.submit_until_accepted(job_id, "c0")
    entry = world.store.entries[f"live/job/{BAD}"]
    scheduler, new_scheduler = entry.value["home"], next(n for n in world.controller_names if n != entry.value["home"])
    monkeypatch.setattr(JobScheduler, "release_job", fail_for(lambda _self, job_id: job_id, JobScheduler.release_job))
    world.store.put(f"live/job/{BAD}", entry.value | {"home": new_scheduler})
    world.run(2)
    controller = world.nodes[scheduler].controller
    assert controller is not None
    assert controller.state.scheduler is not None
    assert controller.state.scheduler.jobs[BAD].is_frozen
    run_with_checks(world, 60)
    assert world.invariants.violations == []


@pytest.mark.parametrize(
    ("owner", "method"),
    [(MachineIndex, "record_job_finished"), (ResultWriter, "forget_job"), (JobScheduler, "finish_job")],
)
def test_tasks_of_a_cancelled_job_end_when_a_step_of_its_removal_fails(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str
) -> None:
    """Guards against a cancelled task that runs on, as an error kept its stop from being requested."""
    world = started_world()
    world.expects_errors = True
    world.define_job(BAD, pieces=6, cores=1.0, guessS=900.0)
    assert world.submit_until_accepted(BAD, "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 60)
    monkeypatch.setattr(owner, method, fail_for(lambda _self, job_id, *_: job_id, getattr(owner, method)))
    assert world.cancel_job(BAD, "c1")
    run_with_checks(world, world.cancel_timeout_s + 5)
    assert world.invariants.violations == []
    assert world.invariants.running_tasks() == []
    assert sum(error_counts(world).values())


# The record of errors.


def test_error_is_logged_with_its_traceback_once_a_minute_and_counted_each_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that one job fills twenty times a second, and against an error without a trace."""
    clock, counters = SimpleNamespace(now=timedelta(0)), Counter[str]()
    errors = IsolatedErrors(clock, counters)

    def fail() -> None:
        raise BroughtAboutError

    with caplog.at_level(logging.ERROR):
        for _ in range(3):
            errors.run("placement", "j-1", fail)
        errors.run("placement", "j-2", fail)
        clock.now = LOG_INTERVAL
        errors.run("placement", "j-1", fail)
    assert [record.getMessage() for record in caplog.records] == [
        "work left out: work='placement' subject='j-1'",
        "work left out: work='placement' subject='j-2'",
        "work left out: work='placement' subject='j-1'",
    ]
    assert all(record.exc_info and record.exc_info[0] is BroughtAboutError for record in caplog.records)
    assert counters == {ERROR_COUNTER: 5}


def test_only_so_many_errors_are_remembered() -> None:
    """Guards against memory that grows with the number of jobs that fail."""
    errors = IsolatedErrors(SimpleNamespace(now=timedelta(0)), Counter())
    for number in range(3 * MAX_REMEMBERED):
        errors.run("placement", f"j-{number}", lambda: 1 // 0)
    assert len(errors._logged_at) <= MAX_REMEMBERED
