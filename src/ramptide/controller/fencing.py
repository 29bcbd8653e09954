"""When members of earlier views can no longer have replied to an agent, and which processes remember cancellations."""

from datetime import timedelta
from typing import Protocol

from ramptide.agents.lease_expiry import CLOCK_DRIFT
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.member_lease import LEASE_TIMEOUT
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.controller.timings import ControllerTimings
from ramptide.transport.runtime import Runtime

__all__ = ["Fencing", "SurvivingPeers"]

NO_TIME = timedelta(0)


class FencingState(Protocol):
    """The view that this controller acts in."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def view_since(self) -> timedelta:
        """When this controller took the view."""

    def require_view(self) -> View:
        """Return the current view; raises when there is none."""


class Fencing:
    """Tracks when each other member has surely stopped to act in an earlier view."""

    def __init__(self, runtime: Runtime, state: FencingState, peers: Peers, max_renewal_proof_age: timedelta) -> None:
        self._runtime = runtime
        self._state = state
        self._peers = peers
        # Counted from the moment at which the member was left out: its lease had run out by then, so it was last found
        # alive `LEASE_TIMEOUT` before.
        self._authority_left = max_renewal_proof_age - LEASE_TIMEOUT / CLOCK_DRIFT
        self._heard_in_view: dict[str, timedelta] = {}
        self._unfenced_since: dict[tuple[str, str], timedelta] = {}

    def new_view(self, view: View, follows: bool) -> None:
        """Start anew in a new view; what is known of the view just before still holds, if it `follows` that."""
        known = self._unfenced_since if follows else {}
        now = self._runtime.now
        self._unfenced_since = {process: known.get(process, now) for process in view.unfenced.items()}
        self._heard_in_view.clear()

    def note_heard(self, member: str) -> None:
        """Note the first message of a member in this view: it acts in no earlier one any more."""
        self._heard_in_view.setdefault(member, self._runtime.now)

    def others_fenced_at(self) -> timedelta | None:
        """Return the time after which no member of an earlier view can have replied to a heartbeat.

        None while some member of this view has not been heard.
        """
        view = self._state.require_view()
        ends = [self._state.view_since]
        for member, incarnation in view.unfenced.items():
            proof = self._peers.no_replies_after(member, incarnation, view.number)
            ends.append(proof if proof is not None else self._authority_end(member, incarnation))
        for member in view.members:
            if member == self._state.member:
                continue
            if member not in self._heard_in_view:
                return None
            ends.append(self._heard_in_view[member])
        return max(ends)

    def _authority_end(self, member: str, incarnation: str) -> timedelta:
        return self._unfenced_since[(member, incarnation)] + self._authority_left


class SurvivingPeers:
    """Keeps count of the processes left that know what was cancelled before this one started.

    When none is left, a silent machine may still run a task whose cancellation is due at any moment, so it is returned
    as soon as it is known to be silent.
    """

    def __init__(self, runtime: Runtime, member: str, machine_index: MachineIndex, timings: ControllerTimings) -> None:
        self._runtime = runtime
        self._member = member
        self._machine_index = machine_index
        self._timings = timings
        self._started_at = runtime.now
        #: Incarnations by member; None before the first view.
        self._survivors: dict[str, str] | None = None

    def new_view(self, view: View) -> None:
        """Leave out the processes that are no longer in the view."""
        known = view.members if self._survivors is None else self._survivors
        self._survivors = {
            name: incarnation
            for name, incarnation in known.items()
            if view.members.get(name) == incarnation and name != self._member
        }
        now = self._runtime.now
        is_recent = now - self._started_at < self._timings.cancel_timeout
        if known and is_recent and not self._survivors:
            self._machine_index.backdate_unconfirmed(self._started_at, now - self._timings.confirm_timeout)

    def unconfirmed_since(self) -> timedelta:
        """Return since when a task of a finished job may be on a machine that was in use before this process started.

        What was cancelled before may be due soon, so a silent machine is given the time of one lease, and none when no
        process is left that knows what was cancelled.
        """
        nobody_left = self._survivors is not None and not self._survivors
        one_lease = self._timings.lease_duration * CLOCK_DRIFT
        before = self._timings.confirm_timeout - (NO_TIME if nobody_left else one_lease)
        return self._runtime.now - max(before, NO_TIME)
