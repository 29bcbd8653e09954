"""The incremental HTTP/1.1 parser for requests and responses."""

import functools
from collections.abc import Callable
from enum import Enum, auto

from ramptide.http.messages import HttpError, Message, is_ascii_digits

MAX_HEAD_BYTES = 16 * 1024
MAX_REQUEST_BODY_BYTES = 64 * 1024
HEAD_CACHE_SIZE, MAX_CACHED_HEAD_BYTES = 1000, 512


def _read_head(raw: bytes, response: bool) -> Message:
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        name, value = name.lower(), value.strip(" \t")
        if not colon or not name or name.strip() != name or "\n" in line or "\0" in line:
            raise HttpError(400, "bad header")
        if name in headers and name in ("content-length", "transfer-encoding", "host"):
            raise HttpError(400, f"repeated {name}")
        headers[name] = value
    message = Message(lines[0], headers, response)
    if "content-length" in headers and "transfer-encoding" in headers:
        raise HttpError(400, "both framings")
    return message


#: A client sends the same head again and again, and reading it costs more than all the rest.
_known_head = functools.lru_cache(HEAD_CACHE_SIZE)(_read_head)


class _State(Enum):
    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILER = auto()
    UNTIL_CLOSE = auto()


class Parser:
    """Bytes in, whole messages out, however the bytes were split."""

    def __init__(self, response: bool = False, max_body: int = MAX_REQUEST_BODY_BYTES) -> None:
        self._response = response
        self._max_body = max_body
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._message: Message | None = None
        self._need = 0
        self._body = bytearray()
        self.expects_continue = False
        self._steps: dict[_State, Callable[[], Message | bool]] = {
            _State.HEAD: self._head,
            _State.BODY: self._body_done,
            _State.CHUNK_SIZE: self._chunk_size,
            _State.CHUNK: self._chunk,
            _State.TRAILER: self._trailer,
            _State.UNTIL_CLOSE: self._until_close,
        }

    @property
    def idle(self) -> bool:
        """No part of a message has come yet."""
        return self._state is _State.HEAD and not self._buffer

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> Message | None:
        """The next whole message, or None until more bytes come; raises HttpError."""
        while True:
            step = self._steps[self._state]()
            if isinstance(step, Message):
                return step
            if not step:
                return None

    def closed(self) -> Message | None:
        """The peer closed: a body without length ends here."""
        if self._state is _State.UNTIL_CLOSE:
            self._body += self._buffer
            self._buffer.clear()
            return self._finish()
        return None

    def _line(self, limit: int) -> str | None:
        end = self._buffer.find(b"\n")
        if end < 0:
            if len(self._buffer) > limit:
                raise HttpError(400, "line too long")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line.rstrip(b"\r").decode("latin-1")

    def _head(self) -> Message | bool:
        while self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise HttpError(431, "headers too long")
            return False
        if end > MAX_HEAD_BYTES:
            raise HttpError(431, "headers too long")
        raw = bytes(self._buffer[:end])
        del self._buffer[: end + 4]
        message = (_known_head if len(raw) <= MAX_CACHED_HEAD_BYTES else _read_head)(raw, self._response).copy()
        headers = message.headers
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        self._body.clear()
        if self._response and (message.status < 200 or message.status in (204, 304)):
            return message if message.status >= 200 else True
        self._message = message
        if coding is not None:
            if coding.lower() != "chunked":
                raise HttpError(400, "unknown transfer coding")
            self._state = _State.CHUNK_SIZE
        elif length is not None:
            if not is_ascii_digits(length) or len(length) > 15:
                raise HttpError(400, "bad content length")
            self._need = int(length)
            self._check_size(self._need)
            self._state = _State.BODY
        elif self._response:
            self._state = _State.UNTIL_CLOSE
        else:
            return self._finish()
        self.expects_continue = headers.get("expect", "").lower() == "100-continue"
        return True

    def _check_size(self, size: int) -> None:
        if size > self._max_body:
            raise HttpError(413, "body too long")

    def _body_left(self) -> bool:
        take = min(self._need, len(self._buffer))
        self._body += self._buffer[:take]
        del self._buffer[:take]
        self._need -= take
        return self._need == 0

    def _body_done(self) -> Message | bool:
        return self._finish() if self._body_left() else False

    def _chunk_size(self) -> bool:
        line = self._line(1024)
        if line is None:
            return False
        size = line.partition(";")[0].strip()
        if not size or len(size) > 8 or any(c not in "0123456789abcdefABCDEF" for c in size):
            raise HttpError(400, "bad chunk size")
        self._need = int(size, 16)
        self._check_size(len(self._body) + self._need)
        self._state = _State.CHUNK if self._need else _State.TRAILER
        return True

    def _chunk(self) -> bool:
        if not self._body_left() or len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise HttpError(400, "bad chunk end")
        del self._buffer[:2]
        self._state = _State.CHUNK_SIZE
        return True

    def _trailer(self) -> Message | bool:
        line = self._line(MAX_HEAD_BYTES)
        if line is None:
            return False
        return self._finish() if line == "" else True

    def _until_close(self) -> bool:
        self._body += self._buffer
        self._buffer.clear()
        self._check_size(len(self._body))
        return False

    def _finish(self) -> Message:
        message = self._message
        assert message is not None
        message.body = bytes(self._body)
        self._body.clear()
        self._message = None
        self._state = _State.HEAD
        self.expects_continue = False
        return message
