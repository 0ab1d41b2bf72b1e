"""A TCP proxy on loopback that can be cut: it then accepts connections and holds what they send."""

from __future__ import annotations

import contextlib
import socket
import threading

from http_stub import LOOPBACK

READ_BYTES = 65536


class Proxy:
    """Forwards connections to one address; while it is cut it holds all bytes, and delivers them once it is mended."""

    def __init__(self, target: str) -> None:
        """Listen on a free port."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Hold everything from now on."""
        self._open.clear()

    def mend(self) -> None:
        """Deliver what was held, and forward again."""
        self._open.set()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        self._open.wait()
        try:
            server = socket.create_connection(self._target, timeout=10.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        threading.Thread(target=self._copy, args=(server, client), daemon=True).start()
        self._copy(client, server)

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self._open.wait()
                target.sendall(data)
        for end in (source, target):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
