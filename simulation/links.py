"""What a controller has instead of an HTTP client, and what cuts it off."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


class Link:
    """What a controller has instead of an HTTP client."""

    def __init__(self, world, node, version):
        self.world, self.node, self.version = world, node, version

    def __call__(self, address, max_idle=4, keep=4):  # `keep` is the word of the version in production
        return _Client(self, address)


class _Client:
    def __init__(self, link, address):
        self.link, self.address = link, address

    def request(self, method, path, body=None, timeout=2.0):
        return self.link.world.from_controller(
            self.link.node,
            self.link.version,
            self.address,
            method,
            path,
            json.loads(json.dumps(body)) if body is not None else None,
        )

    def close(self):
        pass


@dataclass
class Cut:
    node: str
    side: str  # state, workers, peers, cloud, users, or a zone's name
    until: float
    hold: bool
    held: list = field(default_factory=list)
    resets: bool = False  # connections that are open are reset; new ones hang, as all do otherwise
    told: set = field(default_factory=set)  # the machines whose connections were


@dataclass
class Copies:
    """Reports that are delivered a second time; a copy's answer reaches nobody."""

    machine: str | None  # None: of all machines
    until: float  # reports sent before this are copied
    late_s: float
    everywhere: bool  # at all controllers, not only at the one it was sent to
