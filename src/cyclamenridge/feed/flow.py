"""State of one feed."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.node import events

# The token has 16 bits for the epoch.
MAX_EPOCH = 0xFFFF
# An owner asks the server this often whether the feed is still attached
# here. It is less than the idle time, so that a balancer that took the
# feed over by a late datagram passes events on until the owner has it.
VERIFY_MS = 30_000
# How long a caller waits for a server that cannot be reached.
ATTACH_LIMIT_MS = 3000
# An attach acknowledges events and makes the server send the later ones
# again. It follows a keepalive at most this often.
RESEND_EVENT_MS = 1000


# One object for all feeds: an empty set takes 216 bytes.
_NONE: frozenset[str] = frozenset()


class State(enum.Enum):
    """Whether events of the server arrive here."""

    WAITING = "waiting"
    ATTACHED = "attached"


class Feed:
    """A feed between a caller and the server that holds its flow.

    :param confirmed: the caller uses a token of this node
    :param waiter: msgid of the caller's request that waits for the attach
    :param caller_seq: highest event that the caller acknowledged
    :param acked_seq: the part of ``caller_seq`` that the server knows
    :param sent_seq: highest event sent to the caller
    :param counted: the scheduler counts the feed on its server
    """

    __slots__ = (
        "acked_seq",
        "attach_ms",
        "attach_number",
        "attaching",
        "caller_seq",
        "confirmed",
        "counted",
        "create",
        "customer",
        "epoch",
        "ident",
        "incarnation",
        "kind",
        "ref",
        "sending_seq",
        "sent_ms",
        "sent_seq",
        "source",
        "state",
        "steps",
        "tried",
        "used_ms",
        "waiter",
        "waiting_ms",
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
        self.sending_seq = last_seq
        self.sent_seq = last_seq
        self.sent_ms = now_ms
        self.used_ms = now_ms
        self.attach_ms = now_ms
        self.attach_number = 0
        self.attaching = False
        self.waiting_ms = 0
        self.steps = 0
        self.confirmed = False
        self.counted = False
        self.incarnation: int | None = None
        self.ref = events.ServerRef("", "")
        self.state = State.WAITING
        self.tried = _NONE
        self.waiter: int | None = None

    def needs_attach(self, now_ms: int, *, mine: bool) -> bool:
        """Tell whether a keepalive is a reason to attach again."""
        if self.attaching:
            return now_ms - self.attach_ms > ATTACH_LIMIT_MS
        if mine and not self.confirmed:
            return True
        if now_ms - self.attach_ms > VERIFY_MS:
            return True
        # The server keeps events until they are acknowledged, and sends
        # those again that were lost on the way to the caller.
        return (
            max(self.caller_seq, self.sent_seq) > self.acked_seq
            and now_ms - self.attach_ms >= RESEND_EVENT_MS
        )
