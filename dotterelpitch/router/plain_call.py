"""Parses and validates callers' calls of plain services."""

import attrs
from aiohttp import web
from attrs import frozen

from dotterelpitch.documents.model import ClientAccount, Route, ServiceDocument
from dotterelpitch.documents.route_matching import match_route
from dotterelpitch.router.accounts import authenticate
from dotterelpitch.router.problems import CallerError, Outcome
from dotterelpitch.router.state import FleetView

FORWARDED_REQUEST_HEADERS = (
    "Content-Type",
    "Accept",
    "Accept-Language",
    "Idempotency-Key",
)
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


@frozen
class PlainCall:
    """A validated call of a plain service.

    ``path`` includes the query string, and ``headers`` are those that are forwarded
    to the endpoint.
    """

    request_id: str
    document: ServiceDocument
    route: Route
    account: ClientAccount
    method: str
    path: str
    headers: list[tuple[str, str]]
    idempotency_key: str
    body: bytes


def parse_plain_call(
    request_id: str, request: web.Request, body: bytes, view: FleetView
) -> PlainCall:
    """Return the validated request.

    Raises CallerError when the service or route is unknown, when the caller isn't
    authorized, or when a non-idempotent call has no idempotency key.
    """
    document = view.document_by_service.get(request.match_info["service"])
    if document is None:
        raise CallerError(404, "Unknown service")
    account = authenticate(document, request.headers.get("Authorization", ""))
    path = "/" + request.match_info["path"]
    route = match_route(document, request.method, path)
    if route is None:
        raise CallerError(404, "No route", f"{request.method} {path}")
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if not route.idempotent and not key:
        raise CallerError(400, "Bad request", f"{IDEMPOTENCY_KEY_HEADER}: is needed")
    query = f"?{request.query_string}" if request.query_string else ""
    headers = [
        (name, request.headers[name])
        for name in FORWARDED_REQUEST_HEADERS
        if name in request.headers
    ]
    return PlainCall(
        request_id,
        document,
        route,
        account,
        request.method,
        path + query,
        headers,
        key,
        body,
    )


def with_provable_outcome(request: web.Request, problem: CallerError) -> CallerError:
    """Return ``problem`` with the outcome that is certain without the key's owner.

    A call with an idempotency key may repeat one that ran through another router,
    so that its outcome is unknown.
    """
    if IDEMPOTENCY_KEY_HEADER not in request.headers:
        return problem
    return attrs.evolve(problem, outcome=Outcome.UNKNOWN)
