"""The faults of generated histories: functions that each inject one fault, and tables of these functions by name."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from virtual.agent import Agent
from virtual.clock import SECOND
from virtual.network import CLOUD, STORE
from virtual.scenarios import restart_controller
from virtual.users import cancel_job
from virtual.world import World


@dataclass(frozen=True)
class FaultContext:
    """The world and the target of a fault.

    A fault draws all its random values from `rng`, so that a seed reproduces it.
    """

    world: World
    rng: random.Random
    duration: timedelta
    #: The controller that the fault affects, if it affects a single one.
    controller_name: str
    #: The machines that the fault may affect.
    machines: list[Agent]

    def random_job_id(self) -> str:
        """Return a random job."""
        return self.rng.choice(sorted(self.world.job_specs))

    def schedule(self, min_delay_s: float, max_delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a random delay."""
        self.world.after(self.rng.uniform(min_delay_s, max_delay_s) * SECOND, action)

    def schedule_restart(self, delay_s: float, name: str, downtime_s: float) -> None:
        """Schedule a restart of a controller, which does not run for `downtime_s` seconds."""
        self.world.after(delay_s * SECOND, lambda: restart_controller(self.world, name, downtime_s))

    def at_end(self, action: Callable[[], None], factor: int = 1) -> None:
        """Schedule the action that ends the fault after the fault's duration times `factor`."""
        self.world.after(self.duration * factor, action)

    def cancel_random_job(self) -> None:
        """Cancel a random job."""
        cancel_job(self.world, self.rng, self.random_job_id())

    def draw_in_order(self) -> bool:
        """Return a random choice of whether slow links keep messages in order."""
        return self.rng.random() < 0.5


Fault = Callable[[FaultContext], None]


# Faults of controller processes.


def crash_controller(context: FaultContext) -> None:
    """Kill a controller; it is restarted after 2 to 6 seconds."""
    restart_controller(context.world, context.controller_name, context.rng.uniform(2, 6))


def quick_restart(context: FaultContext) -> None:
    """Kill a controller; it is restarted within half a second."""
    restart_controller(context.world, context.controller_name, context.rng.uniform(0.1, 0.5))


def crash_all_controllers(context: FaultContext) -> None:
    """Kill all controllers at once; each is restarted within 4 seconds."""
    for name in context.world.controller_names:
        restart_controller(context.world, name, context.rng.uniform(0.2, 4))


def rolling_restart(context: FaultContext) -> None:
    """Restart one controller after the other, as in a rolling update."""
    for number, name in enumerate(context.world.controller_names):
        context.schedule_restart(number * 6, name, 2)


def restart_all_at_random_times(context: FaultContext) -> None:
    """Restart each controller quickly at a random time within 5 seconds, so that candidates fail during elections."""

    def restart_later(name: str) -> None:
        context.schedule(0, 5, lambda: restart_controller(context.world, name, context.rng.uniform(0.1, 0.6)))

    for name in context.world.controller_names:
        restart_later(name)


def freeze_controller(context: FaultContext) -> None:
    """Freeze the process of a controller."""
    context.world.nodes[context.controller_name].freeze(context.rng.uniform(4, 20))


# Faults of the key-value store and the cloud.


def store_outage(context: FaultContext) -> None:
    """Make the key-value store refuse all requests."""
    context.world.store.start_outage(context.duration / SECOND)


def store_refuses_controller(context: FaultContext) -> None:
    """Make the key-value store refuse the requests of one controller only."""
    refused_callers = context.world.store.refused_callers
    refused_callers.add(context.controller_name)
    context.at_end(lambda: refused_callers.discard(context.controller_name))


def store_refuses_controller_then_all(context: FaultContext) -> None:
    """Make the key-value store refuse one controller, and all of them soon afterwards; cancel a job meanwhile."""
    store = context.world.store
    store.refused_callers.add(context.controller_name)
    context.world.after(1 * SECOND, context.cancel_random_job)
    context.schedule(0.5, 3, lambda: store.start_outage(25))
    context.at_end(lambda: store.refused_callers.discard(context.controller_name))


