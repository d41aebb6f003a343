"""The latest changes of the store, for sending a peer only what it lacks."""

from collections import deque

from attrs import define, field, frozen

# Covers many seconds of changes; a peer that is further behind gets all records.
MAX_CHANGES = 512


@frozen
class LoggedChange:
    """A key that was written or deleted, and the revision that contains the change."""

    revision: int
    key: str


@define
class ChangeLog:
    """Keys changed at each revision, oldest first.

    >>> log = ChangeLog()
    >>> log.restart(5)
    >>> log.add(7, ["servers/e1"])
    >>> log.keys_after(5), log.keys_after(7), log.keys_after(4)
    (['servers/e1'], [], None)
    """

    _start_revision: int = -1
    _changes: deque[LoggedChange] = field(factory=deque)

    def restart(self, revision: int) -> None:
        """Discard all changes; the log is complete from ``revision`` on."""
        self._changes.clear()
        self._start_revision = revision

    def add(self, revision: int, keys: list[str]) -> None:
        """Add the changes that led to ``revision``."""
        self._changes.extend(LoggedChange(revision, key) for key in keys)
        while len(self._changes) > MAX_CHANGES:
            self._start_revision = self._changes.popleft().revision

    def keys_after(self, revision: int) -> list[str] | None:
        """Return the keys changed after ``revision``; None if the log starts later."""
        if self._start_revision < 0 or revision < self._start_revision:
            return None
        changed = [c.key for c in self._changes if c.revision > revision]
        return list(dict.fromkeys(changed))
