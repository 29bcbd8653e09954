"""A task runs once, whatever its new scheduler still believes of attempts that the former scheduler has given up."""

import json
from datetime import timedelta

import pytest

from ramptide.placement.bin_packing import choose_room, empty_room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import decode_job_spec
from ramptide.scheduling.errors import TaskMayRunError
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.state.jobs import Job
from ramptide.state.records import JobRecord, Progress
from ramptide.state.task_state import PhaseName, TaskRow
from virtual import check_indexes, job_spec
from virtual.cut_histories import play_cut_history
from virtual.machine_owner import LIVE_JOB, MEMBERS, VIEW, KnownJobs, MachineOwner, heartbeat_body

JOB = "j-1"
NOW = timedelta(0)
ZONES = {"vm-1": "a", "vm-2": "b"}
#: Attempts of the former scheduler, the later one of which it started when the earlier one was over.
EARLIER, LATER = 7, 8


def adopt_two_attempts(**fields: object) -> JobScheduler:
    """Return the new scheduler of a job that knows an attempt which is over, and then the living one.

    `fields`: fields of the job specification.
    """
    spec = decode_job_spec(json.dumps(job_spec(JOB, **({"pieces": 1} | fields))).encode())
    scheduler = JobScheduler("c0", 1000)
    scheduler.adopt_job(Job(JOB, JobRecord(spec, "c0", 1, 0.0, Progress().encode()), 1), NOW)
    report(scheduler, "vm-1", (JOB, 0, EARLIER, "sent", None))
    report(scheduler, "vm-2", (JOB, 0, LATER, "running", None))
    return scheduler


def report(scheduler: JobScheduler, host: str, *rows: TaskRow) -> None:
    scheduler.apply_status(host, ZONES[host], list(rows), NOW)


def acknowledge_all(scheduler: JobScheduler) -> None:
    """Receive two acknowledgements of the owner, which reports no task that the scheduler lacks in its last status."""
    for _ in range(2):
        scheduler.sequence_number += 1
        scheduler.apply_acknowledgement(scheduler.sequence_number, lambda _host: [])


@pytest.mark.parametrize("phase", ["refused", "gone"])
def test_task_is_not_started_while_an_attempt_that_is_being_stopped_is_on_a_machine(phase: PhaseName) -> None:
    scheduler = adopt_two_attempts()
    job_state = scheduler.jobs[JOB]
    report(scheduler, "vm-1", (JOB, 0, EARLIER, phase, None))
    assert (job_state.next_task(), job_state.waiting) == (None, 0)
    report(scheduler, "vm-2", (JOB, 0, LATER, "ended", "halted"))
    assert (job_state.next_task(), job_state.waiting) == (0, 1)


def test_task_is_not_started_while_one_of_its_attempts_is_reported_and_the_other_one_is_not() -> None:
    scheduler = adopt_two_attempts()
    job_state = scheduler.jobs[JOB]
    report(scheduler, "vm-1")
    acknowledge_all(scheduler)
    assert scheduler.desired_tasks("vm-1") is None
    assert (job_state.next_task(), job_state.waiting) == (None, 0)
    report(scheduler, "vm-2")
    acknowledge_all(scheduler)
    assert (job_state.next_task(), job_state.waiting) == (0, 1)


def test_task_is_not_started_while_an_attempt_is_being_stopped_when_the_machine_of_the_other_one_is_returned() -> None:
    scheduler = adopt_two_attempts()
    job_state = scheduler.jobs[JOB]
    scheduler.remove_machine("vm-1")
    assert (job_state.next_task(), job_state.waiting) == (None, 0)
    scheduler.remove_machine("vm-2")
    assert (job_state.next_task(), job_state.waiting) == (0, 1)


def test_scheduler_refuses_to_start_a_task_while_an_attempt_of_it_may_be_on_a_machine() -> None:
    scheduler = adopt_two_attempts()
    job_state = scheduler.jobs[JOB]
    del job_state.placed[0]
    with pytest.raises(TaskMayRunError, match="j-1/0"):
        scheduler.start(job_state, 0, "vm-3", "a", NOW)
    assert scheduler.desired_tasks("vm-3") is None


def test_numbers_of_attempts_tell_the_view_and_the_scheduler_that_started_them() -> None:
    numbers, next_numbers = AttemptNumbers(19, ["rig-1", "rig-0"]), AttemptNumbers(20, ["rig-1", "rig-0"])
    assert (numbers.base_of("rig-1") + 148, numbers.base_of("rig-0") + 205) == (20417872020, 20401094861)
    assert numbers.is_of("rig-1", 20417872020)
    assert not numbers.is_of("rig-0", 20417872020)
    assert not numbers.is_of("rig-2", 20417872020)
    assert not next_numbers.is_of("rig-1", 20417872020)
    assert not numbers.is_of("rig-0", numbers.base_of("rig-1"))


def test_task_is_not_started_in_another_zone_than_an_attempt_of_its_job_that_is_being_stopped() -> None:
    job_state = adopt_two_attempts(pieces=3, oneZone=True).jobs[JOB]
    machine_type = MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a", "b"])
    rooms = [empty_room(machine_type, zone, False, f"vm-{zone}") for zone in machine_type.zones]
    assert choose_room(job_state.job.spec, rooms, job_state.placed_by_zone) is None


@pytest.mark.parametrize("seed", [222, 649])
def test_task_does_not_start_before_its_living_attempt_is_stopped_when_controllers_lose_each_other(seed: int) -> None:
    assert play_cut_history(seed).invariants.violations == []


@pytest.mark.parametrize("view", [VIEW - 1, VIEW])
def test_owner_starts_no_attempt_again_that_is_over_and_that_another_scheduler_started(view: int) -> None:
    owner = MachineOwner(KnownJobs())
    attempt = AttemptNumbers(view, MEMBERS).base_of("c0") + 1
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run", attempt=attempt)
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2)) == (200, [])
    assert owner.shard.machines["vm-1"].entries == {}
    owner.request_state(11, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=3)) == (200, [("launch", f"{LIVE_JOB}/0")])


@pytest.mark.parametrize("seed", [79, 403, 642, 687])
def test_attempt_that_is_over_is_not_started_again_when_controllers_lose_each_other(seed: int) -> None:
    assert play_cut_history(seed).invariants.violations == []


@pytest.mark.parametrize("seed", range(700, 712))
def test_no_rule_is_broken_when_controllers_lose_each_other(seed: int) -> None:
    assert play_cut_history(seed).invariants.violations == []


@pytest.mark.parametrize("seed", [222, 642])
def test_indexes_are_right_when_controllers_lose_each_other(seed: int) -> None:
    play_cut_history(seed, check_indexes)
