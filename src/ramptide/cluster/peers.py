"""The delivery of messages between controllers.

A message carries the changes since a sequence number that the receiver has acknowledged, and whole tables on any
doubt, so that lost, late and repeated messages do no harm.
"""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

from ramptide.cluster.change_log import ReceivedSequence
from ramptide.cluster.errors import MalformedReplyError, UnknownSenderError, VersionMismatchError
from ramptide.cluster.messages import (
    MESSAGE_VERSION,
    PEER_MESSAGES_PATH,
    PeerMessage,
    PeerReply,
    decode_message,
    decode_reply,
    encode_message,
)
from ramptide.transport.runtime import CBOR, Request, Response, Runtime

__all__ = ["MIN_SEND_INTERVAL", "SEND_INTERVAL", "Peer", "Peers"]

log = logging.getLogger(__name__)

CALL_TIMEOUT = timedelta(seconds=1)
SEND_INTERVAL = timedelta(seconds=0.5)
#: Changes for a peer gather so long: each message costs both sides the same few turns whatever it holds.
MIN_SEND_INTERVAL = timedelta(milliseconds=100)
ZERO = timedelta(0)


@dataclass(slots=True)
class Peer:
    """Another controller, with what was sent to it, received from it and acknowledged by it.

    Attributes
    ----------
    name, address
        The member's name, and its `host:port` for messages.
    in_flight
        Whether a message is under way to it.
    sent_at
        When the last message was sent, on the monotonic clock like all moments here.
    inbox
        How far its messages of this view have been taken.
    acknowledged
        The sequence number up to which it has taken our messages of this view.
    due_at
        When the next message is to be sent.
    heard_at
        When its last message of any view was taken.
    last_message
        Its last complete message in this view.
    agreed_unavailable_at
        When the last message was sent to which it replied that the key-value store does not answer it either.
    replied_at, incarnation, newest_view
        When its last reply came, and the incarnation and the newest view that it named.
    """

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
    replied_at: timedelta | None = None
    incarnation: str = ""
    newest_view: int = 0


class Peers:
    """Sends messages to the other controllers and keeps the last one of each.

    Parameters
    ----------
    runtime
        The clock and the HTTP calls.
    addresses
        The address of each other controller, by its name.
    is_from_member
        Tells whether the sender of a message is a member of the current view, and not an earlier process of that name.
    on_message
        Called with each message that is taken, and its sender.
    on_finished_jobs
        Called with jobs that a reply names as finished.
    """

    def __init__(
        self,
        runtime: Runtime,
        addresses: Mapping[str, str],
        is_from_member: Callable[[PeerMessage], bool],
        on_message: Callable[[PeerMessage, Peer], None],
        on_finished_jobs: Callable[[list[str]], None],
    ) -> None:
        self._runtime = runtime
        self._is_from_member = is_from_member
        self._on_message = on_message
        self._on_finished_jobs = on_finished_jobs
        #: The newest view that any message named.
        self.newest_view = 0
        #: Counts the views, so that a reply to a message of an earlier one acknowledges nothing.
        self._generation = 0
        self.by_name = {name: Peer(name, address) for name, address in addresses.items()}

    def new_view(self) -> None:
        """Forget what was received and acknowledged in the previous view, and send everything again."""
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

    # Sending.

    def due_peers(self) -> list[Peer]:
        """Return the controllers that are to be sent a message now."""
        now = self._runtime.now
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
        """Send a controller its next message within the given time."""
        peer.due_at = min(peer.due_at, self._runtime.now + within)

    def send(self, peer: Peer, message: PeerMessage, interval: timedelta = SEND_INTERVAL) -> None:
        """Send a message; the next one is due after `interval`.

        One message at a time is under way to a controller; the next one carries all that is newer.
        """
        peer.in_flight = True
        sent_at, generation = self._runtime.now, self._generation
        peer.sent_at = sent_at
        peer.due_at = sent_at + interval

        def on_response(response: Response | None) -> None:
            peer.in_flight = False
            if response is None or response.status != HTTPStatus.OK:
                return
            try:
                reply = decode_reply(response.body, peer.name)
            except MalformedReplyError as error:
                log.error("peer reply refused: member=%s error=%r", error.member, str(error))
                return
            self._take_reply(peer, message, reply, sent_at, is_current=generation == self._generation)

        body = encode_message(message)
        request = Request(peer.address, "POST", PEER_MESSAGES_PATH, CALL_TIMEOUT, body, CBOR)
        self._runtime.call(request, on_response)

    def _take_reply(
        self, peer: Peer, message: PeerMessage, reply: PeerReply, sent_at: timedelta, is_current: bool
    ) -> None:
        """Take the reply to a message; `is_current`: no view has come since it was sent."""
        peer.replied_at = self._runtime.now
        peer.incarnation = reply.incarnation
        peer.newest_view = reply.newest_view
        if is_current:
            # What it could not take as an earlier message is missing is sent again from where it stands.
            same_view = reply.view == message.view
            peer.acknowledged = min(max(reply.received, 0), message.sequence_number) if same_view else 0
        if reply.finished_jobs:
            self._on_finished_jobs(reply.finished_jobs)
        if _agrees_that_store_is_unavailable(message, reply):
            peer.agreed_unavailable_at = sent_at

    # Receiving.

    def receive(self, body: bytes, view: int) -> tuple[PeerMessage, Peer]:
        """Take another controller's message; return it with its sender.

        Parameters
        ----------
        body
            The encoded message.
        view
            The view in which we act, 0 without one. Of messages of other views only the view's number is noted.

        Raises
        ------
        PeerMessageError
            If the message can't be read, or its sender or version is not ours. Nothing of it was taken.
        """
        message = decode_message(body)
        peer = self.by_name.get(message.member)
        if peer is None:
            raise UnknownSenderError(message.member)
        if message.version != MESSAGE_VERSION:
            raise VersionMismatchError(message.member, message.version, MESSAGE_VERSION)
        self.newest_view = max(self.newest_view, message.view)
        if (
            message.view == view
            and view
            and self._is_from_member(message)
            and peer.inbox.accept(message.base, message.sequence_number)
        ):
            peer.heard_at = self._runtime.now
            if not message.more:
                peer.last_message = message
            self._on_message(message, peer)
        return message, peer

    # What the replies prove.

    def unavailable_agreed_since(self) -> timedelta | None:
        """Return the time since which all others agree that the key-value store is unavailable.

        None while some have not agreed.
        """
        moments = [peer.agreed_unavailable_at for peer in self.by_name.values()]
        known = [moment for moment in moments if moment is not None]
        return min(known, default=self._runtime.now) if len(known) == len(moments) else None

    def no_replies_after(self, member: str, incarnation: str, view: int) -> timedelta | None:
        """Return the time after which a process surely answered no more heartbeats under a view before `view`.

        It knew of a newer one, or another process had taken its place. None without proof.
        """
        peer = self.by_name.get(member)
        if peer is None or peer.replied_at is None:
            return None
        return peer.replied_at if peer.incarnation != incarnation or peer.newest_view >= view else None


def _agrees_that_store_is_unavailable(message: PeerMessage, reply: PeerReply) -> bool:
    """Tell whether neither side reaches the key-value store, and nothing is missing here that the other side knows.

    The other side acts in our view or (just started) in none: nobody there can have changed the view between our
    message and its reply. And it names every cancellation that it may have confirmed to its users up to then: one that
    nobody tells us of must take effect when our tasks' leases expire.
    """
    return (
        message.store_unavailable
        and reply.store_unavailable
        and reply.view in (0, message.view)
        and reply.finished_jobs is not None
    )
