"""Stored data of the frozen forms is read and written as it always was."""

import json
from typing import Any

import pytest

from compatibility import codecs, frozen
from virtual import Entry, World

CASES = frozen.read_lines("records.jsonl")


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case['kind']}: {case['form']}")
def test_a_record_is_read_and_written_again(case: dict[str, Any]) -> None:
    codec, stored = codecs.RECORDS[case["kind"]], case["stored"].encode()
    if "error" in case:
        with pytest.raises(codecs.REFUSED) as caught:
            codec(stored)
        assert str(caught.value) == case["error"]
    else:
        assert codec(stored).decode() == case["read"]


@pytest.mark.parametrize("kind", ["job", "ended", "rental", "flavors", "limit", "view"])
def test_what_the_service_writes_itself_comes_out_byte_for_byte(kind: str) -> None:
    unchanged = [case for case in CASES if case["kind"] == kind and case["stored"] == case.get("read")]
    assert unchanged


def test_the_keys() -> None:
    assert codecs.record_keys("hall/node ü") == frozen.read_json("record_keys.json")


def test_the_meaning_of_rows_and_bits() -> None:
    stored = {(case["kind"], case["form"]): case["stored"].encode() for case in CASES}
    assert {
        "done": codecs.done_tasks(stored["job", "whole"]),
        "machines": codecs.machines_of_rental("r-7", stored["rental", "answered"]),
    } == frozen.read_json("record_meaning.json")


def test_controllers_go_on_from_a_stored_state() -> None:
    """All controllers were stopped; they start again on what the state service kept."""
    world = World(1, capacity=6)
    stored = frozen.read_json("stored_state.json")
    kept = {key: row for key, row in stored.items() if not key.startswith(("live/member/", "live/leader"))}
    world.store.revision = max(revision for _, revision in stored.values())
    world.store.entries = {key: Entry(value, revision, None) for key, (value, revision) in kept.items()}
    for key, (record, _) in kept.items():
        job_id = key.rpartition("/")[2]
        if key.startswith("live/job/"):
            world.job_specs[job_id] = record["run"]
        elif key.startswith("ended/"):
            world.define_job(job_id, pieces=record["pieces"])
            world.invariants.finished_tasks |= {(job_id, number) for number in range(record["done"])}
    for node in world.nodes.values():
        node.start()
    world.run(20)
    view = world.store.entries["live/view"].value
    assert view["number"] > kept["live/view"][0]["number"]
    assert sorted(view["members"]) == world.controller_names
    over = [key for key in kept if key.startswith("ended/")]
    live = [key for key in kept if key.startswith("live/job/")]
    assert over
    assert live
    for key in over:
        record = kept[key][0]
        told = {"ref": key[len("ended/") :], "status": record["status"], "done": record["done"], "running": 0}
        assert world.poll_job(told["ref"], "c1") == (200, told)
        assert json.dumps(world.store.entries[key].value) == json.dumps(record)
    for key in live:
        answer = world.poll_job(key[len("live/job/") :], "c2")
        assert answer is not None
        assert answer[0] == 200
        assert answer[1]["done"] + answer[1]["running"] > 0
    assert world.invariants.violations == []
