"""The HTTP server."""

import contextlib
import errno
import json
import logging
import selectors
import socket
from collections.abc import Callable
from datetime import timedelta

from ramptide.http.address import parse_address
from ramptide.http.connection import Connection, disable_nagle
from ramptide.http.messages import HttpError, Message, encode_response
from ramptide.http.parser import MAX_REQUEST_BODY_BYTES, Parser
from ramptide.loop import Loop

log = logging.getLogger(__name__)

FULL_LOG_INTERVAL = timedelta(seconds=60)


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


class _ServerConnection(Connection):
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
            disable_nagle(sock)
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
