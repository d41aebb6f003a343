"""Records what engines say of themselves with their responses."""

from attrs import define

from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.platform.headers import ResponseClass
from dotterelpitch.routing.cold_engines import ColdEngines
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry

# The responses in which an engine speaks of itself. Others come from another engine at
# its address, or weren't proved to come from an engine.
_OWN_CLASSES = {ResponseClass.ANSWERED, ResponseClass.NOT_RUN, ResponseClass.FAILED}


@define
class EngineStatusRecorder:
    """Passes each part of an engine's status on to what decides by it."""

    _state: GatewayState
    _rate_limits: RateLimitRegistry
    _pauses: EnginePauses
    _cold_engines: ColdEngines

    def record(
        self, engine: Engine, response_class: ResponseClass, status: EngineStatus
    ) -> None:
        """Record what an engine has said with a response of this class."""
        if response_class not in _OWN_CLASSES:
            return
        self._record_rate_limit(engine, response_class, status.rate_limit)
        if status.is_leaving:
            self._state.record_leaving(engine.run)
        self._cold_engines.record_left(engine, status.cold_left_s)
        if status.pause_s is not None:
            self._pauses.record(engine, status.pause_s)

    def record_check(self, engine: Engine, status: EngineStatus) -> None:
        """Record what an engine has said when asked for a sign of life.

        Nothing has run, so the absence of a limit says nothing.
        """
        self.record(engine, ResponseClass.NOT_RUN, status)

    def _record_rate_limit(
        self, engine: Engine, response_class: ResponseClass, limit: float | None
    ) -> None:
        """Record a limit; only a proper answer without one shows that it has ended."""
        if limit is not None or response_class is ResponseClass.ANSWERED:
            self._rate_limits.record_response(engine, limit)
