"""A simulated machine with the agent that runs tasks on it."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from virtual.clock import MILLISECOND, SECOND
from virtual.network import Respond, Response

if TYPE_CHECKING:
    from virtual.world import World

#: The only machine type, and the capacity of each machine.
MACHINE_TYPE = "m"
MACHINE_CPUS, MACHINE_RAM_GB = 8.0, 32.0
#: Allows for the rounding errors of sums of CPUs.
CAPACITY_TOLERANCE_CPUS = 1e-6

HEARTBEAT_TIMEOUT = 4 * SECOND
#: The interval of heartbeats and the duration of leases, unless a world sets others.
HEARTBEAT_INTERVAL_S, LEASE_S = 1.0, 8.0
#: The time to the next heartbeat after a redirect, and after a failed request.
REDIRECT_INTERVAL_S, RETRY_INTERVAL_S = 0.2, 1.0
#: The shortest time between a heartbeat and the next one, which reports a change.
CHANGE_INTERVAL = 500 * MILLISECOND
LEASE_CHECK_INTERVAL = 100 * MILLISECOND
FETCH_DURATION = 300 * MILLISECOND
#: How long a task runs on a faulty machine before it fails.
FAULTY_RUNTIME_S = 0.2

# The states of a task, the causes of its end, and the causes for which an agent refuses to run it, as agents report
# them.
FETCHING, RUNNING, ENDED = "fetching", "running", "ended"
SUCCEEDED, FAILED, STOPPED = "done", "error", "halted"
UNKNOWN_JOB, TASK_ALREADY_PRESENT, NO_CAPACITY = "unknown", "busy", "no_room"

#: Job id, task index and attempt number.
AttemptKey = tuple[str, int, int]


@dataclass
class Task:
    """One attempt of a task on a machine."""

    job_id: str
    index: int
    attempt: int
    status: str = FETCHING
    cause: str | None = None

    @property
    def task_id(self) -> tuple[str, int]:
        """The job id and the index of the task in the job."""
        return self.job_id, self.index

    @property
    def key(self) -> AttemptKey:
        """The unique key of the attempt."""
        return self.job_id, self.index, self.attempt


@dataclass
class Agent:
    """A rented machine and its agent, which implements the agents' side of the protocol."""

    world: "World"
    host: str
    zone: str
    spot: bool
    alive: bool = True
    booted: bool = False
    #: Whether all tasks fail on this machine.
    is_faulty: bool = False
    agent_epoch: int = 1
    sequence_number: int = 0
    fencing_token: int = 0
    #: The index in `World.controller_names` of the controller that gets the next heartbeat.
    controller_index: int = 0
    tasks: dict[AttemptKey, Task] = field(default_factory=dict)
    #: The start of the lease: when the latest heartbeat with a valid reply was sent, or the last boot or expiry.
    lease_renewed_at: timedelta = timedelta(0)
    hung_until: timedelta = timedelta(0)
    #: When a higher fencing token last counted as a change; None before the first one.
    token_changed_at: timedelta | None = None
    _has_unreported_change: bool = False
    _is_heartbeat_in_flight: bool = False
    #: Whether the next heartbeat goes to another controller, which is tried after a set time.
    _is_changing_controller: bool = False
    _heartbeat_sent_at: timedelta = timedelta(0)
    #: The number of times that the next heartbeat was scheduled; only the latest schedule counts.
    _schedule_count: int = 0

    @property
    def lease_duration(self) -> timedelta:
        """How long its tasks run on after the last heartbeat that was answered."""
        return self.world.lease_s * SECOND

    @property
    def token_change_interval(self) -> timedelta:
        """The time within which a higher fencing token counts as a change at most once."""
        return self.lease_duration / 2

    # The state of the machine.

    def boot(self) -> None:
        """Start the agent, unless the machine was terminated before."""
        if self.alive:
            self.booted = True
            self.controller_index = self.world.rng.randrange(len(self.world.controller_names))
            self.lease_renewed_at = self.world.now
            self._check_lease_repeatedly()
            self._schedule_heartbeat(timedelta(0))

    def terminate(self) -> None:
        """Terminate the machine with all its tasks, without notice to any controller."""
        self.alive = False
        self.tasks.clear()

    def hang(self, seconds: float) -> None:
        """Suspend the machine for a while; when it resumes, it checks its lease before anything else."""
        self.hung_until = self.world.now + seconds * SECOND
        self.world.after(seconds * SECOND, self._check_lease)

    def _defer_while_hung(self, action: Callable[[], None]) -> bool:
        """Return whether the machine hangs; if so, the action is scheduled for when it resumes."""
        if self.world.now < self.hung_until:
            self.world.after(self.hung_until - self.world.now + MILLISECOND, action)
            return True
        return False

    # The lease.

    @property
    def _is_lease_expired(self) -> bool:
        return self.world.now - self.lease_renewed_at > self.lease_duration

    @property
    def may_run_tasks(self) -> bool:
        """Whether its tasks may still run: a machine that hangs past its lease stops all tasks when it resumes."""
        return self.alive and (self.world.now >= self.hung_until or not self._is_lease_expired)

    def _check_lease(self) -> None:
        if self._is_lease_expired:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_renewed_at = self.world.now

    def _check_lease_repeatedly(self) -> None:
        if not self.alive or self._defer_while_hung(self._check_lease_repeatedly):
            return
        self._check_lease()
        self.world.after(LEASE_CHECK_INTERVAL, self._check_lease_repeatedly)

    # Heartbeats.

    def _schedule_heartbeat(self, delay: timedelta) -> None:
        """Schedule the next heartbeat, instead of the one that is scheduled already if there is one."""
        self._schedule_count += 1
        number = self._schedule_count
        self.world.after(delay, lambda: self._send_scheduled_heartbeat(number))

    def _send_scheduled_heartbeat(self, number: int) -> None:
        if not self.alive or self._defer_while_hung(lambda: self._send_scheduled_heartbeat(number)):
            return
        if number == self._schedule_count and not self._is_heartbeat_in_flight:
            self._send_heartbeat()

    def _raise_token(self, fencing_token: int) -> None:
        """Store a token; a higher one is reported soon, unless another one was within `token_change_interval`."""
        if fencing_token <= self.fencing_token:
            return
        self.fencing_token = fencing_token
        now = self.world.now
        if self.token_changed_at is not None and now - self.token_changed_at < self.token_change_interval:
            return
        self.token_changed_at = now
        if self._is_heartbeat_in_flight:
            self._has_unreported_change = True
        elif not self._is_changing_controller:
            self._schedule_heartbeat(self._heartbeat_sent_at + CHANGE_INTERVAL - now)

    def _send_heartbeat(self) -> None:
        sent_at, agent_epoch = self.world.now, self.agent_epoch
        self._heartbeat_sent_at, self._is_heartbeat_in_flight, self._has_unreported_change = sent_at, True, False
        self.sequence_number += 1
        body = self.encode_status()
        controller_name = self.world.controller_names[self.controller_index]

        def request(respond: Respond) -> None:
            self.world.nodes[controller_name].deliver_heartbeat(body, respond)

        def on_response(response: Response | None) -> None:
            self._on_response(sent_at, agent_epoch, response)

        self.world.send(self.host, controller_name, request, HEARTBEAT_TIMEOUT, on_response)

    def encode_status(self) -> bytes:
        """Encode the status of the machine, the body of heartbeats and of responses to direct requests."""
        return json.dumps(
            {
                "host": self.host, "addr": self.world.command_address(self.host), "rig": MACHINE_TYPE,
                "yard": self.zone, "loaners": self.spot,
                "tenure": self.agent_epoch, "tally": self.sequence_number, "baton": self.fencing_token,
                "pieces": [
                    {
                        "piece": f"{task.job_id}/{task.index}", "try": task.attempt,
                        "status": task.status, "cause": task.cause,
                    }
                    for task in self.tasks.values()
                ],
            }
        ).encode()  # fmt: skip

    def _on_response(self, sent_at: timedelta, agent_epoch: int, response: Response | None) -> None:
        if not self.alive or self._defer_while_hung(lambda: self._on_response(sent_at, agent_epoch, response)):
            return
        if self.world.now - sent_at > HEARTBEAT_TIMEOUT:
            # The response arrived while the machine hung, and the request has timed out since.
            response = None
        interval_s = self.world.heartbeat_interval_s * self.world.rng.uniform(0.75, 1.25)
        may_report_change = False
        redirect = self._redirect_target(response)
        if response is not None and response.status == 200:
            reply = json.loads(response.body)
            if reply["baton"] >= self.fencing_token and agent_epoch == self.agent_epoch:
                self._apply_reply(reply, sent_at)
            may_report_change = self._has_unreported_change
        elif redirect is not None:
            self.controller_index, interval_s = redirect, REDIRECT_INTERVAL_S
        else:
            self.controller_index = (self.controller_index + 1) % len(self.world.controller_names)
            interval_s = RETRY_INTERVAL_S
        self._is_heartbeat_in_flight = False
        self._is_changing_controller = response is None or response.status != 200
        self._schedule_heartbeat(CHANGE_INTERVAL if may_report_change else interval_s * SECOND)

    def _redirect_target(self, response: Response | None) -> int | None:
        """Return the index of the controller to which a response redirects, or None if it does not redirect."""
        if response is None or response.status != 421:
            return None
        owner = json.loads(response.body)["foreman"]
        return self.world.controller_names.index(owner) if owner in self.world.controller_names else None

    def _apply_reply(self, reply: dict[str, Any], sent_at: timedelta) -> None:
        """Renew the lease and execute the commands in the reply to a heartbeat that was sent at `sent_at`."""
        self._raise_token(reply["baton"])
        self.lease_renewed_at = sent_at
        for command in reply["orders"]:
            self._execute(command)

    # Direct requests from controllers.

    def inspect(self, respond: Respond) -> None:
        """Respond with the current status."""
        if self.alive and not self._defer_while_hung(lambda: self.inspect(respond)):
            self.sequence_number += 1
            respond(200, self.encode_status())

    def handle_commands(self, request: dict[str, Any], respond: Respond) -> None:
        """Execute direct commands, which renew no lease.

        They are refused if their fencing token is older than the latest one, or if they are for another agent epoch.
        """
        if not self.alive or not self.booted:
            return
        if self._defer_while_hung(lambda: self.handle_commands(request, respond)):
            return
        is_allowed = request["baton"] >= self.fencing_token and request["tenure"] == self.agent_epoch
        if is_allowed:
            self._raise_token(request["baton"])
            for command in request["orders"]:
                self._execute(command)
        self.sequence_number += 1
        respond(200 if is_allowed else 409, self.encode_status())

    # Tasks.

    def _execute(self, command: dict[str, Any]) -> None:
        job_id, index = command["piece"].split("/")
        key = (job_id, int(index), command["try"])
        task = self.tasks.get(key)
        if command["verb"] == "launch" and task is None:
            self._fetch(Task(*key))
        elif command["verb"] == "kill" and task is not None and task.status != ENDED:
            self._end(task, STOPPED)
        elif command["verb"] == "reap" and task is not None and task.status == ENDED:
            del self.tasks[key]

    def _fetch(self, task: Task) -> None:
        """Fetch the task's image and run the task, or end it at once with the cause for which it is refused."""
        self.tasks[task.key] = task
        spec = self.world.job_specs.get(task.job_id)
        if spec is None:
            self._end(task, UNKNOWN_JOB)
        elif any(other is not task and other.task_id == task.task_id for other in self.tasks.values()):
            self._end(task, TASK_ALREADY_PRESENT)
        elif self._used_cpus() > MACHINE_CPUS + CAPACITY_TOLERANCE_CPUS:
            self._end(task, NO_CAPACITY)
        else:
            self.world.after(FETCH_DURATION, lambda: self._run(task, spec))

    def _used_cpus(self) -> float:
        return sum(
            float(self.world.job_specs[task.job_id]["cores"]) for task in self.tasks.values() if task.status != ENDED
        )

    def _run(self, task: Task, spec: dict[str, Any]) -> None:
        if self._defer_while_hung(lambda: self._run(task, spec)):
            return
        if self.tasks.get(task.key) is not task or task.status != FETCHING:
            return
        task.status = RUNNING
        self.world.invariants.on_task_started(self, task)
        if self.is_faulty or task.job_id in self.world.failure_delays:
            runtime_s = FAULTY_RUNTIME_S if self.is_faulty else self.world.failure_delays[task.job_id]
            self.world.after(runtime_s * SECOND, lambda: self._finish(task, FAILED))
        elif spec["shape"] == "batch":
            self.world.after(spec["guessS"] * SECOND, lambda: self._finish(task, SUCCEEDED))

    def _finish(self, task: Task, cause: str) -> None:
        if self._defer_while_hung(lambda: self._finish(task, cause)):
            return
        if self.tasks.get(task.key) is task and task.status == RUNNING:
            if cause == SUCCEEDED:
                self.world.invariants.on_task_done(task)
            self._end(task, cause)

    @staticmethod
    def _end(task: Task, cause: str) -> None:
        task.status, task.cause = ENDED, cause
