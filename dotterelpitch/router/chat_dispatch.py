"""Dispatches chats: tries the owners of candidate engines within the retry budget."""

import asyncio

from attrs import define, field, frozen

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.errors import PeerError, PeerUnreachableError
from dotterelpitch.protocol.chat_move_messages import ChatAt, ChatMoved
from dotterelpitch.protocol.messages import (
    Admitted,
    DispatchChat,
    DispatchFailed,
    Full,
    Refused,
    ResponseHead,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.chat_call import ChatCall
from dotterelpitch.router.problems import Outcome
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.service_routing import CallWeight, ServiceRouting
from dotterelpitch.router.state import FleetState
from dotterelpitch.routing.admission_request import AdmissionMode, AtBound
from dotterelpitch.routing.admission_sequence import AdmissionSequence, AdmissionStep
from dotterelpitch.routing.candidates import Candidates
from dotterelpitch.routing.crash_suspects import CrashVerdict
from dotterelpitch.routing.decisions import Alternative, Decision
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.telemetry.metrics import get_metrics

BUDGET_SPENT_REASON = "the retry budget is spent"


@frozen
class RunningChat:
    """A chat to which an engine has begun to respond.

    ``stream`` comes from the engine's owner and carries the body that follows
    ``head``.
    """

    stream: Stream
    engine: Endpoint
    head: ResponseHead


@define
class ChatAttempts:
    """The attempts made for one request, and why each engine was passed over.

    ``first_event`` is the number of the first stream event that the caller still
    needs. ``prefix_engine`` is the engine that caches the chat's prefix according
    to the owner of its home engine, and empty when that owner named none.
    ``passed_over`` has one text for each failed attempt, and one when the retry
    budget is spent. ``may_have_run`` is set when an engine may have run the request
    without a complete response, and ``engine_failed`` when an engine responded with
    an error.

    ``delivered_count`` counts the attempts that may have reached an engine, and
    ``budgeted_retries`` the repeats of such attempts that the retry budget has
    allowed. ``retry_after`` is in seconds: the longest delay that a refusal asked
    for, or the shortest expected wait at a full engine if that is longer.
    """

    decision: Decision
    first_event: int = 0
    prefix_engine: str = ""
    passed_over: list[str] = field(factory=list)
    may_have_run: bool = False
    engine_failed: bool = False
    delivered_count: int = 0
    budgeted_retries: int = 0
    retry_after: float = 0.0

    @property
    def outcome(self) -> Outcome:
        """The outcome to report when no engine has completed the request."""
        if self.may_have_run:
            return Outcome.UNKNOWN
        return Outcome.FAILED if self.engine_failed else Outcome.NOT_RUN

    def record(
        self, engine: str, owner: str, answer: str, reason: str, **values
    ) -> None:
        """Record a failed attempt here and in the decision."""
        self.passed_over.append(f"{engine}: {reason or answer}")
        self.decision.alternatives.append(
            Alternative(engine, owner, answer, reason, **values)
        )


class ChatDispatcher:
    """Finds an engine for each chat that callers send to this router."""

    def __init__(
        self, state: FleetState, hub: RoutingHub, router_client: RouterClient
    ) -> None:
        self._state = state
        self._hub = hub
        self._router_client = router_client

    def new_decision(self, call: ChatCall, weight: CallWeight) -> Decision:
        """Return a new decision record with its inputs.

        The record is stored for ``dotterelpitch explain``.
        """
        service = self._hub.service(call.document.service)
        decision = Decision(
            request_id=call.request_id,
            service=call.document.service,
            account=call.account.name,
            chat=call.chat,
            at=self._hub.clock.wall(),
            weight=weight.cold,
            deadline=call.deadline,
            priority=call.account.priority,
            document_revision=call.document.revision,
            list_revision=service.vm_list.revision,
            cold_ratio=weight.cold_ratio,
            account_share=service.limits.share(call.account.name),
            verdict=self._hub.suspects.verdict(call.fingerprint).value,
        )
        self._hub.decisions.add(decision)
        return decision

    async def start(
        self, call: ChatCall, attempts: ChatAttempts, first: str = ""
    ) -> RunningChat | None:
        """Return the chat once an engine responds, or None when no engine does.

        ``first`` names an engine to try before the others.
        """
        service = self._hub.service(call.document.service)
        sequence = AdmissionSequence(
            self._candidates(call, service, attempts.decision, first), call.request_id
        )
        while (step := sequence.next()) is not None:
            if not self._may_attempt(service, attempts):
                break
            engine = service.engine(step.engine)
            if engine is None:
                continue
            running = await self._try_engine(
                call, service, engine, step, sequence, attempts
            )
            if running is not None:
                attempts.decision.chosen = engine.name
                self._notify_home_owner(call, service, attempts)
                return running
        attempts.retry_after = max(attempts.retry_after, sequence.retry_after())
        return None

    def _candidates(
        self, call: ChatCall, service: ServiceRouting, decision: Decision, first: str
    ) -> Candidates:
        shares = service.shares()
        suspects = {engine for engine, share in shares.items() if share <= 0.0}
        ramping = {e: share for e, share in shares.items() if share > 0.0}
        found = service.table_for(call.model).order(
            call.chat, suspects=suspects, share_by_engine=ramping
        )
        names = found.names
        if first and service.engine(first) is not None:
            names = [first, *(name for name in names if name != first)]
        if found.fell_back:
            log_event(Event.ALL_ENGINES_SUSPECT, service=call.document.service)
        decision.order = names
        decision.suspects = sorted(suspects)
        decision.fell_back = found.fell_back
        return Candidates(names, found.fell_back)

    def _may_attempt(self, service: ServiceRouting, attempts: ChatAttempts) -> bool:
        """Return whether the retry budget allows one more attempt.

        Repeating an attempt that can't have reached an engine costs no budget.
        """
        if attempts.budgeted_retries == attempts.delivered_count:
            return True
        if service.budget.try_spend():
            attempts.budgeted_retries += 1
            return True
        request_id = attempts.decision.request_id
        log_event(Event.RETRY_BUDGET_SPENT, request=request_id)
        attempts.passed_over.append(BUDGET_SPENT_REASON)
        return False

    async def _try_engine(
        self,
        call: ChatCall,
        service: ServiceRouting,
        engine: Endpoint,
        step: AdmissionStep,
        sequence: AdmissionSequence,
        attempts: ChatAttempts,
    ) -> RunningChat | None:
        unreachable = self._hub.unreachable.names()
        owner = service.owner_of(engine, unreachable)
        vm = self._state.view.vm_by_name.get(owner or "")
        if vm is None:
            attempts.record(engine.name, "", "no owner", "no VM owns it")
            return None
        message = self._dispatch_message(
            call, service, engine, step, sequence, attempts
        )
        try:
            stream = await self._router_client.open_stream(vm, message)
        except PeerUnreachableError as error:
            self._hub.unreachable.record_failure(vm.name)
            attempts.record(engine.name, vm.name, "unreachable", str(error))
            return None
        try:
            answer = await stream.receive()
            if isinstance(answer, Admitted):
                self._record_admission(attempts, engine.name, vm.name, answer)
                answer = await stream.receive()
        except asyncio.CancelledError:
            stream.reset("caller gone")
            raise
        except PeerError as error:
            attempts.may_have_run = True
            attempts.delivered_count += 1
            attempts.record(engine.name, vm.name, "lost", str(error))
            return None
        if isinstance(answer, ResponseHead):
            return RunningChat(stream, engine, answer)
        self._record_refusal(answer, engine.name, vm.name, sequence, attempts)
        return None

    def _dispatch_message(
        self,
        call: ChatCall,
        service: ServiceRouting,
        engine: Endpoint,
        step: AdmissionStep,
        sequence: AdmissionSequence,
        attempts: ChatAttempts,
    ) -> DispatchChat:
        weight = service.estimate_weight(call)
        decision = attempts.decision
        minimum = (
            AdmissionMode.BOUNDED if decision.fell_back else AdmissionMode.SELECTIVE
        )
        verdict = self._hub.suspects.verdict(call.fingerprint)
        return DispatchChat(
            request_id=call.request_id,
            service=call.document.service,
            engine=engine.name,
            account=call.account.name,
            priority=call.account.priority,
            deadline=call.deadline,
            weight=weight.warm if step.warm else weight.cold,
            chat=call.chat,
            fingerprint=call.fingerprint,
            first_event=attempts.first_event,
            cold_ratio=weight.cold_ratio if step.warm else 1.0,
            home=step.home,
            mode=max(step.mode, minimum),
            alone=verdict is CrashVerdict.ALONE,
            list_revision=service.vm_list.revision,
            unreachable=sorted(self._hub.unreachable.names()),
            observed=list(sequence.observed),
            body=call.body,
        )

    def _is_usable(self, service: ServiceRouting, engine: str) -> bool:
        usable = service.engine(engine) is not None
        return usable and service.shares().get(engine, 1.0) > 0.0

    def _notify_home_owner(
        self, call: ChatCall, service: ServiceRouting, attempts: ChatAttempts
    ) -> None:
        """Notify the owner of the chat's home engine which engine serves the chat now.

        Nothing is sent when that owner has the same engine on record, or when the
        call resumes a stream.
        """
        decision = attempts.decision
        home = decision.order[0]
        recorded = attempts.prefix_engine or home
        if decision.chosen == recorded or call.resume:
            return
        engine = service.engine(home)
        owner = engine and service.owner_of(engine, self._hub.unreachable.names())
        vm = self._state.view.vm_by_name.get(owner or "")
        if vm is not None:
            message = ChatMoved(
                service.document.service, call.chat, home, decision.chosen
            )
            self._router_client.notify(vm, message)

    def _record_admission(
        self, attempts: ChatAttempts, engine: str, owner: str, answer: Admitted
    ) -> None:
        get_metrics().request_queued(attempts.decision.service, answer.queued_seconds)
        attempts.decision.alternatives.append(
            Alternative(
                engine,
                owner,
                "admitted",
                load=answer.load,
                bound=answer.bound,
                expected_wait=answer.queued_seconds,
            )
        )

    def _record_refusal(
        self,
        answer: Full | Refused | ChatAt | DispatchFailed,
        engine: str,
        owner: str,
        sequence: AdmissionSequence,
        attempts: ChatAttempts,
    ) -> None:
        if isinstance(answer, Full):
            load = answer.engine_load
            sequence.record_at_bound(
                AtBound("", load, answer.bound, answer.expected_wait)
            )
            attempts.record(
                engine,
                owner,
                "full",
                f"full ({load.load:.0f} of {answer.bound:.0f} tokens)",
                load=load.load,
                bound=answer.bound,
                expected_wait=answer.expected_wait,
            )
        elif isinstance(answer, Refused):
            sequence.record_refusal(engine)
            attempts.retry_after = max(attempts.retry_after, answer.retry_after)
            attempts.record(engine, owner, "refused", answer.reason)
        elif isinstance(answer, ChatAt):
            attempts.prefix_engine = answer.engine
            service = self._hub.service(attempts.decision.service)
            if self._is_usable(service, answer.engine):
                sequence.redirect_to(answer.engine)
            attempts.record(engine, owner, "pointed", f"{answer.engine} has the prefix")
        elif isinstance(answer, DispatchFailed):
            attempts.may_have_run |= answer.delivered and not answer.answered
            attempts.engine_failed |= answer.answered
            attempts.delivered_count += 1
            sequence.record_refusal(engine)
            attempts.record(engine, owner, "failed", answer.reason)
