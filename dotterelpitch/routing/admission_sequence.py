"""The order in which a request asks the engines' owners, and what it learns."""

from attrs import define, field, frozen

from dotterelpitch.hashing import rendezvous_score
from dotterelpitch.routing.admission_request import AdmissionMode, AtBound
from dotterelpitch.routing.candidates import Candidates
from dotterelpitch.routing.engine_load import EngineLoad

PLACE_ROUNDS = 16
QUEUE_ROUNDS = 2
ROUNDS_AFTER_ASKING = (
    *[AdmissionMode.BOUNDED] * PLACE_ROUNDS,
    *[AdmissionMode.QUEUE] * QUEUE_ROUNDS,
)


@frozen
class AdmissionStep:
    """One engine to ask, and how much to insist.

    ``warm`` tells that the engine holds the chat's prefix if any does, and
    ``home`` that its owner may point to another engine that holds it.
    """

    engine: str
    warm: bool
    home: bool
    mode: AdmissionMode


@define
class AdmissionSequence:
    """Asks each candidate once, then the least loaded, then queues there.

    Every answer brings an exact load, which the next owner is told of, so
    that at the end of the walk the bounds rest on present loads. Requests
    that see the same loads at the same moment choose different engines, by
    the hash of ``request_id``.

    >>> sequence = AdmissionSequence(Candidates(["e1", "e2"]), "r")
    >>> sequence.next()
    AdmissionStep(engine='e1', warm=True, home=True, mode=<AdmissionMode.SELECTIVE: 0>)
    >>> sequence.record_at_bound(AtBound("r", EngineLoad("e1", 90.0, 4), 80.0, 0.5))
    >>> sequence.next().engine
    'e2'
    >>> sequence.record_at_bound(AtBound("r", EngineLoad("e2", 85.0, 4), 80.0, 0.9))
    >>> sequence.next()
    AdmissionStep(engine='e2', warm=False, home=False, mode=<AdmissionMode.BOUNDED: 1>)
    """

    candidates: Candidates
    request_id: str
    _asked: int = 0
    _pointed: bool = False
    _rounds: list[AdmissionMode] = field(factory=lambda: list(ROUNDS_AFTER_ASKING))
    _busy_by_engine: dict[str, AtBound] = field(factory=dict)

    @property
    def observed(self) -> tuple[EngineLoad, ...]:
        """The loads that the owners have answered with."""
        return tuple(answer.engine_load for answer in self._busy_by_engine.values())

    def next(self) -> AdmissionStep | None:
        """Return the next engine to ask, or None when all have refused."""
        names = self.candidates.names
        if self._asked < len(names):
            first = self._asked == 0
            home = first and not self._pointed
            step = AdmissionStep(
                names[self._asked], first, home, AdmissionMode.SELECTIVE
            )
            self._asked += 1
            return step
        if not self._rounds or not self._busy_by_engine:
            return None
        engine = min(self._busy_by_engine, key=self._rank)
        load = self._busy_by_engine[engine].engine_load
        if load.running >= load.slots:  # No engine has a free slot.
            self._stop_placing()
        if not self._rounds:
            return None
        return AdmissionStep(engine, engine == names[0], False, self._rounds.pop(0))

    def redirect_to(self, engine: str) -> None:
        """Ask ``engine`` next, which holds the prefix, and then start over."""
        names = self.candidates.names
        self.candidates = Candidates([engine, *(n for n in names if n != engine)])
        self._asked = 0
        self._pointed = True

    def record_at_bound(self, answer: AtBound) -> None:
        """Take in that an engine has no place now."""
        load = answer.engine_load
        known = self._busy_by_engine.get(load.engine)
        if known is not None and load.load <= known.engine_load.load:
            self._stop_placing()  # Other requests were not what kept it out.
        self._busy_by_engine[load.engine] = answer

    def record_refusal(self, engine: str) -> None:
        """Take in that an engine is not to be asked again."""
        self._busy_by_engine.pop(engine, None)

    def retry_after(self) -> float:
        """Return the shortest expected wait in seconds, 0 when none is known."""
        waits = [answer.expected_wait for answer in self._busy_by_engine.values()]
        return min(waits, default=0.0)

    def _stop_placing(self) -> None:
        self._rounds = [r for r in self._rounds if r is AdmissionMode.QUEUE]

    def _rank(self, engine: str) -> tuple[float, float, int]:
        load = self._busy_by_engine[engine].engine_load
        tie_break = rendezvous_score(self.request_id, engine)
        return load.queued / load.slots, load.load / load.slots, tie_break
