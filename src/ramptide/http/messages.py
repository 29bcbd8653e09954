"""HTTP messages: what a parser makes, and how requests and responses are written."""

from http import HTTPStatus


class HttpError(Exception):
    """The peer's bytes are not HTTP that we take; `status` is what a server answers."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Message:
    """A request (method, target) or a response (status) with its headers in lower case and its body."""

    __slots__ = ("method", "target", "status", "headers", "body", "keep")

    def __init__(self, first: str, headers: dict[str, str], response: bool) -> None:
        self.method, self.target, self.status = "", "", 0
        parts = first.split(" ", 2)
        if response:
            if (
                len(parts) < 2
                or not parts[0].startswith("HTTP/1.")
                or not is_ascii_digits(parts[1])
                or len(parts[1]) != 3
            ):
                raise HttpError(400, "bad status line")
            self.status, version = int(parts[1]), parts[0]
        else:
            if len(parts) != 3 or not parts[0].isalpha() or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
                raise HttpError(400, "bad request line")
            self.method, self.target, version = parts
            if not self.target.startswith("/"):
                raise HttpError(400, "bad request target")
        self.headers = headers
        self.body = b""
        wish = headers.get("connection", "").lower()
        self.keep = wish != "close" if version == "HTTP/1.1" else wish == "keep-alive"

    def copy(self) -> "Message":
        """Another with the same head, and no body yet; nobody changes the headers."""
        other = Message.__new__(Message)
        other.method, other.target, other.status = self.method, self.target, self.status
        other.headers, other.body, other.keep = self.headers, b"", self.keep
        return other


def encode_request(method: str, target: str, host: str, body: bytes, kind: str) -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body or method != "GET":
        head += f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def encode_response(status: int, body: bytes, kind: str, headers: dict[str, str], keep: bool) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    head = [f"HTTP/1.1 {status} {phrase}", f"Content-Type: {kind}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    if not keep:
        head.append("Connection: close")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def is_ascii_digits(text: str) -> bool:
    return text.isascii() and text.isdigit()
