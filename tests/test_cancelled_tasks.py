"""Cancelled tasks whose machines are reached only seldom, or not at all."""

import pytest

from ramptide.protocol.agents import TaskStatus
from virtual import (
    SECOND,
    World,
    busy_world,
    owner_of,
    play_history,
    restart_owner_after_each_renewal,
)

#: The time for which the owners of a machine change, in seconds: longer than a cancelled task may run on.
CHANGES_S = 25.0


def world_with_cancelled_service(seed: int) -> tuple[World, str]:
    """Return a world in which all controllers end once a cancellation is confirmed, and a machine of the job."""
    world = busy_world(seed, shape="service")
    host = next(agent.host for agent, _ in world.invariants.running_tasks())
    assert world.cancel_job("j-1", "c0")
    for node in world.nodes.values():
        node.kill()
        world.after(world.rng.uniform(2, 4) * SECOND, node.start)
    return world, host


def has_active_tasks(world: World, host: str) -> bool:
    return any(task.status != TaskStatus.ENDED for task in world.agents[host].tasks.values())


@pytest.mark.parametrize("seed", range(20))
def test_cancelled_task_is_stopped_when_its_owner_replies_only_once_in_each_view(seed: int) -> None:
    world, host = world_with_cancelled_service(seed)
    restart_owner_after_each_renewal(world, host, CHANGES_S)
    assert world.invariants.violations == []


def test_cancelled_task_is_stopped_directly_when_no_reply_reaches_its_agent() -> None:
    world = busy_world(3, shape="service")
    host = next(agent.host for agent, _ in world.invariants.running_tasks())
    owner = owner_of(world, host)
    world.hosts_without_responses.add(host)
    assert world.cancel_job("j-1", next(name for name in world.controller_names if name != owner))
    world.nodes[owner].kill()
    lease_ends_at = world.agents[host].lease_renewed_at + world.agents[host].lease_duration
    assert world.run_until(lambda: not has_active_tasks(world, host), 20)
    assert world.now < lease_ends_at - 0.5 * SECOND


@pytest.mark.parametrize("seed", [31, 56, 111, 151, 170, 239, 248, 282, 334, *range(1000, 1006)])
def test_cancelled_task_is_gone_in_time_when_views_change_again_and_again(seed: int) -> None:
    assert play_history(seed, repeated_view_changes=True).invariants.violations == []


@pytest.mark.parametrize("may_redirect", [True, False])
def test_cancelled_task_ends_with_its_lease_when_its_agent_is_only_redirected_or_refused(
    may_redirect: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = busy_world(3, shape="service")
    host = next(agent.host for agent, _ in world.invariants.running_tasks())
    for node in world.nodes.values():
        assert node.controller is not None
        monkeypatch.setattr(node.controller.authority, "may_reply", lambda: False)
        monkeypatch.setattr(node.controller.authority, "may_renew", lambda: may_redirect)
    cancelled_at = world.now
    assert world.cancel_job("j-1", "c0")
    assert world.run_until(lambda: not has_active_tasks(world, host), 20)
    assert world.now - cancelled_at <= world.lease_s * SECOND + 1 * SECOND


@pytest.mark.parametrize("seed", [96, 882260, 4100101, 4201946])
def test_cancelled_task_is_gone_in_time_when_its_machine_hangs_while_the_store_is_out(seed: int) -> None:
    violations = play_history(seed, overlapping=True).invariants.violations
    assert not [violation for violation in violations if violation.startswith("ran_cancelled")]
