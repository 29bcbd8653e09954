"""HTTP calls to one external service: within its rate limit, with decoded responses, and with paged lists."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol, TypeVar
from urllib.parse import urlencode

from ramptide.clients.rate_limits import CallPriority, RateLimiter
from ramptide.protocol.types import MessageError
from ramptide.transport.runtime import Request, Response, ResponseCallback, Runtime

__all__ = ["Page", "PagedRequest", "ServiceCall", "ServiceClient"]

log = logging.getLogger(__name__)

Message = TypeVar("Message")


class Page(Protocol):
    """One page of a list; `more`: whether another page follows."""

    more: bool


PageType = TypeVar("PageType", bound=Page)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to the service.

    Attributes
    ----------
    priority
        The priority among the calls that wait for the rate limit.
    method, target, body
        The HTTP request.
    writes
        The number of keys that the request changes, which counts against the limit on writes.
    timeout
        How long to wait for the response after sending; None for the default of the client.
    """

    priority: CallPriority
    method: str
    target: str
    body: bytes = b""
    writes: int = 0
    timeout: timedelta | None = None


@dataclass(frozen=True, slots=True)
class PagedRequest:
    """A request for a whole list, of which each response contains one page.

    Attributes
    ----------
    priority
        The priority of each call.
    path
        The path of the list.
    query
        The query parameters besides `limit` and `since`.
    page_size
        The most items in one page.
    """

    priority: CallPriority
    path: str
    query: Mapping[str, str]
    page_size: int


class ServiceClient:
    """Sends requests to one service and decodes the responses.

    Parameters
    ----------
    runtime
        The clock, timers and HTTP calls.
    address
        The `host:port` of the service.
    name
        The name of the service in log lines.
    rate_limiter
        Decides when a request is sent.
    max_queue_time
        How long a request of each priority may wait for the rate limit.
    call_timeout
        How long to wait for a response unless the request has a timeout.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: str,
        name: str,
        rate_limiter: RateLimiter,
        max_queue_time: Mapping[CallPriority, timedelta],
        call_timeout: timedelta,
    ) -> None:
        self._runtime = runtime
        self._address = address
        self._name = name
        self._rate_limiter = rate_limiter
        self._max_queue_time = max_queue_time
        self._call_timeout = call_timeout

    def call(
        self,
        request: ServiceCall,
        on_response: ResponseCallback,
        on_send: Callable[[], None] | None = None,
        on_reject: Callable[[], None] | None = None,
    ) -> None:
        """Send a request when the rate limit allows it.

        Parameters
        ----------
        request
            The request.
        on_response
            Called with the response, or None if there was none in time.
        on_send
            Called when the request is sent.
        on_reject
            Called instead of `on_response` if the request waited too long and was not sent; without it, `on_response`
            gets None then.
        """

        def handle_response(response: Response | None) -> None:
            if response is not None and response.status == HTTPStatus.TOO_MANY_REQUESTS:
                self._rate_limiter.report_overload()
            on_response(response)

        def send() -> None:
            if on_send is not None:
                on_send()
            timeout = self._call_timeout if request.timeout is None else request.timeout
            self._runtime.call(
                Request(self._address, request.method, request.target, timeout, request.body), handle_response
            )

        reject = on_reject or (lambda: on_response(None))
        self._rate_limiter.submit(
            request.priority, request.writes, self._max_queue_time[request.priority], send, reject
        )

    def decode_success(self, decode: Callable[[bytes], Message], response: Response | None) -> Message | None:
        """Return the decoded body of a successful response, or None for any other; an invalid body is logged."""
        if response is None or response.status != HTTPStatus.OK:
            return None
        return self.decode_body(decode, response.body)

    def decode_body(self, decode: Callable[[bytes], Message], body: bytes) -> Message | None:
        """Return the decoded body, or None for an invalid one, which is logged."""
        try:
            return decode(body)
        except MessageError as error:
            log.error("broken response: service=%r error=%r", self._name, str(error))
            return None

    def read_pages(
        self,
        request: PagedRequest,
        decode: Callable[[bytes], PageType],
        last_key_of: Callable[[PageType], str | None],
        on_pages: Callable[[list[PageType] | None], None],
    ) -> None:
        """Read all pages of a list, one after the other.

        Parameters
        ----------
        request
            The list to read.
        decode
            Decodes one page, or raises `MessageError` if it is invalid.
        last_key_of
            Returns the key of a page's last item, after which the next page begins; None for an empty page.
        on_pages
            Called with all pages, or None if one of them could not be read.
        """
        pages: list[PageType] = []

        def request_page(after: str | None) -> None:
            query = {**request.query, "limit": str(request.page_size)} | ({"since": after} if after else {})

            def on_response(response: Response | None) -> None:
                page = self.decode_success(decode, response)
                if page is None:
                    on_pages(None)
                    return
                pages.append(page)
                if not page.more:
                    on_pages(pages)
                    return
                last_key = last_key_of(page)
                if last_key is None or last_key <= (after or ""):
                    # A request after this key would get the same page again, without end.
                    log.error(
                        "broken response: service=%r error=%r",
                        self._name,
                        "page announces more items but has no later key",
                    )
                    on_pages(None)
                    return
                request_page(last_key)

            self.call(ServiceCall(request.priority, "GET", f"{request.path}?{urlencode(query)}"), on_response)

        request_page(None)
