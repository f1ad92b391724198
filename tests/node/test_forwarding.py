import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import address
import cyclamenridge.errors as errors
from cyclamenridge.node import events
from cyclamenridge.node import forwarding
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from tests.node import deployment as deployment_lib

SOURCE = address.Address("10.0.0.1", 5000)


def test_forwarded_datagram_survives_key_rotation():
    """Guards against losing datagrams during a key rotation."""
    old = forwarding.ForwardCodec((b"old",))
    new = forwarding.ForwardCodec((b"new", b"old"))
    assert new.unwrap(old.wrap(SOURCE, b"data")) == (SOURCE, b"data")


@hypothesis.given(strategies.integers(0, 18), strategies.integers(1, 255))
@hypothesis.settings(derandomize=True)
def test_changed_datagram_is_refused(index, mask):
    """Guards against a forged caller address or payload."""
    codec = forwarding.ForwardCodec((b"key",))
    data = bytearray(codec.wrap(SOURCE, b"data"))
    data[index] ^= mask
    with pytest.raises(errors.WireError):
        codec.unwrap(bytes(data))


def test_forwarded_datagram_is_not_forwarded_again():
    """Guards against forwarding loops between balancers."""
    deployment = deployment_lib.Deployment()
    session = deployment.open()
    owner = deployment.owner(session.token)
    other = next(n for n in deployment.fleet.nodes if n != owner)
    request = deployment.caller.call(session, "change")
    inner = deployment.caller.encode(request, 0)
    codec = forwarding.ForwardCodec(deployment_lib.fleet_lib.KEYS)
    peer = deployment.fleet.nodes[owner].peer
    event = events.PeerDatagram(peer, codec.wrap(SOURCE, inner))
    core = deployment.fleet.nodes[other].core
    assert core.handle(deployment.fleet.now_ms, event) == []
    assert core.counters["forwarded_misrouted"] == 1


def test_datagram_from_outside_the_networks_is_dropped():
    """Guards against forged peers outside the configured networks."""
    deployment = deployment_lib.Deployment()
    core = next(iter(deployment.fleet.nodes.values())).core
    codec = forwarding.ForwardCodec(deployment_lib.fleet_lib.KEYS)
    params = caller.Open("counter", "outfit", 1)
    data = codec.wrap(SOURCE, rpc.request(1, "open", params))
    outside = address.Address("127.1.0.1", 7000)
    event = events.PeerDatagram(outside, data)
    assert core.handle(deployment.fleet.now_ms, event) == []
    assert core.counters["peer_datagrams_refused"] == 1


@hypothesis.given(strategies.binary(max_size=1500))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
def test_arbitrary_bytes_are_counted_and_dropped(data):
    """Guards against malformed input that crashes the process."""
    deployment = _DEPLOYMENT
    core = next(iter(deployment.fleet.nodes.values())).core
    for event in (
        events.CallerDatagram(SOURCE, data),
        events.PeerDatagram(deployment.fleet.nodes["n1"].peer, b"\2" + data),
    ):
        core.handle(deployment.fleet.now_ms, event)


_DEPLOYMENT = deployment_lib.Deployment()
