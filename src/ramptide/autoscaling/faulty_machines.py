"""The handling of machines that never boot, are silent, fail their tasks or are about to be preempted. No I/O."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.autoscaling.fleet_types import (
    GONE,
    IDLE,
    IMMEDIATE_RETURN_REASONS,
    NEVER_UP,
    PREEMPTED,
    QUARANTINED,
    SILENT,
    UNCONFIRMED,
    UNREACHABLE,
    FleetMachine,
    ScalingPlan,
)
from ramptide.config.tuning import Tuning

__all__ = ["AgentDurations", "FaultyMachines"]

#: The boot time assumed for a machine whose type the cloud no longer lists.
DEFAULT_BOOT_TIME = timedelta(minutes=1)
#: Added to the longest boot time that is allowed for.
BOOT_MARGIN = timedelta(seconds=20)
#: How long the evidence against a machine must persist: a job that runs elsewhere may still fail there as well.
QUARANTINE_AFTER = timedelta(seconds=10)
# Statuses of machines in the cloud's list.
FAILED_STATUS, RUNNING_STATUS = "failed", "running"


@dataclass(frozen=True, slots=True)
class AgentDurations:
    """The configured durations of a cluster that decide when a machine counts as faulty.

    Attributes
    ----------
    heartbeat_interval, lease_duration
        How often agents send heartbeats, and how long an agent continues after its last answered heartbeat.
    confirm_timeout
        How long a cancelled task may remain on a silent machine before the machine is returned.
    """

    heartbeat_interval: timedelta
    lease_duration: timedelta
    confirm_timeout: timedelta


class FaultyMachines:
    """Decides which machines to drain because of a fault or a preemption, and which draining machines to return."""

    def __init__(self, durations: AgentDurations) -> None:
        self._durations = durations
        self._suspected_since: dict[str, timedelta] = {}

    def add_to_plan(self, plan: ScalingPlan, now: timedelta, machines: list[FleetMachine], tuning: Tuning) -> None:
        """Add the machines to drain and to return to a plan."""
        suspected = [machine.host for machine in machines if machine.fault_indicating_job_count >= tuning.sick_jobs]
        self._suspected_since = {host: self._suspected_since.get(host, now) for host in suspected}
        for machine in machines:
            current_reason = machine.record.drain_reason
            reason = self._drain_reason(now, machine, tuning)
            if reason is not None and current_reason in (None, IDLE):
                plan.drain[machine.host] = reason
                if reason == UNCONFIRMED:
                    # The cancellation is due, so the return does not wait for the write of the drain reason.
                    plan.return_now.append(machine.host)
            elif current_reason is not None:
                self._review_draining(machine, current_reason, plan, tuning)

    def _drain_reason(self, now: timedelta, machine: FleetMachine, tuning: Tuning) -> str | None:
        durations = self._durations
        if machine.preempted_in is not None and machine.preempted_in < durations.heartbeat_interval / 2:
            return PREEMPTED
        if machine.cloud_status == FAILED_STATUS or not machine.is_listed:
            return GONE
        if now - self._suspected_since.get(machine.host, now) >= QUARANTINE_AFTER:
            return QUARANTINED
        if machine.blocks_reconciliation:
            # This is one of a few machines that a new view waits for; its confirmed return reconciles it.
            return SILENT
        if machine.unconfirmed_for > durations.confirm_timeout:
            # The machine may only hang and resume a task whose cancellation is due; its return proves the task gone.
            return UNCONFIRMED
        max_silence = durations.lease_duration * tuning.silent_leases
        if machine.silent_for > max_silence:
            return _silence_reason(machine, tuning)
        return UNREACHABLE if machine.unreachable_for > max_silence else None

    def _review_draining(self, machine: FleetMachine, reason: str, plan: ScalingPlan, tuning: Tuning) -> None:
        """Plan to return a draining machine that need not be waited for, or to keep an idle one that is used again."""
        durations = self._durations
        is_overdue = (
            machine.unconfirmed_for > durations.confirm_timeout
            or machine.silent_for > durations.lease_duration * tuning.silent_leases
        )
        if reason in IMMEDIATE_RETURN_REASONS or machine.is_drained or is_overdue:
            plan.return_now.append(machine.host)
        elif reason == IDLE and machine.task_count:
            plan.keep.append(machine.host)


def _silence_reason(machine: FleetMachine, tuning: Tuning) -> str | None:
    """Return the drain reason of a machine that was silent for too long; None while it may still boot.

    Silence is counted from the start of the view at the earliest, as agents need a moment to find their owners.
    """
    machine_type = machine.machine_type
    boot = timedelta(seconds=machine_type.boot_s) if machine_type is not None else DEFAULT_BOOT_TIME
    if machine.is_up or (machine.cloud_status == RUNNING_STATUS and machine.age > boot):
        return SILENT
    return NEVER_UP if machine.age > boot * tuning.boot_factor + BOOT_MARGIN else None
