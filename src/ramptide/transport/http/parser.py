"""The incremental HTTP/1.1 parser for requests and responses."""

import functools
from collections.abc import Callable
from enum import Enum, auto

from ramptide.transport.http.messages import HttpError, Message, is_ascii_digits

__all__ = ["MAX_REQUEST_BODY_BYTES", "Parser"]

MAX_HEAD_BYTES = 16 * 1024
MAX_REQUEST_BODY_BYTES = 64 * 1024
MAX_CHUNK_SIZE_LINE_BYTES = 1024
MAX_CONTENT_LENGTH_DIGITS = 15
MAX_CHUNK_SIZE_DIGITS = 8
HEX_DIGITS = "0123456789abcdefABCDEF"
#: The number of parsed heads that are cached.
HEAD_CACHE_ENTRIES = 1000
#: Longer heads are not cached.
MAX_CACHED_HEAD_BYTES = 512
UNREPEATABLE_HEADERS = ("content-length", "transfer-encoding", "host")


def _parse_head(raw: bytes, is_response: bool) -> Message:
    """Parse the start line and the headers."""
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name, value = name.lower(), value.strip(" \t")
        if not colon or not name or name.strip() != name or "\n" in line or "\0" in line:
            raise HttpError(400, "bad header")
        if name in headers and name in UNREPEATABLE_HEADERS:
            raise HttpError(400, f"repeated {name}")
        headers[name] = value
    message = Message(lines[0], headers, is_response)
    if "content-length" in headers and "transfer-encoding" in headers:
        raise HttpError(400, "both framings")
    return message


#: Clients repeat the same head, and parsing it takes longer than all other work on a request.
_parse_head_cached = functools.lru_cache(HEAD_CACHE_ENTRIES)(_parse_head)


class _State(Enum):
    """What the parser reads next.

    The transitions, with the condition for each:

    | from | to |
    | --- | --- |
    | HEAD | BODY (content length), CHUNK_SIZE (chunked), UNTIL_CLOSE (a response with neither), HEAD (no body) |
    | BODY | HEAD (all bytes have arrived) |
    | CHUNK_SIZE | CHUNK, TRAILER (the last chunk, of size 0) |
    | CHUNK | CHUNK_SIZE |
    | TRAILER | HEAD (an empty line) |
    | UNTIL_CLOSE | HEAD (the end of the stream) |

    A message is complete when the state returns to HEAD.
    """

    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILER = auto()
    UNTIL_CLOSE = auto()


class _Progress(Enum):
    """The result of a step that completed no message."""

    ADVANCED = auto()
    NEEDS_DATA = auto()


_StepResult = Message | _Progress


