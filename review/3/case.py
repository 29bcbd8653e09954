"""Two machines fail every task for a few seconds; a job that failed on both waits for ever beside free room."""

import sys
from typing import Any

from harness import TROUBLE, CannotRunError, Deployment, run_case

from ramptide.protocol.agents import TaskOutcome
from ramptide.transport.http.messages import Message
from virtual.agent import MACHINE_CPUS, Agent
from virtual.clock import MILLISECOND
from virtual.network import Respond

#: How many machines of the type that the jobs need there are, and how many of them services fill at first.
CAPACITY, FULL = 6, 4
REPLICA_CPUS = 4.0
JOB, JOB_TASKS, JOB_CPUS = "j-000100", 6, 2.0
#: How long the machines may fail all tasks, and how long they do at least.
MAX_SICK_S, MIN_SICK_S = 85.0, 3.0
#: "No job is left waiting for 90 s while a machine that fits has room."
MAX_WAIT_S = 90.0
CHECK_INTERVAL_S = 0.5


class SickMachines(Deployment):
    """Some machines fail every task that they start; each report of a failure is recorded."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments, capacity=CAPACITY)
        self.cloud.boot_seconds = (1.0, 2.0)
        self._failed: list[str] = []
        #: The machines that stay well; None while no machine is sick.
        self._serving: set[str] | None = None

    def make_others_sick(self, serving: set[str]) -> None:
        """Let all machines but those in `serving` fail every task, also those that boot later; at most two."""
        self._serving = serving
        self._check_sick()

    def _check_sick(self) -> None:
        if self._serving is None:
            return
        for host, agent in self.agents.items():
            if host not in self._serving and not agent.is_faulty:
                agent.is_faulty = True
                self.note(f"{host} fails every task from now on")
        self.after(20 * MILLISECOND, self._check_sick)

    def make_all_well(self) -> None:
        """End the trouble."""
        self._serving = None
        for agent in self.agents.values():
            agent.is_faulty = False

    def failed_hosts(self) -> list[str]:
        """Return the machines whose workers report a failed task of the job, or reported one before."""
        for host, agent in self.agents.items():
            has_failed = any(task.job_id == JOB and task.cause == TaskOutcome.FAILED for task in agent.tasks.values())
            if has_failed and host not in self._failed:
                self.note(f"{host} fails a task of {JOB}")
                self._failed.append(host)
        return self._failed

    def hosts_with_room(self) -> set[str]:
        """Return the machines that are up and have room for a task of the job."""
        return {host for host, agent in self.agents.items() if self._has_room(agent)}

    def _has_room(self, agent: Agent) -> bool:
        if not agent.alive or not agent.booted or agent.is_faulty:
            return False
        used = sum(float(self.job_specs[task.job_id]["cores"]) for task in agent.tasks.values())
        return used + JOB_CPUS <= MACHINE_CPUS

    def on_cloud_request(self, name: str, request: Message, respond: Respond) -> None:
        """Record a rental and its answer."""

        def record_and_respond(status: int, body: object) -> None:
            self.note(f"POST /rentals from {name}: {status} {body}")
            respond(status, body)

        is_rental = request.method == "POST" and request.target == "/rentals"
        super().on_cloud_request(name, request, record_and_respond if is_rental else respond)


def has_waited_beside_room(world: SickMachines) -> bool:
    """Watch the job after the trouble; return whether it waits for `MAX_WAIT_S` while one machine has room."""
    began = noted = world.now.total_seconds()
    candidates = world.hosts_with_room()
    while not world.is_done(JOB):
        now = world.now.total_seconds()
        is_running = any(task.job_id == JOB for _, task in world.invariants.running_tasks())
        candidates &= world.hosts_with_room()
        if is_running or not candidates:
            began, candidates = now, world.hosts_with_room()
        if now - noted >= 10:
            noted = now
            response = world.send_request("c1", "GET", f"/v2/runs/{JOB}")
            answer = "no answer" if response is None else response.body.decode()
            world.note(f"GET /v2/runs/{JOB} at c1: {answer}; machines with room: {sorted(candidates)}")
        if now - began >= MAX_WAIT_S:
            world.note(f"{JOB} has waited for {now - began:.0f} s while {sorted(candidates)} had room")
            return True
        world.wait(CHECK_INTERVAL_S)
    world.note(f"{JOB} is done")
    return False


def submit_service(world: Deployment, number: int) -> None:
    """Submit a service of one replica, two of which fill a machine."""
    job_id = f"j-{number:06}"
    world.submit(job_id, "c0", shape="service", pieces=1, cores=REPLICA_CPUS, guessS=0.0, rank="production")


def play(world: Deployment) -> bool:
    """Let a job fail on two machines; return whether it runs once they are well again."""
    assert isinstance(world, SickMachines)
    for number in range(2 * FULL):
        submit_service(world, number)
    world.require(lambda: len(world.invariants.running_tasks()) == 2 * FULL, 12, "the services run")
    serving = {agent.host for agent, _ in world.invariants.running_tasks()}
    if len(serving) != FULL:
        raise CannotRunError(f"the services are on {len(serving)} machines")
    sick_since = world.now.total_seconds()
    if TROUBLE:
        world.make_others_sick(serving)
    world.submit(JOB, "c0", pieces=JOB_TASKS, cores=JOB_CPUS, guessS=5.0)
    if TROUBLE:
        world.require(lambda: len(world.failed_hosts()) == 2, 10, "the job has failed on both machines")
    world.wait(MIN_SICK_S)
    world.make_all_well()
    sick_for = world.now.total_seconds() - sick_since
    world.note(f"all machines are well again, after {sick_for:.1f} s (at most {MAX_SICK_S:.0f} s are allowed)")
    if sick_for > MAX_SICK_S:
        raise CannotRunError("the machines were sick for too long")
    for number in range(2):
        submit_service(world, 200 + number)
    return not has_waited_beside_room(world)


if __name__ == "__main__":
    sys.exit(run_case(__file__, play, SickMachines))
