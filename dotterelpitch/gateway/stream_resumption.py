"""Finds which engines may go on with a stream that a caller takes up again."""

from attrs import define, frozen

from dotterelpitch.gateway.call import Call
from dotterelpitch.routing.engines import EngineDirectory
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.routing.stream_origins import (
    RETENTION_SECONDS,
    StreamOrigin,
    StreamOrigins,
)

UNKNOWN_ORIGIN_REASON = "it isn't known which engine version began the stream"
OTHER_SERVICE_REASON = "the service that began the stream isn't on this route"
NO_ENGINE_OF_VERSION_REASON = "no engine of the version that began the stream is free"


@frozen
class Resumption:
    """How a call may be served.

    ``service`` is the one to use, and ``version`` the only engine version that may, or
    None for any. ``refusal_reason`` is empty unless none may.
    """

    service: str
    version: str | None = None
    refusal_reason: str = ""


@define
class StreamResumption:
    """Resolves calls that take a stream up again.

    A stream of unknown origin goes on while its service has had one version only, for
    as long as origins are known.
    """

    _directory: EngineDirectory
    _origins: StreamOrigins

    def resolve(self, call: Call) -> Resumption:
        """Return how a call may be served; any engine may serve a new stream."""
        if call.route.kind is not CallKind.STREAM or not call.headers.last_event_id:
            return Resumption(call.service)
        origin = self._origins.find(call.account_name, call.headers.resumes)
        if origin is None:
            return self._resolve_unknown(call.service)
        if origin.service not in {s.service for s in call.route.services}:
            return Resumption(call.service, refusal_reason=OTHER_SERVICE_REASON)
        return Resumption(origin.service, origin.version)

    def record(self, call: Call, version: str) -> None:
        """Record which version has sent the first event of a call's stream."""
        if call.route.is_resumable and not call.headers.last_event_id:
            self._origins.record(
                call.account_name, call.request_id, StreamOrigin(call.service, version)
            )

    def _resolve_unknown(self, service: str) -> Resumption:
        versions = self._directory.recent_versions(service, RETENTION_SECONDS)
        if len(versions) > 1:
            return Resumption(service, refusal_reason=UNKNOWN_ORIGIN_REASON)
        return Resumption(service, *versions)
