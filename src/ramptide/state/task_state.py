"""The phases of a task's attempts, what may be asked for them, and how both are written in messages."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Literal

from ramptide.protocol.agents import TaskStatus
from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.types import Amount, Count

NO_TIME = timedelta(0)

#: Job reference, task number and attempt number.
TaskKey = tuple[str, int, int]
# Typed closely, so that a broken message between controllers is refused as a whole before anything of it is taken.
PhaseName = Literal["queued", "sent", "fetching", "running", "flushing", "ended", "refused", "gone"]
DesiredStateName = Literal["run", "stop", "reap"]
#: Job, task, attempt, phase and the cause of an end, as an owner tells the other controllers.
TaskRow = tuple[str, Count, Count, PhaseName, str | None]
#: Job, task, attempt, desired state and the seconds of grace, as a scheduler asks an owner for it.
DesiredTaskRow = tuple[str, Count, Count, DesiredStateName, Amount]


class Phase(Enum):
    """Where one attempt of a task is, as its machine's owner knows."""

    # Members are single objects; Enum's own hash, of the name, shows in profiles, as does its `value`.
    __hash__ = object.__hash__

    def __init__(self, label: PhaseName) -> None:
        self.label: PhaseName = label

    QUEUED = "queued"
    SENT = "sent"
    FETCHING = TaskStatus.FETCHING.value
    RUNNING = TaskStatus.RUNNING.value
    CHECKPOINTING = TaskStatus.CHECKPOINTING.value
    ENDED = TaskStatus.ENDED.value
    REFUSED = "refused"
    GONE = "gone"


RUNNING_PHASE_NAME = Phase.RUNNING.label
PHASE_BY_NAME: dict[str, Phase] = {phase.label: phase for phase in Phase}

#: The attempt holds no room and is certainly not running on the machine.
FINISHED_PHASES = frozenset({Phase.ENDED, Phase.REFUSED, Phase.GONE})
FINISHED_PHASE_NAMES = frozenset(phase.label for phase in FINISHED_PHASES)
#: A report of the worker has shown the attempt.
REPORTED_PHASES = frozenset({Phase.FETCHING, Phase.RUNNING, Phase.CHECKPOINTING, Phase.ENDED})


class DesiredState(Enum):
    """What the scheduler of the job asks for."""

    def __init__(self, label: DesiredStateName) -> None:
        self.label: DesiredStateName = label

    RUN = "run"
    STOP = "stop"
    REAP = "reap"


@dataclass(slots=True)
class TaskEntry:
    """One attempt of a task on a machine, as the machine's owner keeps it.

    `run` is None while the job is not known; `requested_by` is the controller whose scheduler asked for the attempt.
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
