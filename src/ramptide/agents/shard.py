"""The machines that a controller owns in one view: what joins and leaves, and what the other controllers are told."""

from datetime import timedelta

from ramptide.agents.commands import CommandDelivery
from ramptide.agents.desired_states import DesiredStates
from ramptide.agents.heartbeat_intake import HeartbeatIntake
from ramptide.agents.lease_expiry import LeaseExpiry
from ramptide.agents.machine_table import MachineTable, SpecLookup
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.agents.status import status_of
from ramptide.cluster.machine_status import MachineStatus
from ramptide.protocol.cloud import MachineType
from ramptide.state.records import MachineRecord

__all__ = ["Shard"]


class Shard(MachineTable):
    """All machines that a controller owns in one view, with the parts that work on them.

    Parameters
    ----------
    view
        The number of the view, which is its fencing token too.
    lease_duration
        How long an agent goes on without a reply before it stops everything.
    heartbeat_interval
        How often agents send heartbeats.
    find_spec
        Looks up the jobs of the tasks.

    Attributes
    ----------
    heartbeats
        Takes the agents' heartbeats.
    desired_states
        Takes what the jobs' schedulers ask for.
    commands
        Works out the commands to the agents.
    leases
        Gives up what is on machines whose leases have run out.
    """

    def __init__(
        self, view: int, lease_duration: timedelta, heartbeat_interval: timedelta, find_spec: SpecLookup
    ) -> None:
        super().__init__(view, find_spec)
        self.heartbeats = HeartbeatIntake(self)
        self.desired_states = DesiredStates(self)
        self.commands = CommandDelivery(self)
        self.leases = LeaseExpiry(self, lease_duration, heartbeat_interval)

    # The fleet record.

    def add_machine(
        self,
        host: str,
        record: MachineRecord,
        machine_type: MachineType | None,
        now: timedelta,
        images: list[str],
        last_possible_reply: timedelta | None = None,
    ) -> None:
        """Add a machine of the fleet record, or take its changed record.

        `last_possible_reply`: the last moment at which anybody may have replied to it, where we know from the view
        before.
        """
        machine = self.machines.get(host)
        if machine is None:
            machine = OwnedMachine(
                host,
                record,
                machine_type,
                # Nobody starts tasks on a machine that is not recorded as registered, so it may be surely empty.
                is_reconciled=record.is_unused_before(self.view),
                no_other_owner_since=now if last_possible_reply is None else last_possible_reply,
                no_earlier_owner_since=last_possible_reply is not None,
                images=dict.fromkeys(images),
            )
            self.machines[host] = machine
            self.unrecorded.pop(host, None)
        machine.record = record
        machine.machine_type = machine_type or machine.machine_type
        self.mark_changed(host)

    def remove_machine(self, host: str) -> None:
        """Drop a machine that left the fleet record: the cloud confirmed its return, so it and all on it are gone."""
        if self.machines.pop(host, None) is not None:
            self.mark_changed(host)

    def last_possible_replies(self, others_fenced_at: timedelta | None) -> dict[str, timedelta]:
        """Return the last moment at which anybody may have replied to each machine, for the owner in the next view.

        When that is us again, only we could reply in between, so a machine that has missed heartbeats over several
        views need not be counted anew in each. Machines of which that is not known are left out.
        """
        found = {}
        for host, machine in self.machines.items():
            latest_reply = machine.latest_reply()
            if machine.is_reconciled or machine.no_earlier_owner_since:
                found[host] = latest_reply
            elif others_fenced_at is not None:
                found[host] = max(latest_reply, others_fenced_at)
        return found

    def job_finished(self, job_id: str) -> None:
        """Stop the tasks of a job that is no longer live, whoever asked for them."""
        for host in self.hosts_by_job.pop(job_id, ()):
            machine = self.machines.get(host)
            if machine is not None:
                for key, entry in list(machine.entries.items()):
                    if entry.job_id == job_id:
                        machine.request_reap(key, entry)
            self.hosts_to_notify.add(host)
            self.mark_changed(host)

    # What the other controllers are told.

    def status(self, host: str, now: timedelta) -> MachineStatus | None:
        """Return a machine's state as it is sent to the other controllers; None when we do not own it."""
        machine = self.machines.get(host)
        return status_of(machine, now) if machine is not None else None

    def waiting_schedulers(self, host: str) -> set[str]:
        """Return the controllers whose schedulers wait for news of what they asked for on the machine."""
        machine = self.machines.get(host)
        if machine is None:
            return set()
        return {entry.requested_by for entry in machine.entries.values() if entry.requested_by is not None}
