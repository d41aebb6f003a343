"""The log lines of a call: the choice of an engine, its failure, and the outcome."""

from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.telemetry.events import Event, log_event

# A caller may send any text as the id of an earlier attempt.
MAX_LOGGED_CHARS = 64


def log_choice(
    call: Call, choice: EngineChoice, progress: CallProgress, engines_age_s: float
) -> None:
    """Log which engine an attempt goes to, and why.

    ``engines_age_s`` is how old the list of engines is, in seconds.
    """
    source = choice.cache_source
    log_event(
        Event.ATTEMPT_STARTED,
        request=call.request_id,
        route=call.route.name,
        account=call.account_name,
        engine=choice.engine.id,
        started_ms=choice.engine.started_ms,
        version=choice.engine.version,
        resumes=call.headers.resumes[:MAX_LOGGED_CHARS],
        last_event=progress.events.last_id,
        fingerprint=call.fingerprint,
        parts=call.prompt_parts,
        reason=choice.reason,
        load=choice.load,
        mean_load=round(choice.mean_load, 1),
        cache_source=source.id if source else "",
        attempt=progress.sent_count + progress.unsent_count + 1,
        config=call.config.version,
        engines_age_s=round(engines_age_s, 2),
    )


def log_failure(
    call: Call, engine_id: str, progress: CallProgress, is_started: bool
) -> None:
    """Log that the last attempt got no usable response.

    ``is_started`` is whether the caller has a part of the response.
    """
    result = progress.last_result
    log_event(
        Event.ATTEMPT_FAILED,
        request=call.request_id,
        engine=engine_id,
        end=result.outcome,
        reason=result.reason,
        started=is_started,
        last_event=progress.events.last_id,
    )


def log_end(
    call: Call,
    writer: ResponseWriter,
    outcome: str,
    result: AttemptResult,
    now: float,
    engine_id: str = "",
    no_retry_reason: str = "",
) -> None:
    """Log the outcome at ``now``; ``first_s`` is the time to the first byte.

    ``no_retry_reason`` is why no attempt followed a failed one. Times are in seconds.
    """
    first_s = writer.started_at - call.started if writer.is_started else None
    log_event(
        Event.REQUEST_ENDED,
        request=call.request_id,
        route=call.route.name,
        outcome=outcome,
        status=result.status,
        engine=engine_id,
        reason=result.reason,
        no_retry=no_retry_reason,
        connect_s=_rounded(result.connect_s),
        first_s=_rounded(first_s),
        longest_pause_s=_rounded(result.longest_pause_s),
        seconds=_rounded(now - call.started),
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
