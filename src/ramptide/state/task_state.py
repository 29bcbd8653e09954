"""The phases of a task's attempts, the states that schedulers ask for, and how both stand in messages."""

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
# Typed closely, so that a broken message between controllers is refused as a whole before anything of it is taken.
PhaseName = Literal["queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone"]
DesiredStateName = Literal["run", "stop", "reap"]
#: Job id, task index, attempt, phase and the cause of an end, as an owner tells the other controllers.
TaskRow = tuple[str, Count, Count, PhaseName, str | None]
#: Job id, task index, attempt, desired state and the grace period in seconds, as a scheduler asks an owner for it.
DesiredTaskRow = tuple[str, Count, Count, DesiredStateName, Amount]


class Phase(Enum):
    """Where one attempt of a task is, as its machine's owner knows; `label` is its name in messages."""

    # Members are single objects; Enum's own hash, of the name, shows in profiles, as does its `value`.
    __hash__ = object.__hash__

    def __init__(self, label: PhaseName) -> None:
        self.label: PhaseName = label

    #: The command to start it was not sent yet.
    QUEUED = "queued"
    #: The command to start it was sent.
    SENT = "sent"
    #: The agent reports that it fetches the image.
    FETCHING = TaskStatus.FETCHING.value
    #: The agent reports that it runs.
    RUNNING = TaskStatus.RUNNING.value
    #: The agent reports that it saves its progress before it stops.
    CHECKPOINTING = TaskStatus.CHECKPOINTING.value
    #: The agent reports that it ended, and keeps the result until it may be reaped.
    ENDED = TaskStatus.ENDED.value
    #: It was never started: refused by the owner, as the job is unknown, or the machine is full or unreachable.
    REFUSED = "refused"
    #: It is certainly not on the machine any more.
    GONE = "gone"


RUNNING_PHASE_NAME = Phase.RUNNING.label
PHASE_BY_NAME: dict[str, Phase] = {phase.label: phase for phase in Phase}

#: The attempt holds no room and is certainly not running on the machine.
FINISHED_PHASES = frozenset({Phase.ENDED, Phase.REFUSED, Phase.GONE})
FINISHED_PHASE_NAMES = frozenset(phase.label for phase in FINISHED_PHASES)
#: A heartbeat of the agent has shown the attempt.
REPORTED_PHASES = frozenset({Phase.FETCHING, Phase.RUNNING, Phase.CHECKPOINTING, Phase.ENDED})


class DesiredState(Enum):
    """What the job's scheduler asks for; `label` is its name in messages."""

    def __init__(self, label: DesiredStateName) -> None:
        self.label: DesiredStateName = label

    RUN = "run"
    #: To end, within its grace period.
    STOP = "stop"
    #: To end, and to be forgotten by the agent then: its result is recorded, or nobody wants it.
    REAP = "reap"


@dataclass(slots=True)
class TaskEntry:
    """One attempt of a task on a machine, as the machine's owner keeps it.

    Attributes
    ----------
    job_id, task_index, attempt
        Which attempt it is.
    phase
        Where it is.
    spec
        The job's description; None while the job is not known.
    desired
        What is asked of it; None before its scheduler has asked.
    requested_by
        The controller whose scheduler asked for the attempt.
    grace
        The grace period: how long it may go on after it was told to stop.
    cause
        Why it ended, as the agent reports it.
    stop_sent_at
        When the command to stop it was first sent; its grace period runs from then.
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
