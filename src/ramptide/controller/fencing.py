"""Tracks until when members of earlier views can have replied to agents, and which processes know of cancellations."""

from datetime import timedelta
from typing import Protocol

from ramptide.agents.lease_expiry import MAX_CLOCK_DRIFT_RATIO
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.member_lease import LEASE_TIMEOUT
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.controller.timings import ControllerTimings
from ramptide.transport.runtime import Runtime

__all__ = ["Fencing", "SurvivingPeers"]

NO_TIME = timedelta(0)


class FencingState(Protocol):
    """Provides the view that this controller acts in."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def view_since(self) -> timedelta:
        """When this controller adopted the view."""

    def require_view(self) -> View:
        """Return the current view; raises when there is none."""


class Fencing:
    """Tracks when each other member has certainly stopped acting in an earlier view."""

    def __init__(self, runtime: Runtime, state: FencingState, peers: Peers, max_renewal_proof_age: timedelta) -> None:
        self._runtime = runtime
        self._state = state
        self._peers = peers
        # How long a member that was left out of the view may still renew leases, counted from when it was left out. The
        # member's own lease had expired by then, so that lease was last found alive at least `LEASE_TIMEOUT` before.
        self._max_remaining_authority = max_renewal_proof_age - LEASE_TIMEOUT / MAX_CLOCK_DRIFT_RATIO
        self._first_message_at: dict[str, timedelta] = {}
        self._unfenced_since: dict[tuple[str, str], timedelta] = {}

    def on_new_view(self, view: View, is_direct_successor: bool) -> None:
        """Start tracking the members of a new view.

        `is_direct_successor`: whether `view` directly follows the last known view, so that what is known of the
        unfenced members of that view still holds.
        """
        known = self._unfenced_since if is_direct_successor else {}
        now = self._runtime.now
        self._unfenced_since = {process: known.get(process, now) for process in view.unfenced.items()}
        self._first_message_at.clear()

    def record_first_message(self, member: str) -> None:
        """Record the time of a member's first message in this view, after which it acts in no earlier one."""
        self._first_message_at.setdefault(member, self._runtime.now)

    def others_fenced_at(self) -> timedelta | None:
        """Return the time after which no member of an earlier view can have replied to a heartbeat.

        None while some member of this view has not sent a message in it.
        """
        view = self._state.require_view()
        fenced_at = [self._state.view_since]
        for member, incarnation in view.unfenced.items():
            last_possible_reply = self._peers.no_replies_after(member, incarnation, view.number)
            fenced_at.append(
                last_possible_reply if last_possible_reply is not None else self._end_of_authority(member, incarnation)
            )
        for member in view.members:
            if member == self._state.member:
                continue
            if member not in self._first_message_at:
                return None
            fenced_at.append(self._first_message_at[member])
        return max(fenced_at)

    def _end_of_authority(self, member: str, incarnation: str) -> timedelta:
        return self._unfenced_since[(member, incarnation)] + self._max_remaining_authority


class SurvivingPeers:
    """Tracks which other processes are left that know what was cancelled before this process started.

    When none is left, a silent machine may still run a task whose cancellation is due at any moment, so it is returned
    as soon as it is known to be silent.
    """

    def __init__(self, runtime: Runtime, member: str, machine_index: MachineIndex, timings: ControllerTimings) -> None:
        self._runtime = runtime
        self._member = member
        self._machine_index = machine_index
        self._timings = timings
        self._started_at = runtime.now
        #: The incarnations of the processes that are left, by member; None before the first view.
        self._survivors: dict[str, str] | None = None

    def on_new_view(self, view: View) -> None:
        """Drop the processes that are no longer in the view."""
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

        The deadline of a task that was cancelled before may be close, so a silent machine is given the time of one
        lease before it is returned, and none when no process is left that knows what was cancelled.
        """
        has_no_survivors = self._survivors is not None and not self._survivors
        one_lease = self._timings.lease_duration * MAX_CLOCK_DRIFT_RATIO
        assumed_duration = self._timings.confirm_timeout - (NO_TIME if has_no_survivors else one_lease)
        return self._runtime.now - max(assumed_duration, NO_TIME)
