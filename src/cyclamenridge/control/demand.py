"""Exchange of demand vectors."""

from collections.abc import Callable
import dataclasses
import random

from cyclamenridge.control import messages
from cyclamenridge.control import types
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.wire import token

INTERVAL_MS = 1000
# Names are sent in full until the receiver had two chances to learn them,
# and again from time to time, since it may have been restarted.
FULL_SENDS = 2
FULL_EVERY = 16
# Estimated size of the demands in one datagram; the rest is for the header.
MAX_PART_BYTES = 1100
# Bounds the names that are learned from peers.
MAX_NAMES = 8192


Body = messages.Demands | messages.Shares


@dataclasses.dataclass(slots=True)
class _Target:
    demands: tuple[scheduling.ServiceDemand, ...]
    draining: frozenset[tuple[str, str]]
    due_ms: int
    urgent: bool = False
    names: frozenset[str] = frozenset()
    sends: int = 0
    pending: list[Body] = dataclasses.field(default_factory=list)


class NameTable:
    """Names of services and kinds by their hashes."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}

    def learn(self, demand: scheduling.ServiceDemand) -> None:
        """Remember the names of a demand."""
        for name in _names(demand):
            if len(self._names) >= MAX_NAMES:
                self._names.clear()
            key = token.name_hash(name)
            # Two names of one hash are never resolved.
            if self._names.setdefault(key, name) != name:
                self._names[key] = ""

    def resolve(
        self, share: messages.Share
    ) -> scheduling.ServiceDemand | None:
        """Return the demand of a share, None if a name is unknown."""
        service = self._names.get(share.service)
        kinds = [
            scheduling.KindDemand(self._names.get(kind, ""), slots)
            for kind, slots in share.kinds
        ]
        if not service or not all(kind.kind for kind in kinds):
            return None
        return scheduling.ServiceDemand(service, tuple(kinds), share.draining)


def _names(demand: scheduling.ServiceDemand) -> list[str]:
    return [demand.service, *(kind.kind for kind in demand.kinds)]


def _share(demand: scheduling.ServiceDemand) -> messages.Share:
    return messages.Share(
        service=token.name_hash(demand.service),
        kinds=tuple(
            (token.name_hash(kind.kind), kind.slots) for kind in demand.kinds
        ),
        draining=demand.draining,
    )


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

    def bodies(self, name: str) -> list[Body]:
        """Return the messages that a member is still to be sent."""
        target = self._targets[name]
        if not target.pending:
            names = frozenset(
                text for demand in target.demands for text in _names(demand)
            )
            if not names <= target.names:
                target.names = names
                target.sends = 0
            full = target.sends < FULL_SENDS or not target.sends % FULL_EVERY
            target.pending = (_full if full else _short)(target.demands)
        return target.pending

    def names_wanted(self, name: str) -> None:
        """Send the names in full to a member again."""
        target = self._targets.get(name)
        if target is not None:
            target.sends = 0

    def sent(self, now_ms: int, name: str) -> None:
        """Note that a member was told everything."""
        target = self._targets[name]
        target.pending = []
        target.due_ms = now_ms + INTERVAL_MS
        target.urgent = False
        target.sends += 1


def _full(demands: tuple[scheduling.ServiceDemand, ...]) -> list[Body]:
    parts = _parts(
        demands, lambda demand: sum(len(n) + 24 for n in _names(demand))
    )
    return [messages.Demands(part) for part in parts]


def _short(demands: tuple[scheduling.ServiceDemand, ...]) -> list[Body]:
    parts = _parts(demands, lambda demand: 30 + 10 * len(demand.kinds))
    return [
        messages.Shares(tuple(_share(demand) for demand in part))
        for part in parts
    ]


def _parts(
    demands: tuple[scheduling.ServiceDemand, ...],
    names_size: Callable[[scheduling.ServiceDemand], int],
) -> list[tuple[scheduling.ServiceDemand, ...]]:
    """Divide demands so that each part fits into a datagram."""
    parts: list[tuple[scheduling.ServiceDemand, ...]] = []
    part: list[scheduling.ServiceDemand] = []
    size = 0
    for demand in demands:
        cost = names_size(demand) + sum(len(n) + 12 for n in demand.draining)
        if part and size + cost > MAX_PART_BYTES:
            parts.append(tuple(part))
            part, size = [], 0
        part.append(demand)
        size += cost
    return [*parts, tuple(part)] if part else parts
