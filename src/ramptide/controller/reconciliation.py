"""Finds machines that may still run tasks of earlier views, and decides which jobs may be started meanwhile."""

import logging
from datetime import timedelta

from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MISSED_HEARTBEATS, TOKEN_NOT_SEEN, MachineIndex
from ramptide.cluster.peers import Peers
from ramptide.controller.state import ControllerState
from ramptide.scheduling.job_state import JobState
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
from ramptide.state.records import Handover
from ramptide.transport.runtime import Runtime

__all__ = ["Reconciliation"]

log = logging.getLogger(__name__)

LOG_INTERVAL = timedelta(seconds=4)
#: The number of machines that a log line names.
MAX_LOGGED_MACHINES = 3
UNKNOWN_JOB = "runs a task of a job that was over"


class Reconciliation:
    """Compares the owners' reports of their machines with the fleet record, until every machine is reconciled."""

    def __init__(
        self,
        runtime: Runtime,
        state: ControllerState,
        machine_index: MachineIndex,
        peers: Peers,
        telemetry: Telemetry,
        statistics: SchedulingStatistics,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._machine_index = machine_index
        self._peers = peers
        self._telemetry = telemetry
        self._statistics = statistics
        self._logged_at = timedelta(0)

    def unreconciled_machines(self) -> dict[str, str]:
        """Return the machines whose state in this view is not known yet, each with the reason.

        A member of an earlier view may have started tasks there, and the machine's owner has not yet shown that every
        task on it is known.
        """
        view = self._state.require_view()
        reasons = {}
        for host, record in self._state.machines.items():
            if not record.is_unused_before(view.number):
                reason = self._unreconciled_reason(host)
                if reason is not None:
                    reasons[host] = reason
        return reasons

    def _unreconciled_reason(self, host: str) -> str | None:
        observed = self._machine_index.machines.get(host)
        if observed is None or not observed.is_reported:
            return f"not heard of from {self._state.owner_of(host)}"
        if not observed.is_reconciled:
            return MISSED_HEARTBEATS if observed.has_missed_heartbeats else TOKEN_NOT_SEEN
        return None if self._machine_index.check_all_tasks_known(observed) else UNKNOWN_JOB

    def update_reconciled(self) -> None:
        """Set `reconciled` once no machine is unreconciled; until then, log at intervals what the view waits for."""
        if self._state.reconciled:
            return
        now, view = self._runtime.now, self._state.require_view()
        unreconciled = self.unreconciled_machines()
        elapsed = now - self._state.view_since
        if not unreconciled:
            self._state.reconciled = True
            self._telemetry.record_reconciliation(elapsed)
            log.info("view reconciled: view=%d spent_s=%.1f", view.number, elapsed.total_seconds())
            self._peers.send_all_soon()
        elif now - max(self._state.view_since, self._logged_at) > LOG_INTERVAL:
            self._logged_at = now
            self._log_unreconciled(view.number, elapsed, unreconciled)

    def _log_unreconciled(self, view: int, elapsed: timedelta, unreconciled: dict[str, str]) -> None:
        examples = [f"{host} ({reason})" for host, reason in unreconciled.items()][:MAX_LOGGED_MACHINES]
        log.info(
            "view not reconciled: view=%d machines=%d spent_s=%.1f examples=%r",
            view,
            len(unreconciled),
            elapsed.total_seconds(),
            ", ".join(examples),
        )

    def may_start_job(self, job_state: JobState) -> bool:
        """Return whether the job's tasks may be started: none can run without this controller's knowledge."""
        view = self._state.require_view()
        record = job_state.job.record
        is_new = record.created_in_view == view.number
        if not self._state.reconciled and (not is_new or record.spec.team in self._state.limits):
            return False
        handover = record.handover
        if handover is None or handover.view != view.number or handover.member == self._state.member:
            return True
        processed = {member: self._last_message_processed_by(member, handover) for member in view.members}
        is_proven = min(processed.values()) >= handover.sequence_number
        if is_proven:
            self._record_proof(job_state, handover, processed)
        return is_proven

    def _record_proof(self, job_state: JobState, handover: Handover, processed: dict[str, int]) -> None:
        """Record, once for each handover, on which messages of its former scheduler the start of tasks relies."""
        if job_state.proven_handover == handover:
            return
        job_state.proven_handover = handover
        proof = " ".join(f"{member}:{number}" for member, number in sorted(processed.items()))
        example = f"{job_state.job.job_id} from {handover.member} at revision {job_state.job.mod_revision}"
        self._statistics.record(
            SchedulingEvent.HANDOVER_PROVEN, f"{example} after message {handover.sequence_number}, processed {proof}"
        )

    def _last_message_processed_by(self, member: str, handover: Handover) -> int:
        """Return the sequence number up to which a member has processed the messages of the job's former scheduler."""
        if member == self._state.member:
            return self._state.require_shard().desired_states.acknowledged.get(handover.member, 0)
        message = self._peers.last_message(member)
        if message is None:
            return 0
        if member == handover.member:
            return message.sequence_number
        return message.acknowledged.get(handover.member, 0)
