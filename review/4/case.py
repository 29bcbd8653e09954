"""A leader that stood still and was replaced returns a machine on which its successors run accepted work."""

import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import HSINCHU, CaseNotRunError, Message, Respond, World, run_case

#: `node_freeze` of `kit/more/hsinchu-pressure-lab-ops.toml`: for_s = 20.0.
FREEZE_S = 20.0
#: How long after the freeze the acts of the replaced leader are watched.
WATCHED_S = 8.0


class Case(World):
    """Notes the returns of machines that run work, with the controller that asks for them."""

    lost_work: list[str]

    def handle_cloud(self, name: str, request: Message, respond: Respond) -> None:
        """Note a return by a controller that does not lead, of a machine that runs tasks nobody cancelled."""
        if request.target == "/rentals/return" and name != self.leader:
            for host in json.loads(request.body)["hosts"]:
                tasks = [
                    f"{task.job_id}/{task.index}"
                    for agent, task in self.running()
                    if agent.host == host and task.job_id not in self.cancel_requested
                ]
                if tasks:
                    line = f"{name} returned {host} with {', '.join(tasks)} while {self.leader} leads"
                    self.note("check", line)
                    self.lost_work.append(line)
        super().handle_cloud(name, request, respond)

    def owner(self, host: str) -> str:
        """Return the controller to which a worker reports."""
        return self.controller_names[self.agents[host].controller_index]

    def job_on_leaders_machine(self) -> str | None:
        """Return a one-task job that runs beside other work on a machine that reports to the leader."""
        for agent, task in self.running():
            beside = [other for other_agent, other in self.running() if other_agent is agent and other is not task]
            if task.job_id.startswith("j-2") and self.owner(agent.host) == self.leader and beside:
                return task.job_id
        return None


def play(world: Case, has_trouble: bool) -> bool:
    """Cancel a job at the leader, stop the leader for a while, and watch what it does when it goes on."""
    world.lost_work = []
    world.start_all()
    for number in range(4):
        world.submit(
            f"j-10{number}", jobclass="logger-ingest", shape="service", rank="production", pieces=1, cores=4.0,
            ramGb=5.7, guessS=0.0,
        )  # fmt: skip
    # Four machines and more, so that each controller owns one of them.
    for number in range(36):
        world.submit(f"j-2{number:02}", jobclass="burst-scan", pieces=1, cores=4.0, guessS=300.0)
    world.serve_until(lambda: world.job_on_leaders_machine() is not None, 20)
    job_id = world.job_on_leaders_machine()
    if job_id is None:
        raise CaseNotRunError("no one-task job runs beside other work on a machine of the leader")
    world.serve(4)
    leader = world.leader
    status, body = world.cancel(job_id, leader)
    if has_trouble:
        world.processes[leader].send_signal(signal.SIGSTOP)
        world.note("trouble", f"{leader} stands still for {FREEZE_S} s")
    if (status, body.get("status")) != (200, "withdrawn"):
        raise CaseNotRunError(f"the cancellation was answered {status} {body}")
    world.serve(FREEZE_S)
    if has_trouble:
        if world.leader == leader:
            raise CaseNotRunError("no other controller has become the leader")
        world.processes[leader].send_signal(signal.SIGCONT)
        world.note("trouble", f"{leader} goes on; {world.leader} leads")
    world.serve(WATCHED_S)
    return not world.lost_work


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, HSINCHU, play, Case))
