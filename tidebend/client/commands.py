"""The commands `tidebend up, control, agent, submit, status, list, wait, logs, cancel, agents, top, keys, certs`.

Exit status: 0 success; 1 a job ended otherwise than requested, or doesn't exist; 2 invalid arguments, job file or
settings; 3 the control service can't be reached; 4 it rejected the request; 5 timeout.
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
    RETRY_FOR_S,
    ApiClient,
    ControlServiceUnreachableError,
    RequestRejectedError,
    data_directory,
)
from tidebend.client.jobfile import JobBlock, read_jobs, single_job
from tidebend.control.main import KEYS_FILE
from tidebend.hcl import HclFileError
from tidebend.protocol import PRIORITIES
from tidebend.protocol import user as user_protocol

TLS_DIRECTORY = "tls"
EXIT_SUCCESS, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE, EXIT_REJECTED, EXIT_TIMEOUT = range(6)


def _parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="tidebend", description="Run tasks on machines of your own.", epilog=__doc__.partition("\n\n")[2]
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(
        name: str, text: str, run: Callable[[argparse.Namespace], int], calls_api: bool = True, as_json: bool = True
    ) -> argparse.ArgumentParser:
        parser = commands.add_parser(name, help=text, description=text)
        parser.set_defaults(run=run)
        parser.add_argument(
            "--data",
            metavar="DIR",
            help="the control service's data directory (default: $TIDEBEND_DATA, else ~/.tidebend)",
        )
        if calls_api:
            parser.add_argument(
                "--control", metavar="HOST:PORT", help="address of the control service (default: the one in DIR)"
            )
            parser.add_argument(
                "--authority",
                metavar="FILE",
                help="certificate authority to trust, for TLS (default: the one named in DIR)",
            )
            parser.add_argument(
                "--patience",
                type=float,
                default=RETRY_FOR_S,
                metavar="S",
                help="seconds for which a request without an answer is retried (default: %(default)g)",
            )
            parser.add_argument("--key", metavar="FILE", help="key file (default: the one in DIR)")
        if as_json:
            parser.add_argument("--json", action="store_true", help="print JSON")
        return parser

    up = add(
        "up", "Run a control service with agents on this machine, until Ctrl-C.", _up, calls_api=False, as_json=False
    )
    up.add_argument(
        "--config", metavar="FILE", help="settings (HCL; default: those in DIR, created at the first start)"
    )
    control = add("control", "Run the control service alone.", _control, calls_api=False, as_json=False)
    control.add_argument("--config", metavar="FILE", required=True, help="settings (HCL), see deploy/local.hcl")
    control.add_argument("--check", action="store_true", help="only check the settings")
    agent = add("agent", "Run an agent alone.", _agent, calls_api=False, as_json=False)
    agent.add_argument("--config", metavar="FILE", required=True, help="settings (HCL), see deploy/agent.hcl")
    agent.add_argument("--check", action="store_true", help="only check the settings")

    submit = add("submit", "Submit the jobs of a file, or one command after --.", _submit)
    submit.add_argument("file", nargs="?", metavar="FILE", help="a job file (HCL)")
    submit.add_argument("--name", default="task", help="name of the job (with --)")
    submit.add_argument("--tasks", type=_positive_int, default=1, help="number of tasks (with --)")
    submit.add_argument("--kind", choices=["array", "gang", "service"], default="array")
    submit.add_argument("--cpus", type=float, default=1.0)
    submit.add_argument("--memory-gb", type=float, default=0.25)
    submit.add_argument("--team", default="everyone")
    submit.add_argument("--priority", choices=PRIORITIES, default="normal")
    submit.add_argument("--fresh", action="store_true", help="run in a fresh directory instead of this one (with --)")
    submit.add_argument("--wait", action="store_true", help="wait until all jobs have ended")
    submit.add_argument("--timeout", type=float, metavar="S", help="with --wait: give up after S seconds")

    status = add("status", "Show jobs.", _status)
    status.add_argument("jobs", nargs="+", metavar="JOB")
    listing = add("list", "List jobs, the newest last.", _list)
    listing.add_argument("--most", type=_positive_int, default=50, help="maximum number of jobs (default: 50)")
    listing.add_argument("--state", choices=["queued", "running", "done", "cancelled"])
    wait = add("wait", "Wait until jobs have ended; exit status 0 if all are done.", _wait)
    wait.add_argument("jobs", nargs="+", metavar="JOB")
    wait.add_argument("--timeout", type=float, metavar="S", help="give up after S seconds")
    logs = add("logs", "Print the output of a task: JOB (its first task) or JOB/TASK.", _logs)
    logs.add_argument("task", metavar="JOB[/TASK]")
    logs.add_argument(
        "--bytes", type=_positive_int, default=1024 * 1024, help="number of bytes from the end (default: %(default)d)"
    )
    cancel = add("cancel", "Cancel jobs.", _cancel)
    cancel.add_argument("jobs", nargs="+", metavar="JOB")
    agents = add("agents", "List agents.", _agents)
    agents.add_argument(
        "--forget",
        metavar="MACHINE",
        help="declare that this machine and all its tasks are gone for good: the tasks start "
        "elsewhere. If they still run, they run twice",
    )
    top_command = add("top", "Show jobs and agents continuously, until Ctrl-C.", _top)
    top_command.add_argument("--every", type=float, default=1.0, metavar="S")
    top_command.add_argument("--once", action="store_true", help="show them once")

    keys = add("keys", "Create, rotate or show keys.", _keys, calls_api=False)
    keys.add_argument("action", choices=["make", "rotate", "show"])
    keys.add_argument(
        "--overlap",
        type=float,
        default=3600.0,
        metavar="S",
        help="rotate: seconds for which the previous keys stay valid (default: 3600)",
    )
    certs = add(
        "certs", "Create a certificate for TLS beyond loopback, or list the existing ones.", _certs, calls_api=False
    )
    certs.add_argument("action", choices=["make", "show"])
    certs.add_argument(
        "--host",
        action="append",
        default=[],
        dest="hosts",
        metavar="HOST",
        help="make: host name or address that the certificate is valid for; may be repeated",
    )
    certs.add_argument("--name", default="server", help="make: base name of the certificate's files (default: server)")
    return top


def _positive_int(text: str) -> int:
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
    arguments.task_command = command
    if command and arguments.command != "submit":
        return _fail(EXIT_USAGE, "only `submit` takes a command after --")
    try:
        return arguments.run(arguments)
    except HclFileError as error:
        return _fail(EXIT_USAGE, str(error))
    except (ControlServiceUnreachableError, NotLoopbackError, KeyFileError, CertificateError) as error:
        return _fail(EXIT_UNREACHABLE, str(error))
    except RequestRejectedError as error:
        return _fail(EXIT_FAILED if error.status == 404 else EXIT_REJECTED, str(error))
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_SUCCESS


def _fail(status: int, text: str) -> int:
    print(f"tidebend: {text}", file=sys.stderr)
    return status


def _api_client(arguments: argparse.Namespace) -> ApiClient:
    return ApiClient(
        data_directory(arguments.data), arguments.control, arguments.key, arguments.authority, arguments.patience
    )


def _print(arguments: argparse.Namespace, value: Any, show: Callable[[Any], None]) -> None:
    if arguments.json:
        print(json.dumps(value))
    else:
        show(value)


# Services. Their modules are imported only by the command that runs them.


def _up(arguments: argparse.Namespace) -> int:
    from tidebend.control.bootstrap import ensure_settings_file

    directory = data_directory(arguments.data)
    path = Path(arguments.config) if arguments.config else ensure_settings_file(directory)
    return _serve(path, directory, rendering.up)


def _control(arguments: argparse.Namespace) -> int:
    return _serve(Path(arguments.config), data_directory(arguments.data), None, arguments.check)


def _serve(path: Path, directory: Path, on_ready: Callable[[Any], None] | None, check: bool = False) -> int:
    from tidebend import logs
    from tidebend.control import load_control_settings, run_control
    from tidebend.control.main import PortInUseError
    from tidebend.kvstore import DataDamagedError, DirectoryLockedError, StoreUnavailableError

    settings = load_control_settings(str(path))
    if check:
        print(f"{path}: fine")
        return EXIT_SUCCESS
    logs.configure()
    try:
        return run_control(settings, directory, on_ready)
    except (DirectoryLockedError, DataDamagedError, PortInUseError) as error:
        return _fail(EXIT_USAGE, str(error))
    except StoreUnavailableError as error:
        return _fail(EXIT_UNREACHABLE, f"{directory}: {error}")


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
        return EXIT_SUCCESS
    logs.configure()
    try:
        return run_agent(settings)
    except (DirectoryLockedError, WriteAheadLogError) as error:
        return _fail(EXIT_USAGE, str(error))
    except AdmissionRefusedError as error:
        return _fail(EXIT_REJECTED, str(error))


# Jobs


def _submit(arguments: argparse.Namespace) -> int:
    if bool(arguments.file) == bool(arguments.task_command):
        return _fail(EXIT_USAGE, "submit takes a job FILE, or a command after --")
    if arguments.file:
        submissions = read_jobs(arguments.file)
    else:
        submissions = [
            single_job(
                JobBlock(
                    command=arguments.task_command,
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
    client = _api_client(arguments)
    rows = []
    for job in submissions:
        try:
            rows.append({"job": job.job, "name": job.name, "state": client.submit(job)})
        except (ControlServiceUnreachableError, RequestRejectedError) as error:
            # the jobs submitted so far stay submitted, so their ids are printed even on failure
            _print(arguments, rows, rendering.submitted)
            return _fail(
                EXIT_REJECTED if isinstance(error, RequestRejectedError) else EXIT_UNREACHABLE, f"{job.name}: {error}"
            )
    if not arguments.wait:
        _print(arguments, rows, rendering.submitted)
        return EXIT_SUCCESS
    return _wait_for_end(arguments, client, [row["job"] for row in rows])


def _status(arguments: argparse.Namespace) -> int:
    client = _api_client(arguments)
    _print(arguments, [client.job(job) for job in arguments.jobs], rendering.details)
    return EXIT_SUCCESS


def _list(arguments: argparse.Namespace) -> int:
    jobs = [job for job in _api_client(arguments).jobs(arguments.most) if arguments.state in (None, job["state"])]
    _print(arguments, jobs, rendering.jobs)
    return EXIT_SUCCESS


def _wait(arguments: argparse.Namespace) -> int:
    return _wait_for_end(arguments, _api_client(arguments), arguments.jobs)


def _wait_for_end(arguments: argparse.Namespace, client: ApiClient, names: list[str]) -> int:
    deadline = time.monotonic() + arguments.timeout if arguments.timeout is not None else float("inf")
    interval_s = 0.05
    with rendering.progress(not arguments.json) as progress:
        while True:
            jobs = [client.job(name) for name in names]
            progress(jobs)
            if all(user_protocol.is_final_state(job["state"]) for job in jobs) or time.monotonic() > deadline:
                break
            time.sleep(min(interval_s, max(0.0, deadline - time.monotonic())))
            interval_s = min(1.0, 1.3 * interval_s)
    _print(arguments, jobs, rendering.jobs)
    if not all(user_protocol.is_final_state(job["state"]) for job in jobs):
        return EXIT_TIMEOUT
    return EXIT_SUCCESS if all(job["state"] == "done" for job in jobs) else EXIT_FAILED


def _logs(arguments: argparse.Namespace) -> int:
    job, _, index = arguments.task.partition("/")
    if index and not index.isdigit():
        return _fail(EXIT_USAGE, f"{arguments.task!r}: expected JOB or JOB/TASK with the task's number")
    found = _api_client(arguments).output(job, int(index or 0), arguments.bytes)
    if arguments.json:
        print(json.dumps(found))
    else:
        sys.stdout.buffer.write(base64.b64decode(found["data"]))
        sys.stdout.flush()
    return EXIT_SUCCESS


def _cancel(arguments: argparse.Namespace) -> int:
    client = _api_client(arguments)
    rows = [{"job": job, "state": client.cancel(job)} for job in arguments.jobs]
    _print(arguments, rows, rendering.submitted)
    return EXIT_SUCCESS if all(row["state"] == "cancelled" for row in rows) else EXIT_FAILED


def _agents(arguments: argparse.Namespace) -> int:
    client = _api_client(arguments)
    if arguments.forget:
        client.forget(arguments.forget)
    _print(arguments, client.agents(), rendering.agents)
    return EXIT_SUCCESS


def _top(arguments: argparse.Namespace) -> int:
    client = _api_client(arguments)
    if arguments.json or arguments.once:
        _print(arguments, {"agents": client.agents(), "jobs": client.jobs(20)}, rendering.top)
        return EXIT_SUCCESS
    rendering.live(client, arguments.every)
    return EXIT_SUCCESS


def _keys(arguments: argparse.Namespace) -> int:
    path = data_directory(arguments.data) / KEYS_FILE
    if arguments.action == "make":
        create_keyring(path)
    elif arguments.action == "rotate":
        rotate_keyring(path, arguments.overlap)
    now = time.time()
    # without the secrets: the output ends up in terminals and logs
    rows = [
        {"key": key.name, "made": key.made, "until": key.until, "in_force": key.until is None or key.until > now}
        for key in Keyring(path).valid_keys()
    ]
    _print(arguments, {"file": str(path), "keys": rows}, rendering.keys)
    return EXIT_SUCCESS


def _certs(arguments: argparse.Namespace) -> int:
    directory = data_directory(arguments.data) / TLS_DIRECTORY
    if arguments.action == "make":
        if not arguments.hosts:
            return _fail(
                EXIT_USAGE, "certs make needs --host HOST, once for each host name or address of the certificate"
            )
        make_certificate(directory, arguments.name, arguments.hosts)
    rows = [
        {"file": str(path), "until": certificate_expiry(path).timestamp()} for path in sorted(directory.glob("*.pem"))
    ]
    _print(arguments, rows, rendering.certificates)
    return EXIT_SUCCESS
