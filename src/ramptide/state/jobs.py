"""A job that is not over, as the key-value store has it."""

from datetime import timedelta

from ramptide.state.records import JobRecord, Progress

__all__ = ["Job"]


class Job:
    """A job that is not over, as the key-value store has it.

    Parameters
    ----------
    job_id
        The id of the job.
    record
        Its record.
    mod_revision
        The revision of the record's last change, on which a change of it is conditional.

    Attributes
    ----------
    job_id, record, mod_revision
        As given, or updated since.
    spec
        The job's description, which never changes.
    progress
        The completed tasks that the record shows.
    submitted_at
        The wall-clock time of the submission.
    deadline
        The wall-clock time by which the job is to be complete, if it has one.

    Raises
    ------
    RecordError
        If the record is broken.
    """

    __slots__ = ("deadline", "job_id", "mod_revision", "progress", "record", "spec", "submitted_at")

    def __init__(self, job_id: str, record: JobRecord, mod_revision: int) -> None:
        self.job_id = job_id
        self.spec = record.spec
        self.submitted_at = record.submitted_at
        self.deadline = (
            None if self.spec.deadline_s is None else self.submitted_at + timedelta(seconds=self.spec.deadline_s)
        )
        self.update(record, mod_revision)

    def update(self, record: JobRecord, mod_revision: int) -> None:
        """Take a newer version of the record.

        Raises
        ------
        RecordError
            If the record is broken; the job stays as it was then.
        """
        # First what can fail, so that a broken record changes nothing.
        self.progress = Progress.decode(record.progress)
        self.record = record
        self.mod_revision = mod_revision
