"""The invariants of the protocol, checked against what actually happens on the machines."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from virtual.agent import CAPACITY_TOLERANCE_CPUS, RUNNING, Agent, Task
from virtual.clock import SECOND

if TYPE_CHECKING:
    from virtual.world import World


class InvariantChecker:
    """Records every violation of the invariants, which it finds by a plain search through the whole world.

    `violations`: a line for each violation, which begins with its kind, such as `ran_twice`.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.violations: list[str] = []
        #: The tasks that succeeded on a machine, by job id and task index.
        self.succeeded_tasks: set[tuple[str, int]] = set()
        self.start_count = 0
        self.starts_by_job: Counter[str] = Counter()
        #: Called with the job id when the last task of a job succeeds.
        self.on_job_done: Callable[[str], None] = lambda job_id: None

    def running_tasks(self) -> list[tuple[Agent, Task]]:
        """Return all running tasks with their machines."""
        return [
            (agent, task)
            for agent in self.world.agents.values()
            if agent.may_run_tasks
            for task in agent.tasks.values()
            if task.status == RUNNING
        ]

    def on_task_done(self, task: Task) -> None:
        """Record that a task succeeded."""
        self.succeeded_tasks.add(task.task_id)
        if self._have_all_tasks_succeeded(task.job_id):
            self.on_job_done(task.job_id)

    def _have_all_tasks_succeeded(self, job_id: str) -> bool:
        task_count = self.world.job_specs[job_id]["pieces"]
        return all((job_id, index) in self.succeeded_tasks for index in range(task_count))

    def on_task_started(self, agent: Agent, task: Task) -> None:
        """Count the start of a task and check all invariants."""
        self.start_count += 1
        self.starts_by_job[task.job_id] += 1
        running = self.running_tasks()
        self._check_task_runs_once(agent, task, running)
        self._check_team_limit(task, running)
        self._check_placement(agent, task, running)
        self.check()

    def _check_task_runs_once(self, agent: Agent, task: Task, running: list[tuple[Agent, Task]]) -> None:
        for other_agent, other in running:
            if other is not task and other.task_id == task.task_id:
                self.violations.append(f"ran_twice {task.job_id}/{task.index} on {other_agent.host} and {agent.host}")

    def _check_team_limit(self, task: Task, running: list[tuple[Agent, Task]]) -> None:
        team = self.world.job_specs[task.job_id]["owner"]
        limit = self.world.teams[team]
        specs = [self.world.job_specs[other.job_id] for _, other in running]
        used = sum(spec["cores"] for spec in specs if spec["owner"] == team)
        if limit and used > limit + CAPACITY_TOLERANCE_CPUS:
            self.violations.append(f"quota {team} {used}")

    def _check_placement(self, agent: Agent, task: Task, running: list[tuple[Agent, Task]]) -> None:
        spec: dict[str, Any] = self.world.job_specs[task.job_id]
        if (agent.spot and not spec["loaners"]) or spec.get("yard") not in (None, agent.zone):
            self.violations.append(f"wrong_place {task.job_id} on {agent.host}")
        zones = [other_agent.zone for other_agent, other in running if other.job_id == task.job_id]
        if spec["oneZone"] and len(set(zones)) > 1:
            self.violations.append(f"wrong_place {task.job_id}: {zones}")
        if spec["spread"] and zones.count(agent.zone) > (spec["pieces"] + 1) // 2:
            self.violations.append(f"wrong_place {task.job_id}: {zones}")

    def check(self) -> None:
        """Check the invariants that must hold at all times."""
        self._check_cancelled_jobs()
        self._check_done_jobs()

    def _check_cancelled_jobs(self) -> None:
        cancel_timeout = self.world.cancel_timeout_s * SECOND
        for agent in self.world.agents.values():
            # Machines that hang past their leases count as well: a cancelled task must not resume there.
            for task in agent.tasks.values() if agent.alive else ():
                cancelled_at = self.world.cancelled_at.get(task.job_id)
                is_late = cancelled_at is not None and self.world.now - cancelled_at > cancel_timeout
                if is_late and task.status == RUNNING:
                    self.violations.append(f"ran_cancelled {task.job_id} on {agent.host}")

    def _check_done_jobs(self) -> None:
        for key, entry in self.world.store.entries.items():
            job_id = key.removeprefix("ended/")
            is_done = key.startswith("ended/") and entry.value["status"] == "done"
            if is_done and not self._have_all_tasks_succeeded(job_id):
                self.violations.append(f"not_done {job_id}")
