"""Calls to the control service, each repeated while the answer is that it can't be known yet."""

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
from tidebend.protocol import user as words
from tidebend.transport import NoAnswerError, UnreachableError

# how long a request is repeated before it is given up
PATIENCE_S = 10.0
ANSWER_S = 10.0


class ControlServiceUnreachableError(Exception):
    """The control service can't be reached; the text says what was tried."""


class RequestRejectedError(Exception):
    """The control service refuses; the text is its reason."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def data_directory(given: str | None) -> Path:
    """Return the control service's directory: the one given, else that of the environment, else the default."""
    return Path(given or os.environ.get("TIDEBEND_DATA") or Path.home() / ".tidebend")


class ApiClient:
    """A client of the control service's API; requests without an answer are repeated for a while."""

    def __init__(
        self,
        directory: Path,
        control: str | None = None,
        key_file: str | None = None,
        authority: str | None = None,
        retry_for_s: float = PATIENCE_S,
    ) -> None:
        """Raises ControlServiceUnreachableError, NotLoopback, BadKeys or BadCertificate."""
        if control is None:
            try:
                control, *trusted = (directory / ADDRESS_FILE).read_text().split()
            except OSError as error:
                raise ControlServiceUnreachableError(
                    f"{directory / ADDRESS_FILE}: {error.strerror}: nothing was started there; `tidebend up` does"
                ) from error
            authority = authority or (trusted[0] if trusted else None)
        try:
            address = parse_listen_address(control, authority is not None)
        except ValueError as error:
            raise ControlServiceUnreachableError(str(error)) from error
        self.address = control
        self._patience_s = retry_for_s
        ring = Keyring(Path(key_file) if key_file else directory / KEYS_FILE)
        self._client = KeyedClient(address, ring.bearer_token, tls=client_ssl_context(authority) if authority else None)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """The body of a 200 or 201. Raises ControlServiceUnreachableError or NotTaken."""
        deadline = time.monotonic() + self._patience_s
        while True:
            try:
                status, answer = self._client.request(method, path, body, ANSWER_S)
                text = answer.get("error", "") if isinstance(answer, dict) else ""
                if status in (200, 201):
                    return answer
                if status not in (429, 503, 504):
                    raise RequestRejectedError(status, text or f"answered with {status}")
            except (UnreachableError, NoAnswerError) as error:
                text = str(error)
            if time.monotonic() > deadline:
                raise ControlServiceUnreachableError(f"{self.address}: {text}")
            time.sleep(0.25)

    def submit(self, ready: JobSubmission) -> str:
        """Describe and submit; repeating it is harmless, since the id stays. The job's state."""
        self.call("POST", f"{paths.DESCRIPTIONS}/{ready.job}", msgspec.to_builtins(ready.description))
        return words.job_state(
            self.call("POST", words.PATH_JOBS, words.job_request(ready.job, ready.spec, ready.awaits))
        )

    def job(self, job: str) -> dict[str, Any]:
        """Return what is known of a job."""
        return self.call("GET", f"{paths.JOBS}/{job}")

    def jobs(self, most: int) -> list[dict[str, Any]]:
        """The newest last."""
        found: list[dict[str, Any]] = []
        after = ""
        while True:
            page = self.call("GET", f"{paths.JOBS}?after={after}")
            found = (found + page["jobs"])[-most:]
            if not page["more"]:
                return found
            after = page["last"]

    def cancel(self, job: str) -> str:
        """Cancel a job, and return its state."""
        return words.job_state(self.call("POST", f"{words.PATH_JOBS}/{job}/cancel", {}))

    def output(self, job: str, index: int, most: int) -> dict[str, Any]:
        """Return the last bytes that a task has written, and by which attempt."""
        return self.call("GET", f"{paths.OUTPUT}/{job}/{index}?most={most}")

    def agents(self) -> list[dict[str, Any]]:
        """Return the agents."""
        return self.call("GET", paths.AGENTS)["agents"]

    def forget(self, machine: str) -> None:
        """Have the control service take a machine, and all that it ran, for gone."""
        self.call("POST", f"{paths.FORGET_MACHINE}/{machine}", {})
