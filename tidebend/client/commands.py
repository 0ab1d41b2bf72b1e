"""The commands `tidebend up, control, agent, submit, status, list, wait, logs, cancel, agents, top, keys, certs`.

Exit status: 0 fine; 1 a job didn't end as it should (or isn't there); 2 wrong words, file or settings; 3 the control
service can't be reached; 4 it refuses; 5 the time was up.
"""

from __future__ import annotations

import argparse
import base64
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tidebend.access import (
    CertificateError,
    KeyFileError,
    Keyring,
    NotLoopbackError,
    certificate_expiry,
    create_keyring,
    make_certificate,
    rotate_keyring,
)
from tidebend.client import rendering
from tidebend.client.api_client import (
    PATIENCE_S,
    ApiClient,
    ControlServiceUnreachableError,
    RequestRejectedError,
    data_directory,
)
from tidebend.client.jobfile import JobBlock, read_jobs, single_job
from tidebend.control.main import KEYS_FILE
from tidebend.hcl import HclFileError
from tidebend.protocol import PRIORITIES
from tidebend.protocol import user as words

TLS = "tls"
FINE, FAILED, WRONG, NO_CONTROL, REFUSED, TIME_UP = range(6)


def _parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="tidebend", description="Run tasks on machines of your own.", epilog=__doc__.partition("\n\n")[2]
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(
        name: str, text: str, run: Callable[[argparse.Namespace], int], desk: bool = True, as_json: bool = True
    ) -> argparse.ArgumentParser:
        parser = commands.add_parser(name, help=text, description=text)
        parser.set_defaults(run=run)
        parser.add_argument(
            "--data", metavar="DIR", help="the control service's directory (default: $TIDEBEND_DATA, else ~/.tidebend)"
        )
        if desk:
            parser.add_argument("--control", metavar="HOST:PORT", help="the control service (default: the one in DIR)")
            parser.add_argument(
                "--authority",
                metavar="FILE",
                help="whose certificates are trusted, for TLS (default: as the one in DIR says)",
            )
            parser.add_argument(
                "--patience",
                type=float,
                default=PATIENCE_S,
                metavar="S",
                help="how long a request is repeated that gets no answer (default: %(default)g)",
            )
            parser.add_argument("--key", metavar="FILE", help="file of keys (default: the one in DIR)")
        if as_json:
            parser.add_argument("--json", action="store_true", help="print JSON")
        return parser

    up = add("up", "Start a control service here with a few agents, until Ctrl-C.", _up, desk=False, as_json=False)
    up.add_argument("--config", metavar="FILE", help="settings (HCL); without it those in DIR, made at the first start")
    control = add("control", "Run the control service alone.", _control, desk=False, as_json=False)
    control.add_argument("--config", metavar="FILE", required=True, help="settings (HCL), see deploy/local.hcl")
    control.add_argument("--check", action="store_true", help="only check the settings")
    agent = add("agent", "Run an agent alone.", _agent, desk=False, as_json=False)
    agent.add_argument("--config", metavar="FILE", required=True, help="settings (HCL), see deploy/agent.hcl")
    agent.add_argument("--check", action="store_true", help="only check the settings")

    submit = add("submit", "Submit the jobs of a file, or one command after --.", _submit)
    submit.add_argument("file", nargs="?", metavar="FILE", help="a job file (HCL)")
    submit.add_argument("--name", default="task", help="name of the job (with --)")
    submit.add_argument("--tasks", type=_whole, default=1, help="number of tasks (with --)")
    submit.add_argument("--kind", choices=["array", "gang", "service"], default="array")
    submit.add_argument("--cpus", type=float, default=1.0)
    submit.add_argument("--memory-gb", type=float, default=0.25)
    submit.add_argument("--team", default="everyone")
    submit.add_argument("--priority", choices=PRIORITIES, default="normal")
    submit.add_argument("--fresh", action="store_true", help="run in a fresh directory instead of this one (with --)")
    submit.add_argument("--wait", action="store_true", help="wait until all are over")
    submit.add_argument("--timeout", type=float, metavar="S", help="with --wait: at most so many seconds")

    status = add("status", "Show jobs.", _status)
    status.add_argument("jobs", nargs="+", metavar="JOB")
    listing = add("list", "List jobs, the newest last.", _list)
    listing.add_argument("--most", type=_whole, default=50, help="at most so many (default: 50)")
    listing.add_argument("--state", choices=["queued", "running", "done", "cancelled"])
    wait = add("wait", "Wait until jobs are over; 0 if all are done.", _wait)
    wait.add_argument("jobs", nargs="+", metavar="JOB")
    wait.add_argument("--timeout", type=float, metavar="S", help="at most so many seconds")
    logs = add("logs", "Print what a task wrote: JOB or JOB/TASK.", _logs)
    logs.add_argument("task", metavar="JOB[/TASK]")
    logs.add_argument("--bytes", type=_whole, default=1024 * 1024, help="the last so many (default: all that is kept)")
    cancel = add("cancel", "Cancel jobs.", _cancel)
    cancel.add_argument("jobs", nargs="+", metavar="JOB")
    agents = add("agents", "List agents.", _agents)
    agents.add_argument(
        "--forget",
        metavar="MACHINE",
        help="your word that this machine and all that it ran is gone for good: its tasks start "
        "elsewhere. Wrong, and they run twice",
    )
    top_command = add("top", "Watch jobs and agents, until Ctrl-C.", _top)
    top_command.add_argument("--every", type=float, default=1.0, metavar="S")
    top_command.add_argument("--once", action="store_true", help="show it once")

    keys = add("keys", "Make, rotate or show keys.", _keys, desk=False)
    keys.add_argument("action", choices=["make", "rotate", "show"])
    keys.add_argument(
        "--overlap",
        type=float,
        default=3600.0,
        metavar="S",
        help="rotate: the keys before are accepted for so long (default: 3600)",
    )
    certs = add("certs", "Make a certificate for TLS beyond loopback, or show those there are.", _certs, desk=False)
    certs.add_argument("action", choices=["make", "show"])
    certs.add_argument(
        "--host",
        action="append",
        default=[],
        dest="hosts",
        metavar="HOST",
        help="make: a name or address that it is for; may be given several times",
    )
    certs.add_argument("--name", default="server", help="make: name of its files (default: server)")
    return top


