import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import address
from cyclamenridge import errors
from cyclamenridge.wire import token

OWNER = address.Address("127.0.0.11", 7001)


def make_token(**changes):
    values = {
        "type": token.TokenType.FEED,
        "service": token.name_hash("counter"),
        "owner": OWNER,
        "incarnation": 7,
        "ident": 2**63 + 1,
        "server": token.name_hash("counter-1"),
        "epoch": 3,
    }
    return token.Token(**(values | changes))


def test_token_round_trip_survives_key_rotation():
    """Guards against refusing valid tokens after a key rotation."""
    old_codec = token.TokenCodec((b"old",))
    new_codec = token.TokenCodec((b"new", b"old"))
    assert new_codec.decode(old_codec.encode(make_token())) == make_token()


@hypothesis.given(strategies.binary(max_size=80))
def test_arbitrary_bytes_are_refused(data):
    """Guards against routing datagrams by forged tokens."""
    with pytest.raises(errors.WireError):
        token.TokenCodec((b"key",)).decode(data)


@hypothesis.given(
    strategies.integers(0, token.TOKEN_BYTES - 1), strategies.integers(1, 255)
)
def test_changed_byte_is_refused(index, mask):
    """Guards against tokens modified to reach another service."""
    codec = token.TokenCodec((b"key",))
    data = bytearray(codec.encode(make_token()))
    data[index] ^= mask
    with pytest.raises(errors.WireError):
        codec.decode(bytes(data))


def test_an_authentic_token_of_an_unknown_type_is_refused():
    """A later version may define more types."""
    codec = token.TokenCodec((b"key",))
    data = codec.encode(make_token(type=9))
    with pytest.raises(errors.WireError, match="type 9"):
        codec.decode(data)


def test_a_token_of_a_withdrawn_key_is_refused():
    """A process that restarts has only the keys of its newest settings."""
    data = token.TokenCodec((b"withdrawn",)).encode(make_token())
    with pytest.raises(errors.WireError):
        token.TokenCodec((b"new", b"old")).decode(data)
