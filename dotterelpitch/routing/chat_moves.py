"""The current engine of chats that aren't served by their first choice."""

from collections import OrderedDict

# Bounds the memory that one engine's map takes.
MAX_MOVES = 20_000


class ChatMoves:
    """Maps chats that have left this owner's engine to the engine they run on.

    A chat that found its first choice busy has its prefix cached elsewhere. For
    the chat's next request, the owner of the first choice is asked first, and
    redirects the request there. The map is bounded and not persisted: a chat that
    isn't in it goes to its first choice again, and misses its cached prefix once.

    >>> moves = ChatMoves(capacity=1)
    >>> moves.record_move("chat-1", "e2")
    >>> moves.record_move("chat-2", "e3")
    >>> moves.engine_of("chat-1"), moves.engine_of("chat-2")
    ('', 'e3')
    """

    def __init__(self, capacity: int = MAX_MOVES) -> None:
        self._capacity = capacity
        self._engine_by_chat: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._engine_by_chat)

    def record_move(self, chat: str, engine: str) -> None:
        """Record that ``engine`` holds the prefix of ``chat`` now.

        The chat that moved longest ago is evicted when the map is full.
        """
        self._engine_by_chat[chat] = engine
        self._engine_by_chat.move_to_end(chat)
        if len(self._engine_by_chat) > self._capacity:
            self._engine_by_chat.popitem(last=False)

    def record_return(self, chat: str) -> None:
        """Remove a chat that is served by its first choice again."""
        self._engine_by_chat.pop(chat, None)

    def engine_of(self, chat: str) -> str:
        """Return the engine that holds the chat's prefix, "" if unknown."""
        return self._engine_by_chat.get(chat, "")
