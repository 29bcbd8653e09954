"""The clients of the key-value store and the cloud: the result of each kind of response, and of none.

The tests guard against a result that claims more than the response proves: a transaction without a response may have
been applied, a failed read does not show that a key is missing, an incomplete list is not a snapshot, and a rental
without a refusal may have been carried out.
"""

import json
from collections.abc import Callable
from typing import Any

import pytest

from ramptide.clients.cloud import CloudClient, RentResult
from ramptide.clients.key_value_store import KeyValueStore, LeaseStatus, ReadResult, Snapshot
from ramptide.clients.transactions import Put, Transaction, TransactionOutcome, TransactionResult
from ramptide.protocol.key_value_store import KeyValue
from ramptide.protocol.settings_file import CloudLimits, KeyValueStoreLimits
from ramptide.state.delete_log import MAX_DELETIONS, DeleteLog
from ramptide.transport.runtime import Request, Response
from virtual import VirtualRuntime, World
from virtual.network import Response as VirtualResponse


class ScriptedService:
    """Gives the next of its responses to each call, and records the targets of the calls."""

    def __init__(self, *responses: Response | None) -> None:
        self.runtime = VirtualRuntime(World(1).nodes["c0"])
        self.runtime.call = self._call  # type: ignore[method-assign]
        self.targets: list[str] = []
        self._responses = list(responses)

    def _call(self, request: Request, on_response: Callable[[Response | None], None]) -> None:
        self.targets.append(request.target)
        on_response(self._responses.pop(0))

    def store(self) -> KeyValueStore:
        limits = KeyValueStoreLimits(
            requests_per_second=1000.0, writes_per_second=1000.0, max_value_kb=16.0, max_transaction_operations=12
        )
        return KeyValueStore(self.runtime, "store", limits, 1)

    def cloud(self) -> CloudClient:
        return CloudClient(self.runtime, "cloud", CloudLimits(requests_per_second=1000.0, list_lag_s=1.0), 1)


def reply(status: int, value: Any = None) -> Response:
    return VirtualResponse(status, json.dumps(value).encode())


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (reply(200, {"epoch": 7}), TransactionResult(TransactionOutcome.APPLIED, commit_revision=7)),
        (reply(200, {"epoch": "x"}), TransactionResult(TransactionOutcome.UNKNOWN)),
        (reply(409, {"failed": ["a"]}), TransactionResult(TransactionOutcome.CONFLICT, conflicting_keys=("a",))),
        (reply(409, []), TransactionResult(TransactionOutcome.UNKNOWN)),
        (reply(429), TransactionResult(TransactionOutcome.RATE_LIMITED)),
        (reply(503), TransactionResult(TransactionOutcome.REFUSED)),
        (reply(400), TransactionResult(TransactionOutcome.REFUSED)),
        (None, TransactionResult(TransactionOutcome.UNKNOWN)),
    ],
)
def test_transaction_result_follows_from_the_response(response: Response | None, expected: TransactionResult) -> None:
    results: list[TransactionResult] = []
    ScriptedService(response).store().commit(Transaction({"a": 0}, [Put("a", 1)]), results.append)
    assert results == [expected]


def test_transaction_is_rate_limited_when_it_waits_too_long() -> None:
    service = ScriptedService(reply(200, {"epoch": 7}))
    store, results = service.store(), list[TransactionResult]()
    store.commit(Transaction(puts=[Put(str(number), 1) for number in range(100_000)]), results.append)
    store.commit(Transaction(puts=[Put("a", 1)]), results.append)
    assert [result.outcome for result in results] == [TransactionOutcome.APPLIED]
    service.runtime.node.world.run(300)
    assert [result.is_rate_limited for result in results] == [False, True]
    assert len(service.targets) == 1


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (reply(200), LeaseStatus.ALIVE),
        (reply(404), LeaseStatus.EXPIRED),
        (reply(503), LeaseStatus.UNKNOWN),
        (None, LeaseStatus.UNKNOWN),
    ],
)
def test_lease_status_follows_from_the_response(response: Response | None, expected: LeaseStatus) -> None:
    statuses: list[LeaseStatus] = []
    ScriptedService(response).store().keep_lease_alive(3, statuses.append)
    assert statuses == [expected]


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (
            reply(200, {"path": "a", "v": 1, "stamp": 2}),
            ReadResult(is_known=True, key_value=KeyValue("a", 1, 2)),
        ),
        (reply(404), ReadResult(is_known=True)),
        (reply(200, {"path": "a"}), ReadResult(is_known=False)),
        (None, ReadResult(is_known=False)),
    ],
)
def test_read_result_of_a_missing_key_differs_from_that_of_a_failed_read(
    response: Response | None, expected: ReadResult
) -> None:
    results: list[ReadResult] = []
    ScriptedService(response).store().get("a", results.append)
    assert results == [expected]


def page(revision: int, has_more: bool, *keys: str) -> Response:
    return reply(
        200, {"rows": [{"path": key, "v": 1, "stamp": 1} for key in keys], "more": has_more, "epoch": revision}
    )


def test_each_page_follows_the_last_key_and_the_snapshot_has_the_revision_of_the_first_page() -> None:
    service = ScriptedService(page(5, True, "p/a", "p/b"), page(9, False, "p/c"))
    snapshots: list[Snapshot | None] = []
    service.store().list_keys("p/", snapshots.append)
    assert snapshots == [Snapshot(5, [KeyValue(key, 1, 1) for key in ("p/a", "p/b", "p/c")])]
    assert service.targets == ["/kv?prefix=p%2F&limit=500", "/kv?prefix=p%2F&limit=500&since=p%2Fb"]


@pytest.mark.parametrize(
    "second_page", [page(5, True), page(5, True, "p/a"), page(5, True, "p/b"), reply(200, {}), reply(503), None]
)
def test_list_is_given_up_when_a_page_is_broken_or_does_not_advance(second_page: Response | None) -> None:
    service = ScriptedService(page(5, True, "p/b"), second_page)
    snapshots: list[Snapshot | None] = []
    service.store().list_keys("p/", snapshots.append)
    assert snapshots == [None]
    assert len(service.targets) == 2


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (reply(200, {"hosts": ["vm-1"]}), RentResult(["vm-1"], is_refused=False)),
        (reply(400, {"error": "no such type"}), RentResult(None, is_refused=True)),
        (reply(503, {"error": "no capacity"}), RentResult(None, is_refused=True)),
        (reply(503, {"error": "try later"}), RentResult(None, is_refused=False)),
        (reply(500, {"error": "no capacity"}), RentResult(None, is_refused=False)),
        (None, RentResult(None, is_refused=False)),
    ],
)
def test_rental_counts_as_refused_only_when_the_response_proves_it(
    response: Response | None, expected: RentResult
) -> None:
    results: list[RentResult] = []
    ScriptedService(response).cloud().rent("r-1", "small", "a", False, 1, results.append)
    assert results == [expected]


def test_delete_log_returns_none_when_it_is_incomplete_for_the_revision() -> None:
    log = DeleteLog()
    log.add("before", 1)
    assert log.since(0) is None, "no snapshot was loaded yet"
    log.restart(10)
    assert log.since(9) is None
    assert log.since(10) == []
    for number in range(MAX_DELETIONS + 1):
        log.add(f"k{number}", 11 + number)
    assert log.since(10) is None, "the first deletion was dropped"
    assert log.since(11) == [f"k{number}" for number in range(1, MAX_DELETIONS + 1)]
