"""Encoding of caller datagrams that are forwarded to another balancer."""

import hashlib
import hmac
import socket
import struct

from cyclamenridge import address as address_lib
from cyclamenridge import errors

# First byte of a forwarded datagram on the peer port.
FORWARDED_DATAGRAM = 2
_HEADER = struct.Struct(">B4sH")
_MAC_BYTES = 8
_BODY_START = _HEADER.size + _MAC_BYTES


class ForwardCodec:
    """Encodes a caller datagram with the caller's address and a MAC.

    Signs with the first key and accepts any key, so keys can be rotated.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        # Copying a keyed hash is cheaper than creating one for each datagram.
        self._macs = tuple(
            hashlib.blake2b(key=key, digest_size=_MAC_BYTES) for key in keys
        )

    def wrap(self, source: address_lib.Address, data: bytes) -> bytes:
        """Encode a datagram for the peer port of the owner."""
        header = _HEADER.pack(
            FORWARDED_DATAGRAM, socket.inet_aton(source.host), source.port
        )
        mac = self._macs[0].copy()
        mac.update(header)
        mac.update(data)
        return header + mac.digest() + data

    def unwrap(self, data: bytes) -> tuple[address_lib.Address, bytes]:
        """Verify and decode a forwarded datagram.

        :returns: the caller's address and its datagram
        :raises WireError: when it is malformed or not authentic
        """
        if len(data) < _BODY_START:
            raise errors.WireError("forwarded datagram is too short")
        datagram_type, host, port = _HEADER.unpack_from(data)
        if datagram_type != FORWARDED_DATAGRAM:
            raise errors.WireError(f"datagram type {datagram_type} is unknown")
        inner = data[_BODY_START:]
        received = data[_HEADER.size : _BODY_START]
        for keyed_mac in self._macs:
            mac = keyed_mac.copy()
            mac.update(data[: _HEADER.size])
            mac.update(inner)
            if hmac.compare_digest(mac.digest(), received):
                return (
                    address_lib.Address(socket.inet_ntoa(host), port),
                    inner,
                )
        raise errors.WireError("MAC of forwarded datagram does not match")
