"""An agent against every kind of task and order: real processes, commands given as a controller would."""

import contextlib
import functools
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tidebend.agent.output import Output, read
from tidebend.agent.processes import boot_id, kill_recorded_processes, read_process_info
from tidebend.agent.worker import StaleCommandError, Worker
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog, WriteAheadLogError
from tidebend.messages import Description, GangVerdict, JoinResponse, ProcessLimits
from tidebend.protocol import Command
from tidebend.protocol.worker import DirectCommands, ReportAnswer

JOB = "req-1"
TERMS = JoinResponse("vm-1", "here", 0.2, 60.0, 1.0, 1.0, 4.0, 0.0, 4.0, {"control": "127.0.0.1:1"})


class Agent:
    """A worker without its calls: the test is its control service."""

    def __init__(self, directory, lease_s=60.0, **descriptions):
        self.descriptions = {f"req-{name}": description for name, description in descriptions.items()}
        self.write_ahead_log = WriteAheadLog(directory)
        terms = TERMS if lease_s == 60.0 else JoinResponse("vm-1", "here", 0.2, lease_s, 1.0, 1.0, 4.0, 0.0, 4.0, {})
        self.wanted = []
        self.worker = Worker(
            directory,
            self.write_ahead_log,
            terms,
            "127.0.0.1:1",
            "small",
            self.wanted.append,
            lambda: None,
            lambda: None,
        )
        # a disk that others keep busy takes seconds for a sync at times; nothing here is about how long that is
        self.worker.call = functools.partial(self.worker.call, timeout=30.0)
        self.thread = self.worker.start()
        self.worker.call(lambda: None)  # its session has begun

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
        while self.wanted:
            job = self.wanted.pop()
            self.worker.call(lambda job=job: self.worker.apply_description(job, self.descriptions.get(job)))

    def states(self):
        rows = self.worker.call(self.worker.report)[0]["pieces"]
        return {row["piece"].partition("/")[2]: (row["tide"], row.get("cause")) for row in rows}

    def until(self, what, seconds=30.0):
        deadline = time.monotonic() + seconds
        while not what():
            assert time.monotonic() < deadline, self.states()
            time.sleep(0.01)

    def until_state(self, index, *wanted):
        self.until(lambda: self.states().get(str(index)) == (wanted if len(wanted) == 2 else (*wanted, None)))

    def end(self):
        if self.thread.is_alive():
            self.worker.call(self.worker.stop, timeout=20.0)
            self.thread.join(10.0)
        self.write_ahead_log.close()


@pytest.fixture
def agent(tmp_path):
    made = []

    def make(lease_s=60.0, directory=tmp_path / "agent", **descriptions):
        made.append(Agent(directory, lease_s, **descriptions))
        return made[-1]

    yield make
    for each in made:
        each.end()


def sh(text, **more):
    return Description(["sh", "-c", text], **more)


def pids(path):
    return [int(line) for line in Path(path).read_text().split()] if Path(path).exists() else []


def gone(pid):
    seen = read_process_info(pid)
    return seen is None or seen.dead


def test_tasks_end_as_they_end(agent, tmp_path):
    one = agent(
        **{
            "1": sh("echo $TIDEBEND_TASK of $TIDEBEND_TASKS; exit $TIDEBEND_TASK", tasks=2),
            "2": Description(["/no/such/program"]),
            "3": sh("true", directory="/no/such/place"),
        }
    )
    one.start(0, 1)
    one.until_state(0, "ended", "done")
    one.until_state(1, "ended", "error")
    assert read(one.worker.outputs, JOB, 1, 100) == (1, b"1 of 2\n")
    one.start(2, job="req-2")
    one.until_state(2, "ended", "error")
    one.start(3, job="req-3")
    one.until_state(3, "ended", "error")
    one.start(4, job="req-4")  # nobody has described it
    one.until_state(4, "ended", "no_such")
    assert one.write_ahead_log.recorded_processes() == []


