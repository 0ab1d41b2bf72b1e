"""tidebend, a cluster scheduler."""

__version__ = "0.2.0"
