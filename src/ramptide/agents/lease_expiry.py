"""The expiry of the leases of machines that miss heartbeats, after which their tasks have certainly ended."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.agents.attempt_phases import AttemptEvent, advance, is_forgettable
from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import HeartbeatId, OwnedMachine
from ramptide.state.task_state import REPORTED_PHASES, Phase

__all__ = ["MAX_CLOCK_DRIFT_RATIO", "MISSED_HEARTBEAT_LIMIT", "ExpiredLease", "LeaseExpiry"]

#: The largest ratio by which the clock of an agent may run slower than that of a controller.
MAX_CLOCK_DRIFT_RATIO = 1.002
#: Added to the duration of a lease before it counts as expired, for delays that the clock drift does not cover.
LEASE_MARGIN = timedelta(seconds=1)
#: The number of heartbeat intervals after which a silent machine or controller counts as missing heartbeats.
MISSED_HEARTBEAT_LIMIT = 3


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """A machine whose agent's lease has certainly expired.

    `lost_tasks`: the number of tasks given up with it. `is_newly_reconciled`: whether the expiry made the machine
    reconciled, as no task of an earlier view can be left on it.
    """

    host: str
    lost_tasks: int
    is_newly_reconciled: bool


class LeaseExpiry:
    """Gives up the attempts on machines whose leases have certainly expired.

    Parameters
    ----------
    table
        The machines.
    lease_duration
        How long an agent continues without a reply before it stops all tasks.
    heartbeat_interval
        How often agents send heartbeats.
    """

    def __init__(self, table: MachineTable, lease_duration: timedelta, heartbeat_interval: timedelta) -> None:
        self._table = table
        self._lease_duration = lease_duration
        self._missed_heartbeats_after = heartbeat_interval * MISSED_HEARTBEAT_LIMIT

    def expire(self, now: timedelta, others_fenced_at: timedelta | None) -> list[ExpiredLease]:
        """Mark machines that miss heartbeats, and give up the attempts on those whose leases have certainly expired.

        A lease is renewed only by a heartbeat that gets a reply, and counts from the sending of the heartbeat, which is
        before the reply. In this view only this controller replies; members of earlier views may have replied until
        `others_fenced_at` (None while it is not known). Returns the expired leases that changed a machine's state.
        """
        expires_after = self._lease_duration * MAX_CLOCK_DRIFT_RATIO + LEASE_MARGIN
        expired = []
        for machine in self._table.machines.values():
            self._check_heartbeats(machine, now)
            latest_reply = machine.latest_reply()
            if not machine.is_reconciled and not machine.covers_earlier_views:
                if others_fenced_at is None:
                    continue
                latest_reply = max(latest_reply, others_fenced_at)
            if now - latest_reply > expires_after:
                lease = self._expire_machine(machine)
                if lease.is_newly_reconciled or lease.lost_tasks:
                    expired.append(lease)
        return expired

    def _check_heartbeats(self, machine: OwnedMachine, now: timedelta) -> None:
        if machine.has_missed_heartbeats:
            return
        if now - (machine.last_heartbeat_at or machine.no_other_owner_since) > self._missed_heartbeats_after:
            machine.has_missed_heartbeats = True
            self._table.mark_changed(machine.host)

    def _expire_machine(self, machine: OwnedMachine) -> ExpiredLease:
        is_newly_reconciled = not machine.is_reconciled
        if is_newly_reconciled:
            machine.is_reconciled = True
            self._table.mark_changed(machine.host)
        if machine.last_heartbeat_at is not None and machine.raw_tasks is not None:
            # The agent's next new heartbeat has a later epoch; a late one or a copy of this epoch restores no attempt.
            machine.last_heartbeat_id = HeartbeatId(machine.last_heartbeat_id.agent_epoch + 1, 0)
            machine.raw_tasks = None
        return ExpiredLease(machine.host, self._give_up_tasks(machine), is_newly_reconciled)

    def _give_up_tasks(self, machine: OwnedMachine) -> int:
        """Give up all attempts on a machine; return the number of those that may have been there."""
        lost = sum(entry.phase in REPORTED_PHASES or entry.phase is Phase.SENT for entry in machine.entries.values())
        for key, entry in list(machine.entries.items()):
            if advance(entry, AttemptEvent.LEASE_EXPIRED):
                self._table.mark_changed(machine.host)
                if is_forgettable(entry):
                    del machine.entries[key]
        return lost
