"""The agent's worker with real processes, given commands as a controller would give them."""

import contextlib
import functools
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tidebend.agent.output import TaskOutput, read_latest
from tidebend.agent.processes import boot_id, kill_recorded_processes, read_process_info
from tidebend.agent.worker import StaleCommandError, Worker
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog, WriteAheadLogError
from tidebend.messages import Description, GangVerdict, JoinResponse, ProcessLimits
from tidebend.protocol import Command
from tidebend.protocol.worker import DirectCommands, ReportAnswer

JOB = "req-1"
CONFIG = JoinResponse("vm-1", "here", 0.2, 60.0, 1.0, 1.0, 4.0, 0.0, 4.0, {"control": "127.0.0.1:1"})


class AgentHarness:
    """A worker without a control connection; the test acts as its control service."""

    def __init__(self, directory, lease_s=60.0, **descriptions):
        self.descriptions = {f"req-{name}": description for name, description in descriptions.items()}
        self.write_ahead_log = WriteAheadLog(directory)
        config = CONFIG if lease_s == 60.0 else JoinResponse("vm-1", "here", 0.2, lease_s, 1.0, 1.0, 4.0, 0.0, 4.0, {})
        self.missing_descriptions = []
        self.worker = Worker(
            directory,
            self.write_ahead_log,
            config,
            "127.0.0.1:1",
            "small",
            self.missing_descriptions.append,
            lambda: None,
            lambda: None,
        )
        # A sync may take seconds on a busy disk, and no test here is about that time.
        self.worker.call = functools.partial(self.worker.call, timeout=30.0)
        self.thread = self.worker.start()
        self.worker.call(lambda: None)  # returns once the session has begun

    @property
    def session(self):
        return self.worker.session

    def answer(self, *commands, token=1, session=None, sent=None):
        session = self.session if session is None else session
        sent = time.clock_gettime(time.CLOCK_BOOTTIME) if sent is None else sent
        return self.worker.call(lambda: self.worker.apply_answer(ReportAnswer(token, list(commands)), session, sent))

    def direct(self, *commands, token=1, session=None):
        session = self.session if session is None else session
        return self.worker.call(lambda: self.worker.execute_direct(DirectCommands(token, session, list(commands))))

    def start(self, *indexes, job=JOB, attempt=1, **more):
        self.answer(*(Command("start", job, index, attempt) for index in indexes), **more)
        self.describe()

    def describe(self):
        while self.missing_descriptions:
            job = self.missing_descriptions.pop()
            self.worker.call(lambda job=job: self.worker.apply_description(job, self.descriptions.get(job)))

    def states(self):
        rows = self.worker.call(self.worker.report)[0]["pieces"]
        return {row["piece"].partition("/")[2]: (row["tide"], row.get("cause")) for row in rows}

    def wait_until(self, condition, timeout_s=30.0):
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, self.states()
            time.sleep(0.01)

    def wait_for_state(self, index, *expected):
        self.wait_until(
            lambda: self.states().get(str(index)) == (expected if len(expected) == 2 else (*expected, None))
        )

    def end(self):
        if self.thread.is_alive():
            self.worker.call(self.worker.stop, timeout=20.0)
            self.thread.join(10.0)
        self.write_ahead_log.close()


@pytest.fixture
def start_agent(tmp_path):
    harnesses = []

    def make(lease_s=60.0, directory=tmp_path / "agent", **descriptions):
        harnesses.append(AgentHarness(directory, lease_s, **descriptions))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.end()


def shell_task(text, **more):
    return Description(["sh", "-c", text], **more)


def read_pids(path):
    return [int(line) for line in Path(path).read_text().split()] if Path(path).exists() else []


def has_exited(pid):
    info = read_process_info(pid)
    return info is None or info.has_exited


def test_tasks_end_as_they_end(start_agent, tmp_path):
    agent = start_agent(
        **{
            "1": shell_task("echo $TIDEBEND_TASK of $TIDEBEND_TASKS; exit $TIDEBEND_TASK", tasks=2),
            "2": Description(["/no/such/program"]),
            "3": shell_task("true", directory="/no/such/place"),
        }
    )
    agent.start(0, 1)
    agent.wait_for_state(0, "ended", "done")
    agent.wait_for_state(1, "ended", "error")
    assert read_latest(agent.worker.outputs, JOB, 1, 100) == (1, b"1 of 2\n")
    agent.start(2, job="req-2")
    agent.wait_for_state(2, "ended", "error")
    agent.start(3, job="req-3")
    agent.wait_for_state(3, "ended", "error")
    agent.start(4, job="req-4")  # a job without a description
    agent.wait_for_state(4, "ended", "no_such")
    assert agent.write_ahead_log.recorded_processes() == []


