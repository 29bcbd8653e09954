"""The jobs that failed on a machine, which show whether the machine or the jobs are at fault."""

from ramptide.agents.owned_machine import OwnedMachine
from ramptide.protocol.agents import TaskOutcome

__all__ = ["FAILED_JOBS_KEPT", "record_outcome"]

#: The number of failed jobs kept for a machine's status, which limits the size of messages when many faulty jobs are
#: submitted.
FAILED_JOBS_KEPT = 8


def record_outcome(machine: OwnedMachine, job_id: str, cause: str | None) -> None:
    """Record how a task ended; `MachineIndex` evaluates the jobs that failed with no success since.

    Only `TaskOutcome` causes count: an attempt that was stopped or preempted says nothing about the machine.
    """
    if cause == TaskOutcome.SUCCEEDED:
        machine.consecutive_failures = 0
    elif cause == TaskOutcome.FAILED and job_id not in _failed_since_success(machine):
        other_failed_jobs = [failed_job for failed_job in machine.failed_jobs if failed_job != job_id]
        machine.failed_jobs = [*other_failed_jobs, job_id][-FAILED_JOBS_KEPT:]
        machine.consecutive_failures = min(machine.consecutive_failures + 1, FAILED_JOBS_KEPT)


def _failed_since_success(machine: OwnedMachine) -> list[str]:
    first = len(machine.failed_jobs) - machine.consecutive_failures
    return machine.failed_jobs[first:]
