"""Log lines that stand for many events of one kind, so that their number does not grow with the fleet."""

from datetime import timedelta

__all__ = ["MAX_EXAMPLES", "PendingLine"]

#: The number of events that a line names.
MAX_EXAMPLES = 10


class PendingLine:
    """The events of one kind that the next log line will stand for.

    Parameters
    ----------
    interval
        The shortest time between two lines.

    Attributes
    ----------
    count
        The number of events since the previous line.
    """

    def __init__(self, interval: timedelta) -> None:
        self._interval = interval
        self._logged_at: timedelta | None = None
        self.count = 0
        self._examples: list[str] = []

    def add(self, example: str) -> None:
        """Count an event, and keep the example if the line names few others so far."""
        self.count += 1
        if len(self._examples) < MAX_EXAMPLES:
            self._examples.append(example)

    def is_due(self, now: timedelta) -> bool:
        """Return whether there was an event, and the previous line is long enough ago."""
        return self.count > 0 and (self._logged_at is None or now - self._logged_at >= self._interval)

    def restart(self, now: timedelta) -> None:
        """Begin a new line after the previous one was logged."""
        self._logged_at, self.count = now, 0
        self._examples.clear()

    def examples(self) -> str:
        """Return the examples as one text."""
        return ", ".join(self._examples)
