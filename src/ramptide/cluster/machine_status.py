"""The status of a machine as its owner reports it to the other controllers."""

from typing import Annotated

import msgspec

from ramptide.protocol.types import Count, Seconds
from ramptide.state.task_state import TaskRow

__all__ = ["FAILED_JOBS_KEPT", "MachineStatus"]

#: Jobs that a machine's status names as failed there: the message stays small however many jobs were submitted with a
#: mistake.
FAILED_JOBS_KEPT = 8


class MachineStatus(msgspec.Struct, array_like=True, frozen=True):
    """A machine's status at the moment of the message.

    It is encoded as an array in the order of the fields.

    Attributes
    ----------
    is_reconciled
        Whether no reply of an earlier view can be carried out there any more.
    is_up
        Whether a heartbeat has come from it in this view.
    is_draining
        Whether it is to be given back when its tasks have ended.
    silent_s
        The seconds since its last heartbeat when heartbeats are missing, else 0.
    preemption_notice_s
        The seconds until the cloud takes it back; None without a notice.
    failed_jobs
        The last different jobs that failed there, the latest last.
    consecutive_failures
        How many of the last `failed_jobs` failed with no success there since.
    unreachable_s
        The seconds since when our replies do not reach it while its heartbeats come; None when they do.
    heartbeat_held
        Whether a heartbeat of it waits for our reply, so that a command can be sent at once.
    images
        The images that its agent has, the most recently used last.
    tasks
        Its attempts.
    address
        Where its agent can be called.
    """

    is_reconciled: bool
    is_up: bool
    is_draining: bool
    silent_s: Seconds
    preemption_notice_s: Seconds | None
    failed_jobs: Annotated[list[str], msgspec.Meta(max_length=FAILED_JOBS_KEPT)]
    consecutive_failures: Count
    unreachable_s: Seconds | None
    heartbeat_held: bool
    images: list[str]
    tasks: list[TaskRow]
    address: str | None = None
