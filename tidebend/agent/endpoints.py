"""HTTP endpoints of an agent: direct commands, its report, and the output of its tasks. All require the key."""

from __future__ import annotations

import base64
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from tidebend.agent import output
from tidebend.agent.worker import StaleCommandError, Worker
from tidebend.messages import paths
from tidebend.protocol.worker import PATH_DIRECT, PATH_WORKER_STATUS, parse_direct_commands
from tidebend.transport import Reply

MAX_OUTPUT_BYTES = 1024 * 1024


def route(worker: Worker) -> Callable[[str, str, Callable[[], bytes]], Reply]:
    """Return the server's route function for a worker."""

    def handle(method: str, path: str, body: Callable[[], bytes]) -> Reply:
        path, _, query = path.partition("?")
        try:
            if path == PATH_DIRECT and method == "POST":
                return _execute_direct(worker, body())
            if path == PATH_WORKER_STATUS and method == "GET":
                return Reply(200, worker.call(worker.report)[0])
            if path.startswith(paths.AGENT_OUTPUT + "/") and method == "GET":
                return _output(worker, path[len(paths.AGENT_OUTPUT) + 1 :], query)
            if path == paths.AGENT_LEAVE and method == "POST":
                return _leave_machine(worker, body())
        except TimeoutError:
            return Reply(503, {"error": "busy"}, {"Retry-After": "1"})
        return Reply(404, {"error": "no such path"})

    return handle


def _execute_direct(worker: Worker, raw: bytes) -> Reply:
    try:
        direct = parse_direct_commands(msgspec.json.decode(raw))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Reply(400, {"error": str(error)})

    def execute() -> Reply:
        try:
            return Reply(200, worker.execute_direct(direct))
        except StaleCommandError:
            return Reply(409, worker.report()[0])

    return worker.call(execute)


def _output(worker: Worker, task: str, query: str) -> Reply:
    job, _, index = task.rpartition("/")
    if not job or "/" in job or job.startswith(".") or not index.isascii() or not index.isdigit():
        return Reply(400, {"error": "expected JOB/INDEX"})
    max_bytes = parse_qs(query).get("most", [str(MAX_OUTPUT_BYTES)])[-1]
    found = output.read_latest(
        worker.outputs,
        job,
        int(index),
        min(MAX_OUTPUT_BYTES, int(max_bytes)) if max_bytes.isdigit() else MAX_OUTPUT_BYTES,
    )
    if found is None:
        return Reply(404, {"error": "no output of this task on this machine"})
    return Reply(200, {"attempt": found[0], "data": base64.b64encode(found[1]).decode()})


def _leave_machine(worker: Worker, raw: bytes) -> Reply:
    """End all tasks and leave the cluster, after the controllers have released this machine."""
    try:
        machine = msgspec.json.decode(raw, type=dict).get("machine")
    except msgspec.DecodeError as error:
        return Reply(400, {"error": str(error)})
    if machine != worker.config.machine:
        return Reply(409, {"error": f"this is {worker.config.machine}"})
    worker.call(worker.leave, timeout=30.0)
    return Reply(200, {})
