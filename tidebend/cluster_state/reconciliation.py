"""The commands for a worker, from the difference between recorded allocations and its last heartbeat.

All functions are called under the machine registry's lock, with allocations that were read after the heartbeat was
received.
"""

from __future__ import annotations

import time

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.protocol import Command, TaskReport

JobAllocations = list[tuple[Job, Allocation]]  # on one machine, each with its job


def stop_commands_for_cancelled(machine: Machine, allocations: JobAllocations) -> list[Command]:
    """Return stop commands for the tasks of cancelled jobs.

    A cancelled job stays cancelled whichever controller holds the shard by now. These commands are therefore safe with
    any fencing token that the worker still accepts, even after this controller's lease has expired, when no other
    command may be sent.
    """
    return [
        Command("stop", job.id, index, allocation.attempt, 0.0)
        for job, allocation in allocations
        if job.cancelled and allocation.session == machine.session
        for index in set_bits(allocation.tasks)
        if (task := machine.tasks.get((job.id, index, allocation.attempt))) is not None and task.state != "ended"
    ]


def commands_for(machine: Machine, allocations: JobAllocations, token: int, direct: bool) -> list[Command]:
    """Return the commands for a worker, stops first, and track the start commands among them.

    `token` is the fencing token that the commands will carry; `direct` tells that they are sent directly rather than
    in the answer to a heartbeat.

    A start is repeated until the task is reported. This is safe: the worker is never told to forget an attempt that is
    still allocated, so it runs the attempt only once.
    """
    now = time.monotonic()
    commands: list[Command] = []
    allocated: set[TaskKey] = set()
    for job, allocation in allocations:
        if allocation.session == machine.session:
            _add_commands_for_allocation(machine, job, allocation, commands, allocated)
    _track_starts(machine, commands, token, direct, now)
    _discard_obsolete(machine, allocated)
    commands += _commands_for_unallocated(machine, allocated, now)
    # An answer holds a limited number of commands, so stops must not wait behind hundreds of starts.
    return sorted(commands, key=lambda command: command.op != "stop")


def _add_commands_for_allocation(
    machine: Machine, job: Job, allocation: Allocation, commands: list[Command], allocated: set[TaskKey]
) -> None:
    may_start = not job.cancelled and not machine.releasing
    for index in set_bits(allocation.tasks):
        key = (job.id, index, allocation.attempt)
        allocated.add(key)
        task = machine.tasks.get(key)
        if task is None:
            if may_start and key not in machine.stop_requests:
                commands.append(Command("start", *key))
        elif task.state != "ended":
            grace_s = 0.0 if job.cancelled else machine.stop_requests.get(key)
            if grace_s is not None and not _is_saving_in_grace(task, grace_s):
                commands.append(Command("stop", *key, grace_s))


def _is_saving_in_grace(task: TaskReport, grace_s: float) -> bool:
    """Whether a task is writing its checkpoint already, which is what a stop with a grace period asks for."""
    return task.state == "saving" and grace_s > 0


def _track_starts(machine: Machine, commands: list[Command], token: int, direct: bool, now: float) -> None:
    for command in commands:
        if command.op != "start":
            continue
        key = (command.job, command.index, command.attempt)
        if direct:
            machine.starts.record_direct_start(key, token, now)
        else:
            machine.starts.record_start_in_answer(key, machine.report_sequence)


def _discard_obsolete(machine: Machine, allocated: set[TaskKey]) -> None:
    """Discard stop requests and direct starts of tasks that are neither allocated nor reported any more.

    A stop request is kept as long as the task is allocated: the task may have been considered ended already because it
    can no longer start, and a new start would run it in parallel with the attempt that replaces it.
    """
    obsolete = [key for key in machine.stop_requests if key not in allocated and key not in machine.tasks]
    for key in obsolete:
        del machine.stop_requests[key]
    machine.starts.retain_direct_starts(allocated, machine.tasks)


def _commands_for_unallocated(machine: Machine, allocated: set[TaskKey], now: float) -> list[Command]:
    """Return commands that stop and forget reported tasks without an allocation.

    Such a task isn't needed: either its end has been recorded, or it never had an allocation.
    """
    commands = []
    deferred = 0
    for key, task in machine.tasks.items():
        if key in allocated:
            continue
        if task.state != "ended":
            commands.append(Command("stop", *key))
        elif machine.can_forget(key):
            commands.append(Command("forget", *key))
            machine.starts.forget_start_in_answer(key)
        else:
            deferred += 1
    machine.deferred_forgets = deferred
    machine.forgetting_deferred_since = (machine.forgetting_deferred_since or now) if deferred else None
    return commands
