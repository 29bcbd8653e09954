"""Copies of a start command that arrive after the task has ended and its agent has forgotten the attempt.

The tests follow the command from the job's scheduler to the agent; counter-checks take the guard of a hop away.
"""

from collections.abc import Callable, Container
from typing import Any

import pytest

from ramptide.agents.owned_machine import HeartbeatId
from ramptide.cluster.change_log import ReceivedSequence
from ramptide.cluster.messages import MESSAGE_VERSION, PeerMessage, encode_message
from ramptide.cluster.peers import Peers
from ramptide.protocol.agents import DirectStartError, encode_commands, reap_command, start_command, stop_command
from virtual import (
    SECOND,
    Respond,
    World,
    ignore_response,
    owner_of,
    restart_controller,
    run_with_checks,
    started_world,
)
from virtual.machine_owner import (
    ATTEMPT,
    LIVE_JOB,
    VIEW,
    KnownJobs,
    MachineOwner,
    RecordingRuntime,
    heartbeat_body,
)

START = [("launch", "j-1/0")]


def owner_of_forgotten_attempt() -> MachineOwner:
    """Return the owner of a machine on which an attempt was started, ended and was reaped."""
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START
    owner.receive(heartbeat_body("vm-1", VIEW, (LIVE_JOB, "ended"), sequence_number=3))
    owner.request_state(11, "reap")
    reap = owner.receive(heartbeat_body("vm-1", VIEW, (LIVE_JOB, "ended"), sequence_number=4))[1]
    assert reap == [("reap", "j-1/0")]
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=5)) == (200, [])
    return owner


# From the scheduler to the owner, in the same view.


@pytest.mark.parametrize("sequence_number", [10, 11])
def test_copy_of_a_schedulers_message_starts_no_forgotten_attempt(sequence_number: int) -> None:
    owner = owner_of_forgotten_attempt()
    owner.request_state(sequence_number, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=6)) == (200, [])


def test_copy_of_a_schedulers_message_starts_a_forgotten_attempt_without_the_check_of_its_number() -> None:
    owner = owner_of_forgotten_attempt()
    owner.shard.desired_states.acknowledged.clear()
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=6))[1] == START


def test_copy_of_a_schedulers_message_starts_no_task_of_a_job_that_was_cancelled_meanwhile() -> None:
    owner = owner_of_forgotten_attempt()
    owner.jobs.live.clear()
    owner.shard.request_job_reap(LIVE_JOB)
    owner.shard.desired_states.acknowledged.clear()
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=6)) == (200, [])


def test_message_that_asks_for_a_stopped_attempt_again_does_not_start_it() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    owner.request_state(11, "stop")
    owner.request_state(12, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2)) == (200, [])


# From the scheduler to the owner, over a change of the view or of the process.


class MessageReceiver:
    """The receiving side of the messages of `c1`, whose process in the view has the incarnation `c1-1`."""

    def __init__(self) -> None:
        self.applied: list[PeerMessage] = []
        runtime: Any = RecordingRuntime()
        self.peers = Peers(
            runtime,
            {"c1": "c1"},
            lambda message: message.incarnation == "c1-1",
            lambda message, _peer: self.applied.append(message),
            lambda _job_ids: None,
        )

    def receive(self, view: int, incarnation: str = "c1-1") -> int:
        """Receive the tenth message of a process of `c1` in view 5, as a member of `view`; count what was applied."""
        tasks = {"vm-1": [(LIVE_JOB, 0, ATTEMPT, "run", 0.0)]}
        message = PeerMessage("c1", incarnation, VIEW, 10, False, version=MESSAGE_VERSION, desired_tasks=tasks)
        self.peers.receive(encode_message(message), view)
        return len(self.applied)


def test_message_of_a_scheduler_is_applied_once_in_its_view_and_never_in_another() -> None:
    receiver = MessageReceiver()
    assert receiver.receive(VIEW + 1) == 0
    assert receiver.receive(VIEW) == 1
    assert receiver.receive(VIEW) == 1


def test_message_of_a_scheduler_is_applied_twice_when_its_number_is_forgotten_within_the_view() -> None:
    receiver = MessageReceiver()
    receiver.receive(VIEW)
    receiver.peers.by_name["c1"].received_sequence = ReceivedSequence()
    assert receiver.receive(VIEW) == 2


def test_message_of_a_scheduler_that_has_restarted_since_is_not_applied() -> None:
    receiver = MessageReceiver()
    assert receiver.receive(VIEW, incarnation="c1-0") == 0
    assert receiver.receive(VIEW) == 1, "the same message of the process that is the member"