def test_commands_repeated_late_and_in_order(agent, tmp_path):
    log = tmp_path / "log"
    one = agent(**{"1": sh(f"echo $$ >> {log}; sleep 60")})
    start, kill = Command("start", JOB, 0, 1), Command("stop", JOB, 0, 1, 0.0)
    clear = Command("forget", JOB, 0, 1)
    one.start(0)
    one.until_state(0, "running")
    one.answer(start, start)
    one.direct(start, clear)  # a running task isn't cleared, a known attempt isn't started again
    one.answer(Command("start", JOB, 0, 2))  # nor another attempt beside it
    assert one.states()["0"] == ("ended", "in_use")
    one.answer(Command("forget", JOB, 0, 2))
    one.until(lambda: len(pids(log)) == 1)
    one.direct(kill, kill)
    one.until_state(0, "ended", "stopped")
    one.answer(start)
    assert one.states()["0"] == ("ended", "stopped")
    one.direct(clear, Command("start", JOB, 0, 2))
    one.describe()
    one.until(lambda: len(pids(log)) == 2)


def test_a_lower_token_or_another_session_is_not_obeyed(agent, tmp_path):
    one = agent(**{"1": sh("sleep 60")})
    start = Command("start", JOB, 0, 1)
    assert one.answer(token=7)
    assert not one.answer(start, token=6)
    assert not one.answer(start, token=None)
    assert not one.answer(start, token=9, session=one.session - 1)
    for token, session in ((6, one.session), (7, one.session - 1), (8, one.session + 1)):
        with pytest.raises(StaleCommandError):
            one.direct(start, token=token, session=session)
    assert one.states() == {}
    assert one.worker.token == 7
    # what it has seen outlasts it
    one.end()
    again = agent()
    assert again.worker.token == 7
    assert again.session == one.session + 1


def test_without_answers_all_ends_and_a_later_session_begins(agent, tmp_path):
    log = tmp_path / "log"
    one = agent(lease_s=2.5, **{"1": sh(f"echo $$ >> {log}; setsid sh -c 'echo $$ >> {log}; sleep 60' & sleep 60")})
    one.start(0)
    one.until(lambda: len(pids(log)) == 2)
    session = one.session
    one.until(lambda: one.session == session + 1)
    assert one.states() == {}
    assert all(gone(pid) for pid in pids(log))
    assert not one.answer(Command("start", JOB, 0, 1), session=session)
    assert one.states() == {}


def test_an_answer_renews_from_when_its_report_was_sent(agent):
    one = agent(lease_s=1.0, **{"1": sh("sleep 60")})
    one.start(0)
    session, sent = one.session, time.clock_gettime(time.CLOCK_BOOTTIME)
    for _ in range(4):  # answers keep coming, all to an old report
        time.sleep(0.3)
        with contextlib.suppress(AssertionError):
            one.answer(sent=sent, session=session)
    assert one.session == session + 1


@pytest.mark.parametrize(
    "text",
    [
        "trap '' TERM; echo $$ >> LOG; while true; do sleep 0.1; done",
        "echo $$ >> LOG; (echo $$; sleep NAP) & (setsid sh -c 'echo $$ >> LOG; sleep NAP' &) ; sleep NAP",
        "echo $$ >> LOG; setsid setsid sh -c 'echo $$ >> LOG; env -i sleep NAP' & sleep NAP",
    ],
)
def test_whatever_a_task_does_when_told_to_stop_nothing_of_it_is_left(agent, tmp_path, text):
    log = tmp_path / "log"
    nap = f"60.{os.getpid()}"  # known again among all others of this machine
    one = agent(lease_s=4.0, **{"1": sh(text.replace("LOG", str(log)).replace("NAP", nap))})
    one.start(0)
    one.until(lambda: len(pids(log)) == (1 if "trap" in text else 2))
    one.direct(Command("stop", JOB, 0, 1, 0.0))
    one.until_state(0, "ended", "stopped")
    assert all(gone(pid) for pid in pids(log))
    left = subprocess.run(["pgrep", "-f", f"^sleep {nap}$"], capture_output=True, text=True).stdout
    assert left == ""


