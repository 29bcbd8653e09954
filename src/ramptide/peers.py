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

from ramptide.context import CBOR, Reply, Runtime
from ramptide.delta import ReceivedSequence
from ramptide.machine_status import MachineStatus
from ramptide.task_state import DesiredTaskRow
from ramptide.wire import Amount, Count

log = logging.getLogger(__name__)

PATH = "/sync"
TIMEOUT = timedelta(seconds=1)
EVERY = timedelta(seconds=0.5)
#: News for a peer gathers so long: each message costs both sides the same few turns whatever it holds.
GAP = timedelta(milliseconds=100)
ZERO = timedelta(0)
#: Raised when messages change so that another version would misread them.
WIRE = 5


#: What a team's tasks take, which may be off zero by a rounding; and what it may take, which may have no end.
Taken = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Allowed = Annotated[float, msgspec.Meta(ge=-1e12)]


#: A job of which tasks wait, how many, for how many seconds, and the machines that it avoids.
WaitingRow = tuple[str, Count, Amount, list[str]]


class Sync(msgspec.Struct, omit_defaults=True):
    """One message between controllers.

    Of machines' states and desired tasks it has what changed since `base`, the number up to which the receiver has said
    it took them (0: everything); of the rest, everything.
    """

    member: str
    inc: str
    view: Count
    seq: Count
    lacks: bool
    #: The sender's copy of the state service shows every change up to this one.
    epoch: Count = 0
    wire: int = 0
    base: Count = 0
    #: More machines have changed than one message takes. Only the changes up to `seq` are told here, and nothing else.
    more: bool = False
    latched: bool = False
    acks: dict[str, Count] = {}
    wishes: dict[str, list[DesiredTaskRow] | None] = {}
    status: dict[str, MachineStatus | None] = {}
    using: dict[str, tuple[Taken, Taken]] = {}
    asking: dict[str, tuple[Taken, Taken]] = {}
    waiting: list[WaitingRow] = []
    limbo: dict[str, dict[str, tuple[Taken, Taken]]] = {}
    grants: dict[str, tuple[Allowed, Allowed]] | None = None
    grants_ack: Count = 0
    took: list[str] = []
    pool: list[str] = []
    cancelled: list[str] = []
    strangers: dict[str, tuple[str, str, bool]] = {}
    #: For how many seconds a task of a job that is over may have been on a silent machine.
    unproven: dict[str, Amount] = {}
    evict: list[tuple[str, Count, Count, Amount]] = []
    #: A message of the quota part, which checks it; None where that part is off.
    quota: Any = None


class Answer(msgspec.Struct):
    """The answer to a `Sync` message.

    It says whether the receiver cannot reach the state service either, in which view it acts, and the newest that it
    knows of: it renews no lease under an older one any more. `have`: how far it took our tables.

    `over`: to one that cannot reach the state service, every job of which it may have told a user since the sender's
    epoch that it is cancelled (and others that ended); None when it can't tell, as its process was not there then.
    """

    inc: str
    view: int
    lacks: bool
    newest: int
    have: int = 0
    over: list[str] | None = None


@dataclass(slots=True)
class Peer:
    """Another controller, with what was sent to it, heard from it and acknowledged by it; times are monotonic."""

    name: str
    address: str
    busy: bool = False
    sent: timedelta | None = None
    inbox: ReceivedSequence = field(default_factory=ReceivedSequence)
    taken: int = 0
    due: timedelta = ZERO
    heard: timedelta | None = None
    said: Sync | None = None
    agreed: timedelta | None = None
    answered: timedelta | None = None
    inc: str = ""
    newest: int = 0


