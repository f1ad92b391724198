"""Packet of a flow, as the core sees it."""

import enum

import msgspec


class Flag(enum.IntFlag):
    """What a packet does to its flow."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8


SYN = int(Flag.SYN)
ACK = int(Flag.ACK)
FIN = int(Flag.FIN)
RST = int(Flag.RST)


# One is made for each datagram; a struct costs a fifth of a data class.
class Packet(msgspec.Struct, gc=False):
    """Head of a packet that a client sent.

    :param client: address of the client as an IPv4 number
    :param host: address that the route is reached at, as an IPv4 number
    :param flags: bits of ``Flag``
    :param seq: sequence number of the first byte of data
    :param ack: next sequence number that the client expects; number of
        the copy in a SYN
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
    """Return the name of a flow in logs: client, port, route, port."""
    return (
        f"{_dotted(packet.client)}:{packet.client_port}"
        f">{_dotted(packet.host)}:{packet.port}"
    )


def _dotted(number: int) -> str:
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
