"""The HTTP server, which passes each request to a handler."""

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
#: Connections are checked this many times per idle timeout; an unfinished request may last one such interval.
SWEEPS_PER_IDLE_TIMEOUT = 6
#: While more than this ratio of the connections is in use, each is closed after its response: more clients than
#: connections then take turns, and the free connections remain available to new clients.
CROWDED_RATIO = 0.75


class Exchange:
    """One request, to which the handler responds once, now or later."""

    def __init__(self, connection: "_ServerConnection", request: Message) -> None:
        #: The connection of the request; None once a response was given.
        self._connection: _ServerConnection | None = connection
        self.request = request

    def prioritize(self) -> None:
        """Handle later requests on the same connection before those of deferrable connections."""
        if self._connection is not None:
            self._connection.is_deferrable = False

    def respond(
        self, status: int, body: bytes, content_type: str = JSON, headers: dict[str, str] | None = None
    ) -> None:
        """Send the response; a second call does nothing."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(self.request, status, body, content_type, headers or {})


class _ServerConnection(Connection):
    """A connection that reads one request after the other and passes each to the server's handler."""

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.is_deferrable = server.is_deferrable
        self.parser = Parser(max_body_bytes=server.max_body_bytes)
        #: Whether the handler has a request to which it has not responded yet.
        self.is_handling = False
        #: Whether the last response of the connection has been written, at least to the output buffer.
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
        """Record the use, and move this connection to the end of the server's connections."""
        self.last_used = self.loop.now
        connections = self.server.connections
        if connections.pop(self, False) is None:
            connections[self] = None

    def process_next(self) -> None:
        """Pass the next request to the handler unless the previous one still waits for its response."""
        if self.is_handling or not self.is_open:
            return
        try:
            request = self.parser.next_message()
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
            # The client gets a response whatever exception the handler raises.
            log.exception("request failed: method=%s target=%s", request.method, request.target)
            exchange.respond(500, _encode_error("internal error"))

    def _send_last(self, data: bytes) -> None:
        """Send the last response of the connection.

        Input is still read and dropped, as closing a socket with unread input could destroy the response.
        """
        self.is_closing = True
        self.write(data)
        self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        """Shut down the sending side, once the last response has been sent."""
        if self.is_closing and self.is_open and not self.output:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def reply(self, request: Message, status: int, body: bytes, content_type: str, headers: dict[str, str]) -> None:
        """Send the response to `request` and process the next request."""
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
        """Close the socket and remove this connection from the server."""
        super().close()
        self.server.connections.pop(self, None)


class Server:
    """Listens on an address and passes each request to a handler.

    Parameters
    ----------
    loop
        The event loop to run on.
    address
        The `host:port` to listen on.
    handler
        Called with an `Exchange` for each request.
    max_connections
        The limit of open connections; at the limit, a new one replaces the connection that has been unused longest.
    idle_timeout
        How long a connection may stay open without a request.
    max_body_bytes
        The size of the largest request body that is accepted.
    deferrable
        Whether requests may wait until other events are handled, except on connections that were prioritized.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        handler: Callable[[Exchange], None],
        max_connections: int,
        idle_timeout: timedelta,
        max_body_bytes: int = MAX_REQUEST_BODY_BYTES,
        deferrable: bool = False,
    ) -> None:
        self.loop = loop
        self.is_deferrable = deferrable
        self.handler = handler
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout
        self.max_body_bytes = max_body_bytes
        #: The open connections as an ordered set, the least recently used one first.
        self.connections: dict[_ServerConnection, None] = {}
        self._full_logged_at: timedelta | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(parse_address(address))
        # When another controller fails, all its agents may connect here at once.
        self.sock.listen(max_connections)
        loop.watch(self.sock, selectors.EVENT_READ, self._accept)
        self._close_idle()

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are open that each is closed after its response."""
        return len(self.connections) > self.max_connections * CROWDED_RATIO

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._close_longest_unused()
                return
            if len(self.connections) >= self.max_connections:
                self._close_longest_unused()
            sock.setblocking(False)
            disable_nagle(sock)
            self.connections[_ServerConnection(self, sock)] = None

    def _close_longest_unused(self) -> None:
        """Close the connection that has been unused longest, so that slow clients cannot occupy all connections."""
        if self._full_logged_at is None or self.loop.now - self._full_logged_at > FULL_LOG_INTERVAL:
            self._full_logged_at = self.loop.now
            log.error(
                "connections exhausted: max_connections=%d hint=%r", self.max_connections, "fd_limit is too small"
            )
        longest_unused = next((connection for connection in self.connections if not connection.is_handling), None)
        if longest_unused is not None:
            longest_unused.close()

    def _close_idle(self) -> None:
        """Close the connections that exceed their time limit, and schedule the next such check."""
        sweep_interval = self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT
        for connection in list(self.connections):
            is_between_requests = connection.parser.is_idle and not connection.is_closing
            limit = self.idle_timeout if is_between_requests else sweep_interval
            if not connection.is_handling and self.loop.now - connection.last_used > limit:
                connection.close()
        self.loop.after(sweep_interval, self._close_idle)


def _encode_error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()
