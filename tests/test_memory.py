"""What a controller keeps after many jobs and machines have come and gone."""

from collections import deque
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from ramptide.controller.controller import Controller
from virtual import World, started_world, submit_job

#: Tables that are bounded by a number or by time, whose entries are not those of what is there now.
BOUNDED = {
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
#: The shared world, and what it has of all processes.
OUTSIDE = {"context", "runtime", "_context", "_runtime", "world", "settings"}


def tables(thing: Any, path: str, seen: set[int]) -> Iterator[tuple[str, int]]:
    """The containers below an object of ours, by path, with their lengths."""
    if id(thing) in seen:
        return
    seen.add(id(thing))
    if isinstance(thing, (dict, set, list, deque)):
        yield path, len(thing)
        for value in thing.values() if isinstance(thing, dict) else thing:
            yield from tables(value, path + "[]", seen)
        return
    if not type(thing).__module__.startswith("ramptide"):
        return
    slots = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    for name in [*getattr(thing, "__dict__", {}), *slots]:
        if name not in BOUNDED | OUTSIDE and hasattr(thing, name):
            yield from tables(getattr(thing, name), f"{path}.{name}", seen)


def kept(controller: Controller) -> dict[str, int]:
    """How many entries there are in all tables, by path."""
    found: dict[str, int] = {}
    for path, length in tables(controller, "", set()):
        found[path] = found.get(path, 0) + length
    return found


def busy_time(world: World, first: int) -> None:
    """Forty arrays and ten services come and go; then all machines but the pool leave."""
    for number in range(first, first + 50):
        service = number % 5 == 0
        world.define_job(f"j-{number}", shape="service" if service else "batch", pieces=1 if service else 6, guessS=2.0)
        submit_job(world, world.rng, f"j-{number}")
        world.run(0.5)
    for number in range(first, first + 50, 5):
        assert world.run_until(lambda number=number: world.cancel_job(f"j-{number}", "c0"), 20)  # type: ignore[misc]
    assert world.run_until(lambda: not any(key.startswith("live/job/") for key in world.store.entries), 120)
    world.run(90)
    assert sum(agent.alive for agent in world.agents.values()) <= 2


def test_tables_return_to_what_they_were() -> None:
    world = started_world(4, capacity=14)
    busy_time(world, 0)
    before = [kept(node.controller) for node in world.nodes.values() if node.controller is not None]
    machines = len(world.agents)
    busy_time(world, 1000)
    assert len(world.agents) > machines, "machines came and went"
    after = [kept(node.controller) for node in world.nodes.values() if node.controller is not None]
    grown = [
        (path, was.get(path, 0), now[path]) for was, now in zip(before, after, strict=True) for path in now
        if now[path] > was.get(path, 0) + 5
    ]  # fmt: skip
    assert grown == []
    assert len(before[0]) > 60
    assert world.now > timedelta(minutes=3)
