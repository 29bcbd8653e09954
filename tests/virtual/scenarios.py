"""Worlds in known states, and steps that several tests have in common."""

from virtual.agent import AttemptKey
from virtual.clock import SECOND
from virtual.world import World, started_world


def busy_world(seed: int = 3, members: int = 3, **fields: object) -> World:
    """Return a world with the job `j-1`, whose six tasks run on several machines.

    `fields`: fields of the job specification.
    """
    world = started_world(seed, members=members)
    world.define_job("j-1", **({"pieces": 6, "cores": 4.0, "guessS": 40.0} | fields))
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    return world


def large_busy_world() -> World:
    """Return a world with sixteen running tasks on at least eight machines.

    When all of these machines are silent, a new view waits until their leases end. Up to three silent machines would be
    returned to the cloud at once instead.
    """
    world = started_world(3)
    world.define_job("j-1", pieces=16, cores=4.0, guessS=500.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 16, 40)
    return world


def run_with_checks(world: World, seconds: float) -> None:
    """Advance the clock, and check the invariants ten times a second."""
    for _ in range(int(seconds * 10)):
        world.run(0.1)
        world.invariants.check()


def running_attempts(world: World, job_id: str) -> set[AttemptKey]:
    """Return the running attempts of a job."""
    return {task.key for _, task in world.invariants.running_tasks() if task.job_id == job_id}


def restart_controller(world: World, name: str, seconds: float = 2.0) -> None:
    """Kill the process; start a new one after `seconds`, unless another one was started by then."""
    node = world.nodes[name]

    def start() -> None:
        if node.controller is None:
            node.start()

    node.kill()
    world.after(seconds * SECOND, start)


def end_faults(world: World) -> None:
    """End the faults of the network, the store and the cloud, start all controllers, and run for 15 seconds."""
    world.store.is_down = world.cloud.is_down = False
    world.store.refused_callers.clear()
    world.loss_rate = world.duplication_rate = 0.0
    world.late_heartbeat_rate = world.late_write_rate = world.max_store_delay_s = 0.0
    world.heal()
    world.restore_link_speed()
    for node in world.nodes.values():
        if node.controller is None:
            node.start()
    world.run(15)


def restart_owner_after_each_renewal(world: World, host: str, seconds: float, downtime_s: float = 0.3) -> int:
    """Kill the controller that renews the lease of a machine right after each renewal; return the number of renewals.

    So the machine's owner replies to at most one heartbeat of each view.
    """
    agent, renewals = world.agents[host], 0
    renewed_at = agent.lease_renewed_at
    for _ in range(int(seconds * 100)):
        world.run(0.01)
        world.invariants.check()
        if agent.lease_renewed_at != renewed_at:
            renewed_at, renewals = agent.lease_renewed_at, renewals + 1
            restart_controller(world, world.controller_names[agent.controller_index], downtime_s)
    return renewals


#: A service and arrays of users whom the trouble of another job must not concern.
OTHER_SERVICE = "j-9"
OTHER_ARRAYS = [f"j-{number}" for number in range(10, 16)]


def submit_other_jobs(world: World, controller_name: str) -> None:
    """Submit a service of two replicas and some short arrays, which are accepted."""
    world.define_job(OTHER_SERVICE, shape="service", rank="production", pieces=2, cores=1.0)
    for job_id in OTHER_ARRAYS:
        world.define_job(job_id, pieces=2, cores=1.0)
    for job_id in (OTHER_SERVICE, *OTHER_ARRAYS):
        assert world.submit_until_accepted(job_id, controller_name)


def check_other_jobs_are_served(world: World, seconds: float) -> None:
    """Check that the service runs and the arrays are done within a time, and that no invariant is violated."""

    def are_served() -> bool:
        replicas = running_attempts(world, OTHER_SERVICE)
        return len(replicas) == 2 and all(world.is_done(job_id) for job_id in OTHER_ARRAYS)

    assert world.run_until(are_served, seconds)
    run_with_checks(world, 5)
    assert world.invariants.violations == []
