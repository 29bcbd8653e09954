"""One controller: builds its parts and connects them.

This module decides nothing. See `state` for what a controller knows, `store_events` and `view_change` for how that
changes, `decision_loop` for the decisions that follow from it, and `authority` for what the controller may do.
"""

import logging
from collections.abc import Collection
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from ramptide.agents.direct_stops import DirectStops
from ramptide.agents.heartbeats import HeartbeatHandler
from ramptide.agents.statistics import AgentStatistics
from ramptide.agents.token_announcer import TokenAnnouncer
from ramptide.api.jobs import JobApi
from ramptide.api.telemetry import Telemetry
from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.autoscaling.demand import ClusterDemand
from ramptide.autoscaling.faulty_machines import AgentDurations
from ramptide.autoscaling.fleet_manager import FleetManager
from ramptide.autoscaling.fleet_observation import FleetObservation
from ramptide.clients.cloud import CloudClient
from ramptide.clients.key_value_store import KeyValueStore
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.cluster.messages import PeerMessage
from ramptide.cluster.peers import Peer, Peers
from ramptide.config.features import Features
from ramptide.controller.agent_connectivity import AgentConnectivity
from ramptide.controller.assignments import Assignments
from ramptide.controller.authority import Authority
from ramptide.controller.availability import Availability, PeerFreshness
from ramptide.controller.cancellations import RecentCancellations
from ramptide.controller.decision_loop import DecisionLoop
from ramptide.controller.fencing import Fencing, SurvivingPeers
from ramptide.controller.finished_jobs import FinishedJobs
from ramptide.controller.machine_types import MachineTypeReader
from ramptide.controller.passed_time import PassedTime
from ramptide.controller.peer_messages import DesiredStateGate, PeerMessageHandler
from ramptide.controller.reconciliation import Reconciliation
from ramptide.controller.replication import Replication
from ramptide.controller.shares import QuotaShares
from ramptide.controller.state import ControllerState
from ramptide.controller.store_events import StoreEvents
from ramptide.controller.task_decisions import TaskDecisions
from ramptide.controller.timings import ControllerTimings
from ramptide.controller.view_change import ViewChange
from ramptide.protocol.agents import Heartbeat
from ramptide.protocol.jobs import HealthReply
from ramptide.protocol.settings_file import Settings
from ramptide.scheduling.attempts import Attempt
from ramptide.scheduling.handover import JobHandover
from ramptide.scheduling.placement_round import PlacementRound
from ramptide.scheduling.preemption import Preemptor
from ramptide.scheduling.results import ResultWriter
from ramptide.scheduling.rooms import RoomFinder
from ramptide.scheduling.statistics import SchedulingStatistics
from ramptide.scheduling.urgency_order import UrgencyOrder
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.cluster_usage import ClusterUsage
from ramptide.team_limits.share_split import ShareSplit
from ramptide.transport.isolated_errors import IsolatedErrors
from ramptide.transport.runtime import Runtime

if TYPE_CHECKING:
    from ramptide.quota.limit_table import LimitTable
    from ramptide.quota.share_exchange import QuotaExchange

__all__ = ["Controller"]

log = logging.getLogger(__name__)

#: Keys below this prefix are watched.
WATCHED_PREFIX = "live/"


