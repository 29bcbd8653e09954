"""Amounts at the ends of what the protocol allows, from 0 and the smallest floating-point numbers up.

The tests guard against these failures:

- One accepted job with a tiny amount ends each step of the leader and each placement round, so that no machine is
  rented and no job of any user starts; a submission of it is answered 500 while there is free room.
- A job whose tasks take nothing, or next to nothing, is never given a machine.
"""

import json
from datetime import timedelta
from fractions import Fraction
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.autoscaling.consolidation import ServiceConsolidation
from ramptide.autoscaling.fleet_types import FleetMachine
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import ROUNDING_TOLERANCE, Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import MAX_TASKS, decode_job_spec
from ramptide.state.records import MachineRecord
from virtual import World, check_other_jobs_are_served, job_spec, started_world, submit_other_jobs

#: The smallest positive floating-point number, the amount with which the fault was found, and other tiny ones.
TINY_AMOUNTS = (0.0, 5e-324, 1e-310, 2.3e-308, 1e-300, 1e-100, 1e-9)
RESOURCES = ("cores", "cards", "ramGb")
DURATIONS = ("imageGb", "guessS", "markEveryS", "markCostS", "dueS")
#: No job is left waiting for longer while a machine that fits has room.
MAX_WAITING_TIME_S = 90

amounts = st.one_of(st.sampled_from(TINY_AMOUNTS), st.floats(0, 1e9), st.floats(0, 1e-300))
free_amounts = st.floats(-1e9, 1e9)


def spec_of(**fields: Any) -> Any:
    return decode_job_spec(json.dumps(job_spec("j-1", **fields)).encode())


@settings(derandomize=True, max_examples=500, deadline=None)
@given(amounts, amounts, amounts, free_amounts, free_amounts, free_amounts)
def test_number_of_fitting_tasks_is_exact_for_all_amounts(
    cpus: float, gpus: float, ram_gb: float, free_cpus: float, free_gpus: float, free_ram_gb: float
) -> None:
    """Guards against an infinite quotient, and against a limit that lets fewer tasks in than fit."""
    spec = spec_of(pieces=MAX_TASKS, cores=cpus, cards=gpus, ramGb=ram_gb)
    count = Room("vm-1", "m", "a", False, free_cpus, free_gpus, free_ram_gb).count_fitting_tasks(spec)
    quotients = [
        Fraction(free + ROUNDING_TOLERANCE) / Fraction(needed)
        for free, needed in ((free_cpus, cpus), (free_gpus, gpus), (free_ram_gb, ram_gb))
        if needed
    ]
    fitting = min(max(0, min(quotients, default=MAX_TASKS)), MAX_TASKS)
    # The quotient of two floating-point numbers may be rounded up to the next whole number.
    assert count in (int(fitting), int(fitting * (1 + Fraction(1, 2**52))))


def serving_machine(host: str, cpus: float) -> FleetMachine:
    """Return a machine on which a service runs that takes the CPUs for each replica."""
    return FleetMachine(
        host=host,
        record=MachineRecord("m", "a", False, 1, 0.0, registered=True),
        machine_type=MachineType("m", 8.0, 32.0, ["a"], price=1.0),
        is_up=True,
        age=timedelta(seconds=100),
        silent_for=timedelta(0),
        preempted_in=None,
        fault_indicating_job_count=0,
        task_count=1,
        room=Room(host, "m", "a", False, 8.0 - cpus, 0.0, 32.0, service_cpus=1.0),
        is_drained=False,
        services=[spec_of(shape="service", cores=cpus)],
    )


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
def test_machine_can_be_chosen_for_emptying_when_its_services_take_next_to_nothing(amount: float) -> None:
    """Guards against a division by zero in the leader's step, while another service there is not reported yet."""
    consolidation = ServiceConsolidation()
    machines = [serving_machine("vm-1", 1.0), serving_machine("vm-2", amount)]
    consolidation.track_services(timedelta(0), machines)
    assert consolidation.choose_machine(timedelta(seconds=100), machines, {}, Tuning()) == "vm-2"


def check_runs_to_its_end(world: World, job_id: str) -> None:
    """Check that an array is done, and that a service runs until it is cancelled."""
    spec = world.job_specs[job_id]
    if spec["shape"] == "batch":
        assert world.run_until(lambda: world.is_done(job_id), MAX_WAITING_TIME_S)
        return

    def has_all_replicas() -> bool:
        return sum(task.job_id == job_id for _, task in world.invariants.running_tasks()) == spec["pieces"]

    assert world.run_until(has_all_replicas, MAX_WAITING_TIME_S)
    assert world.cancel_job(job_id, "c1")


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
@pytest.mark.parametrize("fields", [("cores",), ("ramGb",), ("cores", "ramGb"), RESOURCES])
def test_job_with_tiny_amounts_keeps_no_other_job_from_running(fields: tuple[str, ...], amount: float) -> None:
    """Guards against one job that ends the leader's step and the placement round for all jobs."""
    world = started_world()
    world.define_job("j-1", pieces=3, **dict.fromkeys(fields, amount))
    assert world.submit_until_accepted("j-1", "c0")
    submit_other_jobs(world, "c0")
    check_other_jobs_are_served(world, MAX_WAITING_TIME_S)
    check_runs_to_its_end(world, "j-1")


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
@pytest.mark.parametrize("kind", ["batch", "service"])
def test_job_of_tiny_amounts_alone_is_accepted_beside_free_room_and_runs(kind: str, amount: float) -> None:
    """Guards against the answer 500 to a submission while machines have room."""
    world = started_world()
    submit_other_jobs(world, "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) > 2, 60)
    amounts_of_job = dict.fromkeys((*RESOURCES, *DURATIONS), amount) | {"pieces": 5, "shape": kind}
    world.define_job("j-1", **amounts_of_job)
    assert world.submit_until_accepted("j-1", "c1", tries=1)
    check_other_jobs_are_served(world, MAX_WAITING_TIME_S)
    check_runs_to_its_end(world, "j-1")


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
@pytest.mark.parametrize("zone", ["a", "b"])
def test_machine_is_rented_for_a_job_that_takes_next_to_nothing(zone: str, amount: float) -> None:
    """Guards against a job that waits for ever in a zone without machines, as its work counts as none."""
    world = started_world(2)
    world.define_job("j-1", pieces=2, yard=zone, **dict.fromkeys(RESOURCES, amount))
    assert world.submit_until_accepted("j-1", "c0")
    check_runs_to_its_end(world, "j-1")


def test_job_of_the_longest_durations_runs_beside_others() -> None:
    """Guards against times that are out of range."""
    world = started_world()
    world.define_job("j-1", pieces=2, cores=1.0, markEveryS=1e9, markCostS=1e9, dueS=1e9, guessS=1e9)
    assert world.submit_until_accepted("j-1", "c0")
    submit_other_jobs(world, "c0")
    check_other_jobs_are_served(world, MAX_WAITING_TIME_S)
    assert sum(task.job_id == "j-1" for _, task in world.invariants.running_tasks()) == 2
