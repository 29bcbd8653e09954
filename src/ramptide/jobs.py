"""A job that is not over, as the state service has it."""

from datetime import timedelta

from ramptide.records import JobRecord, Progress


class Job:
    """A job that is not over, as the state service has it."""

    __slots__ = ("ref", "run", "record", "stamp", "progress", "submitted", "due")

    def __init__(self, ref: str, record: JobRecord, stamp: int) -> None:
        self.ref = ref
        self.run = record.run
        self.submitted = record.submitted
        self.due = None if self.run.due_s is None else self.submitted + timedelta(seconds=self.run.due_s)
        self.update(record, stamp)

    def update(self, record: JobRecord, stamp: int) -> None:
        """Take a newer version of the record; a broken one raises an error and changes nothing."""
        # First what can fail, so that a broken record changes nothing.
        self.progress = Progress.decode(record.done)
        self.record = record
        self.stamp = stamp
