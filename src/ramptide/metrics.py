"""The telemetry in the form that Prometheus reads."""

from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ramptide.process_statistics import ProcessStatistics
from ramptide.team_usage import ResourceUsage, team_usage
from ramptide.telemetry import RoundClock, Telemetry, Unavailable

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from ramptide.app import Controller

TEAM_GAUGES = {
    "limit": "limit of the team; absent where there is none",
    "used": "what the team's tasks hold, by all controllers that are heard",
    "share": "this controller's share of the limit; absent where there is none",
    "share_used": "what the team's tasks hold that this controller counts against its share",
    "waiting_for_limit": "what waiting tasks need of jobs of which the share lets none run",
}


def team_metrics(controller: "Controller") -> "Iterator[Metric]":
    """Yield the metrics of the team limits; the labels are the teams of the settings."""
    teams = team_usage(controller)
    for field, text in TEAM_GAUGES.items():
        family = GaugeMetricFamily(f"ramptide_team_{field}", text, labels=("team", "resource"))
        for name, usage in teams.items():
            resources: dict[str, ResourceUsage] = {"cores": usage.cores, "gpus": usage.gpus}
            for resource, amounts in resources.items():
                value = getattr(amounts, field)
                if value is not None:
                    family.add_metric((name, resource), value)
        yield family


def membership_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield how often the view changed, and how long no work was started for it."""
    yield CounterMetricFamily("ramptide_view_changes", "changes of the view", value=telemetry.view_changes)
    yield CounterMetricFamily(
        "ramptide_settled_view_changes",
        "changes of the view after which all machines were settled",
        value=telemetry.settled_changes,
    )
    yield CounterMetricFamily(
        "ramptide_settling_seconds",
        "time from changes of the view until all machines were settled",
        value=telemetry.settling_total.total_seconds(),
    )
    yield GaugeMetricFamily(
        "ramptide_last_settling_seconds",
        "time from the last settled change of the view until all machines were settled",
        value=telemetry.settling_last.total_seconds(),
    )


def answer_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield the number of answers to users, and the reasons of those with status 503."""
    answers = CounterMetricFamily("ramptide_answers", "answers to users", labels=("route", "status"))
    for (route, status), count in telemetry.answers.items():
        answers.add_metric((route.value, str(status)), count)
    yield answers
    reasons = CounterMetricFamily("ramptide_unavailable", "answers of status 503 to users", labels=("reason",))
    for reason in Unavailable:
        reasons.add_metric((reason.value,), telemetry.unavailable[reason])
    yield reasons


def lease_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield what was lost with machines of this controller that became silent."""
    yield CounterMetricFamily(
        "ramptide_tasks_lost", "tasks given up with their machines' leases", value=telemetry.tasks_lost
    )
    yield CounterMetricFamily(
        "ramptide_leases_ended",
        "machines that were silent past their leases and lost tasks or held up a view",
        value=telemetry.leases_ended,
    )


def standstill_metrics(clock: RoundClock) -> "Iterator[Metric]":
    """Yield how often and for how long the controller was paused."""
    yield CounterMetricFamily("ramptide_standstills", "times that the controller stood still", value=clock.standstills)
    yield CounterMetricFamily(
        "ramptide_standstill_seconds", "how long it stood still", value=clock.total.total_seconds()
    )


def process_metrics(statistics: ProcessStatistics, now: timedelta) -> "Iterator[Metric]":
    """Yield the processor time by kind of work, and how late timers are."""
    spent = CounterMetricFamily("ramptide_processor_seconds", "processor time by kind of work", labels=("work",))
    for kind, time in statistics.by_kind().items():
        spent.add_metric((kind,), time.total_seconds())
    yield spent
    yield CounterMetricFamily("ramptide_timers", "timers that were called", value=statistics.timers)
    yield CounterMetricFamily(
        "ramptide_timer_delay_seconds", "how late timers were called", value=statistics.delays.total_seconds()
    )
    yield GaugeMetricFamily(
        "ramptide_worst_timer_delay_seconds",
        "the longest delay of a timer in the last minute",
        value=statistics.worst_delay(now).total_seconds(),
    )
