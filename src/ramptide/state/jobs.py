"""A job that is not over, as the state service has it."""

from datetime import timedelta

from ramptide.state.records import JobRecord, Progress


class Job:
    """A job that is not over, as the state service has it."""

    __slots__ = ("job_id", "spec", "record", "mod_revision", "progress", "submitted_at", "deadline")

    def __init__(self, job_id: str, record: JobRecord, mod_revision: int) -> None:
        self.job_id = job_id
        self.spec = record.spec
        self.submitted_at = record.submitted_at
        self.deadline = (
            None if self.spec.deadline_s is None else self.submitted_at + timedelta(seconds=self.spec.deadline_s)
        )
        self.update(record, mod_revision)

    def update(self, record: JobRecord, mod_revision: int) -> None:
        """Take a newer version of the record; a broken one raises an error and changes nothing."""
        # First what can fail, so that a broken record changes nothing.
        self.progress = Progress.decode(record.progress)
        self.record = record
        self.mod_revision = mod_revision
