"""The state of one call over all of its attempts at engines."""

from typing import TYPE_CHECKING

from attrs import define, field

from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.routing.engine_choice import EngineChoice

if TYPE_CHECKING:
    from dotterelpitch.gateway.attempt import OpenAttempt


@define
class CallProgress:
    """State of one call over all of its attempts.

    ``tried_ids`` are the engines of all attempts. ``failed_ids`` are those that
    answered with an error, and ``failed_result`` is the last such answer.
    ``left_ids`` are those that were left because they were silent.
    ``unreachable_domains`` are failure domains in which an engine was unreachable.
    ``sent_count`` and ``unsent_count`` count the attempts whose request was and was
    not sent; ``rejected_count`` are those of the former that were rejected.
    ``may_have_run`` is whether an engine may have run the request.
    ``version`` is the engine version that has begun the stream, or None before that.
    ``may_use_peers`` is whether the call may be forwarded to a peer; ``asked_vms`` are
    the peers that it was offered to. ``no_retry_reason`` is why no attempt follows the
    last one; empty before that is known.

    While an attempt is in progress, ``is_retry_reserved`` is whether the next one has
    been charged already, ``next_choice`` the engine that was chosen for it, and
    ``open_attempt`` that attempt, if its request has been sent. ``is_bound_to_attempt``
    is whether the rules have forbidden to leave the attempt for its silence.
    """

    events: EventStreamFilter
    tried_ids: list[str] = field(factory=list)
    failed_ids: list[str] = field(factory=list)
    left_ids: list[str] = field(factory=list)
    unreachable_domains: set[str] = field(factory=set)
    failed_result: AttemptResult | None = None
    sent_count: int = 0
    unsent_count: int = 0
    rejected_count: int = 0
    may_have_run: bool = False
    version: str | None = None
    may_use_peers: bool = True
    asked_vms: list[str] = field(factory=list)
    is_delivered: bool = False
    last_result: AttemptResult | None = None
    no_retry_reason: str = ""
    is_retry_reserved: bool = False
    is_bound_to_attempt: bool = False
    next_choice: EngineChoice | None = None
    open_attempt: "OpenAttempt | None" = None

    @property
    def has_events(self) -> bool:
        """Whether the caller has events of the stream, also from earlier requests."""
        return bool(self.events.last_id)

    def take_next_choice(self) -> EngineChoice | None:
        """Return the engine that was chosen for the next attempt, once."""
        choice, self.next_choice = self.next_choice, None
        return choice

    def take_open_attempt(self) -> "OpenAttempt | None":
        """Return the next attempt if its request has been sent, once."""
        opened, self.open_attempt = self.open_attempt, None
        return opened
