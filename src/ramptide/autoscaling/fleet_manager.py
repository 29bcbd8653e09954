"""The leader's step: it plans rentals, drains and returns, and records the changes in one transaction.

A rental is sent to the cloud only once it is recorded; a return does not wait for the transaction of its step.
"""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import msgspec

from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.autoscaling.cloud_list import CloudList
from ramptide.autoscaling.demand import ClusterDemand
from ramptide.autoscaling.fleet_edits import FleetEdits
from ramptide.autoscaling.fleet_observation import FleetObservation
from ramptide.autoscaling.fleet_types import ScalingPlan
from ramptide.autoscaling.machine_decisions import MachineDecision, log_decisions, written_decisions
from ramptide.autoscaling.machine_returns import MachineReturns
from ramptide.autoscaling.rental_requests import RentalRequests
from ramptide.clients.cloud import CloudClient
from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.rate_limits import CallPriority
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import VIEW_KEY, Membership
from ramptide.cluster.view import View
from ramptide.config.tuning import Tuning
from ramptide.protocol.cloud import MachineType
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import MACHINE_TYPES_KEY, RENTAL_PREFIX, MachineRecord, RentalRecord, to_value
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime, TimerHandle

__all__ = ["FleetManager"]

log = logging.getLogger(__name__)

#: The status in the cloud's list of a machine that failed and cannot be used.
FAILED_STATUS = "failed"


class FleetState(Protocol):
    """The state of the controller that the fleet manager reads, and the counters that it increments."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The scheduler of this controller's jobs; None while this controller is not in the view."""

    @property
    def reconciled(self) -> bool:
        """Whether all machines are reconciled: it is known what earlier views left on them."""

    @property
    def machines(self) -> dict[str, MachineRecord]:
        """The fleet record, by machine."""

    @property
    def rentals(self) -> dict[str, RentalRecord]:
        """The fleet record, by rental."""

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The cloud's machine types."""

    @property
    def counters(self) -> Counter[str]:
        """The counters of the metrics, by name."""

    def require_view(self) -> View:
        """Return the current view; raise an error when there is none."""


