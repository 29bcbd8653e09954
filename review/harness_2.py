"""The harness of the cases 4 to 7: real controller processes on loopback among the project's own stand-ins.

Each controller reaches the state service and the cloud at addresses of its own, so that a case can tell callers apart
and refuse or delay one of them. The stand-ins are those of `tests/virtual`, with the timings of a site and with workers
that report changes as soon as the pages allow.
"""

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests"), str(ROOT / "target" / "deps")]

# `virtual.indexes` imports pytest for a comparison that no case uses, and pytest is not among the built libraries.
sys.modules.setdefault("pytest", ModuleType("pytest"))

import virtual.agent  # noqa: E402
import virtual.cloud  # noqa: E402
import virtual.loopback  # noqa: E402
from ramptide.transport.http.messages import Message  # noqa: E402
from ramptide.transport.http.server import Exchange, Server  # noqa: E402
from virtual import job_spec  # noqa: E402
from virtual.agent import (  # noqa: E402
    CAPACITY_TOLERANCE_CPUS,
    CHANGE_INTERVAL,
    ENDED,
    FETCH_DURATION,
    NO_CAPACITY,
    TASK_ALREADY_PRESENT,
    UNKNOWN_JOB,
    Agent,
    Task,
)
from virtual.clock import SECOND  # noqa: E402
from virtual.loopback import CONNECTION_TIMEOUT, LoopbackWorld, free_address  # noqa: E402
from virtual.network import Respond, encode_body  # noqa: E402

#: The exit statuses of a case. `run.sh` turns BROKEN into 1, which is also the status of a Python error.
HELD, BROKEN, NOT_RUN = 0, 3, 2
MAX_CONNECTIONS = 1000
#: A case that takes longer than this could not run.
MAX_CASE_S = 112.0


#: Sockets that keep the ports of a case from other cases that run at the same time.
RESERVED: list[socket.socket] = []


