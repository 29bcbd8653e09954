"""The HTTP client."""

import errno
import logging
import selectors
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from ramptide.http.address import parse_address
from ramptide.http.connection import Connection, disable_nagle
from ramptide.http.messages import HttpError, Message, encode_request
from ramptide.http.parser import Parser
from ramptide.loop import Loop, Timer

log = logging.getLogger(__name__)

MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024

ResponseCallback = Callable[[Message | None], None]


class _ClientConnection(Connection):
    """Carries one request at a time to one address; idle ones wait in the client's pool."""

    def __init__(self, client: "Client", address: str) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        disable_nagle(sock)
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
