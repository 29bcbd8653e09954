"""The small deployment in which the cases run: real controller processes among the project's own stand-ins.

The controllers are started with the `run` line of the deploy file. State service, cloud and workers are those of
`tests/virtual`, served on loopback in real time, with the timings of the site hsinchu-pressure-lab-ops. Each controller
gets an address of its own for the cloud and for the state service, so that the stand-ins see who sends a request.
"""

import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import virtual.agent
import virtual.cloud
from ramptide.transport.http.messages import Message
from virtual.agent import Agent
from virtual.clock import MILLISECOND, SECOND
from virtual.jobs import job_spec
from virtual.loopback import LoopbackWorld, free_address
from virtual.network import CLOUD, STORE, Respond, Response

__all__ = ["TROUBLE", "CannotRunError", "Deployment", "run_case"]

ROOT = Path(__file__).resolve().parent.parent
#: Whether the disruption takes place; without it the rule must hold.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RULE_HELD, RULE_BROKEN, CANNOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
SUBMIT_TRIES = 30
#: A case that takes longer is given up, as it may run for 120 s at most.
MAX_RUN_S = 117
#: The timings of hsinchu-pressure-lab-ops.
REPORT_S, LEASE_S, CANCEL_S, LIST_LAG_S = 1.5, 10.0, 35.0, 8.0
#: The least time between two reports of changes, and how often a worker looks for changes.
CHANGE_INTERVAL, CHANGE_CHECK_INTERVAL = 500 * MILLISECOND, 50 * MILLISECOND
STATE_LIMITS = {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12}


class CannotRunError(Exception):
    """Raised when the deployment does not reach the state in which the case begins."""


class ReportingAgent(Agent):
    """A worker that also reports each change, half a second after its previous report at the earliest."""

    def boot(self) -> None:
        """Start the worker, unless the machine was returned before."""
        #: How many timers of reports are pending; only the last one leads to a report.
        self._pending_timers = 1
        self._is_report_in_flight = False
        self._reported_at = self.world.now
        self._reported: object = None
        super().boot()
        self._report_changes()

    def _state(self) -> object:
        return self.agent_epoch, self.fencing_token, [(task.key, task.status) for task in self.tasks.values()]

    def _report_changes(self) -> None:
        if not self.alive or self._defer_while_hung(self._report_changes):
            return
        may_report = not self._is_report_in_flight and self.world.now - self._reported_at >= CHANGE_INTERVAL
        if may_report and self._reported != self._state():
            self._report()
        self.world.after(CHANGE_CHECK_INTERVAL, self._report_changes)

    def _send_heartbeat(self) -> None:
        if not self.alive or self._defer_while_hung(self._send_heartbeat):
            return
        self._pending_timers -= 1
        if not self._pending_timers and not self._is_report_in_flight:
            self._report()

    def _report(self) -> None:
        self._is_report_in_flight, self._reported_at, self._reported = True, self.world.now, self._state()
        super()._send_heartbeat()

    def _on_response(self, sent_at: timedelta, agent_epoch: int, response: Response | None) -> None:
        if not self.alive or self._defer_while_hung(lambda: self._on_response(sent_at, agent_epoch, response)):
            return
        self._is_report_in_flight = False
        self._pending_timers += 1
        super()._on_response(sent_at, agent_epoch, response)


