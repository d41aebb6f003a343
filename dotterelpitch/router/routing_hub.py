"""Holds the routing state of all services and exchanges digests with other routers."""

import asyncio

from dotterelpitch.clock import Clock
from dotterelpitch.errors import ProtocolError
from dotterelpitch.protocol.digest_messages import (
    CrashDigest,
    DigestPush,
    EngineShare,
    HealthDigest,
    LoadDigest,
    ServiceHealth,
    ServiceLoad,
    ServiceUsage,
    UsageDigest,
)
from dotterelpitch.protocol.explain_messages import ExplainRequest, Explanation
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.digest_publisher import DigestPublisher
from dotterelpitch.router.service_routing import ServiceRouting
from dotterelpitch.router.state import FleetState, FleetView
from dotterelpitch.router.unreachable_vms import UnreachableVms
from dotterelpitch.router.waiting_requests import WaitingRequests
from dotterelpitch.routing.crash_suspects import CrashSuspects
from dotterelpitch.routing.decisions import DecisionHistory
from dotterelpitch.routing.digests import Topic, decode_digest, encode_digest
from dotterelpitch.routing.stalling import SharedCapacity
from dotterelpitch.telemetry.events import Event, log_event

ADVANCE_INTERVAL_SECONDS = 0.2
PUBLISH_INTERVAL_SECONDS = 1.0
# An unchanged digest is skipped this many times, then sent again.
MAX_SKIPPED_REPEATS = 5
MAX_CRASHES_PER_DIGEST = 12
MAX_USAGES_PER_DIGEST = 40


