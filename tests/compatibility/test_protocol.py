"""Messages of users, agents, the cloud and the state service, and the settings file, as the frozen files have them."""

from typing import Any

import pytest

from compatibility import codecs, frozen

INCOMING = frozen.read_lines("incoming.jsonl")


def judge(kind: str) -> list[str]:
    """The cases of a kind that come out otherwise than they are frozen."""
    wrong = []
    for case in INCOMING:
        if case["kind"] != kind:
            continue
        expected = (case.get("read"), case.get("error"))
        if (found := outcome(case)) != expected:
            wrong.append(f"{case['form']}: {found} instead of {expected}")
    return wrong


def outcome(case: dict[str, Any]) -> tuple[str | None, str | None]:
    try:
        return codecs.INCOMING[case["kind"]](case["body"].encode()).decode(), None
    except codecs.REFUSED as error:
        return None, str(error)


@pytest.mark.parametrize("kind", sorted({case["kind"] for case in INCOMING}))
def test_what_comes_in_is_read_or_refused_as_ever(kind: str) -> None:
    assert judge(kind) == []


def test_every_kind_of_message_has_frozen_cases() -> None:
    assert {case["kind"] for case in INCOMING} == set(codecs.INCOMING)


def test_what_goes_out_has_the_frozen_bytes() -> None:
    assert {name: body.decode() for name, body in codecs.outgoing().items()} == frozen.read_json("outgoing.json")


def test_the_paths() -> None:
    assert codecs.paths() == frozen.read_json("paths.json")
