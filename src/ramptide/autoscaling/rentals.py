"""The leader's calls to the cloud: one step at a time, each written to the fleet record first."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import msgspec

from ramptide.autoscaling.autoscaler import Autoscaler, ScalingPlan
from ramptide.autoscaling.demand import ClusterDemand
from ramptide.autoscaling.fleet_observation import FleetObservation
from ramptide.autoscaling.machine_decisions import MachineDecision, log_decisions, written
from ramptide.clients.cloud import MAX_RETURNS_PER_CALL, CloudClient, RentResult
from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.rate_limits import CallPriority
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import VIEW_KEY, Membership
from ramptide.cluster.view import View
from ramptide.config.settings import Tuning
from ramptide.protocol.cloud import ListedMachine, MachineType
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.records import (
    MACHINE_TYPES_KEY,
    RENTAL_PREFIX,
    MachineRecord,
    RentalRecord,
    RentedMachine,
    to_value,
)
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime, TimerHandle

log = logging.getLogger(__name__)

ZERO = timedelta(0)
#: Names are not given twice, and what shows a machine later than this after its return is no late message any more.
RETURNED_KEPT = timedelta(hours=1)
#: Added to twice the lag of the cloud's list, for the answer's own time on its way.
LIST_MARGIN = timedelta(seconds=2)


class FleetState(Protocol):
    """What the fleet manager reads of the controller's state, and the counters that it adds to."""

    @property
    def tuning(self) -> Tuning:
        """The operators' settings."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that we schedule; None without a place in the view."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""

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
        """Counts for the metrics."""

    def require_view(self) -> View:
        """Return the current view; raises when there is none."""


class FleetManager:
    """Rents and returns machines; it runs on every controller and acts only on the leading one.

    Parameters
    ----------
    demand
        What the leader decides by.
    may_start
        Tells whether our authority in the view is proven.
    list_lag
        How old the cloud's list of machines may be.
    confirm_timeout
        How long a cancelled task may be on a silent machine before the machine is returned.
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
        self._cloud = cloud
        self._machine_index = machine_index
        self._demand = demand
        self._observation = observation
        self.autoscaler = autoscaler
        self._may_start = may_start
        self._list_lag = list_lag
        self._confirm_timeout = confirm_timeout
        self.machine_types_read = False
        self._rental_count = 0
        self._requested: set[str] = set()
        self._answered: dict[str, list[str]] = {}
        self._refused: set[str] = set()
        self._returning: set[str] = set()
        #: When machines were returned, the latest last.
        self._returned: dict[str, timedelta] = {}
        self._gone: set[str] = set()
        self._list_at: timedelta | None = None
        self._listing = False
        self._listed: dict[str, ListedMachine] = {}
        self._listed_since: dict[str, timedelta] = {}
        self._recorded_since: dict[str, timedelta] = {}
        self._missing: set[str] = set()
        self._writing = False
        #: Decisions of the last write, when its answer was lost.
        self._unconfirmed_decisions: list[MachineDecision] = []
        self._timer: TimerHandle | None = runtime.after(state.tuning.step, self._step)

    def new_view(self) -> None:
        """Start anew in a new view: nothing is rented before a list of machines that is younger than it."""
        self._list_at = None
        self._listing = False
        self._unconfirmed_decisions = []

    def note_recorded(self, host: str) -> None:
        """Note since when a machine is in the fleet record, which every controller follows."""
        self._recorded_since.setdefault(host, self._runtime.now)

    def forget(self, host: str) -> None:
        """Forget a machine that has left the fleet record."""
        self._recorded_since.pop(host, None)
        self._gone.discard(host)
        self._listed_since.pop(host, None)
        self._missing.discard(host)
        self._returning.discard(host)

    # The step.

    def _step(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._runtime.after(self._state.tuning.step, self._step)
        if not self._membership.is_leading or self._state.scheduler is None:
            return
        self._read_list()
        self._request_recorded()
        if self._watch_cache.is_unavailable:
            self._return_unconfirmed()
            return
        # Before the watch has shown the view, a former leader's last changes may be missing here.
        if self._writing or self._watch_cache.revision < self._membership.view_revision:
            return
        self.autoscaler.tuning = self._state.tuning
        listed = {host: rented.status for host, rented in self._listed.items()}
        machines = self._observation.machines(listed, self._missing)
        # Nothing is rented before a new leader has rebuilt what it knows from reports and a fresh list.
        # Lost machines are given back meanwhile: the answer proves them gone, and that settles them.
        rebuilt = self._state.reconciled and self._list_at is not None
        plan = self.autoscaler.step(
            self._runtime.now, self._demand.demands(), machines, self._state.machine_types.values(), rebuilt
        )
        self._machine_index.set_idle_pool(self.autoscaler.idle_pool)
        self._return(plan)
        self._write(plan)

    def _write(self, plan: ScalingPlan) -> None:
        """Write the step's one transaction; it depends on the view, so that a former leader writes nothing."""
        view = self._state.require_view()
        self._log_unconfirmed()
        edits: dict[str, RentalRecord | None] = {}
        open_ones = {name: rental for name, rental in self._state.rentals.items() if rental.machines is None}
        self._answered = {name: hosts for name, hosts in self._answered.items() if name in open_ones}
        self._refused &= open_ones.keys()
        for name, hosts in self._answered.items():
            new = {host: RentedMachine() for host in hosts if host not in self._state.machines}
            written_record = msgspec.structs.replace(open_ones[name], created_in_view=view.number, machines=new)
            edits[name] = written_record if new else None
        edits |= dict.fromkeys(self._refused)
        decisions = self._edit_hosts(edits, plan)
        if plan.rent is not None:
            self._rental_count += 1
            name = f"r-{view.number}-{self._membership.incarnation}-{self._rental_count}"
            machine_type, zone, spot = plan.rent
            edits[name] = RentalRecord(machine_type, zone, spot, self._runtime.wall().timestamp(), plan.count)
        edits |= self._adoptions(decisions)
        transaction = Transaction(conditions={VIEW_KEY: self._membership.view_revision})
        if self.machine_types_read:
            self.machine_types_read = False
            machine_types = [msgspec.to_builtins(machine_type) for machine_type in self._state.machine_types.values()]
            transaction.puts.append(Put(MACHINE_TYPES_KEY, machine_types))
        # What does not fit is found again by the next step.
        fitting: set[str] = set()
        for name, record in edits.items():
            if transaction.size < self._store.limits.max_transaction_operations:
                fitting.add(name)
                key = RENTAL_PREFIX + name
                transaction.conditions[key] = self._watch_cache.mod_revision(key)
                if record is None:
                    transaction.deletes.append(key)
                else:
                    transaction.puts.append(Put(key, to_value(record)))
        if transaction.size:
            self._commit(transaction, written(decisions, fitting))

    def _edit_hosts(self, edits: dict[str, RentalRecord | None], plan: ScalingPlan) -> list[MachineDecision]:
        """Record machines that are gone, came up, leave or stay after all; `edits` is changed in place."""
        decisions = []
        changes: dict[str, RentedMachine | None] = {}
        for host, record in self._state.machines.items():
            if (
                not record.registered
                and host in self._machine_index.machines
                and self._machine_index.machines[host].is_up
            ):
                changes[host] = RentedMachine(True, record.drain_reason)
        moves: dict[str, str | None] = dict(plan.drain) | dict.fromkeys(plan.keep)
        for host, reason in moves.items():
            present = self._state.machines.get(host)
            if present is not None:
                changes[host] = RentedMachine(present.registered or host in changes, reason)
                outcome = reason or "stays after all"
                decisions.append(
                    MachineDecision(host, present.machine_type, present.zone, present.rental_id, reason, outcome)
                )
        changes |= dict.fromkeys(host for host in self._gone if host in self._state.machines)
        for host, change in changes.items():
            name = self._state.machines[host].rental_id
            rental = edits.get(name, self._state.rentals.get(name))
            if rental is None or rental.machines is None:
                continue
            hosts = dict(rental.machines)
            if change is None:
                hosts.pop(host, None)
            else:
                hosts[host] = change
            edits[name] = msgspec.structs.replace(rental, machines=hosts) if hosts else None
        return decisions

    def _commit(self, transaction: Transaction, decisions: list[MachineDecision]) -> None:
        self._writing = True

        def done(outcome: TransactionResult) -> None:
            self._writing = False
            if not outcome.is_applied:
                self._unconfirmed_decisions = decisions if outcome.is_unknown else []
                return
            log_decisions(decisions)
            self._watch_cache.apply_commit(transaction, outcome.commit_revision)
            self._request_recorded()

        # A few changes a second that all else waits for: they do not queue behind the users' commits.
        self._store.commit(transaction, done, CallPriority.LEASE)

    def _log_unconfirmed(self) -> None:
        """Log the decisions of a write whose answer was lost, if the records show that it was applied."""
        machines = self._state.machines
        unsure, self._unconfirmed_decisions = self._unconfirmed_decisions, []
        log_decisions(decision for decision in unsure if decision.shown_by(machines.get(decision.host)))

    # Rentals.

    def _request_recorded(self) -> None:
        """Request the recorded rentals that have no answer yet, a former leader's included, by their names."""
        for name, rental in self._state.rentals.items():
            known = name in self._requested or name in self._answered or name in self._refused
            if rental.machines is None and not known:
                self._request(name, rental)

    def _request(self, name: str, rental: RentalRecord) -> None:
        self._requested.add(name)
        kind = (rental.machine_type, rental.zone, rental.spot)

        def done(result: RentResult) -> None:
            hosts = result.hosts
            self._requested.discard(name)
            if hosts is not None:
                log.info("rented %s: %s in %s%s", ", ".join(hosts), kind[0], kind[1], ", spot" if kind[2] else "")
                self._answered[name] = hosts
                self.autoscaler.note_rental(kind)
                self._state.counters["rentals"] += len(hosts)
                if len(hosts) < rental.count:
                    # No more of this kind: the step goes on with the next best one.
                    self.autoscaler.note_refusal(kind, self._runtime.now)
                    self._step()
            elif result.is_refused:
                log.info("no capacity for %s in %s%s", kind[0], kind[1], ", spot" if kind[2] else "")
                self._refused.add(name)
                self.autoscaler.note_refusal(kind, self._runtime.now)
                # Nothing was rented, so the step goes on with the next best kind.
                self._step()

        self._cloud.rent(name, *kind, rental.count, done)

    def _adoptions(self, decisions: list[MachineDecision]) -> dict[str, RentalRecord | None]:
        """Return records for machines that nobody recorded, as delayed requests create them.

        They are used like any other; the decisions are added to `decisions`.
        """
        wall, born = self._runtime.wall().timestamp(), self._state.require_view().number
        found: dict[str, RentalRecord | None] = {}
        asked = {host for hosts in self._answered.values() for host in hosts}

        def adopt(host: str, machine_type: str, zone: str, spot: bool, at: float) -> None:
            name = f"adopted-{host}"
            decisions.append(MachineDecision(host, machine_type, zone, name, None, "was not expected, taken over"))
            found[name] = RentalRecord(
                machine_type, zone, spot, at, created_in_view=born, machines={host: RentedMachine()}
            )

        for host, (machine_type, zone, spot) in self._observation.unrecorded_machines().items():
            if self._unexpected(host, asked):
                adopt(host, machine_type, zone, spot, wall)
        read = self._list_at if self._list_at is not None else ZERO
        for host, rented in self._listed.items() if self._list_at is not None else ():
            # A list may show what is gone, so only what stays listed longer than its lag is taken: as of the
            # moment the list was read, since it may be the last one before an outage.
            old = read - self._listed_since.get(host, read) > self._list_lag * 2 + LIST_MARGIN
            if old and rented.status != "failed" and self._unexpected(host, asked):
                adopt(host, rented.machine_type, rented.zone, rented.spot, wall - rented.age_s)
        return found

    def _unexpected(self, host: str, asked: set[str]) -> bool:
        # Names are not given twice: what was returned for sure is gone, whatever late reports and old lists show.
        return (
            host not in self._returned
            and host not in self._state.machines
            and host not in asked
            and not self._requested
        )

    # Returns.

    def _return_unconfirmed(self) -> None:
        """Return machines on which a cancelled task may still run, during an outage of the state service.

        Nothing can be written then, but the time limit of a cancellation that was confirmed before passes all the same.
        """
        if self._may_start():
            now = self._runtime.now
            self._return(
                ScalingPlan(
                    return_now=[
                        name
                        for name in self._state.machines
                        if self._machine_index.unconfirmed_for(name, now) > self._confirm_timeout
                    ]
                )
            )

    def _return(self, plan: ScalingPlan) -> None:
        hosts = [host for host in plan.return_now if host not in self._returning and host not in self._gone]
        hosts = hosts[:MAX_RETURNS_PER_CALL]
        if not hosts:
            return
        self._returning.update(hosts)

        def done(gone: bool) -> None:
            self._returning.difference_update(hosts)
            if gone:
                log.info("returned %s", ", ".join(hosts))
                self._gone.update(host for host in hosts if host in self._state.machines)
                self._note_returned(hosts)
                self._state.counters["returns"] += len(hosts)

        self._cloud.return_machines(hosts, done)

    def _note_returned(self, hosts: list[str]) -> None:
        now = self._runtime.now
        self._returned |= dict.fromkeys(hosts, now)
        while now - self._returned[oldest := next(iter(self._returned))] > RETURNED_KEPT:
            del self._returned[oldest]

    # The list.

    def _read_list(self) -> None:
        if (
            self._listing
            or self._list_at is not None
            and self._runtime.now - self._list_at < self._state.tuning.list_every
        ):
            return
        self._listing = True
        sent, view = self._runtime.now, self._state.view

        def done(found: list[ListedMachine] | None) -> None:
            if view is not self._state.view:
                return
            self._listing = False
            if found is None:
                return
            self._list_at = sent
            self._take_list({rented.host: rented for rented in found})

        self._cloud.list_machines(done)

    def _take_list(self, listed: dict[str, ListedMachine]) -> None:
        now = self._runtime.now
        self._listed = listed
        for host in listed:
            self._listed_since.setdefault(host, now)
        for host in [host for host in self._listed_since if host not in listed and host not in self._state.machines]:
            del self._listed_since[host]
        # A list may be twice the lag old. One that is younger than a machine and lacks it says that it is gone, whether
        # we saw it listed or a leader before us did.
        oldest = now - self._list_lag * 2 - LIST_MARGIN
        self._missing = {
            host
            for host in self._state.machines
            if host not in listed and min(self._recorded_since[host], self._listed_since.get(host, now)) < oldest
        }
