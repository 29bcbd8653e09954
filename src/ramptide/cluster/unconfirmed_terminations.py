"""Tracking of machines on which tasks of finished jobs may still run, and for how long that has been possible.

A machine that hangs may resume its tasks later. A task that its owner gave up when the lease expired may therefore run
again, and only a heartbeat that no longer shows the task confirms that it has ended.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ramptide.cluster.observed_machine import ObservedMachine, active_job_ids
from ramptide.state.jobs import Job

__all__ = ["UnconfirmedTerminations"]

NO_TIME = timedelta(0)


class UnconfirmedTerminations:
    """Maintains `unconfirmed_since` of the observed machines.

    Parameters
    ----------
    machines
        The observed machines by name, which `MachineIndex` keeps up to date.
    jobs
        The unfinished jobs by id.
    """

    def __init__(self, machines: Mapping[str, ObservedMachine], jobs: Mapping[str, Job]) -> None:
        self._machines = machines
        self._jobs = jobs
        #: The jobs that each machine ran in earlier views, until a heartbeat in this view shows what it runs now.
        self._jobs_before_view: dict[str, set[str]] = {}

    def on_new_view(self) -> None:
        """Record which jobs each machine runs; called before the reported tasks are cleared for a new view."""
        for host, machine in self._machines.items():
            running = set(active_job_ids(machine.tasks))
            if running:
                self._jobs_before_view.setdefault(host, set()).update(running)

    def remove(self, host: str) -> None:
        """Remove a machine that has left the fleet record."""
        self._jobs_before_view.pop(host, None)

    def apply_status(self, host: str, machine: ObservedMachine, now: timedelta) -> None:
        """Set or clear `unconfirmed_since` of a machine by the status that its owner has reported."""
        if any(job_id not in self._jobs for job_id in active_job_ids(machine.tasks)):
            machine.unconfirmed_since = machine.unconfirmed_since or now
        elif machine.is_reconciled and machine.is_up and not machine.has_missed_heartbeats:
            machine.unconfirmed_since = None
            machine.is_unconfirmed_since_assumed = False
            self._jobs_before_view.pop(host, None)

    def record_job_finished(self, job_id: str, hosts: Iterable[str], now: timedelta) -> None:
        """Record that a job with tasks on `hosts` has finished; the end of these tasks is not confirmed yet."""
        hosts_before_view = (host for host, jobs in self._jobs_before_view.items() if job_id in jobs)
        for host in [*hosts, *hosts_before_view]:
            machine = self._machines[host]
            machine.unconfirmed_since = machine.unconfirmed_since or now

    def duration(self, host: str, now: timedelta) -> timedelta:
        """Return for how long a silent machine may have run a task of a finished job; zero when it cannot have."""
        machine = self._machines.get(host)
        # Only the owner knows whether the machine is silent. While it is not, the owner ends such tasks itself.
        if machine is None or machine.unconfirmed_since is None or not machine.is_silent:
            return NO_TIME
        return now - machine.unconfirmed_since

    def seconds_by_silent_machine(self, now: timedelta) -> dict[str, float]:
        """Return for how many seconds each silent machine may have run a task of a finished job."""
        return {
            host: self.duration(host, now).total_seconds()
            for host, machine in self._machines.items()
            if machine.unconfirmed_since is not None and machine.has_missed_heartbeats
        }

    def merge(self, seconds_by_machine: Mapping[str, float], now: timedelta) -> None:
        """Adopt the durations that `seconds_by_silent_machine` returned on another controller, where they are longer.

        A leader that has just started has not observed these durations itself.
        """
        for host, seconds in seconds_by_machine.items():
            since = now - timedelta(seconds=seconds)
            machine = self._machines.get(host)
            if machine is not None and machine.has_missed_heartbeats and self.duration(host, now) < now - since:
                machine.unconfirmed_since = since

    def backdate(self, started: timedelta, since: timedelta) -> None:
        """Limit `unconfirmed_since` to at most `since` on each machine on which it is not after `started`."""
        for machine in self._machines.values():
            if machine.unconfirmed_since is not None and machine.unconfirmed_since <= started:
                machine.unconfirmed_since = min(machine.unconfirmed_since, since)
