"""The digest of what controllers send: the same for the same behaviour, another one for any other."""

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from virtual import S, World

TOOLS = Path(__file__).resolve().parent.parent / "tools"
sys.path.insert(0, str(TOOLS))

from behavior_digest import DigestObserver, digest_of_seed  # noqa: E402

SEED, SECONDS = 3, 12.0


def printed(hash_seed: str, jobs: int) -> str:
    command = [sys.executable, str(TOOLS / "behavior_digest.py"), "3", "4", "--seconds", "12", "--jobs", str(jobs)]
    environment = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": os.pathsep.join(sys.path)}
    return subprocess.run(command, env=environment, check=True, capture_output=True, text=True).stdout


def test_it_is_the_same_in_every_run_under_any_hash_seed_and_in_parallel() -> None:
    first = printed("1", 1)
    assert [line.split()[0] for line in first.splitlines()] == ["3", "4", "all"]
    assert printed("2", 2) == first


def test_one_more_byte_in_each_answer_changes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    before = digest_of_seed(SEED, SECONDS)
    assert before.calls > 0
    assert digest_of_seed(SEED, SECONDS) == before
    observed = World.observed

    def longer(world: World, controller_name: str, respond: Callable[..., None]) -> Callable[..., None]:
        told = observed(world, controller_name, respond)
        return lambda status, body, *headers: told(status, body + b" ", *headers)

    monkeypatch.setattr(World, "observed", longer)
    assert digest_of_seed(SEED, SECONDS).sha256 != before.sha256


def answers(*told: tuple[float, str, int, bytes, dict[str, str]]) -> str:
    observer = DigestObserver()
    for seconds, sender, status, body, headers in told:
        observer.answered(seconds * S, sender, status, body, headers)
    return observer.hexdigest()


def test_every_field_of_an_answer_and_the_order_count() -> None:
    one = (1.0, "c0", 200, b"body", {"Retry-After": "1"})
    others = [
        (1.000001, "c0", 200, b"body", {"Retry-After": "1"}),
        (1.0, "c1", 200, b"body", {"Retry-After": "1"}),
        (1.0, "c0", 201, b"body", {"Retry-After": "1"}),
        (1.0, "c0", 200, b"bodY", {"Retry-After": "1"}),
        (1.0, "c0", 200, b"body", {"Retry-After": "2"}),
        (1.0, "c0", 200, b"body", {}),
    ]
    assert len({answers(told) for told in [one, *others]}) == 7
    assert answers(one, others[0]) != answers(others[0], one)


def test_every_field_of_a_call_counts() -> None:
    one = (S, "c0", "state", "POST", "/txn", "application/json", b"{}", 2 * S)
    others = [(*one[:at], other, *one[at + 1 :]) for at, other in enumerate([2 * S, *"abcde", b"", S])]
    digests = set()
    for call in [one, *others]:
        observer = DigestObserver()
        observer.called(*call)
        digests.add(observer.hexdigest())
    assert len(digests) == 9


def test_an_object_is_refused() -> None:
    with pytest.raises(TypeError):
        DigestObserver().answered(S, "c0", 200, {"a": 1}, {})  # type: ignore[arg-type]
