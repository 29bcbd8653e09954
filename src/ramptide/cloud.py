"""The client of the cloud: machine types, rentals, returns and the list."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

from ramptide import wire
from ramptide.context import JSON, Reply, Runtime
from ramptide.limits import Priority, RateLimiter, TokenBucket
from ramptide.records import RentalRecord

log = logging.getLogger(__name__)

MAX_QUEUE_TIME = timedelta(seconds=10)
CALL_TIMEOUT = timedelta(seconds=5)
RENTALS_PAGE_SIZE = 500
MAX_RETURNS_PER_CALL = 100


class Cloud:
    def __init__(self, runtime: Runtime, address: str, limits: wire.CloudLimits, nodes: int) -> None:
        self._runtime = runtime
        self._address = address
        # Only the leader rents and lists; the others ask for the machine types now and then.
        rate = limits.rps * (0.9 if nodes == 1 else 0.7)
        self._rate_limiter = RateLimiter(runtime, TokenBucket(rate, rate))

    def _call(
        self, priority: Priority, method: str, target: str, body: bytes, done: Callable[[Reply | None], None]
    ) -> None:
        def answered(reply: Reply | None) -> None:
            if reply is not None and reply.status == 429:
                self._rate_limiter.report_overload()
            done(reply)

        self._rate_limiter.submit(
            priority,
            0,
            MAX_QUEUE_TIME,
            lambda: self._runtime.call(self._address, method, target, body, JSON, CALL_TIMEOUT, answered),
            lambda: done(None),
        )

    def flavors(self, done: Callable[[list[wire.Flavor] | None], None]) -> None:
        self._call(Priority.READ, "GET", wire.FLAVORS, b"", lambda reply: done(_read(wire.decode_flavors, reply)))

    def rent(self, name: str, rental: RentalRecord, done: Callable[[list[str] | None, bool], None]) -> None:
        """`done(hosts, refused)`: hosts is None when there is no answer; refused when there is no capacity."""

        def answered(reply: Reply | None) -> None:
            refused = reply is not None and (
                reply.status == 400 or reply.status == 503 and b"no capacity" in reply.body
            )
            done(_read(wire.decode_hired, reply), refused)

        body = wire.encode_hire(name, rental.flavor, rental.yard, rental.spot, rental.count)
        self._call(Priority.COMMIT, "POST", wire.RENTALS, body, answered)

    def return_machines(self, hosts: list[str], done: Callable[[bool], None]) -> None:
        """`done(True)` proves that the machines and all on them are gone."""
        self._call(
            Priority.COMMIT,
            "POST",
            wire.RETURN,
            wire.encode_return(hosts),
            lambda reply: done(reply is not None and reply.status == 200),
        )

    def list_machines(self, done: Callable[[list[wire.Rented] | None], None]) -> None:
        """The whole list, or None when a page of it could not be read."""
        found: list[wire.Rented] = []

        def page(since: str | None) -> None:
            query = {"limit": str(RENTALS_PAGE_SIZE)} | ({"since": since} if since else {})

            def answered(reply: Reply | None) -> None:
                answer = _read(wire.decode_rented, reply)
                if answer is None:
                    done(None)
                    return
                found.extend(answer.hosts)
                if answer.more and (not answer.hosts or answer.hosts[-1].ref <= (since or "")):
                    log.error("broken answer of the cloud: a page that leads nowhere")
                    done(None)
                elif answer.more:
                    page(answer.hosts[-1].ref)
                else:
                    done(found)

            self._call(Priority.HOUSEKEEPING, "GET", f"{wire.RENTALS}?{urlencode(query)}", b"", answered)

        page(None)


def _read(decode: Callable[[bytes], Any], reply: Reply | None) -> Any:
    if reply is None or reply.status != 200:
        return None
    try:
        return decode(reply.body)
    except wire.MessageError as error:
        log.error("broken answer of the cloud: %s", error)
        return None
