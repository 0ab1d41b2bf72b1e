"""What machines there are, in durable records, and what the controllers may ask of them.

A release is answered only once the machine and all that it ran is certainly gone: for an agent of this machine its
processes were ended here, another has told so itself, or an operator has given his word. A silent agent elsewhere
proves nothing, and its release stays unanswered until it comes back.
"""

from __future__ import annotations

import logging
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import TimeoutError as NotYet
from typing import Any
from urllib.parse import parse_qs

import msgspec

from tidebend.kvstore import ConditionFailedError, Engine, StoreUnavailableError, Write
from tidebend.messages import paths
from tidebend.protocol import cloud as wire
from tidebend.provider.agents import AgentProcesses
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("provider")

MACHINE = "desk/machine/"
CHARTER = "desk/charter/"
NONCE = "desk/nonce/"
COUNTER = "desk/machines"

TEND_S = 0.25
LEAVE_S = 20.0
MOST_LISTED = 500  # machines a page, by the protocol: `more` says that it goes on


class MachineTypeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A type of machine. `agents` of it are always kept here, and up to `most` are started when there is work."""

    cpus: float
    memory_gb: float
    gpus: float = 0.0
    agents: int = 0
    most: int | None = None
    price: float = 1.0

    def __post_init__(self) -> None:
        if self.cpus <= 0 or self.memory_gb <= 0 or self.gpus < 0:
            raise ValueError("cpus and memory_gb must be above 0, gpus at least 0")
        if self.agents < 0 or self.limit < self.agents:
            raise ValueError("expected 0 <= agents <= most")

    @property
    def limit(self) -> int:
        """The most agents of this type."""
        return self.agents if self.most is None else self.most


class Machine(msgspec.Struct, frozen=True):
    """A machine on record."""

    kind: str
    zone: str
    here: bool  # its agent is a process that we start and end
    nonce: str
    label: str
    made: float  # time of day
    joined: bool = False
    gone: bool = False


class JoinRefusedError(Exception):
    """The agent can't be a machine here; the text says why."""


class MachineGoneError(JoinRefusedError):
    """The machine that the agent was is gone."""


