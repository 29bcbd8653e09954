"""Small components, compared with plain models: progress, limit shares, token buckets, owners and the autoscaler.

The tests guard against these failures: the compact encoding of done tasks differs from a plain set or grows too large
for a record; members exceed a team limit together because a lower share has not reached one of them yet; a client
exceeds a rate; machines change owners without need; the autoscaler rents too early, rents what the cloud refuses, or
keeps or drains the wrong machines.
"""

import json
from collections import Counter
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.autoscaling.demand_signal import Trigger
from ramptide.autoscaling.faulty_machines import AgentDurations
from ramptide.autoscaling.fleet_types import Demand, FleetMachine
from ramptide.clients.rate_limits import TokenBucket
from ramptide.cluster.view import owner_of
from ramptide.config.tuning import Tuning
from ramptide.placement.bin_packing import Room
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import decode_job_spec
from ramptide.scheduling.job_state import JobState
from ramptide.state.amounts import UNITS_PER_WHOLE, Amounts
from ramptide.state.jobs import Job
from ramptide.state.records import PROGRESS_WINDOW_TASKS, JobRecord, MachineRecord, Progress, to_value
from ramptide.team_limits.share_allocator import ShareAllocator
from ramptide.team_limits.split_policy import ProportionalSplit
from virtual import SECOND, job_spec
from virtual.strict_errors import StrictErrors


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=200))
def test_progress_holds_the_same_tasks_as_a_plain_set(tasks: list[int]) -> None:
    expected: set[int] = set()
    progress = Progress()
    for task in tasks:
        assert progress.add(task) is (task not in expected)
        expected.add(task)
        assert progress.count == len(expected)
    decoded = Progress.decode(progress.encode())
    assert [task in decoded for task in range(310)] == [task in expected for task in range(310)]


def test_job_of_100000_tasks_yields_each_task_once_and_its_record_stays_small() -> None:
    spec = decode_job_spec(json.dumps(job_spec("j-1", pieces=100_000)).encode())
    job_state = JobState(Job("j-1", JobRecord(spec, "c0", 1, 0.0, Progress().encode()), 1), Progress(), timedelta(0))
    largest_bytes = 0
    for _ in range(100_000):
        task = job_state.next_task()
        assert task is not None
        # The tasks end in order here; the largest record, of a window in which every other task is done, follows below.
        job_state.done.add(task)
        if task % 1000 == 0:
            record = JobRecord(spec, "c0", 1, 0.0, job_state.done.encode())
            largest_bytes = max(largest_bytes, len(msgspec.json.encode(to_value(record))))
    assert job_state.next_task() is None
    assert job_state.is_complete
    holes = Progress(0, sum(1 << task for task in range(1, PROGRESS_WINDOW_TASKS, 2)))
    assert (
        len(msgspec.json.encode(to_value(JobRecord(spec, "c0", 1, 0.0, holes.encode())))) < 2.5 * 1024 > largest_bytes
    )


def test_tasks_beyond_the_progress_window_wait_for_the_oldest_unfinished_task() -> None:
    spec = decode_job_spec(json.dumps(job_spec("j-1", pieces=100_000)).encode())
    done = Progress(0, sum(1 << task for task in range(1, PROGRESS_WINDOW_TASKS)))
    job_state = JobState(Job("j-1", JobRecord(spec, "c0", 1, 0.0, done.encode()), 1), done, timedelta(0))
    assert job_state.next_task() == 0
    job_state.placed[0] = None  # type: ignore[assignment]
    assert job_state.next_task() is None
    del job_state.placed[0]
    done.add(0)
    assert job_state.next_task() == PROGRESS_WINDOW_TASKS


