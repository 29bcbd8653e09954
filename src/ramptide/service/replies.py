"""Functions that the routes for clients and for peers share."""

from http import HTTPStatus

from ramptide.protocol.types import encode_error
from ramptide.transport.http.messages import Message
from ramptide.transport.http.server import Exchange
from ramptide.transport.runtime import JSON

__all__ = ["path_of", "refuse_method"]


def path_of(request: Message) -> str:
    """Return the target of a request without its query."""
    return request.target.partition("?")[0]


def refuse_method(exchange: Exchange, allowed: str) -> None:
    """Respond that the path supports only the `allowed` methods."""
    exchange.respond(HTTPStatus.METHOD_NOT_ALLOWED, encode_error("method not allowed"), JSON, {"Allow": allowed})
