"""The leader's calls to the cloud: one step at a time, each written to the fleet record first."""

import logging
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide.cloud import MAX_RETURNS_PER_CALL
from ramptide.context import TimerHandle
from ramptide.decisions import MachineDecision, log_decisions, written
from ramptide.fleet import Fleet, Plan
from ramptide.limits import Priority
from ramptide.membership import VIEW
from ramptide.protocol.cloud import ListedMachine
from ramptide.records import MACHINE_TYPES_KEY, RENTAL_PREFIX, RentalRecord, RentedMachine, to_value
from ramptide.store import Transaction, TransactionResult

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)
#: Names are not given twice, and what shows a machine later than this after its return is no late message any more.
RETURNED_KEPT = timedelta(hours=1)
#: Added to twice the lag of the cloud's list, for the answer's own time on its way.
LIST_MARGIN = timedelta(seconds=2)


class Leader:
    """Rents and returns machines; it runs on every controller and acts only on the leading one."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.fleet = Fleet(controller.tuning, controller.report_every, controller.lease, controller.prove_within)
        self.machine_types_read = False
        self._lag = timedelta(seconds=controller.settings.cluster.cloud.list_lag_s)
        self._rental_count = 0
        self._asking: set[str] = set()
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
        self._unsure: list[MachineDecision] = []
        self._timer: TimerHandle | None = controller.context.after(controller.tuning.step, self._step)

    def new_view(self) -> None:
        """Start anew in a new view: nothing is rented before a list of machines that is younger than it."""
        self._list_at = None
        self._listing = False
        self._unsure = []

    def recorded(self, host: str) -> None:
        """Note since when a machine is in the fleet record, which every controller follows."""
        self._recorded_since.setdefault(host, self._c.context.now)

    def forget(self, host: str) -> None:
        """Forget a machine that has left the fleet record."""
        self._recorded_since.pop(host, None)
        self._gone.discard(host)
        self._listed_since.pop(host, None)
        self._missing.discard(host)
        self._returning.discard(host)

    # The step.

    def _step(self) -> None:
        c = self._c
        if self._timer is not None:
            self._timer.cancel()
        self._timer = c.context.after(c.tuning.step, self._step)
        if not c.membership.leading or c.scheduler is None:
            return
        self._read_list()
        self._ask_again()
        if c.mirror.lacking:
            self._return_unproven()
            return
        # Before the watch has shown the view, a former leader's last changes may be missing here.
        if self._writing or c.mirror.revision < c.membership.view_revision:
            return
        self.fleet.tuning = c.tuning
        listed = {host: rented.status for host, rented in self._listed.items()}
        machines = c.knowledge.machines_known(listed, self._missing)
        # Nothing is rented before a new leader has rebuilt what it knows from reports and a fresh list.
        # Lost machines are given back meanwhile: the answer proves them gone, and that settles them.
        rebuilt = c.latched and self._list_at is not None
        plan = self.fleet.step(c.context.now, c.knowledge.demands(), machines, c.machine_types.values(), rebuilt)
        c.floor.keep_pool(self.fleet.pool)
        self._return(plan)
        self._write(plan)

    def _write(self, plan: Plan) -> None:
        """Write the step's one transaction; it depends on the view, so that a former leader writes nothing."""
        c = self._c
        assert c.view is not None
        self._log_unsure()
        edits: dict[str, RentalRecord | None] = {}
        open_ones = {name: rental for name, rental in c.rentals.items() if rental.machines is None}
        self._answered = {name: hosts for name, hosts in self._answered.items() if name in open_ones}
        self._refused &= open_ones.keys()
        for name, hosts in self._answered.items():
            new = {host: RentedMachine() for host in hosts if host not in c.machines}
            written_record = msgspec.structs.replace(open_ones[name], created_in_view=c.view.number, machines=new)
            edits[name] = written_record if new else None
        edits |= dict.fromkeys(self._refused)
        decisions = self._edit_hosts(edits, plan)
        if plan.rent is not None:
            self._rental_count += 1
            name = f"r-{c.view.number}-{c.membership.incarnation}-{self._rental_count}"
            machine_type, zone, spot = plan.rent
            edits[name] = RentalRecord(machine_type, zone, spot, c.context.wall().timestamp(), plan.count)
        edits |= self._adoptions(decisions)
        transaction = Transaction(conditions={VIEW: c.membership.view_revision})
        if self.machine_types_read:
            self.machine_types_read = False
            machine_types = [msgspec.to_builtins(machine_type) for machine_type in c.machine_types.values()]
            transaction.puts.append((MACHINE_TYPES_KEY, machine_types, None))
        # What does not fit is found again by the next step.
        fitting: set[str] = set()
        for name, record in edits.items():
            if transaction.size < c.store.limits.max_transaction_operations:
                fitting.add(name)
                key = RENTAL_PREFIX + name
                transaction.conditions[key] = c.mirror.mod_revision(key)
                if record is None:
                    transaction.deletes.append(key)
                else:
                    transaction.puts.append((key, to_value(record), None))
        if transaction.size:
            self._commit(transaction, written(decisions, fitting))

    def _edit_hosts(self, edits: dict[str, RentalRecord | None], plan: Plan) -> list[MachineDecision]:
        """Record machines that are gone, came up, leave or stay after all; `edits` is changed in place."""
        c = self._c
        decisions = []
        changes: dict[str, RentedMachine | None] = {}
        for host, record in c.machines.items():
            if not record.registered and host in c.floor.hosts and c.floor.hosts[host].up:
                changes[host] = RentedMachine(True, record.drain_reason)
        moves: dict[str, str | None] = dict(plan.leave) | dict.fromkeys(plan.stay)
        for host, reason in moves.items():
            present = c.machines.get(host)
            if present is not None:
                changes[host] = RentedMachine(present.registered or host in changes, reason)
                outcome = reason or "stays after all"
                decisions.append(
                    MachineDecision(host, present.machine_type, present.zone, present.rental_id, reason, outcome)
                )
        changes |= dict.fromkeys(host for host in self._gone if host in c.machines)
        for host, change in changes.items():
            name = c.machines[host].rental_id
            rental = edits.get(name, c.rentals.get(name))
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
            if outcome.revision is None:
                self._unsure = decisions if outcome.failed_keys is None and outcome.sent else []
                return
            log_decisions(decisions)
            self._c.mirror.applied(outcome.revision, transaction.puts, transaction.deletes)
            self._ask_again()

        # A few changes a second that all else waits for: they do not queue behind the users' commits.
        self._c.store.commit(transaction, done, Priority.LEASE)

    def _log_unsure(self) -> None:
        """Log the decisions of a write whose answer was lost, if the records show that it was applied."""
        machines = self._c.machines
        unsure, self._unsure = self._unsure, []
        log_decisions(decision for decision in unsure if decision.shown_by(machines.get(decision.host)))

    # Rentals.

    def _ask_again(self) -> None:
        """Request the recorded rentals that have no answer yet, a former leader's included, by their names."""
        for name, rental in self._c.rentals.items():
            known = name in self._asking or name in self._answered or name in self._refused
            if rental.machines is None and not known:
                self._ask(name, rental)

    def _ask(self, name: str, rental: RentalRecord) -> None:
        self._asking.add(name)
        kind = (rental.machine_type, rental.zone, rental.spot)

        def done(hosts: list[str] | None, refused: bool) -> None:
            self._asking.discard(name)
            if hosts is not None:
                log.info("rented %s: %s in %s%s", ", ".join(hosts), kind[0], kind[1], ", spot" if kind[2] else "")
                self._answered[name] = hosts
                self.fleet.rented(kind)
                self._c.counters["rentals"] += len(hosts)
                if len(hosts) < rental.count:
                    # No more of this kind: the step goes on with the next best one.
                    self.fleet.refused(kind, self._c.context.now)
                    self._step()
            elif refused:
                log.info("no capacity for %s in %s%s", kind[0], kind[1], ", spot" if kind[2] else "")
                self._refused.add(name)
                self.fleet.refused(kind, self._c.context.now)
                # Nothing was rented, so the step goes on with the next best kind.
                self._step()

        self._c.cloud.rent(name, rental, done)

    def _adoptions(self, decisions: list[MachineDecision]) -> dict[str, RentalRecord | None]:
        """Return records for machines that nobody recorded, as delayed requests create them.

        They are used like any other; the decisions are added to `decisions`.
        """
        c = self._c
        assert c.view is not None
        wall, born = c.context.wall().timestamp(), c.view.number
        found: dict[str, RentalRecord | None] = {}
        asked = {host for hosts in self._answered.values() for host in hosts}

        def adopt(host: str, machine_type: str, zone: str, spot: bool, at: float) -> None:
            name = f"adopted-{host}"
            decisions.append(MachineDecision(host, machine_type, zone, name, None, "was not expected, taken over"))
            found[name] = RentalRecord(
                machine_type, zone, spot, at, created_in_view=born, machines={host: RentedMachine()}
            )

        for host, (machine_type, zone, spot) in c.syncing.strangers().items():
            if self._unexpected(host, asked):
                adopt(host, machine_type, zone, spot, wall)
        read = self._list_at if self._list_at is not None else ZERO
        for host, rented in self._listed.items() if self._list_at is not None else ():
            # A list may show what is gone, so only what stays listed longer than its lag is taken: as of the
            # moment the list was read, since it may be the last one before an outage.
            old = read - self._listed_since.get(host, read) > self._lag * 2 + LIST_MARGIN
            if old and rented.status != "failed" and self._unexpected(host, asked):
                adopt(host, rented.machine_type, rented.zone, rented.spot, wall - rented.age_s)
        return found

    def _unexpected(self, host: str, asked: set[str]) -> bool:
        # Names are not given twice: what was returned for sure is gone, whatever late reports and old lists show.
        c = self._c
        return host not in self._returned and host not in c.machines and host not in asked and not self._asking

    # Returns.

    def _return_unproven(self) -> None:
        """Return machines on which a cancelled task may still run, during an outage of the state service.

        Nothing can be written then, but the time limit of a cancellation that was confirmed before passes all the same.
        """
        c = self._c
        if c.may_start():
            now = c.context.now
            self._return(Plan(give_back=[name for name in c.machines if c.floor.unproven(name, now) > c.prove_within]))

    def _return(self, plan: Plan) -> None:
        hosts = [host for host in plan.give_back if host not in self._returning and host not in self._gone]
        hosts = hosts[:MAX_RETURNS_PER_CALL]
        if not hosts:
            return
        self._returning.update(hosts)

        def done(gone: bool) -> None:
            self._returning.difference_update(hosts)
            if gone:
                log.info("returned %s", ", ".join(hosts))
                self._gone.update(host for host in hosts if host in self._c.machines)
                self._note_returned(hosts)
                self._c.counters["returns"] += len(hosts)

        self._c.cloud.return_machines(hosts, done)

    def _note_returned(self, hosts: list[str]) -> None:
        now = self._c.context.now
        self._returned |= dict.fromkeys(hosts, now)
        while now - self._returned[oldest := next(iter(self._returned))] > RETURNED_KEPT:
            del self._returned[oldest]

    # The list.

    def _read_list(self) -> None:
        c = self._c
        if self._listing or self._list_at is not None and c.context.now - self._list_at < c.tuning.list_every:
            return
        self._listing = True
        sent, view = c.context.now, c.view

        def done(found: list[ListedMachine] | None) -> None:
            if view is not c.view:
                return
            self._listing = False
            if found is None:
                return
            self._list_at = sent
            self._take_list({rented.host: rented for rented in found})

        c.cloud.list_machines(done)

    def _take_list(self, listed: dict[str, ListedMachine]) -> None:
        now = self._c.context.now
        self._listed = listed
        for host in listed:
            self._listed_since.setdefault(host, now)
        for host in [host for host in self._listed_since if host not in listed and host not in self._c.machines]:
            del self._listed_since[host]
        # A list may be twice the lag old. One that is younger than a machine and lacks it says that it is gone, whether
        # we saw it listed or a leader before us did.
        oldest = now - self._lag * 2 - LIST_MARGIN
        self._missing = {
            host
            for host in self._c.machines
            if host not in listed and min(self._recorded_since[host], self._listed_since.get(host, now)) < oldest
        }
