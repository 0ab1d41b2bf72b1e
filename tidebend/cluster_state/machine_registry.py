"""Machines of our own blocks, as their workers report them."""

from __future__ import annotations

import itertools
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, field

from tidebend.cluster_state.task_bitmap import members
from tidebend.protocol import Command, Report, TaskReport


@dataclass
class Machine:
    """Guarded by the fleet's lock."""

    name: str
    type: str
    zone: str
    spot: bool
    address: tuple[str, int] | None = None
    session: int = 0
    sequence: int = 0
    token: int = 0
    notice_at: float | None = None  # steady time at which the cloud takes it
    last_heartbeat: float = 0.0  # steady time of the last report
    first_heartbeat: float = 0.0
    last_direct_answer: float = 0.0  # steady time of the last answer to direct commands
    tasks: dict[tuple[str, int, int], TaskReport] = field(default_factory=dict)
    # when each task was first reported as running; (job, index, attempt) -> steady time
    running_since: dict[tuple[str, int, int], float] = field(default_factory=dict)
    # ended tasks that were learnt from; guards against counting one failure once for each look at it
    observed: set[tuple[str, int, int]] = field(default_factory=set)
    answered_token: int = 0  # the highest token with which a report of this machine was answered
    # the newest proper report, as opposed to answers to direct commands
    report_sequence: int = 0
    # starts sent in answers to reports: (job, index, attempt) -> sequence of the report
    answered_starts: dict[tuple[str, int, int], int] = field(default_factory=dict)
    # starts sent directly whose outcome is open: (job, index, attempt) -> (token, steady time)
    uncertain_starts: dict[tuple[str, int, int], tuple[int, float]] = field(default_factory=dict)
    # tokens of the starts that were sent directly, whatever came of them: (job, index, attempt) -> token
    direct_starts: dict[tuple[str, int, int], int] = field(default_factory=dict)
    kept_since: float | None = None  # steady time since which ended tasks aren't cleared, for the sake of those
    # what we want stopped, and with how much grace
    stops: dict[tuple[str, int, int], float] = field(default_factory=dict)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    failures: dict[str, float] = field(default_factory=dict)  # job -> steady time of its last failure here
    draining: bool = False
    idle_since: float | None = None
    releasing: bool = False
    needs_reconciliation: bool = True  # heard since its claims were last compared with its report

    def apply_heartbeat(self, report: Report, now: float, direct: bool) -> bool:
        """Take a report over; False if it is late, so that nobody waits for its answer any more."""
        if report.session < self.session:
            return False
        if report.session > self.session:
            self.answered_starts.clear()
            self.uncertain_starts.clear()
            self.direct_starts.clear()
            self.answered_token = 0
            self.stops.clear()
            self.running_since.clear()
            self.observed.clear()
            self.report_sequence = 0
        if not direct:
            if report.sequence <= self.report_sequence:
                return False
            self.report_sequence = report.sequence
            # Guards against a machine that nothing reaches, and against a dead one whose reports come again late: the
            # first report after a grant is news by itself, each one after it must show the token it was answered with.
            if report.token >= self.answered_token:
                self.last_heartbeat = now
        else:
            self.last_direct_answer = now
        if (report.session, report.sequence) <= (self.session, self.sequence):
            return True  # an answer to direct commands has overtaken it: newer, but the worker waits for this one
        self.session, self.sequence, self.token = report.session, report.sequence, report.token
        self.address = report.address or self.address
        self.notice_at = None if report.notice_s is None else now + report.notice_s
        self.needs_reconciliation = True
        self.tasks = {(task.job, task.index, task.attempt): task for task in report.tasks}
        for key, task in self.tasks.items():
            if task.state == "running":
                self.running_since.setdefault(key, now)
        for key in [key for key, (token, _) in self.uncertain_starts.items() if token < self.token]:
            del self.uncertain_starts[key]  # an older command is refused from now on
        self.observed &= self.tasks.keys()
        for key in [key for key in self.running_since if key not in self.tasks]:
            del self.running_since[key]
        return True

    def can_no_longer_start(self, key: tuple[str, int, int]) -> bool:
        """Whether none of our starts for a task that isn't on the machine can still be executed.

        Starts in an answer are executed before the next report is sent, or never. Direct ones may be late, until
        the worker has confirmed a higher token.
        """
        sent = self.answered_starts.get(key)
        return key not in self.uncertain_starts and (sent is None or self.report_sequence > sent)

    def may_be_cleared(self, key: tuple[str, int, int]) -> bool:
        """Whether nothing can run an ended attempt again once the worker has forgotten it.

        Guards against direct commands that are carried out a second time, late: a start has no effect while the worker
        knows the attempt, or once it has seen a higher token. What is done only ends again if it is started again.
        """
        return self.can_no_longer_start(key) and (
            self.tasks[key].why == "done" or self.direct_starts.get(key, -1) < self.token
        )

    def uses_image(self, image: str, gb: float, cache_gb: float) -> None:
        self.images[image] = gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)


