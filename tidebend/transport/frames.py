"""Frames between controllers: a length of four bytes, then so many bytes of CBOR."""

from __future__ import annotations

import logging
import socket
import socketserver
import struct
from collections.abc import Callable
from typing import Any

import cbor2

log = logging.getLogger("transport")

# Bytes of a frame without its length. A longer one isn't read: its sender is no controller of ours.
MAX_FRAME = 1024 * 1024
READ_BYTES = 65536
LENGTH = struct.Struct("!I")


def _receive(stream: socket.socket, length: int) -> bytes:
    """Exactly so many bytes."""
    data = bytearray()
    while len(data) < length:
        part = stream.recv(min(READ_BYTES, length - len(data)))
        if not part:
            raise OSError("closed")
        data += part
    return bytes(data)


def receive_frame(stream: socket.socket) -> Any:
    """The value of the next frame. Raises OSError for a broken connection, and for what is no frame of ours."""
    (length,) = LENGTH.unpack(_receive(stream, LENGTH.size))
    if length > MAX_FRAME:
        raise OSError("frame too long")
    try:
        return cbor2.loads(_receive(stream, length))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise OSError("not CBOR") from error


def send_frame(stream: socket.socket, value: Any) -> None:
    """Send a value as one frame. Raises OSError. The length isn't checked here: see `MAX_FRAME`."""
    data = cbor2.dumps(value)
    stream.sendall(LENGTH.pack(len(data)) + data)


class FrameServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Receives frames from other controllers and acknowledges each, with a thread for each connection.

    The acknowledgement guards against a connection that was lost in a network partition: without it a sender would
    go on filling its send buffer for minutes as if its frames arrived.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], receive: Callable[[Any], None], idle_timeout_s: float) -> None:
        """`receive` is called with each frame's value.

        A connection is closed when no frame has come for `idle_timeout_s` seconds.
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
        """A connection that fails is no error of this process."""
        log.debug("peer connection of %s ended", client_address, exc_info=True)
