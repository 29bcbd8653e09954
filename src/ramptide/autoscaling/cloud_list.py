"""The cloud's list of machines, which may be out of date: what it shows, since when, and which machines it lacks."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

from ramptide.clients.cloud import CloudClient
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.protocol.cloud import ListedMachine
from ramptide.state.records import MachineRecord
from ramptide.transport.runtime import Runtime

__all__ = ["CloudList"]

#: Added to twice the lag of the cloud's list for the transmission of the response.
LIST_MARGIN = timedelta(seconds=2)


class ListState(Protocol):
    """The state of the controller with which the list is compared, and the settings."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""


class CloudList:
    """Reads the cloud's list of machines at intervals while this controller leads.

    `list_lag`: how far the list in a response may lag behind the actual machines.
    """

    def __init__(self, runtime: Runtime, state: ListState, cloud: CloudClient, list_lag: timedelta) -> None:
        self._runtime = runtime
        self._state = state
        self._cloud = cloud
        #: A list may be twice the lag old by the time the next one is read.
        self._max_age = list_lag * 2 + LIST_MARGIN
        self._read_at: timedelta | None = None
        self._is_reading = False
        self._listed: dict[str, ListedMachine] = {}
        self._listed_since: dict[str, timedelta] = {}
        self._recorded_since: dict[str, timedelta] = {}
        #: Machines of the fleet record that are certainly gone, as the list lacks them.
        self.missing: set[str] = set()

    def on_new_view(self) -> None:
        """Make a reading due in a new view, whose leader needs a list that is younger than the view."""
        self._read_at = None
        self._is_reading = False

    @property
    def has_been_read(self) -> bool:
        """Whether a list was read in the current view."""
        return self._read_at is not None

    def track_machine(self, host: str) -> None:
        """Record since when a machine has been in the fleet record, which every controller follows."""
        self._recorded_since.setdefault(host, self._runtime.now)

    def forget(self, host: str) -> None:
        """Drop what is known of a machine that has left the fleet record."""
        self._recorded_since.pop(host, None)
        self._listed_since.pop(host, None)
        self.missing.discard(host)

    def statuses(self) -> dict[str, str]:
        """Return the status of each listed machine, by host."""
        return {host: machine.status for host, machine in self._listed.items()}

    def listed_for_long(self) -> Iterator[ListedMachine]:
        """Yield the machines that have been listed for longer than the list may be out of date.

        Nothing is yielded before a list was read. A list may still show a machine that is gone, so a machine that was
        listed for a shorter time may not exist. The time is counted up to the last reading and not up to now, since
        that reading may be the last one before an outage.
        """
        read_at = self._read_at
        if read_at is None:
            return
        for host, machine in self._listed.items():
            if read_at - self._listed_since.get(host, read_at) > self._max_age:
                yield machine

    def read_if_due(self) -> None:
        """Read the list again if the last reading is older than `Tuning.list_every` and none is in progress."""
        now = self._runtime.now
        is_fresh = self._read_at is not None and now - self._read_at < self._state.tuning.list_every
        if self._is_reading or is_fresh:
            return
        self._is_reading = True
        view = self._state.view

        def on_machines(machines: list[ListedMachine] | None) -> None:
            if view is not self._state.view:
                return
            self._is_reading = False
            if machines is not None:
                self._read_at = now
                self._apply_list({machine.host: machine for machine in machines})

        self._cloud.list_machines(on_machines)

    def _apply_list(self, listed: dict[str, ListedMachine]) -> None:
        now, records = self._runtime.now, self._state.machines
        self._listed = listed
        for host in listed:
            self._listed_since.setdefault(host, now)
        for host in [host for host in self._listed_since if host not in listed and host not in records]:
            del self._listed_since[host]
        # A recent list that lacks a machine proves it gone if the machine has been known for longer than a list may be
        # out of date. The time since it was recorded counts too, as only an earlier leader may have seen it listed.
        cutoff = now - self._max_age
        self.missing = {
            host
            for host in records
            if host not in listed and min(self._recorded_since[host], self._listed_since.get(host, now)) < cutoff
        }
