import contextlib
import dataclasses
import hashlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenridge import address as address_lib
from cyclamenridge.control import codec
from cyclamenridge.control import messages
from cyclamenridge.control import types
import cyclamenridge.errors as errors
from cyclamenridge.routing import home_sets
from cyclamenridge.routing import pinned_flows
from cyclamenridge.scheduling import types as scheduling

ADDRESS = address_lib.Address("10.1.2.3", 7001)
UPDATE = messages.Update(
    home_sets.Balancer("bal-2", "oslo-b", ADDRESS, 1764831600),
    3,
    types.MemberState.SUSPECT,
)
BODIES = [
    messages.Announce(),
    messages.Ping(7, introduce=True),
    messages.Ack(7, target="bal-2"),
    messages.PingReq(7, "bal-2", ADDRESS),
    messages.PageRequest("bal-1"),
    messages.Page((UPDATE,), "bal-2"),
    messages.Fetch(12, 11, 4, 4),
    messages.Chunk(12, 11, 2**63, 1, 2, b"x" * messages.MAX_CHUNK_BYTES),
    messages.Demands(
        (
            scheduling.ServiceDemand(
                "album", (scheduling.KindDemand("edits", 1.5),), ("srv-1",)
            ),
            scheduling.ServiceDemand("intake", ()),
        )
    ),
    messages.Shares((messages.Share(2**32 - 1, ((7, 1.5),), ("srv-1",)),)),
    messages.NamesWanted(),
    messages.Pinned(
        "album", next(iter(pinned_flows.build_filters("srv-1", [b"flow-1"])))
    ),
    messages.Pinned("album", pinned_flows.completion_marker(("srv-1",))),
]
OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32


def make_message(body, updates=(UPDATE,)):
    return messages.Message(
        sender="bal-1",
        incarnation=1764831600,
        counter=2,
        leaving=True,
        sequence=9,
        revision=12,
        digest=2**64 - 1,
        body=body,
        updates=updates,
    )


def sign(packed, key=OLD_KEY):
    mac = hashlib.blake2b(packed, key=key, digest_size=16).digest()
    return bytes((codec.TYPE_BYTE,)) + mac + packed


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_message_round_trip(body):
    """Guards against a field that is not encoded or not decoded."""
    sent = make_message(body)
    data = codec.Codec((OLD_KEY,)).encode(sent)
    assert codec.Codec((OLD_KEY,)).decode(data) == sent
    assert len(data) <= messages.MAX_DATAGRAM_BYTES


def test_keys_can_be_replaced_one_process_at_a_time():
    """Guards against nodes with different keys that reject each other's
    messages while the key is rotated.
    """
    data = codec.Codec((NEW_KEY, OLD_KEY)).encode(make_message(BODIES[0]))
    assert codec.Codec((OLD_KEY, NEW_KEY)).decode(data)
    with pytest.raises(errors.ControlError):
        codec.Codec((OLD_KEY,)).decode(data)


@given(st.binary(max_size=1500))
def test_unauthentic_bytes_raise_control_error(data):
    """Guards against other exceptions for unauthenticated input."""
    with pytest.raises(errors.ControlError):
        codec.Codec((OLD_KEY,)).decode(data)


@settings(max_examples=400)
@given(
    st.sampled_from(BODIES),
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=6),
    st.integers(0, 400),
)
def test_authentic_garbage_raises_control_error(body, changes, cut):
    """Guards against an exception of pycapnp that ends the process.

    A faulty peer, or one of another version, signs invalid messages.
    """
    good = codec.Codec((OLD_KEY,)).encode(make_message(body))
    packed = bytearray(good[17:])
    for position, value in changes:
        packed[position % len(packed)] = value
    packed = bytes(packed[: len(packed) - cut % len(packed)])
    for data in (sign(packed), sign(packed + b"\xff")):
        with contextlib.suppress(errors.ControlError):
            codec.Codec((OLD_KEY,)).decode(data)


@settings(max_examples=200)
@given(st.binary(max_size=300))
def test_authentic_random_bytes_raise_control_error(packed):
    """Guards against an exception of pycapnp for signed random bytes."""
    with contextlib.suppress(errors.ControlError):
        codec.Codec((OLD_KEY,)).decode(sign(packed))


@pytest.mark.parametrize(
    "bad",
    [
        make_message(dataclasses.replace(BODIES[6], base=12)),
        make_message(dataclasses.replace(BODIES[7], index=2)),
        make_message(dataclasses.replace(BODIES[7], data=b"x" * 1101)),
        make_message(
            messages.Demands(
                (
                    scheduling.ServiceDemand(
                        "album",
                        (scheduling.KindDemand("edits", float("nan")),),
                    ),
                )
            )
        ),
        dataclasses.replace(make_message(BODIES[0]), sender=""),
        dataclasses.replace(make_message(BODIES[0]), sender="x" * 65),
    ],
)
def test_values_out_of_range_are_refused(bad):
    """Guards against invalid values that reach the replicated state."""
    with pytest.raises(errors.ControlError):
        codec.Codec((OLD_KEY,)).decode(codec.Codec((OLD_KEY,)).encode(bad))
