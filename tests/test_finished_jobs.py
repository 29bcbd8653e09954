"""Stops of the tasks of finished jobs: which jobs count, which contacts stop their tasks, and how many at a time.

The tests guard against a stop of a job that is not finished, which the local records may lack for a moment, and against
stops that take the place of other requests to agents.
"""

import itertools
from types import SimpleNamespace
from typing import Any

import pytest

from ramptide.agents.direct_stops import MAX_BURST, MAX_IN_FLIGHT, MAX_PER_SECOND
from ramptide.agents.statistics import HeartbeatOutcome, StopOutcome
from ramptide.controller.finished_jobs import FinishedJobs
from ramptide.protocol.agents import Heartbeat, decode_heartbeat
from virtual import SECOND, Response, busy_world, restart_controller, run_with_checks, running_attempts
from virtual.machine_owner import (
    FINISHED_JOB,
    LIVE_JOB,
    LIVE_SPEC,
    UNREAD_JOB,
    VIEW,
    KnownJobs,
    MachineOwner,
    heartbeat_body,
)


def heartbeat_of(host: str, *tasks: tuple[str, str]) -> Heartbeat:
    return decode_heartbeat(heartbeat_body(host, VIEW, *tasks))


# Replies to heartbeats.


def test_reply_that_brings_a_token_stops_the_tasks_of_finished_jobs_alone() -> None:
    owner = MachineOwner(KnownJobs())
    tasks = [(LIVE_JOB, "running"), (FINISHED_JOB, "running"), (UNREAD_JOB, "flushing"), ("j-4", "ended")]
    status, commands = owner.receive(heartbeat_body("vm-1", VIEW - 1, *tasks))
    assert status == 200
    assert commands == [("kill", "j-2/0"), ("kill", "j-3/0")]
    assert owner.statistics.stops[StopOutcome.SENT_WITH_TOKEN] == 2


def test_reply_that_brings_a_token_starts_nothing() -> None:
    owner = MachineOwner(KnownJobs())
    owner.shard.machines["vm-1"].is_reconciled = True
    owner.request_state(1, "run")
    assert owner.receive(heartbeat_body("vm-1", VIEW - 1, (FINISHED_JOB, "running")))[1] == [("kill", "j-2/0")]
    assert owner.receive(heartbeat_body("vm-1", VIEW, sequence_number=2))[1] == [("launch", "j-1/0")]


def test_reply_that_was_held_over_a_change_of_the_view_stops_the_tasks_of_finished_jobs() -> None:
    owner = MachineOwner(KnownJobs(), hold=3 * SECOND)
    replies = owner.receive_held(heartbeat_body("vm-1", VIEW, (LIVE_JOB, "running")))
    assert replies == []
    owner.jobs.live.clear()
    owner.enter_view(VIEW + 1)
    assert replies == [(200, [("kill", "j-1/0")])]


def test_machine_that_is_in_no_record_is_told_to_stop_the_tasks_of_finished_jobs() -> None:
    owner = MachineOwner(KnownJobs(), hosts=())
    tasks = [(FINISHED_JOB, "running"), (LIVE_JOB, "running")]
    assert owner.receive(heartbeat_body("vm-1", VIEW, *tasks)) == (200, [("kill", "j-2/0")])


@pytest.mark.parametrize("fencing_token", [VIEW - 1, VIEW])
def test_lease_is_not_renewed_while_the_records_cannot_tell_whether_a_task_is_cancelled(fencing_token: int) -> None:
    jobs = KnownJobs(are_complete=False)
    owner = MachineOwner(jobs)
    assert owner.receive(heartbeat_body("vm-1", fencing_token, (UNREAD_JOB, "running"))) == (503, [])
    assert owner.statistics.heartbeats[HeartbeatOutcome.RECORDS_BEHIND] == 1
    assert owner.runtime.requests == [], "the job may have been accepted since the records were read"
    jobs.are_complete = True
    owner.stops.send_waiting()
    assert owner.runtime.stopped == [["j-3/0"]]


