"""The leader keeps the fleet record true to the cloud's list, also across changes of leader."""

import pytest

from ramptide.autoscaling.cloud_list import CloudList
from virtual import S, World, busy_world, full_world, leader_of

MORE_THAN_A_VIEW_RETURNS_AT_ONCE = 7


def machines_lost_with_their_leader() -> tuple[World, set[str]]:
    """Machines are gone and off the cloud's list before the next leader reads that list for the first time."""
    world = full_world()
    old = leader_of(world)
    world.run(10)
    world.nodes[old].kill()
    lost = [agent for agent in world.agents.values() if agent.alive][:MORE_THAN_A_VIEW_RETURNS_AT_ONCE]
    for agent in lost:
        agent.die()
        del world.cloud.listing[agent.host]
    world.after(30 * S, world.nodes[old].start)
    return world, {agent.host for agent in lost}


def recorded(world: World) -> set[str]:
    return {
        host
        for key, (value, _, _) in world.store.entries.items()
        if key.startswith("live/rental/")
        for host in value["hosts"] or {}
    }


def test_a_new_leader_notices_a_machine_that_left_the_list_before_its_first_reading() -> None:
    world, lost = machines_lost_with_their_leader()
    assert len(lost) == MORE_THAN_A_VIEW_RETURNS_AT_ONCE
    assert world.run_until(lambda: lost.isdisjoint(recorded(world)), 15)
    world.invariants.check()
    assert world.invariants.violations == []


def test_when_it_trusts_only_what_it_saw_listed_the_record_keeps_the_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    def recorded_just_now(of: CloudList, host: str) -> None:
        of._recorded_since[host] = of._runtime.now + 1000 * S

    monkeypatch.setattr(CloudList, "track_machine", recorded_just_now)
    world, lost = machines_lost_with_their_leader()
    assert not world.run_until(lambda: lost.isdisjoint(recorded(world)), 15)


def test_machines_that_the_list_does_not_show_yet_are_kept() -> None:
    """The list lags by 2 s here, and new machines are missing from it until then."""
    world = busy_world(guessS=500.0, pieces=6, cores=4.0)
    before = recorded(world)
    for _ in range(12):
        world.run(1)
        assert before <= recorded(world)
