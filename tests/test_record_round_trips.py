"""Every record that a writer can write is read as it was written, whatever the users and the cloud have sent.

The tests guard against a reader whose bounds are narrower than those of the values that writers store. Such a record
would be lost for each controller: the job forgotten, the machines of the rental paid for without end.
"""

import json
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.cluster.view import View, decode_view, encode_view
from ramptide.protocol.cloud import decode_machine_page, decode_machine_types, decode_rented_hosts
from ramptide.protocol.jobs import MAX_TASKS, PRIORITIES, JobSpec, JobStatus, decode_job_spec
from ramptide.protocol.types import decode_json, encode_json
from ramptide.state.jobs import Job
from ramptide.state.records import (
    FinishedJobRecord,
    Handover,
    JobRecord,
    Progress,
    RentalRecord,
    RentedMachine,
    from_value,
    to_value,
)

EXAMPLES = settings(derandomize=True, max_examples=300, deadline=None)
#: Any text that JSON can hold: all characters but lone surrogates.
names = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=200)
amounts = st.one_of(st.sampled_from([0, 0.0, 5e-324, 1e-310, 1e9]), st.floats(0, 1e9), st.integers(0, 10**9))
counts = st.integers(0, 2**64 - 1)
#: The time of day in seconds since 1970, from 2001 on.
timestamps = st.floats(1e9, 4e9)
hosts = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=120)
SUBMISSION_FIELDS: dict[str, st.SearchStrategy[Any]] = {
    "ref": st.from_regex(r"\Aj-[0-9]{1,30}\Z"), "jobclass": names, "owner": names,
    "shape": st.sampled_from(["batch", "service"]), "rank": st.sampled_from(PRIORITIES),
    "pieces": st.integers(1, MAX_TASKS), "cores": amounts, "cards": amounts, "ramGb": amounts, "bundle": names,
    "imageGb": amounts, "oneZone": st.booleans(), "spread": st.booleans(), "loaners": st.booleans(),
    "guessS": amounts, "markEveryS": amounts, "markCostS": amounts,
    "rigs": st.none() | st.lists(names, min_size=1, max_size=3), "yard": st.none() | names,
    "dueS": st.none() | amounts,
}  # fmt: skip
submissions = st.fixed_dictionaries(SUBMISSION_FIELDS)


def stored(value: Any) -> Any:
    """Return a value as a reader gets it from the key-value store."""
    return decode_json(encode_json(value))


@EXAMPLES
@given(submissions, names, counts, timestamps, st.none() | st.tuples(counts, names, counts))
def test_job_record_of_each_accepted_submission_can_be_read(
    submission: dict[str, Any], scheduler: str, view: int, submitted: float, handover: tuple[int, str, int] | None
) -> None:
    spec = decode_job_spec(json.dumps(submission).encode())
    record = JobRecord(
        spec, scheduler, view, submitted, Progress().encode(), Handover(*handover) if handover is not None else None
    )
    read = from_value(stored(to_value(record)), JobRecord)
    assert read == record
    assert Job(spec.job_id, read, 1).spec == spec


@EXAMPLES
@given(st.sampled_from(JobStatus), st.integers(1, MAX_TASKS), st.integers(0, MAX_TASKS))
def test_record_of_each_finished_job_can_be_read(status: JobStatus, task_count: int, done_count: int) -> None:
    record = FinishedJobRecord(status, task_count, done_count)
    assert from_value(stored(to_value(record)), FinishedJobRecord) == record


@EXAMPLES
@given(names, names, st.booleans(), timestamps, st.integers(1, 50), counts, st.lists(hosts, unique=True, max_size=50))
def test_record_of_each_rental_that_the_cloud_answers_can_be_read(
    machine_type: str, zone: str, spot: bool, requested: float, count: int, view: int, rented: list[str]
) -> None:
    rented_hosts = decode_rented_hosts(json.dumps({"hosts": rented}).encode())
    machines = {host: RentedMachine(number % 2 == 0, "idle") for number, host in enumerate(rented_hosts)}
    for record in (
        RentalRecord(machine_type, zone, spot, requested, count),
        RentalRecord(machine_type, zone, spot, requested, count, view, machines),
    ):
        assert from_value(stored(to_value(record)), RentalRecord) == record


@EXAMPLES
@given(hosts, names, names, st.booleans(), timestamps, amounts)
def test_rental_of_each_listed_machine_that_is_adopted_can_be_read(
    host: str, machine_type: str, zone: str, spot: bool, wall_s: float, age_s: float
) -> None:
    row = {"ref": host, "rig": machine_type, "yard": zone, "status": "up", "loaners": spot, "ageS": age_s}
    machine = decode_machine_page(json.dumps({"hosts": [row], "more": False}).encode()).machines[0]
    requested = wall_s - machine.age_s
    record = RentalRecord(
        machine.machine_type, machine.zone, machine.spot, requested, machines={machine.host: RentedMachine()}
    )
    assert from_value(stored(to_value(record)), RentalRecord) == record


@EXAMPLES
@given(st.lists(st.tuples(names, st.floats(1e-300, 1e9), amounts, st.lists(names, max_size=3)), max_size=5), amounts)
def test_machine_types_that_the_cloud_answers_can_be_read(
    rows: list[tuple[str, float, float, list[str]]], amount: float
) -> None:
    other_fields = dict.fromkeys(("cards", "cacheGb", "fetchGbPerS", "rate", "spotPrice", "bootS"), amount)
    rigs = [
        {"name": name, "cores": cpus, "ramGb": ram_gb, "yards": zones} | other_fields
        for name, cpus, ram_gb, zones in rows
    ]
    machine_types = decode_machine_types(json.dumps({"rigs": rigs}).encode())
    values = stored([to_value(machine_type) for machine_type in machine_types])
    assert [from_value(value, type(machine_types[0])) for value in values] == machine_types


@EXAMPLES
@given(counts, names, st.dictionaries(names, names, max_size=5), st.dictionaries(names, names, max_size=5))
def test_record_of_each_view_can_be_read(
    number: int, leader: str, members: dict[str, str], unfenced: dict[str, str]
) -> None:
    view = View(number, leader, members, unfenced)
    assert decode_view(stored(encode_view(view))) == view


def test_each_field_of_a_submission_is_among_those_that_are_tried() -> None:
    """Guards against a new field that these tests leave out."""
    assert {field.encode_name for field in msgspec.structs.fields(JobSpec)} == set(SUBMISSION_FIELDS)
