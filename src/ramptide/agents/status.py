"""The status of an owned machine, as it is sent to the other controllers."""

from datetime import timedelta

from ramptide.agents.owned_machine import OwnedMachine
from ramptide.cluster.machine_status import MachineStatus

__all__ = ["status_of"]


def status_of(machine: OwnedMachine, now: timedelta) -> MachineStatus:
    """Return the status of an owned machine at the moment `now` of the monotonic clock."""
    return MachineStatus(
        is_reconciled=machine.is_reconciled,
        is_up=machine.is_up,
        is_draining=machine.record.drain_reason is not None,
        silent_s=_silent_for(machine, now).total_seconds(),
        preemption_notice_s=None if machine.preempted_at is None else (machine.preempted_at - now).total_seconds(),
        failed_jobs=machine.failed_jobs,
        consecutive_failures=machine.consecutive_failures,
        unreachable_s=None if machine.unreachable_since is None else (now - machine.unreachable_since).total_seconds(),
        heartbeat_held=machine.has_current_token and machine.last_reply_at is not None and machine.runs_only_services(),
        images=list(machine.images),
        tasks=[
            (entry.job_id, entry.task_index, entry.attempt, entry.phase.label, entry.cause)
            for entry in machine.entries.values()
        ],
        address=machine.address,
    )


def _silent_for(machine: OwnedMachine, now: timedelta) -> timedelta:
    """Return how long the machine has been silent; zero if it does not miss heartbeats."""
    if not machine.has_missed_heartbeats:
        return timedelta(0)
    return now - (machine.last_heartbeat_at or machine.no_other_owner_since)
