"""The size of a fleet and its initial service document."""

import hashlib
from collections.abc import Iterable
from typing import Any

import attrs

from dotterelpitch.documents.model import (
    ClientAccount,
    Endpoint,
    EndpointKind,
    Model,
    Route,
    ServiceDocument,
)
from tests.harness.members import FleetEndpoint

ACCOUNT_KEY = "account-key"
SERVICE = "scents"
MODEL = "m"
PLAIN_ROUTES = [
    Route("GET", "/boxes/*"),
    Route("POST", "/swaps/*", idempotent=False),
]


@attrs.frozen
class FleetShape:
    """The size of a fleet and the settings of its processes.

    ``*_flags`` are command-line flags by name; ``*_changes`` replace fields of the
    initial document and its endpoints. If ``proxied`` is False, the published
    addresses bypass the fault proxies.
    """

    domains: int = 1
    vms_per_domain: int = 2
    engines_per_domain: int = 1
    extra_engines: int = 0
    plains_per_domain: int = 1
    engine_flags: dict[str, Any] = attrs.field(factory=dict)
    plain_flags: dict[str, Any] = attrs.field(factory=dict)
    agent_flags: dict[str, Any] = attrs.field(factory=dict)
    router_flags: dict[str, Any] = attrs.field(factory=dict)
    document_changes: dict[str, Any] = attrs.field(factory=dict)
    endpoint_changes: dict[str, Any] = attrs.field(factory=dict)
    proxied: bool = True


def first_document(
    shape: FleetShape, members: Iterable[FleetEndpoint]
) -> ServiceDocument:
    """Return the initial document with ``members`` as endpoints."""
    endpoints = [
        Endpoint(
            name=member.name,
            address=member.proxy.address if shape.proxied else member.address,
            failure_domain=member.domain,
            kind=EndpointKind(member.kind),
            **shape.endpoint_changes,
        )
        for member in members
    ]
    digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
    document = ServiceDocument(
        service=SERVICE,
        endpoints=endpoints,
        models=[Model(MODEL)],
        client_accounts=[ClientAccount("packers", digest)],
        routes=PLAIN_ROUTES if shape.plains_per_domain else [],
    )
    return attrs.evolve(document, **shape.document_changes)