class MessageLog:
    """Records the messages and heartbeats that controllers receive, and delivers copies of all of them."""

    def __init__(self, world: World, monkeypatch: pytest.MonkeyPatch) -> None:
        self.world = world
        self.deliveries: list[Callable[[], None]] = []
        for node in world.nodes.values():
            for method in ("deliver_peer_message", "deliver_heartbeat"):
                monkeypatch.setattr(node, method, self._recorded(getattr(node, method)))

    def _recorded(self, deliver: Callable[[bytes, Respond], None]) -> Callable[[bytes, Respond], None]:
        def record_and_deliver(body: bytes, respond: Respond) -> None:
            self.deliveries.append(lambda: deliver(body, ignore_response))
            deliver(body, respond)

        return record_and_deliver

    def deliver_copies(self) -> None:
        """Deliver a copy of everything that was received, in the same order."""
        for deliver in list(self.deliveries):
            deliver()


@pytest.mark.parametrize("restarted", ["owner", "scheduler", "all", "none"])
@pytest.mark.parametrize("ending", ["done", "cancelled", "moved"])
def test_copies_of_all_messages_start_no_task_again(
    restarted: str, ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Owner or scheduler are back within a second, and the copies arrive at once, and again some seconds later."""
    world = started_world(3)
    log = MessageLog(world, monkeypatch)
    world.define_job("j-1", pieces=6, cores=4.0, guessS=4.0 if ending == "done" else 300.0)
    assert world.submit_until_accepted("j-1", "c0")
    assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 30)
    host = next(agent.host for agent, _ in world.invariants.running_tasks())
    if ending == "done":
        assert world.run_until(lambda: world.is_done("j-1"), 20)
    elif ending == "cancelled":
        assert world.cancel_job("j-1", "c1")
    else:
        world.agents[host].terminate()
        assert world.run_until(lambda: len(world.invariants.running_tasks()) == 6, 60)
    run_with_checks(world, 3)
    starts = world.invariants.starts_by_job["j-1"]
    scheduler = next(name for name in world.controller_names if "j-1" in jobs_scheduled_by(world, name) or name == "c0")
    names = {"owner": [owner_of(world, alive_host(world))], "scheduler": [scheduler], "none": []}
    for name in names.get(restarted, world.controller_names):
        restart_controller(world, name, 0.5)
    for _ in range(8):
        log.deliver_copies()
        run_with_checks(world, 0.7)
    run_with_checks(world, 15)
    assert world.invariants.violations == []
    assert world.invariants.starts_by_job["j-1"] == starts


def alive_host(world: World) -> str:
    return next(agent.host for agent in world.agents.values() if agent.alive)


def jobs_scheduled_by(world: World, name: str) -> Container[str]:
    controller = world.nodes[name].controller
    assert controller is not None
    assert controller.state.scheduler is not None
    return controller.state.scheduler.jobs


# From the owner to the agent: replies to copies of heartbeats.


def test_copy_of_an_answered_heartbeat_gets_no_command() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2)) == (503, [])


def test_copy_of_an_answered_heartbeat_gets_the_start_again_without_the_check_of_its_id() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))
    owner.shard.machines["vm-1"].last_heartbeat_id = HeartbeatId(2, 1)
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START


def test_copy_that_is_the_first_heartbeat_a_new_owner_sees_starts_nothing() -> None:
    owner = MachineOwner(KnownJobs())
    owner.shard.machines["vm-1"].is_reconciled = True
    owner.request_state(1, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW - 1)) == (200, [])


def test_first_heartbeat_that_a_new_owner_sees_starts_tasks_once_it_carries_the_token() -> None:
    owner = MachineOwner(KnownJobs())
    owner.shard.machines["vm-1"].is_reconciled = True
    owner.request_state(1, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW))[1] == START


# An agent that is back within a second, with its epoch and sequence number from the start.


def test_agent_that_counts_from_the_start_again_gets_no_start_in_the_same_view() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START
    owner.receive(heartbeat_body("vm-1", VIEW, (LIVE_JOB, "running"), sequence_number=3))
    for sequence_number in range(1, 10):
        body = heartbeat_body("vm-1", 0, sequence_number=sequence_number, agent_epoch=1)
        assert owner.receive(body) == (503, [])


def test_agent_that_counts_from_the_start_again_gets_the_start_again_without_the_check_of_its_ids() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START
    owner.shard.machines["vm-1"].last_heartbeat_id = HeartbeatId(1, 0)
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=1, agent_epoch=1))[1] == START


def test_gap_before_a_heartbeat_withdraws_the_start_that_it_does_not_show() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive(heartbeat_body("vm-1", VIEW))
    owner.request_state(10, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == START
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=4)) == (200, [])


# Direct requests.


def test_start_cannot_be_encoded_in_a_direct_request() -> None:
    with pytest.raises(DirectStartError):
        encode_commands(VIEW, 1, [stop_command("j-2", 0, 9, 0 * SECOND), start_command("j-1", 0, 9)])
    assert encode_commands(VIEW, 1, [stop_command("j-2", 0, 9, 0 * SECOND), reap_command("j-2", 0, 9)])
