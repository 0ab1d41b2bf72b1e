"""Main loop of an agent: joins the control service and runs as a machine until it is told to leave or to end."""

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

THREAD_STACK_BYTES = 256 * 1024
MAX_CONNECTIONS = 64


def run_agent(settings: AgentSettings) -> int:
    """Run until SIGTERM or SIGINT; return the exit status.

    Raises DirectoryLockedError, WriteAheadLogError, KeyFileError or AdmissionRefusedError.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    directory = settings.data_directory()
    lock = _lock_directory(directory)
    keyring = Keyring(Path(settings.key_file))
    write_ahead_log = WriteAheadLog(directory)
    own_process = read_process_info(os.getpid())
    write_ahead_log.set_facts(
        pid=str(os.getpid()), started=str(own_process.start_ticks if own_process else 0), boot=boot_id()
    )
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    try:
        if write_ahead_log.get_fact("gone"):
            log.info("this machine was released: ending")
            return 0
        while not stopping.is_set():
            if not _run_as_machine(settings, keyring, write_ahead_log, stopping):
                return 0
    finally:
        write_ahead_log.close()
        lock.release()
    return 0


def _lock_directory(directory: Path) -> DirectoryLock:
    """Lock the data directory, since two agents with one write-ahead log would end each other's tasks.

    Retries for 2 seconds, because the provider holds the lock briefly at times.
    """
    for _ in range(20):
        try:
            return DirectoryLock(directory)
        except DirectoryLockedError:
            time.sleep(0.1)
    return DirectoryLock(directory)


def _run_as_machine(
    settings: AgentSettings, keyring: Keyring, write_ahead_log: WriteAheadLog, stopping: threading.Event
) -> bool:
    """Join and run as one machine; return False if the agent should end."""
    nonce = write_ahead_log.get_fact("nonce")
    if not nonce:
        nonce = uuid.uuid4().hex
        # No controller knows sessions or tokens of a new machine, so both start from 0.
        write_ahead_log.set_facts(nonce=nonce, session="0", token="0")
    try:
        config = _join_control_service(settings, keyring, nonce, write_ahead_log.get_fact("left").split(), stopping)
    except MachineReplacedError:
        # An operator removed the machine while the agent wasn't running; its processes end before a new machine starts.
        while not kill_recorded_processes(write_ahead_log):
            log.error("processes of the former machine can't be ended; trying again")
        write_ahead_log.set_facts(nonce="", machine="")
        return not stopping.wait(0.5)
    if config is None:
        return False
    write_ahead_log.set_facts(machine=config.machine, left="")
    connection = ControlConnection(keyring, config, settings.tls)
    # The worker's reports contain the server's port, and the routes need the worker, so the server comes first.
    server = AuthenticatedServer(
        parse_address(settings.listen),
        lambda *_: Reply(503, {"error": "starting"}),
        keyring,
        2 * config.lease_s,
        min(5.0, config.lease_s / 2),
        MAX_CONNECTIONS,
        settings.tls.server_context() if settings.tls else None,
    )
    worker = Worker(
        settings.data_directory(),
        write_ahead_log,
        config,
        f"{server.host}:{server.port}",
        settings.kind,
        lambda _: connection.fetch_wanted.set(),
        connection.gang_status_wanted.set,
        connection.report_wanted.set,
    )
    server.route = endpoints.route(worker)
    thread = worker.start()
    connection.start(worker)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 1.0}, name="doors", daemon=True).start()
    log.info("machine %s of type %s listens on %s", config.machine, settings.kind, worker.address)
    max_silence_s = settings.alone_leases * config.lease_s
    while thread.is_alive() and not stopping.wait(0.2):
        if max_silence_s and time.monotonic() - connection.last_answer_at > max_silence_s:
            log.warning("no answer from the control service for %.0f s: ending", max_silence_s)
            stopping.set()
    if thread.is_alive():
        worker.call(worker.stop, timeout=30.0)
        thread.join(5.0)
    connection.end()
    time.sleep(0.1)  # lets the answer to a leave request be sent
    server.shutdown()
    server.server_close()
    return not stopping.is_set()


def _join_control_service(
    settings: AgentSettings, keyring: Keyring, nonce: str, left: list[str], stopping: threading.Event
) -> JoinResponse | None:
    client = KeyedClient(
        parse_address(settings.control),
        keyring.bearer_token,
        1,
        settings.tls.client_context() if settings.tls else None,
    )
    since = time.monotonic()
    while not stopping.is_set():
        config = join(client, JoinRequest(nonce, settings.kind, settings.label or os.uname().nodename, left))
        if config is not None:
            return config
        if settings.alone_leases and time.monotonic() - since > 60.0 * settings.alone_leases:
            return None
        stopping.wait(0.5)
    return None
