"""Queue of membership updates that are piggybacked on messages."""

import heapq
import math

from cyclamenridge.control import messages

# An update is sent this factor times ln(fleet size) times.
TRANSMIT_FACTOR = 2
MAX_PER_MESSAGE = 6
# Bounds the work per message while a whole region joins or leaves. Updates
# dropped here reach the other members with the pages of the member list.
MAX_QUEUED = 256


class GossipQueue:
    """Updates to disseminate, least often sent first."""

    def __init__(self) -> None:
        self._pending: dict[str, tuple[int, messages.Update]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, update: messages.Update) -> None:
        """Queue an update; it replaces an older one about the member."""
        name = update.balancer.name
        self._pending.pop(name, None)
        if len(self._pending) >= MAX_QUEUED:
            most_sent = max(
                self._pending, key=lambda key: self._pending[key][0]
            )
            del self._pending[most_sent]
        self._pending[name] = (0, update)

    def next_updates(self, fleet_size: int) -> tuple[messages.Update, ...]:
        """Return the updates for one message and count them as sent."""
        if not self._pending:
            return ()
        limit = TRANSMIT_FACTOR * math.ceil(math.log(fleet_size + 2))
        names = heapq.nsmallest(
            MAX_PER_MESSAGE,
            self._pending,
            key=lambda key: self._pending[key][0],
        )
        updates = []
        for name in names:
            sent_count, update = self._pending[name]
            updates.append(update)
            if sent_count + 1 >= limit:
                del self._pending[name]
            else:
                self._pending[name] = (sent_count + 1, update)
        return tuple(updates)
