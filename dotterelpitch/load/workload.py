"""Seeded open-loop workload of chats with several turns."""

import random
from collections.abc import Iterator

import attrs

from dotterelpitch.load.settings import RunSettings

WORDS = ("amber", "cedar", "citrus", "fern", "iris", "lilac", "moss", "neroli", "pine")
MAX_CHAT_MESSAGES = 21


@attrs.define
class Chat:
    """A chat with all its messages so far; ``busy`` is true while a turn runs."""

    name: str
    messages: list[dict[str, str]] = attrs.field(factory=list)
    busy: bool = False


@attrs.frozen
class Turn:
    """One request, to be started ``at`` seconds after the start of the run.

    ``returning`` tells whether it continues a chat.
    """

    at: float
    chat: Chat
    returning: bool


class Workload:
    """Generates the turns of an open-loop workload: arrivals don't wait for answers.

    >>> settings = RunSettings(routers=(), model="m", seconds=1.0)
    >>> turns = list(Workload(settings).turns())
    """

    def __init__(self, settings: RunSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._idle: list[Chat] = []
        self._chat_count = 0

    def turns(self) -> Iterator[Turn]:
        """Yield the turns in order of time.

        A chat isn't continued while one of its turns runs.
        """
        at = self._random.expovariate(self._settings.rate)
        while at < self._settings.seconds:
            chat, returning = self._next_chat()
            chat.busy = True
            yield Turn(at, chat, returning)
            at += self._random.expovariate(self._settings.rate)

    def record_end(self, chat: Chat, text: str) -> None:
        """Add the answer to ``chat``, which may now have another turn."""
        chat.messages.append({"role": "assistant", "content": text})
        chat.busy = False
        if len(chat.messages) < MAX_CHAT_MESSAGES:
            self._idle.append(chat)

    def _next_chat(self) -> tuple[Chat, bool]:
        settings = self._settings
        if self._idle and self._random.random() < settings.returning:
            index = self._random.randrange(len(self._idle))
            chat = self._idle.pop(index)
            self._add_user_message(chat, settings.turn_words)
            return chat, True
        self._chat_count += 1
        chat = Chat(f"chat-{settings.seed}-{self._chat_count}")
        self._add_user_message(chat, settings.first_prompt_words)
        return chat, False

    def _add_user_message(self, chat: Chat, words: int) -> None:
        text = " ".join(self._random.choices(WORDS, k=words))
        chat.messages.append({"role": "user", "content": f"{chat.name} {text}"})
