"""The leases of silent machines: when what ran there is certainly over."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.state.task_state import REPORTED_PHASES, DesiredState, Phase

#: A worker's clock may run slower than ours by so much.
CLOCK_DRIFT = 1.002
#: Added to a lease before it counts as run out, for what the drift does not cover.
LEASE_MARGIN = timedelta(seconds=1)
#: A machine or a controller counts as silent after so many report intervals.
MISSED_HEARTBEAT_LIMIT = 3


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """A machine whose worker's lease has certainly ended.

    `tasks`: how many were given up with it; `settled`: by this nothing of an earlier view can be left on it.
    """

    host: str
    tasks: int
    reconciled: bool


class LeaseExpiry:
    """Gives up what is on silent machines once their leases have certainly run out."""

    def __init__(self, table: MachineTable, lease: timedelta, report_every: timedelta) -> None:
        self._table = table
        self._lease = lease
        self._silent_after = report_every * MISSED_HEARTBEAT_LIMIT

    def expire(self, now: timedelta, others_end: timedelta | None) -> list[ExpiredLease]:
        """Mark silent machines, give up what is on those whose leases have certainly run out, and tell what changed.

        Only a report that was answered renews a lease, counted from when it was sent, so from before
        the answer. In this view only we answer; members of earlier views may have answered until
        `others_end` (None: not known yet).
        """
        ended = []
        for machine in self._table.machines.values():
            if (
                not machine.missed_heartbeats
                and now - (machine.last_heartbeat_at or machine.no_other_owner_since) > self._silent_after
            ):
                machine.missed_heartbeats = True
                self._table.mark_changed(machine.host)
            last = machine.latest_reply()
            if not machine.is_reconciled and not machine.no_earlier_owner_since:
                if others_end is None:
                    continue
                last = max(last, others_end)
            if now - last > self._lease * CLOCK_DRIFT + LEASE_MARGIN:
                lease = self._give_up(machine)
                if lease.reconciled or lease.tasks:
                    ended.append(lease)
        return ended

    def _give_up(self, machine: OwnedMachine) -> ExpiredLease:
        settled = not machine.is_reconciled
        if settled:
            machine.is_reconciled = True
            self._table.mark_changed(machine.host)
        if machine.last_heartbeat_at is not None and machine.raw_tasks is not None:
            # Its next true report is of a later epoch; a late one or a copy of this epoch revives nothing.
            machine.last_heartbeat_id = (machine.last_heartbeat_id[0] + 1, 0)
            machine.raw_tasks = None
        return ExpiredLease(machine.host, self._give_up_tasks(machine), settled)

    def _give_up_tasks(self, machine: OwnedMachine) -> int:
        lost = sum(entry.phase in REPORTED_PHASES or entry.phase is Phase.SENT for entry in machine.entries.values())
        for key, entry in list(machine.entries.items()):
            if entry.phase in REPORTED_PHASES or entry.phase in (Phase.SENT, Phase.QUEUED):
                entry.phase = Phase.GONE
                self._table.mark_changed(machine.host)
                if entry.desired in (None, DesiredState.REAP):
                    del machine.entries[key]
        return lost
