"""The state of one machine, from the heartbeats of its worker."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.start_tracking import StartTracker
from tidebend.protocol import Report, TaskReport


@dataclass
class Machine:
    """A machine as its worker reports it, and what is remembered of the commands that were sent to it.

    Guarded by the machine registry's lock. All times are monotonic, in seconds.
    """

    name: str
    type: str
    zone: str
    spot: bool
    address: tuple[str, int] | None = None  # where direct commands go
    session: int = 0  # of the worker; it grows with each start of the worker
    sequence: int = 0  # of the newest report within the session
    token: int = 0  # the highest fencing token that the worker has confirmed
    reclaim_at: float | None = None  # when the cloud provider takes the machine, if it has said so
    last_heartbeat: float = 0.0
    first_heartbeat: float = 0.0
    last_direct_answer: float = 0.0  # the last answer to direct commands
    tasks: dict[TaskKey, TaskReport] = field(default_factory=dict)
    running_since: dict[TaskKey, float] = field(default_factory=dict)  # when each task was first reported as running
    # ended tasks whose end has been counted: each look at the machine would count a failure again otherwise
    counted_ends: set[TaskKey] = field(default_factory=set)
    answered_token: int = 0  # the highest fencing token with which a heartbeat of this machine was answered
    report_sequence: int = 0  # of the newest heartbeat, answers to direct commands not included
    starts: StartTracker = field(default_factory=StartTracker)
    # since when there are ended tasks that the worker can't be told to forget, see `can_forget`
    forgetting_deferred_since: float | None = None
    stop_requests: dict[TaskKey, float] = field(default_factory=dict)  # tasks to be stopped, with the grace in seconds
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # in its cache, with their sizes in GB
    failures: dict[str, float] = field(default_factory=dict)  # job -> its last failure on this machine
    draining: bool = False
    idle_since: float | None = None
    releasing: bool = False
    needs_reconciliation: bool = True  # a report came since its allocations were last compared with it

    def apply_heartbeat(self, report: Report, now: float, direct: bool) -> bool:
        """Apply a heartbeat, or with `direct` an answer to direct commands.

        Returns False if it is late: the worker doesn't wait for an answer to it any more.
        """
        if report.session < self.session:
            return False
        if report.session > self.session:
            self._begin_session()
        if direct:
            self.last_direct_answer = now
        elif not self._accept_sequence(report, now):
            return False
        if (report.session, report.sequence) > (self.session, self.sequence):
            self._apply_state(report, now)
        # else an answer to direct commands has overtaken this heartbeat: it tells nothing new, but needs its answer
        return True

    def _begin_session(self) -> None:
        self.starts.begin_session()
        self.answered_token = 0
        self.stop_requests.clear()
        self.running_since.clear()
        self.counted_ends.clear()
        self.report_sequence = 0

    def _accept_sequence(self, report: Report, now: float) -> bool:
        """Whether a heartbeat is newer than those before it; if so it may show that the machine is reachable."""
        if report.sequence <= self.report_sequence:
            return False
        self.report_sequence = report.sequence
        # A heartbeat shows that the machine is reachable only if the worker has received the answer to an earlier one,
        # that is, if it carries the fencing token of that answer; the first heartbeat to a new holder counts by itself.
        # Otherwise a machine that receives no answers, or a dead one whose heartbeats are delivered again late, would
        # pass for alive.
        if report.token >= self.answered_token:
            self.last_heartbeat = now
        return True

    def _apply_state(self, report: Report, now: float) -> None:
        self.session, self.sequence, self.token = report.session, report.sequence, report.token
        self.address = report.address or self.address
        self.reclaim_at = None if report.reclaim_in_s is None else now + report.reclaim_in_s
        self.needs_reconciliation = True
        self.tasks = {(task.job, task.index, task.attempt): task for task in report.tasks}
        for key, task in self.tasks.items():
            if task.state == "running":
                self.running_since.setdefault(key, now)
        self.starts.confirm_token(self.token)
        self.counted_ends &= self.tasks.keys()
        for key in [key for key in self.running_since if key not in self.tasks]:
            del self.running_since[key]

    def can_no_longer_start(self, key: TaskKey) -> bool:
        """Whether no start that was sent for a task can be executed any more, for a task that isn't reported."""
        return not self.starts.may_still_execute(key, self.report_sequence)

    def can_forget(self, key: TaskKey) -> bool:
        """Whether the worker may be told to forget an ended attempt, so that it can't run once more after that.

        A start has no effect while the worker knows the attempt, or once it has confirmed a higher fencing token. So
        a direct start that may be delivered a second time defers it; but not of a task that is done, which would only
        end again at once.
        """
        if not self.can_no_longer_start(key):
            return False
        return self.tasks[key].why == "done" or not self.starts.may_be_repeated(key, self.token)

    def record_image_use(self, image: str, gb: float, cache_gb: float) -> None:
        """Note the use of an image, and remove those used longest ago from a cache of `cache_gb`."""
        self.images[image] = gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
