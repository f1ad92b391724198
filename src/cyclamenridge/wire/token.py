"""Routing token, which callers send in each datagram of a session or feed."""

import dataclasses
import enum
import hashlib
import hmac
import socket
import struct

import xxhash

from cyclamenridge import address as address_lib
from cyclamenridge import errors

_FORMAT_VERSION = 1
_BODY = struct.Struct(">BBI4sHIQIH")
_MAC_BYTES = 8
TOKEN_BYTES = _BODY.size + _MAC_BYTES


class TokenType(enum.IntEnum):
    """Whether a token identifies a session or a feed."""

    SESSION = 1
    FEED = 2


def name_hash(name: str) -> int:
    """Return the 32-bit hash that represents a name in a token."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Identifies a session or feed and its owner.

    :param service: hash of the service's name
    :param owner: peer address of the balancer that granted the token
    :param incarnation: incarnation of that balancer
    :param ident: session or flow id
    :param server: hash of the server's name, 0 for a session
    :param epoch: epoch of the feed's last attach, 0 for a session
    """

    type: TokenType
    service: int
    owner: address_lib.Address
    incarnation: int
    ident: int
    server: int = 0
    epoch: int = 0


class TokenCodec:
    """Signs tokens with the first key and verifies them with any."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    def encode(self, token: Token) -> bytes:
        """Return the signed bytes of a token."""
        body = _BODY.pack(
            _FORMAT_VERSION,
            token.type,
            token.service,
            socket.inet_aton(token.owner.host),
            token.owner.port,
            token.incarnation,
            token.ident,
            token.server,
            token.epoch,
        )
        return body + _mac(self._keys[0], body)

    def decode(self, data: bytes) -> Token:
        """Verify and decode a token.

        :raises WireError: when it is malformed or not authentic
        """
        if len(data) != TOKEN_BYTES:
            raise errors.WireError(f"token has {len(data)} bytes")
        body, mac = data[: _BODY.size], data[_BODY.size :]
        if not any(
            hmac.compare_digest(_mac(key, body), mac) for key in self._keys
        ):
            raise errors.WireError("token is not authentic")
        (
            version,
            token_type,
            service,
            host,
            port,
            incarnation,
            ident,
            server,
            epoch,
        ) = _BODY.unpack(body)
        if version != _FORMAT_VERSION:
            raise errors.WireError(f"token version {version} is unknown")
        try:
            known_type = TokenType(token_type)
        except ValueError as exc:
            raise errors.WireError(
                f"token type {token_type} is unknown"
            ) from exc
        return Token(
            type=known_type,
            service=service,
            owner=address_lib.Address(
                f"{host[0]}.{host[1]}.{host[2]}.{host[3]}", port
            ),
            incarnation=incarnation,
            ident=ident,
            server=server,
            epoch=epoch,
        )


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=_MAC_BYTES).digest()
