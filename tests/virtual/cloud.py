"""A simulated cloud that rents out machines."""

import itertools
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from ramptide.protocol.cloud import MACHINE_TYPES_PATH, RETURN_PATH
from virtual.agent import MACHINE_CPUS, MACHINE_RAM_GB, MACHINE_TYPE, Agent
from virtual.clock import SECOND
from virtual.network import Respond

if TYPE_CHECKING:
    from virtual.world import World

#: The time from the rental of a machine until it appears in the cloud's list.
LIST_LAG = 2 * SECOND


class Cloud:
    """Rents out machines of one type in two zones.

    `capacity`: how many machines can be rented at the same time.
    """

    def __init__(self, world: "World", capacity: int) -> None:
        self.world = world
        self.capacity = capacity
        #: How many on-demand machines, and how many spot machines, each zone has; None for no such limit.
        self.pool_capacity: int | None = None
        #: The shortest and the longest time that a machine takes to boot.
        self.boot_seconds = (1.0, 6.0)
        self.is_down = False
        #: The hosts that were rented out for each request, by its idempotency key.
        self.hosts_by_request_id: dict[str, list[str]] = {}
        self.listing: dict[str, dict[str, Any]] = {}
        self._host_numbers = itertools.count()

    def handle(self, method: str, target: str, body: bytes, respond: Respond) -> None:
        """Handle a request."""
        path = urlsplit(target).path
        if self.is_down:
            respond(503, {"error": "trouble"})
        elif path == MACHINE_TYPES_PATH:
            self._list_machine_types(respond)
        elif path == RETURN_PATH:
            self._return(json.loads(body)["hosts"], respond)
        elif method == "POST":
            self._rent(json.loads(body), respond)
        else:
            respond(200, {"hosts": sorted(self.listing.values(), key=lambda row: row["ref"]), "more": False})

    @staticmethod
    def _list_machine_types(respond: Respond) -> None:
        machine_type = {
            "name": MACHINE_TYPE, "cores": MACHINE_CPUS, "cards": 0, "ramGb": MACHINE_RAM_GB, "cacheGb": 20,
            "fetchGbPerS": 1.0, "rate": 1.0, "spotPrice": 0.4, "bootS": 4, "yards": ["a", "b"],
        }  # fmt: skip
        respond(200, {"rigs": [machine_type]})

    def _return(self, hosts: list[str], respond: Respond) -> None:
        for host in hosts:
            agent = self.world.agents.get(host)
            if agent is not None:
                agent.terminate()
            self.listing.pop(host, None)
        respond(200, {})

    def _rent(self, request: dict[str, Any], respond: Respond) -> None:
        request_id = request["hire"]
        if request_id in self.hosts_by_request_id:
            respond(200, {"hosts": self.hosts_by_request_id[request_id]})
            return
        zone, spot = request["yard"], request["loaners"]
        free = self._free_capacity(zone, spot)
        if free <= 0:
            respond(503, {"error": "no capacity"})
            return
        hosts = [self._create_agent(zone, spot) for _ in range(min(request["howMany"], free))]
        self.hosts_by_request_id[request_id] = hosts
        respond(200, {"hosts": hosts})

    def _free_capacity(self, zone: str, spot: bool) -> int:
        """Return how many more machines of the zone and purchase option can be rented."""
        rented = [(agent.zone, agent.spot) for agent in self.world.agents.values() if agent.alive]
        free = self.capacity - len(rented)
        if self.pool_capacity is not None:
            free = min(free, self.pool_capacity - rented.count((zone, spot)))
        return free

    def _create_agent(self, zone: str, spot: bool) -> str:
        host = f"vm-{next(self._host_numbers):06d}"
        agent = Agent(self.world, host, zone, spot)
        self.world.agents[host] = agent
        self.world.after(self.world.rng.uniform(*self.boot_seconds) * SECOND, agent.boot)
        self.world.after(LIST_LAG, lambda: self._list_agent(agent))
        return host

    def _list_agent(self, agent: Agent) -> None:
        row = {
            "ref": agent.host, "rig": MACHINE_TYPE, "yard": agent.zone, "loaners": agent.spot, "status": "running",
        }  # fmt: skip
        if agent.alive:
            self.listing.setdefault(agent.host, row)
