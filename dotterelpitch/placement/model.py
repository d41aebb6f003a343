"""Engine reports and orders: the models that engines have or should have loaded."""

from attrs import frozen

from dotterelpitch.documents.model import EngineRole


@frozen
class ModelCopy:
    """One version of a model as loaded on an engine, with its adapters."""

    name: str
    version: str
    adapters: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple[str, str]:
        """Name and version, which identify the weights."""
        return self.name, self.version


@frozen
class EngineReport:
    """The state that an engine reported; ``read_at`` is in monotonic seconds.

    ``highest_fencing`` is the highest fencing number that the engine has seen, or
    0 if it doesn't keep one.
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
    """The complete state that an engine should reach.

    An order is absolute: it isn't relative to what the engine has loaded.
    ``fencing`` is the revision of the document that the order is derived from.
    """

    service: str
    engine: str
    fencing: int
    copies: frozenset[ModelCopy] = frozenset()
    role: EngineRole = EngineRole.BOTH

    def is_satisfied_by(self, report: EngineReport) -> bool:
        """Return whether ``report`` shows exactly the ordered state."""
        return self.copies == report.copies and self.role is report.role

    def count_missing_loads(self, report: EngineReport) -> int:
        """Return how many models and adapters the engine has yet to load."""
        keys = {copy.key for copy in report.copies}
        adapters = {(copy.key, a) for copy in report.copies for a in copy.adapters}
        ordered = {(copy.key, a) for copy in self.copies for a in copy.adapters}
        new_models = sum(copy.key not in keys for copy in self.copies)
        return new_models + len(ordered - adapters)
