"""Port for the layout of packets."""

import abc

from cyclamenridge.flow import packet as packet_lib


class PacketCodec(abc.ABC):
    """Reads and writes the packets of flows."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> packet_lib.Packet:
        """Read a packet; raises WireError when it is no whole packet."""

    @abc.abstractmethod
    def encode_forward(self, data: bytes, *, ident: int, token: int) -> bytes:
        """Return a client's packet as a backend server takes it."""

    @abc.abstractmethod
    def encode_reset(self, packet: packet_lib.Packet) -> bytes:
        """Return a reset that answers a client's packet."""
