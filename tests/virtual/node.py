"""A controller's process in the virtual world, and the runtime that connects it to that world."""

import json
import random
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from ramptide.controller.controller import Controller
from ramptide.protocol.agents import COMMANDS_PATH, INSPECT_PATH
from ramptide.protocol.key_value_store import TRANSACTION_PATH
from ramptide.protocol.settings_file import decode_settings
from ramptide.transport.isolated_errors import ERROR_COUNTER
from ramptide.transport.runtime import Request
from virtual.clock import EPOCH, SECOND
from virtual.network import CLOUD, STORE, Respond, Response, ignore_response
from virtual.settings import cluster_settings

if TYPE_CHECKING:
    from virtual.world import World

FD_LIMIT = 1000


class VirtualTimerHandle:
    """A scheduled call in a process."""

    def __init__(self) -> None:
        self.is_pending = True

    def cancel(self) -> None:
        """Prevent the call."""
        self.is_pending = False


class VirtualRuntime:
    """The runtime of one process in the virtual world; once the process has ended, none of its callbacks is called."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.world = node.world
        self.alive = True
        self.rng = random.Random(self.world.rng.random())

    @property
    def now(self) -> timedelta:
        """The monotonic time."""
        return self.world.now

    def wall(self) -> datetime:
        """Return the wall-clock time."""
        return EPOCH + self.world.now

    def after(self, delay: timedelta, action: Callable[[], None]) -> VirtualTimerHandle:
        """Schedule a call, which is not made if the process ends first."""
        handle = VirtualTimerHandle()

        def fire() -> None:
            if self.alive and handle.is_pending:
                self.node.dispatch(self, action)

        self.world.after(delay, fire)
        return handle

    def call(self, request: Request, on_response: Callable[[Response | None], None]) -> None:
        """Send a request; `on_response` gets the response, or None if there was none in time."""
        address, target = request.address, request.target

        def finish(response: Response | None) -> None:
            if self.alive:
                self.node.dispatch(self, lambda: on_response(response))

        self._notify_observer(request)
        if address == STORE and target == TRANSACTION_PATH and self.rng.random() < self.world.late_write_rate:
            self._write_late(request)
            self.world.after(request.timeout, lambda: finish(None))
            return
        self.world.request_counts[request.method + " " + urlsplit(target).path.split("/")[1]] += 1
        self.world.sent_bytes[address] += len(request.body)
        self.world.longest_body_bytes = max(self.world.longest_body_bytes, len(request.body))
        self.world.send(
            self.node.name, address, lambda respond: self._deliver(request, respond), request.timeout, finish
        )

    def _notify_observer(self, request: Request) -> None:
        observer = self.world.observer
        if observer is not None:
            observer.on_request(
                self.now,
                self.node.name,
                request.address,
                request.method,
                request.target,
                request.content_type,
                request.body,
                request.timeout,
            )

    def _write_late(self, request: Request) -> None:
        """Schedule a write for well after newer writes of the same controller; its response is discarded."""
        delay = self.world.rng.uniform(2, 12) * SECOND
        name, store = self.node.name, self.world.store
        self.world.after(
            delay, lambda: store.handle(name, request.method, request.target, request.body, ignore_response)
        )

    def _deliver(self, request: Request, respond: Respond) -> None:
        """Pass a request that has arrived to the simulated service or the controller at its address."""
        world = self.world
        address, method, target, body = request.address, request.method, request.target, request.body
        if address == STORE:
            world.after_store_delay(lambda: world.store.handle(self.node.name, method, target, body, respond))
        elif address == CLOUD:
            world.cloud.handle(method, target, body, respond)
        elif address in world.agents:
            agent = world.agents[address]
            if target == COMMANDS_PATH:
                agent.handle_commands(json.loads(body), respond)
            else:
                assert (method, target) == ("GET", INSPECT_PATH)
                agent.inspect(respond)
        else:
            world.nodes[address].deliver_peer_message(body, respond)


class Node:
    """A host for a controller, whose process can be killed and started again."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.controller: Controller | None = None
        self._runtime: VirtualRuntime | None = None
        self._start_count = 0
        self._frozen_until = timedelta(0)
        #: The time that a slow process takes for each event; 0 for none. Events that arrive meanwhile are queued, and
        #: deferrable ones, such as the requests of users, are handled last.
        self.event_cost = timedelta(0)
        self._urgent_events: deque[Callable[[], object]] = deque()
        self._deferrable_events: deque[Callable[[], object]] = deque()
        self._is_handling_events = False

    # The process.

    def start(self) -> None:
        """Start a new process of the controller."""
        self._start_count += 1
        self._runtime = VirtualRuntime(self)
        settings = decode_settings(json.dumps(self._settings()).encode())
        incarnation = f"{self.name}-{self._start_count}"
        self.controller = Controller(self._runtime, settings, incarnation, self.world.features)
        self.controller.start()

    def _settings(self) -> dict[str, object]:
        peers = [name for name in self.world.controller_names if name != self.name]
        return {
            "member": self.name, "area": "a", "client_listen": "h:1", "peer_bind": "h:2",
            "siblings": [{"member": name, "area": "a", "addr": name} for name in peers],
            "outside": {"cloud": CLOUD, "state": STORE},
            "cluster": cluster_settings(self.world, FD_LIMIT),
        }  # fmt: skip

    def kill(self) -> None:
        """Kill the process, without notice to other hosts."""
        if self._runtime is not None:
            self._runtime.alive = False
        self.controller = None
        self._frozen_until = timedelta(0)

    def freeze(self, seconds: float) -> None:
        """Suspend the process while its clocks continue to run; then all pending events are due at once."""
        self._frozen_until = self.world.now + seconds * SECOND

    # Events.

    def request(
        self,
        call: Callable[[Controller], None],
        on_not_running: Callable[[], None] = lambda: None,
        deferrable: bool = False,
    ) -> None:
        """Deliver a request to the process; `on_not_running` is called if there is no process.

        `deferrable`: whether a slow process may handle it after all other events.
        """
        controller, runtime = self.controller, self._runtime
        if controller is None or runtime is None:
            on_not_running()
        else:
            self.dispatch(runtime, lambda: call(controller), deferrable)

    def deliver_heartbeat(self, body: bytes, respond: Respond) -> None:
        """Deliver an agent's heartbeat to the process."""
        observed_respond = self.world.observed(self.name, respond)

        def handle(controller: Controller) -> None:
            controller.heartbeats.receive_heartbeat(body, observed_respond)

        self.request(handle, lambda: respond(503, {}))

    def deliver_peer_message(self, body: bytes, respond: Respond) -> None:
        """Deliver a message from another controller to the process."""
        observed_respond = self.world.observed(self.name, respond)

        def handle(controller: Controller) -> None:
            response = controller.peer_messages.receive(body)
            observed_respond(503 if response is None else 200, response or b"")

        self.request(handle, lambda: respond(503, b""))

    def dispatch(self, runtime: VirtualRuntime, action: Callable[[], None], deferrable: bool = False) -> None:
        """Handle an event, now or when the process has time for it, unless the process has ended by then."""
        if self.world.now < self._frozen_until:
            remaining = self._frozen_until - self.world.now
            self.world.after(remaining, lambda: self._dispatch_if_alive(runtime, action, deferrable))
            return
        if not self.event_cost:
            action()
            self._check_errors()
            return
        queue = self._deferrable_events if deferrable else self._urgent_events
        queue.append(lambda: action() if runtime.alive else None)
        if not self._is_handling_events:
            self._is_handling_events = True
            self._handle_next_event()

    def _check_errors(self) -> None:
        """Fail the test for an error that the controller has kept from ending other work, unless errors are expected.

        The error itself is in the log.
        """
        if self.controller is not None and not self.world.expects_errors:
            assert not self.controller.state.counters[ERROR_COUNTER], f"{self.name}: work left out, see the log"

    def _dispatch_if_alive(self, runtime: VirtualRuntime, action: Callable[[], None], deferrable: bool) -> None:
        if runtime.alive:
            self.dispatch(runtime, action, deferrable)

    def _handle_next_event(self) -> None:
        queue = self._urgent_events or self._deferrable_events
        if not queue:
            self._is_handling_events = False
            return
        queue.popleft()()
        self._check_errors()
        self.world.after(self.event_cost, self._handle_next_event)

    @property
    def backlog(self) -> int:
        """The number of queued events."""
        return len(self._urgent_events) + len(self._deferrable_events)
