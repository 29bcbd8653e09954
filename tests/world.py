"""A virtual world for whole controllers: a clock, a faulty network, and stand-ins that speak the protocol.

The stand-ins are plain and slow on purpose, and `Rules` watches what really happens on the machines.
"""

import heapq
import itertools
import json
import random
from collections import Counter, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote, urlsplit

from ramptide.app import Controller
from ramptide.parts import Parts
from ramptide.protocol.agents import COMMANDS_PATH, INSPECT_PATH
from ramptide.protocol.cloud import MACHINE_TYPES_PATH, RETURN_PATH
from ramptide.protocol.key_value_store import KEYS_PATH, LEASES_PATH, TRANSACTION_PATH, WATCH_PATH
from ramptide.protocol.settings_file import decode_settings

S = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)

STATE, CLOUD = "state", "cloud"
Answer = Callable[[int, Any], None]


class Observer(Protocol):
    """Told of all that controllers send, in the order in which they send it."""

    def called(
        self, now: timedelta, sender: str, address: str, method: str, target: str, kind: str, body: bytes,
        timeout: timedelta,
    ) -> None: ...  # fmt: skip

    def answered(self, now: timedelta, sender: str, status: int, body: bytes, headers: dict[str, str]) -> None: ...


@dataclass
class Reply:
    status: int
    body: bytes


@dataclass
class SlowLink:
    """Each message between two hosts takes from a fifth of a second to two seconds."""

    in_order: bool
    #: When the latest message of each direction arrives, by its sender.
    latest: dict[str, timedelta] = field(default_factory=dict)

    FASTEST, SLOWEST = 0.2, 2.0

    def delay(self, rng: random.Random, sender: str, now: timedelta) -> timedelta:
        arrival = now + rng.uniform(self.FASTEST, self.SLOWEST) * S
        if self.in_order:
            arrival = max(arrival, self.latest.get(sender, arrival))
        self.latest[sender] = arrival
        return arrival - now


