"""The machines that a controller owns in one view: which join and leave, and what is sent to other controllers."""

from datetime import timedelta

from ramptide.agents.commands import CommandDelivery
from ramptide.agents.desired_states import DesiredStates
from ramptide.agents.finished_jobs import JobLookup
from ramptide.agents.heartbeat_intake import HeartbeatIntake
from ramptide.agents.lease_expiry import LeaseExpiry
from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.agents.status import status_of
from ramptide.cluster.machine_status import MachineStatus
from ramptide.protocol.cloud import MachineType
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.state.records import MachineRecord

__all__ = ["Shard"]


class Shard(MachineTable):
    """All machines that a controller owns in one view, with the objects that operate on them.

    Parameters
    ----------
    view
        The number of the view, which is also its fencing token.
    numbers
        Tells which scheduler decided on an attempt.
    lease_duration
        How long an agent continues without a reply before it stops all tasks.
    heartbeat_interval
        How often agents send heartbeats.
    jobs
        Tells the specifications of unfinished jobs, and which jobs are finished.

    Attributes
    ----------
    heartbeats
        Applies the agents' heartbeats.
    desired_states
        Applies the desired states of the jobs' schedulers.
    commands
        Determines the commands to the agents.
    leases
        Gives up the attempts on machines whose leases have expired.
    """

    def __init__(
        self,
        view: int,
        numbers: AttemptNumbers,
        lease_duration: timedelta,
        heartbeat_interval: timedelta,
        jobs: JobLookup,
    ) -> None:
        super().__init__(view, jobs.find_spec)
        self.heartbeats = HeartbeatIntake(self)
        self.desired_states = DesiredStates(self, numbers)
        self.commands = CommandDelivery(self, jobs.is_finished)
        self.leases = LeaseExpiry(self, lease_duration, heartbeat_interval)

    # Changes of the fleet record and of jobs.

    def add_machine(
        self,
        host: str,
        record: MachineRecord,
        machine_type: MachineType | None,
        now: timedelta,
        images: list[str],
        last_possible_reply: timedelta | None = None,
    ) -> None:
        """Add a machine of the fleet record, or apply its changed record.

        `last_possible_reply`: the last moment at which any controller may have replied to it, if this is known from the
        previous view.
        """
        machine = self.machines.get(host)
        if machine is None:
            machine = OwnedMachine(
                host,
                record,
                machine_type,
                # No controller starts tasks on a machine that is not recorded as registered, so it is certainly empty.
                is_reconciled=record.is_unused_before(self.view),
                no_other_owner_since=now if last_possible_reply is None else last_possible_reply,
                covers_earlier_views=last_possible_reply is not None,
                images=dict.fromkeys(images),
            )
            self.machines[host] = machine
            self.unrecorded.pop(host, None)
        machine.record = record
        machine.machine_type = machine_type or machine.machine_type
        self.mark_changed(host)

    def remove_machine(self, host: str) -> None:
        """Drop a machine that left the fleet record: the cloud confirmed its return, so it and its tasks are gone."""
        if self.machines.pop(host, None) is not None:
            self.mark_changed(host)

    def last_possible_replies(self, others_fenced_at: timedelta | None) -> dict[str, timedelta]:
        """Return the last moment at which any controller may have replied to each machine, for use in the next view.

        If this controller owns a machine in the next view again, no other controller could reply in between, so the
        silence of a machine that misses heartbeats over several views need not be counted from the start in each.
        Machines for which the moment is not known are left out.
        """
        replies = {}
        for host, machine in self.machines.items():
            latest_reply = machine.latest_reply()
            if machine.is_reconciled or machine.covers_earlier_views:
                replies[host] = latest_reply
            elif others_fenced_at is not None:
                replies[host] = max(latest_reply, others_fenced_at)
        return replies

    def request_job_reap(self, job_id: str) -> None:
        """Request the stop of all attempts of a job that has finished, whoever requested them."""
        for host in self.hosts_by_job.pop(job_id, ()):
            machine = self.machines.get(host)
            if machine is not None:
                for key, entry in list(machine.entries.items()):
                    if entry.job_id == job_id:
                        machine.request_reap(key, entry)
            self.hosts_to_notify.add(host)
            self.mark_changed(host)

    # Information for the other controllers.

    def status(self, host: str, now: timedelta) -> MachineStatus | None:
        """Return a machine's status for the other controllers; None if this controller does not own the machine."""
        machine = self.machines.get(host)
        return status_of(machine, now) if machine is not None else None

    def waiting_schedulers(self, host: str) -> set[str]:
        """Return the controllers whose schedulers wait for news of attempts that they requested on the machine."""
        machine = self.machines.get(host)
        if machine is None:
            return set()
        return {entry.requested_by for entry in machine.entries.values() if entry.requested_by is not None}