class Peers:
    """Sends messages to the other controllers and keeps the last one of each."""

    def __init__(
        self,
        context: Runtime,
        siblings: dict[str, str],
        belongs: Callable[[Sync], bool],
        receive: Callable[[Sync, Peer], None],
        call_off: Callable[[list[str]], None],
    ) -> None:
        self._context = context
        self._belongs = belongs
        self._receive = receive
        self._call_off = call_off
        self.newest = 0
        self._generation = 0
        self.all = {name: Peer(name, address) for name, address in siblings.items()}

    def new_view(self) -> None:
        """Forget what was said and acknowledged under the previous view, and send everything again."""
        self._generation += 1
        for peer in self.all.values():
            peer.said = None
            peer.inbox = ReceivedSequence()
            peer.taken = 0
            peer.due = ZERO

    def said(self, member: str) -> Sync | None:
        """Return the last message of a member in this view, or None when there is none."""
        peer = self.all.get(member)
        return peer.said if peer is not None else None

    def messages(self) -> list[Sync]:
        """Return the last message of each other member of the view that has sent one."""
        return [peer.said for peer in self.all.values() if peer.said is not None]

    def due(self) -> list[Peer]:
        """Return the controllers that are to be sent a message now."""
        now = self._context.now
        return [
            peer
            for peer in self.all.values()
            if peer.due <= now and not peer.busy and (peer.sent is None or now - peer.sent >= GAP)
        ]

    def hurry_all(self) -> None:
        """Send every other controller a message as soon as possible."""
        for peer in self.all.values():
            self.hurry(peer, ZERO)

    def hurry(self, peer: Peer, within: timedelta) -> None:
        """Send a controller its next message within the given time, as there is news for it."""
        peer.due = min(peer.due, self._context.now + within)

    def send(self, peer: Peer, sync: Sync, every: timedelta = EVERY) -> None:
        """Send a message; the next one is due `every` later.

        One message at a time is under way to a controller; the next one carries all that is newer.
        """
        peer.busy = True
        sent, generation = self._context.now, self._generation
        peer.sent = sent
        peer.due = sent + every

        def done(reply: Reply | None) -> None:
            peer.busy = False
            if reply is None or reply.status != 200:
                return
            try:
                answer = msgspec.convert(cbor2.loads(reply.body), Answer)
            except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError) as error:
                log.error("broken answer of %s: %s", peer.name, error)
                return
            peer.answered, peer.inc, peer.newest = self._context.now, answer.inc, answer.newest
            if generation == self._generation:
                # What it could not take for want of an earlier message is sent again from where it stands.
                peer.taken = min(max(answer.have, 0), sync.seq) if answer.view == sync.view else 0
            if answer.over:
                self._call_off(answer.over)
            # It lacks the state service now, and stands in our view or (just started) in none: nobody
            # there can have moved the view on between our asking and its answer. And whatever it promised its
            # users up to then we know now: a cancellation that nobody tells us of must end with our leases.
            if sync.lacks and answer.lacks and answer.view in (0, sync.view) and answer.over is not None:
                peer.agreed = sent

        self._context.call(peer.address, "POST", PATH, encode(sync), CBOR, TIMEOUT, done)

    def agreement(self) -> timedelta | None:
        """Return the time since which all others have said that they cannot reach the state service either.

        None while some have not said so.
        """
        moments = [peer.agreed for peer in self.all.values()]
        known = [moment for moment in moments if moment is not None]
        return min(known, default=self._context.now) if len(known) == len(moments) else None

    def ended(self, member: str, inc: str, view: int) -> timedelta | None:
        """Return the time by which a process surely answered no more reports under a view before `view`.

        It was told of a newer one, or another process has taken its place. None without proof.
        """
        peer = self.all.get(member)
        if peer is None or peer.answered is None:
            return None
        return peer.answered if peer.inc != inc or peer.newest >= view else None

    def take(self, body: bytes, view: int) -> tuple[Sync, Peer] | None:
        """Take another controller's message; return it with its sender, or None when it can't be read."""
        try:
            sync = msgspec.convert(cbor2.loads(body), Sync)
        except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError, RecursionError) as error:
            log.error("broken message between controllers: %s", error)
            return None
        peer = self.all.get(sync.member)
        if peer is None:
            log.error("a message of %s, which the settings do not name", sync.member)
            return None
        if sync.wire != WIRE:
            log.error("%s speaks version %d between controllers, we speak %d", sync.member, sync.wire, WIRE)
            return None
        self.newest = max(self.newest, sync.view)
        if sync.view == view and view and self._belongs(sync) and peer.inbox.takes(sync.base, sync.seq):
            peer.heard = self._context.now
            if not sync.more:
                peer.said = sync
            self._receive(sync, peer)
        return sync, peer


def encode(sync: Sync) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(sync))
