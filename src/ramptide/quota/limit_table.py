"""The limits that count at one controller: the platform's, changed by the operators' records in the state service."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ramptide.quota.overrides import LimitError, LimitRecord, change, decode_record, effective, key_of, promote, team_of
from ramptide.store import Transaction, TransactionResult

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)


class LimitTable:
    """Keeps a controller's teams, limits and guarantees as the records say; as leader, brings changes into force."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self._platform = dict(controller.teams)
        self.records: dict[str, LimitRecord] = {}
        #: Whether a change is being brought into force.
        self._committing = False

    def on_change(self, key: str, value: Any) -> None:
        """Take a record, None when it was removed. One that can't be read leaves the limit as it was."""
        team = team_of(key)
        if value is None:
            self.records.pop(team, None)
        else:
            try:
                self.records[team] = decode_record(value)
            except LimitError as error:
                log.error("broken limit of team %r: %s", team, error)
                return
        self._apply()

    def _apply(self) -> None:
        now = effective(self._platform, self.records)
        c = self._c
        for table, new in ((c.teams, now.teams), (c.limits, now.limits), (c.guarantees, now.guarantees)):
            table.clear()
            table.update(new)  # type: ignore[arg-type]
        c.syncing.limit_split.limits_changed()
        if c.scheduler is not None:
            c.scheduler.needs_round = True

    # Changes of operators.

    def request(self, changes: Any, done: Callable[[TransactionResult], None]) -> None:
        """Write changes of some teams' limits, which are pending then; None stands for the platform's limit.

        Raises
        ------
        LimitError
            If one of them makes no sense; nothing is changed then.
        """
        if not isinstance(changes, dict) or not changes:
            raise LimitError("the changes are not an object of teams")
        if len(changes) > self._c.store.limits.max_transaction_operations:
            raise LimitError(f"{len(changes)} teams at once, {self._c.store.limits.max_transaction_operations} at most")
        transaction = Transaction()
        for team, wanted in changes.items():
            record = change(team, wanted, self.records.get(team), self._platform.get(team))
            self._put(transaction, key_of(team), record)
        self._commit(transaction, done)

    def _put(self, transaction: Transaction, key: str, record: LimitRecord | None) -> None:
        transaction.conditions[key] = self._c.mirror.mod_revision(key)
        if record is None:
            transaction.deletes.append(key)
        else:
            transaction.puts.append((key, msgspec.to_builtins(record), None))

    def _commit(self, transaction: Transaction, done: Callable[[TransactionResult], None]) -> None:
        def written(outcome: TransactionResult) -> None:
            if outcome.revision is not None:
                self._c.mirror.applied(outcome.revision, transaction.puts, transaction.deletes)
            done(outcome)

        self._c.store.commit(transaction, written)

    # What the leader does about them.

    def review(self) -> None:
        """As leader, bring pending changes into force once every member acts on a share under the new limit."""
        c = self._c
        if self._committing or not c.membership.leading or not c.latched or c.quota is None or not c.quota.ready:
            return
        acted = [team for team, record in self.records.items() if record.pending is not None and self._holds(team)]
        if not acted:
            return
        self._committing = True
        transaction = Transaction(conditions=c.common())
        for team in acted[: c.store.limits.max_transaction_operations]:
            self._put(transaction, key_of(team), promote(self.records[team], self._platform.get(team)))

        def done(outcome: TransactionResult) -> None:
            self._committing = False
            if outcome.revision is not None:
                log.info("limits in force: %s", ", ".join(acted))

        self._commit(transaction, done)

    def _holds(self, team: str) -> bool:
        """Tell whether all members' shares are surely within what counts while the change is pending."""
        limit = self._c.limits.get(team)
        return limit is None or self._c.syncing.limit_split.within(team, limit)
