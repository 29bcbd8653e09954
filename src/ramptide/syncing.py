"""The messages exchanged with the other controllers: machines' states, desired tasks, acknowledgements and grants."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import cbor2
import msgspec

from ramptide.amounts import grants_from_wire, grants_to_wire
from ramptide.delta import ChangeLog
from ramptide.job_scheduler import JobScheduler
from ramptide.limit_split import LimitSplit
from ramptide.machine_status import MachineStatus
from ramptide.membership import View
from ramptide.owned_machine import OwnedMachine
from ramptide.peers import EVERY, MESSAGE_VERSION, Peer, PeerMessage, PeerReply
from ramptide.records import JOB_PREFIX
from ramptide.shard import Shard
from ramptide.task_state import DesiredTaskRow, TaskRow

if TYPE_CHECKING:
    from ramptide.app import Controller

#: How soon a peer hears what it waits for, what the leader counts by, and what it should know in time.
AT_ONCE = timedelta(0)
SOON = timedelta(milliseconds=150)
CANCELLED_KEPT = timedelta(seconds=60)
#: For those that wait for nothing of ours: they need to know that we are there, and roughly what room there is.
CALM = timedelta(seconds=2)
PRUNE_EVERY = 200
#: Machines that one message tells of, and that share one number. The whole table of thousands of machines would take
#: longer to encode, send and read than a message may take, and would be sent again and again.
MACHINES_PER_MESSAGE = 300
MACHINES_PER_NUMBER = 50


class Syncing:
    """Builds the messages to the other controllers and applies theirs."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.limit_split = LimitSplit(controller)
        self.grants_ack = 0
        self._rows: ChangeLog[str] = ChangeLog()
        self._wishes: dict[str, ChangeLog[str]] = {}
        #: The number from which on what was removed is forgotten. Several numbers may be used up at a time.
        self._prune_at = PRUNE_EVERY
        self._cancelled: deque[tuple[timedelta, str]] = deque()

    def new_view(self, view: View | None) -> None:
        """Start with empty tables in a new view; `view` is None when we have no place in it."""
        c = self._c
        self.grants_ack = 0
        self._rows = ChangeLog()
        self._wishes = {name: ChangeLog() for name in c.peers.all}
        self._prune_at = PRUNE_EVERY
        self.limit_split.new_view(view)

    def cancelled(self, job_id: str) -> None:
        """Tell the others directly of a confirmed cancellation, in case the state service fails now."""
        self._cancelled.append((self._c.context.now, job_id))
        self._c.peers.send_all_soon()

    # What comes in.

    def take(self, body: bytes) -> bytes | None:
        """Take another controller's message and return the encoded answer, or None when it is broken."""
        c = self._c
        number = c.view.number if c.view is not None and c.shard is not None else 0
        taken = c.peers.receive(body, number)
        if taken is None:
            return None
        message, peer = taken
        answer = PeerReply(
            c.membership.incarnation,
            number,
            c.mirror.lacking,
            max(number, c.peers.newest_view),
            peer.inbox.seq,
            self._over_since(message.revision) if message.store_unavailable else None,
        )
        return cbor2.dumps(msgspec.to_builtins(answer))

    def _over_since(self, revision: int) -> list[str] | None:
        """Return every job that a user may have been told is cancelled and that a copy as of `epoch` still has.

        An answer to a user rests on our own change or on a read, and our copy shows both. None when this can't be told.
        """
        dropped = self._c.mirror.dropped_since(revision)
        if dropped is None:
            return None
        over = {path.removeprefix(JOB_PREFIX) for path in dropped if path.startswith(JOB_PREFIX)}
        return sorted(over | {job_id for _, job_id in self._cancelled})

    def belongs(self, message: PeerMessage) -> bool:
        """Tell whether the sender is the process that is a member of our view."""
        c = self._c
        if c.view is None or c.scheduler is None:
            return False
        return message.incarnation == c.view.members.get(message.member)

    def on_sync(self, message: PeerMessage, peer: Peer) -> None:
        """Apply a message of a member of our view."""
        c = self._c
        scheduler, shard, view = c.scheduler, c.shard, c.view
        if scheduler is None or shard is None or view is None:
            return
        now = c.context.now
        c.others_heard.setdefault(message.member, now)
        c.call_off(message.cancelled_jobs)
        shard.apply_desired(message.member, message.sequence_number, message.desired_tasks, self.takes_tasks)
        if message.desired_tasks:
            c.peers.send_within(peer, AT_ONCE)
        if message.member == view.leader and not message.more:
            self._follow_leader(message, scheduler)
        for name, row in message.machine_status.items():
            if c.owner(name) == message.member:
                c.read_row(name, row)
        scheduler.needs_round = True
        if message.more:
            return
        self.acknowledge(scheduler, message.member, message.acknowledged.get(c.member, 0))
        self.limit_split.acknowledged(message.member, message.quota_shares_acknowledged)
        c.floor.recall(message.unconfirmed_terminations, now)
        if c.quota is not None:
            c.quota.take(message, scheduler)

    def _follow_leader(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        c = self._c
        c.floor.keep_pool(message.idle_pool)
        if message.quota_shares is not None:
            # Both at once: the new grants leave out what the leader took over.
            c.take_grants(grants_from_wire(message.quota_shares))
            self.grants_ack = message.sequence_number
            for job_id in message.handovers_taken:
                scheduler.transfer_confirmed(job_id)
        for job_id, task, number, grace in message.preemptions:
            c.evictor.evict(job_id, task, number, timedelta(seconds=grace))

    def acknowledge(self, scheduler: JobScheduler, owner: str, ack: int) -> None:
        """Note that the owner has processed our messages up to `ack`, and that its rows are as of then."""
        c = self._c

        def answered(name: str) -> list[TaskRow] | None:
            if c.owner(name) != owner:
                return None
            host = c.floor.hosts.get(name)
            if host is None or not host.known:
                return []
            return host.tasks if host.settled else None

        scheduler.acknowledged(ack, answered)

    def takes_tasks(self, machine: OwnedMachine) -> bool:
        """Tell whether tasks may be started on one of our machines now."""
        record = machine.record
        return (
            machine.settled
            and record.registered
            and record.drain_reason is None
            and machine.preempted_at is None
            and self._c.may_start()
        )

    # What goes out.

    def mark(self, scheduler: JobScheduler, shard: Shard, changed: set[str]) -> None:
        """Enter what changed since the last round into the tables, and plan when each controller is told."""
        c = self._c
        if not changed and not scheduler.changed_hosts:
            return
        scheduler.seq += 1
        ours = self._mark_desired(scheduler)
        shard.apply_desired(c.member, scheduler.seq, ours, self.takes_tasks)
        # The next message says that we have processed our own wishes, so it has to show what came of them: who takes
        # over one of our jobs relies on that.
        for count, host in enumerate([*ours, *changed], 1):
            self._rows.mark(host, scheduler.seq)
            if count % MACHINES_PER_NUMBER == 0:
                scheduler.seq += 1
        self._hurry_for(shard, changed)

    def _mark_desired(self, scheduler: JobScheduler) -> dict[str, list[DesiredTaskRow] | None]:
        """Enter what the scheduler asks for; return what it asks of our own machines."""
        c = self._c
        ours: dict[str, list[DesiredTaskRow] | None] = {}
        hosts, scheduler.changed_hosts = scheduler.changed_hosts, set()
        for host in hosts:
            c.floor.touch(host)
            owner = c.owner(host)
            if owner == c.member:
                ours[host] = scheduler.desired_tasks(host)
            elif owner in self._wishes:
                self._wishes[owner].mark(host, scheduler.seq)
                c.peers.send_within(c.peers.all[owner], AT_ONCE)
        return ours

    def _hurry_for(self, shard: Shard, changed: set[str]) -> None:
        """Controllers that wait for news of these machines hear at once, the leader soon."""
        c = self._c
        assert c.view is not None
        waiting_for: set[str] = set()
        for host in changed:
            waiting_for |= shard.waiting_schedulers(host)
        for peer in c.peers.all.values():
            if peer.name in waiting_for:
                c.peers.send_within(peer, AT_ONCE)
            elif changed and (peer.name == c.view.leader or not c.latched):
                c.peers.send_within(peer, SOON)

    def _prune(self, shard: Shard) -> None:
        c = self._c
        assert c.view is not None
        taken = [peer.acknowledged for name, peer in c.peers.all.items() if name in c.view.members]
        self._rows.prune(min(taken, default=0), shard.machines)
        for name, ledger in self._wishes.items():
            ledger.prune(c.peers.all[name].acknowledged, c.scheduler.attempts if c.scheduler is not None else ())

    def send(self, scheduler: JobScheduler, shard: Shard, now: timedelta) -> None:
        """Send messages to the controllers that are due one."""
        c = self._c
        view = c.view
        assert view is not None
        self.limit_split.update(scheduler, view, now)
        due = c.peers.due_peers()
        if not due:
            return
        scheduler.seq += 1
        self._forget_old(shard, now)
        base = self._base(scheduler, shard, view)
        statuses = _Statuses(shard, now)
        unproven = c.floor.all_unproven(now)
        for peer in due:
            split = (
                self._rows.split_after(peer.acknowledged, MACHINES_PER_MESSAGE) if peer.name in view.members else None
            )
            changes = self._changes_for(peer, view, scheduler, statuses, split)
            if split is not None:
                c.peers.send(peer, _part_of(base, split, changes), AT_ONCE)
                continue
            first = peer.name == view.leader
            granted = self.limit_split.granted(peer.name)
            message = msgspec.structs.replace(
                base,
                base=changes.base,
                machine_status=changes.status,
                desired_tasks=changes.wishes,
                quota_shares=grants_to_wire(granted) if granted is not None else None,
                demand=grants_to_wire(c.knowledge.asking(scheduler)) if first else {},
                waiting_jobs=c.knowledge.waiting_rows(scheduler, now) if first else [],
                unrecorded_machines=shard.unrecorded_machines() if first else {},
                unconfirmed_terminations=unproven,
                quota=c.quota.message_for(peer) if c.quota is not None else None,
            )
            calm = c.latched and not c.mirror.lacking and not first
            c.peers.send(peer, message, CALM if calm else EVERY)

    def _forget_old(self, shard: Shard, now: timedelta) -> None:
        seq = self._c.scheduler.seq if self._c.scheduler is not None else 0
        if seq >= self._prune_at:
            self._prune_at = seq + PRUNE_EVERY
            self._prune(shard)
        while self._cancelled and now - self._cancelled[0][0] > CANCELLED_KEPT:
            self._cancelled.popleft()

    def _base(self, scheduler: JobScheduler, shard: Shard, view: View) -> PeerMessage:
        """Return a message with all that every controller is told."""
        c = self._c
        leads = c.membership.leading
        return PeerMessage(
            member=c.member,
            incarnation=c.membership.incarnation,
            view=view.number,
            sequence_number=scheduler.seq,
            store_unavailable=c.mirror.lacking,
            revision=c.mirror.revision,
            version=MESSAGE_VERSION,
            reconciled=c.latched,
            acknowledged=shard.acks,
            usage=grants_to_wire(scheduler.usage()),
            usage_in_transfer={
                job_id: grants_to_wire(amounts) for job_id, amounts in scheduler.amounts_in_transfer().items()
            },
            quota_shares_acknowledged=self.grants_ack,
            handovers_taken=self.limit_split.took,
            idle_pool=c.floor.pool if leads else [],
            preemptions=[(*key, one.grace_s) for key, one in c.evictor.evictions.items()] if leads else [],
            cancelled_jobs=[job_id for _, job_id in self._cancelled],
        )

    def _changes_for(
        self, peer: Peer, view: View, scheduler: JobScheduler, statuses: "_Statuses", split: int | None
    ) -> "_Changes":
        """Return what has changed for a controller since what it took, up to the number `split` if there is one.

        Those outside the view hear of it too, so that they stop to act under an older one, but not of machines.
        """
        inside = peer.name in view.members
        return _Changes(
            base=peer.acknowledged,
            status={host: statuses.of(host) for host in self._rows.since(peer.acknowledged, split)} if inside else {},
            wishes={
                host: scheduler.desired_tasks(host) for host in self._wishes[peer.name].since(peer.acknowledged, split)
            },
        )

    def send_outside(self) -> None:
        """Without a place in a view, tell the others only that this process is there."""
        c = self._c
        for peer in c.peers.due_peers():
            lacks, revision = c.mirror.lacking, c.mirror.revision
            c.peers.send(peer, PeerMessage(c.member, c.membership.incarnation, 0, 0, lacks, revision, MESSAGE_VERSION))

    def strangers(self) -> dict[str, tuple[str, str, bool]]:
        """Return type, zone and kind (spot or not) of machines that report and are not in the fleet record."""
        c = self._c
        found = c.shard.unrecorded_machines() if c.shard is not None else {}
        for message in c.peers.last_messages():
            found |= message.unrecorded_machines
        return {host: kind for host, kind in found.items() if host not in c.machines}


class _Statuses:
    """The states of machines as of one moment, each worked out once for all messages."""

    def __init__(self, shard: Shard, now: timedelta) -> None:
        self._part = shard
        self._now = now
        self._known: dict[str, MachineStatus | None] = {}

    def of(self, host: str) -> MachineStatus | None:
        """Return a machine's state; None when we have no such machine."""
        if host not in self._known:
            self._known[host] = self._part.status(host, self._now)
        return self._known[host]


@dataclass(frozen=True, slots=True)
class _Changes:
    """What has changed since the number `base`: machines' states, and what we desire of the receiver's machines."""

    base: int
    status: dict[str, MachineStatus | None]
    wishes: dict[str, list[DesiredTaskRow] | None]


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
        desired_tasks=changes.wishes,
        cancelled_jobs=whole.cancelled_jobs,
    )
