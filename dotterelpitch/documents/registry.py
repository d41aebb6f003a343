"""Keeps the highest valid document revision that was seen for each service.

The registry decides which document is in force. It never reverts to a lower
revision, whatever the platform or a peer offers, and refuses invalid documents:
the last valid one stays in force.
"""

from collections import deque
from enum import StrEnum

import xxhash
from attrs import frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import ServiceDocument
from dotterelpitch.documents.parsing import parse_document, with_revision
from dotterelpitch.errors import DocumentError
from dotterelpitch.telemetry.events import Event, log_event

MAX_REFUSED_PER_SERVICE = 8


class OfferResult(StrEnum):
    """The outcome of offering a document."""

    IN_FORCE = "in-force"
    KNOWN = "known"
    OLDER = "older"
    REFUSED = "refused"


@frozen
class DocumentVersion:
    """A document in force; ``text`` is the JSON that the platform served.

    ``checksum`` is the 64-bit hash of ``text``. ``in_force_since`` is the
    monotonic time in seconds at which it came into force in this process.
    """

    document: ServiceDocument
    text: str
    checksum: int
    in_force_since: float

    @property
    def revision(self) -> int:
        """The revision that the platform gave the document."""
        return self.document.revision

    @property
    def rank(self) -> tuple[int, int]:
        """The order of versions: by revision, then by checksum; the highest wins."""
        return self.revision, self.checksum


@frozen
class RefusedDocument:
    """An invalid version, kept so that the same text isn't parsed again."""

    revision: int
    checksum: int
    problems: tuple[str, ...]


