"""Guards against changes of stored records that this or another build would misread or refuse.

A controller starts with records in the key-value store that another build wrote, and other builds read the records that
it writes. So records are decoded, encoded and refused as in the frozen files, and restarted controllers resume the jobs
of a stored state.
"""

import json
from typing import Any

import pytest

from compatibility import codecs, frozen
from virtual import Entry, World

CASES = frozen.read_lines("records.jsonl")


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case['kind']}: {case['form']}")
def test_record_is_reencoded_or_refused_as_frozen(case: dict[str, Any]) -> None:
    codec, stored = codecs.RECORD_CODECS[case["kind"]], case["stored"].encode()
    if "error" in case:
        with pytest.raises(codecs.REFUSAL_ERRORS) as caught:
            codec(stored)
        assert str(caught.value) == case["error"]
    else:
        assert codec(stored).decode() == case["read"]


@pytest.mark.parametrize("kind", ["job", "ended", "rental", "flavors", "limit", "view"])
def test_kind_has_a_record_that_is_reencoded_byte_for_byte(kind: str) -> None:
    """Covers the records in the form in which controllers write them.

    Stored settings are not among the kinds, as their codec adds the default of each setting that is not stored.
    """
    unchanged = [case for case in CASES if case["kind"] == kind and case["stored"] == case.get("read")]
    assert unchanged


def test_record_keys_equal_the_frozen_ones() -> None:
    assert codecs.record_keys("hall/node ü") == frozen.read_json("record_keys.json")


def test_progress_bits_and_machine_rows_have_the_frozen_meaning() -> None:
    stored = {(case["kind"], case["form"]): case["stored"].encode() for case in CASES}
    assert {
        "done": codecs.completed_tasks(stored["job", "whole"]),
        "machines": codecs.machines_of_rental("r-7", stored["rental", "answered"]),
    } == frozen.read_json("record_meaning.json")


def test_restarted_controllers_resume_the_jobs_of_a_stored_state() -> None:
    """The key-value store has kept all keys but those with leases, which expired while all controllers were stopped."""
    world = World(1, capacity=6)
    stored = frozen.read_json("stored_state.json")
    restored = {key: entry for key, entry in stored.items() if not key.startswith(("live/member/", "live/leader"))}
    world.store.revision = max(revision for _, revision in stored.values())
    world.store.entries = {key: Entry(value, revision, None) for key, (value, revision) in restored.items()}
    for key, (record, _) in restored.items():
        job_id = key.rpartition("/")[2]
        if key.startswith("live/job/"):
            world.job_specs[job_id] = record["run"]
        elif key.startswith("ended/"):
            world.define_job(job_id, pieces=record["pieces"])
            world.invariants.succeeded_tasks |= {(job_id, task_index) for task_index in range(record["done"])}
    for node in world.nodes.values():
        node.start()
    world.run(20)
    view = world.store.entries["live/view"].value
    assert view["number"] > restored["live/view"][0]["number"]
    assert sorted(view["members"]) == world.controller_names
    finished_jobs = [key for key in restored if key.startswith("ended/")]
    unfinished_jobs = [key for key in restored if key.startswith("live/job/")]
    assert finished_jobs
    assert unfinished_jobs
    for key in finished_jobs:
        record = restored[key][0]
        expected = {"ref": key[len("ended/") :], "status": record["status"], "done": record["done"], "running": 0}
        assert world.poll_job(expected["ref"], "c1") == (200, expected)
        assert json.dumps(world.store.entries[key].value) == json.dumps(record)
    for key in unfinished_jobs:
        response = world.poll_job(key[len("live/job/") :], "c2")
        assert response is not None
        assert response[0] == 200
        assert response[1]["done"] + response[1]["running"] > 0
    assert world.invariants.violations == []
