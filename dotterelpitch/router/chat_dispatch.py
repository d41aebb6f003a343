"""Finds an engine for one chat: asks the owners in turn, within a budget."""

import asyncio

from attrs import define, field, frozen

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.errors import PeerError, PeerUnreachableError
from dotterelpitch.protocol.messages import (
    Admitted,
    DispatchChat,
    DispatchFailed,
    Full,
    Refused,
    ResponseHead,
)
from dotterelpitch.protocol.move_messages import ChatAt, ChatMoved
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

BUDGET_SPENT = "the retry budget is spent"


@frozen
class Running:
    """A chat that an engine answers: its stream, the engine, and the head."""

    stream: Stream
    engine: Endpoint
    head: ResponseHead


@define
class Attempts:
    """What was tried for one request and why it was passed over.

    ``first_event`` is the number of the first stream event that is needed.
    ``pointed_to`` is the engine that has the chat's prefix, as its first
    choice said. ``said_no`` tells that an engine answered with a failure of its own.
    ``reached`` counts the attempts that may have reached an engine, ``paid``
    those that the retry budget has paid to repeat, and
    ``retry_after`` is the shortest time that an owner asked for, in seconds.
    """

    decision: Decision
    first_event: int = 0
    pointed_to: str = ""
    passed_over: list[str] = field(factory=list)
    may_have_run: bool = False
    said_no: bool = False
    reached: int = 0
    paid: int = 0
    retry_after: float = 0.0

    @property
    def outcome(self) -> Outcome:
        """The outcome when no engine has answered the request."""
        if self.may_have_run:
            return Outcome.UNKNOWN
        return Outcome.FAILED if self.said_no else Outcome.NOT_RUN

    def note(self, engine: str, owner: str, answer: str, reason: str, **values) -> None:
        """Remember one answer."""
        self.passed_over.append(f"{engine}: {reason or answer}")
        self.decision.alternatives.append(
            Alternative(engine, owner, answer, reason, **values)
        )


