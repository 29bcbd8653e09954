"""The demand of the whole cluster, as the leader knows it from its own scheduler and the other members' messages."""

from collections import Counter
from datetime import timedelta
from typing import Protocol

from ramptide.autoscaling.fleet_types import Demand
from ramptide.cluster.messages import WaitingJobRow
from ramptide.cluster.peers import Peers
from ramptide.scheduling.headroom import task_headroom
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.own_demand import waiting_rows
from ramptide.scheduling.urgency_order import UrgencyOrder
from ramptide.state.amounts import NO_LIMIT, ZERO_AMOUNTS, Amounts, TeamAmounts, add_amounts, amounts_of
from ramptide.state.jobs import Job
from ramptide.team_limits.cluster_usage import ClusterUsage
from ramptide.transport.runtime import Runtime

__all__ = ["ClusterDemand"]

NO_LIMITS = Amounts(NO_LIMIT, NO_LIMIT)


class DemandState(Protocol):
    """The state of the controller that the demand is calculated from."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not finished, by id."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    def require_scheduler(self) -> JobScheduler:
        """Return the scheduler of this controller's jobs; raise an error when this controller is not in the view."""


class ClusterDemand:
    """Collects the waiting tasks of all schedulers."""

    def __init__(
        self,
        runtime: Runtime,
        state: DemandState,
        peers: Peers,
        cluster_usage: ClusterUsage,
        urgency_order: UrgencyOrder,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._peers = peers
        self._cluster_usage = cluster_usage
        self._urgency_order = urgency_order

    def demands(self) -> list[Demand]:
        """Return the waiting tasks of all schedulers that their teams' limits let run now, the most urgent first."""
        wall, jobs, limits = self._runtime.wall(), self._state.jobs, self._state.limits
        usage = self._cluster_usage.team_usage()
        waiting = [(jobs[row.job_id], row, placed) for row, placed in self._waiting_rows() if row.job_id in jobs]
        urgency_of = self._urgency_order.urgency_of
        waiting.sort(key=lambda entry: urgency_of(entry[0], timedelta(seconds=entry[1].waited_s), wall))
        demands = []
        for job, row, placed in waiting:
            spec = job.spec
            limit = limits.get(spec.team, NO_LIMITS)
            task_count = min(row.task_count, task_headroom(spec, usage.get(spec.team, ZERO_AMOUNTS), limit, limits))
            if task_count > 0:
                add_amounts(usage, spec.team, amounts_of(spec).times(task_count))
                waited = timedelta(seconds=row.waited_s)
                demands.append(Demand(spec, task_count, waited, Counter(placed), frozenset(row.avoided_hosts)))
        return demands

    def _waiting_rows(self) -> list[tuple[WaitingJobRow, Counter[str]]]:
        """Return the rows of all schedulers, each with the number of the job's tasks by zone.

        The numbers by zone are known only for the jobs that this controller schedules.
        """
        scheduler = self._state.require_scheduler()
        rows: list[tuple[WaitingJobRow, Counter[str]]] = [
            (row, scheduler.jobs[row.job_id].placed_by_zone) for row in waiting_rows(scheduler, self._runtime.now)
        ]
        for message in self._peers.last_messages():
            # A job that was handed over to this controller may still be in the last message of its former scheduler.
            rows += [(row, Counter()) for row in message.waiting_jobs if row.job_id not in scheduler.jobs]
        return rows
