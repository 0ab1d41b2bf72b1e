"""HTTP and framed CBOR over blocking sockets: servers, clients, time-outs and request budgets."""

from tidebend.transport.budget import Budget
from tidebend.transport.client import HttpClient, NoAnswer, Unreachable
from tidebend.transport.frames import MAX_FRAME, FrameServer, receive_frame, send_frame
from tidebend.transport.server import MAX_BODY, BadRequest, Handler, Reply, Route, Server

__all__ = [
    "MAX_BODY",
    "MAX_FRAME",
    "BadRequest",
    "Budget",
    "FrameServer",
    "Handler",
    "HttpClient",
    "NoAnswer",
    "Reply",
    "Route",
    "Server",
    "Unreachable",
    "receive_frame",
    "send_frame",
]