def test_commands_repeated_late_and_in_order(start_agent, tmp_path):
    log = tmp_path / "log"
    agent = start_agent(**{"1": shell_task(f"echo $$ >> {log}; sleep 60")})
    start, kill = Command("start", JOB, 0, 1), Command("stop", JOB, 0, 1, 0.0)
    clear = Command("forget", JOB, 0, 1)
    agent.start(0)
    agent.wait_for_state(0, "running")
    agent.answer(start, start)
    agent.direct(start, clear)  # a running task isn't forgotten, a known attempt isn't started again
    agent.answer(Command("start", JOB, 0, 2))  # nor another attempt at the same time
    assert agent.states()["0"] == ("ended", "in_use")
    agent.answer(Command("forget", JOB, 0, 2))
    agent.wait_until(lambda: len(read_pids(log)) == 1)
    agent.direct(kill, kill)
    agent.wait_for_state(0, "ended", "stopped")
    agent.answer(start)
    assert agent.states()["0"] == ("ended", "stopped")
    agent.direct(clear, Command("start", JOB, 0, 2))
    agent.describe()
    agent.wait_until(lambda: len(read_pids(log)) == 2)


def run_and_forget(agent, log):
    """Run a task to its end by direct commands under token 1, and let the agent forget it."""
    agent.direct(Command("start", JOB, 0, 1))
    agent.describe()
    agent.wait_for_state(0, "ended", "done")
    agent.direct(Command("forget", JOB, 0, 1))
    assert agent.states() == {}
    assert len(read_pids(log)) == 1


def test_a_late_copy_of_a_start_that_was_carried_out_and_forgotten_runs_nothing(start_agent, tmp_path):
    """Guards against running a user's command twice, also after its job was called done or cancelled."""
    log = tmp_path / "log"
    agent = start_agent(**{"1": shell_task(f"echo $$ >> {log}")})
    start = Command("start", JOB, 0, 1)
    run_and_forget(agent, log)
    for _ in range(3):
        agent.direct(start)
        agent.describe()
        assert agent.states() == {}
    agent.answer(token=2)
    with pytest.raises(StaleCommandError):
        agent.direct(start, token=1)
    # the same attempt under a higher token is a new command, as for a gang's task that is started again
    agent.direct(start, token=2)
    agent.describe()
    agent.wait_for_state(0, "ended", "done")
    assert len(read_pids(log)) == 2


def test_a_start_in_an_answer_that_a_direct_command_repeated_is_remembered(start_agent, tmp_path):
    """Guards against a late copy of the direct command."""
    log = tmp_path / "log"
    agent = start_agent(**{"1": shell_task(f"echo $$ >> {log}; sleep 0.2")})
    agent.start(0)
    agent.direct(Command("start", JOB, 0, 1))
    agent.wait_for_state(0, "ended", "done")
    agent.direct(Command("forget", JOB, 0, 1), Command("start", JOB, 0, 1))
    agent.describe()
    assert agent.states() == {}
    assert len(read_pids(log)) == 1


def test_a_late_copy_of_a_start_runs_nothing_after_the_agent_was_killed(start_agent, tmp_path):
    """Guards against running a user's command twice: what was forgotten isn't durable, but the session changes."""
    directory, log = tmp_path / "agent", tmp_path / "log"
    script = (
        f"import sys, time; sys.path.insert(0, {str(Path.cwd())!r}); from pathlib import Path\n"
        "from tests.test_agent import AgentHarness, run_and_forget, shell_task\n"
        f"log = Path({str(log)!r})\n"
        f"agent = AgentHarness(Path({str(directory)!r}), **{{'1': shell_task('echo $$ >> {log}')}})\n"
        "run_and_forget(agent, log)\nprint(agent.session, flush=True)\ntime.sleep(60)"
    )
    killed = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE)
    session = int(killed.stdout.readline())
    killed.kill()
    killed.wait()
    agent = start_agent(directory=directory, **{"1": shell_task(f"echo $$ >> {log}")})
    with pytest.raises(StaleCommandError):
        agent.direct(Command("start", JOB, 0, 1), session=session)
    agent.describe()
    assert agent.states() == {}
    assert len(read_pids(log)) == 1


