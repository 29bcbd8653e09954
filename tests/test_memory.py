"""The memory that a controller keeps after many jobs and machines have come and gone.

The test guards against containers whose entries are not removed with the job or the machine that they belong to, so
that a controller that runs for long grows without bound.
"""

from collections import deque
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from ramptide.controller.controller import Controller
from virtual import World, started_world, submit_job

#: Containers that are bounded by a number of entries or by time, and whose entries may outlive what they belong to.
BOUNDED_ATTRIBUTES = {
    "_owners",
    "_finished",
    "_delete_log",
    "_deleted_ahead",
    "_returned_at",
    "_image_uses",
    "last_changes",
    "counters",
    "_cancelled",
}
#: References to what a controller shares with the virtual world and with all other processes.
SHARED_ATTRIBUTES = {"context", "runtime", "_context", "_runtime", "world", "settings"}


def container_sizes(item: Any, path: str, visited_ids: set[int]) -> Iterator[tuple[str, int]]:
    """Yield the path and the length of each container that is reachable from an object of the package."""
    if id(item) in visited_ids:
        return
    visited_ids.add(id(item))
    if isinstance(item, (dict, set, list, deque)):
        yield path, len(item)
        for value in item.values() if isinstance(item, dict) else item:
            yield from container_sizes(value, path + "[]", visited_ids)
        return
    if not type(item).__module__.startswith("ramptide"):
        return
    slots = [name for cls in type(item).__mro__ for name in getattr(cls, "__slots__", ())]
    for name in [*getattr(item, "__dict__", {}), *slots]:
        if name not in BOUNDED_ATTRIBUTES | SHARED_ATTRIBUTES and hasattr(item, name):
            yield from container_sizes(getattr(item, name), f"{path}.{name}", visited_ids)


def entry_counts_by_path(controller: Controller) -> dict[str, int]:
    """Return the number of entries in all containers of a controller, by path."""
    entry_counts: dict[str, int] = {}
    for path, length in container_sizes(controller, "", set()):
        entry_counts[path] = entry_counts.get(path, 0) + length
    return entry_counts


def run_jobs_until_machines_leave(world: World, first_number: int) -> None:
    """Let forty arrays and ten services come and go, until all machines but the idle pool have left."""
    for number in range(first_number, first_number + 50):
        is_service = number % 5 == 0
        world.define_job(
            f"j-{number}", shape="service" if is_service else "batch", pieces=1 if is_service else 6, guessS=2.0
        )
        submit_job(world, world.rng, f"j-{number}")
        world.run(0.5)
    for number in range(first_number, first_number + 50, 5):
        assert world.run_until(lambda number=number: world.cancel_job(f"j-{number}", "c0"), 20)  # type: ignore[misc]
    assert world.run_until(lambda: not any(key.startswith("live/job/") for key in world.store.entries), 120)
    world.run(90)
    assert sum(agent.alive for agent in world.agents.values()) <= 2


def test_containers_do_not_grow_after_many_jobs_and_machines_have_come_and_gone() -> None:
    world = started_world(4, capacity=14)
    run_jobs_until_machines_leave(world, 0)
    counts_before = [
        entry_counts_by_path(node.controller) for node in world.nodes.values() if node.controller is not None
    ]
    machine_count_before = len(world.agents)
    run_jobs_until_machines_leave(world, 1000)
    assert len(world.agents) > machine_count_before, "machines came and went"
    counts_after = [
        entry_counts_by_path(node.controller) for node in world.nodes.values() if node.controller is not None
    ]
    grown = [
        (path, before.get(path, 0), after[path])
        for before, after in zip(counts_before, counts_after, strict=True)
        for path in after
        if after[path] > before.get(path, 0) + 5
    ]
    assert grown == []
    assert len(counts_before[0]) > 60
    assert world.now > timedelta(minutes=3)