class World:
    def __init__(
        self,
        seed: int,
        teams: dict[str, float] | None = None,
        capacity: int = 12,
        members: int = 3,
        parts: Parts | None = None,
        observer: Observer | None = None,
    ) -> None:
        self.observer = observer
        self.rng = random.Random(seed)
        self.now = timedelta(0)
        self._heap: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.cuts: set[frozenset[str]] = set()
        self.holding: list[Callable[[], None]] = []
        self.hold_mode = False
        self.loss = 0.0
        self.repeat = 0.0
        self.late_reports = 0.0
        self.late_writes = 0.0
        self.slow_state = 0.0
        self.deaf: set[str] = set()
        self.slow_links: dict[frozenset[str], SlowLink] = {}
        self.calls: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.longest_message = 0
        self.cancel_s = 20.0
        self.limits = {"rps": 300.0, "write_rps": 150.0, "value_kb": 16.0, "txn_ops": 12}
        self.teams = teams or {"team": 0.0}
        self.guarantees: dict[str, float] = {}
        #: The parts that are on at controllers that start from now on.
        self.parts = parts
        self.state = StateService(self)
        self.cloud = CloudService(self, capacity)
        self.rules = Rules(self)
        self.names = [f"c{n}" for n in range(members)]
        self.nodes: dict[str, Node] = {name: Node(self, name) for name in self.names}
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled: dict[str, timedelta] = {}
        self.called_off: set[str] = set()
        self.accepted_jobs: set[str] = set()
        #: Jobs submitted with a mistake: their tasks fail on every machine, after so many seconds.
        self.bad: dict[str, float] = {}

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + max(delay, timedelta(0)), next(self._order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds * S
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        for _ in range(int(seconds * 10)):
            if condition():
                return True
            self.run(0.1)
        return condition()

    # The network.

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def isolate(self, name: str, *kept: str) -> None:
        for other in [STATE, CLOUD, *self.names, *self.workers]:
            if other != name and other not in kept:
                self.cut(name, other)

    def cut_off(self, name: str, hosts: Collection[str]) -> None:
        """A controller and some machines hear only each other."""
        self.isolate(name, *hosts)
        for host in hosts:
            for other in self.names:
                if other != name:
                    self.cut(host, other)

    def slow_down(self, one: str, others: Collection[str], in_order: bool) -> None:
        """Messages between the host and each of the others take a while, in both directions."""
        for other in others:
            self.slow_links[frozenset((one, other))] = SlowLink(in_order)

    def speed_up(self) -> None:
        self.slow_links.clear()

    def heal(self) -> None:
        self.cuts.clear()
        self.deaf.clear()
        held, self.holding = self.holding, []
        for deliver in held:
            self.after(5 * MS, deliver)

    def _open(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def send(
        self,
        source: str,
        target: str,
        request: Callable[[Answer], None],
        timeout: timedelta,
        done: Callable[[Reply | None], None],
    ) -> None:
        """A request and its answer; either may be lost, late or repeated, and `done` is called once."""
        state = {"over": False}

        def finish(reply: Reply | None) -> None:
            if not state["over"]:
                state["over"] = True
                done(reply)

        def answer(status: int, body: Any) -> None:
            raw = body if isinstance(body, bytes) else json.dumps(body).encode()
            if self._open(source, target) and source not in self.deaf and self.rng.random() >= self.loss:
                self.after(self._delay(target, source), lambda: finish(Reply(status, raw)))

        def deliver() -> None:
            if self._open(source, target):
                request(answer)
            elif self.hold_mode:
                # The cut holds packets: the request is carried out once it ends, though nobody waits any more.
                self.holding.append(lambda: request(lambda status, body: None))

        if self.rng.random() >= self.loss:
            self.after(self._delay(source, target), deliver)
        self._repeat_later(source, request)
        self.after(timeout, lambda: finish(None))

    def _repeat_later(self, source: str, request: Callable[[Answer], None]) -> None:
        """Copies of the request, whose answers nobody waits for."""
        if source in self.workers and self.rng.random() < self.late_reports:
            # A copy of a report, from seconds to well over a lease late.
            self.after(self.rng.uniform(1, 40) * S, lambda: request(lambda status, body: None))
        if self.rng.random() < self.repeat:
            self.after(self.rng.random() * 20 * S, lambda: request(lambda status, body: None))

    def slowly(self, action: Callable[[], None]) -> None:
        """What the state service does, at once or up to `slow_state` seconds later."""
        if self.slow_state:
            self.after(self.rng.random() * self.slow_state * S, action)
        else:
            action()

    def _delay(self, sender: str, receiver: str) -> timedelta:
        link = self.slow_links.get(frozenset((sender, receiver)))
        if link is not None:
            return link.delay(self.rng, sender, self.now)
        return (1 + self.rng.random() * 4) * MS

    def address_of(self, host: str) -> str:
        """Where a worker takes direct commands."""
        return host

    def observed(self, node: str, answer: Callable[..., None]) -> Callable[..., None]:
        """The answer of a controller to a user, a worker or a peer, shown to the observer on its way."""
        observer = self.observer
        if observer is None:
            return answer

        def show(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            observer.answered(self.now, node, status, body, headers or {})
            if headers is None:
                answer(status, body)
            else:
                answer(status, body, headers)

        return show

    # Users.

    def submit(self, ref: str, **fields: Any) -> None:
        self.jobs[ref] = job(ref, **fields)

    def accepted(self, ref: str, node: str, tries: int = 20) -> bool:
        """Submits until some node accepts."""
        got: list[int] = []
        body = json.dumps(self.jobs[ref]).encode()
        for attempt in range(tries):
            name = node if attempt == 0 else self.rng.choice(self.names)
            told = self.observed(name, lambda status, *_: got.append(status))
            self.ask(name, lambda c, told=told: c.desk.submit(body, told))  # type: ignore[misc]
            self.run(1.0)
            if got and got[-1] in (200, 201):
                return True
        return False

    def ask(self, node: str, call: Callable[[Controller], None]) -> None:
        self.nodes[node].ask(call, deferrable=True)

    def poll(self, ref: str, node: str) -> tuple[int, dict[str, Any]] | None:
        got: list[tuple[int, dict[str, Any]]] = []
        told = self.observed(node, lambda status, body, headers: got.append((status, json.loads(body))))
        self.ask(node, lambda c: c.desk.poll(ref, told))
        self.run(2.0)
        return got[0] if got else None

    def cancel(self, ref: str, node: str) -> bool:
        got: list[int] = []
        told = self.observed(node, lambda status, body, headers: got.append(status))
        self.ask(node, lambda c: c.desk.cancel(ref, told))
        self.run_until(lambda: bool(got), 3)
        if got == [200]:
            self.cancelled.setdefault(ref, self.now)
            return True
        return False

    def done(self, ref: str) -> bool:
        value = self.state.data.get(f"ended/{ref}")
        return value is not None and value[0]["status"] == "done"


def job(ref: str, **fields: Any) -> dict[str, Any]:
    return {
        "ref": ref, "jobclass": "c", "owner": "team", "shape": "batch", "rank": "normal", "pieces": 4, "cores": 2.0,
        "cards": 0.0, "ramGb": 4.0, "bundle": "img", "imageGb": 1.0, "oneZone": False, "spread": False,
        "loaners": False, "guessS": 5.0, "markEveryS": 0.0, "markCostS": 0.0,
    } | fields  # fmt: skip


class Handle:
    def __init__(self) -> None:
        self.live = True

    def cancel(self) -> None:
        self.live = False


class VirtualContext:
    """What one process sees of the world; a dead process sees nothing any more."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.world = node.world
        self.alive = True
        self.rng = random.Random(self.world.rng.random())

    @property
    def now(self) -> timedelta:
        return self.world.now

    def wall(self) -> datetime:
        return EPOCH + self.world.now

    def after(self, delay: timedelta, action: Callable[[], None]) -> Handle:
        handle = Handle()

        def fire() -> None:
            if self.alive and handle.live:
                self.node.awake(self, action)

        self.world.after(delay, fire)
        return handle

    def call(
        self, address: str, method: str, target: str, body: bytes, kind: str, timeout: timedelta, done: Any
    ) -> None:
        def finish(reply: Reply | None) -> None:
            if self.alive:
                self.node.awake(self, lambda: done(reply))

        self._show_call(address, method, target, kind, body, timeout)
        if address == STATE and target == TRANSACTION_PATH and self.rng.random() < self.world.late_writes:
            # No answer, and it is carried out well after newer ones of the same controller.
            late = self.world.rng.uniform(2, 12) * S
            name, state = self.node.name, self.world.state
            self.world.after(late, lambda: state.handle(name, method, target, body, lambda status, told: None))
            self.world.after(timeout, lambda: finish(None))
            return
        self.world.calls[method + " " + urlsplit(target).path.split("/")[1]] += 1
        self.world.sent_bytes[address] += len(body)
        self.world.longest_message = max(self.world.longest_message, len(body))

        def request(answer: Answer) -> None:
            if address == STATE:
                self.world.slowly(lambda: self.world.state.handle(self.node.name, method, target, body, answer))
            elif address == CLOUD:
                self.world.cloud.handle(method, target, body, answer)
            elif address in self.world.workers:
                worker = self.world.workers[address]
                if target == COMMANDS_PATH:
                    worker.take_orders(json.loads(body), answer)
                else:
                    assert (method, target) == ("GET", INSPECT_PATH)
                    worker.inspect(answer)
            else:
                told = self.world.observed(address, answer)
                self.world.nodes[address].ask(lambda c: take(c, told), lambda: answer(503, b""))

        def take(controller: Controller, answer: Answer) -> None:
            said = controller.syncing.take(body)
            answer(503 if said is None else 200, said or b"")

        self.world.send(self.node.name, address, request, timeout, finish)

    def _show_call(self, address: str, method: str, target: str, kind: str, body: bytes, timeout: timedelta) -> None:
        if self.world.observer is not None:
            self.world.observer.called(self.now, self.node.name, address, method, target, kind, body, timeout)


class Node:
    """A controller's place: its process can be killed and started again."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.controller: Controller | None = None
        self._context: VirtualContext | None = None
        self._starts = 0
        self._frozen_until = timedelta(0)
        #: What each event costs of a slow processor: what comes meanwhile waits its turn, users' requests last.
        self.event_cost = timedelta(0)
        self._urgent: deque[Callable[[], object]] = deque()
        self._deferrable: deque[Callable[[], object]] = deque()
        self._serving = False

    def freeze(self, seconds: float) -> None:
        """The process stands still while its clocks run on; timers and all that came in are due at once then."""
        self._frozen_until = self.world.now + seconds * S

    def awake(self, context: VirtualContext, action: Callable[[], None], deferrable: bool = False) -> None:
        """Does it now, or when the process goes on, if that still lives."""
        if self.world.now < self._frozen_until:
            left = self._frozen_until - self.world.now
            self.world.after(left, lambda: context.alive and self.awake(context, action, deferrable))
            return
        if not self.event_cost:
            action()
            return
        (self._deferrable if deferrable else self._urgent).append(lambda: context.alive and action())
        if not self._serving:
            self._serving = True
            self._serve()

    def _serve(self) -> None:
        queue = self._urgent or self._deferrable
        if not queue:
            self._serving = False
            return
        queue.popleft()()
        self.world.after(self.event_cost, self._serve)

    @property
    def backlog(self) -> int:
        """How many events wait for their turn."""
        return len(self._urgent) + len(self._deferrable)

    def ask(
        self,
        call: Callable[[Controller], None],
        dead: Callable[[], None] = lambda: None,
        deferrable: bool = False,
    ) -> None:
        """A request that reaches the process."""
        controller, context = self.controller, self._context
        if controller is None or context is None:
            dead()
        else:
            self.awake(context, lambda: call(controller), deferrable)

    def start(self) -> None:
        self._starts += 1
        self._context = VirtualContext(self)
        names = self.world.names
        settings = decode_settings(
            json.dumps(
                {
                    "member": self.name, "area": "a", "client_listen": "h:1", "peer_bind": "h:2",
                    "siblings": [{"member": n, "area": "a", "addr": n} for n in names if n != self.name],
                    "outside": {"cloud": CLOUD, "state": STATE},
                    "cluster": {
                        "nodes": len(names), "zones": ["a", "b"], "objectives": [],
                        "teams": [
                            {"name": n, "cpus": self.world.guarantees.get(n, 0.0), "cpus_max": most}
                            for n, most in self.world.teams.items()
                        ],
                        "workers": {"report_s": 1.0, "lease_s": 8.0, "cancel_s": self.world.cancel_s},
                        "state": self.world.limits,
                        "cloud": {"rps": 20.0, "list_lag_s": 2.0},
                        "quota": {"cpu": 1.0, "ram_mb": 200.0, "fd_limit": 1000},
                    },
                }
            ).encode()
        )  # fmt: skip
        self.controller = Controller(self._context, settings, f"{self.name}-{self._starts}", self.world.parts)
        self.controller.start()

    def kill(self) -> None:
        if self._context is not None:
            self._context.alive = False
        self.controller = None
        self._frozen_until = timedelta(0)


class StateService:
    """The state service's protocol, one change after the other."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.epoch = 0
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.grants: dict[int, tuple[timedelta, timedelta]] = {}
        self.log: list[dict[str, Any]] = []
        self.down = False
        self.refuses: set[str] = set()
        self._grant = itertools.count(1)

    def outage(self, seconds: float) -> None:
        self.down = True

        def end() -> None:
            self.down = False
            self.grants = {number: (self.world.now + life, life) for number, (_, life) in self.grants.items()}

        self.world.after(seconds * S, end)

    def _expire(self) -> None:
        if self.down:
            return
        for number, (until, _) in list(self.grants.items()):
            if until < self.world.now:
                del self.grants[number]
                lost = [key for key, row in self.data.items() if row[2] == number]
                if lost:
                    self._apply([], lost)

    def _apply(self, puts: list[tuple[str, Any, int | None]], drops: list[str]) -> None:
        self.epoch += 1
        for key, value, grant in puts:
            self.data[key] = (value, self.epoch, grant)
            self.log.append({"put": key, "v": value, "stamp": self.epoch})
        for key in drops:
            if self.data.pop(key, None) is not None:
                self.log.append({"drop": key, "stamp": self.epoch})

    def handle(self, caller: str, method: str, target: str, body: bytes, answer: Answer) -> None:
        self._expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == WATCH_PATH and not self.down and caller not in self.refuses:
            self._watch(query["prefix"], int(query["since"]), self.world.now + int(query["blockMs"]) * MS, answer)
        elif self.down or caller in self.refuses:
            answer(503, {})
        elif parts.path == KEYS_PATH:
            rows = [
                {"path": key, "v": row[0], "stamp": row[1]}
                for key, row in sorted(self.data.items())
                if key.startswith(query["prefix"]) and key > query.get("since", "")
            ]
            limit = int(query.get("limit", 1000))
            answer(200, {"rows": rows[:limit], "more": len(rows) > limit, "epoch": self.epoch})
        elif parts.path.startswith(KEYS_PATH + "/"):
            key = unquote(parts.path[len(KEYS_PATH) + 1 :])
            row = self.data.get(key)
            answer(404, {"epoch": self.epoch}) if row is None else answer(
                200, {"path": key, "v": row[0], "stamp": row[1]}
            )
        elif parts.path == TRANSACTION_PATH:
            self._txn(json.loads(body), answer)
        elif parts.path == LEASES_PATH:
            number, life = next(self._grant), json.loads(body)["lifeMs"] * MS
            self.grants[number] = (self.world.now + life, life)
            answer(200, {"tenancy": number})
        else:
            number = int(parts.path.split("/")[2])
            if method == "DELETE" and number in self.grants:
                self.grants[number] = (self.world.now - S, S)
                self._expire()
            if number not in self.grants:
                answer(404, {})
                return
            life = self.grants[number][1]
            self.grants[number] = (self.world.now + life, life)
            answer(200, {"tenancy": number})

    def _txn(self, txn: dict[str, Any], answer: Answer) -> None:
        failed = [one["path"] for one in txn["when"] if self.data.get(one["path"], (0, 0))[1] != one["stamp"]]
        if failed:
            answer(409, {"failed": failed, "epoch": self.epoch})
            return
        puts = [(one["put"], one["v"], one.get("tenancy")) for one in txn["then"] if "put" in one]
        if any(grant is not None and grant not in self.grants for _, _, grant in puts):
            answer(400, {"error": "no such lease"})
            return
        self._apply(puts, [one["drop"] for one in txn["then"] if "drop" in one])
        answer(200, {"epoch": self.epoch})

    def _watch(self, prefix: str, since: int, until: timedelta, answer: Answer) -> None:
        self._expire()
        news = [
            change
            for change in self.log
            if change["stamp"] > since and change.get("put", change.get("drop", "")).startswith(prefix)
        ]
        if (news or self.world.now >= until) and not self.down:
            answer(200, {"epoch": self.epoch, "news": news})
        else:
            self.world.after(20 * MS, lambda: self._watch(prefix, since, until, answer))


class CloudService:
    """Rents `Worker`s."""

    CORES, RAM = 8.0, 32.0

    def __init__(self, world: World, capacity: int) -> None:
        self.world = world
        self.capacity = capacity
        #: How many machines of one zone and kind there are at most, ordinary or spot.
        self.kind_capacity: int | None = None
        self.boots = (1.0, 6.0)
        self.down = False
        self.hires: dict[str, list[str]] = {}
        self.listed: dict[str, dict[str, Any]] = {}
        self._number = itertools.count()

    def handle(self, method: str, target: str, body: bytes, answer: Answer) -> None:
        path = urlsplit(target).path
        if self.down:
            answer(503, {"error": "trouble"})
        elif path == MACHINE_TYPES_PATH:
            rig = {
                "name": "m", "cores": self.CORES, "cards": 0, "ramGb": self.RAM, "cacheGb": 20, "fetchGbPerS": 1.0,
                "rate": 1.0, "spotPrice": 0.4, "bootS": 4, "yards": ["a", "b"],
            }  # fmt: skip
            answer(200, {"rigs": [rig]})
        elif path == RETURN_PATH:
            for host in json.loads(body)["hosts"]:
                worker = self.world.workers.get(host)
                if worker is not None:
                    worker.die()
                self.listed.pop(host, None)
            answer(200, {})
        elif method == "POST":
            self._rent(json.loads(body), answer)
        else:
            answer(200, {"hosts": sorted(self.listed.values(), key=lambda row: row["ref"]), "more": False})

    def _rent(self, wish: dict[str, Any], answer: Answer) -> None:
        if wish["hire"] in self.hires:
            answer(200, {"hosts": self.hires[wish["hire"]]})
            return
        room = self._room((wish["yard"], wish["loaners"]))
        if room <= 0:
            answer(503, {"error": "no capacity"})
            return
        hosts = [self._machine(wish) for _ in range(min(wish["howMany"], room))]
        self.hires[wish["hire"]] = hosts
        answer(200, {"hosts": hosts})

    def _room(self, kind: tuple[str, bool]) -> int:
        """How many more machines of the zone and kind can be rented."""
        rented = [(worker.yard, worker.spot) for worker in self.world.workers.values() if worker.alive]
        room = self.capacity - len(rented)
        if self.kind_capacity is not None:
            room = min(room, self.kind_capacity - rented.count(kind))
        return room

    def _machine(self, wish: dict[str, Any]) -> str:
        host = f"vm-{next(self._number):06d}"
        worker = Worker(self.world, host, wish["yard"], wish["loaners"])
        self.world.workers[host] = worker
        self.world.after(self.world.rng.uniform(*self.boots) * S, worker.boot)
        row = {"ref": host, "rig": "m", "yard": wish["yard"], "loaners": wish["loaners"], "status": "running"}
        self.world.after(2 * S, lambda: self.listed.setdefault(host, row) and None if worker.alive else None)
        return host


@dataclass
class Task:
    ref: str
    number: int
    attempt: int
    status: str = "fetching"
    cause: str | None = None


@dataclass
class Worker:
    """A machine as the protocol describes it."""

    world: World
    host: str
    yard: str
    spot: bool
    alive: bool = True
    booted: bool = False
    sick: bool = False
    tenure: int = 1
    tally: int = 0
    baton: int = 0
    node: int = 0
    tasks: dict[tuple[str, int, int], Task] = field(default_factory=dict)
    answered_sent: timedelta = timedelta(0)
    hung_until: timedelta = timedelta(0)

    LEASE = 8 * S

    def boot(self) -> None:
        if self.alive:
            self.booted = True
            self.node = self.world.rng.randrange(len(self.world.names))
            self.answered_sent = self.world.now
            self._watch_lease()
            self._report()

    def die(self) -> None:
        self.alive = False
        self.tasks.clear()

    def hang(self, seconds: float) -> None:
        """Nothing moves here for a while; then it goes on with what it had, its lease first."""
        self.hung_until = self.world.now + seconds * S
        self.world.after(seconds * S, self._check_lease)

    def _hangs(self, action: Callable[[], None]) -> bool:
        if self.world.now < self.hung_until:
            self.world.after(self.hung_until - self.world.now + MS, action)
            return True
        return False

    @property
    def holding(self) -> bool:
        """What it has may still run: a machine that hangs past its lease ends all when it goes on."""
        return self.alive and (self.world.now >= self.hung_until or self.world.now - self.answered_sent <= self.LEASE)

    def _check_lease(self) -> None:
        if self.world.now - self.answered_sent > self.LEASE:
            self.tasks.clear()
            self.tenure += 1
            self.answered_sent = self.world.now

    def _watch_lease(self) -> None:
        if not self.alive or self._hangs(self._watch_lease):
            return
        self._check_lease()
        self.world.after(100 * MS, self._watch_lease)

    def _report(self) -> None:
        if not self.alive or self._hangs(self._report):
            return
        sent, tenure = self.world.now, self.tenure
        self.tally += 1
        body = self._state(tenure)
        target = self.world.names[self.node]

        def request(answer: Answer) -> None:
            told = self.world.observed(target, answer)
            self.world.nodes[target].ask(lambda c: c.reports.receive_heartbeat(body, told), lambda: answer(503, {}))

        self.world.send(self.host, target, request, 4 * S, lambda reply: self._answered(sent, tenure, reply))

    def inspect(self, answer: Answer) -> None:
        if self.alive and not self._hangs(lambda: self.inspect(answer)):
            self.tally += 1
            answer(200, self._state(self.tenure))

    def take_orders(self, orders: dict[str, Any], answer: Answer) -> None:
        """Direct commands: refused under an older token or of another session, and no answer that renews the lease."""
        if not self.alive or not self.booted or self._hangs(lambda: self.take_orders(orders, answer)):
            return
        allowed = orders["baton"] >= self.baton and orders["tenure"] == self.tenure
        if allowed:
            self.baton = orders["baton"]
            for order in orders["orders"]:
                self._do(order)
        self.tally += 1
        answer(200 if allowed else 409, self._state(self.tenure))

    def _state(self, tenure: int) -> bytes:
        return json.dumps(
            {
                "host": self.host, "addr": self.world.address_of(self.host), "rig": "m", "yard": self.yard,
                "loaners": self.spot,
                "tenure": tenure, "tally": self.tally, "baton": self.baton,
                "pieces": [
                    {"piece": f"{t.ref}/{t.number}", "try": t.attempt, "status": t.status, "cause": t.cause}
                    for t in self.tasks.values()
                ],
            }
        ).encode()  # fmt: skip

    def _answered(self, sent: timedelta, tenure: int, reply: Reply | None) -> None:
        if not self.alive or self._hangs(lambda: self._answered(sent, tenure, reply)):
            return
        if self.world.now - sent > 4 * S:
            reply = None  # given up
        wait = 1.0 * self.world.rng.uniform(0.75, 1.25)
        if reply is not None and reply.status == 200:
            told = json.loads(reply.body)
            if told["baton"] >= self.baton and tenure == self.tenure:
                wait = 0.5 if told["baton"] > self.baton else wait
                self.baton = told["baton"]
                self.answered_sent = sent
                for order in told["orders"]:
                    self._do(order)
        elif reply is not None and reply.status == 421 and json.loads(reply.body)["foreman"] in self.world.names:
            self.node, wait = self.world.names.index(json.loads(reply.body)["foreman"]), 0.2
        else:
            self.node, wait = (self.node + 1) % len(self.world.names), 1.0
        self.world.after(wait * S, self._report)

    def _do(self, order: dict[str, Any]) -> None:
        ref, number = order["piece"].split("/")
        key = (ref, int(number), order["try"])
        if order["verb"] == "launch" and key not in self.tasks:
            self._launch(Task(ref, int(number), order["try"]))
        elif order["verb"] == "kill" and key in self.tasks and self.tasks[key].status != "ended":
            self._end(self.tasks[key], "halted")
        elif order["verb"] == "reap" and key in self.tasks and self.tasks[key].status == "ended":
            del self.tasks[key]

    def _launch(self, task: Task) -> None:
        self.tasks[(task.ref, task.number, task.attempt)] = task
        spec = self.world.jobs.get(task.ref)
        if spec is None:
            self._end(task, "unknown")
            return
        held = sum(self.world.jobs[t.ref]["cores"] for t in self.tasks.values() if t.status != "ended")
        if any(t is not task and (t.ref, t.number) == (task.ref, task.number) for t in self.tasks.values()):
            self._end(task, "busy")
        elif held > CloudService.CORES + 1e-6:
            self._end(task, "no_room")
        else:
            self.world.after(300 * MS, lambda: self._start(task, spec))

    def _start(self, task: Task, spec: dict[str, Any]) -> None:
        if self._hangs(lambda: self._start(task, spec)):
            return
        if self.tasks.get((task.ref, task.number, task.attempt)) is not task or task.status != "fetching":
            return
        task.status = "running"
        self.world.rules.started(self, task)
        if self.sick or task.ref in self.world.bad:
            delay = 0.2 if self.sick else self.world.bad[task.ref]
            self.world.after(delay * S, lambda: self._finish(task, "error"))
        elif spec["shape"] == "batch":
            self.world.after(spec["guessS"] * S, lambda: self._finish(task, "done"))

    def _finish(self, task: Task, cause: str) -> None:
        if self._hangs(lambda: self._finish(task, cause)):
            return
        if self.tasks.get((task.ref, task.number, task.attempt)) is task and task.status == "running":
            if cause == "done":
                self.world.rules.task_done(task)
            self._end(task, cause)

    @staticmethod
    def _end(task: Task, cause: str) -> None:
        task.status, task.cause = "ended", cause


class Rules:
    """The slow plain model: what the protocol forbids, checked on what really happens."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self.finished: set[tuple[str, int]] = set()
        self.starts = 0
        self.ending: Callable[[str], None] = lambda ref: None
        self.starts_of: Counter[str] = Counter()

    def on_machines(self) -> list[tuple[Worker, Task]]:
        return [
            (worker, task)
            for worker in self.world.workers.values()
            if worker.holding
            for task in worker.tasks.values()
            if task.status == "running"
        ]

    def task_done(self, task: Task) -> None:
        self.finished.add((task.ref, task.number))
        if all((task.ref, number) in self.finished for number in range(self.world.jobs[task.ref]["pieces"])):
            self.ending(task.ref)

    def started(self, worker: Worker, task: Task) -> None:
        self.starts += 1
        self.starts_of[task.ref] += 1
        spec = self.world.jobs[task.ref]
        present = self.on_machines()
        for other, one in present:
            if one is not task and (one.ref, one.number) == (task.ref, task.number):
                self.broken.append(f"ran_twice {task.ref}/{task.number} on {other.host} and {worker.host}")
        limit = self.world.teams[spec["owner"]]
        used = sum(
            self.world.jobs[t.ref]["cores"] for _, t in present if self.world.jobs[t.ref]["owner"] == spec["owner"]
        )
        if limit and used > limit + 1e-6:
            self.broken.append(f"quota {spec['owner']} {used}")
        if worker.spot and not spec["loaners"] or spec.get("yard") not in (None, worker.yard):
            self.broken.append(f"wrong_place {task.ref} on {worker.host}")
        zones = [w.yard for w, t in present if t.ref == task.ref]
        if spec["oneZone"] and len(set(zones)) > 1:
            self.broken.append(f"wrong_place {task.ref}: {zones}")
        if spec["spread"] and zones.count(worker.yard) > (spec["pieces"] + 1) // 2:
            self.broken.append(f"wrong_place {task.ref}: {zones}")
        self.check()

    def check(self) -> None:
        """What must hold at any moment."""
        for worker in self.world.workers.values():
            # Also on a machine that hangs past its lease: a cancelled task must not go on there afterwards.
            for task in worker.tasks.values() if worker.alive else ():
                at = self.world.cancelled.get(task.ref)
                late = at is not None and self.world.now - at > self.world.cancel_s * S
                if late and task.status == "running":
                    self.broken.append(f"ran_cancelled {task.ref} on {worker.host}")
        for key, (value, _, _) in self.world.state.data.items():
            ref = key.removeprefix("ended/")
            if key.startswith("ended/") and value["status"] == "done":
                pieces = self.world.jobs[ref]["pieces"]
                if any((ref, number) not in self.finished for number in range(pieces)):
                    self.broken.append(f"not_done {ref}")


def started(seed: int = 1, **kinds: Any) -> World:
    """A world whose controllers have formed their first view."""
    world = World(seed, **kinds)
    for node in world.nodes.values():
        node.start()
    assert world.run_until(
        lambda: all(node.controller is not None and node.controller.latched for node in world.nodes.values()), 10
    )
    return world


def owner(world: World, host: str) -> str:
    """The controller whose part has the machine."""
    for name, node in world.nodes.items():
        if node.controller is not None and node.controller.shard is not None and host in node.controller.shard.machines:
            return name
    raise AssertionError("nobody's machine")


def leader(world: World) -> str:
    for name, node in world.nodes.items():
        if node.controller is not None and node.controller.membership.leading:
            return name
    raise AssertionError("no leader")
