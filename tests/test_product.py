"""Settings files, job files and commands end to end: errors name line and field, and a restart loses nothing."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from tidebend.access import Keyring, client_ssl_context
from tidebend.agent.settings import load_agent_settings
from tidebend.client import main
from tidebend.client.jobfile import read_jobs
from tidebend.control import load_control_settings
from tidebend.control.settings import StoreSettings, Times
from tidebend.hcl import HclFileError
from tidebend.kvstore import Engine

ROOT = Path(__file__).resolve().parent.parent


def test_the_files_under_deploy_hold_the_defaults():
    settings = load_control_settings(str(ROOT / "deploy/local.hcl"))
    assert settings.times == Times()
    assert settings.state == StoreSettings()
    assert settings.controller_settings(1, "127.0.0.1").teams["everyone"].cpus_max is None
    assert load_agent_settings(str(ROOT / "deploy/agent.hcl")).kind == "local"
    jobs = {job.name: job for job in read_jobs(str(ROOT / "deploy/example-jobs.hcl"))}
    assert jobs["build"].awaits == (jobs["fetch"].job,)
    assert list(jobs).index("fetch") < list(jobs).index("build")
    assert jobs["build"].description.bounds.memory_gb == 1


MACHINE = 'machine "m" {\n  cpus = 1\n  memory_gb = 1\n}\n'
WRONG_SETTINGS = [
    (MACHINE + 'listen = "10.0.0.1:80"\n', "5: listen: 10.0.0.1:80: beyond loopback"),
    (MACHINE + 'listen = "0.0.0.0:80"\n', "5: listen: 0.0.0.0:80: name one address"),
    (MACHINE + 'listen = "here"\n', "5: listen: 'here' is not HOST:PORT"),
    (MACHINE + "times {\n  lease_s = 3\n}\n", "6: times.lease_s: expected at least four times report_s"),
    (MACHINE + "times {\n  cancel_s = 9\n}\n", "6: times.cancel_s: expected at least 1.5 lease_s"),
    (MACHINE + "times {\n  report_s = -1\n}\n", "6: times.report_s: Expected `float` > 0"),
    (MACHINE + "times {\n}\ntimes {\n}\n", "times: expected one block"),
    (MACHINE + 'state {\n  listen = "10.0.0.1:1"\n}\n', "6: state.listen: 10.0.0.1:1: beyond loopback"),
    (MACHINE + "speed = 3\n", "5: speed: Object contains unknown field `speed`"),
    (MACHINE + MACHINE, "machine.m: duplicate block"),
    ('machine "m" {\n  cpus = 1\n}\n', "1: machine.m: Object missing required field `memory_gb`"),
    ('machine "m" {\n  cpus = 1\n  memory_gb = 1\n  agents = 3\n  most = 2\n}\n', "expected 0 <= agents <= most"),
    ("machine {\n  cpus = 1\n}\n", 'expected machine "LABEL"'),
    ("", "expected at least one machine"),
    ('machine "m" {\n  cpus = = 1\n}\n', "2: not HCL"),
    (b'zone = "\xff"\n', "1: not UTF-8"),
]


@pytest.mark.parametrize(("text", "expected"), WRONG_SETTINGS)
def test_wrong_settings_are_told_by_line_and_field(tmp_path, text, expected):
    path = tmp_path / "control.hcl"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(HclFileError) as caught:
        load_control_settings(str(path))
    assert str(caught.value).startswith(str(path))
    assert expected in str(caught.value)


WRONG_JOBS = [
    ('job "a" {\n  command = ["x"]\n  tasks = 0\n}\n', "3: job.a.tasks: Expected `int` >= 1"),
    ('job "a" {\n  command = []\n}\n', "2: job.a.command: Expected `array` of length >= 1"),
    ('job "a" {\n  command = ["x", 3]\n}\n', "2: job.a.command: Expected `str`, got `int`"),
    ('job "a" {\n  comand = ["x"]\n}\n', "2: job.a.comand"),
    ('job "a" {\n  command = ["x"]\n  after = ["b"]\n}\n', "3: job.a.after: 'b' is neither"),
    ('job "a" {\n  command = ["x"]\n  after = ["a"]\n}\n', "3: job.a.after: these jobs wait for each other"),
    (
        'job "s" {\n  command = ["x"]\n  kind = "service"\n}\njob "a" {\n  command = ["x"]\n  after = ["s"]\n}\n',
        "7: job.a.after: 's' is a service",
    ),
    ('job "a" {\n  command = ["x"]\n  limits {\n    memory_gb = 0\n  }\n}\n', "4: job.a.limits.memory_gb: Expected"),
    ('job "a b" {\n  command = ["x"]\n}\n', "1: job.a b: Expected `str` matching"),
    ("jobs = 3\n", "1: jobs: unknown name; expected job"),
]


@pytest.mark.parametrize(("text", "expected"), WRONG_JOBS)
def test_a_wrong_job_file_is_told_by_line_and_field(tmp_path, text, expected):
    path = tmp_path / "jobs.hcl"
    path.write_text(text)
    with pytest.raises(HclFileError) as caught:
        read_jobs(str(path))
    assert str(caught.value).startswith(f"{path}:")
    assert expected in str(caught.value)


class Service:
    def __init__(self, directory, *arguments):
        self.environment = {**os.environ, "TIDEBEND_DATA": str(directory), "COLUMNS": "200"}
        self.process = subprocess.Popen(
            [sys.executable, "run.py", "up", *arguments],
            cwd=ROOT,
            env=self.environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        while "serves on" not in self.process.stdout.readline():
            assert self.process.poll() is None

    def __call__(self, *arguments, status=0):
        process = subprocess.run(
            [sys.executable, "run.py", *arguments],
            cwd=ROOT,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert process.returncode == status, (arguments, process.stdout, process.stderr)
        return process.stdout if status == 0 else process.stderr

    def stop(self):
        self.process.send_signal(signal.SIGINT)
        self.process.communicate(timeout=30)
        return self.process.returncode


@pytest.mark.timeout(120)
def test_from_the_first_start_to_the_second(tmp_path):
    service = Service(tmp_path)
    try:
        (row,) = json.loads(
            service(
                "submit",
                "--json",
                "--tasks",
                "3",
                "--cpus",
                "0.1",
                "--wait",
                "--",
                "sh",
                "-c",
                "echo said by $TIDEBEND_TASK",
            )
        )
        assert row["state"] == "done"
        assert row["done"] == 3
        assert service("logs", f"{row['job']}/2") == "said by 2\n"
        assert row["job"] in service("list")
        assert row["job"] not in service("list", "--state", "cancelled")
        assert json.loads(service("list", "--json"))[0]["state"] == "done"
        assert "vm-000001" in service("agents")
        assert "vm-000001" in service("top", "--once")
        web = service("submit", "--kind", "service", "--cpus", "0.1", "--", "sleep", "1000").split()[0]
        assert "waiting" not in service("wait", "--timeout", "0.5", web, status=5)
        # invalid commands and arguments
        assert "takes a job FILE" in service("submit", status=2)
        assert "unknown team" in service("submit", "--team", "nobody", "--", "true", status=4)
        assert "no allowed machine type fits" in service("submit", "--cpus", "9999", "--", "true", status=4)
        assert "no such job" in service("status", "req-nothing", status=1)
        assert "no job req-nothing" in service("logs", "req-nothing", status=1)
        assert "another process holds the lock on this directory" in service("up", status=2)
        # keys are created once, can be rotated while the service runs, and are never printed
        secret = json.loads((tmp_path / "keys.json").read_text())["keys"][0]["secret"]
        assert secret not in service("keys", "show")
        assert "already exists" in service("keys", "make", status=3)
        service("keys", "rotate")
        time.sleep(1.0)
        assert service("cancel", web).split()[1] == "cancelled"
        submitted = json.loads(service("submit", "--json", "deploy/example-jobs.hcl"))
        names = {row["name"]: row["job"] for row in submitted}
        service("wait", "--timeout", "40", names["build"], names["numbers"], names["together"])
        assert service("logs", names["build"]) == "built for market day\n"
    finally:
        assert service.stop() == 0
    leftover_processes = subprocess.run(["pgrep", "-f", str(tmp_path)], capture_output=True, text=True).stdout
    assert leftover_processes == ""
    assert "refused" in service("list", "--patience", "0.2", status=3)
    restarted = Service(tmp_path)
    try:
        rows = {row["job"]: row["state"] for row in json.loads(restarted("list", "--json"))}
        assert rows[row["job"]] == "done"
        assert rows[web] == "cancelled"
        assert rows[names["web"]] in ("queued", "running")
        assert restarted("cancel", names["web"]).split()[1] == "cancelled"
    finally:
        restarted.stop()


def test_a_port_in_use_is_told_and_nothing_is_left_half_started(tmp_path, capsys):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        (tmp_path / "control.hcl").write_text(f'{MACHINE}listen = "127.0.0.1:{occupied.getsockname()[1]}"\n')
        assert main(["up", "--data", str(tmp_path)]) == 2
        assert "Address already in use" in capsys.readouterr().err
    assert not (tmp_path / "address").exists()
    Engine(tmp_path / "state").close()  # raises if the lock is still held


@pytest.mark.timeout(60)
def test_everything_inside_tls(tmp_path):
    assert main(["certs", "make", "--data", str(tmp_path), "--host", "127.0.0.1"]) == 0
    rows = "\n".join(
        f'  {key} = "{tmp_path}/tls/{file}"'
        for key, file in (("authority", "authority.pem"), ("certificate", "server.pem"), ("key", "server.key"))
    )
    machine = MACHINE.replace("cpus = 1", "cpus = 1\n  agents = 1")
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        metrics = free.getsockname()
    listen = f'metrics_listen = "127.0.0.1:{metrics[1]}"\n'
    (tmp_path / "control.hcl").write_text(f"{machine}{listen}tls {{\n{rows}\n}}\n")
    service = Service(tmp_path)
    try:
        (row,) = json.loads(service("submit", "--json", "--wait", "--timeout", "30", "--", "echo", "inside"))
        assert row["state"] == "done"
        assert service("logs", row["job"]) == "inside\n"
        context = client_ssl_context(str(tmp_path / "tls/authority.pem"))
        request = urllib.request.Request(f"https://127.0.0.1:{metrics[1]}/metrics")
        with pytest.raises(urllib.error.HTTPError, match="401"):
            urllib.request.urlopen(request, context=context)
        request.add_header("Authorization", f"Bearer {Keyring(tmp_path / 'keys.json').bearer_token()}")
        with urllib.request.urlopen(request, context=context) as response:
            text = response.read().decode()
        assert "tidebend_machines 1.0" in text
        assert "tidebend_turned_away_total" in text
        address, other = (tmp_path / "address").read_text().split()[0], tmp_path / "o/tls/authority.pem"
        assert main(["certs", "make", "--data", str(tmp_path / "o"), "--host", "127.0.0.1"]) == 0
        assert "CERTIFICATE_VERIFY_FAILED" in service(
            "list", "--control", address, "--authority", str(other), "--patience", "0.2", status=3
        )
    finally:
        assert service.stop() == 0
