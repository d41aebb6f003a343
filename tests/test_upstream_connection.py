"""Parsing of engine responses: complete, truncated, invalid, and stale ones."""

import asyncio
import socket
import time

import pytest

from dotterelpitch.upstream.connection import (
    MAX_HEAD_BYTES,
    MAX_OVERHEAD_BYTES,
    EngineConnection,
)
from dotterelpitch.upstream.errors import (
    AnswerGarbledError,
    AnswerLostError,
    ConnectTimeoutError,
    PathLostError,
)
from dotterelpitch.upstream.opening import CONNECT_TIMEOUT_SECONDS, open_connection

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s1\r\n"
COMPLETE = OK + b"Content-Length: 2\r\n\r\nhi"
STALE = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold"
STALE_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
REFUSAL_WITHOUT_ID = STALE_REFUSAL.replace(b"Request-Id: r0\r\n", b"")
WITHOUT_ID = b"HTTP/1.1 200 OK\r\nResponse-Seal: s0\r\nContent-Length: 1\r\n\r\nx"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
UNFRAMED = OK + b"\r\nhi"


class FakeTransport(asyncio.Transport):
    """Records the data written and whether the transport was closed.

    ``unsent`` is the number of bytes in its write buffer.
    """

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False
        self.unsent = 0

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return self.unsent

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def connection_with_sent_request():
    connection = EngineConnection()
    transport = FakeTransport()
    connection.connection_made(transport)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", "r1")
    return connection, transport


async def read_all(connection):
    head = await connection.read_head()
    body = b""
    while data := await connection.read_body():
        body += data
    return head, body


@pytest.mark.parametrize(
    ("chunks", "is_reusable"),
    [
        ([COMPLETE], True),
        ([bytes([b]) for b in COMPLETE], True),
        ([CHUNKED + b"0\r\n\r\n"], True),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE], True),
        ([COMPLETE + STALE], False),
        ([COMPLETE, STALE], False),
        ([STALE + COMPLETE], False),
        ([STALE[:40], STALE[40:] + COMPLETE], False),
        ([WITHOUT_ID + COMPLETE], False),
        ([STALE_REFUSAL + COMPLETE], False),
        ([STALE_REFUSAL, COMPLETE], False),
        ([REFUSAL_WITHOUT_ID + COMPLETE], False),
        ([COMPLETE + STALE_REFUSAL], False),
        ([COMPLETE + b"garbage"], False),
        ([OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nhi"], False),
        ([CHUNKED + b"0\r\nRequest-Id: r0\r\n\r\n"], True),
    ],
)
async def test_only_the_response_with_the_request_id_is_read(chunks, is_reusable):
    connection, _ = connection_with_sent_request()
    for chunk in chunks:
        connection.data_received(chunk)
    head, body = await read_all(connection)
    assert body == b"hi"
    assert [v for n, v in head.headers if n == "Request-Id"] == ["r1"]
    assert [v for n, v in head.headers if n == "Response-Seal"] == ["s1"]
    connection.finish(0.0)
    assert connection.is_reusable is is_reusable


@pytest.mark.parametrize(
    ("data", "has_eof", "error", "expected"),
    [
        (UNFRAMED, True, None, b"hi"),
        (UNFRAMED, True, ConnectionResetError(), AnswerLostError),
        (UNFRAMED, False, ConnectionResetError(), AnswerLostError),
        (UNFRAMED, False, None, AnswerLostError),
        (CHUNKED, True, None, AnswerLostError),
        (COMPLETE[:-1], True, None, AnswerLostError),
        (OK, True, None, AnswerLostError),
        (b"", True, None, AnswerLostError),
        (b"", False, TimeoutError("timed out"), PathLostError),
        (b"\x00\x01 not http\r\n\r\n", True, None, AnswerGarbledError),
        (OK + b"Content-Length: x\r\n\r\n", True, None, AnswerGarbledError),
        (STALE, True, None, AnswerLostError),
    ],
)
async def test_truncated_response_never_looks_complete(data, has_eof, error, expected):
    connection, _ = connection_with_sent_request()
    if data:
        connection.data_received(data)
    if has_eof:
        connection.eof_received()
    connection.connection_lost(error)
    if isinstance(expected, bytes):
        assert (await read_all(connection))[1] == expected
        return
    with pytest.raises(expected):
        await read_all(connection)


