"""The wire's words and the domain's types: this is the only place where the two meet."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

SHAPES = {"sweep": "array", "group": "gang", "service": "service"}
RANKS = {"critical": "production", "urgent": "high", "standard": "normal", "best_effort": "low"}
PRIORITIES = ("low", "normal", "high", "production")
MOST_TASKS = 100_000
ID = re.compile(r"req-[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
TASK_STATES = ("fetching", "waiting", "running", "saving", "ended")

PATH_JOBS = "/api/jobs"
PATH_READY = "/ready"
PATH_REPORT = "/v1/report"


class Invalid(Exception):
    """A message from outside is malformed; the text names the field."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a user asked for."""

    job_class: str
    team: str
    kind: str  # array, gang, service
    priority: str
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None

    def pack(self) -> list[Any]:
        return [self.job_class, self.team, self.kind, self.priority, self.tasks, self.cpus, self.gpus,
                self.memory_gb, self.image, self.image_gb, list(self.types) if self.types is not None else None,
                self.zone, int(self.one_zone), int(self.spread), int(self.spot), self.estimate_s,
                self.checkpoint_s, self.save_s, self.deadline_s]

    @staticmethod
    def unpack(row: list[Any]) -> JobSpec:
        return JobSpec(*row[:10], tuple(row[10]) if row[10] is not None else None, row[11], bool(row[12]),
                       bool(row[13]), bool(row[14]), *row[15:])


@dataclass(frozen=True, slots=True)
class MachineType:
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fetch_s(self, image_gb: float) -> float:
        return image_gb / max(self.fetch_gb_per_s, 1e-6)

    def fits(self, spec: JobSpec) -> bool:
        return (spec.cpus <= self.cpus + 1e-6 and spec.gpus <= self.gpus + 1e-6
                and spec.memory_gb <= self.memory_gb + 1e-6
                and (spec.types is None or self.name in spec.types)
                and (spec.zone is None or spec.zone in self.zones))


@dataclass(frozen=True, slots=True)
class TaskReport:
    job: str
    index: int
    attempt: int
    state: str
    why: str | None
    saved: bool


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's report, or its answer to direct commands."""

    machine: str
    address: tuple[str, int] | None
    type: str
    zone: str
    spot: bool
    session: int
    sequence: int
    token: int
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Command:
    op: str  # start, stop, forget
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedMachine:
    name: str
    address: tuple[str, int] | None
    type: str
    zone: str
    spot: bool
    state: str  # booting, running, failed
    age_s: float


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def _number(body: dict[str, Any], key: str, least: float = 0.0, default: float | None = None,
            above: bool = False) -> float:
    value = body.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Invalid(f"{key} must be a number")
    try:
        value = float(value)
    except OverflowError:
        raise Invalid(f"{key} is too large") from None
    if not math.isfinite(value) or value < least or (above and value <= least) or value > 1e12:
        raise Invalid(f"{key} is out of bounds")
    return value


def _count(body: dict[str, Any], key: str, least: int, most: int) -> int:
    value = body.get(key)
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53:
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise Invalid(f"{key} must be an integer")
    if not least <= value <= most:
        raise Invalid(f"{key} is out of bounds")
    return value


