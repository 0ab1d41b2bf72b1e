"""How a request to the key-value store can fail, and what is known then."""

from __future__ import annotations


class KeyValueError(Exception):
    """A request failed; the subclasses say whether it may have been executed."""


class NotExecutedError(KeyValueError):
    """Not executed: refused, over budget, or no connection."""


class OverBudgetError(NotExecutedError):
    """Not executed: our own share of the store's requests or changes is used up for now."""

    def __init__(self) -> None:
        """The text is the same for all kinds of requests."""
        super().__init__("over budget")


class TransactionTooLargeError(NotExecutedError):
    """Not executed, and not to be sent again as it is: a value or the whole is larger than the store takes now."""

    def __init__(self) -> None:
        """The store doesn't say which of its limits was exceeded."""
        super().__init__("refused by its size")


class OutcomeUnknownError(KeyValueError):
    """May have been executed, or may be later."""


class ConflictError(KeyValueError):
    """Not executed: a condition failed, since a key has another version than was expected."""

    def __init__(self, keys: list[str]) -> None:
        """`keys`: those whose conditions failed."""
        super().__init__(", ".join(keys))
        self.keys = keys


class LeaseNotFoundError(KeyValueError):
    """Not executed: the request named a lease that has ended."""
