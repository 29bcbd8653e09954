"""HTTP messages: the type that the parser returns, and the encoding of requests and responses."""

from http import HTTPStatus

__all__ = ["HttpError", "Message", "encode_request", "encode_response", "is_ascii_digits"]


class HttpError(Exception):
    """Raised when the peer sends bytes that are not acceptable HTTP.

    Attributes
    ----------
    status
        The status code with which a server responds.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Message:
    """A request (method, target) or a response (status) with its headers and body.

    Header names are in lower case; the headers are shared between copies and must not be changed.
    """

    __slots__ = ("body", "headers", "keep_alive", "method", "status", "target")

    def __init__(self, start_line: str, headers: dict[str, str], is_response: bool) -> None:
        self.method, self.target, self.status = "", "", 0
        if is_response:
            self.status, version = _parse_status_line(start_line)
        else:
            self.method, self.target, version = _parse_request_line(start_line)
        self.headers = headers
        self.body = b""
        option = headers.get("connection", "").lower()
        self.keep_alive = option != "close" if version == "HTTP/1.1" else option == "keep-alive"

    def copy(self) -> "Message":
        """Return a message with the same head and an empty body."""
        other = Message.__new__(Message)
        other.method, other.target, other.status = self.method, self.target, self.status
        other.headers, other.body, other.keep_alive = self.headers, b"", self.keep_alive
        return other


def _parse_status_line(line: str) -> tuple[int, str]:
    """Return the status and the HTTP version of a response."""
    parts = line.split(" ", 2)
    if len(parts) < 2 or not parts[0].startswith("HTTP/1."):
        raise HttpError(400, "bad status line")
    version, status = parts[0], parts[1]
    if not is_ascii_digits(status) or len(status) != 3:
        raise HttpError(400, "bad status line")
    return int(status), version


def _parse_request_line(line: str) -> tuple[str, str, str]:
    """Return the method, the target and the HTTP version of a request."""
    parts = line.split(" ", 2)
    if len(parts) != 3 or not parts[0].isalpha() or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
        raise HttpError(400, "bad request line")
    method, target, version = parts
    if not target.startswith("/"):
        raise HttpError(400, "bad request target")
    return method, target, version


def encode_request(method: str, target: str, host: str, body: bytes, content_type: str) -> bytes:
    """Return the bytes of a request; a GET request without a body has no headers for the body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body or method != "GET":
        head += f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def encode_response(status: int, body: bytes, content_type: str, headers: dict[str, str], keep_alive: bool) -> bytes:
    """Return the bytes of a response; without `keep_alive`, it announces that the connection will be closed."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    head = [f"HTTP/1.1 {status} {phrase}", f"Content-Type: {content_type}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    if not keep_alive:
        head.append("Connection: close")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def is_ascii_digits(text: str) -> bool:
    """Return whether the text consists of one or more ASCII digits."""
    return text.isascii() and text.isdigit()
