"""The local provider: durable records of the machines, and the cloud API that the controller calls.

A release is confirmed only once the machine and all its tasks are certainly gone: the processes of an agent on this
machine were killed, an agent elsewhere has confirmed that it left, or an operator has declared the machine gone. The
silence of an agent elsewhere proves nothing; its release stays unconfirmed until it can be reached again.
"""

from __future__ import annotations

import logging
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any
from urllib.parse import parse_qs

import msgspec

from tidebend.kvstore import ConditionFailedError, Engine, StoreUnavailableError, Write
from tidebend.messages import paths
from tidebend.protocol import cloud as wire
from tidebend.provider.agents import AgentProcesses
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("provider")

MACHINE_PREFIX = "desk/machine/"
RENTAL_PREFIX = "desk/charter/"
NONCE_PREFIX = "desk/nonce/"
COUNTER_KEY = "desk/machines"

RECONCILE_INTERVAL_S = 0.25
LEAVE_TIMEOUT_S = 20.0
MAX_PAGE_MACHINES = 500  # the protocol's limit for a page of machines; `more` says whether another page follows


class MachineTypeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A type of machine. `agents` of it always run on this machine, and up to `most` when there is work."""

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
        """Return the maximum number of agents of this type on this machine."""
        return self.agents if self.most is None else self.most


class Machine(msgspec.Struct, frozen=True):
    """The stored record of a machine."""

    kind: str
    zone: str
    here: bool  # its agent is a process that this provider starts and kills
    nonce: str
    label: str
    made: float  # wall-clock time of the record's creation, in seconds since the epoch
    joined: bool = False
    gone: bool = False


class JoinRefusedError(Exception):
    """The agent can't join; the text says why."""


class MachineGoneError(JoinRefusedError):
    """The machine of the joining agent is recorded as gone."""


