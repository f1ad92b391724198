from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenridge import errors
from cyclamenridge.wire import framing


@settings(derandomize=True, max_examples=200)
@given(
    messages=st.lists(st.binary(max_size=50), max_size=8),
    chunk_size=st.integers(1, 40),
)
def test_messages_are_decoded_from_chunks_of_any_size(messages, chunk_size):
    """Guards against messages lost or merged at chunk boundaries."""
    stream = b"".join(map(framing.encode, messages))
    decoder = framing.FrameDecoder()
    decoded = []
    for start in range(0, len(stream), chunk_size):
        decoded += decoder.feed(stream[start : start + chunk_size])
    assert decoded == messages


def test_length_above_the_limit_is_refused_at_once():
    """Guards against buffering without bound after a corrupt length."""
    decoder = framing.FrameDecoder()
    with pytest.raises(errors.WireError, match="exceeds"):
        decoder.feed(b"\xff\xff\xff\xff")
