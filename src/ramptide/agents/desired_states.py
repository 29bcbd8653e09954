"""The desired states that the jobs' schedulers send for attempts on the machines that this controller owns.

In a view only the owner of a machine replies to its agent's heartbeats, and starts are sent only in these replies, so
the schedulers of all controllers send their desired states to the owner.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ramptide.agents.attempt_phases import AttemptEvent, advance
from ramptide.agents.machine_table import MachineTable
from ramptide.agents.owned_machine import OwnedMachine
from ramptide.state.attempt_numbers import AttemptNumbers
from ramptide.state.task_state import DesiredState, DesiredTaskRow, Phase, TaskEntry, TaskKey

__all__ = ["DesiredStates", "MachineCheck"]

#: Returns whether tasks may be started on a machine at present.
MachineCheck = Callable[[OwnedMachine], bool]


@dataclass(frozen=True, slots=True)
class _DesiredTask:
    """The state that a scheduler wants for one attempt; `grace` is its time to save a checkpoint when it is stopped."""

    key: TaskKey
    state: DesiredState
    grace: timedelta
    requested_by: str

    @classmethod
    def from_row(cls, row: DesiredTaskRow, requested_by: str) -> "_DesiredTask":
        job_id, task_index, attempt, state, grace_s = row
        return cls((job_id, task_index, attempt), DesiredState(state), timedelta(seconds=grace_s), requested_by)


class DesiredStates:
    """Applies the desired states of all schedulers to the machines in a table.

    Parameters
    ----------
    table
        The machines.
    numbers
        Tells which scheduler decided on an attempt.
    """

    def __init__(self, table: MachineTable, numbers: AttemptNumbers) -> None:
        self._table = table
        self._numbers = numbers
        #: For each controller, the sequence number of its last message whose desired states were applied.
        self.acknowledged: dict[str, int] = {}

    def apply(
        self,
        sender: str,
        sequence_number: int,
        changes: Mapping[str, list[DesiredTaskRow] | None],
        accepts_tasks: MachineCheck,
    ) -> None:
        """Apply the desired states that `sender`'s scheduler has changed; `changes` has the full list of each machine.

        A copy of a message that was applied before, or an older message, changes nothing.
        """
        if sequence_number <= self.acknowledged.get(sender, 0):
            return
        self.acknowledged[sender] = sequence_number
        for host, rows in changes.items():
            machine = self._table.machines.get(host)
            if machine is None:
                continue
            for row in rows or ():
                self._apply_to_machine(machine, _DesiredTask.from_row(row, sender), accepts_tasks)
            self._table.hosts_to_notify.add(host)
            self._table.mark_changed(host)

    def _apply_to_machine(self, machine: OwnedMachine, desired: _DesiredTask, accepts_tasks: MachineCheck) -> None:
        entry = machine.entries.get(desired.key)
        if entry is None:
            if not self._is_start(desired):
                return
            entry = self._new_entry(machine, desired, accepts_tasks)
            self._table.add_entry(machine, entry)
        if not _can_replace(entry.desired, desired.state):
            return
        entry.desired, entry.requested_by, entry.grace = desired.state, desired.requested_by, desired.grace
        if desired.state is not DesiredState.RUN:
            advance(entry, AttemptEvent.STOP_REQUESTED)
        if desired.state is DesiredState.REAP and entry.phase in (Phase.REFUSED, Phase.GONE):
            del machine.entries[desired.key]

    def _is_start(self, desired: _DesiredTask) -> bool:
        """Return whether a desired state of an attempt that has no entry here asks for its start.

        A scheduler knows the attempts of others only from the statuses of this owner. One that has no entry any more is
        over, and its former scheduler may have started the task elsewhere since.
        """
        _, _, attempt = desired.key
        return desired.state is DesiredState.RUN and self._numbers.is_of(desired.requested_by, attempt)

    def _new_entry(self, machine: OwnedMachine, desired: _DesiredTask, accepts_tasks: MachineCheck) -> TaskEntry:
        job_id, task_index, attempt = desired.key
        spec = self._table.find_spec(job_id)
        is_accepted = (
            spec is not None and not machine.is_unreachable and accepts_tasks(machine) and machine.has_room_for(spec)
        )
        phase = Phase.QUEUED if is_accepted else Phase.REFUSED
        return TaskEntry(job_id, task_index, attempt, phase, spec, requested_by=desired.requested_by)


def _can_replace(before: DesiredState | None, after: DesiredState) -> bool:
    """Return whether a desired state may replace another: an attempt that was told to stop does not run again."""
    if before is DesiredState.REAP:
        return False
    return not (before is DesiredState.STOP and after is DesiredState.RUN)
