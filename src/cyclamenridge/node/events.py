"""Events: input of the balancer core.

Those made once per datagram or message are structs, which take a fifth of
the time of a data class to create.
"""

import dataclasses

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc

Address = address_lib.Address


class ServerRef(msgspec.Struct, frozen=True, order=True, gc=False):
    """Service and name that identify a backend server."""

    service: str
    server: str


class CallerDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram arrived on the caller port."""

    source: Address
    data: bytes


class PeerDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram arrived on the peer port."""

    source: Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LinkUp:
    """A link is connected and the server answered ``hello``."""

    server: ServerRef
    link_id: int
    identity: backend.Identity


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDown:
    """A link, or an attempt to open one, ended."""

    server: ServerRef
    link_id: int
    reason: str


class LinkMessage(msgspec.Struct, frozen=True):
    """A message arrived on a link."""

    server: ServerRef
    link_id: int
    message: rpc.Message


class InstanceState:
    """States of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list.

    :param role: ``balancer``, or the service of a backend server
    """

    name: str
    role: str
    address: Address
    failure_domain: str
    state: str = InstanceState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """The store returned the configuration document, by read or watch.

    :param document: None when the key is absent
    :param value: the document as it is stored
    """

    document: document_lib.Document | None
    mod_revision: int
    value: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A request to the store failed or its watch ended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer, every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator asked for a planned stop.

    :param deadline_ms: monotonic time at which unfinished requests are
        cancelled
    """

    deadline_ms: int


Event = (
    CallerDatagram
    | PeerDatagram
    | LinkUp
    | LinkDown
    | LinkMessage
    | InstancesListed
    | StoreRead
    | StoreFailed
    | Tick
    | StopRequested
)
