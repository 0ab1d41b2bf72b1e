"""Prometheus metrics of the control service, computed on each scrape."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from tidebend.access import AuthenticatedServer
from tidebend.controller import Controller
from tidebend.kvstore import Engine
from tidebend.provider import Provider
from tidebend.transport import Reply

METRICS_PATH = "/metrics"


class Metrics:
    """A collector of prometheus-client."""

    def __init__(self, engine: Engine, controller: Controller, provider: Provider, server: AuthenticatedServer) -> None:
        self._engine = engine
        self._controller = controller
        self._provider = provider
        self._server = server
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def answer(self) -> Reply:
        """Return the metrics in the text format of Prometheus."""
        return Reply(200, generate_latest(self._registry), content_type=CONTENT_TYPE_LATEST)

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        jobs = GaugeMetricFamily(
            "tidebend_jobs", "Jobs that haven't ended, by kind and state.", labels=["kind", "state"]
        )
        jobs_by_kind: Counter[tuple[str, str]] = Counter()
        pending_tasks = 0
        for job in self._controller.job_cache.live_jobs():
            jobs_by_kind[job.spec.kind, "running" if job.allocated_count else "queued"] += 1
            pending_tasks += job.pending.bit_count()
        for (kind, state), count in sorted(jobs_by_kind.items()):
            jobs.add_metric([kind, state], count)
        yield jobs
        yield GaugeMetricFamily("tidebend_tasks_waiting", "Tasks without an allocation.", pending_tasks)

        now = time.monotonic()
        tasks_by_state: Counter[str] = Counter()
        report_age = GaugeMetricFamily(
            "tidebend_machine_silent_seconds", "Seconds since the last report of a machine.", labels=["machine", "type"]
        )
        registered = {machine.name: machine for machine in self._controller.machine_registry.all()}
        machines = self._provider.machines()
        for name, machine in sorted(machines.items()):
            known = registered.get(name)
            if known is not None:
                report_age.add_metric([name, machine.kind], now - known.last_heartbeat)
                tasks_by_state.update(task.state for task in list(known.tasks.values()))
        yield report_age
        yield GaugeMetricFamily("tidebend_machines", "Machines that haven't been released.", len(machines))
        states = GaugeMetricFamily("tidebend_tasks", "Tasks on machines, by state.", labels=["state"])
        for state, count in sorted(tasks_by_state.items()):
            states.add_metric([state], count)
        yield states

        yield CounterMetricFamily(
            "tidebend_state_revision", "Revision of the key-value store.", self._engine.feed.revision
        )
        yield CounterMetricFamily(
            "tidebend_state_syncs", "Disk syncs of the key-value store since the start.", self._engine.syncs
        )
        yield GaugeMetricFamily(
            "tidebend_state_refusing",
            "1 while commits of the key-value store fail.",
            float(self._engine.write_error is not None),
        )
        yield CounterMetricFamily(
            "tidebend_turned_away", "Requests without a valid key since the start.", self._server.rejected_requests
        )
        yield GaugeMetricFamily(
            "tidebend_leads",
            "1 while the controller is the leader.",
            float(self._controller.coordinator.term is not None),
        )
