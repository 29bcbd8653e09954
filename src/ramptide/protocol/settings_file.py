"""The settings file with which the platform starts a controller."""

from typing import Annotated

from msgspec import Meta, Struct, field

from ramptide.protocol.types import Amount, Name, Positive, decode_message

__all__ = [
    "AgentTimings",
    "CloudLimits",
    "Cluster",
    "ExternalServices",
    "KeyValueStoreLimits",
    "Objective",
    "PeerAddress",
    "ProcessLimits",
    "Settings",
    "Team",
    "decode_settings",
]


class PeerAddress(Struct, rename={"zone": "area", "address": "addr"}):
    """Another controller of the cluster."""

    member: Name
    zone: str
    address: str


class ExternalServices(Struct, rename={"key_value_store": "state"}):
    """The addresses of the services that controllers use."""

    cloud: str
    key_value_store: str


class Team(Struct):
    """A team's quota: its guarantees and its limits, each 0 for none."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct, rename={"job_class": "class"}):
    """A service-level objective of the cluster."""

    kind: str
    job_class: str | None = None


class AgentTimings(Struct, rename={"heartbeat_interval_s": "report_s", "cancel_timeout_s": "cancel_s"}):
    """The timings of the agents, in seconds.

    `cancel_timeout_s`: no task of a cancelled job may run for longer than this after the cancellation was confirmed.
    """

    heartbeat_interval_s: Positive
    lease_s: Positive
    cancel_timeout_s: Positive


class KeyValueStoreLimits(
    Struct,
    rename={
        "requests_per_second": "rps",
        "writes_per_second": "write_rps",
        "max_value_kb": "value_kb",
        "max_transaction_operations": "txn_ops",
    },
):
    """The limits of the key-value store, which all controllers share."""

    requests_per_second: Positive
    writes_per_second: Positive
    max_value_kb: Positive
    max_transaction_operations: Annotated[int, Meta(ge=2)]


class CloudLimits(Struct, rename={"requests_per_second": "rps"}):
    """The limits of the cloud, which all controllers share; its list of machines is at most `list_lag_s` old."""

    requests_per_second: Positive
    list_lag_s: Amount


class ProcessLimits(Struct):
    """The limits of a controller's process, each None if the platform does not state it.

    `cpu`: the share of a core that the process may use. `ram_mb`: the memory above which it is killed.
    """

    fd_limit: Annotated[int, Meta(ge=32)] | None = None
    cpu: Positive | None = None
    ram_mb: Positive | None = None


class Cluster(
    Struct,
    rename={"controllers": "nodes", "agents": "workers", "key_value_store": "state", "process_limits": "quota"},
):
    """The part of the settings that all controllers share; `controllers` is the number of controllers."""

    controllers: Annotated[int, Meta(ge=1)]
    teams: list[Team]
    objectives: list[Objective]
    agents: AgentTimings
    key_value_store: KeyValueStoreLimits
    cloud: CloudLimits
    process_limits: ProcessLimits = field(default_factory=ProcessLimits)


class Settings(
    Struct,
    rename={
        "zone": "area",
        "client_address": "client_listen",
        "peer_address": "peer_bind",
        "peers": "siblings",
        "services": "outside",
    },
):
    """The settings file of a controller.

    Users and agents connect to `client_address`, other controllers and operators to `peer_address`.
    """

    member: Name
    zone: str
    client_address: str
    peer_address: str
    peers: list[PeerAddress]
    services: ExternalServices
    cluster: Cluster


def decode_settings(body: bytes) -> Settings:
    """Decode the settings file.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, Settings)