EARLIER = STALE.replace(b"r0", b"r1").replace(b"old", b"one")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FRAMED = {
    "length": COMPLETE,
    "chunks": CHUNKED + b"0\r\n\r\n",
    "trailers": CHUNKED + b"0\r\nX-Trailer: a\r\n\r\n",
    "no length": OK + b"\r\n",
    "interim answer before": INTERIM + COMPLETE,
    "another's answer before": STALE + COMPLETE,
}


# Guards against: an answer whose status isn't one of HTTP is passed on, or waited for.
@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
@pytest.mark.parametrize("answer", [COMPLETE, UNFRAMED, CHUNKED])
async def test_answer_with_an_invalid_status_is_refused_at_once(status, answer):
    connection, _ = connection_with_sent_request()
    connection.data_received(answer.replace(b"200", status, 1))
    with pytest.raises(AnswerGarbledError, match="status"):
        await connection.read_head()
    assert connection.is_closing


# Guards against: an answer that was cut, in its head or behind it, is taken for whole.
@pytest.mark.parametrize("answer", FRAMED.values(), ids=FRAMED.keys())
@pytest.mark.parametrize("error", [None, ConnectionResetError()], ids=["FIN", "RST"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["first", "kept connection"])
async def test_answer_cut_at_any_byte_is_none(answer, error, is_kept):
    for end in range(len(answer)):
        connection, _ = connection_with_sent_request()
        if is_kept:
            connection.data_received(EARLIER)
            await read_all(connection)
            connection.finish(0.0)
            connection.send(b"GET / HTTP/1.1\r\n\r\n", "r1")
        connection.data_received(answer[:end])
        if error is None:
            connection.eof_received()
        connection.connection_lost(error)
        with pytest.raises(AnswerLostError):
            await read_all(connection)


DAMAGED_FRAMING = {
    "coding cut short": b"Transfer-Encoding: chun",
    "coding of the content": b"Transfer-Encoding: gzip",
    "coding before chunks": b"Transfer-Encoding: gzip, chunked",
    "coding after chunks": b"Transfer-Encoding: chunked, gzip",
    "another coding in a field before": (
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"
    ),
    "another coding in a field after": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip"
    ),
    "coding cut off": b"Transfer-Encoding:",
    "name cut short": b"Transf",
    "length cut off": b"Content-Length:",
    "two lengths in a field": b"Content-Length: 2, 2",
    "two lengths": b"Content-Length: 2\r\nContent-Length: 1",
    "length and chunks": b"Content-Length: 2\r\nTransfer-Encoding: chunked",
    "line without CR": b"Content-Length: 2\nX-A: b",
}