def test_what_outlives_a_task_that_ended_well_ends_with_it(agent, tmp_path):
    log = tmp_path / "log"
    one = agent(**{"1": sh(f"setsid sh -c 'echo $$ >> {log}; sleep 65' & while [ ! -s {log} ]; do sleep 0.02; done")})
    one.start(0)
    one.until_state(0, "ended", "done")
    assert len(pids(log)) == 1
    assert all(gone(pid) for pid in pids(log))


def test_a_task_that_ended_before_it_was_told_to_stop_is_done(agent):
    one = agent(**{"1": sh("true"), "2": sh("trap 'exit 0' TERM; sleep 60 & wait")})
    one.start(0)
    one.until_state(0, "ended", "done")
    one.direct(Command("stop", JOB, 0, 1, 0.0))
    assert one.states()["0"] == ("ended", "done")
    one.start(1, job="req-2")
    one.until_state(1, "running")
    one.direct(Command("stop", "req-2", 1, 1, 0.0))
    # it says 0, but it was told to stop: nobody knows whether it was through
    one.until_state(1, "ended", "stopped")


def test_saving_needs_a_place_and_the_time(agent, tmp_path):
    saves = "trap 'sleep 0.1; echo x > $TIDEBEND_CHECKPOINT/c; exit 0' TERM; sleep 60 & wait"
    one = agent(**{"1": sh(saves, checkpoints=str(tmp_path / "c"), checkpoint_s=1.0, save_s=1.0)})
    one.start(0, 1, 2)
    for index in range(3):
        one.until_state(index, "running")
    time.sleep(0.2)
    one.direct(
        Command("stop", JOB, 0, 1, 5.0),
        Command("stop", JOB, 1, 1, 5.0),
        Command("stop", JOB, 1, 1, 0.0),
        Command("stop", JOB, 2, 1, 0.5),
    )
    for index in range(3):
        one.until_state(index, "ended", "stopped")
    rows = {row["piece"]: row.get("stored") for row in one.worker.call(one.worker.report)[0]["pieces"]}
    assert rows == {f"{JOB}/0": True, f"{JOB}/1": None, f"{JOB}/2": None}
    assert (tmp_path / "c" / JOB / "0" / "c").exists()


def test_output_is_bounded_and_the_newest_is_kept(agent, tmp_path):
    one = agent(**{"1": sh("i=0; while [ $i -lt 20000 ]; do echo line $i; i=$((i+1)); done", output_kb=8)})
    one.start(0)
    one.until_state(0, "ended", "done")
    _attempt, data = read(one.worker.outputs, JOB, 0, 10**6)
    assert data.endswith(b"line 19999\n")
    assert len(data) <= 8 * 1024
    output = Output(tmp_path / "o", 1000)
    output.add(b"a" * 499 + b"b" * 600)
    output.close()
    assert sum(path.stat().st_size for path in (tmp_path / "o").iterdir()) <= 1000


def test_output_is_never_renamed_over_a_file(tmp_path, monkeypatch):
    """On a busy disk that took 0.1 to 0.3 s each time, and the agent stood still meanwhile."""
    renamed, real = [], Path.rename

    def rename(path, target):
        assert not Path(target).exists()
        renamed.append(target)
        return real(path, target)

    monkeypatch.setattr(Path, "rename", rename)
    monkeypatch.setattr(os, "replace", None)
    output = Output(tmp_path / "o", 2048)
    output.add(b"x" * 10_000)
    output.close()
    assert len(renamed) == 9


def test_more_than_there_is_room_for_is_refused(agent):
    one = agent(**{"1": sh("sleep 60", cpus=3.0), "2": sh("sleep 60", cpus=2.0), "3": sh("sleep 60", memory_gb=5.0)})
    one.start(0)
    one.until_state(0, "running")
    one.start(1, job="req-2")
    one.until_state(1, "ended", "full")
    one.start(2, job="req-3")
    one.until_state(2, "ended", "full")
    one.direct(Command("stop", JOB, 0, 1, 0.0))
    one.until_state(0, "ended", "stopped")
    one.start(3, job="req-2")
    one.until_state(3, "running")


