import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenridge.caller import exchange as exchange_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import reorder as reorder_lib
from cyclamenridge.wire import caller

Outcome = caller.Outcome


def make_exchange(payload=b"x", deadline_ms=1000, seq=1):
    return exchange_lib.Exchange(
        0,
        token=b"t",
        seq=seq,
        kind="edit",
        payload=payload,
        deadline_ms=deadline_ms,
        rng=random.Random(1),
    )


def reply_parts(payload, answer, *, seq=1, size=10):
    chunks = [answer[i : i + size] for i in range(0, len(answer), size)]
    check = caller.payload_check(payload)
    return [
        caller.Reply(
            seq,
            check,
            Outcome.ANSWERED,
            part=part,
            parts=len(chunks),
            payload=chunk,
        )
        for part, chunk in enumerate(chunks)
    ]


@settings(derandomize=True, max_examples=100)
@given(order=st.permutations(range(8)), copies=st.integers(1, 3))
def test_answer_is_reassembled_in_any_order(order, copies):
    """Guards against late, duplicated or reordered parts in an answer (P3)."""
    answer = bytes(range(80))
    parts = reply_parts(b"x", answer)
    foreign = reply_parts(b"other", b"0" * 80)
    exchange = make_exchange()
    exchange.poll(0)
    for part in order:
        exchange.handle_reply(1, foreign[part])
        for _ in range(copies):
            exchange.handle_reply(1, parts[part])
    assert exchange.outcome == outcomes.Answered(answer)
    exchange.handle_reply(2, parts[0])
    assert exchange.ack_part == 8


def test_incomplete_answer_is_never_an_outcome():
    """Guards against an answer that lacks a lost part."""
    exchange = make_exchange()
    exchange.poll(0)
    for reply in reply_parts(b"x", bytes(80))[:-1]:
        exchange.handle_reply(1, reply)
    assert exchange.outcome is None


def test_resends_have_higher_attempts_and_back_off():
    """Guards against resends at a constant rate to an overloaded balancer."""
    exchange = make_exchange()
    sent = []
    for now_ms in range(0, 1000):
        sent += [(now_ms, call) for call in exchange.poll(now_ms)]
    gaps = [b[0] - a[0] for a, b in itertools.pairwise(sent)]
    assert [call.attempt for _, call in sent] == list(range(1, len(sent) + 1))
    assert gaps == sorted(gaps)
    assert len(sent) <= 5


def test_resend_starts_at_the_first_missing_part():
    """Guards against resending parts of a request that have arrived."""
    payload = bytes(100 * caller.MAX_PART_BYTES)
    exchange = make_exchange(payload, deadline_ms=60_000)
    first = exchange.poll(0)
    assert [c.part for c in first] == list(range(exchange_lib.WINDOW_PARTS))
    check = caller.payload_check(payload)
    pending = caller.Reply(1, check, Outcome.PENDING, part=5)
    exchange.handle_reply(1, pending)
    assert [c.part for c in exchange.poll(1)] == list(range(32, 37))
    again = exchange.poll(exchange.next_poll_ms)
    assert again[0].part == 5
    assert {c.attempt for c in again} == {2}


def test_request_without_reply_is_unknown():
    """Guards against ``NotRun`` without a proof from a balancer (P4)."""
    exchange = make_exchange()
    now_ms = 0
    while exchange.outcome is None:
        now_ms = exchange.next_poll_ms
        exchange.poll(now_ms)
    assert isinstance(exchange.outcome, outcomes.Unknown)
    assert 1000 <= now_ms <= 3000


@settings(derandomize=True, max_examples=100)
@given(order=st.permutations(range(1, 9)), copies=st.integers(1, 2))
def test_events_are_delivered_once_and_in_order(order, copies):
    """Guards against duplicated or reordered events."""
    buffer = reorder_lib.ReorderBuffer()
    out = []
    for seq in order:
        for _ in range(copies):
            out += buffer.add(0, seq, b"")
    assert [item.seq for item in out] == list(range(1, 9))
    assert not buffer.has_gap


def test_lost_events_are_reported():
    """Guards against a feed that waits for a lost event forever."""
    buffer = reorder_lib.ReorderBuffer()
    assert [i.seq for i in buffer.add(0, 1, b"")] == [1]
    assert buffer.add(0, 4, b"") == []
    assert buffer.poll(reorder_lib.GAP_TIMEOUT_MS - 1) == []
    (item,) = buffer.poll(reorder_lib.GAP_TIMEOUT_MS)
    assert (item.seq, item.missed) == (4, 2)


def test_a_part_outside_of_its_answer_is_ignored():
    """It once made an answer with a missing part look complete (P3)."""
    exchange = make_exchange()
    first, _, last = reply_parts(b"x", b"a" * 30)
    outside = caller.Reply(
        1,
        caller.payload_check(b"x"),
        Outcome.ANSWERED,
        part=3,
        parts=3,
        payload=b"b",
    )
    for reply in (first, outside, last):
        exchange.handle_reply(10, reply)
    assert exchange.outcome is None
