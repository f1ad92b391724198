"""Packets of the platform, encoded and decoded by the stand-ins."""

import dataclasses
import ipaddress
import struct
import zlib

SYN, ACK, FIN, RST = 64, 2, 32, 4
BOUNCED = 8

_HEAD = struct.Struct(">B5sIHHIIHIII")
HEAD_BYTES = _HEAD.size
# Known to clients and backends only.
_KEY = b"review-sum-key"
# A reset is valid if its number is this close to the client's last one.
RESET_WINDOW = 76_800


def number_of(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int(ipaddress.IPv4Address(host))


def host_of(number: int) -> str:
    """Return an IPv4 address as text."""
    return str(ipaddress.IPv4Address(number))


@dataclasses.dataclass(frozen=True)
class Packet:
    """Header and data of a packet."""

    flags: int
    src: int
    sport: int
    dst: int
    dport: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    sum: int | None = None

    def expected_sum(self) -> int:
        """Return the keyed sum over all fields but echo, pad and BOUNCED."""
        fields = struct.pack(
            ">BHHIIHII",
            self.flags & ~BOUNCED,
            len(self.data),
            self.sport,
            self.dst,
            self.src,
            self.dport,
            self.seq,
            self.ack,
        )
        return zlib.crc32(_KEY + fields + self.data) | 1

    @property
    def is_genuine(self) -> bool:
        """Return whether the sender wrote the packet like this."""
        return self.sum == self.expected_sum()

    def encode(self) -> bytes:
        """Return the packet with its sum."""
        return (
            _HEAD.pack(
                self.flags,
                bytes(5),
                self.expected_sum(),
                len(self.data),
                self.sport,
                self.dst,
                self.src,
                self.dport,
                self.seq,
                self.ack,
                self.echo,
            )
            + self.data
        )


def decode(datagram: bytes) -> Packet:
    """Decode a packet."""
    (flags, _, total, length, sport, dst, src, dport, seq, ack, echo) = (
        _HEAD.unpack_from(datagram)
    )
    data = datagram[HEAD_BYTES:]
    if length != len(data):
        raise ValueError("length of the data differs")
    return Packet(
        flags, src, sport, dst, dport, seq, ack, echo, data, sum=total
    )


def add(number: int, delta: int) -> int:
    """Add to a 32-bit number that wraps around."""
    return (number + delta) & 0xFFFFFFFF


def distance(number: int, other: int) -> int:
    """Return how far apart two 32-bit numbers are."""
    delta = (number - other) & 0xFFFFFFFF
    return min(delta, 2**32 - delta)


def is_after(number: int, other: int) -> bool:
    """Return whether a 32-bit number comes after another one."""
    return 0 < ((number - other) & 0xFFFFFFFF) < 2**31
