"""Computes the desired placement, a pure function of document and live engines.

Every placer with the same document and the same live engines computes the same
placement. Rendezvous hashing keeps the placements of two placers with slightly
different views close: an engine that only one of them considers live moves its
own replicas and few others.
"""

from collections import Counter, deque
from collections.abc import Set
from functools import cached_property

from attrs import frozen

from dotterelpitch.documents.model import Endpoint, Model, ServiceDocument
from dotterelpitch.hashing import rank
from dotterelpitch.placement.model import EngineOrder, ModelCopy


@frozen(slots=False)
class Placement:
    """The desired state of every live engine of one service.

    ``unplaced_models`` have ``replicas`` 0 in the document. They are not placed
    and stay wherever they are loaded.
    """

    service: str
    revision: int
    order_by_engine: dict[str, EngineOrder]
    copy_by_model: dict[str, ModelCopy]
    unplaced_models: frozenset[str]

    @cached_property
    def engines_by_model(self) -> dict[str, frozenset[str]]:
        """The names of the engines that should serve each placed model."""
        return {
            model: frozenset(
                engine
                for engine, order in self.order_by_engine.items()
                if copy in order.copies
            )
            for model, copy in self.copy_by_model.items()
        }


def has_placed_models(document: ServiceDocument) -> bool:
    """Return whether the document sets a number of replicas for any model."""
    return any(model.replicas > 0 for model in document.models)


def desired_placement(document: ServiceDocument, live: Set[str]) -> Placement:
    """Return the placement of ``document`` on its engines named in ``live``."""
    engines = [e for e in document.engines() if e.name in live]
    placed = [model for model in document.models if model.replicas > 0]
    copy_by_model = {m.name: _copy_of(m) for m in placed}
    copies_by_engine: dict[str, set[ModelCopy]] = {e.name: set() for e in engines}
    for model in sorted(placed, key=lambda model: model.name):
        for name in _choose_engines(document.service, model, engines, copies_by_engine):
            copies_by_engine[name].add(copy_by_model[model.name])
    orders = {
        e.name: EngineOrder(
            document.service,
            e.name,
            document.revision,
            frozenset(copies_by_engine[e.name]),
            e.role,
        )
        for e in engines
    }
    unplaced = frozenset(m.name for m in document.models if m.replicas == 0)
    return Placement(
        document.service, document.revision, orders, copy_by_model, unplaced
    )


def engines_serving(
    document: ServiceDocument, model: str, live: Set[str]
) -> frozenset[str]:
    """Return the names of the engines that should serve ``model``.

    If the model isn't placed, these are all engines in ``live``.
    """
    engines = desired_placement(document, live).engines_by_model.get(model)
    return frozenset(live) if engines is None else engines


def _copy_of(model: Model) -> ModelCopy:
    return ModelCopy(model.name, model.version, frozenset(model.adapters))


def _choose_engines(
    service: str,
    model: Model,
    engines: list[Endpoint],
    copies_by_engine: dict[str, set[ModelCopy]],
) -> list[str]:
    """Return the engines with the fewest models, spread over failure domains.

    Rendezvous rank decides within a domain, and between domains with the same
    number of chosen engines.
    """
    domain_by_engine = {e.name: e.failure_domain for e in engines}
    ranked = rank(f"place:{service}/{model.name}", domain_by_engine)
    queues_by_copies: dict[int, dict[str, deque[tuple[int, str]]]] = {}
    for position, name in enumerate(ranked):
        queue_by_domain = queues_by_copies.setdefault(len(copies_by_engine[name]), {})
        queue = queue_by_domain.setdefault(domain_by_engine[name], deque())
        queue.append((position, name))
    chosen: list[str] = []
    used: Counter[str] = Counter()
    for _, queue_by_domain in sorted(queues_by_copies.items()):
        while queue_by_domain and len(chosen) < model.replicas:
            domain = min(
                queue_by_domain, key=lambda d: (used[d], queue_by_domain[d][0])
            )
            queue = queue_by_domain[domain]
            chosen.append(queue.popleft()[1])
            used[domain] += 1
            if not queue:
                del queue_by_domain[domain]
    return chosen


if __name__ == "__main__":
    _document = ServiceDocument(
        "demo",
        endpoints=[Endpoint(f"e{n}", f"10.0.0.{n}:80", f"d{n % 3}") for n in range(6)],
        models=[Model("long-drafts", replicas=4), Model("labels", replicas=2)],
    )
    for _live in ({f"e{n}" for n in range(6)}, {f"e{n}" for n in range(5)}):
        for _model, _names in desired_placement(
            _document, _live
        ).engines_by_model.items():
            print(f"{len(_live)} engines, {_model}: {sorted(_names)}")
