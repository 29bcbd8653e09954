"""Membership states, views, peer messages and replies of the cluster package.

A controller could act without authority if its state did not follow from its lease, the view and the leader key alone,
and a process that a view leaves out could be taken for ended too early. A message that is malformed, of another version
or of an unknown sender must be refused as a whole, with an error that names its sender where that is known.
"""

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
    """A runtime whose clock stands still; it sends nothing."""

    now = timedelta(0)


def new_peers() -> Peers:
    calls: list[Any] = []
    return Peers(IdleRuntime(), {"c1": "host:1"}, lambda message: True, lambda *args: calls.append(args), calls.append)  # type: ignore[arg-type]


@pytest.mark.parametrize("is_leader", [False, True])
@pytest.mark.parametrize("is_in_view", [False, True])
def test_state_is_applying_without_a_lease(is_in_view: bool, is_leader: bool) -> None:
    assert membership_state(False, is_in_view, is_leader) is MembershipState.APPLYING


def test_state_with_a_lease_follows_from_view_and_leader_key() -> None:
    assert membership_state(True, False, False) is MembershipState.STANDING
    assert membership_state(True, False, True) is MembershipState.STANDING, "a leader key alone gives no authority"
    assert membership_state(True, True, False) is MembershipState.SERVING
    assert membership_state(True, True, True) is MembershipState.LEADING


def test_member_left_out_of_a_view_stays_unfenced_until_it_registers_again() -> None:
    first = next_view(None, "c0", {"c0": "a", "c1": "b"})
    assert first == View(1, "c0", {"c0": "a", "c1": "b"}, {})
    second = next_view(first, "c0", {"c0": "a"})
    assert second == View(2, "c0", {"c0": "a"}, {"c1": "b"})
    third = next_view(second, "c0", {"c0": "a", "c1": "b.1"})
    assert third == View(3, "c0", {"c0": "a", "c1": "b.1"}, {})


def test_view_is_decoded_as_encoded_and_a_malformed_one_is_refused() -> None:
    view = View(7, "c0", {"c0": "a"}, {"c1": "b"})
    assert decode_view(encode_view(view)) == view
    for malformed_value in (None, [], {"number": 1}, {"number": "1", "leader": "c0", "members": {}}):
        with pytest.raises(MalformedViewError, match=r"^malformed view: "):
            decode_view(malformed_value)


def test_peer_message_with_rows_is_decoded_as_encoded() -> None:
    message = PeerMessage(
        "c1", "a", 1, 1, False, version=MESSAGE_VERSION,
        waiting_jobs=[WaitingJobRow("j-1", 3, 1.5, ["vm-1"])],
        unrecorded_machines={"vm-2": UnrecordedMachine("m", "a", True)},
        preemptions=[PreemptionRow("j-2", 0, 1, 30.0)],
    )  # fmt: skip
    body = encode_message(message)
    assert decode_message(body) == message
    fields = cbor2.loads(body)
    assert fields["waiting"] == [["j-1", 3, 1.5, ["vm-1"]]]
    assert fields["strangers"] == {"vm-2": ["m", "a", True]}
    assert fields["evict"] == [["j-2", 0, 1, 30.0]]


@pytest.mark.parametrize(
    ("changes", "error", "member"),
    [
        ({"view": -1}, MalformedMessageError, None),
        ({"waiting": [("j-1", 1, 0.0)]}, MalformedMessageError, None),
        ({"member": "c9"}, UnknownSenderError, "c9"),
        ({"wire": MESSAGE_VERSION + 1}, VersionMismatchError, "c1"),
    ],
)
def test_refused_message_names_its_sender_and_is_not_applied(
    changes: dict[str, Any], error: type[PeerMessageError], member: str | None
) -> None:
    message = PeerMessage("c1", "a", 3, 1, False, version=MESSAGE_VERSION)
    body = cbor2.dumps(cbor2.loads(encode_message(message)) | changes)
    receiver = new_peers()
    with pytest.raises(error) as raised:
        receiver.receive(body, 3)
    assert raised.value.member == member
    assert receiver.newest_view == 0
    assert receiver.receive(encode_message(message), 3)[0] == message
    assert receiver.newest_view == 3


def test_malformed_reply_names_its_sender() -> None:
    for body in (b"", b"\xff", cbor2.dumps({"inc": 1}), b"\x81" * 60_000):
        with pytest.raises(MalformedReplyError, match=r"^malformed reply of c1: ") as raised:
            decode_reply(body, "c1")
        assert raised.value.member == "c1"
