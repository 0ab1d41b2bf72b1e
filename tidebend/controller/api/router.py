"""Assigns requests over HTTP to their handlers by method and path."""

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
    """A path's handler, and the methods that it takes; other methods are answered with 405."""

    methods: tuple[str, ...]
    handle: Callable[[ReadBody], Reply]

    def call(self, method: str, read_body: ReadBody) -> Reply:
        """Handle a request; the body is read only if the handler needs it."""
        if method not in self.methods:
            return Reply(405, {"error": f"use {self.methods[0]}"})
        return self.handle(read_body)


class Router:
    """Answers the workers' heartbeats, the load balancer's probes and the users' requests."""

    def __init__(self, readiness: Readiness, job_api: JobApi, handle_heartbeat: Callable[[bytes], Reply]) -> None:
        """`handle_heartbeat` gets the body of a worker's heartbeat."""
        self._readiness = readiness
        self._job_api = job_api
        self._heartbeats = Endpoint(("POST",), lambda read_body: handle_heartbeat(read_body()))
        self._probes = Endpoint(("GET", "HEAD"), lambda _: self._probe())

    def route(self, method: str, path: str, read_body: ReadBody) -> Reply:
        """Answer a request; raises what reading or parsing its body raises.

        Requests but for heartbeats wait for the first read of the state service if that is under way.
        """
        path = path.partition("?")[0]
        if path == protocol.PATH_REPORT:
            reply = self._heartbeats.call(method, read_body)
            reply.close_if_crowded = (
                True  # a worker connects again for its next heartbeat; a user would have to repeat a request
            )
            return reply
        self._readiness.wait_for_first_read()
        if path == protocol.PATH_READY:
            return self._probes.call(method, read_body)
        endpoint = self._users_endpoint(path)
        reply = Reply(404, {"error": "no such path"}) if endpoint is None else endpoint.call(method, read_body)
        # If only this controller is out of touch, its users have to connect again to be sent to another: on the same
        # connection they stay here until the load balancer notices, which takes it several seconds.
        reply.close_connection = reply.status == 503 and not self._readiness.is_ready()
        return reply

    def _users_endpoint(self, path: str) -> Endpoint | None:
        """Return the endpoint of a path of the users' API; None if there is none."""
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
        read_body()  # it has no meaning, but must be read before the connection's next request
        return self._job_api.cancel(job_id)

    def _probe(self) -> Reply:
        if self._readiness.is_ready():
            return Reply(200, {})
        return Reply(503, {"error": "not ready"}, RETRY_LATER)
