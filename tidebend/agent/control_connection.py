"""The agent's requests to the control service: reports, job descriptions and gang status, each in its own thread."""

from __future__ import annotations

import logging
import random
import threading
import time
from functools import partial

import msgspec

from tidebend.access import KeyedClient, Keyring, Tls, parse_address
from tidebend.agent.worker import Worker
from tidebend.messages import Description, GangMemberStatus, GangVerdict, JoinRequest, JoinResponse, paths
from tidebend.protocol.worker import PATH_REPORT, STATUS_MISDIRECTED, parse_redirect, parse_report_answer
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("agent")

REQUEST_TIMEOUT_S = 4.0
NEXT_CONTROLLER_PAUSE_S = 1.0
MIN_PAUSE_S = 0.5
# Interval between status requests of a gang's tasks, as a share of `gang_peer_s`, the time within which they must
# detect the loss of another task.
GANG_STATUS_INTERVAL_SHARE = 0.1


class AdmissionRefusedError(Exception):
    """The control service refused this agent; the message gives the reason."""


class MachineReplacedError(Exception):
    """The machine that this agent ran as has been removed; the agent may join as a new one."""


def join(client: HttpClient, request: JoinRequest) -> JoinResponse | None:
    """Join as a machine. Return None if the control service isn't available at the moment.

    Raises AdmissionRefusedError or MachineReplacedError.
    """
    try:
        status, body = client.request("POST", paths.AGENTS, msgspec.to_builtins(request), REQUEST_TIMEOUT_S)
    except (UnreachableError, NoAnswerError) as error:
        log.info("control service unavailable: %s", error)
        return None
    if status == 200:
        return msgspec.convert(body, JoinResponse)
    if status == 410:
        raise MachineReplacedError
    if status in (400, 401, 404, 409):
        raise AdmissionRefusedError(f"{status}: {(body or {}).get('error')}")
    return None


class ControlConnection:
    """Requests of one machine to its control service, made by threads that run until `end`."""

    def __init__(self, keyring: Keyring, config: JoinResponse, tls: Tls | None) -> None:
        self._keyring = keyring
        self._tls = tls.client_context() if tls else None
        self._config = config
        self._clients = {name: self._create_client(address) for name, address in config.controllers.items()}
        self._controllers = list(self._clients)
        self.report_wanted = threading.Event()
        self.fetch_wanted = threading.Event()
        self.gang_status_wanted = threading.Event()
        self.last_answer_at = time.monotonic()  # monotonic time of the last answer to a report
        self._ended = threading.Event()

    def _create_client(self, address: str) -> KeyedClient:
        return KeyedClient(parse_address(address), self._keyring.bearer_token, 2, self._tls)

    def start(self, worker: Worker) -> None:
        """Start the threads."""
        for target in (self._report, self._describe, self._ask_about_gangs):
            threading.Thread(
                target=self._run_repeatedly, args=(target, worker), name=target.__name__, daemon=True
            ).start()

    def end(self) -> None:
        """Tell the threads to end."""
        self._ended.set()
        for event in (self.report_wanted, self.fetch_wanted, self.gang_status_wanted):
            event.set()

    def _run_repeatedly(self, step, worker: Worker) -> None:
        while not self._ended.is_set():
            try:
                step(worker)
            except TimeoutError:
                log.warning("timeout waiting for the worker thread")
            except Exception:
                log.exception("unexpected error in %s", step.__name__)
                time.sleep(MIN_PAUSE_S)

    # Reports: one request at a time, sent at once after a change but at most once per half second

    def _report(self, worker: Worker) -> None:
        self.report_wanted.clear()
        name = self._controllers[0]
        sent = time.monotonic()
        if not self._report_to(worker, name):
            self._controllers = [*self._controllers[1:], name]
            self._ended.wait(NEXT_CONTROLLER_PAUSE_S)
            return
        until_next_s = max(MIN_PAUSE_S, self._config.report_s * random.uniform(0.75, 1.25)) - (time.monotonic() - sent)
        min_pause_s = MIN_PAUSE_S - (time.monotonic() - sent)
        self._ended.wait(max(0.0, min_pause_s))
        self.report_wanted.wait(max(0.0, until_next_s - max(0.0, min_pause_s)))

    def _report_to(self, worker: Worker, name: str) -> bool:
        """Send a report to this controller; False if the next report should go to another."""
        body, session, sent = worker.call(worker.report)
        began = time.monotonic()
        try:
            status, answer = self._clients[name].request("POST", PATH_REPORT, body, REQUEST_TIMEOUT_S)
        except (UnreachableError, NoAnswerError) as error:
            log.info("report failed: %s", error)
            return False
        if time.monotonic() - began > REQUEST_TIMEOUT_S:
            return False
        if status == STATUS_MISDIRECTED:
            redirected_to = parse_redirect(answer)
            if redirected_to is None or redirected_to == name or redirected_to not in self._clients:
                return False
            self._controllers = [redirected_to, *(other for other in self._controllers if other != redirected_to)]
            return True
        if status != 200:
            log.info("report rejected with status %s", status)
            return False
        self.last_answer_at = time.monotonic()
        parsed = parse_report_answer(answer)
        if not worker.call(lambda: worker.apply_answer(parsed, session, sent)):
            log.info("ignored an answer to a report: its fencing token or session is outdated")
        return True

    # Descriptions

    def _describe(self, worker: Worker) -> None:
        self.fetch_wanted.wait(self._config.lease_s)
        self.fetch_wanted.clear()
        for job in worker.call(worker.jobs_without_description):
            path = f"{paths.DESCRIPTIONS}/{job}?machine={self._config.machine}"
            try:
                status, body = self._clients[self._controllers[0]].request("GET", path, None, REQUEST_TIMEOUT_S)
            except (UnreachableError, NoAnswerError) as error:
                log.info("fetching the description of %s failed: %s", job, error)
                status, body = 503, None
            if status == 200:
                description = msgspec.convert(body, Description)
                worker.call(partial(worker.apply_description, job, description))
            elif status == 404:
                worker.call(partial(worker.apply_description, job, None))
            else:
                self._ended.wait(MIN_PAUSE_S)
                self.fetch_wanted.set()

    # Gangs

    def _ask_about_gangs(self, worker: Worker) -> None:
        self.gang_status_wanted.wait(self._config.gang_peer_s * GANG_STATUS_INTERVAL_SHARE)
        self.gang_status_wanted.clear()
        for task, phase in worker.call(worker.gang_members):
            request = GangMemberStatus(task.job, task.attempt, task.index, task.known_description.tasks, phase)
            try:
                status, body = self._clients[self._controllers[0]].request(
                    "POST", paths.GANG_STATUS, msgspec.to_builtins(request), REQUEST_TIMEOUT_S
                )
            except (UnreachableError, NoAnswerError):
                self._ended.wait(MIN_PAUSE_S)
                return
            if status == 200:
                answer = msgspec.convert(body, GangVerdict)
                if answer.verdict != "wait":
                    worker.call(partial(worker.apply_gang_verdict, task, answer))
        if not self.gang_status_wanted.is_set():
            self._ended.wait(min(0.1, self._config.gang_peer_s * GANG_STATUS_INTERVAL_SHARE))
