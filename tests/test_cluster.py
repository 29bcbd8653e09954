"""The pure parts of the cluster package: states, views, and messages that are refused."""

from datetime import timedelta
from typing import Any

import cbor2
import pytest

from ramptide.cluster.errors import (
    MalformedMessageError,
    MalformedReplyError,
    MalformedViewError,
    PeerMessageError,
    UnknownSenderError,
    VersionMismatchError,
)
from ramptide.cluster.membership import MembershipState, membership_state
from ramptide.cluster.messages import (
    MESSAGE_VERSION,
    PeerMessage,
    PreemptionRow,
    UnrecordedMachine,
    WaitingJobRow,
    decode_message,
    decode_reply,
    encode_message,
)
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View, decode_view, encode_view, next_view


class IdleRuntime:
    """A clock that stands still; nothing is sent."""

    now = timedelta(0)


def peers() -> Peers:
    taken: list[Any] = []
    return Peers(IdleRuntime(), {"c1": "host:1"}, lambda message: True, lambda *args: taken.append(args), taken.append)  # type: ignore[arg-type]


@pytest.mark.parametrize("is_leader", [False, True])
@pytest.mark.parametrize("is_in_view", [False, True])
def test_without_a_lease_a_controller_is_nothing_else_than_applying(is_in_view: bool, is_leader: bool) -> None:
    assert membership_state(False, is_in_view, is_leader) is MembershipState.APPLYING


def test_the_state_follows_from_lease_view_and_leader_key() -> None:
    assert membership_state(True, False, False) is MembershipState.STANDING
    assert membership_state(True, False, True) is MembershipState.STANDING, "a leader key alone gives no authority"
    assert membership_state(True, True, False) is MembershipState.SERVING
    assert membership_state(True, True, True) is MembershipState.LEADING


def test_a_member_that_is_left_out_stays_unfenced_until_it_registers_again() -> None:
    first = next_view(None, "c0", {"c0": "a", "c1": "b"})
    assert first == View(1, "c0", {"c0": "a", "c1": "b"}, {})
    second = next_view(first, "c0", {"c0": "a"})
    assert second == View(2, "c0", {"c0": "a"}, {"c1": "b"})
    third = next_view(second, "c0", {"c0": "a", "c1": "b.1"})
    assert third == View(3, "c0", {"c0": "a", "c1": "b.1"}, {})


def test_a_view_is_read_as_it_was_written() -> None:
    view = View(7, "c0", {"c0": "a"}, {"c1": "b"})
    assert decode_view(encode_view(view)) == view
    for broken in (None, [], {"number": 1}, {"number": "1", "leader": "c0", "members": {}}):
        with pytest.raises(MalformedViewError, match=r"^malformed view: "):
            decode_view(broken)


def test_rows_of_messages_are_read_as_they_were_written() -> None:
    message = PeerMessage(
        "c1", "a", 1, 1, False, version=MESSAGE_VERSION,
        waiting_jobs=[WaitingJobRow("j-1", 3, 1.5, ["vm-1"])],
        unrecorded_machines={"vm-2": UnrecordedMachine("m", "a", True)},
        preemptions=[PreemptionRow("j-2", 0, 1, 30.0)],
    )  # fmt: skip
    body = encode_message(message)
    assert decode_message(body) == message
    wire = cbor2.loads(body)
    assert wire["waiting"] == [["j-1", 3, 1.5, ["vm-1"]]]
    assert wire["strangers"] == {"vm-2": ["m", "a", True]}
    assert wire["evict"] == [["j-2", 0, 1, 30.0]]


@pytest.mark.parametrize(
    ("changes", "error", "member"),
    [
        ({"view": -1}, MalformedMessageError, None),
        ({"waiting": [("j-1", 1, 0.0)]}, MalformedMessageError, None),
        ({"member": "c9"}, UnknownSenderError, "c9"),
        ({"wire": MESSAGE_VERSION + 1}, VersionMismatchError, "c1"),
    ],
)
def test_a_refused_message_says_who_sent_it_and_what_was_wrong(
    changes: dict[str, Any], error: type[PeerMessageError], member: str | None
) -> None:
    message = PeerMessage("c1", "a", 3, 1, False, version=MESSAGE_VERSION)
    body = cbor2.dumps(cbor2.loads(encode_message(message)) | changes)
    receiver = peers()
    with pytest.raises(error) as caught:
        receiver.receive(body, 3)
    assert caught.value.member == member
    assert receiver.newest_view == 0
    assert receiver.receive(encode_message(message), 3)[0] == message
    assert receiver.newest_view == 3


def test_a_refused_reply_says_who_sent_it() -> None:
    for body in (b"", b"\xff", cbor2.dumps({"inc": 1}), b"\x81" * 60_000):
        with pytest.raises(MalformedReplyError, match=r"^malformed reply of c1: ") as caught:
            decode_reply(body, "c1")
        assert caught.value.member == "c1"
