import pytest

from cyclamenridge.wire import backend
from tests.node import callers
from tests.node import oracle as oracle_lib
from tests.standins import server_model


def make_oracle():
    oracle = oracle_lib.Oracle(frozenset())
    oracle.register_session(5, "counter")
    return oracle


def run_record(service="counter", payload=b"counter:x", seq=1):
    return server_model.RunRecord(
        service=service,
        server="s1",
        incarnation=1,
        balancer="b1",
        session_id=5,
        seq=seq,
        kind="change",
        customer="c",
        check=0,
        payload=payload,
        started_ms=0,
    )


def make_session(service="counter"):
    session = callers.Session(service)
    session.ident = 5
    return session


def feed_event(oracle, payload):
    feed = callers.Feed(make_session(), "door", 1)
    feed.ident = 7
    oracle.check_event(feed, backend.Event(7, 3, payload))


@pytest.mark.parametrize(
    "violate",
    [
        lambda oracle: oracle.on_run(run_record(service="album")),
        lambda oracle: oracle.check_packet("counter", b"album:packet"),
        lambda oracle: feed_event(oracle, b"album/s1/7/3"),
        lambda oracle: feed_event(oracle, b"counter/s1/8/3"),
    ],
    ids=["run", "packet", "event of a service", "event of a feed"],
)
def test_what_reaches_another_service_is_counted_once(violate):
    """Guards against a benchmark that reports no wrong packets since a text
    was changed.
    """
    oracle = make_oracle()
    violate(oracle)
    assert oracle.wrong_service_count == 1
    with pytest.raises(AssertionError):
        oracle.verify()


def test_violations_of_other_rules_are_not_counted_as_wrong_service():
    """Guards against a count of every violation."""
    oracle = make_oracle()
    oracle.on_run(run_record())
    oracle.on_run(run_record())
    oracle.report_outcome(5, 1, 0, oracle_lib.Outcome.NOT_RUN)
    oracle.check_lost_feed(callers.Feed(make_session(), "door", 1), True)
    assert len(oracle.violations) == 3
    assert oracle.wrong_service_count == 0
