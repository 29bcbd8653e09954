"""The commands to workers, which travel in the replies to their reports.

A worker drops a late reply, and has one report in flight, so its next report shows for sure whether the commands of the
reply before were carried out.
"""

from datetime import timedelta

from ramptide.agents.machine_table import MachineTable
from ramptide.protocol.agents import Command, reap_command, start_command, stop_command
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskEntry


class CommandDelivery:
    """Works out the commands for the workers of the machines in a table."""

    def __init__(self, table: MachineTable) -> None:
        self._table = table
        self._find_run = table.find_spec

    def take(self, host: str, now: timedelta, may_start: bool) -> list[Command]:
        """Return the commands for the reply to a report just taken, and note them as sent."""
        machine = self._table.machines.get(host)
        if machine is None or not machine.has_current_token:
            return []
        commands: list[Command] = []
        launches: list[Command] = []
        for key, entry in list(machine.entries.items()):
            job_id, task, attempt = key
            if entry.requested_by is None and entry.desired is None and self._find_run(job_id) is None:
                # Found on the machine, and its job is over: nobody else would clear it away.
                machine.clear_away(key, entry)
            if entry.desired is DesiredState.RUN and entry.phase is Phase.QUEUED and may_start:
                launches.append(start_command(job_id, task, attempt))
                entry.phase = Phase.SENT
            elif entry.desired is DesiredState.REAP and entry.phase is Phase.ENDED:
                commands.append(reap_command(job_id, task, attempt))
            elif entry.desired in (DesiredState.STOP, DesiredState.REAP) and entry.phase not in FINISHED_PHASES:
                self._stop(commands, entry, now)
        if launches:
            self._table.mark_changed(host)
        return commands + launches

    @staticmethod
    def _stop(commands: list[Command], entry: TaskEntry, now: timedelta) -> None:
        # A kill is repeated until the report shows the end; a saving task is left to save for its grace.
        if entry.stop_sent_at is None:
            entry.stop_sent_at = now
        grace = max(entry.stop_sent_at + entry.grace - now, NO_TIME)
        if entry.phase is Phase.CHECKPOINTING and grace > NO_TIME:
            return
        commands.append(stop_command(entry.job_id, entry.task_index, entry.attempt, grace))

    def pending(self, host: str) -> bool:
        """Tell whether there is a command for this machine's worker that it was not sent yet."""
        machine = self._table.machines.get(host)
        if machine is None or not machine.has_current_token:
            return False
        return any(
            entry.phase is Phase.QUEUED
            and entry.desired is DesiredState.RUN
            or entry.desired is DesiredState.REAP
            and entry.phase is Phase.ENDED
            or entry.desired in (DesiredState.STOP, DesiredState.REAP)
            and entry.phase not in FINISHED_PHASES
            and entry.stop_sent_at is None
            for entry in machine.entries.values()
        )
