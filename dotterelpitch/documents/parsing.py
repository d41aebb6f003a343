"""Parses service documents from JSON or YAML and reports every invalid field."""

import json
from typing import Any

import attrs
import cattrs
import yaml

from dotterelpitch.documents.checks import check_document
from dotterelpitch.documents.model import ServiceDocument
from dotterelpitch.documents.structuring import describe_errors, make_converter
from dotterelpitch.errors import DocumentError

MAX_DOCUMENT_BYTES = 1_000_000

_YamlLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_converter = make_converter()


def parse_document(text: str | bytes, accept_yaml: bool = False) -> ServiceDocument:
    """Return the document in ``text``, validated.

    The platform serves JSON; ``accept_yaml`` is for files written by hand.
    Raises DocumentError with one line per invalid field, such as
    ``$.endpoints[2].address: must be IP:port``.
    """
    data = text.encode() if isinstance(text, str) else text
    if len(data) > MAX_DOCUMENT_BYTES:
        raise DocumentError([f"$: larger than {MAX_DOCUMENT_BYTES} bytes"])
    return document_from_mapping(_load(data, accept_yaml))


def document_from_mapping(raw: Any) -> ServiceDocument:
    """Return the document in ``raw``, validated.

    ``raw`` is decoded JSON or YAML. Raises DocumentError if it is invalid.
    """
    try:
        document = _converter.structure(raw, ServiceDocument)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise DocumentError(describe_errors(error)) from error
    if problems := check_document(document):
        raise DocumentError(problems)
    return document


def document_to_json(document: ServiceDocument) -> str:
    """Return ``document`` as one line of JSON."""
    return json.dumps(_converter.unstructure(document), sort_keys=True)


def with_revision(document: ServiceDocument, revision: int) -> ServiceDocument:
    """Return a copy of ``document`` with the ``revision`` that the platform gave it."""
    return attrs.evolve(document, revision=revision)


def _load(data: bytes, accept_yaml: bool) -> Any:
    try:
        return json.loads(
            data,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise DocumentError(["$: nested too deeply"]) from None
    except ValueError as error:
        if not accept_yaml:
            raise DocumentError([f"$: not JSON: {error}"]) from error
    try:
        return yaml.load(data, Loader=_YamlLoader)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        reason = " ".join(str(error).split())
        raise DocumentError([f"$: neither JSON nor YAML: {reason}"]) from error


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value_by_key = dict(pairs)
    if len(value_by_key) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicates = sorted({key for key in keys if keys.count(key) > 1})
        raise DocumentError([f"$: duplicate key {key!r}" for key in duplicates])
    return value_by_key


def _reject_constant(name: str) -> Any:
    raise DocumentError([f"$: {name} is not a number in JSON"])
