"""Authenticates callers: finds the client account of a request by its key."""

import hashlib
import hmac

from dotterelpitch.documents.model import ClientAccount, ServiceDocument
from dotterelpitch.router.problems import CallerError

BEARER_PREFIX = "bearer "


def authenticate(document: ServiceDocument, authorization: str) -> ClientAccount:
    """Return the account whose key the ``Authorization`` header value carries.

    Key digests are compared in constant time, so that response times reveal nothing
    about them. Raises CallerError with status 401 when no account has the key.
    """
    if not authorization.lower().startswith(BEARER_PREFIX):
        raise _unauthorized("a bearer key is needed")
    key = authorization[len(BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
    found = None
    for account in document.client_accounts:
        if hmac.compare_digest(account.key_sha256.lower(), digest):
            found = account
    if found is None:
        raise _unauthorized("the key belongs to no client account of the service")
    return found


def _unauthorized(detail: str) -> CallerError:
    return CallerError(
        401, "Unauthorized", detail, extra_headers={"WWW-Authenticate": "Bearer"}
    )
