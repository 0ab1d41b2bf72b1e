"""Handler of one connection's requests: reads each, passes it to the route, and writes the reply."""

from __future__ import annotations

import io
import json
import logging
import ssl
from http.server import BaseHTTPRequestHandler
from typing import TYPE_CHECKING, Any, cast

from tidebend.transport.replies import BadRequestError, Reply

if TYPE_CHECKING:
    from tidebend.transport.server import Server

log = logging.getLogger("transport")

# Maximum size of a request's body in bytes; far above that of any valid request.
MAX_BODY = 64 * 1024


class Handler(BaseHTTPRequestHandler):
    """Serves the requests of one keep-alive connection sequentially.

    Subclasses may override `_dispatch` and `_body`.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 0
    server: Server

    def setup(self) -> None:
        """Apply the server's idle timeout to the socket."""
        self.timeout = self.server.idle_timeout_s  # type: ignore[misc]  # the library reads it from the instance
        super().setup()

    def handle(self) -> None:
        """Serve requests until the connection must be closed (`close_connection` is set) or may be parked."""
        self.close_connection = True
        self.handle_one_request()
        while not self.close_connection and not self._may_be_parked():
            self.handle_one_request()

    def _may_be_parked(self) -> bool:
        """Return whether threads are scarce and no bytes were read ahead, which would be lost with `rfile`."""
        return self.server.threads_scarce and not self._has_bytes()

    def _has_bytes(self) -> bool:
        """Return whether a read would return without blocking.

        Checks `rfile`, and thus also the TLS layer: a selector doesn't see bytes that were decrypted or read ahead.
        """
        self.connection.settimeout(0.0)
        try:
            return bool(cast(io.BufferedReader, self.rfile).peek(1))
        except ssl.SSLWantReadError:  # at most part of a record has arrived; a selector sees the rest
            return False
        except OSError:  # the next read fails as well and ends the connection
            return True
        finally:
            self.connection.settimeout(self.server.idle_timeout_s)

    # Reading

    def _body(self) -> bytes:
        """Return the request's body.

        Raises BadRequestError, and has the connection closed, since the start of the next request is then unknown.
        """
        try:
            length = self._body_length()
            return self._read_body(length) if length is not None else b""
        except BadRequestError:
            self.close_connection = True
            raise

    def _body_length(self) -> int | None:
        """Return the length from the Content-Length header; None without the header."""
        if self.headers.get("Transfer-Encoding"):
            raise BadRequestError("Transfer-Encoding is not supported; send a Content-Length header")
        text = self.headers.get("Content-Length")
        if text is None:
            return None
        if not text.isascii() or not text.isdigit():
            raise BadRequestError("Content-Length header is not a non-negative integer")
        length = int(text)
        if length > MAX_BODY:
            raise BadRequestError("request body is longer than 64 KiB")
        return length

    def _read_body(self, length: int) -> bytes:
        # A shorter timeout, so that a slow sender doesn't occupy the thread for long.
        self.connection.settimeout(self.server.body_timeout_s)
        data = self.rfile.read(length)
        self.connection.settimeout(self.server.idle_timeout_s)
        self._body_was_read = True
        if len(data) < length:
            raise BadRequestError("request body is shorter than its Content-Length")
        return data

    # Replying

    def _dispatch(self) -> Reply:
        """Return or raise the reply to the request."""
        return self.server.route(self.command, self.path, self._body)

    def _answer(self) -> None:
        """Answer one request. Sets `close_connection` if the connection can't be used further."""
        self._body_was_read = False
        reply = self._reply()
        if reply is None:
            self.close_connection = True
            return
        if not self._body_was_read and self._announces_body():
            self.close_connection = True  # the unread body would be taken for the next request
        if reply.close_connection or (reply.close_if_crowded and self.server.crowded):
            self.close_connection = True
        self._write(reply)

    def _reply(self) -> Reply | None:
        """Return the route's reply, with errors converted to replies; None if the connection is broken."""
        try:
            return self._dispatch()
        except BadRequestError as error:
            return Reply(400, {"error": str(error)})
        except Reply as raised:
            return raised
        except OSError:
            return None
        except Exception:
            log.exception("unexpected error in request %s %s", self.command, self.path)
            return Reply(503, {"error": "internal"}, {"Retry-After": "1"})

    def _announces_body(self) -> bool:
        return self.headers.get("Content-Length", "0") != "0" or bool(self.headers.get("Transfer-Encoding"))

    def _write(self, reply: Reply) -> None:
        """Write head and body with one call."""
        data = _encode(reply.body)
        head = self._head(reply, len(data))
        try:
            self.wfile.write(head if self.command == "HEAD" else head + data)
        except OSError:
            self.close_connection = True

    def _head(self, reply: Reply, length: int) -> bytes:
        reason = self.responses.get(reply.status, ("",))[0]
        lines = [
            f"HTTP/1.1 {reply.status} {reason}",
            f"Content-Type: {reply.content_type}",
            f"Content-Length: {length}",
        ]
        lines += [f"{name}: {value}" for name, value in reply.headers.items()]
        if self.close_connection:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    # The library calls these names.
    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = _answer  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Log requests at debug level only, since there are many of them."""
        log.debug(format, *args)


def _encode(body: Any) -> bytes:
    """Return bytes unchanged, None as empty bytes, and any other value as JSON."""
    if isinstance(body, bytes):
        return body
    return b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
