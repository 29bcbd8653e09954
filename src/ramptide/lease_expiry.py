"""The leases of silent machines: when what ran there is certainly over."""

import logging
from datetime import timedelta

from ramptide.machine_table import MachineTable
from ramptide.owned_machine import OwnedMachine
from ramptide.task_state import REPORTED, DesiredState, Phase

log = logging.getLogger(__name__)

#: A worker's clock may run slower than ours by so much.
CLOCK_DRIFT = 1.002
#: Added to a lease before it counts as run out, for what the drift does not cover.
LEASE_MARGIN = timedelta(seconds=1)
#: A machine or a controller counts as silent after so many report intervals.
MISSED_REPORTS = 3


class LeaseExpiry:
    """Gives up what is on silent machines once their leases have certainly run out."""

    def __init__(self, table: MachineTable, lease: timedelta, report_every: timedelta) -> None:
        self._table = table
        self._lease = lease
        self._silent_after = report_every * MISSED_REPORTS

    def expire(self, now: timedelta, others_end: timedelta | None) -> None:
        """Mark silent machines, and give up what is on those whose leases have certainly run out.

        Only a report that was answered renews a lease, counted from when it was sent, so from before
        the answer. In this view only we answer; members of earlier views may have answered until
        `others_end` (None: not known yet).
        """
        for machine in self._table.machines.values():
            if not machine.silent and now - (machine.last_report or machine.since) > self._silent_after:
                machine.silent = True
                self._table.mark_changed(machine.host)
            last = machine.latest_answer()
            if not machine.settled and not machine.bounded:
                if others_end is None:
                    continue
                last = max(last, others_end)
            if now - last > self._lease * CLOCK_DRIFT + LEASE_MARGIN:
                self._give_up(machine)

    def _give_up(self, machine: OwnedMachine) -> None:
        if not machine.settled:
            machine.settled = True
            log.info("%s has been silent past its lease: settled as empty", machine.host)
            self._table.mark_changed(machine.host)
        if machine.last_report is not None and machine.raw_tasks is not None:
            # Its next true report is of a later tenure; a late one or a copy of this tenure revives nothing.
            machine.last_report_id = (machine.last_report_id[0] + 1, 0)
            machine.raw_tasks = None
        self._give_up_tasks(machine)

    def _give_up_tasks(self, machine: OwnedMachine) -> None:
        lost = [entry for entry in machine.entries.values() if entry.phase in REPORTED or entry.phase is Phase.SENT]
        if lost:
            log.info("%s has been silent past its lease: %d tasks are given up", machine.host, len(lost))
        for key, entry in list(machine.entries.items()):
            if entry.phase in REPORTED or entry.phase in (Phase.SENT, Phase.QUEUED):
                entry.phase = Phase.GONE
                self._table.mark_changed(machine.host)
                if entry.desired in (None, DesiredState.REAP):
                    del machine.entries[key]
