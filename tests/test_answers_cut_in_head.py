"""Engines that stop in the middle of an answer's head and close the connection."""

import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.waiting import pause
from tests.test_responses_ending_with_connection import split_chunks

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
FIRST_EVENT = EVENTS[:15]
START = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
WITH_LENGTH = START + b"Content-Length: 30\r\n\r\n"
WITHOUT_LENGTH = START + b"Connection: close\r\n\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = (CHUNKED, WITHOUT_LENGTH, INTERIM + WITH_LENGTH)


def cut_places(head):
    """Return the places in the middle of each line, within its end, and after it."""
    places = {0}
    start = 0
    for line in head.splitlines(keepends=True):
        end = start + len(line)
        places |= {start + len(line) // 2, end - 1, end}
        start = end
    return sorted(places - {len(head)})


def send(data, resets=False):
    """Return a behavior that sends bytes and closes, or resets, the connection."""

    async def behavior(exchange):
        exchange.writer.write(data)
        await exchange.writer.drain()
        if resets:
            await pause(0.001)
            exchange.reset()
        else:
            exchange.writer.close()

    return behavior


def cut_answers(head):
    """Return behaviors that cut a head in each place, by a close and by a reset."""
    return [
        send(head[:end], resets) for end in cut_places(head) for resets in (False, True)
    ]


BEGUN = send(WITHOUT_LENGTH + EVENTS[:20])
WHOLE = send(WITH_LENGTH + EVENTS)
# (route, behaviors before and after the cut one, status, body, is_whole)
CALLS = {
    "safe, another engine answers": ("safe", [], [WHOLE], 200, EVENTS, True),
    "stream, another engine answers": ("resumable", [], [WHOLE], 200, EVENTS, True),
    "unsafe": ("unsafe", [], [], 502, None, True),
    "stream": ("stream", [], [], 502, None, True),
    "stream that goes on": ("resumable", [BEGUN], [], 200, FIRST_EVENT, False),
}


# Guards against: an answer cut in its head is passed on as whole, empty or short.
@pytest.mark.parametrize(
    ("route", "before", "after", "status", "body", "is_whole"),
    CALLS.values(),
    ids=CALLS.keys(),
)
async def test_answer_cut_in_its_head_is_none(
    tmp_path, route, before, after, status, body, is_whole
):
    cuts = [cut for head in HEADS for cut in cut_answers(head)]
    fleet = GatewayFleet(tmp_path)
    try:
        gateway = await fleet.start()
        for number, cut in enumerate(cuts):
            script = [*before, cut, *after]
            for engine in fleet.engines:
                engine.script = script
            request = request_bytes(f"/{route}/{number}")
            answer = await send_raw(gateway.caller_address, request)
            assert not script
            assert received(answer) == (status, body, is_whole)
    finally:
        await fleet.stop()


def received(answer):
    """Return status, body of a 200, and whether the answer is whole."""
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    if status != 200:
        return status, None, True
    if b"chunked" not in head.lower():
        return status, body, True
    chunks = split_chunks(body)
    return status, b"".join(chunks), chunks[-1] == b""
