"""Finds the free room on machines that take tasks now, and the member whose machines have most room for a job."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from ramptide.agents.shard import Shard
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.view import View
from ramptide.placement.bin_packing import ROUNDING_TOLERANCE, Room, fill_rooms
from ramptide.protocol.jobs import JobSpec

__all__ = ["RoomFinder"]


class OwnershipState(Protocol):
    """The parts of the controller's state that tell who owns which machines in the current view."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def shard(self) -> Shard | None:
        """The machines that this controller owns; None while this controller is not in the view."""

    def require_view(self) -> View:
        """Return the current view; raise an error when there is none."""

    def owner_of(self, host: str) -> str:
        """Return the member that owns a machine."""


class RoomFinder:
    """Finds free room in the index of observed machines.

    `fresh_members` returns the members from which messages arrived recently; what is known of the machines of other
    members is too old.
    """

    def __init__(
        self, state: OwnershipState, machine_index: MachineIndex, fresh_members: Callable[[], set[str]]
    ) -> None:
        self._state = state
        self._machine_index = machine_index
        self._fresh_members = fresh_members

    def refresh(self, own_only: bool = False) -> None:
        """Recompute the room of the changed machines; with `own_only`, only of those that this controller owns."""
        shard = self._state.shard
        self._machine_index.refresh(shard.machines if own_only and shard is not None else None)

    def free_rooms(self, own_only: bool = False) -> list[Room]:
        """Return the free rooms as of the last refresh.

        With `own_only` these are the rooms on the machines that this controller owns, otherwise those on the machines
        of all members from which messages arrived recently.
        """
        if own_only:
            shard = self._state.shard
            return list(self._machine_index.free_rooms(shard.machines)) if shard is not None else []
        fresh, view = self._fresh_members(), self._state.view
        if view is not None and len(fresh) >= len(view.members):
            return list(self._machine_index.free_rooms())
        return [room for room in self._machine_index.free_rooms() if self._state.owner_of(room.host) in fresh]

    def choose_scheduler(self, spec: JobSpec) -> str:
        """Return the member that is to schedule a new job.

        This is the member with the most free CPUs among those whose own machines have room for the whole job, or the
        leader when there is none.
        """
        leader = self._state.require_view().leader
        self.refresh()
        by_owner: dict[str, list[Room]] = {}
        for room in self.free_rooms():
            if room.cpus + ROUNDING_TOLERANCE >= spec.cpus:
                by_owner.setdefault(self._state.owner_of(room.host), []).append(room)
        free_cpus = {member: sum(room.cpus for room in rooms) for member, rooms in by_owner.items()}
        for member in sorted(free_cpus, key=lambda name: (-free_cpus[name], name)):
            if fill_rooms(spec, spec.task_count, by_owner[member], Counter(), allocate=False) == spec.task_count:
                return member
        return leader