class FleetManager:
    """Rents and returns machines; it runs on every controller and acts only on the leading one.

    Parameters
    ----------
    demand, observation
        The waiting tasks and the state of the machines, on which the leader bases its decisions.
    may_start
        Returns whether the authority of this controller in the view is proven.
    list_lag
        How far the cloud's list of machines may lag behind the actual machines.
    confirm_timeout
        How long a cancelled task may remain on a silent machine before the machine is returned.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: FleetState,
        membership: Membership,
        watch_cache: WatchCache,
        store: KeyValueStore,
        cloud: CloudClient,
        machine_index: MachineIndex,
        demand: ClusterDemand,
        observation: FleetObservation,
        autoscaler: Autoscaler,
        may_start: Callable[[], bool],
        list_lag: timedelta,
        confirm_timeout: timedelta,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._store = store
        self._machine_index = machine_index
        self._demand = demand
        self._observation = observation
        self.autoscaler = autoscaler
        self._may_start = may_start
        self._confirm_timeout = confirm_timeout
        self._cloud_list = CloudList(runtime, state, cloud, list_lag)
        self._requests = RentalRequests(runtime, state, cloud, autoscaler, self._step)
        self._returns = MachineReturns(runtime, state, cloud)
        #: Whether machine types were read from the cloud that are not in the key-value store yet.
        self.has_unsaved_machine_types = False
        self._rental_count = 0
        self._is_writing = False
        #: The decisions of the last write if its response was lost.
        self._unconfirmed_decisions: list[MachineDecision] = []
        self._timer: TimerHandle | None = runtime.after(state.tuning.step, self._step)

    def on_new_view(self) -> None:
        """Reset for a new view, in which nothing is rented before the cloud's list of machines was read again."""
        self._cloud_list.on_new_view()
        self._unconfirmed_decisions = []

    def track_machine(self, host: str) -> None:
        """Record since when a machine has been in the fleet record, which every controller follows."""
        self._cloud_list.track_machine(host)

    def forget(self, host: str) -> None:
        """Drop what is known of a machine that has left the fleet record."""
        self._cloud_list.forget(host)
        self._returns.forget(host)

    # The step of the leader.

    def _step(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._runtime.after(self._state.tuning.step, self._step)
        if not self._membership.is_leading or self._state.scheduler is None:
            return
        self._cloud_list.read_if_due()
        self._requests.send_recorded()
        if self._watch_cache.is_unavailable:
            self._return_unconfirmed()
            return
        # Until the watch has delivered the view, the last changes of a former leader may be missing here.
        if self._is_writing or self._watch_cache.revision < self._membership.view_revision:
            return
        plan = self._plan()
        self._machine_index.set_idle_pool(self.autoscaler.idle_pool)
        self._returns.return_machines(plan.return_now)
        self._write(plan)

    def _plan(self) -> ScalingPlan:
        """Return the autoscaler's decisions for the present state.

        A new leader rents nothing until all machines are reconciled and it has read the cloud's list. It returns lost
        machines meanwhile: the response to a return proves a machine gone, which reconciles it.
        """
        self.autoscaler.tuning = self._state.tuning
        machines = self._observation.machines(self._cloud_list.statuses(), self._cloud_list.missing)
        is_state_complete = self._state.reconciled and self._cloud_list.has_been_read
        demands, machine_types = self._demand.demands(), self._state.machine_types.values()
        return self.autoscaler.step(self._runtime.now, demands, machines, machine_types, is_state_complete)

    def _return_unconfirmed(self) -> None:
        """Return machines on which a cancelled task may still run, during an outage of the key-value store.

        Nothing can be written then, but the deadline of a cancellation that was confirmed before still holds.
        """
        if not self._may_start():
            return
        now, timeout = self._runtime.now, self._confirm_timeout
        unconfirmed_for = self._machine_index.unconfirmed_duration
        self._returns.return_machines(host for host in self._state.machines if unconfirmed_for(host, now) > timeout)

    # The fleet record.

    def _write(self, plan: ScalingPlan) -> None:
        """Commit the step's transaction, conditional on the view's revision, so that a former leader writes nothing."""
        self._log_unconfirmed()
        edits = self._edits(plan)
        transaction = Transaction(conditions={VIEW_KEY: self._membership.view_revision})
        if self.has_unsaved_machine_types:
            self.has_unsaved_machine_types = False
            machine_types = [msgspec.to_builtins(machine_type) for machine_type in self._state.machine_types.values()]
            transaction.puts.append(Put(MACHINE_TYPES_KEY, machine_types))
        fitting_ids = self._add_records(transaction, edits.records)
        if transaction.size:
            self._commit(transaction, written_decisions(edits.decisions, fitting_ids))

    def _edits(self, plan: ScalingPlan) -> FleetEdits:
        """Return the changes to the fleet record: results of requests, the plan, and machines in no record."""
        view, state = self._state.require_view(), self._state
        edits = FleetEdits(state.rentals, state.machines)
        requested = {rental_id: rental for rental_id, rental in state.rentals.items() if rental.machines is None}
        self._requests.keep_only(requested)
        for rental_id, hosts in self._requests.rented.items():
            edits.add_rented(rental_id, requested[rental_id], hosts, view.number)
        edits.delete(self._requests.refused)
        edits.change_machines(self._unregistered_up_hosts(), plan, self._returns.gone)
        if plan.rent is not None:
            self._rental_count += 1
            rental_id = f"r-{view.number}-{self._membership.incarnation}-{self._rental_count}"
            edits.add(rental_id, RentalRecord(*plan.rent, self._runtime.wall().timestamp(), plan.count))
        self._adopt_unexpected(edits, view.number)
        return edits

    def _unregistered_up_hosts(self) -> list[str]:
        """Return the machines that have come up and are not recorded as registered yet."""
        observed = self._machine_index.machines
        return [
            host
            for host, record in self._state.machines.items()
            if not record.registered and host in observed and observed[host].is_up
        ]

    def _adopt_unexpected(self, edits: FleetEdits, view: int) -> None:
        """Record machines in no record that send heartbeats, or that the cloud has listed for long enough."""
        wall_s = self._runtime.wall().timestamp()
        for host, kind in self._observation.unrecorded_machines().items():
            if self._is_unexpected(host):
                edits.adopt(host, RentalRecord(*kind, wall_s, created_in_view=view))
        for machine in self._cloud_list.listed_for_long():
            if machine.status != FAILED_STATUS and self._is_unexpected(machine.host):
                kind = (machine.machine_type, machine.zone, machine.spot)
                edits.adopt(machine.host, RentalRecord(*kind, wall_s - machine.age_s, created_in_view=view))

    def _is_unexpected(self, host: str) -> bool:
        """Return whether neither the fleet record nor a rental request accounts for a machine.

        The cloud does not reuse names: a machine that was returned is gone, even if late heartbeats and old lists show
        it.
        """
        if self._returns.was_returned(host) or host in self._state.machines:
            return False
        return host not in self._requests.rented_hosts() and not self._requests.has_requests_in_flight

    def _add_records(self, transaction: Transaction, records: dict[str, RentalRecord | None]) -> set[str]:
        """Add the records that fit into the transaction and return their ids; the next step adds the other changes."""
        fitting_ids: set[str] = set()
        for rental_id, record in records.items():
            if transaction.size >= self._store.limits.max_transaction_operations:
                break
            fitting_ids.add(rental_id)
            key = RENTAL_PREFIX + rental_id
            transaction.conditions[key] = self._watch_cache.mod_revision(key)
            if record is None:
                transaction.deletes.append(key)
            else:
                transaction.puts.append(Put(key, to_value(record)))
        return fitting_ids

    def _commit(self, transaction: Transaction, decisions: list[MachineDecision]) -> None:
        self._is_writing = True

        def on_result(result: TransactionResult) -> None:
            self._is_writing = False
            if not result.is_applied:
                self._unconfirmed_decisions = decisions if result.is_unknown else []
                return
            log_decisions(decisions)
            self._watch_cache.apply_commit(transaction, result.commit_revision)
            self._requests.send_recorded()

        # The fleet's few writes per second do not queue behind the users' commits, as all other work waits for them.
        self._store.commit(transaction, on_result, CallPriority.LEASE)

    def _log_unconfirmed(self) -> None:
        """Log the decisions of a write whose response was lost, if the records show that it was applied."""
        machines = self._state.machines
        unconfirmed, self._unconfirmed_decisions = self._unconfirmed_decisions, []
        log_decisions(decision for decision in unconfirmed if decision.is_shown_in(machines.get(decision.host)))
