"""The team limits in effect at one controller: the platform's, changed by the operators' records."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.protocol.settings_file import Team
from ramptide.quota.overrides import (
    LimitError,
    LimitRecord,
    decode_record,
    effective_limits,
    key_of,
    promote,
    team_of,
    with_pending_change,
)
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.scheduling.placement_round import LeadershipInfo
from ramptide.state.amounts import TeamAmounts
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.share_split import ShareSplit

__all__ = ["LimitTable"]

log = logging.getLogger(__name__)


class LimitState(Protocol):
    """The part of the controller's state that depends on the limit records."""

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
        """Whether the tasks that earlier views left on machines are known for all machines."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that this controller schedules; None while it is not a member of the view."""


class LimitTable:
    """Applies limit records to the teams, limits and guarantees of a controller; as leader, promotes pending changes.

    Parameters
    ----------
    is_exchange_ready
        Returns whether every member of the view takes part in the exchange of shares.
    common_conditions
        Returns the conditions that each transaction of this controller includes.
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
        self._platform_teams = dict(state.teams)
        self.records: dict[str, LimitRecord] = {}
        #: Whether a promotion of pending changes is being committed.
        self._is_committing = False

    def on_change(self, key: str, value: Any) -> None:
        """Apply a changed record, None when it was removed; a broken record leaves the limit unchanged."""
        team = team_of(key)
        if value is None:
            self.records.pop(team, None)
        else:
            try:
                self.records[team] = decode_record(value)
            except LimitError as error:
                log.error("broken limit record: team=%r error=%r", team, str(error))
                return
        self._apply_records()

    def _apply_records(self) -> None:
        """Replace the controller's teams, limits and guarantees by those in effect."""
        in_effect = effective_limits(self._platform_teams, self.records)
        for table, new in (
            (self._state.teams, in_effect.teams),
            (self._state.limits, in_effect.limits),
            (self._state.guarantees, in_effect.guarantees),
        ):
            table.clear()
            table.update(new)  # type: ignore[arg-type]
        self._share_split.apply_limits()
        if self._state.scheduler is not None:
            self._state.scheduler.needs_round = True

    def request_changes(self, changes: Any, on_result: Callable[[TransactionResult], None]) -> None:
        """Write changes of one or more teams' limits as pending; None stands for the platform's limit.

        Raises
        ------
        LimitError
            If one of the changes is invalid; none of them is written then.
        """
        if not isinstance(changes, dict) or not changes:
            raise LimitError("the changes are not an object of teams")
        if len(changes) > self._store.limits.max_transaction_operations:
            raise LimitError(f"{len(changes)} teams at once, {self._store.limits.max_transaction_operations} at most")
        transaction = Transaction()
        for team, wanted in changes.items():
            record = with_pending_change(team, wanted, self.records.get(team), self._platform_teams.get(team))
            self._put(transaction, key_of(team), record)
        self._commit(transaction, on_result)

    def _put(self, transaction: Transaction, key: str, record: LimitRecord | None) -> None:
        """Add the write of a record, or its deletion, provided that the key has not changed meanwhile."""
        transaction.conditions[key] = self._watch_cache.mod_revision(key)
        if record is None:
            transaction.deletes.append(key)
        else:
            transaction.puts.append(Put(key, msgspec.to_builtins(record)))

    def _commit(self, transaction: Transaction, on_result: Callable[[TransactionResult], None]) -> None:
        def on_commit(result: TransactionResult) -> None:
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
            on_result(result)

        self._store.commit(transaction, on_commit)

    def activate_pending_limits(self) -> None:
        """As leader, put pending changes in force once every member acts on a share under the new limit."""
        may_decide = self._leadership.is_leading and self._state.reconciled
        if self._is_committing or not may_decide or not self._is_exchange_ready():
            return
        promotable = [
            team
            for team, record in self.records.items()
            if record.pending is not None and self._are_shares_within_limit(team)
        ]
        if not promotable:
            return
        self._is_committing = True
        transaction = Transaction(conditions=self._common_conditions())
        for team in promotable[: self._store.limits.max_transaction_operations]:
            self._put(transaction, key_of(team), promote(self.records[team], self._platform_teams.get(team)))

        def on_result(result: TransactionResult) -> None:
            self._is_committing = False
            if result.is_applied:
                log.info("team limits in force: teams=%r", ", ".join(promotable))

        self._commit(transaction, on_result)

    def _are_shares_within_limit(self, team: str) -> bool:
        """Return whether all shares that members may act on are within the limit that applies during the change."""
        limit = self._state.limits.get(team)
        return limit is None or self._share_split.is_within(team, limit)
