"""The HTTP server."""

import contextlib
import errno
import json
import logging
import selectors
import socket
from collections.abc import Callable
from datetime import timedelta

from ramptide.transport.event_loop import EventLoop
from ramptide.transport.http.address import parse_address
from ramptide.transport.http.connection import Connection, disable_nagle
from ramptide.transport.http.messages import HttpError, Message, encode_response
from ramptide.transport.http.parser import MAX_REQUEST_BODY_BYTES, Parser
from ramptide.transport.runtime import JSON

__all__ = ["Exchange", "Server"]

log = logging.getLogger(__name__)

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
FULL_LOG_INTERVAL = timedelta(seconds=60)
MAX_ACCEPTS_PER_EVENT = 64
#: Idle connections are looked for this many times per idle timeout; half a request may take one such period.
SWEEPS_PER_IDLE_TIMEOUT = 6
#: While more than this share of the connections is in use, each is closed after its response: more clients than
#: connections take turns then, and what is left free is there for those that come.
CROWDED_SHARE = 0.75


class Exchange:
    """One request and the means to respond to it, once, now or later."""

    def __init__(self, connection: "_ServerConnection", request: Message) -> None:
        #: None once the request has been responded to.
        self._connection: _ServerConnection | None = connection
        self.request = request

    def prefer(self) -> None:
        """Have later requests on the same connection handled before those of deferrable ones."""
        if self._connection is not None:
            self._connection.deferrable = False

    def respond(
        self, status: int, body: bytes, content_type: str = JSON, headers: dict[str, str] | None = None
    ) -> None:
        """Send the response; any call after the first does nothing."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(self.request, status, body, content_type, headers or {})


class _ServerConnection(Connection):
    """Reads one request after the other and hands each to the server's handler."""

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.deferrable = server.deferrable
        self.parser = Parser(max_body=server.max_body)
        #: Whether a request has been handed to the handler that has not responded yet.
        self.is_handling = False
        #: Whether the last response is written or being written.
        self.is_closing = False
        self.last_used = self.loop.now
        self._watch()

    def on_ready(self, mask: int) -> None:
        """Send buffered output and process received requests."""
        if mask & selectors.EVENT_WRITE:
            self.flush()
            self._shut_down_writing()
        if mask & selectors.EVENT_READ and self.is_open:
            data = self.read()
            if data == b"":
                self.close()
            elif data and not self.is_closing:
                if self.parser.is_idle:
                    self._mark_used()
                self.parser.feed(data)
                self.process_next()

    def _mark_used(self) -> None:
        """Keep the server's connections in the order of their last use."""
        self.last_used = self.loop.now
        connections = self.server.connections
        if connections.pop(self, False) is None:
            connections[self] = None

    def process_next(self) -> None:
        """Hand the next request to the handler unless the one before still waits for its response."""
        if self.is_handling or not self.is_open:
            return
        try:
            request = self.parser.next()
        except HttpError as error:
            body = _encode_error(str(error))
            self._send_last(encode_response(error.status, body, JSON, {}, keep_alive=False))
            return
        if request is None:
            if self.parser.expects_continue:
                self.parser.expects_continue = False
                self.write(CONTINUE_RESPONSE)
            return
        self.is_handling = True
        exchange = Exchange(self, request)
        try:
            self.server.handler(exchange)
        except Exception:
            # The client gets a response whatever went wrong here.
            log.exception("request failed: method=%s target=%s", request.method, request.target)
            exchange.respond(500, _encode_error("internal error"))

    def _send_last(self, data: bytes) -> None:
        """Send the last response.

        Input is still read, and dropped: closing a socket with unread input would destroy the response.
        """
        self.is_closing = True
        self.write(data)
        self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        """Tell the client that nothing more follows, once the last response has been sent."""
        if self.is_closing and self.is_open and not self.output:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def reply(self, request: Message, status: int, body: bytes, content_type: str, headers: dict[str, str]) -> None:
        """Send the response to `request` and go on with the next one."""
        if not self.is_open:
            return
        self.is_handling = False
        self._mark_used()
        if request.method == "HEAD":
            body = b""
        keep_alive = request.keep_alive and not self.server.is_crowded
        data = encode_response(status, body, content_type, headers, keep_alive)
        if not keep_alive:
            self._send_last(data)
        else:
            self.write(data)
            self.process_next()

    def close(self) -> None:
        """Close the socket and leave the server's connections."""
        super().close()
        self.server.connections.pop(self, None)


class Server:
    """Listens on an address and hands each request to a handler.

    Parameters
    ----------
    loop
        The event loop to run on.
    address
        The `host:port` to listen on.
    handler
        Called with an `Exchange` for each request.
    max_connections
        Above this number the connection that has been unused longest is closed.
    idle_timeout
        How long a connection may stay open without a request.
    max_body
        The largest request body in bytes that is accepted.
    deferrable
        Whether requests may wait for all other work; those of a connection that is preferred may not.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        handler: Callable[[Exchange], None],
        max_connections: int,
        idle_timeout: timedelta,
        max_body: int = MAX_REQUEST_BODY_BYTES,
        deferrable: bool = False,
    ) -> None:
        self.loop = loop
        self.deferrable = deferrable
        self.handler = handler
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout
        self.max_body = max_body
        #: An ordered set; the least recently used connection comes first.
        self.connections: dict[_ServerConnection, None] = {}
        self._full_logged_at: timedelta | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(parse_address(address))
        # When a controller fails, all its agents may connect here at once.
        self.sock.listen(max_connections)
        loop.watch(self.sock, selectors.EVENT_READ, self._accept)
        self._close_idle()

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are open that none is kept for later requests."""
        return len(self.connections) > self.max_connections * CROWDED_SHARE

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._make_room()
                return
            if len(self.connections) >= self.max_connections:
                self._make_room()
            sock.setblocking(False)
            disable_nagle(sock)
            self.connections[_ServerConnection(self, sock)] = None

    def _make_room(self) -> None:
        """Close the connection that has been unused longest, so that slow clients cannot hold all."""
        if self._full_logged_at is None or self.loop.now - self._full_logged_at > FULL_LOG_INTERVAL:
            self._full_logged_at = self.loop.now
            log.error(
                "connections exhausted: max_connections=%d hint=%r", self.max_connections, "fd_limit is too small"
            )
        longest_unused = next((connection for connection in self.connections if not connection.is_handling), None)
        if longest_unused is not None:
            longest_unused.close()

    def _close_idle(self) -> None:
        """Close the connections that are over their time limit; repeats itself."""
        sweep_interval = self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT
        for connection in list(self.connections):
            between_requests = connection.parser.is_idle and not connection.is_closing
            limit = self.idle_timeout if between_requests else sweep_interval
            if not connection.is_handling and self.loop.now - connection.last_used > limit:
                connection.close()
        self.loop.after(sweep_interval, self._close_idle)


def _encode_error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()
