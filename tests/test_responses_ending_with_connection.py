"""Responses without length or chunks, which end with their connection."""

import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.waiting import pause

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
STREAM_HEAD = ("Content-Type: text/event-stream", "Connection: close")


def respond(*pieces, head_lines=("Connection: close",), resets=False):
    """Return a behavior that sends a head and pieces, then ends the connection."""

    async def behavior(exchange):
        exchange.write_head("200 OK", *head_lines)
        for piece in pieces:
            exchange.writer.write(piece)
            await exchange.writer.drain()
            await pause(0.02)
        if resets:
            exchange.reset()
        else:
            exchange.writer.close()

    return behavior


def stream(*pieces, resets=False):
    """Return a behavior that sends pieces of an event stream."""
    return respond(*pieces, head_lines=STREAM_HEAD, resets=resets)


# (route, behaviors of the requests that reach engines, status, body, is_whole)
RESPONSES = {
    "plain": ("safe", [respond(b"who", b"le")], 200, b"whole", True),
    "plain, empty": ("unsafe", [respond()], 200, b"", True),
    "plain, unsafe": ("unsafe", [respond(b"whole")], 200, b"whole", True),
    "plain, long": ("unsafe", [respond(b"x" * 600_000)], 200, b"x" * 600_000, True),
    "plain, reset": ("unsafe", [respond(b"ha", resets=True)], 502, None, True),
    "plain, reset, retried": (
        "safe",
        [respond(b"ha", resets=True), respond(b"whole")],
        200,
        b"whole",
        True,
    ),
    "stream": ("stream", [stream(EVENTS)], 200, EVENTS, True),
    "stream in pieces": ("stream", [stream(EVENTS[:9], EVENTS[9:])], 200, EVENTS, True),
    "stream, reset": ("stream", [stream(EVENTS, resets=True)], 200, EVENTS, False),
    "stream, inside an event": (
        "stream",
        [stream(EVENTS, b"id: 3\nda")],
        200,
        EVENTS,
        False,
    ),
    "stream, inside its first event": ("stream", [stream(b"id: 1")], 502, None, True),
    "stream, before its first event": ("stream", [stream()], 502, None, True),
    "stream, resumed inside an event": (
        "resumable",
        [stream(EVENTS[:20]), stream(EVENTS)],
        200,
        EVENTS,
        True,
    ),
    "stream, resumed before its first event": (
        "resumable",
        [stream(), stream(EVENTS)],
        200,
        EVENTS,
        True,
    ),
    "stream, resumed, ended before its next event": (
        "resumable",
        [stream(EVENTS[:20]), stream()],
        200,
        EVENTS[:15],
        False,
    ),
}


# Guards against: a response that was broken off is passed on as whole.
@pytest.mark.parametrize(
    ("route", "behaviors", "status", "body", "is_whole"),
    RESPONSES.values(),
    ids=RESPONSES.keys(),
)
async def test_response_is_whole_if_its_connection_was_closed_at_its_end(
    tmp_path, route, behaviors, status, body, is_whole
):
    fleet = GatewayFleet(tmp_path)
    try:
        gateway = await fleet.start()
        script = list(behaviors)
        for engine in fleet.engines:
            engine.script = script
        answer = await send_raw(gateway.caller_address, request_bytes(f"/{route}/1"))
    finally:
        await fleet.stop()
    head, _, received = answer.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == str(status).encode()
    assert not script
    if body is None:
        return
    if b"chunked" in head.lower():
        chunks = split_chunks(received)
        assert b"".join(chunks) == body
        assert (chunks[-1] == b"") is is_whole
    else:
        assert received == body


# Guards against: a stream that its caller takes up again ends as whole, with no event.
async def test_stream_taken_up_again_isnt_whole_before_its_next_event(tmp_path):
    fleet = GatewayFleet(tmp_path)
    try:
        gateway = await fleet.start()
        for engine in fleet.engines:
            engine.behavior = stream(EVENTS[:20])
        await send_raw(gateway.caller_address, request_bytes("/resumable/1"))
        for engine in fleet.engines:
            engine.behavior = stream()
        request = request_bytes(
            "/resumable/1", headers=("Last-Event-Id: 1", "Resumes: r1")
        )
        answer = await send_raw(gateway.caller_address, request)
    finally:
        await fleet.stop()
    assert answer.startswith(b"HTTP/1.1 502")


def split_chunks(data):
    """Return the chunks of a body; the last one is empty if the body is whole."""
    chunks = []
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        chunks.append(data[:length])
        data = data[length + 2 :]
    return chunks
