"""The log lines and counters of heartbeats and stops, whose number must not grow with the fleet."""

import logging
from datetime import timedelta

import pytest

from ramptide.agents.statistics import AgentStatistics, HeartbeatOutcome, StopOutcome

MACHINES = 4000


def test_one_line_a_second_stands_for_the_stops_on_thousands_of_machines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="ramptide.agents.statistics")
    statistics = AgentStatistics()
    for tenth_of_second in range(20):
        for number in range(MACHINES // 10):
            statistics.record_stops(StopOutcome.SENT_IN_REPLY, f"vm-{number}", [f"j-{number}/0"])
        statistics.write_log(7, timedelta(seconds=tenth_of_second / 10))
    assert len(caplog.messages) == 2
    assert caplog.messages[0].startswith("task stops: outcome=sent_in_reply view=7 tasks=400 examples='j-0/0 on vm-0, ")
    assert caplog.messages[0].count(" on vm-") == 10
    assert "tasks=4000 " in caplog.messages[1]
    assert statistics.stops[StopOutcome.SENT_IN_REPLY] == 2 * MACHINES


def test_refused_heartbeats_are_logged_by_outcome_and_accepted_ones_only_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, logger="ramptide.agents.statistics")
    statistics = AgentStatistics()
    statistics.record_heartbeat(HeartbeatOutcome.ACCEPTED, "vm-1")
    statistics.record_heartbeat(HeartbeatOutcome.NO_AUTHORITY, "vm-2")
    statistics.record_heartbeat(HeartbeatOutcome.NO_AUTHORITY, "vm-3")
    statistics.write_log(7, timedelta(seconds=1))
    statistics.write_log(7, timedelta(seconds=2))
    assert caplog.messages == [
        "heartbeats refused: outcome=no_authority view=7 heartbeats=2 examples='vm-2, vm-3'",
    ]
    assert statistics.heartbeats[HeartbeatOutcome.ACCEPTED] == 1
