"""Port for the wire format of packets."""

import abc

from cyclamenridge.flow import packet as packet_lib


class PacketCodec(abc.ABC):
    """Decodes and encodes the packets of flows."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> packet_lib.Packet:
        """Decode a packet.

        :raises WireError: when it is malformed or incomplete
        """

    @abc.abstractmethod
    def encode_forward(self, data: bytes, *, ident: int, token: int) -> bytes:
        """Encode a client's packet for forwarding to a backend server."""

    @abc.abstractmethod
    def encode_reset(self, packet: packet_lib.Packet) -> bytes:
        """Encode a reset in response to a client's packet."""
