"""Header fields of a packet, independent of its layout on the wire."""

import enum

import msgspec


class Flag(enum.IntFlag):
    """Flags of a packet."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8


# Data of a packet, in bytes.
MAX_DATA_BYTES = 1200

SYN = int(Flag.SYN)
ACK = int(Flag.ACK)
FIN = int(Flag.FIN)
RST = int(Flag.RST)


# Created for each datagram; a struct costs a fifth of a data class.
class Packet(msgspec.Struct, gc=False):
    """Header of a packet that a client sent.

    :param client: IPv4 address of the client, as a number
    :param host: virtual IPv4 address of the route, as a number
    :param port: virtual port of the route
    :param flags: bits of ``Flag``
    :param seq: sequence number of the first byte of data
    :param ack: next sequence number that the client expects; in a SYN, the
        number of the retransmission, 0 for the first one
    :param length: bytes of data
    :param token: value that the backend server echoed, 0 in a SYN
    """

    client: int
    client_port: int
    host: int
    port: int
    flags: int
    seq: int
    ack: int
    length: int
    token: int


def flow_id(packet: Packet) -> str:
    """Return the flow's name in logs, ``client:port>host:port``."""
    return (
        f"{_dotted(packet.client)}:{packet.client_port}"
        f">{_dotted(packet.host)}:{packet.port}"
    )


def _dotted(number: int) -> str:
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
