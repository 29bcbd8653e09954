"""The choice of the tasks that are stopped to make room for another job. The functions are pure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ramptide.placement.bin_packing import Room, admits, zone_headroom
from ramptide.protocol.jobs import PRIORITIES, SERVICE, JobSpec
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, amounts_of
from ramptide.state.task_state import TaskKey

#: Far above the cost of other tasks: a replica of a service is stopped last, as people wait for its answers.
SERVICE_STOP_COST = 1e6
#: The cost of each step of priority: above the other costs of most tasks, so that on one machine tasks of a lower
#: priority are stopped first.
PRIORITY_STOP_COST = 1e3


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that holds room on a machine."""

    spec: JobSpec
    task_index: int
    attempt: int

    @property
    def key(self) -> TaskKey:
        """The job id, the task index and the number of the attempt."""
        return (self.spec.job_id, self.task_index, self.attempt)


class VictimChoice(NamedTuple):
    """The tasks that are stopped on a machine to make room for one task, and what stopping them costs."""

    cost: float
    tasks: list[RunningTask]


class _StopOrder(NamedTuple):
    """The sort key of a running task, lowest for the one that is stopped first; the ids break ties."""

    cost: float
    job_id: str
    task_index: int


def may_claim(
    spec: JobSpec,
    victim: JobSpec,
    usage: Mapping[str, Amounts],
    guarantees: Mapping[str, Amounts],
) -> bool:
    """Return whether a task of `victim` may be stopped for one of `spec`.

    A task may be stopped for one of a higher priority. A task of any priority that its team runs beyond its guarantee
    may be stopped for one that another team may run within its guarantee. No other task may be stopped.
    """
    if PRIORITIES.index(victim.priority) < PRIORITIES.index(spec.priority):
        return True
    if victim.team == spec.team or spec.team not in guarantees:
        return False
    if not is_within_guarantee(spec, usage, guarantees):
        return False
    used, released = usage.get(victim.team, ZERO_AMOUNTS), amounts_of(victim)
    guaranteed = guarantees.get(victim.team, ZERO_AMOUNTS)
    return used[0] - released[0] >= guaranteed[0] and used[1] - released[1] >= guaranteed[1]


def is_within_guarantee(spec: JobSpec, usage: Mapping[str, Amounts], guarantees: Mapping[str, Amounts]) -> bool:
    """Return whether one more task of the job keeps its team within its guarantee."""
    guaranteed = guarantees.get(spec.team)
    if guaranteed is None:
        return False
    used, task = usage.get(spec.team, ZERO_AMOUNTS), amounts_of(spec)
    return used[0] + task[0] <= guaranteed[0] and used[1] + task[1] <= guaranteed[1]


def choose_victims(
    spec: JobSpec,
    room: Room,
    tasks: Iterable[RunningTask],
    is_claimable: Callable[[JobSpec], bool],
    placed_by_zone: Mapping[str, int],
) -> VictimChoice | None:
    """Return the tasks to be stopped on a machine to make room for one task of the job.

    The result is None when no room can be made, or when a task fits without stopping any.
    """
    if not admits(spec, room) or not zone_headroom(spec, room.zone, placed_by_zone):
        return None
    trial = room.copy()
    choice = VictimChoice(0.0, [])
    for task in sorted((task for task in tasks if is_claimable(task.spec)), key=_stop_order):
        if trial.count_fitting_tasks(spec):
            break
        trial.allocate(task.spec, -1)
        choice = VictimChoice(choice.cost + _stop_order(task).cost, [*choice.tasks, task])
    return choice if choice.tasks and trial.count_fitting_tasks(spec) else None


def _stop_order(task: RunningTask) -> _StopOrder:
    """Return the sort key of a task.

    The cost is low for a task that saves checkpoints, grows with the estimated run time for other batch tasks, and is
    highest for a replica of a service.
    """
    spec = task.spec
    if spec.kind == SERVICE:
        cost = SERVICE_STOP_COST
    elif spec.checkpoint_interval_s > 0:
        cost = spec.checkpoint_cost_s
    else:
        cost = spec.estimated_runtime_s
    weighted_cost = cost * max(spec.cpus, 1.0) + PRIORITY_STOP_COST * PRIORITIES.index(spec.priority)
    return _StopOrder(weighted_cost, spec.job_id, task.task_index)
