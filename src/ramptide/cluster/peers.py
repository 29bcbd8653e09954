"""The messages between controllers.

They carry numbered changes since an acknowledged number, and whole states on any doubt, so that lost, late and repeated
messages do no harm.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated, Any

import cbor2
import msgspec

from ramptide.cluster.change_log import ReceivedSequence
from ramptide.cluster.machine_status import MachineStatus
from ramptide.cluster.unrecorded_machine import UnrecordedMachine
from ramptide.protocol.types import Amount, Count
from ramptide.state.task_state import DesiredTaskRow
from ramptide.transport.runtime import CBOR, Response, Runtime

log = logging.getLogger(__name__)

PEER_MESSAGES_PATH = "/sync"
CALL_TIMEOUT = timedelta(seconds=1)
SEND_INTERVAL = timedelta(seconds=0.5)
#: News for a peer gathers so long: each message costs both sides the same few turns whatever it holds.
MIN_SEND_INTERVAL = timedelta(milliseconds=100)
ZERO = timedelta(0)
#: Raised when messages change so that another version would misread them.
MESSAGE_VERSION = 5


#: What a team's tasks take, which may be off zero by a rounding; and what it may take, which may have no end.
SignedAmount = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
ShareAmount = Annotated[float, msgspec.Meta(ge=-1e12)]


#: A job of which tasks wait, how many, for how many seconds, and the machines that it avoids.
WaitingJobRow = tuple[str, Count, Amount, list[str]]


class PeerMessage(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "incarnation": "inc",
        "sequence_number": "seq",
        "store_unavailable": "lacks",
        "revision": "epoch",
        "version": "wire",
        "reconciled": "latched",
        "acknowledged": "acks",
        "desired_tasks": "wishes",
        "machine_status": "status",
        "usage": "using",
        "demand": "asking",
        "waiting_jobs": "waiting",
        "usage_in_transfer": "limbo",
        "quota_shares": "grants",
        "quota_shares_acknowledged": "grants_ack",
        "handovers_taken": "took",
        "idle_pool": "pool",
        "cancelled_jobs": "cancelled",
        "unrecorded_machines": "strangers",
        "unconfirmed_terminations": "unproven",
        "preemptions": "evict",
    },
):
    """One message between controllers.

    Of machines' states and desired tasks it has what changed since `base`, the number up to which the receiver has said
    it took them (0: everything); of the rest, everything.
    """

    member: str
    incarnation: str
    view: Count
    sequence_number: Count
    store_unavailable: bool
    #: The sender's copy of the state service shows every change up to this one.
    revision: Count = 0
    version: int = 0
    base: Count = 0
    #: More machines have changed than one message takes. Only the changes up to `seq` are told here, and nothing else.
    more: bool = False
    reconciled: bool = False
    acknowledged: dict[str, Count] = {}
    desired_tasks: dict[str, list[DesiredTaskRow] | None] = {}
    machine_status: dict[str, MachineStatus | None] = {}
    usage: dict[str, tuple[SignedAmount, SignedAmount]] = {}
    demand: dict[str, tuple[SignedAmount, SignedAmount]] = {}
    waiting_jobs: list[WaitingJobRow] = []
    usage_in_transfer: dict[str, dict[str, tuple[SignedAmount, SignedAmount]]] = {}
    quota_shares: dict[str, tuple[ShareAmount, ShareAmount]] | None = None
    quota_shares_acknowledged: Count = 0
    handovers_taken: list[str] = []
    idle_pool: list[str] = []
    cancelled_jobs: list[str] = []
    unrecorded_machines: dict[str, UnrecordedMachine] = {}
    #: For how many seconds a task of a job that is over may have been on a silent machine.
    unconfirmed_terminations: dict[str, Amount] = {}
    preemptions: list[tuple[str, Count, Count, Amount]] = []
    #: A message of the quota part, which checks it; None where that part is off.
    quota: Any = None


class PeerReply(
    msgspec.Struct,
    rename={
        "incarnation": "inc",
        "store_unavailable": "lacks",
        "newest_view": "newest",
        "received": "have",
        "finished_jobs": "over",
    },
):
    """The answer to a `Sync` message.

    It says whether the receiver cannot reach the state service either, in which view it acts, and the newest that it
    knows of: it renews no lease under an older one any more. `have`: how far it took our tables.

    `over`: to one that cannot reach the state service, every job of which it may have told a user since the sender's
    epoch that it is cancelled (and others that ended); None when it can't tell, as its process was not there then.
    """

    incarnation: str
    view: int
    store_unavailable: bool
    newest_view: int
    received: int = 0
    finished_jobs: list[str] | None = None


@dataclass(slots=True)
class Peer:
    """Another controller, with what was sent to it, heard from it and acknowledged by it; times are monotonic."""

    name: str
    address: str
    in_flight: bool = False
    sent_at: timedelta | None = None
    inbox: ReceivedSequence = field(default_factory=ReceivedSequence)
    acknowledged: int = 0
    due_at: timedelta = ZERO
    heard_at: timedelta | None = None
    last_message: PeerMessage | None = None
    agreed_unavailable_at: timedelta | None = None
    answered_at: timedelta | None = None
    incarnation: str = ""
    newest_view: int = 0


class Peers:
    """Sends messages to the other controllers and keeps the last one of each."""

    def __init__(
        self,
        context: Runtime,
        siblings: dict[str, str],
        belongs: Callable[[PeerMessage], bool],
        receive: Callable[[PeerMessage, Peer], None],
        call_off: Callable[[list[str]], None],
    ) -> None:
        self._context = context
        self._is_from_member = belongs
        self._on_message = receive
        self._on_finished_jobs = call_off
        self.newest_view = 0
        self._generation = 0
        self.by_name = {name: Peer(name, address) for name, address in siblings.items()}

    def new_view(self) -> None:
        """Forget what was said and acknowledged under the previous view, and send everything again."""
        self._generation += 1
        for peer in self.by_name.values():
            peer.last_message = None
            peer.inbox = ReceivedSequence()
            peer.acknowledged = 0
            peer.due_at = ZERO

    def last_message(self, member: str) -> PeerMessage | None:
        """Return the last message of a member in this view, or None when there is none."""
        peer = self.by_name.get(member)
        return peer.last_message if peer is not None else None

    def last_messages(self) -> list[PeerMessage]:
        """Return the last message of each other member of the view that has sent one."""
        return [peer.last_message for peer in self.by_name.values() if peer.last_message is not None]

    def due_peers(self) -> list[Peer]:
        """Return the controllers that are to be sent a message now."""
        now = self._context.now
        return [
            peer
            for peer in self.by_name.values()
            if peer.due_at <= now
            and not peer.in_flight
            and (peer.sent_at is None or now - peer.sent_at >= MIN_SEND_INTERVAL)
        ]

    def send_all_soon(self) -> None:
        """Send every other controller a message as soon as possible."""
        for peer in self.by_name.values():
            self.send_within(peer, ZERO)

    def send_within(self, peer: Peer, within: timedelta) -> None:
        """Send a controller its next message within the given time, as there is news for it."""
        peer.due_at = min(peer.due_at, self._context.now + within)

    def send(self, peer: Peer, message: PeerMessage, every: timedelta = SEND_INTERVAL) -> None:
        """Send a message; the next one is due `every` later.

        One message at a time is under way to a controller; the next one carries all that is newer.
        """
        peer.in_flight = True
        sent, generation = self._context.now, self._generation
        peer.sent_at = sent
        peer.due_at = sent + every

        def done(reply: Response | None) -> None:
            peer.in_flight = False
            if reply is None or reply.status != 200:
                return
            try:
                answer = msgspec.convert(cbor2.loads(reply.body), PeerReply)
            except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError) as error:
                log.error("broken answer of %s: %s", peer.name, error)
                return
            peer.answered_at, peer.incarnation, peer.newest_view = (
                self._context.now,
                answer.incarnation,
                answer.newest_view,
            )
            if generation == self._generation:
                # What it could not take for want of an earlier message is sent again from where it stands.
                peer.acknowledged = (
                    min(max(answer.received, 0), message.sequence_number) if answer.view == message.view else 0
                )
            if answer.finished_jobs:
                self._on_finished_jobs(answer.finished_jobs)
            # It lacks the state service now, and stands in our view or (just started) in none: nobody
            # there can have moved the view on between our asking and its answer. And whatever it promised its
            # users up to then we know now: a cancellation that nobody tells us of must end with our leases.
            if (
                message.store_unavailable
                and answer.store_unavailable
                and answer.view in (0, message.view)
                and answer.finished_jobs is not None
            ):
                peer.agreed_unavailable_at = sent

        self._context.call(peer.address, "POST", PEER_MESSAGES_PATH, encode_message(message), CBOR, CALL_TIMEOUT, done)

    def unavailable_agreed_since(self) -> timedelta | None:
        """Return the time since which all others have said that they cannot reach the state service either.

        None while some have not said so.
        """
        moments = [peer.agreed_unavailable_at for peer in self.by_name.values()]
        known = [moment for moment in moments if moment is not None]
        return min(known, default=self._context.now) if len(known) == len(moments) else None

    def no_replies_after(self, member: str, incarnation: str, view: int) -> timedelta | None:
        """Return the time by which a process surely answered no more reports under a view before `view`.

        It was told of a newer one, or another process has taken its place. None without proof.
        """
        peer = self.by_name.get(member)
        if peer is None or peer.answered_at is None:
            return None
        return peer.answered_at if peer.incarnation != incarnation or peer.newest_view >= view else None

    def receive(self, body: bytes, view: int) -> tuple[PeerMessage, Peer] | None:
        """Take another controller's message; return it with its sender, or None when it can't be read."""
        try:
            message = msgspec.convert(cbor2.loads(body), PeerMessage)
        except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError, RecursionError) as error:
            log.error("broken message between controllers: %s", error)
            return None
        peer = self.by_name.get(message.member)
        if peer is None:
            log.error("a message of %s, which the settings do not name", message.member)
            return None
        if message.version != MESSAGE_VERSION:
            versions = (message.member, message.version, MESSAGE_VERSION)
            log.error("%s speaks version %d between controllers, we speak %d", *versions)
            return None
        self.newest_view = max(self.newest_view, message.view)
        if (
            message.view == view
            and view
            and self._is_from_member(message)
            and peer.inbox.takes(message.base, message.sequence_number)
        ):
            peer.heard_at = self._context.now
            if not message.more:
                peer.last_message = message
            self._on_message(message, peer)
        return message, peer


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))
