"""Effects that the flow core returns for a packet."""

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.flow import packet as packet_lib


class Forward(msgspec.Struct, frozen=True, gc=False):
    """Send the packet to a backend server.

    :param ident: number that identifies the server in the datagram
    :param token: value that the server and the client echo from now on
    """

    address: address_lib.Address
    ident: int
    token: int


class Reset(msgspec.Struct, frozen=True, gc=False):
    """Answer the packet with a reset."""


class Drop(msgspec.Struct, frozen=True, gc=False):
    """Send nothing."""


Effect = Forward | Reset | Drop
Effects = tuple[Effect, ...]

RESET: Effects = (Reset(),)
DROP: Effects = (Drop(),)


class Release(msgspec.Struct, frozen=True, gc=False):
    """Effects of a packet that has waited.

    :param datagram: the packet as it was received
    """

    packet: packet_lib.Packet
    datagram: bytes
    effects: Effects
