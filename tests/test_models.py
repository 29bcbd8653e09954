"""Small parts against slow plain models: done sets, team grants, token buckets, owners, the trigger."""

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
from virtual import S, job_spec


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=200))
def test_done_sets_are_sets(tasks: list[int]) -> None:
    plain: set[int] = set()
    compact = Progress()
    for task in tasks:
        assert compact.add(task) is (task not in plain)
        plain.add(task)
        assert compact.count == len(plain)
    again = Progress.decode(compact.encode())
    assert [task in again for task in range(310)] == [task in plain for task in range(310)]


def test_a_job_of_100000_tasks_fits_a_small_value_and_is_walked_once() -> None:
    run = decode_job_spec(json.dumps(job_spec("j-1", pieces=100_000)).encode())
    job_state = JobState(Job("j-1", JobRecord(run, "c0", 1, 0.0, Progress().encode()), 1), Progress(), timedelta(0))
    largest = 0
    for _ in range(100_000):
        task = job_state.next_task()
        assert task is not None
        # Every tenth ends far later than its neighbours, so the set has holes.
        job_state.done.add(task)
        if task % 1000 == 0:
            record = JobRecord(run, "c0", 1, 0.0, job_state.done.encode())
            largest = max(largest, len(msgspec.json.encode(to_value(record))))
    assert job_state.next_task() is None
    assert job_state.is_complete
    holes = Progress(0, sum(1 << task for task in range(1, PROGRESS_WINDOW_TASKS, 2)))
    assert len(msgspec.json.encode(to_value(JobRecord(run, "c0", 1, 0.0, holes.encode())))) < 2.5 * 1024 > largest


def test_tasks_past_the_window_wait_for_the_oldest() -> None:
    run = decode_job_spec(json.dumps(job_spec("j-1", pieces=100_000)).encode())
    done = Progress(0, sum(1 << task for task in range(1, PROGRESS_WINDOW_TASKS)))
    job_state = JobState(Job("j-1", JobRecord(run, "c0", 1, 0.0, done.encode()), 1), done, timedelta(0))
    assert job_state.next_task() == 0
    job_state.placed[0] = None  # type: ignore[assignment]
    assert job_state.next_task() is None
    del job_state.placed[0]
    done.add(0)
    assert job_state.next_task() == PROGRESS_WINDOW_TASKS


MEMBERS = ["a", "b", "c"]
LIMIT = 20 * UNITS_PER_WHOLE
LIMITS = {"t": Amounts(LIMIT, 0)}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(MEMBERS), st.sampled_from(["ask", "start", "end", "deliver", "ack"]))))
def test_no_two_members_overstep_a_limit_together(events: list[tuple[str, str]]) -> None:
    """TeamAmounts and acknowledgements are delivered when the history says so; members start all they may."""
    leader = ShareAllocator(LIMITS, MEMBERS)
    held = dict.fromkeys(MEMBERS, 0)
    using = dict.fromkeys(MEMBERS, 0)
    waiting = dict.fromkeys(MEMBERS, 0)
    told = {member: (using[member], 0) for member in MEMBERS}
    latest: dict[str, tuple[int, int]] = dict.fromkeys(MEMBERS, (0, 0))
    seen = dict.fromkeys(MEMBERS, 0)
    for seq, (member, event) in enumerate(events, 1):
        if event == "ask":
            waiting[member] += 7 * UNITS_PER_WHOLE
        elif event == "start" and held[member] - using[member] >= UNITS_PER_WHOLE:
            using[member] += UNITS_PER_WHOLE
            waiting[member] = max(0, waiting[member] - UNITS_PER_WHOLE)
        elif event == "end":
            using[member] = max(0, using[member] - UNITS_PER_WHOLE)
        elif event == "deliver":
            seen[member], held[member] = latest[member]
        elif event == "ack":
            told[member] = (using[member], seen[member])
            leader.record_acknowledgement(member, seen[member])
        grants = leader.divide(
            seq,
            {m: {"t": Amounts(told[m][0], 0)} for m in MEMBERS},
            ProportionalSplit({m: {"t": Amounts(waiting[m], 0)} for m in MEMBERS}),
            "a",
        )
        latest = {m: (seq, grants[m]["t"][0]) for m in MEMBERS}
        assert sum(using.values()) <= LIMIT
        assert sum(max(held[m], using[m]) for m in MEMBERS) <= LIMIT


def raised_while_the_old_share_may_be_in_use(leader: ShareAllocator) -> tuple[int, int]:
    """A may still act on the whole limit while b asks; what b gets before and after a says that it knows better."""
    free, hungry = {m: {"t": Amounts(0, 0)} for m in MEMBERS}, {"t": Amounts(50 * UNITS_PER_WHOLE, 0)}
    asks = {member: ProportionalSplit({member: hungry}) for member in MEMBERS}
    assert leader.divide(1, free, asks["a"], "a")["a"]["t"][0] == LIMIT
    leader.record_acknowledgement("a", 1)
    before = leader.divide(2, free, asks["b"], "a")["b"]["t"][0]
    leader.record_acknowledgement("a", 2)
    return before, leader.divide(3, free, asks["b"], "a")["b"]["t"][0]


