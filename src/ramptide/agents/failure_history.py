"""Which jobs failed on a machine, from which it is judged whether the machine or the jobs are at fault."""

from ramptide.agents.owned_machine import OwnedMachine
from ramptide.cluster.machine_status import FAILED_JOBS_KEPT
from ramptide.protocol.agents import TaskOutcome


def record_outcome(machine: OwnedMachine, job_id: str, cause: str | None) -> None:
    """Record how a task ended: `Floor.failing` judges by the jobs that failed with no success since."""
    if cause == TaskOutcome.SUCCEEDED:
        machine.consecutive_failures = 0
    elif cause == TaskOutcome.FAILED and job_id not in _failed_since_success(machine):
        machine.failed_jobs = [*(job for job in machine.failed_jobs if job != job_id), job_id][-FAILED_JOBS_KEPT:]
        machine.consecutive_failures = min(machine.consecutive_failures + 1, FAILED_JOBS_KEPT)


def _failed_since_success(machine: OwnedMachine) -> list[str]:
    first = len(machine.failed_jobs) - machine.consecutive_failures
    return machine.failed_jobs[first:]
