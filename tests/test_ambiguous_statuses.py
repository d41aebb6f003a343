"""Engines that run a request and answer it with a status that says they haven't.

Without a word of the engine that nothing has run, such a status says nothing of a call
that can't be retried; its caller would send it once more.
"""

import asyncio
import itertools
import json

import pytest

from tests.harness.gateway_fleet import (
    ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.proxy import reset_writer
from tests.harness.scripted_engine import ScriptedEngine
from tests.harness.socket_owner import find_owner
from tests.harness.waiting import eventually

STATUSES = {
    400: "400 Bad Request",
    404: "404 Not Found",
    408: "408 Request Timeout",
    409: "409 Conflict",
    421: "421 Misdirected Request",
    425: "425 Too Early",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
    529: "529 Site is overloaded",
}
NOT_RUN_STATUSES = {408, 421, 429, 503}
# With a 421 an engine does state that nothing has run.
AMBIGUOUS_STATUSES = NOT_RUN_STATUSES - {421}
LONG_BYTES = 600_000
SHORT = b"no"


async def fixed(exchange, status, *lines):
    """Answer with a short body of a known length."""
    exchange.write_head(STATUSES[status], f"Content-Length: {len(SHORT)}", *lines)
    exchange.writer.write(SHORT)


async def with_pause(exchange, status):
    """Answer as an engine that wants a pause of the caller's."""
    await fixed(exchange, status, "Retry-After: 0.001")


async def chunked(exchange, status):
    """Answer in chunks."""
    exchange.write_head(STATUSES[status], "Transfer-Encoding: chunked")
    for part in (SHORT, b""):
        exchange.write_chunk(part)


async def long(exchange, status):
    """Answer with a body that isn't kept whole before it is passed on."""
    exchange.write_head(STATUSES[status], f"Content-Length: {LONG_BYTES}")
    exchange.writer.write(b"x" * LONG_BYTES)


async def endless(exchange, status):
    """Answer with a body that doesn't come."""
    exchange.write_head(STATUSES[status], f"Content-Length: {LONG_BYTES}")
    await exchange.caller_left.wait()


async def reject(exchange):
    """Reject a request as a full engine does."""
    exchange.write_head(STATUSES[503], "Not-Executed: 1", "Content-Length: 0")


FORMS = {"fixed": fixed, "pause": with_pause, "chunked": chunked, "long": long}
AMBIGUOUS_CASES = list(
    itertools.product(("unsafe", "stream"), AMBIGUOUS_STATUSES, FORMS)
)


def answering(form, status):
    """Return a behavior that answers in a form and with a status."""

    async def behavior(exchange):
        await form(exchange, status)

    return behavior


class GuardedEngine(ScriptedEngine):
    """Resets the connections of the process ``refused_pid``."""

    refused_pid = 0

    async def _serve_connection(self, reader, writer):
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        if self.refused_pid and find_owner(peer, own, {self.refused_pid: "refused"}):
            reset_writer(writer)
            return
        await super()._serve_connection(reader, writer)


class Site:
    """Gateways and engines; calls go to the first gateway."""

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)
        self.fleet.engines = [GuardedEngine("e1"), GuardedEngine("e2")]

    async def start(self, is_through_peer=False):
        """Start all; let the first gateway reach its peer only, if told to."""
        self.gateway = await self.fleet.start(2 if is_through_peer else 1)
        if is_through_peer:
            for engine in self.fleet.engines:
                engine.refused_pid = self.gateway.process.pid
        await eventually(self._is_served, 10.0, "a call gets through")

    async def _is_served(self):
        return (await self.call("safe"))[0] == 200

    def behave(self, behavior):
        """Let all engines answer so from now on."""
        for engine in self.fleet.engines:
            engine.behavior = behavior
            engine.exchanges.clear()

    async def call(self, route):
        """Return status, headers in lower case, and body of a call."""
        request = request_bytes(f"/{route}/x", "POST", b"a body")
        answer = await send_raw(self.gateway.caller_address, request)
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), head.lower(), body


# Guards against: a caller is told that its booking hasn't run, though an engine has run
# it and only answered with such a status.
@pytest.mark.parametrize("is_through_peer", [False, True], ids=["direct", "by peer"])
async def test_no_status_says_not_run_of_a_call_that_has_run(tmp_path, is_through_peer):
    site = Site(tmp_path)
    found = {}
    try:
        await site.start(is_through_peer)
        for route, status, form in AMBIGUOUS_CASES:
            site.behave(answering(FORMS[form], status))
            received, head, _ = await site.call(route)
            assert len(site.fleet.exchanges()) == 1
            found[route, status, form] = received, b"response-seal" in head
    finally:
        await site.fleet.stop()
    assert found == dict.fromkeys(AMBIGUOUS_CASES, (502, False))


# Guards against: an engine's own answer is kept from callers for whom it is right.
@pytest.mark.parametrize(
    ("route", "statuses"),
    [
        ("unsafe", STATUSES.keys() - NOT_RUN_STATUSES),
        ("stream", STATUSES.keys() - NOT_RUN_STATUSES),
        ("safe", STATUSES.keys() - {421}),
        ("resumable", STATUSES.keys() - {421}),
    ],
)
async def test_other_answers_of_engines_are_passed_on(tmp_path, route, statuses):
    site = Site(tmp_path)
    found = {}
    try:
        await site.start()
        for status in statuses:
            site.behave(answering(fixed, status))
            received, head, body = await site.call(route)
            found[status] = received, b"response-seal: s" in head, body
    finally:
        await site.fleet.stop()
    assert found == {status: (status, True, SHORT) for status in statuses}


# Guards against: the same after a rejection, where another engine then runs the call.
async def test_call_that_runs_after_a_rejection_is_not_said_to_have_not(tmp_path):
    site = Site(tmp_path)
    routes = {"twice": {"kind": "unsafe", "max_attempts": 2}}
    statuses = {}
    try:
        await site.start()
        site.fleet.store.put("op/config", make_config(2, {**ROUTES, **routes}))
        await site.gateway.wait_config(2)
        for status in AMBIGUOUS_STATUSES:
            site.behave(answering(fixed, status))
            script = [reject]
            for engine in site.fleet.engines:
                engine.script = script
            statuses[status] = (await site.call("twice"))[0]
            assert len(site.fleet.exchanges()) == 2
    finally:
        await site.fleet.stop()
    assert set(statuses.values()) == {502}, statuses


# Guards against: a caller waits for a body that it isn't to get, and on-call engineers
# can't tell what an engine has run from a refusal.
async def test_ambiguous_status_is_answered_at_once_and_told_in_the_log(tmp_path):
    site = Site(tmp_path)
    try:
        await site.start()
        site.behave(answering(endless, 503))
        async with asyncio.timeout(2.0):
            status, head, body = await site.call("unsafe")
        process = site.gateway.process
        await eventually(lambda: process.events(503), 2.0, "the refusal is logged")
        failures, refusals = process.events(415), process.events(503)
    finally:
        await site.fleet.stop()
    assert status == 502
    assert b"retry-after" not in head
    assert json.loads(body)["outcome"] == "unknown"
    assert [(e["end"], e["reason"]) for e in failures] == [
        ("ambiguous", "status 503, not stated as not run")
    ]
    assert [(e["status"], e["outcome"]) for e in refusals] == [(502, "unknown")]
