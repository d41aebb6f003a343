"""Converts ledger entries to the rows of a handover message and back."""

from collections.abc import Iterable, Iterator

from dotterelpitch.protocol.keyed_messages import LedgerPart, LedgerRow
from dotterelpitch.requests.ledger import (
    EntryState,
    LedgerEntry,
    LedgerKey,
    RecordedAnswer,
)
from dotterelpitch.requests.outcomes import Outcome

# The ``key_time`` of a row with an opaque key, which has no creation time.
OPAQUE_KEY_TIME = -1.0
MAX_PART_BYTES = 256 * 1024
ROW_OVERHEAD_BYTES = 512
NO_ANSWER = RecordedAnswer(Outcome.UNKNOWN)


def row_of(entry: LedgerEntry) -> LedgerRow:
    """Return the row that describes ``entry``."""
    answer = entry.answer or NO_ANSWER
    return LedgerRow(
        service=entry.key.service,
        account=entry.key.account,
        key=entry.key.key,
        slot=entry.slot,
        fingerprint=entry.fingerprint,
        key_time=OPAQUE_KEY_TIME if entry.key_time is None else entry.key_time,
        accepted_at=entry.accepted_at,
        expires_at=entry.expires_at,
        epoch=entry.epoch,
        state=entry.state.value,
        outcome=answer.outcome.value,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        body_kept=answer.body_kept,
        reason=answer.reason,
    )


def entry_of(row: LedgerRow) -> LedgerEntry:
    """Return the entry that ``row`` describes."""
    state = EntryState(row.state)
    answer = RecordedAnswer(
        Outcome(row.outcome),
        row.status,
        row.headers,
        row.body,
        row.body_kept,
        row.reason,
    )
    return LedgerEntry(
        key=LedgerKey(row.service, row.account, row.key),
        slot=row.slot,
        fingerprint=row.fingerprint,
        key_time=None if row.key_time == OPAQUE_KEY_TIME else row.key_time,
        accepted_at=row.accepted_at,
        expires_at=row.expires_at,
        epoch=row.epoch,
        state=state,
        answer=answer if state is EntryState.FINISHED else None,
    )


def parts_of(entries: Iterable[LedgerEntry]) -> Iterator[LedgerPart]:
    """Yield messages with the rows of ``entries``.

    A message ends with the row that brings it to ``MAX_PART_BYTES`` or more.
    """
    rows: list[LedgerRow] = []
    size = 0
    for entry in entries:
        rows.append(row_of(entry))
        size += ROW_OVERHEAD_BYTES + len(rows[-1].body)
        if size >= MAX_PART_BYTES:
            yield LedgerPart(rows)
            rows, size = [], 0
    if rows:
        yield LedgerPart(rows)
