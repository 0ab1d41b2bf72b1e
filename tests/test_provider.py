"""The local provider: rentals, proof that a released machine is gone, and what a restart reads back."""

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


class FakeAgentProcesses:
    """A test double of AgentProcesses."""

    def __init__(self):
        self.started, self.killed, self.unkillable = [], [], set()

    def ensure_running(self, name, kind, nonce):
        self.started.append(name)

    def kill(self, name):
        self.killed.append(name)
        return name not in self.unkillable


class FakeRemoteAgent:
    """A test double of the client of an agent elsewhere, which is asked to leave."""

    def __init__(self):
        self.status = 200

    def request(self, method, path, body=None, timeout=2.0):
        if self.status is None:
            raise UnreachableError("cut off")
        return self.status, {}


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


def make_provider(engine, processes=None, remote_agent=None):
    return Provider(
        engine,
        "here",
        KINDS,
        processes or FakeAgentProcesses(),
        lambda address: remote_agent or FakeRemoteAgent(),
        lambda name: ("127.0.0.1", 1),
    )


def listed(provider):
    return {row["id"]: row["tide"] for row in provider.request("GET", "/machines?from=&page=500")[1]["fleet"]}


def release(provider, *names):
    return provider.request("POST", "/machines/release", {"fleet": list(names)})


def test_a_charter_rents_once_and_no_more_than_there_may_be(engine):
    local = make_provider(engine)
    first = local.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2))
    assert first == (200, {"fleet": ["vm-000001", "vm-000002"]})
    assert local.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2)) == first
    assert local.request("POST", "/machines", rental_request("c-2", "some", "here", False, 5)) == (
        200,
        {"fleet": ["vm-000003"]},
    )
    for again in (rental_request("c-3", "some", "here", False, 1), rental_request("c-4", "kept", "here", True, 1)):
        assert local.request("POST", "/machines", again) == (503, {"error": "no capacity"})
    assert local.request("POST", "/machines", rental_request("c-5", "none", "here", False, 1))[0] == 400
    # both survive a restart
    again = make_provider(engine)
    assert again.request("POST", "/machines", rental_request("c-1", "some", "here", False, 2)) == first
    assert set(listed(again)) == {"vm-000001", "vm-000002", "vm-000003"}


def test_those_that_are_kept_are_kept_and_names_never_come_back(engine):
    processes = FakeAgentProcesses()
    local = make_provider(engine, processes)
    local.reconcile_once()
    assert processes.started == ["vm-000001", "vm-000002"]
    assert set(listed(local).values()) == {"starting"}
    assert release(local, "vm-000001") == (200, {})
    assert processes.killed == ["vm-000001"]
    assert set(listed(local)) == {"vm-000002"}
    local.reconcile_once()
    assert set(listed(local)) == {"vm-000002", "vm-000003"}
    assert release(local, "vm-000001", "vm-999999") == (200, {})  # one is gone, the other has never existed


def test_only_what_is_certainly_gone_is_called_so(engine):
    processes, remote_agent = FakeAgentProcesses(), FakeRemoteAgent()
    local = make_provider(engine, processes, remote_agent)
    local.reconcile_once()
    name = local.join("n1", "far", "garage", [])
    processes.unkillable, remote_agent.status = {"vm-000001"}, None
    status, body = release(local, "vm-000001", "vm-000002", name)
    assert (status, body["fleet"]) == (409, ["vm-000002"])
    assert set(listed(local)) == {"vm-000001", name}
    remote_agent.status = 409  # the agent answers that it is another machine by now, which proves nothing either
    assert release(local, name)[0] == 409
    remote_agent.status = 200
    assert release(local, name) == (200, {})
    assert name not in listed(local)


def test_an_agent_that_joins_again_is_the_machine_that_it_was(engine):
    local = make_provider(engine)
    name = local.join("n1", "far", "garage", [])
    assert local.join("n1", "far", "garage", []) == name
    assert make_provider(engine).join("n1", "far", "garage", []) == name
    with pytest.raises(JoinRefusedError, match="is of type far"):
        local.join("n1", "some", "garage", [])
    with pytest.raises(JoinRefusedError, match="none of kept, some, far"):
        local.join("n2", "huge", "garage", [])
    # the agent left but its answer was lost; it joins as another machine and reports that it left the previous one
    other = local.join("n3", "far", "garage", [name])
    assert set(listed(local)) == {other}
    with pytest.raises(MachineGoneError):
        local.join("n1", "far", "garage", [])
    assert local.forget(other)
    assert not local.forget(other)
    assert listed(local) == {}


def test_an_agent_is_ended_with_all_that_its_diary_names(tmp_path):
    processes = AgentProcesses(tmp_path, "127.0.0.1:1", tmp_path / "keys", 0.0, None)
    task = subprocess.Popen(["sleep", "71"], env={MARK_VARIABLE: "m1", "PATH": "/bin:/usr/bin"}, start_new_session=True)
    unidentified = subprocess.Popen(
        ["sleep", "72"], env={MARK_VARIABLE: "m2", "PATH": "/bin:/usr/bin"}, start_new_session=True
    )
    agent = subprocess.Popen(
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
        agent.stdout.readline()
        write_ahead_log = WriteAheadLog(tmp_path / "vm-1")
        rows = [
            StartedProcess("m1", "t/0", task.pid, read_process_info(task.pid).start_ticks, boot_id()),
            StartedProcess("m2", "t/1"),
        ]
        write_ahead_log.record_starts(rows)
        write_ahead_log.record_pids(rows[:1])  # the agent was killed before it recorded the other pid
        write_ahead_log.close()
        time.sleep(0.1)
        assert processes.kill("vm-1")
        assert [process.wait(5.0) for process in (task, unidentified, agent)] == [-9, -9, -9]
        write_ahead_log = WriteAheadLog(tmp_path / "vm-1")
        assert write_ahead_log.recorded_processes() == []
        assert write_ahead_log.get_fact("gone") == "1"
        write_ahead_log.close()
    finally:
        for process in (task, unidentified, agent):
            process.kill()
            process.wait()
