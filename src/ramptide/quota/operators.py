"""What operators see of the team limits, and change: status, metrics and the calls of the administration API."""

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
from ramptide.state.amounts import NOTHING, Amounts, TeamAmounts, to_number
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
    """One resource of a team at one controller."""

    held: float
    used: float
    borrowed: float
    in_transfer: float


class TeamShare(msgspec.Struct, frozen=True, rename={"cpus": "cores"}):
    """Both resources; `pending`: whether a change of the limit is not in force yet."""

    cpus: ResourceShare
    gpus: ResourceShare
    pending: bool


class ShareState(Protocol):
    """What operators see of the controller's state."""

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
        """What we may use of each limit."""

    @property
    def scheduler(self) -> JobScheduler | None:
        """The jobs that we schedule; None without a place in the view."""


class QuotaReport:
    """What operators see of the quota feature at one controller."""

    def __init__(
        self, state: ShareState, cluster_usage: ClusterUsage, exchange: QuotaExchange, limit_table: LimitTable
    ) -> None:
        self._state = state
        self._cluster_usage = cluster_usage
        self._exchange = exchange
        self._limit_table = limit_table

    def shares_by_team(self) -> dict[str, TeamShare]:
        """Return what this controller holds of each limit, by team; empty without a place in the view."""
        scheduler = self._state.scheduler
        if scheduler is None:
            return {}
        used, used_everywhere = scheduler.usage_with_transfers(), self._cluster_usage.team_usage()
        return {
            team: self._share_of(team, used.get(team, NOTHING), used_everywhere.get(team, NOTHING))
            for team in self._state.limits
        }

    def _share_of(self, team: str, used: Amounts, used_everywhere: Amounts) -> TeamShare:
        held = self._state.quota_shares.get(team, NOTHING)
        borrowed = _beyond(used_everywhere, self._state.guarantees.get(team, NOTHING))
        in_transfer = self._exchange.in_transfer(team)
        resources = [
            ResourceShare(
                held=to_number(held[side]),
                used=to_number(used[side]),
                borrowed=to_number(borrowed[side]),
                in_transfer=to_number(in_transfer[side]),
            )
            for side in (0, 1)
        ]
        record = self._limit_table.records.get(team)
        return TeamShare(resources[0], resources[1], record is not None and record.pending is not None)

    def status(self) -> dict[str, Any]:
        """Return the feature's entry in the status."""
        exchange = self._exchange
        percentiles = exchange.waits.percentiles()
        return {
            "members_without": exchange.missing(),
            "transfers": {outcome: exchange.counters[outcome] for outcome in TRANSFER_OUTCOMES},
            "share_waits": {
                "count": exchange.waits.count,
                "total_s": exchange.waits.total.total_seconds(),
                "percentiles_s": {f"{percent:g}": value for percent, value in percentiles.items()},
            },
            "teams": msgspec.to_builtins(self.shares_by_team()),
        }

    def limits(self) -> dict[str, Any]:
        """Return the limits that count, and the changes that are pending."""
        state = self._state
        teams = {
            name: {
                "removed": name not in state.teams,
                "limit": _numbers(state.limits.get(name)),
                "guarantee": _numbers(state.guarantees.get(name)),
                "record": msgspec.to_builtins(self._limit_table.records.get(name)),
            }
            for name in sorted(state.teams.keys() | state.limits.keys())
        }
        return {"members_without": self._exchange.missing(), "teams": teams}

    def metrics(self) -> "Iterator[Metric]":
        """Yield the feature's metrics."""
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


def _beyond(used: Amounts, guaranteed: Amounts) -> Amounts:
    """Return what a team uses beyond its guarantee, by all controllers."""
    return Amounts(max(0, used.cpus - guaranteed.cpus), max(0, used.gpus - guaranteed.gpus))


class QuotaAdminApi:
    """The calls of the administration API about team limits."""

    def __init__(self, report: QuotaReport, limit_table: LimitTable) -> None:
        self._report = report
        self._limit_table = limit_table

    def show(self, _body: bytes, answer: Answer) -> None:
        """Answer with the limits that count, and the changes that are pending."""
        answer(HTTPStatus.OK, encode_json(self._report.limits()), JSON)

    def change(self, body: bytes, answer: Answer) -> None:
        """Write changes of limits; 202 when they are pending."""

        def on_result(result: TransactionResult) -> None:
            if result.is_applied:
                answer(HTTPStatus.ACCEPTED, encode_json({"pending": sorted(changes)}), JSON)
            elif result.is_conflict:
                answer(HTTPStatus.CONFLICT, encode_error("the limits were changed meanwhile"), JSON)
            else:
                answer(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("the state service does not answer"), JSON)

        try:
            changes = decode_json(body)
            self._limit_table.request(changes, on_result)
        except (MessageError, LimitError) as problem:
            answer(HTTPStatus.BAD_REQUEST, encode_error(str(problem)), JSON)


def _numbers(amounts: Amounts | None) -> dict[str, float | None] | None:
    if amounts is None:
        return None
    known = [None if one == float("inf") else one for one in map(to_number, amounts)]
    return {"cores": known[0], "gpus": known[1]}
