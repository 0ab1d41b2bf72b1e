"""What the control service answers beside the protocol: descriptions, lists, outputs, agents."""

from __future__ import annotations

import logging
import re
import time
from collections.abc import Callable
from concurrent.futures import TimeoutError as NotYet
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from tidebend.access import KeyedClient
from tidebend.control.gang_barrier import GangBarriers
from tidebend.controller import Controller
from tidebend.kvstore import ConditionFailedError, Engine, StoreUnavailableError, Write
from tidebend.messages import Description, GangMemberStatus, JoinRequest, JoinResponse, paths
from tidebend.protocol import is_job_id
from tidebend.protocol import user as users_words
from tidebend.provider import JoinRefusedError, MachineGoneError, Provider
from tidebend.transport import NoAnswerError, Reply, UnreachableError

log = logging.getLogger("control")

DESCRIPTION_PREFIX = "desk/what/"
RAN_ON_PREFIX = "desk/ran/"
DONE_GANG = "desk/gang/"

LATER = {"Retry-After": "1"}
MOST_LISTED = 200  # jobs a page: `more` and `last` say how it goes on
OUTPUT_S = 5.0
# a task, or a job for its first
PLACE = re.compile(r"(?P<job>[^/]+)(?:/(?P<index>\d{1,6}))?\Z")


class _Request(NamedTuple):
    name: str  # what follows the path's first word
    arguments: dict[str, str]
    body: Callable[[], bytes]


