"""What engines hold and what they are ordered to hold, as attrs classes."""

from attrs import frozen

from dotterelpitch.documents.model import EngineRole


@frozen
class ModelCopy:
    """One version of a model at one engine, with its adapters."""

    name: str
    version: str
    adapters: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple[str, str]:
        """Name and version, which tell what weights are loaded."""
        return self.name, self.version


@frozen
class EngineReport:
    """What an engine said of itself; ``read_at`` is in monotonic seconds.

    ``highest_fencing`` is the highest fencing number that it has seen, 0 when
    it keeps none.
    """

    engine: str
    read_at: float
    copies: frozenset[ModelCopy] = frozenset()
    role: EngineRole = EngineRole.BOTH
    highest_fencing: int = 0

    def copies_of(self, model: str) -> set[ModelCopy]:
        """Return all loaded versions of ``model``."""
        return {copy for copy in self.copies if copy.name == model}


@frozen
class EngineOrder:
    """All that an engine shall hold, never a change relative to what it has.

    ``fencing`` is the revision of the document that the order comes from.
    """

    service: str
    engine: str
    fencing: int
    copies: frozenset[ModelCopy] = frozenset()
    role: EngineRole = EngineRole.BOTH

    def is_satisfied_by(self, report: EngineReport) -> bool:
        """Return whether the engine holds exactly what the order says."""
        return self.copies == report.copies and self.role is report.role

    def count_missing_loads(self, report: EngineReport) -> int:
        """Return how many models and adapters the engine would have to load."""
        keys = {copy.key for copy in report.copies}
        adapters = {(copy.key, a) for copy in report.copies for a in copy.adapters}
        wanted = {(copy.key, a) for copy in self.copies for a in copy.adapters}
        new_models = sum(copy.key not in keys for copy in self.copies)
        return new_models + len(wanted - adapters)
