import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from benchmarks import datapath_core
from cyclamenridge import address as address_lib
from cyclamenridge.control import plane as plane_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.node import forwarding
from cyclamenridge.routing import home_sets as homes
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

SOURCE = address_lib.Address("10.1.0.9", 4000)
CODEC = forwarding.ForwardCodec((datapath_core.KEY,))
ANY_BYTES = st.binary(max_size=1472)
SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)


def make_node():
    node = datapath_core.Node(1)
    node.server_refs = {
        link.ref: link.link_id for link in node.core._links.links()
    }
    return node


def corpus(node):
    """Return valid datagrams of each method and of the control protocol."""
    session = msgspec.msgpack.decode(
        node.ask("open", caller.Open("counter", "c1", 1)), type=caller.Grant
    ).token
    feed = msgspec.msgpack.decode(
        node.ask("subscribe", caller.Subscribe(session, "door", 1, 0)),
        type=caller.FeedGrant,
    ).token
    check = caller.payload_check(b"p")
    call = caller.Call(session, 1, "setting", 1, 5000, 0, 1, check, b"p")
    requests = {
        "open": caller.Open("counter", "c1", 2),
        "call": call,
        "cancel": caller.Cancel(session, 1),
        "subscribe": caller.Subscribe(session, "door", 2, 0),
        "keepalive": caller.Keepalive(feed, 0),
    }
    notifications = {
        "ack": caller.Ack(session, 1, 1),
        "close": caller.Close(session),
        "datagram": caller.Datagram("counter", b"p"),
    }
    datagrams = [rpc.request(1, *item) for item in requests.items()]
    datagrams += [rpc.notification(*item) for item in notifications.items()]
    datagrams += [CODEC.wrap(SOURCE, data) for data in list(datagrams)]
    plane = plane_lib.ControlPlane(
        homes.Balancer("b2", "d1", SOURCE, 1),
        keys=(datapath_core.KEY,),
        seeds=(datapath_core._ME,),
        rng=random.Random(1),
    )
    out = list(plane.start(0).effects)
    for now_ms in range(0, 3000, 50):
        out += plane.tick(now_ms).effects
    control = [e.data for e in out if isinstance(e, effects.SendPeer)]
    assert control
    return datagrams + control[:8]


NODE = make_node()
CORPUS = corpus(NODE)


@st.composite
def mutated_datagrams(draw):
    """A valid datagram that may be truncated, modified or extended."""
    data = bytearray(draw(st.sampled_from(CORPUS)))
    for _ in range(draw(st.integers(0, 3))):
        if data:
            index = draw(st.integers(0, len(data) - 1))
            data[index] = draw(st.integers(0, 255))
    if draw(st.booleans()):
        del data[draw(st.integers(0, len(data))) :]
    if draw(st.booleans()):
        data += draw(st.binary(max_size=20))
    return bytes(data)


def check_node_still_answers():
    NODE.now_ms += 1
    NODE.handle(events.Tick())
    # The corpus has valid control messages of b2, so b2 may be the home of
    # the session; a forwarded open is always answered here.
    params = caller.Open("counter", "c1", NODE.now_ms)
    data = CODEC.wrap(SOURCE, rpc.request(1, "open", params))
    NODE.to_caller.clear()
    NODE.handle(events.PeerDatagram(SOURCE, data))
    answer = rpc.decode(NODE.to_caller[0])
    assert answer.error is None


@SETTINGS
@given(data=st.one_of(mutated_datagrams(), ANY_BYTES))
def test_no_datagram_stops_the_node(data):
    """Guards against malformed, truncated or forged input that raises."""
    NODE.handle(events.CallerDatagram(SOURCE, data))
    NODE.handle(events.PeerDatagram(SOURCE, data))
    check_node_still_answers()


@SETTINGS
@given(
    data=st.one_of(mutated_datagrams(), ANY_BYTES), where=st.integers(0, 20)
)
def test_forged_datagrams_do_not_change_the_members(data, where):
    """Guards against accepting a control message that fails authentication."""
    before = NODE.core.dump(NODE.now_ms).members
    forged = bytearray(data or b"\x01")
    forged[0] = 1
    forged[-1 - where % len(forged)] ^= 1
    NODE.handle(events.PeerDatagram(SOURCE, bytes(forged)))
    assert NODE.core.dump(NODE.now_ms).members == before


@SETTINGS
@given(
    method=st.sampled_from(["event", "draining", "datagram", "load", "x"]),
    params=st.one_of(
        st.lists(st.one_of(st.integers(-1, 2**63), st.binary(max_size=9))),
        st.none(),
        st.text(max_size=5),
    ),
    msgid=st.integers(0, 50),
    answer=st.booleans(),
)
def test_no_server_message_stops_the_node(method, params, msgid, answer):
    """Guards against a faulty server that ends the flows of others."""
    ref, link_id = next(iter(NODE.server_refs.items()))
    raw = msgspec.Raw(msgspec.msgpack.encode(params))
    message = rpc.Notification(method, raw)
    if answer:
        message = rpc.Response(msgid, None, raw)
    NODE.handle(events.LinkMessage(ref, link_id, message))
    message = rpc.Response(msgid, params, raw)
    NODE.handle(events.LinkMessage(ref, link_id, message))
    check_node_still_answers()
