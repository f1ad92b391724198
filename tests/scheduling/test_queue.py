import collections

import hypothesis
from hypothesis import strategies

from cyclamenridge.scheduling import queue
from cyclamenridge.scheduling import types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
SHARES = {"a": 1.0, "b": 3.0}


def make_entry(seq, customer="a", *, kind="edit", start_by=100):
    return queue.Entry(
        types.QueuedRequest(
            types.RequestKey(1, seq), kind, customer, True, 0, 200, b""
        ),
        start_by,
    )


def test_customers_share_by_weight_despite_a_flood():
    """Guards against a customer's flood that delays the other customer."""
    kind = queue.KindQueue(SHARES)
    for seq in range(1000):
        kind.push(make_entry(seq, "a"), front=False)
    for seq in range(1000, 1030):
        kind.push(make_entry(seq, "b"), front=False)
    served = [kind.pop().request.customer for _ in range(40)]
    assert collections.Counter(served) == {"a": 10, "b": 30}


def test_requests_ahead_follow_the_share():
    """Guards against refusals of a customer for the queue of another."""
    kind = queue.KindQueue(SHARES)
    for seq in range(100):
        kind.push(make_entry(seq, "a"), front=False)
    assert kind.ahead("a") == 100
    assert kind.ahead("b") < 1
    assert kind.ahead("not-configured") == 1


def test_request_that_comes_back_is_next():
    """Guards against a second full wait after ``busy``."""
    kind = queue.KindQueue(SHARES)
    for seq in range(4):
        kind.push(make_entry(seq, "ab"[seq % 2]), front=False)
    first = kind.pop()
    kind.push(first, front=True)
    assert kind.head() is first
    assert kind.pop() is first


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
    ranked = queue.RankedQueue(("edit",), shares=SHARES)
    inside = {}
    for seq, (step, number, customer) in enumerate(steps):
        if step in ("push", "front"):
            entry = make_entry(seq, customer, start_by=number)
            ranked.push(entry, front=step == "front")
            inside[entry.request.key] = entry
        elif step == "pop":
            entry = ranked.pop("edit")
            assert (entry is None) == (not inside)
            if entry is not None:
                del inside[entry.request.key]
        elif step == "remove":
            key = types.RequestKey(1, number)
            assert ranked.remove(key) is inside.pop(key, None)
        else:
            for entry in ranked.expired(number):
                assert entry.start_by_ms <= number
                del inside[entry.request.key]
            assert all(e.start_by_ms > number for e in inside.values())
        assert len(ranked) == ranked.kinds["edit"].length == len(inside)
        assert {e.request.key for e in ranked} == set(inside)


def test_cancelled_requests_leave_no_memory():
    """Guards against growth by requests that are queued and cancelled."""
    ranked = queue.RankedQueue(("edit",), shares=SHARES)
    for seq in range(10_000):
        ranked.push(make_entry(seq, start_by=10**6))
        ranked.remove(types.RequestKey(1, seq))
    assert len(ranked._expiry) < 200
