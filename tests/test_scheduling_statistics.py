"""The log lines and counters of handovers, starts and attempts, whose number must not grow with the fleet."""

import logging
from datetime import timedelta

import pytest

from ramptide.agents.statistics import AgentStatistics
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
from virtual import leader_of, started_world

STARTS = 4000


def test_one_line_a_second_stands_for_thousands_of_starts(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    statistics, agent_statistics = SchedulingStatistics(), AgentStatistics()
    for tenth_of_second in range(20):
        for number in range(STARTS // 10):
            statistics.record(SchedulingEvent.START, f"j-{number}/0 attempt 7 on vm-{number}")
            agent_statistics.record_start(f"vm-{number}", f"j-{number}/0", 7, "c1")
        for written in (statistics, agent_statistics):
            written.write_log(3, timedelta(seconds=tenth_of_second / 10))
    assert len(caplog.messages) == 4
    first, first_sent, second, second_sent = caplog.messages
    assert first.startswith("scheduling: event=start view=3 count=400 examples='j-0/0 attempt 7 on vm-0, ")
    assert first_sent.startswith("task starts: view=3 tasks=400 examples='j-0/0 attempt 7 on vm-0 for c1, ")
    assert [line.count(" on vm-") for line in caplog.messages] == [10] * 4
    assert "count=4000 " in second
    assert "tasks=4000 " in second_sent
    assert (statistics.events[SchedulingEvent.START], agent_statistics.starts) == (2 * STARTS, 2 * STARTS)


def test_log_tells_who_handed_a_job_over_and_on_which_messages_its_new_scheduler_relies(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    world = started_world(3)
    leader = leader_of(world)
    former = next(name for name in world.controller_names if name != leader)
    world.define_job("j-1", pieces=30, cores=4.0, guessS=6.0)
    assert world.submit_until_accepted("j-1", former)
    entry = world.store.entries["live/job/j-1"]
    world.store.put("live/job/j-1", entry.value | {"home": former}, entry.lease_id)
    assert world.run_until(lambda: world.is_done("j-1"), 100)
    (handed_over,) = [line for line in caplog.messages if "event=handed_over " in line]
    (taken_over,) = [line for line in caplog.messages if "event=taken_over " in line]
    (proven,) = [line for line in caplog.messages if "event=handover_proven " in line]
    assert any("event=assigned " in line and "j-1 at revision " in line for line in caplog.messages)
    assert f"j-1 to {leader} after message " in handed_over
    assert " of view 1 waited 1." in handed_over
    assert f"j-1 from {former} at revision " in taken_over
    assert f"j-1 from {former} at revision " in proven
    assert all(f"{name}:" in proven for name in world.controller_names)
    assert any("event=start " in line and "j-1/0 attempt " in line for line in caplog.messages)
    assert any(line.startswith("task starts: ") and f" for {leader}" in line for line in caplog.messages)
