"""The status of one controller, as the administration API shows it to operators."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ramptide import __version__
from ramptide.api.telemetry import Telemetry
from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.cluster.view import View
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.usage import TeamUsageReport
from ramptide.transport.process_statistics import ProcessStatistics
from ramptide.transport.runtime import Runtime

__all__ = ["ObservedState", "StatusReport"]


class ObservedState(Protocol):
    """The parts of the controller's state that operators see."""

    @property
    def member(self) -> str:
        """The name of this controller."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def reconciled(self) -> bool:
        """Whether all machines are reconciled: it is known what earlier views left on them."""

    @property
    def jobs(self) -> dict[str, Job]:
        """The jobs that are not finished, by id."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""


class StatusReport:
    """Builds the status, whose field names are part of the administration API.

    Parameters
    ----------
    unavailable_dependencies
        Returns what the controller cannot reach, in words for operators.
    quota_status
        Returns the status of the quota feature, or None where it is off.
    process
        The statistics of the process, or None where none are kept.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: ObservedState,
        membership: Membership,
        watch_cache: WatchCache,
        machine_index: MachineIndex,
        autoscaler: Autoscaler,
        team_usage: TeamUsageReport,
        telemetry: Telemetry,
        unavailable_dependencies: Callable[[], list[str]],
        quota_status: Callable[[], dict[str, Any]] | None,
        process: ProcessStatistics | None,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._machine_index = machine_index
        self._autoscaler = autoscaler
        self._team_usage = team_usage
        self._telemetry = telemetry
        self._unavailable_dependencies = unavailable_dependencies
        self._quota_status = quota_status
        self._process = process

    def to_value(self) -> dict[str, Any]:
        """Return the status as a JSON value."""
        telemetry, state = self._telemetry, self._state
        return {
            "version": __version__,
            "member": state.member,
            "state": self._membership.state.name.lower(),
            "state_service": self._watch_cache.state.value,
            "lacks": self._unavailable_dependencies(),
            "view": self._view_status(),
            "view_changes": {
                "count": telemetry.view_changes,
                "last": msgspec.to_builtins(list(telemetry.last_changes)),
            },
            "answers": telemetry.answers_by_route(),
            "unavailable": {reason.value: count for reason, count in telemetry.unavailable.items()},
            "teams": msgspec.to_builtins(self._team_usage.by_team()),
            "quota": self._quota_status() if self._quota_status is not None else None,
            "counts": self._scaling_counts(),
            "machines": {host: self._machine_status(host, record) for host, record in state.machines.items()},
            "silent_machines": self._machine_index.silent_hosts(),
            "failing_jobs": self._machine_index.failing_jobs(),
            "jobs": {job_id: self._job_status(job) for job_id, job in state.jobs.items()},
            "process": self._process_status(),
        }

    def _view_status(self) -> dict[str, Any] | None:
        view = self._state.view
        if view is None:
            return None
        return {
            "number": view.number,
            "leader": view.leader,
            "members": sorted(view.members),
            "settled": self._state.reconciled,
        }

    def _scaling_counts(self) -> dict[str, Any]:
        autoscaler = self._autoscaler
        return {
            "trigger": autoscaler.trigger.value,
            "waiting": autoscaler.waiting,
            "long_waiting": autoscaler.long_waiting,
            "pool": autoscaler.idle_pool,
        }

    def _machine_status(self, host: str, record: MachineRecord) -> dict[str, Any]:
        observed = self._machine_index.machines.get(host)
        return {
            "flavor": record.machine_type,
            "yard": record.zone,
            "spot": record.spot,
            "leaving": record.drain_reason,
            "up": observed is not None and observed.is_up and not observed.has_missed_heartbeats,
            "tasks": len(observed.tasks) if observed is not None else 0,
            "out_of_use": self._machine_index.out_of_use_reason(host),
        }

    @staticmethod
    def _job_status(job: Job) -> dict[str, Any]:
        return {
            "class": job.spec.job_class,
            "team": job.spec.team,
            "home": job.record.scheduler,
            "pieces": job.spec.task_count,
            "done": job.progress.count,
        }

    def _process_status(self) -> dict[str, Any] | None:
        process = self._process
        if process is None:
            return None
        return {
            "processor_s": {kind: spent.total_seconds() for kind, spent in process.processor_time_by_kind().items()},
            "worst_timer_delay_s": process.worst_delay(self._runtime.now).total_seconds(),
        }
