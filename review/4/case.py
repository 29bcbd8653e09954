"""The record of an accepted array becomes unreadable after an outage in which the scheduler of the array ends."""

import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import HSINCHU, CaseNotRunError, LightWorker, World, run_case

ARRAY = "j-000200"
MACHINES = 24
#: The results that the state service lacks when the controller goes down, and the longest time until then. With the
#: time after that, the outage stays within the 20.0 s of the site files.
MISSING_RESULTS, MAX_OUTAGE_S = 10000, 11.8
#: How long the outage lasts after the controller went down, and how long after the outage the controller is back.
OUTAGE_AFTER_S, BACK_AFTER_S = 8.0, 14.0
WATCHED_S = 6.0


class Case(World):
    """Machines for thousands of short tasks."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.use_worker(LightWorker)
        # The checks at each start and end search through all tasks, which takes too long for thousands of them.
        self.hosts_in_use: set[str] = set()
        self.invariants.on_task_started = lambda agent, _task: self.hosts_in_use.add(agent.host)
        self.invariants.on_task_done = lambda task: self.invariants.succeeded_tasks.add(task.task_id)

    def recorded(self) -> Any:
        """Return the record of the array in the state service; None when there is none."""
        entry = self.store.entries.get(f"live/job/{ARRAY}")
        return None if entry is None else entry.value

    def missing_results(self) -> int:
        """Return how many tasks succeeded beyond the lowest one that the state service does not know as done."""
        return len(self.invariants.succeeded_tasks) - int(self.recorded()["done"][0])

    def begin_outage(self) -> None:
        """Have the state service refuse all requests."""
        self.store.is_down = True
        self.note("trouble", "the state service is down")

    def end_outage(self) -> None:
        """End the outage; every lease has its full time again."""
        self.store.is_down = False
        self.store.leases = {
            lease_id: lease._replace(expires_at=self.now + lease.duration)
            for lease_id, lease in self.store.leases.items()
        }
        self.note("trouble", "the state service is back")

    def show_progress(self, seconds: float) -> None:
        """Serve for a while, and note what is recorded and what succeeded."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.serve(min(left, 1.0))
            record = self.recorded()
            done = None if record is None else (record["done"][0], len(record["done"][1]))
            longest = max((len(agent.encode_status()) for agent in self.agents.values()), default=0)
            tasks = len(self.invariants.succeeded_tasks)
            self.note("progress", f"{tasks} tasks succeeded, recorded {done}, longest report {longest} B")


def play(world: Case, has_trouble: bool) -> bool:
    """Let the state service be down while the array runs, and its scheduler go down meanwhile; then poll the array."""
    world.start_all()
    world.submit(ARRAY, jobclass="ticket-probes", pieces=60000, cores=0.25, ramGb=0.45, guessS=1.0, rank="low")
    # One machine may be kept idle in the pool for a while.
    world.require(lambda: len(world.hosts_in_use) >= MACHINES - 1, 25, "the machines run tasks")
    world.show_progress(3)
    scheduler = str(world.recorded()["home"])
    if has_trouble:
        world.begin_outage()
        began = time.monotonic()
        while world.missing_results() < MISSING_RESULTS:
            if time.monotonic() - began > MAX_OUTAGE_S:
                raise CaseNotRunError(f"only {world.missing_results()} results in {MAX_OUTAGE_S} s")
            world.show_progress(0.5)
        world.kill(scheduler)
        world.note("trouble", f"{scheduler}, the scheduler of {ARRAY}, is down")
        world.show_progress(OUTAGE_AFTER_S)
        world.end_outage()
        world.show_progress(BACK_AFTER_S)
        world.start(scheduler)
        world.require(lambda: world.is_healthy(scheduler), 10, f"{scheduler} is back")
    world.show_progress(WATCHED_S)
    statuses = {name: world.poll(ARRAY, name)[0] for name in world.controller_names}
    world.note("check", f"polls of the accepted job {ARRAY}: {statuses}")
    return 404 not in statuses.values()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, HSINCHU, play, Case, MACHINES))