def test_a_share_is_raised_only_once_the_other_is_lowered_for_sure() -> None:
    leader = ShareAllocator(LIMITS, MEMBERS)
    assert raised_while_the_old_share_may_be_in_use(leader) == (0, LIMIT)


def test_without_that_guard_the_limit_is_given_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = ShareAllocator(LIMITS, MEMBERS)
    divide = leader.divide

    def forgetful(seq: int, *rest: Any) -> Any:
        for member in MEMBERS:
            leader._sent[member][-1] = (0, {})
        return divide(seq, *rest)

    monkeypatch.setattr(leader, "divide", forgetful)
    assert raised_while_the_old_share_may_be_in_use(leader)[0] == LIMIT


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 700), st.integers(1, 5)), max_size=60))
def test_a_bucket_lets_through_no_more_than_its_rate_and_burst(events: list[tuple[int, int]]) -> None:
    bucket, now, taken = TokenBucket(10.0, 5.0), timedelta(0), []
    for pause, amount in events:
        now += timedelta(milliseconds=pause)
        if not bucket.wait_time(now, amount):
            bucket.consume(amount)
            taken.append((now, amount))
    for start, (begin, _) in enumerate(taken):
        total = 0
        for at, amount in taken[start:]:
            total += amount
            assert total <= 5.0 + 10.0 * ((at - begin) / S) + 1e-6


def test_few_machines_move_when_a_member_leaves() -> None:
    hosts = [f"vm-{number:06d}" for number in range(300)]
    three = {host: owner_of(host, {"a": "", "b": "", "c": ""}) for host in hosts}
    two = {host: owner_of(host, {"a": "", "b": ""}) for host in hosts}
    assert min(Counter(three.values()).values()) > 60
    assert all(two[host] == three[host] for host in hosts if three[host] != "c")


DURATIONS = AgentDurations(S, 10 * S, 30 * S)
FLAVOR = MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a"], price=1.0, spot_price=0.4, boot_s=30.0)


def machine(host: str, up: bool = True, tasks: int = 0, age: float = 100.0, **fields: object) -> FleetMachine:
    record = MachineRecord("m", "a", False, 1, 0.0, registered=up)
    room = Room(host, "m", "a", False, 8.0, 0.0, 32.0) if up else None
    known = {
        "silent_for": timedelta(0),
        "preempted_in": None,
        "fault_indicating_job_count": 0,
        "is_drained": False,
    } | fields
    return FleetMachine(host, record, FLAVOR, up, age * S, task_count=tasks, room=room, **known)  # type: ignore[arg-type]


def steps(
    fleet: Autoscaler, demands: list[Demand], machines: list[FleetMachine], count: int, begin: float = 0.0
) -> int:
    return sum(
        fleet.step(timedelta(seconds=begin + n * 0.5), demands, machines, [FLAVOR], True).rent is not None
        for n in range(count)
    )


def demand(tasks: int, waited: float = 1.0) -> Demand:
    run = decode_job_spec(json.dumps(job_spec("j-1", pieces=tasks, cores=4.0)).encode())
    return Demand(run, tasks, waited * S, Counter())


def test_counts_window_and_one_machine_a_step() -> None:
    fleet = Autoscaler(Tuning(pool_size=0, window=2 * S), DURATIONS)
    assert steps(fleet, [demand(4)], [], 4) == 0
    assert fleet.trigger is Trigger.RISING
    assert steps(fleet, [demand(4)], [], 3, 2.0) == 3
    assert fleet.waiting == 4
    assert steps(fleet, [demand(4)], [machine("vm-0", False, age=1.0), machine("vm-1", False, age=1.0)], 4, 4.0) == 0
    assert (fleet.waiting, fleet.trigger) == (0, Trigger.LOW), "room that boots is taken off"


def test_long_waiting_tasks_fire_by_themselves() -> None:
    fleet = Autoscaler(Tuning(pool_size=0, window=0 * S, waiting_high=100, long_waiting_high=2), DURATIONS)
    assert steps(fleet, [demand(4, 5.0)], [], 3) == 0
    assert steps(fleet, [demand(4, 11.0)], [], 3, 2.0) == 3
    assert fleet.long_waiting == 4


def test_refused_kinds_back_off() -> None:
    fleet = Autoscaler(Tuning(pool_size=0, window=0 * S), DURATIONS)
    fleet.step(timedelta(0), [demand(2)], [], [FLAVOR], True)
    fleet.record_refusal(("m", "a", False), timedelta(0))
    assert steps(fleet, [demand(2)], [], 6, 0.5) == 0
    assert steps(fleet, [demand(2)], [], 4, 5.0) == 4


