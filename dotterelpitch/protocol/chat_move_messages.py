"""The messages that track chats served by another engine than their first choice."""

from dotterelpitch.protocol.codec import message


@message(55)
class ChatAt:
    """Reply of an admission owner: ``engine`` has the prefix of the chat."""

    engine: str


@message(56)
class ChatMoved:
    """Notifies the owner of ``home`` that ``engine`` now serves the chat.

    There is no reply.
    """

    service: str
    chat: str
    home: str
    engine: str