def test_beyond_the_bound_on_remembered_attempts_none_is_forgotten(start_agent, tmp_path, monkeypatch):
    """Guards against a late copy that starts an attempt which the agent remembered no longer."""
    monkeypatch.setattr("tidebend.agent.worker.MAX_FORGOTTEN_ATTEMPTS", 1)
    agent = start_agent(**{"1": shell_task("true", tasks=2)})
    starts = [Command("start", JOB, index, 1) for index in range(2)]
    forgets = [Command("forget", JOB, index, 1) for index in range(2)]
    agent.direct(*starts)
    agent.describe()
    agent.wait_until(lambda: set(agent.states().values()) == {("ended", "done")})
    agent.direct(*forgets)
    agent.direct(*starts)
    agent.describe()
    assert agent.states() == {"1": ("ended", "done")}
    agent.answer(*forgets, token=2)
    assert agent.states() == {}


def test_a_lower_token_or_another_session_is_not_obeyed(start_agent, tmp_path):
    agent = start_agent(**{"1": shell_task("sleep 60")})
    start = Command("start", JOB, 0, 1)
    assert agent.answer(token=7)
    assert not agent.answer(start, token=6)
    assert not agent.answer(start, token=None)
    assert not agent.answer(start, token=9, session=agent.session - 1)
    for token, session in ((6, agent.session), (7, agent.session - 1), (8, agent.session + 1)):
        with pytest.raises(StaleCommandError):
            agent.direct(start, token=token, session=session)
    assert agent.states() == {}
    assert agent.worker.token == 7
    # the token and the session are durable
    agent.end()
    again = start_agent()
    assert again.worker.token == 7
    assert again.session == agent.session + 1


def test_without_answers_all_ends_and_a_later_session_begins(start_agent, tmp_path):
    log = tmp_path / "log"
    agent = start_agent(
        lease_s=2.5, **{"1": shell_task(f"echo $$ >> {log}; setsid sh -c 'echo $$ >> {log}; sleep 60' & sleep 60")}
    )
    agent.start(0)
    agent.wait_until(lambda: len(read_pids(log)) == 2)
    session = agent.session
    agent.wait_until(lambda: agent.session == session + 1)
    assert agent.states() == {}
    assert all(has_exited(pid) for pid in read_pids(log))
    assert not agent.answer(Command("start", JOB, 0, 1), session=session)
    assert agent.states() == {}


def test_an_answer_renews_from_when_its_report_was_sent(start_agent):
    agent = start_agent(lease_s=1.0, **{"1": shell_task("sleep 60")})
    agent.start(0)
    session, sent = agent.session, time.clock_gettime(time.CLOCK_BOOTTIME)
    for _ in range(4):  # repeated answers, all to the same old report
        time.sleep(0.3)
        with contextlib.suppress(AssertionError):
            agent.answer(sent=sent, session=session)
    assert agent.session == session + 1


@pytest.mark.parametrize(
    "text",
    [
        "trap '' TERM; echo $$ >> LOG; while true; do sleep 0.1; done",
        "echo $$ >> LOG; (echo $$; sleep NAP) & (setsid sh -c 'echo $$ >> LOG; sleep NAP' &) ; sleep NAP",
        "echo $$ >> LOG; setsid setsid sh -c 'echo $$ >> LOG; env -i sleep NAP' & sleep NAP",
    ],
)
def test_whatever_a_task_does_when_told_to_stop_nothing_of_it_is_left(start_agent, tmp_path, text):
    log = tmp_path / "log"
    duration = f"60.{os.getpid()}"  # unique, to find these processes among all of this machine
    agent = start_agent(lease_s=4.0, **{"1": shell_task(text.replace("LOG", str(log)).replace("NAP", duration))})
    agent.start(0)
    agent.wait_until(lambda: len(read_pids(log)) == (1 if "trap" in text else 2))
    agent.direct(Command("stop", JOB, 0, 1, 0.0))
    agent.wait_for_state(0, "ended", "stopped")
    assert all(has_exited(pid) for pid in read_pids(log))
    left = subprocess.run(["pgrep", "-f", f"^sleep {duration}$"], capture_output=True, text=True).stdout
    assert left == ""


def test_what_outlives_a_task_that_ended_well_ends_with_it(start_agent, tmp_path):
    log = tmp_path / "log"
    agent = start_agent(
        **{"1": shell_task(f"setsid sh -c 'echo $$ >> {log}; sleep 65' & while [ ! -s {log} ]; do sleep 0.02; done")}
    )
    agent.start(0)
    agent.wait_for_state(0, "ended", "done")
    assert len(read_pids(log)) == 1
    assert all(has_exited(pid) for pid in read_pids(log))


