"""The state that the parts of one controller share: what it knows and owns at present.

The parts read it through small protocols of their own, so that a signature shows what each of them depends on. In this
package, `store_events` and `assignments` write the records and the agents' addresses, `view_change` all that belongs to
a view, `reconciliation` the flag `reconciled`, and `shares` the quota shares. Other packages write only the counters
and, where the quota feature is on, the teams with their limits and guarantees.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.agents.shard import Shard
from ramptide.autoscaling.fleet_types import QUARANTINED
from ramptide.cluster.view import View, owner_of
from ramptide.config.tuning import Tuning
from ramptide.controller.errors import NoPlaceInViewError, NoViewError
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec
from ramptide.protocol.settings_file import Cluster, Objective, Team
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import TeamAmounts, guarantee_of, team_limits
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord, RentalRecord

__all__ = ["ControllerState"]

NO_TIME = timedelta(0)
#: The number of machines whose owners are cached; a full cache is emptied.
MAX_CACHED_OWNERS = 20_000
#: The kind of the objectives on how soon tasks start, as the platform's settings name it.
START_OBJECTIVE = "wait"


def _prompt_classes(objectives: Iterable[Objective]) -> frozenset[str]:
    """Return the job classes with a start objective in the platform's settings: users wait for these jobs to start."""
    return frozenset(
        objective.job_class
        for objective in objectives
        if objective.kind == START_OBJECTIVE and objective.job_class is not None
    )


@dataclass(slots=True)
class ControllerState:
    """The records of the key-value store, and what belongs to the current view.

    Attributes
    ----------
    teams, limits, guarantees
        The teams whose jobs are accepted, and the limits and guarantees of those that have some. Changed in place.
    tuning
        The operators' settings.
    jobs, machines, rentals, machine_types
        The records of the key-value store, by name. Changed in place.
    agent_addresses
        The addresses of the agents, by machine, as far as the machines' owners report them.
    view
        The newest view that the watch cache has shown, adopted at `view_since`; None before the first one.
    reconciled
        Whether all tasks that earlier views may have left on machines are known.
    shard, scheduler
        The machines that this controller owns, and the jobs that it schedules; None without a place in the view.
    granted_shares, quota_shares
        What the leader granted of each team limit, and what this controller may use after transfers between members.
    """

    member: str
    teams: dict[str, Team]
    limits: TeamAmounts
    guarantees: TeamAmounts
    prompt_classes: frozenset[str]
    tuning: Tuning = field(default_factory=Tuning)
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, MachineRecord] = field(default_factory=dict)
    rentals: dict[str, RentalRecord] = field(default_factory=dict)
    machine_types: dict[str, MachineType] = field(default_factory=dict)
    agent_addresses: dict[str, str] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)
    view: View | None = None
    view_since: timedelta = NO_TIME
    reconciled: bool = False
    shard: Shard | None = None
    scheduler: JobScheduler | None = None
    granted_shares: TeamAmounts = field(default_factory=dict)
    quota_shares: TeamAmounts = field(default_factory=dict)
    _owners: dict[str, str] = field(default_factory=dict)

    @classmethod
    def of_cluster(cls, member: str, cluster: Cluster) -> "ControllerState":
        """Return the initial state of a controller of the cluster."""
        return cls(
            member=member,
            teams={team.name: team for team in cluster.teams},
            limits=team_limits(cluster.teams),
            guarantees={team.name: guarantee_of(team) for team in cluster.teams if team.cpus or team.gpus},
            prompt_classes=_prompt_classes(cluster.objectives),
        )

    def require_view(self) -> View:
        """Return the current view.

        Raises
        ------
        NoViewError
            If none is known yet.
        """
        if self.view is None:
            raise NoViewError("no view is known yet")
        return self.view

    def require_shard(self) -> Shard:
        """Return the machines that this controller owns.

        Raises
        ------
        NoPlaceInViewError
            If this controller has no place in the view.
        """
        if self.shard is None:
            raise NoPlaceInViewError(f"{self.member} owns no machines")
        return self.shard

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that this controller schedules.

        Raises
        ------
        NoPlaceInViewError
            If this controller has no place in the view.
        """
        if self.scheduler is None:
            raise NoPlaceInViewError(f"{self.member} schedules no jobs")
        return self.scheduler

    def owner_of(self, host: str) -> str:
        """Return the member that owns the machine in the current view.

        Raises
        ------
        NoViewError
            If no view is known yet.
        """
        owner = self._owners.get(host)
        if owner is None:
            view = self.require_view()
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            owner = self._owners[host] = owner_of(host, view.members)
        return owner

    def forget_owners(self) -> None:
        """Empty the cache of owners, as the members have changed."""
        self._owners.clear()

    def scheduler_of(self, job: Job) -> str | None:
        """Return the member that schedules a job; None without a view.

        The scheduler is the recorded one, or the leader when the recorded one is not a member of the view.
        """
        if self.view is None:
            return None
        return job.record.scheduler if job.record.scheduler in self.view.members else self.view.leader

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the spec of an unfinished job; None for any other job."""
        job = self.jobs.get(job_id)
        return job.spec if job is not None else None

    def is_quarantined(self, host: str) -> bool:
        """Return whether a machine is being drained because jobs fail there that run elsewhere."""
        record = self.machines.get(host)
        return record is not None and record.drain_reason == QUARANTINED
