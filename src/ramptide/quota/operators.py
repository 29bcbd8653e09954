"""The operators' interface to team limits: status, metrics and the calls of the administration API."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from ramptide.clients.transactions import TransactionResult
from ramptide.protocol.settings_file import Team
from ramptide.protocol.types import MessageError, decode_json, encode_error, encode_json
from ramptide.quota.limit_table import LimitTable
from ramptide.quota.overrides import LimitError
from ramptide.quota.share_exchange import QuotaExchange
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.amounts import ZERO_AMOUNTS, Amounts, TeamAmounts, units_to_number
from ramptide.team_limits.cluster_usage import ClusterUsage
from ramptide.transport.runtime import JSON

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["QuotaAdminApi", "QuotaReport", "ResourceShare", "TeamShare"]

TRANSFER_OUTCOMES = ("given", "taken", "refused")
SHARE_GAUGES = {
    "held": "what this controller may use of the team's limit",
    "borrowed": "what the team uses beyond its guarantee, by all controllers",
    "in_transfer": "what this controller has passed on and nobody counts yet",
}

Answer = Callable[[int, bytes, str], None]


class ResourceShare(msgspec.Struct, frozen=True):
    """The share and the usage of one resource of a team's limit at one controller."""

    held: float
    used: float
    borrowed: float
    in_transfer: float


class TeamShare(msgspec.Struct, frozen=True, rename={"cpus": "cores"}):
    """A team's CPUs and GPUs at one controller; `pending`: whether a change of the limit is not in force yet."""

    cpus: ResourceShare
    gpus: ResourceShare
    pending: bool


class ShareState(Protocol):
    """The part of the controller's state that the report reads."""

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
    def quota_shares(self) -> TeamAmounts:
        """The share of each limit that this controller may use."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that this controller schedules; None while it is not a member of the view."""