def _whole(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError("expected a whole number of at least 1")
    return value


def main(argv: list[str]) -> int:
    """Run the command that the arguments name, and return the exit status."""
    command: list[str] = []
    if "--" in argv:
        at = argv.index("--")
        argv, command = argv[:at], argv[at + 1 :]
    arguments = _parser().parse_args(argv)
    arguments.words = command
    if command and arguments.command != "submit":
        return _complain(WRONG, "only `submit` takes a command after --")
    try:
        return arguments.run(arguments)
    except HclFileError as error:
        return _complain(WRONG, str(error))
    except (ControlServiceUnreachableError, NotLoopbackError, KeyFileError, CertificateError) as error:
        return _complain(NO_CONTROL, str(error))
    except RequestRejectedError as error:
        return _complain(FAILED if error.status == 404 else REFUSED, str(error))
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FINE


def _complain(status: int, text: str) -> int:
    print(f"tidebend: {text}", file=sys.stderr)
    return status


def _desk(arguments: argparse.Namespace) -> ApiClient:
    return ApiClient(
        data_directory(arguments.data), arguments.control, arguments.key, arguments.authority, arguments.patience
    )


def _print(arguments: argparse.Namespace, value: Any, shown: Callable[[Any], None]) -> None:
    if arguments.json:
        print(json.dumps(value))
    else:
        shown(value)


# Services: imported only by the command that runs them


def _up(arguments: argparse.Namespace) -> int:
    from tidebend.control.bootstrap import ensure_settings_file

    directory = data_directory(arguments.data)
    path = Path(arguments.config) if arguments.config else ensure_settings_file(directory)
    return _serve(path, directory, rendering.up)


def _control(arguments: argparse.Namespace) -> int:
    return _serve(Path(arguments.config), data_directory(arguments.data), None, arguments.check)


def _serve(path: Path, directory: Path, ready: Callable[[Any], None] | None, check: bool = False) -> int:
    from tidebend import logs
    from tidebend.control import load_control_settings, run_control
    from tidebend.control.main import PortInUseError
    from tidebend.kvstore import DataDamagedError, DirectoryLockedError, StoreUnavailableError

    settings = load_control_settings(str(path))
    if check:
        print(f"{path}: fine")
        return FINE
    logs.configure()
    try:
        return run_control(settings, directory, ready)
    except (DirectoryLockedError, DataDamagedError, PortInUseError) as error:
        return _complain(WRONG, str(error))
    except StoreUnavailableError as error:
        return _complain(NO_CONTROL, f"{directory}: {error}")


def _agent(arguments: argparse.Namespace) -> int:
    from tidebend import logs
    from tidebend.agent.control_connection import AdmissionRefusedError
    from tidebend.agent.main import run_agent
    from tidebend.agent.settings import load_agent_settings
    from tidebend.agent.write_ahead_log import WriteAheadLogError
    from tidebend.kvstore import DirectoryLockedError

    settings = load_agent_settings(arguments.config)
    if arguments.check:
        print(f"{arguments.config}: fine")
        return FINE
    logs.configure()
    try:
        return run_agent(settings)
    except (DirectoryLockedError, WriteAheadLogError) as error:
        return _complain(WRONG, str(error))
    except AdmissionRefusedError as error:
        return _complain(REFUSED, str(error))


# Jobs


def _submit(arguments: argparse.Namespace) -> int:
    if bool(arguments.file) == bool(arguments.words):
        return _complain(WRONG, "submit takes a job FILE, or a command after --")
    if arguments.file:
        ready = read_jobs(arguments.file)
    else:
        ready = [
            single_job(
                JobBlock(
                    command=arguments.words,
                    kind=arguments.kind,
                    tasks=arguments.tasks,
                    team=arguments.team,
                    priority=arguments.priority,
                    cpus=arguments.cpus,
                    memory_gb=arguments.memory_gb,
                    directory=None if arguments.fresh else os.getcwd(),
                ),
                arguments.name,
            )
        ]
    desk = _desk(arguments)
    rows = []
    for job in ready:
        try:
            rows.append({"job": job.job, "name": job.name, "state": desk.submit(job)})
        except (ControlServiceUnreachableError, RequestRejectedError) as error:
            # what was taken stays taken, and has to be named even so
            _print(arguments, rows, rendering.submitted)
            return _complain(REFUSED if isinstance(error, RequestRejectedError) else NO_CONTROL, f"{job.name}: {error}")
    if not arguments.wait:
        _print(arguments, rows, rendering.submitted)
        return FINE
    return _until_over(arguments, desk, [row["job"] for row in rows])


def _status(arguments: argparse.Namespace) -> int:
    desk = _desk(arguments)
    _print(arguments, [desk.job(job) for job in arguments.jobs], rendering.details)
    return FINE


def _list(arguments: argparse.Namespace) -> int:
    jobs = [job for job in _desk(arguments).jobs(arguments.most) if arguments.state in (None, job["state"])]
    _print(arguments, jobs, rendering.jobs)
    return FINE


def _wait(arguments: argparse.Namespace) -> int:
    return _until_over(arguments, _desk(arguments), arguments.jobs)


def _until_over(arguments: argparse.Namespace, desk: ApiClient, names: list[str]) -> int:
    deadline = time.monotonic() + arguments.timeout if arguments.timeout is not None else float("inf")
    pause = 0.05
    with rendering.progress(not arguments.json) as progress:
        while True:
            jobs = [desk.job(name) for name in names]
            progress(jobs)
            if all(words.is_final_state(job["state"]) for job in jobs) or time.monotonic() > deadline:
                break
            time.sleep(min(pause, max(0.0, deadline - time.monotonic())))
            pause = min(1.0, 1.3 * pause)
    _print(arguments, jobs, rendering.jobs)
    if not all(words.is_final_state(job["state"]) for job in jobs):
        return TIME_UP
    return FINE if all(job["state"] == "done" for job in jobs) else FAILED


def _logs(arguments: argparse.Namespace) -> int:
    job, _, index = arguments.task.partition("/")
    if index and not index.isdigit():
        return _complain(WRONG, f"{arguments.task!r}: expected JOB or JOB/TASK with the task's number")
    found = _desk(arguments).output(job, int(index or 0), arguments.bytes)
    if arguments.json:
        print(json.dumps(found))
    else:
        sys.stdout.buffer.write(base64.b64decode(found["data"]))
        sys.stdout.flush()
    return FINE


def _cancel(arguments: argparse.Namespace) -> int:
    desk = _desk(arguments)
    rows = [{"job": job, "state": desk.cancel(job)} for job in arguments.jobs]
    _print(arguments, rows, rendering.submitted)
    return FINE if all(row["state"] == "cancelled" for row in rows) else FAILED


def _agents(arguments: argparse.Namespace) -> int:
    desk = _desk(arguments)
    if arguments.forget:
        desk.forget(arguments.forget)
    _print(arguments, desk.agents(), rendering.agents)
    return FINE


def _top(arguments: argparse.Namespace) -> int:
    desk = _desk(arguments)
    if arguments.json or arguments.once:
        _print(arguments, {"agents": desk.agents(), "jobs": desk.jobs(20)}, rendering.top)
        return FINE
    rendering.live(desk, arguments.every)
    return FINE


def _keys(arguments: argparse.Namespace) -> int:
    path = data_directory(arguments.data) / KEYS_FILE
    if arguments.action == "make":
        create_keyring(path)
    elif arguments.action == "rotate":
        rotate_keyring(path, arguments.overlap)
    now = time.time()
    # never the secrets: what is shown ends up in terminals and logs
    rows = [
        {"key": key.name, "made": key.made, "until": key.until, "in_force": key.until is None or key.until > now}
        for key in Keyring(path).valid_keys()
    ]
    _print(arguments, {"file": str(path), "keys": rows}, rendering.keys)
    return FINE


def _certs(arguments: argparse.Namespace) -> int:
    directory = data_directory(arguments.data) / TLS
    if arguments.action == "make":
        if not arguments.hosts:
            return _complain(WRONG, "certs make takes --host HOST, once for each name or address that it is for")
        make_certificate(directory, arguments.name, arguments.hosts)
    rows = [
        {"file": str(path), "until": certificate_expiry(path).timestamp()} for path in sorted(directory.glob("*.pem"))
    ]
    _print(arguments, rows, rendering.certificates)
    return FINE
