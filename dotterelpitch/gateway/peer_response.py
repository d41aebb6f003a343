"""The response to a call that a peer has forwarded, at both ends of the stream."""

from collections.abc import Iterable

from attrs import define

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError
from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.platform.headers import Headers
from dotterelpitch.protocol.forwarded_call_messages import (
    ForwardedHead,
    HeaderField,
    decode_text,
    encode_text,
)
from dotterelpitch.protocol.frames import Data, End
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.upstream.connection import HttpResponseHead
from dotterelpitch.upstream.errors import AnswerGarbledError, AnswerLostError
from dotterelpitch.upstream.response_source import ResponseSource
from dotterelpitch.upstream.status_codes import is_final_status

# Larger parts of a body are sent in several messages, so that other streams of the
# connection get their turn.
MAX_DATA_BYTES = 64 * 1024


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[HeaderField]:
    """Return headers as they are sent to a peer."""
    return [HeaderField(encode_text(n), encode_text(v)) for n, v in headers]


def decode_headers(fields: Iterable[HeaderField]) -> Headers:
    """Return the headers that a peer has sent."""
    return [(decode_text(f.name), decode_text(f.value)) for f in fields]


async def send_data(stream: Stream, data: bytes) -> None:
    """Send bytes of a body to a peer."""
    for start in range(0, len(data), MAX_DATA_BYTES):
        await stream.send(Data(bytes(data[start : start + MAX_DATA_BYTES])))


@define
class PeerResponseWriter(ResponseWriter):
    """Writes the response to a call to the peer that has forwarded it.

    The end of the stream, which follows when the call is done, is that of the body.
    """

    _stream: Stream
    _clock: Clock

    async def start(self, status: int, headers: Headers) -> None:
        self.is_started = True
        self.started_at = self._clock.monotonic()
        head = ForwardedHead(int(status), encode_headers(headers))
        await self._send(head)

    async def write(self, data: bytes) -> None:
        try:
            await send_data(self._stream, data)
        except PeerError as error:
            raise ConnectionResetError("the peer has left") from error

    async def end(self) -> None:
        pass

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        await self.start(status, headers)
        await self.write(body)

    def abort(self) -> None:
        self._stream.reset("broken off")

    async def _send(self, head: ForwardedHead) -> None:
        try:
            await self._stream.send(head)
        except PeerError as error:
            raise ConnectionResetError("the peer has left") from error


class PeerResponse(ResponseSource):
    """The response that a peer sends to a call forwarded to it.

    Raises AnswerGarbledError if its status isn't one of a final response.
    """

    def __init__(self, stream: Stream, head: ForwardedHead) -> None:
        if not is_final_status(head.status):
            raise AnswerGarbledError(f"the peer answered with status {head.status}")
        self._stream = stream
        headers = decode_headers(head.headers)
        value_by_name = {name.lower(): value for name, value in headers}
        self.head = HttpResponseHead(head.status, headers, value_by_name)
        self.has_ended = False

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its regular end."""
        if self.has_ended:
            return b""
        try:
            message = await self._stream.receive()
        except PeerError as error:
            raise AnswerLostError(f"the peer's response ended: {error}") from error
        if isinstance(message, End):
            self.has_ended = True
            return b""
        if not isinstance(message, Data):
            raise AnswerGarbledError(f"the peer sent {type(message).__name__}")
        return message.payload or await self.read_body()