def test_a_task_that_ended_before_it_was_told_to_stop_is_done(start_agent):
    agent = start_agent(**{"1": shell_task("true"), "2": shell_task("trap 'exit 0' TERM; sleep 60 & wait")})
    agent.start(0)
    agent.wait_for_state(0, "ended", "done")
    agent.direct(Command("stop", JOB, 0, 1, 0.0))
    assert agent.states()["0"] == ("ended", "done")
    agent.start(1, job="req-2")
    agent.wait_for_state(1, "running")
    agent.direct(Command("stop", "req-2", 1, 1, 0.0))
    # it exits with 0, but was told to stop, so it may not have completed its work
    agent.wait_for_state(1, "ended", "stopped")


def test_saving_needs_a_place_and_the_time(start_agent, tmp_path):
    saves = "trap 'sleep 0.1; echo x > $TIDEBEND_CHECKPOINT/c; exit 0' TERM; sleep 60 & wait"
    agent = start_agent(**{"1": shell_task(saves, checkpoints=str(tmp_path / "c"), checkpoint_s=1.0, save_s=1.0)})
    agent.start(0, 1, 2)
    for index in range(3):
        agent.wait_for_state(index, "running")
    time.sleep(0.2)
    agent.direct(
        Command("stop", JOB, 0, 1, 5.0),
        Command("stop", JOB, 1, 1, 5.0),
        Command("stop", JOB, 1, 1, 0.0),
        Command("stop", JOB, 2, 1, 0.5),
    )
    for index in range(3):
        agent.wait_for_state(index, "ended", "stopped")
    rows = {row["piece"]: row.get("stored") for row in agent.worker.call(agent.worker.report)[0]["pieces"]}
    assert rows == {f"{JOB}/0": True, f"{JOB}/1": None, f"{JOB}/2": None}
    assert (tmp_path / "c" / JOB / "0" / "c").exists()


def test_output_is_bounded_and_the_newest_is_kept(start_agent, tmp_path):
    agent = start_agent(
        **{"1": shell_task("i=0; while [ $i -lt 20000 ]; do echo line $i; i=$((i+1)); done", output_kb=8)}
    )
    agent.start(0)
    agent.wait_for_state(0, "ended", "done")
    _attempt, data = read_latest(agent.worker.outputs, JOB, 0, 10**6)
    assert data.endswith(b"line 19999\n")
    assert len(data) <= 8 * 1024
    output = TaskOutput(tmp_path / "o", 1000)
    output.write(b"a" * 499 + b"b" * 600)
    output.close()
    assert sum(path.stat().st_size for path in (tmp_path / "o").iterdir()) <= 1000


def test_output_is_never_renamed_over_a_file(tmp_path, monkeypatch):
    """Renaming over a file took 0.1 to 0.3 s on a busy disk, and blocked the agent."""
    renamed, real = [], Path.rename

    def rename(path, target):
        assert not Path(target).exists()
        renamed.append(target)
        return real(path, target)

    monkeypatch.setattr(Path, "rename", rename)
    monkeypatch.setattr(os, "replace", None)
    output = TaskOutput(tmp_path / "o", 2048)
    output.write(b"x" * 10_000)
    output.close()
    assert len(renamed) == 9


def test_more_than_there_is_room_for_is_refused(start_agent):
    agent = start_agent(
        **{
            "1": shell_task("sleep 60", cpus=3.0),
            "2": shell_task("sleep 60", cpus=2.0),
            "3": shell_task("sleep 60", memory_gb=5.0),
        }
    )
    agent.start(0)
    agent.wait_for_state(0, "running")
    agent.start(1, job="req-2")
    agent.wait_for_state(1, "ended", "full")
    agent.start(2, job="req-3")
    agent.wait_for_state(2, "ended", "full")
    agent.direct(Command("stop", JOB, 0, 1, 0.0))
    agent.wait_for_state(0, "ended", "stopped")
    agent.start(3, job="req-2")
    agent.wait_for_state(3, "running")


