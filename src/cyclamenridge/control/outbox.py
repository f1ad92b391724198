"""Encoding and rate limiting of the control messages that a node sends."""

import collections
import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.control import budget
from cyclamenridge.control import codec as codec_lib
from cyclamenridge.control import messages
from cyclamenridge.node import effects

# Minimum length of a control message. Checking the budget for it avoids
# encoding messages that would be dropped.
_MIN_MESSAGE_BYTES = 50


@dataclasses.dataclass(slots=True)
class Header:
    """State of this node that the header of every message carries."""

    sender: str
    incarnation: int
    counter: int = 0
    leaving: bool = False
    revision: int = 0
    digest: int = 0


class Outbox:
    """Collects outgoing datagrams, within the budget, and other effects."""

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

    def used_bytes(self, now_ms: int) -> int:
        """Return the bytes sent within the budget's window."""
        return self._budget.used_bytes(now_ms)

    def can_send(self, now_ms: int, priority: budget.Priority) -> bool:
        """Return whether the budget allows the shortest message."""
        return self._budget.can_send(now_ms, priority, _MIN_MESSAGE_BYTES)

    def take_effects(self) -> tuple[effects.Effect, ...]:
        """Return and clear the effects collected since the last call."""
        collected = tuple(self._effects)
        self._effects.clear()
        return collected

    def add_effects(self, *added: effects.Effect) -> None:
        """Add effects other than control messages."""
        self._effects.extend(added)

    def encode(
        self,
        body: messages.Body,
        updates: tuple[messages.Update, ...] = (),
    ) -> bytes:
        """Encode a message with the next sequence number, unsent."""
        self._sequence += 1
        header = self.header
        return self._codec.encode(
            messages.Message(
                sender=header.sender,
                incarnation=header.incarnation,
                counter=header.counter,
                leaving=header.leaving,
                sequence=self._sequence,
                revision=header.revision,
                digest=header.digest,
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
        """Encode and send a message; return False if it was dropped."""
        return self.send_encoded(
            now_ms, dest, self.encode(body, updates), priority
        )

    def send_encoded(
        self,
        now_ms: int,
        dest: address_lib.Address,
        data: bytes,
        priority: budget.Priority,
    ) -> bool:
        """Send an encoded message; return False if it was dropped.

        A message is dropped if it is too long or exceeds the budget.
        """
        kind = priority.name.lower()
        if len(data) > messages.MAX_DATAGRAM_BYTES:
            self._counters["control_oversized"] += 1
            return False
        if not self._budget.try_consume(now_ms, priority, len(data)):
            self._counters[f"control_dropped_{kind}"] += 1
            return False
        size = len(data) + budget.DATAGRAM_OVERHEAD_BYTES
        self._counters["control_bytes_sent"] += size
        self._counters[f"control_bytes_sent_{kind}"] += size
        self._counters["control_datagrams_sent"] += 1
        self._effects.append(effects.SendPeer(dest, data, control=True))
        return True
