"""What changes only with time: leases, the reachability of the agents, and what is logged at intervals."""

from collections.abc import Callable
from datetime import timedelta

from ramptide.agents.shard import Shard
from ramptide.agents.statistics import AgentStatistics
from ramptide.api.telemetry import Telemetry
from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.agent_connectivity import AgentConnectivity
from ramptide.controller.authority import Authority
from ramptide.controller.fencing import Fencing
from ramptide.controller.state import ControllerState
from ramptide.scheduling.draining import stop_on_draining_machines
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.statistics import SchedulingStatistics
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["PassedTime"]


class PassedTime:
    """Processes what no event announces; an error in one step is recorded, and the other steps run all the same."""

    def __init__(
        self,
        state: ControllerState,
        authority: Authority,
        fencing: Fencing,
        machine_index: MachineIndex,
        agent_connectivity: AgentConnectivity,
        telemetry: Telemetry,
        agent_statistics: AgentStatistics,
        scheduling_statistics: SchedulingStatistics,
        errors: IsolatedErrors,
    ) -> None:
        self._state = state
        self._authority = authority
        self._fencing = fencing
        self._machine_index = machine_index
        self._agent_connectivity = agent_connectivity
        self._telemetry = telemetry
        self._agent_statistics = agent_statistics
        self._scheduling_statistics = scheduling_statistics
        self._errors = errors

    def process(self, scheduler: JobScheduler, shard: Shard, now: timedelta) -> None:
        """Expire leases, give up the place in the view if no agent is reached, stop tasks on draining machines, log."""
        self._run("lease expiry", lambda: self._expire_leases(shard, now))
        self._run("agent connectivity", lambda: self._agent_connectivity.step_down_if_cut_off(shard))
        self._run("draining", lambda: self._stop_on_draining_machines(scheduler))
        self._run("log of the authority", self._authority.log_change)
        self._run("log of the agents", lambda: self._agent_statistics.write_log(shard.view, now))
        self._run("log of the scheduler", lambda: self._scheduling_statistics.write_log(shard.view, now))

    def _run(self, name: str, step: Callable[[], object]) -> None:
        self._errors.run("passed time", name, step)

    def _expire_leases(self, shard: Shard, now: timedelta) -> None:
        expired = shard.leases.expire(now, self._fencing.others_fenced_at())
        self._telemetry.record_expired_leases(expired, is_confirmed=self._authority.may_reply())

    def _stop_on_draining_machines(self, scheduler: JobScheduler) -> None:
        stop_on_draining_machines(scheduler, self._state.machines, self._machine_index.machines)
