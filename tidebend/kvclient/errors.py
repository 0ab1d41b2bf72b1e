"""How a request to the state service can fail, and what is known then."""

from __future__ import annotations


class NotExecutedError(Exception):
    """Not executed: refused, over budget, or no connection."""


class OutcomeUnknownError(Exception):
    """May have been executed, or may be later."""


class ConflictError(Exception):
    """A condition failed."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class LeaseNotFoundError(Exception):
    """A put named a lease that has ended."""


class Refused(NotExecutedError):
    """Not executed, and not to be sent again as it is: a value or the whole is larger than the service takes now."""
