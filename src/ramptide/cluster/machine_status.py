"""The status of a machine as its owner reports it to the other controllers."""

from typing import Annotated

import msgspec

from ramptide.protocol.types import Count, Seconds
from ramptide.state.task_state import TaskRow

__all__ = ["FAILED_JOBS_KEPT", "MachineStatus"]

#: The maximum number of failed jobs in the status of a machine, so that messages stay small however many faulty jobs
#: are submitted.
FAILED_JOBS_KEPT = 8


class MachineStatus(msgspec.Struct, array_like=True, frozen=True):
    """The status of a machine at the moment of the message.

    The status is encoded as an array in the order of the fields.

    Attributes
    ----------
    is_reconciled
        Whether the machine can no longer carry out a reply of an earlier view.
    is_up
        Whether its owner has received a heartbeat of it in this view.
    is_draining
        Whether it is to be returned to the cloud when its tasks have ended.
    silent_s
        The seconds since its last heartbeat when heartbeats are missing; otherwise 0.
    preemption_notice_s
        The seconds until the cloud preempts it; None without a preemption notice.
    failed_jobs
        The last distinct jobs that failed there, the latest one last.
    consecutive_failures
        How many of the last `failed_jobs` failed since the last success of any task there.
    unreachable_s
        For how many seconds the replies of its owner have not reached it while its heartbeats arrive; None while they
        reach it.
    heartbeat_held
        Whether its owner holds back the reply to a heartbeat, with which a command can be sent at once.
    images
        The images that its agent has cached, the most recently used one last.
    tasks
        The attempts on it.
    address
        The address of its agent; None while it is unknown.
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
