"""Graceful eviction of tasks from machines that are draining or have a preemption notice from the cloud."""

from collections.abc import Mapping
from datetime import timedelta

from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.protocol.jobs import SERVICE
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import MachineRecord

__all__ = ["stop_on_draining_machines"]

NO_TIME = timedelta(0)
#: The drain reason of a machine that is to be returned because it is idle; a task started there meanwhile is not
#: stopped.
IDLE_DRAIN_REASON = "idle"


def stop_on_draining_machines(
    scheduler: JobScheduler, records: Mapping[str, MachineRecord], observed: Mapping[str, ObservedMachine]
) -> None:
    """Stop the scheduler's tasks on machines that are draining or have a preemption notice."""
    for host in list(scheduler.attempts_by_host):
        record, machine = records.get(host), observed.get(host)
        is_draining = record is not None and record.drain_reason not in (None, IDLE_DRAIN_REASON)
        has_notice = machine is not None and machine.preempted_at is not None
        if not is_draining and not has_notice:
            continue
        for attempt in list(scheduler.attempts_by_host[host].values()):
            has_checkpoints = attempt.spec.checkpoint_interval_s > 0
            # After a preemption notice, a batch task without checkpoints may still finish before the machine is gone.
            if is_draining or has_checkpoints or attempt.spec.kind == SERVICE:
                scheduler.stop(
                    attempt, timedelta(seconds=attempt.spec.checkpoint_cost_s) if has_checkpoints else NO_TIME
                )
