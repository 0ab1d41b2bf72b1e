"""Bugs that are planted into the current version, one of each kind, to check that the search finds them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from unittest import mock

from tidebend.cluster_state.machine import Machine
from tidebend.controller.api.job_api import JobApi
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.coordination import shard_of
from tidebend.kvclient import LIVE, WatchCache
from tidebend.settings import Settings

FAULTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {}


def _fault(make: Callable[[], Iterator[None]]) -> Callable[[], contextlib.AbstractContextManager]:
    FAULTS[make.__name__] = contextlib.contextmanager(make)
    return FAULTS[make.__name__]


@_fault
def staleness():
    """Reports are answered however stale the cache is."""
    with mock.patch.object(Settings, "staleness_bound_s", 1e9):
        yield


@_fault
def late_transaction():
    """Writes to job records are not conditional on the version read: a delayed transaction overwrites newer state."""
    original = WatchCache.write

    def write(self, conditions, writes, *rest, **named):
        written = {key for key, _, _ in writes if key.startswith((LIVE + "job/", LIVE + "head/", LIVE + "part/"))}
        kept = {key: version for key, version in conditions.items() if key not in written or not version}
        return original(self, kept, writes, *rest, **named)

    with mock.patch.object(WatchCache, "write", write):
        yield


@_fault
def late_report():
    """A task missing from a report counts as ended, even if the report is older than the allocation."""
    with mock.patch.object(CompletionTracker, "_cannot_run_anymore", lambda self, machine, job, key: True):
        yield


@_fault
def lost_doubt():
    """Start commands whose outcome is unknown are forgotten."""
    with (
        mock.patch.object(Machine, "can_no_longer_start", lambda self, key: True),
        mock.patch.object(Machine, "can_forget", lambda self, key: True),
    ):
        yield


@_fault
def done_forgotten_at_once():
    """Workers are told to forget done tasks while a copy of their start command may still be executed."""
    original = Machine.can_forget

    def can_forget(self, key):
        return original(self, key) or (self.tasks[key].why == "done" and self.can_no_longer_start(key))

    with mock.patch.object(Machine, "can_forget", can_forget):
        yield


@_fault
def unread_answer():
    """Users are answered from the cache without a read barrier."""
    with mock.patch.object(JobApi, "find", lambda self, name: self._answer_from_cache(name)):
        yield


@_fault
def freed_limit():
    """The new holder of a shard counts cancelled tasks as ended before their machine has reported to it."""
    original = CompletionTracker.collect

    def collect(self):
        original(self)
        grants = {grant.shard: grant for grant in self.coordinator.grants()}
        for job in self.job_cache.live_jobs():
            for claim in job.allocations if job.cancelled else ():
                machine = self.machine_registry.machines.get(claim.machine)
                grant = grants.get(shard_of(claim.zone))
                if grant is not None and (machine is None or machine.last_heartbeat < grant.held_since):
                    end = self.unrecorded.setdefault(job.id, UnrecordedCompletions())
                    end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                    end.grants.add(grant)

    with mock.patch.object(CompletionTracker, "collect", collect):
        yield


@_fault
def earlier_session():
    """Reports of an earlier worker session are accepted as the machine's state."""
    apply_heartbeat, reconcile_machine = Machine.apply_heartbeat, CompletionTracker._reconcile_machine

    def accept_any_session(self, report, now, direct):
        if report.session < self.session:
            self.session, self.sequence, self.report_sequence = report.session, 0, 0
        return apply_heartbeat(self, replace(report, token=max(report.token, self.token)), now, direct)

    def end_other_sessions(self, machine, grant, ends):
        reconcile_machine(self, machine, grant, ends)
        for job, claim in self.job_cache.allocations_on(machine.name):
            if claim.session != machine.session:
                end = ends.setdefault(job.id, UnrecordedCompletions())
                end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                end.grants.add(grant)

    with (
        mock.patch.object(Machine, "apply_heartbeat", accept_any_session),
        mock.patch.object(CompletionTracker, "_reconcile_machine", end_other_sessions),
    ):
        yield


@_fault
def beside_room():
    """Some jobs are never placed, although there is room for them."""
    original = PendingJobs.request

    def request(self, job, *rest, **named):
        return None if job.id.endswith("2") else original(self, job, *rest, **named)

    with mock.patch.object(PendingJobs, "request", request):
        yield
