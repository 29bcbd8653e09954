"""The processor time by kind of work, the delays of timers and the clock of the event loop.

The tests set the clocks themselves. They guard against statistics that miss or misattribute time, against events that
are based on an old time because the turn of the loop is long, and against slow timers that keep sockets waiting.
"""

import selectors
import socket
import time
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.transport.event_loop import EventLoop
from ramptide.transport.process_statistics import WORST_DELAY_WINDOW, ProcessStatistics, WorkKind

MS = timedelta(milliseconds=1)


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    clock = FakeClock()
    monkeypatch.setattr(time, "process_time", clock)
    return clock


def test_processor_time_of_handlers_is_not_counted_as_transport(clock: FakeClock) -> None:
    statistics = ProcessStatistics()

    def handle_socket_event() -> None:
        clock.advance(0.25)
        statistics.measure(WorkKind.HEARTBEATS, lambda: clock.advance(1.0))
        statistics.measure(WorkKind.USERS, lambda: clock.advance(0.5))

    statistics.measure(WorkKind.SOCKETS, handle_socket_event)
    statistics.measure(WorkKind.TIMERS, lambda: clock.advance(2.0))
    seconds_by_kind = {
        kind: processor_time.total_seconds() for kind, processor_time in statistics.processor_time_by_kind().items()
    }
    assert seconds_by_kind == {
        "timers": 2.0,
        "reports": 1.0,
        "users": 0.5,
        "peers": 0.0,
        "responses": 0.0,
        "transport": 0.25,
    }


def test_processor_time_is_counted_when_the_work_raises(clock: FakeClock) -> None:
    statistics = ProcessStatistics()

    def fail() -> None:
        clock.advance(3.0)
        raise ValueError("the work fails")

    with pytest.raises(ValueError, match="the work fails"):
        statistics.measure(WorkKind.PEERS, fail)
    assert statistics.processor_time_by_kind()["peers"] == timedelta(seconds=3)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 5000)), min_size=1, max_size=60))
def test_worst_delay_equals_the_maximum_of_all_delays_in_the_window(timers: list[tuple[int, int]]) -> None:
    statistics, now = ProcessStatistics(), timedelta(0)
    called: list[tuple[timedelta, timedelta]] = []
    for pause_s, delay_ms in timers:
        now += timedelta(seconds=pause_s)
        statistics.record_timer(now, delay_ms * MS)
        called.append((now, delay_ms * MS))
        assert statistics.worst_delay(now) == max(
            delay for called_at, delay in called if now - called_at <= WORST_DELAY_WINDOW
        )
    assert statistics.timer_count == len(timers)
    assert statistics.total_timer_delay == sum((delay for _, delay in called), timedelta(0))
    assert statistics.worst_delay(now + WORST_DELAY_WINDOW + MS) == timedelta(0)


def test_event_loop_records_the_delay_of_a_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    loop.after(timedelta(seconds=1), lambda: None)
    clock.advance(1.75)
    loop.run_turn()
    assert loop.statistics.worst_delay(loop.now) == timedelta(seconds=0.75)


def test_each_event_of_a_long_turn_sees_the_current_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leases are renewed by the age of a proof: counted up to the start of the turn, the age would be too low."""
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    times_seen: list[timedelta] = []
    pairs = [socket.socketpair() for _ in range(3)]

    def handle_event(_mask: int) -> None:
        times_seen.append(loop.now)
        clock.advance(2.0)

    for local, remote in pairs:
        remote.send(b"x")
        loop.watch(local, selectors.EVENT_READ, handle_event)
    loop.run_turn()
    assert times_seen == [timedelta(seconds=number) for number in (0, 2, 4)]
    for local, remote in pairs:
        local.close()
        remote.close()


def test_each_timer_is_called_once_a_turn_when_it_takes_longer_than_its_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer that becomes due again meanwhile waits for the next turn, so that it does not keep sockets waiting."""
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    round_times: list[timedelta] = []

    def run_round() -> None:
        if len(round_times) < 50:
            loop.after(timedelta(seconds=0.05), run_round)
        round_times.append(loop.now)
        clock.advance(0.2)

    loop.after(timedelta(0), run_round)
    loop.after(timedelta(0), run_round)
    loop.run_turn()
    assert len(round_times) == 2, "each timer is called once"