class RoutingHub:
    """The routing state of one router.

    It holds the routing of each service, the crash suspects, the recent decisions,
    the unreachable VMs, and the requests that wait in queues. It follows the fleet
    view of ``state`` and the digests of the other routers.
    """

    def __init__(self, vm: str, clock: Clock, state: FleetState) -> None:
        self.suspects = CrashSuspects(clock)
        self.decisions = DecisionHistory()
        self.unreachable = UnreachableVms(clock)
        self.waiting = WaitingRequests()
        self.clock = clock
        self.vm = vm
        self._policy = SharedCapacity()
        self._service_by_name: dict[str, ServiceRouting] = {}
        self._sent_by_topic: dict[Topic, tuple[bytes, int]] = {}
        self._handler_by_topic = {
            Topic.LOAD: self._apply_load,
            Topic.USAGE: self._apply_usage,
            Topic.HEALTH: self._apply_health,
            Topic.CRASH: self._apply_crashes,
        }
        state.views.subscribe(self._apply_view)

    def service(self, name: str) -> ServiceRouting:
        """Return the routing of one service, created on first use."""
        if name not in self._service_by_name:
            self._service_by_name[name] = ServiceRouting(
                self.vm, self.clock, self._policy
            )
        return self._service_by_name[name]

    def services(self) -> dict[str, ServiceRouting]:
        """Return the routing of each service by name."""
        return self._service_by_name

    async def run(self, publisher: DigestPublisher) -> None:
        """Advance the queues and publish digests until cancelled."""
        iteration = 0
        while True:
            for service in self._service_by_name.values():
                for controller in service.controller_by_engine.values():
                    self.waiting.resolve(controller.advance())
            if (
                iteration % round(PUBLISH_INTERVAL_SECONDS / ADVANCE_INTERVAL_SECONDS)
                == 0
            ):
                self._publish(publisher)
            iteration += 1
            await asyncio.sleep(ADVANCE_INTERVAL_SECONDS)

    async def handle_push(self, stream: Stream, push: DigestPush) -> None:
        """Apply a DigestPush; the end of the stream acknowledges it."""
        self.receive(push.topic, push.payload)

    async def handle_explain(self, stream: Stream, request: ExplainRequest) -> None:
        """Send the recorded decisions on a request."""
        found = self.decisions.get(request.request_id)
        await stream.send(Explanation([found] if found else []))

    def receive(self, topic: str, payload: bytes) -> None:
        """Apply a digest from another router; log and ignore an invalid one."""
        try:
            digest = decode_digest(topic, payload)
        except ProtocolError as error:
            log_event(Event.DIGEST_REFUSED, topic=topic, reason=str(error))
            return
        if digest.vm != self.vm:
            self._handler_by_topic[Topic(topic)](digest)

    def crash_payload(self) -> bytes:
        """Return the encoded digest of crash suspects, newest first.

        It has at most ``MAX_CRASHES_PER_DIGEST`` crashes and clearances each.
        """
        crashes, cleared = self.suspects.digest()
        crashes.sort(key=lambda crash: -crash.at)
        cleared.sort(key=lambda clearance: -clearance.at)
        digest = CrashDigest(
            self.vm,
            crashes[:MAX_CRASHES_PER_DIGEST],
            cleared[:MAX_CRASHES_PER_DIGEST],
        )
        return encode_digest(digest)

    def _apply_view(self, view: FleetView) -> None:
        self.unreachable.set_suspected(view.suspected)
        for name, document in view.document_by_service.items():
            for changes in self.service(name).apply(document, view.effective_vm_list):
                self.waiting.resolve(changes)

    def _publish(self, publisher: DigestPublisher) -> None:
        payload_by_topic = {
            Topic.LOAD: encode_digest(self._load_digest()),
            Topic.USAGE: encode_digest(self._usage_digest()),
            Topic.HEALTH: encode_digest(self._health_digest()),
            Topic.CRASH: self.crash_payload(),
        }
        for topic, payload in payload_by_topic.items():
            sent, repeats = self._sent_by_topic.get(topic, (b"", 0))
            if payload == sent and repeats < MAX_SKIPPED_REPEATS:
                self._sent_by_topic[topic] = (sent, repeats + 1)
                continue
            self._sent_by_topic[topic] = (payload, 0)
            publisher.publish(topic, payload)

    def _load_digest(self) -> LoadDigest:
        loads = {n: s.own_loads() for n, s in self._service_by_name.items()}
        revision = max(
            (s.vm_list.revision for s in self._service_by_name.values()), default=0
        )
        services = [ServiceLoad(name, found) for name, found in loads.items() if found]
        return LoadDigest(self.vm, revision, services)

    def _usage_digest(self) -> UsageDigest:
        services = []
        for name, service in self._service_by_name.items():
            usages = sorted(
                service.limits.report(), key=lambda usage: -usage.requests_per_second
            )
            if usages:
                services.append(ServiceUsage(name, usages[:MAX_USAGES_PER_DIGEST]))
        return UsageDigest(self.vm, services)

    def _health_digest(self) -> HealthDigest:
        services = []
        for name, service in self._service_by_name.items():
            shares = service.own_shares().items()
            rounded = [EngineShare(e, round(share, 2)) for e, share in sorted(shares)]
            if rounded:
                services.append(ServiceHealth(name, rounded))
        return HealthDigest(self.vm, services)

    def _apply_load(self, digest: LoadDigest) -> None:
        for part in digest.services:
            service = self.service(part.service)
            stepped_down = service.apply_remote_load(
                digest.vm, digest.list_revision, part.engines
            )
            for engine, changes in stepped_down:
                log_event(Event.OWNER_STEPPED_DOWN, engine=engine, owner=digest.vm)
                self.waiting.resolve(changes)

    def _apply_usage(self, digest: UsageDigest) -> None:
        for part in digest.services:
            self.service(part.service).limits.receive_report(digest.vm, part.usages)

    def _apply_health(self, digest: HealthDigest) -> None:
        by_service = {part.service: part.shares for part in digest.services}
        for name, service in self._service_by_name.items():
            service.apply_remote_health(digest.vm, by_service.get(name, []))

    def _apply_crashes(self, digest: CrashDigest) -> None:
        self.suspects.merge(digest.crashes, digest.cleared)