class Provider:
    """A cloud whose machines are agents, which it starts on this machine or which join from elsewhere."""

    def __init__(
        self,
        engine: Engine,
        zone: str,
        machine_types: dict[str, MachineTypeSettings],
        processes: AgentProcesses,
        connect: Callable[[tuple[str, int]], HttpClient],
        address_of: Callable[[str], tuple[str, int] | None],
    ) -> None:
        self._engine = engine
        self._zone = zone
        self._machine_types = machine_types
        self._processes = processes
        self._connect = connect
        self._address_of = address_of
        self._lock = threading.Lock()  # guards _machines; changes of records are serialized by _record_lock
        self._record_lock = threading.Lock()
        # machines that aren't gone, with the versions of their records
        self._machines: dict[str, tuple[Machine, int]] = {}
        self._load()
        self._stopped = threading.Event()

    # Records

    def _load(self) -> None:
        for row in self._engine.all_items(MACHINE_PREFIX):
            machine = msgspec.convert(row.value, Machine)
            if not machine.gone:
                self._machines[row.key[len(MACHINE_PREFIX) :]] = (machine, row.version)

    def machines(self) -> dict[str, Machine]:
        """Return the machines by name."""
        with self._lock:
            return {name: machine for name, (machine, _) in self._machines.items()}

    def _create_machines(
        self, kind: str, here: bool, count: int, label: str, nonce: str | None, rental: str | None
    ) -> list[str]:
        """Record new machines and the rental or nonce that asked for them, in one transaction. Return their names."""
        counter, _ = self._engine.get(COUNTER_KEY)
        number = counter.value if counter else 0
        new_machines = {}
        for offset in range(count):
            machine_nonce = nonce or uuid.uuid4().hex
            new_machines[f"vm-{number + 1 + offset:06d}"] = Machine(
                kind, self._zone, here, machine_nonce, label, time.time(), joined=not here
            )
        writes = [Write(COUNTER_KEY, msgspec.json.encode(number + count))]
        writes += [Write(MACHINE_PREFIX + name, msgspec.json.encode(machine)) for name, machine in new_machines.items()]
        writes += [
            Write(NONCE_PREFIX + machine.nonce, msgspec.json.encode(name)) for name, machine in new_machines.items()
        ]
        if rental is not None:
            writes.append(Write(RENTAL_PREFIX + rental, msgspec.json.encode(list(new_machines))))
        revision = self._engine.transact({COUNTER_KEY: counter.version if counter else 0}, writes)
        with self._lock:
            self._machines.update((name, (machine, revision)) for name, machine in new_machines.items())
        return list(new_machines)

    def _update(self, name: str, machine: Machine) -> None:
        with self._lock:
            _, version = self._machines[name]
        revision = self._engine.transact(
            {MACHINE_PREFIX + name: version}, [Write(MACHINE_PREFIX + name, msgspec.json.encode(machine))]
        )
        with self._lock:
            if machine.gone:
                del self._machines[name]
            else:
                self._machines[name] = (machine, revision)

    def _record_gone(self, name: str) -> bool:
        """Record that a machine is gone. Return False if there is no such machine. The caller holds _record_lock."""
        machine = self.machines().get(name)
        if machine is None:
            return False
        self._update(name, msgspec.structs.replace(machine, gone=True))
        return True

    # Agents that join

    def join(self, nonce: str, kind: str, label: str, left: list[str]) -> str:
        """Return the name of the agent's machine, a new one for an unknown nonce. `left` are machines that it has left.

        Raises JoinRefusedError, or StoreUnavailableError if it can't be recorded.
        """
        if kind not in self._machine_types:
            raise JoinRefusedError(f"kind: {kind!r} is none of {', '.join(self._machine_types)}")
        with self._record_lock:
            for name in left:  # the agent reports that it has ended all its tasks on these machines
                machine = self.machines().get(name)
                if machine is not None and not machine.here:
                    self._record_gone(name)
            item, _ = self._engine.get(NONCE_PREFIX + nonce)
            if item is None:
                (name,) = self._create_machines(kind, False, 1, label, nonce, None)
                log.info("agent %s joined as machine %s of type %s", label, name, kind)
                return name
            name = item.value
            machine = self.machines().get(name)
            if machine is None:
                raise MachineGoneError(f"{name} is gone")
            if machine.kind != kind:
                raise JoinRefusedError(f"kind: {name} is of type {machine.kind}")
            if not machine.joined:
                self._update(name, msgspec.structs.replace(machine, joined=True))
            return name

    def machine_type(self, kind: str) -> MachineTypeSettings:
        """Return the settings of a machine type."""
        return self._machine_types[kind]

    # The cloud API

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        """Answer a request like `transport.HttpClient.request`, for a controller in the same process."""
        path, _, query = path.partition("?")
        try:
            if path == wire.PATH_TYPES:
                return 200, wire.types_answer(
                    [
                        wire.type_row(name, kind.cpus, kind.gpus, kind.memory_gb, 1000.0, kind.price, 1.0, [self._zone])
                        for name, kind in self._machine_types.items()
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
        except (StoreUnavailableError, ConditionFailedError, FutureTimeoutError) as error:
            return 503, {"error": f"the key-value store request failed: {error}"}
        return 404, {"error": "no such path"}

    def _rent(self, rental_request: wire.Rental) -> tuple[int, Any]:
        with self._record_lock:
            rental, _ = self._engine.get(RENTAL_PREFIX + rental_request.name)
            if rental is not None:
                return 200, wire.machines_answer(rental.value)
            kind = self._machine_types.get(rental_request.kind)
            if kind is None or rental_request.zone != self._zone:
                return 400, {"error": "no such type or zone"}
            count = min(rental_request.count, kind.limit - self._count_here(rental_request.kind))
            if count < 1 or rental_request.spot:
                return 503, {"error": "no capacity"}
            return 200, wire.machines_answer(
                self._create_machines(rental_request.kind, True, count, "", None, rental_request.name)
            )

    def _count_here(self, kind: str) -> int:
        return sum(1 for machine in self.machines().values() if machine.here and machine.kind == kind)

    def _list(self, query: str) -> dict[str, Any]:
        arguments = parse_qs(query, keep_blank_values=True)
        after = arguments.get("from", [""])[-1]
        limit = min(MAX_PAGE_MACHINES, int(arguments.get("page", [str(MAX_PAGE_MACHINES)])[-1]))
        now = time.time()
        rows = []
        machines = sorted((name, machine) for name, machine in self.machines().items() if name > after)
        for name, machine in machines[:limit]:
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
        return wire.machine_page(rows, len(machines) > limit)

    def _release(self, names: list[str]) -> tuple[int, Any]:
        gone = [name for name in names if self._confirm_gone(name)]
        if len(gone) == len(names):
            return 200, {}
        # an answer that the protocol's cloud never gives, since its releases are always certain
        return 409, {"error": "not proven gone: " + ", ".join(set(names) - set(gone)), **wire.machines_answer(gone)}

    def _confirm_gone(self, name: str) -> bool:
        machine = self.machines().get(name)
        if machine is None:
            return True
        if machine.here:
            if not self._processes.kill(name):
                return False
        elif not self._ask_to_leave(name):
            return False
        with self._record_lock:
            self._record_gone(name)
        return True

    def _ask_to_leave(self, name: str) -> bool:
        address = self._address_of(name)
        if address is None:
            return False
        try:
            status, _ = self._connect(address).request("POST", paths.AGENT_LEAVE, {"machine": name}, LEAVE_TIMEOUT_S)
        except (UnreachableError, NoAnswerError) as error:
            log.info("the agent of machine %s couldn't be asked to leave: %s", name, error)
            return False
        return status == 200

    def forget(self, name: str) -> bool:
        """Record an operator's statement that a machine and its tasks are gone. Return False if it is unknown."""
        with self._record_lock:
            if not self._record_gone(name):
                return False
            log.warning("an operator declared machine %s gone", name)
            return True

    # Agents on this machine

    def start(self) -> None:
        """Start the thread that keeps the agents on this machine running."""
        threading.Thread(target=self._reconcile_loop, name="provider", daemon=True).start()

    def _reconcile_loop(self) -> None:
        while not self._stopped.wait(RECONCILE_INTERVAL_S):
            try:
                self.reconcile_once()
            except (StoreUnavailableError, ConditionFailedError, FutureTimeoutError) as error:
                log.info("machines weren't reconciled, a key-value store request failed: %s", error)
            except Exception:
                log.exception("unexpected error while reconciling machines")

    def reconcile_once(self) -> None:
        """Record the machines that a type is short of, and start the agents on this machine that aren't running."""
        with self._record_lock:
            for name, kind in self._machine_types.items():
                missing = kind.agents - self._count_here(name)
                if missing > 0:
                    self._create_machines(name, True, missing, "", None, None)
        for name, machine in self.machines().items():
            if machine.here and not self._stopped.is_set():
                self._processes.ensure_running(name, machine.kind, machine.nonce)

    def stop(self) -> None:
        """Stop the agents on this machine; the next start of the control service starts them again."""
        self._stopped.set()
        self._processes.stop_all([name for name, machine in self.machines().items() if machine.here])
