"""The HTTP client, which keeps connections open for later calls."""

import errno
import logging
import selectors
import socket
from collections import deque
from datetime import timedelta

from ramptide.transport.event_loop import EventLoop, Timer
from ramptide.transport.http.address import parse_address
from ramptide.transport.http.connection import Connection, disable_nagle
from ramptide.transport.http.messages import HttpError, Message, encode_request
from ramptide.transport.http.parser import Parser
from ramptide.transport.runtime import Request, ResponseCallback

__all__ = ["Client"]

log = logging.getLogger(__name__)

MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024
#: The delay until a call that could not be started is reported as failed, so that callers do not retry in a busy loop.
FAILED_CALL_DELAY = timedelta(milliseconds=50)


class _ClientConnection(Connection):
    """A connection to one address that carries one request at a time; idle ones are kept in the client's pool."""

    def __init__(self, client: "Client", address: str) -> None:
        host_and_port = parse_address(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        disable_nagle(sock)
        super().__init__(client.loop, sock)
        self.client = client
        self.address = address
        self.parser = Parser(is_response=True, max_body_bytes=MAX_RESPONSE_BODY_BYTES)
        self.on_response: ResponseCallback | None = None
        self.timeout_timer: Timer | None = None
        self.is_connected = False
        code = sock.connect_ex(host_and_port)
        if code not in (0, errno.EINPROGRESS, errno.EWOULDBLOCK):
            raise OSError(code, "connect failed")
        self.loop.watch(sock, selectors.EVENT_WRITE, self.on_ready)

    def send(self, data: bytes, timeout: timedelta, on_response: ResponseCallback) -> None:
        """Send an encoded request as soon as the connection is established."""
        self.on_response = on_response
        self.output += data
        self.timeout_timer = self.loop.after(timeout, self.close)
        if self.is_connected:
            self.flush()

    def on_ready(self, mask: int) -> None:
        """Establish the connection, send buffered output and process received bytes."""
        if not self.is_connected:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
            self.is_connected = True
            self._watch()
        if mask & selectors.EVENT_WRITE:
            self.flush()
        if mask & selectors.EVENT_READ and self.is_open:
            self._receive()

    def _receive(self) -> None:
        data = self.read()
        if data is None:
            return
        try:
            if data:
                self.parser.feed(data)
                message = self.parser.next_message()
            else:
                message = self.parser.end_stream()
        except HttpError as error:
            log.error("broken response: address=%s error=%r", self.address, str(error))
            self.close()
            return
        if message is not None and self.on_response is not None:
            self._complete(message, is_reusable=message.keep_alive and data != b"" and self.parser.is_idle)
        elif data == b"" or (not self.parser.is_idle and self.on_response is None):
            self.close()

    def _complete(self, message: Message, is_reusable: bool) -> None:
        """Release or close the connection, then pass the response to the caller."""
        on_response, self.on_response = self.on_response, None
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if is_reusable:
            self.client.release(self)
        else:
            super().close()
            self.client.discard(self)
        if on_response is not None:
            on_response(message)

    def close(self) -> None:
        """Close the connection; a request in flight fails."""
        if not self.is_open:
            return
        super().close()
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.client.discard(self)
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(None)


class Client:
    """Sends requests to other services over connections that are reused.

    Parameters
    ----------
    loop
        The event loop to run on.
    max_connections
        The limit of open connections; a call that needs another one fails if no idle one can be closed.
    """

    def __init__(self, loop: EventLoop, max_connections: int) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.open_connections = 0
        self._idle: dict[str, deque[_ClientConnection]] = {}

    def call(self, request: Request, on_response: ResponseCallback) -> None:
        """Send a request; `on_response` gets the response, or None if the call failed or timed out."""
        address = request.address
        idle = self._idle.get(address)
        try:
            if idle:
                connection = idle.pop()
            elif self.open_connections >= self.max_connections and not self._close_idle():
                raise OSError(errno.EMFILE, "all connections are in use")
            else:
                connection = _ClientConnection(self, address)
                self.open_connections += 1
        except (OSError, ValueError) as error:
            # The address may come from an agent, and may be invalid.
            log.debug("call failed: address=%s error=%r", address, str(error))
            self.loop.after(FAILED_CALL_DELAY, lambda: on_response(None))
            return
        data = encode_request(request.method, request.target, address, request.body, request.content_type)
        connection.send(data, request.timeout, on_response)

    def _close_idle(self) -> bool:
        """Close the longest idle connection of some address; return whether there was one."""
        for connections in self._idle.values():
            if connections:
                connections[0].close()
                return True
        return False

    def release(self, connection: _ClientConnection) -> None:
        """Keep an idle connection in the pool for later calls."""
        self._idle.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: _ClientConnection) -> None:
        """Remove a closed connection from the pool and from the count of open connections."""
        self.open_connections -= 1
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
