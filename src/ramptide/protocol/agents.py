"""The interface of the agents on the machines: heartbeats, replies to them, and commands."""

import functools
from datetime import timedelta
from enum import StrEnum
from typing import Literal

import msgspec
from msgspec import Struct

from ramptide.protocol.jobs import MAX_TASKS, is_job_id
from ramptide.protocol.types import Count, MachineName, MessageError, Name, Seconds, decode_message, encode_json

__all__ = [
    "COMMANDS_PATH",
    "HEARTBEAT_PATH",
    "INSPECT_PATH",
    "REFUSAL_CAUSES",
    "STOP_VERB",
    "Command",
    "DirectStartError",
    "Heartbeat",
    "TaskOutcome",
    "TaskReport",
    "TaskStatus",
    "decode_heartbeat",
    "decode_task_reports",
    "encode_commands",
    "encode_heartbeat_reply",
    "encode_redirect",
    "parse_task_id",
    "reap_command",
    "start_command",
    "stop_command",
]

HEARTBEAT_PATH = "/agent/beat"
COMMANDS_PATH = "/orders"
INSPECT_PATH = "/inspect"

#: Counts must be below this limit: a larger one would make all later heartbeats look old. `_check_counts` checks
#: this, as msgspec's own bounds end at 2^63.
COUNT_LIMIT = 2**64
TASK_ID_CACHE_ENTRIES = 16384


#: The verbs of the commands that start and stop an attempt.
START_VERB: Literal["launch"] = "launch"
STOP_VERB: Literal["kill"] = "kill"


class DirectStartError(ValueError):
    """Raised when a start is to be sent directly, as a late copy of the request would start the attempt again."""


class TaskStatus(StrEnum):
    """The state of a task as its agent reports it."""

    FETCHING = "fetching"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    ENDED = "ended"


class TaskOutcome(StrEnum):
    """The causes of a task's end that the scheduler distinguishes."""

    SUCCEEDED = "done"
    FAILED = "error"


#: The causes that an agent reports when it ends a task without having started it.
REFUSAL_CAUSES = ("no_room", "busy", "unknown")


class TaskReport(Struct, rename={"task_id": "piece", "attempt": "try", "checkpointed": "kept"}):
    """The state of a task, as a heartbeat reports it."""

    task_id: Name
    attempt: Count
    status: str
    cause: str | None = None
    checkpointed: bool | None = None

    def __post_init__(self) -> None:
        """Check the range of the attempt number."""
        _check_counts(self.attempt)


class Heartbeat(
    Struct,
    rename={
        "machine_type": "rig",
        "zone": "yard",
        "agent_epoch": "tenure",
        "sequence_number": "tally",
        "fencing_token": "baton",
        "raw_tasks": "pieces",
        "spot": "loaners",
        "address": "addr",
        "preemption_notice_s": "warningS",
    },
):
    """An agent's heartbeat with the state of its machine.

    `fencing_token`: the highest token that the agent has seen. `raw_tasks` is decoded by `decode_task_reports` only
    when it differs from that of the previous heartbeat. `preemption_notice_s`: the seconds until the cloud takes the
    machine back.
    """

    host: MachineName
    machine_type: Name
    zone: Name
    agent_epoch: Count
    sequence_number: Count
    fencing_token: Count
    raw_tasks: msgspec.Raw
    spot: bool
    address: str | None = None
    preemption_notice_s: Seconds | None = None

    def __post_init__(self) -> None:
        """Check the range of the counts."""
        _check_counts(self.agent_epoch, self.sequence_number, self.fencing_token)


class Command(Struct, omit_defaults=True, rename={"task_id": "piece", "attempt": "try", "grace_s": "windDownS"}):
    """A command to an agent; `grace_s` is the time in which a stopped task may save a checkpoint."""

    verb: Literal["launch", "kill", "reap"]
    task_id: str
    attempt: int
    grace_s: float | None = None


class _CommandRequest(Struct, rename={"fencing_token": "baton", "agent_epoch": "tenure", "commands": "orders"}):
    fencing_token: int
    agent_epoch: int
    commands: list[Command]


class _HeartbeatReply(Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    fencing_token: int
    commands: list[Command]


class _Redirect(Struct, rename={"owner": "foreman"}):
    owner: str | None


def _check_counts(*counts: int) -> None:
    if max(counts) >= COUNT_LIMIT:
        raise ValueError("a count of 2^64 or more")


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat, except for its tasks.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, Heartbeat)


def decode_task_reports(raw: bytes | msgspec.Raw) -> list[TaskReport]:
    """Decode the tasks of a heartbeat, which are kept raw at first, as most heartbeats repeat the previous one.

    Raises
    ------
    MessageError
        If a task is invalid; the text names the field.
    """
    return decode_message(bytes(raw), list[TaskReport])


@functools.lru_cache(maxsize=TASK_ID_CACHE_ENTRIES)
def parse_task_id(task_id: str) -> tuple[str, int]:
    """Split a task id such as 'j-000412/3' into the job id and the task's index.

    Raises
    ------
    MessageError
        If the text is not a task id.
    """
    job_id, slash, index = task_id.rpartition("/")
    is_index = index.isdigit() and index.isascii()
    if not slash or not is_index or not is_job_id(job_id) or int(index) >= MAX_TASKS:
        raise MessageError(f"piece: {task_id!r}")
    return job_id, int(index)


def start_command(job_id: str, task_index: int, attempt: int) -> Command:
    """Return the command to start an attempt."""
    return Command(START_VERB, f"{job_id}/{task_index}", attempt)


def stop_command(job_id: str, task_index: int, attempt: int, grace: timedelta) -> Command:
    """Return the command to stop an attempt, which may save a checkpoint within `grace`."""
    return Command(STOP_VERB, f"{job_id}/{task_index}", attempt, grace.total_seconds())


def reap_command(job_id: str, task_index: int, attempt: int) -> Command:
    """Return the command to forget an attempt that has ended."""
    return Command("reap", f"{job_id}/{task_index}", attempt)


def encode_commands(fencing_token: int, agent_epoch: int, commands: list[Command]) -> bytes:
    """Encode commands that are sent to an agent directly instead of in the reply to a heartbeat.

    Raises
    ------
    DirectStartError
        If one of them is a start.
    """
    started = [command.task_id for command in commands if command.verb == START_VERB]
    if started:
        raise DirectStartError(f"starts cannot be sent directly: {', '.join(started)}")
    return encode_json(_CommandRequest(fencing_token, agent_epoch, commands))


def encode_heartbeat_reply(fencing_token: int, commands: list[Command]) -> bytes:
    """Encode the reply to a heartbeat."""
    return encode_json(_HeartbeatReply(fencing_token, commands))


def encode_redirect(owner: str | None) -> bytes:
    """Encode the reply that names the controller to which an agent should send its heartbeats."""
    return encode_json(_Redirect(owner))
