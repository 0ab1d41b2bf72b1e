"""Frames between controllers: a length of four bytes, followed by that number of bytes of CBOR."""

from __future__ import annotations

import logging
import socket
import socketserver
import struct
from collections.abc import Callable
from typing import Any

import cbor2

log = logging.getLogger("transport")

# Maximum size of a frame in bytes, without the length. A longer frame is rejected: no controller sends one.
MAX_FRAME = 1024 * 1024
READ_BYTES = 65536
LENGTH = struct.Struct("!I")


def _receive(stream: socket.socket, length: int) -> bytes:
    """Return exactly `length` bytes."""
    data = bytearray()
    while len(data) < length:
        chunk = stream.recv(min(READ_BYTES, length - len(data)))
        if not chunk:
            raise OSError("closed")
        data += chunk
    return bytes(data)


def receive_frame(stream: socket.socket) -> Any:
    """Return the value of the next frame. Raises OSError if the connection breaks or the frame is invalid."""
    (length,) = LENGTH.unpack(_receive(stream, LENGTH.size))
    if length > MAX_FRAME:
        raise OSError("frame exceeds the size limit")
    try:
        return cbor2.loads(_receive(stream, length))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise OSError("frame is not valid CBOR") from error


def send_frame(stream: socket.socket, value: Any) -> None:
    """Send a value as one frame. Raises OSError. Doesn't check the size against `MAX_FRAME`."""
    data = cbor2.dumps(value)
    stream.sendall(LENGTH.pack(len(data)) + data)


class FrameServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Receives frames from other controllers and acknowledges each, with one thread per connection.

    Without the acknowledgement, a sender whose connection was lost in a network partition would continue to fill its
    send buffer for minutes as if its frames arrived.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], receive: Callable[[Any], None], idle_timeout_s: float) -> None:
        """`receive` is called with each frame's value.

        A connection is closed if no frame arrives for `idle_timeout_s` seconds.
        """

        class FrameHandler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.settimeout(idle_timeout_s)
                try:
                    while True:
                        receive(receive_frame(self.request))
                        send_frame(self.request, True)
                except OSError:
                    return

        super().__init__(address, FrameHandler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log the failure of a connection at debug level: it isn't an error of this process."""
        log.debug("peer connection from %s failed", client_address, exc_info=True)
