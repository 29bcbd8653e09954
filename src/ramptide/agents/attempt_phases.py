"""The life of an attempt on a machine, as the machine's owner follows it.

An agent's heartbeat decides: whatever phase it shows, the attempt takes (`show_reported_phase`). All other changes
stand in `TRANSITIONS`; an event that is not listed for a phase leaves it as it is.
"""

from collections.abc import Mapping
from enum import Enum, auto

from ramptide.state.task_state import REPORTED_PHASES, DesiredState, Phase, TaskEntry

__all__ = ["TRANSITIONS", "AttemptEvent", "advance", "is_forgettable", "show_reported_phase"]


class AttemptEvent(Enum):
    """What happens to an attempt other than by being shown in a heartbeat."""

    # Members are single objects; Enum's own hash, of the name, shows in profiles.
    __hash__ = object.__hash__

    #: Its scheduler no longer wants it to run.
    STOP_REQUESTED = auto()
    #: The command to start it went into the reply to a heartbeat.
    START_SENT = auto()
    #: Our replies no longer reach the agent, so nothing more is started there.
    AGENT_UNREACHABLE = auto()
    #: It is wanted, and the heartbeat after the start command does not show it.
    START_LOST = auto()
    #: The same, on a machine where nothing is started any more.
    START_LOST_UNREACHABLE = auto()
    #: A newer heartbeat does not show it, so it is not on the machine.
    ABSENT = auto()
    #: The agent's lease has certainly run out, and it has stopped everything.
    LEASE_EXPIRED = auto()


_REPORTED_TO_GONE = dict.fromkeys(REPORTED_PHASES, Phase.GONE)

#: For each event the phases in which it matters, and the phase that follows.
TRANSITIONS: Mapping[AttemptEvent, Mapping[Phase, Phase]] = {
    AttemptEvent.STOP_REQUESTED: {Phase.QUEUED: Phase.GONE},
    AttemptEvent.START_SENT: {Phase.QUEUED: Phase.SENT},
    AttemptEvent.AGENT_UNREACHABLE: {Phase.QUEUED: Phase.REFUSED},
    AttemptEvent.START_LOST: {Phase.SENT: Phase.QUEUED},
    AttemptEvent.START_LOST_UNREACHABLE: {Phase.SENT: Phase.REFUSED},
    AttemptEvent.ABSENT: {Phase.SENT: Phase.GONE, **_REPORTED_TO_GONE},
    AttemptEvent.LEASE_EXPIRED: {Phase.QUEUED: Phase.GONE, Phase.SENT: Phase.GONE, **_REPORTED_TO_GONE},
}


def advance(entry: TaskEntry, event: AttemptEvent) -> bool:
    """Move an attempt to the phase that follows the event; return whether the event matters in its phase."""
    following = TRANSITIONS[event].get(entry.phase)
    if following is None:
        return False
    entry.phase = following
    return True


def show_reported_phase(entry: TaskEntry, phase: Phase, cause: str | None) -> None:
    """Take the phase that a heartbeat shows, with the cause of the end if it has ended."""
    entry.phase = phase
    entry.cause = cause


def is_forgettable(entry: TaskEntry) -> bool:
    """Whether no scheduler waits to hear how the attempt went, so that it may be dropped once it is over."""
    return entry.desired in (None, DesiredState.REAP)
