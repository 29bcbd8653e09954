"""What the other controllers are told: machines' statuses, desired tasks, acknowledgements, usage and quota shares.

Messages hold what changed since a number that the receiver has acknowledged, so lost, late and repeated ones do no
harm. `peer_messages` takes the messages of the others.
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

#: How soon a peer hears what it waits for, and what the leader counts by.
AT_ONCE = timedelta(0)
SOON = timedelta(milliseconds=150)
#: For those that wait for nothing of ours: they need to know that we are there, and roughly what room there is.
IDLE_SEND_INTERVAL = timedelta(seconds=2)
#: Removed machines are forgotten after so many sequence numbers.
PRUNE_INTERVAL = 200
#: Machines that one message tells of, and that share one number. The whole table of thousands of machines would take
#: longer to encode, send and read than a message may take, and would be sent again and again.
MACHINES_PER_MESSAGE = 300
MACHINES_PER_NUMBER = 50


class ReplicationState(Protocol):
    """The view that this controller acts in, and what it owns there."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""

    def require_view(self) -> View:
        """Return the current view; raises when there is none."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class QuotaMessageSource(Protocol):
    """The quota feature, which has a part of its own in the messages."""

    def message_for(self, peer: Peer) -> Any:
        """Return what to tell another controller about team limits; None for one outside our view."""


class Replication:
    """Keeps track of what each controller has yet to hear, and sends it."""

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
        #: The number from which on what was removed is forgotten. Several numbers may be used up at a time.
        self._prune_at = PRUNE_INTERVAL

    def new_view(self, _view: View | None) -> None:
        """Start with empty tables in a new view, also when we have no place in it."""
        self._status_changes = ChangeLog()
        self._desired_changes = {name: ChangeLog() for name in self._peers.by_name}
        self._prune_at = PRUNE_INTERVAL

    # What changed.

    def mark(self, scheduler: JobScheduler, shard: Shard, changed: set[str]) -> None:
        """Enter what changed since the last round into the tables, and plan when each controller is told."""
        if not changed and not scheduler.changed_hosts:
            return
        scheduler.sequence_number += 1
        own = self._mark_desired(scheduler)
        shard.desired_states.apply(self._state.member, scheduler.sequence_number, own, self._gate.takes_tasks)
        # The next message says that we have processed our own desired states, so it has to show what came of them: who
        # takes over one of our jobs relies on that.
        for count, host in enumerate([*own, *changed], 1):
            self._status_changes.mark(host, scheduler.sequence_number)
            if count % MACHINES_PER_NUMBER == 0:
                scheduler.sequence_number += 1
        self._plan_messages(shard, changed)

    def _mark_desired(self, scheduler: JobScheduler) -> dict[str, list[DesiredTaskRow] | None]:
        """Enter what the scheduler asks for; return what it asks of our own machines."""
        own: dict[str, list[DesiredTaskRow] | None] = {}
        hosts, scheduler.changed_hosts = scheduler.changed_hosts, set()
        for host in hosts:
            self._machine_index.invalidate(host)
            owner = self._state.owner_of(host)
            if owner == self._state.member:
                own[host] = scheduler.desired_tasks(host)
            elif owner in self._desired_changes:
                self._desired_changes[owner].mark(host, scheduler.sequence_number)
                self._peers.send_within(self._peers.by_name[owner], AT_ONCE)
        return own

    def _plan_messages(self, shard: Shard, changed: set[str]) -> None:
        """Plan to tell those that wait for news of these machines at once, and the leader soon."""
        leader = self._state.require_view().leader
        waiting: set[str] = set()
        for host in changed:
            waiting |= shard.waiting_schedulers(host)
        for peer in self._peers.by_name.values():
            if peer.name in waiting:
                self._peers.send_within(peer, AT_ONCE)
            elif changed and (peer.name == leader or not self._state.reconciled):
                self._peers.send_within(peer, SOON)

    # What is sent.

    def send(self, scheduler: JobScheduler, shard: Shard, now: timedelta) -> None:
        """Send messages to the controllers that are due one."""
        view = self._state.require_view()
        self._share_split.update(scheduler, view, now)
        due = self._peers.due_peers()
        if not due:
            return
        scheduler.sequence_number += 1
        self._prune(scheduler, shard, view)
        self._cancellations.prune()
        base = self._base(scheduler, shard, view)
        statuses = _Statuses(shard, now)
        unconfirmed = self._machine_index.all_unconfirmed(now)
        for peer in due:
            split = self._split_after(peer, view)
            changes = self._changes_for(peer, view, scheduler, statuses, split)
            if split is not None:
                self._peers.send(peer, _part_of(base, split, changes), AT_ONCE)
                continue
            is_leader = peer.name == view.leader
            share = self._share_split.share_of(peer.name)
            message = msgspec.structs.replace(
                base,
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
            is_calm = self._state.reconciled and not self._watch_cache.is_unavailable and not is_leader
            self._peers.send(peer, message, IDLE_SEND_INTERVAL if is_calm else SEND_INTERVAL)

    def send_outside(self) -> None:
        """Without a place in a view, tell the others only that this process is there."""
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
        """Forget now and then what was removed and every controller has heard of."""
        if scheduler.sequence_number < self._prune_at:
            return
        self._prune_at = scheduler.sequence_number + PRUNE_INTERVAL
        peers = self._peers.by_name
        acknowledged = [peer.acknowledged for name, peer in peers.items() if name in view.members]
        self._status_changes.prune(min(acknowledged, default=0), shard.machines)
        for name, changes in self._desired_changes.items():
            changes.prune(peers[name].acknowledged, scheduler.attempts)

    def _split_after(self, peer: Peer, view: View) -> int | None:
        """Return the number up to which a message can tell of machines; None when it can tell of all."""
        if peer.name not in view.members:
            return None
        return self._status_changes.split_after(peer.acknowledged, MACHINES_PER_MESSAGE)

    def _base(self, scheduler: JobScheduler, shard: Shard, view: View) -> PeerMessage:
        """Return a message with all that every controller is told."""
        leads = self._membership.is_leading
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
            idle_pool=self._machine_index.idle_pool if leads else [],
            preemptions=[PreemptionRow(*key, one.grace_s) for key, one in pending.items()] if leads else [],
            cancelled_jobs=self._cancellations.job_ids(),
        )

    def _changes_for(
        self, peer: Peer, view: View, scheduler: JobScheduler, statuses: "_Statuses", split: int | None
    ) -> "_Changes":
        """Return what has changed for a controller since what it took, up to the number `split` if there is one.

        Those outside the view hear of it too, so that they stop to act under an older one, but not of machines.
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
    """The statuses of machines as of one moment, each worked out once for all messages."""

    def __init__(self, shard: Shard, now: timedelta) -> None:
        self._shard = shard
        self._now = now
        self._known: dict[str, MachineStatus | None] = {}

    def of(self, host: str) -> MachineStatus | None:
        """Return a machine's status; None when we have no such machine."""
        if host not in self._known:
            self._known[host] = self._shard.status(host, self._now)
        return self._known[host]


@dataclass(frozen=True, slots=True)
class _Changes:
    """What has changed since the number `base`: machines' statuses, and what we desire of the receiver's machines."""

    base: int
    status: dict[str, MachineStatus | None]
    desired_tasks: dict[str, list[DesiredTaskRow] | None]


def _part_of(whole: PeerMessage, up_to: int, changes: _Changes) -> PeerMessage:
    """Return a message with the changes up to a number, after which more follow.

    It has nothing that says how far we are in all else: what it lacks of our machines is still to be told.
    """
    return PeerMessage(
        member=whole.member,
        incarnation=whole.incarnation,
        view=whole.view,
        sequence_number=up_to,
        store_unavailable=whole.store_unavailable,
        revision=whole.revision,
        version=whole.version,
        base=changes.base,
        more=True,
        machine_status=changes.status,
        desired_tasks=changes.desired_tasks,
        cancelled_jobs=whole.cancelled_jobs,
    )