def test_bounds_are_kept_by_the_system(agent):
    grab = "import sys; b = bytearray(int(sys.argv[1]))"
    one = agent(
        **{
            "1": Description([sys.executable, "-c", grab, str(10**9)], bounds=ProcessLimits(memory_gb=0.3)),
            "2": Description([sys.executable, "-c", grab, "1000"], bounds=ProcessLimits(memory_gb=0.3)),
            "3": sh(
                "ulimit -n; exec dd if=/dev/zero of=big bs=1M count=3", bounds=ProcessLimits(file_mb=2, open_files=64)
            ),
        }
    )
    for index, job in enumerate(("req-1", "req-2", "req-3")):
        one.start(index, job=job)
    one.until_state(0, "ended", "error")
    one.until_state(1, "ended", "done")
    one.until_state(2, "ended", "error")
    assert read(one.worker.outputs, "req-3", 2, 1000)[1].startswith(b"64\n")


def test_an_image_is_made_ready_once_for_all_who_wait(agent, tmp_path):
    log = tmp_path / "log"
    make = ["sh", "-c", f"echo $$ >> {log}; sleep 0.3; echo built > file"]
    use = sh("cat $TIDEBEND_IMAGE/file", image="img", prepare=make)
    one = agent(
        **{
            "1": use,
            "2": sh("true", image="bad", prepare=["sh", "-c", "echo why; exit 3"]),
            "4": sh("true", image="gang", prepare=["sleep", "0.3"], kind="gang", tasks=2),
            "3": sh("true", image="slow", prepare=["sh", "-c", f"echo $$ >> {log}; sleep 69"]),
        }
    )
    one.start(0, 1, 2)
    assert one.states() == {str(index): ("fetching", None) for index in range(3)}
    for index in range(3):
        one.until_state(index, "ended", "done")
    one.start(3)
    one.until_state(3, "ended", "done")
    assert len(pids(log)) == 1
    assert read(one.worker.outputs, JOB, 2, 100) == (1, b"built\n")
    one.start(4, job="req-2")
    one.until_state(4, "ended", "error")
    one.start(5, job="req-3")
    one.until(lambda: len(pids(log)) == 2)
    one.direct(Command("stop", "req-3", 5, 1, 0.0))  # nobody waits for it any more
    one.until_state(5, "ended", "stopped")
    one.until(lambda: gone(pids(log)[1]))
    assert not (one.worker.directory / "images/slow.ready").exists()
    # a gang's task without its image isn't there yet for its mates
    one.start(6, job="req-4")
    assert one.worker.call(one.worker.gang_members) == []
    one.until(lambda: [phase for _, phase in one.worker.call(one.worker.gang_members)] == ["waiting"])
    one.until(lambda: one.worker.call(one.write_ahead_log.recorded_processes) == [])


def test_gang_tasks_start_and_end_together(agent):
    one = agent(
        **{
            "1": sh("sleep 0.$((TIDEBEND_TASK + 1)); exit 0", kind="gang", tasks=2),
            "2": sh("sleep 60", kind="gang", tasks=2),
        }
    )
    one.start(0, 1)
    assert {state for state, _ in one.states().values()} == {"waiting"}

    def tell(verdict):
        return [
            one.worker.call(lambda task=task: one.worker.apply_gang_verdict(task, GangVerdict(verdict)))
            for task, _ in one.worker.call(one.worker.gang_members)
        ]

    tell("start")
    one.until(lambda: [phase for _, phase in one.worker.call(one.worker.gang_members)] == ["finished"] * 2)
    assert {state for state, _ in one.states().values()} == {"running"}  # until all are known to be through
    tell("done")
    assert set(one.states().values()) == {("ended", "done")}
    one.answer(*(Command("forget", JOB, index, 1) for index in (0, 1)))
    one.start(0, 1, job="req-2")
    tell("start")
    tell("mates_gone")
    one.until(lambda: set(one.states().values()) == {("ended", "mates_gone")})
    one.answer(*(Command("forget", "req-2", index, 1) for index in (0, 1)))
    one.start(0, job="req-2", attempt=2)
    one.until_state(0, "ended", "incomplete")  # nobody else comes


