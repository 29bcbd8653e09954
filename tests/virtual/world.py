"""The virtual world for whole controllers: a clock, a faulty network, and simulated services, agents and users.

The simulated services are written for simplicity rather than speed. `InvariantChecker` checks what actually happens on
the machines.
"""

import json
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ramptide.config.features import Features
from ramptide.controller.controller import Controller
from virtual.agent import HEARTBEAT_INTERVAL_S, LEASE_S, Agent
from virtual.cloud import Cloud
from virtual.invariants import InvariantChecker
from virtual.jobs import job_spec
from virtual.key_value_store import KeyValueStore
from virtual.network import VirtualNetwork
from virtual.node import Node
from virtual.observer import Observer


class World(VirtualNetwork):
    """All hosts, and the jobs of the users; the same seed reproduces the same history."""

    def __init__(
        self,
        seed: int,
        teams: dict[str, float] | None = None,
        capacity: int = 12,
        members: int = 3,
        features: Features | None = None,
        observer: Observer | None = None,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        lease_s: float = LEASE_S,
    ) -> None:
        super().__init__(random.Random(seed))
        self.observer = observer
        # What the controllers have sent: requests by method and path, bytes by receiver, and the longest body in bytes.
        self.request_counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.longest_body_bytes = 0
        # The settings of controllers that are started from now on, which agents follow as well.
        self.heartbeat_interval_s, self.lease_s = heartbeat_interval_s, lease_s
        self.cancel_timeout_s = 20.0
        self.store_limits = {"rps": 300.0, "write_rps": 150.0, "value_kb": 16.0, "txn_ops": 12}
        #: The limit of each team in CPUs; 0 for no limit.
        self.teams = teams or {"team": 0.0}
        #: The guarantees of teams in CPUs.
        self.guarantees: dict[str, float] = {}
        self.features = features
        #: Whether errors are brought about in controllers, which keep them from ending other work.
        self.expects_errors = False
        # The hosts.
        self.store = KeyValueStore(self)
        self.cloud = Cloud(self, capacity)
        self.invariants = InvariantChecker(self)
        self.controller_names = [f"c{n}" for n in range(members)]
        self.nodes: dict[str, Node] = {name: Node(self, name) for name in self.controller_names}
        self.agents: dict[str, Agent] = {}
        # The jobs, as users know them.
        self.job_specs: dict[str, dict[str, Any]] = {}
        self.accepted_jobs: set[str] = set()
        self.cancel_requested: set[str] = set()
        #: When the cancellation of each cancelled job was confirmed.
        self.cancelled_at: dict[str, timedelta] = {}
        #: Jobs that are at fault themselves, with the seconds after which their tasks fail on every machine.
        self.failure_delays: dict[str, float] = {}

    def command_address(self, host: str) -> str:
        """Return the address for direct commands to an agent."""
        return host

    def observed(self, controller_name: str, respond: Callable[..., None]) -> Callable[..., None]:
        """Return a callback that reports a controller's response to the observer before it passes the response on."""
        observer = self.observer
        if observer is None:
            return respond

        def observe_and_respond(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            observer.on_response(self.now, controller_name, status, body, headers or {})
            if headers is None:
                respond(status, body)
            else:
                respond(status, body, headers)

        return observe_and_respond

    # Users.

    def define_job(self, job_id: str, **fields: Any) -> None:
        """Define a job that may be submitted later; `fields` override those of `job_spec`."""
        self.job_specs[job_id] = job_spec(job_id, **fields)

    def request(self, controller_name: str, call: Callable[[Controller], None]) -> None:
        """Send a user's request to a controller."""
        self.nodes[controller_name].request(call, deferrable=True)

    def submit_until_accepted(self, job_id: str, controller_name: str, tries: int = 20) -> bool:
        """Submit a job to the controller, then to random ones, until it is accepted; return whether it was."""
        statuses: list[int] = []
        body = json.dumps(self.job_specs[job_id]).encode()

        def on_response(status: int, _body: bytes, _headers: dict[str, str]) -> None:
            statuses.append(status)

        for try_number in range(tries):
            target = controller_name if try_number == 0 else self.rng.choice(self.controller_names)
            self._submit(target, body, on_response)
            self.run(1.0)
            if statuses and statuses[-1] in (200, 201):
                return True
        return False

    def _submit(self, controller_name: str, body: bytes, on_response: Callable[..., None]) -> None:
        respond = self.observed(controller_name, on_response)
        self.request(controller_name, lambda controller: controller.job_api.submit(body, respond))

    def poll_job(self, job_id: str, controller_name: str) -> tuple[int, dict[str, Any]] | None:
        """Poll a job; return the status and the decoded body of the response, or None if there was none in time."""
        responses: list[tuple[int, dict[str, Any]]] = []

        def on_response(status: int, body: bytes, _headers: dict[str, str]) -> None:
            responses.append((status, json.loads(body)))

        respond = self.observed(controller_name, on_response)
        self.request(controller_name, lambda controller: controller.job_api.poll(job_id, respond))
        self.run(2.0)
        return responses[0] if responses else None

    def cancel_job(self, job_id: str, controller_name: str) -> bool:
        """Cancel a job; return whether the cancellation was confirmed in time."""
        statuses: list[int] = []

        def on_response(status: int, _body: bytes, _headers: dict[str, str]) -> None:
            statuses.append(status)

        respond = self.observed(controller_name, on_response)
        self.request(controller_name, lambda controller: controller.job_api.cancel(job_id, respond))
        self.run_until(lambda: bool(statuses), 3)
        if statuses == [200]:
            self.cancelled_at.setdefault(job_id, self.now)
            return True
        return False

    def is_done(self, job_id: str) -> bool:
        """Return whether the job is recorded as done in the key-value store."""
        entry = self.store.entries.get(f"ended/{job_id}")
        return entry is not None and entry.value["status"] == "done"


def started_world(seed: int = 1, **options: Any) -> World:
    """Start the controllers of a new world; return it once the first view is reconciled at all of them."""
    world = World(seed, **options)
    for node in world.nodes.values():
        node.start()
    assert world.run_until(
        lambda: all(node.controller is not None and node.controller.state.reconciled for node in world.nodes.values()),
        10,
    )
    return world


def owner_of(world: World, host: str) -> str:
    """Return the controller that owns the machine."""
    for name, node in world.nodes.items():
        if (
            node.controller is not None
            and node.controller.state.shard is not None
            and host in node.controller.state.shard.machines
        ):
            return name
    raise AssertionError("no controller owns the machine")


def leader_of(world: World) -> str:
    """Return the controller that is the leader."""
    for name, node in world.nodes.items():
        if node.controller is not None and node.controller.membership.is_leading:
            return name
    raise AssertionError("no controller is the leader")
