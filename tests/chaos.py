"""Generated histories: jobs and troubles drawn from a seed, played in the virtual world."""

import json
import random
from collections.abc import Callable

from world import S, World, started

TROUBLES = (
    "crash", "crash_all", "roll", "outage", "refused", "isolate", "cut_state", "cut_worker", "cut_worker_from_node",
    "die", "cloud_down", "sick", "cancel", "loss", "quick_restart", "deaf", "late_reports", "election", "workers_only",
    "freeze", "hang", "zone_cut", "peers_refuse",
)  # fmt: skip


def play(seed: int, seconds: float = 60.0, look: Callable[[World], None] | None = None) -> World:
    """One history; its world is returned for judging. `look` is called every half second."""
    rng = random.Random(seed)
    world = started(seed, teams={"team": 0.0, "tight": 24.0}, capacity=10)
    world.hold_mode = rng.random() < 0.5
    world.repeat = rng.choice([0.0, 0.01])
    for number in range(rng.randint(4, 10)):
        ref = f"j-{number}"
        world.submit(
            ref,
            owner=rng.choice(["team", "tight"]),
            shape=rng.choice(["batch", "batch", "service"]),
            pieces=rng.randint(1, 8),
            cores=rng.choice([1.0, 2.0, 3.0]),
            loaners=rng.random() < 0.5,
            oneZone=rng.random() < 0.2,
            guessS=rng.choice([2.0, 5.0, 12.0]),
        )
        world.after(rng.uniform(0, seconds * 0.7) * S, lambda ref=ref: submit(world, rng, ref))
    for _ in range(rng.randint(2, 6)):
        kind = rng.choice(TROUBLES)
        world.after(rng.uniform(3, seconds * 0.8) * S, lambda kind=kind: trouble(world, rng, kind))
    for tenth in range(int(seconds * 10)):
        world.after(tenth * 0.1 * S, world.rules.check)
    for half in range(int(seconds * 2) if look is not None else 0):
        world.after(half * 0.5 * S, lambda: look(world) if look is not None else None)
    world.run(seconds)
    return world


def submit(world: World, rng: random.Random, ref: str, tries: int = 20) -> None:
    body = json.dumps(world.jobs[ref]).encode()

    def again(status: int, *rest: object) -> None:
        if status not in (200, 201) and tries:
            world.after(1 * S, lambda: submit(world, rng, ref, tries - 1))

    world.nodes[rng.choice(world.names)].ask(lambda c: c.desk.submit(body, again), lambda: again(503))


def withdraw(world: World, rng: random.Random, ref: str) -> None:
    def told(status: int, body: bytes, headers: object) -> None:
        if status == 200 and b"withdrawn" in body:
            world.cancelled.setdefault(ref, world.now)
        elif status == 503:
            world.after(1 * S, lambda: withdraw(world, rng, ref))

    world.nodes[rng.choice(world.names)].ask(
        lambda c: c.desk.cancel(ref, told), lambda: world.after(1 * S, lambda: withdraw(world, rng, ref))
    )


def trouble(world: World, rng: random.Random, kind: str) -> None:
    span = rng.uniform(2, 20) * S
    name = rng.choice(world.names)
    live = [worker for worker in world.workers.values() if worker.alive]
    if kind in ("crash", "quick_restart"):
        restart(world, name, rng.uniform(0.1, 0.5) if kind == "quick_restart" else rng.uniform(2, 6))
    elif kind == "crash_all":
        for each in world.names:
            restart(world, each, rng.uniform(0.2, 4))
    elif kind == "roll":
        for number, each in enumerate(world.names):
            world.after(number * 6 * S, lambda each=each: restart(world, each, 2))
    elif kind == "outage":
        world.state.outage(span / S)
    elif kind == "refused":
        world.state.refuses.add(name)
        world.after(span, lambda: world.state.refuses.discard(name))
    elif kind == "isolate":
        world.isolate(name, *rng.sample([w.host for w in live], len(live) // 2))
        world.after(span, world.heal)
    elif kind == "cut_state":
        world.cut(name, "state")
        world.after(span, world.heal)
    elif kind == "cut_worker" and live:
        host = rng.choice(live).host
        for each in world.names:
            world.cut(host, each)
        world.after(span, world.heal)
    elif kind == "cut_worker_from_node" and live:
        world.cut(rng.choice(live).host, name)
        world.after(span, world.heal)
    elif kind == "die" and live:
        rng.choice(live).die()
    elif kind == "cloud_down":
        world.cloud.down = True
        world.after(span, lambda: setattr(world.cloud, "down", False))
    elif kind == "deaf" and live:
        host = rng.choice(live).host
        world.deaf.add(host)
        world.after(span * 2, lambda: world.deaf.discard(host))
    elif kind == "late_reports":
        world.late_reports = 0.1
        world.after(span * 2, lambda: setattr(world, "late_reports", 0.0))
    elif kind == "election":
        # The leader goes, and those that run for its place are back within a fraction of a second.
        for each in world.names:
            delay = rng.uniform(0, 5) * S
            world.after(delay, lambda each=each: restart(world, each, rng.uniform(0.1, 0.6)))  # type: ignore[misc]
    elif kind == "workers_only":
        world.isolate(name, *world.workers)
        world.after(span, world.heal)
    elif kind == "freeze":
        world.nodes[name].freeze(rng.uniform(4, 20))
    elif kind == "hang":
        for worker in rng.sample(live, len(live) // 2):
            worker.hang(rng.uniform(4, 20))
    elif kind == "zone_cut":
        # A zone with its machines and a controller: inside it goes on working, to all others it is silent.
        world.cut_off(name, [worker.host for worker in live if worker.yard == "a"])
        world.after(rng.uniform(5, 25) * S, world.heal)
    elif kind == "peers_refuse":
        for one in world.names:
            for other in world.names:
                world.cut(one, other)
        world.after(span, world.heal)
    elif kind == "sick" and live:
        rng.choice(live).sick = True
    elif kind == "cancel" and world.jobs:
        withdraw(world, rng, rng.choice(sorted(world.jobs)))
    elif kind == "loss":
        world.loss = 0.05
        world.after(span, lambda: setattr(world, "loss", 0.0))


def restart(world: World, name: str, seconds: float) -> None:
    node = world.nodes[name]
    node.kill()
    world.after(seconds * S, lambda: node.controller is None and node.start())
