"""What a controller knows of one machine, its own or another member's."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.cluster.machine_status import MachineStatus
from ramptide.state.task_state import FINISHED_PHASE_NAMES, TaskRow

__all__ = ["ObservedMachine", "active_jobs"]

ZERO = timedelta(0)


def active_jobs(tasks: Iterable[TaskRow]) -> list[str]:
    """Return the job of each attempt that may run or hold room: one entry an attempt."""
    return [job_id for job_id, _, _, phase, _ in tasks if phase not in FINISHED_PHASE_NAMES]


@dataclass(slots=True)
class ObservedMachine:
    """A machine's status as its owner reported it last; moments are of the monotonic clock.

    Attributes
    ----------
    is_reported
        Whether its owner has reported its status in this view.
    is_reconciled, is_up, is_draining, failed_jobs, consecutive_failures, heartbeat_held, images, tasks
        As in `MachineStatus`.
    missed_heartbeats
        Whether heartbeats are missing.
    heard_at
        When its owner had the last heartbeat; the moment of the status when none is missing.
    preempted_at
        When the cloud takes it back; None without a notice.
    unreachable_since
        Since when its owner's replies do not reach it; None when they do.
    active_tasks
        How many of the tasks may run or hold room.
    all_tasks_known
        Whether all that runs there is counted by some scheduler, see `MachineIndex.check_all_tasks_known`.
    unconfirmed_since
        Since when a task of a finished job may be there with no heartbeat that shows it gone.
    is_assumed
        Whether `unconfirmed_since` is the assumption of a process that was not there before, and not what it saw.
    """

    is_reconciled: bool = False
    is_up: bool = False
    is_draining: bool = False
    missed_heartbeats: bool = False
    heard_at: timedelta = ZERO
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
    is_assumed: bool = False

    def successor(self) -> "ObservedMachine":
        """Return what is known in a new view: the images, and which terminations are unconfirmed."""
        return ObservedMachine(images=self.images, unconfirmed_since=self.unconfirmed_since, is_assumed=self.is_assumed)

    @property
    def is_silent(self) -> bool:
        """Whether its owner reports it and has had no heartbeat from it for long.

        A task that was seen there by this controller need not be waited for anew under each owner.
        """
        return self.is_reported and (self.missed_heartbeats or (not self.is_up and not self.is_assumed))

    @property
    def recently_failed_jobs(self) -> list[str]:
        """The jobs that failed there with no success since."""
        return self.failed_jobs[len(self.failed_jobs) - self.consecutive_failures :]

    def apply(self, status: MachineStatus, now: timedelta) -> None:
        """Take all of a status but the failed jobs and the tasks, which are indexed with them."""
        self.is_reported = True
        self.is_reconciled = status.is_reconciled
        self.is_up = status.is_up
        self.is_draining = status.is_draining
        self.missed_heartbeats = status.silent_s > 0
        self.heard_at = now - timedelta(seconds=status.silent_s)
        notice_s, unreachable_s = status.preemption_notice_s, status.unreachable_s
        self.preempted_at = None if notice_s is None else now + timedelta(seconds=notice_s)
        self.unreachable_since = None if unreachable_s is None else now - timedelta(seconds=unreachable_s)
        self.heartbeat_held = status.heartbeat_held
        self.images = status.images

    def set_tasks(self, tasks: list[TaskRow]) -> None:
        """Take the attempts that its owner shows."""
        self.tasks = tasks
        self.active_tasks = len(active_jobs(tasks))
