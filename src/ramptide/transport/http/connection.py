"""The base class of server and client connections."""

import contextlib
import selectors
import socket

from ramptide.transport.event_loop import EventLoop

__all__ = ["Connection", "disable_nagle"]

READ_SIZE_BYTES = 256 * 1024


class Connection:
    """A non-blocking socket with an output buffer, registered with the event loop."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.output = bytearray()
        self.is_open = True
        #: Whether events of this connection may wait until other events are handled.
        self.is_deferrable = False

    def _watch(self) -> None:
        """Watch the socket for input and, while output is buffered, for room to write."""
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.output else 0)
        self.loop.watch(self.sock, events, self.on_ready, self.is_deferrable)

    def write(self, data: bytes) -> None:
        """Send as much of the data as the socket accepts now, and the rest later."""
        self.output += data
        self.flush()

    def flush(self) -> None:
        """Send as much buffered output as the socket accepts."""
        if not self.is_open:
            return
        had_output = bool(self.output)
        try:
            while self.output:
                del self.output[: self.sock.send(self.output)]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.close()
            return
        if had_output:
            self._watch()

    def read(self) -> bytes | None:
        """Return received bytes, b"" at the end of the stream or after an error, or None if there is no input now."""
        try:
            return self.sock.recv(READ_SIZE_BYTES)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def on_ready(self, mask: int) -> None:
        """Handle the socket events in `mask`."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the socket; a second call does nothing."""
        if self.is_open:
            self.is_open = False
            self.loop.unwatch(self.sock)
            self.sock.close()


def disable_nagle(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, so that small messages are sent at once."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
