"""The administration API on the peer address: settings, status and metrics."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from ramptide import __version__
from ramptide.context import JSON
from ramptide.desk import error
from ramptide.jobs import Job
from ramptide.process_statistics import ProcessStatistics
from ramptide.protocol.types import MessageError, decode_json, encode_json
from ramptide.records import SETTINGS_KEY, MachineRecord
from ramptide.settings import BOUNDS, SettingsError, Tuning
from ramptide.store import Transaction, TransactionResult
from ramptide.team_usage import team_usage

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from ramptide.app import Controller

SETTINGS_PATH, STATUS_PATH, METRICS_PATH = "/admin/settings", "/admin/status", "/metrics"
QUOTA_PATH = "/admin/quota"

Answer = Callable[[int, bytes, str], None]


class Admin:
    """Answers operators about one controller, and applies their changes of the settings."""

    def __init__(self, controller: "Controller", process: ProcessStatistics | None = None) -> None:
        self._c = controller
        self._process = process

    def handle(self, method: str, path: str, body: bytes, answer: Answer) -> bool:
        """Answer a call to this API; return False when the path is not part of it."""
        calls: dict[str, dict[str, Callable[[bytes, Answer], None]]] = {
            SETTINGS_PATH: {"GET": self._settings, "PATCH": self._change},
            STATUS_PATH: {"GET": self._status},
            METRICS_PATH: {"GET": self._metrics},
        }
        if self._c.quota is not None:
            from ramptide.quota.operators import QuotaAdmin

            quota = QuotaAdmin(self._c, self._c.quota)
            calls[QUOTA_PATH] = {"GET": quota.show, "PATCH": quota.change}
        if path not in calls:
            return False
        call = calls[path].get(method)
        if call is None:
            answer(405, error("method not allowed"), JSON)
        else:
            call(body, answer)
        return True

    def _settings(self, body: bytes, answer: Answer) -> None:
        now, defaults = self._c.tuning.to_value(), Tuning().to_value()
        answer(
            200,
            encode_json(
                {
                    name: {
                        "value": now[name],
                        "default": defaults[name],
                        "low": bound.low,
                        "high": bound.high,
                        "text": bound.text,
                    }
                    for name, bound in BOUNDS.items()
                }
            ),
            JSON,
        )

    def _change(self, body: bytes, answer: Answer) -> None:
        try:
            changes = decode_json(body)
            tuning = self._c.tuning.changed(changes)
        except (MessageError, SettingsError) as problem:
            answer(400, error(str(problem)), JSON)
            return
        defaults = Tuning().to_value()
        value = {name: one for name, one in tuning.to_value().items() if one != defaults[name]}
        transaction = Transaction(
            conditions={SETTINGS_KEY: self._c.mirror.mod_revision(SETTINGS_KEY)}, puts=[(SETTINGS_KEY, value, None)]
        )

        def done(outcome: TransactionResult) -> None:
            if outcome.revision is not None:
                self._c.mirror.applied(outcome.revision, transaction.puts, transaction.deletes)
                self._settings(b"", answer)
            elif outcome.failed_keys is not None:
                answer(409, error("the settings were changed meanwhile"), JSON)
            else:
                answer(503, error("the state service does not answer"), JSON)

        self._c.store.commit(transaction, done)

    def _status(self, body: bytes, answer: Answer) -> None:
        c = self._c
        fleet = c.leader.fleet
        status: dict[str, Any] = {
            "version": __version__,
            "member": c.member,
            "state": c.membership.state.name.lower(),
            "state_service": c.mirror.state.name.lower(),
            "lacks": c.lacks(),
            "view": self._view(),
            "view_changes": {
                "count": c.telemetry.view_changes,
                "last": msgspec.to_builtins(list(c.telemetry.last_changes)),
            },
            "answers": c.telemetry.answers_by_route(),
            "unavailable": {reason.value: count for reason, count in c.telemetry.unavailable.items()},
            "teams": msgspec.to_builtins(team_usage(c)),
            "quota": self._quota_status(),
            "counts": {
                "trigger": fleet.trigger.name.lower(),
                "waiting": fleet.waiting,
                "long_waiting": fleet.long_waiting,
                "pool": fleet.pool,
            },
            "machines": {name: self._machine(name, record) for name, record in c.machines.items()},
            "silent_machines": c.floor.silent(),
            "failing_jobs": c.floor.failing_jobs(),
            "jobs": {job_id: self._job(job) for job_id, job in c.jobs.items()},
            "process": self._process_status(),
        }
        answer(200, encode_json(status), JSON)

    def _quota_status(self) -> dict[str, Any] | None:
        if self._c.quota is None:
            return None
        from ramptide.quota.operators import quota_status

        return quota_status(self._c, self._c.quota)

    def _process_status(self) -> dict[str, Any] | None:
        if self._process is None:
            return None
        return {
            "processor_s": {kind: spent.total_seconds() for kind, spent in self._process.by_kind().items()},
            "worst_timer_delay_s": self._process.worst_delay(self._c.context.now).total_seconds(),
        }

    def _view(self) -> dict[str, Any] | None:
        view = self._c.view
        if view is None:
            return None
        return {
            "number": view.number,
            "leader": view.leader,
            "members": sorted(view.members),
            "settled": self._c.latched,
        }

    def _machine(self, name: str, record: MachineRecord) -> dict[str, Any]:
        host = self._c.floor.hosts.get(name)
        return {
            "flavor": record.machine_type,
            "yard": record.zone,
            "spot": record.spot,
            "leaving": record.drain_reason,
            "up": host is not None and host.up and not host.quiet,
            "tasks": len(host.tasks) if host is not None else 0,
            "out_of_use": self._c.floor.out_of_use(name),
        }

    @staticmethod
    def _job(job: Job) -> dict[str, Any]:
        return {
            "class": job.spec.job_class,
            "team": job.spec.team,
            "home": job.record.scheduler,
            "pieces": job.spec.task_count,
            "done": job.progress.count,
        }

    def _metrics(self, body: bytes, answer: Answer) -> None:
        # Imported on the first call: it would double the time that a start takes.
        from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, ProcessCollector, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        ProcessCollector(namespace="ramptide", registry=registry)
        answer(200, generate_latest(registry), CONTENT_TYPE_LATEST)

    def collect(self) -> "Iterator[Metric]":
        """Yield the current metrics; called by the registry."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        from ramptide.metrics import (
            answer_metrics,
            lease_metrics,
            membership_metrics,
            process_metrics,
            standstill_metrics,
            team_metrics,
        )

        c = self._c
        gauges = {
            "view": (c.view.number if c.view is not None else 0, "number of the view"),
            "leading": (int(c.membership.leading), "1 on the leading controller"),
            "settled": (int(c.latched), "1 when all machines are settled in this view"),
            "state_service_lacking": (int(c.mirror.lacking), "1 while the state service does not answer"),
            "lacks": (len(c.lacks()), "what this controller does without, as the status names it"),
            "jobs": (len(c.jobs), "jobs that are not over"),
            "failing_jobs": (len(c.floor.failing_jobs()), "jobs that failed on several machines and did well on none"),
            "machines_out_of_use": (sum(map(bool, map(c.floor.out_of_use, c.machines))), "machines that take no tasks"),
            "machines": (len(c.machines), "machines in the fleet record"),
            "machines_up": (
                sum(host.up and not host.quiet for host in c.floor.hosts.values()),
                "machines that report",
            ),
            "machines_silent": (len(c.floor.silent()), "machines that came up and are not heard now"),
            "waiting_tasks": (c.leader.fleet.waiting, "waiting tasks without room, as the leader counts"),
            "long_waiting_tasks": (c.leader.fleet.long_waiting, "long-waiting tasks, as the leader counts"),
            "pool_machines": (len(c.leader.fleet.pool), "idle machines kept ready"),
        }
        for name, (value, text) in gauges.items():
            yield GaugeMetricFamily(f"ramptide_{name}", text, value=value)
        texts = {
            "starts": "task starts decided here",
            "rentals": "machines rented",
            "returns": "machines returned",
            "preemptions": "tasks stopped for others as decided here",
            "requests": "requests of users",
            "reports": "reports of workers",
        }
        for name, text in texts.items():
            yield CounterMetricFamily(f"ramptide_{name}", text, value=c.counters[name])
        yield from team_metrics(c)
        if c.quota is not None:
            from ramptide.quota.operators import quota_metrics

            yield from quota_metrics(c, c.quota)
        yield from membership_metrics(c.telemetry)
        yield from answer_metrics(c.telemetry)
        yield from lease_metrics(c.telemetry)
        yield from standstill_metrics(c.telemetry.round_clock)
        if self._process is not None:
            yield from process_metrics(self._process, c.context.now)
