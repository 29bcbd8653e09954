"""How long jobs wait because their controller's share of a team's limit is too small although the limit has room."""

from datetime import timedelta

from hdrh.histogram import HdrHistogram

LOWEST_MS, HIGHEST_MS = 1, 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0)
MILLISECOND = timedelta(milliseconds=1)


class ShareWaits:
    """The waits under way, and a histogram of those that are over."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        self._since: dict[str, timedelta] = {}
        self.total = timedelta(0)

    def review(self, short: set[str], now: timedelta) -> None:
        """Take the jobs that wait for share now; the waits of all others are over."""
        for job_id in self._since.keys() - short:
            waited = now - self._since.pop(job_id)
            self.total += waited
            self._histogram.record_value(min(max(round(waited / MILLISECOND), LOWEST_MS), HIGHEST_MS))
        for job_id in short - self._since.keys():
            self._since[job_id] = now

    def forget(self) -> None:
        """Drop the waits under way: their jobs may have another scheduler in the next view."""
        self._since.clear()

    @property
    def count(self) -> int:
        """How many waits are over."""
        return int(self._histogram.get_total_count())

    def percentiles(self) -> dict[float, float]:
        """Return the seconds within which so many percent of the waits were over; empty before the first."""
        if not self.count:
            return {}
        return {one: self._histogram.get_value_at_percentile(one) / 1000 for one in PERCENTILES}
