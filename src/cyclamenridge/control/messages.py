"""Messages between balancers."""

import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.control import types
from cyclamenridge.routing import home_sets
from cyclamenridge.routing import pinned_flows
from cyclamenridge.scheduling import types as scheduling

MAX_DATAGRAM_BYTES = 1400
MAX_CHUNK_BYTES = 1100

# Decides between updates with the same incarnation and counter.
_STATE_PRECEDENCE = {
    types.MemberState.ALIVE: 0,
    types.MemberState.LEAVING: 1,
    types.MemberState.SUSPECT: 2,
    types.MemberState.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """State of a member as reported by itself or by a peer.

    :param counter: incremented only by the member itself, to refute a
        suspicion or to announce that it is leaving
    """

    balancer: home_sets.Balancer
    counter: int
    state: types.MemberState

    @property
    def version(self) -> tuple[int, int]:
        """Return the incarnation and counter, set only by the member."""
        return self.balancer.incarnation, self.counter

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key of updates; the highest one is in effect."""
        return *self.version, _STATE_PRECEDENCE[self.state]


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Has no payload; the header announces the revision in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Requests an Ack.

    :param introduce: the sender does not know the receiver and requests
        its record
    """

    nonce: int
    introduce: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a Ping, or a PingReq if ``target`` is set."""

    nonce: int
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PingReq:
    """Requests an indirect probe: the receiver pings ``target``."""

    nonce: int
    target: str
    address: address_lib.Address


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """Requests the page of members whose names sort after ``after``."""

    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of the member list, sorted by name.

    :param next: ``after`` of the next request, empty on the last page
    """

    members: tuple[Update, ...]
    next: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Requests chunks of a revision, as a delta if ``base`` is not 0."""

    wanted: int
    base: int
    first: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk of a document transfer.

    :param transfer: hash of the whole transfer, which identifies it
    """

    wanted: int
    base: int
    transfer: int
    index: int
    total: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Demands:
    """Demands of the sender for services it shares with the receiver."""

    demands: tuple[scheduling.ServiceDemand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A demand with hashes in place of names.

    :param kinds: hash of each kind and the number of slots it could use
    """

    service: int
    kinds: tuple[tuple[int, float], ...]
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Compact form of Demands for a receiver that knows the names."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NamesWanted:
    """Requests Demands because a hash in Shares is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pinned:
    """Tells the next owner which server holds flows without a token."""

    service: str
    filter: pinned_flows.PinnedFilter


Body = (
    Announce
    | Ping
    | Ack
    | PingReq
    | PageRequest
    | Page
    | Fetch
    | Chunk
    | Demands
    | Shares
    | NamesWanted
    | Pinned
)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message body with the header common to all messages.

    :param sequence: incremented for every message of an incarnation
    :param digest: first 8 bytes of the digest of the sender's document
    """

    sender: str
    incarnation: int
    counter: int
    leaving: bool
    sequence: int
    revision: int
    digest: int
    body: Body
    updates: tuple[Update, ...] = ()
