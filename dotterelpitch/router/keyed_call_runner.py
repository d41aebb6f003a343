"""Handles keyed calls at their owner: runs each key once, and replays its answer."""

import asyncio
import contextlib

from dotterelpitch.documents.model import Endpoint, EndpointKind, ServiceDocument
from dotterelpitch.hashing import rendezvous_rank
from dotterelpitch.protocol.frames import Data
from dotterelpitch.protocol.keyed_messages import (
    DispatchOnce,
    NotOwner,
    OnceAnswer,
    OnceRefused,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.requests.keyed_owner import CallDecision, KeyedOwner
from dotterelpitch.requests.ledger import LedgerEntry, LedgerKey, RecordedAnswer
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.requests.ownership import slot_of
from dotterelpitch.router.keyed_endpoint import KeyedEndpointClient
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event

CONNECT_RETRY_LIMIT_SECONDS = 5.0
CONNECT_RETRY_INTERVAL_SECONDS = 0.2
EXPIRY_INTERVAL_SECONDS = 10.0
HANDED_OVER_ANSWER_TIMEOUT_SECONDS = 30.0
BODY_CHUNK_BYTES = 64 * 1024
NO_ENDPOINT_REASON = "no endpoint could be reached"


class KeyedCallRunner:
    """Runs the call of each accepted key once, in a task that no caller can cancel.

    ``run_by_key`` has the tasks of the calls in progress.
    """

    def __init__(
        self,
        vm: str,
        owner: KeyedOwner,
        state: FleetState,
        endpoints: KeyedEndpointClient,
    ) -> None:
        self._vm = vm
        self._owner = owner
        self._state = state
        self._endpoints = endpoints
        self.run_by_key: dict[LedgerKey, asyncio.Task[RecordedAnswer]] = {}

    async def handle(self, stream: Stream, request: DispatchOnce) -> None:
        """Run, await, or replay the call of one DispatchOnce."""
        document = self._state.view.document_by_service.get(request.service)
        if document is None:
            await stream.send(NotOwner(""))
            return
        key = LedgerKey(request.service, request.account, request.key)
        admission = self._owner.admit(key, request.fingerprint, document.repeat_window)
        if admission.decision is CallDecision.RUN:
            self._start(admission.entry, request, document)
        answer = await self._answer(admission.decision, admission.entry)
        if answer is not None:
            replayed = admission.decision is not CallDecision.RUN
            await self._send(stream, answer, replayed)
        elif admission.decision is CallDecision.NOT_OWNER:
            await stream.send(NotOwner(self._holder_hint(request)))
        else:
            await stream.send(OnceRefused(admission.decision.value))

    async def run_expiry(self) -> None:
        """Drop entries past their repeat window periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self._owner.expire()

    async def _answer(
        self, decision: CallDecision, entry: LedgerEntry | None
    ) -> RecordedAnswer | None:
        if decision is CallDecision.REPLAY:
            log_event(Event.KEYED_REPLAYED, key=entry.key.key, slot=entry.slot)
            return entry.answer
        if decision not in (CallDecision.RUN, CallDecision.WAIT):
            return None
        run = self.run_by_key.get(entry.key)
        if run is not None:
            return await asyncio.shield(run)
        return await self._handed_over_answer(entry)

    async def _handed_over_answer(self, entry: LedgerEntry) -> RecordedAnswer:
        """Wait for the answer of a call that a previous owner has dispatched.

        The outcome is recorded as unknown when the answer isn't handed over within
        ``HANDED_OVER_ANSWER_TIMEOUT_SECONDS``.
        """
        try:
            async with asyncio.timeout(HANDED_OVER_ANSWER_TIMEOUT_SECONDS):
                return await _wait_for_answer(entry)
        except TimeoutError:
            unknown = RecordedAnswer(Outcome.UNKNOWN, reason="the old owner is silent")
            self._owner.ledger.finish(entry, unknown)
            return entry.answer

    def _holder_hint(self, request: DispatchOnce) -> str:
        slot = slot_of(request.service, request.key)
        promise = self._owner.slot_states[slot].grantor.promise()
        return promise.holder.vm if promise else ""

    def _start(
        self, entry: LedgerEntry, request: DispatchOnce, document: ServiceDocument
    ) -> None:
        task = asyncio.create_task(self._run(entry, request, document))
        self.run_by_key[entry.key] = task
        task.add_done_callback(lambda _: self.run_by_key.pop(entry.key, None))

    async def _run(
        self, entry: LedgerEntry, request: DispatchOnce, document: ServiceDocument
    ) -> RecordedAnswer:
        answer = RecordedAnswer(Outcome.UNKNOWN, reason="internal error")
        try:
            answer = await self._try_endpoints(entry, request, document)
        finally:
            self._owner.ledger.finish(entry, answer)
        log_event(
            Event.KEYED_ENDED,
            request=request.request_id,
            key=entry.key.key,
            slot=entry.slot,
            outcome=answer.outcome.value,
            status=answer.status,
            reason=answer.reason,
        )
        return answer

    async def _try_endpoints(
        self, entry: LedgerEntry, request: DispatchOnce, document: ServiceDocument
    ) -> RecordedAnswer:
        give_up_at = self._owner.clock.monotonic() + CONNECT_RETRY_LIMIT_SECONDS
        while True:
            for endpoint in self._candidates(document, request):
                answer = await self._endpoints.call(entry, request, document, endpoint)
                if answer is not None:
                    return answer
            timed_out = self._owner.clock.monotonic() >= give_up_at
            if timed_out or not self._owner.may_dispatch(entry):
                return RecordedAnswer(Outcome.NOT_RUN, reason=NO_ENDPOINT_REASON)
            await asyncio.sleep(CONNECT_RETRY_INTERVAL_SECONDS)

    def _candidates(
        self, document: ServiceDocument, request: DispatchOnce
    ) -> list[Endpoint]:
        """Return the plain endpoints, with those of this failure domain first."""
        view = self._state.view
        newest = view.document_by_service.get(request.service, document)
        by_name = {
            e.name: e
            for e in view.live_endpoints(newest)
            if e.kind is EndpointKind.PLAIN
        }
        vm = view.vm_by_name.get(self._vm)
        domain = vm.failure_domain if vm else ""
        ranked = [by_name[name] for name in rendezvous_rank(request.key, by_name)]
        return sorted(ranked, key=lambda e: e.failure_domain != domain)

    async def _send(
        self, stream: Stream, answer: RecordedAnswer, replayed: bool
    ) -> None:
        await stream.send(
            OnceAnswer(
                answer.outcome.value,
                answer.status,
                answer.headers,
                answer.body_kept,
                answer.reason,
                replayed,
            )
        )
        for start in range(0, len(answer.body), BODY_CHUNK_BYTES):
            await stream.send(Data(answer.body[start : start + BODY_CHUNK_BYTES]))


async def _wait_for_answer(entry: LedgerEntry) -> RecordedAnswer:
    """Return the answer of ``entry`` once this process or a handover records it."""
    done = asyncio.Event()

    def wake(_: LedgerEntry) -> None:
        done.set()

    if entry.answer is None:
        entry.waiters.append(wake)
        try:
            await done.wait()
        finally:
            with contextlib.suppress(ValueError):
                entry.waiters.remove(wake)
    return entry.answer
