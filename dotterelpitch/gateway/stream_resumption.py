"""Finds which engines may go on with a stream that a caller takes up again."""

from attrs import define, frozen

from dotterelpitch.gateway.cached_prompt_finder import CachedPromptFinder
from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.state import GatewayState
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

    A stream of unknown origin goes on if its service is known to have had one version
    only, for as long as origins are known, and this VM has missed nothing of late;
    otherwise at the version whose engines have its prompt in their caches, if there is
    just one.
    """

    _state: GatewayState
    _origins: StreamOrigins
    _prompt_finder: CachedPromptFinder

    async def resolve(self, call: Call) -> Resumption:
        """Return how a call may be served; any engine may serve a new stream."""
        if call.route.kind is not CallKind.STREAM or not call.headers.last_event_id:
            return Resumption(call.service)
        origin = self._origins.find(call.account_name, call.headers.resumes)
        if origin is None:
            return await self._resolve_unknown(call)
        if origin.service not in {s.service for s in call.route.services}:
            return Resumption(call.service, refusal_reason=OTHER_SERVICE_REASON)
        return Resumption(origin.service, origin.version)

    def record(self, call: Call, version: str) -> None:
        """Record which version has sent the first event of a call's stream.

        One that goes on with a stream is recorded too: its caller may name either
        attempt.
        """
        if call.route.is_resumable:
            origin = StreamOrigin(call.service, version)
            self._origins.record(call.account_name, call.request_id, origin)

    async def _resolve_unknown(self, call: Call) -> Resumption:
        versions = self._known_versions(call.service)
        if versions is None or len(versions) > 1:
            versions = await self._prompt_finder.find_versions(call)
            if len(versions) != 1:
                return Resumption(call.service, refusal_reason=UNKNOWN_ORIGIN_REASON)
            self._record_found(call, *versions)
        return Resumption(call.service, *versions)

    def _known_versions(self, service: str) -> set[str] | None:
        """Return the versions that may have begun a stream, or None if not known."""
        if self._state.continuity.has_gap():
            return None
        directory = self._state.directory
        if not directory.version_history.reaches_back(RETENTION_SECONDS):
            return None
        return directory.recent_versions(service, RETENTION_SECONDS)

    def _record_found(self, call: Call, version: str) -> None:
        """Record a stream's origin for its next attempts, also at other VMs."""
        if call.headers.resumes:
            origin = StreamOrigin(call.service, version)
            self._origins.record(call.account_name, call.headers.resumes, origin)
