"""Direct start commands that may still be executed, and what rules that out."""

import time
from dataclasses import replace

import pytest

from tests.test_guards import allocate, spec, stale_controllers, started_world
from tidebend.cluster_state.reconciliation import commands_for
from tidebend.controller.records.uncertain_starts import MAX_KEPT_TASKS
from tidebend.coordination import shard_of
from tidebend.protocol import Report, TaskReport
from tidebend.transport import NoAnswerError, UnreachableError

JOB_ID = "req-000001"
KEY = (JOB_ID, 0, 1)


@pytest.fixture
def world():
    yield from started_world()


class Holder:
    """A controller with a job allocated to its machine, and a script of what its requests to the worker meet."""

    def __init__(self, world):
        self.controller, _ = stale_controllers(world, **{JOB_ID: spec()})
        registry = self.controller.machine_registry
        self.machine = next(machine for machine in registry.all() if shard_of(machine.zone) == "north.0")
        assert allocate(self.controller, JOB_ID, self.machine.name, 1) is not None
        self.outcomes = []
        dispatcher = self.controller.command_dispatcher
        dispatcher._connect = lambda address, max_idle: self
        dispatcher._clients.clear()

    @property
    def token(self):
        """The fencing token of the machine's shard."""
        return self.controller.coordinator.grant("north.0").token

    def raise_token(self):
        """Raise the fencing token of the machine's shard."""
        former = self.token
        coordinator = self.controller.coordinator
        coordinator.raise_fencing_token(coordinator.grant("north.0"))
        coordinator.holdings.refresh()
        assert self.token > former

    def send(self, *outcomes):
        """Send the direct commands due once for each outcome: an error, or a function of the request's body."""
        self.outcomes += outcomes
        dispatcher = self.controller.command_dispatcher
        for _ in outcomes:
            dispatcher.send({self.machine.name})
            while dispatcher.send_next():
                pass
        assert not self.outcomes

    def request(self, method, path, body, timeout):
        """Meet the next outcome, as the client of the worker's connection."""
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome(body)

    def close(self):
        """Do nothing: there is no connection."""

    def heartbeat(self, **changes):
        """Receive a heartbeat without any task."""
        machine = self.machine
        sequence = machine.sequence + 1
        report = Report(machine.name, None, "box", "north", False, machine.session, sequence, machine.token, None, ())
        self.controller.machine_registry.record_heartbeat(replace(report, **changes))


def answer_with(holder, status, tasks):
    """Return an outcome: the worker's answer, with the state `running` of these tasks."""

    def answer(body):
        machine = holder.machine
        pieces = [{"piece": f"{job}/{index}", "launch": attempt, "tide": "running"} for job, index, attempt in tasks]
        return status, {
            "vessel": machine.name,
            "address": "10.0.0.1:9000",
            "hull": machine.type,
            "harbor": machine.zone,
            "driftwood": machine.spot,
            "watch": machine.session,
            "tally": machine.sequence + 1,
            "helm": machine.token,
            "warningS": None,
            "pieces": pieces,
        }

    return answer


def test_a_start_that_is_under_way_isnt_ruled_out_by_one_that_could_not_be_sent(world):
    """Guards against `ran_twice`: a held start ran after the task had been placed elsewhere, because a later request
    with the same start had found no connection."""
    holder = Holder(world)
    holder.send(NoAnswerError("timed out"), UnreachableError("timed out"))
    holder.machine.stop_requests[KEY] = 0.0
    holder.heartbeat()
    holder.controller.scheduling_loop.mapping_event()
    assert holder.controller.job_cache.get(JOB_ID).allocations
    holder.heartbeat(token=holder.machine.token + 1)
    assert holder.machine.can_no_longer_start(KEY)


def test_a_start_that_could_not_be_sent_at_all_is_ruled_out_at_once(world):
    """Guards against tasks that wait for a new token though no request with their start was ever sent."""
    holder = Holder(world)
    holder.send(UnreachableError("refused"), UnreachableError("refused"))
    assert holder.machine.can_no_longer_start(KEY)


