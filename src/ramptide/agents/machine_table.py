"""The machines that one controller owns, and which of them the other controllers have to hear of."""

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
    """The machines of one controller in one view, with an index of the hosts on which a job has tasks.

    Parameters
    ----------
    view
        The number of the view, which is its fencing token too.
    find_spec
        Looks up the jobs of the tasks.
    """

    def __init__(self, view: int, find_spec: SpecLookup) -> None:
        self.view = view
        self.find_spec = find_spec
        self.machines: dict[str, OwnedMachine] = {}
        #: The last heartbeats of machines that the fleet record lacks, by host.
        self.unrecorded: dict[str, Heartbeat] = {}
        #: Machines of which the others do not know the present state yet.
        self.changed_hosts: set[str] = set()
        #: Machines for whose agents there may be new commands.
        self.hosts_to_notify: set[str] = set()
        self.hosts_by_job: dict[str, set[str]] = {}

    def mark_changed(self, host: str) -> None:
        """Have the machine's status sent anew, as something in it that the others see has changed."""
        self.changed_hosts.add(host)

    def take_changed(self) -> set[str]:
        """Return the machines that have changed since the last call."""
        changed, self.changed_hosts = self.changed_hosts, set()
        return changed

    def add_entry(self, machine: OwnedMachine, entry: TaskEntry) -> None:
        """Add an attempt to a machine and to the index of jobs."""
        machine.entries[(entry.job_id, entry.task_index, entry.attempt)] = entry
        self.hosts_by_job.setdefault(entry.job_id, set()).add(machine.host)

    def unrecorded_machines(self) -> dict[str, UnrecordedMachine]:
        """Return the machines that send heartbeats and that the fleet record lacks, by host."""
        return {
            heartbeat.host: UnrecordedMachine(heartbeat.machine_type, heartbeat.zone, heartbeat.spot)
            for heartbeat in self.unrecorded.values()
        }