class Deployment(LoopbackWorld):
    """Three controllers with the settings of a small deployment, and a record of what was sent and answered."""

    def __init__(self, folder: Path, record: Path, capacity: int = 12) -> None:
        virtual.agent.HEARTBEAT_INTERVAL_S = REPORT_S
        Agent.LEASE_DURATION = LEASE_S * SECOND
        virtual.cloud.Agent = ReportingAgent  # type: ignore[misc]
        virtual.cloud.LIST_LAG = LIST_LAG_S * SECOND
        super().__init__(folder, capacity=capacity)
        self.cancel_timeout_s = CANCEL_S
        self._record = record.open("w")
        self._began = time.monotonic()
        self.own_addresses = {name: self._serve_controller(name) for name in self.controller_names}

    def _serve_controller(self, name: str) -> dict[str, str]:
        """Serve the cloud and the state service at addresses that only one controller is given."""
        addresses = {STORE: free_address(), CLOUD: free_address()}
        self._serve(addresses[STORE], lambda request, respond: self.on_state_request(name, request, respond))
        self._serve(addresses[CLOUD], lambda request, respond: self.on_cloud_request(name, request, respond))
        return addresses

    def on_state_request(self, _name: str, request: Message, respond: Respond) -> None:
        """Handle a request of a controller to the state service."""
        self._handle_store_request(request, respond)

    def on_cloud_request(self, _name: str, request: Message, respond: Respond) -> None:
        """Handle a request of a controller to the cloud."""
        self._handle_cloud_request(request, respond)

    def _settings(self, name: str) -> dict[str, Any]:
        settings = super()._settings(name)
        settings["outside"] = self.own_addresses[name]
        settings["cluster"] |= {
            "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "cancel_s": CANCEL_S},
            "state": STATE_LIMITS,
            "cloud": {"rps": 8.0, "list_lag_s": LIST_LAG_S},
            "quota": {"cpu": 0.72, "ram_mb": 186.0, "fd_limit": 1000},
            "clock_off_ms": 5.0,
        }
        return settings

    def start(self, name: str) -> None:
        """Start the process of a controller with the `run` line of the deploy file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(path)],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "LOG_LEVEL": "info"},
                stderr=log,
            )
        self.note(f"controller {name} started: pid {self.processes[name].pid}")

    def start_all(self) -> None:
        """Start all controllers and wait until each is healthy."""
        for name in self.controller_names:
            self.start(name)
        for name in self.controller_names:
            self.require(lambda name=name: self.is_healthy(name), START_TIMEOUT_S, f"{name} is healthy")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._began:7.2f} {text}\n")
        self._record.flush()

    def wait(self, seconds: float) -> None:
        """Serve the stand-ins for some seconds."""
        self.serve_until(lambda: False, seconds)

    def require(self, condition: Callable[[], bool], seconds: float, text: str) -> None:
        """Wait for a condition without which the case cannot run."""
        if not self.serve_until(condition, seconds):
            raise CannotRunError(f"not within {seconds:.0f} s: {text}")

    def submit(self, job_id: str, to: str, **fields: Any) -> None:
        """Submit a job as a user does, with repeats until it is accepted."""
        self.job_specs[job_id] = job_spec(job_id, **fields)
        body = json.dumps(self.job_specs[job_id]).encode()
        for _ in range(SUBMIT_TRIES):
            status = self.request_status(to, "POST", "/v2/runs", body)
            self.note(f"POST /v2/runs {job_id} to {to}: {status}")
            if status in (200, 201):
                return
            self.wait(1)
        raise CannotRunError(f"{job_id} is not accepted")

    @property
    def view(self) -> dict[str, Any]:
        """The view as the state service holds it."""
        return dict(self.store.entries["live/view"].value)

    def running(self, host: str) -> list[str]:
        """Return the ids of the jobs whose tasks run on a machine."""
        return [task.job_id for agent, task in self.invariants.running_tasks() if agent.host == host]

    def end(self) -> None:
        """End all processes and close the record."""
        self.close()
        self._record.close()


def run_case(script: str, play: Callable[[Deployment], bool], deployment: type[Deployment] = Deployment) -> int:
    """Play a case in a new deployment; `play` returns whether the rule held. Return the exit status."""
    record = Path(script).resolve().parent / "record.txt"
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(MAX_RUN_S)
    with tempfile.TemporaryDirectory() as folder:
        world = deployment(Path(folder), record)
        try:
            world.note(f"disruption: {'yes' if TROUBLE else 'no'}")
            world.start_all()
            status = RULE_HELD if play(world) else RULE_BROKEN
        except (Exception, KeyboardInterrupt):
            world.note(traceback.format_exc())
            status = CANNOT_RUN
        signal.alarm(0)
        for name in world.controller_names:
            log = Path(folder) / f"{name}.log"
            world.note(f"log of {name}:\n{log.read_text() if log.exists() else ''}")
        world.note(f"exit status {status}")
        world.end()
    print(f"exit status {status}", file=sys.stderr)
    return status


def _give_up(*_: object) -> None:
    # No `Exception`, as the event loop of the stand-ins would catch that and go on.
    raise KeyboardInterrupt(f"ended from outside, or not over within {MAX_RUN_S} s")
