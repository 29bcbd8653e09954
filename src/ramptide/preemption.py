"""Which tasks give way when a job that may claim room finds none. Pure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ramptide import wire
from ramptide.amounts import NOTHING, Amounts, amounts_of
from ramptide.placement import Room, admits, zone_room
from ramptide.task_state import TaskKey

#: Far above what other tasks cost: a replica is stopped last, as people wait for its answers.
SERVICE_LOSS = 1e6
#: Above what most tasks of a rank cost, so that a lower rank goes first on the same machine.
RANK_LOSS = 1e3


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that holds room."""

    run: wire.Run
    task: int
    attempt: int

    @property
    def key(self) -> TaskKey:
        """The job, the task and the number of the attempt."""
        return (self.run.ref, self.task, self.attempt)


def may_claim(
    run: wire.Run,
    victim: wire.Run,
    using: Mapping[str, Amounts],
    guarantees: Mapping[str, Amounts],
) -> bool:
    """Tell whether a task of `victim` may be stopped for one of `run`.

    Lower ranks give way to higher ones. Work of any rank that another team runs beyond its own
    guarantee gives way to what a team may run within its guarantee. Nothing else does.
    """
    if wire.RANKS.index(victim.rank) < wire.RANKS.index(run.rank):
        return True
    if victim.team == run.team or run.team not in guarantees:
        return False
    if not within_guarantee(run, using, guarantees):
        return False
    used, going = using.get(victim.team, NOTHING), amounts_of(victim)
    kept = guarantees.get(victim.team, NOTHING)
    return used[0] - going[0] >= kept[0] and used[1] - going[1] >= kept[1]


def within_guarantee(run: wire.Run, using: Mapping[str, Amounts], guarantees: Mapping[str, Amounts]) -> bool:
    """Tell whether one more task of the job keeps its team within its guarantee."""
    guaranteed = guarantees.get(run.team)
    if guaranteed is None:
        return False
    used, task = using.get(run.team, NOTHING), amounts_of(run)
    return used[0] + task[0] <= guaranteed[0] and used[1] + task[1] <= guaranteed[1]


def victims(
    run: wire.Run,
    room: Room,
    tasks: Iterable[RunningTask],
    claimable: Callable[[wire.Run], bool],
    placed: Mapping[str, int],
) -> tuple[float, list[RunningTask]] | None:
    """Return what is lost when tasks on this machine make room for one of the job, and which tasks these are.

    None when that can't be done, or need not.
    """
    if not admits(run, room) or not zone_room(run, room.zone, placed):
        return None
    trial, lost, going = room.copy(), 0.0, []
    for task in sorted((task for task in tasks if claimable(task.run)), key=_loss):
        if trial.fits(run):
            break
        trial.take(task.run, -1)
        going.append(task)
        lost += _loss(task)[0]
    return (lost, going) if going and trial.fits(run) else None


def _loss(task: RunningTask) -> tuple[float, str, int]:
    """Return what stopping a task costs: little if it saves, more the longer it runs, most for a replica.

    The job and the task make the order of equal ones a fixed one.
    """
    run = task.run
    if run.shape == wire.SERVICE:
        lost = SERVICE_LOSS
    elif run.mark_every_s > 0:
        lost = run.mark_cost_s
    else:
        lost = run.guess_s
    return (lost * max(run.cores, 1.0) + RANK_LOSS * wire.RANKS.index(run.rank), run.ref, task.task)
