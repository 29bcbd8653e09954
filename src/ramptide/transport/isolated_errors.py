"""Errors in the work for one job, machine or record, which are kept from ending the work for all others."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

__all__ = ["ERROR_COUNTER", "IsolatedErrors"]

log = logging.getLogger(__name__)

#: The name of the counter of the errors.
ERROR_COUNTER = "isolated_errors"
#: How long errors of the same work for the same subject are not logged again.
LOG_INTERVAL = timedelta(minutes=1)
#: The highest number of logged errors that are remembered; then all are forgotten.
MAX_REMEMBERED = 1000


class Clock(Protocol):
    """The part of the runtime that tells the time."""

    @property
    def now(self) -> timedelta:
        """The monotonic time."""


class IsolatedErrors:
    """Counts and logs exceptions of work that is left out so that other work goes on.

    Safety does not rest on the work that is left out: a task is started only where its start was decided as a whole.

    Parameters
    ----------
    counters
        The counters of the metrics, of which `ERROR_COUNTER` is incremented.
    """

    def __init__(self, clock: Clock, counters: Counter[str]) -> None:
        self._clock = clock
        self._counters = counters
        self._logged_at: dict[tuple[str, str], timedelta] = {}

    def record(self, work: str, subject: str) -> None:
        """Record the exception that is being handled: the work for a job, machine or record that it has ended."""
        self._counters[ERROR_COUNTER] += 1
        now, key = self._clock.now, (work, subject)
        logged_at = self._logged_at.get(key)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            return
        if len(self._logged_at) >= MAX_REMEMBERED:
            self._logged_at.clear()
        self._logged_at[key] = now
        log.exception("work left out: work=%r subject=%r", work, subject)

    def run(self, work: str, subject: str, action: Callable[[], object]) -> None:
        """Run an action, and record the exception that it raises, if any."""
        try:
            action()
        except Exception:
            self.record(work, subject)
