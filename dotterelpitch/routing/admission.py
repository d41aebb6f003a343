"""The admission owner's desk for one engine: exact load, bound, and queue."""

from collections.abc import Sequence

import attrs
from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.admission_queue import AdmissionQueue
from dotterelpitch.routing.admission_request import (
    NO_DEADLINE,
    Accepted,
    AdmissionMode,
    AdmissionRequest,
    Answer,
    AtBound,
    Rejected,
    Waiting,
)
from dotterelpitch.routing.chat_moves import ChatMoves
from dotterelpitch.routing.engine_load import EngineLoad, FleetLoad
from dotterelpitch.routing.other_owners import OtherOwners
from dotterelpitch.routing.stalling import StallingPolicy, StallState

QUEUE_PER_SLOT = 8
# This share of the slots, one at least, is kept free of long requests.
SHORT_RESERVE_SHARE = 0.125
MIN_SLOTS_FOR_RESERVE = 4
SERVICE_SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


@define
class _Running:
    offer: AdmissionRequest
    started_at: float


@define
class QueueChanges:
    """What a change of load has brought about for waiting requests."""

    accepted: list[Accepted] = field(factory=list)
    rejected: list[Rejected] = field(factory=list)


class AdmissionController:
    """Admits requests to one engine; only its admission owner has one.

    Load is counted in tokens. A request is admitted while a slot is free and
    the load with it stays within ``load_bound`` times the mean load of the
    fleet's engines. Loads come in lumps of whole requests, so an engine whose
    load is at or below the mean may always take one more: some engine always
    is, hence no request finds all engines at their bound.
    """

    def __init__(
        self,
        engine: str,
        slots: int,
        clock: Clock,
        fleet: FleetLoad,
        policy: StallingPolicy,
        load_bound: float,
    ) -> None:
        self.engine = engine
        self.slots = slots
        self.load_bound = load_bound
        self.share = 1.0
        self.closed = False
        self.other_owners = OtherOwners(clock)
        self.chat_moves = ChatMoves()
        self._clock = clock
        self._fleet = fleet
        self._policy = policy
        self._running_by_request: dict[str, _Running] = {}
        self._own_load = 0.0
        self._long_running = 0
        self._alone: set[str] = set()
        self._queue = AdmissionQueue()
        self._seconds_per_token: float | None = None
        self._publish()

    @property
    def load(self) -> float:
        """The load in tokens, with what other owners have in flight here."""
        return self._own_load + self.other_owners.load()

    @property
    def running(self) -> int:
        """How many requests run here, with those of other owners."""
        own = len(self._running_by_request)
        return own + self.other_owners.running()

    def snapshot(self) -> EngineLoad:
        """Return the load as other processes are told of it."""
        return EngineLoad(
            self.engine,
            self.load,
            self.slots,
            self.running,
            len(self._queue),
            self._clock.wall(),
        )

    def own_snapshot(self) -> EngineLoad:
        """Return the load that was admitted here, without other owners'."""
        running = len(self._running_by_request)
        return attrs.evolve(self.snapshot(), load=self._own_load, running=running)

    def bound_for(self, weight: float, sample: Sequence[EngineLoad] = ()) -> float:
        """Return the load in tokens up to which ``weight`` may be added.

        ``sample`` has loads of a request that found all engines busy: when
        their mean is higher than the one known here, it counts.
        """
        total, slots = self._fleet.totals()
        slots = max(slots, self.slots)
        per_slot = max(total / slots, _load_per_slot(sample))
        mean = per_slot * self.slots
        mean_after = mean + weight / slots * self.slots
        return max(self.load_bound * mean_after, mean + weight)

    def submit(self, offer: AdmissionRequest) -> Answer:
        """Decide on one request at once."""
        if self.closed:
            return Rejected(offer.request_id, "not the owner", MIN_RETRY_AFTER_SECONDS)
        self._fleet.update(x for x in offer.observed if x.engine != self.engine)
        if self._fits(offer):
            return self._accept(offer)
        return self._defer(offer)

    def finish(self, request_id: str, completed: bool = False) -> QueueChanges:
        """Take in that a request has ended, whole if ``completed``."""
        running = self._running_by_request.pop(request_id, None)
        if running is not None:
            self._own_load -= running.offer.weight
            self._long_running -= not running.offer.short
            if completed:
                self._learn(running)
        if not self._running_by_request:
            self._own_load = 0.0
        self._alone.discard(request_id)
        return self.advance()

    def cancel(self, request_id: str) -> QueueChanges:
        """Take in that the caller has gone, whether it waits or runs."""
        self._alone.discard(request_id)
        if self._queue.remove(request_id) is not None:
            return self.advance()
        return self.finish(request_id)

    def advance(self) -> QueueChanges:
        """Admit what fits now, and drop what has missed its deadline."""
        changes = QueueChanges()
        for offer in self._queue.pop_expired(self._clock.wall()):
            self._alone.discard(offer.request_id)
            changes.rejected.append(self._reject(offer, "deadline passed in queue"))
        while (offer := self._queue.pop(self._fits)) is not None:
            changes.accepted.append(self._accept(offer))
        self._publish()
        return changes

    def reopen(self) -> None:
        """Admit again after a step down."""
        self.closed = False

    def close(self, reason: str) -> QueueChanges:
        """Step down: hand back all that waits, and admit nothing more."""
        self.closed = True
        changes = QueueChanges()
        for offer in self._queue.offers():
            self._queue.remove(offer.request_id)
            self._alone.discard(offer.request_id)
            changes.rejected.append(Rejected(offer.request_id, reason))
        return changes

    def in_flight(self) -> list[AdmissionRequest]:
        """Return the requests that run on the engine."""
        return [running.offer for running in self._running_by_request.values()]

    def expected_wait(self, offer: AdmissionRequest) -> float:
        """Return the expected seconds in the queue."""
        if self._seconds_per_token is None:
            return 0.0
        _, tokens_ahead = self._queue.ahead_of(offer)
        # The running requests are half done on average; one must end first.
        in_service = self.load / max(1, self.running) / 2.0
        return (tokens_ahead + in_service) / self.slots * self._seconds_per_token

    def expected_service(self, offer: AdmissionRequest) -> float:
        """Return the expected seconds from start to end."""
        return offer.weight * (self._seconds_per_token or 0.0)

    def _fits(self, offer: AdmissionRequest) -> bool:
        if offer.alone or self._alone:
            return not self.running and (offer.alone or not self._alone)
        if self.running >= max(1, int(self.slots * self.share)):
            return False
        if not offer.short and self._long_running >= self._long_slots():
            return False
        if not self.running:
            return True
        if offer.steerable:
            return self.load <= self._fleet.load_per_slot() * self.slots
        sample = offer.observed if offer.mode > AdmissionMode.SELECTIVE else ()
        return self.load + offer.weight <= self.bound_for(offer.weight, sample)

    def _long_slots(self) -> int:
        if self.slots < MIN_SLOTS_FOR_RESERVE:
            return self.slots
        return self.slots - max(1, int(self.slots * SHORT_RESERVE_SHARE))

    def _accept(self, offer: AdmissionRequest) -> Accepted:
        sample = offer.observed if offer.mode > AdmissionMode.SELECTIVE else ()
        bound = self.bound_for(offer.weight, sample)
        self._running_by_request[offer.request_id] = _Running(
            offer, self._clock.monotonic()
        )
        self._own_load += offer.weight
        self._long_running += not offer.short
        self.other_owners.record_own_running(len(self._running_by_request))
        if offer.alone:
            self._alone.add(offer.request_id)
        self._publish()
        return Accepted(offer.request_id, self.load, bound)

    def _defer(self, offer: AdmissionRequest) -> Answer:
        if not self._may_queue(offer):
            return AtBound(
                offer.request_id,
                self.snapshot(),
                self.bound_for(offer.weight),
                self.expected_wait(offer),
            )
        if len(self._queue) >= QUEUE_PER_SLOT * self.slots:
            return self._reject(offer, "queue is full")
        if self._too_late(offer):
            return self._reject(offer, "deadline can't be met")
        ahead, _ = self._queue.ahead_of(offer)
        wait = self.expected_wait(offer)
        self._queue.push(offer)
        if offer.alone:
            self._alone.add(offer.request_id)
        self._publish()
        return Waiting(offer.request_id, ahead, wait)

    def _may_queue(self, offer: AdmissionRequest) -> bool:
        if offer.mode is AdmissionMode.SELECTIVE:
            return self._stalls(offer)
        return offer.mode is AdmissionMode.QUEUE

    def _stalls(self, offer: AdmissionRequest) -> bool:
        total_load, total_slots = self._fleet.totals()
        mean_request = self.load / max(1, self.running)
        running_everywhere = total_load / mean_request if mean_request else 0.0
        state = StallState(
            queued=len(self._queue),
            slots=max(1, min(self.slots, self.running)),
            wait=self._expected_wait_services(offer),
            cold_ratio=offer.cold_ratio,
            utilisation=min(1.0, running_everywhere / max(1, total_slots)),
        )
        return self._policy.waits(state)

    def _expected_wait_services(self, offer: AdmissionRequest) -> float:
        """Return the expected wait in expected service times of the request."""
        if self._seconds_per_token is None:
            return (len(self._queue) + 1) / max(1, self.running)
        return self._seconds_until_fit(offer) / self.expected_service(offer)

    def _seconds_until_fit(self, offer: AdmissionRequest) -> float:
        """Return when enough running requests will have ended for this one.

        Requests that have outlasted their expected service count as about to
        end. Those that wait ahead go first, so their load has to end as well.
        """
        pace = self._seconds_per_token
        now = self._clock.monotonic()
        ahead, tokens_ahead = self._queue.ahead_of(offer)
        surplus = self.load + offer.weight + tokens_ahead
        surplus -= self.bound_for(offer.weight)
        places = ahead + 1 + self.running - self.slots
        ends = sorted(
            (max(0.0, r.offer.weight * pace - (now - r.started_at)), r.offer.weight)
            for r in self._running_by_request.values()
        )
        seconds = 0.0
        for seconds, weight in ends:
            surplus -= weight
            places -= 1
            if surplus <= 0.0 and places <= 0:
                return seconds
        return seconds + max(0.0, surplus) / self.slots * pace

    def _too_late(self, offer: AdmissionRequest) -> bool:
        if offer.deadline == NO_DEADLINE:
            return False
        needed = self.expected_wait(offer) + self.expected_service(offer)
        return self._clock.wall() + needed > offer.deadline

    def _reject(self, offer: AdmissionRequest, reason: str) -> Rejected:
        retry_after = max(MIN_RETRY_AFTER_SECONDS, self.expected_wait(offer))
        return Rejected(offer.request_id, reason, retry_after)

    def _learn(self, running: _Running) -> None:
        seconds = self._clock.monotonic() - running.started_at
        sample = seconds / max(running.offer.weight, 1.0)
        if self._seconds_per_token is None:
            self._seconds_per_token = sample
        self._seconds_per_token += SERVICE_SMOOTHING * (
            sample - self._seconds_per_token
        )

    def _publish(self) -> None:
        self._fleet.update([self.snapshot()])


def _load_per_slot(loads: Sequence[EngineLoad]) -> float:
    slots = sum(load.slots for load in loads)
    return sum(load.load for load in loads) / slots if slots else 0.0
