"""Errors that the store's calls raise."""

from __future__ import annotations


class DataDamagedError(Exception):
    """The data file is damaged, of a newer version, or not a tidebend database. It has not been changed."""


class DirectoryLockedError(Exception):
    """Another process holds the lock on the directory."""


class StoreUnavailableError(Exception):
    """The request was not executed, because of an I/O error or too many queued requests. It may be retried."""


class ConditionFailedError(Exception):
    """Conditions of a transaction don't hold; it was not executed."""

    def __init__(self, keys: list[str], revision: int) -> None:
        """`keys`: the keys whose version differs; `revision`: the revision at which they were compared."""
        super().__init__(", ".join(keys))
        self.keys = keys
        self.revision = revision


class LeaseEndedError(Exception):
    """A put names a lease that doesn't exist (any more); the transaction was not executed."""


class RevisionTooOldError(Exception):
    """Some changes since the requested revision have been discarded; the watch must read its keys again."""


class MalformedRequestError(Exception):
    """A request is malformed; answered with status 400 and the error's text."""
