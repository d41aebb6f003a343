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

    listen: str = setting("IP:port on which to serve HTTP", check=check_address)
    name: str = setting("name that the engine reports in its answers", default="engine")
    models: tuple[str, ...] = setting(
        "comma-separated models loaded at startup; all models if empty", default=()
    )
    concurrency: int = setting(
        "maximum number of requests in the batch", default=16, check=check_positive
    )
    prefill_per_token: float = setting(
        "prefill time in seconds per uncached prompt token", default=0.0002
    )
    warm_ratio: float = setting(
        "prefill time of a cached prompt token relative to an uncached one",
        default=0.05,
    )
    decode_step: float = setting(
        "seconds per generated token at batch size 1", default=0.005
    )
    batch_slowdown: float = setting(
        "relative growth of the decode step per additional request in the batch",
        default=0.01,
    )
    cache_tokens: int = setting("size of the prefix cache in tokens", default=200_000)
    resume_linger: float = setting(
        "seconds for which generation continues after the last reader disconnects",
        default=2.0,
    )
    load_lag: float = setting("age in seconds of the reported load", default=0.0)
    cache_event_lag: float = setting(
        "seconds after which a cache event is reported", default=0.0
    )
    cache_event_loss: float = setting(
        "share of cache events that are lost, from 0 to 1", default=0.0
    )
    checks_fencing: bool = setting(
        "refuse orders with an outdated fencing number", default=False
    )
    load_seconds: float = setting("seconds to load a model or an adapter", default=0.0)
    fail_every: int = setting(
        "answer every n-th request with status 500; 0 for none", default=0
    )
    seed: int = setting("seed for the random loss of cache events", default=0)


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
