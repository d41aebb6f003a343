"""Where in the history of the platform's store a process is."""

from attrs import frozen


@frozen(order=True)
class StorePosition:
    """A point in the history of the store; later ones are greater.

    The store gives out revisions again when it is restored from an older copy, and
    then raises its era. ``era`` is 0 for a store that names none.

    >>> StorePosition(era=1, revision=90) < StorePosition(era=2, revision=70)
    True
    """

    era: int = 0
    revision: int = 0
