"""The decision loop: rounds that decide on starts, preemptions and handovers from all that was received before."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.agents.shard import Shard
from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.assignments import Assignments
from ramptide.controller.passed_time import PassedTime
from ramptide.controller.peer_messages import apply_acknowledgement
from ramptide.controller.reconciliation import Reconciliation
from ramptide.controller.replication import Replication
from ramptide.controller.state import ControllerState
from ramptide.controller.task_decisions import TaskDecisions
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.results import ResultWriter
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

__all__ = ["DecisionLoop"]

#: The pause between two rounds while there are changes to process.
ROUND_INTERVAL = timedelta(milliseconds=50)
#: The pause between two rounds while there are none.
IDLE_ROUND_INTERVAL = timedelta(milliseconds=100)
#: How often a round also processes what changes only with time, such as the expiry of leases.
SLOW_ROUND_INTERVAL = timedelta(milliseconds=300)


class LimitReview(Protocol):
    """The operators' changes of team limits, where the quota feature is on."""

    def activate_pending_limits(self) -> None:
        """As leader, bring pending changes of limits into force."""


class QuotaReview(Protocol):
    """The quota feature, which transfers shares in each round."""

    def run_round(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Transfer spare share to members that are short of it, and request what this controller is short of."""


class DecisionLoop:
    """Runs one round after another; without a place in the view, it only shows peers that the process is alive."""

    def __init__(
        self,
        runtime: Runtime,
        state: ControllerState,
        machine_index: MachineIndex,
        assignments: Assignments,
        reconciliation: Reconciliation,
        heartbeats: HeartbeatHandler,
        direct_stops: DirectStops,
        replication: Replication,
        passed_time: PassedTime,
        task_decisions: TaskDecisions,
        result_writer: ResultWriter,
        limit_table: LimitReview | None,
        quota: QuotaReview | None,
        telemetry: Telemetry,
        errors: IsolatedErrors,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._machine_index = machine_index
        self._assignments = assignments
        self._reconciliation = reconciliation
        self._heartbeats = heartbeats
        self._direct_stops = direct_stops
        self._replication = replication
        self._passed_time = passed_time
        self._task_decisions = task_decisions
        self._result_writer = result_writer
        self._limit_table = limit_table
        self._quota = quota
        self._telemetry = telemetry
        self._errors = errors
        self._last_slow_round = timedelta(0)

    def start(self) -> None:
        """Run a round now and schedule the next one, until the process ends."""
        now = self._runtime.now
        self._telemetry.stall_detector.record_round_start(now)
        scheduler, shard = self._state.scheduler, self._state.shard
        if scheduler is None or shard is None or self._state.view is None:
            self._schedule_next(IDLE_ROUND_INTERVAL)
            self._replication.send_without_place()
            return
        is_slow_round = now - self._last_slow_round >= SLOW_ROUND_INTERVAL
        has_changes = scheduler.needs_round or bool(shard.changed_hosts)
        self._schedule_next(ROUND_INTERVAL if has_changes else IDLE_ROUND_INTERVAL)
        self._run_part("held heartbeats", lambda: self._heartbeats.reply_to_held(now))
        self._run_part("direct stops", self._direct_stops.send_waiting)
        if is_slow_round or has_changes:
            self._run_round(scheduler, shard, now, is_slow_round)
        self._replication.send(scheduler, shard, now)

    def _schedule_next(self, delay: timedelta) -> None:
        self._telemetry.stall_detector.set_next_round(self._runtime.now + delay)
        self._runtime.after(delay, self.start)

    def _run_round(self, scheduler: JobScheduler, shard: Shard, now: timedelta, is_slow_round: bool) -> None:
        """Process what changed; what changes only with time is processed only in slow rounds.

        An error in one part of the round is recorded, and the other parts run all the same.
        """
        scheduler.needs_round = False
        if is_slow_round:
            self._last_slow_round = now
            self._passed_time.process(scheduler, shard, now)
        changed_machines = shard.pop_changed()
        for host in changed_machines:
            try:
                self._assignments.apply_machine_status(host, shard.status(host, now))
            except Exception:
                self._errors.record("machine status", host)
        self._run_part("acknowledgements", lambda: self._apply_own_acknowledgements(scheduler, shard))
        self._run_part("reconciliation", self._reconciliation.update_reconciled)
        self._task_decisions.run(scheduler, now)
        self._run_part("team limits", lambda: self._review_limits(scheduler, now))
        self._run_part("replication", lambda: self._replication.record_changes(scheduler, shard, changed_machines))
        self._run_part("held heartbeats", lambda: self._heartbeats.reply_to_held(now))
        self._run_part("results", lambda: self._result_writer.flush(scheduler, now))

    def _run_part(self, name: str, action: Callable[[], object]) -> None:
        self._errors.run("decision round", name, action)

    def _apply_own_acknowledgements(self, scheduler: JobScheduler, shard: Shard) -> None:
        acknowledged = shard.desired_states.acknowledged.get(self._state.member, 0)
        apply_acknowledgement(self._state, self._machine_index, scheduler, self._state.member, acknowledged)

    def _review_limits(self, scheduler: JobScheduler, now: timedelta) -> None:
        if self._limit_table is not None:
            self._limit_table.activate_pending_limits()
        if self._quota is not None:
            self._quota.run_round(scheduler, now)
