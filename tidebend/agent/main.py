"""One agent: joins the control service, and is a machine until it is told to leave or to end."""

from __future__ import annotations

import logging
import os
import signal
import threading
import time
import uuid
from pathlib import Path

from tidebend.access import AuthenticatedServer, KeyedClient, Keyring, parse_address
from tidebend.agent import endpoints
from tidebend.agent.control_connection import ControlConnection, MachineReplacedError, join
from tidebend.agent.processes import boot_id, kill_recorded_processes, read_process_info
from tidebend.agent.settings import AgentSettings
from tidebend.agent.worker import Worker
from tidebend.agent.write_ahead_log import WriteAheadLog
from tidebend.kvstore import DirectoryLock, DirectoryLockedError
from tidebend.messages import JoinRequest, JoinResponse
from tidebend.transport import Reply

log = logging.getLogger("agent")

STACK_BYTES = 256 * 1024
MOST_CONNECTIONS = 64


def run_agent(settings: AgentSettings) -> int:
    """Until SIGTERM or SIGINT; the exit status. Raises DirectoryLockedError, BadDiary, BadKeys or Refused."""
    threading.stack_size(STACK_BYTES)
    directory = settings.place()
    lock = _locked(directory)
    ring = Keyring(Path(settings.key_file))
    write_ahead_log = WriteAheadLog(directory)
    me = read_process_info(os.getpid())
    write_ahead_log.set_facts(pid=str(os.getpid()), started=str(me.start_ticks if me else 0), boot=boot_id())
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    try:
        if write_ahead_log.get_fact("gone"):
            log.info("this machine was given back: ending")
            return 0
        while not ended.is_set():
            if not _be_a_machine(settings, ring, write_ahead_log, ended):
                return 0
    finally:
        write_ahead_log.close()
        lock.release()
    return 0


def _locked(directory: Path) -> DirectoryLock:
    """Lock the directory: two agents with one write-ahead log would end each other's tasks.

    The provider holds the lock for a moment at times.
    """
    for _ in range(20):
        try:
            return DirectoryLock(directory)
        except DirectoryLockedError:
            time.sleep(0.1)
    return DirectoryLock(directory)


def _be_a_machine(
    settings: AgentSettings, ring: Keyring, write_ahead_log: WriteAheadLog, ended: threading.Event
) -> bool:
    """One life as one machine; False if the agent is to end."""
    nonce = write_ahead_log.get_fact("nonce")
    if not nonce:
        nonce = uuid.uuid4().hex
        # a new machine begins anew: nobody knows its sessions or tokens
        write_ahead_log.set_facts(nonce=nonce, session="0", token="0")
    try:
        terms = _join(settings, ring, nonce, write_ahead_log.get_fact("left").split(), ended)
    except MachineReplacedError:
        # by an operator's word, while we were away: whatever is left of that life ends before another begins
        while not kill_recorded_processes(write_ahead_log):
            log.error("processes of an earlier life can't be ended; trying again")
        write_ahead_log.set_facts(nonce="", machine="")
        return not ended.wait(0.5)
    if terms is None:
        return False
    write_ahead_log.set_facts(machine=terms.machine, left="")
    link = ControlConnection(ring, terms, settings.tls)
    # the port is known before the first report is made, and the routes once there is a worker
    gate = AuthenticatedServer(
        parse_address(settings.listen),
        lambda *_: Reply(503, {"error": "starting"}),
        ring,
        2 * terms.lease_s,
        min(5.0, terms.lease_s / 2),
        MOST_CONNECTIONS,
        settings.tls.server_context() if settings.tls else None,
    )
    worker = Worker(
        settings.place(),
        write_ahead_log,
        terms,
        f"{gate.host}:{gate.port}",
        settings.kind,
        lambda _: link.fetch_wanted.set(),
        link.gang_status_wanted.set,
        link.changed.set,
    )
    gate.route = endpoints.route(worker)
    thread = worker.start()
    link.start(worker)
    threading.Thread(target=gate.serve_forever, kwargs={"poll_interval": 1.0}, name="doors", daemon=True).start()
    log.info("machine %s of type %s listens on %s", terms.machine, settings.kind, worker.address)
    alone_s = settings.alone_leases * terms.lease_s
    while thread.is_alive() and not ended.wait(0.2):
        if alone_s and time.monotonic() - link.heard > alone_s:
            log.warning("nothing heard of the control service for %.0f s: ending", alone_s)
            ended.set()
    if thread.is_alive():
        worker.call(worker.stop, timeout=30.0)
        thread.join(5.0)
    link.end()
    time.sleep(0.1)  # whoever told us to leave gets his answer
    gate.shutdown()
    gate.server_close()
    return not ended.is_set()


def _join(
    settings: AgentSettings, ring: Keyring, nonce: str, left: list[str], ended: threading.Event
) -> JoinResponse | None:
    client = KeyedClient(
        parse_address(settings.control), ring.bearer_token, 1, settings.tls.client_context() if settings.tls else None
    )
    since = time.monotonic()
    while not ended.is_set():
        terms = join(client, JoinRequest(nonce, settings.kind, settings.label or os.uname().nodename, left))
        if terms is not None:
            return terms
        if settings.alone_leases and time.monotonic() - since > 60.0 * settings.alone_leases:
            return None
        ended.wait(0.5)
    return None
