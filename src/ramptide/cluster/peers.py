"""Delivery of messages between controllers.

A message carries the changes since a sequence number that the receiver has acknowledged, or whole tables when nothing
is acknowledged. Lost, late and repeated messages therefore do no harm.
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
#: The minimum time between two messages to a peer. Changes are collected meanwhile, as the cost of a message to both
#: sides hardly depends on its content.
MIN_SEND_INTERVAL = timedelta(milliseconds=100)
NO_TIME = timedelta(0)


@dataclass(slots=True)
class Peer:
    """Another controller, and the state of the exchange of messages with it.

    All moments are on the monotonic clock.

    Attributes
    ----------
    name, address
        The name of the controller, and the `host:port` at which it receives messages.
    is_message_in_flight
        Whether a message to it is in flight.
    sent_at
        When the last message to it was sent; None before the first one.
    received_sequence
        The sequence number up to which its messages of this view have been accepted.
    acknowledged
        The sequence number up to which it has accepted the messages of this controller in this view.
    due_at
        When the next message to it is due.
    heard_at
        When its last message of any view was accepted; None before the first one.
    last_message
        Its last complete message in this view; None before the first one.
    store_unavailable_agreed_at
        When the last message was sent to which it replied that the key-value store does not answer it either; None
        before the first such reply.
    replied_at, incarnation, newest_view
        When its last reply arrived, and the incarnation and the newest view named in that reply; `replied_at` is None
        before the first one.
    """

    name: str
    address: str
    is_message_in_flight: bool = False
    sent_at: timedelta | None = None
    received_sequence: ReceivedSequence = field(default_factory=ReceivedSequence)
    acknowledged: int = 0
    due_at: timedelta = NO_TIME
    heard_at: timedelta | None = None
    last_message: PeerMessage | None = None
    store_unavailable_agreed_at: timedelta | None = None
    replied_at: timedelta | None = None
    incarnation: str = ""
    newest_view: int = 0


class Peers:
    """Sends messages to the other controllers, and keeps the last message received from each.

    Parameters
    ----------
    runtime
        The clock and the HTTP client.
    addresses
        The address of each other controller, by name.
    is_from_member
        Returns whether the sender of a message is a member of the current view, not an earlier process of that name.
    on_message
        Called with each accepted message and its sender.
    on_finished_jobs
        Called with the jobs that a reply reports as finished.
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
        #: The newest view that any message has named.
        self.newest_view = 0
        #: The number of view changes so far; a reply to a message that was sent before the last change acknowledges
        #: nothing.
        self._view_count = 0
        self.by_name = {name: Peer(name, address) for name, address in addresses.items()}

    def on_new_view(self) -> None:
        """Reset what was received and acknowledged in the previous view, so that everything is sent again."""
        self._view_count += 1
        for peer in self.by_name.values():
            peer.last_message = None
            peer.received_sequence = ReceivedSequence()
            peer.acknowledged = 0
            peer.due_at = NO_TIME

    def last_message(self, member: str) -> PeerMessage | None:
        """Return the last complete message of a member in this view; None when there is none."""
        peer = self.by_name.get(member)
        return peer.last_message if peer is not None else None

    def last_messages(self) -> list[PeerMessage]:
        """Return the last complete message of each other member that has sent one in this view."""
        return [peer.last_message for peer in self.by_name.values() if peer.last_message is not None]

    # Outgoing messages

    def due_peers(self) -> list[Peer]:
        """Return the controllers to which a message is due now."""
        now = self._runtime.now
        return [
            peer
            for peer in self.by_name.values()
            if peer.due_at <= now
            and not peer.is_message_in_flight
            and (peer.sent_at is None or now - peer.sent_at >= MIN_SEND_INTERVAL)
        ]

    def send_all_soon(self) -> None:
        """Make a message to every other controller due now."""
        for peer in self.by_name.values():
            self.send_within(peer, NO_TIME)

    def send_within(self, peer: Peer, within: timedelta) -> None:
        """Make the next message to a controller due after the given time at the latest."""
        peer.due_at = min(peer.due_at, self._runtime.now + within)

    def send(self, peer: Peer, message: PeerMessage, interval: timedelta = SEND_INTERVAL) -> None:
        """Send a message; the next one is due after `interval`.

        Only one message at a time is in flight to a controller. The next one carries all changes made meanwhile.
        """
        peer.is_message_in_flight = True
        sent_at, view_count = self._runtime.now, self._view_count
        peer.sent_at = sent_at
        peer.due_at = sent_at + interval

        def on_response(response: Response | None) -> None:
            peer.is_message_in_flight = False
            if response is None or response.status != HTTPStatus.OK:
                return
            try:
                reply = decode_reply(response.body, peer.name)
            except MalformedReplyError as error:
                log.error("peer reply refused: member=%s error=%r", error.member, str(error))
                return
            self._apply_reply(peer, message, reply, sent_at, is_current=view_count == self._view_count)

        body = encode_message(message)
        request = Request(peer.address, "POST", PEER_MESSAGES_PATH, CALL_TIMEOUT, body, CBOR)
        self._runtime.call(request, on_response)

    def _apply_reply(
        self, peer: Peer, message: PeerMessage, reply: PeerReply, sent_at: timedelta, is_current: bool
    ) -> None:
        """Apply the reply to a message.

        Parameters
        ----------
        is_current
            Whether the view has not changed since the message was sent.
        """
        peer.replied_at = self._runtime.now
        peer.incarnation = reply.incarnation
        peer.newest_view = reply.newest_view
        if is_current:
            # A peer that lacks an earlier message cannot accept this one. Its reply names the sequence number up to
            # which it has accepted messages, and the changes after that number are sent again.
            is_same_view = reply.view == message.view
            peer.acknowledged = min(max(reply.received, 0), message.sequence_number) if is_same_view else 0
        if reply.finished_jobs:
            self._on_finished_jobs(reply.finished_jobs)
        if _confirms_store_unavailable(message, reply):
            peer.store_unavailable_agreed_at = sent_at

    # Incoming messages

    def receive(self, body: bytes, view: int) -> tuple[PeerMessage, Peer]:
        """Decode and check a message of another controller, and apply it if it is accepted.

        Parameters
        ----------
        body
            The encoded message.
        view
            The number of the view in which this controller acts; 0 without one. Of a message of another view, only the
            number of that view is recorded.

        Returns
        -------
        The message and its sender.

        Raises
        ------
        PeerMessageError
            If the message cannot be decoded, its sender is unknown, or its version differs from this controller's.
            No part of the message has been applied.
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
            and peer.received_sequence.accept(message.base, message.sequence_number)
        ):
            peer.heard_at = self._runtime.now
            if not message.more:
                peer.last_message = message
            self._on_message(message, peer)
        return message, peer

    # Evidence from replies

    def store_unavailable_agreed_at(self) -> timedelta | None:
        """Return the time at which every other controller agreed that the key-value store was unavailable.

        It is the earliest of the last times at which each of them agreed, or the current time when there are no other
        controllers. None while any of them has not agreed yet.
        """
        moments = [peer.store_unavailable_agreed_at for peer in self.by_name.values()]
        known = [moment for moment in moments if moment is not None]
        return min(known, default=self._runtime.now) if len(known) == len(moments) else None

    def no_replies_after(self, member: str, incarnation: str, view: int) -> timedelta | None:
        """Return the time after which a process has certainly replied to no heartbeat under a view before `view`.

        At that time the process knew `view` or a newer one, or another process ran under its name. None without such
        proof.
        """
        peer = self.by_name.get(member)
        if peer is None or peer.replied_at is None:
            return None
        return peer.replied_at if peer.incarnation != incarnation or peer.newest_view >= view else None


def _confirms_store_unavailable(message: PeerMessage, reply: PeerReply) -> bool:
    """Return whether neither side reaches the key-value store and this controller lacks nothing that the peer knows.

    The peer acts in the view of the message or, just started, in none, so that it cannot have changed the view between
    the message and its reply. The reply also names every cancellation that the peer may have confirmed to its users up
    to then; a cancellation of which this controller is not told must take effect when the leases of its tasks expire.
    """
    return (
        message.store_unavailable
        and reply.store_unavailable
        and reply.view in (0, message.view)
        and reply.finished_jobs is not None
    )
