"""The state of one machine, as known from the heartbeats of its worker."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.start_tracking import StartTracker
from tidebend.protocol import Report, TaskReport


@dataclass
class Machine:
    """A machine as its worker reports it, and the state of the commands that were sent to it.

    Guarded by the machine registry's lock. All times are monotonic, in seconds.
    """

    name: str
    type: str
    zone: str
    spot: bool
    address: tuple[str, int] | None = None  # to which direct commands are sent
    session: int = 0  # of the worker; increases with each start of the worker
    sequence: int = 0  # of the newest heartbeat or answer to direct commands within the session
    token: int = 0  # the highest fencing token that the worker has confirmed
    reclaim_at: float | None = None  # when the cloud provider will take the machine back, if it has announced that
    last_heartbeat: float = 0.0
    first_heartbeat: float = 0.0
    last_direct_answer: float = 0.0  # when direct commands were last answered
    tasks: dict[TaskKey, TaskReport] = field(default_factory=dict)
    running_since: dict[TaskKey, float] = field(default_factory=dict)  # when each task was first reported as running
    # ended tasks whose outcome has been evaluated; prevents counting a failure again at each reconciliation
    evaluated_ends: set[TaskKey] = field(default_factory=set)
    answered_token: int = 0  # the highest fencing token sent in an answer to a heartbeat
    report_sequence: int = 0  # of the newest heartbeat, not counting answers to direct commands
    starts: StartTracker = field(default_factory=StartTracker)
    # since when there have been ended tasks that the worker can't be told to forget yet, see `can_forget`
    forgetting_deferred_since: float | None = None
    deferred_forgets: int = 0  # number of these tasks
    stop_requests: dict[TaskKey, float] = field(default_factory=dict)  # task to be stopped -> grace period in seconds
    # cached image -> size in GB, least recently used first
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    failures: dict[str, float] = field(default_factory=dict)  # job -> time of its last failure on this machine
    draining: bool = False
    idle_since: float | None = None
    releasing: bool = False
    needs_reconciliation: bool = True  # its allocations haven't been compared with the newest report

    def apply_heartbeat(self, report: Report, now: float, direct: bool) -> bool:
        """Apply a heartbeat, or with `direct` an answer to direct commands.

        Returns False if it is outdated: the worker no longer waits for an answer to it.
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
        # otherwise an answer to direct commands overtook this heartbeat, which has no news but must be answered
        return True

    def _begin_session(self) -> None:
        self.starts = StartTracker()  # in a new session the worker executes no command sent to an earlier one
        self.answered_token = 0
        self.stop_requests.clear()
        self.running_since.clear()
        self.evaluated_ends.clear()
        self.report_sequence = 0

    def _accept_sequence(self, report: Report, now: float) -> bool:
        """Return whether a heartbeat is newer than all before; if so, it may prove that the machine is reachable."""
        if report.sequence <= self.report_sequence:
            return False
        self.report_sequence = report.sequence
        # A heartbeat proves that the machine is reachable only if it carries the fencing token of the answer to an
        # earlier one, which the worker has then received. The first heartbeat to a new shard holder needs no such
        # proof. Without this rule a machine that receives no answers, or a dead one whose old heartbeats are delivered
        # late, would be considered reachable.
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
        self.evaluated_ends &= self.tasks.keys()
        for key in [key for key in self.running_since if key not in self.tasks]:
            del self.running_since[key]

    def can_no_longer_start(self, key: TaskKey) -> bool:
        """Whether no start command sent for a task that isn't in the last report can be executed any more."""
        return not self.starts.may_still_execute(key, self.report_sequence)

    def can_forget(self, key: TaskKey) -> bool:
        """Whether the worker may be told to forget an ended attempt, that is, whether it can't run again after that.

        A start has no effect while the worker knows the attempt, or once the worker has confirmed a higher fencing
        token. A direct start that may be delivered a second time therefore defers forgetting. That holds for done
        tasks, too: started again, one occupies its machine until it exits.
        """
        return self.can_no_longer_start(key) and not self.starts.may_be_repeated(key, self.token)

    def record_image_use(self, image: str, gb: float, cache_gb: float) -> None:
        """Mark an image as most recently used, and evict the least recently used ones beyond `cache_gb`."""
        self.images[image] = gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
