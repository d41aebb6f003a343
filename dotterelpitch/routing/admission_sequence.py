"""The order in which a request asks the owners of engines for admission."""

from attrs import define, field, frozen

from dotterelpitch.hashing import rendezvous_score
from dotterelpitch.routing.admission_request import AdmissionMode, AtBound
from dotterelpitch.routing.candidates import Candidates
from dotterelpitch.routing.engine_load import EngineLoad

# After the first round, the least loaded engine is asked this often in each mode.
BOUNDED_ROUNDS = 16
QUEUE_ROUNDS = 2
MODES_AFTER_FIRST_ROUND = (
    *[AdmissionMode.BOUNDED] * BOUNDED_ROUNDS,
    *[AdmissionMode.QUEUE] * QUEUE_ROUNDS,
)


@frozen
class AdmissionStep:
    """The next engine to ask, and the mode of the request for admission.

    ``warm`` means that the engine is the one most likely to hold the chat's
    prefix, and ``home`` that it is the chat's first choice, whose owner may
    redirect the request to the engine that holds the prefix.
    """

    engine: str
    warm: bool
    home: bool
    mode: AdmissionMode


@define
class AdmissionSequence:
    """Yields the engines to ask, one at a time, until one admits the request.

    Each candidate is asked once, in order. Then the least loaded one is asked,
    up to ``BOUNDED_ROUNDS`` times without and up to ``QUEUE_ROUNDS`` times with
    permission to queue the request.

    Every answer contains the exact load of an engine. These loads are sent
    along to the owners that are asked next, so that the last bounds are
    computed from current loads. Requests that see the same loads at the same
    moment choose different engines, by the hash of ``request_id``.

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
    _redirected: bool = False
    _modes: list[AdmissionMode] = field(factory=lambda: list(MODES_AFTER_FIRST_ROUND))
    _at_bound_by_engine: dict[str, AtBound] = field(factory=dict)

    @property
    def observed(self) -> tuple[EngineLoad, ...]:
        """The loads reported by the owners asked so far."""
        return tuple(answer.engine_load for answer in self._at_bound_by_engine.values())

    def next(self) -> AdmissionStep | None:
        """Return the next engine to ask, or None if no engine is left to ask."""
        names = self.candidates.names
        if self._asked < len(names):
            first = self._asked == 0
            home = first and not self._redirected
            step = AdmissionStep(
                names[self._asked], first, home, AdmissionMode.SELECTIVE
            )
            self._asked += 1
            return step
        if not self._modes or not self._at_bound_by_engine:
            return None
        engine = min(self._at_bound_by_engine, key=self._load_rank)
        load = self._at_bound_by_engine[engine].engine_load
        if load.running >= load.slots:  # No engine has a free slot.
            self._skip_bounded_rounds()
        if not self._modes:
            return None
        return AdmissionStep(engine, engine == names[0], False, self._modes.pop(0))

    def redirect_to(self, engine: str) -> None:
        """Start over with ``engine``, which holds the prefix, as first choice."""
        names = self.candidates.names
        self.candidates = Candidates([engine, *(n for n in names if n != engine)])
        self._asked = 0
        self._redirected = True

    def record_at_bound(self, answer: AtBound) -> None:
        """Record that an engine has no capacity for the request now."""
        load = answer.engine_load
        known = self._at_bound_by_engine.get(load.engine)
        if known is not None and load.load <= known.engine_load.load:
            # The load hasn't grown since the last answer, so no concurrent request
            # has taken the capacity, and another try wouldn't help.
            self._skip_bounded_rounds()
        self._at_bound_by_engine[load.engine] = answer

    def record_refusal(self, engine: str) -> None:
        """Record that an engine must not be asked in later rounds."""
        self._at_bound_by_engine.pop(engine, None)

    def retry_after(self) -> float:
        """Return the shortest expected wait in seconds, 0 if none is known."""
        waits = [answer.expected_wait for answer in self._at_bound_by_engine.values()]
        return min(waits, default=0.0)

    def _skip_bounded_rounds(self) -> None:
        self._modes = [m for m in self._modes if m is AdmissionMode.QUEUE]

    def _load_rank(self, engine: str) -> tuple[float, float, int]:
        load = self._at_bound_by_engine[engine].engine_load
        tie_break = rendezvous_score(self.request_id, engine)
        return load.queued / load.slots, load.load / load.slots, tie_break
