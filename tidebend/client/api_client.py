"""A client of the control service's API that retries requests without an answer or with a temporary error."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import msgspec

from tidebend.access import KeyedClient, Keyring, client_ssl_context, parse_listen_address
from tidebend.client.jobfile import JobSubmission
from tidebend.control.main import ADDRESS_FILE, KEYS_FILE
from tidebend.messages import paths
from tidebend.protocol import user as user_protocol
from tidebend.transport import NoAnswerError, UnreachableError

# how long a request is retried
RETRY_FOR_S = 10.0
# timeout of each try
REQUEST_TIMEOUT_S = 10.0


class ControlServiceUnreachableError(Exception):
    """The control service can't be reached; the text says what was tried."""


class RequestRejectedError(Exception):
    """The control service rejected the request; the text is its reason."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def data_directory(given: str | None) -> Path:
    """Return the control service's data directory: `given`, else $TIDEBEND_DATA, else ~/.tidebend."""
    return Path(given or os.environ.get("TIDEBEND_DATA") or Path.home() / ".tidebend")


class ApiClient:
    """A client of the control service's API. Requests are retried for `retry_for_s` seconds."""

    def __init__(
        self,
        directory: Path,
        control: str | None = None,
        key_file: str | None = None,
        authority: str | None = None,
        retry_for_s: float = RETRY_FOR_S,
    ) -> None:
        """Raises ControlServiceUnreachableError, NotLoopbackError, KeyFileError or CertificateError."""
        if control is None:
            try:
                control, *authorities = (directory / ADDRESS_FILE).read_text().split()
            except OSError as error:
                raise ControlServiceUnreachableError(
                    f"{directory / ADDRESS_FILE}: {error.strerror}: no control service here; `tidebend up` starts one"
                ) from error
            authority = authority or (authorities[0] if authorities else None)
        try:
            address = parse_listen_address(control, authority is not None)
        except ValueError as error:
            raise ControlServiceUnreachableError(str(error)) from error
        self.address = control
        self._retry_for_s = retry_for_s
        ring = Keyring(Path(key_file) if key_file else directory / KEYS_FILE)
        self._client = KeyedClient(address, ring.bearer_token, tls=client_ssl_context(authority) if authority else None)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the body of a 200 or 201. Raises ControlServiceUnreachableError or RequestRejectedError."""
        deadline = time.monotonic() + self._retry_for_s
        while True:
            try:
                status, answer = self._client.request(method, path, body, REQUEST_TIMEOUT_S)
                text = answer.get("error", "") if isinstance(answer, dict) else ""
                if status in (200, 201):
                    return answer
                if status not in (429, 503, 504):
                    raise RequestRejectedError(
                        status, text or f"the control service answered with HTTP status {status}"
                    )
            except (UnreachableError, NoAnswerError) as error:
                text = str(error)
            if time.monotonic() > deadline:
                raise ControlServiceUnreachableError(f"{self.address}: {text}")
            time.sleep(0.25)

    def submit(self, submission: JobSubmission) -> str:
        """Store a job's description, submit it and return its state. The job id makes this idempotent."""
        self.call("POST", f"{paths.DESCRIPTIONS}/{submission.job}", msgspec.to_builtins(submission.description))
        return user_protocol.job_state(
            self.call(
                "POST",
                user_protocol.PATH_JOBS,
                user_protocol.job_request(submission.job, submission.spec, submission.awaits),
            )
        )

    def job(self, job: str) -> dict[str, Any]:
        """Return the control service's view of a job."""
        return self.call("GET", f"{paths.JOBS}/{job}")

    def jobs(self, limit: int) -> list[dict[str, Any]]:
        """Return the last `limit` jobs by id, the newest last."""
        found: list[dict[str, Any]] = []
        after = ""
        while True:
            page = self.call("GET", f"{paths.JOBS}?after={after}")
            found = (found + page["jobs"])[-limit:]
            if not page["more"]:
                return found
            after = page["last"]

    def cancel(self, job: str) -> str:
        """Cancel a job, and return its state."""
        return user_protocol.job_state(self.call("POST", f"{user_protocol.PATH_JOBS}/{job}/cancel", {}))

    def output(self, job: str, index: int, max_bytes: int) -> dict[str, Any]:
        """Return the end of a task's output, at most `max_bytes`, and the attempt that wrote it."""
        return self.call("GET", f"{paths.OUTPUT}/{job}/{index}?most={max_bytes}")

    def agents(self) -> list[dict[str, Any]]:
        """Return the agents."""
        return self.call("GET", paths.AGENTS)["agents"]

    def forget(self, machine: str) -> None:
        """Tell the control service that a machine and all its tasks are gone."""
        self.call("POST", f"{paths.FORGET_MACHINE}/{machine}", {})
