"""Effects: output of the balancer core, carried out by the application.

Those made once per datagram or message are structs, which are faster to
create than data classes.
"""

import dataclasses

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.node import events

Address = address_lib.Address
ServerRef = events.ServerRef


class SendCaller(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram from the caller port."""

    dest: Address
    data: bytes


class SendPeer(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram from the peer port.

    :param control: a control message, which counts towards the control
        budget; False for a forwarded caller datagram
    """

    dest: Address
    data: bytes
    control: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink:
    """Connect to a server and check its identity with ``hello``.

    Ends in LinkUp or LinkDown with the same ``link_id``.
    """

    server: ServerRef
    link_id: int
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link; no LinkDown follows."""

    server: ServerRef
    link_id: int


class SendLink(msgspec.Struct, frozen=True, gc=False):
    """Send an encoded message on a link."""

    server: ServerRef
    link_id: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the configuration document from the store once."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStore:
    """Start or stop watching the configuration and the instance list."""

    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStore:
    """Write a document back if the key is as it was read.

    :param mod_revision: revision that the key has to have, 0 for absent
    :param previous_value: value that the key has to have, None for any
    """

    document: document_lib.Document
    mod_revision: int
    previous_value: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """Log a state transition.

    :param subject: component that changed, such as a link or member
    """

    subject: str
    old: str
    new: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """The planned stop is complete; exit the process."""

    exit_code: int


Effect = (
    SendCaller
    | SendPeer
    | OpenLink
    | CloseLink
    | SendLink
    | ReadStore
    | WatchStore
    | WriteStore
    | StateChanged
    | Stopped
)
