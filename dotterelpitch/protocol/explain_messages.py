"""The messages that query a past routing decision."""

from attrs import field

from dotterelpitch.protocol.codec import message
from dotterelpitch.routing.decisions import Decision


@message(60)
class ExplainRequest:
    """Requests a router's decisions about the request with this id."""

    request_id: str


@message(61)
class Explanation:
    """The decisions, empty when the router has no record of the request."""

    decisions: list[Decision] = field(factory=list)
