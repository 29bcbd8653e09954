"""Which jobs this controller schedules and which machines it owns, kept up to date with records and peer messages."""

from collections.abc import Mapping
from datetime import timedelta

from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.machine_status import MachineStatus
from ramptide.controller.state import ControllerState
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.results import ResultWriter
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.transport.runtime import Runtime

__all__ = ["Assignments"]


class Assignments:
    """Hands jobs to our scheduler and machines to our shard, and takes them back."""

    def __init__(
        self, runtime: Runtime, state: ControllerState, machine_index: MachineIndex, result_writer: ResultWriter
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._machine_index = machine_index
        self._result_writer = result_writer
        #: Jobs that are over by the word of other controllers, and that our watch cache still shows.
        self._finished_elsewhere: set[str] = set()

    # Jobs.

    def is_finished_elsewhere(self, job_id: str) -> bool:
        """Tell whether another controller knows that the job is over while our watch cache still shows it."""
        return job_id in self._finished_elsewhere

    def assign(self, job: Job) -> None:
        """Take a job that we schedule, or its changed record; let go of one that another member schedules."""
        scheduler = self._state.scheduler
        if scheduler is None:
            return
        if self._state.scheduler_of(job) != self._state.member:
            scheduler.release_job(job.job_id)
            return
        is_known = job.job_id in scheduler.jobs
        scheduler.take_job(job, self._runtime.now, self._machine_index.hosts_failed_on(job.job_id))
        if is_known:
            scheduler.results_recorded(job.job_id)
            return
        # The lists of the other members that we have may be from before we became its scheduler, yet satisfy all that a
        # handover waits for: what they show of the job is taken over before anything is started.
        for host in self._machine_index.hosts_of_job(job.job_id):
            self._apply_status(scheduler, host)

    def job_deleted(self, job_id: str) -> None:
        """Drop a job whose record is gone."""
        self._finished_elsewhere.discard(job_id)
        self._drop_job(job_id)

    def drop_finished(self, job_ids: list[str]) -> None:
        """Drop jobs that another controller knows to be over and that our watch cache still shows.

        Their users may have been told so already.
        """
        known = [job_id for job_id in job_ids if job_id in self._state.jobs]
        self._finished_elsewhere.update(known)
        for job_id in known:
            self._drop_job(job_id)

    def _drop_job(self, job_id: str) -> None:
        job = self._state.jobs.pop(job_id, None)
        if job is None:
            return
        self._machine_index.job_finished(job_id, job.spec, self._runtime.now)
        self._result_writer.forget(job_id)
        if self._state.scheduler is not None:
            self._state.scheduler.job_finished(job_id)
        if self._state.shard is not None:
            self._state.shard.job_finished(job_id)

    # Machines.

    def own(
        self, host: str, record: MachineRecord, last_possible_replies: Mapping[str, timedelta] | None = None
    ) -> None:
        """Add a machine to our shard, or take its changed record, if we own it.

        `last_possible_replies`: when anybody can have replied to it at the latest, by machine, as far as we know from
        the view before.
        """
        state = self._state
        if state.shard is None or state.view is None or state.owner_of(host) != state.member:
            return
        observed = self._machine_index.machines.get(host)
        images = observed.images if observed is not None else []
        machine_type = state.machine_types.get(record.machine_type)
        until = (last_possible_replies or {}).get(host)
        state.shard.add_machine(host, record, machine_type, self._runtime.now, images, until)

    def update_machine(self, host: str, status: MachineStatus | None) -> None:
        """Take a machine's status from its owner's message; None when the owner has no such machine."""
        self._machine_index.update(host, status, self._runtime.now)
        if status is None:
            return
        if status.address is not None and host in self._state.machines:
            self._state.agent_addresses[host] = status.address
        if self._state.scheduler is not None:
            self._apply_status(self._state.scheduler, host)

    def _apply_status(self, scheduler: JobScheduler, host: str) -> None:
        observed, record = self._machine_index.machines.get(host), self._state.machines.get(host)
        if observed is not None and record is not None and observed.is_reported and observed.is_reconciled:
            scheduler.apply_status(host, record.zone, observed.tasks, self._runtime.now)