def test_bounds_are_kept_by_the_system(start_agent):
    grab = "import sys; b = bytearray(int(sys.argv[1]))"
    agent = start_agent(
        **{
            "1": Description([sys.executable, "-c", grab, str(10**9)], bounds=ProcessLimits(memory_gb=0.3)),
            "2": Description([sys.executable, "-c", grab, "1000"], bounds=ProcessLimits(memory_gb=0.3)),
            "3": shell_task(
                "ulimit -n; exec dd if=/dev/zero of=big bs=1M count=3", bounds=ProcessLimits(file_mb=2, open_files=64)
            ),
        }
    )
    for index, job in enumerate(("req-1", "req-2", "req-3")):
        agent.start(index, job=job)
    agent.wait_for_state(0, "ended", "error")
    agent.wait_for_state(1, "ended", "done")
    agent.wait_for_state(2, "ended", "error")
    assert read_latest(agent.worker.outputs, "req-3", 2, 1000)[1].startswith(b"64\n")


def test_an_image_is_made_ready_once_for_all_who_wait(start_agent, tmp_path):
    log = tmp_path / "log"
    make = ["sh", "-c", f"echo $$ >> {log}; sleep 0.3; echo built > file"]
    use = shell_task("cat $TIDEBEND_IMAGE/file", image="img", prepare=make)
    agent = start_agent(
        **{
            "1": use,
            "2": shell_task("true", image="bad", prepare=["sh", "-c", "echo why; exit 3"]),
            "4": shell_task("true", image="gang", prepare=["sleep", "0.3"], kind="gang", tasks=2),
            "3": shell_task("true", image="slow", prepare=["sh", "-c", f"echo $$ >> {log}; sleep 69"]),
        }
    )
    agent.start(0, 1, 2)
    assert agent.states() == {str(index): ("fetching", None) for index in range(3)}
    for index in range(3):
        agent.wait_for_state(index, "ended", "done")
    agent.start(3)
    agent.wait_for_state(3, "ended", "done")
    assert len(read_pids(log)) == 1
    assert read_latest(agent.worker.outputs, JOB, 2, 100) == (1, b"built\n")
    agent.start(4, job="req-2")
    agent.wait_for_state(4, "ended", "error")
    agent.start(5, job="req-3")
    agent.wait_until(lambda: len(read_pids(log)) == 2)
    agent.direct(Command("stop", "req-3", 5, 1, 0.0))  # no other task waits for the image
    agent.wait_for_state(5, "ended", "stopped")
    agent.wait_until(lambda: has_exited(read_pids(log)[1]))
    assert not (agent.worker.directory / "images/slow.ready").exists()
    # a gang's task isn't counted as waiting until its image is ready
    agent.start(6, job="req-4")
    assert agent.worker.call(agent.worker.gang_members) == []
    agent.wait_until(lambda: [phase for _, phase in agent.worker.call(agent.worker.gang_members)] == ["waiting"])
    agent.wait_until(lambda: agent.worker.call(agent.write_ahead_log.recorded_processes) == [])


def test_gang_tasks_start_and_end_together(start_agent):
    agent = start_agent(
        **{
            "1": shell_task("sleep 0.$((TIDEBEND_TASK + 1)); exit 0", kind="gang", tasks=2),
            "2": shell_task("sleep 60", kind="gang", tasks=2),
        }
    )
    agent.start(0, 1)
    assert {state for state, _ in agent.states().values()} == {"waiting"}

    def send_verdict(verdict):
        return [
            agent.worker.call(lambda task=task: agent.worker.apply_gang_verdict(task, GangVerdict(verdict)))
            for task, _ in agent.worker.call(agent.worker.gang_members)
        ]

    send_verdict("start")
    agent.wait_until(lambda: [phase for _, phase in agent.worker.call(agent.worker.gang_members)] == ["finished"] * 2)
    assert {state for state, _ in agent.states().values()} == {"running"}  # until all are known to have finished
    send_verdict("done")
    assert set(agent.states().values()) == {("ended", "done")}
    agent.answer(*(Command("forget", JOB, index, 1) for index in (0, 1)))
    agent.start(0, 1, job="req-2")
    send_verdict("start")
    send_verdict("mates_gone")
    agent.wait_until(lambda: set(agent.states().values()) == {("ended", "mates_gone")})
    agent.answer(*(Command("forget", "req-2", index, 1) for index in (0, 1)))
    agent.start(0, job="req-2", attempt=2)
    agent.wait_for_state(0, "ended", "incomplete")  # the other task never starts


