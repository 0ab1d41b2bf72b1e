"""Routing of HTTP requests to their handlers by method and path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tidebend import protocol
from tidebend.controller.api.job_api import JobApi
from tidebend.controller.api.replies import RETRY_LATER
from tidebend.controller.readiness import Readiness
from tidebend.transport import Reply

ReadBody = Callable[[], bytes]

JOBS_PREFIX = protocol.PATH_JOBS + "/"


@dataclass(frozen=True)
class Endpoint:
    """The handler of a path and the methods that it accepts; others are answered with 405."""

    methods: tuple[str, ...]
    handle: Callable[[ReadBody], Reply]

    def call(self, method: str, read_body: ReadBody) -> Reply:
        """Handle a request; the body is read only if the handler needs it."""
        if method not in self.methods:
            return Reply(405, {"error": f"use {self.methods[0]}"})
        return self.handle(read_body)


class Router:
    """Routes workers' heartbeats, the load balancer's readiness probes and users' requests."""

    def __init__(self, readiness: Readiness, job_api: JobApi, handle_heartbeat: Callable[[bytes], Reply]) -> None:
        """`handle_heartbeat` is called with the body of a worker's heartbeat."""
        self._readiness = readiness
        self._job_api = job_api
        self._heartbeats = Endpoint(("POST",), lambda read_body: handle_heartbeat(read_body()))
        self._readiness_probes = Endpoint(("GET", "HEAD"), lambda _: self._probe())

    def route(self, method: str, path: str, read_body: ReadBody) -> Reply:
        """Answer a request. Propagates the errors of reading and parsing its body.

        Requests other than heartbeats wait for the first read of the key-value store after a start.
        """
        path = path.partition("?")[0]
        if path == protocol.PATH_REPORT:
            reply = self._heartbeats.call(method, read_body)
            # a worker reconnects for its next heartbeat; a user would have to repeat a request
            reply.close_if_crowded = True
            return reply
        self._readiness.wait_for_first_read()
        if path == protocol.PATH_READY:
            return self._readiness_probes.call(method, read_body)
        endpoint = self._user_endpoint(path)
        reply = Reply(404, {"error": "no such path"}) if endpoint is None else endpoint.call(method, read_body)
        # If only this controller has lost contact with the store, its users have to reconnect to reach another one. The
        # load balancer takes several seconds to notice, and open connections stay with this controller until then.
        reply.close_connection = reply.status == 503 and not self._readiness.is_ready()
        return reply

    def _user_endpoint(self, path: str) -> Endpoint | None:
        """Return the endpoint of a path of the users' API; None if the path is unknown."""
        if path == protocol.PATH_JOBS:
            return Endpoint(("POST",), lambda read_body: self._job_api.submit(read_body()))
        if not path.startswith(JOBS_PREFIX):
            return None
        job_id, slash, action = path[len(JOBS_PREFIX) :].partition("/")
        if not slash:
            return Endpoint(("GET",), lambda _: self._job_api.poll(job_id))
        if action == "cancel":
            return Endpoint(("POST",), lambda read_body: self._cancel(job_id, read_body))
        return None

    def _cancel(self, job_id: str, read_body: ReadBody) -> Reply:
        read_body()  # ignored, but it has to be read before the connection's next request
        return self._job_api.cancel(job_id)

    def _probe(self) -> Reply:
        if self._readiness.is_ready():
            return Reply(200, {})
        return Reply(503, {"error": "not ready"}, RETRY_LATER)