class ControlApi:
    """The API beside the protocol, for users' programs and agents."""

    def __init__(
        self,
        engine: Engine,
        controller: Controller,
        provider: Provider,
        terms: Callable[[str], JoinResponse],
        connect: Callable[[tuple[str, int]], KeyedClient],
        gang_peer_s: float,
    ) -> None:
        """`terms` gives what a machine of a name and type is told when it joins."""
        self._engine = engine
        self._controller = controller
        self._provider = provider
        self._terms = terms
        self._connect = connect
        self._gang_barriers = GangBarriers(gang_peer_s, self._gang_is_done, self._record_gang_done)
        # by method, the path's first word, and whether something follows that
        self._handlers: dict[tuple[str, str, bool], Callable[[_Request], Reply]] = {
            ("POST", "descriptions", True): lambda request: self._describe(request.name, request.body()),
            ("GET", "descriptions", True): lambda request: self._description(
                request.name, request.arguments.get("machine", "")
            ),
            ("GET", "jobs", False): lambda request: self._list(request.arguments),
            ("GET", "jobs", True): lambda request: self._job(request.name),
            ("GET", "output", True): lambda request: self._output(request.name, request.arguments),
            ("GET", "agents", False): lambda _: Reply(200, {"agents": self._agents()}),
            ("POST", "agents", False): lambda request: self._join(request.body()),
            ("POST", "forget", True): lambda request: self._forget(request.name),
            ("POST", "muster", False): lambda request: self._gang_status(request.body()),
        }

    def route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        """Answer a request."""
        path, _, query = path.partition("?")
        table, _, rest = path[len(paths.CONTROL_API) :].partition("/")
        arguments = {key: values[-1] for key, values in parse_qs(query, max_num_fields=16).items()}
        handler = self._handlers.get((method, table, bool(rest)))
        if handler is None:
            return Reply(404, {"error": "no such path"})
        try:
            return handler(_Request(rest, arguments, body))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Reply(400, {"error": str(error)})
        except (StoreUnavailableError, ConditionFailedError, NotYet) as error:
            return Reply(503, {"error": f"not recorded: {error}"}, LATER)

    def _forget(self, machine: str) -> Reply:
        if self._provider.forget(machine):
            return Reply(200, {})
        return Reply(404, {"error": f"no machine {machine}"})

    def _gang_status(self, raw: bytes) -> Reply:
        status = msgspec.json.decode(raw, type=GangMemberStatus)
        return Reply(200, msgspec.to_builtins(self._gang_barriers.report_status(status)))

    # Descriptions

    def _describe(self, job: str, raw: bytes) -> Reply:
        """Recorded once; the same again is fine, another under the same id is refused."""
        if not is_job_id(job):
            return Reply(400, {"error": "not a job id"})
        value = msgspec.json.encode(msgspec.json.decode(raw, type=Description))
        try:
            self._engine.transact({DESCRIPTION_PREFIX + job: 0}, [Write(DESCRIPTION_PREFIX + job, value)])
        except ConditionFailedError:
            item, _ = self._engine.get(DESCRIPTION_PREFIX + job)
            if item is None or msgspec.json.encode(msgspec.convert(item.value, Description)) != value:
                return Reply(409, {"error": f"{job} is described otherwise"})
            return Reply(200, {})
        return Reply(201, {})

    def _description(self, job: str, machine: str) -> Reply:
        item, _ = self._engine.get(DESCRIPTION_PREFIX + job)
        if item is None:
            return Reply(404, {"error": f"{job} isn't described"})
        if machine:
            # who asks is about to run some of it: that is where its output will be
            with_machine = RAN_ON_PREFIX + f"{job}/{machine}"
            if self._engine.get(with_machine)[0] is None:
                self._engine.transact({}, [Write(with_machine, b"1")])
        return Reply(200, item.value)

    # Jobs

    def _list(self, arguments: dict[str, str]) -> Reply:
        most = min(MOST_LISTED, int(arguments["most"]) if arguments.get("most", "").isdigit() else MOST_LISTED)
        rows, more, _ = self._engine.items(
            DESCRIPTION_PREFIX, DESCRIPTION_PREFIX + arguments.get("after", ""), most, 1 << 20
        )
        found = []
        for row in rows:
            job = row.key[len(DESCRIPTION_PREFIX) :]
            reply = self._controller.job_api.poll(job)
            if reply.status == 503:
                return reply
            if reply.status == 200:  # a description may be there before its job, or without one
                found.append(self._row(job, reply.body, row.value))
        last = rows[-1].key[len(DESCRIPTION_PREFIX) :] if rows else ""
        return Reply(200, {"jobs": found, "more": more, "last": last})

    def _job(self, job: str) -> Reply:
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
        state = users_words.job_state(body)
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

    def _output(self, place: str, arguments: dict[str, str]) -> Reply:
        """The newest start's output of a task, from whichever agent of its job has it."""
        match = PLACE.match(place)
        if match is None:
            return Reply(400, {"error": "expected JOB/TASK"})
        job, index = match["job"], int(match["index"] or 0)
        under = f"{RAN_ON_PREFIX}{job}/"
        machines = [row.key[len(under) :] for row in self._engine.all_items(under)]
        if not machines and self._engine.get(DESCRIPTION_PREFIX + job)[0] is None:
            return Reply(404, {"error": f"no job {job}"})
        newest: dict[str, Any] | None = None
        silent = []
        for machine in machines:
            address = self.address_of(machine)
            if address is None:
                continue
            path = f"{paths.AGENT_OUTPUT}/{job}/{index}?most={arguments.get('most', '')}"
            try:
                status, body = self._connect(address).request("GET", path, None, OUTPUT_S)
            except (UnreachableError, NoAnswerError):
                silent.append(machine)
                continue
            if status == 200 and (newest is None or body["attempt"] > newest["attempt"]):
                newest = {**body, "machine": machine}
        if newest is None:
            if silent:
                return Reply(503, {"error": f"{', '.join(silent)}: no answer"}, LATER)
            return Reply(404, {"error": f"no output of {job}/{index}: it hasn't started, or is too long ago"})
        return Reply(200, newest)

    # Agents

    def address_of(self, machine: str) -> tuple[str, int] | None:
        """Return the address of a machine's agent, None if it hasn't reported."""
        with self._controller.machine_registry.lock:
            known = self._controller.machine_registry.machines.get(machine)
            return known.address if known else None

    def _agents(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        rows = []
        for name, machine in sorted(self._provider.machines().items()):
            with self._controller.machine_registry.lock:
                known = self._controller.machine_registry.machines.get(name)
                heard = round(now - known.last_heartbeat, 1) if known else None
                tasks = [task for task in known.tasks.values() if task.state != "ended"] if known else []
                session, address = (known.session, known.address) if known else (0, None)
            rows.append(
                {
                    "machine": name,
                    "kind": machine.kind,
                    "label": machine.label,
                    "here": machine.here,
                    "heard_s_ago": heard,
                    "session": session,
                    "tasks": len(tasks),
                    "address": f"{address[0]}:{address[1]}" if address else None,
                }
            )
        return rows

    def _join(self, raw: bytes) -> Reply:
        asked = msgspec.json.decode(raw, type=JoinRequest)
        try:
            name = self._provider.join(asked.nonce, asked.kind, asked.label, asked.left)
        except MachineGoneError as error:
            return Reply(410, {"error": str(error)})
        except JoinRefusedError as error:
            return Reply(409, {"error": str(error)})
        return Reply(200, msgspec.to_builtins(msgspec.structs.replace(self._terms(asked.kind), machine=name)))

    # Gangs

    def _gang_is_done(self, job: str, attempt: int) -> bool:
        return self._engine.get(f"{DONE_GANG}{job}/{attempt}")[0] is not None

    def _record_gang_done(self, job: str, attempt: int) -> None:
        self._engine.transact({}, [Write(f"{DONE_GANG}{job}/{attempt}", b"1")])