def test_pool_is_refilled_and_idle_machines_leave_after_the_cooldown() -> None:
    fleet = Autoscaler(Tuning(pool_size=1, cooldown=10 * S), DURATIONS)
    assert steps(fleet, [], [], 1) == 1, "the pool is short"
    idle = [machine("vm-0"), machine("vm-1")]
    left: dict[str, str] = {}
    for second in range(30):
        plan = fleet.step(second * S, [], idle, [FLAVOR], True)
        assert plan.rent is None
        if second < 10:
            assert plan.drain == {}
        left |= plan.drain
    assert list(left.values()) == ["idle"]
    assert fleet.idle_pool == [host for host in ("vm-0", "vm-1") if host not in left]


def test_idle_machines_that_no_waiting_task_can_use_leave_though_the_trigger_is_high() -> None:
    """A job bound to a zone without capacity kept the trigger high for good, and with it every idle machine."""

    def left(zone: str) -> dict[str, str]:
        fleet = Autoscaler(Tuning(pool_size=0, pool_share=0.0, cooldown=10 * S), DURATIONS)
        run = decode_job_spec(json.dumps(job_spec("j-1", pieces=4, cores=4.0, yard=zone)).encode())
        kept = machine("vm-0")
        assert kept.room is not None
        assert kept.record.zone == "a"
        # What is kept for services is no room for an array, yet of use to it before long.
        kept.room.in_pool = True
        found: dict[str, str] = {}
        for second in range(30):
            plan = fleet.step(second * S, [Demand(run, 4, 1 * S, Counter())], [kept], [], True)
            assert second >= 10 or plan.drain == {}
            found |= plan.drain
        assert fleet.trigger is Trigger.HIGH
        return found

    assert left("b") == {"vm-0": "idle"}
    assert left("a") == {}


def test_a_machine_with_few_services_is_emptied_when_they_find_room_with_others() -> None:
    def serving(host: str, services: int, **fields: object) -> FleetMachine:
        runs = [
            decode_job_spec(json.dumps(job_spec(f"j-{host[3:]}{n}", shape="service", pieces=1, cores=2.0)).encode())
            for n in range(services)
        ]
        found = machine(host, tasks=services, services=runs, **fields)
        for run in runs if found.room is not None else ():
            found.room.allocate(run)
            found.room.service_cpus += run.cpus
        return found

    def left(*machines: FleetMachine, waiting: int = 0) -> dict[str, str]:
        fleet = Autoscaler(Tuning(pool_size=0, pool_share=0.0, cooldown=10 * S, started=15 * S), DURATIONS)
        found: dict[str, str] = {}
        for second in range(20):
            demands = [demand(waiting)] if waiting else []
            found |= fleet.step(second * S, demands, list(machines), [FLAVOR], True).drain
        return found

    few, many = serving("vm-0", 1, owner="c0"), serving("vm-1", 3, owner="c0")
    assert left(few, many) == {"vm-0": "thin"}
    assert left(few, serving("vm-1", 4, owner="c0")) == {}, "no room there"
    assert left(few, serving("vm-1", 3, owner="c1")) == {}, "another's part"
    assert left(serving("vm-0", 3, owner="c0"), many) == {}, "neither runs few"
    assert left(few, many, waiting=40) == {}, "the trigger is not quiet"


def test_machines_that_are_no_good_leave() -> None:
    fleet = Autoscaler(Tuning(), DURATIONS)
    machines = [
        machine("vm-sick", fault_indicating_job_count=2),
        machine("vm-silent", silent_for=31 * S),
        machine("vm-hangs", silent_for=29 * S),
        machine("vm-dead", silent_for=12 * S, cloud_status="failed"),
        machine("vm-new", up=False, age=60.0, silent_for=31 * S),
        machine("vm-never", up=False, age=120.0, silent_for=31 * S),
        machine("vm-taken", preempted_in=0.2 * S),
        machine("vm-good", tasks=1),
    ]
    plan = fleet.step(timedelta(0), [], machines, [FLAVOR], False)
    others = {"vm-silent": "silent", "vm-dead": "gone", "vm-never": "never up", "vm-taken": "taken"}
    assert plan.drain == others
    assert fleet.step(9.5 * S, [], machines, [FLAVOR], False).drain == others
    assert fleet.step(10 * S, [], machines, [FLAVOR], False).drain == others | {"vm-sick": "sick"}
    machines[0].fault_indicating_job_count = 1
    assert fleet.step(11 * S, [], machines, [FLAVOR], False).drain == others
    machines[0].fault_indicating_job_count = 2
    assert fleet.step(12 * S, [], machines, [FLAVOR], False).drain == others, "counted anew"
