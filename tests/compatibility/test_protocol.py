"""Guards against changes of the protocol of users, agents, the cloud and the key-value store, and of settings files.

Valid and invalid incoming messages are decoded or refused as in the frozen files, and outgoing messages and request
paths equal the frozen ones.
"""

from typing import Any

import pytest

from compatibility import codecs, frozen

INCOMING_CASES = frozen.read_lines("incoming.jsonl")


def differing_cases(kind: str) -> list[str]:
    """Return a description of each case of a kind whose result differs from the frozen one."""
    differences = []
    for case in INCOMING_CASES:
        if case["kind"] != kind:
            continue
        expected = (case.get("read"), case.get("error"))
        if (actual := codec_result(case)) != expected:
            differences.append(f"{case['form']}: {actual} instead of {expected}")
    return differences


def codec_result(case: dict[str, Any]) -> tuple[str | None, str | None]:
    """Return what the case's message is encoded as after decoding, and the text of the error; one of them is None."""
    try:
        return codecs.INCOMING_CODECS[case["kind"]](case["body"].encode()).decode(), None
    except codecs.REFUSAL_ERRORS as error:
        return None, str(error)


@pytest.mark.parametrize("kind", sorted({case["kind"] for case in INCOMING_CASES}))
def test_incoming_messages_are_reencoded_or_refused_as_frozen(kind: str) -> None:
    assert differing_cases(kind) == []


def test_every_kind_of_incoming_message_has_frozen_cases() -> None:
    assert {case["kind"] for case in INCOMING_CASES} == set(codecs.INCOMING_CODECS)


def test_outgoing_messages_have_the_frozen_bytes() -> None:
    assert {name: body.decode() for name, body in codecs.outgoing_messages().items()} == frozen.read_json(
        "outgoing.json"
    )


def test_request_paths_equal_the_frozen_ones() -> None:
    assert codecs.request_paths() == frozen.read_json("paths.json")