class QuotaReport:
    """Reports the state of the quota feature at one controller."""

    def __init__(
        self, state: ShareState, cluster_usage: ClusterUsage, exchange: QuotaExchange, limit_table: LimitTable
    ) -> None:
        self._state = state
        self._cluster_usage = cluster_usage
        self._exchange = exchange
        self._limit_table = limit_table

    def shares_by_team(self) -> dict[str, TeamShare]:
        """Return this controller's share of each limit, by team; empty while it is not a member of the view."""
        scheduler = self._state.scheduler
        if scheduler is None:
            return {}
        used, used_everywhere = scheduler.usage_with_transfers(), self._cluster_usage.team_usage()
        return {
            team: self._share_of(team, used.get(team, ZERO_AMOUNTS), used_everywhere.get(team, ZERO_AMOUNTS))
            for team in self._state.limits
        }

    def _share_of(self, team: str, used: Amounts, used_everywhere: Amounts) -> TeamShare:
        held = self._state.quota_shares.get(team, ZERO_AMOUNTS)
        borrowed = _beyond_guarantee(used_everywhere, self._state.guarantees.get(team, ZERO_AMOUNTS))
        in_transfer = self._exchange.in_transfer(team)
        resources = [
            ResourceShare(
                held=units_to_number(held[index]),
                used=units_to_number(used[index]),
                borrowed=units_to_number(borrowed[index]),
                in_transfer=units_to_number(in_transfer[index]),
            )
            for index in (0, 1)
        ]
        record = self._limit_table.records.get(team)
        return TeamShare(resources[0], resources[1], record is not None and record.pending is not None)

    def status(self) -> dict[str, Any]:
        """Return the entry of the quota feature in the status."""
        exchange = self._exchange
        percentiles = exchange.waits.percentiles()
        return {
            "members_without": exchange.members_without_feature(),
            "transfers": {outcome: exchange.counters[outcome] for outcome in TRANSFER_OUTCOMES},
            "share_waits": {
                "count": exchange.waits.count,
                "total_s": exchange.waits.total.total_seconds(),
                "percentiles_s": {f"{percent:g}": value for percent, value in percentiles.items()},
            },
            "teams": msgspec.to_builtins(self.shares_by_team()),
        }

    def limits(self) -> dict[str, Any]:
        """Return the limits in effect and the pending changes."""
        state = self._state
        teams = {
            name: {
                "removed": name not in state.teams,
                "limit": _to_numbers(state.limits.get(name)),
                "guarantee": _to_numbers(state.guarantees.get(name)),
                "record": msgspec.to_builtins(self._limit_table.records.get(name)),
            }
            for name in sorted(state.teams.keys() | state.limits.keys())
        }
        return {"members_without": self._exchange.members_without_feature(), "teams": teams}

    def metrics(self) -> "Iterator[Metric]":
        """Yield the metrics of the quota feature."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        shares = self.shares_by_team()
        for field, text in SHARE_GAUGES.items():
            family = GaugeMetricFamily(f"ramptide_quota_{field}", text, labels=("team", "resource"))
            for team, share in shares.items():
                family.add_metric((team, "cores"), getattr(share.cpus, field))
                family.add_metric((team, "gpus"), getattr(share.gpus, field))
            yield family
        transfers = CounterMetricFamily("ramptide_quota_transfers", "transfers of share", labels=("outcome",))
        for outcome in TRANSFER_OUTCOMES:
            transfers.add_metric((outcome,), self._exchange.counters[outcome])
        yield transfers
        yield from self._wait_metrics()

    def _wait_metrics(self) -> "Iterator[Metric]":
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        waits = self._exchange.waits
        yield CounterMetricFamily("ramptide_quota_share_waits", "waits for share that are over", value=waits.count)
        yield CounterMetricFamily(
            "ramptide_quota_share_wait_seconds", "how long they took", value=waits.total.total_seconds()
        )
        quantiles = GaugeMetricFamily(
            "ramptide_quota_share_wait_quantile_seconds",
            "time within which a part of them was over",
            labels=("quantile",),
        )
        for percent, value in waits.percentiles().items():
            quantiles.add_metric((f"{percent / 100:g}",), value)
        yield quantiles


def _beyond_guarantee(used: Amounts, guaranteed: Amounts) -> Amounts:
    """Return the amounts that a team uses beyond its guarantee."""
    return Amounts(max(0, used.cpus - guaranteed.cpus), max(0, used.gpus - guaranteed.gpus))


class QuotaAdminApi:
    """Handles the calls of the administration API about team limits."""

    def __init__(self, report: QuotaReport, limit_table: LimitTable) -> None:
        self._report = report
        self._limit_table = limit_table

    def show(self, _body: bytes, answer: Answer) -> None:
        """Answer with the limits in effect and the pending changes."""
        answer(HTTPStatus.OK, encode_json(self._report.limits()), JSON)

    def change(self, body: bytes, answer: Answer) -> None:
        """Write changes of limits, and answer with status 202 once they are stored as pending."""

        def on_result(result: TransactionResult) -> None:
            if result.is_applied:
                answer(HTTPStatus.ACCEPTED, encode_json({"pending": sorted(changes)}), JSON)
            elif result.is_conflict:
                answer(HTTPStatus.CONFLICT, encode_error("the limits were changed meanwhile"), JSON)
            else:
                answer(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("the state service does not answer"), JSON)

        try:
            changes = decode_json(body)
            self._limit_table.request_changes(changes, on_result)
        except (MessageError, LimitError) as error:
            answer(HTTPStatus.BAD_REQUEST, encode_error(str(error)), JSON)


def _to_numbers(amounts: Amounts | None) -> dict[str, float | None] | None:
    """Return amounts as JSON numbers, with null for an unlimited resource."""
    if amounts is None:
        return None
    numbers = [None if number == float("inf") else number for number in map(units_to_number, amounts)]
    return {"cores": numbers[0], "gpus": numbers[1]}
