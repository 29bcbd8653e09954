"""The comparison of the fleet record with the cloud's list, also across changes of leader.

The tests guard against machines that stay in the fleet record although they are gone, as happens when they leave the
list before a new leader reads it for the first time, and against the removal of new machines that the list, which
lags, does not show yet.
"""

import pytest

from ramptide.autoscaling.cloud_list import CloudList
from virtual import SECOND, World, busy_world, large_busy_world, leader_of

#: More silent machines than a new view returns at once.
LOST_MACHINES = 7


def world_with_machines_lost_with_the_leader() -> tuple[World, set[str]]:
    """Return a world, and machines that leave the cloud's list before the next leader reads it for the first time."""
    world = large_busy_world()
    old_leader = leader_of(world)
    world.run(10)
    world.nodes[old_leader].kill()
    lost = [agent for agent in world.agents.values() if agent.alive][:LOST_MACHINES]
    for agent in lost:
        agent.terminate()
        del world.cloud.listing[agent.host]
    world.after(30 * SECOND, world.nodes[old_leader].start)
    return world, {agent.host for agent in lost}


def recorded_hosts(world: World) -> set[str]:
    return {
        host
        for key, (value, _, _) in world.store.entries.items()
        if key.startswith("live/rental/")
        for host in value["hosts"] or {}
    }


def test_new_leader_removes_machines_that_left_the_list_before_its_first_reading() -> None:
    world, lost = world_with_machines_lost_with_the_leader()
    assert len(lost) == LOST_MACHINES
    assert world.run_until(lambda: lost.isdisjoint(recorded_hosts(world)), 15)
    world.invariants.check()
    assert world.invariants.violations == []


def test_lost_machines_stay_recorded_when_their_time_in_the_fleet_record_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def ignore_time_in_record(cloud_list: CloudList, host: str) -> None:
        cloud_list._recorded_since[host] = cloud_list._runtime.now + 1000 * SECOND

    monkeypatch.setattr(CloudList, "track_machine", ignore_time_in_record)
    world, lost = world_with_machines_lost_with_the_leader()
    assert not world.run_until(lambda: lost.isdisjoint(recorded_hosts(world)), 15)


def test_machines_stay_recorded_while_the_list_does_not_show_them_yet() -> None:
    """The list lags by 2 s in this world, so new machines are missing from it at first."""
    world = busy_world(guessS=500.0, pieces=6, cores=4.0)
    before = recorded_hosts(world)
    for _ in range(12):
        world.run(1)
        assert before <= recorded_hosts(world)
