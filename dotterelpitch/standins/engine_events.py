"""Builds response parts of the engine stand-in: stream events and token usage."""

import json
from typing import Any

from dotterelpitch.standins.engine_batch import Generation


def finish_reason(generation: Generation) -> str:
    """Return the ``finish_reason`` value of a generation that has ended."""
    return "cancelled" if generation.cancelled else "length"


def usage(generation: Generation) -> dict[str, Any]:
    """Return the ``usage`` object with the token counts of a generation."""
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced,
        "total_tokens": generation.prompt_tokens + generation.produced,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


def chunk_head(request_id: str, model: str) -> str:
    """Return the beginning of the JSON object that all chunks of a stream share."""
    head = json.dumps(
        {"id": request_id, "object": "chat.completion.chunk", "model": model}
    )
    return head[:-1]


def chunk(head: str, number: int, text: str) -> bytes:
    """Return the stream event of one token; ``number`` starts at 1."""
    choice = (
        f'[{{"index": 0, "delta": {{"content": "{text}"}}, "finish_reason": null}}]'
    )
    return f'id: {number}\ndata: {head}, "choices": {choice}}}\n\n'.encode()


def last_chunk(head: str, number: int, generation: Generation) -> bytes:
    """Return the event with the finish reason and usage, and the ``[DONE]`` event."""
    choices = [{"index": 0, "delta": {}, "finish_reason": finish_reason(generation)}]
    tail = json.dumps({"choices": choices, "usage": usage(generation)})
    return f"id: {number}\ndata: {head}, {tail[1:]}\n\ndata: [DONE]\n\n".encode()
