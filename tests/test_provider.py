"""The local provider: what is rented, what may be called gone, and what a restart knows of it."""

import subprocess
import sys
import time

import pytest

from tidebend.agent.processes import MARK_VARIABLE, boot_id, read_process_info
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog
from tidebend.kvstore import Engine
from tidebend.protocol import rental_request
from tidebend.provider import AgentProcesses, JoinRefusedError, MachineGoneError, MachineTypeSettings, Provider
from tidebend.transport import UnreachableError


class Processes:
    """Stands in for processes of agents."""

    def __init__(self):
        self.up, self.ended, self.stubborn = [], [], set()

    def keep_up(self, name, kind, nonce):
        self.up.append(name)

    def kill(self, name):
        self.ended.append(name)
        return name not in self.stubborn


class Far:
    """Stands in for an agent elsewhere that is told to leave."""

    def __init__(self):
        self.answer = 200

    def request(self, method, path, body=None, timeout=2.0):
        if self.answer is None:
            raise UnreachableError("cut off")
        return self.answer, {}


@pytest.fixture
def engine(tmp_path):
    engine = Engine(tmp_path / "s")
    yield engine
    engine.close()


KINDS = {
    "kept": MachineTypeSettings(1, 1, agents=2),
    "some": MachineTypeSettings(1, 1, most=3),
    "far": MachineTypeSettings(1, 1),
}


def provider(engine, processes=None, far=None):
    return Provider(
        engine, "here", KINDS, processes or Processes(), lambda address: far or Far(), lambda name: ("127.0.0.1", 1)
    )


def listed(provider):
    return {row["id"]: row["tide"] for row in provider.request("GET", "/machines?from=&page=500")[1]["fleet"]}


def release(provider, *names):
    return provider.request("POST", "/machines/release", {"fleet": list(names)})


def test_a_charter_rents_once_and_no_more_than_there_may_be(engine):
    one = provider(engine)
    first = one.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2))
    assert first == (200, {"fleet": ["vm-000001", "vm-000002"]})
    assert one.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2)) == first
    assert one.request("POST", "/machines", rental_request("c-2", "some", "here", False, 5)) == (
        200,
        {"fleet": ["vm-000003"]},
    )
    for again in (rental_request("c-3", "some", "here", False, 1), rental_request("c-4", "kept", "here", True, 1)):
        assert one.request("POST", "/machines", again) == (503, {"error": "no capacity"})
    assert one.request("POST", "/machines", rental_request("c-5", "none", "here", False, 1))[0] == 400
    # a restart knows both
    again = provider(engine)
    assert again.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2)) == first
    assert set(listed(again)) == {"vm-000001", "vm-000002", "vm-000003"}


def test_those_that_are_kept_are_kept_and_names_never_come_back(engine):
    processes = Processes()
    one = provider(engine, processes)
    one.tend_once()
    assert processes.up == ["vm-000001", "vm-000002"]
    assert set(listed(one).values()) == {"starting"}
    assert release(one, "vm-000001") == (200, {})
    assert processes.ended == ["vm-000001"]
    assert set(listed(one)) == {"vm-000002"}
    one.tend_once()
    assert set(listed(one)) == {"vm-000002", "vm-000003"}
    assert release(one, "vm-000001", "vm-999999") == (200, {})  # gone, and never heard of


def test_only_what_is_certainly_gone_is_called_so(engine):
    processes, far = Processes(), Far()
    one = provider(engine, processes, far)
    one.tend_once()
    name = one.join("n1", "far", "garage", [])
    processes.stubborn, far.answer = {"vm-000001"}, None
    status, body = release(one, "vm-000001", "vm-000002", name)
    assert (status, body["fleet"]) == (409, ["vm-000002"])
    assert set(listed(one)) == {"vm-000001", name}
    far.answer = 409  # it says that it is another machine by now: no proof either
    assert release(one, name)[0] == 409
    far.answer = 200
    assert release(one, name) == (200, {})
    assert name not in listed(one)


def test_an_agent_that_joins_again_is_the_machine_that_it_was(engine):
    one = provider(engine)
    name = one.join("n1", "far", "garage", [])
    assert one.join("n1", "far", "garage", []) == name
    assert provider(engine).join("n1", "far", "garage", []) == name
    with pytest.raises(JoinRefusedError, match="is of type far"):
        one.join("n1", "some", "garage", [])
    with pytest.raises(JoinRefusedError, match="none of kept, some, far"):
        one.join("n2", "huge", "garage", [])
    # it left, nobody heard its answer, and it comes as another: the one before is gone by its own word
    other = one.join("n3", "far", "garage", [name])
    assert set(listed(one)) == {other}
    with pytest.raises(MachineGoneError):
        one.join("n1", "far", "garage", [])
    assert one.forget(other)
    assert not one.forget(other)
    assert listed(one) == {}


def test_an_agent_is_ended_with_all_that_its_diary_names(tmp_path):
    processes = AgentProcesses(tmp_path, "127.0.0.1:1", tmp_path / "keys", 0.0, None)
    task = subprocess.Popen(["sleep", "71"], env={MARK_VARIABLE: "m1", "PATH": "/bin:/usr/bin"}, start_new_session=True)
    stray = subprocess.Popen(
        ["sleep", "72"], env={MARK_VARIABLE: "m2", "PATH": "/bin:/usr/bin"}, start_new_session=True
    )
    holder = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys, time; from pathlib import Path\n"
            "from tidebend.kvstore import DirectoryLock\n"
            "from tidebend.agent.write_ahead_log import WriteAheadLog\n"
            "from tidebend.agent.processes import read_process_info, boot_id\n"
            "import os; place = Path(sys.argv[1]); lock = DirectoryLock(place); d = WriteAheadLog(place)\n"
            "started = str(read_process_info(os.getpid()).start_ticks)\n"
            "d.set_facts(pid=str(os.getpid()), started=started, boot=boot_id())\n"
            "print('up', flush=True); time.sleep(73)",
            str(tmp_path / "vm-1"),
        ],
        stdout=subprocess.PIPE,
    )
    try:
        holder.stdout.readline()
        write_ahead_log = WriteAheadLog(tmp_path / "vm-1")
        rows = [
            StartedProcess("m1", "t/0", task.pid, read_process_info(task.pid).start_ticks, boot_id()),
            StartedProcess("m2", "t/1"),
        ]
        write_ahead_log.record_starts(rows)
        write_ahead_log.record_pids(rows[:1])  # of the other it was killed before it knew
        write_ahead_log.close()
        time.sleep(0.1)
        assert processes.kill("vm-1")
        assert [each.wait(5.0) for each in (task, stray, holder)] == [-9, -9, -9]
        write_ahead_log = WriteAheadLog(tmp_path / "vm-1")
        assert write_ahead_log.recorded_processes() == []
        assert write_ahead_log.get_fact("gone") == "1"
        write_ahead_log.close()
    finally:
        for each in (task, stray, holder):
            each.kill()
            each.wait()
