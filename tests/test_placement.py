"""Placement, preemption and urgency, compared with exhaustive search and with the rules written out.

The tests guard against these failures: a task is placed against its job's rules or beyond the free room; a job starts
fewer tasks than could run; an estimate counts room that does not exist; a task is stopped that its priority or its
team's guarantee protects; a job that is late anyway makes others late, or waits for ever.
"""

import itertools
import json
from collections import Counter
from datetime import UTC, datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.placement.bin_packing import (
    ReserveAccess,
    Room,
    can_ever_run,
    choose_room,
    fill_rooms,
    may_use,
    zone_headroom,
)
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec, decode_job_spec
from ramptide.scheduling.urgency import urgency
from ramptide.scheduling.victims import RunningTask, choose_victims, may_claim
from ramptide.state.amounts import UNITS_PER_WHOLE, Amounts
from ramptide.state.jobs import Job
from ramptide.state.records import JobRecord, Progress
from virtual import job_spec


def spec_of(**fields: object) -> JobSpec:
    return decode_job_spec(json.dumps(job_spec("j-1", **fields)).encode())


SPECS = st.builds(
    spec_of,
    pieces=st.integers(1, 4),
    cores=st.sampled_from([1.0, 2.0, 3.0]),
    ramGb=st.sampled_from([0.0, 4.0, 8.0]),
    cards=st.sampled_from([0.0, 1.0]),
    oneZone=st.booleans(),
    spread=st.booleans(),
    loaners=st.booleans(),
    yard=st.sampled_from([None, "a"]),
    rigs=st.sampled_from([None, ["m"], ["n"]]),
)
ROOM_LISTS = st.lists(
    st.builds(
        lambda machine_type, zone, spot, cpus, gpus, ram_gb: Room("", machine_type, zone, spot, cpus, gpus, ram_gb),
        st.sampled_from(["m", "n"]), st.sampled_from(["a", "b"]), st.booleans(),
        st.sampled_from([0.0, 2.0, 4.0]), st.sampled_from([0.0, 1.0, 2.0]), st.sampled_from([4.0, 16.0]),
    ),
    max_size=3,
)  # fmt: skip


def with_host_names(rooms: list[Room]) -> list[Room]:
    for index, room in enumerate(rooms):
        room.host = f"vm-{index}"
    return rooms


def is_allowed(spec: JobSpec, rooms: list[Room], placement: tuple[int, ...]) -> bool:
    """Return whether the rules allow one task in each of these rooms, which are given by index, in this order."""
    zones = [rooms[index].zone for index in placement]
    for index in set(placement):
        room, count = rooms[index], placement.count(index)
        if spec.machine_types is not None and room.machine_type not in spec.machine_types:
            return False
        if spec.zone not in (None, room.zone):
            return False
        if room.spot and not spec.spot:
            return False
        if spec.cpus * count > room.cpus or spec.gpus * count > room.gpus or spec.ram_gb * count > room.ram_gb:
            return False
    if spec.single_zone and len(set(zones)) > 1:
        return False
    return not spec.spread_zones or all(zones.count(zone) <= (spec.task_count + 1) // 2 for zone in zones)


def place_greedily(spec: JobSpec, rooms: list[Room]) -> list[int]:
    placement: list[int] = []
    placed_by_zone: dict[str, int] = {}
    while len(placement) < spec.task_count and (room := choose_room(spec, rooms, placed_by_zone)) is not None:
        room.allocate(spec)
        placed_by_zone[room.zone] = placed_by_zone.get(room.zone, 0) + 1
        placement.append(rooms.index(room))
    return placement


@settings(derandomize=True, max_examples=300, deadline=None)
@given(SPECS, ROOM_LISTS)
def test_placement_obeys_the_rules_and_starts_as_many_tasks_as_possible(spec: JobSpec, rooms: list[Room]) -> None:
    rooms_before = with_host_names(rooms)
    rooms_after = [
        Room(room.host, room.machine_type, room.zone, room.spot, room.cpus, room.gpus, room.ram_gb)
        for room in rooms_before
    ]
    placement = place_greedily(spec, rooms_after)
    assert is_allowed(spec, rooms_before, tuple(placement))
    largest_count = max(
        count
        for count in range(spec.task_count + 1)
        if any(
            is_allowed(spec, rooms_before, candidate)
            for candidate in itertools.product(range(len(rooms_before)), repeat=count)
        )
    )
    assert len(placement) == largest_count


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SPECS, ROOM_LISTS)
def test_estimate_of_fitting_tasks_obeys_the_rules_and_the_free_room(spec: JobSpec, rooms: list[Room]) -> None:
    rooms_before = with_host_names(rooms)
    rooms_after = [
        Room(room.host, room.machine_type, room.zone, room.spot, room.cpus, room.gpus, room.ram_gb)
        for room in rooms_before
    ]
    estimate = fill_rooms(spec, spec.task_count, rooms_after, Counter())
    assert estimate <= spec.task_count
    for before, after in zip(rooms_before, rooms_after, strict=True):
        placed_count = round((before.cpus - after.cpus) / spec.cpus)
        assert placed_count == 0 or may_use(spec, before.machine_type, before.zone, before.spot)
        assert placed_count <= zone_headroom(spec, before.zone, {})
        assert after.cpus >= -1e-6


