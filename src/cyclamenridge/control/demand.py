"""Exchange of demand vectors."""

import dataclasses
import random

from cyclamenridge.control import types
from cyclamenridge.scheduling import types as scheduling

INTERVAL_MS = 1000


@dataclasses.dataclass(slots=True)
class _Target:
    demands: tuple[scheduling.ServiceDemand, ...]
    draining: frozenset[tuple[str, str]]
    due_ms: int
    urgent: bool = False


class DemandExchange:
    """Decides which member is told which demands next."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: dict[str, _Target] = {}

    def set(
        self, now_ms: int, targets: tuple[types.DemandTarget, ...]
    ) -> None:
        """Replace the demands and the members that are told."""
        merged: dict[str, list[scheduling.ServiceDemand]] = {}
        for target in targets:
            for name in target.members:
                merged.setdefault(name, []).append(target.demand)
        old = self._targets
        self._targets = {}
        for name, demands in merged.items():
            draining = frozenset(
                (demand.service, server)
                for demand in demands
                for server in demand.draining
            )
            entry = old.get(name)
            if entry is None:
                # Spreads the datagrams of a node over the second.
                due_ms = now_ms + self._rng.randrange(INTERVAL_MS)
                entry = _Target((), frozenset(), due_ms, bool(draining))
            elif draining - entry.draining:
                entry.urgent = True
            entry.demands = tuple(demands)
            entry.draining = draining
            self._targets[name] = entry

    def due(self, now_ms: int) -> list[str]:
        """Return the members to tell now, the most urgent first.

        A new drain mark is not delayed. After that the member that has
        waited longest comes first, so that a short budget stretches the
        interval of all members alike.
        """
        names = [
            name
            for name, target in self._targets.items()
            if target.urgent or target.due_ms <= now_ms
        ]
        names.sort(
            key=lambda name: (
                not self._targets[name].urgent,
                self._targets[name].due_ms,
            )
        )
        return names

    def demands(self, name: str) -> tuple[scheduling.ServiceDemand, ...]:
        """Return what a member is told."""
        return self._targets[name].demands

    def sent(self, now_ms: int, name: str) -> None:
        """Note that a member was told."""
        target = self._targets[name]
        target.due_ms = now_ms + INTERVAL_MS
        target.urgent = False
