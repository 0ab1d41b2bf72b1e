"""What passes between a controller and its workers: heartbeats, commands and probes."""
