import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from cyclamenridge.control import budget
from cyclamenridge.control import demand
from cyclamenridge.control import replay
from cyclamenridge.control import types
from cyclamenridge.scheduling import types as scheduling

Priority = budget.Priority


@given(
    st.lists(
        st.tuples(
            st.integers(0, 700),
            st.sampled_from(list(Priority)),
            st.integers(50, 1400),
        ),
        max_size=200,
    )
)
def test_no_window_exceeds_the_limit(sends):
    """Guards against a burst that exceeds the limit of a 10 s window."""
    limiter = budget.Budget()
    now_ms, sent = 0, []
    for wait_ms, priority, size in sends:
        now_ms += wait_ms
        if limiter.try_consume(now_ms, priority, size):
            sent.append((now_ms, size + 28))
    for end_ms, _ in sent:
        window = [n for at, n in sent if end_ms - 10_000 < at <= end_ms]
        assert sum(window) <= 40_000


def test_lower_priorities_are_dropped_first():
    """Guards against dropped probes while lower priorities can send."""
    limiter = budget.Budget()
    first_refused_ms = {}
    for now_ms in range(400):
        for priority in Priority:
            if not limiter.try_consume(now_ms, priority, 100):
                first_refused_ms.setdefault(priority, now_ms)
    refusal_times_ms = [first_refused_ms[priority] for priority in Priority]
    assert refusal_times_ms == sorted(set(refusal_times_ms))


def test_demands_are_spread_over_the_window():
    """Guards against a burst of demands at the start of the window, after
    which peers receive none until the window has passed.
    """
    limiter = budget.Budget()
    sent_ms = [
        now_ms
        for now_ms in range(0, 30_000, 10)
        if limiter.try_consume(now_ms, Priority.DEMAND, 150)
    ]
    gaps = [b - a for a, b in itertools.pairwise(sent_ms)]
    assert max(gaps) <= 200


@given(st.lists(st.integers(1, 90), max_size=120))
def test_a_sequence_number_is_accepted_once(numbers):
    """Guards against a replayed message that is applied again."""
    window = replay.ReplayWindow(incarnation=5)
    accepted = [n for n in numbers if window.accept(5, n)]
    assert len(accepted) == len(set(accepted))
    assert not window.accept(4, 10_000)
    assert window.accept(6, 1)
    window.advance(7)
    assert not window.accept(6, 10_000)
    assert window.accept(7, 1)


def make_target(members, draining=()):
    service_demand = scheduling.ServiceDemand("album", (), draining)
    return types.DemandTarget(service_demand, members)


def test_small_budget_serves_the_longest_wait_first():
    """Guards against members that never receive demands if the budget
    allows only some of them each second.
    """
    exchange = demand.DemandExchange(random.Random(1))
    names = tuple(f"bal-{n}" for n in range(40))
    last_sent_ms = dict.fromkeys(names, 0)
    exchange.set_targets(0, (make_target(names),))
    for now_ms in range(1000, 20_000, 100):
        for name in exchange.due_members(now_ms)[:1]:
            exchange.mark_sent(now_ms, name)
            assert now_ms - last_sent_ms[name] <= 5000
            last_sent_ms[name] = now_ms
    assert min(last_sent_ms.values()) >= 15_000


def test_a_drain_mark_is_not_delayed():
    """Guards against requests to a draining server after 3 s, because its
    drain mark waited behind other demands.
    """
    exchange = demand.DemandExchange(random.Random(1))
    names = tuple(f"bal-{n}" for n in range(40))
    exchange.set_targets(0, (make_target(names),))
    exchange.mark_sent(2000, "bal-7")
    exchange.set_targets(
        2000,
        (make_target(names), make_target(("bal-7",), draining=("srv-1",))),
    )
    assert exchange.due_members(2000)[0] == "bal-7"