class Parser:
    """Parses a stream of bytes into whole messages, however the bytes were split.

    Parameters
    ----------
    is_response
        Whether the stream contains responses instead of requests.
    max_body_bytes
        The size of the largest body that is accepted.
    """

    def __init__(self, is_response: bool = False, max_body_bytes: int = MAX_REQUEST_BODY_BYTES) -> None:
        self._is_response = is_response
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._message: Message | None = None
        self._missing_bytes = 0
        self._body = bytearray()
        #: Whether the client waits for a 100 Continue response before it sends the body.
        self.expects_continue = False
        self._steps: dict[_State, Callable[[], _StepResult]] = {
            _State.HEAD: self._read_head,
            _State.BODY: self._read_body,
            _State.CHUNK_SIZE: self._read_chunk_size,
            _State.CHUNK: self._read_chunk,
            _State.TRAILER: self._read_trailer,
            _State.UNTIL_CLOSE: self._read_until_close,
        }

    @property
    def is_idle(self) -> bool:
        """Whether no part of the next message has arrived."""
        return self._state is _State.HEAD and not self._buffer

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    def next_message(self) -> Message | None:
        """Return the next whole message, or None if more bytes are needed.

        Raises
        ------
        HttpError
            If the bytes are not acceptable HTTP.
        """
        while True:
            result = self._steps[self._state]()
            if isinstance(result, Message):
                return result
            if result is _Progress.NEEDS_DATA:
                return None

    def end_stream(self) -> Message | None:
        """Return the response that the end of the stream completes, as it has no length; None if there is none."""
        if self._state is _State.UNTIL_CLOSE:
            self._body += self._buffer
            self._buffer.clear()
            return self._complete_message()
        return None

    def _read_line(self, limit: int) -> str | None:
        end = self._buffer.find(b"\n")
        if end < 0:
            if len(self._buffer) > limit:
                raise HttpError(400, "line too long")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line.rstrip(b"\r").decode("latin-1")

    def _read_head(self) -> _StepResult:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if (end if end >= 0 else len(self._buffer)) > MAX_HEAD_BYTES:
            raise HttpError(431, "headers too long")
        if end < 0:
            return _Progress.NEEDS_DATA
        raw = bytes(self._buffer[:end])
        del self._buffer[: end + 4]
        parse = _parse_head_cached if len(raw) <= MAX_CACHED_HEAD_BYTES else _parse_head
        message = parse(raw, self._is_response).copy()
        self._body.clear()
        if self._is_response and (message.status < 200 or message.status in (204, 304)):
            # Interim responses are skipped; those with status 204 or 304 have no body.
            return message if message.status >= 200 else _Progress.ADVANCED
        self._message = message
        return self._select_framing(message)

    def _select_framing(self, message: Message) -> _StepResult:
        """Select from the headers how the end of the body is found."""
        headers = message.headers
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        if coding is not None:
            if coding.lower() != "chunked":
                raise HttpError(400, "unknown transfer coding")
            self._state = _State.CHUNK_SIZE
        elif length is not None:
            if not is_ascii_digits(length) or len(length) > MAX_CONTENT_LENGTH_DIGITS:
                raise HttpError(400, "bad content length")
            self._missing_bytes = int(length)
            self._check_body_size(self._missing_bytes)
            self._state = _State.BODY
        elif self._is_response:
            self._state = _State.UNTIL_CLOSE
        else:
            return self._complete_message()
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"
        return _Progress.ADVANCED

    def _check_body_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise HttpError(413, "body too long")

    def _read_missing_bytes(self) -> bool:
        """Move expected bytes from the buffer to the body; return whether all of them have arrived."""
        count = min(self._missing_bytes, len(self._buffer))
        self._body += self._buffer[:count]
        del self._buffer[:count]
        self._missing_bytes -= count
        return self._missing_bytes == 0

    def _read_body(self) -> _StepResult:
        return self._complete_message() if self._read_missing_bytes() else _Progress.NEEDS_DATA

    def _read_chunk_size(self) -> _StepResult:
        line = self._read_line(MAX_CHUNK_SIZE_LINE_BYTES)
        if line is None:
            return _Progress.NEEDS_DATA
        size = line.partition(";")[0].strip()
        if not size or len(size) > MAX_CHUNK_SIZE_DIGITS or any(digit not in HEX_DIGITS for digit in size):
            raise HttpError(400, "bad chunk size")
        self._missing_bytes = int(size, 16)
        self._check_body_size(len(self._body) + self._missing_bytes)
        self._state = _State.CHUNK if self._missing_bytes else _State.TRAILER
        return _Progress.ADVANCED

    def _read_chunk(self) -> _StepResult:
        if not self._read_missing_bytes() or len(self._buffer) < 2:
            return _Progress.NEEDS_DATA
        if self._buffer[:2] != b"\r\n":
            raise HttpError(400, "bad chunk end")
        del self._buffer[:2]
        self._state = _State.CHUNK_SIZE
        return _Progress.ADVANCED

    def _read_trailer(self) -> _StepResult:
        line = self._read_line(MAX_HEAD_BYTES)
        if line is None:
            return _Progress.NEEDS_DATA
        return self._complete_message() if line == "" else _Progress.ADVANCED

    def _read_until_close(self) -> _StepResult:
        self._body += self._buffer
        self._buffer.clear()
        self._check_body_size(len(self._body))
        return _Progress.NEEDS_DATA

    def _complete_message(self) -> Message:
        """Return the message with its body, and prepare to read the next one."""
        message = self._message
        if message is None:
            raise RuntimeError("a body is complete, but no head was read before it")
        message.body = bytes(self._body)
        self._body.clear()
        self._message = None
        self._state = _State.HEAD
        self.expects_continue = False
        return message