def machine_type(**fields: object) -> MachineType:
    return MachineType(**({"name": "m", "cpus": 8.0, "ram_gb": 32.0, "zones": ["a", "b"]} | fields))  # type: ignore[arg-type]


def test_can_ever_run_checks_size_machine_types_and_zone_rules() -> None:
    assert can_ever_run(spec_of(), [machine_type()])
    assert not can_ever_run(spec_of(cores=9.0), [machine_type()])
    assert not can_ever_run(spec_of(cards=1.0), [machine_type()])
    assert not can_ever_run(spec_of(rigs=["x"]), [machine_type()])
    assert not can_ever_run(spec_of(yard="c"), [machine_type()])
    assert not can_ever_run(spec_of(spread=True, yard="a"), [machine_type()])
    assert not can_ever_run(spec_of(spread=True, oneZone=True), [machine_type()])
    assert can_ever_run(spec_of(spread=True, oneZone=True, pieces=1), [machine_type()])


def test_services_prefer_the_image_and_held_heartbeats_and_arrays_avoid_reserved_room() -> None:
    def room(host: str, **fields: object) -> Room:
        return Room(host, "m", "a", False, 8.0, 0.0, 32.0, **fields)  # type: ignore[arg-type]

    without_image = room("vm-0", heartbeat_held=True, service_cpus=1.0, service_reserve=(7.0, 0.0))
    with_image = room(
        "vm-1", heartbeat_held=True, service_cpus=1.0, service_reserve=(7.0, 0.0), images=frozenset(["img"])
    )
    without_services = room("vm-2", images=frozenset(["img"]))
    pool_room = room("vm-3", heartbeat_held=True, in_pool=True, idle=True, images=frozenset(["img"]))
    assert (
        choose_room(spec_of(shape="service"), [without_image, with_image, without_services, pool_room], {})
        is with_image
    )
    assert choose_room(spec_of(shape="service"), [without_image, without_services, pool_room], {}) is without_image, (
        "services share machines"
    )
    assert choose_room(spec_of(shape="service"), [without_services, pool_room], {}) is pool_room
    assert choose_room(spec_of(), [without_image, with_image, without_services, pool_room], {}) is without_services
    assert choose_room(spec_of(), [without_image, with_image, pool_room], {}) is None
    assert choose_room(spec_of(), [without_image, with_image, pool_room], {}, ReserveAccess.POOL) is pool_room, (
        "a long wait opens the pool to arrays"
    )
    assert choose_room(spec_of(), [without_image, with_image], {}, ReserveAccess.POOL) is None
    assert choose_room(spec_of(), [without_image, with_image], {}, ReserveAccess.ALL) is with_image, (
        "a longer wait opens all reserved room"
    )
    assert choose_room(spec_of(cores=1.0), [without_image, with_image], {}) is with_image, (
        "room beyond the service reserve is open to arrays"
    )
    small, large = room("vm-4", images=frozenset(["img"])), room("vm-5")
    small.cpus = 2.0
    assert choose_room(spec_of(shape="service"), [small, large], {}) is large, (
        "a machine that fits several replicas is preferred"
    )


