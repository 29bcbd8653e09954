"""The routes for users and agents: jobs, heartbeats and health."""

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.api.jobs import JobApi
from ramptide.api.telemetry import Route, Telemetry
from ramptide.protocol.agents import HEARTBEAT_PATH
from ramptide.protocol.jobs import HEALTH_PATH, JOBS_PATH, HealthReply
from ramptide.protocol.types import encode_error, encode_json
from ramptide.service.replies import path_of, refuse_method
from ramptide.transport.http.server import Exchange
from ramptide.transport.process_statistics import ProcessStatistics, WorkKind
from ramptide.transport.runtime import JSON

__all__ = ["ClientRoutes"]

CANCEL_ACTION = "cancel"


class _JsonReply(Protocol):
    def __call__(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Respond to the request with a JSON body."""


class ClientRoutes:
    """Routes the requests of users and agents to the components of the controller that answer them.

    Parameters
    ----------
    health
        Returns whether requests can be accepted, and which dependencies the controller cannot reach.
    counters
        The counters of requests and heartbeats for the metrics.
    """

    def __init__(
        self,
        job_api: JobApi,
        heartbeats: HeartbeatHandler,
        health: Callable[[], HealthReply],
        telemetry: Telemetry,
        counters: Counter[str],
        statistics: ProcessStatistics,
    ) -> None:
        self._job_api = job_api
        self._heartbeats = heartbeats
        self._health = health
        self._telemetry = telemetry
        self._counters = counters
        self._measure = statistics.measure

    def handle(self, exchange: Exchange) -> None:
        """Respond to a request, immediately or later."""
        path = path_of(exchange.request)
        if path == HEARTBEAT_PATH:
            self._receive_heartbeat(exchange)
        elif path == HEALTH_PATH:
            self._respond_with_health(exchange)
        elif path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
            self._counters["requests"] += 1
            subpath = path[len(JOBS_PATH) + 1 :]
            self._measure(WorkKind.USERS, lambda: self._handle_job_request(exchange, subpath))
        else:
            exchange.respond(HTTPStatus.NOT_FOUND, encode_error("no such path"), JSON)

    def _receive_heartbeat(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method != "POST":
            refuse_method(exchange, "POST")
            return
        # Heartbeats renew the agents' leases, so they are handled before the requests of users.
        exchange.prioritize()
        self._counters["reports"] += 1
        reply = _json_reply(exchange)
        self._measure(WorkKind.HEARTBEATS, lambda: self._heartbeats.receive_heartbeat(request.body, reply))

    def _respond_with_health(self, exchange: Exchange) -> None:
        if exchange.request.method not in ("GET", "HEAD"):
            refuse_method(exchange, "GET, HEAD")
            return
        exchange.prioritize()
        health = self._health()
        status = HTTPStatus.OK if health.healthy else HTTPStatus.SERVICE_UNAVAILABLE
        exchange.respond(status, encode_json(health), JSON)

    def _handle_job_request(self, exchange: Exchange, subpath: str) -> None:
        """Route a request by the segments of its path after `JOBS_PATH`."""
        job_api, reply = self._job_api, _json_reply(exchange)
        match subpath.split("/") if subpath else []:
            case []:
                self._call_job_api(exchange, "POST", lambda: job_api.submit(exchange.request.body, reply))
            case [job_id]:
                self._call_job_api(exchange, "GET", lambda: job_api.poll(job_id, reply))
            case [job_id, action] if action == CANCEL_ACTION:
                self._call_job_api(exchange, "POST", lambda: job_api.cancel(job_id, reply))
            case _:
                self._telemetry.record_answer(Route.OTHER, HTTPStatus.NOT_FOUND)
                reply(HTTPStatus.NOT_FOUND, encode_error("no such path"))

    def _call_job_api(self, exchange: Exchange, allowed_method: str, call: Callable[[], None]) -> None:
        if exchange.request.method == allowed_method:
            call()
            return
        self._telemetry.record_answer(Route.OTHER, HTTPStatus.METHOD_NOT_ALLOWED)
        refuse_method(exchange, allowed_method)


def _json_reply(exchange: Exchange) -> _JsonReply:
    def reply(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        exchange.respond(status, body, JSON, headers)

    return reply
