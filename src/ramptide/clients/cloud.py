"""The client of the cloud: machine types, rentals, returns and the list of machines."""

import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

from ramptide.clients.rate_limits import CallPriority, RateLimiter, TokenBucket
from ramptide.protocol.cloud import (
    MACHINE_TYPES_PATH,
    RENTALS_PATH,
    RETURN_PATH,
    ListedMachine,
    MachineType,
    decode_machine_page,
    decode_machine_types,
    decode_rented_hosts,
    encode_rent_request,
    encode_return_request,
)
from ramptide.protocol.settings_file import CloudLimits
from ramptide.protocol.types import MessageError
from ramptide.state.records import RentalRecord
from ramptide.transport.runtime import JSON, Response, ResponseCallback, Runtime

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


class CloudClient:
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

    def __init__(self, runtime: Runtime, address: str, limits: CloudLimits, nodes: int) -> None:
        self._runtime = runtime
        self._address = address
        rate = limits.requests_per_second * (USED_PART_ALONE if nodes == 1 else USED_PART_WITH_OTHERS)
        self._rate_limiter = RateLimiter(runtime, TokenBucket(rate, rate))

    def _call(self, priority: CallPriority, method: str, target: str, body: bytes, done: ResponseCallback) -> None:
        def answered(reply: Response | None) -> None:
            if reply is not None and reply.status == HTTPStatus.TOO_MANY_REQUESTS:
                self._rate_limiter.report_overload()
            done(reply)

        def send() -> None:
            self._runtime.call(self._address, method, target, body, JSON, CALL_TIMEOUT, answered)

        self._rate_limiter.submit(priority, 0, MAX_QUEUE_TIME, send, lambda: done(None))

    def list_machine_types(self, done: Callable[[list[MachineType] | None], None]) -> None:
        """Read the machine types; `done` gets None when that failed."""

        def answered(reply: Response | None) -> None:
            done(_decode_success(decode_machine_types, reply))

        self._call(CallPriority.READ, "GET", MACHINE_TYPES_PATH, b"", answered)

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

        def answered(reply: Response | None) -> None:
            refused = reply is not None and (
                reply.status == HTTPStatus.BAD_REQUEST
                or reply.status == HTTPStatus.SERVICE_UNAVAILABLE
                and b"no capacity" in reply.body
            )
            done(_decode_success(decode_rented_hosts, reply), refused)

        body = encode_rent_request(name, rental.machine_type, rental.zone, rental.spot, rental.count)
        self._call(CallPriority.COMMIT, "POST", RENTALS_PATH, body, answered)

    def return_machines(self, hosts: list[str], done: Callable[[bool], None]) -> None:
        """Return machines; `done(True)` proves that they and everything on them are gone."""

        def answered(reply: Response | None) -> None:
            done(reply is not None and reply.status == HTTPStatus.OK)

        self._call(CallPriority.COMMIT, "POST", RETURN_PATH, encode_return_request(hosts), answered)

    def list_machines(self, done: Callable[[list[ListedMachine] | None], None]) -> None:
        """Read the whole list of rented machines; `done` gets None when a page of it could not be read."""
        machines: list[ListedMachine] = []

        def request_page(after: str | None) -> None:
            query = {"limit": str(RENTALS_PAGE_SIZE)} | ({"since": after} if after else {})

            def answered(reply: Response | None) -> None:
                page = _decode_success(decode_machine_page, reply)
                if page is None:
                    done(None)
                    return
                machines.extend(page.machines)
                if page.more and (not page.machines or page.machines[-1].host <= (after or "")):
                    log.error("broken answer of the cloud: a page that leads nowhere")
                    done(None)
                elif page.more:
                    request_page(page.machines[-1].host)
                else:
                    done(machines)

            self._call(CallPriority.HOUSEKEEPING, "GET", f"{RENTALS_PATH}?{urlencode(query)}", b"", answered)

        request_page(None)


def _decode_success(decode: Callable[[bytes], T], reply: Response | None) -> T | None:
    """Return the decoded body of a successful response, or None."""
    if reply is None or reply.status != HTTPStatus.OK:
        return None
    try:
        return decode(reply.body)
    except MessageError as error:
        log.error("broken answer of the cloud: %s", error)
        return None
