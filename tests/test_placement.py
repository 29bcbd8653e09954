"""Placement and preemption against exhaustive search and against the rules as they are written."""

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


def run_of(**fields: object) -> JobSpec:
    return decode_job_spec(json.dumps(job_spec("j-1", **fields)).encode())


RUNS = st.builds(
    run_of,
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
ROOMS = st.lists(
    st.builds(
        lambda flavor, yard, spot, cores, cards, ram: Room("", flavor, yard, spot, cores, cards, ram),
        st.sampled_from(["m", "n"]), st.sampled_from(["a", "b"]), st.booleans(),
        st.sampled_from([0.0, 2.0, 4.0]), st.sampled_from([0.0, 1.0, 2.0]), st.sampled_from([4.0, 16.0]),
    ),
    max_size=3,
)  # fmt: skip


def named(rooms: list[Room]) -> list[Room]:
    for number, room in enumerate(rooms):
        room.host = f"vm-{number}"
    return rooms


def allowed(run: JobSpec, rooms: list[Room], where: tuple[int, ...]) -> bool:
    """The rules, task by task: may these rooms hold one task each in this order."""
    zones = [rooms[index].zone for index in where]
    for index in set(where):
        room, count = rooms[index], where.count(index)
        if run.machine_types is not None and room.machine_type not in run.machine_types:
            return False
        if run.zone not in (None, room.zone):
            return False
        if room.spot and not run.spot:
            return False
        if run.cpus * count > room.cpus or run.gpus * count > room.gpus or run.ram_gb * count > room.ram_gb:
            return False
    if run.single_zone and len(set(zones)) > 1:
        return False
    return not run.spread_zones or all(zones.count(zone) <= (run.task_count + 1) // 2 for zone in zones)


def greedy(run: JobSpec, rooms: list[Room]) -> list[int]:
    where: list[int] = []
    placed: dict[str, int] = {}
    while len(where) < run.task_count and (room := choose_room(run, rooms, placed)) is not None:
        room.allocate(run)
        placed[room.zone] = placed.get(room.zone, 0) + 1
        where.append(rooms.index(room))
    return where


@settings(derandomize=True, max_examples=300, deadline=None)
@given(RUNS, ROOMS)
def test_placement_keeps_the_rules_and_starts_as_many_as_can_be(run: JobSpec, rooms: list[Room]) -> None:
    before = named(rooms)
    copies = [Room(r.host, r.machine_type, r.zone, r.spot, r.cpus, r.gpus, r.ram_gb) for r in before]
    where = greedy(run, copies)
    assert allowed(run, before, tuple(where))
    best = max(
        count
        for count in range(run.task_count + 1)
        if any(allowed(run, before, each) for each in itertools.product(range(len(before)), repeat=count))
    )
    assert len(where) == best


@settings(derandomize=True, max_examples=200, deadline=None)
@given(RUNS, ROOMS)
def test_counting_finds_no_more_room_than_there_is(run: JobSpec, rooms: list[Room]) -> None:
    before = named(rooms)
    copies = [Room(r.host, r.machine_type, r.zone, r.spot, r.cpus, r.gpus, r.ram_gb) for r in before]
    found = fill_rooms(run, run.task_count, copies, Counter())
    assert found <= run.task_count
    for room, copy in zip(before, copies, strict=True):
        used = round((room.cpus - copy.cpus) / run.cpus)
        assert used == 0 or may_use(run, room.machine_type, room.zone, room.spot)
        assert used <= zone_headroom(run, room.zone, {})
        assert copy.cpus >= -1e-6


def flavor(**fields: object) -> MachineType:
    return MachineType(**({"name": "m", "cpus": 8.0, "ram_gb": 32.0, "zones": ["a", "b"]} | fields))  # type: ignore[arg-type]


def test_what_can_never_run() -> None:
    assert can_ever_run(run_of(), [flavor()])
    assert not can_ever_run(run_of(cores=9.0), [flavor()])
    assert not can_ever_run(run_of(cards=1.0), [flavor()])
    assert not can_ever_run(run_of(rigs=["x"]), [flavor()])
    assert not can_ever_run(run_of(yard="c"), [flavor()])
    assert not can_ever_run(run_of(spread=True, yard="a"), [flavor()])
    assert not can_ever_run(run_of(spread=True, oneZone=True), [flavor()])
    assert can_ever_run(run_of(spread=True, oneZone=True, pieces=1), [flavor()])


def test_services_take_a_waiting_agent_with_the_image_and_arrays_keep_off() -> None:
    def room(host: str, **fields: object) -> Room:
        return Room(host, "m", "a", False, 8.0, 0.0, 32.0, **fields)  # type: ignore[arg-type]

    cold = room("vm-0", heartbeat_held=True, service_cpus=1.0, service_reserve=(7.0, 0.0))
    warm = room("vm-1", heartbeat_held=True, service_cpus=1.0, service_reserve=(7.0, 0.0), images=frozenset(["img"]))
    mixed = room("vm-2", images=frozenset(["img"]))
    pool = room("vm-3", heartbeat_held=True, in_pool=True, idle=True, images=frozenset(["img"]))
    assert choose_room(run_of(shape="service"), [cold, warm, mixed, pool], {}) is warm
    assert choose_room(run_of(shape="service"), [cold, mixed, pool], {}) is cold, "services go together"
    assert choose_room(run_of(shape="service"), [mixed, pool], {}) is pool
    assert choose_room(run_of(), [cold, warm, mixed, pool], {}) is mixed
    assert choose_room(run_of(), [cold, warm, pool], {}) is None
    assert choose_room(run_of(), [cold, warm, pool], {}, ReserveAccess.POOL) is pool, "after a long wait"
    assert choose_room(run_of(), [cold, warm], {}, ReserveAccess.POOL) is None
    assert choose_room(run_of(), [cold, warm], {}, ReserveAccess.ALL) is warm, "what waited out its patience"
    assert choose_room(run_of(cores=1.0), [cold, warm], {}) is warm, "beyond their share the rest is free for all"
    small, large = room("vm-4", images=frozenset(["img"])), room("vm-5")
    small.cpus = 2.0
    assert choose_room(run_of(shape="service"), [small, large], {}) is large, "opened for several"


def cores(count: int) -> Amounts:
    return Amounts(count * UNITS_PER_WHOLE, 0)


def test_who_gives_way() -> None:
    guarantees = {"a": cores(8), "b": cores(4)}
    low, normal, high = (run_of(owner="b", rank=rank) for rank in ("low", "normal", "high"))
    mine = run_of(owner="a", cores=2.0)
    using = {"a": cores(0), "b": cores(4)}
    assert may_claim(mine, low, using, guarantees), "lower rank"
    assert not may_claim(mine, normal, using, guarantees), "b is within its own guarantee"
    assert may_claim(mine, high, {"b": cores(6)}, guarantees), "b has borrowed, whatever the rank"
    assert not may_claim(mine, high, {"a": cores(7), "b": cores(6)}, guarantees), "beyond a's guarantee"
    assert not may_claim(run_of(owner="b"), normal, {"b": cores(9)}, guarantees), "the same team"


def test_victims_are_few_and_cheap() -> None:
    room = Room("vm-0", "m", "a", False, 0.0, 0.0, 32.0)
    long, short, saves = run_of(guessS=60.0), run_of(guessS=5.0), run_of(guessS=60.0, markEveryS=10.0, markCostS=1.0)
    tasks = [RunningTask(long, 0, 1), RunningTask(short, 1, 2)]
    found = choose_victims(run_of(rank="high"), room, tasks, lambda run: True, {})
    assert found is not None
    assert [task.attempt for task in found[1]] == [2]
    cheaper = choose_victims(run_of(rank="high"), room, [*tasks, RunningTask(saves, 3, 4)], lambda run: True, {})
    assert cheaper is not None
    assert [task.attempt for task in cheaper[1]] == [4]
    assert cheaper[0] < found[0]
    assert choose_victims(run_of(rank="high"), room, tasks, lambda run: False, {}) is None


def test_room_goes_first_to_what_can_still_be_in_time() -> None:
    now = datetime(2026, 1, 1, tzinfo=UTC)

    def aged(seconds: float, **fields: object) -> Job:
        run = run_of(**({"guessS": 20.0, "dueS": 60.0} | fields))
        return Job("j-1", JobRecord(run, "c0", 1, now.timestamp() - seconds, Progress().encode()), 1)

    def order(*jobs: tuple[Job, float]) -> list[int]:
        """By index; with each job the seconds since something of it was started."""
        patience = timedelta(seconds=120)
        key = [urgency(one, timedelta(seconds=idle), now, {"prompt"}, patience, 3 * patience) for one, idle in jobs]
        return sorted(range(len(jobs)), key=lambda n: key[n])

    late, too_late, fresh, soon = aged(50), aged(85), aged(5), aged(40)
    assert order((late, 1), (too_late, 1), (fresh, 5), (soon, 40)) == [3, 2, 0, 1]
    old = aged(140)
    assert order((fresh, 5), (old, 130), (old, 9)) == [1, 0, 2], "the largest begin in the end"
    service, high = aged(1, shape="service", dueS=None), aged(90, rank="high")
    assert order((old, 130), (service, 1), (high, 9)) == [2, 1, 0]
    assert order((high, 9), (service, 1), (old, 370)) == [2, 0, 1], "one task of what was idle for so long"
    assert order((fresh, 5), (aged(1, jobclass="prompt"), 1)) == [1, 0]
