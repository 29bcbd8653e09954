"""The client of the cloud: machine types, rentals, returns and the list of machines."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from ramptide.clients.rate_limits import CallPriority, RateLimiter, TokenBucket
from ramptide.clients.service_client import PagedRequest, ServiceCall, ServiceClient
from ramptide.protocol.cloud import (
    MACHINE_TYPES_PATH,
    RENTALS_PATH,
    RETURN_PATH,
    ListedMachine,
    MachinePage,
    MachineType,
    decode_machine_page,
    decode_machine_types,
    decode_rented_hosts,
    encode_rent_request,
    encode_return_request,
)
from ramptide.protocol.settings_file import CloudLimits
from ramptide.transport.runtime import Response, Runtime

__all__ = ["MAX_RETURNS_PER_CALL", "CloudClient", "RentResult"]

#: How long a call of each priority may wait for the rate limit before it is rejected.
MAX_QUEUE_TIME = dict.fromkeys(CallPriority, timedelta(seconds=10))
CALL_TIMEOUT = timedelta(seconds=5)
#: The most machines in one page of the list.
RENTALS_PAGE_SIZE = 500
#: The most machines that one call returns.
MAX_RETURNS_PER_CALL = 100
#: The part of the cloud's rate limit that one controller uses: alone, or next to others. Only the leader rents and
#: lists machines; the other controllers just read the machine types from time to time.
USED_RATIO_ALONE = 0.9
USED_RATIO_WITH_OTHERS = 0.7
#: The name of the cloud in log lines.
SERVICE_NAME = "the cloud"
#: Part of the body of a 503 response for lack of capacity; any other 503 response is a fault of the cloud.
NO_CAPACITY = b"no capacity"


@dataclass(frozen=True, slots=True)
class RentResult:
    """The result of a request for machines.

    Attributes
    ----------
    hosts
        The machines, which may be fewer than requested; None if there was no successful response.
    is_refused
        Whether the cloud refused the request, for lack of capacity or because it is invalid: nothing was rented.
    """

    hosts: list[str] | None
    is_refused: bool


class CloudClient:
    """Calls the API of the cloud for one controller.

    Parameters
    ----------
    runtime
        The clock, timers and HTTP calls.
    address
        The `host:port` of the cloud.
    limits
        The cloud's limits, which all controllers share.
    controller_count
        The number of controllers.
    """

    def __init__(self, runtime: Runtime, address: str, limits: CloudLimits, controller_count: int) -> None:
        rate = limits.requests_per_second * (USED_RATIO_ALONE if controller_count == 1 else USED_RATIO_WITH_OTHERS)
        rate_limiter = RateLimiter(runtime, TokenBucket(rate, rate))
        self._client = ServiceClient(runtime, address, SERVICE_NAME, rate_limiter, MAX_QUEUE_TIME, CALL_TIMEOUT)

    def list_machine_types(self, on_machine_types: Callable[[list[MachineType] | None], None]) -> None:
        """Read the machine types; `on_machine_types` gets None if the call failed."""

        def on_response(response: Response | None) -> None:
            on_machine_types(self._client.decode_success(decode_machine_types, response))

        self._client.call(ServiceCall(CallPriority.READ, "GET", MACHINE_TYPES_PATH), on_response)

    def rent(
        self,
        request_id: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        on_result: Callable[[RentResult], None],
    ) -> None:
        """Rent machines.

        Parameters
        ----------
        request_id
            The idempotency key: a repeated request with the same key rents no further machines.
        machine_type, zone, spot
            The name of the machine type, its zone, and whether to rent spot instances.
        count
            How many machines to rent.
        on_result
            Called with the result.
        """

        def on_response(response: Response | None) -> None:
            hosts = self._client.decode_success(decode_rented_hosts, response)
            on_result(RentResult(hosts, response is not None and _is_refusal(response)))

        body = encode_rent_request(request_id, machine_type, zone, spot, count)
        self._client.call(ServiceCall(CallPriority.COMMIT, "POST", RENTALS_PATH, body), on_response)

    def return_machines(self, hosts: list[str], on_returned: Callable[[bool], None]) -> None:
        """Return at most `MAX_RETURNS_PER_CALL` machines.

        `on_returned(True)` proves that the machines and everything on them are gone; False proves nothing.
        """

        def on_response(response: Response | None) -> None:
            on_returned(response is not None and response.status == HTTPStatus.OK)

        request = ServiceCall(CallPriority.COMMIT, "POST", RETURN_PATH, encode_return_request(hosts))
        self._client.call(request, on_response)

    def list_machines(self, on_machines: Callable[[list[ListedMachine] | None], None]) -> None:
        """Read the whole list of rented machines; `on_machines` gets None if a page of the list could not be read."""

        def on_pages(pages: list[MachinePage] | None) -> None:
            on_machines(None if pages is None else [machine for page in pages for machine in page.machines])

        request = PagedRequest(CallPriority.HOUSEKEEPING, RENTALS_PATH, {}, RENTALS_PAGE_SIZE)
        self._client.read_pages(request, decode_machine_page, _last_host, on_pages)


def _is_refusal(response: Response) -> bool:
    """Return whether a response to a rental says that nothing was rented and that repeating it would not help."""
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return NO_CAPACITY in response.body
    return response.status == HTTPStatus.BAD_REQUEST


def _last_host(page: MachinePage) -> str | None:
    return page.machines[-1].host if page.machines else None
