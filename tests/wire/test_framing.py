from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenridge import errors
from cyclamenridge.wire import framing


@settings(derandomize=True, max_examples=200)
@given(
    messages=st.lists(st.binary(max_size=50), max_size=8),
    step=st.integers(1, 40),
)
def test_messages_survive_any_split_of_the_stream(messages, step):
    stream = b"".join(map(framing.encode, messages))
    decoder = framing.FrameDecoder()
    out = []
    for start in range(0, len(stream), step):
        out += decoder.feed(stream[start : start + step])
    assert out == messages


def test_length_is_checked_before_memory_is_used():
    """A bad length must not make the balancer buffer without bound."""
    decoder = framing.FrameDecoder()
    with pytest.raises(errors.WireError, match="exceeds"):
        decoder.feed(b"\xff\xff\xff\xff")
