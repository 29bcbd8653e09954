"""Team limits on real processes: racing submissions at all controllers, frozen, killed and restarted ones among them.

The agents' own records judge. Nothing is said of speed, so that a busy machine gives the same verdict.
"""

import json
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from ramptide.transport.runtime import Request
from virtual import S
from virtual.loopback import ROOT, LoopWorld

#: One burst takes most of a limit, so that two of them meet at it.
TEAMS = {"red": 9.0, "green": 8.0, "blue": 8.0, "black": 7.0, "white": 7.0, "brown": 6.0}
BURSTS = 176
JOBS_A_BURST = 4
JOBS = BURSTS * JOBS_A_BURST
#: Every submission is sent to all controllers at once.
SUBMISSIONS = 3 * JOBS
FLOOD_S = 50.0
#: Longer than a controller's lease in the state service; and so short that it keeps its place.
LONG_FREEZE_S, SHORT_FREEZE_S = 6.0, 1.0
SHORT_FREEZES = 16


@pytest.fixture
def world(tmp_path: Path) -> Iterator[LoopWorld]:
    world = LoopWorld(tmp_path, teams=TEAMS, capacity=14, parts=ROOT / "deploy" / "parts.toml")
    world.log_level = "error"
    world.store_limits = world.store_limits | {"rps": 2000.0, "write_rps": 1000.0}
    for name in world.controller_names:
        world.start(name)
    yield world
    world.close()


def race(world: LoopWorld, rng: random.Random) -> Counter[str]:
    """Plans the submissions, in bursts of one team; each is repeated until some controller has accepted it.

    Between the bursts of a team its share lies spare somewhere, so it is passed on again and again.
    """
    counts: Counter[str] = Counter()
    for burst in range(BURSTS):
        team, at = rng.choice(list(TEAMS)), rng.uniform(0, FLOOD_S)
        for number in range(JOBS_A_BURST):
            job_id = f"j-{burst * JOBS_A_BURST + number}"
            world.define_job(
                job_id, owner=team, pieces=rng.choice([1, 1, 2]), cores=rng.choice([0.5, 1.0, 1.5]), ramGb=1.0,
                guessS=rng.choice([0.1, 0.3]),
            )  # fmt: skip
            world.after((at + rng.uniform(0, 0.2)) * S, lambda job_id=job_id: send(world, job_id, counts))  # type: ignore[misc]
    return counts


def freeze_for(world: LoopWorld, name: str, begin: float, seconds: float) -> None:
    world.after(begin * S, lambda: world.freeze(name))
    world.after((begin + seconds) * S, lambda: world.resume(name))


def send(world: LoopWorld, job_id: str, counts: Counter[str]) -> None:
    if job_id in world.accepted_jobs:
        return
    body = json.dumps(world.job_specs[job_id]).encode()

    def done(reply: object) -> None:
        if reply is not None and reply.status in (200, 201):  # type: ignore[attr-defined]
            world.accepted_jobs.add(job_id)
            counts["accepted"] += 1

    for name in world.controller_names:
        counts["sent"] += 1
        request = Request(world.users_address(name), "POST", "/v2/runs", timedelta(seconds=5), body)
        world.client.call(request, done)
    world.after(3 * S, lambda: send(world, job_id, counts))


def test_racing_submissions_never_pass_a_limit_while_controllers_freeze_and_end(world: LoopWorld) -> None:
    assert world.until(lambda: all(world.is_healthy(name) for name in world.controller_names), 60)
    rng = random.Random(1)
    counts = race(world, rng)
    for number in range(SHORT_FREEZES):
        freeze_for(world, rng.choice(world.controller_names), 8.0 + number * 1.4, SHORT_FREEZE_S)
    for begin, name in ((32.0, "c0"), (39.0, "c1"), (46.0, "c2")):
        freeze_for(world, name, begin, LONG_FREEZE_S)
    world.after(44 * S, lambda: world.kill("c2"))
    world.after(44.3 * S, lambda: world.start("c2"))
    assert world.until(lambda: len(world.accepted_jobs) == JOBS, 120)
    assert world.until(lambda: all(world.is_done(job_id) for job_id in world.job_specs), 180)
    assert world.invariants.violations == []
    assert counts["sent"] >= SUBMISSIONS
    assert world.invariants.start_count >= JOBS
    given = [
        line
        for name in world.controller_names
        for line in world.metrics(name).splitlines()
        if 'outcome="given"' in line
    ]
    assert sum(float(line.split()[-1]) for line in given) > 10
    assert all(process.poll() is None for process in world.processes.values())
    # An operator changes a limit, as the page for operators says.
    assert world.operator("c1", "quota", "red", "cpus_max=5")[0] == 0
    assert world.until(lambda: "live/quota/red" in world.store.entries, 10)
    assert world.until(lambda: "pending" not in world.store.entries["live/quota/red"][0], 30)
    status, shown = world.operator("c0", "quota")
    assert status == 0
    assert json.loads(shown)["teams"]["red"]["limit"]["cores"] == 5.0
    assert world.operator("c2", "quota", "red")[0] == 2