def _text(body: dict[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str) or not value or len(value) > 200:
        raise Invalid(f"{key} must be a text")
    return value


def _flag(body: dict[str, Any], key: str) -> bool:
    value = body.get(key)
    if not isinstance(value, bool):
        raise Invalid(f"{key} must be true or false")
    return value


def _choice(body: dict[str, Any], key: str, choices: dict[str, str]) -> str:
    value = body.get(key)
    if not isinstance(value, str) or value not in choices:
        raise Invalid(f"{key} must be one of {', '.join(choices)}")
    return choices[value]


def job_id(body: Any) -> str:
    if not isinstance(body, dict):
        raise Invalid("the body must be an object")
    name = body.get("id")
    if not isinstance(name, str) or not ID.match(name):
        raise Invalid("id is not a job id")
    return name


def is_job_id(name: str) -> bool:
    return bool(ID.match(name))


def parse_job(body: dict[str, Any]) -> JobSpec:
    types = body.get("hulls")
    if types is not None and (not isinstance(types, list) or not types or len(types) > 100
                              or any(not isinstance(name, str) or not 0 < len(name) <= 100 for name in types)):
        raise Invalid("hulls must be null or a list of machine types")
    zone = body.get("harbor")
    if zone is not None and (not isinstance(zone, str) or not zone or len(zone) > 200):
        raise Invalid("harbor must be null or a zone")
    deadline = body.get("dueS")
    return JobSpec(
        job_class=_text(body, "tier"),
        team=_text(body, "crew"),
        kind=_choice(body, "shape", SHAPES),
        priority=_choice(body, "rank", RANKS),
        tasks=_count(body, "pieces", 1, MOST_TASKS),
        cpus=_number(body, "vcpus"),
        gpus=_number(body, "accelerators"),
        memory_gb=_number(body, "memoryGb"),
        image=_text(body, "cargo"),
        image_gb=_number(body, "sizeGb"),
        types=tuple(types) if types is not None else None,
        zone=zone,
        one_zone=_flag(body, "samePlace"),
        spread=_flag(body, "spread"),
        spot=_flag(body, "driftwood"),
        estimate_s=_number(body, "reckonS"),
        checkpoint_s=_number(body, "markS"),
        save_s=_number(body, "stowS"),
        deadline_s=None if deadline is None else _number(body, "dueS"),
    )


def parse_awaits(body: dict[str, Any]) -> tuple[str, ...]:
    """The jobs that have to be done before any task of this one starts."""
    rows = body.get("awaits")
    if rows is None:
        return ()
    if not isinstance(rows, list) or any(not isinstance(row, str) or not ID.match(row) for row in rows):
        raise Invalid("awaits must be a list of job ids")
    return tuple(dict.fromkeys(rows))


def job_answer(name: str, state: str, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    answer: dict[str, Any] = {"id": name, "tide": "withdrawn" if state == "cancelled" else state}
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return answer


def _address(text: Any) -> tuple[str, int] | None:
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def parse_report(body: Any) -> Report:
    if not isinstance(body, dict):
        raise Invalid("the body must be an object")
    top = 2**64 - 1
    rows = body.get("pieces") or []
    if not isinstance(rows, list):
        raise Invalid("pieces must be a list")
    tasks = []
    for row in rows:
        if not isinstance(row, dict):
            raise Invalid("pieces must hold objects")
        job, _, index = _text(row, "piece").rpartition("/")
        if not ID.match(job) or not index.isascii() or not index.isdigit():
            raise Invalid("piece is not a task")
        state = row.get("tide")
        if state not in TASK_STATES:
            raise Invalid("tide is not a task state")
        why = row.get("cause")
        tasks.append(TaskReport(job, int(index), _count(row, "launch", 0, top), state,
                                why if isinstance(why, str) else None, row.get("stored") is True))
    notice = body.get("warningS")
    machine = _text(body, "vessel")
    if not NAME.match(machine):
        raise Invalid("vessel is not a machine's name")
    return Report(machine, _address(body.get("address")), _text(body, "hull"), _text(body, "harbor"),
                  body.get("driftwood") is True, _count(body, "watch", 0, top), _count(body, "tally", 0, top),
                  _count(body, "helm", 0, top), None if notice is None else _number(body, "warningS", -1e9),
                  tuple(tasks))


def _command(command: Command) -> dict[str, Any]:
    row: dict[str, Any] = {"order": {"start": "start", "stop": "kill", "forget": "clear"}[command.op],
                           "piece": task_name(command.job, command.index), "launch": command.attempt}
    if command.op == "stop":
        row["slackS"] = command.grace_s
    return row


def report_answer(token: int, commands: list[Command]) -> dict[str, Any]:
    return {"helm": token, "orders": [_command(command) for command in commands]}


def report_elsewhere(controller: str | None) -> dict[str, Any]:
    return {"harbormaster": controller} if controller else {}


def direct_commands(token: int, session: int, commands: list[Command]) -> tuple[str, dict[str, Any]]:
    return "/orders", {"helm": token, "watch": session, "orders": [_command(command) for command in commands]}


PATH_TYPES = "/flavors"
PATH_RENT = "/machines"
PATH_RELEASE = "/machines/release"


def parse_types(body: Any) -> dict[str, MachineType]:
    if not isinstance(body, dict) or not isinstance(body.get("hulls"), list):
        raise Invalid("hulls is missing")
    types = {}
    for row in body["hulls"]:
        if not isinstance(row, dict) or not isinstance(row.get("harbors") or [], list):
            raise Invalid("hulls must hold objects")
        name = _text(row, "name")
        price = _number(row, "price")
        types[name] = MachineType(name, _number(row, "vcpus"), _number(row, "accelerators", default=0.0),
                                  _number(row, "memoryGb"), _number(row, "localGb", default=0.0),
                                  _number(row, "fetchGbPerS", default=1.0), price,
                                  _number(row, "spotPrice", default=price), _number(row, "startupS", default=0.0),
                                  tuple(str(zone) for zone in row.get("harbors") or []))
    return types


def rent(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"charter": name, "hull": machine_type, "harbor": zone, "driftwood": spot, "howMany": count}


def release(names: list[str]) -> dict[str, Any]:
    return {"fleet": names}


def parse_rented(body: Any) -> list[str]:
    rows = body.get("fleet") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise Invalid("fleet is missing")
    return [name for name in rows if isinstance(name, str)]


def list_path(after: str, limit: int) -> str:
    return f"/machines?from={quote(after)}&page={limit}"


def parse_listed(body: Any) -> tuple[list[ListedMachine], bool]:
    rows = body.get("fleet") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise Invalid("fleet is missing")
    listed = []
    for row in rows:
        if not isinstance(row, dict):
            raise Invalid("fleet must hold objects")
        state = {"starting": "booting"}.get(row.get("tide"), row.get("tide"))
        listed.append(ListedMachine(_text(row, "id"), _address(row.get("address")), _text(row, "hull"),
                                    _text(row, "harbor"), row.get("driftwood") is True, str(state),
                                    _number(row, "heldS", default=0.0)))
    return listed, body.get("more") is True


# The state service. A write is (key, value, lease); a value of None deletes, a lease of None attaches to none.
Write = tuple[str, Any, int | None]


def key_path(key: str) -> str:
    return f"/kv/{quote(key)}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    more = f"&from={quote(after)}" if after else ""
    return f"/kv?under={quote(prefix)}{more}&page={limit}"


def changes_path(prefix: str, revision: int, wait_ms: int) -> str:
    return f"/changes?under={quote(prefix)}&from={revision}&waitMs={wait_ms}"


PATH_TRANSACTION = "/multi"
PATH_LEASES = "/grants"


def lease_path(lease: int, action: str = "") -> str:
    return f"/grants/{lease}{action}"


def transaction(conditions: dict[str, int], writes: list[Write]) -> dict[str, Any]:
    rows: list[dict[str, Any]] = []
    for key, value, lease in writes:
        if value is None:
            rows.append({"delete": key})
        elif lease is None:
            rows.append({"put": key, "v": value})
        else:
            rows.append({"put": key, "v": value, "mooring": lease})
    return {"if": [{"k": key, "stamp": version} for key, version in conditions.items()], "writes": rows}


def lease_request(seconds: float) -> dict[str, Any]:
    return {"lifeMs": int(seconds * 1000)}


def parse_lease(body: Any) -> int:
    return _count(body if isinstance(body, dict) else {}, "mooring", 0, 2**64)


def parse_revision(body: Any) -> int:
    return _count(body if isinstance(body, dict) else {}, "logline", 0, 2**64)


def parse_item(body: Any) -> tuple[Any, int]:
    if not isinstance(body, dict):
        raise Invalid("not an item")
    return body.get("v"), _count(body, "stamp", 0, 2**64)


def parse_items(body: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
        raise Invalid("rows is missing")
    rows = [(_text(row, "k"), row.get("v"), _count(row, "stamp", 0, 2**64)) for row in body["rows"]]
    return rows, body.get("more") is True, parse_revision(body)


def parse_changes(body: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Changes as (key, value, version); a value of None is a deletion."""
    revision = parse_revision(body)
    rows = []
    for row in body.get("log") or []:
        version = _count(row, "stamp", 0, 2**64)
        if "put" in row:
            rows.append((row["put"], row.get("v"), version))
        elif "delete" in row:
            rows.append((row["delete"], None, version))
        else:
            raise Invalid("log holds an unknown change")
    return rows, revision
