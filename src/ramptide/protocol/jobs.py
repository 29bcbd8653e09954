"""The users' job API: submissions and job states."""

import re
from enum import StrEnum
from typing import Annotated, Literal, get_args

from msgspec import Meta, Struct

from ramptide.protocol.types import Amount, Name, decode_message, encode_json

__all__ = [
    "BATCH",
    "HEALTH_PATH",
    "JOBS_PATH",
    "MAX_TASKS",
    "PRIORITIES",
    "SERVICE",
    "HealthReply",
    "JobId",
    "JobKind",
    "JobPriority",
    "JobSpec",
    "JobStatus",
    "decode_job_spec",
    "encode_job_status",
    "is_job_id",
]

JOBS_PATH = "/v2/runs"
HEALTH_PATH = "/healthz"
MAX_TASKS = 100_000

_JOB_ID_PATTERN = re.compile(r"\Aj-[0-9]{1,30}\Z")
JobId = Annotated[str, Meta(pattern=_JOB_ID_PATTERN.pattern)]
JobKind = Literal["batch", "service"]
#: A job array, each of whose tasks ends by itself.
BATCH: JobKind = "batch"
#: A set of replicas that run until the job is cancelled.
SERVICE: JobKind = "service"
JobPriority = Literal["low", "normal", "high", "production"]
#: The priorities, the lowest first.
PRIORITIES = get_args(JobPriority)


class JobStatus(StrEnum):
    """The state of a job as users see it."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "done"
    CANCELLED = "withdrawn"


class JobSpec(
    Struct,
    rename={
        "job_id": "ref",
        "job_class": "jobclass",
        "team": "owner",
        "kind": "shape",
        "priority": "rank",
        "task_count": "pieces",
        "cpus": "cores",
        "gpus": "cards",
        "ram_gb": "ramGb",
        "image": "bundle",
        "image_gb": "imageGb",
        "single_zone": "oneZone",
        "spread_zones": "spread",
        "spot": "loaners",
        "estimated_runtime_s": "guessS",
        "checkpoint_interval_s": "markEveryS",
        "checkpoint_cost_s": "markCostS",
        "machine_types": "rigs",
        "zone": "yard",
        "deadline_s": "dueS",
    },
):
    """A job as a user submits it; the job's record stores it in the same form.

    Resources are per task. `spread_zones`: no zone may run more than half of the tasks. `spot`: the tasks may run on
    preemptible machines. `checkpoint_interval_s` is 0 for tasks that save no checkpoints. `machine_types` and `zone`
    restrict where tasks may run. `deadline_s` counts from the submission.
    """

    job_id: JobId
    job_class: Name
    team: Name
    kind: JobKind
    priority: JobPriority
    task_count: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cpus: Amount
    gpus: Amount
    ram_gb: Amount
    image: Name
    image_gb: Amount
    single_zone: bool
    spread_zones: bool
    spot: bool
    estimated_runtime_s: Amount
    checkpoint_interval_s: Amount
    checkpoint_cost_s: Amount
    machine_types: Annotated[list[Name], Meta(min_length=1)] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None


class _JobStatusReply(
    Struct, omit_defaults=True, rename={"job_id": "ref", "done_count": "done", "running_count": "running"}
):
    """A job's state; a task count that is not given is left out."""

    job_id: str
    status: JobStatus | str
    done_count: int | None = None
    running_count: int | None = None


class HealthReply(Struct, rename={"unavailable": "lacks"}):
    """The reply to a health check, with the dependencies that the controller cannot reach."""

    healthy: bool
    unavailable: list[str]


def decode_job_spec(body: bytes) -> JobSpec:
    """Decode a submission.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, JobSpec)


def is_job_id(text: str) -> bool:
    """Return whether the text is a job id, such as 'j-000412'."""
    return bool(_JOB_ID_PATTERN.match(text))


def encode_job_status(job_id: str, status: str, done: int | None = None, running: int | None = None) -> bytes:
    """Encode a job's state as users see it, with the numbers of its done and running tasks if given."""
    return encode_json(_JobStatusReply(job_id, status, done, running))
