"""Dissemination of membership updates, piggybacked or sent at once."""

from cyclamenridge.control import budget
from cyclamenridge.control import gossip
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox

# Members that receive an update at once when a member is suspected, dies,
# refutes or leaves. Other updates wait for the next probe.
EAGER_MEMBERS = 3
# Limits updates sent at once while a partition makes half of the fleet
# suspect; updates beyond the limit are only piggybacked.
EAGER_UPDATES_PER_S = 2
EAGER_BURST_UPDATES = 4


class Disseminator:
    """Forwards membership updates to other members."""

    def __init__(
        self, table: membership.MemberTable, out: outbox.Outbox
    ) -> None:
        self._table = table
        self._outbox = out
        self._queue = gossip.GossipQueue()
        self._tokens = float(EAGER_BURST_UPDATES)
        self._refilled_ms = 0

    def piggyback(self) -> tuple[messages.Update, ...]:
        """Return the updates to attach to the next message."""
        return self._queue.next_updates(self._table.live_count + 1)

    def enqueue(self, update: messages.Update) -> None:
        """Piggyback an update on the next messages."""
        self._queue.add(update)

    def send_now(self, now_ms: int, update: messages.Update) -> None:
        """Send an update at once and piggyback it on the next messages."""
        self._queue.add(update)
        self._tokens = min(
            EAGER_BURST_UPDATES,
            self._tokens
            + (now_ms - self._refilled_ms) * EAGER_UPDATES_PER_S / 1000,
        )
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return
        self._tokens -= 1
        for entry in self._table.sample(
            EAGER_MEMBERS, exclude=update.balancer.name
        ):
            self._outbox.send(
                now_ms,
                entry.address,
                messages.Announce(),
                budget.Priority.CONFIG,
                (update,),
            )
