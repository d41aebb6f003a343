"""Validation of documents beyond field types, including checks across fields.

Each check yields lines of the form ``$.endpoints[2].address: must be ...``.
"""

import math
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from dotterelpitch.documents.model import ServiceDocument
from dotterelpitch.documents.route_matching import (
    ANY_METHOD,
    METHODS,
    check_path_pattern,
)
from dotterelpitch.settings import check_address

MIN_REPLICAS = 0
MAX_TIMEOUT_SECONDS = 86_400.0
MAX_REPEAT_WINDOW_SECONDS = 30 * 86_400.0

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_LABEL_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")


def check_document(document: ServiceDocument) -> list[str]:
    """Return one line per problem, ordered by field; empty if ``document`` is valid."""
    return [problem for check in _CHECKS for problem in check(document)]


def _check_top_level(document: ServiceDocument) -> Iterator[str]:
    yield from _check_name("$.service", document.service)
    if document.revision < 0:
        yield "$.revision: must be 0 or more"
    if not (math.isfinite(document.load_bound) and document.load_bound > 1):
        yield "$.load_bound: must be a finite number above 1"
    yield from _check_duration(
        "$.repeat_window", document.repeat_window, MAX_REPEAT_WINDOW_SECONDS
    )
    for name, seconds in attrs.asdict(document.timeouts).items():
        yield from _check_duration(f"$.timeouts.{name}", seconds, MAX_TIMEOUT_SECONDS)


def _check_endpoints(document: ServiceDocument) -> Iterator[str]:
    for index, endpoint in enumerate(document.endpoints):
        path = f"$.endpoints[{index}]"
        yield from _check_name(f"{path}.name", endpoint.name)
        yield from _check_name(f"{path}.failure_domain", endpoint.failure_domain)
        if endpoint.vm:
            yield from _check_name(f"{path}.vm", endpoint.vm)
        if endpoint.concurrency < 1:
            yield f"{path}.concurrency: must be 1 or more"
        if not _is_endpoint_address(endpoint.address):
            yield f"{path}.address: must be IP:port"
    yield from _check_unique("endpoints", "name", document.endpoints)
    yield from _check_unique("endpoints", "address", document.endpoints)


def _check_models(document: ServiceDocument) -> Iterator[str]:
    engine_count = len(document.engines())
    for index, model in enumerate(document.models):
        path = f"$.models[{index}]"
        yield from _check_label(f"{path}.name", model.name)
        yield from _check_label(f"{path}.version", model.version)
        for adapter_index, adapter in enumerate(model.adapters):
            yield from _check_label(f"{path}.adapters[{adapter_index}]", adapter)
        for adapter in _find_duplicates(model.adapters):
            yield f"{path}.adapters: duplicate adapter {adapter!r}"
        if model.replicas < MIN_REPLICAS:
            yield f"{path}.replicas: must be {MIN_REPLICAS} or more"
        if model.replicas > engine_count:
            yield (
                f"{path}.replicas: {model.replicas} exceeds the number of engines, "
                f"{engine_count}"
            )
    yield from _check_unique("models", "name", document.models)


def _check_accounts(document: ServiceDocument) -> Iterator[str]:
    limit_fields = ("requests_per_second", "concurrency", "tokens_per_second")
    for index, account in enumerate(document.client_accounts):
        path = f"$.client_accounts[{index}]"
        yield from _check_name(f"{path}.name", account.name)
        if not _SHA256_PATTERN.fullmatch(account.key_sha256):
            yield f"{path}.key_sha256: must be 64 lower-case hexadecimal digits"
        if account.priority < 0:
            yield f"{path}.priority: must be 0 or more"
        for limit_field in limit_fields:
            value = getattr(account, limit_field)
            if not (math.isfinite(value) and value >= 0):
                yield f"{path}.{limit_field}: must be a finite number, 0 or more"
    yield from _check_unique("client_accounts", "name", document.client_accounts)
    yield from _check_unique("client_accounts", "key_sha256", document.client_accounts)


def _check_routes(document: ServiceDocument) -> Iterator[str]:
    has_plain = bool(document.plain_endpoints())
    seen_routes = set()
    for index, route in enumerate(document.routes):
        path = f"$.routes[{index}]"
        if route.method not in (ANY_METHOD, *METHODS):
            yield f"{path}.method: must be one of {', '.join(METHODS)}, or *"
        if problem := check_path_pattern(route.path):
            yield f"{path}.path: {problem}"
        if (route.method, route.path) in seen_routes:
            yield f"{path}: duplicate route {route.method} {route.path}"
        seen_routes.add((route.method, route.path))
        if not has_plain and not route.idempotent:
            yield f"{path}: a non-idempotent route needs a plain endpoint"


def _check_duration(path: str, seconds: float, maximum: float) -> Iterator[str]:
    if not 0 < seconds <= maximum:
        yield f"{path}: must be above 0 and at most {maximum:g} seconds"


def _check_name(path: str, value: str) -> Iterator[str]:
    if not _NAME_PATTERN.fullmatch(value):
        yield f"{path}: must be 1 to 128 letters, digits, dots, dashes, underscores"


def _check_label(path: str, value: str) -> Iterator[str]:
    if not _LABEL_PATTERN.fullmatch(value):
        yield f"{path}: must be 1 to 128 printable characters without spaces"


def _check_unique(group: str, name: str, items: Iterable[Any]) -> Iterator[str]:
    first_by_value: dict[str, int] = {}
    for index, item in enumerate(items):
        value = getattr(item, name)
        first = first_by_value.setdefault(value, index)
        if first != index:
            yield f"$.{group}[{index}].{name}: duplicate of $.{group}[{first}].{name}"


def _is_endpoint_address(address: str) -> bool:
    try:
        check_address(address)
    except ValueError:
        return False
    return not address.endswith(":0")


def _find_duplicates(values: list[str]) -> list[str]:
    return [value for value, count in Counter(values).items() if count > 1]


_CHECKS: tuple[Callable[[ServiceDocument], Iterator[str]], ...] = (
    _check_top_level,
    _check_endpoints,
    _check_models,
    _check_accounts,
    _check_routes,
)
