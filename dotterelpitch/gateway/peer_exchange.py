"""The interface of what gateways tell one another on their links."""

from abc import ABC, abstractmethod
from typing import ClassVar, Generic, TypeVar

from dotterelpitch.gateway.link import Link

MessageT = TypeVar("MessageT")


class PeerExchange(ABC, Generic[MessageT]):
    """One kind of knowledge that gateways share, in messages of one type.

    ``message_type`` is that type, and ``link_version`` the first link version whose
    gateways understand it; earlier ones aren't told.

    A further kind is one subclass, and one entry in the list that ``PeerLinks`` gets.
    """

    message_type: ClassVar[type]
    link_version: ClassVar[int] = 0

    def message_for(self, link: Link) -> MessageT | None:
        """Return the message to send now, or None; earlier peers get none."""
        if link.peer.link_version < self.link_version:
            return None
        return self.make(link)

    @abstractmethod
    def make(self, link: Link) -> MessageT | None:
        """Return what a peer must be told now, and mark it as sent; None if nothing."""

    @abstractmethod
    def apply(self, link: Link, message: MessageT) -> None:
        """Apply what a peer has told."""
