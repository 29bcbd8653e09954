"""Network addresses in the form `host:port`."""

from typing import NamedTuple

from ramptide.transport.http.messages import is_ascii_digits

__all__ = ["HostAndPort", "parse_address"]

MAX_PORT = 65535


class HostAndPort(NamedTuple):
    """The address to connect to or listen on, in the form that sockets use."""

    host: str
    port: int


def parse_address(text: str) -> HostAndPort:
    """Split an address such as '10.0.0.1:8080' into host and port.

    Raises
    ------
    ValueError
        If the text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not is_ascii_digits(port) or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return HostAndPort(host, int(port))