def test_an_agent_that_returns_ends_what_it_had_begun(start_agent, tmp_path):
    directory, log = tmp_path / "agent", tmp_path / "log"
    script = (
        f"import sys, time; sys.path.insert(0, {str(Path.cwd())!r}); from pathlib import Path\n"
        "from tests.test_agent import AgentHarness, shell_task, Command\n"
        f"agent = AgentHarness(Path({str(directory)!r}), **{{'1': shell_task('echo $$ >> {log}; sleep 66')}})\n"
        "agent.start(0, 1, 2)\nprint('up', flush=True)\ntime.sleep(60)"
    )
    first_agent = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE)
    first_agent.stdout.readline()
    deadline = time.monotonic() + 10.0
    while len(read_pids(log)) < 3 and time.monotonic() < deadline:
        time.sleep(0.02)
    first_agent.kill()
    first_agent.wait()
    assert len(read_pids(log)) == 3
    assert not any(has_exited(pid) for pid in read_pids(log))
    agent = start_agent(directory=directory)
    assert all(has_exited(pid) for pid in read_pids(log))
    assert agent.states() == {}
    assert agent.write_ahead_log.recorded_processes() == []


@pytest.mark.parametrize("fault", ["agent.written-down", "agent.begun", "agent.identified"])
def test_killed_at_each_step_of_a_start_nothing_runs_unknown(start_agent, tmp_path, fault):
    directory, log = tmp_path / "agent", tmp_path / "log"
    script = (
        f"import sys, time; sys.path.insert(0, {str(Path.cwd())!r}); from pathlib import Path\n"
        "from tests.test_agent import AgentHarness, shell_task\n"
        f"agent = AgentHarness(Path({str(directory)!r}), **{{'1': shell_task('echo $$ >> {log}; sleep 67')}})\n"
        "agent.start(0, 1)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], env={**os.environ, "TIDEBEND_FAULT": fault}, stderr=subprocess.DEVNULL
    )
    assert done.returncode == -signal.SIGKILL
    time.sleep(0.2)
    assert read_pids(log) == []  # no process was released to execute the command
    agent = start_agent(directory=directory, **{"1": shell_task(f"echo $$ >> {log}; sleep 67")})
    assert agent.write_ahead_log.recorded_processes() == []
    agent.start(0, 1)
    agent.wait_until(lambda: len(read_pids(log)) == 2)


def test_on_a_full_disk_nothing_starts_that_isnt_written_down(start_agent, tmp_path):
    log = tmp_path / "log"
    agent = start_agent(**{"1": shell_task(f"echo $$ >> {log}; sleep 70")})
    agent.start(0)
    agent.wait_until(lambda: len(read_pids(log)) == 1)

    def limit_disk(full):
        pages = agent.write_ahead_log._connection.execute("PRAGMA page_count").fetchone()[0]
        agent.write_ahead_log._connection.execute(f"PRAGMA max_page_count = {pages if full else 10**6}")

    agent.worker.call(lambda: limit_disk(True))
    agent.start(*range(1, 200), attempt=1)
    agent.wait_until(lambda: ("ended", "error") in agent.states().values())
    running = [index for index, state in agent.states().items() if state == ("running", None)]
    agent.wait_until(lambda: len(read_pids(log)) == len(running))
    assert {row.task for row in agent.write_ahead_log.recorded_processes() if row.pid} == {
        f"{JOB}/{index}" for index in running
    }
    agent.worker.call(lambda: limit_disk(False))
    agent.answer(*(Command("stop", JOB, int(index), 1, 0.0) for index in running))
    agent.wait_until(lambda: agent.worker.call(agent.write_ahead_log.recorded_processes) == [])


def test_a_process_id_that_was_given_to_another_is_left_alone(tmp_path):
    write_ahead_log = WriteAheadLog(tmp_path)
    other = subprocess.Popen(["sleep", "68"])
    try:
        info = read_process_info(other.pid)
        row = StartedProcess("mark", "t/0", other.pid, info.start_ticks - 1, boot_id())
        write_ahead_log.record_starts([row])
        write_ahead_log.record_pids([row])
        assert kill_recorded_processes(write_ahead_log)
        assert write_ahead_log.recorded_processes() == []
        assert other.poll() is None
    finally:
        other.kill()
        other.wait()
        write_ahead_log.close()


def test_a_diary_of_a_newer_version_is_refused(tmp_path):
    WriteAheadLog(tmp_path).close()
    import sqlite3

    with sqlite3.connect(tmp_path / "diary.db") as db:
        db.execute("PRAGMA user_version = 99")
    with pytest.raises(WriteAheadLogError, match="newer"):
        WriteAheadLog(tmp_path)
