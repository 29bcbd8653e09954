"""Builds the administration API of a controller."""

from ramptide.api.administration import AdminApi
from ramptide.api.status import StatusReport
from ramptide.controller.controller import Controller
from ramptide.team_limits.usage import TeamUsageReport
from ramptide.transport.process_statistics import ProcessStatistics

__all__ = ["build_admin_api"]


def build_admin_api(controller: Controller, process: ProcessStatistics | None = None) -> AdminApi:
    """Return the administration API of a controller.

    `process`: the statistics of its process; None where none are kept.
    """
    runtime, state = controller.runtime, controller.state
    team_usage = TeamUsageReport(runtime, state, controller.cluster_usage)
    autoscaler = controller.fleet_manager.autoscaler
    unavailable_dependencies = controller.availability.unavailable_dependencies
    quota_report, quota_calls = None, None
    if controller.quota is not None and controller.limit_table is not None:
        from ramptide.quota.operators import QuotaAdminApi, QuotaReport

        quota_report = QuotaReport(state, controller.cluster_usage, controller.quota, controller.limit_table)
        quota_calls = QuotaAdminApi(quota_report, controller.limit_table)
    status = StatusReport(
        runtime,
        state,
        controller.membership,
        controller.watch_cache,
        controller.machine_index,
        autoscaler,
        team_usage,
        controller.telemetry,
        unavailable_dependencies,
        quota_report.status if quota_report is not None else None,
        process,
    )

    def metrics() -> tuple[bytes, str]:
        # Imported on the first call, as importing the Prometheus client doubles the start time of a controller.
        from ramptide.api.metrics import MetricsCollector

        collector = MetricsCollector(
            runtime,
            state,
            controller.membership,
            controller.watch_cache,
            controller.machine_index,
            autoscaler,
            team_usage,
            controller.telemetry,
            controller.agent_statistics,
            controller.scheduling_statistics,
            unavailable_dependencies,
            quota_report.metrics if quota_report is not None else None,
            process,
        )
        return collector.text()

    return AdminApi(state, controller.store, controller.watch_cache, status.to_value, metrics, quota_calls)
