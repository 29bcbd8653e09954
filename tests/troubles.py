"""The troubles of generated histories: small functions that each bring one about, and tables of them by name."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from users import withdraw
from world import CLOUD, STATE, S, Worker, World


@dataclass(frozen=True)
class Scene:
    """Where a trouble happens. It draws all that it needs from `rng`, so that a seed gives the same history again."""

    world: World
    rng: random.Random
    span: timedelta
    #: The controller that the trouble is about, when it is about one.
    name: str
    machines: list[Worker]

    def a_job(self) -> str:
        return self.rng.choice(sorted(self.world.jobs))

    def later(self, least: float, most: float, action: Callable[[], None]) -> None:
        self.world.after(self.rng.uniform(least, most) * S, action)


Trouble = Callable[[Scene], None]


def restart(world: World, name: str, seconds: float) -> None:
    """The process ends, and a new one starts so many seconds later."""
    node = world.nodes[name]
    node.kill()
    world.after(seconds * S, lambda: node.controller is None and node.start())


# Processes.


def crash(scene: Scene) -> None:
    restart(scene.world, scene.name, scene.rng.uniform(2, 6))


def quick_restart(scene: Scene) -> None:
    restart(scene.world, scene.name, scene.rng.uniform(0.1, 0.5))


def crash_all(scene: Scene) -> None:
    for name in scene.world.names:
        restart(scene.world, name, scene.rng.uniform(0.2, 4))


def roll(scene: Scene) -> None:
    """One controller after the other, as in an update."""
    for number, name in enumerate(scene.world.names):
        scene.world.after(number * 6 * S, lambda name=name: restart(scene.world, name, 2))  # type: ignore[misc]


def election(scene: Scene) -> None:
    """The leader goes, and those that run for its place are back within a fraction of a second."""
    for name in scene.world.names:
        scene.later(0, 5, lambda name=name: restart(scene.world, name, scene.rng.uniform(0.1, 0.6)))  # type: ignore[misc]


def freeze(scene: Scene) -> None:
    scene.world.nodes[scene.name].freeze(scene.rng.uniform(4, 20))


# The services.


def outage(scene: Scene) -> None:
    scene.world.state.outage(scene.span / S)


def refused(scene: Scene) -> None:
    """The state service refuses one controller alone."""
    refuses = scene.world.state.refuses
    refuses.add(scene.name)
    scene.world.after(scene.span, lambda: refuses.discard(scene.name))


def refused_then_outage(scene: Scene) -> None:
    """A job is cancelled while one controller is refused; then all are."""
    world = scene.world
    world.state.refuses.add(scene.name)
    world.after(1 * S, lambda: withdraw(world, scene.rng, scene.a_job()))
    scene.later(0.5, 3, lambda: world.state.outage(25))
    world.after(scene.span, lambda: world.state.refuses.discard(scene.name))


def late_writes(scene: Scene) -> None:
    scene.world.late_writes = scene.rng.choice([0.2, 0.5])
    scene.world.after(scene.span, lambda: setattr(scene.world, "late_writes", 0.0))


def slow_state(scene: Scene) -> None:
    scene.world.slow_state = scene.rng.choice([0.3, 1.0, 2.5])
    scene.world.after(scene.span, lambda: setattr(scene.world, "slow_state", 0.0))


def cloud_down(scene: Scene) -> None:
    scene.world.cloud.down = True
    scene.world.after(scene.span, lambda: setattr(scene.world.cloud, "down", False))


# The network.


def isolate(scene: Scene) -> None:
    """A controller is left with half of the machines."""
    kept = scene.rng.sample([worker.host for worker in scene.machines], len(scene.machines) // 2)
    scene.world.isolate(scene.name, *kept)
    scene.world.after(scene.span, scene.world.heal)


def cut_state(scene: Scene) -> None:
    scene.world.cut(scene.name, STATE)
    scene.world.after(scene.span, scene.world.heal)


def alone(scene: Scene) -> None:
    """A controller loses the state service and its peers, not its workers or users; a job is cancelled."""
    world = scene.world
    for other in (STATE, *(name for name in world.names if name != scene.name)):
        world.cut(scene.name, other)
    world.after(0.5 * S, lambda: withdraw(world, scene.rng, scene.a_job()))
    world.after(scene.span, world.heal)


def workers_only(scene: Scene) -> None:
    scene.world.isolate(scene.name, *scene.world.workers)
    scene.world.after(scene.span, scene.world.heal)


def peers_refuse(scene: Scene) -> None:
    for one in scene.world.names:
        for other in scene.world.names:
            scene.world.cut(one, other)
    scene.world.after(scene.span, scene.world.heal)


def zone_cut(scene: Scene) -> None:
    """A zone with its machines and a controller: inside it goes on working, to all others it is silent."""
    scene.world.cut_off(scene.name, [worker.host for worker in scene.machines if worker.yard == "a"])
    scene.later(5, 25, scene.world.heal)


def cut_worker(scene: Scene) -> None:
    if scene.machines:
        host = scene.rng.choice(scene.machines).host
        for name in scene.world.names:
            scene.world.cut(host, name)
        scene.world.after(scene.span, scene.world.heal)


def cut_worker_from_node(scene: Scene) -> None:
    if scene.machines:
        scene.world.cut(scene.rng.choice(scene.machines).host, scene.name)
        scene.world.after(scene.span, scene.world.heal)


def deaf(scene: Scene) -> None:
    """The reports of a machine arrive, the answers don't."""
    if scene.machines:
        host = scene.rng.choice(scene.machines).host
        scene.world.deaf.add(host)
        scene.world.after(scene.span * 2, lambda: scene.world.deaf.discard(host))


