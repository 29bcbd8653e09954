"""The state of a machine as its owner tells the other controllers."""

from datetime import timedelta
from typing import Annotated

import msgspec

from ramptide.agents.failure_history import FAILED_JOBS_KEPT
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.protocol.types import Count, Seconds
from ramptide.state.task_state import TaskRow


class MachineStatus(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its owner tells the others; the times are as of the message.

    `failed_jobs`: the last different jobs that failed there, the latest last; the last `consecutive_failures` of them
    with no success there since. The message is encoded by the order of the fields.
    """

    is_reconciled: bool
    is_up: bool
    draining: bool
    silent_s: Seconds
    preemption_notice_s: Seconds | None
    failed_jobs: Annotated[list[str], msgspec.Meta(max_length=FAILED_JOBS_KEPT)]
    consecutive_failures: Count
    unreachable_s: Seconds | None
    heartbeat_held: bool
    images: list[str]
    tasks: list[TaskRow]
    address: str | None = None


def status_of(machine: OwnedMachine, now: timedelta) -> MachineStatus:
    """Describe a machine in the form that is sent to the other controllers."""
    silent_for = (
        now - (machine.last_heartbeat_at or machine.no_other_owner_since) if machine.missed_heartbeats else None
    )
    return MachineStatus(
        is_reconciled=machine.is_reconciled,
        is_up=machine.is_up,
        draining=machine.record.drain_reason is not None,
        silent_s=0.0 if silent_for is None else silent_for.total_seconds(),
        preemption_notice_s=None if machine.preempted_at is None else (machine.preempted_at - now).total_seconds(),
        failed_jobs=machine.failed_jobs,
        consecutive_failures=machine.consecutive_failures,
        unreachable_s=None if machine.unreachable_since is None else (now - machine.unreachable_since).total_seconds(),
        heartbeat_held=machine.has_current_token and machine.last_reply_at is not None and machine.runs_only_services(),
        images=list(machine.images),
        tasks=[(e.job_id, e.task_index, e.attempt, e.phase.label, e.cause) for e in machine.entries.values()],
        address=machine.address,
    )
