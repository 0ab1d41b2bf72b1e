"""The workers' API: reports in, commands out."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from tidebend import protocol
from tidebend.bookkeeping.jobs import JobBook
from tidebend.bookkeeping.machines import Fleet, orders
from tidebend.coordination import Coordinator, block_of
from tidebend.protocol import Invalid
from tidebend.service.users import parse_body, unsure
from tidebend.settings import Settings
from tidebend.storage import StateClient
from tidebend.transport import Reply

log = logging.getLogger("workers")

# keeps a response far below the 64 KiB that a line may have
MOST_COMMANDS = 300


class Workers:
    def __init__(self, settings: Settings, state: StateClient, book: JobBook, fleet: Fleet,
                 coordinator: Coordinator, wake: Callable[[], None]) -> None:
        self.settings = settings
        self.state = state
        self.book = book
        self.fleet = fleet
        self.coordinator = coordinator
        self.wake = wake

    def report(self, raw: bytes) -> Reply:
        try:
            report = protocol.parse_report(parse_body(raw))
        except Invalid as error:
            return Reply(400, {"error": str(error)})
        block = block_of(report.zone)
        grant = self.coordinator.grant(block)
        if grant is not None and report.token > grant.token:
            self.coordinator.deposed(block, report.token)
            grant = None
        if grant is None:
            holder = self.coordinator.holder(block)
            if holder is None or holder == self.settings.name:
                return unsure("no holder")
            return Reply(421, protocol.report_elsewhere(holder))
        if time.monotonic() - self.state.last_contact > self.settings.answer_bound_s:
            # somebody may have been told meanwhile that a job is cancelled, whose tasks we would keep alive
            return unsure("out of touch with the state service")
        with self.fleet.lock:
            before = self.fleet.machines.get(report.machine)
            seen = {key: task.state for key, task in before.tasks.items()} if before else None
            machine = self.fleet.heard(report)
            if machine is None:
                return unsure("not the newest report")
            changed = seen != {key: task.state for key, task in machine.tasks.items()}
            commands = []
            if self.coordinator.lease_valid:
                commands = orders(machine, self.book.on_machine(machine.name), grant.token)[:MOST_COMMANDS]
        if changed:
            self.wake()
        return Reply(200, protocol.report_answer(grant.token, commands))
