"""HTTP/1.1: one parser for every role, a server, and a client with kept-open connections."""

import contextlib
import errno
import functools
import json
import logging
import selectors
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto
from http import HTTPStatus

from ramptide.loop import Loop, Timer

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024
MAX_REQUEST_BODY_BYTES = 64 * 1024
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024
READ_SIZE = 256 * 1024
FULL_LOG_INTERVAL = timedelta(seconds=60)
HEAD_CACHE_SIZE, MAX_CACHED_HEAD_BYTES = 1000, 512


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
            if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not _digits(parts[1]) or len(parts[1]) != 3:
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
            if not _digits(length) or len(length) > 15:
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


def _digits(text: str) -> bool:
    return text.isascii() and text.isdigit()


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


def parse_address(text: str) -> tuple[str, int]:
    """'10.0.0.1:8080' as host and port; ValueError when it is not one."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not _digits(port) or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class _Channel:
    """A non-blocking socket with an output buffer, tied to the loop."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.out = bytearray()
        self.open = True

    def _listen(self) -> None:
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.out else 0)
        self.loop.watch(self.sock, events, self.on_ready)

    def write(self, data: bytes) -> None:
        self.out += data
        self.flush()

    def flush(self) -> None:
        if not self.open:
            return
        had = bool(self.out)
        try:
            while self.out:
                del self.out[: self.sock.send(self.out)]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()
            return
        if had:
            self._listen()

    def read(self) -> bytes | None:
        """Bytes, b"" at the end of the stream, None when there is nothing now."""
        try:
            return self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def on_ready(self, mask: int) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.open:
            self.open = False
            self.loop.unwatch(self.sock)
            self.sock.close()


class Exchange:
    """One request and the means to answer it, once, now or later."""

    def __init__(self, connection: "_ServerConnection", request: Message) -> None:
        self._connection = connection
        self.request = request

    def respond(
        self, status: int, body: bytes, kind: str = "application/json", headers: dict[str, str] | None = None
    ) -> None:
        connection, self._connection = self._connection, None  # type: ignore[assignment]
        if connection is not None:
            connection.answer(self.request, status, body, kind, headers or {})


