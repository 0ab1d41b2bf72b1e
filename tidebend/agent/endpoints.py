"""What an agent answers: direct commands, its report, and what its tasks wrote. Only to those with the key."""

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

MOST_OUTPUT = 1024 * 1024


def route(worker: Worker) -> Callable[[str, str, Callable[[], bytes]], Reply]:
    """Return the server's route function for a worker."""

    def answer(method: str, path: str, body: Callable[[], bytes]) -> Reply:
        path, _, query = path.partition("?")
        try:
            if path == PATH_DIRECT and method == "POST":
                return _direct(worker, body())
            if path == PATH_WORKER_STATUS and method == "GET":
                return Reply(200, worker.call(worker.report)[0])
            if path.startswith(paths.AGENT_OUTPUT + "/") and method == "GET":
                return _output(worker, path[len(paths.AGENT_OUTPUT) + 1 :], query)
            if path == paths.AGENT_LEAVE and method == "POST":
                return _leave(worker, body())
        except TimeoutError:
            return Reply(503, {"error": "busy"}, {"Retry-After": "1"})
        return Reply(404, {"error": "no such path"})

    return answer


def _direct(worker: Worker, raw: bytes) -> Reply:
    try:
        asked = parse_direct_commands(msgspec.json.decode(raw))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Reply(400, {"error": str(error)})

    def work() -> Reply:
        try:
            return Reply(200, worker.execute_direct(asked))
        except StaleCommandError:
            return Reply(409, worker.report()[0])

    return worker.call(work)


def _output(worker: Worker, task: str, query: str) -> Reply:
    job, _, index = task.rpartition("/")
    if not job or "/" in job or job.startswith(".") or not index.isascii() or not index.isdigit():
        return Reply(400, {"error": "not a task"})
    most = parse_qs(query).get("most", [str(MOST_OUTPUT)])[-1]
    found = output.read(worker.outputs, job, int(index), min(MOST_OUTPUT, int(most)) if most.isdigit() else MOST_OUTPUT)
    if found is None:
        return Reply(404, {"error": "nothing of this task is here"})
    return Reply(200, {"attempt": found[0], "data": base64.b64encode(found[1]).decode()})


def _leave(worker: Worker, raw: bytes) -> Reply:
    """End everything and stop being this machine, on the controllers' release."""
    try:
        machine = msgspec.json.decode(raw, type=dict).get("machine")
    except msgspec.DecodeError as error:
        return Reply(400, {"error": str(error)})
    if machine != worker.terms.machine:
        return Reply(409, {"error": f"this is {worker.terms.machine}"})
    worker.call(worker.leave, timeout=30.0)
    return Reply(200, {})
