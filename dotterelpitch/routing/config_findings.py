"""What is wrong with a valid config, and what it changes of the one in force.

A kind of finding is one class and one entry of ``FINDING_KINDS``.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from typing import ClassVar

import attrs
from attrs import frozen

from dotterelpitch.routing.route_table import CallKind, Route, RoutingConfig


@frozen
class Finding:
    """One finding: its kind, where it is in the config, and what it means."""

    kind: str
    where: str
    text: str


class FindingKind(ABC):
    """A kind of finding: an entry without effect, or limits that contradict."""

    name: ClassVar[str]

    @abstractmethod
    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        """Yield all findings of this kind."""

    def finding(self, where: str, text: str) -> Finding:
        """Return a finding of this kind."""
        return Finding(self.name, where, text)


class HiddenRoute(FindingKind):
    """A route after which another one has the same host and prefix."""

    name = "hidden-route"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        last_by_key = {_route_key(route): route for route in config.routes}
        for number, route in enumerate(config.routes):
            if last_by_key[_route_key(route)] is not route:
                text = "a later route has the same host and prefix"
                yield self.finding(_route_name(number, route), text)


class UnreachableRoute(FindingKind):
    """A route whose host or prefix no request can have."""

    name = "unreachable-route"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for number, route in enumerate(config.routes):
            prefix = route.path_prefix
            if not (prefix.startswith("/") and prefix.endswith("/")):
                text = f"the prefix {prefix!r} doesn't begin and end with a slash"
                yield self.finding(_route_name(number, route), text)
            if ":" in route.host or not route.host:
                text = f"no request has the host {route.host!r}; ports are left out"
                yield self.finding(_route_name(number, route), text)


class UnknownService(FindingKind):
    """A route to a service that the config doesn't list."""

    name = "unknown-service"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for number, route in enumerate(config.routes):
            for weighted in route.services:
                if weighted.service not in config.service_by_name:
                    text = f"the service {weighted.service!r} isn't listed"
                    yield self.finding(_route_name(number, route), text)


class UnusedService(FindingKind):
    """A service that gets no request."""

    name = "unused-service"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        used = {
            weighted.service
            for route in config.routes
            for weighted in route.services
            if weighted.weight > 0
        }
        for name in config.service_by_name.keys() - used:
            yield self.finding(f"service {name}", "no route sends it anything")


class ClosedRoutes(FindingKind):
    """Routes that need a key, or should, in a config without any."""

    name = "no-keys"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        is_closed = any(not route.is_public for route in config.routes)
        if is_closed and not config.account_by_key:
            effect = "refuse all callers" if config.needs_key else "are public"
            yield self.finding("tenants", f"without any key, all routes {effect}")


class NoWeight(FindingKind):
    """A route between services of which none has a weight."""

    name = "no-weight"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for number, route in enumerate(config.routes):
            if sum(weighted.weight for weighted in route.services) <= 0:
                text = "the weights of its services sum up to 0"
                yield self.finding(_route_name(number, route), text)


class ObjectiveOverTimeout(FindingKind):
    """A route that ends its requests before they can be late."""

    name = "objective-over-timeout"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for number, route in enumerate(config.routes):
            if route.timeout_s <= 0:
                text = "the timeout is 0: every request is refused"
                yield self.finding(_route_name(number, route), text)
            elif route.objective_s > route.timeout_s:
                text = (
                    f"the objective of {route.objective_s:g} s is above the timeout "
                    f"of {route.timeout_s:g} s"
                )
                yield self.finding(_route_name(number, route), text)


class UselessResumption(FindingKind):
    """A resumable route that can't be resumed."""

    name = "useless-resumption"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for number, route in enumerate(config.routes):
            if not route.is_resumable:
                continue
            if route.kind is not CallKind.STREAM:
                text = "it is resumable, but no stream"
                yield self.finding(_route_name(number, route), text)
            elif route.max_attempts < 2:
                text = "it is resumable, but has one attempt only"
                yield self.finding(_route_name(number, route), text)


class ColdWithoutRate(FindingKind):
    """A service whose cold engines are to get nothing."""

    name = "cold-without-rate"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for name, service in config.service_by_name.items():
            if service.cold.seconds > 0 and service.cold.per_second <= 0:
                text = "its engines are cold for a while, but bear no request then"
                yield self.finding(f"service {name}", text)


class NoConnections(FindingKind):
    """A service whose engines accept no connection."""

    name = "no-connections"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        for name, service in config.service_by_name.items():
            if service.max_connections <= 0:
                yield self.finding(f"service {name}", "it allows no connection")


