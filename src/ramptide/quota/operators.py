"""What operators see of the team limits, and change: status, metrics and the calls of the administration API."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from ramptide.amounts import NOTHING, Amounts, to_number
from ramptide.context import JSON
from ramptide.desk import error
from ramptide.protocol.types import MessageError, decode_json, encode_json
from ramptide.quota.exchange import QuotaExchange
from ramptide.quota.overrides import LimitError
from ramptide.store import TransactionResult

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from ramptide.app import Controller

Answer = Callable[[int, bytes, str], None]


class ResourceShare(msgspec.Struct, frozen=True):
    """One resource of a team at one controller."""

    held: float
    used: float
    borrowed: float
    in_transfer: float


class TeamShare(msgspec.Struct, frozen=True):
    """Both resources; `pending`: whether a change of the limit is not in force yet."""

    cores: ResourceShare
    gpus: ResourceShare
    pending: bool


def team_shares(controller: "Controller", quota: QuotaExchange) -> dict[str, TeamShare]:
    """Return what this controller holds of each limit, by team; empty without a place in the view."""
    scheduler = controller.scheduler
    if scheduler is None:
        return {}
    used, everywhere = scheduler.usage_with_transfers(), controller.knowledge.team_use()
    shares = {}
    for team in controller.limits:
        held = controller.grants.get(team, NOTHING)
        beyond = _beyond(everywhere.get(team, NOTHING), controller.guarantees.get(team, NOTHING))
        rows = [
            ResourceShare(
                held=to_number(held[side]),
                used=to_number(used.get(team, NOTHING)[side]),
                borrowed=to_number(beyond[side]),
                in_transfer=to_number(quota.in_transfer(team)[side]),
            )
            for side in (0, 1)
        ]
        record = quota.limits.records.get(team)
        shares[team] = TeamShare(rows[0], rows[1], record is not None and record.pending is not None)
    return shares


def _beyond(used: Amounts, guaranteed: Amounts) -> Amounts:
    """Return what a team uses beyond its guarantee, by all controllers."""
    return Amounts(max(0, used.cpus - guaranteed.cpus), max(0, used.gpus - guaranteed.gpus))


def quota_status(controller: "Controller", quota: QuotaExchange) -> dict[str, Any]:
    """Return the part's entry in the status."""
    return {
        "members_without": quota.missing(),
        "transfers": {kind: quota.counters[kind] for kind in ("given", "taken", "refused")},
        "share_waits": {
            "count": quota.waits.count,
            "total_s": quota.waits.total.total_seconds(),
            "percentiles_s": {f"{percent:g}": value for percent, value in quota.waits.percentiles().items()},
        },
        "teams": msgspec.to_builtins(team_shares(controller, quota)),
    }


def quota_metrics(controller: "Controller", quota: QuotaExchange) -> "Iterator[Metric]":
    """Yield the part's metrics."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    shares = team_shares(controller, quota)
    for field, text in (
        ("held", "what this controller may use of the team's limit"),
        ("borrowed", "what the team uses beyond its guarantee, by all controllers"),
        ("in_transfer", "what this controller has passed on and nobody counts yet"),
    ):
        family = GaugeMetricFamily(f"ramptide_quota_{field}", text, labels=("team", "resource"))
        for team, share in shares.items():
            family.add_metric((team, "cores"), getattr(share.cores, field))
            family.add_metric((team, "gpus"), getattr(share.gpus, field))
        yield family
    transfers = CounterMetricFamily("ramptide_quota_transfers", "transfers of share", labels=("outcome",))
    for kind in ("given", "taken", "refused"):
        transfers.add_metric((kind,), quota.counters[kind])
    yield transfers
    yield CounterMetricFamily("ramptide_quota_share_waits", "waits for share that are over", value=quota.waits.count)
    yield CounterMetricFamily(
        "ramptide_quota_share_wait_seconds", "how long they took", value=quota.waits.total.total_seconds()
    )
    quantiles = GaugeMetricFamily(
        "ramptide_quota_share_wait_quantile_seconds", "time within which a part of them was over", labels=("quantile",)
    )
    for percent, value in quota.waits.percentiles().items():
        quantiles.add_metric((f"{percent / 100:g}",), value)
    yield quantiles


class QuotaAdmin:
    """The calls of the administration API about team limits."""

    def __init__(self, controller: "Controller", quota: QuotaExchange) -> None:
        self._c = controller
        self._quota = quota

    def show(self, body: bytes, answer: Answer) -> None:
        """Answer with the limits that count, and the changes that are pending."""
        teams = {
            name: {
                "removed": name not in self._c.teams,
                "limit": _numbers(self._c.limits.get(name)),
                "guarantee": _numbers(self._c.guarantees.get(name)),
                "record": msgspec.to_builtins(self._quota.limits.records.get(name)),
            }
            for name in sorted(self._c.teams.keys() | self._c.limits.keys())
        }
        answer(200, encode_json({"members_without": self._quota.missing(), "teams": teams}), JSON)

    def change(self, body: bytes, answer: Answer) -> None:
        """Write changes of limits; 202 when they are pending."""

        def done(outcome: TransactionResult) -> None:
            if outcome.revision is not None:
                answer(202, encode_json({"pending": sorted(changes)}), JSON)
            elif outcome.failed_keys is not None:
                answer(409, error("the limits were changed meanwhile"), JSON)
            else:
                answer(503, error("the state service does not answer"), JSON)

        try:
            changes = decode_json(body)
            self._quota.limits.request(changes, done)
        except (MessageError, LimitError) as problem:
            answer(400, error(str(problem)), JSON)


def _numbers(amounts: Amounts | None) -> dict[str, float | None] | None:
    if amounts is None:
        return None
    known = [None if one == float("inf") else one for one in map(to_number, amounts)]
    return {"cores": known[0], "gpus": known[1]}
