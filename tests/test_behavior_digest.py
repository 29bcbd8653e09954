"""The digest of what controllers send in generated histories.

The tests guard against a digest that differs between runs of the same behaviour, for example by the hash seed, and
against one that stays the same although a request or a response of a controller has changed.
"""

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from virtual import SECOND, World

TOOLS_FOLDER = Path(__file__).resolve().parent.parent / "tools"
sys.path.insert(0, str(TOOLS_FOLDER))

from behavior_digest import DigestObserver, digest_of_seed  # noqa: E402

SEED, HISTORY_S = 3, 12.0


def run_tool(hash_seed: str, process_count: int) -> str:
    """Return the output of the tool for seeds 3 and 4, computed by the given number of processes."""
    command = [
        sys.executable,
        str(TOOLS_FOLDER / "behavior_digest.py"),
        "3",
        "4",
        "--seconds",
        "12",
        "--jobs",
        str(process_count),
    ]
    environment = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": os.pathsep.join(sys.path)}
    return subprocess.run(command, env=environment, check=True, capture_output=True, text=True).stdout


def test_digest_is_the_same_under_any_hash_seed_and_with_parallel_processes() -> None:
    first = run_tool("1", 1)
    assert [line.split()[0] for line in first.splitlines()] == ["3", "4", "all"]
    assert run_tool("2", 2) == first


def test_digest_changes_when_each_response_is_one_byte_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    original_digest = digest_of_seed(SEED, HISTORY_S)
    assert original_digest.request_count > 0
    assert digest_of_seed(SEED, HISTORY_S) == original_digest
    original_observed = World.observed

    def observed_with_longer_body(
        world: World, controller_name: str, respond: Callable[..., None]
    ) -> Callable[..., None]:
        observed_respond = original_observed(world, controller_name, respond)
        return lambda status, body, *headers: observed_respond(status, body + b" ", *headers)

    monkeypatch.setattr(World, "observed", observed_with_longer_body)
    assert digest_of_seed(SEED, HISTORY_S).sha256 != original_digest.sha256


def digest_of_responses(*responses: tuple[float, str, int, bytes, dict[str, str]]) -> str:
    observer = DigestObserver()
    for seconds, sender, status, body, headers in responses:
        observer.on_response(seconds * SECOND, sender, status, body, headers)
    return observer.hexdigest()


def test_digest_depends_on_every_field_of_a_response_and_on_the_order_of_responses() -> None:
    response = (1.0, "c0", 200, b"body", {"Retry-After": "1"})
    changed_responses = [
        (1.000001, "c0", 200, b"body", {"Retry-After": "1"}),
        (1.0, "c1", 200, b"body", {"Retry-After": "1"}),
        (1.0, "c0", 201, b"body", {"Retry-After": "1"}),
        (1.0, "c0", 200, b"bodY", {"Retry-After": "1"}),
        (1.0, "c0", 200, b"body", {"Retry-After": "2"}),
        (1.0, "c0", 200, b"body", {}),
    ]
    assert len({digest_of_responses(sent) for sent in [response, *changed_responses]}) == 7
    assert digest_of_responses(response, changed_responses[0]) != digest_of_responses(changed_responses[0], response)


def test_digest_depends_on_every_field_of_a_request() -> None:
    original_request = (SECOND, "c0", "state", "POST", "/txn", "application/json", b"{}", 2 * SECOND)
    changed_requests = [
        (*original_request[:position], changed_field, *original_request[position + 1 :])
        for position, changed_field in enumerate([2 * SECOND, *"abcde", b"", SECOND])
    ]
    digests = set()
    for request in [original_request, *changed_requests]:
        observer = DigestObserver()
        observer.on_request(*request)
        digests.add(observer.hexdigest())
    assert len(digests) == 9


def test_digest_refuses_a_body_that_is_not_encoded() -> None:
    with pytest.raises(TypeError):
        DigestObserver().on_response(SECOND, "c0", 200, {"a": 1}, {})  # type: ignore[arg-type]
