"""A simulated HTTP client for controllers, and network failures."""

from __future__ import annotations

import json
from dataclasses import dataclass, field


class Link:
    """Factory of simulated HTTP clients for one controller."""

    def __init__(self, world, node, version):
        self.world, self.node, self.version = world, node, version

    def __call__(self, address, max_idle=4, keep=4):  # `keep`: the parameter's name in the version in production
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
    """A network cut between a controller and one side of its traffic."""

    node: str
    side: str  # state, workers, peers, cloud, users, or a zone's name
    until: float
    hold: bool  # POST requests are delivered at the end of the cut instead of lost
    held: list = field(default_factory=list)
    resets: bool = False  # open connections are reset, new ones hang; otherwise both hang
    reset_machines: set = field(default_factory=set)  # the machines whose connections were reset


@dataclass
class Copies:
    """A rule for delivering reports a second time; the responses to the copies are discarded."""

    machine: str | None  # None: all machines
    until: float  # reports sent before this are copied
    late_s: float
    everywhere: bool  # copies go to all controllers, not only to the original recipient
