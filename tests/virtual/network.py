"""The virtual network, with the faults that tests inject: cut links, lost, duplicated and delayed messages."""

import json
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from virtual.clock import MILLISECOND, SECOND, VirtualClock

if TYPE_CHECKING:
    from virtual.agent import Agent
    from virtual.node import Node

#: The addresses of the key-value store and the cloud.
STORE, CLOUD = "state", "cloud"
#: Sends a response, given its status and its body: bytes, or a value that is encoded as JSON.
Respond = Callable[[int, Any], None]


@dataclass
class Response:
    """An HTTP response as the caller receives it."""

    status: int
    body: bytes


def ignore_response(status: int, body: Any) -> None:
    """Discard the response to a request whose caller does not wait for it."""


def encode_body(body: Any) -> bytes:
    """Return the body of a response as bytes, encoded as JSON unless it is bytes already."""
    return body if isinstance(body, bytes) else json.dumps(body).encode()


@dataclass
class SlowLink:
    """A link between two hosts that delays each message by a random time.

    `in_order`: whether messages of the same sender arrive in the order in which they were sent.
    """

    in_order: bool
    #: The arrival of the latest message in each direction, by its sender.
    latest_arrival: dict[str, timedelta] = field(default_factory=dict)

    MIN_DELAY_S, MAX_DELAY_S = 0.2, 2.0

    def delay(self, rng: random.Random, sender: str, now: timedelta) -> timedelta:
        """Return the random delay of a message that is sent now."""
        arrival = now + rng.uniform(self.MIN_DELAY_S, self.MAX_DELAY_S) * SECOND
        if self.in_order:
            arrival = max(arrival, self.latest_arrival.get(sender, arrival))
        self.latest_arrival[sender] = arrival
        return arrival - now


class VirtualNetwork(VirtualClock):
    """Carries requests between hosts, which are addressed by name; each fault lasts until it is ended."""

    controller_names: list[str]
    nodes: dict[str, "Node"]
    agents: dict[str, "Agent"]

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.cut_links: set[frozenset[str]] = set()
        #: Whether requests over a cut link are delivered when it is healed; otherwise they are lost.
        self.holds_requests_on_cut_links = False
        self.held_requests: list[tuple[frozenset[str], Callable[[], None]]] = []
        #: The time between two held requests when a link is healed, in which the receiver may act on the first one.
        self.held_request_interval = timedelta(0)
        #: Hosts whose requests arrive, while the responses to these requests are lost.
        self.hosts_without_responses: set[str] = set()
        self.slow_links: dict[frozenset[str], SlowLink] = {}
        # The probabilities of faults, for each message or request.
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.late_heartbeat_rate = 0.0
        self.late_write_rate = 0.0
        #: The longest time that the key-value store takes before it handles a request.
        self.max_store_delay_s = 0.0

    # Faults of links.

    def cut_link(self, one: str, other: str) -> None:
        """Stop all messages between two hosts."""
        self.cut_links.add(frozenset((one, other)))

    def isolate(self, name: str, *kept: str) -> None:
        """Cut the links of a host to all other hosts except those in `kept`."""
        for other in [STORE, CLOUD, *self.controller_names, *self.agents]:
            if other != name and other not in kept:
                self.cut_link(name, other)

    def isolate_with(self, name: str, hosts: Collection[str]) -> None:
        """Cut a controller and some machines off from everything else; the controller still reaches these machines."""
        self.isolate(name, *hosts)
        for host in hosts:
            for other in self.controller_names:
                if other != name:
                    self.cut_link(host, other)

    def heal(self) -> None:
        """Restore all cut links, stop the loss of responses, and deliver the held requests."""
        self.hosts_without_responses.clear()
        self.heal_links(self.cut_links)

    def heal_links(self, links: Collection[frozenset[str]]) -> None:
        """Restore some cut links, and deliver the requests that were held on them, in the order of their sending."""
        healed = set(links)
        self.cut_links -= healed
        held = [deliver for link, deliver in self.held_requests if link in healed]
        self.held_requests = [(link, deliver) for link, deliver in self.held_requests if link not in healed]
        for number, deliver in enumerate(held):
            self.after(5 * MILLISECOND + number * self.held_request_interval, deliver)

    def slow_down_links(self, one: str, others: Collection[str], in_order: bool) -> None:
        """Delay the messages between a host and each of the others, in both directions."""
        for other in others:
            self.slow_links[frozenset((one, other))] = SlowLink(in_order)

    def restore_link_speed(self) -> None:
        """End all slow links."""
        self.slow_links.clear()

    def _is_link_up(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut_links

    # Requests.

    def send(
        self,
        source: str,
        target: str,
        request: Callable[[Respond], None],
        timeout: timedelta,
        on_response: Callable[[Response | None], None],
    ) -> None:
        """Carry a request and its response, which may be lost or late; the request may also be duplicated.

        `on_response` is called once, with None if there was no response in time.
        """
        is_finished = False

        def finish(response: Response | None) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                on_response(response)

        def respond(status: int, body: Any) -> None:
            # The body is encoded now, as its parts may change before the response arrives.
            response = Response(status, encode_body(body))
            if self._may_respond(source, target) and self.rng.random() >= self.loss_rate:
                self.after(self._delay(target, source), lambda: finish(response))

        def deliver() -> None:
            if self._is_link_up(source, target):
                request(respond)
            elif self.holds_requests_on_cut_links:
                # The request is handled when the link is healed, although its caller no longer waits for it.
                self.held_requests.append((frozenset((source, target)), lambda: request(ignore_response)))

        if self.rng.random() >= self.loss_rate:
            self.after(self._delay(source, target), deliver)
        self._schedule_duplicates(source, request)
        self.after(timeout, lambda: finish(None))

    def _may_respond(self, source: str, target: str) -> bool:
        return self._is_link_up(source, target) and source not in self.hosts_without_responses

    def _schedule_duplicates(self, source: str, request: Callable[[Respond], None]) -> None:
        """Schedule second deliveries of the request, whose responses are discarded."""
        if source in self.agents and self.rng.random() < self.late_heartbeat_rate:
            # The copy is between a second and several times the duration of an agent's lease late.
            self.after(self.rng.uniform(1, 40) * SECOND, lambda: request(ignore_response))
        if self.rng.random() < self.duplication_rate:
            self.after(self.rng.random() * 20 * SECOND, lambda: request(ignore_response))

    def after_store_delay(self, action: Callable[[], None]) -> None:
        """Execute a request to the key-value store, at once or after a random delay of up to `max_store_delay_s`."""
        if self.max_store_delay_s:
            self.after(self.rng.random() * self.max_store_delay_s * SECOND, action)
        else:
            action()

    def _delay(self, sender: str, receiver: str) -> timedelta:
        link = self.slow_links.get(frozenset((sender, receiver)))
        if link is not None:
            return link.delay(self.rng, sender, self.now)
        return (1 + self.rng.random() * 4) * MILLISECOND
