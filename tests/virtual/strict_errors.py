"""Errors of parts that are tested alone: they end the test."""

from ramptide.transport.isolated_errors import IsolatedErrors


class StrictErrors(IsolatedErrors):
    """Raises each error that a controller would record."""

    def __init__(self) -> None:
        """Take no clock and no counters, as nothing is recorded."""

    def record(self, work: str, subject: str) -> None:
        """Raise the exception that is being handled."""
        raise AssertionError(f"{work} of {subject} failed")
