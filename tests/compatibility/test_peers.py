"""Messages between controllers: a cluster may run this build and the frozen one at the same time."""

import json
from typing import Any

import cbor2
import pytest

from compatibility import codecs, frozen, traffic

CASES = frozen.read_lines("peers.jsonl")


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case['kind']}: {case['form']}")
def test_a_message_is_read_or_refused_as_ever(case: dict[str, Any]) -> None:
    codec, body = codecs.PEERS[case["kind"]], bytes.fromhex(case["body"])
    if "error" in case:
        with pytest.raises(codecs.REFUSED) as caught:
            codec(body)
        assert str(caught.value) == case["error"]
    else:
        assert codec(body).hex() == case["read"]


@pytest.mark.parametrize("form", ["whole", "with the quota part", "partial"])
def test_a_message_of_the_frozen_build_comes_out_byte_for_byte(form: str) -> None:
    (case,) = (one for one in CASES if one["kind"] == "message" and one["form"] == form)
    assert case["read"] == case["body"]


def test_the_versions() -> None:
    assert codecs.peer_versions() == frozen.read_json("versions.json")


@pytest.mark.parametrize("scenario", sorted(traffic.SCENARIOS.keys() - traffic.LONG))
def test_recorded_messages_come_out_byte_for_byte(scenario: str) -> None:
    kinds = []
    for _, receiver, what, body in frozen.read_lines(f"traffic/{scenario}.jsonl"):
        if what.endswith(traffic.CBOR):
            kinds.append("partial" if cbor2.loads(bytes.fromhex(body)).get("more") else "message")
            kind = "message"
        elif what == "answer 200" and not receiver.startswith("vm-"):
            kinds.append(kind := "answer")
        else:
            continue
        assert codecs.PEERS[kind](bytes.fromhex(body)).hex() == body
    assert {"message", "answer"} <= set(kinds)
    assert ("partial" in kinds) is (scenario == "many_machines")


@pytest.mark.parametrize("scenario", sorted(traffic.SCENARIOS))
def test_controllers_send_the_frozen_bytes(scenario: str) -> None:
    """Commands, redirects, transactions, rentals, messages, and the last status and metrics, with a fixed seed."""
    played, kept = frozen.play(scenario), frozen.read_lines(f"traffic/{scenario}.jsonl")
    for number, (found, expected) in enumerate(zip(played, kept, strict=False)):
        assert found == expected, f"message {number} of {scenario}: {readable(found)} instead of {readable(expected)}"
    assert len(played) == len(kept)


def readable(line: list[str]) -> str:
    try:
        return json.dumps([*line[:3], cbor2.loads(bytes.fromhex(line[3]))])
    except ValueError:
        return json.dumps(line)
