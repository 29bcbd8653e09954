"""Network addresses in the form `host:port`."""

from ramptide.transport.http.messages import is_ascii_digits


def parse_address(text: str) -> tuple[str, int]:
    """Split an address such as '10.0.0.1:8080' into host and port.

    Raises
    ------
    ValueError
        If the text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not is_ascii_digits(port) or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)
