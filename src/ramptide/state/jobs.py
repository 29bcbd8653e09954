"""Unfinished jobs, as the key-value store holds them."""

from datetime import timedelta

from ramptide.state.records import JobRecord, Progress

__all__ = ["Job"]


class Job:
    """An unfinished job, as the key-value store holds it.

    Parameters
    ----------
    job_id
        The id of the job.
    record
        The record of the job.
    mod_revision
        The revision of the record's last change, on which further changes of the record are conditional.

    Attributes
    ----------
    job_id, record, mod_revision
        As given to the constructor or to the last `update`.
    spec
        The job's description, which never changes.
    progress
        The set of completed tasks in the record.
    submitted_at
        The wall-clock time of the submission.
    deadline
        The wall-clock time by which the job is to be complete; None without a deadline.

    Raises
    ------
    RecordError
        If the record is malformed.
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
        """Replace the record by a newer version.

        Raises
        ------
        RecordError
            If the record is malformed; the job is then left unchanged.
        """
        # The decoding comes first as it can fail, so that a malformed record changes nothing.
        self.progress = Progress.decode(record.progress)
        self.record = record
        self.mod_revision = mod_revision
