"""Bounded CBOR frames between processes."""

from __future__ import annotations

import logging
import socket
import socketserver
import struct
from collections.abc import Callable
from typing import Any

import cbor2

log = logging.getLogger("transport")

MAX_FRAME = 1024 * 1024


def _receive(stream: socket.socket, length: int) -> bytes:
    parts = bytearray()
    while len(parts) < length:
        part = stream.recv(min(65536, length - len(parts)))
        if not part:
            raise OSError("closed")
        parts += part
    return bytes(parts)


def receive_frame(stream: socket.socket) -> Any:
    (length,) = struct.unpack("!I", _receive(stream, 4))
    if length > MAX_FRAME:
        raise OSError("frame too long")
    try:
        return cbor2.loads(_receive(stream, length))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise OSError("not CBOR") from error


def send_frame(stream: socket.socket, value: Any) -> None:
    data = cbor2.dumps(value)
    stream.sendall(struct.pack("!I", len(data)) + data)


class FrameServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """The peers' link: frames come in, and each is acknowledged.

    The acknowledgement guards against a connection that died in a cut: without it a sender would go on filling
    its buffer for minutes, believing that it is heard.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], receive: Callable[[Any], None], idle_s: float) -> None:
        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.settimeout(idle_s)
                try:
                    while True:
                        receive(receive_frame(self.request))
                        send_frame(self.request, True)
                except OSError:
                    return

        super().__init__(address, Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        log.debug("peer connection of %s ended", client_address, exc_info=True)
