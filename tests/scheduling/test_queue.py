import collections

import hypothesis
from hypothesis import strategies

from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
SHARES = {"a": 1.0, "b": 3.0}


def make_entry(seq, customer="a", *, kind="edit", start_by_ms=100):
    return queue.Entry(
        types.QueuedRequest(
            types.RequestKey(1, seq), kind, customer, True, 0, 200, b""
        ),
        start_by_ms,
    )


def test_customers_are_served_by_share_under_overload():
    """Guards against many requests of one customer delaying another."""
    kind_queue = queue.KindQueue(SHARES)
    for seq in range(1000):
        kind_queue.push(make_entry(seq, "a"), front=False)
    for seq in range(1000, 1030):
        kind_queue.push(make_entry(seq, "b"), front=False)
    served = [kind_queue.pop().request.customer for _ in range(40)]
    assert collections.Counter(served) == {"a": 10, "b": 30}


def test_requests_ahead_follow_the_share():
    """Guards against refusals due to the requests of another customer."""
    kind_queue = queue.KindQueue(SHARES)
    for seq in range(100):
        kind_queue.push(make_entry(seq, "a"), front=False)
    assert kind_queue.requests_ahead("a") == 100
    assert kind_queue.requests_ahead("b") < 1
    assert kind_queue.requests_ahead("not-configured") == 1


def test_requeued_request_is_next():
    """Guards against a second full wait after a server answers ``busy``."""
    kind_queue = queue.KindQueue(SHARES)
    for seq in range(4):
        kind_queue.push(make_entry(seq, "ab"[seq % 2]), front=False)
    first = kind_queue.pop()
    kind_queue.push(first, front=True)
    assert kind_queue.peek() is first
    assert kind_queue.pop() is first


operations = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("push", "front", "pop", "remove", "expire")),
        strategies.integers(0, 30),
        strategies.sampled_from(("a", "b", "c")),
    ),
    max_size=200,
)


@SETTINGS
@hypothesis.given(operations)
def test_no_request_is_lost_or_returned_twice(steps):
    """Guards against requests that never get an outcome, or get two."""
    service_queue = queue.ServiceQueue(("edit",), shares=SHARES)
    queued = {}
    for seq, (step, number, customer) in enumerate(steps):
        if step in ("push", "front"):
            entry = make_entry(seq, customer, start_by_ms=number)
            service_queue.push(entry, front=step == "front")
            queued[entry.request.key] = entry
        elif step == "pop":
            entry = service_queue.pop("edit")
            assert (entry is None) == (not queued)
            if entry is not None:
                del queued[entry.request.key]
        elif step == "remove":
            key = types.RequestKey(1, number)
            assert service_queue.remove(key) is queued.pop(key, None)
        else:
            for entry in service_queue.pop_expired(number):
                assert entry.start_by_ms <= number
                del queued[entry.request.key]
            assert all(e.start_by_ms > number for e in queued.values())
        assert (
            len(service_queue)
            == service_queue.kinds["edit"].length
            == len(queued)
        )
        assert {e.request.key for e in service_queue} == set(queued)


def test_expiry_heap_does_not_grow_with_cancelled_requests():
    """Guards against growth by requests that are queued and cancelled."""
    service_queue = queue.ServiceQueue(("edit",), shares=SHARES)
    for seq in range(10_000):
        service_queue.push(make_entry(seq, start_by_ms=10**6))
        service_queue.remove(types.RequestKey(1, seq))
    assert len(service_queue._expiry_heap) < 200
