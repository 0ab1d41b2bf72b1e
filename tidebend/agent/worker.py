"""The agent's state and its rules: session, lease, token and tasks, all of them changed by one thread.

Reports, direct commands and what the processes do come to this thread one after the other, so that there is one order
of events: commands are executed in theirs, and before anything else it is looked whether the lease has run out. An
agent that stood still (a stopped process, a machine that slept) therefore ends its stale work before it hears of
anything new, and what was meant for its earlier session finds a later one.
"""

from __future__ import annotations

import contextlib
import logging
import os
import queue
import selectors
import shutil
import signal
import sqlite3
import subprocess
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any

from tidebend.agent import output
from tidebend.agent.event_log import EventLog
from tidebend.agent.images import Images
from tidebend.agent.processes import (
    MARK,
    TaskLauncher,
    adopt_orphans,
    boot_id,
    end_children,
    end_leftovers,
    end_marked,
    process_mark,
    reap_strangers,
    signal_group,
)
from tidebend.agent.tasks import Task, inherited
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog
from tidebend.faults import point
from tidebend.messages import Description, GangVerdict, Joined
from tidebend.protocol import Command
from tidebend.protocol.worker import Answer, Direct, report

log = logging.getLogger("agent")

READ_BYTES = 65536
# a task that is told to stop has this share of a lease before it is killed, unless it saves
STOP_SHARE = 0.2
MOST_WAITING = 1024


class StaleCommandError(Exception):
    """Direct commands with a lower token, or for another session; nothing was executed."""


