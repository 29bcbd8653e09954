"""Which tasks give way when a job that may claim room finds none. Pure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ramptide import wire
from ramptide.allowances import Amounts
from ramptide.placement import Room, admits, zone_room


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that holds room."""

    run: wire.Run
    task: int
    attempt: int

    @property
    def key(self) -> tuple[str, int, int]:
        return (self.run.ref, self.task, self.attempt)


def may_claim(
    run: wire.Run,
    victim: wire.Run,
    using: Mapping[str, Amounts],
    guarantees: Mapping[str, Amounts],
) -> bool:
    """A task of `victim` may be stopped for one of `run`.

    Lower ranks give way to higher ones. JobState of any rank that another team runs beyond its own
    guarantee gives way to what a team may run within its guarantee. Nothing else does.
    """
    if wire.RANKS.index(victim.rank) < wire.RANKS.index(run.rank):
        return True
    if victim.team == run.team or run.team not in guarantees:
        return False
    mine, theirs = using.get(run.team, (0.0, 0.0)), using.get(victim.team, (0.0, 0.0))
    own, other = guarantees[run.team], guarantees.get(victim.team, (0.0, 0.0))
    within = mine[0] + run.cores <= own[0] + 1e-6 and mine[1] + run.cards <= own[1] + 1e-6
    beyond = theirs[0] - victim.cores >= other[0] - 1e-6 and theirs[1] - victim.cards >= other[1] - 1e-6
    return within and beyond


def victims(
    run: wire.Run,
    room: Room,
    tasks: Iterable[RunningTask],
    claimable: Callable[[wire.Run], bool],
    placed: Mapping[str, int],
) -> tuple[float, list[RunningTask]] | None:
    """Who goes on this machine to make room for one task of the job, and what is lost by it; None when that
    can't be done, or need not."""
    if not admits(run, room) or not zone_room(run, room.zone, placed):
        return None
    trial, lost, going = room.copy(), 0.0, []
    for task in sorted((t for t in tasks if claimable(t.run)), key=_loss):
        if trial.fits(run):
            break
        trial.take(task.run, -1)
        going.append(task)
        lost += _loss(task)[0]
    return (lost, going) if going and trial.fits(run) else None


def _loss(task: RunningTask) -> tuple[float, str, int]:
    """What stopping a task costs: little if it saves, more the longer it runs, most for a replica."""
    run = task.run
    if run.shape == wire.SERVICE:
        lost = 1e6
    elif run.mark_every_s > 0:
        lost = run.mark_cost_s
    else:
        lost = run.guess_s
    return (lost * max(run.cores, 1.0) + 1e3 * wire.RANKS.index(run.rank), run.ref, task.task)