class MachineRegistry:
    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.machines: dict[str, Machine] = {}
        self.released_at: OrderedDict[str, float] = OrderedDict()  # released: name -> steady time

    def record_heartbeat(self, report: Report, direct: bool = False, token: int = 0) -> Machine | None:
        """None for a machine that was released, and for a late report; `token`: with which it will be answered."""
        now = time.monotonic()
        with self.lock:
            if report.machine in self.released_at:
                return None
            machine = self.machines.get(report.machine)
            if machine is None:
                machine = Machine(
                    report.machine, report.type, report.zone, report.spot, first_heartbeat=now, last_heartbeat=now
                )
                self.machines[report.machine] = machine
            if not machine.apply_heartbeat(report, now, direct):
                return None
            machine.answered_token = max(machine.answered_token, token)
            return machine

    def mark_released(self, names: list[str]) -> None:
        with self.lock:
            for name in names:
                self.machines.pop(name, None)
                self.released_at[name] = time.monotonic()
                self.released_at.move_to_end(name)

    def forget_released(self, before: float, needed: set[str]) -> None:
        """Forget machines that were released before a steady time, but for those in `needed`.

        Bounded by time and not by a number: late reports of each of them would be news again, and thousands may be
        released at once.
        """
        with self.lock:
            old = list(itertools.takewhile(lambda row: row[1] < before, self.released_at.items()))
            for name, _ in old:
                if name not in needed:
                    del self.released_at[name]

    def forget(self, names: list[str]) -> None:
        with self.lock:
            for name in names:
                self.machines.pop(name, None)

    def all(self) -> list[Machine]:
        with self.lock:
            return list(self.machines.values())


def cancelled_stops(machine: Machine, allocations: list) -> list[Command]:
    """Stops of what is known to be cancelled; called under the fleet's lock.

    A cancelled job stays cancelled, whoever holds the block by now, so that they are safe with every token that the
    worker still takes: also while our own lease has run out and nothing else may be commanded.
    """
    return [
        Command("stop", job.id, index, allocation.attempt, 0.0)
        for job, allocation in allocations
        if job.cancelled and allocation.session == machine.session
        for index in members(allocation.tasks)
        if (task := machine.tasks.get((job.id, index, allocation.attempt))) is not None and task.state != "ended"
    ]


def commands_for(machine: Machine, allocations: list, token: int, direct: bool) -> list[Command]:
    """Commands for a worker, from the recorded claims, stops first; called under the fleet's lock.

    `claims` holds (job, claim) pairs on this machine, read after the report came. Every start is repeated until
    the task is seen: a claim that is still recorded was never cleared, so the worker runs the attempt only once.
    """
    commands = []
    claimed = set()
    now = time.monotonic()
    for job, allocation in allocations:
        if allocation.session != machine.session:
            continue
        for index in members(allocation.tasks):
            key = (job.id, index, allocation.attempt)
            claimed.add(key)
            task = machine.tasks.get(key)
            if task is None:
                if not job.cancelled and not machine.releasing and key not in machine.stops:
                    if direct:
                        machine.uncertain_starts[key] = (token, now)
                        machine.direct_starts[key] = token
                    else:
                        machine.answered_starts[key] = machine.report_sequence
                    commands.append(Command("start", *key))
            elif task.state != "ended":
                grace = 0.0 if job.cancelled else machine.stops.get(key)
                if grace is not None and not (task.state == "saving" and grace > 0):
                    commands.append(Command("stop", *key, grace))
    # What is to stop stays so for as long as it is claimed: that it hasn't been started may have been taken for its end
    # already, and a start would then run it beside the one that takes its place.
    for known in (machine.stops, machine.direct_starts):
        for key in [key for key in known if key not in claimed and key not in machine.tasks]:
            del known[key]
    kept = False
    for key, task in machine.tasks.items():
        if key not in claimed:
            # no claim: its end is recorded, or it never had one; in neither case is it of use to anybody
            if task.state != "ended":
                commands.append(Command("stop", *key))
            elif machine.may_be_cleared(key):
                # guards against a late start that would run the attempt again once it is cleared
                commands.append(Command("forget", *key))
                machine.answered_starts.pop(key, None)
            else:
                kept = True
    machine.kept_since = (machine.kept_since or now) if kept else None
    # Guards stops against hundreds of starts ahead of them: an answer holds so many commands only.
    return sorted(commands, key=lambda command: command.op != "stop")
