"""Which tasks give way when a job that may claim room finds none. Pure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ramptide.placement.bin_packing import Room, admits, zone_room
from ramptide.protocol.jobs import PRIORITIES, SERVICE, JobSpec
from ramptide.state.amounts import NOTHING, Amounts, amounts_of
from ramptide.state.task_state import TaskKey

#: Far above what other tasks cost: a replica is stopped last, as people wait for its answers.
SERVICE_LOSS = 1e6
#: Above what most tasks of a priority cost, so that a lower priority goes first on the same machine.
PRIORITY_LOSS = 1e3


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that holds room."""

    spec: JobSpec
    task_index: int
    attempt: int

    @property
    def key(self) -> TaskKey:
        """The job, the task and the number of the attempt."""
        return (self.spec.job_id, self.task_index, self.attempt)


def may_claim(
    spec: JobSpec,
    victim: JobSpec,
    usage: Mapping[str, Amounts],
    guarantees: Mapping[str, Amounts],
) -> bool:
    """Tell whether a task of `victim` may be stopped for one of `spec`.

    Lower priorities give way to higher ones. Work of any priority that another team runs beyond its own
    guarantee gives way to what a team may run within its guarantee. Nothing else does.
    """
    if PRIORITIES.index(victim.priority) < PRIORITIES.index(spec.priority):
        return True
    if victim.team == spec.team or spec.team not in guarantees:
        return False
    if not within_guarantee(spec, usage, guarantees):
        return False
    used, going = usage.get(victim.team, NOTHING), amounts_of(victim)
    kept = guarantees.get(victim.team, NOTHING)
    return used[0] - going[0] >= kept[0] and used[1] - going[1] >= kept[1]


def within_guarantee(spec: JobSpec, usage: Mapping[str, Amounts], guarantees: Mapping[str, Amounts]) -> bool:
    """Tell whether one more task of the job keeps its team within its guarantee."""
    guaranteed = guarantees.get(spec.team)
    if guaranteed is None:
        return False
    used, task = usage.get(spec.team, NOTHING), amounts_of(spec)
    return used[0] + task[0] <= guaranteed[0] and used[1] + task[1] <= guaranteed[1]


def victims(
    spec: JobSpec,
    room: Room,
    tasks: Iterable[RunningTask],
    claimable: Callable[[JobSpec], bool],
    placed: Mapping[str, int],
) -> tuple[float, list[RunningTask]] | None:
    """Return what is lost when tasks on this machine make room for one of the job, and which tasks these are.

    None when that can't be done, or need not.
    """
    if not admits(spec, room) or not zone_room(spec, room.zone, placed):
        return None
    trial, lost, going = room.copy(), 0.0, []
    for task in sorted((task for task in tasks if claimable(task.spec)), key=_loss):
        if trial.fits(spec):
            break
        trial.take(task.spec, -1)
        going.append(task)
        lost += _loss(task)[0]
    return (lost, going) if going and trial.fits(spec) else None


def _loss(task: RunningTask) -> tuple[float, str, int]:
    """Return what stopping a task costs: little if it saves, more the longer it runs, most for a replica.

    The job and the task make the order of equal ones a fixed one.
    """
    spec = task.spec
    if spec.kind == SERVICE:
        lost = SERVICE_LOSS
    elif spec.checkpoint_interval_s > 0:
        lost = spec.checkpoint_cost_s
    else:
        lost = spec.estimated_runtime_s
    return (lost * max(spec.cpus, 1.0) + PRIORITY_LOSS * PRIORITIES.index(spec.priority), spec.job_id, task.task_index)