MEMBERS = ["a", "b", "c"]
CPU_LIMIT_UNITS = 20 * UNITS_PER_WHOLE
LIMITS_BY_TEAM = {"t": Amounts(CPU_LIMIT_UNITS, 0)}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(MEMBERS), st.sampled_from(["ask", "start", "end", "deliver", "ack"]))))
def test_members_never_exceed_a_limit_together(events: list[tuple[str, str]]) -> None:
    """Shares and acknowledgements arrive when the generated events say so; members start tasks within their shares."""
    allocator = ShareAllocator(LIMITS_BY_TEAM, MEMBERS)
    shares_held = dict.fromkeys(MEMBERS, 0)
    used = dict.fromkeys(MEMBERS, 0)
    waiting = dict.fromkeys(MEMBERS, 0)
    reported = {member: (used[member], 0) for member in MEMBERS}
    last_sent: dict[str, tuple[int, int]] = dict.fromkeys(MEMBERS, (0, 0))
    received_sequence = dict.fromkeys(MEMBERS, 0)
    for sequence_number, (member, event) in enumerate(events, 1):
        if event == "ask":
            waiting[member] += 7 * UNITS_PER_WHOLE
        elif event == "start" and shares_held[member] - used[member] >= UNITS_PER_WHOLE:
            used[member] += UNITS_PER_WHOLE
            waiting[member] = max(0, waiting[member] - UNITS_PER_WHOLE)
        elif event == "end":
            used[member] = max(0, used[member] - UNITS_PER_WHOLE)
        elif event == "deliver":
            received_sequence[member], shares_held[member] = last_sent[member]
        elif event == "ack":
            reported[member] = (used[member], received_sequence[member])
            allocator.record_acknowledgement(member, received_sequence[member])
        shares = allocator.divide(
            sequence_number,
            {name: {"t": Amounts(reported[name][0], 0)} for name in MEMBERS},
            ProportionalSplit({name: {"t": Amounts(waiting[name], 0)} for name in MEMBERS}),
            "a",
        )
        last_sent = {name: (sequence_number, shares[name]["t"][0]) for name in MEMBERS}
        assert sum(used.values()) <= CPU_LIMIT_UNITS
        assert sum(max(shares_held[name], used[name]) for name in MEMBERS) <= CPU_LIMIT_UNITS


def shares_before_and_after_acknowledgement(allocator: ShareAllocator) -> tuple[int, int]:
    """Return b's share before and after `a` acknowledges its lower share; `a` may use the whole limit until then."""
    no_usage, demand = {member: {"t": Amounts(0, 0)} for member in MEMBERS}, {"t": Amounts(50 * UNITS_PER_WHOLE, 0)}
    policies = {member: ProportionalSplit({member: demand}) for member in MEMBERS}
    assert allocator.divide(1, no_usage, policies["a"], "a")["a"]["t"][0] == CPU_LIMIT_UNITS
    allocator.record_acknowledgement("a", 1)
    share_before = allocator.divide(2, no_usage, policies["b"], "a")["b"]["t"][0]
    allocator.record_acknowledgement("a", 2)
    return share_before, allocator.divide(3, no_usage, policies["b"], "a")["b"]["t"][0]


def test_share_is_raised_only_after_the_other_member_acknowledged_its_lower_share() -> None:
    allocator = ShareAllocator(LIMITS_BY_TEAM, MEMBERS)
    assert shares_before_and_after_acknowledgement(allocator) == (0, CPU_LIMIT_UNITS)


def test_limit_is_granted_twice_without_the_record_of_unacknowledged_shares(monkeypatch: pytest.MonkeyPatch) -> None:
    allocator = ShareAllocator(LIMITS_BY_TEAM, MEMBERS)
    divide = allocator.divide

    def divide_without_unacknowledged_shares(sequence_number: int, *arguments: Any) -> Any:
        for member in MEMBERS:
            allocator._sent[member][-1] = (0, {})
        return divide(sequence_number, *arguments)

    monkeypatch.setattr(allocator, "divide", divide_without_unacknowledged_shares)
    assert shares_before_and_after_acknowledgement(allocator)[0] == CPU_LIMIT_UNITS


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 700), st.integers(1, 5)), max_size=60))
def test_token_bucket_admits_no_more_than_its_rate_and_burst(events: list[tuple[int, int]]) -> None:
    bucket, now, admitted = TokenBucket(10.0, 5.0), timedelta(0), []
    for pause_ms, amount in events:
        now += timedelta(milliseconds=pause_ms)
        if not bucket.wait_time(now, amount):
            bucket.consume(amount)
            admitted.append((now, amount))
    for first, (started_at, _) in enumerate(admitted):
        total = 0
        for admitted_at, amount in admitted[first:]:
            total += amount
            assert total <= 5.0 + 10.0 * ((admitted_at - started_at) / SECOND) + 1e-6


def test_only_the_machines_of_a_leaving_member_get_another_owner() -> None:
    hosts = [f"vm-{number:06d}" for number in range(300)]
    owners_before = {host: owner_of(host, {"a": "", "b": "", "c": ""}) for host in hosts}
    owners_after = {host: owner_of(host, {"a": "", "b": ""}) for host in hosts}
    assert min(Counter(owners_before.values()).values()) > 60
    assert all(owners_after[host] == owners_before[host] for host in hosts if owners_before[host] != "c")


AGENT_DURATIONS = AgentDurations(SECOND, 10 * SECOND, 30 * SECOND)
MACHINE_TYPE = MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a"], price=1.0, spot_price=0.4, boot_s=30.0)


