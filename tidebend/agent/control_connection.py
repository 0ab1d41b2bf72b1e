"""The agent's calls to the control service, each in a thread of its own: reports, descriptions, gangs."""

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

ANSWER_S = 4.0
NEXT_NODE_S = 1.0
LEAST_PAUSE_S = 0.5
# a gang's tasks ask after each other this often, as a share of the time within which they must notice
GANG_STATUS_SHARE = 0.1


class AdmissionRefusedError(Exception):
    """The control service won't have this agent; the text says why."""


class MachineReplacedError(Exception):
    """The machine that this agent was is gone; it may become another."""


def join(client: HttpClient, asked: JoinRequest) -> JoinResponse | None:
    """Become a machine; None if the control service can't be asked now. Raises Refused or Gone."""
    try:
        status, body = client.request("POST", paths.AGENTS, msgspec.to_builtins(asked), ANSWER_S)
    except (UnreachableError, NoAnswerError) as error:
        log.info("the control service can't be asked: %s", error)
        return None
    if status == 200:
        return msgspec.convert(body, JoinResponse)
    if status == 410:
        raise MachineReplacedError
    if status in (400, 401, 404, 409):
        raise AdmissionRefusedError(f"{status}: {(body or {}).get('error')}")
    return None


class ControlConnection:
    """The requests of one machine to its control service, by threads that run until `end`."""

    def __init__(self, ring: Keyring, terms: JoinResponse, tls: Tls | None) -> None:
        self._ring = ring
        self._tls = tls.client_context() if tls else None
        self._terms = terms
        self._clients = {name: self._client(address) for name, address in terms.controllers.items()}
        self._names = list(self._clients)
        self.changed = threading.Event()
        self.fetch_wanted = threading.Event()
        self.gang_status_wanted = threading.Event()
        self.heard = time.monotonic()  # when the control service last answered a report
        self._ended = threading.Event()

    def _client(self, address: str) -> KeyedClient:
        return KeyedClient(parse_address(address), self._ring.bearer_token, 2, self._tls)

    def start(self, worker: Worker) -> None:
        """Start the threads."""
        for target in (self._report, self._describe, self._ask_about_gangs):
            threading.Thread(target=self._forever, args=(target, worker), name=target.__name__, daemon=True).start()

    def end(self) -> None:
        """Have the threads end."""
        self._ended.set()
        for event in (self.changed, self.fetch_wanted, self.gang_status_wanted):
            event.set()

    def _forever(self, step, worker: Worker) -> None:
        while not self._ended.is_set():
            try:
                step(worker)
            except TimeoutError:
                log.warning("the worker is busy")
            except Exception:
                log.exception("%s", step.__name__)
                time.sleep(LEAST_PAUSE_S)

    # Reports: one in flight, at once on a change though not more often than every half second

    def _report(self, worker: Worker) -> None:
        self.changed.clear()
        name = self._names[0]
        sent = time.monotonic()
        if not self._report_to(worker, name):
            self._names = [*self._names[1:], name]
            self._ended.wait(NEXT_NODE_S)
            return
        rest = max(LEAST_PAUSE_S, self._terms.report_s * random.uniform(0.75, 1.25)) - (time.monotonic() - sent)
        early = LEAST_PAUSE_S - (time.monotonic() - sent)
        self._ended.wait(max(0.0, early))
        self.changed.wait(max(0.0, rest - max(0.0, early)))

    def _report_to(self, worker: Worker, name: str) -> bool:
        """Whether to stay with this node."""
        body, session, sent = worker.call(worker.report)
        began = time.monotonic()
        try:
            status, answer = self._clients[name].request("POST", PATH_REPORT, body, ANSWER_S)
        except (UnreachableError, NoAnswerError) as error:
            log.info("report: %s", error)
            return False
        if time.monotonic() - began > ANSWER_S:
            return False
        if status == STATUS_MISDIRECTED:
            other = parse_redirect(answer)
            if other is None or other == name or other not in self._clients:
                return False
            self._names = [other, *(rest for rest in self._names if rest != other)]
            return True
        if status != 200:
            log.info("report: answered with %s", status)
            return False
        self.heard = time.monotonic()
        parsed = parse_report_answer(answer)
        if not worker.call(lambda: worker.apply_answer(parsed, session, sent)):
            log.info("an answer was dropped: its token or session is an old one")
        return True

    # Descriptions

    def _describe(self, worker: Worker) -> None:
        self.fetch_wanted.wait(self._terms.lease_s)
        self.fetch_wanted.clear()
        for job in worker.call(worker.jobs_without_description):
            path = f"{paths.DESCRIPTIONS}/{job}?machine={self._terms.machine}"
            try:
                status, body = self._clients[self._names[0]].request("GET", path, None, ANSWER_S)
            except (UnreachableError, NoAnswerError) as error:
                log.info("description of %s: %s", job, error)
                status, body = 503, None
            if status == 200:
                description = msgspec.convert(body, Description)
                worker.call(partial(worker.apply_description, job, description))
            elif status == 404:
                worker.call(partial(worker.apply_description, job, None))
            else:
                self._ended.wait(LEAST_PAUSE_S)
                self.fetch_wanted.set()

    # Gangs

    def _ask_about_gangs(self, worker: Worker) -> None:
        self.gang_status_wanted.wait(self._terms.gang_peer_s * GANG_STATUS_SHARE)
        self.gang_status_wanted.clear()
        for task, phase in worker.call(worker.gang_members):
            asked = GangMemberStatus(task.job, task.attempt, task.index, task.known_description.tasks, phase)
            try:
                status, body = self._clients[self._names[0]].request(
                    "POST", paths.GANG_STATUS, msgspec.to_builtins(asked), ANSWER_S
                )
            except (UnreachableError, NoAnswerError):
                self._ended.wait(LEAST_PAUSE_S)
                return
            if status == 200:
                answer = msgspec.convert(body, GangVerdict)
                if answer.verdict != "wait":
                    worker.call(partial(worker.apply_gang_verdict, task, answer))
        if not self.gang_status_wanted.is_set():
            self._ended.wait(min(0.1, self._terms.gang_peer_s * GANG_STATUS_SHARE))
