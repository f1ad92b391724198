"""Queue of updates that are passed on with other messages."""

import heapq
import math

from cyclamenridge.control import messages

# Each update is sent this many times the natural logarithm of the size of
# the fleet.
TRANSMIT_FACTOR = 2
MAX_PER_MESSAGE = 6
# Bounds the work per message while a whole region joins or leaves. Updates
# beyond it reach the others with the pages of the member list.
MAX_QUEUED = 256


class GossipQueue:
    """Updates to pass on, the least often sent first."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[int, messages.Update]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, update: messages.Update) -> None:
        """Pass on an update instead of older ones about the member."""
        name = update.balancer.name
        self._items.pop(name, None)
        if len(self._items) >= MAX_QUEUED:
            worn = max(self._items, key=lambda key: self._items[key][0])
            del self._items[worn]
        self._items[name] = (0, update)

    def take(self, fleet_size: int) -> tuple[messages.Update, ...]:
        """Return the updates to attach to a message."""
        if not self._items:
            return ()
        limit = TRANSMIT_FACTOR * math.ceil(math.log(fleet_size + 2))
        names = heapq.nsmallest(
            MAX_PER_MESSAGE, self._items, key=lambda key: self._items[key][0]
        )
        updates = []
        for name in names:
            sent, update = self._items[name]
            updates.append(update)
            if sent + 1 >= limit:
                del self._items[name]
            else:
                self._items[name] = (sent + 1, update)
        return tuple(updates)
