import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenridge.caller import exchange as exchange_lib
from cyclamenridge.caller import order as order_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.wire import caller

Outcome = caller.Outcome


def make(payload=b"x", deadline_ms=1000, seq=1):
    return exchange_lib.Exchange(
        0,
        token=b"t",
        seq=seq,
        kind="edit",
        payload=payload,
        deadline_ms=deadline_ms,
        rng=random.Random(1),
    )


def replies(payload, answer, *, seq=1, size=10):
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
def test_answer_is_whole_in_any_order(order, copies):
    """Late, duplicated and reordered parts must give the answer (P3)."""
    answer = bytes(range(80))
    parts = replies(b"x", answer)
    foreign = replies(b"other", b"0" * 80)
    exchange = make()
    exchange.poll(0)
    for part in order:
        exchange.reply(1, foreign[part])
        for _ in range(copies):
            exchange.reply(1, parts[part])
    assert exchange.outcome == outcomes.Answered(answer)
    exchange.reply(2, parts[0])
    assert exchange.ack_part == 8


def test_incomplete_answer_is_never_an_outcome():
    exchange = make()
    exchange.poll(0)
    for reply in replies(b"x", bytes(80))[:-1]:
        exchange.reply(1, reply)
    assert exchange.outcome is None


def test_resends_have_higher_attempts_and_back_off():
    exchange = make()
    sent = []
    for now_ms in range(0, 1000):
        sent += [(now_ms, call) for call in exchange.poll(now_ms)]
    gaps = [b[0] - a[0] for a, b in itertools.pairwise(sent)]
    assert [call.attempt for _, call in sent] == list(range(1, len(sent) + 1))
    assert gaps == sorted(gaps)
    assert len(sent) <= 5


def test_request_parts_follow_the_reported_gap():
    """A lost part must be sent again, those that arrived must not."""
    payload = bytes(100 * caller.MAX_PART_BYTES)
    exchange = make(payload, deadline_ms=60_000)
    first = exchange.poll(0)
    assert [c.part for c in first] == list(range(exchange_lib.WINDOW_PARTS))
    check = caller.payload_check(payload)
    pending = caller.Reply(1, check, Outcome.PENDING, part=5)
    exchange.reply(1, pending)
    assert [c.part for c in exchange.poll(1)] == list(range(32, 37))
    again = exchange.poll(exchange.due_ms)
    assert again[0].part == 5
    assert {c.attempt for c in again} == {2}


def test_silence_is_unknown_and_not_refused():
    """Without an answer nothing is proved (P4)."""
    exchange = make()
    now_ms = 0
    while exchange.outcome is None:
        now_ms = exchange.due_ms
        exchange.poll(now_ms)
    assert isinstance(exchange.outcome, outcomes.Unknown)
    assert 1000 <= now_ms <= 3000


@settings(derandomize=True, max_examples=100)
@given(order=st.permutations(range(1, 9)), copies=st.integers(1, 2))
def test_events_are_passed_on_once_and_in_order(order, copies):
    feed = order_lib.Order()
    out = []
    for seq in order:
        for _ in range(copies):
            out += feed.event(0, seq, b"")
    assert [item.seq for item in out] == list(range(1, 9))
    assert not feed.gap


def test_lost_events_are_reported():
    """A gap that the server cannot repair must not stop the feed."""
    feed = order_lib.Order()
    assert [i.seq for i in feed.event(0, 1, b"")] == [1]
    assert feed.event(0, 4, b"") == []
    assert feed.poll(order_lib.GAP_TIMEOUT_MS - 1) == []
    (item,) = feed.poll(order_lib.GAP_TIMEOUT_MS)
    assert (item.seq, item.missed) == (4, 2)