class _ServerConnection(_Channel):
    def __init__(self, server: "Server", sock: socket.socket) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.parser = Parser(max_body=server.max_body)
        self.busy = False
        self.ending = False
        self.since = self.loop.now
        self._listen()

    def on_ready(self, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.flush()
            self._half_close()
        if mask & selectors.EVENT_READ and self.open:
            data = self.read()
            if data == b"":
                self.close()
            elif data and not self.ending:
                if self.parser.idle:
                    self._seen()
                self.parser.feed(data)
                self.advance()

    def _seen(self) -> None:
        """Keeps the server's connections in the order of their last use."""
        self.since = self.loop.now
        connections = self.server.connections
        if connections.pop(self, False) is None:
            connections[self] = None

    def advance(self) -> None:
        if self.busy or not self.open:
            return
        try:
            request = self.parser.next()
        except HttpError as error:
            self._end_with(encode_response(error.status, _error(str(error)), "application/json", {}, False))
            return
        if request is None:
            if self.parser.expects_continue:
                self.parser.expects_continue = False
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return
        self.busy = True
        exchange = Exchange(self, request)
        try:
            self.server.handler(exchange)
        except Exception:
            # The client gets an answer whatever went wrong here.
            log.exception("%s %s failed", request.method, request.target)
            exchange.respond(500, _error("internal error"))

    def _end_with(self, data: bytes) -> None:
        """The last answer: what the peer still sends is read and dropped, or the close would destroy the answer."""
        self.ending = True
        self.write(data)
        self._half_close()

    def _half_close(self) -> None:
        if self.ending and self.open and not self.out:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def answer(self, request: Message, status: int, body: bytes, kind: str, headers: dict[str, str]) -> None:
        if not self.open:
            return
        self.busy = False
        self._seen()
        if request.method == "HEAD":
            body = b""
        data = encode_response(status, body, kind, headers, request.keep)
        if not request.keep:
            self._end_with(data)
        else:
            self.write(data)
            self.advance()

    def close(self) -> None:
        super().close()
        self.server.connections.pop(self, None)


class Server:
    """Listens on an address and hands each request to `handler` as an Exchange."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        handler: Callable[[Exchange], None],
        room: int,
        idle: timedelta,
        max_body: int = MAX_REQUEST_BODY_BYTES,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.room = room
        self.idle = idle
        self.max_body = max_body
        #: The one that was used longest ago comes first.
        self.connections: dict[_ServerConnection, None] = {}
        self._full_logged_at: timedelta | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(parse_address(address))
        # All workers of a controller that is gone may come at once.
        self.sock.listen(room)
        loop.watch(self.sock, selectors.EVENT_READ, self._accept)
        self._sweep()

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._make_room()
                return
            if len(self.connections) >= self.room:
                self._make_room()
            sock.setblocking(False)
            _no_delay(sock)
            self.connections[_ServerConnection(self, sock)] = None

    def _make_room(self) -> None:
        """Over the cap the connection that has been quiet longest goes, so that slow clients cannot hold all."""
        if self._full_logged_at is None or self.loop.now - self._full_logged_at > FULL_LOG_INTERVAL:
            self._full_logged_at = self.loop.now
            log.error("all %d connections are in use: fd_limit is too small for those who call here", self.room)
        quiet = next((connection for connection in self.connections if not connection.busy), None)
        if quiet is not None:
            quiet.close()

    def _sweep(self) -> None:
        for connection in list(self.connections):
            limit = self.idle if connection.parser.idle and not connection.ending else self.idle / 6
            if not connection.busy and self.loop.now - connection.since > limit:
                connection.close()
        self.loop.after(self.idle / 6, self._sweep)


def _error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()


def _no_delay(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


ResponseCallback = Callable[[Message | None], None]


class _ClientConnection(_Channel):
    """Carries one request at a time to one address; idle ones wait in the client's pool."""

    def __init__(self, client: "Client", address: str) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        _no_delay(sock)
        super().__init__(client.loop, sock)
        self.client = client
        self.address = address
        self.parser = Parser(response=True, max_body=MAX_RESPONSE_BODY_BYTES)
        self.done: ResponseCallback | None = None
        self.timer: Timer | None = None
        self.connected = False
        code = sock.connect_ex(parse_address(address))
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK):
            raise OSError(code, "connect failed")
        self.loop.watch(sock, selectors.EVENT_WRITE, self.on_ready)

    def send(self, data: bytes, timeout: timedelta, done: ResponseCallback) -> None:
        self.done = done
        self.out += data
        self.timer = self.loop.after(timeout, self.close)
        if self.connected:
            self.flush()

    def on_ready(self, mask: int) -> None:
        if not self.connected:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
            self.connected = True
            self._listen()
        if mask & selectors.EVENT_WRITE:
            self.flush()
        if mask & selectors.EVENT_READ and self.open:
            self._receive()

    def _receive(self) -> None:
        data = self.read()
        if data is None:
            return
        try:
            if data:
                self.parser.feed(data)
                message = self.parser.next()
            else:
                message = self.parser.closed()
        except HttpError as error:
            log.error("broken answer from %s: %s", self.address, error)
            self.close()
            return
        if message is not None and self.done is not None:
            self._settle(message, keep=message.keep and data != b"" and self.parser.idle)
        elif data == b"" or not self.parser.idle and self.done is None:
            self.close()

    def _settle(self, message: Message, keep: bool) -> None:
        done, self.done = self.done, None
        if self.timer is not None:
            self.timer.cancel()
        if keep:
            self.client.park(self)
        else:
            super().close()
            self.client.dropped(self)
        if done is not None:
            done(message)

    def close(self) -> None:
        if not self.open:
            return
        super().close()
        if self.timer is not None:
            self.timer.cancel()
        self.client.dropped(self)
        done, self.done = self.done, None
        if done is not None:
            done(None)


class Client:
    """Calls to other services. `done` gets the response, or None when none came in time."""

    def __init__(self, loop: Loop, room: int) -> None:
        self.loop = loop
        self.room = room
        self.open = 0
        self._idle: dict[str, deque[_ClientConnection]] = {}

    def call(
        self, address: str, method: str, target: str, body: bytes, kind: str, timeout: timedelta, done: ResponseCallback
    ) -> None:
        idle = self._idle.get(address)
        try:
            if idle:
                connection = idle.pop()
            elif self.open >= self.room:
                raise OSError(errno.EMFILE, "no room for another connection")
            else:
                connection = _ClientConnection(self, address)
                self.open += 1
        except OSError as error:
            log.debug("call to %s: %s", address, error)
            self.loop.after(timedelta(milliseconds=50), lambda: done(None))
            return
        connection.send(encode_request(method, target, address, body, kind), timeout, done)

    def park(self, connection: _ClientConnection) -> None:
        self._idle.setdefault(connection.address, deque()).append(connection)

    def dropped(self, connection: _ClientConnection) -> None:
        self.open -= 1
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
