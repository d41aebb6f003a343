"""The catalogue of numbered events, and the function that logs them.

Every log line of the product is one event: a number, a name, a level, and
named values. ``docs/EVENTS.md`` describes each event; a test checks that both agree.
"""

import json
import logging
import sys
import traceback
from collections.abc import Callable
from enum import Enum
from typing import Any

from dotterelpitch.telemetry.line_writer import LineWriter

logger = logging.getLogger("dotterelpitch")

# Bounds the stack trace in a log line.
MAX_TRACE_FRAMES = 4


class Event(Enum):
    """All events, each with its number, level, and meaning.

    Numbers are grouped by topic: 1xx process and settings, 2xx documents and
    platform, 3xx membership, 4xx routing, 5xx requests, 6xx placement,
    7xx inner protocol.
    """

    PROCESS_STARTED = (101, logging.INFO, "a process is ready")
    PROCESS_STOPPING = (102, logging.INFO, "a planned stop has begun")
    PROCESS_STOPPED = (103, logging.INFO, "a process has ended after a planned stop")
    SETTINGS_RELOADED = (104, logging.INFO, "the settings file was reloaded")
    SETTINGS_KEPT = (105, logging.ERROR, "an invalid settings file was not applied")
    METRICS_UNSERVED = (107, logging.WARNING, "the metrics address can't be bound")
    LIBRARY_LOGGED = (108, logging.WARNING, "a library has logged a message")
    TASK_BROKE = (109, logging.ERROR, "a background task failed and restarts")
    LINES_DROPPED = (106, logging.WARNING, "log lines were dropped")
    DOCUMENT_IN_FORCE = (201, logging.INFO, "a document revision is in force")
    DOCUMENT_REFUSED = (202, logging.ERROR, "an invalid document was rejected")
    DOCUMENT_OLDER_IGNORED = (203, logging.WARNING, "an older revision was offered")
    PLATFORM_UNREACHABLE = (204, logging.WARNING, "the platform is unreachable")
    PLATFORM_REACHED = (205, logging.INFO, "the platform is reachable again")
    DOCUMENT_CONFLICT = (206, logging.ERROR, "one revision has two different contents")
    DOCUMENT_MISSING = (207, logging.WARNING, "the platform lacks a document")
    STARTUP_SETTLED = (208, logging.INFO, "a starting process has its peers' revisions")
    STARTUP_TIMED_OUT = (209, logging.WARNING, "the startup wait for peers timed out")
    READER_CHANGED = (210, logging.INFO, "this VM now watches the platform")
    CONFIG_IN_FORCE = (211, logging.INFO, "a config version is in force")
    CONFIG_REFUSED = (212, logging.ERROR, "an invalid config was rejected")
    CONFIG_OLDER_IGNORED = (213, logging.WARNING, "an older config was offered")
    ENGINE_LISTED = (214, logging.INFO, "an engine has registered or changed")
    ENGINE_MISSING = (215, logging.INFO, "an engine's registration has disappeared")
    ENGINE_ENTRY_REFUSED = (216, logging.WARNING, "an engine's registration is invalid")
    STORE_HISTORY_LOST = (217, logging.WARNING, "the store dropped unread changes")
    RECORDS_FROM_PEER = (218, logging.INFO, "a peer's newer records are in use")
    STORE_READER = (219, logging.INFO, "this VM starts or stops reading the store")
    FETCH_FAILED = (220, logging.WARNING, "fetching a peer's records failed")
    RECORDS_OLDER_IGNORED = (221, logging.INFO, "older records were ignored")
    STORE_RESTORED = (222, logging.WARNING, "the store is back from an older copy")
    EVACUATION_BEGAN = (223, logging.WARNING, "a failure domain gets no requests")
    EVACUATION_ENDED = (224, logging.INFO, "an evacuated failure domain is back")
    EVACUATION_REFUSED = (225, logging.WARNING, "an evacuation names no failure domain")
    CONFIG_FIELD_IGNORED = (226, logging.WARNING, "a field of the config is ignored")
    VM_LIST_CHANGED = (301, logging.INFO, "a VM list revision is in use")
    VM_LIST_OLDER_IGNORED = (302, logging.WARNING, "an older VM list was offered")
    VM_SUSPECTED = (303, logging.WARNING, "a listed VM is unreachable")
    VM_RECOVERED = (304, logging.INFO, "a suspected VM is reachable again")
    VM_LEAVING = (305, logging.INFO, "a VM has announced that it is leaving")
    LINK_DOWN = (306, logging.WARNING, "the link to a peer is down")
    LINK_UP = (307, logging.INFO, "the link to a peer is up")
    PROCESS_PAUSED = (308, logging.WARNING, "this process was paused for a while")
    GOSSIP_CAPPED = (309, logging.WARNING, "a digest exceeds the gossip limit")
    STOP_CUT = (310, logging.ERROR, "a stop interrupted a request or a connection")
    LINK_FAILED = (311, logging.WARNING, "a link to a peer failed")
    RELAY_CHOSEN = (312, logging.INFO, "the relay of this VM's load reports changed")
    ROUTE_CHOSEN = (401, logging.INFO, "an engine was chosen for a request")
    ROUTE_REFUSED = (402, logging.WARNING, "no engine could accept a request")
    STREAM_RESUMED = (403, logging.WARNING, "an interrupted stream was resumed")
    REQUEST_QUEUED = (404, logging.INFO, "a request waits for a busy engine")
    LIMIT_REACHED = (405, logging.WARNING, "a client account is at its limit")
    ENGINE_SUSPECTED = (406, logging.WARNING, "an engine temporarily gets no requests")
    ENGINE_RECOVERED = (407, logging.INFO, "a suspected engine responds again")
    ENGINE_DIED = (408, logging.ERROR, "an engine crashed with requests in flight")
    REQUEST_BANNED = (409, logging.ERROR, "a request that crashes engines was rejected")
    RETRY_BUDGET_SPENT = (410, logging.WARNING, "no budget is left for a retry")
    OWNER_STEPPED_DOWN = (411, logging.WARNING, "this VM no longer owns an engine")
    ALL_ENGINES_SUSPECT = (412, logging.ERROR, "all engines of a service are suspect")
    DIGEST_REFUSED = (413, logging.WARNING, "a peer's digest is invalid")
    ATTEMPT_STARTED = (414, logging.INFO, "an engine was chosen for an attempt")
    ATTEMPT_FAILED = (415, logging.WARNING, "an attempt got no usable response")
    CRASH_DISMISSED = (417, logging.INFO, "possible signs of a crash were dismissed")
    CRASHES_REPORTED = (418, logging.INFO, "a peer has reported engine crashes")
    ENGINE_CHECKED = (419, logging.INFO, "an engine was asked for a sign of life")
    PART_BANNED = (420, logging.ERROR, "a request was rejected for a prompt part")
    PART_TRIED = (421, logging.WARNING, "a request with a banned prompt part runs")
    RATE_LIMIT_CHANGED = (422, logging.INFO, "an engine names another rate limit")
    STREAM_ORIGIN_SOUGHT = (423, logging.INFO, "engines were asked who began a stream")
    CACHE_LIST_FAILED = (424, logging.WARNING, "an engine didn't list its cache")
    ENGINE_LEAVING = (425, logging.INFO, "an engine has said that it leaves")
    ENGINE_STAYS = (427, logging.INFO, "an engine in doubt doesn't say that it leaves")
    ENGINE_PAUSED = (426, logging.INFO, "an engine wants no requests for a while")
    ENGINES_UNREACHED = (428, logging.WARNING, "no engine seems to be reachable")
    ENGINES_REACHED = (429, logging.INFO, "engines are reachable again")
    CALL_FORWARDED = (430, logging.INFO, "a call was forwarded to a peer")
    CALL_DECLINED = (431, logging.INFO, "a call of a peer was declined")
    ENGINE_COLD = (432, logging.INFO, "an engine is cold and bears few requests")
    LIMIT_MOVED = (416, logging.INFO, "the limit on requests in flight has changed")
    REQUEST_ENDED = (501, logging.INFO, "a request has its final outcome")
    REQUEST_REFUSED = (503, logging.WARNING, "a request was rejected before it ran")
    CALLER_LEFT = (504, logging.INFO, "a caller left before its response was complete")
    BODY_UNREAD = (505, logging.INFO, "a connection ends in the body of a refused call")
    HEADS_DROPPED = (506, logging.INFO, "a connection ends, as its heads are too large")
    REQUEST_BROKE = (502, logging.ERROR, "a request failed with an internal error")
    KEYED_DISPATCHED = (510, logging.INFO, "a keyed call was dispatched to an endpoint")
    KEYED_ENDED = (511, logging.INFO, "the outcome of a keyed call was recorded")
    KEYED_REPLAYED = (512, logging.INFO, "a repeated call got the recorded outcome")
    KEYED_REFUSED = (513, logging.WARNING, "the owner rejected a keyed call")
    KEYED_NO_OWNER = (514, logging.WARNING, "no owner of a key was reachable")
    KEYED_OWNER_LOST = (515, logging.WARNING, "a call to the owner of a key failed")
    KEYED_FENCED = (516, logging.ERROR, "an endpoint has seen a newer owner")
    LEASE_STARTED = (520, logging.INFO, "this VM owns a slot, with an empty ledger")
    LEASE_INHERITED = (521, logging.INFO, "this VM took over a slot with its ledger")
    LEASE_LOST = (522, logging.WARNING, "a slot's lease expired")
    SLOT_HANDED_OVER = (523, logging.INFO, "a slot was handed over to another VM")
    HANDOVER_FAILED = (524, logging.WARNING, "the handover of a slot failed")
    PLACEMENT_ORDERED = (601, logging.INFO, "an engine was sent an order")
    PLACEMENT_DEFERRED = (602, logging.INFO, "a required order was deferred")
    PLACEMENT_DROPPED = (603, logging.WARNING, "an order was dropped unsent")
    PLACEMENT_REFUSED = (604, logging.WARNING, "an engine rejected an order")
    PLACEMENT_FAILED = (605, logging.WARNING, "an engine didn't respond to an order")
    PLACEMENT_FENCED = (606, logging.ERROR, "an engine has seen a newer revision")
    PLACER_CHANGED = (607, logging.INFO, "the placer of a failure domain has changed")
    PLACEMENT_REACHED = (608, logging.INFO, "all engines serve the desired models")
    PEER_CONNECTED = (701, logging.INFO, "an inner connection was opened")
    PEER_LOST = (702, logging.WARNING, "an inner connection was lost with open streams")
    PEER_REFUSED = (703, logging.WARNING, "a peer's connection was rejected")
    STREAM_FAILED = (704, logging.ERROR, "a stream handler raised an error")
    PEER_CLOSED = (705, logging.INFO, "an inner connection ended without open streams")

    @property
    def number(self) -> int:
        """The number of the event in the catalogue."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The ``logging`` level of the event."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """What has happened, in one clause."""
        return self.value[2]


class _JsonLine:
    """The JSON text of an event, serialized only when a handler formats it."""

    def __init__(self, line: dict[str, Any]) -> None:
        self._line = line

    def __str__(self) -> str:
        return json.dumps(self._line, default=str)


Observer = Callable[[Event, dict[str, Any]], None]

_observers: list[Observer] = []


def observe_events(observer: Observer) -> Callable[[], None]:
    """Call ``observer`` for each event, regardless of the log level.

    Returns a function that removes the observer.
    """
    _observers.append(observer)
    return lambda: _observers.remove(observer)


def log_event(event: Event, **values: Any) -> None:
    """Log one event with its values as one line of JSON.

    >>> log_event(Event.ROUTE_CHOSEN, request="r1", engine="e3", reason="warm")
    """
    for observer in _observers:
        observer(event, values)
    if not logger.isEnabledFor(event.level):
        return
    line = {"event": event.number, "name": event.name.lower(), **values}
    extra = {"values": line, "is_request": "request" in values}
    logger.log(event.level, "%s", _JsonLine(line), extra=extra)


def short_trace() -> str:
    """Return the innermost stack frames of the exception being handled."""
    return traceback.format_exc(limit=-MAX_TRACE_FRAMES)


class LibraryHandler(logging.Handler):
    """Converts the log records of libraries to events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the message and its exception, without the stack trace."""
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            Event.LIBRARY_LOGGED,
            source=record.name,
            message=record.getMessage(),
            error=repr(error) if error else "",
        )


def configure_line_logging(level: str, lines_per_second: int) -> None:
    """Write events to standard output as JSON lines, at a bounded rate.

    Warnings and errors of libraries are logged as events too.
    """
    logging.getLogger().addHandler(LibraryHandler(logging.WARNING))
    logger.addHandler(LineWriter(lines_per_second))
    logger.setLevel(level)
    logger.propagate = False


def configure_logging(level: str = "INFO") -> None:
    """Write events to standard error, one line each."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logger.addHandler(handler)
    logger.setLevel(level)
    logger.propagate = False