def reserve_port() -> int:
    """Return a free TCP port that is reserved until the case ends, except for a server that listens on it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    RESERVED.append(sock)
    return int(sock.getsockname()[1])


class CaseNotRunError(Exception):
    """Raised when a case cannot be brought to the point at which it checks its rule."""


@dataclass(frozen=True)
class Site:
    """The figures of a site file that a case uses."""

    report_s: float
    lease_s: float
    cancel_s: float
    machine_cpus: float
    machine_ram_gb: float
    list_lag_s: float
    store: dict[str, float]
    cloud_rps: float
    cpu: float
    ram_mb: float
    fd_limit: int
    teams: list[dict[str, Any]]


#: `kit/sites/hsinchu-pressure-lab.toml`, and with the same figures `kit/more/hsinchu-pressure-lab-ops.toml`; the type
#: of the machines is `hall-node`.
HSINCHU = Site(
    report_s=1.5, lease_s=10.0, cancel_s=35.0, machine_cpus=32.0, machine_ram_gb=256.0, list_lag_s=8.0,
    store={"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12}, cloud_rps=8.0, cpu=0.72, ram_mb=186.0,
    fd_limit=1000, teams=[{"name": "netops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
)  # fmt: skip
#: `kit/sites/regina-points.toml`.
REGINA = Site(
    report_s=2.0, lease_s=12.0, cancel_s=32.0, machine_cpus=16.0, machine_ram_gb=128.0, list_lag_s=3.0,
    store={"rps": 200.0, "write_rps": 50.0, "value_kb": 4.0, "txn_ops": 12}, cloud_rps=6.0, cpu=0.9, ram_mb=266.0,
    fd_limit=1500,
    teams=[
        {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}
        for name, cpus, cpus_max in (
            ("till-team", 72.0, 208.0), ("statements", 48.0, 250.0), ("marketing", 88.0, 296.0),
            ("risk", 56.0, 152.0), ("partners", 72.0, 176.0), ("family-office", 72.0, 208.0),
        )
    ],
)  # fmt: skip


class Worker(Agent):
    """A worker that reports the changes of its tasks, no more often than every half second."""

    def _run(self, task: Task, spec: dict[str, Any]) -> None:
        status = task.status
        super()._run(task, spec)
        if task.status != status:
            self.world.note("run", f"{self.host} {task.job_id}/{task.index} try={task.attempt} {task.status}")
            self._report_change()

    def _end(self, task: Task, cause: str) -> None:
        task.status, task.cause = ENDED, cause
        self.world.note("run", f"{self.host} {task.job_id}/{task.index} try={task.attempt} ended {cause}")
        self._report_change()

    def _report_change(self) -> None:
        if self._is_heartbeat_in_flight:
            self._has_unreported_change = True
        elif not self._is_changing_controller:
            self._schedule_heartbeat(self._heartbeat_sent_at + CHANGE_INTERVAL - self.world.now)


class LightWorker(Worker):
    """A worker for thousands of short tasks: it checks its room once for a reply, and reports as briefly as allowed."""

    def _apply_reply(self, reply: dict[str, Any], sent_at: timedelta) -> None:
        unfinished = [task for task in self.tasks.values() if task.status != ENDED]
        self.present = {task.task_id for task in unfinished}
        self.used_cpus = sum(self.world.job_specs[task.job_id]["cores"] for task in unfinished)
        super()._apply_reply(reply, sent_at)

    def _fetch(self, task: Task) -> None:
        self.tasks[task.key] = task
        spec = self.world.job_specs.get(task.job_id)
        if spec is None:
            self._end(task, UNKNOWN_JOB)
        elif task.task_id in self.present:
            self._end(task, TASK_ALREADY_PRESENT)
        elif self.used_cpus + spec["cores"] > self.world.site.machine_cpus + CAPACITY_TOLERANCE_CPUS:
            self._end(task, NO_CAPACITY)
        else:
            self.present.add(task.task_id)
            self.used_cpus += spec["cores"]
            self.world.after(FETCH_DURATION, lambda: self._run(task, spec))

    def encode_status(self) -> bytes:
        """Encode the status without spaces, and without fields that are null."""
        status = json.loads(super().encode_status())
        for row in status["pieces"]:
            if row["cause"] is None:
                del row["cause"]
        return json.dumps(status, separators=(",", ":")).encode()


class World(LoopbackWorld):
    """Controllers of a site, started with the command of the deploy file, and their surroundings."""

    def __init__(self, case: Path, site: Site, capacity: int = 6) -> None:
        self.site = site
        self.started = time.monotonic()
        virtual.loopback.free_port = reserve_port
        self._record = (case / "record.txt").open("w", encoding="utf-8")
        virtual.agent.MACHINE_CPUS = virtual.cloud.MACHINE_CPUS = site.machine_cpus
        virtual.agent.MACHINE_RAM_GB = virtual.cloud.MACHINE_RAM_GB = site.machine_ram_gb
        virtual.agent.HEARTBEAT_INTERVAL_S = site.report_s
        virtual.cloud.LIST_LAG = site.list_lag_s * SECOND
        virtual.cloud.Agent = Worker
        Agent.LEASE_DURATION = site.lease_s * SECOND
        Agent.TOKEN_CHANGE_INTERVAL = Agent.LEASE_DURATION / 2
        teams = {team["name"]: team["cpus_max"] for team in site.teams}
        super().__init__(Path(tempfile.mkdtemp(prefix="ramptide-review-")), teams=teams, capacity=capacity)
        self.cancel_timeout_s = site.cancel_s
        self.store_limits = dict(site.store)
        self.cloud.boot_seconds = (1.0, 2.0)
        #: By controller, its own addresses of the state service and of the cloud.
        self.outside = {name: {"state": free_address(), "cloud": free_address()} for name in self.controller_names}
        for name, addresses in self.outside.items():
            self._serve(addresses["state"], self._store_handler(name))
            self._serve(addresses["cloud"], self._cloud_handler(name))
        self._logs = {name: (self.folder / f"{name}.log").open("ab") for name in self.controller_names}

    @staticmethod
    def use_worker(kind: type[Agent]) -> None:
        """Have the cloud rent out machines with workers of another kind from now on."""
        virtual.cloud.Agent = kind

    # The record.

    def note(self, kind: str, text: str) -> None:
        """Write a line to the record of the case."""
        self._record.write(f"{time.monotonic() - self.started:8.3f} {kind:8} {text}\n")
        self._record.flush()

    # The services.

    def _serve(self, address: str, handle: Callable[[Message, Respond], None]) -> None:
        def on_exchange(exchange: Exchange) -> None:
            handle(exchange.request, lambda status, body: exchange.respond(status, encode_body(body)))

        Server(self.loop, address, on_exchange, MAX_CONNECTIONS, CONNECTION_TIMEOUT)

    def _store_handler(self, name: str) -> Callable[[Message, Respond], None]:
        def handle(request: Message, respond: Respond) -> None:
            self.handle_store(name, request, respond)

        return handle

    def handle_store(self, name: str, request: Message, respond: Respond) -> None:
        """Answer a request of a controller to the state service; a case may override this."""
        self.store.handle(name, request.method, request.target, request.body, respond)

    def _cloud_handler(self, name: str) -> Callable[[Message, Respond], None]:
        def handle(request: Message, respond: Respond) -> None:
            self.handle_cloud(name, request, respond)

        return handle

    def handle_cloud(self, name: str, request: Message, respond: Respond) -> None:
        """Answer a request of a controller to the cloud; a case may override this."""
        if request.method == "POST":
            self.note("cloud", f"{name} {request.method} {request.target} {request.body.decode()}")
        self.cloud.handle(request.method, request.target, request.body, respond)

    # The controllers.

    def _settings(self, name: str) -> dict[str, Any]:
        site = self.site
        peers = [other for other in self.controller_names if other != name]
        return {
            "member": name, "area": "a", "client_listen": self.client_address(name),
            "peer_bind": self.peer_address(name), "outside": self.outside[name],
            "siblings": [{"member": other, "area": "a", "addr": self.peer_address(other)} for other in peers],
            "cluster": {
                "nodes": len(self.controller_names), "zones": ["a", "b"], "teams": site.teams, "objectives": [],
                "workers": {
                    "report_s": site.report_s, "lease_s": site.lease_s, "gang_wait_s": 40.0, "gang_peer_s": 6.0,
                    "cancel_s": site.cancel_s,
                },
                "state": site.store, "cloud": {"rps": site.cloud_rps, "list_lag_s": site.list_lag_s},
                "quota": {"cpu": site.cpu, "ram_mb": site.ram_mb, "fd_limit": site.fd_limit}, "clock_off_ms": 5.0,
            },
        }  # fmt: skip

    def start(self, name: str) -> None:
        """Start a controller with the `run` line of the deploy file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(service["run"]), str(path)]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PYTHON")}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment | {"LOG_LEVEL": "info"}, stderr=self._logs[name]
        )
        self.note("start", f"{name} pid={self.processes[name].pid}")

    def start_all(self) -> None:
        """Start all controllers, and wait until each answers that it is healthy."""
        for name in self.controller_names:
            self.start(name)
        for name in self.controller_names:
            self.require(lambda name=name: self.is_healthy(name), 25, f"{name} is healthy")  # type: ignore[misc]
        self.require(lambda: "live/view" in self.store.entries, 10, "there is a view")
        count = len(self.controller_names)
        self.require(lambda: len(self.view()["members"]) == count, 10, "all are members")

    def close(self) -> None:
        """End all processes that were started, and keep the ends of their logs in the record."""
        super().close()
        for name, log in self._logs.items():
            log.close()
            for line in (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace").splitlines()[-400:]:
                self._record.write(f"log {line}\n")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def view(self) -> dict[str, Any]:
        """Return the present view."""
        value: dict[str, Any] = self.store.entries["live/view"].value
        return value

    @property
    def leader(self) -> str:
        """The controller that leads the present view."""
        return str(self.view()["leader"])

    def serve_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Run the event loop until the condition holds, for at most `seconds`; return whether it holds."""
        left = self.started + MAX_CASE_S - time.monotonic()
        if left <= 0:
            raise CaseNotRunError(f"longer than {MAX_CASE_S} s")
        return super().serve_until(condition, min(seconds, left))

    def require(self, condition: Callable[[], bool], seconds: float, what: str) -> None:
        """Serve until a condition holds that the case needs before its check."""
        if not self.serve_until(condition, seconds):
            raise CaseNotRunError(f"not reached within {seconds} s: {what}")

    def serve(self, seconds: float) -> None:
        """Serve for a while."""
        self.serve_until(lambda: False, seconds)

    # The users.

    def submit(self, job_id: str, names: list[str] | None = None, seconds: float = 20.0, **fields: Any) -> None:
        """Submit a job until it is accepted."""
        self.job_specs[job_id] = job_spec(job_id, **({"owner": self.site.teams[0]["name"]} | fields))
        body = json.dumps(self.job_specs[job_id]).encode()

        def is_accepted() -> bool:
            for name in names or self.controller_names:
                if job_id in self.accepted_jobs:
                    return True
                status = self.request_status(name, "POST", "/v2/runs", body)
                self.note("user", f"submit {job_id} to {name} -> {status}")
                if status in (200, 201):
                    self.accepted_jobs.add(job_id)
            return job_id in self.accepted_jobs

        self.require(is_accepted, seconds, f"{job_id} is accepted")

    def poll(self, job_id: str, name: str) -> tuple[int, dict[str, Any]]:
        """Ask for the state of a job; the status is 0 when there was no answer."""
        response = self.send_request(name, "GET", f"/v2/runs/{job_id}")
        status, body = (0, {}) if response is None else (response.status, json.loads(response.body))
        self.note("user", f"poll {job_id} at {name} -> {status} {body}")
        return status, body

    def cancel(self, job_id: str, name: str) -> tuple[int, dict[str, Any]]:
        """Cancel a job at a controller; the status is 0 when there was no answer."""
        self.cancel_requested.add(job_id)
        response = self.send_request(name, "POST", f"/v2/runs/{job_id}/cancel")
        status, body = (0, {}) if response is None else (response.status, json.loads(response.body))
        self.note("user", f"cancel {job_id} at {name} -> {status} {body}")
        return status, body

    def running(self, job_id: str | None = None) -> list[tuple[Agent, Task]]:
        """Return the running tasks with their machines, of all jobs or of one."""
        return [(agent, task) for agent, task in self.invariants.running_tasks() if job_id in (None, task.job_id)]


def run_case(
    case: Path, site: Site, play: Callable[[Any, bool], bool], kind: type[World] = World, capacity: int = 6
) -> int:
    """Play a case with or without its trouble; return its exit status.

    `play` gets the world and whether there is trouble, and returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes that were started are ended also when the case itself is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        world = kind(case, site, capacity)
    except OSError as error:
        print(f"case not run: {error}")
        return NOT_RUN
    try:
        has_held = play(world, has_trouble)
        world.note("result", "the rule held" if has_held else "the rule was broken")
        return HELD if has_held else BROKEN
    except CaseNotRunError as error:
        world.note("result", f"case not run: {error}")
        print(f"case not run: {error}")
        return NOT_RUN
    finally:
        world.close()


__all__ = [
    "BROKEN",
    "HELD",
    "HSINCHU",
    "NOT_RUN",
    "REGINA",
    "CaseNotRunError",
    "LightWorker",
    "Site",
    "Worker",
    "World",
    "run_case",
]
