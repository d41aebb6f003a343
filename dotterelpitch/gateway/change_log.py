"""The latest changes of the store, so that a peer needn't be sent all records."""

from collections import deque

from attrs import define, field, frozen

# Enough for the changes of many seconds; a peer that is further back gets all.
MAX_CHANGES = 512


@frozen
class LoggedChange:
    """A key that was written or deleted between two revisions."""

    revision: int
    key: str


@define
class ChangeLog:
    """The keys changed after each revision, the oldest first.

    >>> log = ChangeLog()
    >>> log.restart(5)
    >>> log.add(7, ["servers/e1"])
    >>> log.keys_after(5), log.keys_after(7), log.keys_after(4)
    (['servers/e1'], [], None)
    """

    _starts_at: int = -1
    _changes: deque[LoggedChange] = field(factory=deque)

    def restart(self, revision: int) -> None:
        """Forget all changes; the log is complete from ``revision`` on."""
        self._changes.clear()
        self._starts_at = revision

    def add(self, revision: int, keys: list[str]) -> None:
        """Add the changes that led to ``revision``."""
        self._changes.extend(LoggedChange(revision, key) for key in keys)
        while len(self._changes) > MAX_CHANGES:
            self._starts_at = self._changes.popleft().revision

    def keys_after(self, revision: int) -> list[str] | None:
        """Return the keys changed after ``revision``; None if that isn't known."""
        if self._starts_at < 0 or revision < self._starts_at:
            return None
        changed = [c.key for c in self._changes if c.revision > revision]
        return list(dict.fromkeys(changed))
