"""The in-memory record of keyed calls at their owner.

An entry is recorded as dispatched before the first byte is sent, and a key is
dispatched at most once. A repeated call gets the recorded answer or waits for
it. The repeat window, a maximum number of entries, and a maximum total size of
recorded bodies bound the ledger.
"""

from collections import deque
from collections.abc import Callable, Iterator
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.requests.outcomes import Outcome

DEFAULT_MAX_ENTRIES = 20_000
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_RECORDED_BODY_BYTES = 128 * 1024


@frozen
class LedgerKey:
    """An idempotency key, which is unique within its service and client account."""

    service: str
    account: str
    key: str


class EntryState(StrEnum):
    """The progress of a keyed call."""

    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


@frozen
class RecordedAnswer:
    """The final answer of a key.

    ``body_kept`` is False if the body was too large to keep or was evicted; a
    repeated call then gets the outcome without the body.
    """

    outcome: Outcome
    status: int = 0
    headers: list[tuple[str, str]] = field(factory=list)
    body: bytes = b""
    body_kept: bool = True
    reason: str = ""

    def without_body(self) -> "RecordedAnswer":
        """Return this answer with its body dropped."""
        return RecordedAnswer(
            self.outcome, self.status, self.headers, b"", False, self.reason
        )


@define(eq=False)
class LedgerEntry:
    """One keyed call.

    ``key_time``, ``accepted_at``, and ``expires_at`` are Unix seconds, and
    ``key_time`` is None for an opaque key. ``epoch`` is the epoch of the lease
    under which the call was accepted. ``waiters`` are called once with the entry
    when it is finished.
    """

    key: LedgerKey
    slot: int
    fingerprint: str
    key_time: float | None
    accepted_at: float
    expires_at: float
    epoch: int
    state: EntryState = EntryState.ACCEPTED
    answer: RecordedAnswer | None = None
    waiters: list[Callable[["LedgerEntry"], None]] = field(factory=list)


class Ledger:
    """All entries of one process by key, in the order in which they were added."""

    def __init__(
        self,
        max_entries: int = DEFAULT_MAX_ENTRIES,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self.body_bytes = 0
        self._max_entries = max_entries
        self._max_body_bytes = max_body_bytes
        self._entry_by_key: dict[LedgerKey, LedgerEntry] = {}
        self._entries_with_body: deque[LedgerEntry] = deque()

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def get(self, key: LedgerKey) -> LedgerEntry | None:
        """Return the entry of ``key``, or None if it is unknown."""
        return self._entry_by_key.get(key)

    def add(self, entry: LedgerEntry) -> None:
        """Add a new entry; raises ValueError if its key is recorded already."""
        if entry.key in self._entry_by_key:
            raise ValueError(f"key {entry.key.key!r} is recorded already")
        self._entry_by_key[entry.key] = entry
        if entry.answer:
            self._add_body(entry)

    def mark_dispatched(self, entry: LedgerEntry) -> bool:
        """Mark an accepted entry as dispatched, and return True.

        Returns False and changes nothing if the entry is in another state.
        """
        if entry.state is not EntryState.ACCEPTED:
            return False
        entry.state = EntryState.DISPATCHED
        return True

    def finish(self, entry: LedgerEntry, answer: RecordedAnswer) -> bool:
        """Record the final answer, notify the waiters, and return True.

        Returns False and changes nothing if the entry has an answer already.
        """
        if entry.state is EntryState.FINISHED:
            return False
        if len(answer.body) > MAX_RECORDED_BODY_BYTES:
            recorded = answer.without_body()
        else:
            recorded = answer
        entry.state = EntryState.FINISHED
        entry.answer = recorded
        if self._entry_by_key.get(entry.key) is entry:
            self._add_body(entry)
        waiters, entry.waiters = entry.waiters, []
        for notify in waiters:
            notify(entry)
        return True

    def expire(self, now: float) -> list[LedgerEntry]:
        """Remove and return the finished entries past their repeat window."""
        expired = [
            entry
            for entry in self._entry_by_key.values()
            if entry.expires_at <= now and entry.state is EntryState.FINISHED
        ]
        for entry in expired:
            self.remove(entry)
        return expired

    def entry_to_evict(self) -> LedgerEntry | None:
        """Return the oldest finished entry with a key time if the ledger is full.

        Entries of opaque keys aren't evicted: raising the key floor for one would
        reject every new opaque key for a whole repeat window.
        """
        if not self.full:
            return None
        finished = (e for e in self if e.state is EntryState.FINISHED)
        return next((e for e in finished if e.key_time is not None), None)

    @property
    def full(self) -> bool:
        """Whether the ledger has reached its maximum number of entries."""
        return len(self._entry_by_key) >= self._max_entries

    def remove(self, entry: LedgerEntry) -> None:
        """Remove ``entry`` if it is still recorded."""
        if self._entry_by_key.get(entry.key) is not entry:
            return
        del self._entry_by_key[entry.key]
        if entry.answer:
            self.body_bytes -= len(entry.answer.body)

    def of_slot(self, slot: int) -> list[LedgerEntry]:
        """Return the entries of one slot."""
        return [entry for entry in self if entry.slot == slot]

    def __iter__(self) -> Iterator[LedgerEntry]:
        return iter(self._entry_by_key.values())

    def _add_body(self, entry: LedgerEntry) -> None:
        """Count the recorded body, and evict the oldest bodies above the limit."""
        if not entry.answer.body:
            return
        self.body_bytes += len(entry.answer.body)
        self._entries_with_body.append(entry)
        while self.body_bytes > self._max_body_bytes:
            oldest = self._entries_with_body.popleft()
            if self._entry_by_key.get(oldest.key) is oldest:
                self.body_bytes -= len(oldest.answer.body)
            oldest.answer = oldest.answer.without_body()
