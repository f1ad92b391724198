"""Passing on of updates, at once or with the next messages."""

from cyclamenridge.control import budget
from cyclamenridge.control import gossip
from cyclamenridge.control import membership
from cyclamenridge.control import messages
from cyclamenridge.control import outbox

# Members that are told at once when one is suspected, dies, refutes or
# leaves. Everything else waits for the next probe.
EAGER_MEMBERS = 3
# Limits the messages of this kind while a partition makes half of the fleet
# suspect; the claims beyond it travel with the probes.
EAGER_UPDATES_PER_S = 2
EAGER_BURST_UPDATES = 4


class Spreader:
    """Passes updates on to other members."""

    def __init__(
        self, table: membership.MemberTable, out: outbox.Outbox
    ) -> None:
        self._table = table
        self._out = out
        self._queue = gossip.GossipQueue()
        self._tokens = float(EAGER_BURST_UPDATES)
        self._filled_ms = 0

    def updates(self) -> tuple[messages.Update, ...]:
        """Return the updates to attach to a message."""
        return self._queue.take(self._table.live_count + 1)

    def later(self, update: messages.Update) -> None:
        """Pass on an update with the next messages."""
        self._queue.add(update)

    def now(self, now_ms: int, update: messages.Update) -> None:
        """Pass on an update at once and with the next messages."""
        self._queue.add(update)
        self._tokens = min(
            EAGER_BURST_UPDATES,
            self._tokens
            + (now_ms - self._filled_ms) * EAGER_UPDATES_PER_S / 1000,
        )
        self._filled_ms = now_ms
        if self._tokens < 1:
            return
        self._tokens -= 1
        for entry in self._table.sample(
            EAGER_MEMBERS, exclude=update.balancer.name
        ):
            self._out.send(
                now_ms,
                entry.address,
                messages.Announce(),
                budget.Priority.CONFIG,
                (update,),
            )
