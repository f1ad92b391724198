import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import errors
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.platform import packets

CODEC = packets.EchoCodec()
# Example from the platform's documentation.
SYN = bytes.fromhex(
    "40 00 00 00 00 00 a1 b2 c3 d5 00 00 9c 41 c6 12 00 01 64 40 00 07 01 bb"
    "11 22 33 44 00 00 00 00 00 00 00 00"
)
RESET = bytes.fromhex(
    "04 00 00 00 00 00 00 00 00 00 00 00 01 bb 64 40 00 07 c6 12 00 01 9c 41"
    "00 00 00 00 00 00 00 00 00 00 00 00"
)


def test_the_example_is_decoded():
    packet = CODEC.decode(SYN)
    assert packet_lib.flow_id(packet) == "100.64.0.7:40001>198.18.0.1:443"
    assert packet.flags == packet_lib.SYN
    assert packet.seq == 0x11223344


def test_the_example_of_a_reset_is_encoded():
    assert CODEC.encode_reset(CODEC.decode(SYN)) == RESET


def test_a_reset_carries_what_the_client_acknowledged():
    """A client ignores a reset outside of its sequence window."""
    data = bytearray(SYN)
    data[28:32] = (77_000).to_bytes(4, "big")
    reset = CODEC.encode_reset(CODEC.decode(bytes(data)))
    assert reset[24:28] == data[28:32]


@hypothesis.given(
    strategies.binary(min_size=32, max_size=32),
    strategies.binary(max_size=1200),
    strategies.integers(0, 2**64 - 1),
    strategies.integers(0, 2**32 - 1),
)
def test_only_the_token_of_a_forwarded_packet_changes(
    head, body, ident, token
):
    """Any other change breaks the checksum, as if the packet were forged."""
    head = head[:10] + len(body).to_bytes(2, "big") + head[12:]
    data = head + bytes(4) + body
    CODEC.decode(data)
    sent = CODEC.encode_forward(data, ident=ident, token=token)
    assert sent == (
        ident.to_bytes(8, "big") + head + token.to_bytes(4, "big") + body
    )


@hypothesis.given(strategies.binary(max_size=80))
def test_a_datagram_of_the_wrong_length_is_refused(data):
    try:
        packet = CODEC.decode(data)
    except errors.WireError:
        return
    assert packet.length == len(data) - packets.HEADER_BYTES


def test_a_truncated_packet_is_refused():
    with pytest.raises(errors.WireError):
        CODEC.decode(SYN[:-1])
