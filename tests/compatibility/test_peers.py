"""Guards against changes of messages that another build would misread or refuse.

During an update a cluster runs controllers of this build and of the frozen one at the same time, so peer messages and
replies equal the frozen ones byte for byte. The recorded scenarios cover in the same way what controllers send to
agents, the cloud, the key-value store and operators.
"""

import json
from typing import Any

import cbor2
import pytest

from compatibility import codecs, frozen, traffic

CASES = frozen.read_lines("peers.jsonl")


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case['kind']}: {case['form']}")
def test_message_is_reencoded_or_refused_as_frozen(case: dict[str, Any]) -> None:
    codec, body = codecs.PEER_CODECS[case["kind"]], bytes.fromhex(case["body"])
    if "error" in case:
        with pytest.raises(codecs.REFUSAL_ERRORS) as caught:
            codec(body)
        assert str(caught.value) == case["error"]
    else:
        assert codec(body).hex() == case["read"]


@pytest.mark.parametrize("form", ["whole", "with the quota part", "partial"])
def test_valid_peer_message_is_reencoded_byte_for_byte(form: str) -> None:
    (case,) = (case for case in CASES if case["kind"] == "message" and case["form"] == form)
    assert case["read"] == case["body"]


def test_format_versions_equal_the_frozen_ones() -> None:
    assert codecs.format_versions() == frozen.read_json("versions.json")


@pytest.mark.parametrize("scenario", sorted(traffic.SCENARIOS.keys() - traffic.WRITES_ONLY_SCENARIOS))
def test_recorded_peer_message_is_reencoded_byte_for_byte(scenario: str) -> None:
    kinds = []
    for _, receiver, request_or_status, body in frozen.read_lines(f"traffic/{scenario}.jsonl"):
        if request_or_status.endswith(traffic.CBOR_CONTENT_TYPE):
            kinds.append("partial" if cbor2.loads(bytes.fromhex(body)).get("more") else "message")
            kind = "message"
        elif request_or_status == "answer 200" and not receiver.startswith("vm-"):
            kinds.append(kind := "answer")
        else:
            continue
        assert codecs.PEER_CODECS[kind](bytes.fromhex(body)).hex() == body
    assert {"message", "answer"} <= set(kinds)
    assert ("partial" in kinds) is (scenario == "many_machines")


@pytest.mark.parametrize("scenario", sorted(traffic.SCENARIOS))
def test_controllers_send_the_frozen_bytes(scenario: str) -> None:
    """Covers commands, redirects, transactions, rentals, peer messages, and the final status and metrics."""
    actual_lines, frozen_lines = frozen.record_traffic(scenario), frozen.read_lines(f"traffic/{scenario}.jsonl")
    for index, (actual, expected) in enumerate(zip(actual_lines, frozen_lines, strict=False)):
        assert actual == expected, (
            f"message {index} of {scenario}: {to_readable(actual)} instead of {to_readable(expected)}"
        )
    assert len(actual_lines) == len(frozen_lines)


def to_readable(line: list[str]) -> str:
    """Return a line of recorded traffic as text, with a CBOR body decoded."""
    try:
        return json.dumps([*line[:3], cbor2.loads(bytes.fromhex(line[3]))])
    except ValueError:
        return json.dumps(line)
