"""Admission control for one engine: exact load, load bound, and queue."""

from collections.abc import Sequence

import attrs
from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.admission_queue import AdmissionQueue
from dotterelpitch.routing.admission_request import (
    NO_DEADLINE,
    Accepted,
    AdmissionAnswer,
    AdmissionMode,
    AdmissionRequest,
    AtBound,
    Rejected,
    Waiting,
)
from dotterelpitch.routing.chat_moves import ChatMoves
from dotterelpitch.routing.engine_load import EngineLoad, FleetLoad
from dotterelpitch.routing.other_owners import OtherOwners
from dotterelpitch.routing.stalling import StallingPolicy, StallState

# Requests that would make the queue longer than this per slot are rejected.
QUEUE_PER_SLOT = 8
# This share of the slots, and at least one, is kept free of long requests.
SHORT_REQUEST_SLOT_SHARE = 0.125
# Engines with fewer slots reserve none for short requests.
MIN_SLOTS_FOR_RESERVE = 4
# The weight of a new sample in the moving average of the service time per token.
SERVICE_TIME_EWMA_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


@define
class _Running:
    request: AdmissionRequest
    started_at: float


@define
class QueueChanges:
    """Queued requests that a change of load has accepted or rejected."""

    accepted: list[Accepted] = field(factory=list)
    rejected: list[Rejected] = field(factory=list)