def test_an_agent_that_returns_ends_what_it_had_begun(agent, tmp_path):
    directory, log = tmp_path / "agent", tmp_path / "log"
    script = (
        f"import sys, time; sys.path.insert(0, {str(Path.cwd())!r}); from pathlib import Path\n"
        "from tests.test_agent import Agent, sh, Command\n"
        f"one = Agent(Path({str(directory)!r}), **{{'1': sh('echo $$ >> {log}; sleep 66')}})\n"
        "one.start(0, 1, 2)\nprint('up', flush=True)\ntime.sleep(60)"
    )
    before = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE)
    before.stdout.readline()
    deadline = time.monotonic() + 10.0
    while len(pids(log)) < 3 and time.monotonic() < deadline:
        time.sleep(0.02)
    before.kill()
    before.wait()
    assert len(pids(log)) == 3
    assert not any(gone(pid) for pid in pids(log))
    one = agent(directory=directory)
    assert all(gone(pid) for pid in pids(log))
    assert one.states() == {}
    assert one.write_ahead_log.recorded_processes() == []


@pytest.mark.parametrize("fault", ["agent.written-down", "agent.begun", "agent.identified"])
def test_killed_at_each_step_of_a_start_nothing_runs_unknown(agent, tmp_path, fault):
    directory, log = tmp_path / "agent", tmp_path / "log"
    script = (
        f"import sys, time; sys.path.insert(0, {str(Path.cwd())!r}); from pathlib import Path\n"
        "from tests.test_agent import Agent, sh\n"
        f"one = Agent(Path({str(directory)!r}), **{{'1': sh('echo $$ >> {log}; sleep 67')}})\n"
        "one.start(0, 1)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], env={**os.environ, "TIDEBEND_FAULT": fault}, stderr=subprocess.DEVNULL
    )
    assert done.returncode == -signal.SIGKILL
    time.sleep(0.2)
    assert pids(log) == []  # none of them had the word to go on
    one = agent(directory=directory, **{"1": sh(f"echo $$ >> {log}; sleep 67")})
    assert one.write_ahead_log.recorded_processes() == []
    one.start(0, 1)
    one.until(lambda: len(pids(log)) == 2)


def test_on_a_full_disk_nothing_starts_that_isnt_written_down(agent, tmp_path):
    log = tmp_path / "log"
    one = agent(**{"1": sh(f"echo $$ >> {log}; sleep 70")})
    one.start(0)
    one.until(lambda: len(pids(log)) == 1)

    def full(yes):
        pages = one.write_ahead_log._connection.execute("PRAGMA page_count").fetchone()[0]
        one.write_ahead_log._connection.execute(f"PRAGMA max_page_count = {pages if yes else 10**6}")

    one.worker.call(lambda: full(True))
    one.start(*range(1, 200), attempt=1)
    one.until(lambda: ("ended", "error") in one.states().values())
    running = [index for index, state in one.states().items() if state == ("running", None)]
    one.until(lambda: len(pids(log)) == len(running))
    assert {row.task for row in one.write_ahead_log.recorded_processes() if row.pid} == {
        f"{JOB}/{index}" for index in running
    }
    one.worker.call(lambda: full(False))
    one.answer(*(Command("stop", JOB, int(index), 1, 0.0) for index in running))
    one.until(lambda: one.worker.call(one.write_ahead_log.recorded_processes) == [])


def test_a_process_id_that_was_given_to_another_is_left_alone(tmp_path):
    write_ahead_log = WriteAheadLog(tmp_path)
    other = subprocess.Popen(["sleep", "68"])
    try:
        seen = read_process_info(other.pid)
        row = StartedProcess("mark", "t/0", other.pid, seen.start_ticks - 1, boot_id())
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
