"""The metrics of one controller in the Prometheus text format.

This module is imported on the first request for metrics, as the import of the Prometheus client would double the time
that a controller takes to start.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ramptide.agents.statistics import AgentStatistics, HeartbeatOutcome, StopOutcome
from ramptide.api.status import ObservedState
from ramptide.api.telemetry import StallDetector, Telemetry, Unavailable
from ramptide.autoscaling.autoscaler import Autoscaler
from ramptide.cluster.machine_index import MachineIndex
from ramptide.cluster.membership import Membership
from ramptide.scheduling.statistics import SchedulingEvent, SchedulingStatistics
from ramptide.state.watch_cache import WatchCache
from ramptide.team_limits.usage import ResourceUsage, TeamUsageReport
from ramptide.transport.isolated_errors import ERROR_COUNTER
from ramptide.transport.process_statistics import ProcessStatistics
from ramptide.transport.runtime import Runtime

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["MetricsCollector"]

TEAM_GAUGES = {
    "limit": "limit of the team; absent where there is none",
    "used": "what the team's tasks hold, by all controllers that are heard",
    "share": "this controller's share of the limit; absent where there is none",
    "share_used": "what the team's tasks hold that this controller counts against its share",
    "waiting_for_limit": "what waiting tasks need of jobs of which the share lets none run",
}


COUNTER_TEXTS = {
    "starts": "task starts decided here",
    "rentals": "machines rented",
    "returns": "machines returned",
    "preemptions": "tasks stopped for others as decided here",
    "requests": "requests of users",
    "reports": "reports of workers",
    ERROR_COUNTER: "errors in the work for one job, machine or record, without which the other work went on",
}


class MetricsCollector:
    """Collects the metrics of one controller, as a collector of the Prometheus client.

    Parameters
    ----------
    unavailable_dependencies
        Returns what the controller cannot reach, in words for operators.
    quota_metrics
        Returns the metrics of the quota feature, or None where it is off.
    process
        The statistics of the process, or None where none are kept.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: ObservedState,
        membership: Membership,
        watch_cache: WatchCache,
        machine_index: MachineIndex,
        autoscaler: Autoscaler,
        team_usage: TeamUsageReport,
        telemetry: Telemetry,
        agent_statistics: AgentStatistics,
        scheduling_statistics: SchedulingStatistics,
        unavailable_dependencies: Callable[[], list[str]],
        quota_metrics: "Callable[[], Iterator[Metric]] | None",
        process: ProcessStatistics | None,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._machine_index = machine_index
        self._autoscaler = autoscaler
        self._team_usage = team_usage
        self._telemetry = telemetry
        self._agent_statistics = agent_statistics
        self._scheduling_statistics = scheduling_statistics
        self._unavailable_dependencies = unavailable_dependencies
        self._quota_metrics = quota_metrics
        self._process = process

    def text(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and their content type."""
        registry = CollectorRegistry()
        registry.register(self)
        ProcessCollector(namespace="ramptide", registry=registry)
        return generate_latest(registry), CONTENT_TYPE_LATEST

    def collect(self) -> "Iterator[Metric]":
        """Yield the current metrics. The registry calls this method."""
        for name, (value, text) in self._gauges().items():
            yield GaugeMetricFamily(f"ramptide_{name}", text, value=value)
        for name, text in COUNTER_TEXTS.items():
            yield CounterMetricFamily(f"ramptide_{name}", text, value=self._state.counters[name])
        yield from team_metrics(self._team_usage)
        if self._quota_metrics is not None:
            yield from self._quota_metrics()
        yield from membership_metrics(self._telemetry)
        yield from answer_metrics(self._telemetry)
        yield from lease_metrics(self._telemetry)
        yield from agent_metrics(self._agent_statistics)
        yield scheduling_metric(self._scheduling_statistics)
        yield from stall_metrics(self._telemetry.stall_detector)
        if self._process is not None:
            yield from process_metrics(self._process, self._runtime.now)

    def _gauges(self) -> dict[str, tuple[int, str]]:
        state, index, autoscaler = self._state, self._machine_index, self._autoscaler
        up = sum(machine.is_up and not machine.has_missed_heartbeats for machine in index.machines.values())
        out_of_use = sum(index.out_of_use_reason(host) is not None for host in state.machines)
        return {
            "view": (state.view.number if state.view is not None else 0, "number of the view"),
            "leading": (int(self._membership.is_leading), "1 on the leading controller"),
            "settled": (int(state.reconciled), "1 when all machines are settled in this view"),
            "state_service_lacking": (
                int(self._watch_cache.is_unavailable),
                "1 while the state service does not answer",
            ),
            "lacks": (
                len(self._unavailable_dependencies()),
                "what this controller does without, as the status names it",
            ),
            "jobs": (len(state.jobs), "jobs that are not over"),
            "failing_jobs": (len(index.failing_jobs()), "jobs that failed on several machines and did well on none"),
            "machines_out_of_use": (out_of_use, "machines that take no tasks"),
            "machines": (len(state.machines), "machines in the fleet record"),
            "machines_up": (up, "machines that report"),
            "machines_silent": (len(index.silent_hosts()), "machines that came up and are not heard now"),
            "waiting_tasks": (autoscaler.waiting, "waiting tasks without room, as the leader counts"),
            "long_waiting_tasks": (autoscaler.long_waiting, "long-waiting tasks, as the leader counts"),
            "pool_machines": (len(autoscaler.idle_pool), "idle machines kept ready"),
        }


def team_metrics(team_usage: TeamUsageReport) -> "Iterator[Metric]":
    """Yield the metrics of the team limits, labelled by the teams of the settings file."""
    teams = team_usage.by_team()
    for field, text in TEAM_GAUGES.items():
        family = GaugeMetricFamily(f"ramptide_team_{field}", text, labels=("team", "resource"))
        for name, usage in teams.items():
            resources: dict[str, ResourceUsage] = {"cores": usage.cpus, "gpus": usage.gpus}
            for resource, amounts in resources.items():
                value = getattr(amounts, field)
                if value is not None:
                    family.add_metric((name, resource), value)
        yield family


def membership_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield the number of view changes, and the times until all machines were reconciled."""
    yield CounterMetricFamily("ramptide_view_changes", "changes of the view", value=telemetry.view_changes)
    yield CounterMetricFamily(
        "ramptide_settled_view_changes",
        "changes of the view after which all machines were settled",
        value=telemetry.reconciled_changes,
    )
    yield CounterMetricFamily(
        "ramptide_settling_seconds",
        "time from changes of the view until all machines were settled",
        value=telemetry.reconciliation_total.total_seconds(),
    )
    yield GaugeMetricFamily(
        "ramptide_last_settling_seconds",
        "time from the last settled change of the view until all machines were settled",
        value=telemetry.reconciliation_last.total_seconds(),
    )


def answer_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield the number of answers to users by route and status, and of those with status 503 by reason."""
    answers = CounterMetricFamily("ramptide_answers", "answers to users", labels=("route", "status"))
    for (route, status), count in telemetry.answers.items():
        answers.add_metric((route.value, str(status)), count)
    yield answers
    reasons = CounterMetricFamily("ramptide_unavailable", "answers of status 503 to users", labels=("reason",))
    for reason in Unavailable:
        reasons.add_metric((reason.value,), telemetry.unavailable[reason])
    yield reasons


def lease_metrics(telemetry: Telemetry) -> "Iterator[Metric]":
    """Yield the number of expired leases of this controller's machines, and of the tasks lost with them."""
    yield CounterMetricFamily(
        "ramptide_tasks_lost", "tasks given up with their machines' leases", value=telemetry.tasks_lost
    )
    yield CounterMetricFamily(
        "ramptide_leases_ended",
        "machines that were silent past their leases and lost tasks or held up a view",
        value=telemetry.leases_expired,
    )


def agent_metrics(statistics: AgentStatistics) -> "Iterator[Metric]":
    """Yield the number of heartbeats and of stops of tasks, by what became of them."""
    heartbeats = CounterMetricFamily("ramptide_heartbeats", "heartbeats of agents by outcome", labels=("outcome",))
    for outcome in HeartbeatOutcome:
        heartbeats.add_metric((outcome.value,), statistics.heartbeats[outcome])
    yield heartbeats
    stops = CounterMetricFamily("ramptide_task_stops", "stops of tasks by outcome", labels=("outcome",))
    for stop in StopOutcome:
        stops.add_metric((stop.value,), statistics.stops[stop])
    yield stops
    yield CounterMetricFamily("ramptide_task_starts", "start commands sent to agents", value=statistics.starts)


def scheduling_metric(statistics: SchedulingStatistics) -> "Metric":
    """Return the numbers of handovers and of what became of attempts."""
    events = CounterMetricFamily("ramptide_scheduling_events", "events of the scheduler", labels=("event",))
    for event in SchedulingEvent:
        events.add_metric((event.value,), statistics.events[event])
    return events


def stall_metrics(stall_detector: StallDetector) -> "Iterator[Metric]":
    """Yield the number and the total time of the controller's stalls."""
    yield CounterMetricFamily(
        "ramptide_standstills", "times that the controller stood still", value=stall_detector.stalls
    )
    yield CounterMetricFamily(
        "ramptide_standstill_seconds", "how long it stood still", value=stall_detector.total_time.total_seconds()
    )


def process_metrics(statistics: ProcessStatistics, now: timedelta) -> "Iterator[Metric]":
    """Yield the processor time by kind of work, and the delays of timers."""
    spent = CounterMetricFamily("ramptide_processor_seconds", "processor time by kind of work", labels=("work",))
    for kind, time in statistics.processor_time_by_kind().items():
        spent.add_metric((kind,), time.total_seconds())
    yield spent
    yield CounterMetricFamily("ramptide_timers", "timers that were called", value=statistics.timer_count)
    yield CounterMetricFamily(
        "ramptide_timer_delay_seconds",
        "how late timers were called",
        value=statistics.total_timer_delay.total_seconds(),
    )
    yield GaugeMetricFamily(
        "ramptide_worst_timer_delay_seconds",
        "the longest delay of a timer in the last minute",
        value=statistics.worst_delay(now).total_seconds(),
    )