def steady() -> float:
    """Seconds that also pass while the machine sleeps, so that no lease outlives a sleep."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Worker:
    def __init__(
        self,
        directory: Path,
        write_ahead_log: WriteAheadLog,
        terms: Joined,
        address: str,
        kind: str,
        fetch: Callable[[str], None],
        muster: Callable[[], None],
        changed: Callable[[], None],
    ) -> None:
        """`fetch` asks for a job's description, `muster` has gangs' tasks meet, `changed` has it reported."""
        self.directory = directory
        self.outputs = directory / "tasks"
        self.terms = terms
        self.address = address
        self.kind = kind
        self._diary = write_ahead_log
        self._fetch = fetch
        self._muster = muster
        self._changed = changed
        self.session = int(write_ahead_log.fact("session", "0"))
        self.token = int(write_ahead_log.fact("token", "0"))
        self._sequence = 0
        self._lease_end = 0.0
        self._token_told = 0.0
        self._tasks: dict[tuple[str, int, int], Task] = {}  # by job, index and attempt
        self._descriptions: dict[str, Description] = {}
        self._inbox: queue.Queue[tuple[Callable[[], Any], Future]] = queue.Queue(MOST_WAITING)
        self._selector = selectors.DefaultSelector()
        self._woken, self._wake = os.pipe()
        os.set_blocking(self._woken, False)
        os.set_blocking(self._wake, False)
        self._selector.register(self._woken, selectors.EVENT_READ, None)
        self._ending = False
        self._boot = boot_id()
        self._history = EventLog(directory)
        self._images = Images(directory / "images")
        self._preparing: dict[str, Task] = {}  # image -> the process that makes it ready

    # From other threads

    def ask(self, work: Callable[[], Any], timeout: float = 5.0) -> Any:
        """Have something done by the worker's thread; raises what it raises, or TimeoutError.

        After a TimeoutError it may still be done, in its turn: whoever asks next is answered after that.
        """
        answer: Future = Future()
        try:
            self._inbox.put_nowait((work, answer))
        except queue.Full:
            raise TimeoutError("too much is waiting") from None
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake, b"x")
        return answer.result(timeout)

    def start(self) -> threading.Thread:
        thread = threading.Thread(target=self.run, name="worker", daemon=True)
        thread.start()
        return thread

    # The thread

    def run(self) -> None:
        adopt_orphans()
        self._begin_session()
        while not self._ending:
            for key, _ in self._selector.select(self._pause()):
                if key.data is None:
                    with contextlib.suppress(BlockingIOError):
                        os.read(self._woken, READ_BYTES)
                else:
                    what, task = key.data
                    # guards against an event of a descriptor that was closed, and given to another, a moment ago
                    if what == "exit" and task.pidfd == key.fd:
                        self._exited(task)
                    elif what == "output" and task.pipe == key.fd:
                        self._take_output(task)
            self._look_at_lease()
            self._kill_late()
            while True:
                try:
                    work, answer = self._inbox.get_nowait()
                except queue.Empty:
                    break
                # guards against commands that waited in a socket while this process stood still
                self._look_at_lease()
                try:
                    answer.set_result(work())
                except Exception as error:
                    answer.set_exception(error)

    def _pause(self) -> float:
        now = steady()
        ends = [task.kill_at for task in self._tasks.values() if task.kill_at is not None]
        ends += [
            task.waiting_since + self.terms.gang_wait_s for task in self._tasks.values() if task.state == "waiting"
        ]
        return max(0.0, min([self._lease_end, *ends]) - now) + 0.002

    # Sessions and leases

    def _begin_session(self) -> None:
        """Only when nothing of an earlier one is left: neither of ours, nor of an agent that was here before us."""
        while not end_leftovers(self._diary):
            log.error("processes of an earlier session can't be ended; trying again")
            time.sleep(0.5)
        while True:
            try:
                self._diary.note(session=str(self.session + 1))
                break
            except sqlite3.Error as error:
                # a session that isn't on the disk could come twice; until then nothing is reported
                log.error("no later session can be begun: %s", error)
                time.sleep(0.5)
        self.session += 1
        point("agent.session-noted")
        self._sequence = 0
        self._lease_end = steady() + self.terms.lease_s
        self._history.add("session", steady(), session=self.session, machine=self.terms.machine)
        self._changed()

    def _look_at_lease(self) -> None:
        if steady() <= self._lease_end:
            return
        if self._tasks:
            log.warning("the lease has ended: ending %d tasks", len(self._tasks))
        self._end_everything()
        self._begin_session()

    def _end_everything(self) -> None:
        running = [task for task in [*self._tasks.values(), *self._preparing.values()] if task.process]
        self._preparing.clear()
        for task in running:
            signal_group(task.stub.process.pid, signal.SIGKILL)
        for task in running:
            task.stub.process.wait()
            self._let_go(task)
        self._tasks.clear()
        self._descriptions.clear()

    # Reports

    def report(self) -> tuple[dict[str, Any], int, float]:
        """The body, its session, and the steady time at which it is sent."""
        return self._body(), self.session, steady()

    def _body(self) -> dict[str, Any]:
        self._sequence += 1
        return report(
            self.terms.machine,
            self.address,
            self.kind,
            self.terms.zone,
            False,
            self.session,
            self._sequence,
            self.token,
            None,
            [task.row() for task in self._tasks.values()],
        )

    def answered(self, answer: Answer, session: int, sent: float) -> bool:
        """Take over the answer to a report; False if it had to be dropped."""
        if session != self.session or answer.token is None or answer.token < self.token:
            return False
        self._learn(answer.token)
        self._lease_end = max(self._lease_end, sent + self.terms.lease_s)
        self._execute(answer.commands)
        return True

    def direct(self, asked: Direct) -> dict[str, Any]:
        """Execute direct commands; the body of the answer. They don't renew the lease. Raises Late."""
        if asked.token < self.token or asked.session != self.session:
            raise StaleCommandError
        self._learn(asked.token)
        self._execute(asked.commands)
        return self._body()

    def _learn(self, token: int) -> None:
        if token > self.token:
            self._diary.note(token=str(token))  # first on the disk: whoever gave a lower one is deposed for good
            self.token = token
            now = steady()
            if now - self._token_told > 0.5 * self.terms.lease_s:
                self._token_told = now
                self._changed()

    # Commands

    def _execute(self, commands: list[Command]) -> None:
        starts: list[Task] = []
        for command in commands:
            key = (command.job, command.index, command.attempt)
            task = self._tasks.get(key)
            if command.op == "start":
                if task is None:
                    in_use = any(
                        (other.job, other.index) == key[:2] and other.state != "ended" for other in self._tasks.values()
                    )
                    task = self._tasks[key] = Task(*key)
                    if in_use:
                        task.end("in_use")
                    else:
                        starts.append(task)
                continue
            if starts:  # in order: what comes before is under way before what follows it
                self._begin(starts)
                starts = []
            if task is None:
                continue
            if command.op == "stop":
                self._stop(task, command.grace_s)
            elif task.state == "ended":
                del self._tasks[key]
                self._forget_description(task.job)
        if starts:
            self._begin(starts)
        if commands:
            self._give_up_images()
            self._changed()

    def _forget_description(self, job: str) -> None:
        if not any(other == job for other, _, _ in self._tasks):
            self._descriptions.pop(job, None)
            output.prune(self.outputs, {task.output.directory for task in self._tasks.values() if task.output})

    def described(self, job: str, description: Description | None) -> None:
        """The answer to `fetch`; None: the control service knows no such job."""
        tasks = [
            task
            for task in self._tasks.values()
            if task.job == job and task.description is None and task.state == "fetching"
        ]
        if description is None:
            for task in tasks:
                task.end("no_such")
        elif tasks:
            self._descriptions[job] = description
            self._begin(tasks)
        self._changed()

    def wanted(self) -> list[str]:
        """Jobs whose descriptions are missing."""
        return sorted(
            {task.job for task in self._tasks.values() if task.state == "fetching" and task.description is None}
        )

    # Starts

    def _begin(self, tasks: list[Task]) -> None:
        ready = []
        for task in tasks:
            task.description = self._descriptions.get(task.job)
            if task.description is None:
                self._fetch(task.job)
            elif not self._has_room(task):
                task.end("full")
            elif self._has_image(task):
                if task.gang:
                    task.state, task.waiting_since = "waiting", steady()
                    self._muster()
                else:
                    ready.append(task)
        self._launch(ready)

    def _has_image(self, task: Task) -> bool:
        """If not, it is being made ready, and the task waits as fetching."""
        description = task.description
        assert description is not None
        if not description.prepare or not description.image:
            return True
        if self._images.ready(description.image):
            self._images.used(description.image, self._busy_images())
            return True
        if description.image not in self._preparing:
            first = Task(task.job, task.index, task.attempt, description=description, prepares=True)
            self._preparing[description.image] = first
            self._launch([first])
            if first.state == "ended":
                self._prepared(first)
        return False

    def _busy_images(self) -> set[str]:
        return {task.description.image for task in self._tasks.values() if task.description is not None}

    def _prepared(self, first: Task) -> None:
        """Its process has ended: those who wait for the image go on, or have failed with it."""
        image = first.description.image
        del self._preparing[image]
        waiting = [
            task
            for task in self._tasks.values()
            if task.state == "fetching" and task.description is not None and task.description.image == image
        ]
        if first.why == "done":
            self._images.done(image)
            self._begin(waiting)
        else:
            for task in waiting:
                task.end("error")
        self._changed()

    def _give_up_images(self) -> None:
        """A preparation that no task waits for any more is ended."""
        wanted = {
            task.description.image
            for task in self._tasks.values()
            if task.state == "fetching" and task.description is not None
        }
        for image, first in self._preparing.items():
            if image not in wanted and first.process and first.kill_at is None:
                first.kill_at = steady()
                signal_group(first.stub.process.pid, signal.SIGKILL)

    def _has_room(self, task: Task) -> bool:
        others = [
            other.description
            for other in self._tasks.values()
            if other is not task and other.state != "ended" and other.description is not None
        ]
        mine = task.description
        return all(
            sum(getattr(other, part) for other in others) + getattr(mine, part) <= getattr(self.terms, part) + 1e-6
            for part in ("cpus", "gpus", "memory_gb")
        )

    def _launch(self, tasks: list[Task]) -> None:
        """Written down, begun, known by its process, and only then let go: wherever this ends, nothing is unknown."""
        if not tasks:
            return
        for task in tasks:
            task.mark = uuid.uuid4().hex
        try:
            self._diary.begin([StartedProcess(task.mark, task.name) for task in tasks])
            point("agent.written-down")
            begun = []
            for task in tasks:
                try:
                    begun.append(self._stub(task))
                except (OSError, ValueError) as error:
                    self._failed_to_start(task, error)
            point("agent.begun")
            self._diary.identify(begun)
            point("agent.identified")
        except sqlite3.Error as error:
            # guards against a process that runs without being written down, on a full disk: nobody gets the word
            for task in tasks:
                self._failed_to_start(task, error)
        for task in tasks:
            if task.state != "ended":
                task.state = "running"
                if not task.prepares:
                    self._history.add("begun", steady(), task=task.name, attempt=task.attempt)
                task.stub.go()
        self._diary.ended([task.mark for task in tasks if task.state == "ended"])
        self._changed()

    def _stub(self, task: Task) -> StartedProcess:
        description = task.description
        assert description is not None
        place = output.directory_of(self.outputs, task.job, task.index, task.attempt)
        if task.prepares:
            place = place.with_name(f"{place.name}.prepare")
        task.output = output.Output(place, description.output_kb * 1024)
        image = str(self._images.place(description.image)) if description.image else ""
        directory = Path(description.directory) if description.directory else place / "work"
        if task.prepares:
            directory = self._images.begin(description.image)
        elif not description.directory:
            directory.mkdir(exist_ok=True)
        if description.checkpoints:
            Path(task.environment({})["TIDEBEND_CHECKPOINT"]).mkdir(parents=True, exist_ok=True)
        ours, theirs = os.pipe()
        os.set_blocking(ours, False)
        try:
            task.stub = TaskLauncher(
                description.prepare if task.prepares else description.command,
                {**task.environment(inherited(), image), MARK: task.mark},
                directory,
                theirs,
            )
            task.stub.bound(description.bounds)
        except BaseException:
            os.close(ours)
            raise
        finally:
            os.close(theirs)
        task.pipe = ours
        self._selector.register(ours, selectors.EVENT_READ, ("output", task))
        task.pidfd = os.pidfd_open(task.stub.process.pid)
        self._selector.register(task.pidfd, selectors.EVENT_READ, ("exit", task))
        return StartedProcess(task.mark, task.name, task.stub.process.pid, task.stub.started, self._boot)

    def _failed_to_start(self, task: Task, error: Exception) -> None:
        if task.state == "ended":
            return
        log.warning("%s: can't be started: %s", task.name, error)
        if task.stub is not None:  # it has had no word, and exits without one
            task.stub.drop()
            task.stub.process.wait()
        if task.pidfd >= 0:
            self._selector.unregister(task.pidfd)
            os.close(task.pidfd)
            task.pidfd = -1
        if task.output is not None:
            task.output.add(f"tidebend: can't be started: {error}\n".encode())
            self._close_output(task)
        task.end("error")

    # Ends

    def _stop(self, task: Task, grace_s: float) -> None:
        if task.state == "ended":
            return
        if not task.process:
            task.end("stopped")
            return
        if task.kill_at is not None:
            if task.state == "saving" and grace_s <= 0:
                signal_group(task.stub.process.pid, signal.SIGKILL)
            return
        if task.stub.process.poll() is not None:
            return  # it has ended by itself, and that is what is reported
        description = task.description
        saves = description.checkpoint_s > 0 and bool(description.checkpoints) and grace_s >= description.save_s
        if saves and not task.finished:
            task.state = "saving"
        task.kill_at = steady() + (grace_s if saves else STOP_SHARE * self.terms.lease_s)
        signal_group(task.stub.process.pid, signal.SIGTERM)

    def _kill_late(self) -> None:
        now = steady()
        for task in list(self._tasks.values()):
            if task.kill_at is not None and now >= task.kill_at and task.process:
                signal_group(task.stub.process.pid, signal.SIGKILL)
                task.kill_at = now + 1.0  # again, should it have been missed
            elif task.state == "waiting" and now >= task.waiting_since + self.terms.gang_wait_s:
                task.end("incomplete")
                self._changed()

    def _exited(self, task: Task) -> None:
        """Its first process has ended. The task has ended when all that descends from it is gone as well."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            task.stub.process.wait(0.1)
        status = task.stub.process.returncode
        if status is None:
            return
        signal_group(task.stub.process.pid, signal.SIGKILL)
        self._let_go(task)
        if task.prepares:
            task.end("done" if status == 0 and task.kill_at is None else "error")
            self._prepared(task)
            return
        if task.why == "mates_gone":
            task.end("mates_gone")
        elif task.state == "saving":
            task.end("stopped", saved=status == 0)
        elif task.kill_at is not None:
            # told to stop: whatever it says now, nobody knows whether it was through, and it is run again
            task.end("stopped")
        elif status != 0:
            task.end("error")
        elif task.gang:
            task.finished = True
        else:
            task.end("done")
        if task.gang:
            self._muster()
        self._changed()

    def _let_go(self, task: Task) -> None:
        """After its first process was waited for: end the rest, keep its output, strike it out of the diary."""
        self._selector.unregister(task.pidfd)
        os.close(task.pidfd)
        task.pidfd = -1
        pids = [other.stub.process.pid for other in [*self._tasks.values(), *self._preparing.values()] if other.process]
        marks = {process_mark(seen.pid) for seen in reap_strangers(pids)}
        # what hides its mark can be told from others' only once there are no others
        if task.mark in marks or (None in marks and not pids):
            while end_marked({task.mark}, 5.0) or (not pids and end_children()):
                log.error("%s: what it left behind can't be ended; trying again", task.name)
            reap_strangers(pids)
        if task.pipe >= 0:
            self._take_output(task)
        self._close_output(task)
        shutil.rmtree(task.output.directory / "work", ignore_errors=True)
        self._diary.ended([task.mark])
        if not task.prepares:
            self._history.add(
                "ended", steady(), task=task.name, attempt=task.attempt, status=task.stub.process.returncode
            )

    def _take_output(self, task: Task) -> None:
        for _ in range(16):  # a task that writes without end doesn't keep the others waiting
            try:
                data = os.read(task.pipe, READ_BYTES)
            except BlockingIOError:
                return
            if not data:
                self._selector.unregister(task.pipe)
                os.close(task.pipe)
                task.pipe = -1
                return
            task.output.add(data)

    def _close_output(self, task: Task) -> None:
        if task.pipe >= 0:
            self._selector.unregister(task.pipe)
            os.close(task.pipe)
            task.pipe = -1
        task.output.close()

    # Gangs

    def gathering(self) -> list[tuple[Task, str]]:
        """The gangs' tasks here, each with its phase; those that have ended well say so until they are cleared."""
        found = []
        for task in self._tasks.values():
            if not task.gang or task.state == "fetching":
                continue  # guards against a gang that starts while one of it has no image yet
            if task.state == "ended":
                phase = "finished" if task.why == "done" else "lost"
            elif task.finished:
                phase = "finished"
            elif task.state == "waiting":
                phase = "waiting"
            else:
                phase = "running"
            found.append((task, phase))
        return found

    def mustered(self, task: Task, answer: GangVerdict) -> None:
        if self._tasks.get((task.job, task.index, task.attempt)) is not task:
            return
        if task.kill_at is not None:
            return  # it is being stopped, and may be saving: that comes to its own end
        if answer.verdict == "start" and task.state == "waiting":
            self._launch([task])
        elif answer.verdict == "done" and task.finished and task.state != "ended":
            task.end("done")
            self._changed()
        elif answer.verdict == "mates_gone" and task.state != "ended":
            if task.process:
                task.why = "mates_gone"
                signal_group(task.stub.process.pid, signal.SIGKILL)
            elif task.state != "waiting":
                task.end("mates_gone")
                self._changed()

    # The end

    def stop(self) -> None:
        """End all tasks; what isn't reported is found out by the next session."""
        self._end_everything()
        self._ending = True

    def leave(self) -> None:
        """Give up being this machine: all tasks are ended for good before this returns."""
        self._end_everything()
        # whoever asked may not hear of it; the next life tells it again
        self._diary.note(machine="", nonce="", left=self.terms.machine)
        self._ending = True
