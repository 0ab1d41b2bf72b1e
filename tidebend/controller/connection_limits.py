"""Division of a controller's sockets and threads. It depends on the settings alone, not on the number of machines."""

from __future__ import annotations

from tidebend.settings import Settings

# the platform's limit on threads, less a reserve for the controller's own loops
MAX_THREADS = 2000 - 100
# idle connections to workers for direct commands, as a fraction of all sockets
IDLE_WORKER_CONNECTIONS_SHARE = 1 / 16
# threads that send to unresponsive machines, as a fraction of all sockets
UNRESPONSIVE_THREADS_SHARE = 1 / 64
# Bounds those threads, so that most threads serve connections however many sockets there are.
MAX_UNRESPONSIVE_THREADS = MAX_THREADS // 8
# Length of the listen queue, as a fraction of all sockets. With a queue as long as the number of connections, an
# overloaded controller used up its sockets, and the load balancer's probes couldn't connect.
BACKLOG_SHARE = 1 / 16
# sockets to the key-value store and the cloud, listening sockets, and a few that are about to be closed
RESERVED_SOCKETS = 24


def max_idle_worker_connections(settings: Settings) -> int:
    """Return how many idle connections to workers are kept for direct commands."""
    return max(4, int(IDLE_WORKER_CONNECTIONS_SHARE * settings.max_sockets))


def unresponsive_threads(settings: Settings) -> int:
    """Return the number of threads that send to unresponsive machines; each request may take a full timeout."""
    return min(MAX_UNRESPONSIVE_THREADS, max(5, int(UNRESPONSIVE_THREADS_SHARE * settings.max_sockets)))


def listen_backlog(settings: Settings) -> int:
    """Return the length of the listen queue."""
    return max(8, int(BACKLOG_SHARE * settings.max_sockets))


def max_incoming_connections(settings: Settings) -> int:
    """Return the maximum number of connections from users and workers: the sockets that have no other use."""
    reserved = (
        RESERVED_SOCKETS
        + 4 * len(settings.peers)
        + max_idle_worker_connections(settings)
        + unresponsive_threads(settings)
        + listen_backlog(settings)
    )
    return max(settings.max_sockets // 2, settings.max_sockets - reserved)


def connection_threads(settings: Settings) -> int:
    """Return the number of threads that serve users and workers; idle connections need no thread."""
    return MAX_THREADS - unresponsive_threads(settings)
