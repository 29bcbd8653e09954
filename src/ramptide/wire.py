"""Messages of the outside interfaces: their field names, and their decoding into checked values."""

import functools
import re
from datetime import timedelta
from typing import Annotated, Any, Literal, TypeVar, get_args

import msgspec
from msgspec import Meta, Struct, field

Amount = Annotated[float, Meta(ge=0, le=1e9)]
#: May be negative; small enough for arithmetic with time spans.
Seconds = Annotated[float, Meta(ge=-1e9, le=1e9)]
#: Seconds since 1970, well within what a datetime holds.
Moment = Annotated[float, Meta(ge=0, le=1e11)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
#: Used in keys of the state service, which may have 200 bytes and no spaces.
HostName = Annotated[str, Meta(min_length=1, max_length=120, pattern=r"\A[!-~]+\Z")]
_REF = re.compile(r"\Aj-[0-9]{1,30}\Z")
Ref = Annotated[str, Meta(pattern=_REF.pattern)]
Shape = Literal["batch", "service"]
Priority = Literal["low", "normal", "high", "production"]

MAX_PIECES = 100_000
RANKS = get_args(Priority)
BATCH: Shape = "batch"
SERVICE: Shape = "service"
COUNT_LIMIT = 2**64
PIECE_CACHE_SIZE = 16384

# Paths of the users', workers', cloud's and state service's interfaces.
RUNS, HEALTH, BEAT = "/v2/runs", "/healthz", "/agent/beat"
ORDERS, INSPECT = "/orders", "/inspect"
FLAVORS, RENTALS, RETURN = "/flavors", "/rentals", "/rentals/return"
KV, TXN, GRANTS, CHANGES = "/kv", "/txn", "/grants", "/changes"

# States of a task as workers report them, and causes of an end.
FETCHING, RUNNING, FLUSHING, ENDED = "fetching", "running", "flushing", "ended"
DONE, ERROR = "done", "error"
REFUSED = ("no_room", "busy", "unknown")

# States of a job as users see them.
PENDING, WITHDRAWN = "pending", "withdrawn"

T = TypeVar("T")


class MessageError(ValueError):
    """A message that does not have the form its sender should give it."""


class Run(
    Struct,
    rename={
        "job_class": "jobclass",
        "team": "owner",
        "ram_gb": "ramGb",
        "image": "bundle",
        "image_gb": "imageGb",
        "one_zone": "oneZone",
        "spot": "loaners",
        "guess_s": "guessS",
        "mark_every_s": "markEveryS",
        "mark_cost_s": "markCostS",
        "due_s": "dueS",
    },
):
    """A job as a user submits it."""

    ref: Ref
    job_class: Name
    team: Name
    shape: Shape
    rank: Priority
    pieces: Annotated[int, Meta(ge=1, le=MAX_PIECES)]
    cores: Amount
    cards: Amount
    ram_gb: Amount
    image: Name
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    guess_s: Amount
    mark_every_s: Amount
    mark_cost_s: Amount
    rigs: Annotated[list[Name], Meta(min_length=1)] | None = None
    yard: Name | None = None
    due_s: Amount | None = None


def decode_run(body: bytes) -> Run:
    """Decode a submission.

    Raises
    ------
    MessageError
        If it is wrong, naming the field.
    """
    return _decode(body, Run)


def is_ref(text: str) -> bool:
    """Tell whether the text is a job's reference, such as 'j-000412'."""
    return bool(_REF.match(text))


class Piece(Struct):
    """A task as a worker reports it."""

    piece: Name
    attempt: Count = field(name="try")
    status: str
    cause: str | None = None
    kept: bool | None = None

    def __post_init__(self) -> None:
        """Check the range of the count."""
        _check_counts(self.attempt)


class Beat(Struct, rename={"spot": "loaners", "notice_s": "warningS"}):
    """A worker's report."""

    host: HostName
    rig: Name
    yard: Name
    tenure: Count
    tally: Count
    baton: Count
    pieces: msgspec.Raw
    spot: bool
    addr: str | None = None
    notice_s: Seconds | None = None

    def __post_init__(self) -> None:
        """Check the range of the counts."""
        _check_counts(self.tenure, self.tally, self.baton)


def _check_counts(*counts: int) -> None:
    """Refuse counts that would make all true reports look old; msgspec's own bounds end at 2^63."""
    if max(counts) >= COUNT_LIMIT:
        raise ValueError("a count of 2^64 or more")


def decode_beat(body: bytes) -> Beat:
    """Decode a worker's report, except for its tasks."""
    return _decode(body, Beat)


def decode_pieces(raw: bytes | msgspec.Raw) -> list[Piece]:
    """Decode the tasks of a report, which stay raw until then, as most reports repeat the one before."""
    return _decode(bytes(raw), list[Piece])


@functools.lru_cache(maxsize=PIECE_CACHE_SIZE)
def split_piece(piece: str) -> tuple[str, int]:
    """Split a task's name such as 'j-000412/3' into the job's reference and the task's number."""
    ref, slash, number = piece.rpartition("/")
    if not slash or not number.isdigit() or not number.isascii() or not is_ref(ref) or int(number) >= MAX_PIECES:
        raise MessageError(f"piece: {piece!r}")
    return ref, int(number)


def launch(ref: str, task: int, attempt: int) -> dict[str, Any]:
    """Return the order to start an attempt."""
    return {"verb": "launch", "piece": f"{ref}/{task}", "try": attempt}


def kill(ref: str, task: int, attempt: int, grace: timedelta) -> dict[str, Any]:
    """Return the order to stop an attempt, which gets `grace` to save its work."""
    return {"verb": "kill", "piece": f"{ref}/{task}", "try": attempt, "windDownS": grace.total_seconds()}


def reap(ref: str, task: int, attempt: int) -> dict[str, Any]:
    """Return the order to forget an attempt that has ended."""
    return {"verb": "reap", "piece": f"{ref}/{task}", "try": attempt}


def encode_orders(token: int, tenure: int, orders: list[dict[str, Any]]) -> bytes:
    """Encode commands that are sent to a worker directly."""
    return encode({"baton": token, "tenure": tenure, "orders": orders})


def encode_beat_answer(token: int, orders: list[dict[str, Any]]) -> bytes:
    """Encode the answer to a worker's report."""
    return encode({"baton": token, "orders": orders})


def encode_foreman(member: str | None) -> bytes:
    """Encode the answer that names the controller to which a worker should report."""
    return encode({"foreman": member})


def encode_job(ref: str, status: str, done: int | None = None, running: int | None = None) -> bytes:
    """Encode a job's state as users see it."""
    answer: dict[str, Any] = {"ref": ref, "status": status}
    if done is not None:
        answer |= {"done": done, "running": running}
    return encode(answer)


class Flavor(
    Struct,
    rename={
        "ram_gb": "ramGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "price": "rate",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
    },
):
    """A machine type of the cloud."""

    name: Name
    cores: Positive
    ram_gb: Amount
    yards: list[Name]
    cards: Amount = 0.0
    cache_gb: Amount = 0.0
    fetch_gb_per_s: Amount = 1.0
    price: Amount = 0.0
    spot_price: Amount = 0.0
    boot_s: Amount = 60.0


class _Flavors(Struct):
    rigs: list[Flavor]


class Rented(Struct, rename={"spot": "loaners", "age_s": "ageS"}):
    """A machine in the cloud's list."""

    ref: HostName
    rig: Name
    yard: Name
    status: str
    spot: bool
    addr: str | None = None
    age_s: Amount = 0.0


class RentedPage(Struct):
    """A page of the cloud's list of machines."""

    hosts: list[Rented]
    more: bool


class _Hired(Struct):
    hosts: list[HostName]


def decode_flavors(body: bytes) -> list[Flavor]:
    """Decode the cloud's machine types."""
    return _decode(body, _Flavors).rigs


def decode_rented(body: bytes) -> RentedPage:
    """Decode a page of the cloud's list of machines."""
    return _decode(body, RentedPage)


def decode_hired(body: bytes) -> list[str]:
    """Decode the hosts that the cloud rented out."""
    return list(_decode(body, _Hired).hosts)


def encode_hire(name: str, flavor: str, yard: str, spot: bool, count: int) -> bytes:
    """Encode a call that rents machines."""
    return encode({"hire": name, "rig": flavor, "yard": yard, "loaners": spot, "howMany": count})


def encode_return(hosts: list[str]) -> bytes:
    """Encode a call that returns machines."""
    return encode({"hosts": hosts})


class Row(Struct):
    """A key of the state service with its value and the revision of its last change.

    Null is never written, so that a missing value cannot look like a key that was dropped.
    """

    path: str
    v: Any
    stamp: Count

    def __post_init__(self) -> None:
        """Check that there is a value."""
        if self.v is None:
            raise ValueError("a key without a value")


class Rows(Struct):
    """A page of keys with their values."""

    rows: list[Row]
    epoch: Count
    more: bool


class Change(Struct):
    """A change of one key: a put with its value, or a drop."""

    stamp: Count
    put: str | None = None
    drop: str | None = None
    v: Any = None

    def __post_init__(self) -> None:
        """Check that the change is either a put with a value or a drop."""
        if (self.put is None) is (self.drop is None) or (self.put is None) is not (self.v is None):
            raise ValueError("neither a put with a value nor a drop")


class Changes(Struct):
    """The changes of keys up to an epoch."""

    epoch: Count
    news: list[Change]


class _Committed(Struct):
    epoch: Count


class _Failed(Struct):
    failed: list[str]


class _Grant(Struct):
    tenancy: Count


def decode_row(body: bytes) -> Row:
    """Decode a key with its value."""
    return _decode(body, Row)


def decode_rows(body: bytes) -> Rows:
    """Decode a page of keys with their values."""
    return _decode(body, Rows)


def decode_changes(body: bytes) -> Changes:
    """Decode the changes that a watch reports."""
    return _decode(body, Changes)


def decode_committed(body: bytes) -> int:
    """Decode the revision at which a transaction was applied."""
    return _decode(body, _Committed).epoch


def decode_failed(body: bytes) -> list[str]:
    """Decode the keys of the conditions that did not hold."""
    return _decode(body, _Failed).failed


def decode_grant(body: bytes) -> int:
    """Decode the number of a new grant."""
    return _decode(body, _Grant).tenancy


def encode_grant(life: timedelta) -> bytes:
    """Encode a call that creates a grant."""
    return encode({"lifeMs": int(life / timedelta(milliseconds=1))})


def encode_txn(when: dict[str, int], puts: list[tuple[str, Any, int | None]], drops: list[str]) -> bytes:
    """Encode a transaction: conditions, puts with their grant if any, and keys to delete."""
    then: list[dict[str, Any]] = []
    for path, value, grant in puts:
        change: dict[str, Any] = {"put": path, "v": value}
        if grant is not None:
            change["tenancy"] = grant
        then.append(change)
    then += [{"drop": path} for path in drops]
    return encode({"when": [{"path": path, "stamp": stamp} for path, stamp in when.items()], "then": then})


class Sibling(Struct):
    """Another controller."""

    member: Name
    area: str
    addr: str


class Services(Struct):
    """The addresses of the services that controllers use."""

    cloud: str
    state: str


class Team(Struct):
    """A team's guaranteed and highest use; 0 means none."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct, rename={"job_class": "class"}):
    """A service level that the cluster is held to."""

    kind: str
    job_class: str | None = None


class Workers(Struct):
    """The times that workers keep, in seconds."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateLimits(Struct):
    """The limits of the state service."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=2)]


class CloudLimits(Struct):
    """The limits of the cloud."""

    rps: Positive
    list_lag_s: Amount


class Quota(Struct):
    """The limits of a controller's process, as far as the platform names them.

    `cpu`: its share of a core. `ram_mb`: the memory past which it is killed.
    """

    fd_limit: Annotated[int, Meta(ge=32)] | None = None
    cpu: Positive | None = None
    ram_mb: Positive | None = None


class Cluster(Struct):
    """The part of the settings that all controllers share."""

    nodes: Annotated[int, Meta(ge=1)]
    teams: list[Team]
    objectives: list[Objective]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    quota: Quota = field(default_factory=Quota)


class Settings(Struct, rename={"listen": "client_listen", "peer_listen": "peer_bind"}):
    """The settings file of a controller."""

    member: Name
    area: str
    listen: str
    peer_listen: str
    siblings: list[Sibling]
    outside: Services
    cluster: Cluster


def decode_settings(body: bytes) -> Settings:
    """Decode the settings file."""
    return _decode(body, Settings)


def encode(value: Any) -> bytes:
    """Encode any value as JSON."""
    return msgspec.json.encode(value)


def decode(body: bytes) -> Any:
    """Decode any JSON value."""
    return _decode(body, Any)


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from error
