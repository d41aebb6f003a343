"""Encodes HTTP/1.1 requests, with the request target exactly as received."""

from dotterelpitch.errors import DotterelpitchError

CRLF = "\r\n"
_NEEDS_LENGTH = frozenset({"POST", "PUT", "PATCH"})


class BadHeaderError(DotterelpitchError):
    """The request line or a header would change the framing of the request."""


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of a request, with a Content-Length header if it needs one.

    Raises BadHeaderError if the method, the target, or a header contains a line
    break or a NUL.

    >>> encode_request("GET", "/a//b?", [("Host", "h")], b"")
    b'GET /a//b? HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n'
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in _NEEDS_LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if "\r" in line or "\n" in line or "\0" in line:
            raise BadHeaderError(
                "the request line or a header contains a line break or a NUL"
            )
    head = CRLF.join(lines) + CRLF + CRLF
    return head.encode("utf-8", "surrogateescape") + body