def late_writes(context: FaultContext) -> None:
    """Delay some writes to the key-value store until well after later ones."""
    context.world.late_write_rate = context.rng.choice([0.2, 0.5])
    context.at_end(lambda: setattr(context.world, "late_write_rate", 0.0))


def slow_store(context: FaultContext) -> None:
    """Make the key-value store slow to handle requests."""
    context.world.max_store_delay_s = context.rng.choice([0.3, 1.0, 2.5])
    context.at_end(lambda: setattr(context.world, "max_store_delay_s", 0.0))


def cloud_outage(context: FaultContext) -> None:
    """Make the cloud refuse all requests."""
    context.world.cloud.is_down = True
    context.at_end(lambda: setattr(context.world.cloud, "is_down", False))


# Faults of the network.


def isolate_controller(context: FaultContext) -> None:
    """Cut a controller off from everything except half of the machines."""
    kept = context.rng.sample([agent.host for agent in context.machines], len(context.machines) // 2)
    context.world.isolate(context.controller_name, *kept)
    context.at_end(context.world.heal)


def cut_store_link(context: FaultContext) -> None:
    """Cut a controller off from the key-value store."""
    context.world.cut_link(context.controller_name, STORE)
    context.at_end(context.world.heal)


def lose_store_and_peers(context: FaultContext) -> None:
    """Cut a controller off from the key-value store and its peers, but not from agents and users; cancel a job."""
    world = context.world
    peers = [name for name in world.controller_names if name != context.controller_name]
    for other in (STORE, *peers):
        world.cut_link(context.controller_name, other)
    world.after(0.5 * SECOND, context.cancel_random_job)
    context.at_end(world.heal)


def lose_all_but_agents(context: FaultContext) -> None:
    """Cut a controller off from everything except the agents."""
    context.world.isolate(context.controller_name, *context.world.agents)
    context.at_end(context.world.heal)


def cut_peer_links(context: FaultContext) -> None:
    """Cut all controllers off from each other."""
    for one in context.world.controller_names:
        for other in context.world.controller_names:
            context.world.cut_link(one, other)
    context.at_end(context.world.heal)


def isolate_zone(context: FaultContext) -> None:
    """Cut off the machines of zone `a` together with a controller; they still reach each other."""
    hosts = [agent.host for agent in context.machines if agent.zone == "a"]
    context.world.isolate_with(context.controller_name, hosts)
    context.schedule(5, 25, context.world.heal)


def cut_agent_from_controllers(context: FaultContext) -> None:
    """Cut a machine off from all controllers."""
    if context.machines:
        host = context.rng.choice(context.machines).host
        for name in context.world.controller_names:
            context.world.cut_link(host, name)
        context.at_end(context.world.heal)


def cut_agent_from_controller(context: FaultContext) -> None:
    """Cut a machine off from one controller."""
    if context.machines:
        context.world.cut_link(context.rng.choice(context.machines).host, context.controller_name)
        context.at_end(context.world.heal)


def lose_responses_to_agent(context: FaultContext) -> None:
    """Deliver the heartbeats of a machine, but lose the responses to them."""
    if context.machines:
        host = context.rng.choice(context.machines).host
        hosts_without_responses = context.world.hosts_without_responses
        hosts_without_responses.add(host)
        context.at_end(lambda: hosts_without_responses.discard(host), factor=2)


def message_loss(context: FaultContext) -> None:
    """Lose one in twenty messages on all links."""
    context.world.loss_rate = 0.05
    context.at_end(lambda: setattr(context.world, "loss_rate", 0.0))


def late_heartbeats(context: FaultContext) -> None:
    """Deliver second copies of some heartbeats late."""
    context.world.late_heartbeat_rate = 0.1
    context.at_end(lambda: setattr(context.world, "late_heartbeat_rate", 0.0), factor=2)


def slow_agent_links(context: FaultContext) -> None:
    """Delay the messages between a controller and all machines that exist now."""
    agents = sorted(context.world.agents)
    context.world.slow_down_links(context.controller_name, agents, context.draw_in_order())
    context.at_end(context.world.restore_link_speed)


def slow_peer_links(context: FaultContext) -> None:
    """Delay the messages between all controllers."""
    in_order = context.draw_in_order()
    names = context.world.controller_names
    for name in names:
        context.world.slow_down_links(name, [other for other in names if other != name], in_order)
    context.at_end(context.world.restore_link_speed)


def slow_service_links(context: FaultContext) -> None:
    """Delay the messages between a controller and both the key-value store and the cloud."""
    context.world.slow_down_links(context.controller_name, [STORE, CLOUD], context.draw_in_order())
    context.at_end(context.world.restore_link_speed)


def slow_links_of_agent(context: FaultContext) -> None:
    """Delay the messages between one machine and all controllers."""
    in_order = context.draw_in_order()
    if context.world.agents:
        host = context.rng.choice(sorted(context.world.agents))
        context.world.slow_down_links(host, context.world.controller_names, in_order)
    context.at_end(context.world.restore_link_speed)


# Faults of machines.


def terminate_machine(context: FaultContext) -> None:
    """Terminate a machine."""
    if context.machines:
        context.rng.choice(context.machines).terminate()


def make_machine_faulty(context: FaultContext) -> None:
    """Make all tasks fail on a machine from now on."""
    if context.machines:
        context.rng.choice(context.machines).is_faulty = True


def hang_machines(context: FaultContext) -> None:
    """Make half of the machines hang."""
    for agent in context.rng.sample(context.machines, len(context.machines) // 2):
        agent.hang(context.rng.uniform(4, 20))


def hang_machines_of_cancelled_job(context: FaultContext) -> None:
    """Make all machines with tasks of a job hang, and cancel the job."""
    job_id = context.random_job_id()
    for agent in context.machines:
        if any(task.job_id == job_id for task in agent.tasks.values()):
            agent.hang(context.rng.uniform(4, 40))
    cancel_job(context.world, context.rng, job_id)


# Cancellations by users.


def cancel_any_job(context: FaultContext) -> None:
    """Cancel a random job."""
    context.cancel_random_job()


def cancel_jobs_when_done(context: FaultContext) -> None:
    """Cancel some jobs at the moment when their last task succeeds, or just after it."""
    world, rng = context.world, context.rng

    def on_job_done(job_id: str) -> None:
        if rng.random() < 0.6:
            world.after(rng.choice([0.0, 0.1, 0.6, 1.2]) * SECOND, lambda: cancel_job(world, rng, job_id))

    world.invariants.on_job_done = on_job_done
    context.at_end(lambda: setattr(world.invariants, "on_job_done", lambda job_id: None), factor=2)


def faults_by_name(*faults: Fault) -> dict[str, Fault]:
    """Return the faults by the names of their functions."""
    return {fault.__name__: fault for fault in faults}


#: The faults of histories with single faults. Faults are drawn by their positions, so that any change of this table
#: changes the histories of all seeds: new faults belong in the other table, which only overlapping histories use.
SINGLE_FAULTS = faults_by_name(
    crash_controller,
    crash_all_controllers,
    rolling_restart,
    store_outage,
    store_refuses_controller,
    isolate_controller,
    cut_store_link,
    cut_agent_from_controllers,
    cut_agent_from_controller,
    terminate_machine,
    cloud_outage,
    make_machine_faulty,
    cancel_any_job,
    message_loss,
    quick_restart,
    lose_responses_to_agent,
    late_heartbeats,
    restart_all_at_random_times,
    lose_all_but_agents,
    freeze_controller,
    hang_machines,
    isolate_zone,
    cut_peer_links,
    late_writes,
    cancel_jobs_when_done,
    lose_store_and_peers,
    store_refuses_controller_then_all,
    hang_machines_of_cancelled_job,
    slow_store,
)
SLOW_LINK_FAULTS = faults_by_name(slow_agent_links, slow_peer_links, slow_service_links, slow_links_of_agent)
#: The faults of histories in which faults overlap.
OVERLAPPING_FAULTS = SINGLE_FAULTS | SLOW_LINK_FAULTS


def inject_fault(world: World, rng: random.Random, name: str) -> None:
    """Inject the fault of the given name, with a random duration and controller."""
    duration = rng.uniform(2, 20) * SECOND
    controller_name = rng.choice(world.controller_names)
    machines = [agent for agent in world.agents.values() if agent.alive]
    OVERLAPPING_FAULTS[name](FaultContext(world, rng, duration, controller_name, machines))
