"""State of one feed."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.node import events

# The epoch is a 16-bit field of the token.
MAX_EPOCH = 0xFFFF
# How often the owner verifies with the server that the feed is still attached
# here. This is less than the idle time, so that a balancer that took the feed
# over because of a late datagram forwards its events until the owner has
# attached it again.
VERIFY_INTERVAL_MS = 30_000
# How long a caller waits for an unreachable server.
ATTACH_TIMEOUT_MS = 3000
# Minimum time between attaches that keepalives cause. An attach acknowledges
# events and makes the server resend the later ones.
MIN_REATTACH_INTERVAL_MS = 1000


# Shared by all feeds, because an empty set takes 216 bytes.
_NO_SERVERS: frozenset[str] = frozenset()


class State(enum.Enum):
    """Whether the feed is attached to this node at its server."""

    WAITING = "waiting"
    ATTACHED = "attached"


class Feed:
    """A feed from the server that holds its flow to a caller.

    :ivar create: the attach may create the flow on the server
    :ivar confirmed: the caller uses a token that this node granted
    :ivar pending_msgid: id of the caller's request that is answered after
        the attach
    :ivar caller_seq: highest event that the caller acknowledged
    :ivar attach_seq: ``caller_seq`` at the time of the last attach
    :ivar acked_seq: highest event acknowledged to the server
    :ivar sent_seq: highest event sent to the caller
    :ivar epoch_increments: stale epochs since the last attach or take-over
    :ivar tried_servers: servers on which the placement failed
    :ivar counted_by_scheduler: the scheduler counts the feed on its server
    """

    __slots__ = (
        "acked_seq",
        "attach_attempt",
        "attach_seq",
        "attaching",
        "caller_seq",
        "confirmed",
        "counted_by_scheduler",
        "create",
        "customer",
        "epoch",
        "epoch_increments",
        "ident",
        "incarnation",
        "kind",
        "last_attach_ms",
        "last_used_ms",
        "pending_msgid",
        "ref",
        "sent_seq",
        "source",
        "state",
        "tried_servers",
        "waiting_since_ms",
    )

    def __init__(
        self,
        ident: int,
        *,
        kind: str,
        customer: str,
        epoch: int,
        create: bool,
        source: address_lib.Address,
        last_seq: int,
        now_ms: int,
    ) -> None:
        self.ident = ident
        self.kind = kind
        self.customer = customer
        self.epoch = epoch
        self.create = create
        self.source = source
        self.caller_seq = last_seq
        self.acked_seq = last_seq
        self.attach_seq = last_seq
        self.sent_seq = last_seq
        self.last_used_ms = now_ms
        self.last_attach_ms = now_ms
        self.attach_attempt = 0
        self.attaching = False
        self.waiting_since_ms = 0
        self.epoch_increments = 0
        self.confirmed = False
        self.counted_by_scheduler = False
        self.incarnation: int | None = None
        self.ref = events.ServerRef("", "")
        self.state = State.WAITING
        self.tried_servers = _NO_SERVERS
        self.pending_msgid: int | None = None

    def needs_attach(self, now_ms: int, *, own_token: bool) -> bool:
        """Tell whether a keepalive must attach the feed again.

        :param own_token: the caller sent a token that this node granted
        """
        if self.attaching:
            return now_ms - self.last_attach_ms > ATTACH_TIMEOUT_MS
        if own_token and not self.confirmed:
            return True
        if now_ms - self.last_attach_ms > VERIFY_INTERVAL_MS:
            return True
        # The server keeps events until they are acknowledged. An attach
        # acknowledges them and makes the server resend lost ones.
        return (
            max(self.caller_seq, self.sent_seq) > self.acked_seq
            and now_ms - self.last_attach_ms >= MIN_REATTACH_INTERVAL_MS
        )
