"""The interface of the cloud: machine types, rentals, returns and the list of machines."""

from msgspec import Struct

from ramptide.protocol.types import Amount, MachineName, Name, Positive, decode_message, encode_json

__all__ = [
    "MACHINE_TYPES_PATH",
    "RENTALS_PATH",
    "RETURN_PATH",
    "ListedMachine",
    "MachinePage",
    "MachineType",
    "decode_machine_page",
    "decode_machine_types",
    "decode_rented_hosts",
    "encode_rent_request",
    "encode_return_request",
]

MACHINE_TYPES_PATH = "/flavors"
RENTALS_PATH = "/rentals"
RETURN_PATH = "/rentals/return"


class MachineType(
    Struct,
    rename={
        "cpus": "cores",
        "ram_gb": "ramGb",
        "zones": "yards",
        "gpus": "cards",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "price": "rate",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
    },
):
    """A machine type of the cloud, with the zones that offer it; prices are per hour."""

    name: Name
    cpus: Positive
    ram_gb: Amount
    zones: list[Name]
    gpus: Amount = 0.0
    cache_gb: Amount = 0.0
    fetch_gb_per_s: Amount = 1.0
    price: Amount = 0.0
    spot_price: Amount = 0.0
    boot_s: Amount = 60.0


class _MachineTypeList(Struct, rename={"machine_types": "rigs"}):
    machine_types: list[MachineType]


class ListedMachine(
    Struct,
    rename={
        "host": "ref",
        "machine_type": "rig",
        "zone": "yard",
        "spot": "loaners",
        "address": "addr",
        "age_s": "ageS",
    },
):
    """A machine in the cloud's list of machines."""

    host: MachineName
    machine_type: Name
    zone: Name
    status: str
    spot: bool
    address: str | None = None
    age_s: Amount = 0.0


class MachinePage(Struct, rename={"machines": "hosts"}):
    """A page of the cloud's list of machines; `more`: whether another page follows."""

    machines: list[ListedMachine]
    more: bool


class _RentRequest(
    Struct,
    rename={"request_id": "hire", "machine_type": "rig", "zone": "yard", "spot": "loaners", "count": "howMany"},
):
    request_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class _RentReply(Struct):
    hosts: list[MachineName]


class _ReturnRequest(Struct):
    hosts: list[str]


def decode_machine_types(body: bytes) -> list[MachineType]:
    """Decode the cloud's machine types.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, _MachineTypeList).machine_types


def decode_machine_page(body: bytes) -> MachinePage:
    """Decode a page of the cloud's list of machines.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return decode_message(body, MachinePage)


def decode_rented_hosts(body: bytes) -> list[str]:
    """Decode the names of the machines that the cloud rented out.

    Raises
    ------
    MessageError
        If the body is invalid; the text names the field.
    """
    return list(decode_message(body, _RentReply).hosts)


def encode_rent_request(request_id: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    """Encode a request to rent machines; `request_id` is its idempotency key."""
    return encode_json(_RentRequest(request_id, machine_type, zone, spot, count))


def encode_return_request(hosts: list[str]) -> bytes:
    """Encode a request to return machines."""
    return encode_json(_ReturnRequest(hosts))
