"""Tells workers the token of a new membership view, rather than in the answers to their next reports.

A worker may wait up to 4 s for the answer of a controller that is gone before it reports to another one. Until it has
shown its tasks under the new token, nothing of a limited team is started. A direct request without commands raises the
token at once, and the response is the worker's report.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from http import HTTPStatus

from ramptide.protocol.agents import COMMANDS_PATH, Heartbeat, decode_heartbeat, encode_commands
from ramptide.protocol.types import MessageError
from ramptide.transport.runtime import JSON, Response, Runtime

log = logging.getLogger(__name__)

#: Requests at a time: enough to ask hundreds of workers within a second, few enough to leave sockets for other calls.
MAX_IN_FLIGHT = 16
#: A worker that does not respond by then is left to its own report; a machine that hangs must not hold up the others.
RESPONSE_TIMEOUT = timedelta(seconds=1)
#: The session of most workers. One with another session says so, and is asked once more.
FIRST_AGENT_EPOCH = 1


class TokenAnnouncer:
    """Announces one token at a time; a new one replaces what is left of the one before.

    Parameters
    ----------
    runtime
        Timers and calls.
    take
        Gets the report of each worker that has seen the token.
    """

    def __init__(self, runtime: Runtime, take: Callable[[Heartbeat], None]) -> None:
        self._runtime = runtime
        self._take = take
        self._token = 0
        self._in_flight = 0
        self._waiting: deque[tuple[str, str]] = deque()

    def announce(self, token: int, addresses: Mapping[str, str]) -> None:
        """Tell the token to the workers of the given hosts."""
        self._token = token
        self._waiting = deque(addresses.items())
        self._send_waiting()

    def stop(self) -> None:
        """Announce nothing more."""
        self._token = 0
        self._waiting.clear()

    def _send_waiting(self) -> None:
        while self._waiting and self._in_flight < MAX_IN_FLIGHT:
            host, address = self._waiting.popleft()
            self._send(host, address, FIRST_AGENT_EPOCH)

    def _send(self, host: str, address: str, agent_epoch: int) -> None:
        token = self._token
        self._in_flight += 1

        def done(reply: Response | None) -> None:
            self._in_flight -= 1
            if reply is not None and token == self._token:
                self._handle(host, address, agent_epoch, reply)
            self._send_waiting()

        body = encode_commands(token, agent_epoch, [])
        self._runtime.call(address, "POST", COMMANDS_PATH, body, JSON, RESPONSE_TIMEOUT, done)

    def _handle(self, host: str, address: str, agent_epoch: int, reply: Response) -> None:
        try:
            heartbeat = decode_heartbeat(reply.body)
        except MessageError as error:
            log.debug("response of %s to the token: %s", host, error)
            return
        if heartbeat.host != host:
            return
        if reply.status == HTTPStatus.OK:
            self._take(heartbeat)
        elif reply.status == HTTPStatus.CONFLICT and agent_epoch == FIRST_AGENT_EPOCH != heartbeat.agent_epoch:
            self._send(host, address, heartbeat.agent_epoch)
