"""Tells peers which engines have said that they leave."""

from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.gateway_messages import (
    LEAVING_ENGINES_LINK_VERSION,
    LeavingEngine,
    LeavingEngineDigest,
)
from dotterelpitch.routing.engines import EngineRun


class LeavingEngineExchange(PeerExchange[LeavingEngineDigest]):
    """Creates this gateway's digests of leaving engines and applies its peers'."""

    message_type = LeavingEngineDigest
    link_version = LEAVING_ENGINES_LINK_VERSION

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def make(self, link: Link) -> LeavingEngineDigest | None:
        """Return the engines that a peer hasn't been told of; None without any."""
        link.leaving_sent, runs = self._state.leaving_engines.updates_after(
            link.leaving_sent
        )
        if not runs:
            return None
        return LeavingEngineDigest(
            [LeavingEngine(run.engine_id, run.started_ms) for run in runs]
        )

    def apply(self, link: Link, message: LeavingEngineDigest) -> None:
        """Apply a peer's digest; what is known already changes nothing."""
        for engine in message.engines:
            run = EngineRun(engine.engine, engine.started_ms)
            self._state.record_leaving(run, link.peer.name)
