"""The announcement of a new view's fencing token to agents, so that tasks can be started again soon.

An agent whose heartbeat a failed controller never answers waits 4 s before it sends one to another controller. The
tests guard against a new view that waits for that long, and against direct heartbeats (the responses to the
announcements) that are applied although they are out of date, of another host or of an earlier token.
"""

import json
from collections.abc import Callable

import pytest

from ramptide.agents.token_announcer import MAX_IN_FLIGHT, TokenAnnouncer
from ramptide.controller.controller import Controller
from ramptide.protocol.agents import COMMANDS_PATH, Heartbeat, decode_heartbeat
from ramptide.state.task_state import DesiredState, Phase
from ramptide.transport.runtime import Request
from virtual import SECOND, Response, World, large_busy_world, leader_of, run_with_checks


def encode_heartbeat(host: str, fencing_token: int, agent_epoch: int = 1, sequence_number: int = 1) -> bytes:
    return json.dumps(
        {
            "host": host, "addr": host, "rig": "m", "yard": "a", "loaners": False, "tenure": agent_epoch,
            "tally": sequence_number, "baton": fencing_token, "pieces": [],
        }
    ).encode()  # fmt: skip


class RecordingRuntime:
    """Records the requests to agents, which the test answers."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, dict[str, object], Callable[[Response | None], None]]] = []

    def call(self, request: Request, on_response: Callable[[Response | None], None]) -> None:
        assert (request.method, request.target) == ("POST", COMMANDS_PATH)
        self.requests.append((request.address, json.loads(request.body), on_response))


def seconds_until_reconciled(silence_leader: Callable[[World, str], None]) -> float:
    """Silence the leader while 16 tasks run; return the seconds until all remaining controllers are reconciled.

    The seconds count from the change of membership, when no remaining controller has the leader in its view any more.
    """
    world = large_busy_world()
    world.run(5)
    silent_leader = leader_of(world)
    silence_leader(world, silent_leader)
    remaining_controllers = [
        node.controller
        for controller_name, node in world.nodes.items()
        if controller_name != silent_leader and node.controller is not None
    ]
    assert world.run_until(
        lambda: all(
            controller.state.view is not None and silent_leader not in controller.state.view.members
            for controller in remaining_controllers
        ),
        10,
    )
    view_changed_at = world.now
    assert world.run_until(lambda: all(controller.state.reconciled for controller in remaining_controllers), 20)
    run_with_checks(world, 20)
    assert world.invariants.violations == []
    return (world.now - view_changed_at - 20 * SECOND) / SECOND


def kill(world: World, controller_name: str) -> None:
    world.nodes[controller_name].kill()


def freeze_for_12_s(world: World, controller_name: str) -> None:
    world.nodes[controller_name].freeze(12)


@pytest.mark.parametrize("silence_leader", [kill, freeze_for_12_s])
def test_tasks_are_started_again_within_a_second_of_a_change_of_membership(
    silence_leader: Callable[[World, str], None],
) -> None:
    """An agent whose heartbeat the lost controller never answers waits 4 s before it tries another controller."""
    assert seconds_until_reconciled(silence_leader) < 1


def test_a_new_view_waits_for_the_next_heartbeats_without_token_announcements(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, fencing_token, addresses: None)
    assert seconds_until_reconciled(freeze_for_12_s) > 1.5


def test_token_is_announced_once_more_when_the_agent_has_another_epoch() -> None:
    runtime = RecordingRuntime()
    heartbeats: list[Heartbeat] = []
    TokenAnnouncer(runtime, heartbeats.append).announce(7, {"vm-0": "vm-0"})  # type: ignore[arg-type]
    runtime.requests[0][2](Response(409, encode_heartbeat("vm-0", 6, agent_epoch=3)))
    assert [request["tenure"] for _, request, _ in runtime.requests] == [1, 3]
    assert heartbeats == []
    runtime.requests[1][2](Response(409, encode_heartbeat("vm-0", 6, agent_epoch=4)))
    assert len(runtime.requests) == 2, "the agent learns the token from the reply to its next heartbeat"


def test_response_is_ignored_when_it_is_broken_or_of_another_host_or_an_earlier_token() -> None:
    runtime = RecordingRuntime()
    heartbeats: list[Heartbeat] = []
    announcer = TokenAnnouncer(runtime, heartbeats.append)  # type: ignore[arg-type]
    announcer.announce(7, {"vm-0": "vm-0", "vm-1": "vm-1", "vm-2": "vm-2"})
    runtime.requests[1][2](Response(200, encode_heartbeat("vm-9", 7)))
    runtime.requests[2][2](Response(200, b"no report"))
    announcer.announce(8, {})
    runtime.requests[0][2](Response(200, encode_heartbeat("vm-0", 7)))
    assert heartbeats == []


def test_agents_that_do_not_respond_occupy_only_their_own_slots() -> None:
    runtime = RecordingRuntime()
    heartbeats: list[Heartbeat] = []
    TokenAnnouncer(runtime, heartbeats.append).announce(7, {f"vm-{n}": f"vm-{n}" for n in range(40)})  # type: ignore[arg-type]
    assert len(runtime.requests) == MAX_IN_FLIGHT
    for host, _, on_response in list(runtime.requests[1:]):
        on_response(Response(200, encode_heartbeat(host, 7)))
    assert len(heartbeats) == MAX_IN_FLIGHT - 1
    assert len(runtime.requests) == 2 * MAX_IN_FLIGHT - 1


def host_with_a_start_in_flight(controller: Controller | None) -> str | None:
    """Return a host to which the command to start a task was sent and not confirmed."""
    if controller is None or controller.state.shard is None:
        return None
    for host, machine in controller.state.shard.machines.items():
        if any(entry.phase is Phase.SENT for entry in machine.entries.values()):
            return host
    return None


def controller_with_a_start_in_flight(world: World) -> tuple[Controller, str]:
    for _ in range(400):
        world.run(0.02)
        for node in world.nodes.values():
            host = host_with_a_start_in_flight(node.controller)
            if node.controller is not None and host is not None:
                return node.controller, host
    raise AssertionError("no task was started")


def test_direct_heartbeat_changes_nothing_when_it_is_not_the_first_of_the_view() -> None:
    """The heartbeat may be older than the last reply to the agent, so a task that it lacks may still be started."""
    world = large_busy_world()
    world.define_job("j-2", pieces=12, cores=1.0, guessS=500.0)
    body = json.dumps(world.job_specs["j-2"]).encode()
    world.request("c0", lambda controller: controller.job_api.submit(body, lambda status, *_: None))
    controller, host = controller_with_a_start_in_flight(world)
    assert controller.state.shard is not None
    machine = controller.state.shard.machines[host]
    agent_epoch, sequence_number = machine.last_heartbeat_id
    entries_before = {key: (entry.phase, entry.desired) for key, entry in machine.entries.items()}
    controller.heartbeats.receive_direct_heartbeat(
        decode_heartbeat(encode_heartbeat(host, controller.state.shard.view, agent_epoch, sequence_number + 1))
    )
    assert {key: (entry.phase, entry.desired) for key, entry in machine.entries.items()} == entries_before
    assert any(state == (Phase.SENT, DesiredState.RUN) for state in entries_before.values())


def test_lease_counts_from_the_direct_heartbeat() -> None:
    """Until the agent has seen the token, a controller of an earlier view may have replied to the agent."""
    world = large_busy_world()
    killed_leader = leader_of(world)
    world.nodes[killed_leader].kill()
    remaining_controllers = [
        node.controller for name, node in world.nodes.items() if name != killed_leader and node.controller is not None
    ]
    assert world.run_until(
        lambda: all(
            controller.state.view is not None and killed_leader not in controller.state.view.members
            for controller in remaining_controllers
        ),
        10,
    )
    for controller in remaining_controllers:
        assert controller.state.shard is not None
        machines = controller.state.shard.machines.values()
        assert world.run_until(
            lambda machines=machines: any(  # type: ignore[misc]
                machine.last_heartbeat_at is not None for machine in machines
            ),
            2,
        )
        # A held heartbeat that an agent has sent since has no reply either.
        directly_reached = [
            machine
            for machine in machines
            if machine.last_heartbeat_at is not None
            and machine.last_reply_at is None
            and machine.host not in controller.heartbeats._held
        ]
        assert directly_reached
        assert all(machine.latest_reply() == machine.last_heartbeat_at for machine in directly_reached)
        assert all(
            machine.last_heartbeat_at is not None and machine.last_heartbeat_at > controller.state.view_since
            for machine in directly_reached
        )


def test_skipped_direct_heartbeat_does_not_count_as_a_gap_in_the_sequence_numbers() -> None:
    """Each direct heartbeat has a sequence number too; a gap shows that a heartbeat went to another controller."""
    world = large_busy_world()
    controller, host = next(
        (node.controller, host)
        for node in world.nodes.values()
        if node.controller is not None and node.controller.state.shard is not None
        for host, machine in node.controller.state.shard.machines.items()
        if machine.last_heartbeat_at is not None
    )
    assert controller.state.shard is not None
    machine = controller.state.shard.machines[host]
    agent_epoch, sequence_number = machine.last_heartbeat_id
    controller.heartbeats.receive_direct_heartbeat(
        decode_heartbeat(encode_heartbeat(host, controller.state.shard.view, agent_epoch, sequence_number + 1))
    )
    next_heartbeat = decode_heartbeat(
        encode_heartbeat(host, controller.state.shard.view, agent_epoch, sequence_number + 2)
    )
    assert controller.state.shard.heartbeats.apply(next_heartbeat, world.now)
    assert not machine.is_unreachable
    heartbeat_after_a_gap = decode_heartbeat(
        encode_heartbeat(host, controller.state.shard.view, agent_epoch, sequence_number + 4)
    )
    assert controller.state.shard.heartbeats.apply(heartbeat_after_a_gap, world.now)
    assert machine.is_unreachable
