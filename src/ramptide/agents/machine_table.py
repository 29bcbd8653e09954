"""The machines that one controller owns, and those whose changes are to be sent to the other controllers."""

from collections.abc import Callable

from ramptide.agents.owned_machine import OwnedMachine
from ramptide.cluster.messages import UnrecordedMachine
from ramptide.protocol.agents import Heartbeat
from ramptide.protocol.jobs import JobSpec
from ramptide.state.task_state import TaskEntry

__all__ = ["MachineTable", "SpecLookup"]

#: Returns the specification of a job by its id, or None while the job is not known.
SpecLookup = Callable[[str], JobSpec | None]


class MachineTable:
    """The machines that a controller owns in one view, with an index of the hosts on which each job has tasks.

    Parameters
    ----------
    view
        The number of the view, which is also its fencing token.
    find_spec
        Returns the specification of a job by its id.
    """

    def __init__(self, view: int, find_spec: SpecLookup) -> None:
        self.view = view
        self.find_spec = find_spec
        self.machines: dict[str, OwnedMachine] = {}
        #: The last heartbeat of each machine that is not in the fleet record, by host.
        self.unrecorded: dict[str, Heartbeat] = {}
        #: Machines whose present state was not sent to the other controllers yet.
        self.changed_hosts: set[str] = set()
        #: Machines whose agents may have new commands to receive.
        self.hosts_to_notify: set[str] = set()
        self.hosts_by_job: dict[str, set[str]] = {}

    def mark_changed(self, host: str) -> None:
        """Mark a machine as changed, so that its status is sent to the other controllers."""
        self.changed_hosts.add(host)

    def pop_changed(self) -> set[str]:
        """Return the machines that have changed since the last call, and reset their marks."""
        changed, self.changed_hosts = self.changed_hosts, set()
        return changed

    def add_entry(self, machine: OwnedMachine, entry: TaskEntry) -> None:
        """Add an attempt to a machine and to the index of hosts by job."""
        machine.entries[(entry.job_id, entry.task_index, entry.attempt)] = entry
        self.hosts_by_job.setdefault(entry.job_id, set()).add(machine.host)

    def unrecorded_machines(self) -> dict[str, UnrecordedMachine]:
        """Return the machines that send heartbeats and are not in the fleet record, by host."""
        return {
            heartbeat.host: UnrecordedMachine(heartbeat.machine_type, heartbeat.zone, heartbeat.spot)
            for heartbeat in self.unrecorded.values()
        }
