"""Traffic between a controller and its workers: heartbeats, direct commands and probes."""
