"""The processor time by kind of work and the delays of timers, on clocks that the test sets."""

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

    def passes(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    clock = FakeClock()
    monkeypatch.setattr(time, "process_time", clock)
    return clock


def test_what_handlers_take_is_told_apart_from_the_transport(clock: FakeClock) -> None:
    statistics = ProcessStatistics()

    def socket_event() -> None:
        clock.passes(0.25)
        statistics.measure(WorkKind.HEARTBEATS, lambda: clock.passes(1.0))
        statistics.measure(WorkKind.USERS, lambda: clock.passes(0.5))

    statistics.measure(WorkKind.SOCKETS, socket_event)
    statistics.measure(WorkKind.TIMERS, lambda: clock.passes(2.0))
    found = {kind: spent.total_seconds() for kind, spent in statistics.processor_time_by_kind().items()}
    assert found == {"timers": 2.0, "reports": 1.0, "users": 0.5, "peers": 0.0, "responses": 0.0, "transport": 0.25}


def test_work_that_fails_counts_too(clock: FakeClock) -> None:
    statistics = ProcessStatistics()

    def fails() -> None:
        clock.passes(3.0)
        raise ValueError("the work fails")

    with pytest.raises(ValueError, match="the work fails"):
        statistics.measure(WorkKind.PEERS, fails)
    assert statistics.processor_time_by_kind()["peers"] == timedelta(seconds=3)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 5000)), min_size=1, max_size=60))
def test_the_worst_delay_is_that_of_a_list_of_all(timers: list[tuple[int, int]]) -> None:
    statistics, now = ProcessStatistics(), timedelta(0)
    ran: list[tuple[timedelta, timedelta]] = []
    for pause, delay in timers:
        now += timedelta(seconds=pause)
        statistics.record_timer(now, delay * MS)
        ran.append((now, delay * MS))
        assert statistics.worst_delay(now) == max(late for at, late in ran if now - at <= WORST_DELAY_WINDOW)
    assert statistics.timer_count == len(timers)
    assert statistics.total_timer_delay == sum((late for _, late in ran), timedelta(0))
    assert statistics.worst_delay(now + WORST_DELAY_WINDOW + MS) == timedelta(0)


def test_the_loop_counts_how_late_a_timer_is(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    loop.after(timedelta(seconds=1), lambda: None)
    clock.passes(1.75)
    loop.run_turn()
    assert loop.statistics.worst_delay(loop.now) == timedelta(seconds=0.75)


def test_an_event_late_in_a_long_turn_sees_how_late_it_is(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leases are renewed by the age of a proof: the time at which the turn began would make it look young."""
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    seen: list[timedelta] = []
    pairs = [socket.socketpair() for _ in range(3)]

    def event(_mask: int) -> None:
        seen.append(loop.now)
        clock.passes(2.0)

    for near, far in pairs:
        far.send(b"x")
        loop.watch(near, selectors.EVENT_READ, event)
    loop.run_turn()
    assert seen == [timedelta(seconds=number) for number in (0, 2, 4)]
    for near, far in pairs:
        near.close()
        far.close()


def test_timers_that_take_longer_than_their_pause_leave_the_sockets_their_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = FakeClock()
    monkeypatch.setattr(time, "monotonic", clock)
    loop = EventLoop()
    rounds: list[timedelta] = []

    def begin_round() -> None:
        if len(rounds) < 50:
            loop.after(timedelta(seconds=0.05), begin_round)
        rounds.append(loop.now)
        clock.passes(0.2)

    loop.after(timedelta(0), begin_round)
    loop.after(timedelta(0), begin_round)
    loop.run_turn()
    assert len(rounds) == 2, "each one once"
