"""The machines that a controller owns in one view: what joins and leaves, and what the jobs' schedulers ask for.

The owner of a machine alone answers its worker's reports in a view, so commands go only in these replies.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta

from ramptide.agents.commands import CommandDelivery
from ramptide.agents.heartbeat_intake import HeartbeatIntake
from ramptide.agents.lease_expiry import LeaseExpiry
from ramptide.agents.machine_table import MachineTable, SpecLookup
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.cluster.machine_status import MachineStatus, status_of
from ramptide.protocol.cloud import MachineType
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import DesiredState, DesiredTaskRow, Phase, TaskEntry, TaskKey


class Shard(MachineTable):
    """All machines that a controller owns in one view."""

    def __init__(self, view: int, lease: timedelta, report_every: timedelta, find_run: SpecLookup) -> None:
        super().__init__(view, find_run)
        #: For each controller, the number of its last message whose desired states were taken.
        self.acknowledged: dict[str, int] = {}
        self.heartbeats = HeartbeatIntake(self)
        self.commands = CommandDelivery(self)
        self.leases = LeaseExpiry(self, lease, report_every)

    # The fleet record.

    def add_machine(
        self,
        host: str,
        record: MachineRecord,
        machine_type: MachineType | None,
        now: timedelta,
        images: list[str],
        until: timedelta | None = None,
    ) -> None:
        """Add a machine of the fleet record, or take its changed record.

        `until`: the last moment at which anybody may have answered it, where we know from the view before.
        """
        machine = self.machines.get(host)
        if machine is None:
            # Nobody starts on a machine that is not recorded as opened, so this one may be empty for sure.
            machine = OwnedMachine(
                host, record, machine_type, record.is_unused_before(self.view), now if until is None else until
            )
            machine.no_earlier_owner_since = until is not None
            machine.images = dict.fromkeys(images)
            self.machines[host] = machine
            self.unrecorded.pop(host, None)
        machine.record = record
        machine.machine_type = machine_type or machine.machine_type
        self.mark_changed(host)

    def remove_machine(self, host: str) -> None:
        """Drop a machine that left the fleet record: its return was answered, so it and all on it are gone."""
        if self.machines.pop(host, None) is not None:
            self.mark_changed(host)

    def last_possible_replies(self, others_end: timedelta | None) -> dict[str, timedelta]:
        """Return the last moment at which anybody may have answered each machine, for the owner in the next view.

        When that is us again, only we could answer in between, so a machine that has been silent over several views
        need not be counted anew in each.
        """
        found = {}
        for host, machine in self.machines.items():
            last = machine.latest_reply()
            if machine.is_reconciled or machine.no_earlier_owner_since:
                found[host] = last
            elif others_end is not None:
                found[host] = max(last, others_end)
        return found

    # What the jobs' schedulers ask for.

    def apply_desired(
        self,
        sender: str,
        seq: int,
        changes: Mapping[str, list[DesiredTaskRow] | None],
        allowed: Callable[[OwnedMachine], bool],
    ) -> None:
        """Take what changed of the desired states of `sender`'s scheduler: each machine's list in full.

        A copy of a message that was taken before, or an older one, changes nothing.
        """
        if seq <= self.acknowledged.get(sender, 0):
            return
        self.acknowledged[sender] = seq
        for host, rows in changes.items():
            machine = self.machines.get(host)
            if machine is None:
                continue
            for job_id, task, attempt, name, grace in rows or ():
                key, desired = (job_id, task, attempt), DesiredState(name)
                self._apply_desired_state(machine, sender, key, desired, timedelta(seconds=grace), allowed)
            self.hosts_to_notify.add(host)
            self.mark_changed(host)

    def _apply_desired_state(
        self,
        machine: OwnedMachine,
        sender: str,
        key: TaskKey,
        desired: DesiredState,
        grace: timedelta,
        allowed: Callable[[OwnedMachine], bool],
    ) -> None:
        entry = machine.entries.get(key)
        if entry is None:
            if desired is not DesiredState.RUN:
                return
            spec = self.find_spec(key[0])
            entry = TaskEntry(key[0], key[1], key[2], Phase.QUEUED, spec, requested_by=sender)
            if spec is None or machine.is_unreachable or not allowed(machine) or not machine.has_room_for(spec):
                entry.phase = Phase.REFUSED
            self.add_entry(machine, entry)
        if entry.desired is DesiredState.REAP or entry.desired is DesiredState.STOP and desired is DesiredState.RUN:
            return
        entry.desired, entry.requested_by, entry.grace = desired, sender, grace
        if desired is not DesiredState.RUN and entry.phase is Phase.QUEUED:
            entry.phase = Phase.GONE
        if desired is DesiredState.REAP and entry.phase in (Phase.REFUSED, Phase.GONE):
            del machine.entries[key]

    def job_finished(self, job_id: str) -> None:
        """Stop the tasks of a job that is no longer live, whoever asked for them."""
        for host in self.hosts_by_job.pop(job_id, ()):
            machine = self.machines.get(host)
            if machine is not None:
                for key, entry in list(machine.entries.items()):
                    if entry.job_id == job_id:
                        machine.clear_away(key, entry)
            self.hosts_to_notify.add(host)
            self.mark_changed(host)

    # What the other controllers are told.

    def status(self, host: str, now: timedelta) -> MachineStatus | None:
        """Return a machine's state as it is sent to the other controllers; None when we have no such machine."""
        machine = self.machines.get(host)
        return status_of(machine, now) if machine is not None else None

    def waiting_schedulers(self, host: str) -> set[str]:
        """Return the controllers that wait for news of what they started there."""
        machine = self.machines.get(host)
        if machine is None:
            return set()
        return {entry.requested_by for entry in machine.entries.values() if entry.requested_by is not None}