class DocumentRegistry:
    """The documents in force in one process.

    ``count_by_result`` counts the offers by outcome. ``conflict_count`` counts
    offers with the revision in force but different content.

    >>> from dotterelpitch.clock import ManualClock
    >>> registry = DocumentRegistry(ManualClock())
    >>> registry.offer("s", 2, '{"service": "s"}', "platform").value
    'in-force'
    >>> registry.offer("s", 1, '{"service": "s"}', "platform").value
    'older'
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version_by_service: dict[str, DocumentVersion] = {}
        self._refused_by_service: dict[str, deque[RefusedDocument]] = {}
        self._floor_by_service: dict[str, int] = {}
        self._logged_older_revision_by_service: dict[str, int] = {}
        self.count_by_result: dict[OfferResult, int] = dict.fromkeys(OfferResult, 0)
        self.conflict_count = 0

    @property
    def versions(self) -> dict[str, DocumentVersion]:
        """The documents in force by service."""
        return dict(self._version_by_service)

    def get(self, service: str) -> DocumentVersion | None:
        """Return the document in force for ``service``, or None."""
        return self._version_by_service.get(service)

    def revision(self, service: str) -> int:
        """Return the revision in force, 0 without a document."""
        version = self._version_by_service.get(service)
        return version.revision if version else 0

    def refused(self, service: str) -> list[RefusedDocument]:
        """Return the refused revisions of ``service``, the oldest first."""
        return list(self._refused_by_service.get(service, ()))

    def raise_floor(self, service: str, revision: int) -> None:
        """Ignore revisions below ``revision`` from now on.

        To be called on evidence of a document that this process hasn't seen,
        such as a fencing number that an engine has accepted.
        """
        floor = self._floor_by_service.get(service, 0)
        self._floor_by_service[service] = max(floor, revision)

    def floor(self, service: str) -> int:
        """Return the lowest revision that may come into force."""
        return max(self._floor_by_service.get(service, 0), self.revision(service))

    def wants(self, service: str, revision: int, checksum: int) -> bool:
        """Return whether a peer's version would replace ours."""
        current = self._version_by_service.get(service)
        if revision < self.floor(service) or self._is_refused(
            service, revision, checksum
        ):
            return False
        return current is None or (revision, checksum) > current.rank

    def offer(
        self, service: str, revision: int, text: str | bytes, source: str
    ) -> OfferResult:
        """Put ``text`` in force if it is valid and ranks above the current version.

        ``source`` is where it came from, for the log events. Returns the
        outcome; an invalid document raises no error.
        """
        raw = text.encode() if isinstance(text, str) else text
        result = self._offer(service, revision, raw, source)
        self.count_by_result[result] += 1
        return result

    def _offer(
        self, service: str, revision: int, text: bytes, source: str
    ) -> OfferResult:
        if revision < self.floor(service):
            self._log_older(service, revision, source)
            return OfferResult.OLDER
        checksum = xxhash.xxh3_64_intdigest(text)
        if self._is_refused(service, revision, checksum):
            return OfferResult.REFUSED
        current = self._version_by_service.get(service)
        if current is not None and current.rank == (revision, checksum):
            return OfferResult.KNOWN
        try:
            document = _parse(service, revision, text)
        except DocumentError as error:
            self._refuse(service, revision, checksum, error, source)
            return OfferResult.REFUSED
        version = DocumentVersion(
            document, text.decode(), checksum, self._clock.monotonic()
        )
        return self._put_in_force(service, version, current, source)

    def _put_in_force(
        self,
        service: str,
        version: DocumentVersion,
        current: DocumentVersion | None,
        source: str,
    ) -> OfferResult:
        if current is not None and version.revision == current.revision:
            self._record_conflict(service, version, current, source)
            if version.rank < current.rank:
                return OfferResult.OLDER
        self._version_by_service[service] = version
        log_event(
            Event.DOCUMENT_IN_FORCE,
            service=service,
            revision=version.revision,
            source=source,
        )
        return OfferResult.IN_FORCE

    def _is_refused(self, service: str, revision: int, checksum: int) -> bool:
        return any(
            refused.revision == revision and refused.checksum == checksum
            for refused in self._refused_by_service.get(service, ())
        )

    def _refuse(
        self,
        service: str,
        revision: int,
        checksum: int,
        error: DocumentError,
        source: str,
    ) -> None:
        refused = RefusedDocument(revision, checksum, tuple(error.problems))
        refused_documents = self._refused_by_service.setdefault(
            service, deque(maxlen=MAX_REFUSED_PER_SERVICE)
        )
        refused_documents.append(refused)
        log_event(
            Event.DOCUMENT_REFUSED,
            service=service,
            revision=revision,
            in_force=self.revision(service),
            problems=error.problems[:5],
            source=source,
        )

    def _log_older(self, service: str, revision: int, source: str) -> None:
        if self._logged_older_revision_by_service.get(service) == revision:
            return
        self._logged_older_revision_by_service[service] = revision
        log_event(
            Event.DOCUMENT_OLDER_IGNORED,
            service=service,
            revision=revision,
            in_force=self.floor(service),
            source=source,
        )

    def _record_conflict(
        self,
        service: str,
        version: DocumentVersion,
        current: DocumentVersion,
        source: str,
    ) -> None:
        self.conflict_count += 1
        log_event(
            Event.DOCUMENT_CONFLICT,
            service=service,
            revision=version.revision,
            kept=f"{max(version.checksum, current.checksum):016x}",
            dropped=f"{min(version.checksum, current.checksum):016x}",
            source=source,
        )


def _parse(service: str, revision: int, text: bytes) -> ServiceDocument:
    document = with_revision(parse_document(text), revision)
    if document.service != service:
        raise DocumentError([f"$.service: {document.service!r} isn't {service!r}"])
    return document


if __name__ == "__main__":
    from dotterelpitch.clock import SystemClock
    from dotterelpitch.telemetry.events import configure_logging

    configure_logging()
    demo = DocumentRegistry(SystemClock())
    for revision, text in [
        (7, '{"service": "swaps"}'),
        (6, '{"service": "swaps"}'),
        (8, '{"service": "swaps", "load_bnd": 1.3}'),
    ]:
        print(revision, demo.offer("swaps", revision, text, "demo").value)
