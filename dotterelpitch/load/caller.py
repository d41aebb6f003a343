"""Client for chats and plain calls that measures response times.

>>> caller = Caller(session, "127.0.0.1:8080", key="secret")
>>> answer = await caller.chat("m", [{"role": "user", "content": "hello"}])
>>> answer.is_complete, answer.outcome
(True, 'unknown')
"""

import json
import time
from typing import Any

import aiohttp
import attrs

OUTCOME_HEADER = "Dotterelpitch-Outcome"
REQUEST_ID_HEADER = "Dotterelpitch-Request-Id"
ENGINE_HEADER = "Dotterelpitch-Engine"
CHAT_HEADER = "Dotterelpitch-Chat"
DONE_LINE = b"data: [DONE]"
DEFAULT_TIMEOUT_SECONDS = 120.0


@attrs.define
class Answer:
    """Response of a chat or a plain call; times are in seconds.

    ``is_complete`` tells whether the answer reached its end: the final event of
    a stream, or a complete body. ``error`` is the failure or the data of an
    explicit error event. ``status`` is 0 if there was no HTTP response.
    ``first_token`` is the time to the first token, and ``gaps`` are the times
    between consecutive tokens.
    """

    status: int = 0
    outcome: str = ""
    request_id: str = ""
    engine: str = ""
    text: str = ""
    is_complete: bool = False
    error: str = ""
    first_token: float = 0.0
    gaps: list[float] = attrs.field(factory=list)
    tokens: int = 0
    last_event_id: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)

    def record_head(self, response: aiohttp.ClientResponse) -> None:
        """Record the status and the headers of ``response``."""
        self.status = response.status
        self.headers = dict(response.headers)
        self.outcome = response.headers.get(OUTCOME_HEADER, "")
        self.request_id = response.headers.get(REQUEST_ID_HEADER, "")
        self.engine = response.headers.get(ENGINE_HEADER, "")


class Caller:
    """Sends the requests of one client account to one router address."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        key: str = "",
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._key = key
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def chat(
        self,
        model: str,
        messages: list[dict[str, str]],
        chat: str = "",
        max_tokens: int = 16,
        stream: bool = True,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Request a chat completion and read it to its end.

        Network errors and timeouts aren't raised but recorded in the answer.
        """
        body = {
            "model": model,
            "messages": messages,
            "stream": stream,
            "max_tokens": max_tokens,
        }
        all_headers = self._headers(headers)
        if chat:
            all_headers[CHAT_HEADER] = chat
        url = f"{self._base_url}/v1/chat/completions"
        read = _read_stream if stream else _read_completion
        return await self._send("POST", url, read, all_headers, json=body)

    async def call(
        self,
        method: str,
        service: str,
        path: str,
        idempotency_key: str = "",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Call a plain service and read the complete response.

        Network errors and timeouts aren't raised but recorded in the answer.
        """
        all_headers = self._headers(headers)
        if idempotency_key:
            all_headers["Idempotency-Key"] = idempotency_key
        url = f"{self._base_url}/v1/services/{service}{path}"
        return await self._send(method, url, _read_body, all_headers, data=body)

    def _headers(self, more: dict[str, str] | None) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        return {**headers, **(more or {})}

    async def _send(
        self, method: str, url: str, read: Any, headers: dict[str, str], **body: Any
    ) -> Answer:
        answer = Answer()
        started = time.perf_counter()
        try:
            async with self._session.request(
                method, url, headers=headers, timeout=self._timeout, **body
            ) as response:
                answer.record_head(response)
                if response.status >= 400:
                    answer.error = (await response.text()) or str(response.status)
                else:
                    await read(response, answer, started)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            answer.error = answer.error or repr(error)
            answer.is_complete = False
        return answer


async def _read_body(
    response: aiohttp.ClientResponse, answer: Answer, started: float
) -> None:
    answer.text = await response.text()
    answer.first_token = time.perf_counter() - started
    answer.is_complete = True


async def _read_completion(
    response: aiohttp.ClientResponse, answer: Answer, started: float
) -> None:
    completion = await response.json()
    answer.first_token = time.perf_counter() - started
    choice = completion["choices"][0]
    answer.text = choice["message"]["content"]
    _record_usage(answer, completion)
    answer.is_complete = choice["finish_reason"] != "cancelled"


async def _read_stream(
    response: aiohttp.ClientResponse, answer: Answer, started: float
) -> None:
    parts: list[str] = []
    last_time = started
    is_error = False
    async for line in response.content:
        if line.startswith(b"event: error"):
            is_error = True
        elif line.startswith(b"id: "):
            answer.last_event_id = line[4:].strip().decode()
        elif line.startswith(DONE_LINE):
            answer.is_complete = not answer.error
        elif is_error and line.startswith(b"data: "):
            answer.error = line[6:].strip().decode()
        elif line.startswith(b"data: "):
            last_time = _record_chunk(
                answer, parts, json.loads(line[6:]), started, last_time
            )
    answer.text = "".join(parts)
    if not answer.is_complete and not answer.error:
        answer.error = "the stream ended without its closing event"


def _record_chunk(
    answer: Answer,
    parts: list[str],
    chunk: dict[str, Any],
    started: float,
    last_time: float,
) -> float:
    """Add a chunk to the answer and return the time of the latest token so far.

    Times are of ``time.perf_counter``; ``last_time`` is that of the previous token,
    or ``started`` without any.
    """
    choice = chunk["choices"][0]
    if "usage" in chunk:
        _record_usage(answer, chunk)
    if choice["finish_reason"] == "cancelled":
        answer.error = "cancelled"
    content = choice["delta"].get("content")
    if not content:
        return last_time
    now = time.perf_counter()
    if answer.tokens:
        answer.gaps.append(now - last_time)
    else:
        answer.first_token = now - started
    answer.tokens += 1
    parts.append(content)
    return now


def _record_usage(answer: Answer, completion: dict[str, Any]) -> None:
    usage = completion.get("usage", {})
    answer.prompt_tokens = usage.get("prompt_tokens", 0)
    details = usage.get("prompt_tokens_details", {})
    answer.cached_tokens = details.get("cached_tokens", 0)