def fleet_machine(
    host: str, is_up: bool = True, task_count: int = 0, age_s: float = 100.0, **fields: object
) -> FleetMachine:
    record = MachineRecord("m", "a", False, 1, 0.0, registered=is_up)
    room = Room(host, "m", "a", False, 8.0, 0.0, 32.0) if is_up else None
    attributes = {
        "silent_for": timedelta(0),
        "preempted_in": None,
        "fault_indicating_job_count": 0,
        "is_drained": False,
    } | fields
    return FleetMachine(
        host,
        record,
        MACHINE_TYPE,
        is_up,
        age_s * SECOND,
        task_count=task_count,
        room=room,
        **attributes,  # type: ignore[arg-type]
    )


def count_rentals(
    autoscaler: Autoscaler,
    demands: list[Demand],
    machines: list[FleetMachine],
    step_count: int,
    started_at_s: float = 0.0,
) -> int:
    """Return in how many steps, each half a second after the one before, the autoscaler rents."""
    return sum(
        autoscaler.step(timedelta(seconds=started_at_s + index * 0.5), demands, machines, [MACHINE_TYPE], True).rent
        is not None
        for index in range(step_count)
    )


def waiting_demand(task_count: int, waited_s: float = 1.0) -> Demand:
    spec = decode_job_spec(json.dumps(job_spec("j-1", pieces=task_count, cores=4.0)).encode())
    return Demand(spec, task_count, waited_s * SECOND, Counter())


def test_one_machine_a_step_is_rented_once_the_waiting_count_was_high_for_the_window() -> None:
    autoscaler = Autoscaler(Tuning(pool_size=0, window=2 * SECOND), AGENT_DURATIONS, StrictErrors())
    assert count_rentals(autoscaler, [waiting_demand(4)], [], 4) == 0
    assert autoscaler.trigger is Trigger.RISING
    assert count_rentals(autoscaler, [waiting_demand(4)], [], 3, 2.0) == 3
    assert autoscaler.waiting == 4
    assert (
        count_rentals(
            autoscaler,
            [waiting_demand(4)],
            [fleet_machine("vm-0", False, age_s=1.0), fleet_machine("vm-1", False, age_s=1.0)],
            4,
            4.0,
        )
        == 0
    )
    assert (autoscaler.waiting, autoscaler.trigger) == (0, Trigger.LOW), "booting machines cover the waiting tasks"


def test_long_waiting_tasks_alone_raise_the_trigger() -> None:
    autoscaler = Autoscaler(
        Tuning(pool_size=0, window=0 * SECOND, waiting_high=100, long_waiting_high=2), AGENT_DURATIONS, StrictErrors()
    )
    assert count_rentals(autoscaler, [waiting_demand(4, 5.0)], [], 3) == 0
    assert count_rentals(autoscaler, [waiting_demand(4, 11.0)], [], 3, 2.0) == 3
    assert autoscaler.long_waiting == 4


def test_refused_machine_kind_is_not_rented_again_until_its_backoff_ends() -> None:
    autoscaler = Autoscaler(Tuning(pool_size=0, window=0 * SECOND), AGENT_DURATIONS, StrictErrors())
    autoscaler.step(timedelta(0), [waiting_demand(2)], [], [MACHINE_TYPE], True)
    autoscaler.record_refusal(("m", "a", False), timedelta(0))
    assert count_rentals(autoscaler, [waiting_demand(2)], [], 6, 0.5) == 0
    assert count_rentals(autoscaler, [waiting_demand(2)], [], 4, 5.0) == 4


def test_pool_is_refilled_and_surplus_idle_machine_is_drained_after_the_cooldown() -> None:
    autoscaler = Autoscaler(Tuning(pool_size=1, cooldown=10 * SECOND), AGENT_DURATIONS, StrictErrors())
    assert count_rentals(autoscaler, [], [], 1) == 1, "the pool has too few machines"
    idle_machines = [fleet_machine("vm-0"), fleet_machine("vm-1")]
    drained: dict[str, str] = {}
    for second in range(30):
        plan = autoscaler.step(second * SECOND, [], idle_machines, [MACHINE_TYPE], True)
        assert plan.rent is None
        if second < 10:
            assert plan.drain == {}
        drained |= plan.drain
    assert list(drained.values()) == ["idle"]
    assert autoscaler.idle_pool == [host for host in ("vm-0", "vm-1") if host not in drained]