def test_job_that_was_accepted_since_the_records_were_read_is_not_stopped() -> None:
    jobs = KnownJobs(are_complete=False)
    owner = MachineOwner(jobs)
    owner.receive(heartbeat_body("vm-1", VIEW, (UNREAD_JOB, "running")))
    jobs.live.add(UNREAD_JOB)
    jobs.are_complete = True
    owner.stops.send_waiting()
    assert owner.runtime.requests == []
    assert owner.receive(heartbeat_body("vm-1", VIEW, (UNREAD_JOB, "running"), sequence_number=2)) == (200, [])


def test_known_tasks_renew_the_lease_while_the_records_are_incomplete() -> None:
    owner = MachineOwner(KnownJobs(are_complete=False))
    tasks = [(LIVE_JOB, "running"), (FINISHED_JOB, "running")]
    assert owner.receive(heartbeat_body("vm-1", VIEW - 1, *tasks)) == (200, [("kill", "j-2/0")])


def test_scheduler_with_older_records_does_not_keep_the_task_of_a_finished_job_running() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive_direct(heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "running")))
    owner.request_state(1, "run", FINISHED_JOB)
    heartbeat = heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "running"), sequence_number=2)
    assert owner.receive(heartbeat)[1] == [("kill", "j-2/0")]


def test_nothing_is_stopped_while_the_records_are_being_read() -> None:
    owner = MachineOwner(KnownJobs())
    owner.cache.current_as_of = None
    assert owner.receive(heartbeat_body("vm-1", VIEW - 1, (FINISHED_JOB, "running"))) == (503, [])
    assert owner.statistics.heartbeats[HeartbeatOutcome.NO_RECORDS] == 1


def test_tasks_of_unfinished_jobs_run_on_when_all_controllers_start_during_an_outage() -> None:
    world = busy_world(3, shape="service")
    attempts = running_attempts(world, "j-1")
    world.store.start_outage(4)
    for name in world.controller_names:
        restart_controller(world, name, 0.5)
    run_with_checks(world, 15)
    assert running_attempts(world, "j-1") == attempts
    assert world.invariants.violations == []


def test_name_of_a_cancelled_job_is_not_used_again() -> None:
    world = busy_world(3, shape="service")
    assert world.cancel_job("j-1", "c0")
    run_with_checks(world, 5)
    starts = world.invariants.starts_by_job["j-1"]
    assert world.submit_until_accepted("j-1", "c1"), "the answer is the final state"
    run_with_checks(world, 10)
    assert "live/job/j-1" not in world.store.entries
    assert world.invariants.starts_by_job["j-1"] == starts


# Which jobs are finished.


def finished_jobs(
    revision: int, mod_revisions: dict[str, int], deleted: tuple[str, ...] = (), reported: tuple[str, ...] = ()
) -> FinishedJobs:
    """Return what a controller knows whose copy of the records is complete up to a revision; the view's is 20."""
    cache: Any = SimpleNamespace(
        revision=revision,
        mod_revision=lambda key: mod_revisions.get(key, 0),
        was_deleted=lambda key: key in deleted,
    )
    state: Any = SimpleNamespace(find_spec=lambda job_id: LIVE_SPEC if job_id == LIVE_JOB else None)
    membership: Any = SimpleNamespace(view_revision=20)
    return FinishedJobs(state, membership, cache, lambda job_id: job_id in reported)


def test_job_that_records_older_than_the_view_lack_is_not_finished() -> None:
    """The leader knows its own view ahead of its copy, and a copy that is read in pages may contain a newer view."""
    assert not finished_jobs(19, {}).is_finished(UNREAD_JOB)
    assert finished_jobs(20, {}).is_finished(UNREAD_JOB)


def test_job_whose_record_cannot_be_read_is_not_finished() -> None:
    assert not finished_jobs(30, {"live/job/j-3": 7}).is_finished(UNREAD_JOB)


def test_unfinished_job_is_not_finished_whatever_the_records_say() -> None:
    assert not finished_jobs(30, {}, deleted=("live/job/j-1",), reported=(LIVE_JOB,)).is_finished(LIVE_JOB)