class Controller:
    """One member of the service.

    Parameters
    ----------
    runtime
        The clock, the timers and the HTTP calls.
    settings
        The settings file.
    incarnation
        The unique name of this process, which is never used again.
    features
        The features that are switched on; None when all are off.
    """

    def __init__(
        self, runtime: Runtime, settings: Settings, incarnation: str, features: Features | None = None
    ) -> None:
        cluster = settings.cluster
        self.runtime = runtime
        self.timings = ControllerTimings.of_agents(cluster.agents)
        self.state = ControllerState.of_cluster(settings.member, cluster)
        self.errors = IsolatedErrors(runtime, self.state.counters)
        self.telemetry = Telemetry()
        self.agent_statistics = AgentStatistics()
        self.scheduling_statistics = SchedulingStatistics()
        self._build_shared_state(settings, incarnation)
        self._build_authority()
        self.quota = self._build_quota_exchange() if features is not None and features.quota.enabled else None
        self._build_scheduling()
        self.share_split = ShareSplit(
            self.state,
            self.membership,
            self.peers,
            self.reconciliation.may_start_job,
            self.shares.apply_grant,
            self.quota,
        )
        self.limit_table = self._build_limit_table(self.quota) if self.quota is not None else None
        self.job_api = JobApi(
            runtime,
            self.store,
            self.watch_cache,
            self.membership,
            self.commit_batcher,
            self.state.jobs,
            self.state.machine_types,
            self.state.teams,
            self.room_finder.choose_scheduler,
            lambda job_id: self.machine_index.running_tasks[job_id],
            self.cancellations.announce,
            self.telemetry,
        )
        self._build_agents()
        self._build_replication()
        self._build_autoscaling(timedelta(seconds=cluster.cloud.list_lag_s))
        self._build_control_loops()

    # The methods below build the parts in the order of their dependencies.

    def _build_shared_state(self, settings: Settings, incarnation: str) -> None:
        """Build the clients and the parts that hold shared state: watch cache, membership, peers, observed machines."""
        runtime, state, cluster = self.runtime, self.state, settings.cluster
        controllers = cluster.controllers
        self.machine_index = MachineIndex(state.machines, state.machine_types, state.jobs, self._own_attempts)
        store_address, store_limits = settings.services.key_value_store, cluster.key_value_store
        self.store = KeyValueStore(runtime, store_address, store_limits, controllers)
        self.cloud_client = CloudClient(runtime, settings.services.cloud, cluster.cloud, controllers)
        self.watch_cache = WatchCache(self.store, WATCHED_PREFIX, self._on_store_change, self._on_store_loaded)
        self.membership = Membership(
            self.store, self.watch_cache, state.member, incarnation, controllers, self._on_view
        )
        addresses = {peer.member: peer.address for peer in settings.peers}
        self.peers = Peers(runtime, addresses, self._is_from_member, self._on_peer_message, self._on_finished_jobs)
        self.cancellations = RecentCancellations(runtime, self.peers)
        self.cluster_usage = ClusterUsage(state, self.peers)
        self.shares = QuotaShares(state)

    def _build_authority(self) -> None:
        """Build the parts that decide whether this controller may act, and on which machines and jobs."""
        runtime, state, timings = self.runtime, self.state, self.timings
        self.authority = Authority(
            runtime, state, self.membership, self.watch_cache, self.peers, timings.max_renewal_proof_age
        )
        self.freshness = PeerFreshness(runtime, state.member, self.peers, timings.heartbeat_interval)
        self.fencing = Fencing(runtime, state, self.peers, timings.max_renewal_proof_age)
        self.surviving_peers = SurvivingPeers(runtime, state.member, self.machine_index, timings)
        self.reconciliation = Reconciliation(
            runtime, state, self.machine_index, self.peers, self.telemetry, self.scheduling_statistics
        )
        self.agent_connectivity = AgentConnectivity(runtime, state, self.membership, self.peers, self.machine_index)
        self.availability = Availability(
            runtime,
            state,
            self.authority,
            self.membership,
            self.watch_cache,
            self.peers,
            self.telemetry.stall_detector,
        )
        self.commit_batcher = CommitBatcher(self.store, self.authority.common_conditions)

    def _build_quota_exchange(self) -> "QuotaExchange":
        """Build the exchange of quota shares, which is imported only where the feature is on."""
        from ramptide.quota.share_exchange import QuotaExchange

        exchange = QuotaExchange(self.state, self.membership, self.peers, self.cluster_usage, self.shares.refresh)
        self.shares.use_transfers(exchange)
        return exchange

    def _build_limit_table(self, exchange: "QuotaExchange") -> "LimitTable":
        from ramptide.quota.limit_table import LimitTable

        return LimitTable(
            self.state,
            self.membership,
            self.store,
            self.watch_cache,
            self.share_split,
            lambda: exchange.is_ready,
            self.authority.common_conditions,
        )

    def _build_scheduling(self) -> None:
        runtime, state, quota = self.runtime, self.state, self.quota
        may_start_job, fresh_members = self.reconciliation.may_start_job, self.freshness.fresh_members
        self.room_finder = RoomFinder(state, self.machine_index, fresh_members)
        self.urgency_order = UrgencyOrder(state, quota)
        self.placement_round = PlacementRound(
            runtime,
            state,
            self.membership,
            self.machine_index,
            self.room_finder,
            self.urgency_order,
            may_start_job,
            quota,
            self.errors,
        )
        self.preemptor = Preemptor(
            runtime,
            state,
            self.membership,
            self.machine_index,
            self.room_finder,
            self.urgency_order,
            self.cluster_usage.team_usage,
            may_start_job,
            self.errors,
        )
        self.handover = JobHandover(
            runtime,
            state,
            self.membership,
            self.watch_cache,
            self.commit_batcher,
            self.store.limits.max_transaction_operations,
            fresh_members,
            may_start_job,
            quota,
            self.scheduling_statistics,
            self.errors,
        )

    def _build_agents(self) -> None:
        self.result_writer = ResultWriter(
            self.store,
            self.watch_cache,
            self.commit_batcher,
            self.authority.common_conditions,
            self.job_api.remember_finished,
            self.errors,
        )
        self.assignments = Assignments(
            self.runtime,
            self.state,
            self.machine_index,
            self.result_writer,
            self.scheduling_statistics,
            self.errors,
        )
        self.finished_jobs = FinishedJobs(
            self.state, self.membership, self.watch_cache, self.assignments.is_finished_elsewhere
        )
        self.direct_stops = DirectStops(
            self.runtime, self.finished_jobs, self.agent_statistics, self._on_direct_stop_response
        )
        self.heartbeats = HeartbeatHandler(
            self.runtime,
            self.state,
            self.authority,
            self.watch_cache,
            self.finished_jobs,
            self.direct_stops,
            self.agent_statistics,
        )
        self.token_announcer = TokenAnnouncer(self.runtime, self.heartbeats.receive_direct_heartbeat)

    def _build_replication(self) -> None:
        gate = DesiredStateGate(self.authority.may_start)
        self.peer_messages = PeerMessageHandler(
            self.runtime,
            self.state,
            self.membership,
            self.watch_cache,
            self.peers,
            self.machine_index,
            self.assignments,
            self.fencing,
            self.shares,
            self.share_split,
            self.preemptor,
            self.cancellations,
            gate,
            self.quota,
        )
        self.replication = Replication(
            self.state,
            self.membership,
            self.watch_cache,
            self.peers,
            self.machine_index,
            self.preemptor,
            self.shares,
            self.share_split,
            self.cancellations,
            gate,
            self.quota,
        )

    def _build_autoscaling(self, list_lag: timedelta) -> None:
        runtime, state, timings = self.runtime, self.state, self.timings
        self.cluster_demand = ClusterDemand(runtime, state, self.peers, self.cluster_usage, self.urgency_order)
        self.fleet_observation = FleetObservation(
            runtime,
            state,
            self.peers,
            self.machine_index,
            self.room_finder,
            self.reconciliation.unreconciled_machines,
            self.fencing.others_fenced_at,
            timings.heartbeat_interval,
            self.errors,
        )
        durations = AgentDurations(timings.heartbeat_interval, timings.lease_duration, timings.confirm_timeout)
        autoscaler = Autoscaler(state.tuning, durations, self.errors)
        self.fleet_manager = FleetManager(
            runtime,
            state,
            self.membership,
            self.watch_cache,
            self.store,
            self.cloud_client,
            self.machine_index,
            self.cluster_demand,
            self.fleet_observation,
            autoscaler,
            self.authority.may_start,
            list_lag,
            timings.confirm_timeout,
        )

    def _build_control_loops(self) -> None:
        runtime, state = self.runtime, self.state
        self.store_events = StoreEvents(
            state,
            self.membership,
            self.machine_index,
            self.assignments,
            self.surviving_peers,
            self.fleet_manager,
            self.heartbeats,
            self.limit_table,
            self.errors,
        )
        self.machine_type_reader = MachineTypeReader(runtime, self.cloud_client, self._on_machine_types)
        quota_listeners = [self.quota] if self.quota is not None else []
        self.view_change = ViewChange(
            runtime,
            state,
            self.timings,
            self.membership,
            self.machine_index,
            self.fencing,
            self.surviving_peers,
            self.shares,
            self.assignments,
            self.token_announcer,
            self.direct_stops,
            self.finished_jobs,
            self.heartbeats,
            view_listeners=[self.peers, self.fleet_manager, self.preemptor, self.handover],
            member_listeners=[self.replication, self.share_split, *quota_listeners],
            telemetry=self.telemetry,
            statistics=self.scheduling_statistics,
        )
        passed_time = PassedTime(
            state,
            self.authority,
            self.fencing,
            self.machine_index,
            self.agent_connectivity,
            self.telemetry,
            self.agent_statistics,
            self.scheduling_statistics,
            self.errors,
        )
        task_decisions = TaskDecisions(self.authority, self.placement_round, self.preemptor, self.handover, self.errors)
        self.decision_loop = DecisionLoop(
            runtime,
            state,
            self.machine_index,
            self.assignments,
            self.reconciliation,
            self.heartbeats,
            self.direct_stops,
            self.replication,
            passed_time,
            task_decisions,
            self.result_writer,
            self.limit_table,
            self.quota,
            self.telemetry,
            self.errors,
        )

    def start(self) -> None:
        """Start following the key-value store, applying for membership and running the decision loop."""
        log.info("starting: member=%s incarnation=%s", self.state.member, self.membership.incarnation)
        self.watch_cache.start()
        self.membership.start()
        self.machine_type_reader.start()
        self.availability.start()
        self.decision_loop.start()

    def health(self) -> HealthReply:
        """Return whether requests can be accepted, and what this controller cannot reach."""
        return HealthReply(self.authority.is_healthy(), self.availability.unavailable_dependencies())

    # The callbacks below pass events on to parts that are built later than the sources of the events.

    def _own_attempts(self, host: str) -> Collection[Attempt]:
        scheduler = self.state.scheduler
        return scheduler.attempts_by_host.get(host, {}).values() if scheduler is not None else ()

    def _on_direct_stop_response(self, heartbeat: Heartbeat) -> None:
        self.heartbeats.apply_direct_heartbeat(heartbeat)

    def _on_store_change(self, key: str, value: Any, mod_revision: int) -> None:
        self.store_events.on_change(key, value, mod_revision)

    def _on_store_loaded(self) -> None:
        self.store_events.on_loaded(self.watch_cache.revision)

    def _on_view(self) -> None:
        self.view_change.on_view()

    def _is_from_member(self, message: PeerMessage) -> bool:
        return self.peer_messages.is_from_member(message)

    def _on_peer_message(self, message: PeerMessage, peer: Peer) -> None:
        self.peer_messages.on_message(message, peer)

    def _on_finished_jobs(self, job_ids: list[str]) -> None:
        self.assignments.drop_finished(job_ids)

    def _on_machine_types(self, value: Any) -> None:
        self.store_events.apply_machine_types(value)
        self.fleet_manager.has_unsaved_machine_types = True
