"""Communication between a controller and workers: heartbeats, direct commands and probes."""
