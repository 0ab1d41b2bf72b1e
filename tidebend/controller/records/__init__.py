"""Writing of job records by compare-and-swap, and tracking of the completions that heartbeats confirm."""
