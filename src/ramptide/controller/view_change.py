"""Applies changes of the membership view, after which the running tasks are learned anew from agents' heartbeats."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.shard import Shard
from ramptide.agents.token_announcer import TokenAnnouncer
from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.cluster.view import View
from ramptide.controller.assignments import Assignments
from ramptide.controller.errors import NoViewError
from ramptide.controller.fencing import Fencing, SurvivingPeers
from ramptide.controller.finished_jobs import FinishedJobs
from ramptide.controller.shares import QuotaShares
from ramptide.controller.state import ControllerState
from ramptide.controller.timings import ControllerTimings
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.statistics import SchedulingStatistics
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.transport.runtime import Runtime

__all__ = ["ViewChange"]


class ViewListener(Protocol):
    """A part whose state belongs to a single view."""

    def on_new_view(self) -> None:
        """Handle the change to a new view."""


class MemberListener(Protocol):
    """A part that acts only as a member of the view."""

    def on_new_view(self, view: View | None) -> None:
        """Handle the change to a new view; `view` is None when this controller has no place in it."""


class ViewChange:
    """Applies each new view: resets the state of the previous one, and assigns this controller its jobs and machines.

    Parameters
    ----------
    view_listeners
        Called first, in this order.
    member_listeners
        Called next, with the view only if this controller is a member of it.
    heartbeats
        Called last, when the owned machines are known: agents that wait for a reply learn their owners at once.
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
        direct_stops: DirectStops,
        finished_jobs: FinishedJobs,
        heartbeats: ViewListener,
        view_listeners: Iterable[ViewListener],
        member_listeners: Iterable[MemberListener],
        telemetry: Telemetry,
        statistics: SchedulingStatistics,
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
        self._direct_stops = direct_stops
        self._finished_jobs = finished_jobs
        self._heartbeats = heartbeats
        self._view_listeners = list(view_listeners)
        self._member_listeners = list(member_listeners)
        self._telemetry = telemetry
        self._statistics = statistics

    def on_view(self) -> None:
        """Apply the membership's new view.

        Raises
        ------
        NoViewError
            If the membership knows no view.
        """
        view = self._membership.view
        if view is None:
            raise NoViewError("the membership reports a change, but no view")
        current = self._state.view
        if current is None or view.number != current.number:
            self._telemetry.record_view_change(view.number)
        # What is known of the directly preceding view still holds; what is known of an older one may not.
        is_direct_successor = current is not None and view.number == current.number + 1
        last_possible_replies = self._last_possible_replies() if is_direct_successor else {}
        self._fencing.on_new_view(view, is_direct_successor)
        self._replace_view(view)
        for listener in self._view_listeners:
            listener.on_new_view()
        silent_before = set(self._machine_index.silent_hosts())
        self._machine_index.on_new_view()
        is_member = view.members.get(self._state.member) == self._membership.incarnation
        for member_listener in self._member_listeners:
            member_listener.on_new_view(view if is_member else None)
        self._surviving_peers.on_new_view(view)
        self._direct_stops.on_new_view(view.number if is_member else None)
        if is_member:
            shard = self._enter_view(view, last_possible_replies)
            self._heartbeats.on_new_view()
            self._announce_token(shard, silent_before)
        else:
            self._state.shard = self._state.scheduler = None
            self._token_announcer.stop()
            self._heartbeats.on_new_view()

    def _last_possible_replies(self) -> dict[str, timedelta]:
        """Return, by owned machine, the latest time at which any controller can have replied to it, as known now."""
        shard = self._state.shard
        return shard.last_possible_replies(self._fencing.others_fenced_at()) if shard is not None else {}

    def _replace_view(self, view: View) -> None:
        self._state.view = view
        self._state.view_since = self._runtime.now
        self._state.reconciled = False
        self._state.forget_owners()
        self._shares.on_new_view()

    def _enter_view(self, view: View, last_possible_replies: dict[str, timedelta]) -> Shard:
        """Build the shard and the scheduler, with the machines and jobs that belong to this controller in the view."""
        state, timings = self._state, self._timings
        numbers = AttemptNumbers(view.number, view.members)
        shard = Shard(view.number, numbers, timings.lease_duration, timings.heartbeat_interval, self._finished_jobs)
        state.shard = shard
        first_attempt = numbers.base_of(state.member)
        state.scheduler = JobScheduler(state.member, first_attempt, state.is_quarantined, self._statistics)
        for host, record in state.machines.items():
            self._assignments.add_owned_machine(host, record, last_possible_replies)
        for job in state.jobs.values():
            self._assignments.assign(job)
        return shard

    def _announce_token(self, shard: Shard, silent_before: set[str]) -> None:
        """Announce the view's fencing token to the agents of the owned machines whose addresses are known.

        Machines that were silent before come last: each may take the whole time limit of a call, so that hundreds of
        them would delay the remaining machines by as many seconds.
        """
        unreconciled = [host for host, machine in shard.machines.items() if not machine.is_reconciled]
        unreconciled.sort(key=lambda host: host in silent_before)
        known_addresses = self._state.agent_addresses
        self._token_announcer.announce(
            shard.view, {host: known_addresses[host] for host in unreconciled if host in known_addresses}
        )
