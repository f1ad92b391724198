"""Caller datagrams that one balancer forwards to another."""

import hashlib
import hmac
import socket
import struct

from cyclamenridge import address as address_lib
from cyclamenridge import errors

FORWARDED = 2
_HEADER = struct.Struct(">B4sH8s")
_MAC_BYTES = 8


class ForwardCodec:
    """Wraps a caller datagram with the caller's address and a MAC.

    Signs with the first key and verifies with any, as tokens do.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def wrap(self, source: address_lib.Address, data: bytes) -> bytes:
        """Return the datagram to send to the owner's peer port."""
        host = socket.inet_aton(source.host)
        mac = _mac(self._keys[0], host, source.port, data)
        return _HEADER.pack(FORWARDED, host, source.port, mac) + data

    def unwrap(self, data: bytes) -> tuple[address_lib.Address, bytes]:
        """Verify a forwarded datagram.

        :return: the caller's address and its datagram
        """
        if len(data) < _HEADER.size:
            raise errors.WireError("forwarded datagram is too short")
        first, host, port, mac = _HEADER.unpack_from(data)
        if first != FORWARDED:
            raise errors.WireError(f"first byte is {first}")
        inner = data[_HEADER.size :]
        if not any(
            hmac.compare_digest(_mac(key, host, port, inner), mac)
            for key in self._keys
        ):
            raise errors.WireError("forwarded datagram is not authentic")
        return address_lib.Address(socket.inet_ntoa(host), port), inner


def _mac(key: bytes, host: bytes, port: int, data: bytes) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=_MAC_BYTES)
    digest.update(struct.pack(">B4sH", FORWARDED, host, port))
    digest.update(data)
    return digest.digest()
