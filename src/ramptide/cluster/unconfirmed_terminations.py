"""For how long a task of a job that is over may have been on a machine with no heartbeat that shows it gone.

A machine that hangs may go on with what it had. So what its owner gives up after a lease may run again, and only a
heartbeat that does not show it confirms that it is gone.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ramptide.cluster.observed_machine import ObservedMachine, active_jobs
from ramptide.state.jobs import Job

__all__ = ["UnconfirmedTerminations"]

ZERO = timedelta(0)


class UnconfirmedTerminations:
    """Keeps `unconfirmed_since` of the observed machines.

    Parameters
    ----------
    machines
        The observed machines by name, which their index keeps up to date.
    jobs
        The jobs that are not over.
    """

    def __init__(self, machines: Mapping[str, ObservedMachine], jobs: Mapping[str, Job]) -> None:
        self._machines = machines
        self._jobs = jobs
        #: What machines ran in the views before, until a heartbeat in this one shows what they run now.
        self._jobs_before_view: dict[str, set[str]] = {}

    def new_view(self) -> None:
        """Remember what runs where; called before that is forgotten for a new view."""
        for name, machine in self._machines.items():
            running = set(active_jobs(machine.tasks))
            if running:
                self._jobs_before_view.setdefault(name, set()).update(running)

    def remove(self, name: str) -> None:
        """Forget a machine that has left the fleet record."""
        self._jobs_before_view.pop(name, None)

    def status_changed(self, name: str, machine: ObservedMachine, now: timedelta) -> None:
        """Note whether tasks of finished jobs may be on a machine whose owner has reported its status."""
        if any(job_id not in self._jobs for job_id in active_jobs(machine.tasks)):
            machine.unconfirmed_since = machine.unconfirmed_since or now
        elif machine.is_reconciled and machine.is_up and not machine.missed_heartbeats:
            machine.unconfirmed_since = None
            machine.is_assumed = False
            self._jobs_before_view.pop(name, None)

    def job_finished(self, job_id: str, hosts: Iterable[str], now: timedelta) -> None:
        """Note that a job is over whose tasks are shown on `hosts`, so that it has to be confirmed that they end."""
        hosts_before_view = (name for name, jobs in self._jobs_before_view.items() if job_id in jobs)
        for name in [*hosts, *hosts_before_view]:
            machine = self._machines[name]
            machine.unconfirmed_since = machine.unconfirmed_since or now

    def duration(self, name: str, now: timedelta) -> timedelta:
        """Return how long a task of a finished job may have been on a silent machine; zero when none can."""
        machine = self._machines.get(name)
        # Only its owner knows whether it is silent. While it is not, the owner ends such tasks itself.
        if machine is None or machine.unconfirmed_since is None or not machine.is_silent:
            return ZERO
        return now - machine.unconfirmed_since

    def by_silent_machine(self, now: timedelta) -> dict[str, float]:
        """Return, by silent machine, for how many seconds a task of a finished job may have been there."""
        return {
            name: self.duration(name, now).total_seconds()
            for name, machine in self._machines.items()
            if machine.unconfirmed_since is not None and machine.missed_heartbeats
        }

    def merge(self, seconds_by_machine: Mapping[str, float], now: timedelta) -> None:
        """Take from another controller what `by_silent_machine` returned there, where that is longer.

        A leader that has just started does not know this itself.
        """
        for name, seconds in seconds_by_machine.items():
            since = now - timedelta(seconds=seconds)
            machine = self._machines.get(name)
            if machine is not None and machine.missed_heartbeats and self.duration(name, now) < now - since:
                machine.unconfirmed_since = since

    def backdate(self, started: timedelta, since: timedelta) -> None:
        """Count what may have been on machines since before `started` as there since `since` at the latest."""
        for machine in self._machines.values():
            if machine.unconfirmed_since is not None and machine.unconfirmed_since <= started:
                machine.unconfirmed_since = min(machine.unconfirmed_since, since)
