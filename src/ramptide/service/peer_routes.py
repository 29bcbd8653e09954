"""The routes for other controllers and for operators: replication, administration and metrics."""

from http import HTTPStatus

from ramptide.api.administration import AdminApi
from ramptide.cluster.messages import PEER_MESSAGES_PATH
from ramptide.controller.peer_messages import PeerMessageHandler
from ramptide.protocol.types import encode_error
from ramptide.service.replies import path_of, refuse_method
from ramptide.transport.http.server import Exchange
from ramptide.transport.process_statistics import ProcessStatistics, WorkKind
from ramptide.transport.runtime import CBOR

__all__ = ["PeerRoutes"]


class PeerRoutes:
    """Routes the messages of controllers to their handler, and all other requests to the administration API."""

    def __init__(self, peer_messages: PeerMessageHandler, admin: AdminApi, statistics: ProcessStatistics) -> None:
        self._peer_messages = peer_messages
        self._admin = admin
        self._measure = statistics.measure

    def handle(self, exchange: Exchange) -> None:
        """Respond to a request, immediately or later."""
        request = exchange.request
        path = path_of(request)
        if path == PEER_MESSAGES_PATH:
            if request.method != "POST":
                refuse_method(exchange, "POST")
                return
            self._measure(WorkKind.PEERS, lambda: self._receive_peer_message(exchange))
        elif not self._admin.handle(request.method, path, request.body, exchange.respond):
            exchange.respond(HTTPStatus.NOT_FOUND, encode_error("no such path"))

    def _receive_peer_message(self, exchange: Exchange) -> None:
        reply = self._peer_messages.receive(exchange.request.body)
        if reply is None:
            exchange.respond(HTTPStatus.BAD_REQUEST, encode_error("not a message of a controller"))
        else:
            exchange.respond(HTTPStatus.OK, reply, CBOR)
