"""Signing, counting and limiting of the messages that a node sends."""

import collections
import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import codec as codec_lib
from cyclamenridge.control import messages
from cyclamenridge.node import effects

# No message of this protocol is shorter; saves encoding one that will be
# dropped.
_SHORTEST_BYTES = 50


@dataclasses.dataclass(slots=True)
class Header:
    """What every message says of its sender."""

    sender: str
    incarnation: int
    counter: int = 0
    leaving: bool = False
    revision: int = 0
    digest: int = 0


class Outbox:
    """Turns messages into datagrams while the budget allows."""

    def __init__(
        self,
        header: Header,
        codec: codec_lib.Codec,
        counters: collections.Counter[str],
    ) -> None:
        self.header = header
        self._codec = codec
        self._counters = counters
        self._budget = budget.Budget()
        self._sequence = 0
        self._effects: list[effects.Effect] = []

    def used(self, now_ms: int) -> int:
        """Return the bytes sent within the window of the budget."""
        return self._budget.used(now_ms)

    def has_room(self, now_ms: int, priority: budget.Priority) -> bool:
        """Return whether the shortest message could be sent now."""
        return self._budget.has_room(now_ms, priority, _SHORTEST_BYTES)

    def take(self) -> tuple[effects.Effect, ...]:
        """Return the effects since the last call."""
        taken = tuple(self._effects)
        self._effects.clear()
        return taken

    def add(self, *items: effects.Effect) -> None:
        """Add effects that are not messages between balancers."""
        self._effects.extend(items)

    def encode(
        self,
        body: messages.Body,
        updates: tuple[messages.Update, ...] = (),
    ) -> bytes:
        """Return the next datagram, which is not sent yet."""
        self._sequence += 1
        head = self.header
        return self._codec.encode(
            messages.Message(
                sender=head.sender,
                incarnation=head.incarnation,
                counter=head.counter,
                leaving=head.leaving,
                sequence=self._sequence,
                revision=head.revision,
                digest=head.digest,
                body=body,
                updates=updates,
            )
        )

    def send(
        self,
        now_ms: int,
        dest: address_lib.Address,
        body: messages.Body,
        priority: budget.Priority,
        updates: tuple[messages.Update, ...] = (),
    ) -> bool:
        """Send a message; return False if the budget is used up."""
        return self.send_data(
            now_ms, dest, self.encode(body, updates), priority
        )

    def send_data(
        self,
        now_ms: int,
        dest: address_lib.Address,
        data: bytes,
        priority: budget.Priority,
    ) -> bool:
        """Send an encoded message; return False if it was dropped."""
        kind = priority.name.lower()
        if len(data) > messages.MAX_DATAGRAM_BYTES:
            self._counters["control_oversized"] += 1
            return False
        if not self._budget.take(now_ms, priority, len(data)):
            self._counters[f"control_dropped_{kind}"] += 1
            return False
        size = len(data) + budget.DATAGRAM_OVERHEAD_BYTES
        self._counters["control_bytes_sent"] += size
        self._counters[f"control_bytes_sent_{kind}"] += size
        self._counters["control_datagrams_sent"] += 1
        self._effects.append(effects.SendPeer(dest, data, control=True))
        return True
