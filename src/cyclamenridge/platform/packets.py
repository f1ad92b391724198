"""Encoding of packets in the layout of the platform."""

import struct

from cyclamenridge import errors
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.ports import packet_codec

_HEADER = struct.Struct(">B5s4sHHIIHIII")
HEADER_BYTES = _HEADER.size
MAX_DATAGRAM_BYTES = HEADER_BYTES + 1200
_ECHO = struct.Struct(">I")
_ECHO_OFFSET = 32
_IDENT = struct.Struct(">Q")

_SYN, _ACK, _FIN, _RST = 64, 2, 32, 4
_FLAGS = tuple(
    (packet_lib.SYN if bits & _SYN else 0)
    | (packet_lib.ACK if bits & _ACK else 0)
    | (packet_lib.FIN if bits & _FIN else 0)
    | (packet_lib.RST if bits & _RST else 0)
    for bits in range(256)
)
_PADDING = bytes(5)
# Resets that a balancer sends carry no checksum.
_ZERO_CHECKSUM = bytes(4)


class EchoCodec(packet_codec.PacketCodec):
    """Codec for packets that return the token in the echo field."""

    def decode(self, data: bytes) -> packet_lib.Packet:
        """Decode the header of a packet.

        :raises WireError: when the datagram is not exactly one packet
        """
        try:
            (bits, _, _, length, sport, dst, src, dport, seq, ack, echo) = (
                _HEADER.unpack_from(data)
            )
        except struct.error as exc:
            raise errors.WireError(
                f"packet of {len(data)} bytes is shorter than its header"
            ) from exc
        if len(data) != HEADER_BYTES + length:
            raise errors.WireError(
                f"packet of {len(data)} bytes does not match its data length "
                f"of {length} bytes"
            )
        return packet_lib.Packet(
            src, sport, dst, dport, _FLAGS[bits], seq, ack, length, echo
        )

    def encode_forward(self, data: bytes, *, ident: int, token: int) -> bytes:
        """Return a client's packet in the form that backend servers accept.

        The identity of the server goes in front, the token into the echo
        field; the checksum stays valid because it does not cover either.
        """
        return b"".join(
            (
                _IDENT.pack(ident),
                data[:_ECHO_OFFSET],
                _ECHO.pack(token),
                data[HEADER_BYTES:],
            )
        )

    def encode_reset(self, packet: packet_lib.Packet) -> bytes:
        """Return the reset that answers a client's packet."""
        return _HEADER.pack(
            _RST,
            _PADDING,
            _ZERO_CHECKSUM,
            0,
            packet.port,
            packet.client,
            packet.host,
            packet.client_port,
            packet.ack,
            0,
            0,
        )
