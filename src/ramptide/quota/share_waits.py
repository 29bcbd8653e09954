"""Measures how long jobs wait for share: their controller's share is too small, although the team's limit has room."""

from datetime import timedelta

from hdrh.histogram import HdrHistogram

LOWEST_MS, HIGHEST_MS = 1, 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0)
MILLISECOND = timedelta(milliseconds=1)


class ShareWaits:
    """The current waits, and a histogram of those that have ended."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        self._waiting_since: dict[str, timedelta] = {}
        self.total = timedelta(0)

    def update(self, waiting: set[str], now: timedelta) -> None:
        """Record the jobs that wait for share now, and end the waits of all other jobs."""
        for job_id in self._waiting_since.keys() - waiting:
            waited = now - self._waiting_since.pop(job_id)
            self.total += waited
            self._histogram.record_value(min(max(round(waited / MILLISECOND), LOWEST_MS), HIGHEST_MS))
        for job_id in waiting - self._waiting_since.keys():
            self._waiting_since[job_id] = now

    def discard_current(self) -> None:
        """Discard the current waits, whose jobs may have another scheduler in the next view."""
        self._waiting_since.clear()

    @property
    def count(self) -> int:
        """How many waits have ended."""
        return int(self._histogram.get_total_count())

    def percentiles(self) -> dict[float, float]:
        """Return, by percentage, the seconds within which that part of the waits ended; empty while none has ended."""
        if not self.count:
            return {}
        return {percent: self._histogram.get_value_at_percentile(percent) / 1000 for percent in PERCENTILES}
