"""What connections of the server and of the client have in common."""

import contextlib
import selectors
import socket

from ramptide.loop import Loop

READ_SIZE = 256 * 1024


class Connection:
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


def disable_nagle(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
