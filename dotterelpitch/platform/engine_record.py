"""Decodes the records by which engines register themselves in the store."""

from typing import Any

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform._fields import (
    MILLISECONDS_PER_SECOND,
    check_text,
    decode_json,
    read_field,
    read_whole_number,
)
from dotterelpitch.routing.engines import Engine
from dotterelpitch.settings import check_address

ENGINE_PREFIX = "servers/"

MAX_COLD_MS = 3_600_000

_TEXT_FIELDS = ("id", "service", "failure_domain", "version")
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_engine(key: str, value: bytes) -> Engine:
    """Return the engine that one record registers.

    The record is untrusted input, since any client of the store may have written it.
    Raises PlatformError when it is invalid.
    """
    try:
        return _decode(key.removeprefix(ENGINE_PREFIX), decode_json(value))
    except (PlatformError, ValueError) as error:
        raise PlatformError(f"{key!a}: {error}") from error


def _decode(engine_id: str, content: Any) -> Engine:
    address = read_field(content, "address", str)
    check_address(address)
    if int(address.rpartition(":")[2]) == 0:
        raise PlatformError("address: no port")
    state = read_field(content, "state", str)
    if state not in _IS_LEAVING_BY_STATE:
        raise PlatformError(f"state: unknown value {state!r}")
    engine = Engine(
        id=engine_id,
        service=read_field(content, "service", str),
        address=address,
        failure_domain=read_field(content, "zone", str, ""),
        slots=read_whole_number(content, "capacity", 0),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        started_ms=read_whole_number(content, "born", 0),
        version=read_field(content, "version", str, ""),
        cold_left_s=_decode_cold_left_s(content),
    )
    for name in _TEXT_FIELDS:
        check_text(name, getattr(engine, name))
    return engine


def _decode_cold_left_s(content: Any) -> float | None:
    """Return for how many seconds an engine stays cold; None if it doesn't say.

    A number that is out of range says nothing.
    """
    if "cold_left_ms" not in content:
        return None
    left_ms = read_field(content, "cold_left_ms", (int, float))
    return left_ms / MILLISECONDS_PER_SECOND if 0 <= left_ms < MAX_COLD_MS else None
