"""A change of the membership view: what runs where is rebuilt from the heartbeats of the agents."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from ramptide.agents.shard import Shard
from ramptide.agents.token_announcer import TokenAnnouncer
from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.cluster.view import View
from ramptide.controller.assignments import Assignments
from ramptide.controller.errors import NoViewError
from ramptide.controller.fencing import Fencing, SurvivingPeers
from ramptide.controller.shares import QuotaShares
from ramptide.controller.state import ControllerState
from ramptide.controller.timings import ControllerTimings
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.transport.runtime import Runtime

__all__ = ["ViewChange"]

#: Attempts are numbered so that no two controllers and no two views ever use the same number: the view and the place
#: of the member in it stand above the bits that a scheduler counts up.
MAX_MEMBERS = 64
ATTEMPT_BITS = 24


class ViewListener(Protocol):
    """A part whose state is of one view only."""

    def new_view(self) -> None:
        """Start anew in a new view."""


class MemberListener(Protocol):
    """A part that acts only as a member of the view."""

    def new_view(self, view: View | None) -> None:
        """Start anew in a new view; None when we have no place in it."""


class ViewChange:
    """Takes each new view: forgets what was of the one before, and takes our jobs and machines.

    Parameters
    ----------
    view_listeners
        Told first, in this order.
    member_listeners
        Told next, with the view only if we are a member of it.
    heartbeats
        Told last, when our machines are known: agents that wait for a reply learn their owners at once.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: ControllerState,
        timings: ControllerTimings,
        membership: Membership,
        machine_index: MachineIndex,
        fencing: Fencing,
        surviving_peers: SurvivingPeers,
        shares: QuotaShares,
        assignments: Assignments,
        token_announcer: TokenAnnouncer,
        heartbeats: ViewListener,
        view_listeners: Iterable[ViewListener],
        member_listeners: Iterable[MemberListener],
        telemetry: Telemetry,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._timings = timings
        self._membership = membership
        self._machine_index = machine_index
        self._fencing = fencing
        self._surviving_peers = surviving_peers
        self._shares = shares
        self._assignments = assignments
        self._token_announcer = token_announcer
        self._heartbeats = heartbeats
        self._view_listeners = list(view_listeners)
        self._member_listeners = list(member_listeners)
        self._telemetry = telemetry

    def on_view(self) -> None:
        """Take the membership's new view.

        Raises
        ------
        NoViewError
            If the membership knows none.
        """
        view = self._membership.view
        if view is None:
            raise NoViewError("the membership reports a change, but no view")
        present = self._state.view
        if present is None or view.number != present.number:
            self._telemetry.view_changed(view.number)
        # What we know of the view just before still holds; of one further back it need not.
        follows = present is not None and view.number == present.number + 1
        last_possible_replies = self._last_possible_replies() if follows else {}
        self._fencing.new_view(view, follows)
        self._replace_view(view)
        for listener in self._view_listeners:
            listener.new_view()
        silent = set(self._machine_index.silent_hosts())
        self._machine_index.new_view()
        is_member = view.members.get(self._state.member) == self._membership.incarnation
        for member_listener in self._member_listeners:
            member_listener.new_view(view if is_member else None)
        self._surviving_peers.new_view(view)
        if is_member:
            shard = self._take_place(view, last_possible_replies)
            self._heartbeats.new_view()
            self._announce_token(shard, silent)
        else:
            self._state.shard = self._state.scheduler = None
            self._token_announcer.stop()
            self._heartbeats.new_view()

    def _last_possible_replies(self) -> dict[str, timedelta]:
        """Return when anybody can have replied to our machines at the latest, as known at the end of a view."""
        shard = self._state.shard
        return shard.last_possible_replies(self._fencing.others_fenced_at()) if shard is not None else {}

    def _replace_view(self, view: View) -> None:
        self._state.view = view
        self._state.view_since = self._runtime.now
        self._state.reconciled = False
        self._state.forget_owners()
        self._shares.new_view()

    def _take_place(self, view: View, last_possible_replies: dict[str, timedelta]) -> Shard:
        """Take the machines that we own in the view, and the jobs that we schedule."""
        state, timings = self._state, self._timings
        shard = Shard(view.number, timings.lease_duration, timings.heartbeat_interval, state.find_spec)
        place = sorted(view.members).index(state.member)
        first_attempt = (view.number * MAX_MEMBERS + place) << ATTEMPT_BITS
        state.shard = shard
        state.scheduler = JobScheduler(state.member, first_attempt, state.is_quarantined)
        for host, record in state.machines.items():
            self._assignments.own(host, record, last_possible_replies)
        for job in state.jobs.values():
            self._assignments.assign(job)
        return shard

    def _announce_token(self, shard: Shard, silent: set[str]) -> None:
        """Tell the agents of our machines the fencing token of the view, as far as we know where they are.

        Those that were silent before come last: each may take the whole time limit, and with hundreds of them the
        others would wait for as many seconds.
        """
        unreconciled = [host for host, machine in shard.machines.items() if not machine.is_reconciled]
        unreconciled.sort(key=lambda host: host in silent)
        known = self._state.agent_addresses
        self._token_announcer.announce(shard.view, {host: known[host] for host in unreconciled if host in known})