def test_a_start_with_a_former_token_isnt_ruled_out_by_one_with_a_new_token_that_could_not_be_sent(world):
    """Guards against `ran_twice`: the entry of the new token replaced that of the former one, and went with it."""
    holder = Holder(world)
    holder.send(NoAnswerError("timed out"))
    holder.raise_token()
    holder.send(UnreachableError("timed out"))
    assert not holder.machine.can_no_longer_start(KEY)
    holder.heartbeat(token=holder.token)
    assert holder.machine.can_no_longer_start(KEY)


@pytest.mark.parametrize("outcome", ["unreachable", "refused"])
def test_a_start_in_a_new_session_isnt_ruled_out_by_a_request_to_the_former_session(world, outcome):
    """Guards against `ran_twice`: a waiting task of a gang is started again with the attempt number that it had."""
    holder = Holder(world)

    def meanwhile_in_a_new_session(body):
        holder.heartbeat(session=holder.machine.session + 1)
        holder.machine.starts.record_direct_start(KEY, body["helm"], time.monotonic())
        if outcome == "unreachable":
            raise UnreachableError("timed out")
        return answer_with(holder, 409, [])(body)

    holder.send(meanwhile_in_a_new_session)
    assert not holder.machine.can_no_longer_start(KEY)


def test_an_executed_start_leaves_no_other_request_with_it_uncertain(world):
    """The worker knows the attempt by then; the fencing token need not be raised."""
    holder = Holder(world)
    holder.send(NoAnswerError("timed out"), answer_with(holder, 200, [KEY]))
    assert holder.machine.can_no_longer_start(KEY)


def test_repeats_of_a_start_dont_defer_the_token_that_decides_the_outcome(world):
    """Guards against a start that stays uncertain for as long as it is repeated."""
    holder = Holder(world)
    before = holder.token
    for _ in range(3):
        holder.send(NoAnswerError("timed out"))
        world.monotonic_now += 0.6 * holder.controller.settings.report_s
    holder.controller.scheduling_loop.completions.collect()
    holder.controller.coordinator.holdings.refresh()
    assert holder.token > before


def keep_done_tasks(holder, number):
    """Let the machine list done tasks that were started directly with the present token."""
    keys = [(f"req-{index:06d}", 0, 1) for index in range(100, 100 + number)]
    for key in keys:
        holder.machine.starts.record_direct_start(key, holder.machine.token, 0.0)
        holder.machine.starts.resolve_direct_starts(key)
    holder.heartbeat(tasks=tuple(TaskReport(*key, "ended", "done", False) for key in keys))
    commands_for(holder.machine, [], holder.token, direct=False)


def collect_after(holder, world, leases):
    """Let a part of a worker's lease pass, and the controller compare allocations with reports."""
    world.monotonic_now += leases * holder.controller.settings.lease_s
    holder.controller.coordinator.renew_lease()
    holder.controller.scheduling_loop.completions.collect()
    holder.controller.coordinator.holdings.refresh()


def test_a_machine_that_keeps_many_done_tasks_gets_a_new_token_before_its_reports_grow_too_long(world):
    """Guards against reports of more than 64 KiB, while thousands of short tasks end on one machine."""
    holder = Holder(world)
    before = holder.token
    holder.heartbeat(token=before)
    keep_done_tasks(holder, MAX_KEPT_TASKS)
    collect_after(holder, world, leases=0.6)
    assert holder.token == before
    keep_done_tasks(holder, MAX_KEPT_TASKS + 1)
    collect_after(holder, world, leases=0.0)
    raised = holder.token
    assert raised > before
    # no further token until the machine has confirmed this one
    collect_after(holder, world, leases=0.6)
    assert holder.token == raised
    holder.heartbeat(token=raised, tasks=tuple(holder.machine.tasks.values()))
    commands = commands_for(holder.machine, [], raised, direct=False)
    assert len([command for command in commands if command.op == "forget"]) == MAX_KEPT_TASKS + 1
