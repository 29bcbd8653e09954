"""The form of the messages between controllers, and their encoding.

Both the field names and the version are read by controllers that run another build: the wire names stand in `rename`,
and whatever another build would misread raises `MESSAGE_VERSION`.
"""

from typing import Annotated, Any, NamedTuple, TypeVar

import cbor2
import msgspec

from ramptide.cluster.errors import MalformedMessageError, MalformedReplyError
from ramptide.cluster.machine_status import MachineStatus
from ramptide.protocol.types import Amount, Count
from ramptide.state.task_state import DesiredTaskRow

__all__ = [
    "MESSAGE_VERSION",
    "PEER_MESSAGES_PATH",
    "PeerMessage",
    "PeerReply",
    "PreemptionRow",
    "ShareRow",
    "UnrecordedMachine",
    "UsageRow",
    "WaitingJobRow",
    "decode_message",
    "decode_reply",
    "encode_message",
    "encode_reply",
]

#: Where controllers take each other's messages.
PEER_MESSAGES_PATH = "/sync"
#: Raised when messages change so that another version would misread them.
MESSAGE_VERSION = 5

#: CPUs and GPUs that a team's tasks hold or wait for; sums of decimal numbers may be off zero by a rounding error.
UsageRow = tuple[
    Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)],
    Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)],
]
#: CPUs and GPUs of a team's quota share, each infinite where the team has no limit.
ShareRow = tuple[
    Annotated[float, msgspec.Meta(ge=-1e12)],
    Annotated[float, msgspec.Meta(ge=-1e12)],
]


class WaitingJobRow(NamedTuple):
    """A job with tasks that may be started: how many, for how many seconds, and the machines that it avoids."""

    job_id: str
    task_count: Count
    waited_s: Amount
    avoided_hosts: list[str]


class UnrecordedMachine(NamedTuple):
    """A machine that sends heartbeats and is not in the fleet record."""

    machine_type: str
    zone: str
    spot: bool


class PreemptionRow(NamedTuple):
    """An attempt that the leader preempts, and the seconds that it gets to save its progress."""

    job_id: str
    task_index: Count
    attempt: Count
    grace_s: Amount


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

    Of machines' status and desired tasks it has what changed since the sequence number `base`, which the receiver has
    acknowledged (0: everything); of the rest it has everything.

    Attributes
    ----------
    member
        The name of the sender.
    incarnation
        The incarnation under which the sender is a member.
    view
        The view in which the sender acts, 0 without one.
    sequence_number
        The sender's number of this message, higher than that of the one before.
    store_unavailable
        Whether the key-value store did not answer the sender's last request.
    revision
        The sender's copy of the key-value store shows every change up to this revision.
    version
        The sender's `MESSAGE_VERSION`.
    base
        The sequence number after which changes are in this message.
    more
        More machines have changed than one message takes: it has only the changes up to `sequence_number`, and nothing
        else.
    reconciled
        Whether the sender knows the state of all machines in this view.
    acknowledged
        By sender, the sequence number up to which the desired tasks are applied to our machines.
    desired_tasks
        By machine of the receiver, the tasks that the sender's scheduler wants there; None for none any more.
    machine_status
        By machine of the sender, its status; None for a machine that it has no more.
    usage
        By team, what the attempts of the sender's jobs hold.
    demand
        By team, what the waiting tasks of the sender's jobs would use. To the leader only.
    waiting_jobs
        The sender's jobs with tasks that may be started. To the leader only.
    usage_in_transfer
        By job that the sender is handing over, and by team, what its attempts hold.
    quota_shares
        By team, what the receiver may use; None when that is not decided. From the leader only.
    quota_shares_acknowledged
        The sequence number of the leader's message whose quota shares the sender has taken.
    handovers_taken
        The jobs whose handover the leader has counted in the quota shares.
    idle_pool
        The idle machines that the leader keeps.
    cancelled_jobs
        Jobs whose cancellation the sender has confirmed to users in the last minute.
    unrecorded_machines
        By name, the machines that send heartbeats and that the fleet record lacks. To the leader only.
    unconfirmed_terminations
        By machine, for how many seconds a task of a finished job may have been there with no heartbeats.
    preemptions
        The attempts that the leader preempts.
    quota
        A message of the quota feature, which checks it; None where that feature is off.
    """

    member: str
    incarnation: str
    view: Count
    sequence_number: Count
    store_unavailable: bool
    revision: Count = 0
    version: int = 0
    base: Count = 0
    more: bool = False
    reconciled: bool = False
    acknowledged: dict[str, Count] = {}
    desired_tasks: dict[str, list[DesiredTaskRow] | None] = {}
    machine_status: dict[str, MachineStatus | None] = {}
    usage: dict[str, UsageRow] = {}
    demand: dict[str, UsageRow] = {}
    waiting_jobs: list[WaitingJobRow] = []
    usage_in_transfer: dict[str, dict[str, UsageRow]] = {}
    quota_shares: dict[str, ShareRow] | None = None
    quota_shares_acknowledged: Count = 0
    handovers_taken: list[str] = []
    idle_pool: list[str] = []
    cancelled_jobs: list[str] = []
    unrecorded_machines: dict[str, UnrecordedMachine] = {}
    unconfirmed_terminations: dict[str, Amount] = {}
    preemptions: list[PreemptionRow] = []
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
    """The reply to a `PeerMessage`.

    Attributes
    ----------
    incarnation
        The incarnation of the replying controller.
    view
        The view in which it acts, 0 without one.
    store_unavailable
        Whether the key-value store did not answer its last request either.
    newest_view
        The newest view that it knows of; it renews no task's lease under an older one any more.
    received
        The sequence number up to which it has the sender's messages.
    finished_jobs
        To a sender without the key-value store: every job of which a user may have been told since the sender's
        revision that it is cancelled, and others that finished. None when that is not known, as its process was not
        there then.
    """

    incarnation: str
    view: int
    store_unavailable: bool
    newest_view: int
    received: int = 0
    finished_jobs: list[str] | None = None


Message = TypeVar("Message")


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def encode_reply(reply: PeerReply) -> bytes:
    """Encode a reply as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(reply))


def decode_message(body: bytes) -> PeerMessage:
    """Decode a message from CBOR.

    Raises
    ------
    MalformedMessageError
        If the body is no CBOR, or a field is missing or out of its bounds.
    """
    try:
        return _decode(body, PeerMessage)
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from error


def decode_reply(body: bytes, member: str) -> PeerReply:
    """Decode the reply of a member from CBOR.

    Raises
    ------
    MalformedReplyError
        If the body is no CBOR, or a field is missing or has another type.
    """
    try:
        return _decode(body, PeerReply)
    except (ValueError, RecursionError) as error:
        raise MalformedReplyError(member, str(error)) from error


def _decode(body: bytes, kind: type[Message]) -> Message:
    try:
        return msgspec.convert(cbor2.loads(body), kind)
    except (msgspec.ValidationError, cbor2.CBORDecodeError) as error:
        raise ValueError(str(error)) from error
