"""Settings, faults, and deterministic answer text of the engine stand-in."""

import json
from typing import Any

import attrs
import xxhash

from dotterelpitch.settings import check_address, check_positive, setting

DEFAULT_MAX_TOKENS = 64
CHARACTERS_PER_TOKEN = 4


@attrs.frozen
class EngineSettings:
    """Settings of the engine stand-in; times are in seconds."""

    listen: str = setting("Address to serve on, IP:port.", check=check_address)
    name: str = setting("Name reported in its answers.", default="engine")
    models: tuple[str, ...] = setting(
        "Models loaded at start; all models if empty.", default=()
    )
    concurrency: int = setting(
        "Maximum number of requests in the batch.", default=16, check=check_positive
    )
    prefill_per_token: float = setting(
        "Prefill time of an uncached token.", default=0.0002
    )
    warm_ratio: float = setting(
        "Prefill time of a cached token relative to an uncached one.", default=0.05
    )
    decode_step: float = setting("Time per token at batch size 1.", default=0.005)
    batch_slowdown: float = setting(
        "Relative growth of the decode step per additional request in the batch.",
        default=0.01,
    )
    cache_tokens: int = setting("Size of the prefix cache in tokens.", default=200_000)
    resume_linger: float = setting(
        "How long a stream without a reader continues.", default=2.0
    )
    load_lag: float = setting("Age of the load report.", default=0.0)
    cache_event_lag: float = setting("Age of the cache events.", default=0.0)
    cache_event_loss: float = setting(
        "Share of cache events that are lost.", default=0.0
    )
    checks_fencing: bool = setting("Refuse outdated fencing numbers.", default=False)
    load_seconds: float = setting("Time to load a model.", default=0.0)
    fail_every: int = setting(
        "Answer every n-th request with 500; 0 for none.", default=0
    )
    seed: int = setting("Seed for the random loss of cache events.", default=0)


@attrs.frozen
class EngineFaults:
    """Faults that are currently injected into the engine.

    With ``fail_every`` every n-th request is answered with 500, and with ``refuse``
    all are answered with 503. With ``cut_after_tokens`` the connection of a stream
    is aborted after that token, while the generation continues.
    """

    fail_every: int = 0
    refuse: bool = False
    cut_after_tokens: int = 0


def token_count(text: str) -> int:
    """Return the number of tokens of a prompt text; at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def content_digest(model: str, messages: Any) -> str:
    """Return the digest of a request that determines the tokens of its answer."""
    text = json.dumps([model, messages], sort_keys=True)
    return xxhash.xxh3_64_hexdigest(text.encode())


def token_text(digest: str, index: int) -> str:
    """Return the text of token ``index`` (from 0) of the answer for ``digest``.

    >>> token_text("d", 3) == token_text("d", 3)
    True
    """
    return " " + xxhash.xxh32_hexdigest(f"{digest}/{index}".encode())[:6]


def expected_text(model: str, messages: Any, max_tokens: int) -> str:
    """Return the complete answer that every engine gives to these messages."""
    digest = content_digest(model, messages)
    return "".join(token_text(digest, index) for index in range(max_tokens))
