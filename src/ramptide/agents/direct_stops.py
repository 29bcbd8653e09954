"""Stops tasks of finished jobs by direct requests to agents, when a response to another direct request shows them.

Such a response cannot carry commands, and the agent's next heartbeat may meet a later view.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

from ramptide.agents.finished_jobs import JobLookup, stops_of_finished_jobs, undecided_tasks
from ramptide.agents.statistics import AgentStatistics, StopOutcome
from ramptide.clients.rate_limits import TokenBucket
from ramptide.protocol.agents import COMMANDS_PATH, Command, Heartbeat, decode_heartbeat, encode_commands
from ramptide.protocol.types import MessageError
from ramptide.transport.runtime import Request, Response, Runtime

__all__ = ["MAX_BURST", "MAX_IN_FLIGHT", "MAX_PER_SECOND", "DirectStops"]

log = logging.getLogger(__name__)

#: The most requests at a time. They have places of their own, so that they neither delay announcements of a token nor
#: wait for them.
MAX_IN_FLIGHT = 8
#: The most requests per second: a single controller reaches 4,000 machines within 20 s.
MAX_PER_SECOND = 200.0
#: How many requests may follow each other at once: those of the longest pause between two calls of `send_waiting`.
MAX_BURST = 20.0
RESPONSE_TIMEOUT = timedelta(seconds=1)
NO_TIME = timedelta(0)


class DirectStops:
    """Sends the stops of one view's fencing token, each machine's at most once for each request.

    Parameters
    ----------
    runtime
        The clock, and the requests to agents.
    jobs
        Tells which jobs are finished.
    statistics
        Counts the stops.
    on_response
        Called with the heartbeat with which an agent responds once it has carried out the stops.
    """

    def __init__(
        self, runtime: Runtime, jobs: JobLookup, statistics: AgentStatistics, on_response: Callable[[Heartbeat], None]
    ) -> None:
        self._runtime = runtime
        self._jobs = jobs
        self._statistics = statistics
        self._on_response = on_response
        self._fencing_token: int | None = None
        self._in_flight = 0
        self._bucket = TokenBucket(MAX_PER_SECOND, MAX_BURST)
        #: The heartbeats whose tasks are to be stopped, by host, in the order in which they came.
        self._waiting: dict[str, Heartbeat] = {}

    def on_new_view(self, fencing_token: int | None) -> None:
        """Drop what waits, and use the token of a new view; None when this controller has no place in it."""
        self._fencing_token = fencing_token
        self._waiting.clear()

    def request(self, heartbeat: Heartbeat) -> None:
        """Stop the tasks of finished jobs that a heartbeat shows, once it is certain which jobs are finished."""
        has_tasks = bool(stops_of_finished_jobs(heartbeat, self._jobs) or undecided_tasks(heartbeat, self._jobs))
        if has_tasks and heartbeat.address is not None and self._fencing_token is not None:
            self._waiting[heartbeat.host] = heartbeat
            self.send_waiting()

    def send_waiting(self) -> None:
        """Send the requests that may be sent now; called repeatedly, as some wait for the records or the rate limit."""
        now = self._runtime.now
        if self._fencing_token is None or not self._jobs.are_records_complete():
            return
        while self._waiting and self._in_flight < MAX_IN_FLIGHT and self._bucket.wait_time(now, 1) <= NO_TIME:
            host = next(iter(self._waiting))
            heartbeat = self._waiting.pop(host)
            commands = stops_of_finished_jobs(heartbeat, self._jobs)
            if commands and heartbeat.address is not None:
                self._bucket.consume(1)
                self._send(heartbeat, heartbeat.address, commands, self._fencing_token)

    def _send(self, heartbeat: Heartbeat, address: str, commands: list[Command], fencing_token: int) -> None:
        host = heartbeat.host
        self._in_flight += 1
        self._statistics.record_stops(StopOutcome.SENT_DIRECTLY, host, [command.task_id for command in commands])

        def on_response(response: Response | None) -> None:
            self._in_flight -= 1
            if response is not None and fencing_token == self._fencing_token:
                self._handle_response(host, response)
            self.send_waiting()

        body = encode_commands(fencing_token, heartbeat.agent_epoch, commands)
        self._runtime.call(Request(address, "POST", COMMANDS_PATH, RESPONSE_TIMEOUT, body), on_response)

    def _handle_response(self, host: str, response: Response) -> None:
        if response.status != HTTPStatus.OK:
            return
        try:
            heartbeat = decode_heartbeat(response.body)
        except MessageError as error:
            log.debug("broken response to stops: host=%s error=%r", host, str(error))
            return
        if heartbeat.host == host:
            self._on_response(heartbeat)
