"""A repeated submission of a finished job gets 400, as the record of the repeat would be some bytes longer."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import REGINA, CaseNotRunError, World, run_case

#: Without the disruption, the description of the job is shorter by this many bytes.
MARGIN = 20
#: How often a submission is tried, each time with another job id.
MAX_TRIES = 120
REPEATS = 4


def description(job_id: str, length: int) -> bytes:
    """Return a job of one short task, whose list of allowed machine types has names of `length` characters in all."""
    names = ["m"]
    while length > 0:
        names.append("x" * min(length, 150))
        length -= len(names[-1])
    return json.dumps(
        {
            "ref": job_id, "jobclass": "statement-run", "owner": "statements", "shape": "batch", "rank": "normal",
            "pieces": 1, "cores": 4.0, "cards": 0.0, "ramGb": 23.0, "bundle": "img", "imageGb": 1.2, "oneZone": False,
            "spread": False, "loaners": False, "guessS": 2.0, "markEveryS": 0.0, "markCostS": 0.0, "rigs": names,
        }
    ).encode()  # fmt: skip


def longest_accepted(world: World) -> int:
    """Return the length up to which descriptions are certainly accepted, found by submissions of other jobs."""
    low, high, number = 0, 4000, 0
    while high - low > 1:
        middle, number = (low + high) // 2, number + 1
        job_id = f"j-000{number:03}"
        world.job_specs[job_id] = json.loads(description(job_id, middle))
        status = world.request_status("c0", "POST", "/v2/runs", description(job_id, middle))
        world.note("user", f"submit {job_id}, names of {middle} characters -> {status}")
        if status not in (201, 400):
            raise CaseNotRunError(f"a submission was answered {status}")
        low, high = (middle, high) if status == 201 else (low, middle)
    # One accepted submission proves little, as the length of a record varies.
    while not all(is_accepted(world, f"j-{200 + low % 100}{count:03}", low) for count in range(8)):
        low -= 1
    return low


def is_accepted(world: World, job_id: str, length: int) -> bool:
    """Return whether a job of this length is accepted."""
    world.job_specs[job_id] = json.loads(description(job_id, length))
    status = world.request_status("c0", "POST", "/v2/runs", description(job_id, length))
    world.note("user", f"submit {job_id}, names of {length} characters -> {status}")
    return status == 201


def play(world: World, has_trouble: bool) -> bool:
    """Submit a job whose description is as long as possible; repeat the submission when the job is done."""
    world.start_all()
    world.submit("j-000900", pieces=1, cores=1.0, ramGb=1.0, guessS=1.0, owner="statements")
    length = longest_accepted(world)
    # The time stamp in a record is one character shorter for one submission in ten, so that a description that is one
    # byte longer than the others is accepted now and then.
    tries = [length + 1] * MAX_TRIES if has_trouble else [length - MARGIN]
    accepted = None
    for number, tried in enumerate(tries):
        job_id = f"j-001{number:03}"
        body = description(job_id, tried)
        world.job_specs[job_id] = json.loads(body)
        status = world.request_status("c0", "POST", "/v2/runs", body)
        world.note("user", f"submit {job_id}, {len(body)} B -> {status}")
        if status == 201:
            accepted = job_id, body
            break
    if accepted is None:
        raise CaseNotRunError("no job of this length was accepted")
    job_id, body = accepted
    world.require(lambda: world.poll(job_id, "c1")[1].get("status") == "done", 40, f"{job_id} is done")
    statuses = []
    for number in range(REPEATS):
        name = world.controller_names[number % 3]
        statuses.append(world.request_status(name, "POST", "/v2/runs", body))
        world.note("user", f"submit {job_id} again to {name} -> {statuses[-1]}")
    world.note("check", f"the accepted job {job_id} was submitted again: {statuses}")
    return not any(status in (400, 422) for status in statuses)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, REGINA, play))
