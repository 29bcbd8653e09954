"""One accepted job with a tiny amount keeps the controllers from renting machines and starting any user's job."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import HSINCHU, World, run_case

#: The memory of each task of the first job, in GB, with and without the disruption.
TINY_GB, USUAL_GB = 1e-310, 4.0
#: Jobs of other users, which one machine of the site can run together in 10 s.
OTHERS = [f"j-0003{number:02}" for number in range(6)]
#: `more/hunt/LATER.md`: "no job is left waiting for 90 s while a machine that fits has room".
WATCHED_S = 90.0


def play(world: World, has_trouble: bool) -> bool:
    """Submit the job, then jobs of other users, and see whether these are done within the time that the pages set."""
    world.start_all()
    amount = TINY_GB if has_trouble else USUAL_GB
    if has_trouble:
        world.note("trouble", f"j-000200 is submitted with ramGb {amount}")
    world.submit("j-000200", jobclass="burst-scan", pieces=1, cores=4.0, ramGb=amount, guessS=10.0)
    world.submit(
        "j-000100", jobclass="logger-ingest", shape="service", rank="production", pieces=1, cores=4.0, ramGb=5.7
    )
    for job_id in OTHERS:
        world.submit(job_id, jobclass="burst-scan", pieces=1, cores=4.0, ramGb=4.0, guessS=10.0)

    def are_served() -> bool:
        return bool(world.running("j-000100")) and all(f"ended/{job_id}" in world.store.entries for job_id in OTHERS)

    world.serve_until(are_served, WATCHED_S)
    answers = [world.poll(job_id, "c0")[1].get("status") for job_id in ("j-000100", *OTHERS)]
    rentals = len(world.cloud.hosts_by_request_id)
    world.note("check", f"{rentals} rentals, states of the other jobs: {answers}")
    return answers == ["running", *["done"] * len(OTHERS)]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, HSINCHU, play))
