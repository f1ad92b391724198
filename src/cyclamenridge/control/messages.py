"""Messages between balancers."""

import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.control import types
from cyclamenridge.routing import homes
from cyclamenridge.routing import pinned
from cyclamenridge.scheduling import types as scheduling

MAX_DATAGRAM_BYTES = 1400
MAX_CHUNK_BYTES = 1100

# Orders the states that are claimed for one incarnation and counter.
_RANK = {
    types.MemberState.ALIVE: 0,
    types.MemberState.LEAVING: 1,
    types.MemberState.SUSPECT: 2,
    types.MemberState.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A claim about the state of a member.

    :param counter: raised by the member itself to refute a claim
    """

    balancer: homes.Balancer
    counter: int
    state: types.MemberState

    @property
    def version(self) -> tuple[int, int]:
        """Return what only the member itself can raise."""
        return self.balancer.incarnation, self.counter

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the precedence of the claim; the highest one holds."""
        return *self.version, _RANK[self.state]


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Carries nothing but the header, with the revision in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an Ack."""

    nonce: int
    introduce: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a Ping, or a PingReq when ``target`` is set."""

    nonce: int
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PingReq:
    """Asks a member to probe another one."""

    nonce: int
    target: str
    address: address_lib.Address


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """Asks for the members whose names follow ``after``."""

    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A part of the member list in the order of the names."""

    members: tuple[Update, ...]
    next: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for chunks of a revision, relative to ``base`` if it is set."""

    wanted: int
    base: int
    first: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a transfer."""

    wanted: int
    base: int
    transfer: int
    index: int
    total: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Demands:
    """What the sender could use of services it shares with the receiver."""

    demands: tuple[scheduling.ServiceDemand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A demand whose names are replaced by their hashes.

    :param kinds: hash of each kind and the slots it could use
    """

    service: int
    kinds: tuple[tuple[int, float], ...]
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """The short form of Demands, once the receiver knows the names."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NamesWanted:
    """Asks for Demands instead of Shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pinned:
    """Tells the next owner of flows without a token where they are."""

    service: str
    filter: pinned.PinnedFilter


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
    """A message with the header that every message carries.

    :param sequence: grows with every message of an incarnation
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
