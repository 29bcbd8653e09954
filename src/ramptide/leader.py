"""The leader's dealings with the cloud: one step at a time, each written to the fleet record first."""

import logging
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ramptide import wire
from ramptide.cloud import RETURN_MOST
from ramptide.context import Handle
from ramptide.fleet import Fleet, Kind, Plan
from ramptide.limits import Rank
from ramptide.membership import VIEW
from ramptide.records import FLAVORS, HIRE, MACHINE, HireRecord, MachineRecord, to_value
from ramptide.store import Outcome, Txn

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)


class Leader:
    """Runs on every controller, acts only on the leading one."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.fleet = Fleet(controller.tuning, controller.report_every, controller.lease)
        self.flavors_read = False
        self._lag = timedelta(seconds=controller.settings.cluster.cloud.list_lag_s)
        self._hired = 0
        self._asking: set[str] = set()
        self._answered: dict[str, list[str]] = {}
        self._refused: set[str] = set()
        self._returning: set[str] = set()
        self._returned: dict[str, timedelta] = {}
        self._gone: set[str] = set()
        self._list_at: timedelta | None = None
        self._listing = False
        self._listed: dict[str, wire.Rented] = {}
        self._listed_since: dict[str, timedelta] = {}
        self._missing: set[str] = set()
        self._writing = False
        self._timer: Handle | None = controller.context.after(controller.tuning.step, self._step)

    def new_view(self) -> None:
        """A new view rebuilds: nothing is rented before a list that is younger than it."""
        self._list_at = None
        self._listing = False

    def forget(self, host: str) -> None:
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
        if not c.membership.leading or c.home is None:
            return
        self._read_list()
        self._ask_again()
        if self._writing or c.mirror.lacking:
            return
        self.fleet.tuning = c.tuning
        listed = {host: rented.status for host, rented in self._listed.items()}
        machines = c.machines_known(listed, self._missing)
        # Nothing is rented before a new leader has rebuilt what it knows from reports and a fresh list.
        # Lost machines are given back meanwhile: the answer proves them gone, and that settles them.
        rebuilt = c.latched and self._list_at is not None
        plan = self.fleet.step(c.context.now, c.demands(), machines, c.flavors.values(), rebuilt)
        c.pool = self.fleet.pool
        self._return(plan)
        self._write(plan)

    def _write(self, plan: Plan) -> None:
        """The step's one transaction: conditional on the view, so that a leader of the past writes nothing."""
        c = self._c
        room = c.store.limits.txn_ops
        txn = Txn(when={VIEW: c.membership.view_stamp})
        wall = c.context.wall().timestamp()
        new: dict[str, MachineRecord] = {}
        assert c.view is not None
        for name, hosts in self._answered.items():
            hire = c.hires.get(name)
            if hire is not None and txn.size + len(hosts) + 1 <= room:
                new |= {
                    host: MachineRecord(hire.flavor, hire.yard, hire.spot, c.view.number, hire.at)
                    for host in hosts
                }
                txn.drops.append(HIRE + name)
        for name in self._refused:
            if name in c.hires and txn.size + len(new) < room:
                txn.drops.append(HIRE + name)
        new |= self._adoptions(wall, new)
        for host, record in new.items():
            if host not in c.machines and txn.size < room:
                txn.when[MACHINE + host] = 0
                txn.puts.append((MACHINE + host, to_value(record), None))
        for host in self._gone:
            if host in c.machines and txn.size < room:
                txn.drops.append(MACHINE + host)
        for host, changed in self._changes(plan).items():
            if host not in self._gone and txn.size < room:
                txn.when[MACHINE + host] = c.mirror.stamp(MACHINE + host)
                txn.puts.append((MACHINE + host, to_value(changed), None))
        hire_name: str | None = None
        if plan.rent is not None and txn.size < room:
            self._hired += 1
            hire_name = f"r-{c.view.number}-{c.membership.incarnation}-{self._hired}"
            hire = HireRecord(plan.rent[0], plan.rent[1], plan.rent[2], wall)
            txn.puts.append((HIRE + hire_name, to_value(hire), None))
        if self.flavors_read and txn.size < room:
            self.flavors_read = False
            txn.puts.append((FLAVORS, [msgspec.to_builtins(flavor) for flavor in c.flavors.values()], None))
        if txn.size:
            self._commit(txn, hire_name, plan.rent)

    def _changes(self, plan: Plan) -> dict[str, MachineRecord]:
        """Records that change: machines that came up, that leave, or that stay after all."""
        c = self._c
        changes: dict[str, MachineRecord] = {}
        for host, record in c.machines.items():
            if not record.opened and host in c.floor and c.floor[host].up:
                changes[host] = msgspec.structs.replace(record, opened=True)
        moves: dict[str, str | None] = dict(plan.leave) | dict.fromkeys(plan.stay)
        for host, reason in moves.items():
            present = changes.get(host) or c.machines.get(host)
            if present is not None:
                changes[host] = msgspec.structs.replace(present, leaving=reason)
                log.info("%s (%s, %s): %s", host, present.flavor, present.yard, reason or "stays after all")
        return changes

    def _commit(self, txn: Txn, name: str | None, kind: Kind | None) -> None:
        self._writing = True

        def done(outcome: Outcome) -> None:
            self._writing = False
            if outcome.epoch is None:
                return
            self._c.mirror.applied(outcome.epoch, txn.puts, txn.drops)
            for path in txn.drops:
                self._answered.pop(path.removeprefix(HIRE), None)
                self._refused.discard(path.removeprefix(HIRE))
            if name is not None and kind is not None:
                self._ask(name, kind)

        self._c.store.txn(txn, done, Rank.COMMIT)

    # Rentals.

    def _ask_again(self) -> None:
        """Rentals without an answer, a former leader's included, are asked for again under their names."""
        for name, hire in self._c.hires.items():
            if name not in self._asking and name not in self._answered and name not in self._refused:
                self._ask(name, (hire.flavor, hire.yard, hire.spot))

    def _ask(self, name: str, kind: Kind) -> None:
        self._asking.add(name)

        def done(hosts: list[str] | None, refused: bool) -> None:
            self._asking.discard(name)
            if hosts is not None:
                log.info("rented %s: %s in %s%s", ", ".join(hosts), kind[0], kind[1], ", spot" if kind[2] else "")
                self._answered[name] = hosts
                self.fleet.rented(kind)
                self._c.counters["rentals"] += len(hosts)
            elif refused:
                log.info("no capacity for %s in %s%s", kind[0], kind[1], ", spot" if kind[2] else "")
                self._refused.add(name)
                self.fleet.refused(kind, self._c.context.now)
                # Nothing was rented, so the step goes on with the next best kind.
                self._step()

        self._c.cloud.rent(name, *kind, done)

    def _adoptions(self, wall: float, new: dict[str, MachineRecord]) -> dict[str, MachineRecord]:
        """Machines that nobody recorded, as late requests make them: used like any other."""
        c = self._c
        assert c.view is not None
        found = {}
        asked = {host for hosts in self._answered.values() for host in hosts}
        for host, (flavor, yard, spot) in c.strangers().items():
            if self._unexpected(host, new, asked, c.context.now):
                found[host] = MachineRecord(flavor, yard, spot, c.view.number, wall)
        read = self._list_at if self._list_at is not None else timedelta(0)
        for host, rented in self._listed.items() if self._list_at is not None else ():
            # A list may show what is gone, so only what stays listed longer than its lag is taken: as of the
            # moment the list was read, since it may be the last one before an outage.
            old = read - self._listed_since.get(host, read) > self._lag * 2 + timedelta(seconds=2)
            if old and rented.status != "failed" and self._unexpected(host, new, asked, read):
                found[host] = MachineRecord(rented.rig, rented.yard, rented.spot, c.view.number, wall - rented.age_s)
        for host in found:
            log.info("%s was not expected: taken over", host)
        return found

    def _unexpected(self, host: str, new: dict[str, MachineRecord], asked: set[str], seen: timedelta) -> bool:
        c = self._c
        returned = self._returned.get(host)
        if returned is not None and seen - returned < self._lag * 3 + timedelta(seconds=5):
            return False
        return host not in c.machines and host not in new and host not in asked and not self._asking

    # Returns.

    def _return(self, plan: Plan) -> None:
        hosts = [host for host in plan.give_back if host not in self._returning and host not in self._gone]
        hosts = hosts[:RETURN_MOST]
        if not hosts:
            return
        self._returning.update(hosts)

        def done(gone: bool) -> None:
            self._returning.difference_update(hosts)
            if gone:
                log.info("returned %s", ", ".join(hosts))
                self._gone.update(host for host in hosts if host in self._c.machines)
                self._returned |= {host: self._c.context.now for host in hosts}
                self._c.counters["returns"] += len(hosts)

        self._c.cloud.give_back(hosts, done)

    # The list.

    def _read_list(self) -> None:
        c = self._c
        if self._listing or self._list_at is not None and c.context.now - self._list_at < c.tuning.list_every:
            return
        self._listing = True
        sent, view = c.context.now, c.view

        def done(found: list[wire.Rented] | None) -> None:
            if view is not c.view:
                return
            self._listing = False
            if found is None:
                return
            self._list_at = sent
            self._take_list({rented.ref: rented for rented in found})

        c.cloud.rented(done)

    def _take_list(self, listed: dict[str, wire.Rented]) -> None:
        now = self._c.context.now
        self._listed = listed
        for host in listed:
            self._listed_since.setdefault(host, now)
        self._missing = set()
        for host, since in list(self._listed_since.items()):
            if host in listed:
                continue
            # Once listed, a machine stays listed until it is gone; a list may be twice the lag old.
            if now - since > self._lag * 2 + timedelta(seconds=1):
                self._missing.add(host)
            if host not in self._c.machines:
                del self._listed_since[host]
                self._missing.discard(host)
        self._returned = {h: at for h, at in self._returned.items() if now - at < timedelta(minutes=5)}
