"""Graceful eviction: our tasks on machines that drain or are about to be preempted are stopped."""

from collections.abc import Mapping
from datetime import timedelta

from ramptide.cluster.observed_machine import ObservedMachine
from ramptide.protocol.jobs import SERVICE
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import MachineRecord

__all__ = ["stop_on_draining_machines"]

NO_TIME = timedelta(0)
#: The drain reason of a machine that only waits to be returned: a task that came there meanwhile may stay.
IDLE = "idle"


def stop_on_draining_machines(
    scheduler: JobScheduler, records: Mapping[str, MachineRecord], observed: Mapping[str, ObservedMachine]
) -> None:
    """Stop the scheduler's tasks on machines that drain or have a preemption notice."""
    for host in list(scheduler.attempts):
        record, machine = records.get(host), observed.get(host)
        is_draining = record is not None and record.drain_reason not in (None, IDLE)
        has_notice = machine is not None and machine.preempted_at is not None
        if not is_draining and not has_notice:
            continue
        for attempt in list(scheduler.attempts[host].values()):
            saves = attempt.spec.checkpoint_interval_s > 0
            # A task that cannot save may still finish before the machine goes.
            if is_draining or saves or attempt.spec.kind == SERVICE:
                scheduler.stop(attempt, timedelta(seconds=attempt.spec.checkpoint_cost_s) if saves else NO_TIME)
