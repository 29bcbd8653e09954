"""Machines that never boot, are silent, fail their tasks or are about to be preempted. Pure."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.autoscaling.fleet_types import (
    DEAD_REASONS,
    GONE,
    IDLE,
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

#: For a machine whose type the cloud does not name any more.
UNKNOWN_BOOT_TIME = timedelta(minutes=1)
#: Added to the longest boot time that is waited for.
BOOT_MARGIN = timedelta(seconds=20)
#: What speaks against a machine must hold so long: a job that runs elsewhere may yet fail there too.
QUARANTINE_AFTER = timedelta(seconds=10)
# Statuses in the cloud's list.
FAILED_STATUS, RUNNING_STATUS = "failed", "running"


@dataclass(frozen=True, slots=True)
class AgentDurations:
    """Durations of one cluster by which machines are judged.

    Attributes
    ----------
    heartbeat_interval, lease_duration
        How often agents send heartbeats, and how long an agent goes on after its last answered one.
    confirm_timeout
        How long a cancelled task may be on a silent machine before the machine is returned.
    """

    heartbeat_interval: timedelta
    lease_duration: timedelta
    confirm_timeout: timedelta


class FaultyMachines:
    """Decides which machines drain for their own sake, and which draining ones are returned."""

    def __init__(self, durations: AgentDurations) -> None:
        self._durations = durations
        self._accused_since: dict[str, timedelta] = {}

    def add_to(self, plan: ScalingPlan, now: timedelta, machines: list[FleetMachine], tuning: Tuning) -> None:
        """Add the machines to drain and to return to a plan."""
        accused = [machine.host for machine in machines if machine.accusing_jobs >= tuning.sick_jobs]
        self._accused_since = {host: self._accused_since.get(host, now) for host in accused}
        for machine in machines:
            present = machine.record.drain_reason
            reason = self._drain_reason(now, machine, tuning)
            if reason is not None and present in (None, IDLE):
                plan.drain[machine.host] = reason
                if reason == UNCONFIRMED:
                    # The cancellation is due: its return does not wait until the record is written.
                    plan.return_now.append(machine.host)
            elif present is not None:
                self._follow_up(machine, present, plan, tuning)

    def _drain_reason(self, now: timedelta, machine: FleetMachine, tuning: Tuning) -> str | None:
        durations = self._durations
        if machine.preempted_in is not None and machine.preempted_in < durations.heartbeat_interval / 2:
            return PREEMPTED
        if machine.cloud_status == FAILED_STATUS or not machine.is_listed:
            return GONE
        if now - self._accused_since.get(machine.host, now) >= QUARANTINE_AFTER:
            return QUARANTINED
        if machine.holds_up_view:
            # Few are silent, and a new view waits for nothing else: the answer to their return reconciles them.
            return SILENT
        if machine.unconfirmed_for > durations.confirm_timeout:
            # It may only hang, and go on with a task whose cancellation is due: its return proves that gone.
            return UNCONFIRMED
        max_silence = durations.lease_duration * tuning.silent_leases
        if machine.silent_for > max_silence:
            return _silence_reason(machine, tuning)
        return UNREACHABLE if machine.unreachable_for > max_silence else None

    def _follow_up(self, machine: FleetMachine, reason: str, plan: ScalingPlan, tuning: Tuning) -> None:
        """Return a draining machine when nothing is waited for there; keep an idle one that is used again."""
        durations = self._durations
        is_overdue = (
            machine.unconfirmed_for > durations.confirm_timeout
            or machine.silent_for > durations.lease_duration * tuning.silent_leases
        )
        if reason in DEAD_REASONS or machine.is_drained or is_overdue:
            plan.return_now.append(machine.host)
        elif reason == IDLE and machine.tasks:
            plan.keep.append(machine.host)


def _silence_reason(machine: FleetMachine, tuning: Tuning) -> str | None:
    """Return what silence means; it counts from the start of the view, as agents need a moment to find their owners."""
    machine_type = machine.machine_type
    boot = timedelta(seconds=machine_type.boot_s) if machine_type is not None else UNKNOWN_BOOT_TIME
    if machine.is_up or (machine.cloud_status == RUNNING_STATUS and machine.age > boot):
        return SILENT
    return NEVER_UP if machine.age > boot * tuning.boot_factor + BOOT_MARGIN else None
