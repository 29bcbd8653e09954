"""Team limits on real processes: submissions race at all controllers, some of which are frozen, killed and restarted.

Two controllers could together exceed a team's limit when one of them is frozen in the middle of a transfer of share, or
past its lease, and then acts on a share that no longer holds. The simulated agents record what runs, and the invariants
are checked on that. Nothing is asserted about speed, so that a busy machine gives the same result.
"""

import json
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from ramptide.transport.runtime import Request
from virtual import SECOND
from virtual.loopback import ROOT, LoopbackWorld

#: The CPU limits. One burst of jobs takes most of a limit, so that two bursts together need more than it.
TEAMS = {"red": 9.0, "green": 8.0, "blue": 8.0, "black": 7.0, "white": 7.0, "brown": 6.0}
BURST_COUNT = 176
JOBS_PER_BURST = 4
JOB_COUNT = BURST_COUNT * JOBS_PER_BURST
#: Each job is sent to all three controllers at least once.
MIN_SUBMISSION_COUNT = 3 * JOB_COUNT
SUBMISSION_PERIOD_S = 50.0
#: A long freeze lasts longer than a controller's lease in the key-value store. During a short one, the controller stays
#: a member of the view.
LONG_FREEZE_S, SHORT_FREEZE_S = 6.0, 1.0
SHORT_FREEZE_COUNT = 16


@pytest.fixture
def world(tmp_path: Path) -> Iterator[LoopbackWorld]:
    world = LoopbackWorld(tmp_path, teams=TEAMS, capacity=14, features_file=ROOT / "deploy" / "parts.toml")
    world.log_level = "error"
    world.store_limits = world.store_limits | {"rps": 2000.0, "write_rps": 1000.0}
    for name in world.controller_names:
        world.start(name)
    yield world
    world.close()


def schedule_submissions(world: LoopbackWorld, rng: random.Random) -> Counter[str]:
    """Schedule the submissions, in bursts of one team; each job is submitted again until a controller has accepted it.

    Between the bursts of a team some member has spare share of its limit, so that share is passed on many times.
    """
    counts: Counter[str] = Counter()
    for burst in range(BURST_COUNT):
        team, at_s = rng.choice(list(TEAMS)), rng.uniform(0, SUBMISSION_PERIOD_S)
        for index in range(JOBS_PER_BURST):
            job_id = f"j-{burst * JOBS_PER_BURST + index}"
            world.define_job(
                job_id, owner=team, pieces=rng.choice([1, 1, 2]), cores=rng.choice([0.5, 1.0, 1.5]), ramGb=1.0,
                guessS=rng.choice([0.1, 0.3]),
            )  # fmt: skip
            world.after(
                (at_s + rng.uniform(0, 0.2)) * SECOND,
                lambda job_id=job_id: submit_to_all(world, job_id, counts),  # type: ignore[misc]
            )
    return counts


def schedule_freeze(world: LoopbackWorld, name: str, start_s: float, duration_s: float) -> None:
    world.after(start_s * SECOND, lambda: world.freeze(name))
    world.after((start_s + duration_s) * SECOND, lambda: world.resume(name))


def submit_to_all(world: LoopbackWorld, job_id: str, counts: Counter[str]) -> None:
    """Submit a job to all controllers, every 3 s until one of them has accepted it."""
    if job_id in world.accepted_jobs:
        return
    body = json.dumps(world.job_specs[job_id]).encode()

    def on_response(response: object) -> None:
        if response is not None and response.status in (200, 201):  # type: ignore[attr-defined]
            world.accepted_jobs.add(job_id)
            counts["accepted"] += 1

    for name in world.controller_names:
        counts["sent"] += 1
        request = Request(world.client_address(name), "POST", "/v2/runs", timedelta(seconds=5), body)
        world.client.call(request, on_response)
    world.after(3 * SECOND, lambda: submit_to_all(world, job_id, counts))


def test_no_limit_is_exceeded_while_controllers_freeze_and_restart_during_racing_submissions(
    world: LoopbackWorld,
) -> None:
    assert world.serve_until(lambda: all(world.is_healthy(name) for name in world.controller_names), 60)
    rng = random.Random(1)
    counts = schedule_submissions(world, rng)
    for index in range(SHORT_FREEZE_COUNT):
        schedule_freeze(world, rng.choice(world.controller_names), 8.0 + index * 1.4, SHORT_FREEZE_S)
    for start_s, name in ((32.0, "c0"), (39.0, "c1"), (46.0, "c2")):
        schedule_freeze(world, name, start_s, LONG_FREEZE_S)
    world.after(44 * SECOND, lambda: world.kill("c2"))
    world.after(44.3 * SECOND, lambda: world.start("c2"))
    assert world.serve_until(lambda: len(world.accepted_jobs) == JOB_COUNT, 120)
    assert world.serve_until(lambda: all(world.is_done(job_id) for job_id in world.job_specs), 180)
    assert world.invariants.violations == []
    assert counts["sent"] >= MIN_SUBMISSION_COUNT
    assert world.invariants.start_count >= JOB_COUNT
    transfer_lines = [
        line
        for name in world.controller_names
        for line in world.metrics(name).splitlines()
        if 'outcome="given"' in line
    ]
    assert sum(float(line.split()[-1]) for line in transfer_lines) > 10
    assert all(process.poll() is None for process in world.processes.values())
    # An operator changes a limit with the documented commands.
    assert world.run_admin_command("c1", "quota", "red", "cpus_max=5")[0] == 0
    assert world.serve_until(lambda: "live/quota/red" in world.store.entries, 10)
    assert world.serve_until(lambda: "pending" not in world.store.entries["live/quota/red"][0], 30)
    status, output = world.run_admin_command("c0", "quota")
    assert status == 0
    assert json.loads(output)["teams"]["red"]["limit"]["cores"] == 5.0
    assert world.run_admin_command("c2", "quota", "red")[0] == 2