def whole_cpus(count: int) -> Amounts:
    return Amounts(count * UNITS_PER_WHOLE, 0)


def test_tasks_give_way_to_higher_priorities_and_to_guarantees_of_other_teams() -> None:
    guarantees = {"a": whole_cpus(8), "b": whole_cpus(4)}
    low, normal, high = (spec_of(owner="b", rank=rank) for rank in ("low", "normal", "high"))
    candidate = spec_of(owner="a", cores=2.0)
    usage = {"a": whole_cpus(0), "b": whole_cpus(4)}
    assert may_claim(candidate, low, usage, guarantees), "the victim has a lower priority"
    assert not may_claim(candidate, normal, usage, guarantees), "team b is within its own guarantee"
    assert may_claim(candidate, high, {"b": whole_cpus(6)}, guarantees), (
        "team b is beyond its guarantee, so its priority does not count"
    )
    assert not may_claim(candidate, high, {"a": whole_cpus(7), "b": whole_cpus(6)}, guarantees), (
        "the task would take team a beyond its guarantee"
    )
    assert not may_claim(spec_of(owner="b"), normal, {"b": whole_cpus(9)}, guarantees), "both jobs are of the same team"


def test_only_the_cheapest_claimable_task_is_chosen_as_the_victim() -> None:
    room = Room("vm-0", "m", "a", False, 0.0, 0.0, 32.0)
    long_job, short_job, checkpointing_job = (
        spec_of(guessS=60.0),
        spec_of(guessS=5.0),
        spec_of(guessS=60.0, markEveryS=10.0, markCostS=1.0),
    )
    tasks = [RunningTask(long_job, 0, 1), RunningTask(short_job, 1, 2)]
    choice = choose_victims(spec_of(rank="high"), room, tasks, lambda spec: True, {})
    assert choice is not None
    assert [task.attempt for task in choice.tasks] == [2]
    cheaper_choice = choose_victims(
        spec_of(rank="high"), room, [*tasks, RunningTask(checkpointing_job, 3, 4)], lambda spec: True, {}
    )
    assert cheaper_choice is not None
    assert [task.attempt for task in cheaper_choice.tasks] == [4]
    assert cheaper_choice.cost < choice.cost
    assert choose_victims(spec_of(rank="high"), room, tasks, lambda spec: False, {}) is None


def test_jobs_that_can_meet_their_deadline_are_more_urgent_than_late_ones() -> None:
    now = datetime(2026, 1, 1, tzinfo=UTC)

    def job_of_age(seconds: float, **fields: object) -> Job:
        spec = spec_of(**({"guessS": 20.0, "dueS": 60.0} | fields))
        return Job("j-1", JobRecord(spec, "c0", 1, now.timestamp() - seconds, Progress().encode()), 1)

    def most_urgent_first(*jobs: tuple[Job, float]) -> list[int]:
        """Return the jobs' indexes, the most urgent first; each job comes with the seconds since its last start."""
        patience = timedelta(seconds=120)
        keys = [urgency(job, timedelta(seconds=idle), now, {"prompt"}, patience, 3 * patience) for job, idle in jobs]
        return sorted(range(len(jobs)), key=lambda index: keys[index])

    late, too_late, fresh, soon = job_of_age(50), job_of_age(85), job_of_age(5), job_of_age(40)
    assert most_urgent_first((late, 1), (too_late, 1), (fresh, 5), (soon, 40)) == [3, 2, 0, 1]
    old = job_of_age(140)
    assert most_urgent_first((fresh, 5), (old, 130), (old, 9)) == [1, 0, 2], (
        "a job without a start for longer than the patience goes first, so that large jobs do not wait for ever"
    )
    service, high = job_of_age(1, shape="service", dueS=None), job_of_age(90, rank="high")
    assert most_urgent_first((old, 130), (service, 1), (high, 9)) == [2, 1, 0]
    assert most_urgent_first((high, 9), (service, 1), (old, 370)) == [2, 0, 1], (
        "after three times the patience one task of a job goes before all priorities"
    )
    assert most_urgent_first((fresh, 5), (job_of_age(1, jobclass="prompt"), 1)) == [1, 0]
