"""Sends machines' statuses, desired tasks, acknowledgements, usage and quota shares to the other controllers.

A message holds what changed since a sequence number that the receiver has acknowledged, so lost, late and repeated
messages do no harm. `peer_messages` applies the messages of the other controllers.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ramptide.agents.shard import Shard
from ramptide.cluster.change_log import ChangeLog
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.machine_status import MachineStatus
from ramptide.cluster.membership import Membership
from ramptide.cluster.messages import MESSAGE_VERSION, PeerMessage, PreemptionRow
from ramptide.cluster.peers import SEND_INTERVAL, Peer, Peers
from ramptide.cluster.view import View
from ramptide.controller.cancellations import RecentCancellations
from ramptide.controller.peer_messages import DesiredStateGate
from ramptide.controller.shares import QuotaShares
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.own_demand import own_demand, waiting_rows
from ramptide.scheduling.preemption import Preemptor
from ramptide.state.amounts import shares_to_wire
from ramptide.state.task_state import DesiredTaskRow
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.share_split import ShareSplit

__all__ = ["Replication"]

#: How soon a message is sent to a peer that waits for its contents.
AT_ONCE = timedelta(0)
#: How soon changed statuses are sent to the leader, which bases its decisions on them; before the view is reconciled,
#: to all peers.
MAX_STATUS_DELAY = timedelta(milliseconds=150)
#: The interval of messages to peers that wait for nothing from this controller: they only need to know that it is
#: alive, and roughly what room its machines have.
IDLE_SEND_INTERVAL = timedelta(seconds=2)
#: How many sequence numbers lie between two removals of acknowledged entries from the change logs.
PRUNE_INTERVAL_SEQUENCE_NUMBERS = 200
#: About how many changed machines one message holds. The whole table of thousands of machines would take longer to
#: encode, send and read than the time limit of a message, and would be sent again and again.
MACHINES_PER_MESSAGE = 300
#: How many changed machines share one sequence number, so that a message can end between them.
MACHINES_PER_SEQUENCE_NUMBER = 50


class ReplicationState(Protocol):
    """Provides the view that this controller acts in, and who owns which machine there."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def reconciled(self) -> bool:
        """Whether all tasks that earlier views may have left on machines are known."""

    def require_view(self) -> View:
        """Return the current view; raises when there is none."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class QuotaMessageSource(Protocol):
    """The quota feature, which has its own field in the messages."""

    def message_for(self, peer: Peer) -> Any:
        """Return the quota message for another controller; None for one outside the current view."""


class Replication:
    """Tracks which changes each other controller has not received yet, and sends them."""

    def __init__(
        self,
        state: ReplicationState,
        membership: Membership,
        watch_cache: WatchCache,
        peers: Peers,
        machine_index: MachineIndex,
        preemptor: Preemptor,
        shares: QuotaShares,
        share_split: ShareSplit,
        cancellations: RecentCancellations,
        gate: DesiredStateGate,
        quota: QuotaMessageSource | None,
    ) -> None:
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._peers = peers
        self._machine_index = machine_index
        self._preemptor = preemptor
        self._shares = shares
        self._share_split = share_split
        self._cancellations = cancellations
        self._gate = gate
        self._quota = quota
        self._status_changes: ChangeLog[str] = ChangeLog()
        self._desired_changes: dict[str, ChangeLog[str]] = {}
        #: The change logs are pruned next at or after this sequence number; a round may use several sequence numbers,
        #: and so pass over this one.
        self._prune_at_number = PRUNE_INTERVAL_SEQUENCE_NUMBERS

    def on_new_view(self, _view: View | None) -> None:
        """Start with empty change logs in a new view, also when this controller has no place in it."""
        self._status_changes = ChangeLog()
        self._desired_changes = {name: ChangeLog() for name in self._peers.by_name}
        self._prune_at_number = PRUNE_INTERVAL_SEQUENCE_NUMBERS

    def record_changes(self, scheduler: JobScheduler, shard: Shard, changed: set[str]) -> None:
        """Record what changed since the last round, and schedule the messages to the controllers that wait for it."""
        if not changed and not scheduler.changed_hosts:
            return
        scheduler.sequence_number += 1
        own_desired = self._record_desired_changes(scheduler)
        shard.desired_states.apply(
            self._state.member, scheduler.sequence_number, own_desired, self._gate.may_start_tasks
        )
        # The next message acknowledges this controller's own desired states, so that message has to show their effects
        # on the owned machines: a controller that takes over one of this controller's jobs relies on that.
        for count, host in enumerate([*own_desired, *changed], 1):
            self._status_changes.record_change(host, scheduler.sequence_number)
            if count % MACHINES_PER_SEQUENCE_NUMBER == 0:
                scheduler.sequence_number += 1
        self._schedule_messages(shard, changed)

    def _record_desired_changes(self, scheduler: JobScheduler) -> dict[str, list[DesiredTaskRow] | None]:
        """Record the changes of the scheduler's desired tasks; return those for this controller's own machines."""
        own_desired: dict[str, list[DesiredTaskRow] | None] = {}
        hosts, scheduler.changed_hosts = scheduler.changed_hosts, set()
        for host in hosts:
            self._machine_index.invalidate(host)
            owner = self._state.owner_of(host)
            if owner == self._state.member:
                own_desired[host] = scheduler.desired_tasks(host)
            elif owner in self._desired_changes:
                self._desired_changes[owner].record_change(host, scheduler.sequence_number)
                self._peers.send_within(self._peers.by_name[owner], AT_ONCE)
        return own_desired

    def _schedule_messages(self, shard: Shard, changed: set[str]) -> None:
        """Schedule messages: at once to the schedulers that wait for these machines, and soon to the leader.

        Before the view is reconciled, all controllers are sent changes soon.
        """
        leader = self._state.require_view().leader
        waiting: set[str] = set()
        for host in changed:
            waiting |= shard.waiting_schedulers(host)
        for peer in self._peers.by_name.values():
            if peer.name in waiting:
                self._peers.send_within(peer, AT_ONCE)
            elif changed and (peer.name == leader or not self._state.reconciled):
                self._peers.send_within(peer, MAX_STATUS_DELAY)

    def send(self, scheduler: JobScheduler, shard: Shard, now: timedelta) -> None:
        """Send a message to each controller for which one is due."""
        view = self._state.require_view()
        self._share_split.update(scheduler, view, now)
        due = self._peers.due_peers()
        if not due:
            return
        scheduler.sequence_number += 1
        self._prune(scheduler, shard, view)
        self._cancellations.prune()
        common = self._common_message(scheduler, shard, view)
        statuses = _Statuses(shard, now)
        unconfirmed = self._machine_index.unconfirmed_seconds_by_machine(now)
        for peer in due:
            split = self._split_after(peer, view)
            changes = self._changes_for(peer, view, scheduler, statuses, split)
            if split is not None:
                self._peers.send(peer, _partial_message(common, split, changes), AT_ONCE)
                continue
            is_leader = peer.name == view.leader
            share = self._share_split.share_of(peer.name)
            message = msgspec.structs.replace(
                common,
                base=changes.base,
                machine_status=changes.status,
                desired_tasks=changes.desired_tasks,
                quota_shares=shares_to_wire(share) if share is not None else None,
                demand=shares_to_wire(own_demand(scheduler, now)) if is_leader else {},
                waiting_jobs=waiting_rows(scheduler, now) if is_leader else [],
                unrecorded_machines=shard.unrecorded_machines() if is_leader else {},
                unconfirmed_terminations=unconfirmed,
                quota=self._quota.message_for(peer) if self._quota is not None else None,
            )
            is_idle = self._state.reconciled and not self._watch_cache.is_unavailable and not is_leader
            self._peers.send(peer, message, IDLE_SEND_INTERVAL if is_idle else SEND_INTERVAL)

    def send_without_place(self) -> None:
        """Send messages without a place in a view, which only show the other controllers that this process is alive."""
        for peer in self._peers.due_peers():
            message = PeerMessage(
                member=self._state.member,
                incarnation=self._membership.incarnation,
                view=0,
                sequence_number=0,
                store_unavailable=self._watch_cache.is_unavailable,
                revision=self._watch_cache.revision,
                version=MESSAGE_VERSION,
            )
            self._peers.send(peer, message)

    def _prune(self, scheduler: JobScheduler, shard: Shard, view: View) -> None:
        """At intervals, delete the change log entries of removed keys whose removal the receivers have acknowledged."""
        if scheduler.sequence_number < self._prune_at_number:
            return
        self._prune_at_number = scheduler.sequence_number + PRUNE_INTERVAL_SEQUENCE_NUMBERS
        peers = self._peers.by_name
        acknowledged = [peer.acknowledged for name, peer in peers.items() if name in view.members]
        self._status_changes.prune(min(acknowledged, default=0), shard.machines)
        for name, changes in self._desired_changes.items():
            changes.prune(peers[name].acknowledged, scheduler.attempts_by_host)

    def _split_after(self, peer: Peer, view: View) -> int | None:
        """Return the sequence number up to which the next message holds the changed machines.

        None when it can hold all of them, and for a controller outside the view.
        """
        if peer.name not in view.members:
            return None
        return self._status_changes.split_after(peer.acknowledged, MACHINES_PER_MESSAGE)

    def _common_message(self, scheduler: JobScheduler, shard: Shard, view: View) -> PeerMessage:
        """Return a message with the fields that are the same for every controller."""
        is_local_leader = self._membership.is_leading
        in_transfer = scheduler.amounts_in_transfer()
        pending = self._preemptor.pending
        return PeerMessage(
            member=self._state.member,
            incarnation=self._membership.incarnation,
            view=view.number,
            sequence_number=scheduler.sequence_number,
            store_unavailable=self._watch_cache.is_unavailable,
            revision=self._watch_cache.revision,
            version=MESSAGE_VERSION,
            reconciled=self._state.reconciled,
            acknowledged=shard.desired_states.acknowledged,
            usage=shares_to_wire(scheduler.usage()),
            usage_in_transfer={job_id: shares_to_wire(amounts) for job_id, amounts in in_transfer.items()},
            quota_shares_acknowledged=self._shares.acknowledged,
            handovers_taken=self._share_split.handovers_taken,
            idle_pool=self._machine_index.idle_pool if is_local_leader else [],
            preemptions=[PreemptionRow(*key, preemption.grace_s) for key, preemption in pending.items()]
            if is_local_leader
            else [],
            cancelled_jobs=self._cancellations.job_ids(),
        )

    def _changes_for(
        self, peer: Peer, view: View, scheduler: JobScheduler, statuses: "_Statuses", split: int | None
    ) -> "_Changes":
        """Return what has changed for a controller since its acknowledgement, up to the number `split` if there is one.

        Controllers outside the view get messages too, so that they stop acting in an older view, but no machines'
        statuses.
        """
        base = peer.acknowledged
        hosts = self._status_changes.since(base, split) if peer.name in view.members else []
        desired_hosts = self._desired_changes[peer.name].since(base, split)
        return _Changes(
            base=base,
            status={host: statuses.of(host) for host in hosts},
            desired_tasks={host: scheduler.desired_tasks(host) for host in desired_hosts},
        )


class _Statuses:
    """The statuses of machines at one time, each computed only once for all messages."""

    def __init__(self, shard: Shard, now: timedelta) -> None:
        self._shard = shard
        self._now = now
        self._known: dict[str, MachineStatus | None] = {}

    def of(self, host: str) -> MachineStatus | None:
        """Return a machine's status; None when this controller owns no such machine."""
        if host not in self._known:
            self._known[host] = self._shard.status(host, self._now)
        return self._known[host]


@dataclass(frozen=True, slots=True)
class _Changes:
    """Changes since the sequence number `base`: statuses of machines, and desired tasks for the receiver's machines."""

    base: int
    status: dict[str, MachineStatus | None]
    desired_tasks: dict[str, list[DesiredTaskRow] | None]


def _partial_message(common: PeerMessage, up_to: int, changes: _Changes) -> PeerMessage:
    """Return a message with the changes up to a sequence number, after which more messages follow.

    It leaves out all fields that hold only together with all changes, such as acknowledgements and usage: some changes
    of this controller's machines are not in it.
    """
    return PeerMessage(
        member=common.member,
        incarnation=common.incarnation,
        view=common.view,
        sequence_number=up_to,
        store_unavailable=common.store_unavailable,
        revision=common.revision,
        version=common.version,
        base=changes.base,
        more=True,
        machine_status=changes.status,
        desired_tasks=changes.desired_tasks,
        cancelled_jobs=common.cancelled_jobs,
    )
