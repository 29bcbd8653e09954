"""Agents are told the token of a new membership view directly, so that work goes on soon."""

import json
from collections.abc import Callable

import pytest

from ramptide.agents.token_announcer import MAX_IN_FLIGHT, TokenAnnouncer
from ramptide.controller.controller import Controller
from ramptide.protocol.agents import COMMANDS_PATH, Heartbeat, decode_heartbeat
from ramptide.state.task_state import DesiredState, Phase
from ramptide.transport.runtime import Request
from virtual import Response, S, World, full_world, leader_of, run_with_checks


def report(host: str, token: int, tenure: int = 1, tally: int = 1) -> bytes:
    return json.dumps(
        {
            "host": host, "addr": host, "rig": "m", "yard": "a", "loaners": False, "tenure": tenure, "tally": tally,
            "baton": token, "pieces": [],
        }
    ).encode()  # fmt: skip


class Agents:
    """A runtime that keeps the requests until the test answers them."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, dict[str, object], Callable[[Response | None], None]]] = []

    def call(self, request: Request, done: Callable[[Response | None], None]) -> None:
        assert (request.method, request.target) == ("POST", COMMANDS_PATH)
        self.requests.append((request.address, json.loads(request.body), done))


def seconds_to_settle(silence: Callable[[World, str], None]) -> float:
    """How long after the change of membership all that are left start tasks again, with sixteen tasks on machines."""
    world = full_world()
    world.run(5)
    gone = leader_of(world)
    silence(world, gone)
    rest = [node.controller for name, node in world.nodes.items() if name != gone and node.controller is not None]
    assert world.run_until(lambda: all(c.state.view is not None and gone not in c.state.view.members for c in rest), 10)
    began = world.now
    assert world.run_until(lambda: all(controller.state.reconciled for controller in rest), 20)
    run_with_checks(world, 20)
    assert world.invariants.violations == []
    return (world.now - began - 20 * S) / S


def killed(world: World, name: str) -> None:
    world.nodes[name].kill()


def stands_still(world: World, name: str) -> None:
    world.nodes[name].freeze(12)


@pytest.mark.parametrize("silence", [killed, stands_still])
def test_work_goes_on_within_a_second_of_a_change_of_membership(silence: Callable[[World, str], None]) -> None:
    """An agent whose report the lost controller never answers waits 4 s for it, and then asks the others."""
    assert seconds_to_settle(silence) < 1


def test_without_announcements_it_waits_for_the_agents_next_heartbeats(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TokenAnnouncer, "announce", lambda announcer, token, addresses: None)
    assert seconds_to_settle(stands_still) > 1.5


def test_an_agent_of_another_epoch_is_asked_again_once() -> None:
    agents = Agents()
    taken: list[Heartbeat] = []
    TokenAnnouncer(agents, taken.append).announce(7, {"vm-0": "vm-0"})  # type: ignore[arg-type]
    agents.requests[0][2](Response(409, report("vm-0", 6, tenure=3)))
    assert [request["tenure"] for _, request, _ in agents.requests] == [1, 3]
    assert taken == []
    agents.requests[1][2](Response(409, report("vm-0", 6, tenure=4)))
    assert len(agents.requests) == 2, "it will report by itself"


def test_what_an_agent_says_of_an_earlier_token_or_of_another_host_is_not_taken() -> None:
    agents = Agents()
    taken: list[Heartbeat] = []
    announcer = TokenAnnouncer(agents, taken.append)  # type: ignore[arg-type]
    announcer.announce(7, {"vm-0": "vm-0", "vm-1": "vm-1", "vm-2": "vm-2"})
    agents.requests[1][2](Response(200, report("vm-9", 7)))
    agents.requests[2][2](Response(200, b"no report"))
    announcer.announce(8, {})
    agents.requests[0][2](Response(200, report("vm-0", 7)))
    assert taken == []


def test_machines_that_do_not_respond_hold_up_only_their_places() -> None:
    agents = Agents()
    taken: list[Heartbeat] = []
    TokenAnnouncer(agents, taken.append).announce(7, {f"vm-{n}": f"vm-{n}" for n in range(40)})  # type: ignore[arg-type]
    assert len(agents.requests) == MAX_IN_FLIGHT
    for host, _, done in list(agents.requests[1:]):
        done(Response(200, report(host, 7)))
    assert len(taken) == MAX_IN_FLIGHT - 1
    assert len(agents.requests) == 2 * MAX_IN_FLIGHT - 1


def start_under_way(controller: Controller | None) -> str | None:
    """The host to which an answer with a launch is on its way."""
    if controller is None or controller.state.shard is None:
        return None
    for host, machine in controller.state.shard.machines.items():
        if any(entry.phase is Phase.SENT for entry in machine.entries.values()):
            return host
    return None


def controller_with_a_start_under_way(world: World) -> tuple[Controller, str]:
    for _ in range(400):
        world.run(0.02)
        for node in world.nodes.values():
            host = start_under_way(node.controller)
            if node.controller is not None and host is not None:
                return node.controller, host
    raise AssertionError("nothing was launched")


def test_a_direct_heartbeat_after_the_first_one_of_the_view_changes_nothing() -> None:
    """It may have been made before the agent heard our last answer: what it lacks may yet be started."""
    world = full_world()
    world.define_job("j-2", pieces=12, cores=1.0, guessS=500.0)
    body = json.dumps(world.job_specs["j-2"]).encode()
    world.request("c0", lambda controller: controller.job_api.submit(body, lambda status, *_: None))
    controller, host = controller_with_a_start_under_way(world)
    assert controller.state.shard is not None
    machine = controller.state.shard.machines[host]
    tenure, tally = machine.last_heartbeat_id
    before = {key: (entry.phase, entry.desired) for key, entry in machine.entries.items()}
    controller.heartbeats.receive_direct_heartbeat(
        decode_heartbeat(report(host, controller.state.shard.view, tenure, tally + 1))
    )
    assert {key: (entry.phase, entry.desired) for key, entry in machine.entries.items()} == before
    assert any(state == (Phase.SENT, DesiredState.RUN) for state in before.values())


def test_a_lease_counts_from_the_direct_heartbeat_on() -> None:
    """Until the agent saw the token, a controller of an earlier view may have answered it."""
    world = full_world()
    gone = leader_of(world)
    world.nodes[gone].kill()
    rest = [node.controller for name, node in world.nodes.items() if name != gone and node.controller is not None]
    assert world.run_until(lambda: all(c.state.view is not None and gone not in c.state.view.members for c in rest), 10)
    for controller in rest:
        assert controller.state.shard is not None
        machines = controller.state.shard.machines.values()
        assert world.run_until(lambda machines=machines: any(one.last_heartbeat_at is not None for one in machines), 2)  # type: ignore[misc]
        told = [one for one in machines if one.last_heartbeat_at is not None and one.last_reply_at is None]
        assert told
        assert all(one.latest_reply() == one.last_heartbeat_at for one in told)
        assert all(
            one.last_heartbeat_at is not None and one.last_heartbeat_at > controller.state.view_since for one in told
        )


def test_a_direct_heartbeat_that_is_not_taken_does_not_make_the_next_one_look_astray() -> None:
    """Each response counts in the tally; a gap there tells that a report went to another controller."""
    world = full_world()
    controller, host = next(
        (node.controller, host)
        for node in world.nodes.values()
        if node.controller is not None and node.controller.state.shard is not None
        for host, machine in node.controller.state.shard.machines.items()
        if machine.last_heartbeat_at is not None
    )
    assert controller.state.shard is not None
    machine = controller.state.shard.machines[host]
    tenure, tally = machine.last_heartbeat_id
    controller.heartbeats.receive_direct_heartbeat(
        decode_heartbeat(report(host, controller.state.shard.view, tenure, tally + 1))
    )
    following = decode_heartbeat(report(host, controller.state.shard.view, tenure, tally + 2))
    assert controller.state.shard.heartbeats.apply(following, world.now)
    assert not machine.is_unreachable
    astray = decode_heartbeat(report(host, controller.state.shard.view, tenure, tally + 4))
    assert controller.state.shard.heartbeats.apply(astray, world.now)
    assert machine.is_unreachable