class Provider:
    """Stands in for a cloud: its machines are agents, which it starts here or which join from elsewhere."""

    def __init__(
        self,
        engine: Engine,
        zone: str,
        kinds: dict[str, MachineTypeSettings],
        processes: AgentProcesses,
        connect: Callable[[tuple[str, int]], HttpClient],
        address_of: Callable[[str], tuple[str, int] | None],
    ) -> None:
        self._engine = engine
        self._zone = zone
        self._kinds = kinds
        self._processes = processes
        self._connect = connect
        self._address_of = address_of
        self._lock = threading.Lock()  # of the table; the records are changed one step at a time, under _step
        self._step = threading.Lock()
        self._machines: dict[str, tuple[Machine, int]] = {}  # those that aren't gone, with their records' versions
        self._load()
        self._ended = threading.Event()

    # Records

    def _load(self) -> None:
        for row in self._engine.all_items(MACHINE):
            machine = msgspec.convert(row.value, Machine)
            if not machine.gone:
                self._machines[row.key[len(MACHINE) :]] = (machine, row.version)

    def machines(self) -> dict[str, Machine]:
        """Return the machines by name."""
        with self._lock:
            return {name: machine for name, (machine, _) in self._machines.items()}

    def _create_machines(
        self, kind: str, here: bool, count: int, label: str, nonce: str | None, charter: str | None
    ) -> list[str]:
        """New machines, and the charter or nonce under which they were asked for, in one durable step."""
        counter, _ = self._engine.get(COUNTER)
        number = counter.value if counter else 0
        made = {}
        for offset in range(count):
            own = nonce or uuid.uuid4().hex
            made[f"vm-{number + 1 + offset:06d}"] = Machine(
                kind, self._zone, here, own, label, time.time(), joined=not here
            )
        writes = [Write(COUNTER, msgspec.json.encode(number + count))]
        writes += [Write(MACHINE + name, msgspec.json.encode(machine)) for name, machine in made.items()]
        writes += [Write(NONCE + machine.nonce, msgspec.json.encode(name)) for name, machine in made.items()]
        if charter is not None:
            writes.append(Write(CHARTER + charter, msgspec.json.encode(list(made))))
        revision = self._engine.transact({COUNTER: counter.version if counter else 0}, writes)
        with self._lock:
            self._machines.update((name, (machine, revision)) for name, machine in made.items())
        return list(made)

    def _change(self, name: str, machine: Machine) -> None:
        with self._lock:
            _, version = self._machines[name]
        revision = self._engine.transact(
            {MACHINE + name: version}, [Write(MACHINE + name, msgspec.json.encode(machine))]
        )
        with self._lock:
            if machine.gone:
                del self._machines[name]
            else:
                self._machines[name] = (machine, revision)

    def _bury(self, name: str) -> bool:
        """Record that a machine is gone; False if it wasn't there. Under _step."""
        machine = self.machines().get(name)
        if machine is None:
            return False
        self._change(name, msgspec.structs.replace(machine, gone=True))
        return True

    # Agents that join

    def join(self, nonce: str, kind: str, label: str, left: list[str]) -> str:
        """The machine's name. Raises JoinRefusedError, or StoreUnavailableError if it can't be recorded."""
        if kind not in self._kinds:
            raise JoinRefusedError(f"kind: {kind!r} is none of {', '.join(self._kinds)}")
        with self._step:
            for name in left:  # the agent says itself that it has ended all that it ran as these
                machine = self.machines().get(name)
                if machine is not None and not machine.here:
                    self._bury(name)
            item, _ = self._engine.get(NONCE + nonce)
            if item is None:
                (name,) = self._create_machines(kind, False, 1, label, nonce, None)
                log.info("%s has joined as %s of type %s", label, name, kind)
                return name
            name = item.value
            machine = self.machines().get(name)
            if machine is None:
                raise MachineGoneError(f"{name} is gone")
            if machine.kind != kind:
                raise JoinRefusedError(f"kind: {name} is of type {machine.kind}")
            if not machine.joined:
                self._change(name, msgspec.structs.replace(machine, joined=True))
            return name

    def machine_type(self, kind: str) -> MachineTypeSettings:
        """Return what is told to an agent of a type that joins."""
        return self._kinds[kind]

    # The cloud's interface

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        """Takes the place of `transport.HttpClient` for a controller in the same process."""
        path, _, query = path.partition("?")
        try:
            if path == wire.PATH_TYPES:
                return 200, wire.types_answer(
                    [
                        wire.type_row(name, kind.cpus, kind.gpus, kind.memory_gb, 1000.0, kind.price, 1.0, [self._zone])
                        for name, kind in self._kinds.items()
                    ]
                )
            if path == wire.PATH_RELEASE and method == "POST":
                return self._release(msgspec.convert(body, wire.Release).machines)
            if path == wire.PATH_RENT and method == "POST":
                return self._rent(msgspec.convert(body, wire.Rental))
            if path == wire.PATH_RENT:
                return 200, self._list(query)
        except msgspec.ValidationError as error:
            return 400, {"error": str(error)}
        except (StoreUnavailableError, ConditionFailedError, NotYet) as error:
            return 503, {"error": f"trouble: {error}"}
        return 404, {"error": "no such path"}

    def _rent(self, asked: wire.Rental) -> tuple[int, Any]:
        with self._step:
            charter, _ = self._engine.get(CHARTER + asked.name)
            if charter is not None:
                return 200, wire.machines_answer(charter.value)
            kind = self._kinds.get(asked.kind)
            if kind is None or asked.zone != self._zone:
                return 400, {"error": "no such type or zone"}
            count = min(asked.count, kind.limit - self._here(asked.kind))
            if count < 1 or asked.spot:
                return 503, {"error": "no capacity"}
            return 200, wire.machines_answer(self._create_machines(asked.kind, True, count, "", None, asked.name))

    def _here(self, kind: str) -> int:
        return sum(1 for machine in self.machines().values() if machine.here and machine.kind == kind)

    def _list(self, query: str) -> dict[str, Any]:
        arguments = parse_qs(query, keep_blank_values=True)
        after = arguments.get("from", [""])[-1]
        most = min(MOST_LISTED, int(arguments.get("page", [str(MOST_LISTED)])[-1]))
        now = time.time()
        rows = []
        machines = sorted((name, machine) for name, machine in self.machines().items() if name > after)
        for name, machine in machines[:most]:
            address = self._address_of(name)
            rows.append(
                wire.machine_row(
                    name,
                    f"{address[0]}:{address[1]}" if address else None,
                    machine.kind,
                    machine.zone,
                    "running" if machine.joined else "booting",
                    max(0.0, now - machine.made),
                )
            )
        return wire.machine_page(rows, len(machines) > most)

    def _release(self, names: list[str]) -> tuple[int, Any]:
        gone = [name for name in names if self._certainly_gone(name)]
        if len(gone) == len(names):
            return 200, {}
        # more than the protocol's cloud says: it is always certain
        return 409, {"error": "not proven gone: " + ", ".join(set(names) - set(gone)), **wire.machines_answer(gone)}

    def _certainly_gone(self, name: str) -> bool:
        machine = self.machines().get(name)
        if machine is None:
            return True
        if machine.here:
            if not self._processes.kill(name):
                return False
        elif not self._has_left(name):
            return False
        with self._step:
            self._bury(name)
        return True

    def _has_left(self, name: str) -> bool:
        address = self._address_of(name)
        if address is None:
            return False
        try:
            status, _ = self._connect(address).request("POST", paths.AGENT_LEAVE, {"machine": name}, LEAVE_S)
        except (UnreachableError, NoAnswerError) as error:
            log.info("%s can't be told to leave: %s", name, error)
            return False
        return status == 200

    def forget(self, name: str) -> bool:
        """An operator's word that a machine and all that it ran is gone; False if there is no such machine."""
        with self._step:
            if not self._bury(name):
                return False
            log.warning("%s is gone by an operator's word", name)
            return True

    # Agents here are kept up

    def start(self) -> None:
        """Start the thread that keeps agents here going."""
        threading.Thread(target=self._tend, name="provider", daemon=True).start()

    def _tend(self) -> None:
        while not self._ended.wait(TEND_S):
            try:
                self.tend_once()
            except (StoreUnavailableError, ConditionFailedError, NotYet) as error:
                log.info("machines aren't tended: %s", error)
            except Exception:
                log.exception("provider")

    def tend_once(self) -> None:
        """Start and end agents here as the record says."""
        with self._step:
            for name, kind in self._kinds.items():
                missing = kind.agents - self._here(name)
                if missing > 0:
                    self._create_machines(name, True, missing, "", None, None)
        for name, machine in self.machines().items():
            if machine.here and not self._ended.is_set():
                self._processes.keep_up(name, machine.kind, machine.nonce)

    def stop(self) -> None:
        """End the agents here, in order; they come back with the next start."""
        self._ended.set()
        self._processes.end_in_order([name for name, machine in self.machines().items() if machine.here])