@pytest.mark.parametrize("known", [{"deleted": ("live/job/j-3",)}, {"reported": (UNREAD_JOB,)}])
def test_job_whose_end_is_known_is_finished_with_older_records_too(known: dict[str, tuple[str, ...]]) -> None:
    assert finished_jobs(19, {}, **known).is_finished(UNREAD_JOB)


# Direct stops.


def hosts(count: int) -> list[str]:
    return [f"vm-{number}" for number in range(count)]


def test_direct_stops_have_a_bounded_number_in_flight_and_go_in_the_order_of_their_requests() -> None:
    owner = MachineOwner(KnownJobs())
    for host in hosts(40):
        owner.stops.request(heartbeat_of(host, (FINISHED_JOB, "running")))
    assert [address for address, _, _ in owner.runtime.requests] == [f"{host}:9000" for host in hosts(MAX_IN_FLIGHT)]
    owner.runtime.now = 1 * SECOND
    owner.runtime.requests[0][2](None)
    assert owner.runtime.requests[-1][0] == f"vm-{MAX_IN_FLIGHT}:9000"
    assert len(owner.runtime.requests) == MAX_IN_FLIGHT + 1


def test_direct_stops_reach_4000_machines_within_21_s_at_a_bounded_rate() -> None:
    owner = MachineOwner(KnownJobs())
    for host in hosts(4000):
        owner.stops.request(heartbeat_of(host, (FINISHED_JOB, "running")))
    answered, sent_by_second = 0, [0]
    for tenth_of_second in range(1, 210):
        owner.runtime.now = 0.1 * tenth_of_second * SECOND
        owner.stops.send_waiting()
        while answered < len(owner.runtime.requests):
            answered += 1
            owner.runtime.requests[answered - 1][2](Response(200, b"{}"))
        if tenth_of_second % 10 == 0:
            sent_by_second.append(len(owner.runtime.requests))
    increases = [after - before for before, after in itertools.pairwise(sent_by_second)]
    assert max(increases) <= MAX_PER_SECOND + MAX_BURST
    assert len({address for address, _, _ in owner.runtime.requests}) == 4000


def test_direct_stops_of_an_earlier_view_are_dropped() -> None:
    owner = MachineOwner(KnownJobs())
    for host in hosts(MAX_IN_FLIGHT + 5):
        owner.stops.request(heartbeat_of(host, (FINISHED_JOB, "running")))
    owner.stops.on_new_view(None)
    owner.stops.request(heartbeat_of("vm-90", (FINISHED_JOB, "running")))
    owner.runtime.requests[0][2](Response(200, heartbeat_body("vm-0", VIEW)))
    assert len(owner.runtime.requests) == MAX_IN_FLIGHT


def test_direct_stop_carries_the_token_and_the_epoch_and_is_not_repeated_for_its_own_response() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive_direct(heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "running")))
    ((address, request, respond),) = owner.runtime.requests
    assert address == "vm-1:9000"
    assert (request["baton"], request["tenure"]) == (VIEW, 2)
    assert [(order["verb"], order["windDownS"]) for order in request["orders"]] == [("kill", 0.0)]
    respond(Response(200, heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "flushing"), sequence_number=2)))
    assert len(owner.runtime.requests) == 1


def test_direct_stop_does_not_make_its_machine_look_unreachable() -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive_direct(heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "running")))
    owner.runtime.requests[0][2](Response(200, heartbeat_body("vm-1", VIEW, sequence_number=2)))
    owner.receive(heartbeat_body("vm-1", VIEW, (FINISHED_JOB, "ended"), sequence_number=3))
    assert not owner.shard.machines["vm-1"].is_unreachable


@pytest.mark.parametrize("tasks", [[], [(LIVE_JOB, "running")], [(FINISHED_JOB, "ended")]])
def test_agent_without_tasks_of_finished_jobs_gets_no_direct_request(tasks: list[tuple[str, str]]) -> None:
    owner = MachineOwner(KnownJobs())
    owner.receive_direct(heartbeat_body("vm-1", VIEW, *tasks))
    assert owner.runtime.requests == []