def test_idle_machine_is_drained_while_the_trigger_is_high_when_no_waiting_task_can_use_it() -> None:
    """A job bound to a zone without capacity can keep the trigger high for ever, but must not keep idle machines."""

    def drained_in_zone(zone: str) -> dict[str, str]:
        autoscaler = Autoscaler(
            Tuning(pool_size=0, pool_share=0.0, cooldown=10 * SECOND), AGENT_DURATIONS, StrictErrors()
        )
        spec = decode_job_spec(json.dumps(job_spec("j-1", pieces=4, cores=4.0, yard=zone)).encode())
        idle_machine = fleet_machine("vm-0")
        assert idle_machine.room is not None
        assert idle_machine.record.zone == "a"
        # The machine is of use to arrays: the idle pool is closed to them at first, but opens after a longer wait.
        idle_machine.room.in_pool = True
        drained: dict[str, str] = {}
        for second in range(30):
            plan = autoscaler.step(second * SECOND, [Demand(spec, 4, 1 * SECOND, Counter())], [idle_machine], [], True)
            assert second >= 10 or plan.drain == {}
            drained |= plan.drain
        assert autoscaler.trigger is Trigger.HIGH
        return drained

    assert drained_in_zone("b") == {"vm-0": "idle"}
    assert drained_in_zone("a") == {}


def test_underutilized_machine_is_drained_when_its_services_fit_on_another() -> None:
    def machine_with_services(host: str, service_count: int, **fields: object) -> FleetMachine:
        specs = [
            decode_job_spec(json.dumps(job_spec(f"j-{host[3:]}{n}", shape="service", pieces=1, cores=2.0)).encode())
            for n in range(service_count)
        ]
        result = fleet_machine(host, task_count=service_count, services=specs, **fields)
        for spec in specs if result.room is not None else ():
            result.room.allocate(spec)
            result.room.service_cpus += spec.cpus
        return result

    def drained_among(*machines: FleetMachine, waiting_tasks: int = 0) -> dict[str, str]:
        autoscaler = Autoscaler(
            Tuning(pool_size=0, pool_share=0.0, cooldown=10 * SECOND, started=15 * SECOND),
            AGENT_DURATIONS,
            StrictErrors(),
        )
        result: dict[str, str] = {}
        for second in range(20):
            demands = [waiting_demand(waiting_tasks)] if waiting_tasks else []
            result |= autoscaler.step(second * SECOND, demands, list(machines), [MACHINE_TYPE], True).drain
        return result

    underutilized, well_used = (
        machine_with_services("vm-0", 1, owner="c0"),
        machine_with_services("vm-1", 3, owner="c0"),
    )
    assert drained_among(underutilized, well_used) == {"vm-0": "thin"}
    assert drained_among(underutilized, machine_with_services("vm-1", 4, owner="c0")) == {}, (
        "the services do not fit on the other machine"
    )
    assert drained_among(underutilized, machine_with_services("vm-1", 3, owner="c1")) == {}, (
        "the machines have different owners"
    )
    assert drained_among(machine_with_services("vm-0", 3, owner="c0"), well_used) == {}, (
        "neither machine is underutilized"
    )
    assert drained_among(underutilized, well_used, waiting_tasks=40) == {}, "the trigger is not low"


def test_faulty_silent_and_preempted_machines_are_drained() -> None:
    autoscaler = Autoscaler(Tuning(), AGENT_DURATIONS, StrictErrors())
    machines = [
        fleet_machine("vm-sick", fault_indicating_job_count=2),
        fleet_machine("vm-silent", silent_for=31 * SECOND),
        fleet_machine("vm-hangs", silent_for=29 * SECOND),
        fleet_machine("vm-dead", silent_for=12 * SECOND, cloud_status="failed"),
        fleet_machine("vm-new", is_up=False, age_s=60.0, silent_for=31 * SECOND),
        fleet_machine("vm-never", is_up=False, age_s=120.0, silent_for=31 * SECOND),
        fleet_machine("vm-taken", preempted_in=0.2 * SECOND),
        fleet_machine("vm-good", task_count=1),
    ]
    first_plan = autoscaler.step(timedelta(0), [], machines, [MACHINE_TYPE], False)
    reasons_of_others = {"vm-silent": "silent", "vm-dead": "gone", "vm-never": "never up", "vm-taken": "taken"}
    assert first_plan.drain == reasons_of_others
    assert autoscaler.step(9.5 * SECOND, [], machines, [MACHINE_TYPE], False).drain == reasons_of_others
    assert autoscaler.step(10 * SECOND, [], machines, [MACHINE_TYPE], False).drain == reasons_of_others | {
        "vm-sick": "sick"
    }
    machines[0].fault_indicating_job_count = 1
    assert autoscaler.step(11 * SECOND, [], machines, [MACHINE_TYPE], False).drain == reasons_of_others
    machines[0].fault_indicating_job_count = 2
    assert autoscaler.step(12 * SECOND, [], machines, [MACHINE_TYPE], False).drain == reasons_of_others, (
        "the time for which the evidence must persist starts again"
    )
