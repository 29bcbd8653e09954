"""The number of further tasks of a job that its team's limit allows."""

from collections.abc import Mapping

from ramptide.protocol.jobs import JobSpec
from ramptide.state.amounts import Amounts, amounts_of, tasks_within

__all__ = ["UNLIMITED", "task_headroom"]

#: The number of tasks where no limit applies; far more than a job can have.
UNLIMITED = 10**9


def task_headroom(spec: JobSpec, used: Amounts, allowed: Amounts, limits: Mapping[str, Amounts]) -> int:
    """Return how many more tasks of the job its team may run, given what it uses and what it is allowed to use.

    This is `UNLIMITED` for a team that is not in `limits`, or whose limit is on none of the resources that the job
    needs.
    """
    if spec.team not in limits:
        return UNLIMITED
    tasks = tasks_within(Amounts(allowed.cpus - used.cpus, allowed.gpus - used.gpus), amounts_of(spec))
    return UNLIMITED if tasks is None else tasks
