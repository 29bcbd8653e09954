"""The decision loop: rounds in which everything is decided from all that came in."""

from datetime import timedelta
from typing import Protocol

from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.agents.shard import Shard
from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.agent_connectivity import AgentConnectivity
from ramptide.controller.assignments import Assignments
from ramptide.controller.authority import Authority
from ramptide.controller.fencing import Fencing
from ramptide.controller.peer_messages import acknowledge_desired
from ramptide.controller.reconciliation import Reconciliation
from ramptide.controller.replication import Replication
from ramptide.controller.state import ControllerState
from ramptide.scheduling.draining import stop_on_draining_machines
from ramptide.scheduling.handover import JobHandover
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.placement_round import PlacementRound
from ramptide.scheduling.preemption import Preemptor
from ramptide.scheduling.results import ResultWriter
from ramptide.transport.runtime import Runtime

__all__ = ["DecisionLoop"]

#: The pause between two rounds while something changes, and while nothing does.
ROUND_INTERVAL = timedelta(milliseconds=50)
IDLE_ROUND_INTERVAL = timedelta(milliseconds=100)
#: What changes only with time is processed this often.
SLOW_ROUND_INTERVAL = timedelta(milliseconds=300)


class LimitReview(Protocol):
    """The operators' changes of team limits, where the quota feature is on."""

    def review(self) -> None:
        """As leader, bring pending changes into force."""


class QuotaReview(Protocol):
    """The quota feature, which passes on shares in each round."""

    def review(self, scheduler: JobScheduler, now: timedelta) -> None:
        """Pass on what others are short of, and ask for what we are short of."""


class DecisionLoop:
    """Runs a round after the other; with no place in the view it only tells the other controllers that it is there."""

    def __init__(
        self,
        runtime: Runtime,
        state: ControllerState,
        authority: Authority,
        fencing: Fencing,
        machine_index: MachineIndex,
        assignments: Assignments,
        reconciliation: Reconciliation,
        agent_connectivity: AgentConnectivity,
        heartbeats: HeartbeatHandler,
        replication: Replication,
        placement_round: PlacementRound,
        preemptor: Preemptor,
        handover: JobHandover,
        result_writer: ResultWriter,
        limit_table: LimitReview | None,
        quota: QuotaReview | None,
        telemetry: Telemetry,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._authority = authority
        self._fencing = fencing
        self._machine_index = machine_index
        self._assignments = assignments
        self._reconciliation = reconciliation
        self._agent_connectivity = agent_connectivity
        self._heartbeats = heartbeats
        self._replication = replication
        self._placement_round = placement_round
        self._preemptor = preemptor
        self._handover = handover
        self._result_writer = result_writer
        self._limit_table = limit_table
        self._quota = quota
        self._telemetry = telemetry
        self._last_slow_round = timedelta(0)

    def start(self) -> None:
        """Run a round now and plan the next one; repeats until the process ends."""
        now = self._runtime.now
        self._telemetry.stall_detector.begin(now)
        scheduler, shard = self._state.scheduler, self._state.shard
        if scheduler is None or shard is None or self._state.view is None:
            self._plan_next(IDLE_ROUND_INTERVAL)
            self._replication.send_outside()
            return
        is_slow = now - self._last_slow_round >= SLOW_ROUND_INTERVAL
        has_changes = scheduler.needs_round or bool(shard.changed_hosts)
        self._plan_next(ROUND_INTERVAL if has_changes else IDLE_ROUND_INTERVAL)
        self._heartbeats.reply_to_held(now)
        if is_slow or has_changes:
            self._run_round(scheduler, shard, now, is_slow)
        self._replication.send(scheduler, shard, now)

    def _plan_next(self, delay: timedelta) -> None:
        self._telemetry.stall_detector.plan(self._runtime.now + delay)
        self._runtime.after(delay, self.start)

    def _run_round(self, scheduler: JobScheduler, shard: Shard, now: timedelta, is_slow: bool) -> None:
        """Process what changed; what changes only with time is processed in slow rounds."""
        scheduler.needs_round = False
        if is_slow:
            self._last_slow_round = now
            self._process_passed_time(scheduler, shard, now)
        changed = shard.take_changed()
        for host in changed:
            self._assignments.update_machine(host, shard.status(host, now))
        own_acknowledged = shard.desired_states.acknowledged.get(self._state.member, 0)
        acknowledge_desired(self._state, self._machine_index, scheduler, self._state.member, own_acknowledged)
        self._reconciliation.check()
        if self._authority.may_start():
            self._placement_round.run(scheduler, now)
            self._preemptor.run(scheduler, now)
            self._handover.run(scheduler, now)
        if self._limit_table is not None:
            self._limit_table.review()
        if self._quota is not None:
            self._quota.review(scheduler, now)
        self._replication.mark(scheduler, shard, changed)
        self._heartbeats.reply_to_held(now)
        self._result_writer.flush(scheduler, now)

    def _process_passed_time(self, scheduler: JobScheduler, shard: Shard, now: timedelta) -> None:
        expired = shard.leases.expire(now, self._fencing.others_fenced_at())
        self._telemetry.take_expired_leases(expired, confirmed=self._authority.may_reply())
        self._agent_connectivity.check(shard)
        stop_on_draining_machines(scheduler, self._state.machines, self._machine_index.machines)
