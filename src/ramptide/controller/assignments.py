"""Keeps the jobs of this controller's scheduler and the machines of its shard up to date with records and messages."""

from collections.abc import Mapping
from datetime import timedelta

from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.machine_status import MachineStatus
from ramptide.controller.state import ControllerState
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.results import ResultWriter
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
from ramptide.state.jobs import Job
from ramptide.state.records import MachineRecord
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["Assignments"]


class Assignments:
    """Adds jobs to the local scheduler and machines to the local shard, updates and removes them."""

    def __init__(
        self,
        runtime: Runtime,
        state: ControllerState,
        machine_index: MachineIndex,
        result_writer: ResultWriter,
        statistics: SchedulingStatistics,
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._machine_index = machine_index
        self._result_writer = result_writer
        self._statistics = statistics
        self._errors = errors
        #: Jobs that other controllers reported as finished and that the local watch cache still shows.
        self._finished_elsewhere: set[str] = set()

    def is_finished_elsewhere(self, job_id: str) -> bool:
        """Return whether another controller reported the job as finished while the local watch cache still shows it."""
        return job_id in self._finished_elsewhere

    def assign(self, job: Job) -> None:
        """Add or update a job that this controller schedules; release one that another member schedules."""
        scheduler = self._state.scheduler
        if scheduler is None:
            return
        if self._state.scheduler_of(job) != self._state.member:
            scheduler.release_job(job.job_id)
            return
        is_known = job.job_id in scheduler.jobs
        scheduler.adopt_job(job, self._runtime.now, self._machine_index.hosts_failed_on(job.job_id))
        if is_known:
            scheduler.reap_recorded_results(job.job_id)
            return
        self._record_assignment(job)
        # The machines' statuses from other members may date from before this controller became the job's scheduler and
        # yet satisfy all that a handover waits for, so the tasks that they show are applied before any task is started.
        for host in self._machine_index.hosts_of_job(job.job_id):
            self._apply_status(scheduler, host)

    def _record_assignment(self, job: Job) -> None:
        handover = job.record.handover
        if handover is None or handover.view != self._state.require_view().number:
            self._statistics.record(SchedulingEvent.ASSIGNED, f"{job.job_id} at revision {job.mod_revision}")
            return
        example = f"{job.job_id} from {handover.member} at revision {job.mod_revision}"
        self._statistics.record(
            SchedulingEvent.TAKEN_OVER, f"{example} after message {handover.sequence_number} of view {handover.view}"
        )

    def suspend(self, job_id: str) -> None:
        """Start no task of a job here before the next view, as a change of its record could not be applied."""
        scheduler = self._state.scheduler
        if scheduler is not None and job_id in scheduler.jobs:
            scheduler.jobs[job_id].is_frozen = True

    def on_job_deleted(self, job_id: str) -> None:
        """Drop a job whose record was deleted."""
        self._finished_elsewhere.discard(job_id)
        self._drop_job(job_id)

    def drop_finished(self, job_ids: list[str]) -> None:
        """Drop jobs that another controller reports as finished and that the local watch cache still shows.

        The users of these jobs may have been told already that they are finished.
        """
        known = [job_id for job_id in job_ids if job_id in self._state.jobs]
        self._finished_elsewhere.update(known)
        for job_id in known:
            self._drop_job(job_id)

    def _drop_job(self, job_id: str) -> None:
        job = self._state.jobs.pop(job_id, None)
        if job is None:
            return
        scheduler, shard, now = self._state.scheduler, self._state.shard, self._runtime.now
        # The job's tasks are stopped whatever fails before.
        self._errors.run("finished job", job_id, lambda: self._machine_index.record_job_finished(job_id, job.spec, now))
        self._errors.run("finished job", job_id, lambda: self._result_writer.forget_job(job_id))
        if scheduler is not None:
            self._errors.run("finished job", job_id, lambda: scheduler.finish_job(job_id))
        if shard is not None:
            self._errors.run("finished job", job_id, lambda: shard.request_job_reap(job_id))

    def add_owned_machine(
        self, host: str, record: MachineRecord, last_possible_replies: Mapping[str, timedelta] | None = None
    ) -> None:
        """Add a machine to the local shard, or apply its changed record, if this controller owns it.

        `last_possible_replies`: by machine, the latest time at which any controller can have replied to its agent, as
        far as it is known from the previous view.
        """
        state = self._state
        if state.shard is None or state.view is None or state.owner_of(host) != state.member:
            return
        observed = self._machine_index.machines.get(host)
        images = observed.images if observed is not None else []
        machine_type = state.machine_types.get(record.machine_type)
        last_possible_reply = (last_possible_replies or {}).get(host)
        state.shard.add_machine(host, record, machine_type, self._runtime.now, images, last_possible_reply)

    def apply_machine_status(self, host: str, status: MachineStatus | None) -> None:
        """Apply a machine's status from its owner's message; None when the owner has no such machine."""
        self._machine_index.apply_status(host, status, self._runtime.now)
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
