"""A caller's validated request, and the interface that writes its response."""

from abc import ABC, abstractmethod
from functools import cached_property

import xxhash
from attrs import define, field, frozen

from dotterelpitch.platform.headers import CallerHeaders, Headers
from dotterelpitch.routing.route_table import Account, Route, RoutingConfig

# A longer prompt part is named by its hash.
MAX_PART_CHARS = 64


@frozen
class Call:
    """A validated request with its route and client account.

    ``started`` and ``deadline`` are times of the monotonic clock, in seconds.
    ``deadline`` is the earlier of the caller's and the route's. ``account`` is None
    if the request needs no key, as on a public route.
    """

    method: str
    target: str
    host: str
    headers: CallerHeaders
    body: bytes
    config: RoutingConfig
    route: Route
    account: Account | None
    service: str
    started: float
    deadline: float

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the request's content, equal for a repeat with another request id."""
        digest = xxhash.xxh3_128(self.account_name.encode())
        digest.update(self.target.encode("utf-8", "surrogateescape"))
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def request_id(self) -> str:
        """The request id, which a caller sets for each of its attempts."""
        return self.headers.request_id

    @property
    def account_name(self) -> str:
        """The name of the client account; empty if the request needs none."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """The priority, 0 being the highest; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """The parts of the prompt, in order; empty for a request without a prompt."""
        return self.headers.prompt_parts if self.route.has_prompt else ()

    @cached_property
    def leading_parts(self) -> tuple[str, ...]:
        """The parts of the prompt but the last, which is specific to the request.

        A hash stands for a long part, since peers are told of parts.
        """
        return tuple(map(_shorten, self.prompt_parts[:-1]))

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """The prompt parts that other requests may share, in order.

        The last part is left out, unless it is the only one.
        """
        return self.leading_parts or self.prompt_parts


def _shorten(part: str) -> str:
    if len(part) <= MAX_PART_CHARS:
        return part
    return xxhash.xxh3_128_hexdigest(part.encode("utf-8", "surrogateescape"))


@define
class ResponseWriter(ABC):
    """Writes the response to one request.

    ``is_started`` is set when the head is sent; ``started_at`` is that time on the
    monotonic clock, in seconds.
    """

    is_started: bool = field(default=False, init=False)
    started_at: float = field(default=0.0, init=False)

    @abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is written in parts."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    @abstractmethod
    async def end(self) -> None:
        """Complete the body."""

    @abstractmethod
    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    def abort(self) -> None:
        """Reset the connection, so that the response can't be taken for complete."""
