"""The control service's API for users and agents, beside the protocol: descriptions, jobs, outputs, agents, gangs."""

from __future__ import annotations

import logging
import re
import time
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from tidebend.access import KeyedClient
from tidebend.control.gang_barrier import GangBarriers
from tidebend.controller import Controller
from tidebend.kvstore import ConditionFailedError, Engine, StoreUnavailableError, Write
from tidebend.messages import Description, GangMemberStatus, JoinRequest, JoinResponse, paths
from tidebend.protocol import is_job_id
from tidebend.protocol import user as user_protocol
from tidebend.provider import JoinRefusedError, MachineGoneError, Provider
from tidebend.transport import NoAnswerError, Reply, UnreachableError

log = logging.getLogger("control")

# Key prefixes: job descriptions; the machines that fetched a job's description to run it, which have its outputs; the
# attempts of gangs that are done.
DESCRIPTION_PREFIX = "desk/what/"
RAN_ON_PREFIX = "desk/ran/"
DONE_GANG_PREFIX = "desk/gang/"

RETRY_LATER = {"Retry-After": "1"}
MAX_PAGE_JOBS = 200  # `more` and `last` in the answer tell how to get the next page
OUTPUT_TIMEOUT_S = 5.0
# JOB/TASK; JOB alone means its first task
TASK_NAME = re.compile(r"(?P<job>[^/]+)(?:/(?P<index>\d{1,6}))?\Z")


class _Request(NamedTuple):
    name: str  # the rest of the path after the collection; empty for the collection itself
    arguments: dict[str, str]
    body: Callable[[], bytes]


