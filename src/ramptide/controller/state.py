"""What one controller knows and owns at the moment: the state that its parts share.

The parts read it through small protocols of their own, so that a signature shows what each of them depends on. Only
the modules of this package write it: `store_events` the records, `view_change` all that belongs to a view,
`reconciliation` the flag `reconciled`, `shares` the quota shares.
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
#: Cached owners of machines; the cache is emptied when it is full.
MAX_CACHED_OWNERS = 20_000
#: The kind of objective on how soon tasks start, as the platform names it.
START_OBJECTIVE = "wait"


def _prompt_classes(objectives: Iterable[Objective]) -> frozenset[str]:
    """Return the classes whose starts people wait for, as the platform's objectives say."""
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
        The teams whose jobs are accepted, and the quotas of those that have one. Changed in place.
    tuning
        The operators' settings.
    jobs, machines, rentals, machine_types
        The records of the key-value store, by name. Changed in place.
    agent_addresses
        Where agents that reported to us can be called, by machine.
    view
        The newest view that the watch cache has shown, since `view_since`; None before the first one.
    reconciled
        Whether it is known of all machines what earlier views left on them.
    shard, scheduler
        The machines that we own, and the jobs that we schedule; None without a place in the view.
    granted_shares, quota_shares
        What the leader granted us of each team limit, and what we may use after transfers between members.
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
        """Return the state with which a controller of the cluster starts."""
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
        """Return the machines that we own.

        Raises
        ------
        NoPlaceInViewError
            If we have no place in the view.
        """
        if self.shard is None:
            raise NoPlaceInViewError(f"{self.member} owns no machines")
        return self.shard

    def require_scheduler(self) -> JobScheduler:
        """Return the jobs that we schedule.

        Raises
        ------
        NoPlaceInViewError
            If we have no place in the view.
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
        """Forget the cached owners, as the members have changed."""
        self._owners.clear()

    def scheduler_of(self, job: Job) -> str | None:
        """Return the member that schedules a job: the recorded one, or the leader in its place. None without a view."""
        if self.view is None:
            return None
        return job.record.scheduler if job.record.scheduler in self.view.members else self.view.leader

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of a job that is not over; None for any other."""
        job = self.jobs.get(job_id)
        return job.spec if job is not None else None

    def is_quarantined(self, host: str) -> bool:
        """Tell whether a machine drains because jobs fail there that run elsewhere."""
        record = self.machines.get(host)
        return record is not None and record.drain_reason == QUARANTINED
