"""An owner of machines whose agents' heartbeats and responses a test writes itself."""

import json
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.agents.shard import Shard
from ramptide.agents.statistics import AgentStatistics
from ramptide.config.tuning import Tuning
from ramptide.protocol.agents import COMMANDS_PATH, Heartbeat, decode_heartbeat
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import JobSpec, decode_job_spec
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import DesiredStateName
from ramptide.transport.runtime import Request
from virtual.clock import SECOND
from virtual.jobs import job_spec
from virtual.network import Response

#: The number of the view in which the machines are owned.
VIEW = 5
LIVE_JOB, FINISHED_JOB, UNREAD_JOB = "j-1", "j-2", "j-3"
LIVE_SPEC = decode_job_spec(json.dumps(job_spec(LIVE_JOB, pieces=100, shape="service")).encode())
MEMBERS = ["c0", "c1"]
#: The attempt number of all tasks, unless a test gives another: one of the scheduler `c1`.
ATTEMPT = AttemptNumbers(VIEW, MEMBERS).base_of("c1") + 9


class KnownJobs:
    """One unfinished job, one finished job, and others that count as finished once the records are complete."""

    def __init__(self, are_complete: bool = True) -> None:
        self.are_complete = are_complete
        self.live = {LIVE_JOB}

    def find_spec(self, job_id: str) -> JobSpec | None:
        """Return the specification of the unfinished job."""
        return LIVE_SPEC if job_id in self.live else None

    def is_finished(self, job_id: str) -> bool:
        """Return whether a job is certainly finished."""
        return job_id == FINISHED_JOB or (job_id not in self.live and self.are_complete)

    def are_records_complete(self) -> bool:
        """Return whether the records are complete."""
        return self.are_complete


class RecordingRuntime:
    """A clock that the test sets, and the requests to agents, which the test answers."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        self.requests: list[tuple[str, dict[str, Any], Callable[[Response | None], None]]] = []

    def call(self, request: Request, on_response: Callable[[Response | None], None]) -> None:
        """Record a request; the test calls `on_response`."""
        assert (request.method, request.target) == ("POST", COMMANDS_PATH)
        self.requests.append((request.address, json.loads(request.body), on_response))

    @property
    def stopped(self) -> list[list[str]]:
        """The tasks that each request names."""
        return [[command["piece"] for command in body["orders"]] for _, body, _ in self.requests]


def heartbeat_body(
    host: str, fencing_token: int, *tasks: tuple[str, str], sequence_number: int = 1, agent_epoch: int = 2
) -> bytes:
    """Return a heartbeat that shows the first task of some jobs, given with their states."""
    reports = [{"piece": f"{job_id}/0", "try": ATTEMPT, "status": status} for job_id, status in tasks]
    message = {"host": host, "addr": f"{host}:9000", "rig": "m", "yard": "a", "loaners": False, "tenure": agent_epoch}
    return json.dumps(message | {"tally": sequence_number, "baton": fencing_token, "pieces": reports}).encode()


class MachineOwner:
    """The heartbeat handler of a controller that owns some machines, and may hold replies for a time."""

    def __init__(
        self, jobs: KnownJobs, hosts: tuple[str, ...] = ("vm-1",), view: int = VIEW, hold: timedelta = timedelta(0)
    ) -> None:
        self.jobs = jobs
        self.runtime = RecordingRuntime()
        runtime: Any = self.runtime
        self.statistics = AgentStatistics()
        self.stops = DirectStops(runtime, jobs, self.statistics, self._apply_response)
        self.stops.on_new_view(view)
        self.shard = self._shard_of(view, hosts)
        self._state: Any = SimpleNamespace(
            member="c0",
            tuning=Tuning(hold=hold),
            view=SimpleNamespace(number=view),
            shard=self.shard,
            owner_of=lambda _host: "c0",
        )
        authority: Any = SimpleNamespace(may_renew=lambda: True, may_reply=lambda: True, may_start=lambda: True)
        #: The watch cache; its records have been read.
        self.cache = SimpleNamespace(current_as_of=timedelta(0))
        cache: Any = self.cache
        self.handler = HeartbeatHandler(runtime, self._state, authority, cache, jobs, self.stops, self.statistics)

    def _shard_of(self, view: int, hosts: tuple[str, ...]) -> Shard:
        shard = Shard(view, AttemptNumbers(view, MEMBERS), 8 * SECOND, 1 * SECOND, self.jobs)
        record = MachineRecord("m", "a", False, 1, 0.0, None, True, "r")
        machine_type = MachineType(name="m", cpus=8.0, ram_gb=32.0, zones=["a"])
        for host in hosts:
            shard.add_machine(host, record, machine_type, timedelta(0), [])
        return shard

    def enter_view(self, view: int) -> None:
        """Own the same machines in a new view."""
        self.shard = self._state.shard = self._shard_of(view, tuple(self.shard.machines))
        self._state.view = SimpleNamespace(number=view)
        self.stops.on_new_view(view)
        self.handler.on_new_view()

    def _apply_response(self, heartbeat: Heartbeat) -> None:
        self.handler.apply_direct_heartbeat(heartbeat)

    def receive(self, body: bytes) -> tuple[int, list[tuple[str, str]]]:
        """Return the status of the reply to a heartbeat, and its commands as verbs and tasks."""
        (reply,) = self.receive_held(body)
        return reply

    def receive_held(self, body: bytes) -> list[tuple[int, list[tuple[str, str]]]]:
        """Receive a heartbeat; return a list that gets the status and the commands of the reply when it is sent."""
        replies: list[tuple[int, list[tuple[str, str]]]] = []

        def on_reply(status: int, reply: bytes) -> None:
            commands = json.loads(reply).get("orders", [])
            replies.append((status, [(command["verb"], command["piece"]) for command in commands]))

        self.handler.receive_heartbeat(body, on_reply)
        return replies

    def receive_direct(self, body: bytes) -> None:
        """Receive a heartbeat as the response to the announcement of the token."""
        self.handler.receive_direct_heartbeat(decode_heartbeat(body))

    def request_state(
        self,
        sequence_number: int,
        state: DesiredStateName,
        job_id: str = LIVE_JOB,
        sender: str = "c1",
        attempt: int = ATTEMPT,
    ) -> None:
        """Receive the message in which a scheduler asks for a state of a job's first task on the first machine."""
        host = next(iter(self.shard.machines))
        rows = {host: [(job_id, 0, attempt, state, 0.0)]}
        self.shard.desired_states.apply(sender, sequence_number, rows, lambda _machine: True)