# Guards against: an answer whose framing was damaged on the way is passed on as whole,
# with the sizes of its chunks or in a coding that the caller doesn't know.
@pytest.mark.parametrize(
    "framing", DAMAGED_FRAMING.values(), ids=DAMAGED_FRAMING.keys()
)
async def test_answer_with_damaged_framing_is_refused(framing):
    connection, transport = connection_with_sent_request()
    connection.data_received(OK + framing + b"\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
    connection.eof_received()
    connection.connection_lost(None)
    with pytest.raises(AnswerLostError):
        await read_all(connection)
    assert transport.closed


# Guards against: an answer with too long a head is passed on without the fields beyond
# the limit if it comes in one piece.
@pytest.mark.parametrize(
    "fields",
    [b"X-Long: " + b"x" * MAX_HEAD_BYTES, b"X:\r\n" * 999],
    ids=["one field", "fields"],
)
async def test_answer_with_too_long_a_head_is_refused(fields):
    connection, transport = connection_with_sent_request()
    head = OK + fields.strip() + b"\r\nContent-Length: 2\r\n\r\n"
    connection.data_received(head + b"hi")
    with pytest.raises(AnswerGarbledError):
        await connection.read_head()
    assert transport.closed


# Guards against: a second copy of an earlier response, such as a rejection, is taken
# for that to the next request.
@pytest.mark.parametrize("unsolicited", [STALE, STALE_REFUSAL, REFUSAL_WITHOUT_ID])
async def test_unsolicited_data_closes_an_idle_connection(unsolicited):
    connection, transport = connection_with_sent_request()
    connection.data_received(COMPLETE)
    await read_all(connection)
    connection.finish(0.0)
    assert connection.is_reusable
    connection.data_received(unsolicited)
    assert not connection.is_reusable
    assert transport.closed


# Guards against: the same while the next request is on its way.
@pytest.mark.parametrize("stale", [STALE, STALE_REFUSAL, REFUSAL_WITHOUT_ID])
@pytest.mark.parametrize("is_followed", [True, False])
async def test_second_copy_is_no_response_to_the_next_request(stale, is_followed):
    connection, _ = connection_with_sent_request()
    connection.data_received(COMPLETE)
    await read_all(connection)
    connection.finish(0.0)
    connection.send(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\npart", "r2")
    connection.data_received(stale)
    if is_followed:
        connection.data_received(COMPLETE.replace(b"r1", b"r2"))
        head, body = await read_all(connection)
        assert (head.value_by_name["request-id"], body) == ("r2", b"hi")
    else:
        connection.connection_lost(None)
        with pytest.raises(AnswerLostError):
            await connection.read_head()


@pytest.mark.parametrize(("received", "unsent"), [(COMPLETE[:-1], 0), (COMPLETE, 10)])
async def test_unfinished_exchange_aborts_the_connection(received, unsent):
    """On a reused connection, the rest of the body could be read as a response.

    The abort also makes the engine stop its work.
    """
    connection, transport = connection_with_sent_request()
    transport.unsent = unsent
    connection.data_received(received)
    connection.finish(0.0)
    assert transport.closed
    assert not connection.is_reusable


# Guards against: bytes without end that never bring a head or a body fill the memory.
@pytest.mark.parametrize(
    ("before", "repeated"),
    [
        (b"HTTP/1.1 200 ", b"x" * 1000),
        (OK + b"X-Long: ", b"x" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
        (STALE[:40], b"x" * 1000),
        (CHUNKED, b"0" * 1000),
        (CHUNKED + b"2;ext=", b"x" * 1000),
        (CHUNKED + b"0\r\nX-Trailer: ", b"x" * 1000),
    ],
)
async def test_endless_bytes_end_the_connection(before, repeated):
    connection, transport = connection_with_sent_request()
    connection.data_received(before)
    received = 0
    while not transport.closed and received < 4 * MAX_OVERHEAD_BYTES:
        connection.data_received(repeated)
        received += len(repeated)
    assert transport.closed
    assert received <= MAX_OVERHEAD_BYTES + len(repeated)
    with pytest.raises(AnswerGarbledError):
        await read_all(connection)


def starve():
    """Keep the process from handling events for longer than connections may take."""
    until = time.monotonic() + 2 * CONNECT_TIMEOUT_SECONDS
    while time.monotonic() < until:
        pass


# Guards against: a VM that was starved takes sound engines for unreachable.
async def test_connection_made_while_the_process_was_starved_is_no_timeout():
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    opening = asyncio.create_task(open_connection(f"{host}:{port}"))
    await asyncio.sleep(0)
    starve()
    connection = await opening
    assert not connection.is_closing
    connection.close()
    listener.close()


async def test_connection_without_an_answer_times_out_also_in_a_starved_process():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    host, port = listener.getsockname()
    # The kernel completes no further connections once the backlog is full.
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((host, port))
    opening = asyncio.create_task(open_connection(f"{host}:{port}"))
    await asyncio.sleep(0)
    starve()
    with pytest.raises(ConnectTimeoutError):
        await opening
    for sock in (*fillers, listener):
        sock.close()
