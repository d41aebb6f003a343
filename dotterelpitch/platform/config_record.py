"""Decodes the store's config record: routes, services, accounts, and limits."""

from typing import Any

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform._fields import (
    decode_json,
    read_amount,
    read_field,
    read_seconds,
)
from dotterelpitch.routing.cold_engines import ColdLimits
from dotterelpitch.routing.route_table import (
    DEFAULT_HEALTH_PATH,
    Account,
    CallerLimits,
    CallKind,
    Route,
    RoutingConfig,
    ServiceLimits,
    WeightedService,
)
from dotterelpitch.telemetry.events import Event, log_event

CONFIG_KEY = "op/config"

# An unknown kind is treated as UNSAFE, the most restrictive one.
_KIND_BY_NAME = {"safe": CallKind.SAFE, "streaming": CallKind.STREAM}

_DEFAULT_MAX_CONNECTIONS = 100

_RouteKey = tuple[str, str]


class ConfigDecoder:
    """Decodes successive versions of the config.

    Versions typically differ in a few of thousands of routes, so the decoder reuses
    each route whose JSON object is unchanged since the previous version.
    """

    def __init__(self) -> None:
        self._decoded_by_route_key: dict[_RouteKey, tuple[Any, Route]] = {}

    def decode(self, value: bytes) -> RoutingConfig:
        """Return the config in the value of a record.

        Raises PlatformError when the value isn't a valid config.
        """
        content = decode_json(value)
        decoded = [self._decode(t) for t in read_field(content, "routes", list)]
        config = RoutingConfig(
            version=read_field(content, "version", int),
            routes=[route for _, route in decoded],
            service_by_name=_decode_services(read_field(content, "services", list, [])),
            account_by_key=_decode_accounts(read_field(content, "tenants", list, [])),
            limits=_decode_limits(read_field(content, "limits", dict, {})),
            needs_key="tenants" in content,
        )
        self._decoded_by_route_key = {
            (route.host, route.path_prefix): (table, route) for table, route in decoded
        }
        return config

    def _decode(self, table: Any) -> tuple[Any, Route]:
        route_key = (
            read_field(table, "host", str),
            read_field(table, "path_prefix", str),
        )
        decoded = self._decoded_by_route_key.get(route_key)
        if decoded is not None and decoded[0] == table:
            return decoded
        return table, _decode_route(table)


def find_config_errors(value: bytes) -> list[str]:
    """Return what keeps the value of a record from being a config, by path."""
    try:
        content = decode_json(value)
        errors = []
        for name, decode in _DECODE_BY_LIST.items():
            for number, table in enumerate(read_field(content, name, list, [])):
                try:
                    decode(table)
                except PlatformError as error:
                    errors.append(f"{name}.{number}.{error}")
        if not errors:
            ConfigDecoder().decode(value)
        return errors
    except PlatformError as error:
        return [str(error)]


def _decode_route(table: Any) -> Route:
    return Route(
        name=read_field(table, "name", str, ""),
        host=read_field(table, "host", str),
        path_prefix=read_field(table, "path_prefix", str),
        kind=_KIND_BY_NAME.get(read_field(table, "kind", str), CallKind.UNSAFE),
        services=_decode_route_services(table),
        timeout_s=read_seconds(table, "timeout_ms"),
        objective_s=read_seconds(table, "slo_ms"),
        priority=read_field(table, "priority", int, 0),
        max_attempts=max(1, read_field(table, "max_attempts", int, 1)),
        is_public=read_field(table, "public", bool, False),
        # Requests of such a route list the parts of their prompt in a header.
        has_prompt=read_field(table, "session_affinity", bool, False),
        is_resumable=read_field(table, "stream_resume", bool, False),
        pause_s=read_seconds(table, "gap_target_ms", 0),
    )


def _decode_route_services(table: Any) -> tuple[WeightedService, ...]:
    backends = read_field(table, "backends", list, None)
    if not backends:
        return (WeightedService(read_field(table, "service", str), 1.0),)
    return tuple(
        WeightedService(
            read_field(backend, "service", str),
            read_field(backend, "weight", (int, float), 1),
        )
        for backend in backends
    )


def _decode_services(tables: list) -> dict[str, ServiceLimits]:
    return {read_field(table, "name", str): _decode_service(table) for table in tables}


def _decode_service(table: Any) -> ServiceLimits:
    engine = read_field(table, "engine", dict, None) or {}
    return ServiceLimits(
        max_connections=read_field(table, "max_conns", int, _DEFAULT_MAX_CONNECTIONS),
        slots=read_field(engine, "capacity", int, 0),
        cache_tokens=read_field(engine, "kv_cache_tokens", int, 0),
        health_path=_decode_health_path(table),
        cold=_decode_cold_limits(table),
    )


def _decode_cold_limits(table: Any) -> ColdLimits:
    """Return what cold engines bear; figures that can't be used count as absent."""
    try:
        return ColdLimits(
            read_amount(table, "cold_s"), read_amount(table, "cold_per_s")
        )
    except PlatformError as error:
        log_event(Event.CONFIG_FIELD_IGNORED, reason=str(error))
        return ColdLimits()


def _decode_health_path(table: Any) -> str:
    """Return the path for health requests; one that can't be sent isn't used."""
    path = read_field(table, "health_path", str, DEFAULT_HEALTH_PATH)
    is_valid = path.startswith("/") and path.isascii() and path.isprintable()
    return path if is_valid and " " not in path else DEFAULT_HEALTH_PATH


def _decode_accounts(tables: list) -> dict[str, Account]:
    account_by_key = {}
    for table in tables:
        account = Account(
            read_field(table, "name", str), read_field(table, "priority", int, None)
        )
        for key in read_field(table, "api_keys", list, []):
            if key:  # An empty one would let through whoever sends none.
                account_by_key[key] = account
    return account_by_key


def _decode_limits(table: Any) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        read_field(table, "max_header_bytes", int, default.max_header_bytes),
        read_field(table, "max_body_bytes", int, default.max_body_bytes),
        read_seconds(table, "header_timeout_ms", default.header_timeout_s * 1000),
        read_seconds(table, "idle_timeout_ms", default.idle_timeout_s * 1000),
    )


_DECODE_BY_LIST = {
    "routes": _decode_route,
    "services": lambda table: _decode_services([table]),
    "tenants": lambda table: _decode_accounts([table]),
}
