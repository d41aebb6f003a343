"""Which engines to try for a chat, in which order."""

from collections.abc import Collection, Iterable, Mapping

import xxhash
from attrs import frozen

from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.placement.plan import desired_placement, has_placed_models
from dotterelpitch.routing.ranking import RankTable

DEFAULT_TRIES = 8


@frozen
class Candidates:
    """The engines to try for one request, the best first.

    ``fell_back`` tells that every engine was under suspicion, so that the
    order is that of the last good view.
    """

    names: list[str]
    fell_back: bool = False


class CandidateTable:
    """The rendezvous order over the engines of one document.

    Engines that are leaving are never candidates, also when nothing else is
    left. Suspected engines are passed over, unless all are suspected: a
    router that sees every engine dead is more likely cut off itself.

    An engine in slow start has a share below 1 in ``share_by_engine``. It
    gets back that share of its chats, always the same ones at every router.

    >>> engines = [Endpoint(f"e{n}", "127.0.0.1:1", "fd-a") for n in range(3)]
    >>> table = CandidateTable(engines)
    >>> first, *others = table.order("chat-7").names
    >>> table.order("chat-7", suspects={first}).names == others
    True
    """

    def __init__(
        self, engines: Iterable[Endpoint], leaving: Collection[str] = ()
    ) -> None:
        self.engine_by_name = {
            e.name: e for e in engines if e.vm_name not in set(leaving)
        }
        weights = {e.name: e.concurrency for e in self.engine_by_name.values()}
        self._table = RankTable(weights)

    @classmethod
    def from_document(
        cls, document: ServiceDocument, leaving: Collection[str] = ()
    ) -> "CandidateTable":
        """Return the table of a document's engines."""
        return cls(document.engines(), leaving)

    def order(
        self,
        chat: str,
        limit: int = DEFAULT_TRIES,
        suspects: Collection[str] = (),
        share_by_engine: Mapping[str, float] | None = None,
    ) -> Candidates:
        """Return the engines to try for ``chat``."""
        shares = share_by_engine or {}
        hidden = len(suspects) + len(shares)
        names = self._table.order(chat, limit + min(hidden, limit))
        usable = _usable(chat, names, suspects, shares)
        if len(usable) < limit and len(names) < len(self.engine_by_name):
            names = self._table.order(chat, len(self.engine_by_name))
            usable = _usable(chat, names, suspects, shares)
        if usable:
            return Candidates(usable[:limit])
        return Candidates(names[:limit], fell_back=bool(names))


def tables_by_model(
    document: ServiceDocument, table: CandidateTable
) -> dict[str, CandidateTable]:
    """Return a table for each model that has wanted replicas.

    It has the engines that shall hold the model; those of ``table`` are live.
    """
    if not has_placed_models(document):
        return {}
    engine_by_name = table.engine_by_name
    placement = desired_placement(document, engine_by_name.keys())
    return {
        model: CandidateTable([engine_by_name[name] for name in sorted(names)])
        for model, names in placement.engines_by_model.items()
        if names
    }


def _usable(
    chat: str,
    names: list[str],
    suspects: Collection[str],
    shares: Mapping[str, float],
) -> list[str]:
    if not suspects and not shares:
        return names
    first, later = [], []
    for name in names:
        if name in suspects:
            continue
        returning = name not in shares or _unit(chat, name) < shares[name]
        (first if returning else later).append(name)
    return first + later


def _unit(chat: str, engine: str) -> float:
    """Return a number in [0, 1) that is fixed for the chat and the engine."""
    return xxhash.xxh32_intdigest(f"{engine}\x00{chat}".encode()) / 2**32


if __name__ == "__main__":
    demo = [Endpoint(f"engine-{n}", "127.0.0.1:1", "fd-a") for n in range(5)]
    print(CandidateTable(demo).order("chat-7"))
    print(CandidateTable(demo, leaving={"engine-2"}).order("chat-7"))
