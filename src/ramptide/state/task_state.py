"""The phases of attempts of tasks, the states that schedulers request, and the forms of both in messages."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Literal

from ramptide.protocol.agents import TaskStatus
from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.types import Amount, Count

__all__ = [
    "FINISHED_PHASES",
    "FINISHED_PHASE_NAMES",
    "NO_TIME",
    "PHASE_BY_NAME",
    "REPORTED_PHASES",
    "RUNNING_PHASE_NAME",
    "DesiredState",
    "DesiredStateName",
    "DesiredTaskRow",
    "Phase",
    "PhaseName",
    "TaskEntry",
    "TaskKey",
    "TaskRow",
]

NO_TIME = timedelta(0)

#: Job id, task index and attempt number.
TaskKey = tuple[str, int, int]
# The names are literal types, so that a malformed message between controllers is refused as a whole, before any part of
# it is applied.
PhaseName = Literal["queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone"]
DesiredStateName = Literal["run", "stop", "reap"]
#: Job id, task index, attempt number, phase and cause of the end, as an owner reports them to other controllers.
TaskRow = tuple[str, Count, Count, PhaseName, str | None]
#: Job id, task index, attempt number, desired state and grace period in seconds, as a scheduler requests from an owner.
DesiredTaskRow = tuple[str, Count, Count, DesiredStateName, Amount]


class Phase(Enum):
    """The phase of an attempt of a task, as the owner of its machine knows it; `label` is its name in messages."""

    # Members are singletons, so that the identity hash is correct. The hash of Enum, which hashes the name, and the
    # access to its `value` are slow enough to show in profiles.
    __hash__ = object.__hash__

    def __init__(self, label: PhaseName) -> None:
        self.label: PhaseName = label

    #: The owner has not sent the command to start the attempt yet.
    QUEUED = "queued"
    #: The owner has sent the command to start the attempt.
    SENT = "sent"
    #: The agent reports that it is fetching the image.
    FETCHING = TaskStatus.FETCHING.value
    #: The agent reports that the attempt is running.
    RUNNING = TaskStatus.RUNNING.value
    #: The agent reports that the attempt is saving its progress before it stops.
    CHECKPOINTING = TaskStatus.CHECKPOINTING.value
    #: The agent reports that the attempt has ended, and keeps the result until the attempt may be reaped.
    ENDED = TaskStatus.ENDED.value
    #: The attempt was never started: the owner refused it, as the job is unknown or the machine full or unreachable.
    REFUSED = "refused"
    #: The attempt is certainly no longer on the machine.
    GONE = "gone"


RUNNING_PHASE_NAME = Phase.RUNNING.label
PHASE_BY_NAME: dict[str, Phase] = {phase.label: phase for phase in Phase}

#: Phases in which the attempt holds no room and is certainly not running on the machine.
FINISHED_PHASES = frozenset({Phase.ENDED, Phase.REFUSED, Phase.GONE})
FINISHED_PHASE_NAMES = frozenset(phase.label for phase in FINISHED_PHASES)
#: Phases that a heartbeat of the agent has reported.
REPORTED_PHASES = frozenset({Phase.FETCHING, Phase.RUNNING, Phase.CHECKPOINTING, Phase.ENDED})


class DesiredState(Enum):
    """The state that the job's scheduler requests for an attempt; `label` is its name in messages."""

    def __init__(self, label: DesiredStateName) -> None:
        self.label: DesiredStateName = label

    RUN = "run"
    #: The attempt is to end within its grace period.
    STOP = "stop"
    #: The attempt is to end, and its agent is then to forget it: its result is recorded, or is not needed.
    REAP = "reap"


@dataclass(slots=True)
class TaskEntry:
    """An attempt of a task on a machine, as the owner of the machine keeps it.

    Attributes
    ----------
    job_id, task_index, attempt
        The key of the attempt.
    phase
        The phase of the attempt.
    spec
        The job's description; None while the job is not known.
    desired
        The state that its scheduler requests; None before the first request.
    requested_by
        The controller whose scheduler requested the attempt; None when no request has been received.
    grace
        The grace period: how long the attempt may continue after the command to stop it.
    cause
        The cause of its end, as the agent reports it; None before the end.
    stop_sent_at
        When the command to stop it was first sent, from which the grace period runs; None before that.
    """

    job_id: str
    task_index: int
    attempt: int
    phase: Phase
    spec: JobSpec | None
    desired: DesiredState | None = None
    requested_by: str | None = None
    grace: timedelta = NO_TIME
    cause: str | None = None
    stop_sent_at: timedelta | None = None
