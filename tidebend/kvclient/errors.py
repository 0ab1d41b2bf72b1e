"""Errors of requests to the key-value store. Each says whether the request may have been executed."""

from __future__ import annotations


class KeyValueError(Exception):
    """Base class: a request failed."""


class NotExecutedError(KeyValueError):
    """The request was not executed: it was refused or over budget, or there was no connection."""


class OverBudgetError(NotExecutedError):
    """The request was not sent: this controller's budget of requests or writes is used up at the moment."""

    def __init__(self) -> None:
        """The message is the same for all kinds of requests."""
        super().__init__("over budget")


class TransactionTooLargeError(NotExecutedError):
    """The transaction was not executed and must not be retried unchanged: it exceeds the store's size limits."""

    def __init__(self) -> None:
        """The store doesn't report whether a value or the whole transaction is too large."""
        super().__init__("the transaction exceeds the size limits of the key-value store")


class OutcomeUnknownError(KeyValueError):
    """The request may have been executed, or may be executed later."""


class ConflictError(KeyValueError):
    """The transaction was not executed: a key doesn't have the expected version."""

    def __init__(self, keys: list[str]) -> None:
        """`keys`: keys whose conditions failed."""
        super().__init__(", ".join(keys))
        self.keys = keys


class LeaseNotFoundError(KeyValueError):
    """The request was not executed: it names a lease that has ended."""
