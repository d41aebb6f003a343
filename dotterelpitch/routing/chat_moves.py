"""Remembers which chats are served away from their first choice of engine."""

from collections import OrderedDict

MAX_MOVES = 20_000


class ChatMoves:
    """The engine by chat, for chats that left the engine of this owner.

    A chat that found its first choice busy has its prefix elsewhere. The
    owner of the first choice, which every return asks first, points there.
    The memory is bounded and lost with its process: a chat that isn't in it
    goes to its first choice again, and misses its prefix once.

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
        """Remember that ``engine`` has the prefix of ``chat`` now."""
        self._engine_by_chat[chat] = engine
        self._engine_by_chat.move_to_end(chat)
        if len(self._engine_by_chat) > self._capacity:
            self._engine_by_chat.popitem(last=False)

    def record_return(self, chat: str) -> None:
        """Forget a chat that is served at its first choice again."""
        self._engine_by_chat.pop(chat, None)

    def engine_of(self, chat: str) -> str:
        """Return the engine that has the chat's prefix, "" when not known."""
        return self._engine_by_chat.get(chat, "")
