import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import address as address_lib
from cyclamenridge.flow import settings
from cyclamenridge.platform import store

NOWHERE = address_lib.Address("127.0.0.1", 1)


def make_intervals(change_ms, contact_ms, evacuation_ms=60_000):
    return settings.intervals_of(
        settings.FlowSettings(
            name="front-1",
            failure_domain="bne",
            ip="127.0.0.1",
            packets=NOWHERE,
            ready=NOWHERE,
            seeds=(),
            peer_ports=(1, 2),
            store=settings.StoreSettings(address=NOWHERE),
            stop_ms=6000,
            change_ms=change_ms,
            contact_ms=contact_ms,
            longest_flow_ms=60_000,
            report_interval_ms=1200,
            metrics_port=1,
            evacuation_ms=evacuation_ms,
        )
    )


@pytest.mark.parametrize(
    ("change_ms", "contact_ms"), [(3000, 4000), (5000, 5000), (2000, 2000)]
)
def test_dead_watches_time_out_before_a_change_is_overdue(
    change_ms, contact_ms
):
    """A dead watch that is noticed too late misses a due change.

    Changes are due again ``contact_ms`` after a fault. Watches that waited
    10 s missed version 4 for 6 s, in the benchmark day
    ``mix --seed 802935878827`` at bellbird-qld.
    """
    intervals = make_intervals(change_ms, contact_ms)
    noticed_ms = (
        intervals.watch_wait_ms
        + store.WATCH_MARGIN_MS
        + store.CONNECT_TIMEOUT_MS
    )
    assert noticed_ms < contact_ms + change_ms
    assert noticed_ms - store.CONNECT_TIMEOUT_MS <= contact_ms


@hypothesis.given(
    change_ms=strategies.integers(500, 60_000),
    contact_ms=strategies.integers(500, 60_000),
)
def test_coalescing_leaves_most_of_a_limit_to_the_calls(change_ms, contact_ms):
    """Changes must also arrive in time where the limits are shorter."""
    intervals = make_intervals(change_ms, contact_ms)
    assert 0 < intervals.coalesce_ms <= change_ms / 3
    assert intervals.coalesce_ms + intervals.lag_tolerance_ms < change_ms
    assert intervals.watch_wait_ms > 0


def test_a_short_bound_of_evacuations_shortens_the_intervals():
    """Orders arrive with the changes that are coalesced."""
    intervals = make_intervals(3000, 4000, evacuation_ms=900)
    assert intervals.coalesce_ms == 300
    assert intervals.lag_tolerance_ms == 450
