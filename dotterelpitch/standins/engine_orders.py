"""Orders that change the models, adapters, and role of the engine stand-in."""

import asyncio
from typing import Any

import attrs

from dotterelpitch.standins.engine_model import EngineSettings

ALL_MODELS = "*"


@attrs.frozen
class Order:
    """An order for a single change; ``action`` is load, unload, or role."""

    fencing: int
    action: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@attrs.frozen
class LoadedModel:
    """A model with its adapters, as named in absolute orders and reports."""

    name: str
    version: str = ""
    adapters: list[str] = attrs.field(factory=list)

    def parts(self) -> set[Order]:
        """Return the parts to load: the model itself, and each adapter."""
        names = ("", *self.adapters)
        return {Order(0, "load", self.name, self.version, a) for a in names}


@attrs.frozen
class AbsoluteOrder:
    """An order that sets the complete desired state of the engine."""

    fencing: int
    models: list[LoadedModel]
    role: str = "both"


class OrderHandler:
    """Applies orders and holds the loaded models, adapters, and the role.

    With the setting ``checks_fencing``, an order is refused if its fencing number
    is below the highest one seen.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self.highest_fencing = 0
        self.role = "both"
        self.accepted: list[Order] = []
        self.absolute: list[AbsoluteOrder] = []
        self.refused = 0
        self._loaded = {
            Order(0, "load", model=name) for name in settings.models or (ALL_MODELS,)
        }

    def serves(self, model: str) -> bool:
        """Return whether ``model`` is loaded."""
        return any(order.model in (model, ALL_MODELS) for order in self._loaded)

    def loaded_parts(self) -> list[dict[str, Any]]:
        """Return the model, version, and adapter of each loaded part."""
        wanted = ("model", "version", "adapter")
        return [{name: getattr(o, name) for name in wanted} for o in self._loaded]

    def loaded_models(self) -> list[dict[str, Any]]:
        """Return the loaded models in the form of an absolute order."""
        adapters_by_model: dict[tuple[str, str], list[str]] = {}
        for part in sorted(self._loaded, key=lambda part: part.adapter):
            adapters = adapters_by_model.setdefault((part.model, part.version), [])
            adapters += [part.adapter] if part.adapter else []
        return [
            {"name": name, "version": version, "adapters": adapters}
            for (name, version), adapters in adapters_by_model.items()
        ]

    async def apply_absolute(self, order: AbsoluteOrder) -> bool:
        """Unload parts that aren't named, then load missing ones one by one.

        Each part takes ``load_seconds``. A later order stops an earlier one that
        is still loading. Returns whether the order was accepted.
        """
        if self._settings.checks_fencing and order.fencing < self.highest_fencing:
            self.refused += 1
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.absolute.append(order)
        self.role = order.role
        wanted = set().union(*(model.parts() for model in order.models))
        self._loaded &= wanted
        for part in sorted(wanted - self._loaded, key=attrs.astuple):
            await asyncio.sleep(self._settings.load_seconds)
            if self.absolute[-1] is not order:
                break
            self._loaded.add(part)
        return True

    async def apply(self, order: Order) -> bool:
        """Apply ``order`` and return whether it was accepted."""
        if self._settings.checks_fencing and order.fencing < self.highest_fencing:
            self.refused += 1
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.accepted.append(order)
        await self._ACTIONS[order.action](self, order)
        return True

    async def _load(self, order: Order) -> None:
        await asyncio.sleep(self._settings.load_seconds)
        self._loaded.add(attrs.evolve(order, fencing=0))

    async def _unload(self, order: Order) -> None:
        self._loaded.discard(attrs.evolve(order, fencing=0, action="load"))

    async def _change_role(self, order: Order) -> None:
        self.role = order.role

    _ACTIONS = {"load": _load, "unload": _unload, "role": _change_role}
