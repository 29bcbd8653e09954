"""The phases of an attempt on a machine, as the machine's owner tracks them.

An attempt adopts whatever phase the agent's heartbeat reports (`apply_reported_phase`). All other changes of the phase
are listed in `TRANSITIONS`; an event that is not listed for a phase does not change it.
"""

from collections.abc import Mapping
from enum import Enum, auto

from ramptide.state.task_state import REPORTED_PHASES, DesiredState, Phase, TaskEntry

__all__ = ["TRANSITIONS", "AttemptEvent", "advance", "apply_reported_phase", "is_forgettable"]


class AttemptEvent(Enum):
    """An event that may change the phase of an attempt, other than a heartbeat that reports the attempt."""

    # Each member is a single object, so hashing by identity suffices and is faster than Enum's hash of the name.
    __hash__ = object.__hash__

    #: The attempt's scheduler no longer wants it to run.
    STOP_REQUESTED = auto()
    #: The command to start it went into the reply to a heartbeat.
    START_SENT = auto()
    #: The owner's replies no longer reach the agent, so no more tasks are started there.
    AGENT_UNREACHABLE = auto()
    #: The attempt is wanted, and the heartbeat after the start command does not report it.
    START_LOST = auto()
    #: As START_LOST, on a machine on which no more tasks are started.
    START_LOST_UNREACHABLE = auto()
    #: A newer heartbeat does not report the attempt, so it is not on the machine.
    ABSENT = auto()
    #: The agent's lease has certainly expired, and the agent has stopped all tasks.
    LEASE_EXPIRED = auto()


_REPORTED_TO_GONE = dict.fromkeys(REPORTED_PHASES, Phase.GONE)

#: For each event the phases in which it has an effect, with the phase that follows.
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
    """Move an attempt to the phase that follows the event; return whether the event has an effect in its phase."""
    following = TRANSITIONS[event].get(entry.phase)
    if following is None:
        return False
    entry.phase = following
    return True


def apply_reported_phase(entry: TaskEntry, phase: Phase, cause: str | None) -> None:
    """Set the phase that a heartbeat reports, with the cause of the end if the attempt has ended."""
    entry.phase = phase
    entry.cause = cause


def is_forgettable(entry: TaskEntry) -> bool:
    """Return whether no scheduler waits for the result of the attempt, so that it may be dropped once it is over."""
    return entry.desired in (None, DesiredState.REAP)