class ControlApi:
    """Serves the API for users' programs and agents."""

    def __init__(
        self,
        engine: Engine,
        controller: Controller,
        provider: Provider,
        join_response: Callable[[str], JoinResponse],
        connect: Callable[[tuple[str, int]], KeyedClient],
        gang_peer_s: float,
    ) -> None:
        """`join_response` returns the answer, without the name, to an agent that joins as the given machine type."""
        self._engine = engine
        self._controller = controller
        self._provider = provider
        self._join_response = join_response
        self._connect = connect
        self._gang_barriers = GangBarriers(gang_peer_s, self._gang_is_done, self._record_gang_done)
        # By method, collection (the first segment of the path), and whether a name follows it.
        self._handlers: dict[tuple[str, str, bool], Callable[[_Request], Reply]] = {
            ("POST", "descriptions", True): lambda request: self._put_description(request.name, request.body()),
            ("GET", "descriptions", True): lambda request: self._get_description(
                request.name, request.arguments.get("machine", "")
            ),
            ("GET", "jobs", False): lambda request: self._list_jobs(request.arguments),
            ("GET", "jobs", True): lambda request: self._get_job(request.name),
            ("GET", "output", True): lambda request: self._get_output(request.name, request.arguments),
            ("GET", "agents", False): lambda _: Reply(200, {"agents": self._list_agents()}),
            ("POST", "agents", False): lambda request: self._join(request.body()),
            ("POST", "forget", True): lambda request: self._forget(request.name),
            ("POST", "muster", False): lambda request: self._gang_status(request.body()),
        }

    def route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        """Serve a request. `path` includes the query."""
        path, _, query = path.partition("?")
        collection, _, rest = path[len(paths.CONTROL_API) :].partition("/")
        arguments = {key: values[-1] for key, values in parse_qs(query, max_num_fields=16).items()}
        handler = self._handlers.get((method, collection, bool(rest)))
        if handler is None:
            return Reply(404, {"error": "no such path"})
        try:
            return handler(_Request(rest, arguments, body))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Reply(400, {"error": str(error)})
        except (StoreUnavailableError, ConditionFailedError, FutureTimeoutError) as error:
            return Reply(503, {"error": f"key-value store request failed: {error}"}, RETRY_LATER)

    def _forget(self, machine: str) -> Reply:
        if self._provider.forget(machine):
            return Reply(200, {})
        return Reply(404, {"error": f"no such machine: {machine}"})

    def _gang_status(self, raw: bytes) -> Reply:
        status = msgspec.json.decode(raw, type=GangMemberStatus)
        return Reply(200, msgspec.to_builtins(self._gang_barriers.report_status(status)))

    # Descriptions

    def _put_description(self, job: str, raw: bytes) -> Reply:
        """Record a job's description. Repeating it is allowed; a different one under the same ID is rejected."""
        if not is_job_id(job):
            return Reply(400, {"error": "not a valid job ID"})
        value = msgspec.json.encode(msgspec.json.decode(raw, type=Description))
        try:
            self._engine.transact({DESCRIPTION_PREFIX + job: 0}, [Write(DESCRIPTION_PREFIX + job, value)])
        except ConditionFailedError:
            item, _ = self._engine.get(DESCRIPTION_PREFIX + job)
            if item is None or msgspec.json.encode(msgspec.convert(item.value, Description)) != value:
                return Reply(409, {"error": f"{job} already has a different description"})
            return Reply(200, {})
        return Reply(201, {})

    def _get_description(self, job: str, machine: str) -> Reply:
        item, _ = self._engine.get(DESCRIPTION_PREFIX + job)
        if item is None:
            return Reply(404, {"error": f"no description of job {job}"})
        if machine:
            # The agent that asks is about to run a task of the job: record where the output will be.
            key = RAN_ON_PREFIX + f"{job}/{machine}"
            if self._engine.get(key)[0] is None:
                self._engine.transact({}, [Write(key, b"1")])
        return Reply(200, item.value)

    # Jobs

    def _list_jobs(self, arguments: dict[str, str]) -> Reply:
        max_jobs = min(MAX_PAGE_JOBS, int(arguments["most"]) if arguments.get("most", "").isdigit() else MAX_PAGE_JOBS)
        rows, more, _ = self._engine.items(
            DESCRIPTION_PREFIX, DESCRIPTION_PREFIX + arguments.get("after", ""), max_jobs, 1 << 20
        )
        found = []
        for row in rows:
            job = row.key[len(DESCRIPTION_PREFIX) :]
            reply = self._controller.job_api.poll(job)
            if reply.status == 503:
                return reply
            if reply.status == 200:  # a description is recorded before its job, and may be without one
                found.append(self._row(job, reply.body, row.value))
        last = rows[-1].key[len(DESCRIPTION_PREFIX) :] if rows else ""
        return Reply(200, {"jobs": found, "more": more, "last": last})

    def _get_job(self, job: str) -> Reply:
        reply = self._controller.job_api.poll(job)
        if reply.status != 200:
            return reply
        item, _ = self._engine.get(DESCRIPTION_PREFIX + job)
        row = self._row(job, reply.body, item.value if item else {})
        live = self._controller.job_cache.get(job)
        if live is not None:
            row["waits_for"] = list(live.dependencies)
            row["places"] = [
                {"machine": allocation.machine, "tasks": allocation.tasks.bit_count()}
                for allocation in live.allocations
            ]
            row["team"], row["priority"] = live.spec.team, live.spec.priority
        return Reply(200, row)

    @staticmethod
    def _row(job: str, body: dict[str, Any], description: dict[str, Any]) -> dict[str, Any]:
        state = user_protocol.job_state(body)
        tasks = description.get("tasks", 1)
        return {
            "job": job,
            "state": state,
            "kind": description.get("kind", "array"),
            "tasks": tasks,
            "done": tasks if state == "done" else body.get("done", 0),
            "running": body.get("running", 0),
            "command": description.get("command", []),
        }

    # Outputs

    def _get_output(self, task_name: str, arguments: dict[str, str]) -> Reply:
        """Return a task's output in its newest attempt, from the agent that has it among those that ran the job."""
        match = TASK_NAME.match(task_name)
        if match is None:
            return Reply(400, {"error": "expected JOB or JOB/TASK"})
        job, index = match["job"], int(match["index"] or 0)
        prefix = f"{RAN_ON_PREFIX}{job}/"
        machines = [row.key[len(prefix) :] for row in self._engine.all_items(prefix)]
        if not machines and self._engine.get(DESCRIPTION_PREFIX + job)[0] is None:
            return Reply(404, {"error": f"no job {job}"})
        newest: dict[str, Any] | None = None
        unreachable = []
        for machine in machines:
            address = self.address_of(machine)
            if address is None:
                continue
            path = f"{paths.AGENT_OUTPUT}/{job}/{index}?most={arguments.get('most', '')}"
            try:
                status, body = self._connect(address).request("GET", path, None, OUTPUT_TIMEOUT_S)
            except (UnreachableError, NoAnswerError):
                unreachable.append(machine)
                continue
            if status == 200 and (newest is None or body["attempt"] > newest["attempt"]):
                newest = {**body, "machine": machine}
        if newest is None:
            if unreachable:
                return Reply(503, {"error": f"no answer from {', '.join(unreachable)}"}, RETRY_LATER)
            return Reply(
                404, {"error": f"no output of {job}/{index}: the task hasn't started, or its output has been deleted"}
            )
        return Reply(200, newest)

    # Agents

    def address_of(self, machine: str) -> tuple[str, int] | None:
        """Return the address of a machine's agent, None if it hasn't reported."""
        with self._controller.machine_registry.lock:
            known = self._controller.machine_registry.machines.get(machine)
            return known.address if known else None

    def _list_agents(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        rows = []
        for name, machine in sorted(self._provider.machines().items()):
            with self._controller.machine_registry.lock:
                known = self._controller.machine_registry.machines.get(name)
                heartbeat_age_s = round(now - known.last_heartbeat, 1) if known else None
                tasks = [task for task in known.tasks.values() if task.state != "ended"] if known else []
                session, address = (known.session, known.address) if known else (0, None)
            rows.append(
                {
                    "machine": name,
                    "kind": machine.kind,
                    "label": machine.label,
                    "here": machine.here,
                    "heard_s_ago": heartbeat_age_s,
                    "session": session,
                    "tasks": len(tasks),
                    "address": f"{address[0]}:{address[1]}" if address else None,
                }
            )
        return rows

    def _join(self, raw: bytes) -> Reply:
        request = msgspec.json.decode(raw, type=JoinRequest)
        try:
            name = self._provider.join(request.nonce, request.kind, request.label, request.left)
        except MachineGoneError as error:
            return Reply(410, {"error": str(error)})
        except JoinRefusedError as error:
            return Reply(409, {"error": str(error)})
        return Reply(200, msgspec.to_builtins(msgspec.structs.replace(self._join_response(request.kind), machine=name)))

    # Gangs

    def _gang_is_done(self, job: str, attempt: int) -> bool:
        return self._engine.get(f"{DONE_GANG_PREFIX}{job}/{attempt}")[0] is not None

    def _record_gang_done(self, job: str, attempt: int) -> None:
        self._engine.transact({}, [Write(f"{DONE_GANG_PREFIX}{job}/{attempt}", b"1")])
