"""How a controller's sockets and threads are shared out: all by its settings, none by the size of some fleet."""

from __future__ import annotations

from tidebend.settings import Settings

# the platform's bound, less what we run besides threads for connections
MOST_THREADS = 2000 - 100
# connections kept to workers for direct commands, and threads that ask silent ones, as shares of all sockets
KEPT_SHARE = 1 / 16
ASKING_SHARE = 1 / 64
# ... but no more than this, so that most threads are for connections, however many sockets there are
MOST_ASKING = MOST_THREADS // 8
# Connections that wait to be taken. Guards a controller that is behind with its answers: with a backlog as long as all
# its connections it came to its last socket, and the load balancer's probes found none.
BACKLOG_SHARE = 1 / 16
# to the state service and the cloud, listening ones, and a few that are about to be closed
OWN = 24


def max_idle_worker_connections(settings: Settings) -> int:
    """Idle connections to workers, for direct commands."""
    return max(4, int(KEPT_SHARE * settings.max_sockets))


def unresponsive_threads(settings: Settings) -> int:
    """Threads that ask silent machines; each takes a full time-out for one."""
    return min(MOST_ASKING, max(5, int(ASKING_SHARE * settings.max_sockets)))


def listen_backlog(settings: Settings) -> int:
    """Connections that wait to be taken."""
    return max(8, int(BACKLOG_SHARE * settings.max_sockets))


def max_incoming_connections(settings: Settings) -> int:
    """Connections of users and workers at a time: what our own, to peers and by peers leave."""
    own = (
        OWN
        + 4 * len(settings.peers)
        + max_idle_worker_connections(settings)
        + unresponsive_threads(settings)
        + listen_backlog(settings)
    )
    return max(settings.max_sockets // 2, settings.max_sockets - own)


def connection_threads(settings: Settings) -> int:
    """Threads for the connections of users and workers, of which there may be more: idle ones do without."""
    return MOST_THREADS - unresponsive_threads(settings)
