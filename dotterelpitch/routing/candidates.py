"""The engines to try for a chat, in rendezvous order."""

from collections.abc import Collection, Iterable, Mapping

import xxhash
from attrs import frozen

from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.placement.plan import desired_placement, has_placed_models
from dotterelpitch.routing.ranking import RankTable

DEFAULT_CANDIDATE_LIMIT = 8


@frozen
class Candidates:
    """The names of the engines to try for one request, best first.

    ``fell_back`` means that all engines were suspects, so that the order
    ignores suspicion.
    """

    names: list[str]
    fell_back: bool = False


class CandidateTable:
    """Ranks the engines of one service document by rendezvous hashing.

    ``leaving`` holds the names of the VMs that are leaving. Their engines are
    never candidates, even if no other is left. Suspects are skipped unless all
    engines are suspects: a router that can reach no engine is more likely to be
    cut off itself.

    An engine in slow start has a share below 1 in ``share_by_engine``. It is
    ranked normally for that share of its chats, the same ones at every router,
    and last for the others.

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
        """Return the table of the engines in ``document``."""
        return cls(document.engines(), leaving)

    def order(
        self,
        chat: str,
        limit: int = DEFAULT_CANDIDATE_LIMIT,
        suspects: Collection[str] = (),
        share_by_engine: Mapping[str, float] | None = None,
    ) -> Candidates:
        """Return up to ``limit`` engines to try for ``chat``, best first."""
        shares = share_by_engine or {}
        restricted = len(suspects) + len(shares)
        names = self._table.order(chat, limit + min(restricted, limit))
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
    """Return a table by model, for the models that have wanted replicas.

    Each table holds the engines that should serve the model according to the
    placement plan, which is computed over the live engines of ``table``.
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
    first, last = [], []
    for name in names:
        if name in suspects:
            continue
        preferred = name not in shares or _unit_hash(chat, name) < shares[name]
        (first if preferred else last).append(name)
    return first + last


def _unit_hash(chat: str, engine: str) -> float:
    """Return a hash of the chat and the engine, scaled to [0, 1)."""
    return xxhash.xxh32_intdigest(f"{engine}\x00{chat}".encode()) / 2**32


if __name__ == "__main__":
    demo = [Endpoint(f"engine-{n}", "127.0.0.1:1", "fd-a") for n in range(5)]
    print(CandidateTable(demo).order("chat-7"))
    print(CandidateTable(demo, leaving={"engine-2"}).order("chat-7"))