class ChatDispatch:
    """Dispatches chats for the entry side of one router."""

    def __init__(
        self, state: FleetState, hub: RoutingHub, exchanges: RouterClient
    ) -> None:
        self._state = state
        self._hub = hub
        self._exchanges = exchanges

    def new_decision(self, call: ChatCall, weight: CallWeight) -> Decision:
        """Return the record of a decision with its inputs, kept for `explain`."""
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
        self, call: ChatCall, attempts: Attempts, first: str = ""
    ) -> Running | None:
        """Return the chat as it runs at an engine, or None when none takes it.

        ``first`` names an engine to ask before the others.
        """
        service = self._hub.service(call.document.service)
        walk = AdmissionSequence(
            self._candidates(call, service, attempts.decision, first), call.request_id
        )
        while (step := walk.next()) is not None:
            if not self._may_try(service, attempts):
                break
            engine = service.engine(step.engine)
            if engine is None:
                continue
            running = await self._ask(call, service, engine, step, walk, attempts)
            if running is not None:
                attempts.decision.chosen = engine.name
                self._tell_home(call, service, attempts)
                return running
        attempts.retry_after = max(attempts.retry_after, walk.retry_after())
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

    def _may_try(self, service: ServiceRouting, attempts: Attempts) -> bool:
        """Whether one more attempt fits in the retry budget."""
        if attempts.paid == attempts.reached:
            return True
        if service.budget.try_spend():
            attempts.paid += 1
            return True
        request_id = attempts.decision.request_id
        log_event(Event.RETRY_BUDGET_SPENT, request=request_id)
        attempts.passed_over.append(BUDGET_SPENT)
        return False

    async def _ask(
        self,
        call: ChatCall,
        service: ServiceRouting,
        engine: Endpoint,
        step: AdmissionStep,
        walk: AdmissionSequence,
        attempts: Attempts,
    ) -> Running | None:
        unreachable = self._hub.unreachable.names()
        owner = service.owner_of(engine, unreachable)
        vm = self._state.view.vm_by_name.get(owner or "")
        if vm is None:
            attempts.note(engine.name, "", "no owner", "no VM owns it")
            return None
        message = self._message(call, service, engine, step, walk, attempts)
        try:
            stream = await self._exchanges.open(vm, message)
        except PeerUnreachableError as error:
            self._hub.unreachable.failed(vm.name)
            attempts.note(engine.name, vm.name, "unreachable", str(error))
            return None
        try:
            answer = await stream.receive()
            if isinstance(answer, Admitted):
                self._note_admitted(attempts, engine.name, vm.name, answer)
                answer = await stream.receive()
        except asyncio.CancelledError:
            stream.reset("caller gone")
            raise
        except PeerError as error:
            attempts.may_have_run = True
            attempts.reached += 1
            attempts.note(engine.name, vm.name, "lost", str(error))
            return None
        if isinstance(answer, ResponseHead):
            return Running(stream, engine, answer)
        self._note_refusal(answer, engine.name, vm.name, walk, attempts)
        return None

    def _message(
        self,
        call: ChatCall,
        service: ServiceRouting,
        engine: Endpoint,
        step: AdmissionStep,
        walk: AdmissionSequence,
        attempts: Attempts,
    ) -> DispatchChat:
        weight = service.weigh(call)
        decision = attempts.decision
        least = AdmissionMode.BOUNDED if decision.fell_back else AdmissionMode.SELECTIVE
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
            mode=max(step.mode, least),
            alone=verdict is CrashVerdict.ALONE,
            list_revision=service.vm_list.revision,
            unreachable=sorted(self._hub.unreachable.names()),
            observed=list(walk.observed),
            body=call.body,
        )

    def _may_follow(self, service: ServiceRouting, engine: str) -> bool:
        usable = service.engine(engine) is not None
        return usable and service.shares().get(engine, 1.0) > 0.0

    def _tell_home(
        self, call: ChatCall, service: ServiceRouting, attempts: Attempts
    ) -> None:
        """Tell the owner of the chat's first choice where the chat runs now."""
        decision = attempts.decision
        home = decision.order[0]
        known = attempts.pointed_to or home
        if decision.chosen == known or call.resume:
            return
        engine = service.engine(home)
        owner = engine and service.owner_of(engine, self._hub.unreachable.names())
        vm = self._state.view.vm_by_name.get(owner or "")
        if vm is not None:
            note = ChatMoved(service.document.service, call.chat, home, decision.chosen)
            self._exchanges.tell(vm, note)

    def _note_admitted(
        self, attempts: Attempts, engine: str, owner: str, answer: Admitted
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

    def _note_refusal(
        self,
        answer: Full | Refused | ChatAt | DispatchFailed,
        engine: str,
        owner: str,
        walk: AdmissionSequence,
        attempts: Attempts,
    ) -> None:
        if isinstance(answer, Full):
            load = answer.engine_load
            walk.record_at_bound(AtBound("", load, answer.bound, answer.expected_wait))
            attempts.note(
                engine,
                owner,
                "full",
                f"full ({load.load:.0f} of {answer.bound:.0f} tokens)",
                load=load.load,
                bound=answer.bound,
                expected_wait=answer.expected_wait,
            )
        elif isinstance(answer, Refused):
            walk.record_refusal(engine)
            attempts.retry_after = max(attempts.retry_after, answer.retry_after)
            attempts.note(engine, owner, "refused", answer.reason)
        elif isinstance(answer, ChatAt):
            attempts.pointed_to = answer.engine
            service = self._hub.service(attempts.decision.service)
            if self._may_follow(service, answer.engine):
                walk.redirect_to(answer.engine)
            attempts.note(engine, owner, "pointed", f"{answer.engine} has the prefix")
        elif isinstance(answer, DispatchFailed):
            attempts.may_have_run |= answer.delivered and not answer.answered
            attempts.said_no |= answer.answered
            attempts.reached += 1
            walk.record_refusal(engine)
            attempts.note(engine, owner, "failed", answer.reason)
