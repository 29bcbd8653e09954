"""Announces the fencing token of a new view to agents, ahead of the replies to their next heartbeats.

An agent may wait up to 4 s for the reply of a controller that has failed before it sends a heartbeat to another one.
Until it has reported its tasks under the new token, no task of a limited team is started. A direct request without
commands raises the agent's token at once, and the response is the agent's heartbeat.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from http import HTTPStatus

from ramptide.protocol.agents import COMMANDS_PATH, Heartbeat, decode_heartbeat, encode_commands
from ramptide.protocol.types import MessageError
from ramptide.transport.runtime import Request, Response, Runtime

__all__ = ["MAX_IN_FLIGHT", "TokenAnnouncer"]

log = logging.getLogger(__name__)

#: The most requests at a time: enough to reach hundreds of agents within a second, few enough to leave sockets for
#: other calls.
MAX_IN_FLIGHT = 16
#: An agent that does not respond in time learns the token from the reply to its next heartbeat: a hanging machine must
#: not delay the announcement to others.
RESPONSE_TIMEOUT = timedelta(seconds=1)
#: The epoch of most agents. An agent with another epoch reports it in its response, and gets a second request.
FIRST_AGENT_EPOCH = 1


class TokenAnnouncer:
    """Announces one fencing token at a time; a new one cancels what is left of the previous announcement.

    Parameters
    ----------
    runtime
        Sends the requests to agents.
    on_heartbeat
        Called with the heartbeat of each agent that has seen the token.
    """

    def __init__(self, runtime: Runtime, on_heartbeat: Callable[[Heartbeat], None]) -> None:
        self._runtime = runtime
        self._on_heartbeat = on_heartbeat
        self._fencing_token = 0
        self._in_flight = 0
        self._waiting: deque[tuple[str, str]] = deque()

    def announce(self, fencing_token: int, addresses: Mapping[str, str]) -> None:
        """Announce a token to agents, given by host and address; waiting requests with an earlier token are dropped."""
        self._fencing_token = fencing_token
        self._waiting = deque(addresses.items())
        self._send_waiting()

    def stop(self) -> None:
        """Drop the waiting requests, and ignore responses to those in flight."""
        self._fencing_token = 0
        self._waiting.clear()

    def _send_waiting(self) -> None:
        while self._waiting and self._in_flight < MAX_IN_FLIGHT:
            host, address = self._waiting.popleft()
            self._send(host, address, FIRST_AGENT_EPOCH)

    def _send(self, host: str, address: str, agent_epoch: int) -> None:
        fencing_token = self._fencing_token
        self._in_flight += 1

        def on_reply(reply: Response | None) -> None:
            self._in_flight -= 1
            if reply is not None and fencing_token == self._fencing_token:
                self._handle_reply(host, address, agent_epoch, reply)
            self._send_waiting()

        body = encode_commands(fencing_token, agent_epoch, [])
        self._runtime.call(Request(address, "POST", COMMANDS_PATH, RESPONSE_TIMEOUT, body), on_reply)

    def _handle_reply(self, host: str, address: str, agent_epoch: int, reply: Response) -> None:
        try:
            heartbeat = decode_heartbeat(reply.body)
        except MessageError as error:
            log.debug("broken reply to the fencing token: host=%s error=%r", host, str(error))
            return
        if heartbeat.host != host:
            return
        if reply.status == HTTPStatus.OK:
            self._on_heartbeat(heartbeat)
        elif reply.status == HTTPStatus.CONFLICT and agent_epoch == FIRST_AGENT_EPOCH != heartbeat.agent_epoch:
            self._send(host, address, heartbeat.agent_epoch)
