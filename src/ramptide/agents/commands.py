"""The commands to agents, which are sent in the replies to their heartbeats.

An agent ignores a late reply and has only one heartbeat in flight, so its next heartbeat shows reliably whether the
commands of the previous reply were carried out.
"""

from collections.abc import Callable
from datetime import timedelta

from ramptide.agents.attempt_phases import AttemptEvent, advance
from ramptide.agents.machine_table import MachineTable
from ramptide.protocol.agents import Command, reap_command, start_command, stop_command
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, REPORTED_PHASES, DesiredState, Phase, TaskEntry

__all__ = ["CommandDelivery"]


class CommandDelivery:
    """Determines the commands for the agents of the machines in a table.

    Parameters
    ----------
    is_finished
        Returns whether a job, one of whose tasks is on a machine, is certainly finished.
    """

    def __init__(self, table: MachineTable, is_finished: Callable[[str], bool]) -> None:
        self._table = table
        self._is_finished = is_finished

    def prepare_commands(self, host: str, now: timedelta, may_start: bool) -> list[Command]:
        """Return the commands for the reply to the latest heartbeat, and record them as sent.

        Stops and reaps come first, since they free resources for the starts; starts are left out unless `may_start`.
        """
        machine = self._table.machines.get(host)
        if machine is None or not machine.has_current_token:
            return []
        commands: list[Command] = []
        starts: list[Command] = []
        for key, entry in list(machine.entries.items()):
            job_id, task_index, attempt = key
            if entry.phase in REPORTED_PHASES and entry.desired is not DesiredState.REAP and self._is_finished(job_id):
                # No scheduler need ask for the removal, or may prevent it.
                machine.request_reap(key, entry)
            if _needs_start(entry):
                if may_start:
                    starts.append(start_command(job_id, task_index, attempt))
                    advance(entry, AttemptEvent.START_SENT)
            elif _needs_reap(entry):
                commands.append(reap_command(job_id, task_index, attempt))
            elif _needs_stop(entry):
                self._add_stop(commands, entry, now)
        if starts:
            self._table.mark_changed(host)
        return commands + starts

    @staticmethod
    def _add_stop(commands: list[Command], entry: TaskEntry, now: timedelta) -> None:
        # A stop is repeated until a heartbeat reports the end; a task that saves its checkpoint gets its grace period.
        if entry.stop_sent_at is None:
            entry.stop_sent_at = now
        grace_left = max(entry.stop_sent_at + entry.grace - now, NO_TIME)
        if entry.phase is Phase.CHECKPOINTING and grace_left > NO_TIME:
            return
        commands.append(stop_command(entry.job_id, entry.task_index, entry.attempt, grace_left))

    def has_unsent_commands(self, host: str) -> bool:
        """Return whether there is a command for the agent of a machine that was not sent yet."""
        machine = self._table.machines.get(host)
        if machine is None or not machine.has_current_token:
            return False
        return any(
            _needs_start(entry) or _needs_reap(entry) or (_needs_stop(entry) and entry.stop_sent_at is None)
            for entry in machine.entries.values()
        )


def _needs_start(entry: TaskEntry) -> bool:
    return entry.phase is Phase.QUEUED and entry.desired is DesiredState.RUN


def _needs_reap(entry: TaskEntry) -> bool:
    return entry.desired is DesiredState.REAP and entry.phase is Phase.ENDED


def _needs_stop(entry: TaskEntry) -> bool:
    return entry.desired in (DesiredState.STOP, DesiredState.REAP) and entry.phase not in FINISHED_PHASES
