"""A controller's HTTP API."""
