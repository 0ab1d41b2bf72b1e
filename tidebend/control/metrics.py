"""Prometheus metrics of the control service, computed when they are asked for, so that they cost nothing otherwise."""

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

PATH = "/metrics"


class Metrics:
    """A collector in prometheus-client's sense."""

    def __init__(self, engine: Engine, controller: Controller, provider: Provider, gate: AuthenticatedServer) -> None:
        self._engine = engine
        self._controller = controller
        self._provider = provider
        self._gate = gate
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def answer(self) -> Reply:
        """Return the metrics in the text format of Prometheus."""
        return Reply(200, generate_latest(self._registry), content_type=CONTENT_TYPE_LATEST)

    def collect(self) -> Iterator[Metric]:
        """Return the metrics as they are now."""
        jobs = GaugeMetricFamily("tidebend_jobs", "Jobs that aren't over, by kind and state.", labels=["kind", "state"])
        counted: Counter[tuple[str, str]] = Counter()
        waiting = 0
        for job in self._controller.job_cache.live_jobs():
            counted[job.spec.kind, "running" if job.allocated_count else "queued"] += 1
            waiting += job.pending.bit_count()
        for (kind, state), number in sorted(counted.items()):
            jobs.add_metric([kind, state], number)
        yield jobs
        yield GaugeMetricFamily("tidebend_tasks_waiting", "Tasks that no machine was claimed for yet.", waiting)

        now = time.monotonic()
        tasks: Counter[str] = Counter()
        silent = GaugeMetricFamily(
            "tidebend_machine_silent_seconds", "Since a machine last reported.", labels=["machine", "type"]
        )
        heard = {machine.name: machine for machine in self._controller.machine_registry.all()}
        machines = self._provider.machines()
        for name, machine in sorted(machines.items()):
            known = heard.get(name)
            if known is not None:
                silent.add_metric([name, machine.kind], now - known.last_heartbeat)
                tasks.update(task.state for task in list(known.tasks.values()))
        yield silent
        yield GaugeMetricFamily("tidebend_machines", "Machines that aren't gone.", len(machines))
        states = GaugeMetricFamily("tidebend_tasks", "Tasks on machines, by state.", labels=["state"])
        for state, number in sorted(tasks.items()):
            states.add_metric([state], number)
        yield states

        yield CounterMetricFamily("tidebend_state_revision", "Revision of the state.", self._engine.feed.revision)
        yield CounterMetricFamily(
            "tidebend_state_syncs", "Syncs of the state's file since the start.", self._engine.syncs
        )
        yield GaugeMetricFamily(
            "tidebend_state_refusing", "1 while the disk refuses changes.", float(self._engine.write_error is not None)
        )
        yield CounterMetricFamily(
            "tidebend_turned_away", "Requests without a good key since the start.", self._gate.refused
        )
        yield GaugeMetricFamily(
            "tidebend_leads", "1 while the controller leads.", float(self._controller.coordinator.term is not None)
        )
