"""The state of one machine as a controller knows it, whichever member owns the machine."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.cluster.machine_status import MachineStatus
from ramptide.state.task_state import FINISHED_PHASE_NAMES, TaskRow

__all__ = ["ObservedMachine", "active_job_ids"]

NO_TIME = timedelta(0)


def active_job_ids(tasks: Iterable[TaskRow]) -> list[str]:
    """Return the job ids of the attempts that may run or hold room, one entry per attempt."""
    return [job_id for job_id, _, _, phase, _ in tasks if phase not in FINISHED_PHASE_NAMES]


@dataclass(slots=True)
class ObservedMachine:
    """The status of a machine as its owner last reported it; moments are on the monotonic clock.

    Attributes
    ----------
    is_reported
        Whether its owner has reported its status in this view.
    is_reconciled, is_up, is_draining, failed_jobs, consecutive_failures, heartbeat_held, images, tasks
        See `MachineStatus`.
    has_missed_heartbeats
        Whether heartbeats are missing.
    heard_at
        When its owner received the last heartbeat; the time of the status when no heartbeat is missing.
    preempted_at
        When the cloud preempts it; None without a preemption notice.
    unreachable_since
        Since when the replies of its owner have not reached it; None while they reach it.
    active_tasks
        The number of attempts that may run or hold room.
    all_tasks_known
        Whether every task that runs there is counted by some scheduler, see `MachineIndex.check_all_tasks_known`.
    unconfirmed_since
        Since when a task of a finished job may be there without a later heartbeat that shows it gone; None when no such
        task can be there.
    is_unconfirmed_since_assumed
        Whether `unconfirmed_since` is an assumption about the time before this process started, rather than observed.
    """

    is_reconciled: bool = False
    is_up: bool = False
    is_draining: bool = False
    has_missed_heartbeats: bool = False
    heard_at: timedelta = NO_TIME
    preempted_at: timedelta | None = None
    failed_jobs: list[str] = field(default_factory=list)
    consecutive_failures: int = 0
    unreachable_since: timedelta | None = None
    heartbeat_held: bool = False
    images: list[str] = field(default_factory=list)
    tasks: list[TaskRow] = field(default_factory=list)
    active_tasks: int = 0
    is_reported: bool = False
    all_tasks_known: bool = False
    unconfirmed_since: timedelta | None = None
    is_unconfirmed_since_assumed: bool = False

    def without_status(self) -> "ObservedMachine":
        """Return a copy without the reported status, which keeps the images and the unconfirmed terminations."""
        return ObservedMachine(
            images=self.images,
            unconfirmed_since=self.unconfirmed_since,
            is_unconfirmed_since_assumed=self.is_unconfirmed_since_assumed,
        )

    @property
    def is_silent(self) -> bool:
        """Whether its owner has reported that heartbeats of it are missing, or that none has arrived in this view.

        A machine without any heartbeat in this view is not silent while `unconfirmed_since` is only assumed. Where this
        controller has observed the task, the wait for a heartbeat need not start anew under each owner.
        """
        return self.is_reported and (
            self.has_missed_heartbeats or (not self.is_up and not self.is_unconfirmed_since_assumed)
        )

    @property
    def recently_failed_jobs(self) -> list[str]:
        """The jobs that failed there since the last success of any task."""
        return self.failed_jobs[len(self.failed_jobs) - self.consecutive_failures :]

    def apply_status(self, status: MachineStatus, now: timedelta) -> None:
        """Apply a status except for its failed jobs and tasks, which `MachineIndex` sets and indexes."""
        self.is_reported = True
        self.is_reconciled = status.is_reconciled
        self.is_up = status.is_up
        self.is_draining = status.is_draining
        self.has_missed_heartbeats = status.silent_s > 0
        self.heard_at = now - timedelta(seconds=status.silent_s)
        notice_s, unreachable_s = status.preemption_notice_s, status.unreachable_s
        self.preempted_at = None if notice_s is None else now + timedelta(seconds=notice_s)
        self.unreachable_since = None if unreachable_s is None else now - timedelta(seconds=unreachable_s)
        self.heartbeat_held = status.heartbeat_held
        self.images = status.images

    def set_tasks(self, tasks: list[TaskRow]) -> None:
        """Replace the attempts that its owner reports."""
        self.tasks = tasks
        self.active_tasks = len(active_job_ids(tasks))
