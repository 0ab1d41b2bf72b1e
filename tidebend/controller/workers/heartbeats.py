"""Heartbeats: handles workers' reports and answers them with commands."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.reconciliation import commands_for, stop_commands_for_cancelled
from tidebend.controller.api.replies import parse_body, unavailable_reply
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.kvclient import WatchCache
from tidebend.protocol import Command, InvalidMessageError, Report
from tidebend.settings import Settings
from tidebend.transport import Reply

log = logging.getLogger("workers")

# Number of machines whose newest report is remembered. A duplicate from any other machine counts as new, as after a
# restart.
MAX_REMEMBERED_MACHINES = 10_000
MAX_COMMANDS = 300  # keeps an answer far below the 64 KiB that a line may have


class ReportNumber(NamedTuple):
    """The position of a report in the order of its machine's reports."""

    session: int
    sequence: int


class HeartbeatHandler:
    """Records reports and answers them with commands; thread-safe.

    A report for a shard that another controller holds is redirected to that controller.
    """

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        coordinator: Coordinator,
        wake_scheduler: Callable[[], None],
        record_report: Callable[[str], None],
    ) -> None:
        """`wake_scheduler` is called when a task's state changes, `record_report` with the shard of each new report."""
        self._settings = settings
        self._cache = cache
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._coordinator = coordinator
        self._wake_scheduler = wake_scheduler
        self._record_report = record_report
        self._newest: OrderedDict[str, ReportNumber] = OrderedDict()  # by machine
        self._newest_lock = threading.Lock()

    def report(self, raw: bytes) -> Reply:
        """Answer a report: 200 with commands, 400 if it is invalid, 421 with the name of the shard's holder, or 503."""
        try:
            report = protocol.parse_report(parse_body(raw))
            self._check(report)
        except InvalidMessageError as error:
            log.info("rejected an invalid report: %s", error)
            return Reply(400, {"error": str(error)})
        shard = shard_of(report.zone)
        if self._is_newest(report):
            self._record_report(shard)
        grant = self._coordinator.grant(shard)
        if grant is not None and report.token > grant.token:
            self._coordinator.observe_higher_token(shard, report.token)
            grant = None
        if grant is None:
            return self._redirect(shard)
        return self._accept(report, grant)

    def _check(self, report: Report) -> None:
        """Check a report against the settings and the known machines.

        Raises InvalidMessageError for an unknown zone, and if the machine's type, zone or spot flag has changed.
        """
        if report.zone not in self._settings.zones:
            raise InvalidMessageError(f"harbor must be one of {', '.join(self._settings.zones)}")
        with self._machine_registry.lock:
            known = self._machine_registry.machines.get(report.machine)
        if known is not None and (known.type, known.zone, known.spot) != (report.type, report.zone, report.spot):
            raise InvalidMessageError(
                f"vessel: {report.machine} is known as a {known.type} in {known.zone}{' (spot)' * known.spot}"
            )

    def _is_newest(self, report: Report) -> bool:
        """Return whether a report is the newest received from its machine, whoever holds the shard.

        Delayed duplicates must not count, or an unreachable zone would appear reachable.
        """
        number = ReportNumber(report.session, report.sequence)
        with self._newest_lock:
            if number <= self._newest.get(report.machine, ReportNumber(0, 0)):
                return False
            self._newest[report.machine] = number
            self._newest.move_to_end(report.machine)
            while len(self._newest) > MAX_REMEMBERED_MACHINES:
                self._newest.popitem(last=False)
        return True

    def _redirect(self, shard: str) -> Reply:
        holder = self._coordinator.holder(shard)
        if holder is None or holder == self._settings.name:
            return unavailable_reply("the shard has no known holder")
        return Reply(421, protocol.redirect_answer(holder))

    def _accept(self, report: Report, grant: ShardGrant) -> Reply:
        """Record a report of a shard that we hold, and answer it.

        If our last read of the key-value store is too old, the report is recorded but answered with 503: since that
        read a user may have been told that a job is cancelled, and a 200 would renew the lease under which its tasks
        run. If such reports weren't recorded, machines that kept reporting during an outage of the store would be
        released as unresponsive as soon as the store recovers.
        """
        is_stale = self._cache.age_s > self._settings.staleness_bound_s
        commands: list[Command] = []
        with self._machine_registry.lock:
            states_before = _task_states(self._machine_registry.machines.get(report.machine))
            machine = self._machine_registry.record_heartbeat(report, token=0 if is_stale else grant.token)
            if machine is None:
                return unavailable_reply("the report is outdated or its machine was released")
            has_changed = states_before != _task_states(machine)
            if not is_stale:
                commands = self._commands(machine, grant.token)
        if has_changed:
            self._wake_scheduler()
        if is_stale:
            return unavailable_reply("the last read of the key-value store is too old")
        return Reply(200, protocol.report_answer(grant.token, commands))

    def _commands(self, machine: Machine, token: int) -> list[Command]:
        """Return the commands for a machine; called under the machine registry's lock."""
        allocations = self._job_cache.allocations_on(machine.name)
        if self._coordinator.lease_valid:
            commands = commands_for(machine, allocations, token, direct=False)
        else:
            commands = stop_commands_for_cancelled(machine, allocations)
        return commands[:MAX_COMMANDS]


def _task_states(machine: Machine | None) -> dict[tuple[str, int, int], str] | None:
    if machine is None:
        return None
    return {key: task.state for key, task in machine.tasks.items()}
