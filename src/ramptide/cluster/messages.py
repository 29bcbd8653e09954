"""The messages between controllers and their encoding.

Controllers of other builds read these messages. `rename` therefore maps each field to its fixed name on the wire, and
`MESSAGE_VERSION` is increased with any change that another build would misread.
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

#: The path at which controllers receive messages of other controllers.
PEER_MESSAGES_PATH = "/sync"
#: Increased when the messages change in a way that another version would misread.
MESSAGE_VERSION = 5

#: CPUs and GPUs that a team's tasks hold or wait for. They may be slightly negative, as sums of decimal numbers have
#: rounding errors.
UsageRow = tuple[
    Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)],
    Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)],
]
#: CPUs and GPUs of a team's quota share; each is infinite where the team has no limit.
ShareRow = tuple[
    Annotated[float, msgspec.Meta(ge=-1e12)],
    Annotated[float, msgspec.Meta(ge=-1e12)],
]


class WaitingJobRow(NamedTuple):
    """A job with tasks that may be started: their number, its waiting time, and the machines that it avoids."""

    job_id: str
    task_count: Count
    waited_s: Amount
    avoided_hosts: list[str]


class UnrecordedMachine(NamedTuple):
    """A machine that sends heartbeats but is not in the fleet record."""

    machine_type: str
    zone: str
    spot: bool


class PreemptionRow(NamedTuple):
    """An attempt that the leader preempts, and its grace period in seconds to save its progress."""

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
    """A message from one controller to another.

    The fields `machine_status` and `desired_tasks` hold the changes since the sequence number `base`, which the
    receiver has acknowledged, or everything when `base` is 0. All other fields are complete, unless `more` is set.

    Attributes
    ----------
    member
        The name of the sender.
    incarnation
        The incarnation under which the sender is a member.
    view
        The number of the view in which the sender acts; 0 without one.
    sequence_number
        The sequence number that the sender gave to this message, greater than that of its previous message.
    store_unavailable
        Whether the key-value store did not answer the sender's last request.
    revision
        The revision of the key-value store up to which the sender's copy contains every change.
    version
        The `MESSAGE_VERSION` of the sender.
    base
        The sequence number after which this message contains the changes.
    more
        Whether more machines have changed than fit into one message. Such a message holds the changes up to
        `sequence_number` and the cancelled jobs, and leaves out all other tables.
    reconciled
        Whether the sender knows what earlier views left on all machines.
    acknowledged
        By name of a controller, the sequence number up to which its desired tasks are applied to the machines of the
        sender.
    desired_tasks
        By machine of the receiver, the tasks that the sender's scheduler wants there; None when it no longer wants any.
    machine_status
        By machine of the sender, its status; None for a machine that the sender no longer has.
    usage
        By team, the CPUs and GPUs that the attempts of the sender's jobs hold.
    demand
        By team, the CPUs and GPUs that the waiting tasks of the sender's jobs need. Sent to the leader only.
    waiting_jobs
        The sender's jobs with tasks that may be started. Sent to the leader only.
    usage_in_transfer
        By job that the sender is handing over, and by team, the CPUs and GPUs that its attempts hold.
    quota_shares
        By team, the CPUs and GPUs that the receiver may use; None when the leader has not decided. Sent by the leader
        only.
    quota_shares_acknowledged
        The sequence number of the leader's message whose quota shares the sender has applied.
    handovers_taken
        The jobs whose handover the leader has taken into account in the quota shares.
    idle_pool
        The idle machines that the leader keeps in reserve. Sent by the leader only.
    cancelled_jobs
        The jobs whose cancellation the sender has confirmed to users in the last minute.
    unrecorded_machines
        By name, the machines that send heartbeats but are not in the fleet record. Sent to the leader only.
    unconfirmed_terminations
        By silent machine, for how many seconds it may have run a task of a finished job.
    preemptions
        The attempts that the leader preempts. Sent by the leader only.
    quota
        A message of the quota feature, which validates it; None where that feature is switched off.
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
        The number of the view in which the replying controller acts; 0 without one.
    store_unavailable
        Whether the key-value store did not answer the replying controller's last request.
    newest_view
        The newest view that the replying controller knows of; it no longer renews leases of tasks under an older view.
    received
        The sequence number up to which the replying controller has accepted the sender's messages.
    finished_jobs
        For a sender that does not reach the key-value store: every job whose cancellation may have been confirmed to a
        user since the sender's revision, and other finished jobs. None when this is not known, for instance because the
        replying process did not run then, or when the sender reaches the store.
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
        If the body is not valid CBOR, or a field is missing or out of bounds.
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
        If the body is not valid CBOR, or a field is missing or has another type.
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
