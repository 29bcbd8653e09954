"""Answers about a job that is accepted while a poll of it is under way."""

import json
from collections.abc import Callable
from typing import Any, cast

from ramptide.api.job_lookup import JobLookup, LookupFailure
from ramptide.clients.key_value_store import KeyValueStore, ReadResult
from ramptide.protocol.jobs import decode_job_spec
from ramptide.state.jobs import Job
from ramptide.state.records import JobRecord, Progress
from ramptide.state.watch_cache import WatchCache
from virtual import job_spec


class Records:
    """A key-value store without final states, and a copy of its live keys that is always current."""

    def __init__(self) -> None:
        self.live_keys: set[str] = set()
        self.finish_read: list[Callable[[], None]] = []

    def catch_up(self, on_result: Callable[[bool], None]) -> None:
        on_result(True)

    def mod_revision(self, key: str) -> int:
        return int(key in self.live_keys)

    def get(self, _key: str, on_result: Callable[[ReadResult], None], on_send: Callable[[], None]) -> None:
        on_send()
        self.finish_read.append(lambda: on_result(ReadResult(is_known=True, key_value=None)))


def accepted_job(job_id: str) -> Job:
    spec = decode_job_spec(json.dumps(job_spec(job_id)).encode())
    return Job(job_id, JobRecord(spec, "c0", 1, 0.0, Progress().encode()), 1)


def find_during(change: Callable[[Records, dict[str, Job]], None]) -> Any:
    """Return what a lookup finds when the records change between its reads of the live keys and of the final state."""
    records, jobs, found = Records(), dict[str, Job](), list[Any]()
    lookup = JobLookup(cast(KeyValueStore, records), cast(WatchCache, records), jobs, lambda _job_id: None)
    lookup.find("j-1", found.append)
    change(records, jobs)
    records.finish_read[0]()
    return found[0]


def test_poll_of_an_unknown_job_is_told_so() -> None:
    assert find_during(lambda _records, _jobs: None) is LookupFailure.NO_SUCH_JOB


def test_poll_finds_the_job_when_it_is_accepted_meanwhile() -> None:
    """Guards against 404 after its user has been answered 201."""
    job = accepted_job("j-1")

    def accept(records: Records, jobs: dict[str, Job]) -> None:
        records.live_keys.add("live/job/j-1")
        jobs["j-1"] = job

    assert find_during(accept) is job


def test_poll_is_answered_unavailable_when_the_accepted_job_cannot_be_read() -> None:
    """Guards against 404 about a job whose record is there."""
    found = find_during(lambda records, _jobs: records.live_keys.add("live/job/j-1"))
    assert found is LookupFailure.UNAVAILABLE
