"""The decisions of a round about tasks: what starts, what is stopped to make room, and what is handed over."""

from collections.abc import Callable
from datetime import timedelta

from ramptide.controller.authority import Authority
from ramptide.scheduling.handover import JobHandover
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.placement_round import PlacementRound
from ramptide.scheduling.preemption import Preemptor
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["TaskDecisions"]


class TaskDecisions:
    """Decides while the authority of this controller is proven.

    An error in one kind of decision is recorded, and the other kinds are made all the same.
    """

    def __init__(
        self,
        authority: Authority,
        placement_round: PlacementRound,
        preemptor: Preemptor,
        handover: JobHandover,
        errors: IsolatedErrors,
    ) -> None:
        self._authority = authority
        self._placement_round = placement_round
        self._preemptor = preemptor
        self._handover = handover
        self._errors = errors

    def run(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Make the decisions of one round."""
        if self._authority.may_start():
            self._run("placement", lambda: self._placement_round.run(scheduler, now))
            self._run("preemption", lambda: self._preemptor.run(scheduler, now))
            self._run("handover", lambda: self._handover.run(scheduler, now))

    def _run(self, name: str, decision: Callable[[], object]) -> None:
        self._errors.run("task decisions", name, decision)
