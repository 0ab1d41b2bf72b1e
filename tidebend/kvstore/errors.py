"""What the store's calls raise."""

from __future__ import annotations


class DataDamagedError(Exception):
    """The data file can't be used: damaged, of a newer version, or not ours. Nothing in it was changed."""


class DirectoryLockedError(Exception):
    """Another process holds the directory."""


class StoreUnavailableError(Exception):
    """Not executed, now: the disk refuses, or too much is waiting. It may be tried again."""


class ConditionFailedError(Exception):
    """Conditions of a transaction don't hold; nothing of it was executed."""

    def __init__(self, keys: list[str], revision: int) -> None:
        """`keys`: those whose version is another; `revision`: the one at which they were looked up."""
        super().__init__(", ".join(keys))
        self.keys = keys
        self.revision = revision


class LeaseEndedError(Exception):
    """A put names a lease that isn't there; nothing of the transaction was executed."""


class RevisionTooOldError(Exception):
    """The changes since a revision aren't all known any more: the keys have to be read again."""


class MalformedRequestError(Exception):
    """A request can't be executed as it is written; answered with 400 and the text."""