class IdleUnderHead(FindingKind):
    """Connections that are closed as idle while a head may still come."""

    name = "idle-under-head"

    def find(self, config: RoutingConfig) -> Iterator[Finding]:
        limits = config.limits
        if limits.idle_timeout_s < limits.header_timeout_s:
            text = (
                f"connections may be idle for {limits.idle_timeout_s:g} s, but heads "
                f"may take {limits.header_timeout_s:g} s"
            )
            yield self.finding("limits", text)


FINDING_KINDS: tuple[FindingKind, ...] = (
    HiddenRoute(),
    UnreachableRoute(),
    UnknownService(),
    UnusedService(),
    ClosedRoutes(),
    NoWeight(),
    ObjectiveOverTimeout(),
    UselessResumption(),
    ColdWithoutRate(),
    NoConnections(),
    IdleUnderHead(),
)


def find_all(config: RoutingConfig) -> list[Finding]:
    """Return all findings of a config."""
    return [finding for kind in FINDING_KINDS for finding in kind.find(config)]


@frozen
class ConfigChange:
    """A difference to the config in force, and what it does to requests."""

    where: str
    text: str
    effect: str


def compare(before: RoutingConfig, after: RoutingConfig) -> list[ConfigChange]:
    """Return what ``after`` changes of ``before``, the config in force."""
    return [
        *_version_changes(before, after),
        *_route_changes(before, after),
        *_key_changes(before, after),
        *_service_changes(before, after),
        *_limit_changes(before, after),
    ]


def _version_changes(
    before: RoutingConfig, after: RoutingConfig
) -> Iterator[ConfigChange]:
    if after.version <= before.version:
        text = f"{after.version} isn't above {before.version}"
        yield ConfigChange("version", text, "it is ignored by every VM")


def _route_changes(
    before: RoutingConfig, after: RoutingConfig
) -> Iterator[ConfigChange]:
    old_by_key = {_route_key(route): route for route in before.routes}
    new_by_key = {_route_key(route): route for route in after.routes}
    for key, old in old_by_key.items():
        where = f"route {old.host}{old.path_prefix}"
        new = new_by_key.get(key)
        if new is None:
            effect = "new requests get 404; those under way complete"
            yield ConfigChange(where, "removed", effect)
        elif old.services != new.services:
            text = f"{_services(old)} becomes {_services(new)}"
            effect = "new requests go there; those under way stay"
            yield ConfigChange(where, text, effect)
        if new is not None:
            yield from _field_changes(where, old, new, {"services", "name"})
    for key, new in new_by_key.items():
        if key not in old_by_key:
            where = f"route {new.host}{new.path_prefix}"
            yield ConfigChange(where, f"added, to {_services(new)}", "served")


def _key_changes(before: RoutingConfig, after: RoutingConfig) -> Iterator[ConfigChange]:
    """Yield how many keys each account has gained and lost, without naming them."""
    old, new = before.account_by_key, after.account_by_key
    lost = Counter(account.name for key, account in old.items() if key not in new)
    gained = Counter(account.name for key, account in new.items() if key not in old)
    moved = Counter(
        account.name
        for key, account in old.items()
        if key in new and new[key].name != account.name
    )
    for counts, text, effect in (
        (lost, "keys taken away", "new requests with them get 401"),
        (gained, "keys added", "served"),
        (moved, "keys given to another account", "counted as that account's"),
    ):
        for name, count in sorted(counts.items()):
            yield ConfigChange(f"account {name}", f"{count} {text}", effect)


def _service_changes(
    before: RoutingConfig, after: RoutingConfig
) -> Iterator[ConfigChange]:
    for name, old in before.service_by_name.items():
        new = after.service_by_name.get(name)
        if new is None:
            effect = "its engines have the default limits"
            yield ConfigChange(f"service {name}", "removed", effect)
        else:
            yield from _field_changes(f"service {name}", old, new)
    for name in after.service_by_name.keys() - before.service_by_name.keys():
        yield ConfigChange(f"service {name}", "added", "")


def _limit_changes(
    before: RoutingConfig, after: RoutingConfig
) -> Iterator[ConfigChange]:
    yield from _field_changes("limits", before.limits, after.limits)


def _field_changes(
    where: str, old: object, new: object, excluded: set[str] = frozenset()
) -> Iterator[ConfigChange]:
    for field in attrs.fields(type(old)):
        values = getattr(old, field.name), getattr(new, field.name)
        if field.name not in excluded and values[0] != values[1]:
            text = f"{field.name}: {values[0]} becomes {values[1]}"
            yield ConfigChange(where, text, "for new requests")


def _route_key(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _route_name(number: int, route: Route) -> str:
    return f"routes.{number} {route.host}{route.path_prefix}"


def _services(route: Route) -> str:
    return ", ".join(f"{s.service} ({s.weight:g})" for s in route.services)
