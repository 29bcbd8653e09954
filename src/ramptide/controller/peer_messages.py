"""Receives, applies and answers the messages of other controllers."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from ramptide.agents.owned_machine import OwnedMachine
from ramptide.agents.shard import Shard
from ramptide.cluster.errors import PeerMessageError
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.machine_status import MachineStatus
from ramptide.cluster.membership import Membership
from ramptide.cluster.messages import PeerMessage, PeerReply, encode_reply
from ramptide.cluster.peers import Peer, Peers
from ramptide.cluster.view import View
from ramptide.controller.cancellations import RecentCancellations
from ramptide.controller.fencing import Fencing
from ramptide.controller.shares import QuotaShares
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.preemption import Preemptor
from ramptide.state.amounts import shares_from_wire
from ramptide.state.records import JOB_PREFIX
from ramptide.state.task_state import TaskRow
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.share_split import ShareSplit
from ramptide.transport.runtime import Runtime

__all__ = ["DesiredStateGate", "PeerMessageHandler", "apply_acknowledgement"]

log = logging.getLogger(__name__)

AT_ONCE = timedelta(0)


class MessageState(Protocol):
    """Provides the view that this controller acts in, with its machines and jobs there."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def shard(self) -> Shard | None:
        """The machines that this controller owns; None without a place in the view."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that this controller schedules; None without a place in the view."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class AssignmentUpdates(Protocol):
    """Applies what messages report of jobs and machines."""

    def drop_finished(self, job_ids: list[str]) -> None:
        """Drop jobs that another controller reports as finished."""

    def apply_machine_status(self, host: str, status: MachineStatus | None) -> None:
        """Apply a machine's status from its owner's message."""


class QuotaMessages(Protocol):
    """The quota feature, which has its own field in the messages."""

    def apply_message(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        """Apply what another member reports about team limits."""


class DesiredStateGate:
    """Decides whether tasks may be started now on a machine that this controller owns."""

    def __init__(self, may_start: Callable[[], bool]) -> None:
        self._may_start = may_start

    def may_start_tasks(self, machine: OwnedMachine) -> bool:
        """Return whether the machine is reconciled, is not about to leave, and this controller may start tasks."""
        record = machine.record
        is_staying = record.registered and record.drain_reason is None and machine.preempted_at is None
        return machine.is_reconciled and is_staying and self._may_start()


def apply_acknowledgement(
    state: MessageState, machine_index: MachineIndex, scheduler: JobScheduler, owner: str, acknowledged: int
) -> None:
    """Record that an owner of machines has processed this controller's messages up to a sequence number.

    The known statuses of the owner's machines include the effects of these messages.
    """

    def reported_tasks(host: str) -> list[TaskRow] | None:
        if state.owner_of(host) != owner:
            return None
        observed = machine_index.machines.get(host)
        if observed is None or not observed.is_reported:
            return []
        return observed.tasks if observed.is_reconciled else None

    scheduler.apply_acknowledgement(acknowledged, reported_tasks)


class PeerMessageHandler:
    """Applies the messages of the members of the current view, and answers those of all controllers."""

    def __init__(
        self,
        runtime: Runtime,
        state: MessageState,
        membership: Membership,
        watch_cache: WatchCache,
        peers: Peers,
        machine_index: MachineIndex,
        assignments: AssignmentUpdates,
        fencing: Fencing,
        shares: QuotaShares,
        share_split: ShareSplit,
        preemptor: Preemptor,
        cancellations: RecentCancellations,
        gate: DesiredStateGate,
        quota: QuotaMessages | None,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._peers = peers
        self._machine_index = machine_index
        self._assignments = assignments
        self._fencing = fencing
        self._shares = shares
        self._share_split = share_split
        self._preemptor = preemptor
        self._cancellations = cancellations
        self._gate = gate
        self._quota = quota

    def receive(self, body: bytes) -> bytes | None:
        """Apply another controller's message and return the encoded reply, or None when the message is refused."""
        view, has_place = self._state.view, self._state.shard is not None
        number = view.number if view is not None and has_place else 0
        try:
            message, peer = self._peers.receive(body, number)
        except PeerMessageError as error:
            log.error("peer message refused: member=%s error=%r", error.member, str(error))
            return None
        reply = PeerReply(
            incarnation=self._membership.incarnation,
            view=number,
            store_unavailable=self._watch_cache.is_unavailable,
            newest_view=max(number, self._peers.newest_view),
            received=peer.received_sequence.sequence_number,
            finished_jobs=self._finished_since(message.revision) if message.store_unavailable else None,
        )
        return encode_reply(reply)

    def _finished_since(self, revision: int) -> list[str] | None:
        """Return the jobs that users may have been told are cancelled and that a copy as of `revision` still contains.

        A reply to a user is based on a transaction of this controller or on a read, and the local watch cache shows
        both. None when not all deletions since `revision` are known here.
        """
        deleted = self._watch_cache.deleted_since(revision)
        if deleted is None:
            return None
        finished = {key.removeprefix(JOB_PREFIX) for key in deleted if key.startswith(JOB_PREFIX)}
        return sorted(finished.union(self._cancellations.job_ids()))

    def is_from_member(self, message: PeerMessage) -> bool:
        """Return whether the sender is the process that is a member of the current view."""
        view = self._state.view
        if view is None or self._state.scheduler is None:
            return False
        return message.incarnation == view.members.get(message.member)

    def on_message(self, message: PeerMessage, peer: Peer) -> None:
        """Apply a message of a member of the current view."""
        scheduler, shard, view = self._state.scheduler, self._state.shard, self._state.view
        if scheduler is None or shard is None or view is None:
            return
        self._fencing.record_first_message(message.member)
        self._assignments.drop_finished(message.cancelled_jobs)
        may_start_tasks = self._gate.may_start_tasks
        shard.desired_states.apply(message.member, message.sequence_number, message.desired_tasks, may_start_tasks)
        if message.desired_tasks:
            self._peers.send_within(peer, AT_ONCE)
        if message.member == view.leader and not message.more:
            self._apply_leader_message(message, scheduler)
        for host, status in message.machine_status.items():
            if self._state.owner_of(host) == message.member:
                self._assignments.apply_machine_status(host, status)
        scheduler.needs_round = True
        if not message.more:
            self._apply_complete_message(message, scheduler)

    def _apply_complete_message(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        """Apply the parts of a message that hold only when it includes all changes of its sender."""
        acknowledged = message.acknowledged.get(self._state.member, 0)
        apply_acknowledgement(self._state, self._machine_index, scheduler, message.member, acknowledged)
        self._share_split.record_acknowledgement(message.member, message.quota_shares_acknowledged)
        self._machine_index.merge_unconfirmed_seconds(message.unconfirmed_terminations, self._runtime.now)
        if self._quota is not None:
            self._quota.apply_message(message, scheduler)

    def _apply_leader_message(self, message: PeerMessage, scheduler: JobScheduler) -> None:
        self._machine_index.set_idle_pool(message.idle_pool)
        if message.quota_shares is not None:
            # The transfers are confirmed together with the new shares, which no longer cover the jobs that the leader
            # took over.
            self._shares.receive_grant(shares_from_wire(message.quota_shares), message.sequence_number)
            for job_id in message.handovers_taken:
                scheduler.confirm_transfer(job_id)
        for job_id, task_index, number, grace_s in message.preemptions:
            self._preemptor.stop_task((job_id, task_index, number), timedelta(seconds=grace_s))