class AdmissionController:
    """Admits requests to one engine, on the engine's admission owner only.

    Load is counted in tokens. A request is admitted while a slot is free and
    the load with it stays within ``load_bound`` times the mean load of the
    fleet's engines. Since load grows by whole requests, an engine whose load is
    at or below the mean may always take one more. There is always such an
    engine, so no request finds every engine at its bound. While a request that
    must run alone is queued or running, no other one is admitted.

    ``share`` is the usable part of the slots, below 1 during slow start, and
    ``closed`` is set while another VM owns the engine. ``other_owners`` holds
    the load that other VMs have in flight here, and ``chat_moves`` the chats
    that prefer this engine but run elsewhere.
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
        self._alone_ids: set[str] = set()
        self._queue = AdmissionQueue()
        self._seconds_per_token: float | None = None
        self._publish_load()

    @property
    def load(self) -> float:
        """The load in tokens, including what other owners have in flight."""
        return self._own_load + self.other_owners.load()

    @property
    def running(self) -> int:
        """The number of running requests, including those of other owners."""
        own = len(self._running_by_request)
        return own + self.other_owners.running()

    def snapshot(self) -> EngineLoad:
        """Return the engine's load, including that of other owners."""
        return EngineLoad(
            self.engine,
            self.load,
            self.slots,
            self.running,
            len(self._queue),
            self._clock.wall(),
        )

    def own_snapshot(self) -> EngineLoad:
        """Return the load that was admitted here, without that of other owners."""
        running = len(self._running_by_request)
        return attrs.evolve(self.snapshot(), load=self._own_load, running=running)

    def bound_for(self, weight: float, observed: Sequence[EngineLoad] = ()) -> float:
        """Return the load in tokens up to which ``weight`` may be added.

        ``observed`` holds the loads seen by a request that found all engines
        busy. Their mean replaces the one known here if it is higher.
        """
        total, slots = self._fleet.totals()
        slots = max(slots, self.slots)
        per_slot = max(total / slots, _load_per_slot(observed))
        mean = per_slot * self.slots
        mean_after = mean + weight / slots * self.slots
        return max(self.load_bound * mean_after, mean + weight)

    def submit(self, request: AdmissionRequest) -> AdmissionAnswer:
        """Return the immediate decision on ``request``."""
        if self.closed:
            return Rejected(
                request.request_id, "not the owner", MIN_RETRY_AFTER_SECONDS
            )
        self._fleet.update(x for x in request.observed if x.engine != self.engine)
        if self._fits(request):
            return self._accept(request)
        return self._defer(request)

    def finish(self, request_id: str, completed: bool = False) -> QueueChanges:
        """Record that a request has ended, and admit what fits now.

        ``completed`` means that it was answered in full: only such requests
        count towards the expected service time.
        """
        running = self._running_by_request.pop(request_id, None)
        if running is not None:
            self._own_load -= running.request.weight
            self._long_running -= not running.request.short
            if completed:
                self._update_service_time(running)
        if not self._running_by_request:
            self._own_load = 0.0
        self._alone_ids.discard(request_id)
        return self.advance()

    def cancel(self, request_id: str) -> QueueChanges:
        """Remove a queued or running request whose caller has disconnected."""
        self._alone_ids.discard(request_id)
        if self._queue.remove(request_id) is not None:
            return self.advance()
        return self.finish(request_id)

    def advance(self) -> QueueChanges:
        """Admit queued requests that fit now, and reject expired ones."""
        changes = QueueChanges()
        for request in self._queue.pop_expired(self._clock.wall()):
            self._alone_ids.discard(request.request_id)
            changes.rejected.append(self._reject(request, "deadline passed in queue"))
        while (request := self._queue.pop(self._fits)) is not None:
            changes.accepted.append(self._accept(request))
        self._publish_load()
        return changes

    def reopen(self) -> None:
        """Admit requests again after a step-down."""
        self.closed = False

    def close(self, reason: str) -> QueueChanges:
        """Step down as the owner: reject the queue, and admit nothing more.

        Returns the rejected requests; running ones aren't affected.
        """
        self.closed = True
        changes = QueueChanges()
        for request in self._queue.requests():
            self._queue.remove(request.request_id)
            self._alone_ids.discard(request.request_id)
            changes.rejected.append(Rejected(request.request_id, reason))
        return changes

    def in_flight(self) -> list[AdmissionRequest]:
        """Return the requests admitted here that run on the engine."""
        return [running.request for running in self._running_by_request.values()]

    def expected_wait(self, request: AdmissionRequest) -> float:
        """Return the expected time in the queue, in seconds."""
        if self._seconds_per_token is None:
            return 0.0
        _, tokens_ahead = self._queue.ahead_of(request)
        # One running request has to end first; on average they are half done.
        in_service = self.load / max(1, self.running) / 2.0
        return (tokens_ahead + in_service) / self.slots * self._seconds_per_token

    def expected_service(self, request: AdmissionRequest) -> float:
        """Return the expected time from start to end, in seconds."""
        return request.weight * (self._seconds_per_token or 0.0)

    def _fits(self, request: AdmissionRequest) -> bool:
        if request.alone or self._alone_ids:
            return not self.running and (request.alone or not self._alone_ids)
        if self.running >= max(1, int(self.slots * self.share)):
            return False
        if not request.short and self._long_running >= self._slots_for_long():
            return False
        if not self.running:
            return True
        if request.steerable:
            return self.load <= self._fleet.load_per_slot() * self.slots
        observed = request.observed if request.mode > AdmissionMode.SELECTIVE else ()
        return self.load + request.weight <= self.bound_for(request.weight, observed)

    def _slots_for_long(self) -> int:
        if self.slots < MIN_SLOTS_FOR_RESERVE:
            return self.slots
        return self.slots - max(1, int(self.slots * SHORT_REQUEST_SLOT_SHARE))

    def _accept(self, request: AdmissionRequest) -> Accepted:
        observed = request.observed if request.mode > AdmissionMode.SELECTIVE else ()
        bound = self.bound_for(request.weight, observed)
        self._running_by_request[request.request_id] = _Running(
            request, self._clock.monotonic()
        )
        self._own_load += request.weight
        self._long_running += not request.short
        self.other_owners.record_own_running(len(self._running_by_request))
        if request.alone:
            self._alone_ids.add(request.request_id)
        self._publish_load()
        return Accepted(request.request_id, self.load, bound)

    def _defer(self, request: AdmissionRequest) -> AdmissionAnswer:
        if not self._may_queue(request):
            return AtBound(
                request.request_id,
                self.snapshot(),
                self.bound_for(request.weight),
                self.expected_wait(request),
            )
        if len(self._queue) >= QUEUE_PER_SLOT * self.slots:
            return self._reject(request, "queue is full")
        if self._misses_deadline(request):
            return self._reject(request, "deadline can't be met")
        ahead, _ = self._queue.ahead_of(request)
        wait = self.expected_wait(request)
        self._queue.push(request)
        if request.alone:
            self._alone_ids.add(request.request_id)
        self._publish_load()
        return Waiting(request.request_id, ahead, wait)

    def _may_queue(self, request: AdmissionRequest) -> bool:
        if request.mode is AdmissionMode.SELECTIVE:
            return self._should_stall(request)
        return request.mode is AdmissionMode.QUEUE

    def _should_stall(self, request: AdmissionRequest) -> bool:
        """Return whether the request waits here rather than starting elsewhere."""
        total_load, total_slots = self._fleet.totals()
        load_per_request = self.load / max(1, self.running)
        fleet_running = total_load / load_per_request if load_per_request else 0.0
        state = StallState(
            queued=len(self._queue),
            slots=max(1, min(self.slots, self.running)),
            wait=self._wait_in_service_times(request),
            cold_ratio=request.cold_ratio,
            utilisation=min(1.0, fleet_running / max(1, total_slots)),
        )
        return self._policy.waits(state)

    def _wait_in_service_times(self, request: AdmissionRequest) -> float:
        """Return the expected wait in units of the request's expected service time."""
        if self._seconds_per_token is None:
            return (len(self._queue) + 1) / max(1, self.running)
        return self._seconds_until_fit(request) / self.expected_service(request)

    def _seconds_until_fit(self, request: AdmissionRequest) -> float:
        """Return the expected seconds until enough running requests have ended.

        Requests that have exceeded their expected service time count as about
        to end. Requests ahead in the queue are admitted first, so room is
        needed for their load as well.
        """
        seconds_per_token = self._seconds_per_token
        now = self._clock.monotonic()
        ahead, tokens_ahead = self._queue.ahead_of(request)
        excess_load = self.load + request.weight + tokens_ahead
        excess_load -= self.bound_for(request.weight)
        missing_slots = ahead + 1 + self.running - self.slots
        ends = sorted(
            (
                max(0.0, r.request.weight * seconds_per_token - (now - r.started_at)),
                r.request.weight,
            )
            for r in self._running_by_request.values()
        )
        seconds = 0.0
        for seconds, weight in ends:
            excess_load -= weight
            missing_slots -= 1
            if excess_load <= 0.0 and missing_slots <= 0:
                return seconds
        return seconds + max(0.0, excess_load) / self.slots * seconds_per_token

    def _misses_deadline(self, request: AdmissionRequest) -> bool:
        if request.deadline == NO_DEADLINE:
            return False
        needed = self.expected_wait(request) + self.expected_service(request)
        return self._clock.wall() + needed > request.deadline

    def _reject(self, request: AdmissionRequest, reason: str) -> Rejected:
        retry_after = max(MIN_RETRY_AFTER_SECONDS, self.expected_wait(request))
        return Rejected(request.request_id, reason, retry_after)

    def _update_service_time(self, running: _Running) -> None:
        seconds = self._clock.monotonic() - running.started_at
        sample = seconds / max(running.request.weight, 1.0)
        if self._seconds_per_token is None:
            self._seconds_per_token = sample
        self._seconds_per_token += SERVICE_TIME_EWMA_WEIGHT * (
            sample - self._seconds_per_token
        )

    def _publish_load(self) -> None:
        self._fleet.update([self.snapshot()])


def _load_per_slot(loads: Sequence[EngineLoad]) -> float:
    slots = sum(load.slots for load in loads)
    return sum(load.load for load in loads) / slots if slots else 0.0
