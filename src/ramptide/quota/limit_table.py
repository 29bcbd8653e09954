"""The limits that count at one controller: the platform's, changed by the operators' records in the state service."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.protocol.settings_file import Team
from ramptide.quota.overrides import LimitError, LimitRecord, change, decode_record, effective, key_of, promote, team_of
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.state.amounts import TeamAmounts
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.share_split import ShareSplit

__all__ = ["LimitTable"]

log = logging.getLogger(__name__)


class LimitState(Protocol):
    """The tables that the records change, and whom that concerns."""

    @property
    def teams(self) -> dict[str, Team]:
        """The teams whose jobs are accepted."""

    @property
    def limits(self) -> TeamAmounts:
        """The limits of the teams that have one."""

    @property
    def guarantees(self) -> TeamAmounts:
        """The guarantees of the teams that have one."""

    @property
    def reconciled(self) -> bool:
        """Whether it is known of all machines what earlier views left on them."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that we schedule; None without a place in the view."""


class LimitTable:
    """Keeps a controller's teams, limits and guarantees as the records say; as leader, brings changes into force.

    Parameters
    ----------
    is_exchange_ready
        Tells whether every member of the view takes part in the exchange of shares.
    common_conditions
        Returns the conditions that every transaction of this controller has.
    """

    def __init__(
        self,
        state: LimitState,
        leadership: LeadershipInfo,
        store: KeyValueStore,
        watch_cache: WatchCache,
        share_split: ShareSplit,
        is_exchange_ready: Callable[[], bool],
        common_conditions: Callable[[], dict[str, int]],
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._store = store
        self._watch_cache = watch_cache
        self._share_split = share_split
        self._is_exchange_ready = is_exchange_ready
        self._common_conditions = common_conditions
        self._platform = dict(state.teams)
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
                log.error("broken limit record: team=%r error=%r", team, str(error))
                return
        self._apply()

    def _apply(self) -> None:
        now = effective(self._platform, self.records)
        for table, new in (
            (self._state.teams, now.teams),
            (self._state.limits, now.limits),
            (self._state.guarantees, now.guarantees),
        ):
            table.clear()
            table.update(new)  # type: ignore[arg-type]
        self._share_split.limits_changed()
        if self._state.scheduler is not None:
            self._state.scheduler.needs_round = True

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
        if len(changes) > self._store.limits.max_transaction_operations:
            raise LimitError(f"{len(changes)} teams at once, {self._store.limits.max_transaction_operations} at most")
        transaction = Transaction()
        for team, wanted in changes.items():
            record = change(team, wanted, self.records.get(team), self._platform.get(team))
            self._put(transaction, key_of(team), record)
        self._commit(transaction, done)

    def _put(self, transaction: Transaction, key: str, record: LimitRecord | None) -> None:
        transaction.conditions[key] = self._watch_cache.mod_revision(key)
        if record is None:
            transaction.deletes.append(key)
        else:
            transaction.puts.append(Put(key, msgspec.to_builtins(record)))

    def _commit(self, transaction: Transaction, done: Callable[[TransactionResult], None]) -> None:
        def written(outcome: TransactionResult) -> None:
            if outcome.is_applied:
                self._watch_cache.apply_commit(transaction, outcome.commit_revision)
            done(outcome)

        self._store.commit(transaction, written)

    # What the leader does about them.

    def review(self) -> None:
        """As leader, bring pending changes into force once every member acts on a share under the new limit."""
        may_decide = self._leadership.is_leading and self._state.reconciled
        if self._committing or not may_decide or not self._is_exchange_ready():
            return
        acted = [team for team, record in self.records.items() if record.pending is not None and self._holds(team)]
        if not acted:
            return
        self._committing = True
        transaction = Transaction(conditions=self._common_conditions())
        for team in acted[: self._store.limits.max_transaction_operations]:
            self._put(transaction, key_of(team), promote(self.records[team], self._platform.get(team)))

        def done(outcome: TransactionResult) -> None:
            self._committing = False
            if outcome.is_applied:
                log.info("team limits in force: teams=%r", ", ".join(acted))

        self._commit(transaction, done)

    def _holds(self, team: str) -> bool:
        """Tell whether all members' shares are surely within what counts while the change is pending."""
        limit = self._state.limits.get(team)
        return limit is None or self._share_split.within(team, limit)
