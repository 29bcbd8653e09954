"""The client of the cloud: machine types, rentals, returns and the list of machines."""

import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

from ramptide import wire
from ramptide.context import JSON, Reply, ResponseCallback, Runtime
from ramptide.limits import Priority, RateLimiter, TokenBucket
from ramptide.records import RentalRecord

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_QUEUE_TIME = timedelta(seconds=10)
CALL_TIMEOUT = timedelta(seconds=5)
RENTALS_PAGE_SIZE = 500
MAX_RETURNS_PER_CALL = 100
#: The part of the cloud's rate limit that one controller uses: alone, or next to others. Only the leader rents and
#: lists; the others ask for the machine types now and then.
USED_PART_ALONE = 0.9
USED_PART_WITH_OTHERS = 0.7


class Cloud:
    """The cloud's interface as one controller sees it.

    Parameters
    ----------
    runtime
        The clock, timers and HTTP calls.
    address
        The `host:port` of the cloud.
    limits
        The cloud's limits, which all controllers share.
    nodes
        The number of controllers.
    """

    def __init__(self, runtime: Runtime, address: str, limits: wire.CloudLimits, nodes: int) -> None:
        self._runtime = runtime
        self._address = address
        rate = limits.rps * (USED_PART_ALONE if nodes == 1 else USED_PART_WITH_OTHERS)
        self._rate_limiter = RateLimiter(runtime, TokenBucket(rate, rate))

    def _call(self, priority: Priority, method: str, target: str, body: bytes, done: ResponseCallback) -> None:
        def answered(reply: Reply | None) -> None:
            if reply is not None and reply.status == HTTPStatus.TOO_MANY_REQUESTS:
                self._rate_limiter.report_overload()
            done(reply)

        def send() -> None:
            self._runtime.call(self._address, method, target, body, JSON, CALL_TIMEOUT, answered)

        self._rate_limiter.submit(priority, 0, MAX_QUEUE_TIME, send, lambda: done(None))

    def flavors(self, done: Callable[[list[wire.Flavor] | None], None]) -> None:
        """Read the machine types; `done` gets None when that failed."""

        def answered(reply: Reply | None) -> None:
            done(_decode_success(wire.decode_flavors, reply))

        self._call(Priority.READ, "GET", wire.FLAVORS, b"", answered)

    def rent(self, name: str, rental: RentalRecord, done: Callable[[list[str] | None, bool], None]) -> None:
        """Rent machines.

        Parameters
        ----------
        name
            The unique name of the rental, under which it was recorded before.
        rental
            What to rent.
        done
            Called with the hosts, or None without an answer, and whether the cloud refused for want of capacity.
        """

        def answered(reply: Reply | None) -> None:
            refused = reply is not None and (
                reply.status == HTTPStatus.BAD_REQUEST
                or reply.status == HTTPStatus.SERVICE_UNAVAILABLE
                and b"no capacity" in reply.body
            )
            done(_decode_success(wire.decode_hired, reply), refused)

        body = wire.encode_hire(name, rental.flavor, rental.yard, rental.spot, rental.count)
        self._call(Priority.COMMIT, "POST", wire.RENTALS, body, answered)

    def return_machines(self, hosts: list[str], done: Callable[[bool], None]) -> None:
        """Return machines; `done(True)` proves that they and everything on them are gone."""

        def answered(reply: Reply | None) -> None:
            done(reply is not None and reply.status == HTTPStatus.OK)

        self._call(Priority.COMMIT, "POST", wire.RETURN, wire.encode_return(hosts), answered)

    def list_machines(self, done: Callable[[list[wire.Rented] | None], None]) -> None:
        """Read the whole list of rented machines; `done` gets None when a page of it could not be read."""
        machines: list[wire.Rented] = []

        def request_page(after: str | None) -> None:
            query = {"limit": str(RENTALS_PAGE_SIZE)} | ({"since": after} if after else {})

            def answered(reply: Reply | None) -> None:
                page = _decode_success(wire.decode_rented, reply)
                if page is None:
                    done(None)
                    return
                machines.extend(page.hosts)
                if page.more and (not page.hosts or page.hosts[-1].ref <= (after or "")):
                    log.error("broken answer of the cloud: a page that leads nowhere")
                    done(None)
                elif page.more:
                    request_page(page.hosts[-1].ref)
                else:
                    done(machines)

            self._call(Priority.HOUSEKEEPING, "GET", f"{wire.RENTALS}?{urlencode(query)}", b"", answered)

        request_page(None)


def _decode_success(decode: Callable[[bytes], T], reply: Reply | None) -> T | None:
    """Return the decoded body of a successful response, or None."""
    if reply is None or reply.status != HTTPStatus.OK:
        return None
    try:
        return decode(reply.body)
    except wire.MessageError as error:
        log.error("broken answer of the cloud: %s", error)
        return None
