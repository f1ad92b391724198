"""Exchange of demands between the members of home sets."""

from collections.abc import Callable
import dataclasses
import random

from cyclamenridge.control import messages
from cyclamenridge.control import types
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.wire import token

INTERVAL_MS = 1000
# The first sends to a member contain the names, twice in case of packet loss,
# and every 16th send too, since the member may have restarted.
INITIAL_FULL_SENDS = 2
FULL_SEND_PERIOD = 16
# Estimated size of the demands in one datagram; the rest is for the header.
MAX_PART_BYTES = 1100
# Bounds the memory for names that are learned from peers.
MAX_NAMES = 8192


Body = messages.Demands | messages.Shares


@dataclasses.dataclass(slots=True)
class _Recipient:
    """Demands to send to one member, and the state of sending them.

    :param draining: (service, server) of each drain mark in the demands
    :param urgent: a drain mark is new and must be sent at once
    :param names: names in the demands when ``sends`` was last set to 0
    :param sends: completed sends since names were added or requested
    :param pending: messages of the current send that are not sent yet
    """

    demands: tuple[scheduling.ServiceDemand, ...]
    draining: frozenset[tuple[str, str]]
    due_ms: int
    urgent: bool = False
    names: frozenset[str] = frozenset()
    sends: int = 0
    pending: list[Body] = dataclasses.field(default_factory=list)


class NameTable:
    """Names of services and kinds, indexed by their hashes."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}

    def learn(self, demand: scheduling.ServiceDemand) -> None:
        """Add the names of a demand."""
        for name in _names(demand):
            if len(self._names) >= MAX_NAMES:
                self._names.clear()
            key = token.name_hash(name)
            # A hash that two names share cannot be resolved.
            if self._names.setdefault(key, name) != name:
                self._names[key] = ""

    def resolve(
        self, share: messages.Share
    ) -> scheduling.ServiceDemand | None:
        """Return the demand with names; None if a hash is unknown."""
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


def _to_share(demand: scheduling.ServiceDemand) -> messages.Share:
    return messages.Share(
        service=token.name_hash(demand.service),
        kinds=tuple(
            (token.name_hash(kind.kind), kind.slots) for kind in demand.kinds
        ),
        draining=demand.draining,
    )


class DemandExchange:
    """Schedules the demands that are sent to each member."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._recipients: dict[str, _Recipient] = {}

    def set_targets(
        self, now_ms: int, targets: tuple[types.DemandTarget, ...]
    ) -> None:
        """Replace the demands and the members that receive them."""
        merged: dict[str, list[scheduling.ServiceDemand]] = {}
        for target in targets:
            for name in target.members:
                merged.setdefault(name, []).append(target.demand)
        old = self._recipients
        self._recipients = {}
        for name, demands in merged.items():
            draining = frozenset(
                (demand.service, server)
                for demand in demands
                for server in demand.draining
            )
            recipient = old.get(name)
            if recipient is None:
                # Spread the datagrams of a node over the interval.
                due_ms = now_ms + self._rng.randrange(INTERVAL_MS)
                recipient = _Recipient((), frozenset(), due_ms, bool(draining))
            elif draining - recipient.draining:
                recipient.urgent = True
            recipient.demands = tuple(demands)
            recipient.draining = draining
            self._recipients[name] = recipient

    def due_members(self, now_ms: int) -> list[str]:
        """Return the members to send to now, the most urgent first.

        Members with a new drain mark come first, then those that have
        waited longest, so that a small budget lengthens the interval of
        all members equally.
        """
        names = [
            name
            for name, recipient in self._recipients.items()
            if recipient.urgent or recipient.due_ms <= now_ms
        ]
        names.sort(
            key=lambda name: (
                not self._recipients[name].urgent,
                self._recipients[name].due_ms,
            )
        )
        return names

    def pending_bodies(self, name: str) -> list[Body]:
        """Return the messages that remain to be sent to a member."""
        recipient = self._recipients[name]
        if not recipient.pending:
            names = frozenset(
                text for demand in recipient.demands for text in _names(demand)
            )
            if not names <= recipient.names:
                recipient.names = names
                recipient.sends = 0
            full = (
                recipient.sends < INITIAL_FULL_SENDS
                or not recipient.sends % FULL_SEND_PERIOD
            )
            recipient.pending = (_full_bodies if full else _compact_bodies)(
                recipient.demands
            )
        return recipient.pending

    def resend_names(self, name: str) -> None:
        """Include the names in the next sends to a member."""
        recipient = self._recipients.get(name)
        if recipient is not None:
            recipient.sends = 0

    def mark_sent(self, now_ms: int, name: str) -> None:
        """Record that all demands were sent to a member."""
        recipient = self._recipients[name]
        recipient.pending = []
        recipient.due_ms = now_ms + INTERVAL_MS
        recipient.urgent = False
        recipient.sends += 1


def _full_bodies(demands: tuple[scheduling.ServiceDemand, ...]) -> list[Body]:
    parts = _split(
        demands, lambda demand: sum(len(n) + 24 for n in _names(demand))
    )
    return [messages.Demands(part) for part in parts]


def _compact_bodies(
    demands: tuple[scheduling.ServiceDemand, ...],
) -> list[Body]:
    parts = _split(demands, lambda demand: 30 + 10 * len(demand.kinds))
    return [
        messages.Shares(tuple(_to_share(demand) for demand in part))
        for part in parts
    ]


def _split(
    demands: tuple[scheduling.ServiceDemand, ...],
    names_size: Callable[[scheduling.ServiceDemand], int],
) -> list[tuple[scheduling.ServiceDemand, ...]]:
    """Split demands into parts that each fit into a datagram."""
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
