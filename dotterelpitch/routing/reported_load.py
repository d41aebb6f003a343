"""The load that an engine reports of itself."""

from attrs import frozen


@frozen
class ReportedLoad:
    """The load that an engine reports, as numbers of requests and slots.

    ``slowdown`` is by which factor work takes longer there than usual at that moment;
    None if it doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def is_crowded(self) -> bool:
        """Whether requests are waiting or at least half of the slots are in use."""
        return self.waiting > 0 or 2 * self.running >= self.slots
