"""One request of a caller on its way to an engine, and how it is answered."""

from abc import ABC, abstractmethod
from functools import cached_property

import xxhash
from attrs import define, field, frozen

from dotterelpitch.platform.headers import CallerHeaders, Headers
from dotterelpitch.routing.route_table import Account, Route, RoutingConfig


@frozen
class Call:
    """A checked request; times are of the monotonic clock, in seconds.

    ``deadline`` is the earlier of the caller's own and that of the route.
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
        """What tells a request that comes again under another id."""
        digest = xxhash.xxh3_128(self.account_name.encode())
        digest.update(self.target.encode("utf-8", "surrogateescape"))
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def request_id(self) -> str:
        """The caller's id of this attempt of its own."""
        return self.headers.request_id

    @property
    def account_name(self) -> str:
        """The name of the client account, or nothing on a public route."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """How urgent the request is, 0 first; the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """The prompt parts that other requests share, in order.

        The last part of all belongs to the request alone.
        """
        parts = self.headers.prompt_parts if self.route.has_prompt else ()
        return parts[:-1] or parts


@define
class ResponseWriter(ABC):
    """Gives one caller its answer.

    ``is_started`` once a byte of it has left; ``started_at`` is then the time.
    """

    is_started: bool = field(default=False, init=False)
    started_at: float = field(default=0.0, init=False)

    @abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    @abstractmethod
    async def end(self) -> None:
        """End the body properly."""

    @abstractmethod
    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def abort(self) -> None:
        """Reset the caller's connection, so that the answer can't look complete."""
