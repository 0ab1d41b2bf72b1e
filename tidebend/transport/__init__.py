"""HTTP and framed CBOR over blocking sockets: servers, clients, timeouts and rate limits.

`Server` accepts connections; `ConnectionCount` limits their number, `ConnectionThreads` serves them, `IdleConnections`
watches those that wait for their next request, and `Handler` reads and answers requests. `HttpClient` is the client.
`FrameServer`, `send_frame` and `receive_frame` are used between controllers.
"""

from tidebend.transport.client import HttpClient, NoAnswerError, UnreachableError
from tidebend.transport.frames import MAX_FRAME, FrameServer, receive_frame, send_frame
from tidebend.transport.replies import BadRequestError, Reply, Route
from tidebend.transport.request_handler import MAX_BODY, Handler
from tidebend.transport.server import Server
from tidebend.transport.token_bucket import TokenBucket

__all__ = [
    "MAX_BODY",
    "MAX_FRAME",
    "BadRequestError",
    "FrameServer",
    "Handler",
    "HttpClient",
    "NoAnswerError",
    "Reply",
    "Route",
    "Server",
    "TokenBucket",
    "UnreachableError",
    "receive_frame",
    "send_frame",
]
