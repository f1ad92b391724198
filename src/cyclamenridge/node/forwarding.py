"""Caller datagrams that one balancer forwards to another."""

import hashlib
import hmac
import socket
import struct

from cyclamenridge import address as address_lib
from cyclamenridge import errors

FORWARDED = 2
_HEADER = struct.Struct(">B4sH")
_MAC_BYTES = 8
_BODY_START = _HEADER.size + _MAC_BYTES


class ForwardCodec:
    """Wraps a caller datagram with the caller's address and a MAC.

    Signs with the first key and verifies with any, as tokens do.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        # Copying a keyed state is cheaper than keying a new one.
        self._macs = tuple(
            hashlib.blake2b(key=key, digest_size=_MAC_BYTES) for key in keys
        )

    def wrap(self, source: address_lib.Address, data: bytes) -> bytes:
        """Return the datagram to send to the owner's peer port."""
        header = _HEADER.pack(
            FORWARDED, socket.inet_aton(source.host), source.port
        )
        mac = self._macs[0].copy()
        mac.update(header)
        mac.update(data)
        return header + mac.digest() + data

    def unwrap(self, data: bytes) -> tuple[address_lib.Address, bytes]:
        """Verify a forwarded datagram.

        :return: the caller's address and its datagram
        """
        if len(data) < _BODY_START:
            raise errors.WireError("forwarded datagram is too short")
        first, host, port = _HEADER.unpack_from(data)
        if first != FORWARDED:
            raise errors.WireError(f"first byte is {first}")
        inner = data[_BODY_START:]
        received = data[_HEADER.size : _BODY_START]
        for keyed in self._macs:
            mac = keyed.copy()
            mac.update(data[: _HEADER.size])
            mac.update(inner)
            if hmac.compare_digest(mac.digest(), received):
                return (
                    address_lib.Address(socket.inet_ntoa(host), port),
                    inner,
                )
        raise errors.WireError("forwarded datagram is not authentic")
