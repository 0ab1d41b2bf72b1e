"""The requests of one connection: reads each, has it routed, and writes the answer."""

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

# Bytes of a request's body. No request of ours comes near to it.
MAX_BODY = 64 * 1024


class Handler(BaseHTTPRequestHandler):
    """Serves the requests of one connection, one after the other, with keep-alive.

    Subclasses may replace `_dispatch` and `_body`.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 0
    server: Server

    def setup(self) -> None:
        """Give the socket the server's idle timeout."""
        self.timeout = self.server.idle_timeout_s  # type: ignore[misc]  # the library reads it through the instance, too
        super().setup()

    def handle(self) -> None:
        """Serve requests until the connection is to be closed, or may be parked: `close_connection` tells which."""
        self.close_connection = True
        self.handle_one_request()
        while not self.close_connection and not self._may_be_parked():
            self.handle_one_request()

    def _may_be_parked(self) -> bool:
        """Whether threads are scarce and nothing of a next request is here, so that nothing is lost with `rfile`."""
        return self.server.threads_scarce and not self._has_bytes()

    def _has_bytes(self) -> bool:
        """Whether a read would return without waiting.

        Asks through `rfile`, and thus through TLS: bytes that were decrypted or read ahead aren't seen by a selector.
        """
        self.connection.settimeout(0.0)
        try:
            return bool(cast(io.BufferedReader, self.rfile).peek(1))
        except ssl.SSLWantReadError:  # at most a part of a record: a selector sees the rest of it come
            return False
        except OSError:  # the next read finds it, too, and ends the connection
            return True
        finally:
            self.connection.settimeout(self.server.idle_timeout_s)

    # Reading

    def _body(self) -> bytes:
        """The request's body. Raises BadRequestError; the connection is closed then, since its rest is unknown."""
        try:
            length = self._body_length()
            return self._read_body(length) if length is not None else b""
        except BadRequestError:
            self.close_connection = True
            raise

    def _body_length(self) -> int | None:
        """The body's length as its header says; None without the header."""
        if self.headers.get("Transfer-Encoding"):
            raise BadRequestError("a body needs a Content-Length")
        text = self.headers.get("Content-Length")
        if text is None:
            return None
        if not text.isascii() or not text.isdigit():
            raise BadRequestError("Content-Length is not a number")
        length = int(text)
        if length > MAX_BODY:
            raise BadRequestError("the body is longer than 64 KiB")
        return length

    def _read_body(self, length: int) -> bytes:
        # a sender that is slow with its body doesn't hold the thread for long
        self.connection.settimeout(self.server.body_timeout_s)
        data = self.rfile.read(length)
        self.connection.settimeout(self.server.idle_timeout_s)
        self._body_was_read = True
        if len(data) < length:
            raise BadRequestError("the body is cut short")
        return data

    # Answering

    def _dispatch(self) -> Reply:
        """The reply to the request; may also raise it."""
        return self.server.route(self.command, self.path, self._body)

    def _answer(self) -> None:
        """Answer one request. `close_connection` tells afterwards whether the connection is of further use."""
        self._body_was_read = False
        reply = self._reply()
        if reply is None:
            self.close_connection = True
            return
        if not self._body_was_read and self._announces_body():
            self.close_connection = True  # what follows on the connection is a body nobody read
        if reply.close_connection or (reply.close_if_crowded and self.server.crowded):
            self.close_connection = True
        self._write(reply)

    def _reply(self) -> Reply | None:
        """What the route says, with errors turned into replies; None if the connection is broken."""
        try:
            return self._dispatch()
        except BadRequestError as error:
            return Reply(400, {"error": str(error)})
        except Reply as raised:
            return raised
        except OSError:
            return None
        except Exception:
            log.exception("%s %s failed", self.command, self.path)
            return Reply(503, {"error": "internal"}, {"Retry-After": "1"})

    def _announces_body(self) -> bool:
        return self.headers.get("Content-Length", "0") != "0" or bool(self.headers.get("Transfer-Encoding"))

    def _write(self, reply: Reply) -> None:
        """Write head and body in one piece."""
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

    # the names by which the library calls them
    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = _answer  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Requests are logged at the level of debugging only: there are too many of them."""
        log.debug(format, *args)


def _encode(body: Any) -> bytes:
    """Bytes as they are, None as nothing, all else as JSON."""
    if isinstance(body, bytes):
        return body
    return b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
