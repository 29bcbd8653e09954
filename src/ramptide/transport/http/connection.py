"""The part that server and client connections have in common."""

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
        #: Whether its input may wait for that of other connections.
        self.deferrable = False

    def _watch(self) -> None:
        """Wait for input, and for room to write while output is buffered."""
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.output else 0)
        self.loop.watch(self.sock, events, self.on_ready, self.deferrable)

    def write(self, data: bytes) -> None:
        """Send data, now as far as the socket takes it and the rest later."""
        self.output += data
        self.flush()

    def flush(self) -> None:
        """Send buffered output as far as the socket takes it."""
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
        """Return received bytes, b"" at the end of the stream, or None when there is no input now."""
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
    """Send small messages at once instead of gathering them."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