def loss(scene: Scene) -> None:
    scene.world.loss = 0.05
    scene.world.after(scene.span, lambda: setattr(scene.world, "loss", 0.0))


def late_reports(scene: Scene) -> None:
    scene.world.late_reports = 0.1
    scene.world.after(scene.span * 2, lambda: setattr(scene.world, "late_reports", 0.0))


def slow_workers(scene: Scene) -> None:
    """Between a controller and all machines that there are."""
    scene.world.slow_down(scene.name, sorted(scene.world.workers), _in_order(scene))
    scene.world.after(scene.span, scene.world.speed_up)


def slow_peers(scene: Scene) -> None:
    in_order = _in_order(scene)
    for name in scene.world.names:
        scene.world.slow_down(name, [other for other in scene.world.names if other != name], in_order)
    scene.world.after(scene.span, scene.world.speed_up)


def slow_services(scene: Scene) -> None:
    """Between a controller and the state service and the cloud."""
    scene.world.slow_down(scene.name, [STATE, CLOUD], _in_order(scene))
    scene.world.after(scene.span, scene.world.speed_up)


def slow_host(scene: Scene) -> None:
    """Between one machine and all controllers."""
    in_order = _in_order(scene)
    if scene.world.workers:
        scene.world.slow_down(scene.rng.choice(sorted(scene.world.workers)), scene.world.names, in_order)
    scene.world.after(scene.span, scene.world.speed_up)


def _in_order(scene: Scene) -> bool:
    return scene.rng.random() < 0.5


# Machines.


def die(scene: Scene) -> None:
    if scene.machines:
        scene.rng.choice(scene.machines).die()


def sick(scene: Scene) -> None:
    if scene.machines:
        scene.rng.choice(scene.machines).sick = True


def hang(scene: Scene) -> None:
    for worker in scene.rng.sample(scene.machines, len(scene.machines) // 2):
        worker.hang(scene.rng.uniform(4, 20))


def hang_cancelled(scene: Scene) -> None:
    """All machines with tasks of a job hang, and it is cancelled."""
    ref = scene.a_job()
    for worker in scene.machines:
        if any(task.ref == ref for task in worker.tasks.values()):
            worker.hang(scene.rng.uniform(4, 40))
    withdraw(scene.world, scene.rng, ref)


# Users.


def cancel(scene: Scene) -> None:
    withdraw(scene.world, scene.rng, scene.a_job())


def cancel_at_end(scene: Scene) -> None:
    """Jobs are called off in the moment in which their last task ends, or just after it."""
    world, rng = scene.world, scene.rng

    def ending(ref: str) -> None:
        if rng.random() < 0.6:
            world.after(rng.choice([0.0, 0.1, 0.6, 1.2]) * S, lambda: withdraw(world, rng, ref))

    world.rules.ending = ending
    world.after(scene.span * 2, lambda: setattr(world.rules, "ending", lambda ref: None))


def by_name(*troubles: Trouble) -> dict[str, Trouble]:
    return {trouble.__name__: trouble for trouble in troubles}


#: Their order is part of what a seed means: new ones belong into the other table.
SINGLE_TROUBLES = by_name(
    crash, crash_all, roll, outage, refused, isolate, cut_state, cut_worker, cut_worker_from_node, die, cloud_down,
    sick, cancel, loss, quick_restart, deaf, late_reports, election, workers_only, freeze, hang, zone_cut,
    peers_refuse, late_writes, cancel_at_end, alone, refused_then_outage, hang_cancelled, slow_state,
)  # fmt: skip
SLOW_LINKS = by_name(slow_workers, slow_peers, slow_services, slow_host)
#: What histories are made of in which troubles overlap.
MEETING_TROUBLES = SINGLE_TROUBLES | SLOW_LINKS


def begin_trouble(world: World, rng: random.Random, kind: str) -> None:
    """Brings about the trouble of that name."""
    span = rng.uniform(2, 20) * S
    name = rng.choice(world.names)
    machines = [worker for worker in world.workers.values() if worker.alive]
    MEETING_TROUBLES[kind](Scene(world, rng, span, name, machines))
