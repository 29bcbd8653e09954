"""The state of a machine as its owner tells the other controllers."""

from datetime import timedelta
from typing import Annotated

import msgspec

from ramptide import wire
from ramptide.failure_history import FAILED_JOBS_KEPT
from ramptide.owned_machine import OwnedMachine
from ramptide.task_state import TaskRow


class MachineStatus(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its owner tells the others; the times are as of the message.

    `failed_jobs`: the last different jobs that failed there, the latest last; the last `consecutive_failures` of them
    with no success there since. The message is encoded by the order of the fields.
    """

    settled: bool
    up: bool
    leaving: bool
    silent: wire.Seconds
    notice: wire.Seconds | None
    failed_jobs: Annotated[list[str], msgspec.Meta(max_length=FAILED_JOBS_KEPT)]
    consecutive_failures: wire.Count
    unreachable: wire.Seconds | None
    worker_waiting: bool
    images: list[str]
    tasks: list[TaskRow]
    address: str | None = None


def status_of(machine: OwnedMachine, now: timedelta) -> MachineStatus:
    """Describe a machine in the form that is sent to the other controllers."""
    silent_for = now - (machine.last_report or machine.since) if machine.silent else None
    return MachineStatus(
        settled=machine.settled,
        up=machine.up,
        leaving=machine.record.leaving is not None,
        silent=0.0 if silent_for is None else silent_for.total_seconds(),
        notice=None if machine.reclaimed_at is None else (machine.reclaimed_at - now).total_seconds(),
        failed_jobs=machine.failed_jobs,
        consecutive_failures=machine.consecutive_failures,
        unreachable=None if machine.unreachable_since is None else (now - machine.unreachable_since).total_seconds(),
        worker_waiting=machine.has_current_token and machine.last_answer is not None and machine.runs_only_services(),
        images=list(machine.images),
        tasks=[(e.ref, e.task, e.attempt, e.phase.label, e.cause) for e in machine.entries.values()],
        address=machine.address,
    )
